"""Entries of a service that no configuration names stop the loads of weights."""

import json
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import trio  # noqa: E402
from harness import (  # noqa: E402
    BROKEN,
    HELD,
    HOST,
    KEY,
    MODEL,
    NO_REUSE,
    NOT_RUN,
    Record,
    configuration,
    fleet,
    free_port,
    route,
    run,
    with_trouble,
)
from worker import Worker  # noqa: E402

from foxtailcourse.http import ClientError, ConnectionPool  # noqa: E402

ENTRIES, SERVERS, ODD_RECORDS = 2, 3, 2
LOAD_S, HEARTBEAT_S = 1.9, 1.2
# versionMs of guardaroba-sicilia, and after how much of it no server may be left over.
VERSION_S, LATEST_FACTOR = 15.0, 1.5
# When versions 2 and 3 are named, and the end of traffic.
FIRST_NAMED_AT_S, NAMED_AT_S, END_S = 2.0, 8.0, 33.0
REQUESTS_PER_S, EVENTS = 10, 15


class LoadingWorker(Worker):
    """A server that carries out orders to load weights."""

    busy = False

    async def handle_order(self, exchange):
        order = json.loads(exchange.body)
        self.orders.append(order)
        if self.busy or order.get("precondition") != self.accepted_orders:
            await exchange.respond(409, b"")
            return
        if self.models[order["model"]] == order["version"]:
            await exchange.respond(200, b"")
            return
        self.accepted_orders += 1
        self.busy = True
        trio.lowlevel.spawn_system_task(self._load, order["model"], order["version"])
        await exchange.respond(202, b"")

    async def _load(self, model, version):
        await trio.sleep(LOAD_S)
        self.models[model], self.busy = version, False


class Case:
    """Callers and servers of one run."""

    def __init__(self, nursery, fleet_, record):
        self.nursery, self.fleet, self.record = nursery, fleet_, record
        self.pool, self.count = ConnectionPool(), 0
        self.started = trio.current_time()
        # Outcomes of the requests before and after versionMs.
        self.before, self.after = Counter(), Counter()

    async def call(self, number):
        entries = list(self.fleet.entries.values())
        entry = entries[number % len(entries)]
        fields = {
            "host": HOST,
            "x-foxtailcourse-request-id": f"r{number}",
            "x-foxtailcourse-key": KEY,
            "x-foxtailcourse-deadline-ms": "6000",
            "x-foxtailcourse-model": MODEL,
            "x-foxtailcourse-token-counts": f"383,{EVENTS}",
            "x-foxtailcourse-prompt-prefix": f"aa:92,{number:06x}:291",
        }
        at = trio.current_time() - self.started
        try:
            with trio.fail_after(7):
                async with self.pool.request(
                    entry.listen,
                    "POST",
                    "/ask/x",
                    headers=fields,
                    body=f"prompt {number}".encode(),
                    options=NO_REUSE,
                ) as response:
                    data = await response.read()
                    outcome = str(response.status)
                    if response.status != 200:
                        outcome += f" {data.decode()}"
        except (ClientError, trio.TooSlowError) as exc:
            outcome = repr(exc)
        self.record.write(f"r{number} sent at {at:.2f} to {entry.vm}: {outcome}")
        counts = self.after if at > NAMED_AT_S + VERSION_S else self.before
        counts[outcome] += 1

    async def callers(self):
        while trio.current_time() < self.started + END_S - 1:
            self.count += 1
            self.nursery.start_soon(self.call, self.count)
            await trio.sleep(1 / REQUESTS_PER_S)

    async def heartbeats(self):
        while True:
            await trio.sleep(HEARTBEAT_S)
            for server in self.fleet.servers.values():
                self.fleet.register(server)


def odd_record():
    """Return an entry of another writer, whose service no configuration names."""
    return json.dumps(
        {
            "service": "registro",
            "address": f"127.0.0.1:{free_port()}",
            "zone": "palermo",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "stage": "combined",
            "models": [{"name": MODEL, "version": 1, "adapters": []}],
            "born": 1,
        }
    ).encode()


async def main():
    record = Record(FOLDER / "record.txt")
    async with fleet() as running, trio.open_nursery() as nursery:
        for number in range(SERVERS):
            await running.add_server(
                LoadingWorker(f"m{number}", "assistente", {MODEL: 1}, event_s=0.03)
            )
        ask = route("ask", "streaming", "assistente", resumable=True, attempts=2)
        running.platform.put("op/config", configuration(1, [ask]))
        weights = json.dumps({"model": MODEL, "version": 1}).encode()
        running.platform.put(f"op/version/{MODEL}", weights)
        if with_trouble():
            for number in range(ODD_RECORDS):
                running.platform.put(f"servers/odd-{number}", odd_record())
        entries = [running.add_entry(f"e{n}") for n in range(ENTRIES)]
        for entry in entries:
            await entry.wait_ready()
        # An entry leads and may give orders by then.
        await trio.sleep(6)
        case = Case(nursery, running, record)
        nursery.start_soon(case.heartbeats)
        nursery.start_soon(case.callers)
        for version, at in ((2, FIRST_NAMED_AT_S), (3, NAMED_AT_S)):
            await trio.sleep_until(case.started + at)
            weights = json.dumps({"model": MODEL, "version": version}).encode()
            running.platform.put(f"op/version/{MODEL}", weights)
            record.write(f"version {version} named")
        await trio.sleep(END_S - NAMED_AT_S + 7)
        nursery.cancel_scope.cancel()
    servers = running.servers.values()
    outdated = [server.id for server in servers if server.models[MODEL] < 3]
    for server in servers:
        record.write(f"{server.id}: {server.models}, orders {server.orders}")
    record.write(f"requests before versionMs: {dict(case.before)}")
    record.write(f"requests after versionMs: {dict(case.after)}")
    print(
        f"with older weights at the end: {outdated}; "
        f"before versionMs {dict(case.before)}, after it {dict(case.after)}"
    )
    if not case.before["200"]:
        return NOT_RUN
    assert END_S - NAMED_AT_S > LATEST_FACTOR * VERSION_S
    is_broken = len(outdated) > 1 and len(outdated) > 0.1 * SERVERS
    return BROKEN if is_broken else HELD


if __name__ == "__main__":
    run(main)
