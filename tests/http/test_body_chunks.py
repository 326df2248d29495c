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


async def answer_raw(data, nursery):
    """Serve one connection with fixed bytes; return its address."""
    listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]

    async def serve():
        async with listener, await listener.accept() as stream:
            await stream.receive_some(4096)
            await stream.send_all(data)

    nursery.start_soon(serve)
    return Address("127.0.0.1", listener.socket.getsockname()[1])


class TestPieces(AsyncTestCase):
    """Guards bodies whose chunks arrive at once, or leave in several writes."""

    async def read(self, data):
        """Return the pieces of a body and the error that ended it, if any."""
        pieces, pool = [], ConnectionPool()
        async with trio.open_nursery() as nursery:
            address = await answer_raw(data, nursery)
            try:
                async with pool.request(address, "GET", "/") as response:
                    async for piece in response.iter_chunks():
                        pieces.append(piece)
            except ClientError as exc:
                return pieces, exc
            finally:
                await pool.aclose()
        return pieces, None

    @run_trio
    async def test_chunks_that_arrived_together_are_one_piece(self):
        # The head and the body are one write, so that they arrive together.
        pieces, error = await self.read(HEAD + CHUNKS + b"0\r\n\r\n")
        self.assertThat((pieces, error), Equals(([b"onetwo"], None)))

    @run_trio
    async def test_body_before_a_fault_is_delivered_and_the_fault_raised(self):
        for fault in (b"zz\r\n", b"", b"5\r\nab"):
            pieces, error = await self.read(HEAD + CHUNKS + fault)
            partial = b"ab" if fault.endswith(b"ab") else b""
            self.assertThat(b"".join(pieces), Equals(b"onetwo" + partial))
            self.assertThat(type(error), Equals(ClientError))

    @run_trio
    async def test_body_larger_than_the_send_buffer_is_whole_and_in_order(self):
        body = b"".join(b"%08d" % number for number in range(1 << 20))

        async def answer(exchange: Exchange) -> None:
            await exchange.start_stream(200, {"content-type": "text/plain"})
            for start in range(0, len(body), 1 << 20):
                await exchange.send(body[start : start + (1 << 20)])
            await exchange.end_stream()

        server = HttpServer(answer, HttpLimits(), lambda e, exc: None)
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
