"""Tells the owners of a stream what began it, and asks them."""

from collections.abc import Awaitable, Callable, Iterable

import attrs
import trio

from foxtailcourse.ingress._peer_messages import (
    MAX_DATAGRAM_BYTES,
    Message,
    OriginAnswer,
    OriginQuery,
    OriginsUpdate,
    encode,
)
from foxtailcourse.ingress._stream_origins import (
    OwnerRing,
    StreamOrigin,
    StreamOrigins,
)
from foxtailcourse.observe import Metrics

# Owners that have not answered are asked once more after this time.
REPEAT_AFTER_S = 0.04
# A stream counts as unknown if no owner that knows it has answered within this time.
GIVE_UP_AFTER_S = 0.15

OriginRow = tuple[str, str, str]


@attrs.define
class OriginLookup:
    """Result of a search for the origin of a stream.

    Parameters
    ----------
    origin : StreamOrigin or None
        The origin, if it is known.
    asked : int
        Number of entries that were asked.
    """

    origin: StreamOrigin | None
    asked: int = 0


@attrs.define
class _Query:
    """A query that waits for its answers.

    Parameters
    ----------
    asked : set of str
        Entries that were asked and have not answered.
    origin : StreamOrigin or None
        The answer, once an entry knew it.
    done : trio.Event
        Set when the origin is known or no answer is missing.
    """

    asked: set[str]
    origin: StreamOrigin | None = None
    done: trio.Event = attrs.field(factory=trio.Event)

    def record_answer(self, sender: str, origin: StreamOrigin | None) -> None:
        if sender not in self.asked:
            return
        self.asked.discard(sender)
        self.origin = self.origin or origin
        if self.origin is not None or not self.asked:
            self.done.set()


@attrs.define
class OriginExchange:
    """Sends and receives the origins of streams.

    Any one of the owners that knows a stream is enough, so a lost datagram or owner
    costs nothing.

    Parameters
    ----------
    ring : OwnerRing
        Computes the owners.
    send : coroutine function
        Sends a message to entries.
    clock : callable
        Returns seconds since boot.
    metrics : Metrics
        Counts streams that cannot be recorded.

    Attributes
    ----------
    origins : StreamOrigins
        Streams that this entry began, owns or has asked for.
    """

    ring: OwnerRing
    send: Callable[[Message, Iterable[str]], Awaitable[None]]
    clock: Callable[[], float]
    metrics: Metrics
    origins: StreamOrigins = attrs.field(factory=StreamOrigins)
    _pending: dict[str, list[OriginRow]] = attrs.field(factory=dict, init=False)
    _answers: list[tuple[str, OriginAnswer]] = attrs.field(factory=list, init=False)
    _publish_wakeup: trio.Event = attrs.field(factory=trio.Event, init=False)
    _answer_wakeup: trio.Event = attrs.field(factory=trio.Event, init=False)
    _queries: dict[str, list[_Query]] = attrs.field(factory=dict, init=False)

    async def run(self) -> None:
        """Send what was published and asked until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_published)
            nursery.start_soon(self._send_answers)

    def publish(self, request_id: str, origin: StreamOrigin) -> None:
        """Record a stream whose first event has arrived, here and at its owners."""
        if not self.origins.record(request_id, origin, self.clock()):
            self.metrics.count("foxtail_ingress_unrecorded_streams_total")
            return
        row = (request_id, origin.service, origin.software_version)
        for vm in self.ring.owners(request_id):
            self._pending.setdefault(vm, []).append(row)
        self._publish_wakeup.set()

    def remember(self, request_id: str, origin: StreamOrigin) -> None:
        """Record a stream that another entry began, here only."""
        if self.origins.get(request_id, self.clock()) is None:
            self.origins.record(request_id, origin, self.clock())

    def handle(
        self, message: OriginsUpdate | OriginQuery | OriginAnswer, sender: str
    ) -> None:
        """Handle one message of the registered entry ``sender``."""
        now = self.clock()
        match message:
            case OriginsUpdate(rows):
                for request_id, service, software_version in rows:
                    origin = StreamOrigin(service, software_version)
                    self.origins.record(request_id, origin, now)
            case OriginQuery(request_id):
                known = self.origins.get(request_id, now)
                row = attrs.astuple(known) if known else None
                self._answers.append((sender, OriginAnswer(request_id, row)))
                self._answer_wakeup.set()
            case OriginAnswer(request_id, row):
                answer = StreamOrigin(*row) if row else None
                for query in self._queries.get(request_id, ()):
                    query.record_answer(sender, answer)

    async def find(self, request_id: str) -> OriginLookup:
        """Return the origin of a stream from the own table or from its owners."""
        known = self.origins.get(request_id, self.clock())
        if known is not None:
            return OriginLookup(known)
        asked = self.ring.asked(request_id) if request_id else []
        if not asked:
            return OriginLookup(None)
        query = _Query(set(asked))
        queries = self._queries.setdefault(request_id, [])
        queries.append(query)
        try:
            with trio.move_on_after(GIVE_UP_AFTER_S):
                await self._ask(request_id, query)
        finally:
            queries.remove(query)
            if not queries:
                del self._queries[request_id]
        return OriginLookup(query.origin, len(asked))

    async def _ask(self, request_id: str, query: _Query) -> None:
        message = OriginQuery(request_id)
        await self.send(message, query.asked)
        with trio.move_on_after(REPEAT_AFTER_S):
            await query.done.wait()
        if not query.done.is_set():
            await self.send(message, query.asked)
            await query.done.wait()

    async def flush(self) -> None:
        """Send what was published; it has left this process on return."""
        pending, self._pending = self._pending, {}
        for vm, rows in pending.items():
            for batch in _batches(rows):
                await self.send(OriginsUpdate(batch), [vm])

    async def _send_published(self) -> None:
        while True:
            await self._publish_wakeup.wait()
            self._publish_wakeup = trio.Event()
            await self.flush()

    async def _send_answers(self) -> None:
        while True:
            await self._answer_wakeup.wait()
            self._answer_wakeup = trio.Event()
            answers, self._answers = self._answers, []
            for vm, answer in answers:
                await self.send(answer, [vm])


def _batches(rows: list[OriginRow]) -> list[list[OriginRow]]:
    """Return the rows in batches that fit a datagram, except a row that is too long."""
    batches: list[list[OriginRow]] = []
    size_bytes = MAX_DATAGRAM_BYTES
    empty_bytes = len(encode(OriginsUpdate([]))) + 4
    for row in rows:
        row_bytes = len(encode(OriginsUpdate([row])))
        if size_bytes + row_bytes > MAX_DATAGRAM_BYTES:
            batches.append([])
            size_bytes = empty_bytes
        batches[-1].append(row)
        size_bytes += row_bytes
    return batches
