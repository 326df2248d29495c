"""Watches prefixes of the platform's store and tracks the freshness of their state."""

from collections.abc import Callable, Mapping, Sequence

import attrs
import trio

from foxtailcourse.fleet import Freshness
from foxtailcourse.ingress._clock import boot_seconds, suspended_seconds
from foxtailcourse.ingress._recent_weights import RECENT_WEIGHTS_PREFIX
from foxtailcourse.observe import EventLog, Metrics
from foxtailcourse.platform import (
    CallLimitError,
    KeyValueStore,
    PlatformError,
    RangeResult,
    RevisionGoneError,
    StoreRestoredError,
)

MIN_RETRY_PAUSE_S = 0.05
MAX_RETRY_PAUSE_S = 0.5
# The store may withhold events from a watch for this long before it ends the watch.
WATCH_BLACKOUT_S = 1.0
# Registrations that lapsed while the store was away, or that a restored store lacks,
# are written again within about two seconds of its return.
LAPSED_GRACE_S = 2.3
# A shorter suspension is a difference between readings of two clocks.
MIN_SUSPENSION_S = 0.1
# An outage must last this long for registrations to have lapsed meanwhile.
MIN_OUTAGE_S = 1.0
# Takes a key, its value (None once deleted) and the revision of the change.
ApplyChange = Callable[[str, bytes | None, int], None]


@attrs.define
class StoreState:
    """Which state of the store was read.

    Parameters
    ----------
    era : int
        Era of the store; 0 if unknown.
    copy_revision : int
        In an era that began while this process ran, changes up to this revision may
        come from the copy that the store was restored from.
    complete : bool
        Whether all watched prefixes were read once.
    first_read : trio.Event
        Set once all watched prefixes were read.
    unreachable_until : float
        When a call last failed in an outage in which this VM was not suspended, in
        seconds since boot.
    """

    era: int = 0
    copy_revision: int = 0
    complete: bool = False
    first_read: trio.Event = attrs.field(factory=trio.Event)
    unreachable_until: float = float("-inf")


class StoreWatcher:
    """Keeps the local copy of some prefixes of the store up to date.

    One watch covers all of them, since each call to the store has its price.

    Each response confirms the state as of the time when its call was sent; a lost
    response confirms nothing. After a failure the prefixes are read again in full,
    since an unresponsive connection may have missed changes. So they are when the era
    of the store has changed, as revisions are comparable within an era only. Keys that
    are missing after an outage or a change of era are kept for LAPSED_GRACE_S.

    Parameters
    ----------
    store : KeyValueStore
        The platform's store.
    freshness : mapping of str to Freshness
        The watched prefixes; each freshness receives the time as of which the state of
        its prefix is confirmed.
    wait_s : float
        Longest wait of one watch call, in seconds.
    batch_pause_s : float
        Pause in seconds after a watch that returned events, to collect more of them
        in the next call.
    apply_change : callable
        Receives a key, its value (None once deleted) and the revision of the change.
    events : EventLog
        Receives an event when the store is lost or reachable again.
    metrics : Metrics
        Counts failures.

    Attributes
    ----------
    state : StoreState
        Which state of the store was read.
    """

    def __init__(
        self,
        store: KeyValueStore,
        freshness: Mapping[str, Freshness],
        wait_s: float,
        batch_pause_s: float,
        apply_change: ApplyChange,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        self._store = store
        self._freshness = freshness
        self._prefixes = tuple(freshness)
        self._wait_s = wait_s
        self._batch_pause_s = batch_pause_s
        self._apply_change = apply_change
        self._events = events
        self._metrics = metrics
        self._keys: set[str] = set()
        self._scan_lock = trio.Lock()
        self._lost_at: float | None = None
        # Suspension of the VM up to the last response.
        self._suspended_s = suspended_seconds()
        self.state = StoreState()
        # Keys that the store lacks, and until when they are kept.
        self._missing: set[str] = set()
        self._missing_until = float("-inf")

    @property
    def is_lost(self) -> bool:
        """Whether the last call failed."""
        return self._lost_at is not None

    async def run(self) -> None:
        """Watch the prefixes until cancelled."""
        retry_pause_s = MIN_RETRY_PAUSE_S
        while True:
            try:
                revision = await self.scan()
                retry_pause_s = MIN_RETRY_PAUSE_S
                while True:
                    previous = revision
                    revision = await self._watch(revision)
                    if self._batch_pause_s and revision > previous:
                        await trio.sleep(self._batch_pause_s)
            except RevisionGoneError as exc:
                self._emit("watch_expired", error=exc)
            except PlatformError as exc:
                self._record_loss(exc)
                await trio.sleep(retry_pause_s)
                retry_pause_s = min(2 * retry_pause_s, MAX_RETRY_PAUSE_S)

    async def scan(self) -> int:
        """Read all prefixes; return the revision to watch from."""
        async with self._scan_lock:
            sent_at = boot_seconds()
            listing = await self._store.range(*self._prefixes)
            present = {each.key for each in listing.items}
            self._note_return(listing.era, listing.revision, self._keys - present)
            self._apply_listing(listing, self._prefixes, sent_at)
            for each in self._freshness.values():
                each.gapless_since = sent_at
            self.state.complete = True
            self.state.first_read.set()
            return listing.revision

    async def refresh(self, prefix: str) -> None:
        """Read one of the prefixes again, besides the watch.

        Raises
        ------
        PlatformError
            If the store does not respond, or was restored; the watch then reads all
            prefixes.
        """
        async with self._scan_lock:
            sent_at = boot_seconds()
            listing = await self._store.range(prefix)
            if listing.era != self.state.era:
                raise StoreRestoredError(
                    f"the store went from era {self.state.era} to {listing.era}",
                    may_have_applied=False,
                )
            self._apply_listing(listing, (prefix,), sent_at)

    def _apply_listing(
        self, listing: RangeResult, prefixes: Sequence[str], sent_at: float
    ) -> None:
        """Apply what was read of some prefixes; keys that are kept stay."""
        present = {each.key for each in listing.items}
        for key in self._keys - present - self._missing:
            if key.startswith(tuple(prefixes)):
                self._keys.discard(key)
                self._apply_change(key, None, listing.revision)
        for item in listing.items:
            self._apply_change(item.key, item.value, item.mod_revision)
        self._missing -= present
        self._keys |= present
        for prefix in prefixes:
            self._freshness[prefix].advance(sent_at)
        self._suspended_s = suspended_seconds()

    def _note_return(self, era: int, revision: int, missing: set[str]) -> None:
        """Log that the store is back, and decide which missing keys to keep."""
        now = boot_seconds()
        restored = self.state.complete and era != self.state.era
        lost_at, self._lost_at = self._lost_at, None
        if restored:
            self.state.copy_revision = revision
            self._emit(
                "store_restored",
                era=era,
                previous_era=self.state.era,
                revision=revision,
                missing=len(missing),
            )
        if lost_at is not None:
            self._emit("store_regained")
        if restored or (lost_at is not None and now - lost_at >= MIN_OUTAGE_S):
            self._missing_until = now + LAPSED_GRACE_S
            self._missing = {
                each for each in missing if not each.startswith(RECENT_WEIGHTS_PREFIX)
            }
        self.state.era = era
        self._drop_missing(now, revision)

    def _drop_missing(self, now: float, revision: int) -> None:
        """Remove the keys that the store still lacks after the grace time."""
        if self._missing and now >= self._missing_until:
            for key in self._missing:
                self._keys.discard(key)
                self._apply_change(key, None, revision)
            self._missing = set()

    async def _watch(self, after: int) -> int:
        """Apply changes after a revision; return the revision to watch from next."""
        sent_at, wait_s = boot_seconds(), self._wait_s
        if self._missing:
            wait_s = min(wait_s, max(0.0, self._missing_until - sent_at))
        result = await self._store.watch(self._prefixes, after, wait_s)
        if result.revision < after or result.era != self.state.era:
            raise StoreRestoredError(
                f"the store went from revision {after} of era {self.state.era} to "
                f"{result.revision} of era {result.era}",
                may_have_applied=False,
            )
        for event in result.events:
            if event.value is None:
                self._keys.discard(event.key)
            else:
                self._keys.add(event.key)
            self._missing.discard(event.key)
            self._apply_change(event.key, event.value, event.mod_revision)
        # A watch without changes took its full wait.
        waited_s = wait_s if result.revision == after else 0.0
        now = boot_seconds()
        self._drop_missing(now, result.revision)
        for each in self._freshness.values():
            each.advance(min(now, sent_at + waited_s) - WATCH_BLACKOUT_S)
        self._suspended_s = suspended_seconds()
        return result.revision

    def _record_loss(self, exc: PlatformError) -> None:
        self._metrics.count("foxtail_ingress_store_failures_total")
        is_suspension = suspended_seconds() - self._suspended_s >= MIN_SUSPENSION_S
        # A store that limits this entry's calls serves the operators' calls.
        if not is_suspension and not isinstance(exc, CallLimitError):
            self.state.unreachable_until = boot_seconds()
        if self._lost_at is None:
            self._lost_at = boot_seconds()
            oldest = min(self._freshness.values(), key=lambda each: each.as_of)
            self._emit("store_lost", error=exc, age_ms=_age_ms(oldest))

    def _emit(self, name: str, **fields: object) -> None:
        self._events.emit(name, prefix=",".join(self._prefixes), **fields)


def _age_ms(freshness: Freshness) -> int:
    age_s = freshness.age_s(boot_seconds())
    return -1 if age_s == float("inf") else int(age_s * 1000)
