"""Simulated entries that learn of each other late, and are disturbed."""

import attrs
from decision_case import make_limits

from foxtailcourse.fleet import Freshness, ServerRun
from foxtailcourse.ingress._limit_shares import LimitShares
from foxtailcourse.ingress._retry_budget import RetryBudget
from foxtailcourse.ingress._server_limits import ServerLimits
from foxtailcourse.ingress._store_rate_limit import RateLimiter

RUN = ServerRun("s1", 5)
STEP_S = 0.1
LEASE_S = 3.0
HOLD_S = 5.0
# A change of the registrations reaches entries after up to so long.
NEWS_S = 0.6


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
    budget: RetryBudget | None = None
    limiter: RateLimiter | None = None
    # When the call to the store that has been counted last is made.
    next_call_at: float | None = None

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
        entry.next_news_at = now + self.rng.uniform(0, NEWS_S)
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
