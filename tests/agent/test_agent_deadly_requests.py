from contextlib import asynccontextmanager

import msgspec
import trio
from test_agent_entry import ListedAgent
from testtools.matchers import Equals, GreaterThan

from entry_support import FakeAgent, running_entry
from foxtailcourse.standin import BUSINESS_KEY
from standins import (
    make_agent,
    make_record,
    start_agent,
    start_engine,
    start_service,
)
from support import AsyncTestCase, run_trio

DEADLY = b"deadly"


async def abort_if_deadly(agent, exchange, attempt):
    """End the connection under a deadly request, as an agent whose VM ends."""
    if exchange.body == DEADLY:
        exchange.abort()
        return
    await exchange.respond_json(200, {}, agent.reply_fields(attempt))


class TestDeadlyRequests(AsyncTestCase):
    """Guards servers against a request that crashes each server that runs it."""

    @asynccontextmanager
    async def running_services(self, route, **body):
        """Run an entry, and four agents whose services crash under a request."""
        async with trio.open_nursery() as nursery:
            self.services, listed = [], []
            for number in range(4):
                service, backend = await start_service(
                    nursery, deadly_body=DEADLY.decode()
                )
                agent = make_agent(
                    backend, "service", vm=f"palermo-{number}", serves=route
                )
                agent.context.store.merge(
                    [make_record(f"services/{route}", route=route, **body)]
                )
                await start_agent(nursery, agent)
                self.services.append(service)
                listed.append(ListedAgent(agent, route))
            async with running_entry(listed) as entry:
                yield entry
            nursery.cancel_scope.cancel()

    @property
    def crashes(self):
        return sum(each.crashes for each in self.services)

    async def submit(self, entry, path, body=DEADLY, **fields):
        """Return the status, the error code and the verdict of a request."""
        status, head, body = await entry.call("POST", path, body=body, **fields)
        code = msgspec.json.decode(body).get("error", {}).get("code", "ok")
        self.retry_after_s = int(head.get("retry-after", "0"))
        return status, code, head["foxtail-verdict"]

    async def return_coat(self, entry, key=None, body=DEADLY):
        if key is None:
            value = {"route": "coats"}
            _, _, issued = await entry.call("POST", "/v1/idempotency-keys", value)
            key = msgspec.json.decode(issued)["key"]
        fields = {"idempotency_key": key, BUSINESS_KEY.replace("-", "_"): "coat"}
        return key, await self.submit(entry, "/services/coats/return", body, **fields)

    @run_trio
    async def test_repeated_request_does_not_crash_one_server_after_the_other(self):
        async with self.running_services("seats", repeatable=True) as entry:
            first, *others = [
                await self.submit(entry, "/services/seats/a") for _ in range(6)
            ]
            self.assertThat(self.crashes, Equals(2))
            self.assertThat(first, Equals((502, "request_blocked", "may-have-run")))
            self.assertThat(others, Equals(5 * [(503, "request_blocked", "not-run")]))
            self.assertThat(self.retry_after_s, GreaterThan(1))
            status, *_ = await self.submit(entry, "/services/seats/a", b"sound")
            self.assertThat(status, Equals(200))

    @run_trio
    async def test_calls_with_new_keys_do_not_crash_one_server_after_the_other(self):
        async with self.running_services("coats") as entry:
            calls = [await self.return_coat(entry) for _ in range(6)]
            self.assertThat(self.crashes, Equals(2))
            outcomes = [outcome for _, outcome in calls]
            unknown = (503, "outcome_unknown", "may-have-run")
            blocked = (503, "request_blocked", "not-run")
            self.assertThat(outcomes, Equals(2 * [unknown] + 4 * [blocked]))
            # A call that may have run is not reported as one that has not.
            _, again = await self.return_coat(entry, calls[0][0])
            self.assertThat(again, Equals(unknown))
            _, (_, code, _) = await self.return_coat(entry, "the-callers-own")
            self.assertThat(code, Equals("request_blocked"))
            _, (_, code, _) = await self.return_coat(entry, body=b"sound")
            self.assertThat(code, Equals("ok"))

    @run_trio
    async def test_request_that_ends_agents_is_blocked_too(self):
        agents = [FakeAgent(f"s{n}", "seats", abort_if_deadly) for n in range(4)]
        async with running_entry(agents) as entry:
            path = "/services/seats/a"
            codes = [(await self.submit(entry, path))[1] for _ in range(3)]
            self.assertThat(codes, Equals(3 * ["request_blocked"]))
            attempts = sum(len(each.attempts) for each in agents)
            self.assertThat(attempts, Equals(2))
            status, *_ = await self.submit(entry, path, b"sound")
            self.assertThat(status, Equals(200))


class TestDeadlyPrompts(AsyncTestCase):
    """Guards engines against a completion that crashes each engine that runs it."""

    async def count_crashes(self, *, stream, deadly_at=0):
        """Request a completion six times; return the crashes and the outcomes."""
        value = {
            "model": "guide",
            "messages": [{"role": "user", "content": DEADLY.decode()}],
            "stream": stream,
            "max_tokens": 8,
        }
        async with trio.open_nursery() as nursery:
            engines, listed = [], []
            for number in range(4):
                engine, backend = await start_engine(
                    nursery, deadly_text=DEADLY.decode(), deadly_at=deadly_at
                )
                agent = make_agent(backend, vm=f"palermo-{number}", serves="guide")
                await start_agent(nursery, agent)
                engines.append(engine)
                listed.append(ListedAgent(agent, "guide"))
            async with running_entry(listed) as entry:
                outcomes = []
                for _ in range(6):
                    status, _, body = await entry.call(
                        "POST", "/v1/chat/completions", value
                    )
                    outcomes.append((status, b"request_blocked" in body))
            nursery.cancel_scope.cancel()
        return sum(each.crashes for each in engines), outcomes

    @run_trio
    async def test_repeated_prompt_does_not_crash_one_engine_after_the_other(self):
        for stream in (False, True):
            crashes, outcomes = await self.count_crashes(stream=stream)
            self.assertThat(crashes, Equals(2))
            expected = [(502, True)] + 5 * [(503, True)]
            self.assertThat(outcomes, Equals(expected))

    @run_trio
    async def test_stream_with_events_does_not_count_for_the_crash(self):
        _, outcomes = await self.count_crashes(stream=True, deadly_at=4)
        self.assertThat({blocked for _, blocked in outcomes}, Equals({False}))
