"""Index of the blocks that one engine holds, fed by its events and replies."""

import enum
from collections import deque
from collections.abc import Sequence
from itertools import islice

KEPT_INCARNATIONS = 16
DROP_PART = 16


class EventOutcome(enum.Enum):
    """What became of a cache event."""

    APPLIED = "applied"
    REPEATED = "repeated"
    FORMER = "former_incarnation"
    GAP = "gap"


class BlockIndex:
    """Set of block keys that the current incarnation of an engine holds.

    A key names client account, model, adapter and weights version through the root
    of its chain, so that a match never crosses them. The index may miss blocks; it is
    emptied whenever it could name blocks that are gone: on a new incarnation, after
    a gap in the event sequence, and while the events are not heard of.

    Parameters
    ----------
    capacity : int
        Most keys kept; a sixteenth, those stored first, is dropped when it is reached.
    stale_after_s : float
        Without an answered poll for this long nothing is matched.
    """

    def __init__(self, capacity: int, stale_after_s: float) -> None:
        self._capacity = capacity
        self._stale_after_s = stale_after_s
        # A dict keeps the order of insertion at half of OrderedDict's memory.
        self._keys: dict[bytes, None] = {}
        self._former: deque[str] = deque(maxlen=KEPT_INCARNATIONS)
        self._heard_at = float("-inf")
        self.next_seq = 1
        self.incarnation = ""
        self.drops = 0

    def __len__(self) -> int:
        return len(self._keys)

    def match(self, keys: Sequence[bytes], now: float) -> int:
        """Return the number of leading blocks held."""
        if now - self._heard_at > self._stale_after_s:
            return 0
        for count, key in enumerate(keys):
            if key not in self._keys:
                return count
        return len(keys)

    def heard(self, incarnation: str, now: float) -> bool:
        """Note that an incarnation answered a poll for cache events.

        Returns
        -------
        bool
            Whether it is a new one, so that the index was emptied.
        """
        if incarnation not in self._former:
            self._heard_at = now
        return self.seen(incarnation)

    def seen(self, incarnation: str) -> bool:
        """Note an incarnation by other means than its events; returns as ``heard``."""
        return incarnation not in self._former and self._adopt(incarnation)

    def apply(
        self,
        incarnation: str,
        seq: int,
        stored: bool,
        keys: Sequence[bytes],
        now: float,
    ) -> EventOutcome:
        """Apply one cache event.

        Parameters
        ----------
        incarnation : str
            Incarnation that published the event.
        seq : int
            Number of the event, from 1 without gaps in each incarnation.
        stored : bool
            Whether the blocks were stored, else evicted.
        keys : sequence of bytes
            Block keys.
        now : float
            Time of receipt.
        """
        if incarnation != self.incarnation:
            # Only an answered poll or reply makes an incarnation the current one.
            return EventOutcome.FORMER
        if seq < self.next_seq:
            return EventOutcome.REPEATED
        gap = seq > self.next_seq
        if gap:
            self._drop()
        self.next_seq = seq + 1
        if stored:
            self._store(keys)
        else:
            for key in keys:
                self._keys.pop(key, None)
        return EventOutcome.GAP if gap else EventOutcome.APPLIED

    def replied(
        self, incarnation: str, keys: Sequence[bytes], cached: int, now: float
    ) -> None:
        """Note a reply to a prompt: its blocks are now computed and held.

        Parameters
        ----------
        incarnation : str
            Incarnation that replied; one known to be former is ignored.
        keys : sequence of bytes, shape (n_blocks,)
            Keys of the prompt's full blocks.
        cached : int
            Leading blocks that the engine found cached. Blocks that the index held
            beyond these had been evicted without an event.
        now : float
            Time of receipt.
        """
        if not incarnation or incarnation in self._former:
            return
        self._adopt(incarnation)
        for key in keys[cached:]:
            self._keys.pop(key, None)
        self._store(keys)

    def _adopt(self, incarnation: str) -> bool:
        if incarnation == self.incarnation:
            return False
        if self.incarnation:
            self._former.append(self.incarnation)
        self.incarnation = incarnation
        self.next_seq = 1
        self._drop()
        return True

    def _drop(self) -> None:
        if self._keys:
            self.drops += 1
        self._keys = {}

    def _store(self, keys: Sequence[bytes]) -> None:
        for key in keys:
            self._keys[key] = None
        if len(self._keys) > self._capacity:
            # Finding the oldest key passes over the places of all deleted ones, so
            # that many are dropped in one go.
            excess = len(self._keys) - self._capacity + self._capacity // DROP_PART
            for key in list(islice(self._keys, excess)):
                del self._keys[key]
