import msgspec
import trio
from testtools.matchers import Equals

from entry_support import running_entry
from foxtailcourse.http import SseParser
from foxtailcourse.standin import BUSINESS_KEY, answer_text, prompt_text
from standins import make_agent, start_agent, start_engine, start_service, wait_until
from support import AsyncTestCase, run_trio

MESSAGES = [{"role": "user", "content": "ciao"}]
TOKENS = 120
EXPECTED_TEXT = answer_text(prompt_text(MESSAGES), TOKENS, "v1")


class ListedAgent:
    """A real agent in the form in which the entry's test support lists agents."""

    def __init__(self, agent, serves):
        self.vm, self.serves = agent.context.vm, serves
        self.handle = agent._handle
        self.address = None


class TestBehindEntry(AsyncTestCase):
    """Guards the protocol between entry and agent: streams, versions and keys.

    A stream must survive a crash of its engine and a change of its weights; a call
    with an idempotency key must run once.
    """

    async def start_engines(self, nursery):
        engines, listed = [], []
        for number in range(3):
            engine, backend = await start_engine(nursery)
            agent = make_agent(backend, vm=f"palermo-{number}", serves="guide")
            await start_agent(nursery, agent)
            engines.append(engine)
            listed.append(ListedAgent(agent, "guide"))
        return engines, listed

    async def read_stream(self, nursery, fail):
        """Stream through the entry; call ``fail`` with the engine that generates."""
        engines, listed = await self.start_engines(nursery)
        async with running_entry(listed) as entry:
            responses = []

            async def read():
                responses.append(await entry.chat(max_tokens=TOKENS))

            async with trio.open_nursery() as callers:
                callers.start_soon(read)
                await wait_until(lambda: any(each.busy for each in engines))
                await trio.sleep(0.05)
                fail(next(each for each in engines if each.busy))
        ((status, _, body),) = responses
        self.assertThat(status, Equals(200))
        return list(SseParser().feed(body))

    def check_stream_survives(self, fail):
        async def main():
            async with trio.open_nursery() as nursery:
                events = await self.read_stream(nursery, fail)
                nursery.cancel_scope.cancel()
            *tokens, done = events
            self.assertThat(done.data, Equals("[DONE]"))
            texts = [
                msgspec.json.decode(each.data)["choices"][0]["delta"]["content"]
                for each in tokens
            ]
            self.assertThat("".join(texts), Equals(EXPECTED_TEXT))

        self.run_async(main)

    def test_stream_continues_on_another_server_after_an_engine_crash(self):
        self.check_stream_survives(lambda engine: engine.crash())

    def test_stream_continues_on_the_old_version_after_a_weights_change(self):
        self.check_stream_survives(lambda engine: engine.replace_weights("v2"))

    @run_trio
    async def test_keyed_call_runs_once_through_the_entry(self):
        async with trio.open_nursery() as nursery:
            service, backend = await start_service(nursery, route="coats")
            agent = make_agent(backend, "service", serves="coats")
            await start_agent(nursery, agent)
            async with running_entry([ListedAgent(agent, "coats")]) as entry:
                key_request = {"route": "coats"}
                _, _, body = await entry.call(
                    "POST", "/v1/idempotency-keys", key_request
                )
                fields = {"idempotency_key": msgspec.json.decode(body)["key"]}
                fields[BUSINESS_KEY.replace("-", "_")] = "coat-17"
                for _ in range(2):
                    status, _, body = await entry.call(
                        "POST", "/services/coats/return", {}, **fields
                    )
                    self.assertThat(status, Equals(200))
                    self.assertThat(msgspec.json.decode(body)["run"], Equals(1))
            self.assertThat(service.runs["coat-17"], Equals(1))
            nursery.cancel_scope.cancel()
