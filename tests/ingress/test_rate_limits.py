import random

import testtools
from testtools.matchers import Equals

from foxtailcourse.ingress._retry_budget import RetryBudget
from foxtailcourse.ingress._store_rate_limit import RateLimiter


class TestRetryBudget(testtools.TestCase):
    """Guards the platform's limit on retries, over all entries and in any window."""

    def test_retries_of_all_entries_stay_within_the_limit(self):
        for seed in range(20):
            rng = random.Random(seed)
            entries = rng.choice([1, 4, 25])
            budgets = [RetryBudget(0.2, 52, 10.0) for _ in range(entries)]
            requests, retries, now = [], [], 0.0
            while now < 60:
                now += rng.expovariate(40)
                budget = rng.choice(budgets)
                budget.record_request(now)
                requests.append(now)
                # Every request fails and is to be retried.
                if budget.try_acquire(now, entries):
                    retries.append(now)
            for start in (t / 2 for t in range(0, 100)):
                window_retries = [t for t in retries if start <= t < start + 10]
                window_requests = [t for t in requests if start <= t < start + 10]
                bound = 0.2 * len(window_requests) + 52
                self.assertTrue(len(window_retries) <= bound, (seed, start))

    def test_unknown_number_of_entries_is_assumed_to_be_large(self):
        def granted_retries(entries):
            budget = RetryBudget(0.2, 52, 10.0)
            return sum(budget.try_acquire(1.0, entries) for _ in range(100))

        self.assertTrue(granted_retries(0) < granted_retries(4) < granted_retries(1))


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

    def test_occasional_calls_do_not_wait(self):
        limiter = RateLimiter(400.0)
        waits_s = [limiter.reserve(n * 0.4, 25) for n in range(200)]
        self.assertThat(max(waits_s), Equals(0.0))

    def test_unknown_number_of_entries_is_assumed_to_be_large(self):
        def longest_wait_s(entries):
            limiter = RateLimiter(400.0)
            return max(limiter.reserve(0.0, entries) for _ in range(300))

        self.assertTrue(longest_wait_s(0) > longest_wait_s(4) > longest_wait_s(1))
