from testtools.matchers import Equals
from traffic import DRAWS, Callers

from support import AsyncTestCase


class TestTraffic(AsyncTestCase):
    """Guards long runs of the demo's traffic."""

    def test_requests_beyond_the_drawn_ones_repeat_them(self):
        asked = []

        async def record(kind, account, messages, tokens):
            asked.append(account)

        async def main():
            traffic = Callers([], 1)
            traffic.ask = record
            for number in (5, DRAWS + 5, 10 * DRAWS + 5):
                await traffic.short_question(number)

        self.run_async(main)
        self.assertThat(len(set(asked)), Equals(1))
