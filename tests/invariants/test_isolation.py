"""Isolation of callers. Invariants are numbered as in docs/invariants.md."""

import random

import msgspec
import pytest
import trio
from testtools.matchers import Equals
from traffic import seeded_text

from fleet_case import SHARED_MESSAGES, SLOW_ENGINE, FleetTestCase
from foxtailcourse.http import RequestOptions

pytestmark = pytest.mark.processes
SMALL_LAYOUT = {"entries": 1, "assistants": 1, "counters": 0, "availability": 0}
LONG_PROMPT = [{"role": "user", "content": seeded_text("the same for all", 400)}]
FUZZ_SEED, FUZZ_CONNECTION_COUNT = 7, 400
VALID_REQUEST = (
    b"POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n"
    b"authorization: Bearer demo-key-teatro\r\ncontent-type: application/json\r\n"
    b"content-length: 76\r\n\r\n"
    b'{"model":"assistant","max_tokens":2,"messages":[{"role":"user","content":1}]}'
)


class TestCacheIsolation(FleetTestCase):
    """Guards invariant 1: two client accounts with identical prompts share no cache."""

    def check_cached_tokens(self, second, check):
        async def run(fleet, callers, nursery):
            await callers.ask("first", "teatro", LONG_PROMPT, 4)
            await callers.ask("second", second, LONG_PROMPT, 4)
            stats = callers.stats_for("second")
            self.assertThat((stats.ok, stats.violations), Equals((1, [])))
            check(stats.cached_tokens)

        self.run_fleet(run, layout=SMALL_LAYOUT)

    def test_other_account_gets_no_cached_tokens(self):
        self.check_cached_tokens(
            "museo", lambda tokens: self.assertThat(tokens, Equals(0))
        )

    def test_same_account_gets_cached_tokens(self):
        """Control: a second request of the same account is served from the cache."""
        self.check_cached_tokens("teatro", lambda tokens: self.assertTrue(tokens > 0))


class TestCallerDisconnect(FleetTestCase):
    """Guards against disconnected callers that still occupy slots of an engine."""

    def test_disconnect_during_a_stream_frees_the_slot(self):
        async def check(fleet, callers, nursery):
            body = {"model": "assistant", "messages": SHARED_MESSAGES, "stream": True}
            body["max_tokens"] = 4000  # 40 s at the engine
            engine = fleet.backend_addresses["assistant-1"]
            async with callers.pool.request(
                callers.entries[0],
                "POST",
                "/v1/chat/completions",
                headers=callers.headers("teatro"),
                body=msgspec.json.encode(body),
                options=RequestOptions(reuse=False),
            ) as response:
                self.assertThat(response.status, Equals(200))
                async for _ in response.iter_chunks():
                    break
                load = await fleet.get(engine, "/load")
                self.assertThat(load["running"], Equals(1))
            await fleet.wait_status("assistant-1", lambda s: s["running"] == 0)
            while (await fleet.get(engine, "/load"))["running"]:
                await trio.sleep(0.01)
            await callers.ask("after", "teatro", SHARED_MESSAGES, 4)
            self.assertThat(callers.stats_for("after").ok, Equals(1))

        self.run_fleet(check, layout=SMALL_LAYOUT, engine_options=SLOW_ENGINE)


class TestMalformedRequests(FleetTestCase):
    """Guards the entry against malformed requests that stop or block it."""

    def mutate(self, rng):
        """Return random bytes, or a valid request with mutations and truncation."""
        if rng.random() < 0.3:
            return rng.randbytes(rng.randrange(1, 2000))
        data = bytearray(VALID_REQUEST)
        for _ in range(rng.randrange(1, 6)):
            position = rng.randrange(len(data))
            data[position : position + rng.randrange(3)] = rng.randbytes(
                rng.randrange(3)
            )
        return bytes(data[: rng.randrange(1, len(data) + 1)])

    def test_entry_still_serves_after_malformed_requests(self):
        async def check(fleet, callers, nursery):
            rng, address = random.Random(FUZZ_SEED), callers.entries[0]
            inputs = [self.mutate(rng) for _ in range(FUZZ_CONNECTION_COUNT)]
            limit = trio.CapacityLimiter(16)

            async def send(data):
                async with limit:
                    stream = await trio.open_tcp_stream(address.host, address.port)
                    async with stream:
                        try:
                            await stream.send_all(data)
                            await stream.send_eof()
                            async for _ in stream:
                                pass
                        except trio.BrokenResourceError:
                            pass  # the entry closes before it has read everything

            async with trio.open_nursery() as send_nursery:
                for data in inputs:
                    send_nursery.start_soon(send, data)
            await fleet.wait_status("entry-1", lambda s: s["active"] == 0)
            events = {each.name for each in fleet.programs["entry-1"].events}
            self.assertTrue("request_failed" not in events, events)
            await callers.ask("after", "teatro", SHARED_MESSAGES, 4)
            self.assertThat(callers.stats_for("after").ok, Equals(1))

        self.run_fleet(check, layout=SMALL_LAYOUT)
