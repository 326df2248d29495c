"""Reads the configuration again, once for all requests that wait for it."""

from collections.abc import Awaitable, Callable

import attrs
import trio

from foxtailcourse.fleet import Freshness
from foxtailcourse.observe import EventLog
from foxtailcourse.platform import PlatformError


@attrs.define(kw_only=True)
class ConfigurationRefresh:
    """Shares readings of the configuration among requests.

    A reading goes on when a request that waits for it is cancelled.

    Parameters
    ----------
    read : coroutine function
        Reads the configuration; raises PlatformError if the store does not respond.
    freshness : Freshness
        When the configuration was last confirmed.
    clock : callable
        Returns seconds since boot.
    events : EventLog
        Receives an event for each reading that failed.
    """

    read: Callable[[], Awaitable[None]]
    freshness: Freshness
    clock: Callable[[], float]
    events: EventLog
    _wanted: trio.Event = attrs.field(factory=trio.Event, init=False)
    _ended: trio.Event = attrs.field(factory=trio.Event, init=False)
    _failures: int = attrs.field(default=0, init=False)

    async def run(self) -> None:
        """Read the configuration whenever a request asks for it, until cancelled."""
        while True:
            await self._wanted.wait()
            try:
                await self.read()
            except PlatformError as exc:
                self._failures += 1
                self.events.emit("refresh_failed", error=exc)
            self._wanted = trio.Event()
            ended, self._ended = self._ended, trio.Event()
            ended.set()

    async def confirm(self, max_age_s: float, timeout_s: float) -> bool:
        """Return whether the configuration is confirmed as of ``max_age_s`` ago.

        A reading that had begun before serves this call too, if it is recent enough
        or fails.

        Parameters
        ----------
        max_age_s : float
            Largest age at the time of the call, in seconds.
        timeout_s : float
            Longest wait, in seconds.
        """
        oldest, failures = self.clock() - max_age_s, self._failures
        with trio.move_on_after(timeout_s):
            while self.freshness.as_of < oldest and self._failures == failures:
                self._wanted.set()
                await self._ended.wait()
        return self.freshness.as_of >= oldest
