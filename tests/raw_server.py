"""A server that answers each connection with given bytes and closes it."""

import trio

from foxtailcourse.settings import Address


async def serve_bytes(nursery, data):
    """Listen, and return the address."""

    async def respond(stream):
        async with stream:
            await stream.receive_some(65536)
            await stream.send_all(data)

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, respond, listeners)
    return Address("127.0.0.1", listeners[0].socket.getsockname()[1])
