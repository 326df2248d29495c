import testtools
from testtools.matchers import Equals

from foxtailcourse.crashes import RunTracker


class TestRunTracker(testtools.TestCase):
    """Guards the count of crashes against crashes that break off several requests."""

    def test_requests_of_one_crash_belong_to_one_run(self):
        tracker = RunTracker(started_ms=1000)
        ended = [
            tracker.record_broken_off(sent_at=sent_at, now=now, wall_ms=5000)
            for sent_at, now in [(1.0, 4.0), (3.9, 4.1), (4.5, 5.0)]
        ]
        self.assertThat(ended, Equals([1000, 1000, 5000]))

    def test_runs_differ_if_the_wall_clock_was_set_back(self):
        tracker = RunTracker(started_ms=1000)
        tracker.record_broken_off(sent_at=1.0, now=2.0, wall_ms=10)
        run = tracker.record_broken_off(sent_at=3.0, now=4.0, wall_ms=20)
        self.assertThat(run, Equals(1001))
