"""Data types of the configuration, client accounts and backend servers."""

import functools
import hashlib
from collections.abc import Mapping
from enum import Enum

import attrs

from foxtailcourse.fleet._withdrawn import ServerRun
from foxtailcourse.settings import Address


class RouteKind(Enum):
    """Which requests of a route may be retried after a server may have run them.

    SAFE
        All requests.
    UNSAFE
        None.
    STREAM
        Responses are streams of events. All requests if the route is resumable.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@attrs.frozen(kw_only=True)
class RouteBackend:
    """A service of a route and its weight in the split of the route's requests."""

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
        Host that the route applies to, in lower case.
    path_prefix : str
        Prefix of the paths that the route applies to.
    kind : RouteKind
        Which requests may be retried after a server may have run them.
    timeout_s : float
        Time limit of a request, in seconds.
    target_latency_s : float
        Target time to the response, or to the first event of a stream, in seconds.
    priority : int
        Priority; 0 is the highest.
    max_attempts : int
        Largest number of backend servers that one request may be sent to.
    public : bool
        Whether requests need no API key.
    resumable : bool
        Whether another backend server may continue a stream.
    backends : tuple of RouteBackend
        Services that share the requests of the route.
    patience_s : float
        Time after which callers abandon a stream without a first event, in seconds.
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
        Connections that each backend server accepts in total; 0 if unknown.
    cache_store : Address or None
        Address of the KV-cache store, if the service is one.
    event_subscribers : int
        Concurrent polls for cache events that a backend server or KV-cache store
        accepts; 0 if unknown.
    transfer_token_s : float
        Time to transfer the KV cache of a token between two backend servers of a
        failure domain, in seconds; 0 if unknown.
    cache_tokens : int
        Memory of each backend server for the tokens of requests in progress; 0 if
        unknown.
    """

    name: str
    connection_limit: int = 0
    cache_store: Address | None = None
    event_subscribers: int = 0
    transfer_token_s: float = 0.0
    cache_tokens: int = 0


@attrs.frozen(kw_only=True)
class Quota:
    """Limit of a client account over all entries together.

    Parameters
    ----------
    rate_per_s : float
        Tokens or requests per second; above 0.
    burst : float
        Tokens or requests that may be used at once in addition.
    counts_tokens : bool
        Whether the limit counts tokens; otherwise it counts requests.
    default_tokens : float
        Tokens that a request without token counts counts as.
    """

    rate_per_s: float
    burst: float
    counts_tokens: bool
    default_tokens: float

    @property
    def unit(self) -> str:
        """What the limit counts, ``tokens`` or ``requests``."""
        return "tokens" if self.counts_tokens else "requests"


@attrs.frozen(kw_only=True)
class Account:
    """A client account.

    Parameters
    ----------
    name : str
        Name of the client account.
    priority : int
        Priority; 0 is the highest.
    isolated : bool
        Whether its cache entries are separate from those of other client accounts.
    quota : Quota or None
        Its limit over all entries; None without one.
    """

    name: str
    priority: int
    isolated: bool
    quota: Quota | None = None


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Size and time limits on callers; None stands for the ingress's default.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int or None
        Largest header section and body of a request.
    header_timeout_s : float or None
        Time limit for receiving a header section, in seconds.
    idle_timeout_s : float or None
        Time after which an idle connection is closed, in seconds.
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
        Version number that the operators gave it.
    routes : mapping of str to tuple of Route
        Routes by host, longest path prefix first.
    services : mapping of str to Service
        Services by name.
    accounts : mapping of str to Account
        Client accounts by API key.
    keys_required : bool
        Whether routes that are not public need an API key.
    limits : CallerLimits
        Limits on callers.
    problems : tuple of str
        Values of quotas that were replaced because they make no sense, for the log.
    isolated : frozenset of str
        Names of the isolated accounts, those without an API key included.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    accounts: Mapping[str, Account]
    keys_required: bool
    limits: CallerLimits = CallerLimits()
    problems: tuple[str, ...] = ()
    isolated: frozenset[str] = frozenset()

    @functools.cached_property
    def isolation(self) -> str:
        """Digest of which accounts are isolated; empty if none is."""
        if not self.isolated:
            return ""
        names = "\0".join(sorted(self.isolated))
        return hashlib.blake2b(names.encode(), digest_size=4).hexdigest()

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None."""
        for route in self.routes.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def cache_stores(self) -> tuple[Address, ...]:
        """Return the addresses of the KV-cache stores."""
        addresses = (each.cache_store for each in self.services.values())
        return tuple(each for each in addresses if each is not None)

    @functools.cached_property
    def _shortest_stream_targets_s(self) -> Mapping[str, float]:
        targets_s: dict[str, float] = {}
        for routes in self.routes.values():
            for route in routes:
                if route.kind is RouteKind.STREAM and route.target_latency_s > 0:
                    for backend in route.backends:
                        known_s = targets_s.get(backend.service, float("inf"))
                        targets_s[backend.service] = min(
                            known_s, route.target_latency_s
                        )
        return targets_s

    def shortest_stream_target_s(self, service_name: str) -> float:
        """Return the shortest target of a service's routes with streams, in seconds.

        It is infinity if there is none.
        """
        return self._shortest_stream_targets_s.get(service_name, float("inf"))

    def event_subscribers(self, service_name: str) -> int:
        """Return how many concurrent event polls a server of a service accepts.

        It is 0 if the number or the service is unknown.
        """
        service = self.services.get(service_name)
        return service.event_subscribers if service else 0


@attrs.frozen(kw_only=True)
class BackendServer:
    """Registration of a backend server.

    Parameters
    ----------
    id : str
        Identifier; most restarts change it.
    service : str
        Service that it belongs to.
    address : Address
        Address that it listens on.
    failure_domain : str
        Name of the failure domain that it runs in.
    slots : int
        Number of requests that it processes concurrently.
    leaving : bool
        Whether it accepts no new requests.
    weights : mapping of str to int
        Loaded weights version by model.
    started_ms : int
        Wall-clock start time in milliseconds; 0 if not reported.
    software_version : str
        Version of the server's software.
    """

    id: str
    service: str
    address: Address
    failure_domain: str
    slots: int
    leaving: bool
    weights: Mapping[str, int]
    started_ms: int = 0
    software_version: str = ""

    @property
    def run(self) -> ServerRun:
        """This run of the server."""
        return ServerRun(self.id, self.started_ms)

    def with_newer_weights(self, previous: "BackendServer") -> "BackendServer":
        """Return a copy with the newer weights versions of the previous record.

        A server registers its weights some time after it has loaded them. Versions from
        before a restart of the server are not used.
        """
        if previous.started_ms != self.started_ms:
            return self
        weights = {
            model: max(version, previous.weights.get(model, 0))
            for model, version in self.weights.items()
        }
        return attrs.evolve(self, weights=weights)
