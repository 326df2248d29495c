"""Base class of the tests that talk to an HttpServer with raw bytes."""

import trio

from foxtailcourse.http import Exchange, HttpLimits, HttpServer
from foxtailcourse.settings import Address
from support import AsyncTestCase


class HttpServerCase(AsyncTestCase):
    """Serves ``/held`` once ``release`` is set, and other paths at once."""

    async def handle(self, exchange: Exchange) -> None:
        if exchange.path == "/held":
            self.began.set()
            await self.release.wait()
        await exchange.respond(200, exchange.path.encode())

    def serve(self, check, **limits):
        async def main():
            self.began, self.release = trio.Event(), trio.Event()
            server = self.make_server(HttpLimits(**limits))
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = listeners[0].socket.getsockname()[1]
            async with trio.open_nursery() as nursery:
                await nursery.start(server.serve, listeners)
                await check(Address("127.0.0.1", port), server)
                nursery.cancel_scope.cancel()

        self.run_async(main)

    def make_server(self, limits):
        return HttpServer(self.handle, limits, lambda exchange, exc: None)

    async def connect(self, address):
        return await trio.open_tcp_stream(address.host, address.port)

    async def receive_until(self, stream, until):
        """Return the bytes up to the given ones, or to the end of the connection."""
        received = b""
        while until not in received:
            data = await stream.receive_some(65536)
            if not data:
                break
            received += data
        return received

    async def send_bytes(self, address, data, until=b"\0"):
        """Return what the server sends in response, up to the given bytes."""
        async with await self.connect(address) as stream:
            await stream.send_all(data)
            return await self.receive_until(stream, until)
