import trio
from testtools.matchers import Equals

from foxtailcourse.http import ConnectionPool
from foxtailcourse.settings import Address
from support import AsyncTestCase


class TestSecondResponse(AsyncTestCase):
    """Guards the next request on a connection against a second copy of a response."""

    def test_second_copy_of_a_response_is_not_taken_for_the_next_one(self):
        async def respond(stream):
            """Answer each request with its target, twice."""
            async with stream:
                while request := await stream.receive_some(4096):
                    target = request.split()[1]
                    fields = b"content-length: %d\r\n\r\n" % len(target)
                    await stream.send_all(
                        (b"HTTP/1.1 200 OK\r\n" + fields + target) * 2
                    )

        async def main():
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            address = Address("127.0.0.1", listeners[0].socket.getsockname()[1])
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, respond, listeners)
                pool = ConnectionPool()
                for target in ("/one", "/two", "/three"):
                    async with pool.request(address, "GET", target) as response:
                        self.assertThat(await response.read(), Equals(target.encode()))
                await pool.aclose()
                nursery.cancel_scope.cancel()

        self.run_async(main)
