import trio
from testtools.matchers import Equals

from foxtailcourse.agent import _chat
from foxtailcourse.cache import BlockIndex, EventOutcome
from foxtailcourse.http import ClientError
from foxtailcourse.standin import answer_text, prompt_text
from standins import (
    LOOPBACK,
    MESSAGES,
    chain_keys,
    chat,
    make_agent,
    make_attempt,
    start_agent,
    start_engine,
    start_truncating_proxy,
    wait_until,
)
from support import AsyncTestCase, run_trio, with_server

PROMPT = prompt_text(MESSAGES)
EXPECTED_TEXT = answer_text(PROMPT, 16, "v1")


def make_keyed_attempt(attempt_id, account="teatro", blocks=3):
    keys = chain_keys(account, blocks)
    return make_attempt(
        attempt_id, client_account=account, prefix_keys=keys, cache_salt=keys[0].hex()
    )


def matched_blocks(response):
    return int(response.headers["foxtail-matched-blocks"])


class FailureTestCase(AsyncTestCase):
    def serve(self, check, settings=None, **options):
        async def main():
            async with trio.open_nursery() as nursery:
                engine, backend = await start_engine(nursery, **options)
                proxy, backend = await start_truncating_proxy(nursery, backend)
                agent = make_agent(backend, **(settings or {}))
                address = await start_agent(nursery, agent)
                self.agent, self.engine, self.proxy = agent, engine, proxy
                await check(address)
                nursery.cancel_scope.cancel()

        self.run_async(main)

    def disable(self, owner, name, replacement):
        """Replace a safety mechanism for the rest of the test."""
        self.patch(owner, name, replacement)


class TestStart(AsyncTestCase):
    """Guards requests that arrive while the agent waits for a silent engine."""

    @run_trio
    async def test_no_connection_is_accepted_before_the_first_poll_has_ended(self):
        ports = []

        async def poll():
            ports.append(agent.port)

        async with trio.open_nursery() as nursery:
            agent = make_agent(LOOPBACK)
            agent.engine_monitor.start = poll
            await start_agent(nursery, agent)
            nursery.cancel_scope.cancel()
        self.assertThat(ports, Equals([0]))


class TestEngineLoss(FailureTestCase):
    """Guards against stale index entries and incomplete streams after a crash.

    A restarted engine has an empty cache, while the agent's index still lists blocks
    and events of the earlier incarnation may still arrive.
    """

    async def crash_and_repeat(self, address):
        """Repeat a prompt after an engine crash; return the blocks that matched."""
        await chat(address, make_keyed_attempt("a1"))
        self.engine.crash()
        incarnation = self.engine.incarnation
        await wait_until(lambda: self.agent.context.index.incarnation == incarnation)
        response = await chat(address, make_keyed_attempt("a2"))
        self.assertThat(response.headers["foxtail-cached-tokens"], Equals("0"))
        return matched_blocks(response)

    @with_server()
    async def test_crash_between_events_clears_the_index(self, address):
        self.assertThat(await self.crash_and_repeat(address), Equals(0))

    @with_server()
    async def test_without_the_reset_lost_blocks_are_matched(self, address):
        """Control: an index that is not cleared matches blocks that are lost."""
        self.disable(BlockIndex, "_clear", lambda index: None)
        self.assertThat(await self.crash_and_repeat(address), Equals(3))

    @with_server()
    async def test_crash_during_a_stream_is_reported_as_an_error(self, address):
        responses = []

        async def read():
            responses.append(await chat(address, max_tokens=1000))

        async def main():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(read)
                await wait_until(lambda: self.agent.context.scheduler.queue.running)
                await trio.sleep(0.05)
                self.engine.crash()

        try:
            await main()
        except* ClientError:
            pass  # the agent closes the connection without a clean end
        self.assertThat(responses, Equals([]))
        names = [each.name for each in self.agent.context.events.recent()]
        self.assertTrue("stream_broken" in names)
        self.assertThat(self.agent.context.scheduler.queue.running, Equals(0))

    async def repeat_after_late_events(self, address):
        """Repeat a prompt once events of the crashed engine have arrived.

        Returns the number of blocks that matched.
        """
        await chat(address, make_keyed_attempt("a1"))
        self.engine.crash()
        late = len(self.engine.feed.late_events)
        incarnation = self.engine.incarnation
        index = self.agent.context.index
        await wait_until(lambda: index.incarnation == incarnation)
        await wait_until(lambda: not self.engine.feed.late_events)
        await trio.sleep(0.05)
        self.assertTrue(late > 0)
        return matched_blocks(await chat(address, make_keyed_attempt("a2")))

    @with_server(event_delay_s=0.5, late_events=True)
    async def test_late_events_of_the_earlier_incarnation_are_ignored(self, address):
        self.assertThat(await self.repeat_after_late_events(address), Equals(0))

    def test_without_the_incarnation_check_late_events_are_applied(self):
        """Control: without the check, blocks that are lost are matched."""
        apply = BlockIndex.apply

        def apply_as_current(index, incarnation, seq, stored, keys, now):
            return apply(index, index.incarnation, seq, stored, keys, now)

        async def check(address):
            self.disable(BlockIndex, "apply", apply_as_current)
            self.assertThat(await self.repeat_after_late_events(address), Equals(3))

        self.serve(check, event_delay_s=0.5, late_events=True)


class TestEventGap(FailureTestCase):
    """Guards against matching blocks whose eviction event was lost.

    A gap in the sequence numbers is the only sign of the lost event.
    """

    async def lose_an_eviction(self, address):
        """Return how many blocks of a prompt match after its eviction event is lost."""
        index = self.agent.context.index
        await chat(address, make_keyed_attempt("a1", "teatro"))
        await wait_until(lambda: index.next_seq == 2)
        # The next prompt evicts blocks of the first one. Its stored event arrives; the
        # evicted event after it is lost.
        self.engine.feed.delay_s = 0.0
        publish = self.engine.feed.publish

        def lose_evictions(incarnation, kind, keys):
            self.engine.feed.events_to_lose = 1 if kind == "evicted" else 0
            publish(incarnation, kind, keys)

        self.engine.feed.publish = lose_evictions
        await chat(address, make_keyed_attempt("a2", "museo"))
        self.engine.feed.publish = publish
        await chat(address, make_keyed_attempt("a3", "museo", blocks=4))
        await wait_until(lambda: index.next_seq >= 5)
        return index.match(chain_keys("teatro", 3), trio.current_time())

    @with_server(cache_blocks=4)
    async def test_gap_clears_the_index(self, address):
        self.assertThat(await self.lose_an_eviction(address), Equals(0))

    def test_without_the_gap_check_evicted_blocks_are_matched(self):
        """Control: an index that ignores gaps matches evicted blocks."""
        apply = BlockIndex.apply

        def skip_gap(index, incarnation, seq, stored, keys, now):
            index.next_seq = max(index.next_seq, seq)
            return apply(index, incarnation, seq, stored, keys, now)

        async def check(address):
            self.disable(BlockIndex, "apply", skip_gap)
            ignore = EventOutcome.REPEATED
            self.disable(BlockIndex, "check_last_seq", lambda *args: ignore)
            # The eviction event of one of the three blocks did arrive.
            self.assertTrue(await self.lose_an_eviction(address) > 0)

        self.serve(check, cache_blocks=4)


class TestIsolation(FailureTestCase):
    """Guards against blocks or tokens shared across accounts or weights versions.

    Client accounts must not share cached blocks, and a stream must not contain tokens
    of two weights versions.
    """

    @with_server()
    async def test_identical_prompts_of_two_accounts_share_no_block(self, address):
        await chat(address, make_keyed_attempt("a1", "teatro"))
        response = await chat(address, make_keyed_attempt("a2", "museo"))
        self.assertThat(matched_blocks(response), Equals(0))
        self.assertThat(response.headers["foxtail-cached-tokens"], Equals("0"))

    @with_server()
    async def test_without_the_account_in_the_root_blocks_are_shared(self, address):
        """Control: with the same root of the key chain, blocks are shared."""
        first, second = (
            make_keyed_attempt("a1", "teatro"),
            make_keyed_attempt("a2", "teatro"),
        )
        await chat(address, first)
        response = await chat(address, second)
        self.assertThat(matched_blocks(response), Equals(3))

    async def change_weights_during_a_stream(self, address):
        """Return the text of the stream in a list, which is empty after an error."""
        texts = []

        async def read():
            response = await chat(address, max_tokens=200)
            texts.append(response.text())

        async def main():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(read)
                await wait_until(lambda: self.agent.context.scheduler.queue.running)
                await trio.sleep(0.05)
                self.engine.replace_weights("v2")

        try:
            await main()
        except* ClientError:
            pass  # the agent closes the connection without a clean end
        return texts

    @with_server()
    async def test_weights_change_during_a_stream_ends_it_with_an_error(self, address):
        texts = await self.change_weights_during_a_stream(address)
        self.assertThat(texts, Equals([]))

    @with_server()
    async def test_without_the_check_a_stream_mixes_versions(self, address):
        """Control: without the check, a stream has tokens of both versions."""
        self.disable(_chat._Relay, "_check_origin", lambda relay, chunk: None)
        (text,) = await self.change_weights_during_a_stream(address)
        complete = [answer_text(PROMPT, 200, each) for each in ("v1", "v2")]
        self.assertThat(len(text), Equals(len(complete[0])))
        self.assertTrue(text not in complete)


class TestCuts(FailureTestCase):
    """Guards against a truncated stream that is accepted as complete.

    The connection is closed after various numbers of bytes.
    """

    async def read(self, address):
        """Return a stream's text and whether it has an end event; None on an error."""
        try:
            response = await chat(address)
        except ClientError:
            return None
        ended = any(each.event == "end" for each in response.events())
        return (response.text(), ended) if response.status == 200 else None

    async def check_cuts(self, address, proxy):
        """Check that a response is complete or an error, wherever it is truncated."""
        outcomes = set()
        for limit_bytes in [*range(1, 400, 37), *range(400, 4000, 211)]:
            proxy.limit = limit_bytes
            outcomes.add(await self.read(address))
        self.assertThat(outcomes - {None}, Equals({(EXPECTED_TEXT, True)}))

    def test_engine_connection_cut_at_many_bytes(self):
        async def check(address):
            await self.check_cuts(address, self.proxy)

        # The agent's polls pass through the same proxy, so they are made infrequent.
        self.serve(check, {"load_poll_s": 30.0}, decode_s_per_token=0.0)

    @with_server(decode_s_per_token=0.0)
    async def test_entry_connection_cut_at_many_bytes(self, address):
        async with trio.open_nursery() as nursery:
            proxy, front = await start_truncating_proxy(nursery, address)
            await self.check_cuts(front, proxy)
            nursery.cancel_scope.cancel()
