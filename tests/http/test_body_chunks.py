import trio
import trio.testing
from testtools.matchers import Equals

from foxtailcourse.http import (
    ClientError,
    ConnectionPool,
    Exchange,
    HttpLimits,
    HttpServer,
)
from foxtailcourse.settings import Address
from support import AsyncTestCase, run_trio

HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
CHUNKS = b"3\r\none\r\n3\r\ntwo\r\n"


async def serve_bytes(data, nursery):
    """Send fixed bytes on the first connection; return the listener's address."""
    listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]

    async def serve():
        async with listener, await listener.accept() as stream:
            await stream.receive_some(4096)
            await stream.send_all(data)

    nursery.start_soon(serve)
    return Address("127.0.0.1", listener.socket.getsockname()[1])


class TestBodyChunks(AsyncTestCase):
    """Guards response bodies received in one read or sent in several writes."""

    async def read_response_body(self, data):
        """Return the chunks of a body, and the error that ended it or None."""
        chunks, pool = [], ConnectionPool()
        async with trio.open_nursery() as nursery:
            address = await serve_bytes(data, nursery)
            try:
                async with pool.request(address, "GET", "/") as response:
                    async for chunk in response.iter_chunks():
                        chunks.append(chunk)
            except ClientError as exc:
                return chunks, exc
            finally:
                await pool.aclose()
        return chunks, None

    @run_trio
    async def test_chunks_received_together_are_yielded_as_one(self):
        # The head and the body are sent in one write, so that they arrive together.
        chunks, error = await self.read_response_body(HEAD + CHUNKS + b"0\r\n\r\n")
        self.assertThat((chunks, error), Equals(([b"onetwo"], None)))

    @run_trio
    async def test_body_before_a_protocol_error_is_yielded_first(self):
        for protocol_error in (b"zz\r\n", b"", b"5\r\nab"):
            chunks, error = await self.read_response_body(
                HEAD + CHUNKS + protocol_error
            )
            partial = b"ab" if protocol_error.endswith(b"ab") else b""
            self.assertThat(b"".join(chunks), Equals(b"onetwo" + partial))
            self.assertThat(type(error), Equals(ClientError))

    @run_trio
    async def test_body_larger_than_the_send_buffer_arrives_complete_and_in_order(self):
        body = b"".join(b"%08d" % number for number in range(1 << 20))

        async def respond(exchange: Exchange) -> None:
            await exchange.start_stream(200, {"content-type": "text/plain"})
            for start in range(0, len(body), 1 << 20):
                await exchange.send(body[start : start + (1 << 20)])
            await exchange.end_stream()

        server = HttpServer(respond, HttpLimits(), lambda e, exc: None)
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        address = Address("127.0.0.1", listeners[0].socket.getsockname()[1])
        pool = ConnectionPool()
        async with trio.open_nursery() as nursery:
            await nursery.start(server.serve, listeners)
            async with pool.request(address, "GET", "/") as response:
                await trio.testing.wait_all_tasks_blocked()
                received = await response.read()
            await pool.aclose()
            nursery.cancel_scope.cancel()
        self.assertThat(received == body, Equals(True))
