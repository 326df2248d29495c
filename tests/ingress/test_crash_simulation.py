import collections
import random
from unittest import mock

import testtools
import trio
import trio.testing
from crash_simulation import Simulation
from testtools.matchers import Equals

# Bound of the platform: so many runs of the request later than this after so many
# crashes, by entries without a fault.
CRASHES, MAX_LATE_RUNS, DELAY_S = 3, 3, 3.0
# The same of requests with a part that crashes servers.
PART_CRASHES = 5
SEEDS = range(20)
SECONDS = 60.0
# Longer than the first two blocks of a request, as many callers repeat it that each
# server crashes only seconds after it got it.
LONG_S = 200.0
SLOW_CRASHES = {
    "crash_s": (0.0, 3.0),
    "deadly_s": 2 * LONG_S,
    "deadly_callers": 6,
    "settle_s": 12.0,
}
# Sound requests that may be blocked, as they were lost in two crashes by chance.
MAX_BLOCKED = 0.02


class TestCrashSimulation(testtools.TestCase):
    """Guards the count of a request that crashes servers while entries fail."""

    def play(self, seed, seconds=SECONDS, **options):
        simulation = Simulation(seed, **options)
        clock = trio.testing.MockClock(autojump_threshold=0)
        # The scheduler of trio chooses the order of tasks by chance.
        with mock.patch.multiple(
            "trio._core._run",
            _r=random.Random(seed),
            _ALLOW_DETERMINISTIC_SCHEDULING=True,
        ):
            trio.run(simulation.run, seconds, clock=clock)
        return simulation

    def late_runs(self, seeds=SEEDS, crashes=CRASHES, **options):
        """Return the seeds on which a request runs too often, with the runs."""
        late = {}
        for seed in seeds:
            found = self.play(seed, **options).late_deadly_runs(crashes, DELAY_S)
            if len(found) > MAX_LATE_RUNS:
                late[seed] = found
        return late

    def test_deadly_request_runs_few_times_while_entries_fail(self):
        self.assertThat(self.late_runs(), Equals({}))

    def test_deadly_request_lost_before_its_head_runs_few_times(self):
        self.assertThat(self.late_runs(heads=0.3), Equals({}))

    def test_deadly_request_runs_few_times_while_no_entry_fails(self):
        for seed in SEEDS:
            simulation = self.play(seed, with_faults=False, loss=0.0)
            counts = [len(runs) for runs in simulation.deadly_runs.values()]
            self.assertTrue(max(counts) <= CRASHES, f"seed {seed}: {counts}")

    def test_entries_do_not_all_try_a_slow_deadly_request_at_the_end_of_a_block(self):
        for entries in (3, 8):
            late = self.late_runs(
                seeds=range(4),
                seconds=LONG_S,
                with_faults=False,
                loss=0.0,
                entries=entries,
                **SLOW_CRASHES,
            )
            self.assertThat(late, Equals({}), f"{entries} entries")

    def test_entries_do_not_all_try_a_slow_deadly_request_while_entries_fail(self):
        late = self.late_runs(seeds=range(6), seconds=LONG_S, **SLOW_CRASHES)
        self.assertThat(late, Equals({}))

    def test_entries_do_not_all_try_a_slow_deadly_part_at_the_end_of_a_block(self):
        for with_faults, seeds in ((False, range(4)), (True, range(6))):
            late = self.late_runs(
                seeds=seeds,
                crashes=PART_CRASHES,
                seconds=LONG_S,
                with_faults=with_faults,
                by_part=True,
                **SLOW_CRASHES,
            )
            self.assertThat(late, Equals({}), f"faults: {with_faults}")

    def check_sound_requests(self, seeds=SEEDS, **options):
        for seed in seeds:
            simulation = self.play(seed, **options)
            self.assertThat(simulation.blocked_without_loss(), Equals([]), seed)
            results = collections.Counter(simulation.sound_results().values())
            self.assertThat(results["blocked"], Equals(0), seed)
            blocked = {
                each.request
                for each in simulation.outcomes
                if not each.deadly and each.result == "blocked"
            }
            self.assertTrue(
                len(blocked) <= MAX_BLOCKED * results.total(),
                f"seed {seed}: {len(blocked)} of {results.total()}",
            )

    def test_sound_requests_are_served_while_entries_fail(self):
        self.check_sound_requests()

    def test_sound_requests_are_served_beside_one_lost_before_its_head(self):
        self.check_sound_requests(heads=0.3)

    def test_sound_requests_are_served_after_all_entries_have_started_again(self):
        self.check_sound_requests(seeds=(27, 41, 67))
