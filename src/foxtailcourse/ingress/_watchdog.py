"""Cancels attempts at unresponsive servers.

A server may fail without closing its connections, or it may only be overloaded. An
idempotent request is retried elsewhere only if its server sends nothing at all to this
entry, since retrying the requests of a busy server multiplies the load that made it
slow. A sound server may also be silent for a while, so an attempt is cancelled only if
the request can go on elsewhere.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import attrs
import trio

from foxtailcourse.ingress._server_loads import ServerLoad

CHECK_PERIOD_S = 0.1
# After a longer delay of a check, the process counts as having been suspended.
MAX_CHECK_DELAY_S = 0.2
# A server that sent any byte to this entry within this time is busy, not unresponsive.
SERVER_ALIVE_S = 0.6


@attrs.define(eq=False)
class WatchedAttempt:
    """One attempt that is cancelled if its server becomes unresponsive.

    Parameters
    ----------
    load : ServerLoad
        Load of the server, with the time when it last sent anything to this entry.
    idle_timeout_s : float
        Longest time without a byte of this attempt, in seconds.
    last_byte_at : float
        When the latest byte of this attempt arrived, in seconds since boot.
    reserve_retry : callable
        Reserves a retry at another server; returns whether there is one.
    scope : trio.CancelScope
        Cancelled when the server counts as unresponsive.
    is_forwarding : bool
        Whether received bytes are being sent to the caller, which may be slow.
    """

    load: ServerLoad
    idle_timeout_s: float
    last_byte_at: float
    reserve_retry: Callable[[], bool] = attrs.field(default=lambda: True)
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    is_forwarding: bool = False

    @contextmanager
    def forwarding(self, clock: Callable[[], float]) -> Iterator[None]:
        """Suspend the timeout while bytes are forwarded to the caller.

        A slow caller does not make the server unresponsive, and a chunk that was
        cancelled halfway would corrupt the stream.
        """
        self.is_forwarding = True
        try:
            yield
        finally:
            self.is_forwarding = False
            self.last_byte_at = clock()

    def is_unresponsive(self, now: float) -> bool:
        """Whether the server counts as unresponsive."""
        if self.is_forwarding or now - self.last_byte_at < self.idle_timeout_s:
            return False
        return now - self.load.last_progress_at >= SERVER_ALIVE_S

    def record_progress(self, now: float) -> None:
        """Record that bytes arrived."""
        self.last_byte_at = self.load.last_progress_at = now


class AttemptWatchdog:
    """Checks the running attempts of an entry periodically.

    Parameters
    ----------
    clock : callable
        Returns seconds since boot.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._watched: set[WatchedAttempt] = set()
        self._checked_at = clock()

    def add(self, watched: WatchedAttempt) -> None:
        """Start watching an attempt."""
        self._watched.add(watched)

    def remove(self, watched: WatchedAttempt) -> None:
        """Stop watching an attempt."""
        self._watched.discard(watched)

    def check(self, now: float) -> None:
        """Cancel the attempts at unresponsive servers.

        Time in which this process did not run does not count, as bytes that arrived in
        it have not been read.
        """
        lost_s, self._checked_at = now - self._checked_at - CHECK_PERIOD_S, now
        for watched in self._watched:
            if lost_s > MAX_CHECK_DELAY_S:
                watched.last_byte_at = min(now, watched.last_byte_at + lost_s)
            elif watched.is_unresponsive(now) and watched.reserve_retry():
                watched.scope.cancel()

    async def run(self) -> None:
        """Check the attempts until cancelled."""
        while True:
            await trio.sleep(CHECK_PERIOD_S)
            self.check(self._clock())
