import time

import msgspec
import trio
from test_streams import is_complete
from testtools.matchers import Equals

from entry_support import FakeAgent, running_entry, serve_complete
from foxtailcourse.idempotency import KeyIssuer
from support import AsyncTestCase


class SilentAgent(FakeAgent):
    """Does not respond to probes."""

    async def handle(self, exchange):
        if exchange.path == "/live":
            await trio.sleep_forever()
        await super().handle(exchange)


PROBES = {"probe_after_s": 0.02, "probe_timeout_s": 0.02}


class TestSilentAgents(AsyncTestCase):
    """Guards requests at agents that fall silent for a while and then go on."""

    def run_entry(self, check, script, n_agents=1, **options):
        async def main():
            agents = [SilentAgent(f"w{i}", script=script) for i in range(n_agents)]
            async with running_entry(agents, **PROBES, **options) as entry:
                await check(entry, agents)

        self.run_async(main)

    def silent_until_awaited(self, options=None, n_agents=1):
        """Check that a response is complete whose agents are silent at first."""
        for stream in (True, False):

            async def check(entry, agents, stream=stream):
                self.entry = entry
                status, _, body = await entry.chat(stream=stream)
                self.assertThat(status, Equals(200), body)
                if stream:
                    self.assertTrue(is_complete(body, 5))

            async def script(agent, exchange, attempt):
                await self.wait_event("agent_awaited")
                await serve_complete(agent, exchange, attempt)

            self.run_entry(check, script, n_agents, **(options or {}))

    async def wait_event(self, name):
        while not any(e.name == name for e in self.entry.daemon.events.recent()):
            await trio.sleep(0.005)

    def test_only_server_is_awaited_while_it_is_silent(self):
        self.silent_until_awaited()

    def test_silent_server_is_awaited_if_no_attempt_is_left(self):
        self.silent_until_awaited({"max_attempts": 1}, n_agents=2)

    def test_silent_server_is_awaited_after_the_others_were_tried(self):
        self.silent_until_awaited(n_agents=2)

    def test_silent_server_is_given_up_after_the_deadline(self):
        async def check(entry, agents):
            status, _, body = await entry.chat(max_tokens=5)
            code = msgspec.json.decode(body)["error"]["code"]
            self.assertThat((status, code), Equals((502, "backend_failed")))

        async def silent(agent, exchange, attempt):
            await trio.sleep_forever()

        contract = {"short_deadline_ms": 200}
        self.run_entry(check, silent, contract=contract)

    def pause_within_the_response(self, n_agents=1, **options):
        """Check that a response is complete whose agent pauses after its first part."""

        async def script(agent, exchange, attempt):
            if b'"stream":true' not in exchange.body:
                fields = agent.reply_fields(attempt)
                await exchange.start_stream(200, fields, b"[")
                await self.wait_event("agent_awaited")
                await exchange.end_stream(b"]")
                return
            await agent.start_stream(exchange, attempt)
            await agent.send_tokens(exchange, range(2))
            await self.wait_event("agent_awaited")
            await agent.send_tokens(exchange, range(2, 5))
            await agent.end_stream(exchange, attempt, 5)

        async def check(entry, agents):
            self.entry = entry
            _, _, body = await entry.chat(stream=self.stream)
            self.assertTrue(is_complete(body, 5) if self.stream else body == b"[]")

        for self.stream in (True, False):
            self.run_entry(
                check, script, n_agents, stream_idle_timeout_s=0.05, **options
            )

    def test_response_of_the_only_server_goes_on_after_a_pause(self):
        self.pause_within_the_response()

    def test_response_goes_on_after_a_pause_if_no_attempt_is_left(self):
        self.pause_within_the_response(n_agents=2, max_attempts=1)

    def test_keyed_call_waits_for_its_silent_agent(self):
        async def script(agent, exchange, attempt):
            if exchange.path.startswith("/services"):
                await self.wait_event("agent_awaited")
            value = {"key": issuer.issue(attempt.client_account, time.monotonic())}
            await exchange.respond_json(200, value, agent.reply_fields(attempt))

        issuer = KeyIssuer("w0", 60.0, 1000)

        async def main():
            agents = [SilentAgent("w0", "coats", script)]
            async with running_entry(agents, max_attempts=1, **PROBES) as entry:
                self.entry = entry
                fields = {"idempotency_key": "mine"}
                result = await entry.call("POST", "/services/coats/x", {}, **fields)
                self.assertThat(result[0], Equals(200), result)

        self.run_async(main)
