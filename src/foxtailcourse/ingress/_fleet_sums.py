"""Sums over the fleet that decay exponentially.

Each entry adds to its own sums by key and hears those of the others. Decayed sums are
additive, a lost message only delays a change, and the contribution of an entry that
disappears ages out.
"""

import math
import operator
from collections.abc import Iterable, Iterator, Mapping, Sequence

import attrs
import trio

# Key, and decayed sums at the time of sending.
SumRow = tuple[str, list[float]]
# Decay time of the rows of others if neither they nor this entry state one.
DEFAULT_TAU_S = 2.0
# Sums below this are not sent. The smallest amounts that matter are one request and
# one millisecond.
NEAR_ZERO = 1e-3
# Sums to which nothing was added for this number of decay times are below a thousandth
# of what they were, and count as near zero, too.
NEAR_ZERO_TAUS = 7.0
# A key is forgotten if nothing was added for this time; a user that needs the key
# longer adds zero.
KEY_IDLE_S = 60.0
# A row of a source that is heard is kept for this time, in which two messages may be
# lost.
ROW_VALID_S = 1.5
# A source with more rows than it sends in a period repeats the ones that changed least
# after some seconds.
PARTIAL_ROW_VALID_S = 6.0


@attrs.define
class _OwnSum:
    """Sums of this entry for one key, decayed up to ``as_of``."""

    amounts: tuple[float, ...]
    tau_s: float
    as_of: float

    def decayed(self, now: float) -> tuple[float, ...]:
        return _decay(self.amounts, now - self.as_of, self.tau_s)


@attrs.define
class SourceSums:
    """What one source said of the sums of other entries.

    Attributes
    ----------
    entries : int
        Number of other entries that the rows cover.
    heard_at : float
        When the source was last heard, in seconds since boot.
    has_keys : bool
        Whether one of these entries keeps sums.
    is_partial : bool
        Whether the source has more rows than it sends in a period.
    """

    entries: int = 0
    heard_at: float = float("-inf")
    has_keys: bool = False
    is_partial: bool = False
    # When the newest message was sent, by the clock of the source in milliseconds.
    _sent_ms: int = 0
    # Sums, when they arrived and the decay time that the source stated, by key.
    _rows: dict[str, tuple[tuple[float, ...], float, float | None]] = attrs.field(
        factory=dict
    )

    def __iter__(self) -> Iterator[str]:
        return iter(self._rows)

    def is_newer(self, sent_ms: int, now: float) -> bool:
        """Whether a message was not overtaken by another one; remembers it.

        The clock of a source that was silent may have started again.
        """
        if sent_ms < self._sent_ms and now - self.heard_at <= ROW_VALID_S:
            return False
        self._sent_ms = sent_ms
        return True

    def replace(self, rows: Iterable[SumRow], entries: int, now: float) -> None:
        """Replace all rows."""
        self._rows.clear()
        self.merge(((*row, None) for row in rows), entries, now)

    def merge(
        self,
        rows: Iterable[tuple[str, Sequence[float], float | None]],
        entries: int,
        now: float,
    ) -> None:
        """Replace the rows of the given keys; keep the others.

        Parameters
        ----------
        rows : iterable of tuple
            Key, sums, and the decay time of the source in seconds or None.
        entries : int
            Number of other entries that all rows cover.
        now : float
            Present time in seconds since boot.
        """
        self.heard_at, self.entries = now, max(0, entries)
        for key, amounts, tau_s in rows:
            if is_near_zero(amounts):
                self._rows.pop(key, None)
            else:
                self._rows[key] = (_usable(amounts), now, tau_s)

    def tau_s(self, key: str) -> float | None:
        """Return the decay time that the source stated for a key, in seconds."""
        row = self._rows.get(key)
        return row[2] if row else None

    def decayed(
        self, key: str, now: float, tau_s: float | None = None
    ) -> tuple[float, ...]:
        """Return the sums of a key, decayed since they arrived; () if unknown.

        ``tau_s`` takes precedence over the decay time that the source stated.
        """
        row = self._rows.get(key)
        if row is None:
            return ()
        amounts, arrived_at, stated_s = row
        return _decay(amounts, now - arrived_at, tau_s or stated_s or DEFAULT_TAU_S)

    def expire(self, now: float) -> None:
        """Remove rows that were not sent again in time."""
        valid_s = PARTIAL_ROW_VALID_S if self.is_partial else ROW_VALID_S
        self._rows = {k: v for k, v in self._rows.items() if now - v[1] < valid_s}


class FleetSums:
    """Decayed sums of this entry and of the others, by key.

    Parameters
    ----------
    hold_s : float
        Time in seconds after which a source that was not heard no longer counts.

    Attributes
    ----------
    urgent : trio.Event
        Set when a key was marked as urgent; replaced by ``take_urgent``.
    """

    def __init__(self, hold_s: float = 1.5) -> None:
        self.hold_s = hold_s
        self.urgent = trio.Event()
        self._own: dict[str, _OwnSum] = {}
        self._sources: dict[str, SourceSums] = {}
        self._urgent_keys: set[str] = set()

    # Own sums

    def add(self, key: str, amounts: Sequence[float], tau_s: float, now: float) -> None:
        """Add to this entry's sums of a key.

        Parameters
        ----------
        key : str
            Name of the sums.
        amounts : sequence of float
            Amounts to add; negative ones take back, but a sum never gets below 0.
        tau_s : float
            Decay time of the key in seconds.
        now : float
            Present time in seconds since boot.
        """
        present = self.own(key, now)
        self.set_own(key, add_amounts(present, amounts), tau_s, now)

    def set_own(
        self, key: str, amounts: Sequence[float], tau_s: float, now: float
    ) -> None:
        """Replace this entry's sums of a key; arguments as of ``add``."""
        self._own[key] = _OwnSum(_usable(amounts), tau_s, now)

    def own(self, key: str, now: float) -> tuple[float, ...]:
        """Return this entry's sums of a key; () if the key is unknown."""
        own = self._own.get(key)
        return own.decayed(now) if own else ()

    def own_rows(self, now: float) -> list[SumRow]:
        """Return the own sums to send, without those near zero."""
        self._forget_idle(now)
        rows = [
            (key, list(own.decayed(now)))
            for key, own in self._own.items()
            if now - own.as_of < NEAR_ZERO_TAUS * own.tau_s
        ]
        return [row for row in rows if not is_near_zero(row[1])]

    def own_tau_s(self, key: str) -> float | None:
        """Return the decay time of a key of this entry in seconds, or None."""
        own = self._own.get(key)
        return own.tau_s if own else None

    @property
    def has_own_keys(self) -> bool:
        """Whether this entry keeps sums."""
        return bool(self._own)

    def _forget_idle(self, now: float) -> None:
        self._own = {k: v for k, v in self._own.items() if now - v.as_of < KEY_IDLE_S}

    # Sums of others

    def update_others(
        self, source: str, rows: Iterable[SumRow], entries: int, now: float
    ) -> None:
        """Replace what a source said.

        Parameters
        ----------
        source : str
            An entry, or a relay for the rest of the fleet.
        rows : iterable of tuple
            Key and sums.
        entries : int
            Number of other entries that the rows cover.
        now : float
            Present time in seconds since boot.
        """
        self._sources.setdefault(source, SourceSums()).replace(rows, entries, now)

    def use_sources(self, sources: Mapping[str, SourceSums]) -> None:
        """Use these sources in place of all earlier ones.

        No entry may be covered by two of them.
        """
        self._sources = dict(sources)

    def others(self, key: str, now: float) -> tuple[float, ...]:
        """Return the sums of the other entries, decayed since they arrived."""
        tau_s = self.own_tau_s(key)
        total: tuple[float, ...] = ()
        for source in self._heard(now):
            total = add_amounts(total, source.decayed(key, now, tau_s))
        return total

    def total(self, key: str, now: float) -> tuple[float, ...]:
        """Return the sums of all entries."""
        return add_amounts(self.own(key, now), self.others(key, now))

    def heard_entries(self, now: float) -> int:
        """Return how many other entries are covered by sources heard in time."""
        return sum(source.entries for source in self._heard(now))

    def _heard(self, now: float) -> list[SourceSums]:
        return [
            source
            for source in self._sources.values()
            if now - source.heard_at <= self.hold_s
        ]

    def keys(self, prefix: str) -> list[str]:
        """Return the keys with a prefix, of this entry or of a source."""
        keys = dict.fromkeys(self._own)
        for source in self._sources.values():
            keys |= dict.fromkeys(source)
        return [key for key in keys if key.startswith(prefix)]

    # Sending

    def mark_urgent(self, key: str) -> None:
        """Send a key at once instead of with the next period."""
        self._urgent_keys.add(key)
        self.urgent.set()

    def take_urgent(self) -> set[str]:
        """Return the keys marked as urgent, and unmark them."""
        keys, self._urgent_keys = self._urgent_keys, set()
        self.urgent = trio.Event()
        return keys


def is_near_zero(amounts: Iterable[float]) -> bool:
    """Whether sums are too small to be sent."""
    return max(amounts, default=0.0) < NEAR_ZERO


def add_amounts(left: Sequence[float], right: Sequence[float]) -> tuple[float, ...]:
    """Return the sums of two rows, of which one may be shorter."""
    if len(left) == len(right):
        return tuple(map(operator.add, left, right))
    if not left:
        return tuple(right)
    if len(left) < len(right):
        left, right = right, left
    return tuple(
        each + (right[n] if n < len(right) else 0.0) for n, each in enumerate(left)
    )


def _decay(
    amounts: tuple[float, ...], elapsed_s: float, tau_s: float
) -> tuple[float, ...]:
    if elapsed_s <= 0 or not amounts:
        return amounts
    factor = math.exp(-elapsed_s / tau_s) if tau_s > 0 else 0.0
    return tuple([each * factor for each in amounts])


def _usable(amounts: Iterable[float]) -> tuple[float, ...]:
    """Return amounts without negative and infinite ones and those without a value."""
    return tuple([each if 0 <= each < math.inf else 0.0 for each in amounts])
