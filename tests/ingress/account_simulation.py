"""Simulated entries and servers whose accounts compete for prefill work."""

import heapq
import random
from collections import defaultdict

import attrs
from decision_case import candidate, prompt

from foxtailcourse.fleet import Account, Configuration, Route, RouteKind
from foxtailcourse.ingress._account_shares import AccountShares, Pressure, PromptKind
from foxtailcourse.ingress._admission import (
    PREFILL_TOKENS_PER_S,
    AdmissionDecision,
    DeferredPrompts,
    RequestTiming,
    decide_admission,
)
from foxtailcourse.ingress._fleet_sums import FleetSums
from foxtailcourse.ingress._placement_types import Choice

# Targets and patience of the galleries in seconds, by kind; mean prefill work.
TARGET_S = {"long": 2.063, "short": 0.523}
PATIENCE_S = {"long": 8.25, "short": 2.1}
WORK_TOKENS = {"long": 5_600.0, "short": 840.0}
TYPICAL_TOKENS = {"long": 17_020.0, "short": 383.0}
# The galleries' ratio of short to long prompts; a tenth of their requests.
PER_S = {"long": 1.43, "short": 26.6}
ACCOUNTS = {"a0": 0.2, "a1": 0.15, "a2": 0.1} | {
    f"a{n}": 0.55 / 13 for n in range(3, 16)
}
REPORT_PERIOD_S = 0.4
LOADS_PERIOD_S = 0.02


@attrs.define(eq=False)
class Request:
    account: str
    kind: str
    arrived_at: float
    work_tokens: float
    tokens: int
    entry: int = 0
    state: str = "waiting"
    first_event_s: float | None = None
    refused_s: float | None = None
    retry_after_s: float | None = None

    @property
    def prompt(self):
        value = prompt(shared_tokens=0, own_tokens=self.tokens)
        return attrs.evolve(value, typical_tokens=TYPICAL_TOKENS[self.kind])

    @property
    def is_served(self):
        return self.state == "sent"


def configuration(priorities=()):
    routes = tuple(
        Route(
            name=kind,
            host="h",
            path_prefix=f"/{kind}",
            kind=RouteKind.STREAM,
            timeout_s=20.0,
            target_latency_s=TARGET_S[kind],
            priority=0,
            max_attempts=3,
            public=False,
            resumable=True,
            backends=(),
        )
        for kind in TARGET_S
    )
    accounts = {
        name: Account(name=name, priority=dict(priorities).get(name, 1), isolated=False)
        for name in ACCOUNTS
    }
    return Configuration(
        version=1,
        routes={"h": routes},
        services={},
        accounts=accounts,
        keys_required=True,
    )


class SimulatedEntry:
    def __init__(self, servers):
        self.sums = FleetSums()
        self.shares = AccountShares(self.sums, enabled=True)
        self.deferred = DeferredPrompts()
        self.backlogs = [0.0] * servers
        self.reported_at = float("-inf")
        # When, where and how much this entry sent since the last report, and when it
        # is prefilled.
        self.sent = []


@attrs.define(kw_only=True, slots=False)
class AccountSimulation:
    """Prompts of accounts that arrive at entries, with late or lost reports.

    ``surges`` has, by account and kind, a factor of the arrivals during ``surge_s``.
    ``enabled`` is whether the shares apply.
    """

    seed: int
    entries: int = 5
    servers: int = 2
    load: float = 1.0
    duration_s: float = 24.0
    surge_s: tuple[float, float] = (6.0, 24.0)
    surges: dict = attrs.field(factory=dict)
    delays_s: tuple[float, float] = (0.005, 0.2)
    loss: float = 0.0
    cut_off: tuple[int, ...] = ()
    enabled: bool = True
    requests: list = attrs.field(factory=list, init=False)

    def run(self):
        self.rng = random.Random(self.seed)
        self.config = configuration()
        self.fleet = [SimulatedEntry(self.servers) for _ in range(self.entries)]
        self.free_at = [0.0] * self.servers
        self.queue, self.count = [], 0
        for account, fraction in ACCOUNTS.items():
            for kind in TARGET_S:
                self.arrive(account, kind, fraction, 0.0)
        for number in range(self.entries):
            self.at(self.rng.uniform(0, REPORT_PERIOD_S), self.report, number)
        self.at(0.0, self.publish_loads)
        while self.queue and self.queue[0][0] < self.duration_s:
            now, _, action, args = heapq.heappop(self.queue)
            action(*args, now)
        return self

    def at(self, time, action, *args):
        self.count += 1
        heapq.heappush(self.queue, (time, self.count, action, args))

    def arrive(self, account, kind, fraction, now):
        """Let the next prompts of an account arrive, by thinning the highest rate."""
        highest = self.surges.get((account, kind), 1.0)
        rate = PER_S[kind] * fraction * self.load * max(1.0, highest)
        while now < self.duration_s:
            now += self.rng.expovariate(rate)
            if now >= self.duration_s:
                break
            in_surge = self.surge_s[0] <= now < self.surge_s[1]
            if in_surge or self.rng.random() * max(1.0, highest) < 1.0:
                size = self.rng.lognormvariate(-0.08, 0.4)
                work = WORK_TOKENS[kind] * size
                tokens = int(TYPICAL_TOKENS[kind] * size)
                number = self.rng.randrange(self.entries)
                req = Request(account, kind, now, work, tokens, number)
                self.requests.append(req)
                self.at(now, self.decide, req, self.fleet[number])

    def report(self, number, now):
        self.at(now + REPORT_PERIOD_S, self.report, number)
        rows = self.fleet[number].sums.own_rows(now)
        for other, entry in enumerate(self.fleet):
            is_cut = number in self.cut_off or other in self.cut_off
            if other != number and not is_cut and self.rng.random() >= self.loss:
                delay_s = self.rng.uniform(*self.delays_s)
                source = f"e{number}"
                self.at(now + delay_s, self.receive, entry, source, rows)

    def receive(self, entry, source, rows, now):
        entry.sums.update_others(source, rows, 1, now)

    def publish_loads(self, now):
        self.at(now + LOADS_PERIOD_S, self.publish_loads)
        backlogs = [self.backlog(n, now) for n in range(self.servers)]
        for number in self.cut_off:
            for _, server, work_tokens, prefilled_at in self.fleet[number].sent:
                if prefilled_at > now:
                    backlogs[server] = max(0.0, backlogs[server] - work_tokens)
        for number, entry in enumerate(self.fleet):
            delay_s = self.rng.uniform(*self.delays_s)
            if number in self.cut_off:
                self.apply_own_load(entry, now)
                continue
            self.at(now + delay_s, self.apply_loads, entry, backlogs, now)

    def apply_loads(self, entry, backlogs, sent_at, now):
        """Apply a report; what the entry has sent since then comes on top."""
        if sent_at <= entry.reported_at:
            return
        entry.reported_at = sent_at
        entry.sent = [each for each in entry.sent if each[0] > sent_at]
        entry.backlogs = list(backlogs)
        for _, server, work_tokens, _ in entry.sent:
            entry.backlogs[server] += work_tokens

    def apply_own_load(self, entry, now):
        """Let an entry that hears no other see only its own prompts."""
        entry.sent = [each for each in entry.sent if each[3] > now]
        entry.backlogs = [0.0] * self.servers
        for _, server, work_tokens, _ in entry.sent:
            entry.backlogs[server] += work_tokens

    def backlog(self, server, now):
        return max(0.0, self.free_at[server] - now) * PREFILL_TOKENS_PER_S

    def decide(self, req, entry, now):
        age_s = now - req.arrived_at
        kind = PromptKind.of(req.kind, req.prompt)
        is_new = age_s == 0.0
        if self.enabled and is_new:
            entry.shares.record_asked(req.account, kind, now)
        # The better one of two, as late loads would send all entries to the best one.
        pair = self.rng.sample(range(self.servers), min(2, self.servers))
        server = min(pair, key=lambda each: entry.backlogs[each])
        choice = Choice(
            candidate=candidate(f"s{server}", queued_tokens=entry.backlogs[server]),
            work_tokens=req.work_tokens,
        )
        pressure = Pressure(
            backlog_tokens=sum(entry.backlogs),
            servers=self.servers,
            deferred=len(entry.deferred),
            entries=self.entries,
        )
        timing = RequestTiming(
            age_s=age_s,
            target_s=TARGET_S[req.kind],
            patience_s=PATIENCE_S[req.kind],
            was_deferred=entry.deferred.remove(id(req)),
        )
        above = None
        if self.enabled and is_new:
            deferred = entry.deferred.account_tokens().get(req.account, 0.0)
            above = entry.shares.excess(
                req.account, kind, deferred, pressure, self.config, now
            )
        args = (self.servers, self.entries)
        if self.enabled:
            backlog_s = entry.deferred.fair_backlog_s(
                req.account, req.work_tokens, *args
            )
        else:
            backlog_s = entry.deferred.backlog_s(*args)
        decision = decide_admission(
            choice,
            req.prompt,
            timing,
            backlog_s,
            above_share_target_s=above.target_s if above else None,
        )
        if decision is AdmissionDecision.SEND:
            self.send(req, entry, kind, server, now)
        elif decision is AdmissionDecision.DEFER:
            entry.deferred.add(id(req), req.work_tokens, req.account)
            pause_s = max(0.015, 0.1 * age_s) * self.rng.uniform(0.5, 1.5)
            self.at(now + pause_s, self.decide, req, entry)
        else:
            req.state = "refused" if above is None else "above_share"
            req.refused_s = age_s
            req.retry_after_s = above.retry_after_s if above else None
            entry.shares.record_refused(req.account, req.work_tokens, now)

    def send(self, req, entry, kind, server, now):
        if self.enabled:
            entry.shares.record_sent(req.account, kind, req.work_tokens, now)
        work_s = req.work_tokens / PREFILL_TOKENS_PER_S
        self.free_at[server] = max(now, self.free_at[server]) + work_s
        entry.backlogs[server] += req.work_tokens
        entry.sent.append((now, server, req.work_tokens, self.free_at[server]))
        req.state = "sent"
        req.first_event_s = self.free_at[server] + 0.12 - req.arrived_at

    # Results

    def select(self, account=None, kind=None, settled_s=3.0):
        """Return the requests of the surge after a time to settle."""
        return [
            each
            for each in self.requests
            if self.surge_s[0] + settled_s <= each.arrived_at < self.duration_s - 2.5
            and account in (None, each.account)
            and kind in (None, each.kind)
        ]

    def work_by_account(self, served_only):
        work = defaultdict(float)
        for each in self.select():
            work[each.account] += each.work_tokens * (each.is_served or not served_only)
        return work


def served_fraction(requests):
    return sum(each.is_served for each in requests) / max(1, len(requests))


def percentile(values, fraction):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]
