import contextlib
import socket

import h11
import trio
from pytest import MonkeyPatch
from testtools.matchers import Contains, Equals, Not, StartsWith

from cluster import wait_until
from foxtailcourse.http import (
    EndReason,
    HttpError,
    HttpLimits,
    HttpServer,
    _exchange,
    _server,
)
from http_server_case import HttpServerCase

REQUEST = b"GET /%s HTTP/1.1\r\nhost: a\r\n\r\n"


class TestChangedLimits(HttpServerCase):
    """Guards against requests that are lost because the limits have changed."""

    async def request_after_change(self, address, server, idle_timeout_s):
        """Change the idle timeout of an idle connection and make another request."""
        stream = await self.connect(address)
        await stream.send_all(REQUEST % b"")
        await stream.receive_some(65536)
        server.set_limits(HttpLimits(idle_timeout_s=idle_timeout_s))
        await trio.sleep(0.4)
        await stream.send_all(REQUEST % b"")
        self.assertThat(await stream.receive_some(65536), StartsWith(b"HTTP/1.1 200"))

    def test_wait_in_progress_gets_a_raised_idle_timeout(self):
        async def check(address, server):
            await self.request_after_change(address, server, 60)

        self.serve(check, idle_timeout_s=0.2)

    def test_announced_idle_timeout_outlasts_a_lowered_limit(self):
        async def check(address, server):
            await self.request_after_change(address, server, 0.05)

        self.serve(check, idle_timeout_s=60)

    def test_open_connection_gets_a_raised_header_limit(self):
        async def check(address, server):
            stream = await self.connect(address)
            await stream.send_all(REQUEST % b"")
            await stream.receive_some(65536)
            server.set_limits(HttpLimits(max_header_bytes=4000))
            await stream.send_all(b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 2000)
            await trio.sleep(0.05)
            await stream.send_all(b"\r\n\r\n")
            response = await stream.receive_some(65536)
            self.assertThat(response, StartsWith(b"HTTP/1.1 200"))

        self.serve(check, max_header_bytes=1000)

    def test_idle_timeout_is_announced_with_a_margin(self):
        async def check(address, server):
            request = REQUEST % b""
            response = await self.send_bytes(address, request, until=b"\r\n\r\n")
            self.assertThat(response, Contains(b"keep-alive: timeout=9\r\n"))
            server.set_limits(HttpLimits(idle_timeout_s=1.2))
            response = await self.send_bytes(address, request, until=b"\r\n\r\n")
            self.assertThat(response, Not(Contains(b"keep-alive")))
            request = REQUEST.replace(b"host", b"connection: close\r\nhost") % b""
            server.set_limits(HttpLimits())
            response = await self.send_bytes(address, request)
            self.assertThat(response, Not(Contains(b"keep-alive")))

        self.serve(check, idle_timeout_s=10)


class TestDraining(HttpServerCase):
    """Guards requests that have arrived when draining begins."""

    async def drain_during_response(self, address, server, before, after):
        """Return all bytes sent to a caller that sends more during a response."""
        stream = await self.connect(address)
        await stream.send_all(REQUEST % b"held" + before)
        await self.began.wait()
        server.stop_accepting()
        server.drain()
        if after:
            await stream.send_all(after)
        await trio.sleep(0.05)
        self.release.set()
        return await self.receive_until(stream, b"\0")

    def test_request_behind_a_response_is_served_when_draining_begins(self):
        async def check(address, server):
            received = await self.drain_during_response(
                address, server, REQUEST % b"1", REQUEST % b"2"
            )
            self.assertThat(received.count(b"HTTP/1.1 200"), Equals(3))
            last = received.rindex(b"HTTP/1.1 200")
            self.assertThat(received[:last], Not(Contains(b"connection: close")))
            self.assertThat(received[last:], Contains(b"connection: close"))

        self.serve(check)

    def test_partly_received_request_is_served_when_draining_begins(self):
        async def check(address, server):
            request = REQUEST % b"1"
            received = await self.drain_during_response(
                address, server, request[:5], request[5:]
            )
            self.assertThat(received.count(b"HTTP/1.1 200"), Equals(2))

        self.serve(check)

    def test_response_after_draining_began_says_that_the_connection_closes(self):
        async def check(address, server):
            received = await self.drain_during_response(address, server, b"", b"")
            self.assertThat(received, Contains(b"connection: close"))
            self.assertThat(received, Not(Contains(b"keep-alive")))

        self.serve(check)

    def test_connection_in_the_backlog_is_served_after_the_listeners_close(self):
        async def check(address, server):
            with socket.create_connection((address.host, address.port)) as caller:
                caller.sendall(REQUEST % b"")
                server.stop_accepting()
                server.drain()
                stream = trio.SocketStream(trio.socket.from_stdlib_socket(caller))
                response = await self.receive_until(stream, b"\0")
            self.assertThat(response, StartsWith(b"HTTP/1.1 200"))

        self.serve(check)


class TestPipelining(HttpServerCase):
    """Guards requests of callers that send far ahead of the responses."""

    def test_request_before_a_large_pipelined_one_gets_a_response(self):
        body = b"x" * 300_000
        head = b"POST /1 HTTP/1.1\r\nhost: a\r\ncontent-length: 300000\r\n"
        pipelined = head + b"connection: close\r\n\r\n" + body

        async def check(address, server):
            stream = await self.connect(address)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(stream.send_all, REQUEST % b"held" + pipelined)
                await self.began.wait()
                await trio.sleep(0.1)
                self.release.set()
                received = await self.receive_until(stream, b"\0")
            self.assertThat(received.count(b"HTTP/1.1 200"), Equals(2))

        self.serve(check, max_header_bytes=1000)


class TestFaultyHandlers(HttpServerCase):
    """Guards requests whose handler cannot form a response."""

    async def handle(self, exchange):
        if exchange.path == "/name":
            await exchange.respond(200, b"", {"a b": "1"})
        elif exchange.path == "/unicode":
            await exchange.start_stream(200, {"\u00e9": "1"})
        elif exchange.path == "/status":
            await exchange.respond(99, b"")
        elif exchange.path == "/body":
            await exchange.start_stream(200, {"content-length": "1"}, b"long")
        elif exchange.path == "/empty":
            await exchange.start_stream(204, {"content-length": "0"}, b"body")
        elif exchange.path == "/error":
            raise HttpError(503, "busy", "busy", fields={"a b": "1"})
        elif exchange.path == "/ok":
            await exchange.respond(200, b"body")
        elif exchange.path == "/stream":
            await exchange.start_stream(200, {}, b"one")
            await exchange.send(b"two")
            await exchange.end_stream(b"three")
        elif exchange.path == "/busy":
            raise HttpError(503, "busy", "busy")
        elif exchange.path == "/close":
            await exchange.respond(200, b"last")
        elif exchange.path == "/caught":
            with contextlib.suppress(h11.LocalProtocolError):
                await exchange.start_stream(200, {"content-length": "1"}, b"long")
            await exchange.respond(502, b"")

    def check_response(self, path, status):
        async def check(address, server):
            received = await self.send_bytes(address, REQUEST % path)
            self.assertThat(received, StartsWith(b"HTTP/1.1 %d" % status))
            self.assertThat(received.lower(), Contains(b"connection: close"))

        self.serve(check)

    def test_response_that_cannot_be_encoded_becomes_an_internal_error(self):
        for path in (b"body", b"empty"):
            self.check_response(path, 500)

    def test_handler_may_replace_a_response_that_cannot_be_encoded(self):
        self.check_response(b"caught", 502)

    def test_malformed_response_head_becomes_an_internal_error(self):
        async def check(address, server):
            for path in (b"name", b"unicode", b"status", b"error"):
                received = await self.send_bytes(
                    address, REQUEST % path, until=b"\r\n\r\n"
                )
                self.assertThat(received, StartsWith(b"HTTP/1.1 500"))

        self.serve(check)

    def test_handler_without_a_response_becomes_an_internal_error(self):
        async def check(address, server):
            received = await self.send_bytes(
                address, REQUEST % b"nothing", until=b"\r\n\r\n"
            )
            self.assertThat(received, StartsWith(b"HTTP/1.1 500"))

        self.serve(check)

    def test_head_request_gets_the_head_of_the_response(self):
        async def check(address, server):
            for path, status in ((b"ok", 200), (b"stream", 200), (b"busy", 503)):
                request = b"HEAD /%s HTTP/1.1\r\nhost: a\r\n\r\n" % path
                received = await self.send_bytes(
                    address, request + REQUEST % b"close", until=b"last"
                )
                self.assertThat(received, StartsWith(b"HTTP/1.1 %d" % status))
                self.assertThat(received.count(b"\r\n\r\n"), Equals(2))
                self.assertThat(received, Contains(b"\r\n\r\nHTTP/1.1 200"))

        self.serve(check)


class TestErrorResponses(HttpServerCase):
    """Guards error responses to requests that were not read to their end."""

    HEAD = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 500000\r\n\r\n"

    async def send_on(self, address, byte_count):
        """Send a body on after the error response has arrived, then read it."""
        async with await self.connect(address) as stream:
            await stream.send_all(self.HEAD)
            for _ in range(byte_count // 100_000):
                await trio.sleep(0.02)
                await stream.send_all(b"x" * 100_000)
            return await self.receive_until(stream, b"\0")

    def test_caller_that_sends_on_gets_the_error_response(self):
        for limits in ({"max_body_bytes": 1000}, {"max_buffered_bytes": 1000}):

            async def check(address, server):
                response = await self.send_on(address, 500_000)
                self.assertThat(response, Contains(b"foxtail-verdict: not-run"))

            self.serve(check, **limits)

    def test_reading_after_an_error_response_is_bounded(self):
        for limit in ("LINGER_S", "MAX_LINGER_BYTES"):
            default = getattr(_exchange, limit)
            self.patch(_exchange, limit, 0.01)

            async def check(address, server):
                await self.catch_error(
                    trio.BrokenResourceError, self.send_on, address, 500_000
                )

            self.serve(check, max_body_bytes=1000)
            self.patch(_exchange, limit, default)


class TestConnectionLimit(HttpServerCase):
    """Guards requests on connections beyond the limit."""

    async def request_beside_held(self, address):
        async with await self.connect(address) as held:
            await held.send_all(REQUEST % b"held")
            await self.began.wait()
            async with await self.connect(address):
                return await self.send_bytes(address, REQUEST % b"")

    def check_refusal(self, check, **constants):
        for name, value in constants.items():
            self.patch(_server, name, value)
        self.serve(check, max_connections=1)

    def test_connection_that_waits_too_long_is_refused(self):
        async def check(address, server):
            response = await self.request_beside_held(address)
            self.assertThat(response, StartsWith(b"HTTP/1.1 503"))
            for field in (b"retry-after: 1", b"foxtail-verdict: not-run"):
                self.assertThat(response, Contains(field))

        self.check_refusal(check, MAX_SLOT_WAIT_S=0.01)

    def test_connection_beyond_the_waiting_ones_is_refused(self):
        async def check(address, server):
            response = await self.request_beside_held(address)
            self.assertThat(response, StartsWith(b"HTTP/1.1 503"))

        self.check_refusal(check, MAX_WAITING_CONNECTIONS=1)

    def test_number_of_refusals_in_progress_is_bounded(self):
        async def check(address, server):
            response = b""
            with contextlib.suppress(trio.BrokenResourceError):
                response = await self.request_beside_held(address)
            self.assertThat(response, Equals(b""))

        limits = {"MAX_WAITING_CONNECTIONS": 1, "MAX_REFUSALS": 0}
        self.check_refusal(check, **limits)


class TestUnansweredObserver(HttpServerCase):
    """Guards the reasons that are reported for requests without a response."""

    def make_server(self, limits):
        self.reasons = []

        def record(reason, exchange):
            self.reasons.append((reason, exchange.path if exchange else None))

        return HttpServer(self.handle, limits, lambda exchange, exc: None, record)

    async def handle(self, exchange):
        if exchange.path == "/abort":
            await exchange.start_stream(200, {})
            exchange.abort()
        elif exchange.path == "/large":
            await exchange.respond(200, b"x" * 20_000_000)
        else:
            await super().handle(exchange)

    async def check_reason(self, *expected):
        await wait_until(lambda: self.reasons)
        self.assertThat(self.reasons, Equals([expected]))

    def test_request_after_the_close_of_an_idle_connection(self):
        for reason in (EndReason.CROSSED_IDLE_TIMEOUT, EndReason.CROSSED_DRAINING):

            async def check(address, server, reason=reason):
                stream = await self.connect(address)
                await stream.send_all(REQUEST % b"")
                await stream.receive_some(65536)
                if reason is EndReason.CROSSED_DRAINING:
                    server.drain()
                self.assertThat(await stream.receive_some(1), Equals(b""))
                await stream.send_all(REQUEST % b"")
                await self.check_reason(reason, None)

            timeouts = {EndReason.CROSSED_IDLE_TIMEOUT: 0.05}
            self.serve(check, idle_timeout_s=timeouts.get(reason, 60))

    def test_aborted_and_abandoned_requests(self):
        async def check(address, server):
            await self.send_bytes(address, REQUEST % b"abort")
            await self.check_reason(EndReason.ABORTED, "/abort")
            self.reasons.clear()
            async with await self.connect(address) as stream:
                await stream.send_all(REQUEST % b"held")
                await self.began.wait()
            await self.check_reason(EndReason.CALLER_CLOSED, "/held")

        self.serve(check)

    def test_response_that_is_not_received(self):
        async def check(address, server):
            async with await self.connect(address) as stream:
                await stream.send_all(REQUEST % b"large")
                await self.check_reason(EndReason.SEND_TIMEOUT, "/large")

        self.serve(check, send_timeout_s=0.05)

    def test_server_that_is_stopped_with_a_request_in_progress(self):
        async def check(address, server):
            stream = await self.connect(address)
            await stream.send_all(REQUEST % b"held")
            await self.began.wait()

        self.serve(check)
        self.assertThat(self.reasons, Equals([(EndReason.STOPPED, "/held")]))

    def test_connection_that_is_closed_without_being_read(self):
        for name in ("MAX_WAITING_CONNECTIONS", "MAX_REFUSALS"):
            self.patch(_server, name, 0)

        async def check(address, server):
            async with await self.connect(address), await self.connect(address):
                await self.check_reason(EndReason.TOO_MANY_CONNECTIONS, None)

        self.serve(check, max_connections=1)

    def test_complete_responses_are_not_reported(self):
        async def check(address, server):
            await self.send_bytes(address, REQUEST % b"", until=b"/")
            await self.send_bytes(address, b"BAD\r\n\r\n")
            await self.send_bytes(address, b"")
            server.drain()
            await trio.sleep(0.05)
            self.assertThat(self.reasons, Equals([]))

        self.serve(check, idle_timeout_s=0.02)


class TestUnexpectedErrors(HttpServerCase):
    """Guards the other connections of a server from an error on one of them."""

    async def handle(self, exchange):
        if exchange.path == "/fields":
            exchange.common_fields["\u00e9"] = "1"
        if exchange.path == "/truncate":
            await exchange.start_stream(200, {}, b"part")
            exchange.abort()
            return
        await super().handle(exchange)

    def raise_error(self, *args, **options):
        raise OSError("unexpected")

    def check_error(self, request, expected):
        """Compare the response to a request; another one must get one as well."""

        async def check(address, server):
            response = b""
            with contextlib.suppress(trio.BrokenResourceError):
                response = await self.send_bytes(address, request)
            self.assertThat(response, StartsWith(expected))
            response = await self.send_bytes(address, REQUEST % b"", until=b"\r\n\r\n")
            self.assertThat(response, StartsWith(b"HTTP/1.1 200"))

        self.serve(check)

    def test_response_fields_that_cannot_be_encoded(self):
        request = b"GET /fields HTTP/1.0\r\n\r\n"
        self.check_error(request, b"HTTP/1.1 500")

    def test_error_while_a_request_is_read(self):
        def parse(query):
            return self.raise_error() if query else {}

        self.patch(_exchange, "parse_qs", parse)
        with self.assertLogs("foxtailcourse.http", "ERROR"):
            self.check_error(REQUEST % b"?a", b"HTTP/1.1 500")

    def test_error_while_a_connection_is_reset(self):
        with MonkeyPatch.context() as patch:
            patch.setattr(trio.SocketStream, "setsockopt", self.raise_error)
            with self.assertLogs("foxtailcourse.http", "WARNING"):
                self.check_error(b"GET /truncate HTTP/1.0\r\n\r\n", b"")
