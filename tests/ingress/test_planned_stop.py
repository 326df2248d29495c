import trio
from ingress_case import IngressCase, route
from testtools.matchers import Equals, GreaterThan, LessThan

from cluster import wait_until
from foxtailcourse.ingress import _app
from foxtailcourse.ingress._dispatcher import Dispatcher
from foxtailcourse.ingress._part_exchange import PartExchange
from foxtailcourse.standin._backend_server import (
    BackendServerFaults,
    BackendServerStandin,
)
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
    async def test_request_whose_trial_is_still_announced_is_refused_as_not_run(
        self, fleet, entry
    ):
        reached = trio.Event()

        async def announce(exchange):
            reached.set()
            await trio.sleep_forever()

        self.patch(PartExchange, "record_sent", lambda *args: True)
        self.patch(PartExchange, "announce", announce)
        response = await self.call_in_stop(fleet, entry, "return", reached.is_set)
        self.assertThat((response.status, self.runs(fleet)), Equals((503, [])))

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


# Time between SIGTERM and the end, and the part of it before the listeners close.
STOP_S, NOTICE_S = 3.0, 0.3
# A request that ends in time, and one that may not.
SOON_MS, LATE_MS = 1000, 20_000


class TestLateRequests(IngressCase):
    """Guards requests that a stopping entry hands on without the time to end them."""

    def setUp(self):
        super().setUp()
        self.patch(_app, "LOAD_BALANCER_NOTICE_S", NOTICE_S)

    async def configure(self, fleet, entry):
        names = [
            ("look", "safe", {"service": "coats"}),
            ("return", "unsafe", {"service": "coats"}),
            ("brief", "streaming", {"service": "llm"}),
            ("ask", "streaming", {"service": "llm", "resumable": True}),
        ]
        fleet.configure(
            version=2,
            routes=[
                route(name, kind, timeoutMs=LATE_MS, attempts=3, **options)
                for name, kind, options in names
            ],
        )
        await wait_until(
            lambda: entry.events("configuration_applied")[-1]["version"] == "2"
        )

    async def begin_stop(self, entry):
        """Begin a stop, and wait until new connections are no longer accepted."""
        entry.daemon.stopping.set()
        await wait_until(lambda: entry.app._http_server._accept_scope.cancel_called)

    async def call_late(self, fleet, entry, name, deadline_ms, *, stream=0):
        """Send a head before the listeners close and the body after; return all."""
        address = entry.app.address
        fields = {
            "host": "app.example",
            "x-foxtailcourse-key": "key-1",
            "x-foxtailcourse-request-id": f"late-{name}",
            "x-foxtailcourse-deadline-ms": str(deadline_ms),
            "content-length": "1",
        }
        if stream:
            fields["x-foxtailcourse-model"] = "guide"
            fields["x-foxtailcourse-token-counts"] = f"100,{stream}"
            fields["x-foxtailcourse-prompt-prefix"] = "aa:60,bb:40"
        lines = [f"POST /{name}/x HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
        async with await trio.open_tcp_stream(address.host, address.port) as conn:
            await conn.send_all("\r\n".join([*lines, "\r\n"]).encode())
            # The head is read before the stop begins.
            await trio.sleep(0.05)
            await self.begin_stop(entry)
            await conn.send_all(b"a")
            received = b""
            while data := await conn.receive_some(65536):
                received += data
        return received

    def assert_refused(self, received):
        head = received.partition(b"\r\n\r\n")[0].lower()
        self.assertThat(head[:13], Equals(b"http/1.1 503 "), received)
        self.assertIn(b"retry-after: ", head)

    @run_with("with_fleet", stop_s=STOP_S)
    async def test_stream_that_may_not_end_in_time_is_refused_before_it_runs(
        self, fleet, entry
    ):
        await self.configure(fleet, entry)
        received = await self.call_late(fleet, entry, "brief", LATE_MS, stream=10)
        self.assert_refused(received)
        self.assertThat(self.runs(fleet), Equals([]))

    @run_with("with_fleet", stop_s=STOP_S)
    async def test_call_that_may_not_end_in_time_is_refused_before_it_runs(
        self, fleet, entry
    ):
        await self.configure(fleet, entry)
        for server in fleet.servers.values():
            server.faults = BackendServerFaults(mute=True)
        self.assert_refused(await self.call_late(fleet, entry, "return", LATE_MS))
        self.assertThat(self.runs(fleet), Equals([]))

    @run_with("with_fleet", stop_s=STOP_S)
    async def test_late_request_that_ends_in_time_is_served(self, fleet, entry):
        await self.configure(fleet, entry)
        received = await self.call_late(fleet, entry, "return", SOON_MS)
        self.assertThat(received[:13], Equals(b"HTTP/1.1 200 "))

    @run_with("with_fleet", stop_s=STOP_S)
    async def test_late_request_is_refused_while_the_store_is_silent(
        self, fleet, entry
    ):
        await self.configure(fleet, entry)
        fleet.platform.faults.outage = "silent"
        received = await self.call_late(fleet, entry, "brief", LATE_MS, stream=10)
        self.assert_refused(received)
        self.assertThat(self.runs(fleet), Equals([]))

    @run_with("with_fleet", stop_s=STOP_S)
    async def test_prompt_that_waits_for_admission_is_refused_before_the_end(
        self, fleet, entry
    ):
        await self.configure(fleet, entry)
        self.patch(Dispatcher, "_is_admitted", lambda *args: False)
        responses = []

        async def call():
            deadline_ms = str(LATE_MS)
            response = await fleet.call(
                entry, "brief", stream=10, x_foxtailcourse_deadline_ms=deadline_ms
            )
            responses.append((response.status, entry.events("drain_ended")))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await wait_until(lambda: len(entry.app._dispatcher.deferred))
            await self.begin_stop(entry)
        self.assertThat(responses, Equals([(503, [])]))

    async def call_with_failure(self, fleet, entry, name, fail, **options):
        """Let the first attempt of a request fail after the listeners closed."""
        await self.configure(fleet, entry)
        for server in fleet.servers.values():
            server.event_s = 0.1
        responses = []

        async def call():
            deadline_ms = str(LATE_MS)
            response = await fleet.call(
                entry, name, x_foxtailcourse_deadline_ms=deadline_ms, **options
            )
            responses.append((response, entry.events("drain_ended")))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await wait_until(lambda: self.runs(fleet) or entry.app._http_server.active)
            await self.begin_stop(entry)
            fail()
        (response, ended) = responses[0]
        self.assertThat(ended, Equals([]))
        self.assertThat(len(self.runs(fleet)), LessThan(2))
        return response

    def fail_servers(self, fleet):
        """Crash the servers that run a request, and keep the others."""
        for server in fleet.servers.values():
            if any(not run.ended for run in server.runs):
                server.crash()

    @run_with("with_fleet", stop_s=STOP_S)
    async def test_broken_stream_is_not_resumed_without_the_time_to_end_it(
        self, fleet, entry
    ):
        response = await self.call_with_failure(
            fleet, entry, "ask", lambda: self.fail_servers(fleet), stream=100
        )
        self.assertThat((response.status, response.complete), Equals((200, False)))

    @run_with("with_fleet", stop_s=STOP_S)
    async def test_request_is_not_repeated_without_the_time_to_end_it(
        self, fleet, entry
    ):
        for server in fleet.servers.values():
            server.faults = BackendServerFaults(mute=True)
        response = await self.call_with_failure(
            fleet, entry, "look", lambda: self.fail_servers(fleet)
        )
        self.assertThat(response.status, Equals(502))

    @run_with("with_fleet", stop_s=STOP_S)
    async def test_request_of_a_silent_server_is_not_moved_without_the_time_to_end_it(
        self, fleet, entry
    ):
        await self.configure(fleet, entry)
        for server in fleet.servers.values():
            server.faults = BackendServerFaults(mute=True)
        responses = []

        async def call():
            deadline_ms = str(LATE_MS)
            response = await fleet.call(
                entry, "look", x_foxtailcourse_deadline_ms=deadline_ms
            )
            responses.append(response.status)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await wait_until(lambda: self.runs(fleet))
            await self.begin_stop(entry)
        self.assertThat(responses, Equals([502]))
        self.assertThat(len(self.runs(fleet)), Equals(1))

    @run_with("with_fleet", stop_s=STOP_S)
    async def test_refused_request_is_not_sent_on_without_the_time_to_end_it(
        self, fleet, entry
    ):
        await self.configure(fleet, entry)
        refused, calls = trio.Event(), []

        async def refuse_first(server, exchange):
            calls.append(server.id)
            if len(calls) == 1:
                server.faults = BackendServerFaults(refuse=True)
                await refused.wait()
            await handle(server, exchange)

        handle = BackendServerStandin._handle_request
        self.patch(BackendServerStandin, "_handle_request", refuse_first)
        responses = []

        async def call():
            deadline_ms = str(LATE_MS)
            response = await fleet.call(
                entry, "return", body=b"a", x_foxtailcourse_deadline_ms=deadline_ms
            )
            responses.append(response.status)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await wait_until(lambda: entry.app._http_server.active)
            await self.begin_stop(entry)
            refused.set()
        self.assertThat(responses, Equals([503]))
        self.assertThat(self.runs(fleet), Equals([]))
