"""Test case with entries on a platform stand-in, all in one trio run."""

import time
from contextlib import asynccontextmanager

import attrs
import msgspec
import trio

from cluster import serve, wait_until
from foxtailcourse.http import ClientError, ConnectionPool, RequestOptions
from foxtailcourse.ingress import IngressApp, IngressSettings
from foxtailcourse.observe import EventLog, HybridClock, Metrics
from foxtailcourse.process import DaemonContext, ProcessSettings
from foxtailcourse.settings import Address
from foxtailcourse.standin._backend_server import BackendServerStandin
from foxtailcourse.standin._platform import PlatformStandin
from support import AsyncTestCase

LOCAL = Address("127.0.0.1", 0)
MODEL = "guide"


def route(name, kind="safe", **changes):
    value = {
        "name": name,
        "host": "app.example",
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 200,
        "priority": 0,
        "service": "coats",
        "attempts": 2,
        "public": False,
        "resumable": False,
    }
    return value | changes


ROUTES = (
    route("look"),
    route("return", "unsafe", attempts=3),
    route("open", public=True),
    route("brief", "streaming", service="llm", attempts=1),
    route("ask", "streaming", service="llm", resumable=True, attempts=3),
)


def configuration(
    version=1, routes=ROUTES, keys=("key-1",), limits=None, quota=None, accounts=None
):
    """Return an encoded configuration.

    ``quota`` has fields of the first account; ``accounts`` replaces all of them.
    """
    account = {"name": "teatro", "apiKeys": list(keys), "priority": 1} | (quota or {})
    return msgspec.json.encode(
        {
            "version": version,
            "routes": list(routes),
            "services": [
                {"name": "coats", "connectionLimit": 100},
                {
                    "name": "llm",
                    "connectionLimit": 100,
                    "engine": {"maxConcurrent": 12},
                },
            ],
            "limits": limits or {},
            "tenants": accounts
            or [
                account,
                {"name": "walled", "apiKeys": ["key-w"], "isolated": True},
            ],
        }
    )


@attrs.define
class CallerResponse:
    """A response as its caller received it; incomplete if the connection broke."""

    status: int
    headers: dict
    body: bytes
    complete: bool


class Fleet:
    """A platform stand-in with backend servers and entries."""

    def __init__(self, nursery):
        self.platform = PlatformStandin()
        self.store_address = None
        self.servers = {}
        self.addresses = {}
        self.pool = ConnectionPool()
        self._nursery = nursery
        self._request_count = 0

    async def add_server(self, server):
        self.servers[server.id] = server
        server.on_change = self.register
        self.addresses[server.id] = await self._nursery.start(self._serve, server)
        self.register(server)

    async def _serve(self, server, *, task_status):
        async with serve(server.handle) as address:
            task_status.started(address)
            await trio.sleep_forever()

    def register(self, server):
        address = str(self.addresses[server.id])
        key = f"servers/{server.id}"
        if server.down:
            self.remove(server)
            return
        self.platform.put(key, server.registration(address, "palermo"))

    def remove(self, server):
        self.platform._apply([], [f"servers/{server.id}"])

    def configure(self, **options):
        self.platform.put("op/config", configuration(**options))

    def set_desired_weights(self, version, model=MODEL):
        value = msgspec.json.encode({"model": model, "version": version})
        self.platform.put(f"op/version/{model}", value)

    async def start_entry(self, vm="e1", **settings):
        options = {
            "listen": LOCAL,
            "ready_listen": LOCAL,
            "exchange_listen": LOCAL,
            "store": self.store_address,
            "watch_wait_s": 0.2,
            "call_timeout_s": 0.3,
            "lease_ms": 1000,
            "drain_ms": 300,
            # An entry that has just started has no share of the additional retries.
            "retry_ratio": 10.0,
        }
        cfg = IngressSettings(**(options | settings))
        process = ProcessSettings(vm=vm, failure_domain="palermo", admin_listen=LOCAL)
        log = EventLog(vm, HybridClock(time.time))
        daemon = DaemonContext(process, log, Metrics(), trio.Event())
        app = IngressApp(daemon, cfg)
        entry = Entry(app, daemon)
        await self._nursery.start(self._run, entry)
        return entry

    async def _run(self, entry, *, task_status):
        with entry.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(entry.app.run)
                await wait_until(lambda: entry.app.listening)
                task_status.started()
        entry.ended.set()

    async def call(
        self,
        entry,
        name,
        *,
        key="key-1",
        body=b"",
        stream=0,
        parts="aa:60,bb:40",
        target="x?y=1",
        **headers,
    ):
        """Send one request to a route of an entry and return its CallerResponse.

        With ``stream``, the request has a prompt and asks for that many events.
        """
        self._request_count += 1
        fields = {
            "host": "app.example",
            "x-foxtailcourse-request-id": f"r{self._request_count}",
            "x-foxtailcourse-deadline-ms": "2500",
        }
        if key:
            fields["x-foxtailcourse-key"] = key
        if stream:
            body = body or parts.encode()
            fields |= {
                "x-foxtailcourse-model": MODEL,
                "x-foxtailcourse-token-counts": f"100,{stream}",
                "x-foxtailcourse-prompt-prefix": parts,
            }
        fields |= {k.replace("_", "-"): v for k, v in headers.items()}
        method = "POST" if body or stream else "GET"
        options = RequestOptions(reuse=False, keep_alive=False)
        chunks = []
        async with self.pool.request(
            entry.app.address,
            method,
            f"/{name}/{target}",
            headers=fields,
            body=body,
            options=options,
        ) as response:
            complete = True
            try:
                async for chunk in response.iter_chunks():
                    chunks.append(chunk)
            except ClientError:
                complete = False
            return CallerResponse(
                response.status, response.headers, b"".join(chunks), complete
            )


@attrs.define
class Entry:
    """A running entry."""

    app: IngressApp
    daemon: DaemonContext
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    ended: trio.Event = attrs.field(factory=trio.Event)

    def events(self, name):
        """Return the fields of the recent events with a name."""
        return [e.fields for e in self.daemon.events.recent() if e.name == name]


class IngressCase(AsyncTestCase):
    """Runs one entry with two servers without and two servers with a model."""

    @asynccontextmanager
    async def fleet(self, configured=True, **settings):
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery)
            async with serve(fleet.platform.handle) as fleet.store_address:
                for name in ("c1", "c2"):
                    await fleet.add_server(BackendServerStandin(name, "coats"))
                for name in ("m1", "m2"):
                    await fleet.add_server(
                        BackendServerStandin(name, "llm", {MODEL: 1})
                    )
                if configured:
                    fleet.configure()
                entry = await fleet.start_entry(**settings)
                if configured:
                    await wait_until(lambda: entry.app.readiness().ready)
                    await wait_until(lambda: len(entry.app.status()["servers"]) == 4)
                yield fleet, entry
                nursery.cancel_scope.cancel()
                await fleet.pool.aclose()

    def runs(self, fleet):
        """Return the requests that any backend server has run."""
        return [run for server in fleet.servers.values() for run in server.runs]

    def with_fleet(self, check, **settings):
        """Run a check with a fleet and its entry; settings are those of the entry."""

        async def main():
            async with self.fleet(**settings) as (fleet, entry):
                await check(fleet, entry)

        self.run_async(main)
