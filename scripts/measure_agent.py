"""Measure memory and time of the agent's data structures and print one line each.

Times depend on the machine and its load: compare only ratios of one run.
"""

import time
import tracemalloc

from foxtailcourse.cache import BlockIndex
from foxtailcourse.engine import ServiceResponse
from foxtailcourse.idempotency import (
    KeyIssuer,
    OutcomeLimits,
    OutcomeTable,
)
from foxtailcourse.protocol import RequestClass
from foxtailcourse.sharing import FairQueue, QueuedRequest, QueueLimits

ENTRIES = 20_000
BLOCKS_PER_EVENT = 8


def bytes_per_entry(fill, entries=ENTRIES):
    """Return the bytes that ``fill(entries)`` allocates, divided by ``entries``."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    filled = fill(entries)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del filled
    return (after - before) / entries


def make_keys(entries):
    """Return distinct block keys."""
    return [i.to_bytes(16, "big") for i in range(entries)]


def fill_index(entries):
    """Return an index with the given number of cached blocks."""
    index = BlockIndex(entries, 60.0)
    index.record_poll("e", 0.0)
    index.apply("e", 1, True, make_keys(entries), 0.0)
    return index


def fill_outcomes(entries, body=b""):
    """Return a key issuer and a table of finished idempotency keys.

    Parameters
    ----------
    entries : int
        Number of keys.
    body : bytes
        Response body that is kept for each key.
    """
    issuer, table = KeyIssuer("a", 600.0, entries), OutcomeTable(OutcomeLimits())
    response = ServiceResponse(status=200, content_type="text/plain", body=body)
    for _ in range(entries):
        key = issuer.check(issuer.issue("teatro", 0.0), "teatro", 0.0)
        table.begin(key.ident, key.ident, key.expires_at, 0.0)
        table.finish(key.ident, response, 0.0)
    return issuer, table


def fill_queue(entries):
    """Return a queue of waiting requests of ten client accounts."""
    limits = QueueLimits(max_waiting=entries, max_waiting_per_account=entries)
    queue = FairQueue(limits)
    for i in range(entries):
        req = QueuedRequest(
            attempt_id=f"{i:024x}",
            client_account=f"account{i % 10}",
            share=1.0,
            request_class=RequestClass.SHORT,
            uncached_tokens=1,
            expected_tokens=1,
            deadline=1e9,
        )
        queue.offer(req, 0.0)
    return queue


def index_update_us(blocks):
    """Return the mean time of applying one event to a full index, in microseconds.

    Parameters
    ----------
    blocks : int
        Blocks that each event adds.
    """
    entries = 4_000
    index = fill_index(entries)
    keys = make_keys(entries + ENTRIES * blocks)[entries:]
    events = [keys[i * blocks : (i + 1) * blocks] for i in range(ENTRIES)]
    started = time.perf_counter()
    for seq, event in enumerate(events, 2):
        index.apply("e", seq, True, event, 0.0)
    return (time.perf_counter() - started) / ENTRIES * 1e6


def match_us():
    """Return the mean time of matching 200 cached blocks, in microseconds."""
    index, keys, rounds = fill_index(4_000), make_keys(200), 5_000
    started = time.perf_counter()
    for _ in range(rounds):
        index.match(keys, 0.0)
    return (time.perf_counter() - started) / rounds * 1e6


def main():
    """Print all figures."""
    print(f"index entry: {bytes_per_entry(fill_index):.0f} bytes")
    print(f"outcome without body: {bytes_per_entry(fill_outcomes):.0f} bytes")
    print(f"queued request: {bytes_per_entry(fill_queue):.0f} bytes")
    print(f"index update of 1 block: {index_update_us(1):.2f} us")
    blocks = BLOCKS_PER_EVENT
    print(f"index update of {blocks} blocks: {index_update_us(blocks):.2f} us")
    print(f"match of 200 blocks: {match_us():.2f} us")


if __name__ == "__main__":
    main()
