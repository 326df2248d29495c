"""Guards against limits that the entries together exceed or leave unused."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.matchers import Equals, GreaterThan, LessThan

from foxtailcourse.config import Contract
from foxtailcourse.emulator.sharing.demand_exchange import DemandExchangeSimulation
from foxtailcourse.sharing import AccountLimiter, Grant, Refusal, RetryBudget, _slices
from foxtailcourse.sharing._slices import SliceTable

with_fixed_seed = settings(derandomize=True, deadline=None, max_examples=25)
RATE, BURST_S, PERIOD_S, MAX_DELAY_S = 40.0, 1.0, 1.0, 0.5


def contract(rate=RATE, **fields):
    fields = {"max_concurrent": 10**6, "tokens_per_s": rate * 1_000} | fields
    return Contract(client_account="a", requests_per_s=rate, **fields)


def make_fleet(seed, **faults):
    options = {"period_s": PERIOD_S, "max_delay_s": MAX_DELAY_S} | faults
    return DemandExchangeSimulation(4, seed, contract(), **options)


demands = st.lists(
    st.lists(st.sampled_from([0.0, 0.3, 1.0, 2.0]), min_size=4, max_size=4),
    min_size=2,
    max_size=4,
)


class TestOvershoot(testtools.TestCase):
    """Guards against entries that together admit more than the contract allows.

    This happens if an entry uses more than the others know of, because a message was
    lost or late, the entries were partitioned, or an entry restarted.
    """

    @with_fixed_seed
    @given(demands, st.integers(0, 99), st.sampled_from([0.0, 0.3]))
    def test_fractions_never_add_up_to_more_than_one(self, plan, seed, loss):
        fleet = make_fleet(seed, loss=loss)
        fleet.run_phases(plan, 5.0)
        self.assertThat(fleet.max_fraction_sum, LessThan(1.0 + 1e-9))
        self.assertThat(fleet.excess_requests(), LessThan(RATE * BURST_S + 4 + 1e-6))

    def highest_sum_with_partition(self, plan, seed, side, loss, partition_s):
        def cut(now, a, b):
            apart = (int(a[1]) < side) != (int(b[1]) < side)
            return apart and 4.0 < now < 4.0 + partition_s

        fleet = make_fleet(seed, partition=cut, loss=loss, max_delay_s=0.9)
        fleet.run_phases([*plan, *plan], 5.0)
        return fleet.max_fraction_sum

    @with_fixed_seed
    @given(
        demands,
        st.integers(0, 99),
        st.integers(1, 3),
        st.sampled_from([0.0, 0.2]),
        st.sampled_from([3.0, 5.0, 7.0, 14.0]),
    )
    def test_nor_when_entries_are_partitioned(
        self, plan, seed, side, loss, partition_s
    ):
        highest = self.highest_sum_with_partition(plan, seed, side, loss, partition_s)
        self.assertThat(highest, LessThan(1.0 + 1e-9))

    def test_two_partitions_exceed_one_only_without_settling_time(self):
        """Control: the sum exceeds 1 when SETTLE_S is 0."""

        def highest(seed):
            cut = {"partition": lambda now, a, b: now > 6.4, "loss": 0.2}
            fleet = DemandExchangeSimulation(
                2, seed, contract(), max_delay_s=0.9, **cut
            )
            fleet.run_phases([[0.3, 2.0], [1.0, 2.0], [0.3, 0.3]], 6.0)
            return fleet.max_fraction_sum

        self.assertThat(max(map(highest, range(20))), LessThan(1.0 + 1e-9))
        self.addCleanup(setattr, _slices, "SETTLE_S", _slices.SETTLE_S)
        _slices.SETTLE_S = 0.0
        self.assertThat(max(map(highest, range(20))), GreaterThan(1.2))

    def test_without_acknowledgments_the_sum_exceeds_one(self):
        """Control: entries that ignore which claims were acknowledged."""
        usable_claim = SliceTable._usable_claim
        SliceTable._usable_claim = lambda self, account: 1.0
        max_claim, SliceTable._max_claim = (
            SliceTable._max_claim,
            claim_by_latest_reports,
        )
        self.addCleanup(setattr, SliceTable, "_usable_claim", usable_claim)
        self.addCleanup(setattr, SliceTable, "_max_claim", max_claim)
        fleet = make_fleet(1)
        fleet.run_phases([[1.0, 0, 0, 0], [0, 1.0, 0, 0], [1.0, 0, 2.0, 0]], 5.0)
        self.assertThat(fleet.max_fraction_sum, GreaterThan(1.5))

    @with_fixed_seed
    @given(st.integers(0, 99), st.integers(0, 3))
    def test_restart_exceeds_by_at_most_an_equal_fraction(self, seed, which):
        """The excess ends when the other entries receive the first summary."""
        fleet = make_fleet(seed)
        fleet.requests_per_s["e0"] = RATE * 2
        fleet.run(15.0)
        name = f"e{which}"
        fleet.restart(name)
        self.assertThat(fleet.fractions()[name], Equals(0.25))
        refusal = fleet.limiters[name].admit(contract(), 100, fleet.now)
        self.assertThat(refusal.code, Equals("requests_rate"))
        fleet.run(30.0)
        self.assertThat(fleet.max_fraction_sum, LessThan(1.25 + 1e-9))
        bound = 0.25 * (1.1 * PERIOD_S + MAX_DELAY_S)
        self.assertThat(fleet.excess_s, LessThan(bound + 1e-9))

    @with_fixed_seed
    @given(demands, st.integers(0, 99))
    def test_two_entries_without_a_connection_exceed_by_at_most_half(self, plan, seed):
        fleet = make_fleet(seed, partition=lambda now, a, b: {a, b} == {"e0", "e1"})
        fleet.run_phases(plan, 5.0)
        self.assertThat(fleet.max_fraction_sum, LessThan(1.5 + 1e-9))

    def test_unlisted_entry_exceeds_by_an_equal_fraction_until_received(self):
        old, new = AccountLimiter("old"), AccountLimiter("new")
        new.set_entries(["old", "new"], 0.0)
        self.assertThat(old.fraction("a", 0.0) + new.fraction("a", 0.0), Equals(1.5))
        old.apply_summaries([new.summarize_demand(0.1)], 0.2)
        self.assertThat(old.fraction("a", 0.2) + new.fraction("a", 0.2), Equals(1.0))


def claim_by_latest_reports(self, peer, account, now):
    """Leave what the latest reports imply, as a division without claims would."""
    demand = {k: v.accounts.get(account) for k, v in self.peers.items()}
    others = sum(each.demand for each in demand.values() if each is not None)
    claims = self._claims.get(account)
    own = claims[-1][1] if claims else self._equal_fraction
    return (1.0 - own) / len(self.peers) if others or claims else self._equal_fraction


class TestMovement(testtools.TestCase):
    """Guards against limits that stay unused while another entry needs them."""

    def test_unused_fractions_move_within_seconds_and_return(self):
        fleet = make_fleet(5)
        fleet.requests_per_s["e0"] = RATE
        fleet.run(5.0)
        self.assertThat(fleet.fractions()["e0"], GreaterThan(0.9))
        fleet.requests_per_s["e1"] = RATE
        fleet.run(9.0)
        self.assertThat(fleet.fractions()["e1"], GreaterThan(0.4))
        fleet.requests_per_s["e0"] = 0.0
        fleet.run(20.0)
        self.assertThat(fleet.fractions()["e1"], GreaterThan(0.85))
        fleet.requests_per_s["e1"] = 0.0
        fleet.run(60.0)
        self.assertThat(set(fleet.fractions().values()), Equals({0.25}))
        self.assertThat(
            fleet.limiters["e2"].summarize_demand(60.0).accounts, Equals({})
        )


class TestOneEntry(testtools.TestCase):
    """Guards against buckets that admit too many or too few requests.

    The reference counts what the contract's rates left. Refunds, a rate of zero and
    a clock that goes back must not add capacity.
    """

    @with_fixed_seed
    @given(st.lists(st.tuples(st.floats(0, 0.3), st.integers(1, 400)), max_size=100))
    def test_admits_as_an_exact_count_of_the_remaining_rate(self, steps):
        limiter, now = AccountLimiter("e", 0.0), 0.0
        limits = contract(10.0, tokens_per_s=500.0)
        requests = tokens = 0.0
        for elapsed_s, size in steps:
            now += elapsed_s
            requests = min(10.0, requests + 10.0 * elapsed_s)
            tokens = min(500.0, tokens + 500.0 * elapsed_s)
            allowed = requests >= 1.0 and tokens >= min(size, 500.0)
            near = min(abs(requests - 1.0), abs(tokens - size)) < 1e-6
            answer = limiter.admit(limits, size, now)
            self.assertTrue(near or isinstance(answer, Grant) == allowed)
            if isinstance(answer, Grant):
                requests, tokens = requests - 1.0, tokens - size

    def test_retry_after_time_suffices_and_a_refund_is_complete(self):
        limiter = AccountLimiter("e", 0.0)
        limits = contract(2.0, tokens_per_s=100.0, max_concurrent=2)
        grant = limiter.admit(limits, 5_000, 1.0)
        refusal = limiter.admit(limits, 50, 1.0)
        self.assertThat(refusal.code, Equals("tokens_rate"))
        limiter.finish(grant, 1.0, ran=False)
        grants = [limiter.admit(limits, 50, 1.0) for _ in range(2)]
        self.assertThat(limiter.admit(limits, 1, 1.5).code, Equals("concurrency"))
        for each in grants:
            limiter.finish(each, 1.5)
        limiter.admit(limits, 50, 1.5)
        refusal = limiter.admit(limits, 50, 1.5)
        later = 1.5 + refusal.retry_after_ms / 1000 + 0.001
        self.assertIsInstance(limiter.admit(limits, 50, later), Grant)

    def test_zero_limits_refuse_and_a_clock_that_goes_back_refills_nothing(self):
        limiter = AccountLimiter("e", 0.0)
        expected = Refusal(code="requests_rate", retry_after_ms=60_000)
        refusal = limiter.admit(contract(0.0), 1, 100.0)
        self.assertThat(refusal, Equals(expected))
        for now in (200.0, 100.0, 200.0):
            for _ in range(100):
                limiter.admit(contract(2.0), 1, now)
        admitted = isinstance(limiter.admit(contract(2.0), 1, 200.0), Grant)
        self.assertFalse(admitted)


class TestRetryBudget(testtools.TestCase):
    """Guards against retries that multiply the load of a failing fleet."""

    @with_fixed_seed
    @given(st.lists(st.sampled_from("abcd"), max_size=300), st.integers(1, 5))
    def test_attempts_of_a_failing_fleet_are_bounded(self, calls, wanted):
        budget, retries = RetryBudget(), dict.fromkeys("abcd", 0)
        for account in calls:
            budget.record_first_attempt(account, 0.0)
            for _ in range(wanted):
                retries[account] += budget.allow_retry(account, 0.0, 9.0)
        total = sum(retries.values())
        self.assertThat(total, LessThan(10 + 0.1 * len(calls) + 1e-6))
        for account, count in retries.items():
            self.assertThat(count, LessThan(3 + 0.1 * calls.count(account) + 1e-6))

    def test_without_a_budget_every_failure_is_retried(self):
        """Control: an unlimited budget allows every retry."""
        budget = RetryBudget(fraction=0.0, burst=1e9, account_burst=1e9)
        allowed = [budget.allow_retry("a", 0.0, 9.0) for _ in range(300)]
        self.assertTrue(all(allowed))

    def test_refused_retry_past_the_deadline_spends_no_budget(self):
        budget = RetryBudget(burst=1.0)
        self.assertFalse(budget.allow_retry("a", 5.0, 6.0, expected_s=1.5))
        self.assertFalse(budget.allow_retry("a", 6.0, 6.0))
        self.assertTrue(budget.allow_retry("a", 5.0, 6.0, expected_s=0.5))
