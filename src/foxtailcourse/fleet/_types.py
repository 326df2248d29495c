"""Configuration, client accounts and backend servers as the ingress knows them."""

from collections.abc import Mapping
from enum import Enum

import attrs

from foxtailcourse.settings import Address


class RouteKind(Enum):
    """What may be repeated on a route."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@attrs.frozen(kw_only=True)
class RouteBackend:
    """A service that a route sends a share of its requests to."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """One route of the configuration.

    Parameters
    ----------
    name : str
        Name of the route.
    host : str
        Host that it applies to, in lower case.
    path_prefix : str
        Start of the paths that it applies to.
    kind : RouteKind
        What may be repeated.
    timeout_s : float
        Longest time to keep a request, in seconds.
    target_latency_s : float
        Time for a response, or the first event of a stream, in seconds.
    priority : int
        Rank, 0 is the highest.
    max_attempts : int
        Most backend servers that one request may be sent to.
    public : bool
        Whether requests need no key.
    resumable : bool
        Whether a stream may go on at another backend server.
    backends : tuple of RouteBackend
        Services of the route.
    patience_s : float
        Time after which callers leave a stream that sent no event, in seconds.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    target_latency_s: float
    priority: int
    max_attempts: int
    public: bool
    resumable: bool
    backends: tuple[RouteBackend, ...]
    patience_s: float = float("inf")

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.SAFE


@attrs.frozen(kw_only=True)
class Service:
    """A service of the configuration.

    Parameters
    ----------
    name : str
        Name of the service.
    connection_limit : int
        Connections that each backend server accepts from all callers; 0 if unknown.
    cache_store : Address or None
        Address of the KV-cache store, if the service is one.
    event_subscribers : int
        Concurrent event calls that a backend server or store holds; 0 if unknown.
    """

    name: str
    connection_limit: int = 0
    cache_store: Address | None = None
    event_subscribers: int = 0


@attrs.frozen(kw_only=True)
class Account:
    """A client account; an isolated one shares no cache with others."""

    name: str
    priority: int
    isolated: bool


@attrs.frozen(kw_only=True)
class CallerLimits:
    """What a caller may send and how long it may take; None where not bounded.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int or None
        Largest header and body of a request.
    header_timeout_s : float or None
        Longest time to send a header, in seconds.
    idle_timeout_s : float or None
        Longest time that a connection stays idle, in seconds.
    """

    max_header_bytes: int | None = None
    max_body_bytes: int | None = None
    header_timeout_s: float | None = None
    idle_timeout_s: float | None = None


@attrs.frozen(kw_only=True)
class Configuration:
    """One version of the operators' configuration.

    Parameters
    ----------
    version : int
        The operators' version number.
    routes : mapping of str to tuple of Route
        Routes by host, longest path prefix first.
    services : mapping of str to Service
        Services by name.
    accounts : mapping of str to Account
        Client accounts by key.
    keys_required : bool
        Whether routes that are not public need a key.
    limits : CallerLimits
        Bounds on callers.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    accounts: Mapping[str, Account]
    keys_required: bool
    limits: CallerLimits = CallerLimits()

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or None."""
        for route in self.routes.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def cache_stores(self) -> tuple[Address, ...]:
        """Return the addresses of the KV-cache stores."""
        found = (each.cache_store for each in self.services.values())
        return tuple(each for each in found if each is not None)

    def event_subscribers(self, service: str) -> int:
        """Return how many event calls a server of a service holds; 0 if unknown."""
        known = self.services.get(service)
        return known.event_subscribers if known else 0


@attrs.frozen(kw_only=True)
class BackendServer:
    """A backend server as it registered itself.

    Parameters
    ----------
    id : str
        Identifier, new at most starts.
    service : str
        Service that it belongs to.
    address : Address
        Where it listens.
    failure_domain : str
        Where it runs.
    slots : int
        Requests that it processes at once.
    leaving : bool
        Whether it takes no new work.
    weights : mapping of str to int
        Version of the weights by model.
    started_ms : int
        Wall-clock time of its start in milliseconds; 0 if it does not say.
    """

    id: str
    service: str
    address: Address
    failure_domain: str
    slots: int
    leaving: bool
    weights: Mapping[str, int]
    started_ms: int = 0

    def with_newer_weights(self, previous: "BackendServer") -> "BackendServer":
        """Keep newer weights that are known of the same start.

        A server registers its weights some time after it has loaded them.
        """
        if previous.started_ms != self.started_ms:
            return self
        weights = {
            model: max(version, previous.weights.get(model, 0))
            for model, version in self.weights.items()
        }
        return attrs.evolve(self, weights=weights)
