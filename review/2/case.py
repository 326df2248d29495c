"""The answer to the write that makes an entry the leader is lost.

The leader is stopped as planned, and another entry takes its place with a conditional
write. Then new weights are named. The only disruption is that the store loses the
answer to this one write.
"""

import asyncio
import signal
import time
from pathlib import Path

from fleet import (
    BROKEN,
    CONTACT_S,
    HELD,
    UNUSABLE,
    VERSION_S,
    configuration,
    main,
    prompt,
    route,
)
from http11 import send
from worker import Worker

MODEL, SERVICE, WORKERS, ENTRIES = "m0", "models", 6, 3
ORDERS_KEY = "ingress/orders"
# The page's loss lasts 4.5 s and takes 0.35 of the answers at most.
LOSS_S = 4.5


async def call(case, outcomes):
    """Send requests to the entries in turn, five a second."""
    tasks = set()
    number = 0
    while True:
        entry = case.entries[number % ENTRIES]
        number += 1
        ident = case.new_id()
        fields = case.headers(
            ident, 6.0, **prompt(MODEL, ["aa:92", f"{ident}:20"], 112, 4)
        )

        async def one(entry=entry, ident=ident, fields=fields):
            sent = time.monotonic()
            answer = await send(entry.address, "POST", "/ask/x", fields, b"{}", 6.0)
            outcomes.append((sent, ident, entry.name, answer))

        task = asyncio.ensure_future(one())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(0.2)


def versions(workers):
    return [each.models[MODEL] for each in workers]


def share_served(outcomes, since, until):
    answers = [a for sent, _, _, a in outcomes if since <= sent < until]
    served = sum(a.status == 200 and a.complete for a in answers)
    statuses = sorted({a.status for a in answers})
    return f"{served} of {len(answers)} served, statuses {statuses}"


async def name_weights(case, workers, version):
    at = case.store.put_json(
        f"op/version/{MODEL}", {"model": MODEL, "version": version}
    )
    case.note(f"weights {version} named, acknowledged by the store")
    return at


async def play(case):
    workers = [
        await Worker(case.store, f"w{n}", SERVICE, {MODEL: 1}).start()
        for n in range(WORKERS)
    ]
    routes = [route("ask", "streaming", SERVICE, targetLatencyMs=400, timeoutMs=6000)]
    services = [
        {"name": SERVICE, "connectionLimit": 360, "engine": {"maxConcurrent": 8}}
    ]
    case.store.put_json("op/config", configuration(1, routes, services))
    await case.start_entries(ENTRIES)
    outcomes = []
    calls = asyncio.ensure_future(call(case, outcomes))
    # Traffic starts when the entries have been in touch.
    await asyncio.sleep(CONTACT_S)
    await name_weights(case, workers, 2)
    loaded = await case.until(lambda: min(versions(workers)) == 2, 1.5 * VERSION_S)
    case.note(f"weights of the workers before the disruption: {versions(workers)}")
    if not loaded:
        return UNUSABLE
    former = case.leader()
    case.note(f"planned stop of the leader {former.name}")
    lost = []

    def lose_answer(name, request, result):
        """Lose the answer to the first write that makes an entry the leader."""
        if name != "txn" or lost or result[0] != 200:
            return False
        keys = [each["key"] for each in request.json().get("puts", [])]
        if ORDERS_KEY not in keys:
            return False
        lost.append(case.leader().name)
        case.note(f"the answer to the write of {lost[0]} to {ORDERS_KEY} is lost")
        return True

    began = time.monotonic()
    if case.trouble:
        case.store.lose_answer = lose_answer
    restart = asyncio.ensure_future(former.restart(signal.SIGTERM))
    await asyncio.sleep(LOSS_S)
    case.store.lose_answer = lambda name, request, result: False
    answered = sum(at >= began for at in case.store.answered_at)
    case.note(
        f"in {LOSS_S} s the store lost {len(lost)} of {answered + len(lost)} answers"
    )
    if case.trouble and not lost:
        return UNUSABLE
    await restart
    await case.wait_ready(case.entries)
    # The core is stable, and all machines are in touch.
    await asyncio.sleep(CONTACT_S + 0.5)
    named_at = await name_weights(case, workers, 3)
    await asyncio.sleep(1.5 * VERSION_S + 1.0)
    calls.cancel()
    now = time.monotonic()
    old = [each.name for each in workers if each.models[MODEL] < 3]
    late = [
        run
        for each in workers
        for run in each.runs
        if run[2] < 3 and run[0] > named_at + VERSION_S + 0.5
    ]
    for each in workers:
        for arrived, order, status in each.orders:
            case.note(
                f"order at {case.seconds(arrived)} to {each.name}: version "
                f"{order['version']} by {order['holder']}, {status}"
            )
    leader = case.leader()
    case.note(f"holder of {ORDERS_KEY}: {leader.name if leader else 'nobody'}")
    case.note(f"before the disruption: {share_served(outcomes, 0, began)}")
    last = share_served(outcomes, named_at + VERSION_S, now)
    case.note(f"from {VERSION_S} s after version 3: {last}")
    case.note(f"requests begun on older weights after versionMs: {len(late)}")
    case.note(
        f"{now - named_at:.1f} s after version 3, {len(old)} of {WORKERS} workers have "
        f"an older version: {old}"
    )
    for each in case.entries:
        for line in each.log_lines("orders_acquired", "orders_lost", "lease_granted"):
            case.note(f"log {each.name}: {line}")
    # More than one worker and over a tenth of them.
    return BROKEN if len(old) > 1 and len(old) > WORKERS / 10 else HELD


if __name__ == "__main__":
    main(Path(__file__).parent, play)
