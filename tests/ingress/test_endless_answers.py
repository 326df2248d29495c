import tracemalloc

import trio
from ingress_case import ROUTES, IngressCase, route
from testtools.matchers import Equals

from cluster import wait_until
from endless_server import EndlessServer
from foxtailcourse.standin._backend_server import BackendServerStandin
from support import run_with

OK = b"HTTP/1.1 200 OK\r\n"
SIGNED = OK + b"x-foxtailcourse-response-signature: a\r\n"
UNFRAMED = b"connection: close\r\n\r\n"
STREAM = SIGNED + b"content-type: text/event-stream\r\n" + UNFRAMED
# What the operating system buffers on both sides of a connection.
SOCKET_BUFFERS_BYTES = 8 * 1024 * 1024
MEMORY_BYTES = 24 * 1024 * 1024


class TestEndlessAnswers(IngressCase):
    """Guards an entry against servers whose answers never end."""

    async def add_endless_server(self, fleet, entry, server, service, models=()):
        """Register a server that answers as told, as the only one of its service."""
        for name, each in list(fleet.servers.items()):
            if each.service == service:
                fleet.remove(each)
                await wait_until(
                    lambda name=name: name not in entry.app.status()["servers"]
                )
        registered = BackendServerStandin("x1", service, dict(models))
        fleet.addresses["x1"] = await server.start(fleet._nursery)
        fleet.register(registered)
        await wait_until(lambda: "x1" in entry.app.status()["servers"])

    async def check_cut(self, fleet, entry, server, name, **options):
        """Send requests to the server; each ends, and its connection is closed."""
        tracemalloc.start()
        try:
            with trio.fail_after(10.0):
                response = await fleet.call(entry, name, **options)
                await server.closed.wait()
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertTrue(peak < MEMORY_BYTES, peak)
        self.assertTrue(
            max(server.sent_bytes) < SOCKET_BUFFERS_BYTES, server.sent_bytes
        )
        return response

    @run_with("with_fleet")
    async def test_answer_that_is_none_fails_at_once(self, fleet, entry):
        server = EndlessServer(OK + UNFRAMED, b"x" * 65_536)
        await self.add_endless_server(fleet, entry, server, "coats")
        response = await self.check_cut(fleet, entry, server, "return", body=b"x")
        self.assertThat(response.status, Equals(502))
        self.assertThat(response.body, Equals(b"spoiled_answer"))
        self.assertTrue(max(server.sent_bytes) < 4 * 1024 * 1024, server.sent_bytes)

    @run_with("with_fleet")
    async def test_signed_body_without_end_fails(self, fleet, entry):
        server = EndlessServer(SIGNED + UNFRAMED, b"x" * 65_536)
        await self.add_endless_server(fleet, entry, server, "coats")
        response = await self.check_cut(fleet, entry, server, "return", body=b"x")
        self.assertThat(response.status, Equals(502))
        self.assertThat(response.body, Equals(b"too_large"))

    @run_with("with_fleet")
    async def test_event_without_end_fails(self, fleet, entry):
        server = EndlessServer(STREAM, b"data: " + b"x" * 65_536)
        await self.add_endless_server(fleet, entry, server, "llm", {"guide": 1}.items())
        response = await self.check_cut(fleet, entry, server, "ask", stream=3)
        self.assertThat(response.status, Equals(502))

    @run_with("with_fleet")
    async def test_events_without_end_are_cut(self, fleet, entry):
        server = EndlessServer(STREAM, b": " + b"x" * 32_768 + b"\n\n")
        await self.add_endless_server(fleet, entry, server, "llm", {"guide": 1}.items())
        response = await self.check_cut(fleet, entry, server, "ask", stream=3)
        self.assertFalse(response.complete)
        (failed,) = entry.events("attempt_failed")
        self.assertThat(failed["reason"], Equals("too_large"))

    @run_with("with_fleet")
    async def test_stream_that_stalls_a_byte_at_a_time_is_resumed_elsewhere(
        self, fleet, entry
    ):
        slow = route(
            "slow", "streaming", service="llm", resumable=True, timeoutMs=20_000
        )
        fleet.configure(version=2, routes=(*ROUTES, slow))
        server = EndlessServer(STREAM + b"id: 1\ndata: a\n\n", b":", pause_s=0.05)
        await self.add_endless_server(fleet, entry, server, "llm", {"guide": 1}.items())
        sound = BackendServerStandin("m9", "llm", {"guide": 1})
        results = []

        async def call():
            results.append(
                await fleet.call(
                    entry, "slow", stream=3, x_foxtailcourse_deadline_ms="9000"
                )
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await wait_until(lambda: server.sent_bytes)
            await fleet.add_server(sound)
        (response,) = results
        self.assertTrue(response.complete)
        self.assertThat(len(sound.runs), Equals(1))
