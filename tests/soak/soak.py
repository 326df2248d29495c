"""Randomized soak of real entries against stand-ins of the platform, with faults.

The entries are processes of their own; the store and the backend servers are stand-ins
behind loopback proxies. Everything is judged by what callers and servers saw.
"""

import argparse
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

import msgspec
import trio

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "tests" / "ingress")]

from evidence import Evidence, Sent, violations  # noqa: E402
from ingress_case import MODEL, configuration  # noqa: E402
from proxy import Proxy  # noqa: E402

from cluster import serve  # noqa: E402
from foxtailcourse.http import (  # noqa: E402
    ClientError,
    ConnectionPool,
    RequestOptions,
)
from foxtailcourse.settings import Address  # noqa: E402
from foxtailcourse.standin._backend_server import (  # noqa: E402
    BackendServerFaults,
    BackendServerStandin,
)
from foxtailcourse.standin._platform import PlatformStandin  # noqa: E402

START_S = 4.0
SETTLE_S = 3.0
KINDS = ("look", "return", "brief", "ask")


class Soak:
    """One run."""

    def __init__(self, seed: int, seconds: float, entries: int, folder: Path) -> None:
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.seen = Evidence()
        self.keys = ["key-1", "key-2"]
        self.version = 1
        self.interrupted = False
        self._entries = entries
        self._folder = folder
        self._processes: dict[str, subprocess.Popen] = {}
        self._addresses: dict[str, Address] = {}
        self._store_proxies: dict[str, Proxy] = {}
        self._server_proxies: dict[str, Proxy] = {}
        self._pool = ConnectionPool()
        self.plan = self._make_plan()

    def _make_plan(self) -> list[tuple[float, str, str, float]]:
        """Return (start, fault, where, duration) in order; faults overlap."""
        entries = [f"e{n}" for n in range(self._entries)]
        servers = ["c0", "c1", "c2", "m0", "m1", "m2"]
        faults = {
            "store": (["silent", "delay", "reset", "cut in", "cut out"], entries),
            "server": (["silent", "delay", "reset", "cut out"], servers),
            "worker": (
                ["refuse", "fail", "lose_answer", "foreign", "unsigned", "unframed"],
                servers,
            ),
            "signal": (["STOP", "KILL", "TERM", "HUP"], entries),
            "outage": (
                ["refuse", "silent", "slow", "lose", "forget", "lapse"],
                ["store"],
            ),
            "operator": (["config", "key", "weights", "drain"], ["store"]),
        }
        plan, now = [], 1.0
        while now < self.seconds:
            kind = self.rng.choice(list(faults))
            how, where = (self.rng.choice(each) for each in faults[kind])
            length = self.rng.uniform(0.5, 4.0)
            plan.append((round(now, 2), f"{kind} {how}", where, round(length, 2)))
            now += self.rng.expovariate(1.5)
        return plan

    async def run(self) -> list[str]:
        """Play the plan and return the broken promises."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._end_when_interrupted, nursery.cancel_scope)
            self.platform = PlatformStandin()
            async with serve(self.platform.handle) as self.store:
                try:
                    await self._start(nursery)
                    await trio.sleep(START_S)
                    for number in range(4 * self._entries):
                        nursery.start_soon(self._client, number)
                    await self._play(nursery)
                    await trio.sleep(SETTLE_S)
                finally:
                    self._end_processes()
                nursery.cancel_scope.cancel()
        for worker in self.workers.values():
            self.seen.runs += worker.runs
            self.seen.orders += [(worker.id, order) for order in worker.orders]
        return violations(self.seen)

    async def _start(self, nursery) -> None:
        self.workers = {}
        for number in range(3):
            self.workers[f"c{number}"] = BackendServerStandin(f"c{number}", "coats")
            self.workers[f"m{number}"] = BackendServerStandin(
                f"m{number}", "llm", {MODEL: 1}
            )
        for worker in self.workers.values():
            direct = await nursery.start(self._serve_worker, worker)
            proxy = self._server_proxies[worker.id] = Proxy(direct)
            self._addresses[worker.id] = await nursery.start(proxy.run)
            worker.on_change = self._register
            self._register(worker)
        self._configure()
        for number in range(self._entries):
            proxy = self._store_proxies[f"e{number}"] = Proxy(self.store)
            address = await nursery.start(proxy.run)
            self._write_settings(f"e{number}", address)
            self._spawn(f"e{number}")

    async def _serve_worker(self, worker, *, task_status) -> None:
        async with serve(worker.handle) as address:
            task_status.started(address)
            await trio.sleep_forever()

    def _register(self, worker) -> None:
        entry = worker.registration(str(self._addresses[worker.id]), "palermo")
        self.platform.put(f"servers/{worker.id}", entry)

    def _configure(self) -> None:
        value = configuration(self.version, keys=self.keys)
        self.platform.put("op/config", value)

    def _write_settings(self, vm: str, store: Address) -> None:
        ports = []
        for kind in (socket.SOCK_STREAM,) * 3 + (socket.SOCK_DGRAM,):
            with socket.socket(type=kind) as probe:
                probe.bind(("127.0.0.1", 0))
                ports.append(probe.getsockname()[1])
        admin, listen, ready, exchange = (f"127.0.0.1:{port}" for port in ports)
        self._addresses[vm] = Address("127.0.0.1", ports[1])
        (self._folder / f"{vm}.ini").write_text(
            f"[process]\nvm = {vm}\nfailure_domain = p\nadmin_listen = {admin}\n"
            f"[ingress]\nlisten = {listen}\nready_listen = {ready}\nstore = {store}\n"
            f"exchange_listen = {exchange}\nstop_s = 6\n",
            encoding="utf-8",
        )

    def _spawn(self, vm: str) -> None:
        command = [sys.executable, "-m", "foxtailcourse.ingress.run"]
        command += ["--config", str(self._folder / f"{vm}.ini")]
        env = os.environ | {"PYTHONPATH": str(ROOT / "src")}
        with (self._folder / f"{vm}.log").open("ab") as log:
            self._processes[vm] = subprocess.Popen(
                command, stdout=log, stderr=log, env=env
            )

    async def _end_when_interrupted(self, scope) -> None:
        """Cancel the run, which ends the processes that it started."""
        with trio.open_signal_receiver(signal.SIGTERM) as received:
            async for _ in received:
                self.interrupted = True
                scope.cancel()

    def _end_processes(self) -> None:
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    # Faults

    async def _play(self, nursery) -> None:
        began = trio.current_time()
        for at, fault, where, length in self.plan:
            await trio.sleep_until(began + at)
            nursery.start_soon(self._inject, *fault.split(" ", 1), where, length)
        await trio.sleep_until(began + self.seconds)

    async def _inject(self, kind: str, how: str, where: str, length: float) -> None:
        if kind in {"store", "server"}:
            proxies = self._store_proxies if kind == "store" else self._server_proxies
            await self._harm_proxy(proxies[where], how, length)
        elif kind == "worker":
            self.workers[where].faults = BackendServerFaults(**{how: True})
            await trio.sleep(length)
            self.workers[where].faults = BackendServerFaults()
        elif kind == "signal":
            await self._send_signal(where, how, length)
        elif kind == "outage":
            await self._harm_store(how, length)
        else:
            await self._operate(how, length)

    async def _harm_store(self, how: str, length: float) -> None:
        """Slow the store, lose its answers, history or leases, or take it down."""
        faults = self.platform.faults
        if how == "slow":
            faults.slow_ms = 400
        elif how == "lose":
            faults.lose_answers += 3
        elif how == "forget":
            self.platform.compact_history()
        else:
            faults.outage = "refuse" if how == "lapse" else how
        self.platform._notify()
        await trio.sleep(length)
        if how == "lapse":
            self.platform.expire_leases()
        faults.slow_ms, faults.outage = 0, "off"
        self.platform._notify()

    async def _harm_proxy(self, proxy: Proxy, how: str, length: float) -> None:
        if how == "reset":
            proxy.reset()
            return
        proxy.mode = how
        await trio.sleep(length)
        proxy.mode = "pass"
        proxy.reset()

    async def _send_signal(self, vm: str, how: str, length: float) -> None:
        process = self._processes[vm]
        if process.poll() is not None:
            return
        process.send_signal(getattr(signal, f"SIG{how}"))
        if how == "STOP":
            await trio.sleep(length)
            process.send_signal(signal.SIGCONT)
        elif how != "HUP":
            while process.poll() is None:
                await trio.sleep(0.05)
            if self._processes[vm] is process:
                self._spawn(vm)

    async def _operate(self, how: str, length: float) -> None:
        if how == "key":
            removed = self.keys.pop(0)
            self.keys.append(f"key-{self.version + 10}")
        if how in {"key", "config"}:
            self.version += 1
            self._configure()
        if how == "key":
            self.seen.removed_keys[removed] = trio.current_time()
        elif how == "weights":
            self.version += 1
            value = msgspec.json.encode({"model": MODEL, "version": self.version})
            self.platform.put(f"op/version/{MODEL}", value)
        elif how == "drain":
            worker = self.workers[self.rng.choice(["c0", "m0"])]
            worker.draining = True
            self._register(worker)
            await trio.sleep(length)
            worker.draining = False
            self._register(worker)

    # Callers

    async def _client(self, number: int) -> None:
        rng = random.Random(number)
        count = 0
        options = RequestOptions(connect_timeout_s=0.5, idle_timeout_s=4.0)
        while True:
            count += 1
            kind = rng.choice(KINDS)
            old = list(self.seen.removed_keys)[-1:]
            sent = Sent(
                id=f"q{number}-{count}",
                kind=kind,
                key=rng.choice(self.keys + old),
                sent_at=trio.current_time(),
                events=rng.randint(1, 12) if kind in {"brief", "ask"} else 0,
            )
            self.seen.sent[sent.id] = sent
            vm = rng.choice([f"e{n}" for n in range(self._entries)])
            try:
                await self._call(sent, self._addresses[vm], options)
            except ClientError:
                await trio.sleep(0.05)
            await trio.sleep(rng.expovariate(10))

    async def _call(self, sent: Sent, address: Address, options) -> None:
        fields = {
            "host": "app.example",
            "x-foxtailcourse-request-id": sent.id,
            "x-foxtailcourse-deadline-ms": "2500",
            "x-foxtailcourse-key": sent.key,
        }
        if sent.events:
            fields |= {
                "x-foxtailcourse-model": MODEL,
                "x-foxtailcourse-token-counts": f"100,{sent.events}",
                "x-foxtailcourse-prompt-prefix": "aa:60,bb:40",
            }
        async with self._pool.request(
            address,
            "POST",
            f"/{sent.kind}/x",
            headers=fields,
            body=b"body",
            options=options,
        ) as response:
            status = response.status
            async for piece in response.iter_chunks():
                sent.status = status
                sent.body += piece
            sent.status, sent.whole = status, True


def main() -> int:
    """Run the command line; exit 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description="Soak real entries with faults.")
    parser.add_argument("--seed", type=int, default=1, help="First seed.")
    parser.add_argument("--seeds", type=int, default=1, help="Seeds one after another.")
    parser.add_argument("--minutes", type=float, default=0.5, help="Time of a seed.")
    parser.add_argument("--processes", type=int, default=3, help="Entries.")
    parser.add_argument("--keep", type=Path, help="Folder for logs of failed seeds.")
    options = parser.parse_args()
    if options.keep:
        options.keep.mkdir(parents=True, exist_ok=True)
    broken = 0
    for seed in range(options.seed, options.seed + options.seeds):
        with tempfile.TemporaryDirectory(dir=options.keep) as folder:
            soak = Soak(seed, options.minutes * 60, options.processes, Path(folder))
            for at, fault, where, length in soak.plan:
                print(f"plan seed={seed} at={at} fault={fault!r} at={where} s={length}")
            found = trio.run(soak.run)
            ran = len(soak.seen.runs)
            with_server = sum(each.status == 200 for each in soak.seen.sent.values())
            print(
                f"seed={seed} requests={len(soak.seen.sent)} served={with_server} "
                f"runs={ran} orders={len(soak.seen.orders)} broken={len(found)}",
                flush=True,
            )
            for each in found:
                print(f"broken seed={seed} {each}")
            if found and options.keep:
                os.rename(folder, options.keep / f"seed-{seed}")
                Path(folder).mkdir()
            broken += bool(found)
            if soak.interrupted:
                print("interrupted")
                return 1
    print(f"{options.seeds} seeds, {broken} with a broken promise")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
