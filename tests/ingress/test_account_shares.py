"""Fair shares of client accounts while they compete for too little capacity."""

import math
import random

import testtools
from account_simulation import (
    ACCOUNTS,
    TARGET_S,
    AccountSimulation,
    configuration,
    percentile,
    served_fraction,
)
from ingress_case import IngressCase
from testtools.matchers import Contains, Equals

from foxtailcourse.ingress._account_shares import (
    MIN_EVEN_FRACTION,
    SHARE_TOLERANCE,
    WORK_DECAY_S,
    AccountDemand,
    AccountShares,
    Pressure,
    PromptKind,
    ServedKinds,
    fair_shares,
)
from foxtailcourse.ingress._admission import PREFILL_TOKENS_PER_S, DeferredPrompts
from foxtailcourse.ingress._fleet_sums import FleetSums
from foxtailcourse.ingress._server_loads import RemoteLoad
from support import run_with

KIND = PromptKind("short", False)
HIGH = Pressure(backlog_tokens=2 * PREFILL_TOKENS_PER_S, servers=1, deferred=0)
CALM = Pressure(backlog_tokens=1_000.0, servers=1, deferred=0)
# The galleries: one account sends 7.5 times its usual rate.
HOT = {("a0", kind): 7.5 for kind in TARGET_S}
# The same beside bursts of long prompts of all accounts.
BURSTS = HOT | {(each, "long"): 2.5 for each in ACCOUNTS if each != "a0"}
# An account is small if its demand is at most this fraction of what accounts may have.
# Its work within the decay time of 3 s may be several times its mean.
SMALL = 0.25


def oracle_level(demands, capacity):
    """Return the largest amount of an account under equal max-min shares."""
    low, high = 0.0, max(demands)
    for _ in range(60):
        level = (low + high) / 2
        fits = sum(min(each, level) for each in demands) <= capacity
        low, high = (level, high) if fits else (low, level)
    return low


class TestFairShares(testtools.TestCase):
    """Guards the division of work against one that is computed in another way."""

    def test_work_is_divided_completely_and_no_account_exceeds_the_level(self):
        for seed in range(200):
            rng = random.Random(seed)
            demands = [
                AccountDemand(
                    sent_tokens=rng.expovariate(1e-4),
                    refused_tokens=rng.choice((0.0, rng.expovariate(1e-4))),
                    weight=rng.choice((1.0, 1.0, 0.5)),
                )
                for _ in range(rng.randrange(1, 30))
            ]
            total = sum(each.tokens for each in demands)
            capacity = total * rng.uniform(0.1, 0.99)
            shares = fair_shares(demands, capacity)
            given = [min(e.tokens, shares.share_tokens(e)) for e in demands]
            self.assertTrue(math.isclose(sum(given), capacity, rel_tol=1e-6), seed)
            for each, amount in zip(demands, given, strict=True):
                least = MIN_EVEN_FRACTION * capacity / total * each.tokens
                most = max(least, shares.level_tokens * each.weight)
                self.assertTrue(least * 0.999 <= amount <= most * 1.001, seed)

    def test_enough_work_for_all_limits_nobody(self):
        demand = AccountDemand(sent_tokens=5.0)
        for demands in ((), (demand,)):
            self.assertThat(fair_shares(demands, 5.0).level_tokens, Equals(math.inf))


class TestAccountShares(testtools.TestCase):
    """Guards which accounts get less backlog, and what a refused caller is told."""

    def setUp(self):
        super().setUp()
        self.sums = FleetSums()
        self.shares = AccountShares(self.sums, enabled=True)
        for account, tokens in (("a0", 100_000.0), ("a1", 5_000.0), ("a2", 4_000.0)):
            for _ in range(20):
                self.shares.record_asked(account, KIND, 0.0)
                self.shares.record_sent(account, KIND, tokens / 20, 0.0)

    def excess(self, account, pressure=HIGH, now=0.1, deferred=0.0, kind=KIND):
        return self.shares.excess(
            account, kind, deferred, pressure, configuration(), now
        )

    def test_only_the_account_above_its_share_and_only_under_pressure(self):
        self.assertIsNone(self.excess("a0", CALM))
        self.assertIsNone(self.excess("a1"))
        self.assertIsNone(self.excess("a9"))
        self.assertIsNotNone(self.excess("a0"))

    def test_prompts_that_wait_at_this_entry_count_for_their_account(self):
        self.assertIsNotNone(self.excess("a1", deferred=60_000.0))

    def test_account_is_at_its_share_after_the_retry_time(self):
        excess = self.excess("a0")
        later = 0.1 + excess.retry_after_s
        (used, _) = self.sums.total("w/a0", later)
        self.assertThat(round(used), Equals(round(excess.share_tokens)))
        self.assertTrue(0.0 < excess.retry_after_s < 2 * WORK_DECAY_S)

    def test_an_account_alone_is_not_limited(self):
        shares = AccountShares(FleetSums(), enabled=True)
        shares.record_sent("a0", KIND, 10**6, 0.0)
        excess = shares.excess("a0", KIND, 0.0, HIGH, configuration(), 0.1)
        self.assertIsNone(excess)

    def test_work_that_no_server_ran_does_not_count(self):
        self.shares.record_not_run("a0", 97_000.0, 0.0)
        self.assertThat(round(self.sums.total("w/a0", 0.0)[0]), Equals(3_000))

    def test_a_better_priority_has_a_larger_share(self):
        equal = self.excess("a0").share_tokens
        self.shares._refreshed_at = float("-inf")
        better = self.shares.excess(
            "a0", KIND, 0.0, HIGH, configuration({"a0": 0}), 0.1
        )
        self.assertTrue(better is None or better.share_tokens >= equal)

    def test_false_loads_of_other_entries_leave_a_part_of_the_work(self):
        absurd = Pressure(backlog_tokens=10.0**12, servers=1, deferred=0)
        self.assertIsNone(self.excess("a1", absurd))
        self.assertTrue(self.excess("a0", absurd).done_tokens > 20_000.0)

    def test_long_and_large_prompts_of_an_account_keep_their_part(self):
        """Guards against short prompts that use up the whole share of an account."""
        served, sent = ServedKinds(), {}
        kinds = {
            name: PromptKind(name[0], name == "long-large")
            for name in ("short", "long", "long-large")
        }
        rng = random.Random(5)
        for step in range(4_000):
            name = rng.choices(("short", "long", "long-large"), (90, 9, 1))[0]
            served.record_asked("a0", kinds[name], step / 100)
            is_sent = name == "short" or served.is_behind("a0", kinds[name], step / 100)
            sent.setdefault(name, []).append(is_sent)
            if is_sent:
                served.record_sent("a0", kinds[name], step / 100)
        fractions = {k: sum(v) / len(v) for k, v in sent.items()}
        self.assertTrue(fractions["long"] >= 0.25, fractions)
        self.assertTrue(fractions["long-large"] >= fractions["long"] / 2, fractions)

    def test_counts_of_many_accounts_are_bounded(self):
        served = ServedKinds()
        for number in range(20_000):
            served.record_asked(f"a{number}", KIND, number * 1.0)
        self.assertTrue(len(served) < 600, len(served))


class TestDeferredPrompts(testtools.TestCase):
    """Guards small accounts against the deferred prompts of a large one."""

    def test_prompts_of_a_large_account_are_not_ahead_of_a_small_one(self):
        deferred = DeferredPrompts()
        for key in range(20):
            deferred.add(key, 20_000.0, "a0")
        large = deferred.fair_backlog_s("a0", 5_000.0, 2, 2)
        small = deferred.fair_backlog_s("a1", 5_000.0, 2, 2)
        self.assertThat(large, Equals(deferred.backlog_s(2, 2)))
        self.assertThat(small, Equals(5_000.0 / PREFILL_TOKENS_PER_S))


class TestFairness(testtools.TestCase):
    """Simulates the galleries with 6 of 21 servers when one account is hot."""

    def simulate(self, surges, **options):
        return AccountSimulation(
            seed=2, servers=6, load=4.2, surges=surges, **options
        ).run()

    def check(self, sim):
        offered, served = sim.work_by_account(False), sim.work_by_account(True)
        window_s = sim.duration_s - 2.5 - sim.surge_s[0] - 3.0
        capacity = sim.servers * PREFILL_TOKENS_PER_S * window_s
        level = oracle_level(list(offered.values()), capacity)
        everyone = served_fraction(sim.select())
        for account in ACCOUNTS:
            requests = sim.select(account)
            # No account is served less than a quarter as often as all.
            fraction = served_fraction(requests)
            self.assertTrue(fraction >= everyone / 4, (account, fraction, everyone))
            if offered[account] <= SMALL * level:
                states = {each.state for each in requests}
                if sim.cut_off:
                    # Entries that do not hear all others know shares of fewer prompts,
                    # which vary more.
                    self.assertTrue(fraction >= 0.95, (account, fraction))
                else:
                    self.assertThat(states, Equals({"sent"}), account)
        # What exceeds the share of the hot account is not served, and no less is.
        share = min(offered["a0"], level)
        self.assertTrue(served["a0"] <= SHARE_TOLERANCE * share, (served["a0"], share))
        self.assertTrue(served["a0"] >= 0.9 * share, (served["a0"], share))
        for kind in TARGET_S:
            requests = sorted(sim.select(kind=kind), key=lambda each: each.work_tokens)
            fraction = served_fraction(requests)
            self.assertTrue(fraction >= everyone / 4, (kind, fraction, everyone))
            largest = served_fraction(requests[-len(requests) // 10 :])
            self.assertTrue(largest >= fraction / 2, (kind, largest, fraction))
            ages_s = [
                each.first_event_s
                for each in requests
                if each.is_served and offered[each.account] <= SMALL * level
            ]
            late_s = percentile(ages_s, 0.95)
            self.assertTrue(late_s <= TARGET_S[kind], (kind, late_s))
        # Refused at once, not after a wait at the entry.
        refused = [each for each in sim.select() if each.state == "above_share"]
        self.assertThat({each.refused_s for each in refused}, Equals({0.0}))

    def test_excess_of_a_hot_account_is_taken_from_its_own_share(self):
        for entries in (1, 5, 27):
            self.check(self.simulate(HOT, entries=entries, duration_s=20.0))

    def test_hot_account_beside_bursts_of_all(self):
        for entries in (1, 5, 27):
            self.check(self.simulate(BURSTS, entries=entries, duration_s=20.0))

    def test_reports_are_lost(self):
        self.check(self.simulate(BURSTS, loss=0.3))

    def test_reports_of_some_entries_are_missing(self):
        self.check(self.simulate(BURSTS, cut_off=(0,)))

    def test_calm_day_refuses_and_defers_nothing(self):
        for entries in (1, 5, 27):
            sim = self.simulate({}, entries=entries)
            states = {each.state for each in sim.requests}
            self.assertThat(states, Equals({"sent"}))
            before = self.simulate({}, entries=entries, enabled=False)
            for kind in TARGET_S:
                new, old = (
                    percentile([e.first_event_s for e in each.select(kind=kind)], 0.95)
                    for each in (sim, before)
                )
                self.assertThat(new, Equals(old))


class TestShareRefusals(IngressCase):
    """Guards the use of the shares by a running entry."""

    def press(self, entry):
        """Let one account have used nearly all work while both servers are busy."""
        app, clock = entry.app, entry.app._dispatcher.clock
        for _ in range(20):
            app._account_shares.record_sent("walled", None, 100.0, clock())
            app._account_shares.record_asked(
                "teatro", PromptKind("ask", False), clock()
            )
            app._account_shares.record_sent(
                "teatro", PromptKind("ask", False), 10_000.0, clock()
            )
        load = RemoteLoad(
            prefill_tokens=90_000.0,
            in_flight=9,
            short_prompts=0,
            received_at=clock(),
        )
        for name in ("m1", "m2"):
            app._loads.update_remote("e9", name, load)

    async def check_pressure(self, fleet, entry):
        self.press(entry)
        refused = await fleet.call(entry, "ask", stream=3)
        served = await fleet.call(entry, "ask", stream=3, key="key-w")
        self.assertThat((refused.status, served.status), Equals((503, 200)))
        self.assertThat(refused.body, Contains(b"account_share"))
        (fields,) = entry.events("request_refused")
        retry_s = float(refused.headers["retry-after"])
        self.assertTrue(0 < retry_s < 4 * WORK_DECAY_S, retry_s)
        self.assertThat(fields["client_account"], Equals("teatro"))
        for name in ("account_tokens", "share_tokens", "backlog_ms", "shares_age_ms"):
            self.assertThat(fields, Contains(name))

    def test_account_above_its_share_is_refused_at_once(self):
        self.with_fleet(self.check_pressure, contracts=("base", "pressure"))

    @run_with("with_fleet")
    async def test_without_the_contract_nothing_is_counted_or_refused(
        self, fleet, entry
    ):
        response = await fleet.call(entry, "ask", stream=3)
        self.assertThat(response.status, Equals(200))
        self.assertThat(entry.app._sums.keys(""), Equals([]))
        self.press(entry)
        response = await fleet.call(entry, "ask", stream=3)
        self.assertThat(response.status, Equals(200))
