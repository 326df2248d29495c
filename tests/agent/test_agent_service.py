import contextlib

import msgspec
import trio
from testtools.matchers import Equals

from foxtailcourse.http import ClientError
from foxtailcourse.idempotency import OutcomeLimits, OutcomeTable
from foxtailcourse.standin import BUSINESS_KEY
from standins import (
    call,
    make_agent,
    make_attempt,
    make_record,
    start_agent,
    start_service,
    wait_until,
)
from support import AsyncTestCase, with_server


async def issue_key(address, account="teatro"):
    attempt = make_attempt("issue", client_account=account)
    body = msgspec.json.encode({"route": "counter"})
    path = "/v1/idempotency-keys"
    response = await call(address, "POST", path, attempt.to_headers(), body)
    return response.json()["key"]


async def return_coat(address, key, attempt_id="a1", body=b"{}", **changes):
    attempt = make_attempt(attempt_id, **changes)
    fields = attempt.to_headers() | {BUSINESS_KEY: "coat-17"}
    if key:
        fields["idempotency-key"] = key
    return await call(address, "POST", "/services/counter/return", fields, body)


def clear(table):
    """Delete all outcomes."""
    table.__init__(OutcomeLimits())


def summary(response):
    """Return the error code, or ``ok``, and the verdict of a response."""
    body = response.json()
    code = body["error"]["code"] if "error" in body else "ok"
    return code, response.headers["foxtail-verdict"]


class TestService(AsyncTestCase):
    """Guards against a second execution of a call with an idempotency key.

    Callers repeat calls concurrently, after errors, after a restart of the agent and
    after truncated requests.
    """

    def serve(self, check, settings=None, store=None, **options):
        async def main():
            async with trio.open_nursery() as nursery:
                service, backend = await start_service(nursery, **options)
                agent = make_agent(backend, "service", **(settings or {}))
                address = await start_agent(nursery, agent)
                await check(address, agent, service)
                nursery.cancel_scope.cancel()

        self.run_async(main)

    async def submit_twice_at_once(self, address, agent, service):
        key = await issue_key(address)
        responses = []

        async def submit(attempt_id):
            responses.append(await return_coat(address, key, attempt_id))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(submit, "a1")
            nursery.start_soon(submit, "a2")
        return key, responses

    @with_server(delay_s=0.02)
    async def test_duplicate_calls_wait_for_one_outcome(self, address, agent, service):
        key, responses = await self.submit_twice_at_once(address, agent, service)
        responses.append(await return_coat(address, key, "a3"))
        self.assertThat(
            [response.json()["run"] for response in responses], Equals([1, 1, 1])
        )
        self.assertThat(service.runs["coat-17"], Equals(1))

    @with_server()
    async def test_without_the_table_duplicates_run_twice(
        self, address, agent, service
    ):
        """Control: without stored outcomes a repeated call runs again."""
        key = await issue_key(address)
        for attempt_id in ("a1", "a2"):
            agent._service.keyed_calls.table = OutcomeTable(OutcomeLimits())
            await return_coat(address, key, attempt_id)
        self.assertThat(service.runs["coat-17"], Equals(2))

    @with_server()
    async def test_call_without_a_key_is_refused_unless_repeatable(
        self, address, agent, service
    ):
        refused = await return_coat(address, "")
        self.assertThat(summary(refused), Equals(("key_required", "not-run")))
        record = make_record("services/counter", route="counter", repeatable=True)
        agent.context.store.merge([record])
        response = await return_coat(address, "")
        self.assertThat(summary(response), Equals(("ok", "ran")))

    @with_server()
    async def test_older_configuration_does_not_end_a_call_that_has_no_key(
        self, address, agent, service
    ):
        """A newer configuration may allow the call without a key."""
        newer = agent.context.store.revision + 1
        refused = await return_coat(address, "", config_revision=newer)
        self.assertThat(refused.status, Equals(503))
        self.assertThat(summary(refused), Equals(("older_configuration", "not-run")))
        agent.context.configured = lambda: False
        refused = await return_coat(address, "", "a2")
        self.assertThat(summary(refused), Equals(("no_configuration", "not-run")))

    @with_server()
    async def test_foreign_expired_and_reused_keys_are_may_have_run_and_do_not_run(
        self, address, agent, service
    ):
        key = await issue_key(address)
        summaries = [
            summary(await return_coat(address, "order-1")),
            summary(await return_coat(address, key, client_account="museo")),
        ]
        await return_coat(address, key)
        summaries.append(summary(await return_coat(address, key, body=b"other")))
        agent._service._issuer.lifetime_s = 0.0
        summaries.append(summary(await return_coat(address, key)))
        codes = ["key_foreign", "key_foreign", "key_reused", "key_expired"]
        self.assertThat(summaries, Equals([(c, "may-have-run") for c in codes]))
        self.assertThat(service.runs["coat-17"], Equals(1))

    @with_server(fault="cut_after")
    async def test_outcome_is_unknown_and_not_retried_if_the_service_disconnects(
        self, address, agent, service
    ):
        key = await issue_key(address)
        summaries = [summary(await return_coat(address, key)) for _ in range(2)]
        self.assertThat(summaries, Equals([("outcome_unknown", "may-have-run")] * 2))
        self.assertThat(service.runs["coat-17"], Equals(1))

    @with_server(fault="cut_after")
    async def test_without_unknown_outcomes_a_failed_call_runs_twice(
        self, address, agent, service
    ):
        """Control: a table that deletes a failed call runs it again."""
        self.patch(OutcomeTable, "fail", lambda table, ident, now: clear(table))
        key = await issue_key(address)
        for _ in range(2):
            await return_coat(address, key)
        self.assertThat(service.runs["coat-17"], Equals(2))

    async def call_before_and_after_a_restart(self, address, agent, service, issuer):
        """Repeat a call at a new agent; return the last response and the executions.

        The new agent uses ``issuer``, or creates its own if that is None.
        """
        key = await issue_key(address)
        await return_coat(address, key)
        async with trio.open_nursery() as nursery:
            later = make_agent(agent.context.cfg.backend, "service")
            if issuer is not None:
                later._service._issuer = issuer
            address = await start_agent(nursery, later)
            response = await return_coat(address, key)
            nursery.cancel_scope.cancel()
        return response, service.runs["coat-17"]

    @with_server()
    async def test_restarted_agent_does_not_run_a_key_of_its_earlier_incarnation(
        self, address, agent, service
    ):
        args = (address, agent, service, None)
        response, runs = await self.call_before_and_after_a_restart(*args)
        expected = ("key_former_incarnation", "may-have-run")
        self.assertThat(summary(response), Equals(expected))
        self.assertThat(runs, Equals(1))

    @with_server()
    async def test_with_a_secret_that_outlives_the_agent_the_key_runs_twice(
        self, address, agent, service
    ):
        """Control: if a restarted agent accepts the key, the call runs again."""
        args = (address, agent, service, agent._service._issuer)
        _, runs = await self.call_before_and_after_a_restart(*args)
        self.assertThat(runs, Equals(2))

    @with_server(delay_s=0.2)
    async def test_call_continues_after_its_caller_disconnects(
        self, address, agent, service
    ):
        key = await issue_key(address)
        with trio.move_on_after(0.05):
            await return_coat(address, key)
        response = await return_coat(address, key, "a2")
        self.assertThat(response.json()["run"], Equals(1))

    @with_server()
    async def test_key_refused_because_of_leaving_is_fenced(
        self, address, agent, service
    ):
        key = await issue_key(address)
        for generation, leaving in ((1, True), (2, False)):
            record = make_record("backends/palermo-1", generation, leaving=leaving)
            agent.context.store.merge([record])
            response = await return_coat(address, key)
            self.assertThat(response.headers["foxtail-verdict"], Equals("not-run"))
        self.assertThat(service.runs["coat-17"], Equals(0))

    @with_server()
    async def test_without_the_fence_a_refused_key_runs_later(
        self, address, agent, service
    ):
        """Control: a key that was refused as not run, and is not fenced, runs."""
        self.patch(OutcomeTable, "fence", lambda *args: None)
        key = await issue_key(address)
        agent.stop()
        refused = await return_coat(address, key)
        agent.context.stopping = False
        await return_coat(address, key)
        self.assertThat(refused.headers["foxtail-verdict"], Equals("not-run"))
        self.assertThat(service.runs["coat-17"], Equals(1))

    @with_server()
    async def test_leaving_agent_returns_the_outcome_of_a_used_key(
        self, address, agent, service
    ):
        key = await issue_key(address)
        await return_coat(address, key)
        agent.stop()
        response = await return_coat(address, key)
        self.assertThat(response.json()["run"], Equals(1))

    @with_server()
    async def test_key_refused_by_the_queue_never_runs(self, address, agent, service):
        key = await issue_key(address)
        summaries = [summary(await return_coat(address, key, deadline_ms=0))]
        summaries.append(summary(await return_coat(address, key)))
        expected = [("deadline", "not-run"), ("key_fenced", "not-run")]
        self.assertThat(summaries, Equals(expected))
        self.assertThat(service.runs["coat-17"], Equals(0))

    @with_server()
    async def test_request_truncated_at_any_byte_runs_at_most_once(
        self, address, agent, service
    ):
        fields = make_attempt().to_headers() | {BUSINESS_KEY: "coat-17"}
        key = await issue_key(address)
        fields |= {"idempotency-key": key, "content-length": "2", "host": "a"}
        lines = [f"{name}: {value}" for name, value in fields.items() if value]
        head = "POST /services/counter/return HTTP/1.1\r\n" + "\r\n".join(lines)
        data = head.encode() + b"\r\n\r\n{}"
        for end in range(len(data) + 1):
            with contextlib.suppress(ClientError, trio.BrokenResourceError):
                stream = await trio.open_tcp_stream(address.host, address.port)
                await stream.send_all(data[:end])
                await trio.aclose_forcefully(stream)
        await wait_until(lambda: agent.active() == 0)
        response = await return_coat(address, key, "a2")
        self.assertThat(response.json()["run"], Equals(1))
        self.assertThat(service.runs["coat-17"], Equals(1))
