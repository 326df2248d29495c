import testtools
from testtools.matchers import Equals

from foxtailcourse.protocol import RequestClass
from foxtailcourse.sharing import FeasibilityTable, RetryBudget
from foxtailcourse.sharing._feasibility import CLEANUP_MIN_SERVERS, WAITS_VALID_S
from foxtailcourse.sharing._retry_budget import MAX_ACCOUNTS


class TestBounds(testtools.TestCase):
    """Guards memory against ever new client accounts and backend servers."""

    def test_only_accounts_that_spent_retries_are_remembered(self):
        budget = RetryBudget(fraction=1.0, burst=1e9)
        for number in range(100):
            budget.record_first_attempt(f"quiet-{number}", 0.0)
        self.assertThat(len(budget._available_by_account), Equals(0))
        for number in range(MAX_ACCOUNTS + 50):
            self.assertTrue(budget.allow_retry(f"busy-{number}", 0.0, 1.0))
        self.assertThat(len(budget._available_by_account), Equals(MAX_ACCOUNTS))
        # The latest ones still have fewer retries.
        last = f"busy-{MAX_ACCOUNTS + 49}"
        allowed = [budget.allow_retry(last, 0.0, 1.0) for _ in range(3)]
        self.assertThat(allowed, Equals([True, True, False]))
        budget.record_first_attempt(last, 0.0)
        self.assertTrue(budget.allow_retry(last, 0.0, 1.0))

    def test_servers_without_recent_waits_are_forgotten(self):
        table = FeasibilityTable()
        waits = {("teatro", RequestClass.LONG): 500.0}
        for number in range(10 * CLEANUP_MIN_SERVERS):
            table.record_waits(f"s{number}", waits, number * 1.0)
        self.assertTrue(len(table._waits) <= CLEANUP_MIN_SERVERS + WAITS_VALID_S)
