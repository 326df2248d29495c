"""The fleet that requests are sent to: configuration, accounts, backend servers."""

from foxtailcourse.fleet._types import (
    Account,
    BackendServer,
    CallerLimits,
    Configuration,
    Route,
    RouteBackend,
    RouteKind,
    Service,
)
from foxtailcourse.fleet._view import DesiredWeights, FleetView, Freshness

__all__ = [
    "Account",
    "RouteBackend",
    "BackendServer",
    "Freshness",
    "CallerLimits",
    "Configuration",
    "FleetView",
    "DesiredWeights",
    "Route",
    "RouteKind",
    "Service",
]
