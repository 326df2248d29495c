import trio
from ingress_case import IngressCase, route
from testtools.matchers import Equals, GreaterThan

from cluster import wait_until
from foxtailcourse.ingress._dispatcher import Dispatcher
from foxtailcourse.standin._backend_server import BackendServerFaults
from support import run_with

# Longer than the time to stop.
TIMEOUT_MS = 20_000


class TestPlannedStop(IngressCase):
    """Guards requests that do not end in the time of a planned stop."""

    async def call_in_stop(self, fleet, entry, name, begun, **options):
        """Return the response to a request that is in progress when the stop ends."""
        fleet.configure(
            version=2,
            routes=[
                route("return", "unsafe", timeoutMs=TIMEOUT_MS),
                route("brief", "streaming", service="llm", timeoutMs=TIMEOUT_MS),
            ],
        )
        await wait_until(
            lambda: entry.events("configuration_applied")[-1]["version"] == "2"
        )
        responses = []

        async def call():
            deadline_ms = str(TIMEOUT_MS)
            response = await fleet.call(
                entry, name, x_foxtailcourse_deadline_ms=deadline_ms, **options
            )
            responses.append(response)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await wait_until(begun)
            entry.daemon.stopping.set()
        await entry.ended.wait()
        return responses[0]

    @run_with("with_fleet", stop_s=1.0)
    async def test_request_at_a_silent_server_is_answered_before_the_end(
        self, fleet, entry
    ):
        for server in fleet.servers.values():
            server.faults = BackendServerFaults(mute=True)
        response = await self.call_in_stop(
            fleet, entry, "return", lambda: self.runs(fleet), body=b"a"
        )
        self.assertThat(response.status, Equals(502))
        self.assertNotIn("retry-after", response.headers)

    @run_with("with_fleet", stop_s=1.0)
    async def test_request_that_was_not_sent_is_refused_before_the_end(
        self, fleet, entry
    ):
        reached = trio.Event()

        async def wait_for_admission(dispatcher, job):
            reached.set()
            await trio.sleep_forever()

        self.patch(Dispatcher, "_wait_for_admission", wait_for_admission)
        response = await self.call_in_stop(fleet, entry, "return", reached.is_set)
        self.assertThat(response.status, Equals(503))
        self.assertThat(float(response.headers["retry-after"]), GreaterThan(0.0))

    @run_with("with_fleet", stop_s=1.0)
    async def test_begun_stream_is_cut_and_not_ended(self, fleet, entry):
        for server in fleet.servers.values():
            server.event_s = 0.1
        response = await self.call_in_stop(
            fleet,
            entry,
            "brief",
            lambda: any(run.events for run in self.runs(fleet)),
            stream=100,
        )
        self.assertThat((response.status, response.complete), Equals((200, False)))
