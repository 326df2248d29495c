"""Guards against retry storms and against load shedding of the wrong account.

Retries multiply the load of a failing fleet. If refusals count for all accounts, one
account's overload sheds the requests of the others.
"""

import random

import testtools
from sharing_support import SHORT, request
from testtools.matchers import Equals, GreaterThan, LessThan

from foxtailcourse.emulator.sharing.fleet import FleetOptions, FleetSimulation, Shedding
from foxtailcourse.sharing import FeasibilityTable, RetryBudget


def attempts_and_answers(rates, account="", **options):
    rng, arrivals = random.Random(1), []
    for name, rate in rates.items():
        now = rng.expovariate(rate)
        while now < 15.0:
            arrivals.append((now, request(name, SHORT, 500, 20, deadline=now + 5.0)))
            now += rng.expovariate(rate)
    calls = FleetSimulation(FleetOptions(**options), seed=1).run(
        sorted(arrivals, key=str), 30.0
    )
    calls = [each for each in calls if account in each.request.client_account]
    answered = sum(each.answered is not None for each in calls)
    return sum(each.attempts for each in calls) / len(calls), answered / len(calls)


class TestFleet(testtools.TestCase):
    def test_budget_bounds_the_attempts_of_a_failing_fleet(self):
        faults = {"failing_agents": 8, "fail_until": 99.0}
        limited, _ = attempts_and_answers({"a": 80.0}, budget=RetryBudget(), **faults)
        unlimited, _ = attempts_and_answers({"a": 80.0}, budget=None, **faults)
        self.assertThat(limited, LessThan(1.12))
        self.assertThat(unlimited, GreaterThan(3.5))

    def test_shedding_at_the_entry_spares_attempts_and_quiet_accounts(self):
        rates = {"noisy": 400.0, "quiet": 30.0}
        results = {
            (kind, account): attempts_and_answers(rates, account, shedding=kind)
            for kind in Shedding
            for account in rates
        }
        attempts, _ = results[Shedding.ENTRY_BY_ACCOUNT, "noisy"]
        self.assertThat(attempts * 3, LessThan(results[Shedding.AGENT, "noisy"][0]))
        _, answered = results[Shedding.ENTRY_BY_ACCOUNT, "quiet"]
        self.assertThat(answered, Equals(1.0))
        _, answered = results[Shedding.ENTRY_BY_CLASS, "quiet"]
        self.assertThat(answered, LessThan(0.8))

    def test_feasible_again_after_the_retry_after_time(self):
        table = FeasibilityTable()
        table.record_refusal("s1", "a", SHORT, 200, 0.0)
        self.assertThat(
            table.feasible_servers(["s1", "s2"], "a", SHORT, 5, 0.1), Equals(["s2"])
        )
        refusal = table.feasible_servers(["s1"], "a", SHORT, 5, 0.1)
        self.assertThat(refusal.code, Equals("no_capacity"))
        self.assertThat(
            table.feasible_servers(["s1"], "b", SHORT, 5, 0.1), Equals(["s1"])
        )
        self.assertThat(
            table.feasible_servers(["s1"], "a", SHORT, 5, 0.21), Equals(["s1"])
        )
        self.assertThat(table.feasible_servers([], "a", SHORT, 5, 0.1), Equals([]))
