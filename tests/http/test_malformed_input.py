import contextlib
import random

import testtools
import trio
from test_body_chunks import serve_bytes
from test_server import ServerTestCase
from testtools.matchers import Equals

from foxtailcourse.http import ClientError, ConnectionPool
from foxtailcourse.http._sse import MAX_EVENT_BYTES, SseError, SseParser
from foxtailcourse.platform import KeyValueClient, PlatformError
from foxtailcourse.settings import Address
from support import AsyncTestCase

SEED = 20261203
CASE_COUNT = 400
VALID_REQUEST = (
    b"POST /json?a=b HTTP/1.1\r\nhost: a\r\nfoxtail-class: short\r\n"
    b'content-length: 13\r\nconnection: close\r\n\r\n{"a": [1, 2]}'
)
RESPONSE_BODY = b'{"asOf": 1, "items": []}'
VALID_RESPONSE = (
    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
    b"content-length: %d\r\n\r\n%s" % (len(RESPONSE_BODY), RESPONSE_BODY)
)


def mutate(rng, data):
    """Return random bytes, or a message with one or two mutations, maybe truncated."""
    if rng.random() < 0.2:
        return rng.randbytes(rng.randrange(1, 600))
    mutated = bytearray(data)
    for _ in range(rng.randrange(1, 3)):
        position = rng.randrange(len(mutated))
        mutated[position : position + rng.randrange(3)] = rng.randbytes(
            rng.randrange(3)
        )
    if rng.random() < 0.3:
        return bytes(mutated[: rng.randrange(1, len(mutated) + 1)])
    return bytes(mutated)


class TestServerMalformedInput(ServerTestCase):
    """Guards the HTTP server of all daemons against malformed requests."""

    def test_server_still_serves_after_malformed_requests(self):
        async def check(address, server):
            rng = random.Random(SEED)
            for _ in range(CASE_COUNT):
                stream = await trio.open_tcp_stream(address.host, address.port)
                async with stream:
                    try:
                        await stream.send_all(mutate(rng, VALID_REQUEST))
                        await stream.send_eof()
                        async for _ in stream:
                            pass
                    except trio.BrokenResourceError:
                        pass  # the server closes before it has read everything
            pool = ConnectionPool()
            async with pool.request(address, "POST", "/", body=b"after") as response:
                self.assertThat(await response.read(), Equals(b"after"))
            await pool.aclose()

        self.serve(check, receive_timeout_s=0.5)


class TestClientMalformedInput(AsyncTestCase):
    """Guards clients of other systems against responses that are not HTTP or JSON."""

    def send_malformed_responses(self, send_request):
        async def main():
            rng = random.Random(SEED)

            async def respond(stream):
                async with stream:
                    await stream.receive_some(65536)
                    # The client may have closed the connection.
                    with contextlib.suppress(trio.BrokenResourceError):
                        await stream.send_all(mutate(rng, VALID_RESPONSE))

            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = listeners[0].socket.getsockname()[1]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, respond, listeners)
                pool = ConnectionPool()
                for _ in range(CASE_COUNT):
                    await send_request(pool, Address("127.0.0.1", port))
                await pool.aclose()
                nursery.cancel_scope.cancel()

        self.run_async(main)

    def test_malformed_response_raises_only_client_error(self):
        errors = []

        async def send_request(pool, address):
            try:
                async with pool.request(address, "GET", "/") as response:
                    await response.json()
            except ClientError as exc:
                errors.append(exc)

        self.send_malformed_responses(send_request)
        # Some mutated responses are still valid, so the mutations are not too coarse.
        self.assertTrue(0 < len(errors) < CASE_COUNT, len(errors))

    def test_deeply_nested_response_raises_only_client_error(self):
        body = b"[" * 100_000
        data = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body

        async def main():
            async with trio.open_nursery() as nursery:
                address = await serve_bytes(data, nursery)
                pool = ConnectionPool()
                async with pool.request(address, "GET", "/") as response:
                    await self.catch_error(ClientError, response.json)
                await pool.aclose()

        self.run_async(main)

    def test_malformed_platform_response_raises_only_platform_error(self):
        errors = []

        async def send_request(pool, address):
            try:
                await KeyValueClient(pool, address, 2.0).range("contracts/")
            except PlatformError as exc:
                errors.append(exc)

        self.send_malformed_responses(send_request)
        # Some mutated responses are still valid, so the mutations are not too coarse.
        self.assertTrue(0 < len(errors) < CASE_COUNT, len(errors))


class TestEventSize(testtools.TestCase):
    """Guards memory against events that are too long."""

    def test_event_that_one_chunk_completes_is_limited_as_well(self):
        long_line = b"data: " + b"x" * MAX_EVENT_BYTES
        for chunks in ([long_line + b"\n\n"], [long_line, b"\n\n"]):
            parser = SseParser()
            with self.assertRaisesRegex(SseError, "too long"):
                for chunk in chunks:
                    list(parser.feed(chunk))
        (event,) = SseParser().feed(b"data: ok\n\n")
        self.assertThat(event.data, Equals("ok"))
