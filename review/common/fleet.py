"""Starts entries as processes, with stand-ins of the store, workers and clients."""

import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from http11 import send
from store import Store

ROOT = Path(__file__).resolve().parents[2]
HOST = "app.example"
KEY = "key-one"
# Exit statuses of a case.
HELD, BROKEN, UNUSABLE = 0, 1, 2
# Times of the sheet of Puebla (further/LATER.md), in seconds.
CONTACT_S, VERSION_S, LEASE_S, GRACE_S = 3.0, 8.0, 3.0, 8.0
RESTART_DELAY_S = 0.3
PORTS = (15000, 30000)

PUEBLA = {
    "zone": "a",
    "ip": "127.0.0.1",
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
    "bounds.versionMs": "8000",
    "bounds.gracePeriodS": "8",
    "bounds.retryBudgetRatio": "0.2",
    "bounds.retryBudgetExtra": "52",
    "bounds.budgetWindowS": "10",
    "contracts": "base,drain,config,cost,retry,recover,kvcache,stream,engine,"
    "tenants,platform",
}


def route(name, kind, service, **changes):
    """Return a route of the configuration."""
    value = {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 15000,
        "targetLatencyMs": 800,
        "targetGapMs": 250,
        "priority": 0,
        "service": service,
        "attempts": 2,
        "public": False,
        "resumable": False,
        "stickySessions": False,
    }
    return value | changes


def configuration(version, routes, services, tenants=None):
    """Return a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 32768,
            "maxBodyBytes": 1048576,
            "headerTimeoutMs": 10000,
            "idleTimeoutMs": 10000,
        },
        "tenants": tenants
        or [{"name": "one", "apiKeys": [KEY], "priority": 0, "isolated": False}],
    }


def _free_ports(count, kind):
    """Return ports that are free now.

    They are below those that the system gives to outgoing connections, which could take
    them while a process is down.
    """
    found = []
    while len(found) < count:
        port = random.randrange(*PORTS)
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
    return found


class Entry:
    """One foxtail-ingress process, started as the deploy file says."""

    def __init__(self, name, store, folder, fields):
        self.name = name
        front, ready, admin = _free_ports(3, socket.SOCK_STREAM)
        (exchange,) = _free_ports(1, socket.SOCK_DGRAM)
        self.address, self.ready = f"127.0.0.1:{front}", f"127.0.0.1:{ready}"
        self.admin = f"127.0.0.1:{admin}"
        self.started_at = 0.0
        fields = fields | {
            "node": name,
            "listen.front": self.address,
            "listen.ready": self.ready,
            "internalPortRange.0": str(admin),
            "internalPortRange.1": str(exchange),
            "platform.address": store.address,
        }
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["ingress"]
        template = (ROOT / role["template"]).read_text()
        self._settings = folder / f"{name}.ini"
        self._settings.write_text(
            re.sub(r"\{\{([\w.]+)\}\}", lambda m: fields.get(m[1], ""), template)
        )
        self._log = folder / f"{name}.log"
        self._command = [
            str(self._settings) if each == "/etc/foxtailcourse/boot.conf" else each
            for each in role["run"].split()
        ]
        self.process = None

    def start(self):
        """Start the process; its log is appended to the former one."""
        env = {k: v for k, v in os.environ.items() if k in {"PATH", "HOME", "LANG"}}
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=env | {"PYTHONPATH": str(ROOT / "target/deps")},
                stdout=log,
                stderr=log,
            )
        self.started_at = time.monotonic()

    def log_lines(self, *words):
        """Return the lines of the log that have one of the words."""
        text = self._log.read_text(errors="replace") if self._log.exists() else ""
        text = text.replace(f"{ROOT}/", "")
        return [x for x in text.splitlines() if any(word in x for word in words)]

    async def is_ready(self):
        """Whether the entry answers that it is ready."""
        target = "/foxtailcourse/readiness"
        answer = await send(self.ready, "GET", target, {"host": HOST}, timeout_s=1.0)
        return answer.status == 200

    async def restart(self, signum, delay_s=RESTART_DELAY_S, limit_s=GRACE_S):
        """End the process by a signal and start it again, as the platform does."""
        self.process.send_signal(signum)
        ends_at = time.monotonic() + limit_s
        while self.process.poll() is None:
            if time.monotonic() > ends_at:
                self.process.kill()
            await asyncio.sleep(0.02)
        await asyncio.sleep(delay_s)
        self.start()


class Case:
    """What a case has started, and its record.

    Parameters
    ----------
    folder : Path
        Folder of the case; gets ``record.txt``.
    """

    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store()
        self.entries = []
        self._count = 0
        self._began = time.monotonic()
        self._record = (Path(folder) / "record.txt").open("w")
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)

    def note(self, text):
        """Write a line to the record, with the time since the start."""
        line = f"{time.monotonic() - self._began:8.3f} {text}"
        print(line, file=self._record, flush=True)
        print(line, flush=True)

    def seconds(self, at):
        """Return a monotonic time as in the record."""
        return round(at - self._began, 3)

    async def start_entries(self, count, fields=PUEBLA):
        """Start entries and wait until all are ready."""
        self.entries = [
            Entry(f"front-{n}", self.store, self.folder, fields) for n in range(count)
        ]
        for each in self.entries:
            each.start()
        await self.wait_ready(self.entries)

    async def wait_ready(self, entries, limit_s=20.0):
        """Wait until entries are ready; raises TimeoutError."""
        async with asyncio.timeout(limit_s):
            for each in entries:
                while not await each.is_ready():
                    if each.process.poll() is not None:
                        raise RuntimeError(f"{each.name} ended: {each.log_lines('')}")
                    await asyncio.sleep(0.05)

    async def until(self, condition, limit_s):
        """Wait until a condition holds; return whether it did in time."""
        ends_at = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > ends_at:
                return False
            await asyncio.sleep(0.02)
        return True

    def leader(self):
        """Return the entry that holds the key of the leader, or None."""
        holder = (self.store.get("ingress/orders") or b"").decode()
        return next((each for each in self.entries if each.name == holder), None)

    def new_id(self):
        """Return a new identifier of a client attempt."""
        self._count += 1
        return f"{self._count:016x}"

    def headers(self, ident, deadline_s, key=KEY, **more):
        """Return the headers of a client attempt."""
        fields = {
            "host": HOST,
            "x-foxtailcourse-request-id": ident,
            "x-foxtailcourse-deadline-ms": str(int(deadline_s * 1000)),
            "x-foxtailcourse-key": key,
        }
        return fields | more

    def end(self):
        """End all processes and close the record."""
        for each in self.entries:
            if each.process is not None and each.process.poll() is None:
                each.process.send_signal(signal.SIGCONT)
                each.process.kill()
                each.process.wait()
        self._record.close()
        self._temporary.cleanup()


def prompt(model, parts, tokens_in, tokens_out):
    """Return the headers of a request with a prompt."""
    return {
        "x-foxtailcourse-model": model,
        "x-foxtailcourse-token-counts": f"{tokens_in},{tokens_out}",
        "x-foxtailcourse-prompt-prefix": ",".join(parts),
    }


def main(folder, play, limit_s=110.0):
    """Play a case and exit with its status."""

    async def run():
        case, task = Case(folder), asyncio.current_task()
        for signum in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(signum, task.cancel)
        try:
            await case.store.start()
            async with asyncio.timeout(limit_s):
                return await play(case)
        except (Exception, asyncio.CancelledError) as exc:
            case.note(f"the case could not run: {exc!r}")
            return UNUSABLE
        finally:
            case.end()

    status = asyncio.run(run())
    print(json.dumps({"status": status}))
    sys.exit(status)
