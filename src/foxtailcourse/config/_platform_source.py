"""Reads the configuration and the VM list from the platform."""

import random
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import msgspec
import trio

from foxtailcourse.config import _records
from foxtailcourse.config._records import (
    MAX_DEPTH,
    MAX_GENERATION,
    Record,
    RecordError,
    decode_record,
)
from foxtailcourse.config._store import ConfigStore
from foxtailcourse.decoding import MalformedDataError, decode_json
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

# The VM list is not in the key-value service; it is polled.
WATCHED_PREFIXES = tuple(
    prefix for prefix in _records.KEY_PREFIXES if prefix != _records.VMS_PREFIX
)
# ``write_id`` of the records that are made from the VM list.
VM_LIST_WRITE_ID = "vm-list"
# If the platform has not shown a peer's record after this time, a repair writes the
# record back.
CONFIRMATION_TIMEOUT_S = 1.0
# Changed VM list entries that are merged, and published to followers, at once.
MERGE_BATCH_RECORDS = 500


class PlatformSource:
    """Updates a ConfigStore from the platform and repairs a restored platform.

    A platform that was restored from a backup lacks accepted writes. They are
    written back from the records that this process has.

    All methods that call the platform raise PlatformError.

    Parameters
    ----------
    key_value : KeyValueStore
        Stores the operators' records.
    vm_list : VmList
        Lists the VMs.
    store : ConfigStore
        The copy to fill.
    merge : callable
        Merges records into the store.
    events : EventLog
        Log of malformed records, restores and write-backs.
    rng : random.Random
        Source of the jitter.
    write_back_jitter_s : float
        Longest random delay before a write-back, in seconds, so that watchers
        seldom write the same record at once.
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
        self._latest_change: KeyValue | KeyEvent | None = None
        self._listing_revision = 0
        # Era of the store at the last reading of all records; 0 if it states none.
        self._era = 0
        # Arrival time, by key, of records from peers that the platform has not shown.
        self._unconfirmed: dict[str, float] = {}
        self.repair_needed = trio.Event()

    def expect_confirmation(self, records: Iterable[Record]) -> None:
        """Record which keys came from a peer and that the platform should show."""
        now = trio.current_time()
        for record in records:
            if record.key.startswith(WATCHED_PREFIXES):
                self._unconfirmed[record.key] = now

    def _is_confirmation_overdue(self) -> bool:
        """Whether the platform has not shown a peer's record in time."""
        oldest_allowed = trio.current_time() - CONFIRMATION_TIMEOUT_S
        return any(received < oldest_allowed for received in self._unconfirmed.values())

    async def scan(self) -> int:
        """Read all records; return the store revision to watch from."""
        revision, outdated = await self._read_all()
        if outdated:
            self.repair_needed.set()
        return revision

    async def repair(self) -> None:
        """Write newer records back to a platform that has older ones."""
        self.repair_needed = trio.Event()
        await trio.sleep(self._rng.uniform(0, self._write_back_jitter_s))
        _, outdated = await self._read_all()
        for key, mod_revision in outdated.items():
            await self._write_back(key, mod_revision)

    async def watch(self, after: int, wait_s: float) -> int:
        """Wait for changes and merge them.

        Parameters
        ----------
        after : int
            Store revision whose later changes are wanted.
        wait_s : float
            Longest wait for a change, in seconds.

        Returns
        -------
        int
            Revision to watch from next.

        Raises
        ------
        RevisionGoneError
            If the records must be scanned again.
        """
        result = await self.key_value.watch(WATCHED_PREFIXES, after, wait_s)
        restored = result.revision < after or result.era != self._era
        # A store that states no era is asked for the latest change that was read.
        if restored or (result.era == 0 and not await self._is_continuous()):
            self._events.emit(
                "platform_went_back", revision=result.revision, expected=after
            )
            raise RevisionGoneError(
                "the platform's key-value store was restored", may_have_applied=False
            )
        if result.events:
            self._latest_change = result.events[-1]
        outdated = self._merge_values(result.events)
        deleted = any(event.value is None for event in result.events)
        if outdated or deleted or self._is_confirmation_overdue():
            self.repair_needed.set()
        return result.revision

    async def _read_all(self) -> tuple[int, dict[str, int]]:
        """Merge all records; return the store revision and the outdated keys.

        Returns
        -------
        revision : int
            Store revision of the read.
        outdated : dict of str to int
            ``mod_revision`` in the platform, 0 for a missing key, by key of the
            records that are newer in this process.
        """
        result = await self.key_value.range(*WATCHED_PREFIXES)
        self._unconfirmed.clear()
        self._era = result.era
        self._latest_change = max(
            result.items, key=lambda item: item.mod_revision, default=None
        )
        outdated = self._merge_values(result.items)
        present = {item.key for item in result.items}
        for key in self._store.keys(*WATCHED_PREFIXES):
            if key not in present:
                outdated[key] = 0
        return result.revision, outdated

    async def _is_continuous(self) -> bool:
        """Whether the platform still has the latest change that was read from it.

        A restored store may reach the watched revision again before the next watch
        call, with different changes up to that revision.
        """
        if self._latest_change is None:
            return True
        after = self._latest_change.mod_revision - 1
        result = await self.key_value.watch(WATCHED_PREFIXES, after, 0.0)
        latest = (
            self._latest_change.key,
            self._latest_change.value,
            self._latest_change.mod_revision,
        )
        return latest in [
            (event.key, event.value, event.mod_revision) for event in result.events
        ]

    def _merge_values(self, values: Iterable[KeyValue | KeyEvent]) -> dict[str, int]:
        """Merge values read from the platform; log and skip malformed ones.

        Returns the ``mod_revision``, by key, of values older than the stored records.
        """
        records = {}
        for item in values:
            if item.value is None:
                continue
            try:
                record = decode_record(item.key, item.value, item.mod_revision)
            except RecordError as exc:
                self._events.emit("record_malformed", key=item.key, error=exc)
                continue
            records[item.key] = record
            self._unconfirmed.pop(item.key, None)
        self._merge(records.values())
        return self._find_outdated(records)

    def _find_outdated(self, records: Mapping[str, Record]) -> dict[str, int]:
        outdated = {}
        for key, record in records.items():
            stored = self._store.get(key)
            if stored is not None and stored.order > record.order:
                outdated[key] = record.mod_revision
        return outdated

    async def _write_back(self, key: str, mod_revision: int) -> None:
        """Write a stored record to the platform.

        Nothing is written if the key's revision there is no longer ``mod_revision``.
        """
        stored = self._store.get(key)
        if stored is None:
            return
        put = Put(key=key, value=stored.encode())
        result = await self.key_value.txn({key: mod_revision}, [put])
        self._events.emit(
            "record_written_back",
            key=key,
            generation=stored.generation,
            applied=result.succeeded,
        )

    async def read_vm_list(self) -> None:
        """Read the VM list and merge what changed."""
        listing = await self.vm_list.list_vms(self._listing_revision)
        if listing is not None:
            self.apply_listing(listing)

    def apply_listing(self, listing: VmListing) -> None:
        """Merge a VM list as records, unless it is older than the last one.

        The list's revision is the generation of its records. A VM whose entry did
        not change keeps its record, so that only changes are sent to followers.
        """
        if listing.revision <= self._listing_revision:
            return
        if listing.revision > MAX_GENERATION:
            # Its records would outrank all later ones, and cannot be decoded.
            error = f"revision {listing.revision} is out of range"
            self._events.emit("vm_list_malformed", error=error)
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
            stored = self._store.get(key)
            if stored is None or stored.deleted or stored.body != body:
                changes.append(_vm_record(key, listing.revision, body))
            if len(changes) >= MERGE_BATCH_RECORDS:
                self._merge(changes)
                changes = []
        for key in self._store.keys(_records.VMS_PREFIX):
            stored = None if key in listed else self._store.get(key)
            if stored is not None and not stored.deleted:
                changes.append(_vm_record(key, listing.revision, None))
        self._merge(changes)

    def _decode_entry(self, entry: msgspec.Raw) -> dict[str, Any] | None:
        """Return the body of a VM list entry, or None if it is malformed."""
        try:
            body = decode_json(bytes(entry), dict[str, Any], max_depth=MAX_DEPTH)
        except MalformedDataError as exc:
            self._events.emit("vm_list_malformed", error=exc)
            return None
        if not isinstance(body.get("vm"), str):
            self._events.emit("vm_list_malformed", error="entry has no VM identifier")
            return None
        return body


def _vm_record(key: str, revision: int, body: dict | None) -> Record:
    """Return the record of a VM list entry; a deletion if ``body`` is None."""
    return Record(
        key=key,
        generation=max(1, revision),
        write_id=VM_LIST_WRITE_ID,
        deleted=body is None,
        body=body or {},
    )
