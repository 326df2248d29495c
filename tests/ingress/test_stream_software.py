import re

import trio
from ingress_case import MODEL, ROUTES, IngressCase, route
from testtools.matchers import Equals

from cluster import wait_until
from foxtailcourse.standin._backend_server import (
    BackendServerFaults,
    BackendServerStandin,
)
from support import run_with

EVENT = re.compile(rb"^data: (?P<id>\w+) token \d+ (?P<version>\S+)$", re.MULTILINE)
SOFTWARE = {"m1": "v1", "m2": "v1", "m3": "v2", "m4": "v2"}
# Each server cuts a stream after this number of events.
CUT_AFTER = 3
STREAMS = 12


def versions(*responses):
    """Return the software versions of the events in the responses."""
    return {
        found["version"].decode()
        for response in responses
        for found in EVENT.finditer(response.body)
    }


def event_count(*responses):
    return sum(len(EVENT.findall(response.body)) for response in responses)


async def update_software(fleet, entries, software):
    """Give servers their software versions, and wait until the entries know them."""
    for name, version in software.items():
        if name in fleet.servers:
            fleet.servers[name].software_version = version
            fleet.register(fleet.servers[name])
        else:
            server = BackendServerStandin(
                name, "llm", {MODEL: 1}, software_version=version
            )
            await fleet.add_server(server)
    for entry in entries:
        servers = entry.app._view.servers
        await wait_until(
            lambda servers=servers: (
                software.items()
                <= {k: v.software_version for k, v in servers.items()}.items()
            )
        )


async def join_entry(fleet, entry, vm="e2"):
    """Start another entry, and wait until both know each other."""
    other = await fleet.start_entry(vm)
    await wait_until(lambda: other.app.readiness().ready)
    for each in (entry, other):
        await wait_until(lambda each=each: len(each.app._view.entries) >= 2)
    return other


def cut_streams(fleet):
    for server in fleet.servers.values():
        server.faults = BackendServerFaults(cut_after_events=CUT_AFTER)


async def configure_single_attempts(fleet, *entries):
    """Add a route whose broken streams can only be resumed by their callers."""
    once = route("once", "streaming", service="llm", resumable=True, attempts=1)
    fleet.configure(version=2, routes=(*ROUTES, once))
    revision = fleet.platform.revision
    for entry in entries:
        await wait_until(
            lambda entry=entry: entry.app.status()["configuration_revision"] == revision
        )


async def mix_software(fleet, entry):
    """Start another entry; servers of two versions cut the streams of ``once``."""
    other = await join_entry(fleet, entry)
    await configure_single_attempts(fleet, entry, other)
    await update_software(fleet, [entry, other], SOFTWARE)
    cut_streams(fleet)
    return other


async def resume(fleet, entry, name, broken, events):
    """Take a broken stream up as its caller does; ``events`` is its whole length."""
    return await fleet.call(
        entry,
        name,
        stream=events,
        last_event_id=str(event_count(broken)),
        resumes=EVENT.search(broken.body)["id"].decode(),
    )


class TestStreamSoftware(IngressCase):
    """Guards streams against events of several software versions.

    What two versions generate does not fit together, and servers do not check it.
    """

    def check_whole(self, broken, rest, events):
        """Check that two responses are one stream of one software version."""
        self.assertThat((rest.status, rest.complete), Equals((200, True)))
        self.assertThat(event_count(broken, rest), Equals(events))
        self.assertThat(len(versions(broken, rest)), Equals(1))

    @run_with("with_fleet")
    async def test_stream_resumed_within_a_response_stays_at_its_version(
        self, fleet, entry
    ):
        await update_software(fleet, [entry], SOFTWARE)
        cut_streams(fleet)
        for _ in range(STREAMS):
            response = await fleet.call(entry, "ask", stream=2 * CUT_AFTER)
            self.assertThat(len(versions(response)), Equals(1))
            self.assertTrue(response.complete)

    @run_with("with_fleet")
    async def test_stream_whose_version_has_no_other_server_does_not_look_complete(
        self, fleet, entry
    ):
        await update_software(fleet, [entry], {"m1": "v1", "m2": "v2"})
        cut_streams(fleet)
        response = await fleet.call(entry, "ask", stream=2 * CUT_AFTER)
        self.assertFalse(response.complete)
        self.assertThat(event_count(response), Equals(CUT_AFTER))
        self.assertThat(len(self.runs(fleet)), Equals(1))

    @run_with("with_fleet")
    async def test_stream_taken_up_at_another_entry_goes_on_at_its_version(
        self, fleet, entry
    ):
        other = await mix_software(fleet, entry)
        for _ in range(STREAMS):
            broken = await fleet.call(entry, "once", stream=2 * CUT_AFTER)
            self.assertThat(event_count(broken), Equals(CUT_AFTER))
            rest = await resume(fleet, other, "once", broken, 2 * CUT_AFTER)
            self.check_whole(broken, rest, 2 * CUT_AFTER)

    @run_with("with_fleet")
    async def test_stream_taken_up_twice_goes_on_at_the_version_that_began_it(
        self, fleet, entry
    ):
        other = await mix_software(fleet, entry)
        for _ in range(STREAMS):
            broken = await fleet.call(entry, "once", stream=3 * CUT_AFTER)
            second = await resume(fleet, other, "once", broken, 3 * CUT_AFTER)
            self.assertThat(event_count(second), Equals(CUT_AFTER))
            rest = await fleet.call(
                entry,
                "once",
                stream=3 * CUT_AFTER,
                last_event_id=str(2 * CUT_AFTER),
                resumes=EVENT.search(broken.body)["id"].decode(),
            )
            self.assertThat(len(versions(broken, second, rest)), Equals(1))
            self.assertTrue(rest.complete)

    @run_with("with_fleet")
    async def test_stream_of_a_killed_entry_goes_on_at_its_version(self, fleet, entry):
        other = await join_entry(fleet, entry)
        await update_software(fleet, [entry, other], SOFTWARE)
        for server in fleet.servers.values():
            server.event_s = 0.02
        events, responses = 40, []

        async def stream():
            responses.append(await fleet.call(entry, "ask", stream=events))

        async with trio.open_nursery() as nursery:
            for _ in range(STREAMS):
                nursery.start_soon(stream)
            await wait_until(
                lambda: sum(run.events > 2 for run in self.runs(fleet)) == STREAMS
            )
            entry.scope.cancel()
        self.assertThat(len(responses), Equals(STREAMS))
        for broken in responses:
            self.assertFalse(broken.complete)
            rest = await resume(fleet, other, "ask", broken, events)
            self.check_whole(broken, rest, events)

    @run_with("with_fleet")
    async def test_stream_of_unknown_origin_is_refused_and_not_run_in_a_mixed_fleet(
        self, fleet, entry
    ):
        other = await join_entry(fleet, entry)
        await update_software(fleet, [entry, other], SOFTWARE)
        for fields in ({"resumes": "lost"}, {}):
            response = await fleet.call(
                other, "ask", stream=6, last_event_id="3", **fields
            )
            self.assertThat(response.status, Equals(503))
            self.assertThat(response.body, Equals(b"unknown_stream"))
            self.assertTrue(float(response.headers["retry-after"]) > 0)
        self.assertThat(self.runs(fleet), Equals([]))

    @run_with("with_fleet")
    async def test_stream_of_unknown_origin_goes_on_at_the_only_version(
        self, fleet, entry
    ):
        async def take_up():
            return await fleet.call(
                entry, "ask", stream=6, last_event_id="3", resumes="lost"
            )

        # Another version may have served until shortly before this entry started.
        self.assertThat((await take_up()).status, Equals(503))
        self.assertThat(self.runs(fleet), Equals([]))
        entry.app._handler.resumption.history._lifetime_s = 0.2
        await trio.sleep(0.3)
        response = await take_up()
        self.assertThat((response.status, event_count(response)), Equals((200, 3)))
        sources = [e.get("source") for e in entry.events("stream_origin_found")]
        self.assertThat(sources, Equals(["only_version"]))

    @run_with("with_fleet")
    async def test_request_of_a_route_that_is_not_resumable_is_forwarded(
        self, fleet, entry
    ):
        await update_software(fleet, [entry], SOFTWARE)
        response = await fleet.call(
            entry, "brief", stream=6, last_event_id="3", resumes="lost"
        )
        self.assertThat(response.status, Equals(200))
        self.assertThat(entry.events("stream_origin_unknown"), Equals([]))

    @run_with("with_fleet")
    async def test_stream_is_refused_and_not_run_while_its_version_has_no_server(
        self, fleet, entry
    ):
        await configure_single_attempts(fleet, entry)
        cut_streams(fleet)
        broken = await fleet.call(entry, "once", stream=6)
        await update_software(fleet, [entry], {"m1": "v2", "m2": "v2"})
        response = await resume(fleet, entry, "once", broken, 6)
        self.assertThat(response.status, Equals(503))
        self.assertThat(response.body, Equals(b"other_software"))
        self.assertThat(len(self.runs(fleet)), Equals(1))

    @run_with("with_fleet")
    async def test_stream_goes_on_at_another_entry_in_a_fleet_of_one_version(
        self, fleet, entry
    ):
        other = await join_entry(fleet, entry)
        await configure_single_attempts(fleet, entry, other)
        cut_streams(fleet)
        broken = await fleet.call(entry, "once", stream=2 * CUT_AFTER)
        rest = await resume(fleet, other, "once", broken, 2 * CUT_AFTER)
        self.check_whole(broken, rest, 2 * CUT_AFTER)
