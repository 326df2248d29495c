import testtools
from testtools.matchers import Equals

from foxtailcourse.observe import EventLog, HybridClock


class TestEventLog(testtools.TestCase):
    """Guards the kept events, which are stored as log lines, against lost details."""

    def test_kept_events_have_the_values_that_were_recorded(self):
        values = ("", "plain", 'a "b" \\', "line\nbreak", "città", "k=v w=x", "\ud800")
        log = EventLog("foxtail-entry/vm 1", HybridClock(lambda: 1000.0))
        for value in values:
            log.emit("recorded", error=value, absent=None)
        kept = list(log.recent())
        self.assertThat(
            [each.fields for each in kept], Equals([{"error": each} for each in values])
        )
        self.assertThat(kept[0].process, Equals("foxtail-entry/vm 1"))
