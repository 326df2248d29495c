import trio
from testtools.matchers import Contains, Equals, StartsWith

from foxtailcourse.http import (
    ClientError,
    ConnectionPool,
    Exchange,
    HttpError,
    HttpLimits,
    HttpServer,
    RequestOptions,
)
from foxtailcourse.protocol import Verdict
from foxtailcourse.settings import Address
from support import AsyncTestCase


async def answer(exchange: Exchange) -> None:
    if exchange.path == "/refuse":
        raise HttpError(429, "busy", "come back", retry_after_ms=1500)
    if exchange.path == "/cut":
        await exchange.start_stream(200, {"content-type": "text/plain"})
        await exchange.send(b"part")
        exchange.abort()
        return
    if exchange.path == "/hang":
        await trio.sleep_forever()
    if exchange.path == "/json":
        await exchange.respond_json(200, exchange.json())
    await exchange.respond(200, exchange.body)


class ServerTestCase(AsyncTestCase):
    def serve(self, check, **limits):
        async def main():
            server = HttpServer(answer, HttpLimits(**limits), lambda e, exc: None)
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = listeners[0].socket.getsockname()[1]
            async with trio.open_nursery() as nursery:
                await nursery.start(server.serve, listeners)
                await check(Address("127.0.0.1", port), server)
                nursery.cancel_scope.cancel()

        self.run_async(main)

    async def exchange_raw(self, address, data):
        stream = await trio.open_tcp_stream(address.host, address.port)
        async with stream:
            await stream.send_all(data)
            answered = b""
            async for piece in stream:
                answered += piece
        return answered


class TestHttpServer(ServerTestCase):
    """Guards the boundary where malformed or slow peers meet the server."""

    def test_connection_is_kept_for_the_next_request(self):
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

    def test_cut_response_is_an_error_not_a_short_answer(self):
        async def check(address, server):
            pool = ConnectionPool()
            try:
                async with pool.request(address, "GET", "/cut") as response:
                    await response.read()
            except ClientError as exc:
                self.assertThat(exc.verdict, Equals(Verdict.MAY_HAVE_RUN))
            else:
                self.fail("a cut response was read as a whole one")

        self.serve(check)

    def test_refused_connection_is_not_run(self):
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

    def test_bad_requests_get_a_clear_error(self):
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
                    answered = await self.exchange_raw(address, data)
                self.assertThat(answered[:20], Contains(status))
                self.assertThat(answered, Contains(b"foxtail-verdict: not-run"))

        self.serve(check, max_body_bytes=1000)

    def test_slow_sender_is_timed_out(self):
        async def check(address, server):
            data = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nab"
            answered = await self.exchange_raw(address, data)
            self.assertThat(answered, StartsWith(b"HTTP/1.1 408"))

        self.serve(check, receive_timeout_s=0.05)

    def test_handler_stops_when_the_caller_is_gone(self):
        async def check(address, server):
            stream = await trio.open_tcp_stream(address.host, address.port)
            await stream.send_all(b"GET /hang HTTP/1.1\r\nhost: a\r\n\r\n")
            while server.active == 0:
                await trio.sleep(0.001)
            await stream.aclose()
            while server.active:
                await trio.sleep(0.001)

        self.serve(check)

    def test_stale_kept_connection_is_not_reused(self):
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


class TestBoundedPeers(ServerTestCase):
    """Guards a server's memory and connections against peers that take too much."""

    HANG = b"GET /hang HTTP/1.1\r\nhost: a\r\n\r\n"
    ASK = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"

    async def ask_beside_hanging(self, address, server):
        """Ask while one connection hangs; return whether it is answered meanwhile."""
        answered = trio.Event()

        async def ask():
            found = await self.exchange_raw(address, self.ASK)
            self.assertThat(found, StartsWith(b"HTTP/1.1 200"))
            answered.set()

        async with trio.open_nursery() as nursery:
            hanging = await trio.open_tcp_stream(address.host, address.port)
            await hanging.send_all(self.HANG)
            while server.active == 0:
                await trio.sleep(0.001)
            nursery.start_soon(ask)
            with trio.move_on_after(0.2):
                await answered.wait()
            beside = answered.is_set()
            await hanging.aclose()
        return beside

    def test_connection_over_the_limit_waits_for_its_turn(self):
        async def check(address, server):
            self.assertFalse(await self.ask_beside_hanging(address, server))

        self.serve(check, max_connections=1)

    def test_with_a_higher_limit_it_does_not_wait(self):
        async def check(address, server):
            self.assertTrue(await self.ask_beside_hanging(address, server))

        self.serve(check, max_connections=2)

    def test_body_without_a_length_is_cut_at_the_limit(self):
        async def check(address, server):
            data = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
            data += b"100\r\n" + b"x" * 256 + b"\r\n"
            data += b"300\r\n" + b"x" * 768 + b"\r\n"
            answered = await self.exchange_raw(address, data)
            self.assertThat(answered, StartsWith(b"HTTP/1.1 413"))

        self.serve(check, max_body_bytes=1000)

    def test_slow_header_is_timed_out(self):
        async def check(address, server):
            answered = await self.exchange_raw(address, b"GET / HTTP/1.1\r\nhos")
            self.assertThat(answered, StartsWith(b"HTTP/1.1 408"))

        self.serve(check, receive_timeout_s=0.05)

    def test_idle_connection_is_closed(self):
        async def check(address, server):
            answered = await self.exchange_raw(address, b"")
            self.assertThat(answered, Equals(b""))

        self.serve(check, idle_timeout_s=0.05)

    def test_bodies_of_all_connections_are_bounded_together(self):
        """Many connections with allowed bodies must not add up without a bound."""
        body = b"x" * 600
        held = b"POST /hang HTTP/1.1\r\nhost: a\r\ncontent-length: 600\r\n\r\n" + body

        async def check(address, server):
            pool = ConnectionPool()
            hanging = await trio.open_tcp_stream(address.host, address.port)
            await hanging.send_all(held)
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

    def test_a_cut_request_gives_back_what_it_held(self):
        part = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 600\r\n\r\n" + b"x" * 500

        async def check(address, server):
            for _ in range(5):
                stream = await trio.open_tcp_stream(address.host, address.port)
                await stream.send_all(part)
                await stream.aclose()
            pool = ConnectionPool()
            status = 503
            while status != 200:
                async with pool.request(address, "POST", "/", body=b"y" * 600) as each:
                    status = each.status
                    await each.read()
            await pool.aclose()

        self.serve(check, max_buffered_bytes=1000)
