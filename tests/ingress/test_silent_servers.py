import math

import testtools
from ingress_case import MODEL, IngressCase
from testtools.matchers import Equals

from cluster import wait_until
from foxtailcourse.ingress._server_loads import ServerLoad
from foxtailcourse.ingress._watchdog import AttemptWatchdog, WatchedAttempt
from foxtailcourse.standin._backend_server import (
    BackendServerFaults,
    BackendServerStandin,
)
from support import run_with

# Longer than an entry waits for a silent server before it looks for another one.
SILENCE_S = 1.0


class TestSuspendedEntry(testtools.TestCase):
    """Guards attempts in progress while their entry does not run."""

    def test_attempts_are_not_given_up_when_their_entry_wakes(self):
        given_up = []

        def give_up():
            given_up.append(True)
            return False

        watchdog = AttemptWatchdog(lambda: 0.0)
        watchdog.add(WatchedAttempt(ServerLoad(), 0.6, 0.0, give_up))
        watchdog.check(0.1)
        watchdog.check(5.0)
        self.assertThat(given_up, Equals([]))
        for tenths in range(51, 60):
            watchdog.check(tenths / 10)
        self.assertTrue(given_up)


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

    async def check_stream_goes_on(self, fleet, entry):
        response = await fleet.call(entry, "ask", stream=2)
        self.assertTrue(response.complete)
        self.assertThat(entry.events("attempt_failed"), Equals([]))

    @run_with("with_fleet")
    async def test_stream_of_the_only_server_is_not_cut_while_it_is_silent(
        self, fleet, entry
    ):
        await self.add_slow_servers(fleet, entry, "llm", {MODEL: 1})
        await self.check_stream_goes_on(fleet, entry)

    @run_with("with_fleet", retry_ratio=0.0, retry_extra=0.0)
    async def test_stream_is_not_cut_without_retry_budget(self, fleet, entry):
        await self.add_slow_servers(fleet, entry, "llm", {MODEL: 1}, count=2)
        await self.check_stream_goes_on(fleet, entry)

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
