import math
from contextlib import asynccontextmanager

import testtools
import trio
from ingress_case import MODEL, IngressCase
from testtools.matchers import Equals

from cluster import wait_until
from endless_server import EndlessServer
from foxtailcourse.http import ClientResponse, _exchange
from foxtailcourse.ingress._server_limits import ServerLimits
from foxtailcourse.ingress._server_loads import ServerLoad
from foxtailcourse.ingress._watchdog import AttemptWatchdog, WatchedAttempt
from foxtailcourse.standin._backend_server import (
    BackendServerFaults,
    BackendServerStandin,
)
from support import make_supervisor, run_with

# Longer than an entry waits for a silent server before it looks for another one.
SILENCE_S = 1.0
ANSWER_HEAD = (
    b"HTTP/1.1 200 OK\r\nx-foxtailcourse-response-signature: a\r\n"
    b"content-length: 40\r\n\r\n"
)


class TestSuspendedEntry(testtools.TestCase):
    """Guards attempts in progress while their entry does not run."""

    def test_attempts_are_not_given_up_when_their_entry_wakes(self):
        given_up = []

        def give_up():
            given_up.append(True)
            return None

        watchdog = AttemptWatchdog(lambda: 0.0, make_supervisor())
        watchdog.add(WatchedAttempt(ServerLoad(), 0.6, 0.0, give_up))
        watchdog.check(0.1)
        watchdog.check(5.0)
        self.assertThat(given_up, Equals([]))
        for tenths in range(51, 60):
            watchdog.check(tenths / 10)
        self.assertTrue(given_up)

    def test_attempt_is_not_given_up_if_its_entry_was_suspended_while_connecting(self):
        class Connected:
            is_connected, released = True, False

            async def connect(self):
                pass

            def release(self, reason):
                self.released = True

        async def move(watched, clock):
            await watched.move(clock)
            return watched.scope.cancel_called

        for connected_at, is_given_up in ((0.75, True), (5.0, False)):
            other = Connected()
            watched = WatchedAttempt(ServerLoad(), 0.6, 0.0, replacement=other)
            times = iter([0.7, connected_at])
            cancelled = trio.run(move, watched, times.__next__)
            self.assertThat(cancelled, Equals(is_given_up))
            self.assertThat(other.released, Equals(not is_given_up))


class TestSuspension(testtools.TestCase):
    """Guards new requests against servers at which others wait."""

    def test_silent_server_is_suspended_although_its_requests_stay(self):
        load = ServerLoad()
        watchdog = AttemptWatchdog(lambda: 0.0, make_supervisor())
        for _ in range(3):
            watchdog.add(WatchedAttempt(load, 0.6, 0.0))
        for tenths in range(1, 100):
            watchdog.check(tenths / 10)
            is_suspended = load.suspended_until > (tenths + 1) / 10
            self.assertThat(is_suspended, Equals(tenths >= 6), tenths)


class TestSilentServers(IngressCase):
    """Guards requests at servers that fall silent for a while and then go on."""

    async def add_slow_servers(self, fleet, entry, service, models, count=1):
        """Replace the servers of a service by ones that pause before each event."""
        for server in [e for e in fleet.servers.values() if e.service == service]:
            fleet.remove(server)
        names = {f"slow{number}" for number in range(count)}
        for name in names:
            server = BackendServerStandin(name, service, models, event_s=SILENCE_S)
            await fleet.add_server(server)

        def known():
            servers = entry.app._view.servers.values()
            return {e.id for e in servers if e.service == service}

        await wait_until(lambda: known() == names)

    async def add_other_server(self, fleet, entry):
        """Add a server once the slow one has a request; return its registration."""
        await wait_until(lambda: fleet.servers["slow0"].runs)
        await fleet.add_server(BackendServerStandin("other", "coats"))
        await wait_until(lambda: "other" in entry.app._view.servers)
        return entry.app._view.servers["other"]

    async def add_unreachable(self, fleet, entry, service, models):
        await wait_until(lambda: fleet.servers["slow0"].runs)
        # The discard port on loopback refuses connections.
        other = BackendServerStandin("other", service, models)
        registration = other.registration("127.0.0.1:9", "palermo")
        fleet.platform.put("servers/other", registration)

    @asynccontextmanager
    async def four_answers(self, fleet, entry):
        """Check that four requests are answered."""
        responses = []

        async def call():
            responses.append((await fleet.call(entry, "look")).status)

        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(call)
            yield
        self.assertThat(responses, Equals([200] * 4))
        in_flight = [each.in_flight for each in entry.app._loads._loads.values()]
        self.assertThat(sum(in_flight), Equals(0))

    async def check_stream_goes_on(self, fleet, entry, reason):
        response = await fleet.call(entry, "ask", stream=2)
        self.assertThat(response.status, Equals(200))
        self.assertTrue(response.complete)
        self.assertThat(entry.events("attempt_failed"), Equals([]))
        (kept,) = entry.events("silent_server_kept")
        (done,) = entry.events("silent_server_done")
        self.assertThat(
            (kept["reason"], done["reason"], done["outcome"]),
            Equals((reason, reason, "answered")),
        )

    @run_with("with_fleet")
    async def test_stream_of_the_only_server_is_not_cut_while_it_is_silent(
        self, fleet, entry
    ):
        await self.add_slow_servers(fleet, entry, "llm", {MODEL: 1})
        await self.check_stream_goes_on(fleet, entry, "all_tried")

    @run_with("with_fleet", retry_ratio=0.0, retry_extra=0.0)
    async def test_stream_is_not_cut_without_retry_budget(self, fleet, entry):
        await self.add_slow_servers(fleet, entry, "llm", {MODEL: 1}, count=2)
        await self.check_stream_goes_on(fleet, entry, "budget")

    @run_with("with_fleet")
    async def test_stream_is_not_cut_while_others_have_other_weights(
        self, fleet, entry
    ):
        await self.add_slow_servers(fleet, entry, "llm", {MODEL: 1})
        slow, known = fleet.servers["slow0"], entry.app._view.servers
        slow.event_s = 0.01

        async def fall_silent():
            await wait_until(lambda: slow.runs and slow.runs[0].events)
            slow.event_s = SILENCE_S
            await fleet.add_server(BackendServerStandin("new", "llm", {MODEL: 2}))
            await wait_until(lambda: "new" in known)

        fleet._nursery.start_soon(fall_silent)
        response = await fleet.call(entry, "ask", stream=3)
        self.assertTrue(response.complete)

    @run_with("with_fleet")
    async def test_answer_of_the_only_server_is_awaited_while_it_is_silent(
        self, fleet, entry
    ):
        await self.add_slow_servers(fleet, entry, "coats", {})
        response = await fleet.call(entry, "look")
        self.assertThat(response.status, Equals(200))

    @run_with("with_fleet")
    async def test_request_of_a_silent_server_moves_to_another_one(self, fleet, entry):
        await self.add_slow_servers(fleet, entry, "coats", {})
        fleet.servers["slow0"].event_s = math.inf

        async def add_other():
            await wait_until(lambda: fleet.servers["slow0"].runs)
            await fleet.add_server(BackendServerStandin("c9", "coats"))

        fleet._nursery.start_soon(add_other)
        response = await fleet.call(entry, "look")
        self.assertThat(response.status, Equals(200))
        (failed,) = entry.events("attempt_failed")
        self.assertThat(failed["reason"], Equals("silent"))

    @run_with("with_fleet")
    async def test_request_stays_while_the_other_server_is_unreachable(
        self, fleet, entry
    ):
        await self.add_slow_servers(fleet, entry, "coats", {})
        fleet._nursery.start_soon(self.add_unreachable, fleet, entry, "coats", {})
        response = await fleet.call(entry, "look")
        self.assertThat(response.status, Equals(200))
        self.assertThat(len(self.runs(fleet)), Equals(1))
        (kept,) = entry.events("silent_server_kept")
        self.assertThat(kept["reason"], Equals("unreachable"))

    @run_with("with_fleet")
    async def test_begun_stream_stays_while_the_other_server_is_unreachable(
        self, fleet, entry
    ):
        await self.add_slow_servers(fleet, entry, "llm", {MODEL: 1})
        slow = fleet.servers["slow0"]
        slow.event_s = 0.01

        async def fall_silent():
            await wait_until(lambda: slow.runs and slow.runs[0].events)
            slow.event_s = SILENCE_S
            await self.add_unreachable(fleet, entry, "llm", {MODEL: 1})

        fleet._nursery.start_soon(fall_silent)
        response = await fleet.call(entry, "ask", stream=4)
        self.assertTrue(response.complete)
        self.assertThat(entry.events("attempt_failed"), Equals([]))

    @run_with("with_fleet")
    async def test_request_does_not_move_to_a_suspended_server(self, fleet, entry):
        await self.add_slow_servers(fleet, entry, "coats", {})

        async def suspend():
            other = await self.add_other_server(fleet, entry)
            load = entry.app._loads.for_server(other.id, other.started_ms)
            for _ in range(4):
                load.record_unreachable(entry.app._dispatcher.clock())

        fleet._nursery.start_soon(suspend)
        response = await fleet.call(entry, "look")
        self.assertThat(response.status, Equals(200))
        self.assertThat(fleet.servers["other"].runs, Equals([]))

    @run_with("with_fleet", retry_ratio=1.5, retry_extra=0.0)
    async def test_last_retry_is_not_used_while_a_server_is_silent(self, fleet, entry):
        await self.add_slow_servers(fleet, entry, "coats", {})
        fleet._nursery.start_soon(self.add_other_server, fleet, entry)
        response = await fleet.call(entry, "look")
        self.assertThat(response.status, Equals(200))
        self.assertThat(fleet.servers["other"].runs, Equals([]))

    @run_with("with_fleet")
    async def test_requests_move_within_the_limit_that_the_other_server_names(
        self, fleet, entry
    ):
        await self.add_slow_servers(fleet, entry, "coats", {})
        self.patch(ServerLimits, "_share_per_s", lambda limits, run, per_s, now: 0.1)
        async with self.four_answers(fleet, entry):
            other = await self.add_other_server(fleet, entry)
            limits, now = entry.app._limits, entry.app._dispatcher.clock()
            limits.record_limit(other.run, 2.0, now)
            limits._refilled_share(other.run, now).tokens = 1.0

    @run_with("with_fleet")
    async def test_silent_servers_do_not_exchange_their_requests(self, fleet, entry):
        await self.add_slow_servers(fleet, entry, "coats", {}, count=2)
        async with self.four_answers(fleet, entry):
            pass
        self.assertThat(len(self.runs(fleet)), Equals(4))

    @run_with("with_fleet")
    async def test_request_stays_while_the_other_server_refuses(self, fleet, entry):
        await self.add_slow_servers(fleet, entry, "coats", {})

        async def add_full():
            await self.add_other_server(fleet, entry)
            fleet.servers["other"].faults = BackendServerFaults(refuse=True)

        fleet._nursery.start_soon(add_full)
        response = await fleet.call(entry, "look")
        self.assertThat(response.status, Equals(200))

    @run_with("with_fleet")
    async def test_answer_whose_body_arrives_slowly_is_not_given_up(self, fleet, entry):
        await self.add_slow_servers(fleet, entry, "coats", {})
        slow = EndlessServer(ANSWER_HEAD, b"part", pause_s=0.1)
        fleet.addresses["slow0"] = await slow.start(fleet._nursery)
        fleet.register(fleet.servers["slow0"])
        known = entry.app._view.servers
        await wait_until(lambda: known["slow0"].address == fleet.addresses["slow0"])

        async def add_other():
            await wait_until(lambda: slow.sent_bytes)
            await fleet.add_server(BackendServerStandin("other", "coats"))

        fleet._nursery.start_soon(add_other)
        response = await fleet.call(entry, "look")
        self.assertThat(response.body, Equals(b"part" * 10))
        self.assertThat(entry.events("attempt_failed"), Equals([]))


class TestLateBytes(IngressCase):
    """Guards bytes that arrive in the moment in which their attempt is given up."""

    def give_up_at_first_bytes(self, entry):
        """Cancel the attempts in the pass of the event loop that reads an answer."""
        iter_chunks = ClientResponse.iter_chunks
        watched = entry.app._dispatcher.attempts.watchdog._watched
        given_up = []

        async def iter_late_chunks(response):
            async for chunk in iter_chunks(response):
                if "x-foxtailcourse-response-signature" in response.headers:
                    for each in [] if given_up else watched:
                        given_up.append(each)
                        each.scope.cancel()
                yield chunk

        self.patch(ClientResponse, "iter_chunks", iter_late_chunks)
        return given_up

    @run_with("with_fleet")
    async def test_complete_answer_is_kept(self, fleet, entry):
        given_up = self.give_up_at_first_bytes(entry)
        response = await fleet.call(entry, "look")
        self.assertThat(response.status, Equals(200))
        self.assertThat((len(given_up), len(self.runs(fleet))), Equals((1, 1)))

    @run_with("with_fleet")
    async def test_stream_is_not_cut_within_a_chunk(self, fleet, entry):
        send = _exchange.send_without_blocking

        def send_a_part(stream, data):
            return send(stream, data[:10])

        self.patch(_exchange, "send_without_blocking", send_a_part)
        given_up = self.give_up_at_first_bytes(entry)
        response = await fleet.call(entry, "ask", stream=3)
        self.assertTrue(response.complete)
        self.assertThat(response.body.count(b"\n\n"), Equals(3))
        self.assertThat(len(given_up), Equals(1))


class TestResumedPrompts(IngressCase):
    """Guards begun streams of long prompts against admission control."""

    @run_with("with_fleet")
    async def test_begun_stream_is_resumed_although_new_prompts_are_deferred(
        self, fleet, entry
    ):
        for name in ("m1", "m2"):
            fleet.servers[name].event_s = 0.05
            fleet.servers[name].faults = BackendServerFaults(cut_after_events=2)

        async def overload():
            await wait_until(lambda: any(run.events for run in self.runs(fleet)))
            for server in entry.app._view.servers.values():
                load = entry.app._loads.for_server(server.id, server.started_ms)
                load.prefill_tokens += 10_000_000

        fleet._nursery.start_soon(overload)
        response = await fleet.call(
            entry,
            "ask",
            stream=4,
            parts="aa:9000,bb:900",
            x_foxtailcourse_token_counts="9900,4",
        )
        self.assertTrue(response.complete)
