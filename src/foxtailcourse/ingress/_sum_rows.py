"""Rows of sums in messages: which ones are sent, and how they fit into datagrams."""

import heapq
import math
import operator
from collections.abc import Iterable, Sequence, Set

import attrs
import msgspec

from foxtailcourse.ingress._fleet_sums import (
    DEFAULT_TAU_S,
    SourceSums,
    add_amounts,
    is_near_zero,
)
from foxtailcourse.ingress._peer_messages import MAX_DATAGRAM_BYTES, SumWireRow

# Rows in one period to one receiver. A fleet with 81 accounts and 25 servers has 187.
MAX_ROWS_PER_PERIOD = 190
# The same in a fleet of more than LARGE_FLEET_ENTRIES, where an entry may use 22 KB/s:
# 150 rows of 27 bytes in each direction each 0.4 s are 20 KB/s.
LARGE_FLEET_ENTRIES = 300
MAX_ROWS_IN_LARGE_FLEET = 150
# Bytes of a message besides its rows.
HEADER_BYTES = 32
# Amounts from here on are sent as whole numbers, which need fewer bytes.
WHOLE_AMOUNT = 100.0
# A row of a key without sums is sent this number of times, as one may be lost.
ZERO_ROW_REPEATS = 2

Amounts = tuple[float, ...]


@attrs.define
class SumTotals:
    """Sums over several entries at one time, by key.

    Attributes
    ----------
    amounts : dict of str to tuple
        Sums by key.
    taus_s : dict of str to float
        Decay times in seconds.
    """

    amounts: dict[str, Amounts] = attrs.field(factory=dict)
    taus_s: dict[str, float] = attrs.field(factory=dict)

    def add(self, key: str, amounts: Sequence[float], tau_s: float | None) -> None:
        """Add to the sums of a key."""
        self.amounts[key] = add_amounts(self.amounts.get(key, ()), amounts)
        if tau_s:
            self.taus_s.setdefault(key, tau_s)

    def add_source(self, source: SourceSums, now: float, only: Set[str] | None) -> None:
        """Add the sums of a source, all of them if ``only`` is None."""
        for key in source if only is None else only:
            tau_s = self.taus_s.get(key)
            amounts = source.decayed(key, now, tau_s)
            self.add(key, amounts, source.tau_s(key))

    def copy(self) -> "SumTotals":
        """Return totals that can be added to without a change of these."""
        return SumTotals(dict(self.amounts), dict(self.taus_s))

    def rows(
        self, keys: Iterable[str], without: SourceSums | None, now: float
    ) -> list[SumWireRow]:
        """Return the rows of keys, less the sums of one source that they contain."""
        rows: list[SumWireRow] = []
        for key in keys:
            amounts = self.amounts.get(key, ())
            if without is not None:
                part = without.decayed(key, now, self.taus_s.get(key))
                amounts = add_amounts(amounts, [-each for each in part])
            tau_ms = round(self.taus_s.get(key, DEFAULT_TAU_S) * 1000)
            rows.append((key, [_compact(each) for each in amounts], tau_ms))
        return rows


@attrs.define
class RowSelection:
    """Keys to send to receivers that get the same messages.

    All of them if they fit into ``max_rows``, otherwise the ones that differ most from
    what the receivers assume. The receivers let rows decay, so that others
    deviate by what was added since.

    Attributes
    ----------
    max_rows : int
        Largest number of keys to send at once.
    is_partial : bool
        Whether the last selection among all keys did not have room for all.
    """

    max_rows: int = attrs.field(default=MAX_ROWS_PER_PERIOD, init=False)
    is_partial: bool = attrs.field(default=False, init=False)

    # Last sums sent, when, and their decay time, by key.
    _sent: dict[str, tuple[Amounts, float, float]] = attrs.field(factory=dict)
    # How often a key without sums was sent.
    _zeros: dict[str, int] = attrs.field(factory=dict)

    def select(
        self, totals: SumTotals, now: float, only: Set[str] | None = None
    ) -> list[str]:
        """Return the keys to send, and count them as sent.

        Parameters
        ----------
        totals : SumTotals
            Present sums.
        now : float
            Present time in seconds since boot.
        only : set of str
            Urgent keys; None for all.
        """
        present = {k for k, v in totals.amounts.items() if not is_near_zero(v)}
        keys = present | self._sent.keys()
        if only is not None:
            keys &= only
        else:
            self.is_partial = len(keys) > self.max_rows
        if len(keys) > self.max_rows:
            changes = self._changes(keys, totals, now)
            keys = set(heapq.nlargest(self.max_rows, keys, key=changes.__getitem__))
        for key in keys:
            if key in present:
                tau_s = totals.taus_s.get(key, DEFAULT_TAU_S)
                self._sent[key] = (totals.amounts[key], now, tau_s)
                self._zeros.pop(key, None)
            else:
                self._zeros[key] = self._zeros.get(key, 0) + 1
                if self._zeros[key] >= ZERO_ROW_REPEATS:
                    del self._sent[key], self._zeros[key]
        return sorted(keys)

    def _changes(
        self, keys: Set[str], totals: SumTotals, now: float
    ) -> dict[str, float]:
        """Return by how much the receivers are wrong, relative to all keys of a kind.

        The kind is the part of the key before the first slash.
        """
        kinds: dict[str, Amounts] = {}
        differences = {}
        for key in keys:
            amounts = totals.amounts.get(key, ())
            kind = key.partition("/")[0]
            kinds[kind] = add_amounts(kinds.get(kind, ()), amounts)
            sent, sent_at, tau_s = self._sent.get(key, ((), now, DEFAULT_TAU_S))
            if sent:
                factor = -math.exp((sent_at - now) / tau_s)
                amounts = add_amounts(amounts, [each * factor for each in sent])
            differences[key] = amounts
        scales = {
            kind: [1.0 / each if each else 0.0 for each in whole]
            for kind, whole in kinds.items()
        }
        return {
            key: max(
                map(abs, map(operator.mul, each, scales[key.partition("/")[0]])),
                default=0.0,
            )
            for key, each in differences.items()
        }


def split_rows(rows: Sequence[SumWireRow]) -> list[list[SumWireRow]]:
    """Return rows in parts that fit a datagram; one empty part if there are none.

    A row that does not fit any datagram is left out.
    """
    parts: list[list[SumWireRow]] = [[]]
    size_bytes = 0
    for row in rows:
        row_bytes = len(msgspec.msgpack.encode(row))
        if row_bytes > MAX_DATAGRAM_BYTES - HEADER_BYTES:
            continue
        if size_bytes + row_bytes > MAX_DATAGRAM_BYTES - HEADER_BYTES:
            parts.append([])
            size_bytes = 0
        parts[-1].append(row)
        size_bytes += row_bytes
    return parts


def _compact(amount: float) -> float:
    """Return an amount as it is sent, and 0 for one that is negative by rounding."""
    if amount >= WHOLE_AMOUNT:
        return round(amount)
    return max(0.0, round(amount, 3))
