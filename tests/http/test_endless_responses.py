import trio
from testtools.matchers import Equals

from endless_server import EndlessServer
from foxtailcourse.http import ClientError, ConnectionPool, RequestOptions
from foxtailcourse.platform import KeyValueClient, PlatformError
from foxtailcourse.protocol import Verdict
from foxtailcourse.settings import Address
from support import AsyncTestCase

# What the operating system buffers on both sides of a connection.
SOCKET_BUFFERS_BYTES = 8 * 1024 * 1024
MAX_BODY_BYTES = 256 * 1024
OK = b"HTTP/1.1 200 OK\r\n"
PATIENCE_S = 5.0


class TestEndlessResponses(AsyncTestCase):
    """Guards clients against servers that send without end."""

    def check_ended(self, server, call, error_type=ClientError):
        """Check that a call fails in time and closes the connection."""
        errors = []

        async def main():
            async with trio.open_nursery() as nursery:
                address = await server.start(nursery)
                pool = ConnectionPool()
                with trio.fail_after(PATIENCE_S):
                    try:
                        await call(pool, address)
                    except error_type as exc:
                        errors.append(exc)
                    await server.closed.wait()
                await pool.aclose()
                nursery.cancel_scope.cancel()

        self.run_async(main)
        self.assertThat(len(errors), Equals(1))
        self.assertTrue(server.sent_bytes[0] < SOCKET_BUFFERS_BYTES, server.sent_bytes)
        return errors[0]

    async def read(self, pool, address):
        options = RequestOptions(
            idle_timeout_s=1.0, body_timeout_s=2.0, max_body_bytes=MAX_BODY_BYTES
        )
        async with pool.request(address, "GET", "/", options=options) as response:
            await response.read()

    def test_head_without_end_fails(self):
        for head, piece in (
            (b"", b"x" * 4096),
            (OK, b"a: b\r\n" * 100),
            (OK + b"a: ", b"b" * 4096),
        ):
            exc = self.check_ended(EndlessServer(head, piece), self.read)
            self.assertThat(exc.verdict, Equals(Verdict.MAY_HAVE_RUN))

    def test_interim_responses_without_end_fail(self):
        piece = b"HTTP/1.1 100 Continue\r\n\r\n"
        self.check_ended(EndlessServer(piece=piece), self.read)

    def test_head_that_comes_a_byte_now_and_then_fails(self):
        self.check_ended(EndlessServer(OK, b"a", pause_s=0.2), self.read)

    def test_body_without_end_fails(self):
        for framing, piece in (
            (b"connection: close\r\n\r\n", b"x" * 4096),
            (b"transfer-encoding: chunked\r\n\r\n", b"4\r\nabcd\r\n" * 400),
            (b"content-length: 99999999999\r\n\r\n", b"x" * 4096),
        ):
            self.check_ended(EndlessServer(OK + framing, piece), self.read)

    def test_body_that_comes_a_byte_now_and_then_fails(self):
        head = OK + b"connection: close\r\n\r\n"
        self.check_ended(EndlessServer(head, b"x", pause_s=0.2), self.read)

    def test_slow_response_of_the_store_that_makes_progress_is_read(self):
        body = b'{"asOf": 1, "items": []}'
        head = OK + b"content-length: %d\r\n\r\n" % len(body)

        async def respond(stream):
            async with stream:
                await stream.receive_some(4096)
                await stream.send_all(head)
                for start in range(0, len(body), 4):
                    await trio.sleep(0.2)
                    await stream.send_all(body[start : start + 4])

        async def main():
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = listeners[0].socket.getsockname()[1]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, respond, listeners)
                client = KeyValueClient(
                    ConnectionPool(), Address("127.0.0.1", port), 0.5
                )
                self.assertThat((await client.range("a/")).revision, Equals(1))
                nursery.cancel_scope.cancel()

        self.run_async(main)

    def test_call_to_the_store_that_comes_a_byte_now_and_then_fails(self):
        async def call(pool, address):
            await KeyValueClient(pool, address, 0.5).range("contracts/")

        head = OK + b"content-length: 100000\r\n\r\n"
        server = EndlessServer(head, b" ", pause_s=0.1)
        self.check_ended(server, call, PlatformError)
