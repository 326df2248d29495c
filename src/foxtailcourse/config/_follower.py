"""Keeps a process's configuration copy up to date."""

import random
from collections.abc import Iterable

import trio

from foxtailcourse.config import _records
from foxtailcourse.config._records import Record, RecordError, decode_record
from foxtailcourse.config._store import ConfigStore
from foxtailcourse.http import ConnectionPool
from foxtailcourse.observe import EventLog, Metrics
from foxtailcourse.platform import (
    KeyEvent,
    KeyValue,
    KeyValueClient,
    KeyValueStore,
    PlatformError,
    RevisionGoneError,
    VmList,
    VmListClient,
    VmListing,
)
from foxtailcourse.settings import Address, section, setting

WATCHED = tuple(each for each in _records.PREFIXES if each != _records.VMS)
VM_LIST_WRITE_ID = "vm-list"


@section("platform")
class PlatformSettings:
    """Where the configuration comes from."""

    key_value: Address = setting(
        Address, description="Address of the platform's key-value service."
    )
    vm_list: Address = setting(
        Address, description="Address of the platform's VM list."
    )
    control_listen: Address = setting(
        Address,
        Address("127.0.0.1", 0),
        description="Address for configuration messages between processes.",
    )
    peers: tuple[Address, ...] = setting(
        tuple[Address, ...],
        (),
        description="Control addresses asked first at the start.",
    )
    call_timeout_s: float = setting(
        float,
        2.0,
        description="Longest wait for an answer of the platform or a peer.",
        unit="seconds",
        minimum=0.01,
    )
    watch_wait_s: float = setting(
        float,
        20.0,
        description="Longest wait of one watch call.",
        unit="seconds",
        minimum=0.01,
    )
    vm_list_poll_s: float = setting(
        float,
        1.0,
        description="Time between two readings of the VM list.",
        unit="seconds",
        minimum=0.01,
    )
    backoff_min_s: float = setting(
        float,
        0.1,
        description="First pause after a failed call; it doubles with each failure.",
        unit="seconds",
        minimum=0.001,
    )
    backoff_max_s: float = setting(
        float,
        2.0,
        description="Longest pause after a failed call.",
        unit="seconds",
        minimum=0.001,
    )


class Backoff:
    """Exponential pauses with full jitter, so that many processes spread out."""

    def __init__(self, minimum_s: float, maximum_s: float, rng: random.Random) -> None:
        self._minimum_s = minimum_s
        self._maximum_s = maximum_s
        self._rng = rng
        self._failures = 0

    def reset(self) -> None:
        """Forget the failures after a success."""
        self._failures = 0

    def next_s(self) -> float:
        """Return the next pause in seconds."""
        bound_s = self._minimum_s * 2.0 ** min(self._failures, 30)
        self._failures += 1
        return self._rng.uniform(0.5, 1.0) * min(bound_s, self._maximum_s)


class ConfigFollower:
    """Fills a ConfigStore and keeps it up to date.

    Parameters
    ----------
    cfg : PlatformSettings
        Addresses and times.
    store : ConfigStore
        The copy to fill.
    vm, failure_domain : str
        Of this process.
    events : EventLog
        Told of changes and failures.
    metrics : Metrics
        Counts calls and changes.
    rng : random.Random
        Source of the jitter.
    """

    def __init__(
        self,
        cfg: PlatformSettings,
        store: ConfigStore,
        *,
        vm: str,
        failure_domain: str,
        events: EventLog,
        metrics: Metrics,
        rng: random.Random | None = None,
    ) -> None:
        self.cfg = cfg
        self.store = store
        self.vm = vm
        self.failure_domain = failure_domain
        self.pool = ConnectionPool()
        self.key_value: KeyValueStore = KeyValueClient(
            self.pool, cfg.key_value, cfg.call_timeout_s
        )
        self.vm_list: VmList = VmListClient(self.pool, cfg.vm_list, cfg.call_timeout_s)
        self._events = events
        self._metrics = metrics
        self._rng = rng or random.Random()
        self._ready = trio.Event()
        self._vm_list_revision = 0
        self._latest: KeyValue | KeyEvent | None = None

    @property
    def ready(self) -> bool:
        """Whether a configuration is held."""
        return self._ready.is_set()

    async def wait_ready(self) -> None:
        """Wait until a configuration is held."""
        await self._ready.wait()

    def saw_revision(self, revision: int, vm: str) -> None:
        """Take note of the revision in a message of another process."""

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Follow the configuration until cancelled.

        ``started`` does not wait for a configuration; see :meth:`wait_ready`.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_platform)
            nursery.start_soon(self._poll_vm_list)
            task_status.started()

    async def _follow_platform(self) -> None:
        backoff = self._backoff()
        while True:
            try:
                revision = await self._scan()
                backoff.reset()
                while True:
                    revision = await self._watch(revision)
            except RevisionGoneError:
                continue
            except PlatformError as exc:
                await self._pause("platform_failed", exc, backoff)

    async def _scan(self) -> int:
        result = await self.key_value.range(*WATCHED)
        self._merge_values(result.items)
        self._latest = max(result.items, key=lambda e: e.mod_revision, default=None)
        self.store.revision = max(self.store.revision, result.revision)
        self._set_ready("platform")
        return result.revision

    async def _watch(self, after: int) -> int:
        wait_s = self.cfg.watch_wait_s
        result = await self.key_value.watch(WATCHED, after, wait_s)
        if result.revision < after or not await self._is_continuous():
            self._events.emit(
                "platform_went_back", revision=result.revision, expected=after
            )
            raise RevisionGoneError("revision went back", may_have_applied=False)
        self._merge_values(result.events)
        if result.events:
            self._latest = result.events[-1]
        return result.revision

    async def _is_continuous(self) -> bool:
        """Whether the store still holds the latest change that was seen.

        A restored store may reach the watched revision again before the next watch
        call; its changes up to that revision are then other ones.
        """
        if self._latest is None:
            return True
        after = self._latest.mod_revision - 1
        result = await self.key_value.watch(WATCHED, after, 0.0)
        seen = (self._latest.key, self._latest.value, self._latest.mod_revision)
        return seen in [(e.key, e.value, e.mod_revision) for e in result.events]

    def _merge_values(self, values: Iterable[KeyValue | KeyEvent]) -> None:
        records = []
        for each in values:
            if each.value is None:
                continue
            try:
                records.append(decode_record(each.key, each.value, each.mod_revision))
            except RecordError as exc:
                self._events.emit("record_malformed", key=each.key, error=exc)
        self.merge(records)

    def merge(self, records: list[Record]) -> None:
        """Merge records and log those taken."""
        for record in self.store.merge(records):
            self._metrics.count("foxtail_config_changes_total")
            self._events.emit(
                "config_changed",
                key=record.key,
                generation=record.generation,
                revision=record.mod_revision,
            )

    async def _poll_vm_list(self) -> None:
        backoff = self._backoff()
        while True:
            try:
                listing = await self.vm_list.list_vms()
            except PlatformError as exc:
                await self._pause("vm_list_failed", exc, backoff)
                continue
            backoff.reset()
            self._take_listing(listing)
            await trio.sleep(self.cfg.vm_list_poll_s * self._rng.uniform(0.9, 1.1))

    def _take_listing(self, listing: VmListing) -> None:
        """Turn a VM list into records; an older list than a former one is ignored."""
        if listing.revision <= self._vm_list_revision:
            return
        self._vm_list_revision = listing.revision
        bodies = {_records.VMS + str(each.get("vm")): each for each in listing.vms}
        changes = []
        for key, body in bodies.items():
            held = self.store.get(key)
            if held is None or held.deleted or held.body != body:
                changes.append(_vm_record(key, listing.revision, body))
        for held in self.store.records():
            listed = held.key in bodies or not held.key.startswith(_records.VMS)
            if not listed and not held.deleted:
                changes.append(_vm_record(held.key, listing.revision, None))
        self.merge(changes)

    def _set_ready(self, source: str) -> None:
        if not self.ready:
            self._ready.set()
            self._events.emit(
                "config_ready", source=source, revision=self.store.revision
            )

    def _backoff(self) -> Backoff:
        return Backoff(self.cfg.backoff_min_s, self.cfg.backoff_max_s, self._rng)

    async def _pause(self, name: str, exc: Exception, backoff: Backoff) -> None:
        pause_s = backoff.next_s()
        self._metrics.count("foxtail_config_failures_total", kind=name)
        self._events.emit(name, error=exc, pause_ms=int(pause_s * 1000))
        await trio.sleep(pause_s)


def _vm_record(key: str, revision: int, body: dict | None) -> Record:
    return Record(
        key=key,
        generation=revision,
        write_id=VM_LIST_WRITE_ID,
        deleted=body is None,
        body=body or {},
    )
