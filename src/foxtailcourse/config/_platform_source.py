"""Reads the configuration and the VM list from the platform."""

import random
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import msgspec
import trio

from foxtailcourse.config import _records
from foxtailcourse.config._records import Record, RecordError, decode_record
from foxtailcourse.config._store import ConfigStore
from foxtailcourse.observe import EventLog
from foxtailcourse.platform import (
    KeyEvent,
    KeyValue,
    KeyValueStore,
    Put,
    RevisionGoneError,
    VmList,
    VmListing,
)

WATCHED_PREFIXES = tuple(
    each for each in _records.KEY_PREFIXES if each != _records.VMS_PREFIX
)
VM_LIST_WRITE_ID = "vm-list"
CONFIRMATION_S = 1.0
MERGE_BATCH = 500


class PlatformSource:
    """Brings a ConfigStore up to the platform's state and repairs a restored platform.

    All methods that call the platform raise PlatformError.

    Parameters
    ----------
    key_value : KeyValueStore
        Holds the operators' records.
    vm_list : VmList
        Lists the VMs.
    store : ConfigStore
        The copy to fill.
    merge : callable
        Merges records into the store.
    events : EventLog
        Told of irregularities.
    rng : random.Random
        Source of the jitter.
    write_back_jitter_s : float
        Longest random wait before a write-back, so that watchers seldom race.
    """

    def __init__(
        self,
        key_value: KeyValueStore,
        vm_list: VmList,
        store: ConfigStore,
        merge: Callable[[Iterable[Record]], Any],
        events: EventLog,
        rng: random.Random,
        write_back_jitter_s: float,
    ) -> None:
        self.key_value = key_value
        self.vm_list = vm_list
        self._store = store
        self._merge = merge
        self._events = events
        self._rng = rng
        self._write_back_jitter_s = write_back_jitter_s
        self._latest: KeyValue | KeyEvent | None = None
        self._listing_revision = 0
        self._expected: dict[str, float] = {}
        self.repair_wanted = trio.Event()

    def expect(self, records: Iterable[Record]) -> None:
        """Note records that came from a peer and that the platform should hold."""
        now = trio.current_time()
        for record in records:
            if record.key.startswith(WATCHED_PREFIXES):
                self._expected[record.key] = now

    def _is_missing(self) -> bool:
        """Whether the platform has not shown a record that a peer had."""
        latest = trio.current_time() - CONFIRMATION_S
        return any(noted < latest for noted in self._expected.values())

    async def scan(self) -> int:
        """Read all records; return the store revision to watch from."""
        revision, outdated = await self._read_all()
        if outdated:
            self.repair_wanted.set()
        return revision

    async def repair(self) -> None:
        """Write newer records back to a platform that holds older ones."""
        self.repair_wanted = trio.Event()
        await trio.sleep(self._rng.uniform(0, self._write_back_jitter_s))
        _, outdated = await self._read_all()
        for key, mod_revision in outdated.items():
            await self._write_back(key, mod_revision)

    async def watch(self, after: int, wait_s: float) -> int:
        """Wait for changes; return the revision to watch from next.

        Raises RevisionGoneError if the next step must be a scan.
        """
        result = await self.key_value.watch(WATCHED_PREFIXES, after, wait_s)
        if result.revision < after or not await self._is_continuous():
            self._events.emit(
                "platform_went_back", revision=result.revision, expected=after
            )
            raise RevisionGoneError("revision went back", may_have_applied=False)
        if result.events:
            self._latest = result.events[-1]
        outdated = self._take(result.events)
        deleted = any(each.value is None for each in result.events)
        if outdated or deleted or self._is_missing():
            self.repair_wanted.set()
        return result.revision

    async def _read_all(self) -> tuple[int, dict[str, int]]:
        """Merge all records; return the revision and the outdated keys."""
        result = await self.key_value.range(*WATCHED_PREFIXES)
        self._expected.clear()
        self._latest = max(result.items, key=lambda e: e.mod_revision, default=None)
        outdated = self._take(result.items)
        present = {each.key for each in result.items}
        for key in self._store.keys(*WATCHED_PREFIXES):
            if key not in present:
                outdated[key] = 0
        return result.revision, outdated

    async def _is_continuous(self) -> bool:
        """Whether the store still holds the latest change that was seen.

        A restored store may reach the watched revision again before the next watch
        call; its changes up to that revision are then other ones.
        """
        if self._latest is None:
            return True
        after = self._latest.mod_revision - 1
        result = await self.key_value.watch(WATCHED_PREFIXES, after, 0.0)
        seen = (self._latest.key, self._latest.value, self._latest.mod_revision)
        return seen in [(e.key, e.value, e.mod_revision) for e in result.events]

    def _take(self, values: Iterable[KeyValue | KeyEvent]) -> dict[str, int]:
        """Merge values; return the revisions of those older than the held records."""
        records = {}
        for each in values:
            if each.value is None:
                continue
            try:
                record = decode_record(each.key, each.value, each.mod_revision)
            except RecordError as exc:
                self._events.emit("record_malformed", key=each.key, error=exc)
                continue
            records[each.key] = record
            self._expected.pop(each.key, None)
        self._merge(records.values())
        return self._outdated(records)

    def _outdated(self, records: Mapping[str, Record]) -> dict[str, int]:
        found = {}
        for key, record in records.items():
            held = self._store.get(key)
            if held is not None and held.order > record.order:
                found[key] = record.mod_revision
        return found

    async def _write_back(self, key: str, mod_revision: int) -> None:
        held = self._store.get(key)
        if held is None:
            return
        put = Put(key=key, value=held.encode())
        result = await self.key_value.txn({key: mod_revision}, [put])
        self._events.emit(
            "record_written_back",
            key=key,
            generation=held.generation,
            applied=result.succeeded,
        )

    async def read_vm_list(self) -> None:
        """Read the VM list and merge what changed."""
        listing = await self.vm_list.list_vms(self._listing_revision)
        if listing is not None:
            self.take_listing(listing)

    def take_listing(self, listing: VmListing) -> None:
        """Turn a VM list into records; an older list than a former one is ignored.

        The list's revision is the generation of its records. A VM whose entry did
        not change keeps its record, so that an unchanged list costs nothing.
        """
        if listing.revision <= self._listing_revision:
            return
        self._listing_revision = listing.revision
        listed: set[str] = set()
        changes: list[Record] = []
        for entry in listing.vms:
            body = self._decode_entry(entry)
            if body is None:
                continue
            key = _records.VMS_PREFIX + body["vm"]
            listed.add(key)
            held = self._store.get(key)
            if held is None or held.deleted or held.body != body:
                changes.append(_vm_record(key, listing.revision, body))
            if len(changes) >= MERGE_BATCH:
                self._merge(changes)
                changes = []
        for key in self._store.keys(_records.VMS_PREFIX):
            held = None if key in listed else self._store.get(key)
            if held is not None and not held.deleted:
                changes.append(_vm_record(key, listing.revision, None))
        self._merge(changes)

    def _decode_entry(self, entry: msgspec.Raw) -> dict[str, Any] | None:
        try:
            body = msgspec.json.decode(entry, type=dict[str, Any])
        except (msgspec.DecodeError, RecursionError) as exc:
            self._events.emit("vm_list_malformed", error=exc)
            return None
        if not isinstance(body.get("vm"), str):
            self._events.emit("vm_list_malformed", error="an entry names no VM")
            return None
        return body


def _vm_record(key: str, revision: int, body: dict | None) -> Record:
    return Record(
        key=key,
        generation=max(1, revision),
        write_id=VM_LIST_WRITE_ID,
        deleted=body is None,
        body=body or {},
    )
