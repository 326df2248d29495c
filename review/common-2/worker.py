"""Stand-in of a backend server: plain requests, streams, reports and cache events."""

import hashlib
import json
import time

import trio

SIGNATURE = "x-foxtailcourse-response-signature"
REQUEST_ID = "x-foxtailcourse-request-id"
NOT_EXECUTED = "x-foxtailcourse-not-executed"
EVENTS_WAIT_S = 1.0


class Worker:
    """One backend server; its identifier may outlast a restart.

    Each run is appended to ``runs``. A stream has one event for each output token, and
    each event names the software version that made it.
    """

    def __init__(self, ident, service, models=None, *, software="v1", event_s=0.05):
        self.id, self.service, self.models = ident, service, models or {}
        self.software, self.event_s = software, event_s
        self.born = int(time.time() * 1000)
        self.state, self.slots, self.sequence = "ready", 64, 0
        self.down = False
        self.runs = []
        self.orders = []
        self.accepted_orders = 0
        self._scopes = set()

    def registration(self, address, zone="palermo"):
        """Return the value that the server writes to the store."""
        self.sequence += 1
        value = {
            "service": self.service,
            "address": address,
            "zone": zone,
            "version": self.software,
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "stage": "combined",
            "models": self._models(),
            "born": self.born,
        }
        return json.dumps(value).encode()

    def _models(self):
        return [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.models.items()
        ]

    def stop(self):
        """Crash: all connections break off, streams in the middle of an event."""
        self.down = True
        for scope in tuple(self._scopes):
            scope.cancel()

    def start(self, software=None):
        """Start again under the same identifier; nothing is left of before."""
        self.software = software or self.software
        self.born = max(self.born + 1, int(time.time() * 1000))
        self.sequence = self.accepted_orders = 0
        self.down = False

    async def handle(self, exchange):
        if self.down:
            exchange.abort()
            return
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                await self._respond(exchange)
            finally:
                self._scopes.discard(scope)
        if scope.cancelled_caught:
            if exchange.response_started:
                exchange.send_now(b"5\r\nid: 9\r\n")
            exchange.abort()

    async def _respond(self, exchange):
        request_id = exchange.headers.get(REQUEST_ID, "")
        expected = exchange.headers.get("x-foxtailcourse-expected-instance", self.id)
        if expected != self.id:
            await exchange.respond(421, b"", {REQUEST_ID: request_id})
        elif exchange.path == "/foxtailcourse/report":
            await exchange.respond_json(
                200,
                {
                    "stage": "combined",
                    "models": self._models(),
                    "busy": False,
                    "sequence": self.accepted_orders,
                    "waiting": 0,
                    "running": len(self._scopes),
                    "kvCacheUsed": 0,
                    "kvCacheTotal": 175_413,
                    "handles": 0,
                    "born": self.born,
                },
            )
        elif exchange.path == "/foxtailcourse/kv-events":
            await trio.sleep(EVENTS_WAIT_S)
            value = {"epoch": self.born, "next": 1, "lost": False, "events": []}
            await exchange.respond_json(200, value | {"born": self.born})
        elif exchange.path == "/foxtailcourse/order":
            await self.handle_order(exchange)
        else:
            await self._run(exchange, request_id)

    async def handle_order(self, exchange):
        """Refuse an order: this server knows no other weights."""
        await exchange.respond(400, b"")

    async def _run(self, exchange, request_id):
        model = exchange.headers.get("x-foxtailcourse-model", "")
        version = exchange.headers.get("x-foxtailcourse-expected-version")
        if version is not None and int(version) != self.models.get(model, 0):
            await exchange.respond(421, b"", {REQUEST_ID: request_id})
            return
        run = {
            "id": request_id,
            "server": self.id,
            "software": self.software,
            "method": exchange.method,
            "target": exchange.target,
            "body": exchange.body,
            "headers": dict(exchange.headers),
            "at": trio.current_time(),
            "ended": False,
        }
        self.runs.append(run)
        signature = hashlib.blake2b(request_id.encode(), digest_size=8).hexdigest()
        fields = {REQUEST_ID: request_id, SIGNATURE: signature}
        if "x-foxtailcourse-token-counts" in exchange.headers:
            await self._stream(exchange, fields, version)
        else:
            await trio.sleep(self.event_s)
            body = self.answer(exchange)
            await exchange.respond(200, body, fields, content_type="text/plain")
        run["ended"] = True

    def answer(self, exchange):
        """Return the body of the answer to a plain request."""
        return f"{exchange.headers.get(REQUEST_ID)} {exchange.target}".encode()

    async def _stream(self, exchange, fields, version):
        request_id = fields[REQUEST_ID]
        _, _, output = exchange.headers["x-foxtailcourse-token-counts"].partition(",")
        last = exchange.headers.get("last-event-id", "")
        first = int(last) + 1 if last.isdigit() else 1
        fields |= {
            "content-type": "text/event-stream",
            "x-foxtailcourse-weight-versions": version or "1",
        }
        await exchange.start_stream(200, fields)
        for number in range(first, int(output) + 1):
            await trio.sleep(self.event_s)
            event = f"id: {number}\ndata: {request_id} {number} {self.software}\n\n"
            await exchange.send(event.encode())
        await exchange.end_stream()
