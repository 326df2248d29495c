import random
import time

import trio
from testtools.matchers import Equals

from foxtailcourse.fleet import FleetView
from foxtailcourse.ingress._lease import EntryLease
from foxtailcourse.ingress._shared import ORDERS_KEY, SharedKeys
from foxtailcourse.observe import EventLog, HybridClock
from foxtailcourse.platform import LeaseLostError, PlatformError, TxnResult
from support import AsyncTestCase

TTL_S = 3.0


class FakeStore:
    """A store whose leases follow a clock that the test sets."""

    def __init__(self, now):
        self.now = now
        self.leases = {}
        self.holder = None
        self.revision = 0
        self.down = False

    def _check(self):
        if self.down:
            raise PlatformError("down", may_have_applied=False)
        self.leases = {k: v for k, v in self.leases.items() if v > self.now[0]}
        if self.holder is not None and self.holder not in self.leases:
            self.holder = None

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
            if self.holder is not None:
                return TxnResult(succeeded=False, revision=self.revision)
            self.holder = put[0].lease
        return TxnResult(succeeded=True, revision=self.revision)


class TestEntryLease(AsyncTestCase):
    """Guards the pause between the orders of two holders."""

    def holder(self, store, now, name):
        log = EventLog(name, HybridClock(time.time))
        shared = SharedKeys(FleetView())
        rng = random.Random(name)
        return EntryLease(store, name, TTL_S, shared, lambda: now[0], rng, log)

    async def step(self, store, holder):
        """Do what one round of ``run`` does, with its errors."""
        try:
            if not holder.lease:
                await holder._grant()
            await holder._renew()
            if not holder.fence:
                await holder._acquire()
        except LeaseLostError:
            holder._lose("lapsed")
        except PlatformError:
            pass

    def test_orders_of_two_holders_are_a_lease_apart(self):
        async def main():
            for seed in range(50):
                rng = random.Random(seed)
                now = [0.0]
                store = FakeStore(now)
                first = self.holder(store, now, "a")
                second = self.holder(store, now, "b")
                await self.step(store, first)
                cut_at = rng.uniform(2.0, 6.0)
                last, earliest = None, None
                while now[0] < 20 and earliest is None:
                    now[0] += rng.uniform(0.01, 0.4)
                    # The first is cut off, then frozen with its belief, then wakes.
                    if now[0] < cut_at:
                        await self.step(store, first)
                    if first.may_order(now[0]):
                        last = now[0]
                    await self.step(store, second)
                    if second.may_order(now[0]):
                        earliest = now[0]
                self.assertTrue(earliest - last >= TTL_S, (seed, last, earliest))
                self.assertTrue(second.fence > first.fence)

        self.run_async(main)

    def test_right_counts_from_before_the_renewal(self):
        async def main():
            now = [0.0]
            store = FakeStore(now)
            holder = self.holder(store, now, "a")
            await self.step(store, holder)
            keepalive = store.lease_keepalive

            async def slow(lease):
                await keepalive(lease)
                now[0] += 2.0

            store.lease_keepalive = slow
            now[0] = 2.5
            await holder._renew()
            self.assertThat(holder._valid_until, Equals(2.5 + TTL_S))
            self.assertFalse(holder.may_order(now[0]))
            await trio.lowlevel.checkpoint()

        self.run_async(main)
