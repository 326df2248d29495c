import trio

from foxtailcourse.http import ClientError, ConnectionPool
from raw_server import serve_bytes
from support import AsyncTestCase, run_trio

WHOLE_BODIES = (
    (b"application/json", b'{"held": 1}'),
    (b"application/problem+json; charset=utf-8", b"[]"),
    (b"text/event-stream", b"id: 1\ndata: x\n\n: comment\n"),
    (b"text/plain", b"any text"),
)
BROKEN_OFF_BODIES = (
    (b"application/json", b'{"held": 1'),
    (b"application/problem+json; charset=utf-8", b"["),
    (b"text/event-stream", b"id: 1\ndata: x\n"),
    (b"text/plain", b""),
)


class TestUnframedResponses(AsyncTestCase):
    """Guards bodies whose end is the end of their connection."""

    async def read(self, content_type, body, status=b"200", length=b""):
        """Return the body of a response; None if it counts as broken off."""
        head = b"HTTP/1.1 " + status + b" X\r\ncontent-type: " + content_type
        async with trio.open_nursery() as nursery:
            address = await serve_bytes(nursery, head + length + b"\r\n\r\n" + body)
            pool = ConnectionPool()
            try:
                async with pool.request(address, "GET", "/x") as response:
                    return await response.read()
            except ClientError:
                return None
            finally:
                await pool.aclose()
                nursery.cancel_scope.cancel()

    @run_trio
    async def test_whole_body_is_accepted(self):
        for content_type, body in WHOLE_BODIES:
            self.assertEqual(body, await self.read(content_type, body))

    @run_trio
    async def test_body_that_ends_too_early_is_not_taken_for_a_whole_one(self):
        for content_type, body in BROKEN_OFF_BODIES:
            self.assertIsNone(await self.read(content_type, body))

    @run_trio
    async def test_only_unframed_success_is_judged_by_its_content(self):
        for content_type, body in BROKEN_OFF_BODIES:
            self.assertEqual(body, await self.read(content_type, body, b"500"))
            length = b"\r\ncontent-length: %d" % len(body)
            received = await self.read(content_type, body, length=length)
            self.assertEqual(body, received)
