"""Calls to backend servers other than callers' requests.

The ingress reads their reports and cache events and orders weight loads.
"""

import math
from collections.abc import Callable
from enum import Enum
from typing import TypeVar

import attrs
import msgspec

from foxtailcourse.decoding import MalformedDataError, decode_json
from foxtailcourse.http import ClientError, ConnectionPool, RequestOptions
from foxtailcourse.platform._headers import (
    EXPECTED_INSTANCE_HEADER,
    decode_response_headers,
)
from foxtailcourse.settings import Address

T = TypeVar("T")

EVENTS_TARGET = "/foxtailcourse/kv-events"
REPORT_TARGET = "/foxtailcourse/report"
ORDER_TARGET = "/foxtailcourse/order"
# The server finishes its running requests before it replaces the weights.
LOAD_MODE = "wait"
# Largest response to a report, an order or a poll of cache events.
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
# Longest time to receive a body, as a multiple of the timeout of a call.
BODY_TIMEOUT_MULTIPLE = 5.0


class ServerCallError(Exception):
    """A call to a backend server failed, or its response cannot be decoded."""


class SubscribersExceededError(ServerCallError):
    """The backend server has its maximum number of concurrent event calls."""


class OrderOutcome(Enum):
    """Outcome of an order to load weights.

    ACCEPTED
        The server loads the version.
    ALREADY_DONE
        The server has the version.
    BUSY
        The server is executing another order, or the expected number of accepted orders
        is wrong.
    FENCED
        The server has seen an order with a higher fencing token.
    REFUSED
        The server refused the order for another reason, or it was not sent.
    UNKNOWN
        No response; the order may have been accepted.
    """

    ACCEPTED = "accepted"
    ALREADY_DONE = "already_done"
    BUSY = "busy"
    FENCED = "fenced"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class ServerReport:
    """State that a backend server reports, some hundred milliseconds old.

    Parameters
    ----------
    weights : dict of str to int
        Weights version by model.
    busy : bool
        Whether the server is executing an order.
    accepted_orders : int
        Number of orders accepted since the start of the server.
    """

    weights: dict[str, int]
    busy: bool
    accepted_orders: int


@attrs.frozen(kw_only=True)
class LoadOrder:
    """An order to load a version of a model's weights.

    Parameters
    ----------
    instance : str
        Identifier of the backend server.
    model : str
        Name of the model.
    version : int
        Weights version to load.
    accepted_orders : int
        Number of orders that the server must have accepted before, so that a
        delayed duplicate fails.
    holder : str
        VM that sends the order.
    fence : int
        Fencing token of the holder.
    """

    instance: str
    model: str
    version: int
    accepted_orders: int
    holder: str
    fence: int


@attrs.frozen(kw_only=True)
class CacheEvent:
    """Change of a cache: the number of tokens of a part that are now cached.

    Parameters
    ----------
    salt : str
        Cache salt under which the part is cached.
    part : str
        Identifier of the prompt part.
    tokens : int
        Tokens that are cached; 0 if the part was evicted.
    """

    salt: str
    part: str
    tokens: int


@attrs.frozen(kw_only=True)
class CacheEvents:
    """Cache events after a position.

    Parameters
    ----------
    epoch : int
        Changes when the server or store restarts.
    next_position : int
        Position to read from next.
    events_lost : bool
        Whether events before these are missing.
    events : tuple of CacheEvent
        The events, oldest first.
    """

    epoch: int
    next_position: int
    events_lost: bool
    events: tuple[CacheEvent, ...]


class _Model(msgspec.Struct):
    name: str
    version: int


class _Report(msgspec.Struct):
    models: list[_Model] = []
    busy: bool = False
    # Number of orders accepted, not a position in a sequence.
    sequence: int = 0


class _Events(msgspec.Struct):
    epoch: int
    next: int
    lost: bool = False
    # [number, + or -, salt, part, tokens now cached, model]
    events: list[tuple[float, str, str, str, float, str]] = []


class ServerClient:
    """Makes calls to backend servers.

    Parameters
    ----------
    pool : ConnectionPool
        Makes the connections.
    timeout_s : float
        Longest wait for a response, in seconds, in addition to the wait that a call
        asks for.
    on_leaving : callable
        Called with the address of a server whose response says that it leaves.
    on_limit : callable
        Called with the address of a server whose response states a rate limit, and the
        limit in requests per second.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        timeout_s: float,
        on_leaving: Callable[[Address], None] = lambda address: None,
        on_limit: Callable[[Address, float], None] = lambda address, per_s: None,
    ) -> None:
        self._pool = pool
        self._timeout_s = timeout_s
        self._on_leaving = on_leaving
        self._on_limit = on_limit

    async def _call(
        self,
        address: Address,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
        wait_s: float = 0.0,
    ) -> tuple[int, bytes]:
        """Return the status and the body of a response; raises ServerCallError."""
        options = RequestOptions(
            connect_timeout_s=self._timeout_s,
            idle_timeout_s=self._timeout_s + wait_s,
            body_timeout_s=BODY_TIMEOUT_MULTIPLE * self._timeout_s,
            max_body_bytes=MAX_RESPONSE_BYTES,
            reuse=method == "GET",
        )
        try:
            async with self._pool.request(
                address, method, target, headers=headers, body=body, options=options
            ) as response:
                head = decode_response_headers(response.status, response.headers)
                if head.leaving:
                    self._on_leaving(address)
                if head.limit_per_s is not None:
                    self._on_limit(address, head.limit_per_s)
                return response.status, await response.read()
        except ClientError as exc:
            raise ServerCallError(f"{method} {target} at {address}: {exc}") from exc

    async def report(self, address: Address) -> ServerReport:
        """Return the report of a backend server; raises ServerCallError."""
        status, data = await self._call(address, "GET", REPORT_TARGET, {})
        raw = _decode(_Report, status, data, address)
        return ServerReport(
            weights={each.name: each.version for each in raw.models},
            busy=raw.busy,
            accepted_orders=raw.sequence,
        )

    async def send_order(self, address: Address, order: LoadOrder) -> OrderOutcome:
        """Send an order; a failed call is the outcome UNKNOWN, not an error."""
        payload = {
            "operation": "version",
            "model": order.model,
            "version": order.version,
            "mode": LOAD_MODE,
            "holder": order.holder,
            "fencingToken": order.fence,
            "precondition": order.accepted_orders,
        }
        headers = {
            "content-type": "application/json",
            EXPECTED_INSTANCE_HEADER: order.instance,
        }
        try:
            status, _ = await self._call(
                address, "POST", ORDER_TARGET, headers, msgspec.json.encode(payload)
            )
        except ServerCallError:
            return OrderOutcome.UNKNOWN
        return {
            200: OrderOutcome.ALREADY_DONE,
            202: OrderOutcome.ACCEPTED,
            409: OrderOutcome.BUSY,
            412: OrderOutcome.FENCED,
        }.get(status, OrderOutcome.REFUSED)

    async def cache_events(
        self, address: Address, since: int, wait_s: float
    ) -> CacheEvents:
        """Wait at most ``wait_s`` for events after a position.

        Raises
        ------
        SubscribersExceededError
            If the server has its maximum number of concurrent event calls.
        ServerCallError
            If the call fails.
        """
        headers = {"wait-ms": str(int(wait_s * 1000))}
        target = f"{EVENTS_TARGET}?since={since}"
        status, data = await self._call(address, "GET", target, headers, b"", wait_s)
        if status == 429:
            raise SubscribersExceededError(f"{address} accepts no more event calls")
        raw = _decode(_Events, status, data, address)
        events = tuple(
            CacheEvent(salt=salt, part=part, tokens=math.floor(tokens))
            for _, _, salt, part, tokens, _ in raw.events
        )
        return CacheEvents(
            epoch=raw.epoch,
            next_position=raw.next,
            events_lost=raw.lost,
            events=events,
        )


def _decode(response_type: type[T], status: int, data: bytes, address: Address) -> T:
    if status != 200:
        raise ServerCallError(f"{address} responded with status {status}")
    try:
        return decode_json(data, response_type)
    except MalformedDataError as exc:
        raise ServerCallError(f"{address}: malformed response: {exc}") from exc
