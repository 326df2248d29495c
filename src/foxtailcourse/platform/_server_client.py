"""Calls to backend servers beside callers' requests: reports, orders, cache events."""

from enum import Enum

import attrs
import msgspec

from foxtailcourse.http import ClientError, ConnectionPool, RequestOptions
from foxtailcourse.platform._headers import INSTANCE
from foxtailcourse.settings import Address

EVENTS_TARGET = "/foxtailcourse/kv-events"
REPORT_TARGET = "/foxtailcourse/report"
ORDER_TARGET = "/foxtailcourse/order"
# Running requests end before the weights are replaced.
LOAD_MODE = "wait"


class ServerCallError(Exception):
    """A call to a backend server failed or could not be read."""


class SubscribersExceededError(ServerCallError):
    """The backend server holds as many event calls as it may."""


class OrderOutcome(Enum):
    """What became of an order."""

    ACCEPTED = "accepted"
    ALREADY_DONE = "already_done"
    BUSY = "busy"
    FENCED = "fenced"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class ServerReport:
    """What a backend server says of itself, some hundred milliseconds late.

    Parameters
    ----------
    weights : dict of str to int
        Version by model.
    busy : bool
        Whether an order is being carried out.
    accepted_orders : int
        Orders accepted since its start.
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
        The backend server that it is meant for.
    accepted_orders : int
        Orders that the server must have accepted before; a late copy then fails.
    holder : str
        Name of the VM that gives the order.
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
    """How many tokens of a part a cache now holds; 0 if none."""

    salt: str
    part: str
    tokens: int


@attrs.frozen(kw_only=True)
class CacheEvents:
    """Events after a position.

    Parameters
    ----------
    epoch : int
        Changes at a restart.
    next_position : int
        Position to go on from.
    events_lost : bool
        Whether events before these are missing.
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
    # [number, + or -, salt, part, tokens stored now, model]
    events: list[tuple[int, str, str, str, int, str]] = []


class ServerClient:
    """Makes the calls.

    Parameters
    ----------
    pool : ConnectionPool
        Makes the connections.
    timeout_s : float
        Longest wait for an answer, beyond the wait that a call asks for.
    """

    def __init__(self, pool: ConnectionPool, timeout_s: float) -> None:
        self._pool = pool
        self._timeout_s = timeout_s

    async def _call(
        self,
        address: Address,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
        wait_s: float = 0.0,
    ) -> tuple[int, bytes]:
        options = RequestOptions(
            connect_timeout_s=self._timeout_s,
            idle_timeout_s=self._timeout_s + wait_s,
            reuse=method == "GET",
        )
        try:
            async with self._pool.request(
                address, method, target, headers=headers, body=body, options=options
            ) as response:
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

    async def load(self, address: Address, order: LoadOrder) -> OrderOutcome:
        """Give an order; never raises, as a lost answer is an outcome."""
        value = {
            "operation": "version",
            "model": order.model,
            "version": order.version,
            "mode": LOAD_MODE,
            "holder": order.holder,
            "fencingToken": order.fence,
            "precondition": order.accepted_orders,
        }
        headers = {"content-type": "application/json", INSTANCE: order.instance}
        try:
            status, _ = await self._call(
                address, "POST", ORDER_TARGET, headers, msgspec.json.encode(value)
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
        """Wait for events after a position; raises ServerCallError."""
        headers = {"wait-ms": str(int(wait_s * 1000))}
        target = f"{EVENTS_TARGET}?since={since}"
        status, data = await self._call(address, "GET", target, headers, b"", wait_s)
        if status == 429:
            raise SubscribersExceededError(f"{address} has no room for a subscriber")
        raw = _decode(_Events, status, data, address)
        events = tuple(
            CacheEvent(salt=salt, part=part, tokens=tokens)
            for _, _, salt, part, tokens, _ in raw.events
        )
        return CacheEvents(
            epoch=raw.epoch, next_position=raw.next, events_lost=raw.lost, events=events
        )


def _decode(kind, status: int, data: bytes, address: Address):
    if status != 200:
        raise ServerCallError(f"{address} answered {status}")
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise ServerCallError(f"{address}: {exc}") from exc
