import random

import attrs
import testtools
from decision_case import make_limits

from foxtailcourse.fleet import Freshness, ServerRun
from foxtailcourse.ingress._limit_shares import LimitShares
from foxtailcourse.ingress._server_limits import ServerLimits

RUN = ServerRun("s1", 5)
STEP_S = 0.1
LEASE_S = 3.0
HOLD_S = 5.0
# A change of the registrations reaches entries after up to so long.
NEWS_S = 0.6
# Bound of the platform: in any window so many times the limit, and some requests more.
WINDOW_S, EXCESS_RATIO, EXTRA_REQUESTS = 4.0, 1.5, 5


@attrs.define
class SimulatedEntry:
    """An entry as the store and its own clock see it.

    Faults last until a time in seconds: ``frozen_until`` stops it, ``cut_until``
    separates it from the store, and ``down_until`` is its restart.
    """

    vm: str
    started_at: float
    registered: set = attrs.field(factory=set)
    freshness: Freshness = attrs.field(factory=Freshness)
    limits: ServerLimits = attrs.field(init=False)
    lease_until: float = float("-inf")
    frozen_until: float = 0.0
    cut_until: float = 0.0
    down_until: float = 0.0
    next_news_at: float = 0.0

    def __attrs_post_init__(self):
        self.limits = make_limits(self.vm, self.registered, self.freshness, HOLD_S)

    @property
    def shares(self) -> LimitShares:
        return self.limits.shares

    def runs(self, now):
        return now >= max(self.frozen_until, self.down_until)


class SimulatedFleet:
    """Entries that join, leave, restart, freeze and are cut off from the store."""

    def __init__(self, rng, size, limit_per_s):
        self.rng = rng
        self.limit_per_s = limit_per_s
        self.entries = [self.add(0.0, f"e{n}") for n in range(size)]
        self.now = 0.0
        self.arrivals = []

    def add(self, now, vm):
        entry = SimulatedEntry(vm, now)
        entry.limits.record_limit(RUN, self.limit_per_s, now)
        return entry

    def step(self):
        self.now = now = self.now + STEP_S
        alive = [each for each in self.entries if each.runs(now)]
        for entry in alive:
            if now >= entry.cut_until:
                entry.lease_until = now + LEASE_S
        registered = {each.vm for each in self.entries if each.lease_until > now}
        for entry in alive:
            if now >= max(entry.cut_until, entry.next_news_at):
                entry.next_news_at = now + self.rng.uniform(0, NEWS_S)
                entry.registered.clear()
                entry.registered.update(registered)
                entry.freshness.advance(now)
            entry.shares.update(now)
            if self.limits_allow(entry):
                entry.limits.record_sent(RUN, now)
                self.arrivals.append(now)

    def limits_allow(self, entry):
        return entry.limits.available_in_s(RUN, self.now) == 0

    def inject_fault(self):
        entry, rng, now = self.rng.choice(self.entries), self.rng, self.now
        fault = rng.choice(["join", "leave", "restart", "freeze", "cut", "all"])
        until = now + rng.uniform(0.2, 15.0)
        if fault == "join":
            self.entries.append(self.add(now, f"e{now:.2f}"))
        elif fault == "leave" and len(self.entries) > 1:
            self.entries.remove(entry)
        elif fault == "restart":
            self.restart(entry)
        elif fault == "freeze":
            entry.frozen_until = until
        elif fault == "cut":
            entry.cut_until = until
        elif fault == "all" and rng.random() < 0.2:
            for each in list(self.entries):
                self.restart(each)

    def restart(self, entry):
        self.entries.remove(entry)
        restarted = self.add(self.now, entry.vm)
        restarted.down_until = self.now + self.rng.uniform(0.3, 4.0)
        restarted.lease_until = entry.lease_until
        self.entries.append(restarted)

    def used_per_s(self):
        """Return the rate of all shares that are in use."""
        return sum(
            each.limits._refilled_share(RUN, self.now).per_s
            for each in self.entries
            if each.runs(self.now)
        )


class TestSharesOfLimits(testtools.TestCase):
    """Guards limits that entries keep together while the fleet changes.

    Each entry sends as soon as its share allows it.
    """

    def test_no_window_exceeds_the_limit_while_entries_come_and_go(self):
        for seed in range(20):
            rng = random.Random(seed)
            size, limit_per_s = rng.choice([1, 5, 28, 68]), rng.choice([0.3, 2.4, 7.1])
            fleet = SimulatedFleet(rng, size, limit_per_s)
            while fleet.now < 60.0:
                fleet.step()
                self.assertTrue(fleet.used_per_s() <= limit_per_s, (seed, fleet.now))
                if rng.random() < STEP_S:
                    fleet.inject_fault()
            allowed = EXCESS_RATIO * limit_per_s * WINDOW_S + EXTRA_REQUESTS
            for start in fleet.arrivals:
                end = start + WINDOW_S
                arrived = sum(start <= at < end for at in fleet.arrivals)
                self.assertTrue(arrived <= allowed, (seed, start, arrived))

    def test_stable_fleet_uses_most_of_the_limit(self):
        for size, limit_per_s in ((1, 7.1), (5, 2.4), (28, 7.1), (68, 40.0)):
            fleet = SimulatedFleet(random.Random(1), size, limit_per_s)
            while fleet.now < 60.0:
                fleet.step()
            sent = sum(at > 20.0 for at in fleet.arrivals)
            self.assertTrue(sent >= 0.8 * limit_per_s * 40.0, (size, sent))
