import trio
from ingress_case import MODEL, IngressCase
from testtools.matchers import Equals

from cluster import wait_until
from foxtailcourse.crashes import request_parts
from foxtailcourse.ingress._part_records import record_key
from foxtailcourse.standin._backend_server import (
    BackendServerFaults,
    BackendServerStandin,
    part_names,
)
from support import run_with

# Bound of the platform: so many further requests with a part under which so many
# servers have crashed.
CRASHES, MAX_FURTHER_REQUESTS = 5, 3


class TestDeadlyParts(IngressCase):
    """Guards servers against a prompt part that crashes each of them."""

    def make_deadly(self, fleet, part):
        for name in ("m1", "m2"):
            fleet.servers[name].deadly_part = part

    async def start_second_entry(self, fleet, entries=2):
        second = await fleet.start_entry("e2")
        await wait_until(lambda: len(second.app.status()["servers"]) == 4)
        await wait_until(lambda: len(second.app.status()["entries"]) >= entries)
        return second

    def deadly_runs(self, fleet, part):
        return [run for run in self.runs(fleet) if part in part_names(run.headers)]

    @run_with("with_fleet")
    async def test_requests_with_a_part_that_crashes_servers_are_not_sent_on(
        self, fleet, entry
    ):
        entries = [entry, await self.start_second_entry(fleet)]
        self.make_deadly(fleet, "dd")
        for number in range(14):
            await fleet.call(
                entries[number % 2], "brief", stream=3, parts=f"a{number}:60,dd:9,x:5"
            )
            await trio.sleep(0.4)
        runs = self.deadly_runs(fleet, "dd")
        self.assertLessEqual(len(runs), CRASHES + MAX_FURTHER_REQUESTS)

    @run_with("with_fleet")
    async def test_sound_requests_with_the_other_parts_are_served(self, fleet, entry):
        entries = [entry, await self.start_second_entry(fleet)]
        self.make_deadly(fleet, "dd")
        for number in range(10):
            await fleet.call(
                entries[number % 2], "brief", stream=3, parts="aa:60,dd:9,x:5"
            )
            await fleet.call(
                entries[(number + 1) % 2], "brief", stream=3, parts="aa:60,bb:9,x:5"
            )
            await trio.sleep(0.4)
        for each in entries:
            response = await fleet.call(each, "brief", stream=3, parts="aa:60,bb:9,x:5")
            self.assertThat((response.status, response.complete), Equals((200, True)))
        self.assertLessEqual(
            len(self.deadly_runs(fleet, "dd")), CRASHES + MAX_FURTHER_REQUESTS
        )

    @run_with("with_fleet")
    async def test_requests_lost_with_a_deadly_one_do_not_go_on_beside_it(
        self, fleet, entry
    ):
        """Guards sound requests against a block for the next crash of a deadly one."""
        for name in ("m3", "m4"):
            await fleet.add_server(BackendServerStandin(name, "llm", {MODEL: 1}))
        await wait_until(lambda: len(entry.app.status()["servers"]) == 6)
        for server in fleet.servers.values():
            server.deadly_part, server.event_s = "dd", 0.1
        responses = {}

        async def call(part):
            responses[part] = await fleet.call(
                entry, "ask", stream=3, parts=f"aa:9000,{part}:9,x:5"
            )

        async with trio.open_nursery() as nursery:
            for part in ("dd", "bb", "cc"):
                nursery.start_soon(call, part)
        for part in ("bb", "cc"):
            response = responses[part]
            self.assertThat((response.status, response.complete), Equals((200, True)))
        first = [fleet.servers[n].runs for n in ("m1", "m2", "m3", "m4")]
        self.assertThat(max(map(len, first)), Equals(3))

    @run_with("with_fleet")
    async def test_streams_that_are_cut_later_block_nothing(self, fleet, entry):
        for name in ("m1", "m2"):
            faults = BackendServerFaults(cut_after_events=2)
            fleet.servers[name].faults = faults
        for _ in range(6):
            response = await fleet.call(entry, "brief", stream=3, parts="aa:9,x:5")
            self.assertThat(response.status, Equals(200))
            await trio.sleep(0.25)
        self.assertThat(entry.events("parts_blocked"), Equals([]))

    async def block(self, fleet, entry):
        """Let servers crash until the entry refuses requests with the part."""
        self.make_deadly(fleet, "dd")
        number = 0
        while not entry.events("parts_blocked"):
            number += 1
            parts = f"aa:60,dd:9,x{number}:5"
            await fleet.call(entry, "brief", stream=3, parts=parts)
            await trio.sleep(0.3)
        await wait_until(lambda: entry.events("parts_recorded"))
        await wait_until(lambda: not any(e.down for e in fleet.servers.values()))

    @run_with("with_fleet")
    async def test_entry_that_starts_later_refuses_the_part(self, fleet, entry):
        await self.block(fleet, entry)
        count = len(self.deadly_runs(fleet, "dd"))
        # No other entry is left to tell of the block.
        entry.scope.cancel()
        await entry.ended.wait()
        second = await self.start_second_entry(fleet, entries=1)
        await wait_until(lambda: second.app.readiness().ready)
        response = await fleet.call(second, "brief", stream=3, parts="aa:9,dd:9,x:5")
        self.assertThat(response.status, Equals(503))
        self.assertThat(response.body, Equals(b"blocked_parts"))
        self.assertGreater(float(response.headers["retry-after"]), 1.0)
        self.assertThat(len(self.deadly_runs(fleet, "dd")), Equals(count))

    @run_with("with_fleet")
    async def test_block_is_written_again_to_a_restored_store(self, fleet, entry):
        before = fleet.platform.revision
        await self.block(fleet, entry)
        fleet.platform.restore(before)
        fleet.configure()
        for server in fleet.servers.values():
            fleet.register(server)
        await wait_until(lambda: len(entry.events("parts_recorded")) > 1)
        key = record_key(request_parts("llm", ["aa", "dd", "x"]))
        self.assertIsNotNone(fleet.platform.get(key))
