"""All entries are killed at one moment, and their callers take up their streams.

The streams belong to one service whose workers all have one software version, before,
during and after the kill. The callers come back once all machines are in touch again.
"""

import asyncio
import signal
import time
from pathlib import Path

from fleet import (
    BROKEN,
    HELD,
    PUEBLA,
    UNUSABLE,
    configuration,
    main,
    prompt,
    route,
)
from http11 import Answer, send
from worker import Worker

MODEL, SERVICE, WORKERS, ENTRIES, STREAMS = "m0", "captions", 4, 4, 24
# The sheet of the galleries (demands/LATER.md): album-story, and the bounds.
CONTACT_S, DEADLINE_S, TARGET_MS, GAP_MS = 4.0, 10.317, 2063, 500
BOUNDS = {
    "bounds.drainMs": "3000",
    "bounds.configurationMs": "3000",
    "bounds.versionMs": "15000",
    "bounds.retryBudgetExtra": "84",
}
# Callers abandon a stream after such a gap: four times the target.
PATIENCE_S = 4 * TARGET_MS / 1000
EVENT_S, EVENTS = 0.15, 24
# The processes start again after this time, as in the days of the site file.
DOWN_S = 1.1
# The entries know the workers for longer than any stream lasts before the kill.
RUN_UP_S = 35.0


def stream_headers(case, ident, deadline_s, **more):
    parts = ["aa:400", f"{ident}:40"]
    return case.headers(ident, deadline_s, **prompt(MODEL, parts, 440, EVENTS), **more)


async def start_streams(case, count, first=0):
    """Start streams at the entries in turn; return them as (id, answer, task)."""
    started = []
    for number in range(count):
        entry = case.entries[(first + number) % ENTRIES]
        ident, answer = case.new_id(), Answer()
        fields = stream_headers(case, ident, DEADLINE_S)
        task = asyncio.ensure_future(
            send(entry.address, "POST", "/story/x", fields, b"{}", DEADLINE_S, answer)
        )
        started.append((ident, answer, task))
    return started


async def take_up(case, stream, number, began):
    """Take a stream up at another entry than the one that began it."""
    ident, former, _ = stream
    entry = case.entries[(number + 1) % ENTRIES]
    last = former.events[-1]
    left_s = DEADLINE_S - (time.monotonic() - began)
    more = {"last-event-id": str(last), "resumes": ident}
    fields = stream_headers(case, case.new_id(), left_s, **more)
    answer = await send(entry.address, "POST", "/story/x", fields, b"{}", left_s)
    went_on = answer.status == 200 and answer.events[:1] == [last + 1]
    case.note(
        f"{ident} taken up at {entry.name} after event {last}: {answer.status} "
        f"{answer.body[:40]!r}" + (f", {len(answer.events)} events" if went_on else "")
    )
    return went_on


async def play(case):
    workers = [
        await Worker(case.store, f"w{n}", SERVICE, {MODEL: 1}, EVENT_S).start()
        for n in range(WORKERS)
    ]
    routes = [
        route(
            "story",
            "streaming",
            SERVICE,
            targetLatencyMs=TARGET_MS,
            targetGapMs=GAP_MS,
            timeoutMs=int(DEADLINE_S * 1000),
            resumable=True,
        )
    ]
    services = [
        {"name": SERVICE, "connectionLimit": 450, "engine": {"maxConcurrent": 8}}
    ]
    case.store.put_json("op/config", configuration(1, routes, services))
    await case.start_entries(ENTRIES, PUEBLA | BOUNDS)
    case.note(f"entries ready; {RUN_UP_S} s pass")
    await asyncio.sleep(RUN_UP_S)
    began = time.monotonic()
    streams = await start_streams(case, STREAMS)
    await asyncio.sleep(1.5)
    if not all(answer.status == 200 and answer.events for _, answer, _ in streams):
        return UNUSABLE
    case.note(f"{len(streams)} streams have begun")
    broken_at = time.monotonic()
    if case.trouble:
        case.note("all entries are killed")
        restarts = [each.restart(signal.SIGKILL, DOWN_S) for each in case.entries]
        await asyncio.gather(*restarts)
        await case.wait_ready(case.entries)
        back_at = max(each.started_at for each in case.entries)
    else:
        case.note("the callers lose their connections")
        for _, _, task in streams:
            task.cancel()
        back_at = broken_at + DOWN_S
    await asyncio.gather(*(task for *_, task in streams), return_exceptions=True)
    ended = [len(answer.events) for _, answer, _ in streams]
    case.note(f"events that the callers have: {ended}")
    if any(answer.complete for _, answer, _ in streams):
        return UNUSABLE
    # From then on the machines are in touch.
    await asyncio.sleep(max(0.0, back_at + CONTACT_S + 0.2 - time.monotonic()))
    gap_s = time.monotonic() - broken_at
    case.note(f"taken up {gap_s:.2f} s after the break, of {PATIENCE_S:.2f} allowed")
    new = await start_streams(case, STREAMS, first=1)
    went_on = await asyncio.gather(
        *(take_up(case, each, n, began) for n, each in enumerate(streams))
    )
    await asyncio.gather(*(task for *_, task in new))
    new_begun = sum(a.status == 200 and bool(a.events) for _, a, _ in new)
    registered = [key for key in case.store.items if key.startswith("servers/")]
    softwares = sorted({each.software for each in workers})
    case.note(f"workers registered: {len(registered)}, software versions {softwares}")
    case.note(f"new streams that begin: {new_begun} of {len(new)}")
    case.note(f"streams taken up that go on: {sum(went_on)} of {len(streams)}")
    for each in case.entries:
        for line in each.log_lines("stream_origin_unknown")[:2]:
            case.note(f"log {each.name}: {line}")
    if gap_s > PATIENCE_S or new_begun < len(new) / 2:
        return UNUSABLE
    share, new_share = sum(went_on) / len(streams), new_begun / len(new)
    return BROKEN if share < new_share / 2 else HELD


if __name__ == "__main__":
    main(Path(__file__).parent, play)
