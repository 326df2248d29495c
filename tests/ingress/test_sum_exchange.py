import math
import random

import testtools
from ingress_case import IngressCase
from sums_simulation import TAU_S, SimulatedFleet
from testtools.matchers import Equals

from cluster import wait_until
from foxtailcourse.ingress._clock import boot_seconds
from foxtailcourse.ingress._peer_messages import MAX_DATAGRAM_BYTES
from foxtailcourse.ingress._sum_exchange import SUSPENDED_S
from support import run_with

SIZES = (1, 5, 27, 68)
KEYS = [f"q/tokens/account{number}" for number in range(6)]
# Three hops, each with a period of at most 0.5 s, a delay and the step of the receiver.
MESSAGE_AGE_S = 3 * (0.5 + 0.2 + 0.05)
# Sums decay from their arrival on, so those on the way are too large by this factor. A
# process that pauses for less than SUSPENDED_S also uses what waited in its socket.
ON_THE_WAY = math.exp(3 * 0.25 / TAU_S)
ON_THE_WAY_WITH_PAUSES = math.exp(3 * (0.25 + SUSPENDED_S) / TAU_S)


def add_demand(fleet):
    """Let random entries add to random keys, sometimes urgently."""
    for entry in fleet.entries.values():
        if entry.frozen_until <= fleet.now and fleet.rng.random() < 0.3:
            amount = fleet.rng.choice((5, 300, 40_000))
            key = fleet.rng.choice([*KEYS, f"w/{entry.vm}"])
            entry.add(key, amount, fleet.now, urgent=fleet.rng.random() < 0.1)


class TestSumExchange(testtools.TestCase):
    """Guards the sums that each entry has of the others."""

    def check_bounds(self, fleet, on_the_way=ON_THE_WAY):
        """No entry is counted twice, nor one that was not heard."""
        # An entry that counts twice doubles the sum of the key of its own.
        keys = [*KEYS, *(f"w/{each}" for each in fleet.entries)]
        true_others = fleet.true_others(keys)
        for vm, entry in fleet.entries.items():
            if entry.frozen_until > fleet.now:
                continue
            heard = entry.sums.heard_entries(fleet.now)
            self.assertTrue(heard <= len(fleet.peers) - 1, (vm, heard))
            recent = fleet.recent_senders(vm)
            self.assertTrue(heard <= len(recent), (vm, heard, recent))
            for key in keys:
                total = sum(entry.sums.others(key, fleet.now))
                true = true_others[key, vm]
                # Each sum on the way may be rounded by a half.
                limit = true * on_the_way + len(fleet.peers)
                self.assertTrue(total <= limit, (fleet.now, vm, key, total, true))

    def check_converged(self, fleet):
        for vm, entry in fleet.entries.items():
            heard = entry.sums.heard_entries(fleet.now)
            self.assertThat((vm, heard), Equals((vm, len(fleet.entries) - 1)))
            for key in KEYS:
                total = sum(entry.sums.others(key, fleet.now))
                live = sum(
                    each.true_sum(key, fleet.now)
                    for each in fleet.entries.values()
                    if each is not entry
                )
                tolerance = (ON_THE_WAY - 1) * live + len(fleet.entries)
                self.assertTrue(abs(total - live) <= tolerance, (vm, key, total, live))

    def test_sums_converge_within_the_message_age(self):
        for size in SIZES:
            fleet = SimulatedFleet(random.Random(size), size)

            def step(fleet=fleet):
                add_demand(fleet)
                self.check_bounds(fleet)

            fleet.run(6, step)
            fleet.run(MESSAGE_AGE_S, lambda fleet=fleet: self.check_bounds(fleet))
            self.check_converged(fleet)

    def test_loss_freezes_joins_and_restarts_count_nobody_twice(self):
        for size in SIZES:
            for seed in range(4 if size < 68 else 2):
                fleet = SimulatedFleet(random.Random(seed), size, loss=0.05)

                def step(fleet=fleet):
                    add_demand(fleet)
                    self.disturb(fleet)
                    self.check_bounds(fleet, ON_THE_WAY_WITH_PAUSES)

                fleet.run(20, step)
                fleet.loss = 0.0
                fleet.run(7)
                self.check_converged(fleet)

    def disturb(self, fleet):
        rng = fleet.rng
        if rng.random() < 0.04:
            vm = rng.choice(list(fleet.entries))
            fleet.entries[vm].frozen_until = fleet.now + rng.choice((0.3, 1.0, 3.0))
        if rng.random() < 0.02:
            fleet.start(rng.choice(list(fleet.entries)))
        if rng.random() < 0.01:
            fleet.start(f"e{len(fleet.peers)}")

    def test_members_that_change_their_relay_are_counted_once(self):
        for seed in range(4):
            fleet = SimulatedFleet(random.Random(seed), 27)

            def step(fleet=fleet):
                add_demand(fleet)
                self.check_bounds(fleet)

            fleet.run(3, step)
            relay, second = fleet.entries["e9"].exchange.plan.own_relays(fleet.now)
            # First some members lose their relay, then all do.
            members = {"e9", "e13"}
            fleet.is_cut = lambda sender, receiver, pair=(relay, members): (
                sender == pair[0] and receiver in pair[1]
            )
            fleet.run(3, step)
            fleet.stop(relay)
            fleet.run(2.5, step)
            heard = fleet.entries["e9"].sums.heard_entries(fleet.now)
            self.assertThat(heard, Equals(25))
            fleet.peers.remove(relay)
            fleet.run(3, step)
            fleet.run(MESSAGE_AGE_S)
            self.check_converged(fleet)

    def test_resumed_entry_hears_nobody_until_new_messages_come(self):
        for size in (5, 27):
            fleet = SimulatedFleet(random.Random(size), size)
            fleet.run(3, lambda fleet=fleet: add_demand(fleet))
            entry = fleet.entries["e4"]
            entry.frozen_until = fleet.now + 4.0
            fleet.run(3.99, lambda fleet=fleet: add_demand(fleet))
            # What waited in the socket is read in the next step.
            fleet.run(0.06)
            self.assertThat(entry.sums.heard_entries(fleet.now), Equals(0))
            fleet.run(MESSAGE_AGE_S)
            self.assertThat(entry.sums.heard_entries(fleet.now), Equals(size - 1))

    def test_urgent_keys_do_not_wait_for_the_period(self):
        for size in (5, 27):
            fleet = SimulatedFleet(random.Random(size), size, max_delay_s=0.006)
            fleet.run(3, lambda fleet=fleet: add_demand(fleet))
            fleet.entries["e4"].add("q/tokens/urgent", 1000, fleet.now, urgent=True)
            sent_before = len(fleet.sent)
            fleet.run(0.4)
            for vm, entry in fleet.entries.items():
                total = sum(entry.sums.others("q/tokens/urgent", fleet.now))
                self.assertTrue(total > 900 or vm == "e4", (vm, total))
            # Relays do not send it to each other again and again.
            self.assertTrue(len(fleet.sent) - sent_before < 8 * size)

    def test_nothing_is_sent_without_keys(self):
        for size in (5, 27):
            fleet = SimulatedFleet(random.Random(size), size)
            fleet.run(3)
            self.assertThat(fleet.sent, Equals([]))
            fleet.entries["e1"].add(KEYS[0], 1, fleet.now)
            fleet.run(3)
            self.assertTrue(fleet.sent)
            # The key is forgotten a minute later, and then all entries are silent.
            fleet.run(70)
            fleet.sent.clear()
            fleet.run(3)
            self.assertThat(fleet.sent, Equals([]))

    def test_messages_fit_datagrams_and_hot_keys_come_first(self):
        fleet = SimulatedFleet(random.Random(1), 13, max_delay_s=0.006)
        for number in range(2100):
            fleet.entries["e12"].add(f"q/tokens/account{number}", 500, fleet.now)
        fleet.run(1)
        fleet.entries["e12"].add("q/tokens/account77", 90_000, fleet.now)
        fleet.run(MESSAGE_AGE_S)
        self.assertTrue(max(each[3] for each in fleet.sent) <= MAX_DATAGRAM_BYTES)
        for vm, entry in fleet.entries.items():
            total = sum(entry.sums.others("q/tokens/account77", fleet.now))
            self.assertTrue(total > 80_000 or vm == "e12", (vm, total))


class TestSumsOfRunningEntries(IngressCase):
    """Guards the wiring of the exchange in the process."""

    @run_with("with_fleet")
    async def test_sums_of_an_entry_reach_the_others(self, fleet, entry):
        other = await fleet.start_entry("e2")
        entry.app._sums.add("w/a", [1000, 2], TAU_S, boot_seconds())
        await wait_until(
            lambda: other.app._sums.others("w/a", boot_seconds())[:1] > (900,)
        )
        now = boot_seconds()
        self.assertThat(other.app._sums.heard_entries(now), Equals(1))
        await wait_until(lambda: entry.app._sums.heard_entries(boot_seconds()) == 1)
