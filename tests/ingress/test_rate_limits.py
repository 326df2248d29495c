import random

import testtools
from fleet_simulation import SimulatedFleet
from testtools.matchers import Equals

from foxtailcourse.fleet import Freshness
from foxtailcourse.ingress._arrivals import Arrival
from foxtailcourse.ingress._limit_shares import LimitShares
from foxtailcourse.ingress._retry_budget import RetryBudget
from foxtailcourse.ingress._server_loads import ServerLoad
from foxtailcourse.ingress._store_rate_limit import RateLimiter

CALLS_PER_S = 400.0
MAX_CALLS = 100_000
RATIO, EXTRA, RETRY_WINDOW_S = 0.2, 52, 10.0


def make_budget(vm, registered, freshness=None):
    fresh = freshness or Freshness(as_of=float("inf"))
    shares = LimitShares(vm, lambda: registered, fresh, RETRY_WINDOW_S)
    return RetryBudget(RATIO, EXTRA, RETRY_WINDOW_S, shares)


def sends_retry(budget, now):
    """Send a retry, which arrives at once, if the budget allows it; return whether."""
    retry = budget.try_acquire(now)
    if retry is not None:
        arrival = Arrival(ServerLoad(), now)
        arrival.record_ended(now)
        retry.record_sent(arrival)
    return retry is not None


class TestRetryBudget(testtools.TestCase):
    """Guards the platform's limit on retries, over all entries and in any window."""

    def check_windows(self, requests, retries, seed):
        for start in (t / 2 for t in range(0, 200)):
            window_retries = [t for t in retries if start <= t < start + 10]
            window_requests = [t for t in requests if start <= t < start + 10]
            bound = RATIO * len(window_requests) + EXTRA
            self.assertTrue(
                len(window_retries) <= bound, (seed, start, len(window_retries), bound)
            )

    def test_entries_that_start_on_an_empty_list_do_not_each_count_as_alone(self):
        """All entries restart at once, with more of them than additional retries."""
        for seed in range(5):
            rng = random.Random(seed)
            registered: set[str] = set()
            entries = {f"e{n}": make_budget(f"e{n}", set()) for n in range(EXTRA + 20)}
            views = {vm: each.shares.registered() for vm, each in entries.items()}
            now, retries = 0.0, 0
            order = sorted(entries, key=lambda _: rng.random())
            while now < RETRY_WINDOW_S - 1:
                now += 0.05
                if order and rng.random() < 0.7:
                    registered.add(order.pop())
                for vm, budget in entries.items():
                    # The list is read now and then.
                    if rng.random() < 0.3:
                        views[vm] |= registered
                    retries += sends_retry(budget, now)
            self.assertTrue(0 < retries <= EXTRA, (seed, retries))

    def test_retries_of_all_entries_stay_within_the_limit(self):
        for seed in range(20):
            rng = random.Random(seed)
            vms = {f"e{n}" for n in range(rng.choice([1, 4, 25]))}
            budgets = [make_budget(vm, vms) for vm in sorted(vms)]
            requests, retries, now = [], [], 0.0
            while now < 60:
                now += rng.expovariate(40)
                budget = rng.choice(budgets)
                budget.record_request(now)
                requests.append(now)
                # Every request fails and is to be retried.
                if sends_retry(budget, now):
                    retries.append(now)
            self.check_windows(requests, retries, seed)

    def test_retries_stay_within_the_limit_while_entries_come_and_go(self):
        for seed in range(20):
            rng = random.Random(seed)
            fleet = RetryingFleet(rng, rng.choice([2, 5, 28]))
            while fleet.now < 60:
                fleet.step()
                if rng.random() < 0.01:
                    fleet.inject_fault()
            self.check_windows(fleet.requests, fleet.retries, seed)

    def test_entry_without_a_share_retries_in_proportion_and_once_more(self):
        for registered, extra in (({"e1"}, 1), (set(), 0)):
            budget = make_budget("e1", registered)
            for n in range(100):
                budget.record_request(n / 100)
            granted = sum(sends_retry(budget, 1.0) for _ in range(100))
            self.assertThat(granted, Equals(15 + extra))

    def test_requests_at_silent_servers_leave_retries_to_broken_off_ones(self):
        budget = make_budget("e1", {"e1"})
        for n in range(100):
            budget.record_request(n / 100)
        waiting = [budget.try_acquire(1.0, server_is_silent=True) for _ in range(99)]
        broken_off = [budget.try_acquire(1.0) for _ in range(99)]
        self.assertThat(
            (sum(map(bool, waiting)), sum(map(bool, broken_off))), Equals((12, 4))
        )
        budget.give_back(waiting[0])
        self.assertTrue(budget.try_acquire(1.0))

    def test_retry_that_is_given_back_leaves_later_ones_counted(self):
        budget = make_budget("e1", {"e1"})
        for n in range(100):
            budget.record_request(n / 100)
        unsent = budget.try_acquire(1.0)
        self.assertTrue(sends_retry(budget, 9.0))
        budget.give_back(unsent)
        budget.allowed(RETRY_WINDOW_S + 5.0)
        self.assertThat(budget.used, Equals(1))

    def test_retry_at_a_cut_link_counts_until_a_window_after_its_arrival(self):
        """Guards against retries of several windows that arrive in one of them."""
        budget, load = make_budget("e1", {"e1"}), ServerLoad()
        given_up = Arrival(load, 1.0)
        retry = budget.try_acquire(2.0, given_up)
        elsewhere = Arrival(ServerLoad(), 2.0)
        retry.record_sent(elsewhere)
        elsewhere.record_answered(2.1)
        budget.allowed(20.0)
        self.assertThat((budget.used, budget.unconfirmed), Equals((1, 1)))
        Arrival(load, 19.5).record_answered(21.0)
        for now, used in ((22.0, 1), (31.0, 1), (33.0, 0)):
            budget.allowed(now)
            self.assertThat((budget.used, budget.unconfirmed), Equals((used, 0)))

    def test_server_that_never_answers_does_not_use_up_the_retries(self):
        budget = make_budget("e1", {"e1"})
        budget.try_acquire(1.0).record_sent(Arrival(ServerLoad(), 1.0))
        for now, used in ((30.9, 1), (31.0, 1), (41.1, 0)):
            budget.allowed(now)
            self.assertThat(budget.used, Equals(used))

    def test_more_entries_have_smaller_shares(self):
        def granted_retries(entries):
            budget = make_budget("e0", {f"e{n}" for n in range(entries)})
            sends_retry(budget, 0.0)
            return sum(sends_retry(budget, RETRY_WINDOW_S) for _ in range(100))

        self.assertTrue(0 < granted_retries(25) < granted_retries(4))
        self.assertTrue(granted_retries(4) < granted_retries(1))


class RetryingFleet(SimulatedFleet):
    """Entries of which every request fails and is to be retried at once."""

    def __init__(self, rng, size):
        self.requests, self.retries = [], []
        super().__init__(rng, size, 1.0)

    def add(self, now, vm):
        entry = super().add(now, vm)
        entry.shares.hold_s = RETRY_WINDOW_S
        entry.budget = RetryBudget(RATIO, EXTRA, RETRY_WINDOW_S, entry.shares)
        return entry

    def step(self):
        super().step()
        for entry in self.entries:
            if entry.runs(self.now):
                for _ in range(2):
                    entry.budget.record_request(self.now)
                    self.requests.append(self.now)
                if sends_retry(entry.budget, self.now):
                    self.retries.append(self.now)


class CallingFleet(SimulatedFleet):
    """Entries that call the store whenever their rate limit allows it."""

    def __init__(self, rng, size):
        self.calls = []
        super().__init__(rng, size, 1.0)

    def add(self, now, vm):
        entry = super().add(now, vm)
        entry.limiter = RateLimiter(CALLS_PER_S)
        return entry

    def step(self):
        super().step()
        for entry in self.entries:
            while entry.runs(self.now):
                if entry.next_call_at is None:
                    count = entry.shares.count(self.now)
                    wait_s = entry.limiter.reserve(self.now, count)
                    entry.next_call_at = self.now + wait_s
                if entry.next_call_at > self.now:
                    break
                self.calls.append(self.now)
                entry.next_call_at = None
                if len(self.calls) > MAX_CALLS:
                    raise AssertionError("the rate does not limit the calls")


class TestRateLimiter(testtools.TestCase):
    """Guards the rates of the store against the calls of all entries together."""

    def test_entries_that_retry_without_pause_stay_within_the_rate(self):
        for entries in (1, 4, 25):
            limiters = [RateLimiter(400.0) for _ in range(entries)]
            calls = 0
            for limiter in limiters:
                now = 0.0
                while now < 10.0:
                    now += limiter.reserve(now, entries)
                    calls += 1
            # Half of the store's rate for 10 s, plus one burst.
            self.assertTrue(calls <= 0.5 * 400 * 11 + entries, (entries, calls))

    def test_calls_stay_within_the_rate_while_entries_come_and_go(self):
        for seed in range(10):
            rng = random.Random(seed)
            fleet = CallingFleet(rng, rng.choice([2, 5, 28, 60]))
            while fleet.now < 40:
                fleet.step()
                if rng.random() < 0.02:
                    fleet.inject_fault()
            for start in fleet.calls[::20]:
                calls = sum(start <= at < start + 1 for at in fleet.calls)
                self.assertTrue(calls <= CALLS_PER_S, (seed, start, calls))

    def test_occasional_calls_do_not_wait(self):
        limiter = RateLimiter(400.0)
        waits_s = [limiter.reserve(n * 0.4, 25) for n in range(200)]
        self.assertThat(max(waits_s), Equals(0.0))

    def test_unknown_number_of_entries_is_assumed_to_be_large(self):
        def longest_wait_s(entries):
            limiter = RateLimiter(400.0)
            return max(limiter.reserve(0.0, entries) for _ in range(300))

        self.assertTrue(longest_wait_s(0) > longest_wait_s(4) > longest_wait_s(1))
