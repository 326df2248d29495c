"""The watch that two processes of each failure domain keep on the platform."""

import random
from collections.abc import Awaitable, Callable

import trio

from foxtailcourse.config._backoff import Backoff
from foxtailcourse.config._platform_source import PlatformSource
from foxtailcourse.config._settings import PlatformSettings
from foxtailcourse.observe import EventLog, Metrics
from foxtailcourse.platform import PlatformError, RevisionGoneError

FAILURES_BEFORE_PULL = 2


class PlatformWatch:
    """Watches the records and polls the VM list, with pauses after failures.

    Parameters
    ----------
    cfg : PlatformSettings
        Waits and pauses.
    source : PlatformSource
        Makes the calls.
    events : EventLog
        Told of failures.
    metrics : Metrics
        Counts failures.
    rng : random.Random
        Source of the jitter.
    """

    def __init__(
        self,
        cfg: PlatformSettings,
        source: PlatformSource,
        events: EventLog,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._cfg = cfg
        self._source = source
        self._events = events
        self._metrics = metrics
        self._rng = rng
        self.current = False
        self.on_success: Callable[[], None] = lambda: None
        self.on_failures: Callable[[], Awaitable[None]] = trio.lowlevel.checkpoint

    async def run(self) -> None:
        """Watch until cancelled."""
        self.current = False
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_records)
                nursery.start_soon(self._poll_vm_list)
        finally:
            self.current = False

    async def _watch_records(self) -> None:
        backoff = self._backoff()
        failures = 0
        while True:
            try:
                # After a failure the store may be a restored one, so a watch is
                # never resumed without a scan.
                revision = await self._source.scan()
                self.current = True
                failures = 0
                self.on_success()
                while True:
                    wait_s = self._cfg.watch_wait_s
                    revision = await self._source.watch(revision, wait_s)
                    backoff.reset()
            except RevisionGoneError:
                await trio.sleep(backoff.next_s())
            except PlatformError as exc:
                self.current = False
                await self._pause("platform_failed", exc, backoff)
                failures += 1
                if failures >= FAILURES_BEFORE_PULL:
                    await self.on_failures()

    async def _poll_vm_list(self) -> None:
        backoff = self._backoff()
        while True:
            try:
                await self._source.read_vm_list()
            except PlatformError as exc:
                await self._pause("vm_list_failed", exc, backoff)
                continue
            backoff.reset()
            await trio.sleep(self._cfg.vm_list_poll_s * self._rng.uniform(0.9, 1.1))

    def _backoff(self) -> Backoff:
        return Backoff(self._cfg.backoff_min_s, self._cfg.backoff_max_s, self._rng)

    async def _pause(self, name: str, exc: Exception, backoff: Backoff) -> None:
        pause_s = backoff.next_s()
        self._metrics.count("foxtail_config_failures_total", kind=name)
        self._events.emit(name, error=exc, pause_ms=int(pause_s * 1000))
        await trio.sleep(pause_s)
