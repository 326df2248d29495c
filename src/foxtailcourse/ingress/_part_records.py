"""Records of blocked prompt parts in the platform's store, for entries that start.

``ingress/parts/<digest>`` is bound to a lease that ends with the block, so the block
lasts if all entries stop at once, and ends by itself.
"""

import hashlib
from collections.abc import Callable

import attrs
import msgspec
import trio

from foxtailcourse.ingress._leased_record import write_leased_record
from foxtailcourse.ingress._part_exchange import PartExchange
from foxtailcourse.ingress._part_suspicions import Block, Parts, block_s
from foxtailcourse.observe import EventLog
from foxtailcourse.platform import KeyValueStore, PlatformError

BLOCKED_PARTS_PREFIX = "ingress/parts/"
CHECK_PERIOD_S = 0.2
# A missing record is written this much later by each further entry.
WRITE_SPACING_S = 1.5
WRITERS = 3
# Time until a record that was written must have been read, before it is written again.
REWRITE_PAUSE_S = 2.0


class _Record(msgspec.Struct):
    parts: list[str]
    times: int


def record_key(parts: Parts) -> str:
    """Return the key of the record for some parts."""
    name = "+".join(sorted(parts)).encode()
    return BLOCKED_PARTS_PREFIX + hashlib.blake2b(name, digest_size=8).hexdigest()


@attrs.define(kw_only=True)
class PartRecords:
    """Writes the blocks of this entry to the store, and adopts those found there.

    Parameters
    ----------
    exchange : PartExchange
        The blocks.
    store : KeyValueStore
        The platform's store.
    min_ttl_s : float
        Shortest time to live of a lease that the store grants, in seconds.
    clock : callable
        Returns seconds since boot.
    events : EventLog
        Receives an event for each record that is written, unreadable or cannot be
        written.
    """

    exchange: PartExchange
    store: KeyValueStore
    min_ttl_s: float
    clock: Callable[[], float]
    events: EventLog
    # Parts of the records in the store, by key.
    _known: dict[str, Parts] = attrs.field(factory=dict, init=False)
    # When this entry writes a record that is missing.
    _write_at: dict[Parts, float] = attrs.field(factory=dict, init=False)

    def apply_change(self, key: str, value: bytes | None) -> None:
        """Apply one change of a record; the value is None once it is removed."""
        if value is None:
            self._known.pop(key, None)
            return
        try:
            record = msgspec.json.decode(value, type=_Record)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            self.events.emit("record_unreadable", reason=f"{key}: {exc}")
            return
        if not record.parts or record.times < 1:
            self.events.emit("record_unreadable", reason=f"{key}: no parts")
            return
        parts = self._known[key] = frozenset(record.parts)
        self.exchange.adopt(parts, block_s(record.times), record.times)

    async def run(self) -> None:
        """Write and remove records until cancelled."""
        while True:
            await trio.sleep(CHECK_PERIOD_S)
            for parts, block in self.due(self.clock()).items():
                await self._write(parts, block)
            for key in self.refuted(self.clock()):
                await self._remove(key)

    def due(self, now: float) -> dict[Parts, Block]:
        """Return the blocks that this entry writes now."""
        found = {}
        for parts, block in self.exchange.suspicions.active_blocks(now).items():
            is_recorded = record_key(parts) in self._known
            if is_recorded or block.until - now < self.min_ttl_s:
                self._write_at.pop(parts, None)
                continue
            rank = self.exchange.rank(parts)
            write_at = self._write_at.setdefault(parts, now + WRITE_SPACING_S * rank)
            if rank < WRITERS and now >= write_at:
                found[parts] = block
        return found

    def refuted(self, now: float) -> list[str]:
        """Return the records whose parts were answered, for this entry to remove."""
        return [
            key
            for key, parts in self._known.items()
            if self.exchange.suspicions.contradicts(parts, now)
            and self.exchange.rank(parts) < WRITERS
        ]

    async def _write(self, parts: Parts, block: Block) -> None:
        ttl_s = block.until - self.clock()
        value = msgspec.json.encode(_Record(sorted(parts), block.times))
        try:
            await write_leased_record(
                self.store, record_key(parts), value, ttl_s, self.clock
            )
        except PlatformError as exc:
            self.events.emit("parts_record_failed", error=exc)
        else:
            self.events.emit(
                "parts_recorded",
                parts=",".join(sorted(parts)),
                ttl_ms=int(ttl_s * 1000),
            )
        self._write_at[parts] = self.clock() + REWRITE_PAUSE_S

    async def _remove(self, key: str) -> None:
        try:
            await self.store.txn({}, delete=[key])
        except PlatformError as exc:
            self.events.emit("parts_record_failed", error=exc)
        # The watch confirms the removal; until then it is not tried again.
        self._known.pop(key, None)
