"""Buffers streams for callers that read more slowly than their servers send.

A server cuts off a response that stays unread for some seconds. With this buffer, a
stream is read from its server as it arrives. What the caller's connection does not take
at once is buffered, and a second task sends it. When there is no more room, the entry
stops reading from the server.

Events are accepted whole, before they are sent, and what was accepted is always sent
before anything else unless the caller's connection fails. So the last accepted event is
the one after which a stream goes on at another server.
"""

from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager
from typing import Protocol, TypeVar

import attrs
import trio

from foxtailcourse.http import ByteBudget

# Part of an entry's memory for what it buffers for slow callers and servers: 24 MB of
# 160 MB, which entries without this feature use for complete answers alone. A buffer
# may be allocated at twice its content, so it takes at most 0.3 of the memory.
BUFFERED_MEMORY_FRACTION = 0.15
# Part of it that streams leave for complete answers, which fail when there is no room.
ANSWERS_FRACTION = 0.25
# Part of it that one stream may use.
RESPONSE_FRACTION = 0.125
# Bytes that are passed to a caller's connection at once.
SEND_BYTES = 64 * 1024
# A stream that waits for other streams checks for room in this period.
ROOM_CHECK_S = 0.05

T = TypeVar("T")


@attrs.define
class HeldMemory:
    """Bounds what is buffered of the streams of an entry.

    A stream may use as much as the others leave free. So slow callers that came first
    cannot take all of the memory, and they are slowed down before it is full.

    Parameters
    ----------
    budget : ByteBudget
        Bytes buffered at the entry, also of complete answers.
    on_bound : callable
        Called with the bound, ``response`` or ``total``, each time a stream begins to
        wait for room.
    """

    budget: ByteBudget
    on_bound: Callable[[str], None] = attrs.field(default=lambda bound: None)
    _held_bytes: int = attrs.field(default=0, init=False)

    @property
    def held_bytes(self) -> int:
        """Bytes of streams that are buffered now."""
        return self._held_bytes

    def exceeded_bound(self, held_bytes: int, more_bytes: int) -> str:
        """Return the bound that keeps a stream from buffering more bytes.

        Parameters
        ----------
        held_bytes : int
            Bytes that the stream has buffered. One without any may always buffer its
            next events, so that no stream waits for the callers of other streams.
        more_bytes : int
            Bytes to add.

        Returns
        -------
        str
            Either ``response`` or ``total``, or empty if there is room.
        """
        if not held_bytes:
            return ""
        limit_bytes = self.budget.limit_bytes
        if held_bytes + more_bytes > RESPONSE_FRACTION * limit_bytes:
            return "response"
        streams_bytes = (1 - ANSWERS_FRACTION) * limit_bytes
        free_bytes = streams_bytes - self.budget.used_bytes
        return "total" if held_bytes + more_bytes > free_bytes else ""

    def add(self, byte_count: int) -> None:
        """Count bytes that a stream buffers, or that it has sent if negative."""
        self._held_bytes += byte_count
        self.budget.used_bytes += byte_count


class CallerConnection(Protocol):
    """Connection to the caller of a stream."""

    def send_now(self, data: bytes) -> int:
        """Send as many bytes as the connection takes at once; return their number."""

    async def send_some(self, data: bytes) -> int:
        """Wait until the connection takes bytes; return their number."""

    def mark_sent(self) -> None:
        """Record that all bytes of the response until now were sent."""


class HeldResponse:
    """The response to one caller, of which a part may be buffered.

    Parameters
    ----------
    memory : HeldMemory
        Bounds of the buffers.
    conn : CallerConnection
        Connection to the caller.

    Attributes
    ----------
    peak_bytes : int
        Most bytes that were buffered at once.
    """

    def __init__(self, memory: HeldMemory, conn: CallerConnection) -> None:
        self._memory = memory
        self._conn = conn
        self._buffer = bytearray()
        self._nursery: trio.Nursery | None = None
        self._sent = trio.Event()
        self._on_complete: Callable[[], None] | None = None
        self._failure: Exception | None = None
        self.peak_bytes = 0

    async def run(self, produce: Callable[[], Awaitable[T]]) -> T:
        """Call a function that accepts events; return once all of them were sent.

        Parameters
        ----------
        produce : coroutine function
            Calls ``wait_for_room``, ``accept`` and ``finish``.

        Raises
        ------
        trio.BrokenResourceError, trio.TooSlowError
            If the caller has closed the connection or accepts nothing for too long.
            The function is then cancelled.
        Exception
            What the function raises. It is raised once the events that were accepted
            before have been sent.
        """
        results: list[T] = []
        error: Exception | None = None
        try:
            async with trio.open_nursery() as self._nursery:
                try:
                    results.append(await produce())
                except Exception as exc:
                    error = exc
        except BaseExceptionGroup:
            # Both tasks were cancelled; callers expect a single Cancelled.
            await trio.lowlevel.checkpoint_if_cancelled()
            raise
        finally:
            self._nursery = None
            self._memory.add(-len(self._buffer))
            self._buffer.clear()
        if self._failure is not None:
            raise self._failure
        if error is not None:
            raise error
        return results[0]

    async def wait_for_room(
        self, byte_count: int, waiting: Callable[[], AbstractContextManager[None]]
    ) -> None:
        """Wait until events may be accepted.

        If it is cancelled, the events have not been accepted.

        Parameters
        ----------
        byte_count : int
            Size of the events.
        waiting : callable
            Returns a context that is entered for the time of the wait, if there is one.
        """
        bound = self._memory.exceeded_bound(len(self._buffer), byte_count)
        if not bound:
            return
        self._memory.on_bound(bound)
        with waiting():
            while self._memory.exceeded_bound(len(self._buffer), byte_count):
                with trio.move_on_after(ROOM_CHECK_S):
                    await self._sent.wait()

    def accept(self, data: bytes) -> None:
        """Send bytes after those accepted before, now or as the connection takes them.

        It has no checkpoint, so that events and the number of the last one are accepted
        together.
        """
        if not self._buffer:
            data = data[self._conn.send_now(data) :]
        if not data:
            if not self._buffer:
                self._record_emptied()
            return
        if not self._buffer and self._nursery is not None:
            self._nursery.start_soon(self._send_buffered, self._nursery.cancel_scope)
        self._buffer += data
        self._memory.add(len(data))
        self.peak_bytes = max(self.peak_bytes, len(self._buffer))

    def finish(self, data: bytes, on_complete: Callable[[], None]) -> None:
        """Accept the last bytes; call ``on_complete`` when everything was sent."""
        self._on_complete = on_complete
        self.accept(data)

    async def _send_buffered(self, scope: trio.CancelScope) -> None:
        """Send until nothing is buffered; a failure cancels the attempts."""
        try:
            while self._buffer:
                sent = await self._conn.send_some(bytes(self._buffer[:SEND_BYTES]))
                del self._buffer[:sent]
                self._memory.add(-sent)
                self._sent.set()
                self._sent = trio.Event()
        except Exception as exc:
            self._failure = exc
            scope.cancel()
            return
        self._record_emptied()

    def _record_emptied(self) -> None:
        self._conn.mark_sent()
        if self._on_complete is not None:
            self._on_complete()
