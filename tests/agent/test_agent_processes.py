import signal
import tempfile
from functools import partial

import msgspec
import pytest
import trio
from testtools.matchers import Equals

from daemons import put_record, start_agent_process, start_standin
from foxtailcourse.http import ClientError
from foxtailcourse.standin import BUSINESS_KEY, answer_text, prompt_text
from standins import MESSAGES, call, chat, make_attempt
from support import AsyncTestCase, served

pytestmark = pytest.mark.processes
SERVICE = "services = 127.0.0.1:0 route=counter delay_s={delay_s}\n"
ENGINE = "engines = 127.0.0.1:0 model=assistant decode_s_per_token=0.004\n"
PROMPT = prompt_text(MESSAGES)
STREAMS, TOKENS = 6, 250


class ProcessTestCase(AsyncTestCase):
    def serve(self, check):
        async def main():
            with tempfile.TemporaryDirectory() as folder:
                async with trio.open_nursery() as nursery:
                    await check(nursery, folder)
                    nursery.cancel_scope.cancel()

        self.run_async(main)


class TestStop(ProcessTestCase):
    """Guards against a planned stop that interrupts a request."""

    async def stop_under_load(self, nursery, folder, process):
        addresses = await start_standin(nursery, folder, ENGINE)
        agent, address = await start_agent_process(
            nursery, folder, addresses, kind="engine", process=process
        )
        texts = []

        async def read_stream(number):
            attempt = make_attempt(f"a{number}")
            try:
                answer = await chat(address, attempt, max_tokens=TOKENS)
                texts.append(answer.text())
            except ClientError:
                texts.append("")

        async with trio.open_nursery() as callers:
            for number in range(STREAMS):
                callers.start_soon(read_stream, number)
            await agent.event("request_started", STREAMS)
            agent.send(signal.SIGTERM)
            await agent.event("stop_requested")
        await agent.process.wait()
        return texts

    @served()
    async def test_sigterm_under_load_cuts_no_stream(self, nursery, folder):
        texts = await self.stop_under_load(nursery, folder, "")
        whole = answer_text(PROMPT, TOKENS, "v1")
        self.assertThat(texts, Equals([whole] * STREAMS))

    @served()
    async def test_without_the_drain_streams_are_cut(self, nursery, folder):
        process = "drain_limit_s = 0"
        texts = await self.stop_under_load(nursery, folder, process)
        self.assertThat(texts, Equals([""] * STREAMS))


class TestAtMostOnce(ProcessTestCase):
    """Guards against a second run when the agent is killed or frozen."""

    async def start(self, nursery, folder, delay_s=0.0):
        lines = SERVICE.format(delay_s=delay_s)
        self.addresses = await start_standin(nursery, folder, lines)
        return await start_agent_process(nursery, folder, self.addresses)

    async def issue_key(self, address):
        body = msgspec.json.encode({"route": "counter"})
        path, fields = "/v1/idempotency-keys", make_attempt("issue").to_headers()
        return (await call(address, "POST", path, fields, body)).json()["key"]

    async def pay(self, address, key, attempt_id="a1", timeout_s=30.0):
        fields = make_attempt(attempt_id).to_headers()
        fields |= {BUSINESS_KEY: "coat-17", "idempotency-key": key}
        path = "/services/counter/pay"
        return await call(address, "POST", path, fields, b"{}", timeout_s)

    async def runs(self):
        answer = await call(self.addresses[0], "GET", "/standin")
        return answer.json()["runs"].get("coat-17", 0)

    async def give_up(self, address, key, when):
        """Submit, call ``when`` and break the connection."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.pay, address, key)
            await when()
            nursery.cancel_scope.cancel()

    @served()
    async def test_agent_killed_within_the_call_and_restarted(self, nursery, folder):
        agent, address = await self.start(nursery, folder, delay_s=30.0)
        key = await self.issue_key(address)

        async def kill():
            await agent.event("run_started")
            while not await self.runs():
                await trio.sleep(0.01)
            agent.send(signal.SIGKILL)

        await self.give_up(address, key, kill)
        _, address = await start_agent_process(nursery, folder, self.addresses)
        answer = await self.pay(address, key)
        error = answer.json()["error"]["code"]
        self.assertThat(error, Equals("key_former_incarnation"))
        verdict = answer.headers["foxtail-verdict"]
        self.assertThat(verdict, Equals("may-have-run"))
        self.assertThat(await self.runs(), Equals(1))

    @served()
    async def test_agent_frozen_before_the_call(self, nursery, folder):
        agent, address = await self.start(nursery, folder)
        _, other = await start_agent_process(
            nursery, folder, self.addresses, vm="palermo-2"
        )
        key = await self.issue_key(address)

        async def freeze():
            await trio.sleep(0.3)

        agent.send(signal.SIGSTOP)
        await self.give_up(address, key, freeze)
        elsewhere = await self.pay(other, key, "a2")
        agent.send(signal.SIGCONT)
        answer = await self.pay(address, key, "a3")
        self.assertThat(elsewhere.json()["error"]["code"], Equals("key_foreign"))
        self.assertThat(answer.json()["run"], Equals(1))
        self.assertThat(await self.runs(), Equals(1))

    @served()
    async def test_agent_frozen_after_the_call_reached_the_service(
        self, nursery, folder
    ):
        agent, address = await self.start(nursery, folder, delay_s=0.3)
        key = await self.issue_key(address)

        async def freeze():
            await agent.event("run_started")
            while not await self.runs():
                await trio.sleep(0.01)
            agent.send(signal.SIGSTOP)

        await self.give_up(address, key, freeze)
        agent.send(signal.SIGCONT)
        answer = await self.pay(address, key, "a2")
        self.assertThat(answer.json()["run"], Equals(1))
        self.assertThat(await self.runs(), Equals(1))


class TestPausedHolder(ProcessTestCase):
    """Guards against an order by an agent that was frozen past its lease."""

    @served()
    async def test_frozen_holder_takes_a_new_slot_before_it_orders(
        self, nursery, folder
    ):
        addresses = await start_standin(nursery, folder, ENGINE)
        agent, address = await start_agent_process(
            nursery,
            folder,
            addresses,
            kind="engine",
            more="[rollout]\nlease_s = 1.0\npoll_s = 0.05\n",
        )
        async with trio.open_nursery() as callers:
            callers.start_soon(partial(chat, address, max_tokens=400))
            await agent.event("request_started")
            await put_record(
                addresses[-1],
                "models/assistant",
                model="assistant",
                weights_version="v2",
                min_in_service=0,
            )
            await agent.event("out_of_service")
            agent.send(signal.SIGSTOP)
            await trio.sleep(1.5)  # longer than the lease
            agent.send(signal.SIGCONT)
        failed = await agent.event("rollout_failed")
        done = await agent.event("order_done")
        self.assertTrue("may have expired" in failed.fields["error"])
        names = [each.name for each in agent.events]
        order = names.index("rollout_failed") < names.index("order_done")
        self.assertTrue(order)
        self.assertTrue(int(done.fields["fencing"]) > 0)
