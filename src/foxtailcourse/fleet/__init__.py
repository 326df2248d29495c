"""The fleet that requests are sent to: configuration, accounts, backend servers."""

from foxtailcourse.fleet._types import (
    Account,
    Backend,
    BackendServer,
    CallerLimits,
    Configuration,
    Route,
    RouteKind,
    Service,
)
from foxtailcourse.fleet._view import Belief, FleetView, NamedWeights

__all__ = [
    "Account",
    "Backend",
    "BackendServer",
    "Belief",
    "CallerLimits",
    "Configuration",
    "FleetView",
    "NamedWeights",
    "Route",
    "RouteKind",
    "Service",
]
