"""Loopback proxy that harms the connections of one address."""

import socket

import trio

from foxtailcourse.settings import Address


class Proxy:
    """Forwards connections of one address, or delays, cuts or silences them."""

    def __init__(self, target: Address) -> None:
        self._target = target
        self.mode = "pass"
        self._streams: set[trio.SocketStream] = set()

    async def run(self, *, task_status) -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        task_status.started(Address("127.0.0.1", listeners[0].socket.getsockname()[1]))
        await trio.serve_listeners(self._serve, listeners)

    def reset(self) -> None:
        for stream in list(self._streams):
            if stream.socket.fileno() < 0:
                # Seed 120: closed by its own task, which has not run on yet.
                continue
            option = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
            stream.socket.close()
        self._streams.clear()

    async def _serve(self, near) -> None:
        try:
            far = await trio.open_tcp_stream(self._target.host, self._target.port)
        except OSError:
            await near.aclose()
            return
        self._streams |= {near, far}
        try:
            async with near, far, trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, near, far, nursery.cancel_scope, "in")
                nursery.start_soon(self._pump, far, near, nursery.cancel_scope, "out")
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # a cut connection is what the proxy is for
        finally:
            self._streams -= {near, far}

    async def _pump(self, source, sink, scope, way) -> None:
        while data := await source.receive_some(65536):
            while self.mode == "silent" or self.mode == f"cut {way}":
                await trio.sleep(0.05)
            if self.mode == "delay":
                await trio.sleep(0.1)
            await sink.send_all(data)
        scope.cancel()
