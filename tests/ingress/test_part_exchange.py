import random
import time

import attrs
import testtools
import trio
import trio.testing
from testtools.matchers import Equals

from foxtailcourse.crashes import PartSuspicions
from foxtailcourse.fleet import ServerRun
from foxtailcourse.ingress._part_exchange import PartExchange
from foxtailcourse.observe import EventLog, HybridClock

DEADLY = frozenset({"deadly"})
# Bound of the platform: further requests after the fifth crash.
MAX_FURTHER_REQUESTS = 3


@attrs.define
class StaticShares:
    """Entries that all know each other, or have all just started."""

    names: frozenset
    settled: bool = True

    def members(self, now):
        return self.names

    def is_settled(self, now):
        return self.settled


class Network:
    """Entries that lose a fraction of the messages to each other."""

    def __init__(self, count, loss, seed, settled):
        self.rng, self.loss, self.settled = random.Random(seed), loss, settled
        self.cut_off = set()
        names = frozenset(f"e{number}" for number in range(count))
        self.entries = {name: self._make(name, names) for name in names}
        self.crashes = 0

    def _make(self, name, names):
        async def send(message, to):
            for other in set(to) - {name}:
                reaches = not self.cut_off & {name, other}
                if reaches and self.rng.random() >= self.loss:
                    self.entries[other].handle(message, name)

        return PartExchange(
            vm=name,
            suspicions=PartSuspicions(),
            shares=StaticShares(names, self.settled),
            peers=names,
            send=send,
            clock=trio.current_time,
            events=EventLog(name, HybridClock(time.time)),
        )

    def send_request(self, request):
        """Send a request through a random entry; return whether it crashed a server."""
        entry = self.entries[self.rng.choice(sorted(self.entries))]
        if entry.wait_s(request) > 0:
            return False
        entry.record_sent(request)
        if not request >= DEADLY:
            entry.record_answered(request)
            return False
        self.crashes += 1
        run = ServerRun(f"m{self.crashes}", 1)
        entry.record_broken_off(run, request, begun=True, sent_at=trio.current_time())
        return True


class TestPartExchange(testtools.TestCase):
    """Guards the count of requests with a deadly part over all entries."""

    def play(self, check, count=24, loss=0.1, seed=1, *, settled=True):
        async def main():
            network = Network(count, loss, seed, settled)
            async with trio.open_nursery() as nursery:
                for entry in network.entries.values():
                    nursery.start_soon(entry.run)
                await check(network)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    async def crash_servers(self, network, seconds, per_s=2.0):
        """Send deadly and sound requests; return the times of the crashes."""
        crashed_at, end = [], trio.current_time() + seconds
        while trio.current_time() < end:
            companion = f"a{network.rng.randrange(40)}"
            if network.send_request(DEADLY | {companion}):
                crashed_at.append(trio.current_time())
            network.send_request(frozenset({companion}))
            await trio.sleep(network.rng.expovariate(per_s))
        return crashed_at

    def test_few_servers_crash_though_messages_are_lost(self):
        for seed in range(5):

            async def check(network):
                crashed_at = await self.crash_servers(network, 25.0)
                self.assertTrue(2 <= len(crashed_at) <= 5 + MAX_FURTHER_REQUESTS)
                self.assertTrue(crashed_at[-1] - crashed_at[0] < 8)

            self.play(check, seed=seed)

    def test_entries_try_a_part_one_after_the_other(self):
        async def check(network):
            first = await self.crash_servers(network, 25.0)
            later = await self.crash_servers(network, 100.0)
            self.assertTrue(1 <= len(later) <= MAX_FURTHER_REQUESTS)
            self.assertTrue(later[0] - first[-1] > 20)

        self.play(check)

    def test_wrong_suspicion_ends_at_all_entries(self):
        async def check(network):
            await self.crash_servers(network, 10.0)
            blocked = [
                each.suspicions.active_blocks(trio.current_time())
                for each in network.entries.values()
            ]
            self.assertTrue(all(blocked))
            # A server answers a request that was sent before.
            network.entries["e3"].record_answered(DEADLY)
            await trio.sleep(5.0)
            for entry in network.entries.values():
                self.assertThat(entry.wait_s(DEADLY), Equals(0.0))

        self.play(check)

    def test_entry_that_was_cut_off_follows_within_two_seconds(self):
        async def check(network):
            network.cut_off = {"e1", "e2"}
            await self.crash_servers(network, 10.0)
            network.cut_off = set()
            await trio.sleep(2.0)
            for entry in network.entries.values():
                self.assertTrue(entry.wait_s(DEADLY) > 0)

        for settled in (True, False):
            self.play(check, settled=settled)
