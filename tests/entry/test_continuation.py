import trio
from test_streams import is_complete, is_marked_broken, read_stream
from testtools.matchers import Equals, GreaterThan, HasLength

from entry_support import FakeAgent, running_entry, serve_complete
from support import AsyncTestCase

SHORT_DEADLINE_MS = 300
STREAMS = 24
TOKENS = 8


class TestContinuation(AsyncTestCase):
    """Guards started streams against limits that end with the first token."""

    def run_entry(self, check, script, **options):
        async def main():
            agents = [FakeAgent(f"w{i}", script=script) for i in range(3)]
            async with running_entry(agents, **options) as entry:
                await check(entry, agents)

        self.run_async(main)

    def test_continuation_gets_a_deadline_of_its_own(self):
        """An agent would refuse it if the deadline of the first token had passed."""

        async def cut_after_the_deadline(agent, exchange, attempt):
            if attempt.resume_from:
                await serve_complete(agent, exchange, attempt)
                return
            await agent.start_stream(exchange, attempt)
            await agent.send_tokens(exchange, range(3))
            await trio.sleep(1.5 * SHORT_DEADLINE_MS / 1000)
            exchange.abort()

        async def check(entry, agents):
            _, _, body = await entry.chat(max_tokens=TOKENS)
            self.assertTrue(is_complete(body, TOKENS))
            continued = [a for each in agents for a in each.attempts if a.resume_from]
            self.assertThat(continued, HasLength(1))
            self.assertThat(continued[0].deadline_ms, GreaterThan(0))

        contract = {"short_deadline_ms": SHORT_DEADLINE_MS}
        self.run_entry(check, cut_after_the_deadline, contract=contract)

    def test_all_streams_of_a_failed_backend_server_are_continued(self):
        """A retry budget of 3 must not limit how many started streams complete."""

        async def cut_first(agent, exchange, attempt):
            if attempt.resume_from:
                await serve_complete(agent, exchange, attempt)
                return
            await agent.start_stream(exchange, attempt)
            await agent.send_tokens(exchange, range(3))
            exchange.abort()

        async def check(entry, agents):
            complete_count = await self.count_streams(entry, is_complete)
            self.assertThat(complete_count, Equals(STREAMS))

        self.run_entry(check, cut_first)

    def test_streams_that_break_again_use_the_retry_budget(self):
        """If every stream fails after its start, the attempts must stay bounded."""

        async def cut_always(agent, exchange, attempt):
            await agent.start_stream(exchange, attempt)
            first = attempt.resume_from
            await agent.send_tokens(exchange, range(first, first + 1))
            exchange.abort()

        async def check(entry, agents):
            marked_count = await self.count_streams(
                entry, lambda body, _: is_marked_broken(body)
            )
            self.assertThat(marked_count, Equals(STREAMS))
            attempts = sum(len(each.attempts) for each in agents)
            # One continuation per stream outside the retry budget, and the budget:
            # at most 3 saved retries plus a tenth of the first attempts.
            allowed = 2 * STREAMS + 3 + STREAMS // 10 + 1
            self.assertTrue(attempts <= allowed, f"{attempts} attempts")

        self.run_entry(check, cut_always)

    async def count_streams(self, entry, predicate):
        """Read STREAMS streams at once; return how many satisfy the predicate."""
        bodies = []

        async def read_one(number):
            # One request that breaks off at each server would be refused.
            content = f"question {number}"
            bodies.append(await read_stream(entry, TOKENS, content))

        async with trio.open_nursery() as nursery:
            for number in range(STREAMS):
                nursery.start_soon(read_one, number)
        return sum(bool(predicate(body, TOKENS)) for body in bodies)
