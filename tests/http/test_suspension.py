import time

import h11
import trio
from testtools.matchers import Equals

from foxtailcourse.http import ConnectionPool, RequestOptions, _client
from raw_server import serve_bytes
from support import AsyncTestCase, run_trio

HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"


class TestSuspension(AsyncTestCase):
    """Guards against timeouts that fire after a suspension despite waiting data.

    When a stopped process continues, its timeouts may fire before it polls sockets.
    """

    @run_trio
    async def test_data_that_has_arrived_is_read_after_the_timeout(self):
        ours, server = trio.socket.socketpair()
        stream = trio.SocketStream(ours)
        with server:
            for part in (HEAD[:20], HEAD[20:]):
                await server.send(part)
                conn = _client.ClientConnection(stream, h11.Connection(h11.CLIENT))
                await conn.receive(0.0)
                self.assertThat(conn.h11.trailing_data[0], Equals(part))
            error = await self.catch_error(trio.TooSlowError, conn.receive, 0.0)
            self.assertThat(type(error), Equals(trio.TooSlowError))
        await stream.aclose()

    @run_trio
    async def test_late_connect_timeout_is_followed_by_another_try(self):
        open_stream, calls = trio.open_tcp_stream, []

        async def open_suspended(host, port):
            calls.append(port)
            if len(calls) == 1:
                time.sleep(0.5)  # noqa: ASYNC251 - stops all tasks, as a suspension
                await trio.sleep_forever()
            return await open_stream(host, port)

        self.patch(_client.trio, "open_tcp_stream", open_suspended)
        options = RequestOptions(connect_timeout_s=0.2)
        async with trio.open_nursery() as nursery:
            address = await serve_bytes(nursery, HEAD)
            pool = ConnectionPool()
            async with pool.request(address, "GET", "/", options=options) as response:
                self.assertThat(response.status, Equals(200))
            await pool.aclose()
            nursery.cancel_scope.cancel()
