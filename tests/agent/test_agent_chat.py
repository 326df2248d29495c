import msgspec
import trio
from testtools.matchers import Equals

from foxtailcourse.agent import _chat
from foxtailcourse.engine import EngineError
from foxtailcourse.standin import answer_text, prompt_text
from standins import (
    MESSAGES,
    chat,
    make_agent,
    make_attempt,
    make_record,
    start_agent,
    start_engine,
    wait_until,
)
from support import AsyncTestCase, run_trio, with_server

PROMPT = prompt_text(MESSAGES)


class TestChat(AsyncTestCase):
    """Guards chat requests that an agent passes to its engine.

    Covers the numbering and end of streams, resumption, matched and cached blocks,
    cancellation, and refusals of requests that must not run.
    """

    def serve(self, check, settings=None, **options):
        async def main():
            async with trio.open_nursery() as nursery:
                engine, backend = await start_engine(nursery, **options)
                agent = make_agent(backend, **(settings or {}))
                address = await start_agent(nursery, agent)
                await check(address, agent, engine)
                nursery.cancel_scope.cancel()

        self.run_async(main)

    @with_server()
    async def test_stream_is_complete_numbered_and_ended(self, address, agent, engine):
        response = await chat(address)
        *tokens, end = response.events()
        self.assertThat([e.id for e in tokens], Equals([str(i) for i in range(16)]))
        self.assertThat(response.text(), Equals(answer_text(PROMPT, 16, "v1")))
        self.assertThat(end.event, Equals("end"))
        expected = {"count": 16, "attempt_id": "a1"}
        self.assertThat(msgspec.json.decode(end.data), Equals(expected))
        incarnation = response.headers["foxtail-engine-incarnation"]
        self.assertThat(incarnation, Equals(engine.incarnation))

    @with_server()
    async def test_complete_response(self, address, agent, engine):
        response = await chat(address, stream=False)
        content = response.json()["choices"][0]["message"]["content"]
        self.assertThat(content, Equals(answer_text(PROMPT, 16, "v1")))
        self.assertThat(response.headers["foxtail-verdict"], Equals("ran"))

    @with_server()
    async def test_resumed_stream_continues_at_the_position(
        self, address, agent, engine
    ):
        attempt = make_attempt(resume_from=6)
        response = await chat(address, attempt)
        full_text = answer_text(PROMPT, 16, "v1")
        # Each token of the stand-in engine has 9 characters.
        self.assertThat(response.text(), Equals(full_text[6 * 9 :]))

    @with_server()
    async def test_second_prompt_is_matched_and_cached(self, address, agent, engine):
        keys = tuple(bytes([i]) * 16 for i in range(3))
        first = make_attempt("a1", prefix_keys=keys, cache_salt="00")
        second = make_attempt("a2", prefix_keys=keys, cache_salt="00")
        await chat(address, first)
        response = await chat(address, second)
        self.assertThat(response.headers["foxtail-matched-blocks"], Equals("3"))
        self.assertThat(response.headers["foxtail-cached-tokens"], Equals("48"))

    @with_server()
    async def test_disconnected_caller_cancels_at_the_engine(
        self, address, agent, engine
    ):
        with trio.move_on_after(0.05):
            await chat(address, max_tokens=100_000)
        await wait_until(lambda: agent.context.scheduler.queue.running == 0)
        await wait_until(lambda: not engine.busy)
        self.assertThat(engine.completed, Equals(0))

    @with_server()
    async def test_deadline_version_leaving_and_stop_are_refused_and_not_run(
        self, address, agent, engine
    ):
        responses = [
            await chat(address, make_attempt(deadline_ms=0)),
            await chat(address, make_attempt(weights_version="v0")),
        ]
        record = make_record("backends/palermo-1", leaving=True)
        agent.context.store.merge([record])
        responses.append(await chat(address))
        record = make_record("backends/palermo-1", 2, leaving=False)
        agent.context.store.merge([record])
        agent.stop()
        responses.append(await chat(address))
        for response in responses:
            self.assertThat(response.headers["foxtail-verdict"], Equals("not-run"))
            self.assertThat(response.headers["foxtail-attempt-id"], Equals("a1"))
        codes = [each.json()["error"]["code"] for each in responses]
        expected = ["deadline", "weights_version", "leaving", "leaving"]
        self.assertThat(codes, Equals(expected))
        self.assertThat(engine.completed, Equals(0))


class EmptyStream:
    """An engine's stream that ends regularly without a chunk."""

    async def batches(self):
        for batch in ():
            yield batch


class TestEmptyStream(AsyncTestCase):
    """Guards the end of a stream that never began."""

    async def count_batches(self, resume_from):
        relay = _chat._Relay(None, EmptyStream(), None, resume_from)
        return len([each async for each in relay.batches()])

    @run_trio
    async def test_stream_of_only_the_end_marker_is_not_complete(self):
        await self.catch_error(EngineError, self.count_batches, 0)

    @run_trio
    async def test_continued_stream_may_have_nothing_left(self):
        self.assertThat(await self.count_batches(5), Equals(0))
