import trio
from testtools.matchers import Equals

from foxtailcourse.agent import _chat
from foxtailcourse.cache import BlockIndex, EventOutcome
from foxtailcourse.http import ClientError
from foxtailcourse.standin import answer_text, prompt_text
from standins import (
    MESSAGES,
    chain_keys,
    chat,
    make_agent,
    make_attempt,
    start_agent,
    start_cutter,
    start_engine,
    until,
)
from support import AsyncTestCase, served

PROMPT = prompt_text(MESSAGES)
WHOLE = answer_text(PROMPT, 16, "v1")


def keyed(attempt_id, account="teatro", blocks=3):
    keys = chain_keys(account, blocks)
    return make_attempt(
        attempt_id, client_account=account, prefix_keys=keys, cache_salt=keys[0].hex()
    )


def matched(answer):
    return int(answer.headers["foxtail-matched-blocks"])


class FailureTestCase(AsyncTestCase):
    def serve(self, check, settings=None, **options):
        async def main():
            async with trio.open_nursery() as nursery:
                engine, backend = await start_engine(nursery, **options)
                cutter, backend = await start_cutter(nursery, backend)
                agent = make_agent(backend, **(settings or {}))
                address = await start_agent(nursery, agent)
                self.agent, self.engine, self.cutter = agent, engine, cutter
                await check(address)
                nursery.cancel_scope.cancel()

        self.run_async(main)

    def remove(self, owner, name, replacement):
        """Replace a mechanism for the rest of the test."""
        self.patch(owner, name, replacement)


class TestEngineLoss(FailureTestCase):
    """Guards against cache entries of a dead engine and broken streams."""

    async def crash_and_repeat(self, address):
        await chat(address, keyed("a1"))
        self.engine.crash()
        incarnation = self.engine.incarnation
        await until(lambda: self.agent.context.index.incarnation == incarnation)
        answer = await chat(address, keyed("a2"))
        self.assertThat(answer.headers["foxtail-cached-tokens"], Equals("0"))
        return matched(answer)

    @served()
    async def test_crash_between_events_empties_the_index(self, address):
        self.assertThat(await self.crash_and_repeat(address), Equals(0))

    @served()
    async def test_without_the_drop_dead_blocks_are_matched(self, address):
        self.remove(BlockIndex, "_clear", lambda index: None)
        self.assertThat(await self.crash_and_repeat(address), Equals(3))

    @served()
    async def test_crash_in_a_stream_is_an_explicit_error(self, address):
        answers = []

        async def read():
            answers.append(await chat(address, max_tokens=1000))

        async def main():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(read)
                await until(lambda: self.agent.context.scheduler.queue.running)
                await trio.sleep(0.05)
                self.engine.crash()

        try:
            await main()
        except* ClientError:
            pass  # the agent closes the connection without a clean end
        self.assertThat(answers, Equals([]))
        names = [each.name for each in self.agent.context.events.recent()]
        self.assertTrue("stream_broken" in names)
        self.assertThat(self.agent.context.scheduler.queue.running, Equals(0))

    async def late_events(self, address):
        await chat(address, keyed("a1"))
        self.engine.crash()
        late = len(self.engine.feed.late)
        incarnation = self.engine.incarnation
        index = self.agent.context.index
        await until(lambda: index.incarnation == incarnation)
        await until(lambda: not self.engine.feed.late)
        await trio.sleep(0.05)
        self.assertTrue(late > 0)
        return matched(await chat(address, keyed("a2")))

    @served(event_delay_s=0.5, late_events=True)
    async def test_late_events_of_the_old_incarnation_are_ignored(self, address):
        self.assertThat(await self.late_events(address), Equals(0))

    def test_without_the_incarnation_check_late_events_are_believed(self):
        apply = BlockIndex.apply

        def believe(index, incarnation, seq, stored, keys, now):
            return apply(index, index.incarnation, seq, stored, keys, now)

        async def check(address):
            self.remove(BlockIndex, "apply", believe)
            self.assertThat(await self.late_events(address), Equals(3))

        self.serve(check, event_delay_s=0.5, late_events=True)


class TestEventGap(FailureTestCase):
    """Guards against blocks whose eviction was never heard of."""

    async def lose_an_eviction(self, address):
        index = self.agent.context.index
        await chat(address, keyed("a1", "teatro"))
        await until(lambda: index.next_seq == 2)
        # The next prompt evicts the first one's blocks: its stored event arrives,
        # and the evicted event after it is lost.
        self.engine.feed.delay_s = 0.0
        publish = self.engine.feed.publish

        def lose_evictions(incarnation, kind, keys):
            self.engine.feed.lose = 1 if kind == "evicted" else 0
            publish(incarnation, kind, keys)

        self.engine.feed.publish = lose_evictions
        await chat(address, keyed("a2", "museo"))
        self.engine.feed.publish = publish
        await chat(address, keyed("a3", "museo", blocks=4))
        await until(lambda: index.next_seq >= 5)
        return index.match(chain_keys("teatro", 3), trio.current_time())

    @served(cache_blocks=4)
    async def test_gap_drops_the_index(self, address):
        self.assertThat(await self.lose_an_eviction(address), Equals(0))

    def test_without_the_gap_check_evicted_blocks_are_matched(self):
        apply = BlockIndex.apply

        def skip_gap(index, incarnation, seq, stored, keys, now):
            index.next_seq = max(index.next_seq, seq)
            return apply(index, incarnation, seq, stored, keys, now)

        async def check(address):
            self.remove(BlockIndex, "apply", skip_gap)
            ignore = EventOutcome.REPEATED
            self.remove(BlockIndex, "check_last_seq", lambda *args: ignore)
            # One of the three was evicted by an event that did arrive.
            self.assertTrue(await self.lose_an_eviction(address) > 0)

        self.serve(check, cache_blocks=4)


class TestIsolation(FailureTestCase):
    """Guards against state that crosses client accounts or weights versions."""

    @served()
    async def test_identical_prompts_of_two_accounts_share_no_block(self, address):
        await chat(address, keyed("a1", "teatro"))
        answer = await chat(address, keyed("a2", "museo"))
        self.assertThat(matched(answer), Equals(0))
        self.assertThat(answer.headers["foxtail-cached-tokens"], Equals("0"))

    @served()
    async def test_without_the_account_in_the_root_blocks_are_shared(self, address):
        first, second = keyed("a1", "teatro"), keyed("a2", "teatro")
        await chat(address, first)
        answer = await chat(address, second)
        self.assertThat(matched(answer), Equals(3))

    async def change_weights_in_a_stream(self, address):
        texts = []

        async def read():
            answer = await chat(address, max_tokens=200)
            texts.append(answer.text())

        async def main():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(read)
                await until(lambda: self.agent.context.scheduler.queue.running)
                await trio.sleep(0.05)
                self.engine.replace_weights("v2")

        try:
            await main()
        except* ClientError:
            pass  # the agent closes the connection without a clean end
        return texts

    @served()
    async def test_weights_change_in_a_stream_breaks_it(self, address):
        texts = await self.change_weights_in_a_stream(address)
        self.assertThat(texts, Equals([]))

    @served()
    async def test_without_the_check_a_stream_mixes_versions(self, address):
        self.remove(_chat._Relay, "_check", lambda relay, token: None)
        (text,) = await self.change_weights_in_a_stream(address)
        whole = [answer_text(PROMPT, 200, each) for each in ("v1", "v2")]
        self.assertThat(len(text), Equals(len(whole[0])))
        self.assertTrue(text not in whole)


class TestCuts(FailureTestCase):
    """Guards against a cut stream that looks like a whole one."""

    async def read(self, address):
        """Return (text, whether it ended) of a stream, or None if it was cut."""
        try:
            answer = await chat(address)
        except ClientError:
            return None
        ended = any(each.event == "end" for each in answer.events())
        return (answer.text(), ended) if answer.status == 200 else None

    async def check_cuts(self, address, cutter):
        outcomes = set()
        for limit in [*range(1, 400, 37), *range(400, 4000, 211)]:
            cutter.limit = limit
            outcomes.add(await self.read(address))
        self.assertThat(outcomes - {None}, Equals({(WHOLE, True)} - {None}))

    def test_engine_connection_cut_at_many_bytes(self):
        async def check(address):
            await self.check_cuts(address, self.cutter)

        # The agent's polls pass the same cutter, so they are made rare.
        self.serve(check, {"load_poll_s": 30.0}, decode_s_per_token=0.0)

    @served(decode_s_per_token=0.0)
    async def test_entry_connection_cut_at_many_bytes(self, address):
        async with trio.open_nursery() as nursery:
            cutter, front = await start_cutter(nursery, address)
            await self.check_cuts(front, cutter)
            nursery.cancel_scope.cancel()
