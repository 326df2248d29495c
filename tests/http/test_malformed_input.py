import contextlib
import random

import trio
from test_server import ServerTestCase
from testtools.matchers import Equals

from foxtailcourse.http import ClientError, ConnectionPool
from foxtailcourse.platform import KeyValueClient, PlatformError
from foxtailcourse.settings import Address
from support import AsyncTestCase

SEED = 20261203
CASES = 400
REQUEST = (
    b"POST /json?a=b HTTP/1.1\r\nhost: a\r\nfoxtail-class: short\r\n"
    b'content-length: 13\r\nconnection: close\r\n\r\n{"a": [1, 2]}'
)
BODY = b'{"asOf": 1, "items": []}'
ANSWER = (
    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
    b"content-length: %d\r\n\r\n%s" % (len(BODY), BODY)
)


def altered(rng, data):
    """Return random bytes, or a message with one or two changes, sometimes cut."""
    if rng.random() < 0.2:
        return rng.randbytes(rng.randrange(1, 600))
    changed = bytearray(data)
    for _ in range(rng.randrange(1, 3)):
        at = rng.randrange(len(changed))
        changed[at : at + rng.randrange(3)] = rng.randbytes(rng.randrange(3))
    if rng.random() < 0.3:
        return bytes(changed[: rng.randrange(1, len(changed) + 1)])
    return bytes(changed)


class TestServerNoise(ServerTestCase):
    """Guards the listeners of entries, agents and administration alike."""

    def test_any_request_leaves_the_server_serving(self):
        async def check(address, server):
            rng = random.Random(SEED)
            for _ in range(CASES):
                stream = await trio.open_tcp_stream(address.host, address.port)
                async with stream:
                    try:
                        await stream.send_all(altered(rng, REQUEST))
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


class TestClientNoise(AsyncTestCase):
    """Guards callers of outside systems against answers that are no HTTP or JSON."""

    def answer_noise(self, ask):
        async def main():
            rng = random.Random(SEED)

            async def answer(stream):
                async with stream:
                    await stream.receive_some(65536)
                    # The client may have given up.
                    with contextlib.suppress(trio.BrokenResourceError):
                        await stream.send_all(altered(rng, ANSWER))

            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = listeners[0].socket.getsockname()[1]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, answer, listeners)
                pool = ConnectionPool()
                for _ in range(CASES):
                    await ask(pool, Address("127.0.0.1", port))
                await pool.aclose()
                nursery.cancel_scope.cancel()

        self.run_async(main)

    def test_any_answer_is_read_or_a_client_error(self):
        failed = []

        async def ask(pool, address):
            try:
                async with pool.request(address, "GET", "/") as response:
                    await response.json()
            except ClientError as exc:
                failed.append(exc)

        self.answer_noise(ask)
        # Some altered answers are still valid, so the alterations are not too coarse.
        self.assertTrue(0 < len(failed) < CASES, len(failed))

    def test_any_answer_of_the_platform_is_read_or_a_platform_error(self):
        failed = []

        async def ask(pool, address):
            try:
                await KeyValueClient(pool, address, 2.0).range("contracts/")
            except PlatformError as exc:
                failed.append(exc)

        self.answer_noise(ask)
        # Some altered answers are still valid, so the alterations are not too coarse.
        self.assertTrue(0 < len(failed) < CASES, len(failed))
