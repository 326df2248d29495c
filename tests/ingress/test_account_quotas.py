import random

import testtools
from quota_simulation import (
    LONG_TOKENS,
    RULE,
    QuotaFleet,
    account,
    prompt_tokens,
)
from testtools.matchers import Equals

from foxtailcourse.fleet import Freshness
from foxtailcourse.ingress._account_quotas import (
    AccountQuotas,
    Grant,
    QuotaRefusal,
    QuotaRule,
)
from foxtailcourse.ingress._fleet_sums import FleetSums
from foxtailcourse.ingress._limit_shares import LimitShares

SIZES = (1, 5, 27, 68)
# Limits of the galleries, in tokens per second.
SMALL, LARGE = 47_000, 189_673
# Time until a fleet that has just started is in its usual state.
SETTLED_S = 20.0


class BelowLimitFleet(QuotaFleet):
    """Sends as much as a token bucket of the quota's rate and burst allows."""

    level = 0.0

    def _offer(self, alive, now, step_s):
        if now < SETTLED_S:
            return
        quota = self.account.quota
        self.level = max(0.0, self.level - quota.rate_per_s * step_s)
        if self.placed_on is not None:
            alive = [each for each in alive if each.vm == self.placed_on]
        while True:
            tokens = min(prompt_tokens(self.rng), quota.burst)
            if self.level + tokens > quota.burst:
                return
            self.level += tokens
            self.offered += 1
            entry = self.rng.choice(alive)
            grant = entry.quotas.admit(entry.accounts["k"], tokens, now)
            if isinstance(grant, Grant):
                self._finish(entry, grant, True, now)
            else:
                self.refused.append(grant)


class TestQuotaRule(testtools.TestCase):
    """Guards the rule on what an account uses in any window, over all entries.

    The bound is that of the rule. The demand is a multiple of the limit.
    """

    def run_fleet(self, seed, rate_per_s, multiples, changes=(), fault_rate=0.03):
        rng = random.Random(seed)
        size = SIZES[seed % len(SIZES)]
        delays_s = (0.005, rng.choice([0.05, 0.2]))
        present = account(rate_per_s, rate_per_s)
        fleet = QuotaFleet(rng, size, present, delays_s)
        while fleet.now < 60:
            fleet.step()
            if rng.random() < 0.03:
                fleet.demand_per_s = rate_per_s * rng.choice(multiples)
            if rng.random() < 0.03:
                vm = rng.choice(fleet.entries).vm
                fleet.placed_on = rng.choice([None, "e0", vm])
            if rng.random() < fault_rate:
                fleet.inject_fault()
            if changes and rng.random() < 0.01:
                fleet.configure(rng.choice(changes))
        ran = sum(tokens for _, tokens in fleet.ran)
        self.assertTrue(ran > 0 and fleet.refused, seed)
        worst = fleet.most_over_limit()
        self.assertTrue(worst <= 1, (seed, size, worst))

    def test_no_window_exceeds_the_rule_while_entries_fail(self):
        for seed in range(16):
            self.run_fleet(seed, SMALL, (0.5, 1, 4, 7.5))
        for seed in range(24, 36):
            self.run_fleet(seed, LARGE, (0.5, 1, 4))

    def test_no_window_exceeds_the_rule_while_the_limit_changes(self):
        changes = [
            account(SMALL, SMALL),
            account(3 * SMALL, SMALL),
            account(SMALL / 2, SMALL),
            account(0),
            account(SMALL, SMALL, name="b"),
            account(SMALL, SMALL, unit="requests"),
        ]
        for seed in range(40, 60):
            self.run_fleet(seed, SMALL, (1, 4), changes)

    def test_entries_that_never_hear_each_other_divide_the_quota(self):
        for size in SIZES:
            present = account(SMALL, SMALL)
            fleet = QuotaFleet(random.Random(size), size, present, loss=1.0)
            fleet.demand_per_s = 7.5 * SMALL
            while fleet.now < 60:
                fleet.step()
            worst = fleet.most_over_limit()
            self.assertTrue(worst <= 1, (size, worst))


class TestAccountsBelowTheirLimit(testtools.TestCase):
    """Guards callers against refusals while their account is within its limit."""

    def test_demand_within_rate_and_burst_is_not_refused(self):
        for size in SIZES:
            for placed in ("even", "one", "moving"):
                for rate_per_s in (SMALL, LARGE):
                    present = account(rate_per_s, rate_per_s)
                    rng = random.Random(size)
                    fleet = BelowLimitFleet(rng, size, present, (0.005, 0.05))
                    while fleet.now < 35:
                        fleet.step()
                        if placed == "one":
                            fleet.placed_on = "e0"
                        elif placed == "moving":
                            fleet.placed_on = f"e{int(fleet.now / 3) % size}"
                    self.assertTrue(fleet.offered > 100)
                    self.assertThat(fleet.refused, Equals([]), (size, placed))

    def test_overload_uses_the_limit_for_prompts_of_all_sizes(self):
        for size in SIZES:
            present = account(SMALL, SMALL)
            fleet = QuotaFleet(random.Random(size), size, present, (0.005, 0.05))
            while fleet.now < 80:
                fleet.step()
                fleet.demand_per_s = 4 * SMALL if fleet.now > SETTLED_S else 0.0
            ran = sum(tokens for _, tokens in fleet.ran)
            self.assertTrue(ran >= 0.9 * SMALL * 60, (size, ran))
            served = len(fleet.ran) / fleet.offered
            longs = [t for _, t in fleet.ran if t > LONG_TOKENS]
            refused_longs = [t for _, t, _ in fleet.refused if t > LONG_TOKENS]
            fraction = len(longs) / (len(longs) + len(refused_longs))
            self.assertTrue(fraction >= served / 2, (size, fraction, served))


class TestAccountQuotas(testtools.TestCase):
    """Guards single decisions of one entry."""

    def quotas(self, rule=RULE, vms=("e1",), fresh=True):
        freshness = Freshness(as_of=float("inf") if fresh else float("-inf"))
        shares = LimitShares("e1", lambda: set(vms), freshness, 5.0)
        shares.update(0.0)
        sums = FleetSums()
        return AccountQuotas(sums=sums, shares=shares, rng=random.Random(1), rule=rule)

    def test_returned_tokens_are_available_again_once(self):
        quotas, present = self.quotas(QuotaRule()), account(100, 100)
        quotas.update({"k": present}, 0.0)
        grants = [quotas.admit(present, 60, 50.0) for _ in range(2)]
        refusal = quotas.admit(present, 60, 50.0)
        self.assertThat(round(refusal.use.total), Equals(120))
        self.assertTrue(0.15 <= refusal.retry_after_s <= 0.25, refusal)
        for _ in range(2):
            quotas.give_back(grants[0], 50.0)
        self.assertThat(round(quotas.admit(present, 10**6, 50.0).tokens), Equals(10**6))
        self.assertIsInstance(quotas.admit(present, 1, 50.0), QuotaRefusal)

    def test_request_larger_than_the_rule_is_refused_and_said_so(self):
        quotas, present = self.quotas(), account(SMALL, SMALL)
        quotas.update({"k": present}, 0.0)
        refusal = quotas.admit(present, 10**6, 60.0)
        self.assertTrue(refusal.too_large)
        self.assertIsInstance(quotas.admit(present, 100_000, 60.0), Grant)

    def test_entry_that_starts_counts_unknown_use(self):
        quotas, present = self.quotas(fresh=False), account(SMALL, SMALL)
        quotas.update({"k": present}, 0.0)
        self.assertIsInstance(quotas.admit(present, 400, 0.0), QuotaRefusal)

    def test_use_of_an_entry_that_is_gone_still_counts(self):
        quotas, present = self.quotas(vms=("e1", "e2")), account(SMALL, SMALL)
        rows = [("q/tokens/a", [0.0])]
        for now in (0.0, 10.0, 20.0, 30.0):
            quotas.sums.update_others("e2", rows, 1, now)
            quotas.update({"k": present}, now)
        quotas.sums.update_others("e2", [("q/tokens/a", [260_000.0])], 1, 30.0)
        for n in range(8):
            quotas.update({"k": present}, 30.0 + n / 8)
        refusal = quotas.admit(present, 400, 31.6)
        self.assertThat(refusal.use.heard_entries, Equals(0))
        self.assertTrue(refusal.use.unheard > 160_000, refusal)

    def test_names_that_are_too_long_for_a_message_are_shortened(self):
        quotas, present = self.quotas(), account(SMALL, SMALL, name="x" * 10_000)
        quotas.admit(present, 400, 0.0)
        (key,) = quotas.sums.keys("q/")
        self.assertTrue(len(key) < 60, key)
