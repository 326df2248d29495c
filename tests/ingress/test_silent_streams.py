import trio
from ingress_case import IngressCase
from testtools.matchers import Equals

from cluster import wait_until
from endless_server import EndlessServer
from foxtailcourse.standin._backend_server import BackendServerStandin
from support import run_with

STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nx-foxtailcourse-response-signature: a\r\n"
    b"content-type: text/event-stream\r\nconnection: close\r\n\r\n"
)


class TestSilentStreams(IngressCase):
    """Guards streams whose server falls silent after the first event."""

    @run_with("with_fleet")
    async def test_silent_stream_counts_as_one_attempt_and_is_resumed(
        self, fleet, entry
    ):
        for name in ("m1", "m2"):
            fleet.remove(fleet.servers[name])
        silent = EndlessServer(STREAM_HEAD + b"id: 1\ndata: a\n\n", b"", pause_s=60.0)
        fleet.addresses["x1"] = await silent.start(fleet._nursery)
        fleet.register(BackendServerStandin("x1", "llm", {"guide": 1}))
        known = entry.app._view.servers
        await wait_until(lambda: known.keys() == {"c1", "c2", "x1"})
        responses = []

        async def call():
            responses.append(await fleet.call(entry, "ask", stream=3))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await wait_until(lambda: silent.sent_bytes)
            await fleet.add_server(BackendServerStandin("m9", "llm", {"guide": 1}))
        self.assertTrue(responses[0].complete)
        (failed,) = entry.events("attempt_failed")
        self.assertThat(failed["attempt"], Equals("1"))
