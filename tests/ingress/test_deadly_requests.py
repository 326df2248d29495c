from ingress_case import IngressCase, route
from testtools.matchers import Equals

from cluster import wait_until
from foxtailcourse.standin._backend_server import (
    BackendServerFaults,
    BackendServerStandin,
)
from support import run_with

DEADLY = ("/look/deadly", "/return/deadly")
# Bound of the platform: so many further runs of a request under which so many servers
# have crashed.
CRASHES, MAX_FURTHER_RUNS = 3, 3


class TestDeadlyRequests(IngressCase):
    """Guards servers against a request that crashes each of them."""

    async def start_entries(self, fleet, entry, count=2):
        """Start further entries, let servers crash, and return all entries."""
        for server in fleet.servers.values():
            server.deadly_targets = DEADLY
        entries = [entry]
        for number in range(2, count + 1):
            entries.append(await fleet.start_entry(f"e{number}"))
        for each in entries:
            await wait_until(lambda e=each: len(e.app.status()["servers"]) == 4)
            await wait_until(lambda e=each: len(e.app.status()["entries"]) == count)
            await wait_until(lambda e=each: e.app.readiness().ready)
        return entries

    async def send_deadly(self, fleet, entry, name="look"):
        """Send the deadly request while servers run, and return its response."""
        await wait_until(lambda: not any(e.down for e in fleet.servers.values()))
        await wait_until(lambda: len(entry.app.status()["servers"]) == 4)
        return await fleet.call(entry, name, target="deadly")

    def deadly_runs(self, fleet):
        return [run for run in self.runs(fleet) if run.target in DEADLY]

    @run_with("with_fleet")
    async def test_request_that_crashes_servers_is_not_sent_on(self, fleet, entry):
        entries = await self.start_entries(fleet, entry)
        for number in range(8):
            await self.send_deadly(fleet, entries[number % 2])
        self.assertLessEqual(len(self.deadly_runs(fleet)), CRASHES)
        response = await self.send_deadly(fleet, entry)
        self.assertThat(response.status, Equals(503))
        self.assertThat(response.body, Equals(b"blocked_request"))
        self.assertGreater(float(response.headers["retry-after"]), 1.0)

    @run_with("with_fleet")
    async def test_request_of_a_route_with_several_services_counts_once(
        self, fleet, entry
    ):
        for name in ("d1", "d2"):
            await fleet.add_server(BackendServerStandin(name, "coats2"))
        split = [{"service": name, "weight": 1} for name in ("coats", "coats2")]
        fleet.configure(version=2, routes=[route("look", trafficSplit=split)])
        await wait_until(
            lambda: entry.events("configuration_applied")[-1]["version"] == "2"
        )
        for server in fleet.servers.values():
            server.deadly_targets = DEADLY
        for _ in range(12):
            await wait_until(lambda: len(entry.app.status()["servers"]) == 6)
            await fleet.call(entry, "look", target="deadly")
        self.assertLessEqual(len(self.deadly_runs(fleet)), CRASHES)

    @run_with("with_fleet")
    async def test_caller_that_repeats_at_once_crashes_no_further_server(
        self, fleet, entry
    ):
        first, second = await self.start_entries(fleet, entry)
        self.assertThat((await self.send_deadly(fleet, first)).status, Equals(502))
        response = await fleet.call(second, "look", target="deadly")
        self.assertThat(response.status, Equals(503))
        self.assertThat(len(self.deadly_runs(fleet)), Equals(2))

    @run_with("with_fleet")
    async def test_other_requests_of_the_caller_and_the_path_are_served(
        self, fleet, entry
    ):
        entries = await self.start_entries(fleet, entry)
        for number in range(4):
            await self.send_deadly(fleet, entries[number % 2])
        await wait_until(lambda: not any(e.down for e in fleet.servers.values()))
        for server in fleet.servers.values():
            server.deadly_targets = ()
        for each in entries:
            for options in (
                {},
                {"target": "deadly", "body": b"other"},
                {"target": "deadly", "key": "key-w"},
            ):
                response = await fleet.call(each, "look", **options)
                self.assertThat(response.status, Equals(200), options)

    @run_with("with_fleet")
    async def test_request_whose_responses_are_lost_once_is_served(self, fleet, entry):
        for name in ("c1", "c2"):
            fleet.servers[name].faults = BackendServerFaults(lose_answer=True)
        await fleet.call(entry, "return", body=b"a")
        for name in ("c1", "c2"):
            fleet.servers[name].faults = BackendServerFaults()
        response = await fleet.call(entry, "return", body=b"a")
        self.assertThat(response.status, Equals(200))

    @run_with("with_fleet")
    async def test_crash_is_counted_by_an_entry_that_starts_later(self, fleet, entry):
        await self.start_entries(fleet, entry, count=1)
        await self.send_deadly(fleet, entry, "return")
        await wait_until(lambda: entry.events("crash_recorded"))
        # No other entry is left to tell of the crash.
        entry.scope.cancel()
        await entry.ended.wait()
        second = await fleet.start_entry("e2")
        await wait_until(lambda: second.app.readiness().ready)
        await self.send_deadly(fleet, second, "return")
        response = await self.send_deadly(fleet, second, "return")
        self.assertThat(response.status, Equals(503))
        self.assertThat(len(self.deadly_runs(fleet)), Equals(2))
