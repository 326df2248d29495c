import contextlib
import random
from unittest import mock

import trio
from testtools.matchers import Contains, Equals

from cluster import UNUSED, cluster
from foxtailcourse.control import PeerClient, PeerError
from foxtailcourse.protocol import FollowRequest, Sender, SnapshotRequest
from support import AsyncTestCase, run_with


class TestPeerService(AsyncTestCase):
    """Guards against a call that hangs, or that stops the server for other calls."""

    def with_two_processes(self, check):
        async def main():
            async with cluster() as running:
                started = [await running.start(name) for name in "ab"]
                await running.wait_settled(2)
                await check(running, *started)

        self.run_async(main)

    @run_with("with_two_processes")
    async def test_summaries_reach_the_handler_of_their_topic(self, running, a, b):
        b.follower.add_topic("demand", lambda vm, data: vm.encode() + data[::-1])
        topics = {"demand": b"\x00\x01", "unknown": b""}
        reply = await a.follower.exchange("b", topics)
        self.assertThat(reply, Equals({"demand": b"a\x01\x00"}))
        await self.catch_error(PeerError, a.follower.exchange, "nobody", topics)

    @run_with("with_two_processes")
    async def test_failing_handler_and_malformed_message_end_only_their_call(
        self, running, a, b
    ):
        b.follower.add_topic("demand", mock.Mock(side_effect=ValueError("bad")))
        await self.catch_error(PeerError, a.follower.exchange, "b", {"demand": b""})
        client = PeerClient(b.vm.control, 2.0)
        target = "foxtailcourse.control._client.encode_message"
        with mock.patch(target, lambda message: b"\xc1 nonsense"):
            request = SnapshotRequest(sender=Sender(vm="a"))
            await self.catch_error(PeerError, client.snapshot, request)
            await self.catch_error(
                PeerError, client.follow, request, 5.0, lambda event: None
            )
        self.assertTrue((await client.snapshot(request)).sender.ready)

    @run_with("with_two_processes")
    async def test_unreachable_peer_is_an_error_within_the_timeout(self, running, a, b):
        client = PeerClient(UNUSED, 0.5)
        await self.catch_error(
            PeerError, client.snapshot, SnapshotRequest(sender=Sender(vm="a"))
        )

    @run_with("with_two_processes")
    async def test_stream_without_heartbeats_times_out(self, running, a, b):
        client = PeerClient(b.vm.control, 2.0)
        with mock.patch.object(b.follower._server, "publish"):
            request = FollowRequest(sender=Sender(vm="x"))
            exc = await self.catch_error(
                PeerError, client.follow, request, 0.3, lambda event: None
            )
        self.assertThat(str(exc), Contains("Timeout"))

    @run_with("with_two_processes")
    async def test_listener_serves_after_random_bytes(self, running, a, b):
        rng, control = random.Random(7), b.vm.control
        preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
        for number in range(100):
            stream = await trio.open_tcp_stream(control.host, control.port)
            async with stream:
                start = preface if number % 2 else b""
                # The server may close the connection at once.
                with contextlib.suppress(trio.BrokenResourceError):
                    await stream.send_all(start + rng.randbytes(rng.randrange(1, 500)))
        request = SnapshotRequest(sender=Sender(vm="a"))
        reply = await PeerClient(control, 5.0).snapshot(request)
        self.assertTrue(reply.sender.ready)
