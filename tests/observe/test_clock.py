import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.matchers import Equals, GreaterThan

from foxtailcourse.observe import Event, HybridClock, format_event, parse_event


class TestHybridClock(testtools.TestCase):
    """Guards the order of the time line against skewed clocks."""

    def test_receipt_is_after_sending_despite_a_slow_clock(self):
        ahead, behind = HybridClock(lambda: 1030.0), HybridClock(lambda: 1000.0)
        sent = ahead.tick()
        behind.receive(str(sent))
        self.assertThat(behind.tick(), GreaterThan(sent))

    def test_wrong_clock_far_ahead_is_ignored(self):
        clock = HybridClock(lambda: 1000.0)
        self.assertFalse(clock.receive(str(HybridClock(lambda: 9e6).tick())))
        self.assertThat(clock.tick().wall_ms, Equals(1_000_000))

    def test_malformed_reading_is_ignored(self):
        for text in ("", "x", "1.2", "0" * 40):
            self.assertFalse(HybridClock(lambda: 1000.0).receive(text))


class TestEventLine(testtools.TestCase):
    """Guards log lines against values that break the key=value form."""

    @settings(derandomize=True, deadline=None)
    @given(st.text(max_size=80))
    def test_any_value_survives_the_line(self, value):
        event = Event("0" * 12 + "." + "0" * 6, "entry-1", "started", {"reason": value})
        line = format_event(event)
        self.assertNotIn("\n", line)
        self.assertThat(parse_event("I1203 log] " + line), Equals(event))
