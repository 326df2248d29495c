from ingress_case import IngressCase
from testtools.matchers import Contains, Equals

from cluster import wait_until
from foxtailcourse.standin._backend_server import (
    BackendServerFaults,
    BackendServerStandin,
    stream_event,
)
from raw_server import serve_bytes
from support import run_with


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
    async def test_answer_that_ends_too_early_is_sent_to_another_server(
        self, fleet, entry
    ):
        fleet.remove(fleet.servers["c2"])
        head = b"HTTP/1.1 200 OK\r\nx-foxtailcourse-response-signature: a\r\n"
        answer = head + b'content-type: application/json\r\n\r\n{"seats": 1'
        fleet.addresses["x1"] = await serve_bytes(fleet._nursery, answer)
        fleet.register(BackendServerStandin("x1", "coats"))
        await wait_until(lambda: "x1" in entry.app._view.servers)
        for _ in range(8):
            response = await fleet.call(entry, "look")
            self.assertThat(response.status, Equals(200))
            self.assertThat(response.body, Contains(b"/look/x?y=1"))
        self.assertTrue(entry.events("attempt_failed"))
