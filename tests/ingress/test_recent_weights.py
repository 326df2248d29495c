import random
import time

import attrs
import trio
from decision_case import server
from test_weights_age import LIMIT_S
from testtools.matchers import Equals

from foxtailcourse.fleet import FleetView
from foxtailcourse.ingress._recent_weights import RecentWeightsRecorder
from foxtailcourse.observe import EventLog, HybridClock
from foxtailcourse.platform import TxnResult
from support import AsyncTestCase


class LeasedStore:
    """A store with leases by a clock that the test sets.

    ``now`` is a list with the present time in seconds, and ``call_s`` the time that
    passes before each call arrives. ``before_txn`` is called before each write.
    """

    def __init__(self, now, call_s=0.0):
        self.now = now
        self.call_s = call_s
        self.era = 1
        self.lease_ends = {}
        self.bound = {}
        self.before_txn = lambda: None

    async def lease_grant(self, ttl_s):
        self.now[0] += self.call_s
        lease = str(len(self.lease_ends) + 1)
        self.lease_ends[lease] = self.now[0] + ttl_s
        return lease

    async def lease_revoke(self, lease):
        self.lease_ends[lease] = self.now[0]

    async def txn(self, compare, put=(), delete=()):
        self.now[0] += self.call_s
        self.before_txn()
        for key in delete:
            self.bound.pop(key, None)
        for each in put:
            self.bound[each.key] = each.lease
        return TxnResult(succeeded=True, revision=1, era=self.era)

    def ends(self):
        """Return when the keys end, by key."""
        return {key: self.lease_ends[lease] for key, lease in self.bound.items()}


def make_log():
    return EventLog("e1", HybridClock(time.time))


class TestWritingRecords(AsyncTestCase):
    """Guards the time at which a record of recent weights ends."""

    def run_recorder(self, store, now, models=("guide",)):
        """Run the recorder for a while; versions were named at 0."""

        async def main():
            view = FleetView()
            for model in models:
                view.set_desired_weights(model, 2, 0.0)
            weights = dict.fromkeys(models, 1)
            view.servers = {"a": attrs.evolve(server("a"), weights=weights)}
            recorder = RecentWeightsRecorder(
                view=view,
                store=store,
                is_leader=lambda: True,
                usable_s=LIMIT_S - 2,
                min_ttl_s=1.0,
                clock=lambda: now[0],
                rng=random.Random(1),
                events=make_log(),
            )
            with trio.move_on_after(0.5):
                await recorder.run()

        self.run_async(main)

    def test_record_by_an_entry_that_was_suspended_ends_in_time(self):
        now = [0.0]
        store = LeasedStore(now)
        grant = store.lease_grant

        async def grant_after_suspension(ttl_s):
            now[0] += 10.0
            return await grant(ttl_s)

        store.lease_grant = grant_after_suspension
        self.run_recorder(store, now)
        self.assertThat(
            {k: v for k, v in store.ends().items() if v > LIMIT_S}, Equals({})
        )

    def test_records_that_are_written_one_after_another_end_in_time(self):
        now = [0.0]
        store = LeasedStore(now, call_s=0.6)
        self.run_recorder(store, now, [f"guide-{n}" for n in range(6)])
        self.assertTrue(store.ends())
        self.assertThat(
            {k: v for k, v in store.ends().items() if v > LIMIT_S}, Equals({})
        )

    def test_record_is_not_bound_to_a_lease_of_the_next_era(self):
        """A restored store assigns the identifiers of leases again."""
        now = [0.0]
        store = LeasedStore(now)

        def restore():
            if store.era == 1:
                store.era = 2
                # Now the lease of an entry, which renews it.
                store.lease_ends["1"] = float("inf")

        store.before_txn = restore
        self.run_recorder(store, now)
        self.assertThat(
            {k: v for k, v in store.ends().items() if v > LIMIT_S}, Equals({})
        )
