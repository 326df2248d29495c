"""Runs entries as processes against stand-ins of the platform, for the cases here.

The store and the backend servers are the project's stand-ins, served in this process on
loopback addresses. The entries run with the command and the settings template of the
deploy file.
"""

import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import msgspec
import trio
from store import Store

from foxtailcourse.http import (
    ClientError,
    ConnectionPool,
    HttpLimits,
    HttpServer,
    RequestOptions,
)
from foxtailcourse.settings import Address

ROOT = Path(__file__).resolve().parents[2]
MODEL = "m0"
HOST = "app.example"
KEY = "key-1"
HELD, BROKEN, NOT_RUN = 0, 1, 2
RANDOM = random.SystemRandom()
# Ports that the system does not assign to outgoing connections.
PORTS = range(10_000, 32_000)
# Values of the settings template, those of the sheet of guardaroba-sicilia.
VALUES = {
    "zone": "palermo",
    "limits.cpuShare": "0.817",
    "limits.cores": "1",
    "limits.linkMbps": "1000.0",
    "limits.memoryMb": "300",
    "platform.readsPerS": "2000",
    "platform.writesPerS": "400",
    "platform.minTtlMs": "1000",
    "bounds.revocationMs": "5000",
    "bounds.configurationMs": "2000",
    "bounds.leaseDurationMs": "3000",
    "bounds.drainMs": "2000",
    "bounds.versionMs": "15000",
    "bounds.gracePeriodS": "8",
    "bounds.retryBudgetRatio": "0.2",
    "bounds.retryBudgetExtra": "52",
    "bounds.budgetWindowS": "10",
    "contracts": "base,drain,config,cost,retry,recover,kvcache,stream,engine,"
    "tenants,platform",
    "bounds.quotaWindowS": "",
    "bounds.quotaOverage": "",
    "bounds.quotaTolerance": "",
}
NO_REUSE = RequestOptions(reuse=False, keep_alive=False)


def with_trouble():
    """Whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(kind=socket.SOCK_STREAM, host="127.0.0.1"):
    """Return an unused port."""
    while True:
        port = RANDOM.choice(PORTS)
        with socket.socket(type=kind) as probe, suppress(OSError):
            probe.bind((host, port))
            return port


class Record:
    """Lines of what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self._path = Path(path)
        self._path.write_text("", encoding="utf-8")
        self._started = time.monotonic()

    def write(self, text):
        at = time.monotonic() - self._started
        with self._path.open("a", encoding="utf-8") as file:
            file.write(f"{at:8.3f} {text}\n")


class EntryProcess:
    """An entry that runs with the command of the deploy file.

    It has a loopback address of its own, as its machine has.
    """

    def __init__(self, folder, vm, store, **values):
        # Cases that run at the same time do not take each other's ports.
        host = ".".join(["127", *(str(RANDOM.randint(1, 250)) for _ in range(3))])
        self.vm, self.host, self.process = vm, host, None
        self.listen = Address(host, free_port(host=host))
        self.ready = Address(host, free_port(host=host))
        self.admin = Address(host, free_port(host=host))
        exchange = free_port(socket.SOCK_DGRAM, host)
        values = (
            VALUES
            | values
            | {
                "node": vm,
                "ip": host,
                "listen.front": str(self.listen),
                "listen.ready": str(self.ready),
                "internalPortRange.0": str(self.admin.port),
                "internalPortRange.1": str(exchange),
                "platform.address": str(store),
            }
        )
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["ingress"]
        text = (ROOT / role["template"]).read_text()
        for name, value in values.items():
            text = text.replace("{{" + name + "}}", value)
        # A setting without a value has its default.
        lines = [x for x in text.splitlines() if not x.rstrip().endswith("=")]
        self.settings = Path(folder) / f"{vm}.conf"
        self.settings.write_text("\n".join(lines) + "\n")
        self.log = Path(folder) / f"{vm}.log"
        words = role["run"].split()
        self._command = [
            str(self.settings) if word.endswith("boot.conf") else word for word in words
        ]

    def start(self):
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self._command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def send_signal(self, signum):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signum)

    def end(self):
        """End the process, also if it is stopped."""
        if self.process is not None:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGKILL)
            self.process.wait()

    async def wait_ready(self, timeout_s=20.0):
        """Wait until the load balancer may send connections here."""
        pool = ConnectionPool()
        with trio.fail_after(timeout_s):
            while True:
                with suppress(ClientError):
                    async with pool.request(
                        self.ready, "GET", "/foxtailcourse/readiness", options=NO_REUSE
                    ) as response:
                        if response.status == 200:
                            return
                await trio.sleep(0.05)


@asynccontextmanager
async def serve(handler, host="127.0.0.1", port=0):
    """Serve a handler and yield its address."""
    server = HttpServer(handler, HttpLimits(), lambda exchange, exc: None)
    listeners = await trio.open_tcp_listeners(port, host=host)
    async with trio.open_nursery() as nursery:
        await nursery.start(server.serve, listeners)
        yield Address(host, listeners[0].socket.getsockname()[1])
        nursery.cancel_scope.cancel()


def route(name, kind, service, **changes):
    """Return a route of the configuration."""
    value = {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 6000,
        "targetLatencyMs": 500,
        "targetGapMs": 250,
        "priority": 0,
        "service": service,
        "attempts": 2,
        "public": False,
        "resumable": False,
    }
    return value | changes


def configuration(version, routes, **changes):
    """Return an encoded configuration."""
    value = {
        "version": version,
        "routes": list(routes),
        "services": [
            {"name": "banco", "connectionLimit": 96},
            {
                "name": "assistente",
                "connectionLimit": 360,
                "engine": {"maxConcurrent": 12, "kvCacheTokens": 175_413},
            },
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 1_048_576,
            "headerTimeoutMs": 5000,
            "idleTimeoutMs": 10_000,
        },
        "tenants": [{"name": "teatro", "apiKeys": [KEY], "priority": 0}],
    }
    return msgspec.json.encode(value | changes)


class Fleet:
    """The platform's store, backend servers and entries of one case."""

    def __init__(self, nursery, folder):
        self.folder = folder
        self.platform = Store()
        self.store = None
        self.servers, self.addresses, self.entries = {}, {}, {}
        self._nursery = nursery

    async def add_server(self, server, *, registered=True):
        self.servers[server.id] = server
        self.addresses[server.id] = await self._nursery.start(self._serve, server)
        if registered:
            self.register(server)

    async def _serve(self, server, *, task_status):
        async with serve(server.handle) as address:
            task_status.started(address)
            await trio.sleep_forever()

    def register(self, server):
        """Write a server's registration, as the server itself does."""
        value = server.registration(str(self.addresses[server.id]), "palermo")
        self.platform.put(f"servers/{server.id}", value)

    def add_entry(self, vm, store=None, **values):
        entry = EntryProcess(self.folder, vm, store or self.store, **values)
        self.entries[vm] = entry
        entry.start()
        return entry


def _keep_logs(entries):
    """Copy the logs to the folder that KEEP_LOGS names, if any."""
    folder = os.environ.get("KEEP_LOGS")
    if folder:
        for entry in entries:
            Path(folder, entry.log.name).write_bytes(entry.log.read_bytes())


@asynccontextmanager
async def fleet():
    """Yield a fleet; its processes are ended afterwards."""
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        async with trio.open_nursery() as nursery:
            result = Fleet(nursery, folder)
            async with serve(result.platform.handle) as result.store:
                try:
                    yield result
                finally:
                    for entry in result.entries.values():
                        entry.end()
                    _keep_logs(result.entries.values())
            nursery.cancel_scope.cancel()


def run(main, limit_s=115.0):
    """Run a case and exit with its result; 2 if it could not run."""
    result = NOT_RUN
    try:
        result = trio.run(_limited, main, limit_s)
    except BaseException as exc:
        print(f"the case could not run: {exc!r}", file=sys.stderr)
        if os.environ.get("DEBUG"):
            raise
    sys.exit(result)


async def _limited(main, limit_s):
    with trio.fail_after(limit_s):
        return await main()
