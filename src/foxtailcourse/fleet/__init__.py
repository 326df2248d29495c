"""Configuration, client accounts and backend servers as the ingress knows them."""

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
from foxtailcourse.fleet._withdrawn import ServerRun, WithdrawnRuns

__all__ = [
    "Account",
    "BackendServer",
    "CallerLimits",
    "Configuration",
    "DesiredWeights",
    "FleetView",
    "Freshness",
    "Route",
    "RouteBackend",
    "RouteKind",
    "ServerRun",
    "Service",
    "WithdrawnRuns",
]
