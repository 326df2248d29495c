import trio
from testtools.matchers import Contains, Equals, StartsWith

from foxtailcourse.http import (
    ClientError,
    ConnectionPool,
    Exchange,
    HttpError,
    RequestOptions,
)
from foxtailcourse.http._server import MAX_WAITING_CONNECTIONS
from foxtailcourse.protocol import Verdict
from foxtailcourse.settings import Address
from http_server_case import HttpServerCase


async def handle(exchange: Exchange) -> None:
    if exchange.path == "/refuse":
        raise HttpError(429, "busy", "server is busy", retry_after_ms=1500)
    if exchange.path == "/truncate":
        await exchange.start_stream(200, {"content-type": "text/plain"})
        await exchange.send(b"part")
        exchange.abort()
        return
    if exchange.path == "/hang":
        await trio.sleep_forever()
    if exchange.path == "/json":
        await exchange.respond_json(200, exchange.json())
    await exchange.respond(200, exchange.body)


class ServerTestCase(HttpServerCase):
    handle = staticmethod(handle)


class TestHttpServer(ServerTestCase):
    """Guards against callers that are slow, send malformed data or disconnect."""

    def test_truncated_response_to_a_client_of_http_1_0_is_reset(self):
        request = b"GET /%s HTTP/1.0\r\nhost: a\r\n\r\n"

        async def check(address, server):
            whole = await self.send_bytes(address, request % b"whole")
            self.assertThat(whole, Contains(b"HTTP/1.1 200"))
            await self.catch_error(
                trio.BrokenResourceError,
                self.send_bytes,
                address,
                request % b"truncate",
            )

        self.serve(check)

    def test_connection_is_reused_for_the_next_request(self):
        async def check(address, server):
            pool = ConnectionPool()
            for body in (b"one", b"two"):
                async with pool.request(address, "POST", "/", body=body) as response:
                    self.assertThat(await response.read(), Equals(body))
            await pool.aclose()

        self.serve(check)

    def test_refusal_carries_verdict_and_retry_time(self):
        async def check(address, server):
            pool = ConnectionPool()
            async with pool.request(address, "GET", "/refuse") as response:
                self.assertThat(response.status, Equals(429))
                self.assertThat(response.headers["foxtail-verdict"], Equals("not-run"))
                self.assertThat(response.headers["retry-after"], Equals("2"))
                await response.read()

        self.serve(check)

    def test_truncated_response_raises_an_error(self):
        async def check(address, server):
            pool = ConnectionPool()
            try:
                async with pool.request(address, "GET", "/truncate") as response:
                    await response.read()
            except ClientError as exc:
                self.assertThat(exc.verdict, Equals(Verdict.MAY_HAVE_RUN))
            else:
                self.fail("a truncated response was accepted as complete")

        self.serve(check)

    def test_refused_connection_has_verdict_not_run(self):
        async def main():
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            address = Address("127.0.0.1", listeners[0].socket.getsockname()[1])
            await listeners[0].aclose()
            try:
                async with ConnectionPool().request(address, "GET", "/"):
                    self.fail("connected to a closed port")
            except ClientError as exc:
                self.assertThat(exc.verdict, Equals(Verdict.NOT_RUN))

        self.run_async(main)

    def test_invalid_requests_get_an_error_response(self):
        cases = {
            b"NONSENSE\r\n\r\n": b"HTTP/1.1 400",
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 99999\r\n\r\n": b"413",
            b"POST /json HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\n{": b"400",
            b"GET / HTTP/1.1\r\nhost: a\r\n" + b"x: " + b"y" * 70000: b"431",
            b"GET / HTTP/1.1\r\nhost: a\r\nfoxtail-class: a\r\n"
            b"foxtail-class: b\r\n\r\n": b"400",
        }

        async def check(address, server):
            for data, status in cases.items():
                with trio.fail_after(10):
                    if b"/json" in data:
                        data = data.replace(b"host: a", b"host: a\r\nconnection: close")
                    received = await self.send_bytes(address, data)
                self.assertThat(received[:20], Contains(status))
                self.assertThat(received, Contains(b"foxtail-verdict: not-run"))

        self.serve(check, max_body_bytes=1000)

    def test_slow_sender_is_timed_out(self):
        async def check(address, server):
            data = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nab"
            received = await self.send_bytes(address, data)
            self.assertThat(received, StartsWith(b"HTTP/1.1 408"))

        self.serve(check, receive_timeout_s=0.05)

    def test_handler_is_cancelled_when_the_caller_disconnects(self):
        async def check(address, server):
            stream = await trio.open_tcp_stream(address.host, address.port)
            await stream.send_all(b"GET /hang HTTP/1.1\r\nhost: a\r\n\r\n")
            while server.active == 0:
                await trio.sleep(0.001)
            await stream.aclose()
            while server.active:
                await trio.sleep(0.001)

        self.serve(check)

    def test_connection_closed_by_the_server_is_not_reused(self):
        async def check(address, server):
            pool = ConnectionPool()
            async with pool.request(address, "GET", "/") as response:
                await response.read()
            server.drain()
            await trio.sleep(0.05)
            options = RequestOptions(idle_timeout_s=5)
            async with pool.request(address, "GET", "/", options=options) as response:
                self.assertThat(response.status, Equals(200))
                await response.read()

        self.serve(check)


class TestServerLimits(ServerTestCase):
    """Guards the server's memory and connections against peers that use too much."""

    HANGING_REQUEST = b"GET /hang HTTP/1.1\r\nhost: a\r\n\r\n"
    SHORT_REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"

    async def responds_beside_hanging_request(self, address, server):
        """Return whether a request gets a response while another connection hangs."""
        received = trio.Event()

        async def send_request():
            response_bytes = await self.send_bytes(address, self.SHORT_REQUEST)
            self.assertThat(response_bytes, StartsWith(b"HTTP/1.1 200"))
            received.set()

        async with trio.open_nursery() as nursery:
            hanging = await trio.open_tcp_stream(address.host, address.port)
            await hanging.send_all(self.HANGING_REQUEST)
            while server.active == 0:
                await trio.sleep(0.001)
            nursery.start_soon(send_request)
            with trio.move_on_after(0.2):
                await received.wait()
            responded = received.is_set()
            await hanging.aclose()
        return responded

    def test_connection_over_the_limit_waits(self):
        async def check(address, server):
            self.assertFalse(
                await self.responds_beside_hanging_request(address, server)
            )

        self.serve(check, max_connections=1)

    def test_connections_far_over_the_limit_are_closed(self):
        async def check(address, server):
            hanging = await trio.open_tcp_stream(address.host, address.port)
            await hanging.send_all(self.HANGING_REQUEST)
            while server.active == 0:
                await trio.sleep(0.001)
            count = MAX_WAITING_CONNECTIONS + 20
            streams = [
                await trio.open_tcp_stream(address.host, address.port)
                for _ in range(count)
            ]
            closed = 0
            for stream in streams:
                with trio.move_on_after(0.02):
                    try:
                        closed += await stream.receive_some(1) == b""
                    except trio.BrokenResourceError:
                        closed += 1
            self.assertThat(closed, Equals(20))
            for stream in [*streams, hanging]:
                await stream.aclose()

        self.serve(check, max_connections=1)

    def test_connection_within_the_limit_does_not_wait(self):
        async def check(address, server):
            self.assertTrue(await self.responds_beside_hanging_request(address, server))

        self.serve(check, max_connections=2)

    def test_chunked_body_over_the_limit_is_refused(self):
        async def check(address, server):
            data = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
            data += b"100\r\n" + b"x" * 256 + b"\r\n"
            data += b"300\r\n" + b"x" * 768 + b"\r\n"
            received = await self.send_bytes(address, data)
            self.assertThat(received, StartsWith(b"HTTP/1.1 413"))

        self.serve(check, max_body_bytes=1000)

    def test_slow_header_is_timed_out(self):
        async def check(address, server):
            received = await self.send_bytes(address, b"GET / HTTP/1.1\r\nhos")
            self.assertThat(received, StartsWith(b"HTTP/1.1 408"))

        self.serve(check, receive_timeout_s=0.05)

    def test_idle_connection_is_closed(self):
        async def check(address, server):
            received = await self.send_bytes(address, b"")
            self.assertThat(received, Equals(b""))

        self.serve(check, idle_timeout_s=0.05)

    def test_total_size_of_buffered_bodies_is_limited(self):
        """The bodies of many connections, each within its limit, are limited too."""
        body = b"x" * 600
        hanging_post = (
            b"POST /hang HTTP/1.1\r\nhost: a\r\ncontent-length: 600\r\n\r\n" + body
        )

        async def check(address, server):
            pool = ConnectionPool()
            hanging = await trio.open_tcp_stream(address.host, address.port)
            await hanging.send_all(hanging_post)
            while server.active == 0:
                await trio.sleep(0.001)
            async with pool.request(address, "POST", "/", body=body) as response:
                self.assertThat(response.status, Equals(503))
                self.assertThat(response.headers["foxtail-verdict"], Equals("not-run"))
                await response.read()
            await hanging.aclose()
            while server.active:
                await trio.sleep(0.001)
            async with pool.request(address, "POST", "/", body=body) as response:
                self.assertThat(response.status, Equals(200))
                await response.read()
            await pool.aclose()

        self.serve(check, max_buffered_bytes=1000)

    def test_aborted_request_releases_its_buffered_bytes(self):
        partial_request = (
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 600\r\n\r\n" + b"x" * 500
        )

        async def check(address, server):
            for _ in range(5):
                stream = await trio.open_tcp_stream(address.host, address.port)
                await stream.send_all(partial_request)
                await stream.aclose()
            pool = ConnectionPool()
            status = 503
            while status != 200:
                async with pool.request(
                    address, "POST", "/", body=b"y" * 600
                ) as response:
                    status = response.status
                    await response.read()
            await pool.aclose()

        self.serve(check, max_buffered_bytes=1000)
