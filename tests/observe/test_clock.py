import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.matchers import Equals, GreaterThan

from foxtailcourse.observe import Event, HybridClock, format_event, parse_event


class TestHybridClock(testtools.TestCase):
    """Guards the order of timeline events against clock skew."""

    def test_receiver_with_a_slow_clock_reads_later_than_the_sender(self):
        fast_clock, slow_clock = (
            HybridClock(lambda: 1030.0),
            HybridClock(lambda: 1000.0),
        )
        sent_reading = fast_clock.tick()
        slow_clock.receive(str(sent_reading))
        self.assertThat(slow_clock.tick(), GreaterThan(sent_reading))

    def test_clock_reading_far_ahead_is_ignored(self):
        clock = HybridClock(lambda: 1000.0)
        self.assertFalse(clock.receive(str(HybridClock(lambda: 9e6).tick())))
        self.assertThat(clock.tick().wall_ms, Equals(1_000_000))

    def test_malformed_reading_is_ignored(self):
        for text in ("", "x", "1.2", "0" * 40):
            self.assertFalse(HybridClock(lambda: 1000.0).receive(text))


class TestEventLine(testtools.TestCase):
    """Guards log lines against values that break the key=value format."""

    @settings(derandomize=True, deadline=None)
    @given(st.text(max_size=80))
    def test_any_value_is_parsed_back_from_the_line(self, value):
        event = Event("0" * 12 + "." + "0" * 6, "entry-1", "started", {"reason": value})
        line = format_event(event)
        self.assertNotIn("\n", line)
        self.assertThat(parse_event("I1203 log] " + line), Equals(event))
