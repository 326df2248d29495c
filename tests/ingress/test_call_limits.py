import random

import testtools
from testtools.matchers import Equals

from foxtailcourse.ingress._budget import RetryBudget
from foxtailcourse.ingress._call_budget import CallBudget


class TestBudget(testtools.TestCase):
    """Guards the platform's bound on repeats, over all entries and any window."""

    def test_repeats_of_all_entries_stay_within_the_bound(self):
        for seed in range(20):
            rng = random.Random(seed)
            entries = rng.choice([1, 4, 25])
            budgets = [RetryBudget(0.2, 52, 10.0) for _ in range(entries)]
            requests, repeats, now = [], [], 0.0
            while now < 60:
                now += rng.expovariate(40)
                budget = rng.choice(budgets)
                budget.note_request(now)
                requests.append(now)
                # Every request fails and wants to be repeated.
                if budget.take(now, entries):
                    repeats.append(now)
            for start in (t / 2 for t in range(0, 100)):
                window = [t for t in repeats if start <= t < start + 10]
                asked = [t for t in requests if start <= t < start + 10]
                bound = 0.2 * len(asked) + 52
                self.assertTrue(len(window) <= bound, (seed, start))

    def test_unknown_number_of_entries_is_taken_as_many(self):
        def granted(entries):
            budget = RetryBudget(0.2, 52, 10.0)
            return sum(budget.take(1.0, entries) for _ in range(100))

        self.assertTrue(granted(0) < granted(4) < granted(1))


class TestCallBudget(testtools.TestCase):
    """Guards the store's rates against all entries together."""

    def test_entries_that_retry_without_pause_stay_within_the_rate(self):
        for entries in (1, 4, 25):
            budgets = [CallBudget(400.0) for _ in range(entries)]
            calls = 0
            for budget in budgets:
                now = 0.0
                while now < 10.0:
                    now += budget.take(now, entries)
                    calls += 1
            # Half of the rate, and one burst.
            self.assertTrue(calls <= 0.5 * 400 * 11 + entries, (entries, calls))

    def test_usual_calls_do_not_wait(self):
        budget = CallBudget(400.0)
        waits = [budget.take(n * 0.4, 25) for n in range(200)]
        self.assertThat(max(waits), Equals(0.0))

    def test_unknown_number_of_entries_is_taken_as_many(self):
        def wait(entries):
            budget = CallBudget(400.0)
            return max(budget.take(0.0, entries) for _ in range(300))

        self.assertTrue(wait(0) > wait(4) > wait(1))
