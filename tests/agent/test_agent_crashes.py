import trio
from test_agent_service import issue_key, return_coat, summary
from testtools.matchers import Equals, HasLength

from standins import (
    make_agent,
    make_record,
    start_agent,
    start_service,
    wait_until,
)
from support import AsyncTestCase, with_server

DEADLY = b"deadly"


def crashed_run(response):
    return int(response.headers.get("foxtail-crashed-run", "0"))


class TestServiceCrashes(AsyncTestCase):
    """Guards the reports by which entries count the crashes under a request."""

    def serve(self, check, timeout_ms=20_000, **options):
        async def main():
            async with trio.open_nursery() as nursery:
                service, backend = await start_service(
                    nursery, deadly_body=DEADLY.decode(), **options
                )
                agent = make_agent(backend, "service")
                route = {"route": "counter", "repeatable": True}
                agent.context.store.merge(
                    [make_record("services/counter", timeout_ms=timeout_ms, **route)]
                )
                await check(await start_agent(nursery, agent), service)
                nursery.cancel_scope.cancel()

        self.run_async(main)

    @with_server(delay_s=10.0)
    async def test_requests_lost_in_one_crash_report_one_run(self, address, service):
        responses = []

        async def submit(body):
            responses.append(await return_coat(address, "", body, body=body.encode()))

        for _ in range(2):
            service.runs.clear()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(submit, "sound")
                await wait_until(lambda: service.runs["coat-17"])
                nursery.start_soon(submit, "deadly")
        runs = [crashed_run(each) for each in responses]
        self.assertThat(service.crashes, Equals(2))
        self.assertThat(runs[0], Equals(runs[1]))
        self.assertThat(runs[2], Equals(runs[3]))
        self.assertThat(set(runs) - {0}, HasLength(2))

    @with_server()
    async def test_crash_under_a_keyed_call_is_reported_with_its_outcome(
        self, address, service
    ):
        key = await issue_key(address)
        responses = [
            await return_coat(address, key, each, body=DEADLY) for each in ("a1", "a2")
        ]
        self.assertThat(
            [summary(each) for each in responses],
            Equals(2 * [("outcome_unknown", "may-have-run")]),
        )
        self.assertThat([crashed_run(each) > 0 for each in responses], Equals([1, 0]))
        self.assertThat(service.crashes, Equals(1))

    @with_server(fault="hang_after", timeout_ms=50)
    async def test_silent_service_has_not_crashed(self, address, service):
        response = await return_coat(address, "")
        self.assertThat(summary(response), Equals(("service_failed", "may-have-run")))
        self.assertThat(crashed_run(response), Equals(0))

    @with_server()
    async def test_blocked_keyed_call_gets_its_outcome_but_never_runs(
        self, address, service
    ):
        used, unused = await issue_key(address), await issue_key(address)
        await return_coat(address, used)
        blocked = [
            await return_coat(address, key, f"a-{key}", outcome_only=True)
            for key in (used, unused)
        ]
        blocked.append(await return_coat(address, unused))
        self.assertThat(
            [summary(each) for each in blocked],
            Equals(
                [
                    ("ok", "ran"),
                    ("request_blocked", "not-run"),
                    ("key_fenced", "not-run"),
                ]
            ),
        )
        self.assertThat(service.runs["coat-17"], Equals(1))
