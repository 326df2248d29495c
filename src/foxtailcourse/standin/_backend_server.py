"""Stand-in for a backend server of the platform, with faults."""

import hashlib
import time
from collections.abc import Callable
from typing import Any

import attrs
import msgspec
import trio

from foxtailcourse.http import Exchange

SIGNATURE = "x-foxtailcourse-response-signature"
REQUEST_ID = "x-foxtailcourse-request-id"
NOT_EXECUTED = "x-foxtailcourse-not-executed"
MAX_EVENTS_WAIT_S = 1.0


class BackendServerFaults(msgspec.Struct, kw_only=True):
    """Faults in force.

    Parameters
    ----------
    refuse : bool
        Whether requests are answered 503 without running.
    fail : bool
        Whether runs end with the server's own 500.
    mute : bool
        Whether runs are not answered.
    lose_answer : bool
        Whether the connection breaks after a run.
    cut_after_events : int
        Events after which a stream breaks within an event; 0 for never.
    foreign : bool
        Whether answers bear another request's identifier.
    unsigned : bool
        Whether answers lack the signature.
    plain_503 : bool
        Whether runs end with 503, without a word on whether they ran.
    unframed : bool
        Whether answers have no length.
    lose_orders : bool
        Whether orders are carried out and not answered.
    no_events : bool
        Whether calls for cache events are answered 500.
    late_orders_s : float
        Time after which an order is carried out; it is then not answered.
    """

    refuse: bool = False
    fail: bool = False
    mute: bool = False
    lose_answer: bool = False
    cut_after_events: int = 0
    foreign: bool = False
    unsigned: bool = False
    plain_503: bool = False
    unframed: bool = False
    lose_orders: bool = False
    no_events: bool = False
    late_orders_s: float = 0.0


@attrs.define(kw_only=True)
class Run:
    """One run of a request, as the server saw it."""

    request_id: str
    target: str
    body: bytes
    headers: dict[str, str]
    version: int
    events: int = 0
    ended: bool = False
    cancelled: bool = False


@attrs.define
class BackendServerStandin:
    """A backend server that speaks the platform's protocol.

    Parameters
    ----------
    id : str
        Identifier that it registers.
    service : str
        Its service.
    models : dict of str to int
        Version of the weights by model; empty for a plain service.
    event_s : float
        Time of one event of a stream, or of a plain run.
    load_s : float
        Time to load weights.
    """

    id: str
    service: str
    models: dict[str, int] = attrs.field(factory=dict)
    event_s: float = 0.005
    load_s: float = 0.05
    slots: int = 16
    faults: BackendServerFaults = attrs.field(factory=BackendServerFaults)
    runs: list[Run] = attrs.field(factory=list)
    orders: list[dict[str, Any]] = attrs.field(factory=list)
    accepted_orders: int = 0
    busy: bool = False
    draining: bool = False
    highest_fencing_token: int = 0
    started_ms: int = attrs.field(factory=lambda: int(time.time() * 1000))
    on_change: Callable[["BackendServerStandin"], None] = attrs.field(
        default=lambda worker: None
    )
    named: dict[str, int] = attrs.field(factory=dict)

    def registration(self, address: str, failure_domain: str) -> bytes:
        """Return what it registers in the platform's store."""
        models = [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.models.items()
        ]
        return msgspec.json.encode(
            {
                "service": self.service,
                "address": address,
                "zone": failure_domain,
                "version": "v1",
                "slots": self.slots,
                "state": "draining" if self.draining else "ready",
                "coldRemainingMs": 0,
                "stage": "combined",
                "models": models,
                "sequence": 1,
                "born": self.started_ms,
            }
        )

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        expected = exchange.headers.get("x-foxtailcourse-expected-instance", self.id)
        if expected != self.id:
            fields = {"x-foxtailcourse-instance-id": self.id}
            await exchange.respond(421, b"", fields)
        elif exchange.path == "/health":
            fields = {"x-foxtailcourse-instance-id": self.id}
            await exchange.respond(503 if self.draining else 200, b"", fields)
        elif exchange.path == "/foxtailcourse/report":
            await self._report(exchange)
        elif exchange.path == "/foxtailcourse/order":
            await self._order(exchange)
        elif exchange.path == "/foxtailcourse/kv-events":
            if self.faults.no_events:
                await exchange.respond(500, b"")
                return
            await trio.sleep(MAX_EVENTS_WAIT_S)
            value = {"epoch": 1, "next": 0, "lost": False, "events": []}
            await exchange.respond_json(200, value)
        else:
            await self._request(exchange)

    async def _report(self, exchange: Exchange) -> None:
        models = [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.models.items()
        ]
        value = {
            "stage": "combined",
            "models": models,
            "busy": self.busy,
            "sequence": self.accepted_orders,
            "born": self.started_ms,
        }
        await exchange.respond_json(200, value)

    async def _order(self, exchange: Exchange) -> None:
        order: Any = exchange.json()
        if self.faults.late_orders_s:
            await trio.sleep(self.faults.late_orders_s)
        if order["fencingToken"] < self.highest_fencing_token:
            await exchange.respond(412, b"")
            return
        self.highest_fencing_token = order["fencingToken"]
        if self.busy or order.get("precondition") != self.accepted_orders:
            await exchange.respond(409, b"")
            return
        if self.models.get(order["model"]) == order["version"]:
            await exchange.respond(200, b"")
            return
        self.orders.append(order)
        self.accepted_orders += 1
        self.busy = True
        trio.lowlevel.spawn_system_task(self._load, order["model"], order["version"])
        if self.faults.lose_orders or self.faults.late_orders_s:
            exchange.abort()
            return
        await exchange.respond(202, b"")

    async def _load(self, model: str, version: int) -> None:
        await trio.sleep(self.load_s)
        self.models[model] = version
        self.busy = False
        self.on_change(self)

    async def _request(self, exchange: Exchange) -> None:
        version = self.models.get(exchange.headers.get("x-foxtailcourse-model", ""), 0)
        wanted = exchange.headers.get("x-foxtailcourse-expected-version")
        if wanted is not None and int(wanted) != version:
            await exchange.respond(421, b"", {NOT_EXECUTED: "1"})
            return
        if self.faults.refuse or self.busy:
            await exchange.respond(503, b"", {NOT_EXECUTED: "1"})
            return
        run = Run(
            request_id=exchange.headers.get(REQUEST_ID, ""),
            target=exchange.target,
            body=exchange.body,
            headers=dict(exchange.headers),
            version=version,
        )
        self.runs.append(run)
        try:
            await self._run(exchange, run)
            run.ended = True
        except trio.Cancelled:
            run.cancelled = True
            raise

    async def _run(self, exchange: Exchange, run: Run) -> None:
        if self.faults.mute:
            await trio.sleep_forever()
        fields = {REQUEST_ID: "other" if self.faults.foreign else run.request_id}
        if not self.faults.unsigned:
            fields[SIGNATURE] = sign(run)
        if "x-foxtailcourse-token-counts" in run.headers:
            await self._stream(exchange, run, fields)
            return
        await trio.sleep(self.event_s)
        if self.faults.lose_answer:
            exchange.abort()
        elif self.faults.fail:
            await exchange.respond(500, b"failed", fields)
        elif self.faults.plain_503:
            await exchange.respond(503, b"", fields)
        elif self.faults.unframed:
            fields |= {"connection": "close", "content-type": "text/plain"}
            await exchange.start_stream(200, fields, plain_body(run))
            await exchange.end_stream()
        else:
            await exchange.respond(200, plain_body(run), fields)

    async def _stream(
        self, exchange: Exchange, run: Run, fields: dict[str, str]
    ) -> None:
        total = int(run.headers["x-foxtailcourse-token-counts"].split(",")[1])
        first = int(run.headers.get("last-event-id", "0")) + 1
        fields |= {
            "content-type": "text/event-stream",
            "x-foxtailcourse-weight-versions": str(run.version),
        }
        await exchange.start_stream(200, fields)
        for number in range(first, total + 1):
            await trio.sleep(self.event_s)
            run.events += 1
            event = stream_event(run.request_id, number)
            if self.faults.cut_after_events and run.events > (
                self.faults.cut_after_events
            ):
                await exchange.send(event[:-3])
                exchange.abort()
                return
            await exchange.send(event)
        await exchange.end_stream()


def sign(run: Run) -> str:
    """Return the signature of an answer."""
    return hashlib.blake2b(run.request_id.encode(), digest_size=8).hexdigest()


def plain_body(run: Run) -> bytes:
    """Return the answer of a plain run."""
    digest = hashlib.blake2b(run.body, digest_size=8).hexdigest()
    return f"{run.request_id} {run.target} {digest}".encode()


def stream_event(request_id: str, number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: {request_id} token {number}\n\n".encode()
