"""Block cache of the engine stand-in, and the events it publishes."""

from collections import OrderedDict, deque
from collections.abc import Sequence
from typing import Any

import attrs
import trio

MAX_KEPT_EVENTS = 10_000


@attrs.frozen
class CacheEvent:
    """Blocks were stored in or evicted from the cache.

    Parameters
    ----------
    seq : int
        Number of the event, from 1 in each incarnation.
    incarnation : str
        Incarnation of the engine that published it.
    kind : str
        ``stored`` or ``evicted``.
    keys : tuple of bytes
        Block keys.
    visible_at : float
        When a reader first sees it.
    """

    seq: int
    incarnation: str
    kind: str
    keys: tuple[bytes, ...]
    visible_at: float

    def as_json(self) -> dict[str, Any]:
        """Return the event as ``GET /events`` shows it."""
        keys = [key.hex() for key in self.keys]
        return {
            "seq": self.seq,
            "incarnation": self.incarnation,
            "kind": self.kind,
            "keys": keys,
        }


class EventFeed:
    """Cache events, late and with gaps if so set.

    Parameters
    ----------
    delay_s : float
        Time until a reader sees an event.
    """

    def __init__(self, delay_s: float) -> None:
        self.delay_s = delay_s
        self.lose = 0
        self.late: list[CacheEvent] = []
        self._events: deque[CacheEvent] = deque(maxlen=MAX_KEPT_EVENTS)
        self._seq = 0
        self._restarts = 0
        self._added = trio.Event()

    def publish(self, incarnation: str, kind: str, keys: Sequence[bytes]) -> None:
        """Add an event; while ``lose`` is positive it gets a number but is lost."""
        self._seq += 1
        if self.lose:
            self.lose -= 1
            return
        visible_at = trio.current_time() + self.delay_s
        event = CacheEvent(self._seq, incarnation, kind, tuple(keys), visible_at)
        self._events.append(event)
        self._wake()

    def restart(self, keep_late: bool) -> None:
        """Begin a new incarnation; unread events may still arrive, late."""
        if keep_late:
            self.late += self._events
        self._events.clear()
        self._seq = 0
        self._restarts += 1
        self._wake()

    def _wake(self) -> None:
        self._added.set()
        self._added = trio.Event()

    async def read(self, after: int, timeout_s: float) -> list[CacheEvent]:
        """Return the visible events after a number, waiting for the first.

        A restart ends the wait, since the number belongs to the old incarnation.
        """
        restarts = self._restarts
        with trio.move_on_after(timeout_s):
            while restarts == self._restarts:
                now = trio.current_time()
                ready = [each for each in self._events if each.seq > after]
                visible = [each for each in ready if each.visible_at <= now]
                if visible or self.late:
                    late, self.late = self.late, []
                    return late + visible
                with trio.move_on_at(ready[0].visible_at if ready else now + 3600):
                    await self._added.wait()
        return []


class BlockCache:
    """Least-recently-used cache of prompt blocks, separate for each salt."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._blocks: OrderedDict[tuple[str, bytes], None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._blocks)

    def match(self, salt: str, keys: Sequence[bytes]) -> int:
        """Return the number of leading blocks held, and mark them as used."""
        matched = 0
        for key in keys:
            if (salt, key) not in self._blocks:
                break
            self._blocks.move_to_end((salt, key))
            matched += 1
        return matched

    def store(
        self, salt: str, keys: Sequence[bytes]
    ) -> tuple[list[bytes], list[bytes]]:
        """Store blocks; return those that are new and those evicted."""
        new, evicted = [], []
        for key in keys:
            if (salt, key) not in self._blocks:
                new.append(key)
            self._blocks[(salt, key)] = None
            self._blocks.move_to_end((salt, key))
        while len(self._blocks) > self.capacity:
            (_, key), _ = self._blocks.popitem(last=False)
            evicted.append(key)
        return new, evicted

    def clear(self) -> None:
        """Forget everything."""
        self._blocks.clear()
