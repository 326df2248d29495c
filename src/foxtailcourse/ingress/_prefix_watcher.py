"""Watches prefixes of the platform's store and tracks the freshness of their state."""

from collections.abc import Callable

import trio

from foxtailcourse.fleet import Freshness
from foxtailcourse.ingress._clock import boot_seconds
from foxtailcourse.observe import EventLog, Metrics
from foxtailcourse.platform import KeyValueStore, PlatformError, RevisionGoneError

MIN_RETRY_PAUSE_S = 0.05
MAX_RETRY_PAUSE_S = 0.5
# The store may withhold events from a watch for this long before it ends the watch.
WATCH_BLACKOUT_S = 1.0
# Takes a key, its value (None once deleted) and the revision of the change.
ApplyChange = Callable[[str, bytes | None, int], None]


class PrefixWatcher:
    """Keeps the local copy of one prefix of the store up to date.

    Each response confirms the state as of the time when its call was sent; a lost
    response confirms nothing. After a failure the prefix is read again in full, since
    an unresponsive connection may have missed changes.

    Parameters
    ----------
    store : KeyValueStore
        The platform's store.
    prefix : str
        Prefix of the watched keys.
    wait_s : float
        Longest wait of one watch call, in seconds.
    batch_pause_s : float
        Pause in seconds after a watch that returned events, to collect more of them
        in the next call.
    apply_change : callable
        Receives a key, its value (None once deleted) and the revision of the change.
    freshness : Freshness
        Receives the time as of which the state of the prefix is confirmed.
    events : EventLog
        Receives an event when the store is lost or reachable again.
    metrics : Metrics
        Counts failures.
    """

    def __init__(
        self,
        store: KeyValueStore,
        prefix: str,
        wait_s: float,
        batch_pause_s: float,
        apply_change: ApplyChange,
        freshness: Freshness,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._wait_s = wait_s
        self._batch_pause_s = batch_pause_s
        self._apply_change = apply_change
        self._freshness = freshness
        self._events = events
        self._metrics = metrics
        self._keys: set[str] = set()
        self._scan_lock = trio.Lock()
        self._lost = False

    async def run(self) -> None:
        """Watch the prefix until cancelled."""
        retry_pause_s = MIN_RETRY_PAUSE_S
        while True:
            try:
                revision = await self.scan()
                self._record_recovery()
                retry_pause_s = MIN_RETRY_PAUSE_S
                while True:
                    previous = revision
                    revision = await self._watch(revision)
                    if self._batch_pause_s and revision > previous:
                        await trio.sleep(self._batch_pause_s)
            except RevisionGoneError as exc:
                self._events.emit("watch_expired", prefix=self._prefix, error=exc)
            except PlatformError as exc:
                self._record_loss(exc)
                await trio.sleep(retry_pause_s)
                retry_pause_s = min(2 * retry_pause_s, MAX_RETRY_PAUSE_S)

    async def scan(self) -> int:
        """Read the whole prefix; return the revision to watch from."""
        async with self._scan_lock:
            sent_at = boot_seconds()
            listing = await self._store.range(self._prefix)
            keys = {each.key for each in listing.items}
            for key in self._keys - keys:
                self._apply_change(key, None, listing.revision)
            for item in listing.items:
                self._apply_change(item.key, item.value, item.mod_revision)
            self._keys = keys
            self._freshness.advance(sent_at)
            return listing.revision

    async def _watch(self, after: int) -> int:
        """Apply changes after a revision; return the revision to watch from next."""
        sent_at = boot_seconds()
        result = await self._store.watch([self._prefix], after, self._wait_s)
        if result.revision < after:
            raise RevisionGoneError(
                "the store was restored to an older revision", may_have_applied=False
            )
        for event in result.events:
            if event.value is None:
                self._keys.discard(event.key)
            else:
                self._keys.add(event.key)
            self._apply_change(event.key, event.value, event.mod_revision)
        # A watch without events took its full wait.
        waited_s = 0.0 if result.events else self._wait_s
        now = boot_seconds()
        self._freshness.advance(min(now, sent_at + waited_s) - WATCH_BLACKOUT_S)
        return result.revision

    def _record_loss(self, exc: PlatformError) -> None:
        self._metrics.count("foxtail_ingress_store_failures_total", prefix=self._prefix)
        if not self._lost:
            self._lost = True
            self._events.emit(
                "store_lost",
                prefix=self._prefix,
                error=exc,
                age_ms=_age_ms(self._freshness),
            )

    def _record_recovery(self) -> None:
        if self._lost:
            self._lost = False
            self._events.emit("store_regained", prefix=self._prefix)


def _age_ms(freshness: Freshness) -> int:
    age_s = freshness.age_s(boot_seconds())
    return -1 if age_s == float("inf") else int(age_s * 1000)
