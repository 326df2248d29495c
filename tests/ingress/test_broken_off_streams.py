from ingress_case import MODEL, IngressCase
from testtools.matchers import Contains, Equals

from cluster import wait_until
from foxtailcourse.standin._backend_server import (
    BackendServerFaults,
    BackendServerStandin,
    stream_event,
)
from raw_server import serve_bytes
from support import run_with

HEAD = b"HTTP/1.1 200 OK\r\nx-foxtailcourse-response-signature: a\r\n"


class TestBrokenOffStreams(IngressCase):
    """Guards responses whose end is the end of their connection."""

    def break_off(self, fleet, *names):
        faults = BackendServerFaults(unframed=True, cut_after_events=2)
        for name in names:
            fleet.servers[name].faults = faults

    @run_with("with_fleet")
    async def test_stream_that_ends_inside_an_event_is_not_framed_as_complete(
        self, fleet, entry
    ):
        self.break_off(fleet, "m1", "m2")
        response = await fleet.call(entry, "brief", stream=4)
        self.assertFalse(response.complete)
        events = b"".join(stream_event("r1", number) for number in (1, 2))
        self.assertThat(response.body, Equals(events))

    @run_with("with_fleet")
    async def test_stream_that_ends_inside_an_event_goes_on_at_another_server(
        self, fleet, entry
    ):
        # Each server breaks off after two events.
        self.break_off(fleet, "m1", "m2")
        response = await fleet.call(entry, "ask", stream=4)
        self.assertTrue(response.complete)
        events = [stream_event("r1", number) for number in range(1, 5)]
        self.assertThat(response.body, Equals(b"".join(events)))

    @run_with("with_fleet")
    async def test_stream_that_ends_without_events_is_not_framed_as_complete(
        self, fleet, entry
    ):
        head = HEAD + b"content-type: text/event-stream\r\n\r\n"
        await self.replace_servers(fleet, entry, ("m1", "m2"), "llm", head)
        response = await fleet.call(entry, "brief", stream=2)
        self.assertThat((response.status, response.body), Equals((502, b"broken_off")))

    @run_with("with_fleet")
    async def test_answer_that_ends_too_early_is_sent_to_another_server(
        self, fleet, entry
    ):
        answer = HEAD + b'content-type: application/json\r\n\r\n{"seats": 1'
        await self.replace_servers(fleet, entry, ("c2",), "coats", answer)
        for _ in range(8):
            response = await fleet.call(entry, "look")
            self.assertThat(response.status, Equals(200))
            self.assertThat(response.body, Contains(b"/look/x?y=1"))
        self.assertTrue(entry.events("attempt_failed"))

    async def replace_servers(self, fleet, entry, names, service, response):
        """Replace servers by one that answers with given bytes and closes."""
        for name in names:
            fleet.remove(fleet.servers[name])
        fleet.addresses["x1"] = await serve_bytes(fleet._nursery, response)
        models = {MODEL: 1} if service == "llm" else {}
        fleet.register(BackendServerStandin("x1", service, models))
        known = entry.app._view.servers
        await wait_until(lambda: "x1" in known and known.keys().isdisjoint(names))
