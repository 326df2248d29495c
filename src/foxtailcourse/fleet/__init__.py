"""Configuration, client accounts and backend servers as the ingress knows them."""

from foxtailcourse.fleet._types import (
    Account,
    BackendServer,
    CallerLimits,
    Configuration,
    Quota,
    Route,
    RouteBackend,
    RouteKind,
    Service,
)
from foxtailcourse.fleet._view import (
    MAX_RECENT_STATE_AGE_S,
    DesiredWeights,
    FleetView,
    Freshness,
    NamedVersion,
)
from foxtailcourse.fleet._withdrawn import ServerRun, WithdrawnRuns

__all__ = [
    "MAX_RECENT_STATE_AGE_S",
    "Account",
    "BackendServer",
    "CallerLimits",
    "Configuration",
    "DesiredWeights",
    "FleetView",
    "Freshness",
    "NamedVersion",
    "Quota",
    "Route",
    "RouteBackend",
    "RouteKind",
    "ServerRun",
    "Service",
    "WithdrawnRuns",
]
