import math

import testtools

from foxtailcourse.process import StopWindow

NOW, NOTICE_S, STOP_S = 100.0, 2.0, 8.0


class TestStopWindow(testtools.TestCase):
    """Guards requests that a stopping process would cut."""

    def test_process_that_does_not_stop_hands_on_everything(self):
        self.assertTrue(StopWindow().has_time(math.inf, NOW))

    def test_process_that_stops_hands_on_what_ends_in_time(self):
        window = StopWindow()
        window.begin(NOW, NOTICE_S, STOP_S)
        for at_s, lasts_s, is_handed_on in (
            (0.0, 60.0, True),
            (1.9, 60.0, True),
            (2.0, 6.0, True),
            (2.0, 6.1, False),
            (7.9, 0.1, True),
            (7.9, 0.2, False),
            (9.0, 0.0, False),
        ):
            now = NOW + at_s
            result = window.has_time(round(now + lasts_s, 6), now)
            self.assertIs(result, is_handed_on, (at_s, lasts_s))
