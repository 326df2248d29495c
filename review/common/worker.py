"""Stand-in of a worker, by PROTOCOL.md: a plain service or a model worker."""

import asyncio
import hashlib
import time

from http11 import Server

REQUEST_ID = "x-foxtailcourse-request-id"
SIGNATURE = "x-foxtailcourse-response-signature"
NOT_EXECUTED = {"x-foxtailcourse-not-executed": "1"}
MAX_EVENTS_WAIT_S = 1.0


class Worker:
    """One worker, which registers itself in the store when it starts.

    Parameters
    ----------
    store : Store
        Where it registers.
    name : str
        Its identifier.
    service : str
        Its service.
    models : dict
        Weights version by model; empty for a plain service.
    event_s : float
        Time of one event of a stream, or of a plain request.
    load_s : float
        Time to load weights.

    Attributes
    ----------
    runs : list of tuple
        Time, request, weights version and headers of each run.
    orders : list of tuple
        Arrival time, body and status of each order.
    """

    def __init__(self, store, name, service, models=None, event_s=0.05, load_s=0.4):
        self.store = store
        self.name = name
        self.service = service
        self.models = dict(models or {})
        self.event_s = event_s
        self.load_s = load_s
        self.born = int(time.time() * 1000)
        self.busy = False
        self.accepted = 0
        self.software = "1"
        self.runs = []
        self.orders = []
        self.on_order = None
        self.server = Server(self._handle)

    async def start(self):
        """Open the listener and register."""
        await self.server.start()
        self.register()
        return self

    def register(self):
        """Write the entry of this worker."""
        self.store.put_json(
            f"servers/{self.name}",
            {
                "service": self.service,
                "address": self.server.address,
                "zone": "a",
                "version": self.software,
                "slots": 16,
                "state": "ready",
                "coldRemainingMs": 0,
                "sequence": 1,
                "stage": "combined",
                "models": self._model_rows(),
                "born": self.born,
            },
        )

    def _model_rows(self):
        return [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.models.items()
        ]

    async def _handle(self, request):
        expected = request.headers.get("x-foxtailcourse-expected-instance", self.name)
        if expected != self.name:
            fields = {"x-foxtailcourse-instance-id": self.name}
            await request.respond(421, b"", NOT_EXECUTED | fields)
        elif request.path == "/foxtailcourse/report":
            value = {
                "stage": "combined",
                "models": self._model_rows(),
                "busy": self.busy,
                "sequence": self.accepted,
                "waiting": 0,
                "running": 0,
                "born": self.born,
            }
            await request.respond_json(200, value)
        elif request.path == "/foxtailcourse/order":
            await self._handle_order(request)
        elif request.path == "/foxtailcourse/kv-events":
            wait_s = int(request.headers.get("wait-ms", "0")) / 1000
            await asyncio.sleep(min(MAX_EVENTS_WAIT_S, wait_s))
            value = {"epoch": self.born % 100_000, "next": 0, "lost": False}
            await request.respond_json(200, value | {"events": []})
        else:
            await self._run(request)

    async def _handle_order(self, request):
        order, arrived = request.json(), time.monotonic()
        if self.on_order is not None and await self.on_order(self, request, order):
            return
        status = self.accept(order)
        self.orders.append((arrived, order, status))
        await request.respond(status)

    def accept(self, order):
        """Carry out an order if it can be; return the status of the answer."""
        if self.busy or order.get("precondition", self.accepted) != self.accepted:
            return 409
        if self.models.get(order["model"]) == order["version"]:
            return 200
        self.busy = True
        self.accepted += 1
        asyncio.ensure_future(self._load(order["model"], order["version"]))
        return 202

    async def _load(self, model, version):
        await asyncio.sleep(self.load_s)
        self.models[model] = version
        self.busy = False
        self.register()

    async def _run(self, request):
        headers = request.headers
        version = self.models.get(headers.get("x-foxtailcourse-model", ""), 0)
        wanted = headers.get("x-foxtailcourse-expected-version")
        if wanted is not None and int(wanted) != version:
            await request.respond(421, b"", NOT_EXECUTED)
            return
        if self.busy and version:
            await request.respond(503, b"", NOT_EXECUTED)
            return
        ident = headers.get(REQUEST_ID, "")
        self.runs.append((time.monotonic(), ident, version, headers))
        digest = hashlib.blake2b(ident.encode(), digest_size=8).hexdigest()
        fields = {REQUEST_ID: ident, SIGNATURE: digest}
        counts = headers.get("x-foxtailcourse-token-counts")
        if not counts:
            await asyncio.sleep(self.event_s)
            await request.respond(200, f"done {ident}".encode(), fields)
            return
        fields |= {
            "content-type": "text/event-stream",
            "x-foxtailcourse-weight-versions": str(version),
        }
        await request.start_chunked(200, fields)
        first = int(headers.get("last-event-id", "0")) + 1
        for number in range(first, int(counts.split(",")[1]) + 1):
            await asyncio.sleep(self.event_s)
            event = f"id: {number}\ndata: token {number} of {self.software}\n\n"
            await request.send_chunk(event.encode())
        await request.end_chunks()
