import testtools
from testtools.matchers import Equals

from foxtailcourse.observe import EventLog, HybridClock


class TestEventLog(testtools.TestCase):
    """Guards recent events, which are stored as log lines, against changed values."""

    def test_recent_events_have_the_recorded_values(self):
        values = ("", "plain", 'a "b" \\', "line\nbreak", "città", "k=v w=x", "\ud800")
        log = EventLog("foxtail-entry/vm 1", HybridClock(lambda: 1000.0))
        for value in values:
            log.emit("recorded", error=value, absent=None)
        recent = list(log.recent())
        self.assertThat(
            [each.fields for each in recent],
            Equals([{"error": each} for each in values]),
        )
        self.assertThat(recent[0].process, Equals("foxtail-entry/vm 1"))
