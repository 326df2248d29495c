"""Records of crashes and of blocks in the platform's store, for entries that start.

``ingress/crashes/<digest>`` names the requests that a server lost as it broke off, and
``ingress/parts/<digest>`` a block. The lease of each ends when it no longer counts, so
the counts last if all entries stop at once, and end by themselves.
"""

import hashlib
from collections.abc import Callable

import attrs
import msgspec
import trio

from foxtailcourse.crashes import (
    PAROLE_S,
    REQUEST_MEMORY_S,
    SETTLE_S,
    BreakReport,
    Crash,
    Parts,
    block_s,
)
from foxtailcourse.decoding import MalformedDataError, decode_json
from foxtailcourse.fleet import ServerRun
from foxtailcourse.ingress._leased_record import write_leased_record
from foxtailcourse.ingress._part_exchange import PartExchange, decode_ages_s
from foxtailcourse.observe import EventLog
from foxtailcourse.platform import KeyValueStore, PlatformError

BLOCKED_PARTS_PREFIX = "ingress/parts/"
CRASHES_PREFIX = "ingress/crashes/"
CHECK_PERIOD_S = 0.2
# A missing record is written this much later by each further entry.
WRITE_SPACING_S = 1.5
WRITERS = 3
# Time until a record that was written must have been read, before it is written again.
REWRITE_PAUSE_S = 2.0
# Longest time to live of a lease that the store grants.
MAX_TTL_S = 600.0


class _BlockRecord(msgspec.Struct):
    parts: list[str]
    times: int
    # End of the block, in milliseconds since 1970; 0 in records of earlier versions.
    until_ms: int = 0


class _CrashRecord(msgspec.Struct):
    server_id: str
    started_ms: int
    # When the first report arrived, in milliseconds since 1970.
    at_ms: int
    begun: list[list[str]]
    waiting: list[list[str]]
    ages_ms: list[int]
    waiting_ages_ms: list[int] = []


def record_key(parts: Parts) -> str:
    """Return the key of the record for some blocked parts."""
    return BLOCKED_PARTS_PREFIX + _digest("+".join(sorted(parts)))


def crash_key(run: ServerRun) -> str:
    """Return the key of the record for the crash of a server."""
    return CRASHES_PREFIX + _digest(f"{run.server_id}/{run.started_ms}")


def _digest(name: str) -> str:
    return hashlib.blake2b(name.encode(), digest_size=8).hexdigest()


@attrs.frozen
class _Wanted:
    """A record that the store should have.

    Parameters
    ----------
    value : bytes
        Its value.
    ttl_s : float
        For how long, in seconds.
    """

    value: bytes
    ttl_s: float


@attrs.define(kw_only=True)
class PartRecords:
    """Writes what this entry knows of crashes to the store, and adopts what is there.

    Parameters
    ----------
    exchange : PartExchange
        The crashes and blocks.
    store : KeyValueStore
        The platform's store.
    min_ttl_s : float
        Shortest time to live of a lease that the store grants, in seconds.
    clock : callable
        Returns seconds since boot.
    wall_clock : callable
        Returns seconds since 1970.
    events : EventLog
        Receives an event for each record that is written, unreadable or cannot be
        written.
    """

    exchange: PartExchange
    store: KeyValueStore
    min_ttl_s: float
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    events: EventLog
    # Parts of the blocks in the store, by key, and how many times they were blocked.
    _blocks: dict[str, tuple[Parts, int]] = attrs.field(factory=dict, init=False)
    # Keys of the crashes in the store.
    _crashes: set[str] = attrs.field(factory=set, init=False)
    # When this entry writes a record that is missing.
    _write_at: dict[str, float] = attrs.field(factory=dict, init=False)
    # When it tries again to remove one.
    _remove_at: dict[str, float] = attrs.field(factory=dict, init=False)

    def apply_change(self, key: str, value: bytes | None) -> None:
        """Apply one change of a record; the value is None once it is removed."""
        if value is None:
            self._blocks.pop(key, None)
            self._remove_at.pop(key, None)
            self._crashes.discard(key)
            return
        try:
            if key.startswith(CRASHES_PREFIX):
                self._adopt_crash(key, decode_json(value, _CrashRecord))
            else:
                self._adopt_block(key, decode_json(value, _BlockRecord))
        except MalformedDataError as exc:
            self.events.emit("record_unreadable", reason=f"{key}: {exc}")

    def _adopt_block(self, key: str, record: _BlockRecord) -> None:
        if not record.parts or record.times < 1:
            self.events.emit("record_unreadable", reason=f"{key}: no parts")
            return
        parts, longest_s = frozenset(record.parts), block_s(record.times)
        self._blocks[key] = parts, record.times
        remaining_s = longest_s
        if record.until_ms:
            remaining_s = record.until_ms / 1000 - self.wall_clock()
        self.exchange.adopt(parts, min(longest_s, remaining_s), record.times)

    def _adopt_crash(self, key: str, record: _CrashRecord) -> None:
        self._crashes.add(key)
        # Clocks of VMs differ, so the age may be negative.
        age_s = max(0.0, self.wall_clock() - record.at_ms / 1000)
        report = BreakReport(
            ServerRun(record.server_id, record.started_ms),
            tuple(frozenset(row) for row in record.begun),
            tuple(frozenset(row) for row in record.waiting),
            decode_ages_s(record.ages_ms),
            decode_ages_s(record.waiting_ages_ms),
        )
        self.exchange.suspicions.adopt_crash(report, self.clock() - age_s)

    async def run(self) -> None:
        """Write and remove records until cancelled."""
        while True:
            await trio.sleep(CHECK_PERIOD_S)
            for key, wanted in self.due(self.clock()).items():
                await self._write(key, wanted)
            for key in self.refuted(self.clock()):
                await self._remove(key)

    def due(self, now: float) -> dict[str, _Wanted]:
        """Return the records that this entry writes now, by key."""
        missing = self._missing_blocks(now) | self._missing_crashes(now)
        self._write_at = {k: v for k, v in self._write_at.items() if k in missing}
        found = {}
        for key, wanted in missing.items():
            rank = self.exchange.rank(frozenset({key}))
            write_at = self._write_at.setdefault(key, now + WRITE_SPACING_S * rank)
            if rank < WRITERS and now >= write_at:
                found[key] = wanted
        return found

    def _missing_blocks(self, now: float) -> dict[str, _Wanted]:
        missing = {}
        for parts, block in self.exchange.suspicions.active_blocks(now).items():
            key, remaining_s = record_key(parts), block.until - now
            _, recorded_times = self._blocks.get(key, (parts, 0))
            if recorded_times < block.times and remaining_s >= self.min_ttl_s:
                until_ms = int((self.wall_clock() + remaining_s) * 1000)
                record = _BlockRecord(sorted(parts), block.times, until_ms)
                ttl_s = min(MAX_TTL_S, remaining_s + PAROLE_S)
                value = msgspec.json.encode(record)
                missing[key] = _Wanted(value, ttl_s)
        return missing

    def _missing_crashes(self, now: float) -> dict[str, _Wanted]:
        missing = {}
        for crash in self.exchange.suspicions.crashes():
            key, age_s = crash_key(crash.run), now - crash.at
            ttl_s = min(MAX_TTL_S, REQUEST_MEMORY_S - age_s)
            if key in self._crashes or age_s < SETTLE_S or ttl_s < self.min_ttl_s:
                continue
            value = msgspec.json.encode(self._crash_record(crash, age_s))
            missing[key] = _Wanted(value, ttl_s)
        return missing

    def _crash_record(self, crash: Crash, age_s: float) -> _CrashRecord:
        report = crash.report()
        return _CrashRecord(
            server_id=crash.run.server_id,
            started_ms=crash.run.started_ms,
            at_ms=int((self.wall_clock() - age_s) * 1000),
            begun=[sorted(row) for row in report.begun],
            waiting=[sorted(row) for row in report.waiting],
            ages_ms=[int(each * 1000) for each in report.ages_s],
            waiting_ages_ms=[int(each * 1000) for each in report.waiting_ages_s],
        )

    def refuted(self, now: float) -> list[str]:
        """Return the blocks whose parts were answered, for this entry to remove."""
        return [
            key
            for key, (parts, _) in self._blocks.items()
            if self.exchange.suspicions.contradicts(parts, now)
            and self.exchange.rank(parts) < WRITERS
            and now >= self._remove_at.get(key, now)
        ]

    async def _write(self, key: str, wanted: _Wanted) -> None:
        try:
            await write_leased_record(
                self.store, key, wanted.value, wanted.ttl_s, self.clock
            )
        except PlatformError as exc:
            self.events.emit("parts_record_failed", error=exc)
        else:
            ttl_ms = int(wanted.ttl_s * 1000)
            if key.startswith(CRASHES_PREFIX):
                self.events.emit("crash_recorded", key=key, ttl_ms=ttl_ms)
            else:
                self.events.emit("parts_recorded", key=key, ttl_ms=ttl_ms)
        self._write_at[key] = self.clock() + REWRITE_PAUSE_S

    async def _remove(self, key: str) -> None:
        try:
            await self.store.txn({}, delete=[key])
        except PlatformError as exc:
            self.events.emit("parts_record_failed", error=exc)
            self._remove_at[key] = self.clock() + REWRITE_PAUSE_S
        else:
            # The watch confirms the removal.
            self._blocks.pop(key, None)
            self._remove_at.pop(key, None)
