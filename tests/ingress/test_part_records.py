import time

import msgspec
import trio
from decision_case import NOW
from testtools.matchers import Equals

from foxtailcourse.crashes import PartSuspicions
from foxtailcourse.ingress._part_exchange import PartExchange
from foxtailcourse.ingress._part_records import (
    REWRITE_PAUSE_S,
    PartRecords,
    record_key,
)
from foxtailcourse.observe import EventLog, HybridClock
from foxtailcourse.platform import PlatformError, TxnResult
from support import AsyncTestCase

PARTS = frozenset({"llm/aa"})


class Suspicions(PartSuspicions):
    """Suspicions that know of an answer with the blocked parts."""

    def contradicts(self, parts, now):
        return parts == PARTS

    def answered_at(self, parts):
        return NOW


class FailingStore:
    """Fails a number of writes, as a store that is down; collects removed keys."""

    def __init__(self, failures):
        self.failures = failures
        self.removed = []

    async def txn(self, compare, put=(), delete=()):
        await trio.lowlevel.checkpoint()
        if self.failures:
            self.failures -= 1
            raise PlatformError("down", may_have_applied=False)
        self.removed += delete
        return TxnResult(succeeded=True, revision=1)


class Alone:
    """Shares of the only entry, which is the first of all for each record."""

    def members(self, now):
        return {"e1"}


async def send_nothing(message, to):
    """Drop a message."""


class TestRemovals(AsyncTestCase):
    """Guards sound requests against a block that stays in the store.

    Entries that start later adopt it.
    """

    def test_removal_that_failed_is_tried_again(self):
        async def main():
            log, now = EventLog("e1", HybridClock(time.time)), [NOW]
            exchange = PartExchange(
                vm="e1",
                suspicions=Suspicions(),
                shares=Alone(),
                peers=["e1"],
                send=send_nothing,
                clock=lambda: now[0],
                events=log,
            )
            store, key = FailingStore(2), record_key(PARTS)
            records = PartRecords(
                exchange=exchange,
                store=store,
                min_ttl_s=1.0,
                clock=lambda: now[0],
                wall_clock=lambda: now[0],
                events=log,
            )
            value = {"parts": sorted(PARTS), "times": 1}
            records.apply_change(key, msgspec.json.encode(value))
            for _ in range(3):
                self.assertThat(records.refuted(now[0]), Equals([key]))
                await records._remove(key)
                self.assertThat(records.refuted(now[0]), Equals([]))
                now[0] += REWRITE_PAUSE_S
            self.assertThat(store.removed, Equals([key]))
            self.assertThat(records.refuted(now[0]), Equals([]))

        self.run_async(main)
