"""Runs an entry in the test process, with fake agents that follow a script."""

import hashlib
import time
from contextlib import asynccontextmanager

import attrs
import msgspec
import trio

from foxtailcourse.config import ConfigStore, Record
from foxtailcourse.control import PeerError
from foxtailcourse.entry import EntryApp, EntrySettings
from foxtailcourse.http import ConnectionPool, HttpLimits, HttpServer, SseEvent
from foxtailcourse.http import format_sse as format_event
from foxtailcourse.observe import EventLog, HybridClock, Metrics
from foxtailcourse.platform import KeyValue, PlatformError, RangeResult, TxnResult
from foxtailcourse.process import DaemonContext, ProcessSettings
from foxtailcourse.protocol import Attempt, LoadReport, Reply, Verdict
from foxtailcourse.routing import PlacementSettings
from foxtailcourse.settings import Address

KEY = "secret-teatro"
CONTRACT = {
    "client_account": "teatro",
    "key_sha256": [hashlib.sha256(KEY.encode()).hexdigest()],
    "models": ["guide", "absent"],
    "services": ["coats", "seats"],
    "max_body_bytes": 20_000,
    "requests_per_s": 1e6,
    "tokens_per_s": 1e9,
}


def record(key, body, generation=1):
    """Return a configuration record."""
    return Record(key=key, generation=generation, write_id="w", body=body)


def chunk(position):
    """Return an OpenAI chunk with the text ``t<position>``."""
    delta = {"content": f"t{position} "}
    return msgspec.json.encode({"choices": [{"index": 0, "delta": delta}]}).decode()


class FakeKeyValue:
    """Key-value service in memory with faults injected by the test.

    ``faults`` lists the faults of the next calls: ``"down"`` fails without effect,
    ``"lost"`` applies a write but loses its response, ``"late"`` applies a write only
    when the next write begins, None is no fault.
    """

    def __init__(self):
        self.items = {}
        self.faults = []
        self.calls = 0
        self.era = 0
        self._late_write = None

    def _next_fault(self):
        """Apply a late write, if any, and return the fault of this call or None."""
        self.calls += 1
        late_write, self._late_write = self._late_write, None
        if late_write is not None:
            self._apply(*late_write)
        return self.faults.pop(0) if self.faults else None

    def _revision(self, key):
        return self.items[key][1] if key in self.items else 0

    def _write(self, puts):
        for put in puts:
            self.items[put.key] = (put.value, self._revision(put.key) + 1)

    def _item(self, key):
        value, revision = self.items[key]
        return KeyValue(key=key, value=value, mod_revision=revision)

    async def txn(self, compare, put=(), delete=()):
        fault = self._next_fault()
        if fault == "down":
            raise PlatformError("down", may_have_applied=False)
        if fault == "late":
            self._late_write = (dict(compare), list(put))
            raise PlatformError("late", may_have_applied=True)
        succeeded = self._apply(compare, put)
        for key in delete if succeeded else ():
            self.items.pop(key, None)
        if fault == "lost":
            raise PlatformError("lost", may_have_applied=True)
        current = [self._item(key) for key in compare if key in self.items]
        return TxnResult(
            succeeded=succeeded, revision=1, current=() if succeeded else tuple(current)
        )

    def _apply(self, compare, puts):
        matches = all(
            self._revision(key) == revision for key, revision in compare.items()
        )
        if matches:
            self._write(puts)
        return matches

    async def range(self, *prefixes):
        # A read does not apply a late write.
        late_write, self._late_write = self._late_write, None
        if self._next_fault() == "down":
            raise PlatformError("down", may_have_applied=False)
        self._late_write = late_write
        items = [self._item(key) for key in self.items if key.startswith(prefixes)]
        return RangeResult(revision=1, items=tuple(items))


@attrs.define
class FakeConfig:
    """Implements ConfigSource with a store that the test fills."""

    store: ConfigStore
    key_value: FakeKeyValue
    ready: bool = True
    peer_revisions: list = attrs.field(factory=list)

    def status(self):
        return {"ready": self.ready}

    def add_topic(self, topic, handler):
        pass

    async def exchange(self, vm, topics):
        raise PeerError(f"no peer {vm}")

    def record_peer_revision(self, revision, vm):
        self.peer_revisions.append((revision, vm))


class FakeAgent:
    """HTTP handler of an agent that records the attempts and runs a script.

    The script is called as ``script(agent, exchange, attempt)`` and sends the response;
    the default script sends complete responses.
    """

    def __init__(self, vm, serves="guide", script=None, version="v1"):
        self.vm, self.serves, self.version = vm, serves, version
        self.script = script or serve_complete
        self.attempts = []
        self.bodies = []
        self.headers = []
        self.address = None

    async def handle(self, exchange):
        attempt = Attempt.from_headers(exchange.headers)
        self.attempts.append(attempt)
        self.bodies.append(exchange.body)
        self.headers.append(exchange.headers)
        await self.script(self, exchange, attempt)

    def reply_fields(self, attempt, verdict=Verdict.RAN, leaving=False, **changes):
        values = {
            "verdict": verdict,
            "attempt_id": attempt.attempt_id,
            "backend_server": self.vm,
            "weights_version": self.version,
            "load": LoadReport(leaving=leaving),
        }
        return Reply(**(values | changes)).to_headers()

    async def refuse(self, exchange, attempt, code="busy", status=429, **changes):
        fields = self.reply_fields(
            attempt, Verdict.NOT_RUN, retry_after_ms=700, **changes
        )
        error = {"error": {"message": "refused", "code": code}}
        await exchange.respond_json(status, error, fields)

    async def start_stream(self, exchange, attempt, **changes):
        fields = self.reply_fields(attempt, **changes)
        await exchange.start_stream(200, fields | {"content-type": "text/event-stream"})

    async def send_tokens(self, exchange, positions):
        """Send one stream event for each token position."""
        for position in positions:
            event = SseEvent(chunk(position), id=str(position))
            await exchange.send(format_event(event))

    async def end_stream(self, exchange, attempt, count, attempt_id=None):
        """Send an end event that reports ``count`` events, and end the response."""
        end = {"count": count, "attempt_id": attempt_id or attempt.attempt_id}
        data = msgspec.json.encode(end).decode()
        await exchange.send(format_event(SseEvent(data, event="end")))
        await exchange.end_stream()


async def serve_complete(agent, exchange, attempt):
    """Send a complete response; a stream has max_tokens events."""
    body = msgspec.json.decode(exchange.body) if exchange.body else {}
    if isinstance(body, dict) and body.get("stream"):
        await agent.start_stream(exchange, attempt)
        last = attempt.max_tokens
        await agent.send_tokens(exchange, range(attempt.resume_from, last))
        await agent.end_stream(exchange, attempt, last)
        return
    value = {"vm": agent.vm, "body": body}
    await exchange.respond_json(200, value, agent.reply_fields(attempt))


@attrs.define
class RunningEntry:
    """A running entry and the client that calls it."""

    app: EntryApp
    daemon: DaemonContext
    store: ConfigStore
    address: Address
    pool: ConnectionPool
    config: FakeConfig

    @asynccontextmanager
    async def open(self, method, target, value=None, *, key=KEY, body=None, **fields):
        """Send a request and yield the response.

        ``value`` is the JSON body, ``body`` a raw one. ``key`` is the API key, empty
        for none. ``fields`` are header fields, with underscores for hyphens.
        """
        data = body if body is not None else b""
        if value is not None:
            data = msgspec.json.encode(value)
        headers = {name.replace("_", "-"): text for name, text in fields.items()}
        if key:
            headers["authorization"] = f"Bearer {key}"
        async with self.pool.request(
            self.address, method, target, headers=headers, body=data
        ) as response:
            yield response

    async def call(self, method, target, value=None, **options):
        """Send a request as ``open`` does; return status, headers and body."""
        async with self.open(method, target, value, **options) as response:
            return response.status, response.headers, await response.read()

    async def chat(self, *, stream=True, max_tokens=5, **options):
        """Send a chat completion request; return status, headers and body."""
        value = {
            "model": "guide",
            "messages": [{"role": "user", "content": "ciao"}],
            "stream": stream,
            "max_tokens": max_tokens,
        }
        return await self.call("POST", "/v1/chat/completions", value, **options)


@asynccontextmanager
async def running_agents(agents):
    """Serve each agent on a free port."""
    async with trio.open_nursery() as nursery:
        for agent in agents:
            server = HttpServer(agent.handle, HttpLimits(), lambda e, exc: None)
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            await nursery.start(server.serve, listeners)
            port = listeners[0].socket.getsockname()[1]
            agent.address = Address("127.0.0.1", port)
        yield
        nursery.cancel_scope.cancel()


def agent_record(agent, state="live", generation=1):
    address = {"host": agent.address.host, "port": agent.address.port}
    body = {
        "vm": agent.vm,
        "failure_domain": "palermo",
        "role": "agent",
        "serves": agent.serves,
        "listen": address,
        "control": address,
        "admin": address,
        "state": state,
    }
    return record(f"vms/{agent.vm}", body, generation)


@asynccontextmanager
async def running_entry(agents, contract=None, key_value=None, **settings):
    """Run the agents, and an entry whose configuration lists them."""
    async with running_agents(agents):
        store = ConfigStore()
        store.merge([agent_record(each) for each in agents])
        store.merge(
            [
                record("contracts/teatro", CONTRACT | (contract or {})),
                record("models/guide", {"model": "guide", "weights_version": "v1"}),
                record("services/coats", {"route": "coats"}),
                record("services/seats", {"route": "seats", "repeatable": True}),
            ]
        )
        local = Address("127.0.0.1", 0)
        process_cfg = ProcessSettings(
            vm="e1", failure_domain="palermo", admin_listen=local, drain_grace_s=0.05
        )
        events = EventLog("test", HybridClock(time.time))
        daemon = DaemonContext(process_cfg, events, Metrics(), trio.Event())
        cfg = EntrySettings(listen=local, **settings)
        config = FakeConfig(store, key_value or FakeKeyValue())
        app = EntryApp(daemon, cfg, PlacementSettings(), config)
        async with trio.open_nursery() as nursery:
            await nursery.start(app.run)
            pool = ConnectionPool()
            yield RunningEntry(app, daemon, store, app.address, pool, config)
            await pool.aclose()
            nursery.cancel_scope.cancel()
