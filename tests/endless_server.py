"""A server whose responses never end, for tests of clients."""

import itertools

import trio

from foxtailcourse.settings import Address

# Beyond this the peer counts as one that reads for ever.
MAX_SENT_BYTES = 64 * 1024 * 1024


class EndlessServer:
    """Answers each connection with a head and then with one piece for ever.

    Attributes
    ----------
    sent_bytes : list of int
        Bytes that each connection took before the client closed it, the oldest first.
    """

    def __init__(self, head=b"", piece=b"x" * 65_536, pause_s=0.0):
        self.head, self.piece, self.pause_s = head, piece, pause_s
        self.sent_bytes = []
        self.closed = trio.Event()

    async def start(self, nursery):
        """Listen, and return the address."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)
        return Address("127.0.0.1", listeners[0].socket.getsockname()[1])

    async def _serve(self, stream):
        number = len(self.sent_bytes)
        self.sent_bytes.append(0)
        async with stream:
            try:
                await stream.receive_some(65536)
                for piece in itertools.chain([self.head], itertools.repeat(self.piece)):
                    await stream.send_all(piece)
                    self.sent_bytes[number] += len(piece)
                    if self.sent_bytes[number] > MAX_SENT_BYTES:
                        await trio.sleep_forever()
                    await trio.sleep(self.pause_s)
            except trio.BrokenResourceError:
                # The client closed the connection, which every test waits for.
                self.closed.set()
