import contextlib
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
from support import AsyncTestCase, with_server

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
    """Guards against a planned stop or a reload that interrupts requests.

    SIGTERM must not end the process before the running streams are complete.
    """

    async def stop_under_load(self, nursery, folder, process_lines="", reload=False):
        addresses = await start_standin(nursery, folder, ENGINE)
        agent, address = await start_agent_process(
            nursery, folder, addresses, kind="engine", process_lines=process_lines
        )
        texts = []

        async def read_stream(number):
            attempt = make_attempt(f"a{number}")
            try:
                response = await chat(address, attempt, max_tokens=TOKENS)
                texts.append(response.text())
            except ClientError:
                texts.append("")

        async with trio.open_nursery() as callers:
            for number in range(STREAMS):
                callers.start_soon(read_stream, number)
            await agent.wait_event("request_started", STREAMS)
            if reload:
                agent.send_signal(signal.SIGHUP)
                await agent.wait_event("reload_ignored")
            agent.send_signal(signal.SIGTERM)
            await agent.wait_event("stop_requested")
        await agent.process.wait()
        return texts

    @with_server()
    async def test_sigterm_under_load_interrupts_no_stream(self, nursery, folder):
        texts = await self.stop_under_load(nursery, folder)
        expected = answer_text(PROMPT, TOKENS, "v1")
        self.assertThat(texts, Equals([expected] * STREAMS))

    @with_server()
    async def test_sighup_under_load_interrupts_no_stream(self, nursery, folder):
        texts = await self.stop_under_load(nursery, folder, reload=True)
        expected = answer_text(PROMPT, TOKENS, "v1")
        self.assertThat(texts, Equals([expected] * STREAMS))

    @with_server()
    async def test_request_that_arrives_during_the_stop_is_answered(
        self, nursery, folder
    ):
        addresses = await start_standin(nursery, folder, ENGINE)
        agent, address = await start_agent_process(
            nursery, folder, addresses, kind="engine"
        )
        async with await trio.open_tcp_stream(address.host, address.port) as stream:
            await stream.send_all(b"POST /v1/chat/completions HTTP/1.1\r\n")
            agent.send_signal(signal.SIGTERM)
            await agent.wait_event("drain_ended")
            with contextlib.suppress(trio.BrokenResourceError):
                await stream.send_all(b"host: a\r\ncontent-length: 0\r\n\r\n")
            with contextlib.suppress(trio.BrokenResourceError):
                self.assertThat(await stream.receive_some(12), Equals(b"HTTP/1.1 400"))
                return
        self.fail("the connection was reset")

    @with_server()
    async def test_without_the_drain_streams_are_interrupted(self, nursery, folder):
        """Control: without a drain the same streams are interrupted."""
        process_lines = "drain_limit_s = 0"
        texts = await self.stop_under_load(nursery, folder, process_lines)
        self.assertThat(texts, Equals([""] * STREAMS))


class TestAtMostOnce(ProcessTestCase):
    """Guards against a second execution of a call with an idempotency key.

    The agent is killed or suspended before or after the call reaches the service, and
    the caller then repeats the call.
    """

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

    async def count_runs(self):
        response = await call(self.addresses[0], "GET", "/standin")
        return response.json()["runs"].get("coat-17", 0)

    async def disconnect_when(self, address, key, condition):
        """Submit a call, wait for ``condition`` and close the connection."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.pay, address, key)
            await condition()
            nursery.cancel_scope.cancel()

    @with_server()
    async def test_agent_killed_during_the_call_and_restarted(self, nursery, folder):
        agent, address = await self.start(nursery, folder, delay_s=30.0)
        key = await self.issue_key(address)

        async def kill():
            await agent.wait_event("run_started")
            while not await self.count_runs():
                await trio.sleep(0.01)
            agent.send_signal(signal.SIGKILL)

        await self.disconnect_when(address, key, kill)
        _, address = await start_agent_process(nursery, folder, self.addresses)
        response = await self.pay(address, key)
        error = response.json()["error"]["code"]
        self.assertThat(error, Equals("key_former_incarnation"))
        verdict = response.headers["foxtail-verdict"]
        self.assertThat(verdict, Equals("may-have-run"))
        self.assertThat(await self.count_runs(), Equals(1))

    @with_server()
    async def test_agent_suspended_before_the_call(self, nursery, folder):
        agent, address = await self.start(nursery, folder)
        _, other = await start_agent_process(
            nursery, folder, self.addresses, vm="palermo-2"
        )
        key = await self.issue_key(address)

        async def suspend():
            await trio.sleep(0.3)

        agent.send_signal(signal.SIGSTOP)
        await self.disconnect_when(address, key, suspend)
        other_response = await self.pay(other, key, "a2")
        agent.send_signal(signal.SIGCONT)
        response = await self.pay(address, key, "a3")
        self.assertThat(other_response.json()["error"]["code"], Equals("key_foreign"))
        self.assertThat(response.json()["run"], Equals(1))
        self.assertThat(await self.count_runs(), Equals(1))

    @with_server()
    async def test_agent_suspended_after_the_call_reached_the_service(
        self, nursery, folder
    ):
        agent, address = await self.start(nursery, folder, delay_s=0.3)
        key = await self.issue_key(address)

        async def suspend():
            await agent.wait_event("run_started")
            while not await self.count_runs():
                await trio.sleep(0.01)
            agent.send_signal(signal.SIGSTOP)

        await self.disconnect_when(address, key, suspend)
        agent.send_signal(signal.SIGCONT)
        response = await self.pay(address, key, "a2")
        self.assertThat(response.json()["run"], Equals(1))
        self.assertThat(await self.count_runs(), Equals(1))


class TestSuspendedLeaseHolder(ProcessTestCase):
    """Guards against an order sent by an agent whose lease has expired.

    The agent is suspended for longer than its lease while it drains requests. On
    resuming it must notice that the lease may have expired and acquire a new slot.
    """

    @with_server()
    async def test_suspended_holder_acquires_a_new_slot_before_its_order(
        self, nursery, folder
    ):
        addresses = await start_standin(nursery, folder, ENGINE)
        agent, address = await start_agent_process(
            nursery,
            folder,
            addresses,
            kind="engine",
            more_sections="[rollout]\nlease_s = 1.0\npoll_s = 0.05\n",
        )
        async with trio.open_nursery() as callers:
            callers.start_soon(partial(chat, address, max_tokens=400))
            await agent.wait_event("request_started")
            await put_record(
                addresses[-1],
                "models/assistant",
                model="assistant",
                weights_version="v2",
                min_in_service=0,
            )
            await agent.wait_event("out_of_service")
            agent.send_signal(signal.SIGSTOP)
            await trio.sleep(1.5)  # longer than the lease
            agent.send_signal(signal.SIGCONT)
        failed = await agent.wait_event("rollout_failed")
        done = await agent.wait_event("order_done")
        self.assertTrue("may have expired" in failed.fields["error"])
        names = [each.name for each in agent.events]
        in_order = names.index("rollout_failed") < names.index("order_done")
        self.assertTrue(in_order)
        self.assertTrue(int(done.fields["fencing"]) > 0)
