"""An entry of another writer appears in the list of workers.

It has a service that no configuration names, and its address has a host name where
workers have an IP address. It names no worker to use; the others hold.
"""

import asyncio
import time
from pathlib import Path

from fleet import (
    BROKEN,
    CONTACT_S,
    HELD,
    KEY,
    RESTART_DELAY_S,
    UNUSABLE,
    configuration,
    main,
    route,
)
from http11 import KeptConnection
from worker import Worker

SERVICE, WORKERS, ENTRIES, CALLERS = "counter", 4, 3, 12
WORK_S, DEADLINE_S = 0.4, 3.0
OBSERVED_S = 20.0
# The host name of a container is often its identifier of 64 digits.
HOST_NAME = "3f9c5a7e" * 8
FOREIGN = {
    "service": "archive-indexer",
    "address": f"{HOST_NAME}:8080",
    "zone": "a",
    "version": "7",
    "slots": 4,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 12,
    "stage": "combined",
    "models": [{"name": "embed", "version": 1, "adapters": []}],
}


class Callers:
    """Callers that send requests on kept connections, one after the other."""

    def __init__(self, case):
        self._case = case
        self.outcomes = []
        self.cut_on_kept = []

    async def run(self, entry):
        """Send requests to one entry until cancelled."""
        conn = KeptConnection(entry.address)
        while True:
            ident, sent = self._case.new_id(), time.monotonic()
            fields = self._case.headers(ident, DEADLINE_S, KEY)
            is_kept = conn.answered > 0
            answer = await conn.send("POST", "/order/x", fields, b"{}", DEADLINE_S)
            self.outcomes.append((sent, answer))
            if not answer.complete and is_kept:
                self.cut_on_kept.append((ident, entry.name, answer.error))
            if not answer.complete or not conn.is_usable:
                conn.close()
                conn = KeptConnection(entry.address)
                await asyncio.sleep(0.2)
            await asyncio.sleep(0.05)


async def supervise(case, entry, ends):
    """Start a process again after a short delay whenever it ends by itself."""
    while True:
        await asyncio.sleep(0.02)
        if entry.process.poll() is not None:
            ends.append((time.monotonic(), entry.name, entry.process.returncode))
            case.note(f"{entry.name} ended by itself, status {ends[-1][2]}")
            await asyncio.sleep(RESTART_DELAY_S)
            entry.start()


def share_served(outcomes, since):
    answers = [answer for sent, answer in outcomes if sent >= since]
    served = sum(a.status == 200 and a.complete for a in answers)
    return f"{served} of {len(answers)}"


async def play(case):
    workers = [
        await Worker(case.store, f"w{n}", SERVICE, event_s=WORK_S).start()
        for n in range(WORKERS)
    ]
    routes = [route("order", "unsafe", SERVICE, attempts=1, timeoutMs=3000)]
    services = [{"name": SERVICE, "connectionLimit": 96}]
    case.store.put_json("op/config", configuration(1, routes, services))
    await case.start_entries(ENTRIES)
    ends, callers = [], Callers(case)
    tasks = [
        asyncio.ensure_future(callers.run(case.entries[n % ENTRIES]))
        for n in range(CALLERS)
    ]
    tasks += [asyncio.ensure_future(supervise(case, e, ends)) for e in case.entries]
    await asyncio.sleep(CONTACT_S + 1.0)
    case.note(f"served before: {share_served(callers.outcomes, 0)}")
    if ends or callers.cut_on_kept:
        return UNUSABLE
    at = time.monotonic()
    if case.trouble:
        at = case.store.put_json("servers/archive-1", FOREIGN)
        case.note("the entry of another writer is in the list of workers")
    await asyncio.sleep(OBSERVED_S)
    for each in tasks:
        each.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    run_ids = {ident for each in workers for _, ident, _, _ in each.runs}
    lost = [each for each in callers.cut_on_kept if each[0] in run_ids]
    for ident, name, error in lost:
        case.note(f"{ident} ran, {name} closed its kept connection: {error}")
    by_entry = {
        e.name: sum(name == e.name for _, name, _ in ends) for e in case.entries
    }
    case.note(f"ends by themselves in {OBSERVED_S} s: {by_entry}")
    case.note(f"passed on from kept connections and closed without answer: {len(lost)}")
    case.note(f"served since: {share_served(callers.outcomes, at)}")
    for line in case.entries[0].log_lines("Error", "cache_feed")[-4:]:
        case.note(f"log {case.entries[0].name}: {line[:200]}")
    crashed = sum(count >= 3 for count in by_entry.values())
    is_fault = crashed >= 2 and crashed >= ENTRIES / 10
    case.note(f"machines whose processes ended three times: {crashed}")
    return BROKEN if len(lost) > 3 or is_fault else HELD


if __name__ == "__main__":
    main(Path(__file__).parent, play)
