"""Stand-in of a backend server of the platform, with fault injection."""

import hashlib
import math
import socket
import struct
import time
from collections.abc import Callable, Mapping
from typing import Any

import attrs
import msgspec
import trio

from foxtailcourse.decoding import decode_whole_number
from foxtailcourse.http import Exchange

SIGNATURE = "x-foxtailcourse-response-signature"
REQUEST_ID = "x-foxtailcourse-request-id"
NOT_EXECUTED = "x-foxtailcourse-not-executed"
LEAVING = "server-leaving"
LIMIT = "server-limit"
MAX_EVENTS_WAIT_S = 1.0
BEGUN_EVENT = b"id: "
INFORMATIONAL = b"HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n"
# Linger option of a socket whose close is a TCP reset.
RESET_LINGER = struct.pack("ii", 1, 0)
CONTROL_PATHS = {
    "/health",
    "/foxtailcourse/report",
    "/foxtailcourse/order",
    "/foxtailcourse/kv-events",
}


class BackendServerFaults(msgspec.Struct, kw_only=True):
    """Faults that one backend server stand-in currently injects.

    Parameters
    ----------
    refuse : bool
        Whether requests are refused with status 503 and the not-executed header.
    fail : bool
        Whether requests are executed and fail with the server's own status 500.
    mute : bool
        Whether requests are accepted and never get a response.
    lose_answer : bool
        Whether the connection is aborted after the execution of a request.
    cut_after_events : int
        Number of events after which a stream is truncated within the next event;
        0 for never.
    foreign : bool
        Whether responses carry the identifier of another request.
    unsigned : bool
        Whether responses have no signature.
    plain_503 : bool
        Whether executed requests get status 503 without the not-executed header.
    unframed : bool
        Whether answers and streams have neither a length nor chunks and end with their
        connection. If such a stream is cut, its connection is closed, not reset.
    cut_head : str
        Whether connections are closed ("close") or reset ("reset") within the head of
        a response, after another number of bytes each time; empty for neither.
    informational : bool
        Whether an informational response (103) precedes each response.
    lose_orders : bool
        Whether the connection is aborted after an order is accepted.
    no_events : bool
        Whether reading the cache events fails with status 500.
    says_leaving : bool
        Whether each response says that the server leaves.
    retry_after : str
        Retry-after header of refusals; empty for none.
    limit : str
        Requests per second that each response names as the server's limit; empty for
        none. The server runs what it gets all the same.
    late_orders_s : float
        Delay of each order, in seconds; if it is then accepted, its connection is
        aborted.
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
    cut_head: str = ""
    informational: bool = False
    lose_orders: bool = False
    no_events: bool = False
    says_leaving: bool = False
    retry_after: str = ""
    limit: str = ""
    late_orders_s: float = 0.0


@attrs.define(kw_only=True)
class Run:
    """Record of one execution of a request by a backend server.

    Parameters
    ----------
    request_id, target, body, headers
        Content of the request.
    version : int
        Weights version that served it; 0 for a plain service.
    software_version : str
        Software version of the server that ran it.
    position : int
        Last stream event that the request named; 0 if it runs from the start.
    events : int
        Number of stream events generated so far.
    ended, cancelled : bool
        Whether the response was completed, or the execution cancelled.
    at : float
        When it began, in seconds of the trio clock.
    started_ms : int
        Start time of the server that ran it.
    limit : str
        Requests per second that the server named as its limit; empty for none.
    answered_at : float
        When its response began, in seconds of the trio clock; 0 if it has not.
    crashed_server : bool
        Whether it crashed the server.
    """

    request_id: str
    target: str
    body: bytes
    headers: dict[str, str]
    version: int
    software_version: str = "v1"
    position: int = 0
    events: int = 0
    ended: bool = False
    cancelled: bool = False
    at: float = 0.0
    started_ms: int = 0
    limit: str = ""
    answered_at: float = 0.0
    crashed_server: bool = False


@attrs.frozen
class Refusal:
    """Record of one request that a backend server refused.

    Parameters
    ----------
    request_id : str
        The request.
    at : float
        When it was refused, in seconds of the trio clock.
    retry_after : str
        The retry-after header; empty for none.
    """

    request_id: str
    at: float
    retry_after: str


@attrs.define
class BackendServerStandin:
    """Simulates a backend server with the platform's protocol.

    Parameters
    ----------
    id : str
        Identifier under which the server registers.
    service : str
        Name of its service.
    models : dict of str to int
        Version of the weights by model; empty for a plain service.
    event_s : float
        Time of one stream event, or of one plain request, in seconds.
    load_s : float
        Time to load weights, in seconds.
    slots : int
        Number of slots that it registers.
    software_version : str
        Version of the server's software; its stream events name it.
    faults : BackendServerFaults
        Injected faults.
    runs : list of Run
        Executions, the oldest first.
    orders : list of dict
        Accepted orders, the oldest first.
    refusals : list of Refusal
        Refused requests, the oldest first.
    accepted_orders : int
        Number of accepted orders, the precondition of the next one.
    busy : bool
        Whether a weight load is running.
    draining : bool
        Whether the server registers as draining and reports itself unhealthy.
    highest_fencing_token : int
        Highest fencing token received; orders with a lower one are refused.
    started_ms : int
        Start time in milliseconds since 1970.
    deadly_part : str
        Part of a prompt that crashes the server when it begins to answer; empty for
        none.
    deadly_targets : tuple of str
        Targets of the requests that crash the server before it responds to them.
    restart_s : float
        Time from a crash until the server has started again, in seconds.
    down : bool
        Whether it has crashed and not started again. All connections then break off.
    crashed_at : list of float
        Times of its crashes, in seconds of the trio clock.
    on_change : callable
        Called with the server after each weight load, crash and start.
    """

    id: str
    service: str
    models: dict[str, int] = attrs.field(factory=dict)
    event_s: float = 0.005
    load_s: float = 0.05
    slots: int = 16
    software_version: str = "v1"
    faults: BackendServerFaults = attrs.field(factory=BackendServerFaults)
    runs: list[Run] = attrs.field(factory=list)
    orders: list[dict[str, Any]] = attrs.field(factory=list)
    refusals: list[Refusal] = attrs.field(factory=list)
    accepted_orders: int = 0
    busy: bool = False
    draining: bool = False
    highest_fencing_token: int = 0
    started_ms: int = attrs.field(factory=lambda: int(time.time() * 1000))
    deadly_part: str = ""
    deadly_targets: tuple[str, ...] = ()
    restart_s: float = 0.3
    down: bool = False
    crashed_at: list[float] = attrs.field(factory=list)
    on_change: Callable[["BackendServerStandin"], None] = attrs.field(
        default=lambda server: None
    )
    _running: set[trio.CancelScope] = attrs.field(factory=set, init=False)
    _silent_until: float = attrs.field(default=-math.inf, init=False)

    def registration(self, address: str, failure_domain: str) -> bytes:
        """Return the JSON value that the server registers in the platform's store."""
        models = [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.models.items()
        ]
        return msgspec.json.encode(
            {
                "service": self.service,
                "address": address,
                "zone": failure_domain,
                "version": self.software_version,
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
        """Handle one request of an ingress."""
        if self.down:
            exchange.abort()
            return
        with trio.CancelScope() as scope:
            self._running.add(scope)
            try:
                await self._respond(exchange)
            finally:
                self._running.discard(scope)
        if not scope.cancelled_caught:
            return
        if self.faults.unframed and exchange.response_started:
            # Between events, the end would be that of a complete stream.
            await exchange.send(BEGUN_EVENT)
            await exchange.end_stream()
        else:
            exchange.abort()

    def pause(self, duration_s: float) -> None:
        """Send nothing on any connection for a time; nothing is lost.

        Requests that arrive meanwhile are executed and answered afterwards.
        """
        resumes_at = trio.current_time() + duration_s
        self._silent_until = max(self._silent_until, resumes_at)

    async def _wait_for_pause(self) -> None:
        """Wait until no pause is in progress; it may be extended meanwhile."""
        while trio.current_time() < self._silent_until:  # noqa: ASYNC110 - a set end
            await trio.sleep_until(self._silent_until)

    def crash(self) -> None:
        """Break off all connections, and start again after ``restart_s``."""
        self.down = True
        self.crashed_at.append(trio.current_time())
        for scope in self._running:
            scope.cancel()
        self.on_change(self)
        trio.lowlevel.spawn_system_task(self._restart)

    async def _crash_by(self, run: Run) -> None:
        run.crashed_server = True
        self.crash()
        await trio.sleep_forever()

    async def _restart(self) -> None:
        await trio.sleep(self.restart_s)
        self.started_ms += 1
        self.down = False
        self.on_change(self)

    async def _respond(self, exchange: Exchange) -> None:
        if self.faults.says_leaving:
            exchange.common_fields[LEAVING] = "1"
        if self.faults.limit:
            exchange.common_fields[LIMIT] = self.faults.limit
        expected_id = exchange.headers.get("x-foxtailcourse-expected-instance", self.id)
        if expected_id != self.id or exchange.path in CONTROL_PATHS:
            await self._wait_for_pause()
        if expected_id != self.id:
            headers = {"x-foxtailcourse-instance-id": self.id}
            headers[REQUEST_ID] = exchange.headers.get(REQUEST_ID, "")
            await exchange.respond(421, b"", headers)
        elif exchange.path == "/health":
            headers = {"x-foxtailcourse-instance-id": self.id}
            await exchange.respond(503 if self.draining else 200, b"", headers)
        elif exchange.path == "/foxtailcourse/report":
            await self._report(exchange)
        elif exchange.path == "/foxtailcourse/order":
            await self._accept_order(exchange)
        elif exchange.path == "/foxtailcourse/kv-events":
            if self.faults.no_events:
                await exchange.respond(500, b"")
                return
            await trio.sleep(MAX_EVENTS_WAIT_S)
            await self._wait_for_pause()
            value = {"epoch": 1, "next": 0, "lost": False, "events": []}
            await exchange.respond_json(200, value)
        else:
            await self._handle_request(exchange)

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

    async def _accept_order(self, exchange: Exchange) -> None:
        """Accept an order to load weights, or refuse it.

        An order is refused with 412 for a low fencing token, and with 409 during a
        load or if orders were accepted since the one that it is based on.
        """
        order: Any = exchange.json()
        if self.faults.late_orders_s:
            await trio.sleep(self.faults.late_orders_s)
            await self._wait_for_pause()
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
        trio.lowlevel.spawn_system_task(
            self._load_weights, order["model"], order["version"]
        )
        if self.faults.lose_orders or self.faults.late_orders_s:
            exchange.abort()
            return
        await exchange.respond(202, b"")

    async def _load_weights(self, model: str, version: int) -> None:
        await trio.sleep(self.load_s)
        self.models[model] = version
        self.busy = False
        self.on_change(self)

    async def _handle_request(self, exchange: Exchange) -> None:
        version = self.models.get(exchange.headers.get("x-foxtailcourse-model", ""), 0)
        expected_version = exchange.headers.get("x-foxtailcourse-expected-version")
        if expected_version is not None and int(expected_version) != version:
            await self._wait_for_pause()
            await exchange.respond(421, b"", _refusal_headers(exchange))
            return
        if self.faults.refuse or self.busy:
            fields = _refusal_headers(exchange)
            if self.faults.retry_after:
                fields["retry-after"] = self.faults.retry_after
            await self._wait_for_pause()
            refusal = Refusal(
                exchange.headers.get(REQUEST_ID, ""),
                trio.current_time(),
                self.faults.retry_after,
            )
            self.refusals.append(refusal)
            await exchange.respond(503, b"", fields)
            return
        run = Run(
            request_id=exchange.headers.get(REQUEST_ID, ""),
            target=exchange.target,
            body=exchange.body,
            headers=dict(exchange.headers),
            version=version,
            software_version=self.software_version,
            at=trio.current_time(),
            started_ms=self.started_ms,
            limit=self.faults.limit,
        )
        self.runs.append(run)
        try:
            await self._execute(exchange, run)
            run.ended = True
        except trio.Cancelled:
            run.cancelled = True
            raise

    async def _execute(self, exchange: Exchange, run: Run) -> None:
        if self.faults.mute:
            await trio.sleep_forever()
        await self._wait_for_pause()
        headers = {REQUEST_ID: "other" if self.faults.foreign else run.request_id}
        if not self.faults.unsigned:
            headers[SIGNATURE] = sign(run)
        if run.target in self.deadly_targets:
            await trio.sleep(self.event_s)
            await self._crash_by(run)
        if self.faults.informational:
            exchange.send_now(INFORMATIONAL)
        if self.faults.cut_head:
            await trio.sleep(self.event_s)
            self._cut_head(exchange, headers)
            return
        # The response to a request with token counts is a stream.
        if "x-foxtailcourse-token-counts" in run.headers:
            run.answered_at = trio.current_time()
            await self._stream(exchange, run, headers)
            return
        await trio.sleep(self.event_s)
        await self._wait_for_pause()
        run.answered_at = trio.current_time()
        if self.faults.lose_answer:
            exchange.abort()
        elif self.faults.fail:
            await exchange.respond(500, b"failed", headers)
        elif self.faults.plain_503:
            await exchange.respond(503, b"", headers)
        elif self.faults.unframed:
            exchange.end_with_connection()
            headers["content-type"] = "text/plain"
            await exchange.start_stream(200, headers, plain_body(run))
            await exchange.end_stream()
        else:
            await exchange.respond(200, plain_body(run), headers)

    def _cut_head(self, exchange: Exchange, headers: dict[str, str]) -> None:
        """Send a part of the head of a response and end the connection."""
        fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        head = f"HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n"
        exchange.send_now(head[: 7 * len(self.runs) % len(head)].encode())
        if self.faults.cut_head == "reset":
            stream = exchange._conn.stream
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
        exchange.abort()

    async def _stream(
        self, exchange: Exchange, run: Run, headers: dict[str, str]
    ) -> None:
        """Stream one event for each output token, after the last event received."""
        # The header contains the prompt tokens and the largest number of output tokens.
        output_tokens = int(run.headers["x-foxtailcourse-token-counts"].split(",")[1])
        run.position = decode_whole_number(run.headers.get("last-event-id", "")) or 0
        headers |= {
            "content-type": "text/event-stream",
            "x-foxtailcourse-weight-versions": str(run.version),
        }
        if self.faults.unframed:
            exchange.end_with_connection()
        await exchange.start_stream(200, headers)
        if self.deadly_part in part_names(run.headers):
            # The head of the response reaches its recipient.
            await trio.sleep(self.event_s)
            await self._crash_by(run)
        for number in range(run.position + 1, output_tokens + 1):
            await trio.sleep(self.event_s)
            await self._wait_for_pause()
            run.events += 1
            event = stream_event(run.request_id, number, run.software_version)
            if self.faults.cut_after_events and run.events > (
                self.faults.cut_after_events
            ):
                # Without its last bytes, the event is incomplete.
                await exchange.send(event[:-3])
                if self.faults.unframed:
                    await exchange.end_stream()
                else:
                    exchange.abort()
                return
            await exchange.send(event)
        await exchange.end_stream()


def _refusal_headers(exchange: Exchange) -> dict[str, str]:
    """Return the header fields of a response that a request has not run."""
    return {REQUEST_ID: exchange.headers.get(REQUEST_ID, ""), NOT_EXECUTED: "1"}


def part_names(headers: Mapping[str, str]) -> list[str]:
    """Return the names of the parts of a prompt, without the last one."""
    parts = headers.get("x-foxtailcourse-prompt-prefix", "").split(",")
    return [each.partition(":")[0] for each in parts[:-1]]


def sign(run: Run) -> str:
    """Return the signature header's value for the response of an execution."""
    return hashlib.blake2b(run.request_id.encode(), digest_size=8).hexdigest()


def plain_body(run: Run) -> bytes:
    """Return the response body of a request that is not streamed."""
    digest = hashlib.blake2b(run.body, digest_size=8).hexdigest()
    return f"{run.request_id} {run.target} {digest}".encode()


def stream_event(request_id: str, number: int, software_version: str = "v1") -> bytes:
    """Return one stream event, as sent; numbers start at 1."""
    data = f"{request_id} token {number} {software_version}"
    return f"id: {number}\ndata: {data}\n\n".encode()
