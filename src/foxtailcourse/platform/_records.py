"""Decodes the records that operators and backend servers write to the store."""

import json
import math
from collections.abc import Callable
from typing import Annotated, Any

import attrs
import msgspec

from foxtailcourse.decoding import MalformedDataError, decode_json
from foxtailcourse.fleet import (
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
from foxtailcourse.settings import parse_address, parse_ip_address

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
WEIGHTS_PREFIX = "op/version/"
SERVERS_PREFIX = "servers/"
LEAVING_STATE = "draining"
KNOWN_STATES = frozenset({"ready", LEAVING_STATE})
ROUTE_KINDS = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAM,
}

# Callers abandon a stream that sends no event for the longest of PATIENCE_MIN_S and of
# these multiples of the route's target latency and of its longest gap between events
# (PROTOCOL, Requests).
PATIENCE_MIN_S, PATIENCE_TARGET_RATIO, PATIENCE_GAP_RATIO = 2.0, 4, 8
# Numbers of a quota outside of these bounds make no sense.
MIN_QUOTA_RATE, MAX_QUOTA_NUMBER = 1e-6, 1e12
# Tokens that a request without token counts counts as, if the account does not say it.
DEFAULT_UNCACHED_TOKENS = 200.0
# Units of a quota; any other one counts requests.
TOKENS_UNIT, REQUESTS_UNIT = "tokens", "requests"
# Longest whole number that is decoded as one.
MAX_DIGITS = 18
# Problems of one configuration that are kept for the log, and characters of a value.
MAX_PROBLEMS, MAX_LOGGED_VALUE = 20, 40
# No server has more slots.
MAX_SLOTS = 1e6

Slots = Annotated[float, msgspec.Meta(gt=0, le=MAX_SLOTS)]
NotNegative = Annotated[int, msgspec.Meta(ge=0)]
NotEmpty = Annotated[str, msgspec.Meta(min_length=1)]


class RecordError(ValueError):
    """A record cannot be decoded."""


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 0.0
    # Longest gap between the events of a stream.
    target_gap_ms: float = 0.0
    priority: float = 0
    attempts: float = 1
    public: bool = False
    resumable: bool = False
    service: str = ""
    # Services with their shares of the requests; absent for a single service.
    traffic_split: list[_Split] = []

    def decode(self) -> Route:
        split = self.traffic_split or [_Split(self.service, 1.0)]
        patience_s = max(
            PATIENCE_MIN_S,
            PATIENCE_TARGET_RATIO * self.target_latency_ms / 1000,
            PATIENCE_GAP_RATIO * self.target_gap_ms / 1000,
        )
        return Route(
            name=self.name,
            host=self.host.lower(),
            path_prefix=self.path_prefix,
            kind=ROUTE_KINDS.get(self.kind, RouteKind.UNSAFE),
            timeout_s=self.timeout_ms / 1000,
            target_latency_s=self.target_latency_ms / 1000,
            priority=math.floor(self.priority),
            max_attempts=max(1, math.floor(self.attempts)),
            public=self.public,
            resumable=self.resumable,
            backends=tuple(
                RouteBackend(service=each.service, weight=each.weight) for each in split
            ),
            patience_s=patience_s,
        )


class _Engine(msgspec.Struct, rename="camel"):
    # Concurrent cache event calls, not requests, despite the name.
    max_concurrent: float = 0
    kv_token_bytes: float = 0
    link_mbps: float = 0
    kv_cache_tokens: float = 0

    def transfer_token_s(self) -> float:
        if self.link_mbps <= 0:
            return 0.0
        return max(0.0, self.kv_token_bytes) * 8 / (self.link_mbps * 1e6)


class _Service(msgspec.Struct, rename="camel"):
    name: str
    connection_limit: float = 0
    engine: _Engine | None = None
    kv_store_address: str = ""
    # Concurrent cache event calls of a KV-cache store.
    max_concurrent: float = 0

    def decode(self) -> Service:
        store = parse_address(self.kv_store_address) if self.kv_store_address else None
        return Service(
            name=self.name,
            connection_limit=_count(self.connection_limit),
            cache_store=store,
            event_subscribers=_count(
                self.engine.max_concurrent if self.engine else self.max_concurrent
            ),
            cache_tokens=_count(self.engine.kv_cache_tokens) if self.engine else 0,
            transfer_token_s=self.engine.transfer_token_s() if self.engine else 0.0,
        )


class _Tenant(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str]
    priority: float = 0
    isolated: bool = False
    # Of any type, so that a malformed quota leaves the configuration readable.
    rate_per_s: Any = None
    burst: Any = None
    unit: Any = None
    uncached_tokens: Any = None

    def decode_quota(self, problems: list[str]) -> Quota | None:
        """Return the quota, or None without one, and add what makes no sense."""

        def number(name: str, value: Any, meaning: str, minimum: float = 0.0) -> float:
            if value is None or value == 0:
                return 0.0
            # A bool is an int, too.
            is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
            if is_number and minimum <= value <= MAX_QUOTA_NUMBER:
                return float(value)
            problem(name, value, meaning)
            return 0.0

        def problem(name: str, value: Any, meaning: str) -> None:
            text = repr(value)[:MAX_LOGGED_VALUE]
            account = self.name[:MAX_LOGGED_VALUE]
            problems.append(f"account {account}: {name} {text} means {meaning}")

        rate_per_s = number("ratePerS", self.rate_per_s, "no limit", MIN_QUOTA_RATE)
        burst = number("burst", self.burst, "no burst")
        uncached_tokens = number(
            "uncachedTokens", self.uncached_tokens, f"{DEFAULT_UNCACHED_TOKENS:g}"
        )
        if self.unit not in (None, TOKENS_UNIT, REQUESTS_UNIT):
            problem("unit", self.unit, REQUESTS_UNIT)
        if rate_per_s == 0:
            return None
        return Quota(
            rate_per_s=rate_per_s,
            burst=burst,
            counts_tokens=self.unit == TOKENS_UNIT,
            default_tokens=uncached_tokens or DEFAULT_UNCACHED_TOKENS,
        )


class _Limits(msgspec.Struct, rename="camel", frozen=True):
    max_header_bytes: float | None = None
    max_body_bytes: float | None = None
    header_timeout_ms: float | None = None
    idle_timeout_ms: float | None = None

    def decode(self) -> CallerLimits:
        return CallerLimits(
            max_header_bytes=_whole(self.max_header_bytes),
            max_body_bytes=_whole(self.max_body_bytes),
            header_timeout_s=_seconds(self.header_timeout_ms),
            idle_timeout_s=_seconds(self.idle_timeout_ms),
        )


def _count(limit: float) -> int:
    """Return an upper limit rounded down, at least 1; 0 and less stand for unknown."""
    return max(1, math.floor(limit)) if limit > 0 else 0


def _whole(limit: float | None) -> int | None:
    """Return an upper limit rounded down, so that it is kept; None if there is none.

    0 and less stand for no limit, here and in ``_seconds``.
    """
    return None if limit is None or limit <= 0 else math.floor(limit)


def _seconds(milliseconds: float | None) -> float | None:
    if milliseconds is None or milliseconds <= 0:
        return None
    return milliseconds / 1000


class _Configuration(msgspec.Struct, rename="camel"):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    tenants: list[_Tenant] | None = None
    limits: _Limits = _Limits()


class _Model(msgspec.Struct):
    name: str
    version: NotNegative


class _Server(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    # That of the software, not of the weights.
    version: str
    state: str
    # May have a fraction, like each number that a scale can be applied to.
    slots: Slots
    models: list[_Model] = []
    born: NotNegative = 0
    # Not used; another type shows that another writer wrote the record.
    cold_remaining_ms: float | None = None
    sequence: float | None = None


class _Weights(msgspec.Struct):
    # Requests without a model have the empty name.
    model: NotEmpty
    version: NotNegative


def _decode(record_type: Any, value: bytes, key: str) -> Any:
    try:
        return decode_json(value, record_type)
    except MalformedDataError as exc:
        raise RecordError(f"{key}: {exc}") from exc


def _decode_configuration(value: bytes) -> Any:
    """Decode a configuration; numbers that JSON or a float cannot express are text."""
    try:
        return _decode(_Configuration, value, CONFIGURATION_KEY)
    except RecordError as exc:
        try:
            fields = json.loads(
                value, parse_constant=str, parse_float=_number, parse_int=_number
            )
            return msgspec.convert(fields, _Configuration)
        except (ValueError, msgspec.ValidationError, RecursionError):
            # The first error names the place.
            raise exc from None


def _number(text: str) -> float | str:
    if text.lstrip("-").isdigit() and len(text) <= MAX_DIGITS:
        return int(text)
    return value if math.isfinite(value := float(text)) else text


def decode_configuration(value: bytes) -> Configuration:
    """Return the configuration in a record; raises RecordError."""
    raw = _decode_configuration(value)
    by_host: dict[str, list[Route]] = {}
    for each in raw.routes:
        by_host.setdefault(each.host.lower(), []).append(each.decode())
    routes = {
        host: tuple(sorted(unsorted, key=lambda route: -len(route.path_prefix)))
        for host, unsorted in by_host.items()
    }
    accounts: dict[str, Account] = {}
    problems: list[str] = []
    for tenant in raw.tenants or ():
        account = Account(
            name=tenant.name,
            priority=math.floor(tenant.priority),
            isolated=tenant.isolated,
            quota=tenant.decode_quota(problems),
        )
        accounts |= dict.fromkeys(tenant.api_keys, account)
    try:
        services = {each.name: each.decode() for each in raw.services}
    except ValueError as exc:
        raise RecordError(f"{CONFIGURATION_KEY}: {exc}") from exc
    return Configuration(
        version=raw.version,
        routes=routes,
        services=services,
        accounts=accounts,
        keys_required=raw.tenants is not None,
        limits=raw.limits.decode(),
        problems=tuple(problems[:MAX_PROBLEMS]),
        isolated=frozenset(each.name for each in raw.tenants or () if each.isolated),
    )


def decode_server(key: str, value: bytes) -> BackendServer:
    """Return the backend server registered at a key; raises RecordError."""
    ident = key.removeprefix(SERVERS_PREFIX)
    # Each request names the identifier in a header.
    if not ident.isascii() or not ident.isprintable() or not ident.strip():
        raise RecordError(f"{key!r}: no identifier of a server")
    raw = _decode(_Server, value, key)
    if raw.state not in KNOWN_STATES:
        raise RecordError(f"{key}: unknown state {raw.state!r}")
    try:
        address = parse_ip_address(raw.address)
    except ValueError as exc:
        raise RecordError(f"{key}: {exc}") from exc
    return BackendServer(
        id=ident,
        service=raw.service,
        address=address,
        failure_domain=raw.zone,
        slots=max(1, math.floor(raw.slots)),
        leaving=raw.state == LEAVING_STATE,
        weights={each.name: each.version for each in raw.models},
        started_ms=raw.born,
        software_version=raw.version,
    )


def decode_weights(key: str, value: bytes) -> tuple[str, int]:
    """Return a model and its desired weights version; raises RecordError."""
    raw = _decode(_Weights, value, key)
    return raw.model, raw.version


@attrs.frozen(kw_only=True)
class RecordDispatcher:
    """Decodes the records of the store and passes each to a callback.

    Parameters
    ----------
    on_configuration : callable
        Called with a configuration and the revision at which it was written.
    on_weights : callable
        Called with a model and its desired weights version.
    on_server : callable
        Called with the identifier of a backend server, its registration, or None if its
        key was removed or cannot be decoded, and the revision of the change.
    on_unreadable : callable
        Called with the reason why a record cannot be decoded.
    """

    on_configuration: Callable[[Configuration, int], None]
    on_weights: Callable[[str, int], None]
    on_server: Callable[[str, BackendServer | None, int], None]
    on_unreadable: Callable[[str], None]

    def dispatch(self, key: str, value: bytes | None, revision: int) -> None:
        """Decode the record at a key and pass it to its callback.

        Parameters
        ----------
        key : str
            Key of the record.
        value : bytes or None
            The encoded record; None if the key was removed.
        revision : int
            Revision of the change.
        """
        try:
            if key == CONFIGURATION_KEY and value is not None:
                self.on_configuration(decode_configuration(value), revision)
            elif key.startswith(WEIGHTS_PREFIX) and value is not None:
                self.on_weights(*decode_weights(key, value))
            elif key.startswith(SERVERS_PREFIX):
                server = None if value is None else decode_server(key, value)
                self.on_server(key.removeprefix(SERVERS_PREFIX), server, revision)
        except RecordError as exc:
            self.on_unreadable(str(exc))
            if key.startswith(SERVERS_PREFIX):
                self.on_server(key.removeprefix(SERVERS_PREFIX), None, revision)
