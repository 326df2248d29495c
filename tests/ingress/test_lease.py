import random
import time

import trio
from testtools.matchers import Equals
from trio.testing import MockClock

from foxtailcourse.fleet import FleetView
from foxtailcourse.ingress._lease import EntryLease
from foxtailcourse.ingress._membership import ORDERS_KEY, Membership
from foxtailcourse.observe import EventLog, HybridClock
from foxtailcourse.platform import (
    KeyValue,
    LeaseLostError,
    PlatformError,
    TxnResult,
)
from support import AsyncTestCase, run_with

TTL_S = 3.0


class FakeStore:
    """A store whose leases expire by a clock that the test sets.

    ``now`` is a list with the present time in seconds.
    """

    def __init__(self, now):
        self.now = now
        self.leases = {}
        self.leader_lease = None
        # Value and revision of the leader's key.
        self.leader = b""
        self.leader_revision = 0
        # Writes of that key that are applied and not answered.
        self.lose_answers = 0
        # Whether keys outlive their leases, as in a store restored without them.
        self.keeps_keys = False
        self.revision = 0
        self.era = 0
        self.down = False

    def _check(self):
        if self.down:
            raise PlatformError("down", may_have_applied=False)
        self.leases = {k: v for k, v in self.leases.items() if v > self.now[0]}
        if self.leader_lease not in self.leases and not self.keeps_keys:
            self.leader_lease = None

    def orders_key(self):
        """Return the item of the leader's key, or None without one."""
        if self.leader_lease is None:
            return None
        return KeyValue(
            key=ORDERS_KEY,
            value=self.leader,
            mod_revision=self.leader_revision,
            lease=self.leader_lease,
        )

    async def lease_grant(self, ttl_s):
        self._check()
        lease = str(len(self.leases) + 1 + self.revision * 10)
        self.leases[lease] = self.now[0] + ttl_s
        return lease

    async def lease_keepalive(self, lease):
        self._check()
        if lease not in self.leases:
            raise LeaseLostError("lapsed", may_have_applied=False)
        self.leases[lease] = self.now[0] + TTL_S

    async def lease_revoke(self, lease):
        self._check()
        self.leases.pop(lease, None)

    async def txn(self, compare, put=(), delete=()):
        self._check()
        self.revision += 1
        if ORDERS_KEY in compare:
            held = self.orders_key()
            if (held.mod_revision if held else 0) != compare[ORDERS_KEY]:
                return TxnResult(
                    succeeded=False,
                    revision=held.mod_revision if held else 0,
                    current=(held,) if held else (),
                    era=self.era,
                )
            self.leader_lease, self.leader = put[0].lease, put[0].value
            self.leader_revision = self.revision
            if self.lose_answers:
                self.lose_answers -= 1
                raise PlatformError("no answer", may_have_applied=True)
        return TxnResult(succeeded=True, revision=self.revision, era=self.era)


def make_lease(store, name, clock):
    log = EventLog(name, HybridClock(time.time))
    membership = Membership(FleetView(), log)
    return EntryLease(store, name, TTL_S, membership, clock, random.Random(name), log)


class TestEntryLease(AsyncTestCase):
    """Guards the time between the orders of two leaders."""

    def make_lease(self, store, now, name):
        return make_lease(store, name, lambda: now[0])

    async def step(self, store, entry_lease):
        """Run one iteration of ``run``, including its error handling."""
        try:
            if not entry_lease.lease:
                await entry_lease._acquire_lease()
            await entry_lease._renew()
            if not entry_lease.fence:
                await entry_lease._acquire_leadership()
        except LeaseLostError:
            entry_lease._discard_lease("lapsed")
        except PlatformError:
            pass

    def test_orders_of_two_leaders_are_a_lease_apart(self):
        async def main():
            for seed in range(50):
                rng = random.Random(seed)
                now = [0.0]
                store = FakeStore(now)
                first = self.make_lease(store, now, "a")
                second = self.make_lease(store, now, "b")
                await self.step(store, first)
                renewals_end_at = rng.uniform(2.0, 6.0)
                last_order_at, next_order_at = None, None
                while now[0] < 20 and next_order_at is None:
                    now[0] += rng.uniform(0.01, 0.4)
                    # From renewals_end_at on, the first entry cannot renew its lease.
                    if now[0] < renewals_end_at:
                        await self.step(store, first)
                    if first.may_order(now[0]):
                        last_order_at = now[0]
                    await self.step(store, second)
                    if second.may_order(now[0]):
                        next_order_at = now[0]
                self.assertTrue(
                    next_order_at - last_order_at >= TTL_S,
                    (seed, last_order_at, next_order_at),
                )
                self.assertTrue(second.fence > first.fence)

        self.run_async(main)

    def test_leadership_is_measured_from_before_the_renewal(self):
        async def main():
            now = [0.0]
            store = FakeStore(now)
            entry_lease = self.make_lease(store, now, "a")
            await self.step(store, entry_lease)
            keepalive = store.lease_keepalive

            async def slow_keepalive(lease):
                await keepalive(lease)
                now[0] += 2.0

            store.lease_keepalive = slow_keepalive
            now[0] = 2.5
            await entry_lease._renew()
            self.assertThat(entry_lease._valid_until, Equals(2.5 + TTL_S))
            self.assertFalse(entry_lease.may_order(now[0]))
            await trio.lowlevel.checkpoint()

        self.run_async(main)


class TwoEntriesCase(AsyncTestCase):
    """Runs two entries that compete for leadership."""

    def with_entries(self, check):
        """Run two entries that learn of the leader as by a watch, on virtual time."""

        async def main():
            now = [0.0]
            store = FakeStore(now)
            entries = [make_lease(store, vm, trio.current_time) for vm in ("e1", "e2")]

            async def watch():
                while True:
                    now[0] = trio.current_time()
                    if not store.down:
                        store._check()
                    item = store.orders_key()
                    for each in entries:
                        known = each._membership.leader.encode()
                        if known != (item.value if item else b""):
                            value = item.value if item else None
                            each._membership.apply_change(ORDERS_KEY, value, 1)
                    await trio.sleep(0.05)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch)
                await check(nursery, store, *entries)
                nursery.cancel_scope.cancel()

        self.run_async(main, clock=MockClock(autojump_threshold=0))


class TestLostAnswers(TwoEntriesCase):
    """Guards against a leader that does not know that it is the leader.

    Its lease keeps the key from all others, so that nobody orders weight loads.
    """

    @run_with("with_entries")
    async def test_entry_leads_although_the_answer_to_its_write_was_lost(
        self, nursery, store, first, second
    ):
        store.lose_answers = 1
        nursery.start_soon(first.run)
        await trio.sleep(TTL_S)
        self.assertThat(store.lose_answers, Equals(0))
        self.assertThat(first.fence, Equals(store.leader_revision))
        self.assertTrue(first.may_order(trio.current_time()))
        self.assertFalse(second.may_order(trio.current_time()))

    @run_with("with_entries")
    async def test_orders_are_a_lease_apart_although_the_answer_was_lost(
        self, nursery, store, first, second
    ):
        stopped = trio.CancelScope()

        async def run_first():
            with stopped:
                await first.run()

        nursery.start_soon(run_first)
        await trio.sleep(2 * TTL_S)
        store.lose_answers = 1
        nursery.start_soon(second.run)
        stopped.cancel()
        last_order_at = trio.current_time()
        while first.may_order(trio.current_time()):
            last_order_at = trio.current_time()
            await trio.sleep(0.02)
        while not second.may_order(trio.current_time()):
            await trio.sleep(0.02)
        self.assertTrue(trio.current_time() - last_order_at >= TTL_S)
        self.assertThat(store.lose_answers, Equals(0))

    @run_with("with_entries")
    async def test_key_that_a_former_process_wrote_is_left_to_its_lease(
        self, nursery, store, first, second
    ):
        await store.lease_grant(TTL_S)
        store.leader, store.leader_lease = b"e1", next(iter(store.leases))
        store.revision = store.leader_revision = 7
        nursery.start_soon(first.run)
        await trio.sleep(0.9 * TTL_S)
        self.assertThat(first.fence, Equals(0))
        await trio.sleep(TTL_S)
        self.assertTrue(first.fence)

    @run_with("with_entries")
    async def test_key_that_outlives_its_lease_is_replaced(
        self, nursery, store, first, second
    ):
        store.keeps_keys = True
        store.leader, store.leader_lease, store.leader_revision = b"e1", "copy", 7
        store.revision = 7
        nursery.start_soon(first.run)
        nursery.start_soon(second.run)
        await trio.sleep(TTL_S)
        self.assertThat((first.fence, second.fence), Equals((0, 0)))
        await trio.sleep(3 * TTL_S)
        self.assertTrue(first.fence > 7)
        self.assertTrue(first.may_order(trio.current_time()))

    @run_with("with_entries")
    async def test_revision_of_an_earlier_era_replaces_no_key(
        self, nursery, store, first, second
    ):
        held = KeyValue(key=ORDERS_KEY, value=b"e1", mod_revision=7, lease="copy")
        for era, expected in ((0, 7), (1, 0)):
            first._note_former_key(held)
            store.era = era
            first._note_era()
            await trio.sleep(2 * TTL_S)
            revision = first._replaceable_revision(trio.current_time())
            self.assertThat(revision, Equals(expected), era)

    @run_with("with_entries")
    async def test_entry_that_stops_gives_up_a_key_that_it_does_not_know_it_holds(
        self, nursery, store, first, second
    ):
        store.lose_answers = 1
        nursery.start_soon(first.run)
        while store.lose_answers:
            await trio.sleep(0.001)
        await first.stand_down()
        nursery.start_soon(second.run)
        await trio.sleep(TTL_S)
        self.assertThat((first.fence, store.leader), Equals((0, b"e2")))
        self.assertTrue(first.lease and second.fence)


class TestStoppingLeader(TwoEntriesCase):
    """Guards the time between orders of a leader that stops and of the next one."""

    async def stop_after(self, nursery, first, second, pause_s):
        """Stop a leader some time after its order; return when the next one may."""
        nursery.start_soon(first.run)
        await trio.sleep(2 * TTL_S)
        nursery.start_soon(second.run)
        await trio.sleep(TTL_S)
        first.record_order(trio.current_time())
        ordered_at = trio.current_time()
        await trio.sleep(pause_s)
        nursery.start_soon(first.stand_down)
        await trio.sleep(0.001)
        self.assertFalse(first.may_order(trio.current_time()))
        while not second.may_order(trio.current_time()):
            await trio.sleep(0.01)
        return trio.current_time() - ordered_at

    @run_with("with_entries")
    async def test_next_orders_follow_a_lease_after_the_last_one(
        self, nursery, store, first, second
    ):
        after_s = await self.stop_after(nursery, first, second, 0.1)
        self.assertTrue(TTL_S <= after_s < TTL_S + 1, after_s)
        self.assertTrue(first.lease)

    @run_with("with_entries")
    async def test_leader_without_a_recent_order_gives_up_at_once(
        self, nursery, store, first, second
    ):
        after_s = await self.stop_after(nursery, first, second, 10.0)
        self.assertTrue(after_s < 10.0 + 0.75 * TTL_S, after_s)

    @run_with("with_entries")
    async def test_order_that_is_on_its_way_at_the_stop_counts(
        self, nursery, store, first, second
    ):
        sent_at = []

        async def order():
            await trio.sleep(2 * TTL_S + TTL_S + 0.3)
            first.record_order(trio.current_time())
            sent_at.append(trio.current_time())

        nursery.start_soon(order)
        after_s = await self.stop_after(nursery, first, second, 0.1)
        self.assertTrue(after_s - 0.3 >= TTL_S, after_s)
