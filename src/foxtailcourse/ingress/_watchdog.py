"""Ends attempts at servers that have fallen silent.

Answers servers that vanish without a word, and servers that are merely overloaded: an
idempotent request is tried elsewhere only if its server sends nothing at all to this
entry, since repeating requests of a busy server multiplies the load that made it slow.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import attrs
import trio

from foxtailcourse.ingress._server_loads import ServerLoad

CHECK_PERIOD_S = 0.1
# A server that sent any byte within this time is busy, not gone.
SERVER_ALIVE_S = 0.6


@attrs.define(eq=False)
class WatchedAttempt:
    """One attempt that may be tried elsewhere.

    Parameters
    ----------
    load : ServerLoad
        Knows when the server last sent anything.
    silence_s : float
        Longest time without a byte of this attempt.
    last_at : float
        When its latest byte arrived, in seconds since boot.
    scope : trio.CancelScope
        Cancelled when the server counts as gone.
    passing_on : bool
        Whether its bytes are on their way to the caller, who may be slow.
    """

    load: ServerLoad
    idle_timeout_s: float
    last_byte_at: float
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    is_forwarding: bool = False

    @contextmanager
    def forwarding(self, clock: Callable[[], float]) -> Iterator[None]:
        """Do not count the caller's slowness as the server's silence.

        A piece that was cut off halfway would also spoil what follows it.
        """
        self.is_forwarding = True
        try:
            yield
        finally:
            self.is_forwarding = False
            self.last_byte_at = clock()

    def is_unresponsive(self, now: float) -> bool:
        """Whether the server counts as gone."""
        if self.is_forwarding or now - self.last_byte_at < self.idle_timeout_s:
            return False
        return now - self.load.last_progress_at >= SERVER_ALIVE_S

    def record_progress(self, now: float) -> None:
        """Note that bytes arrived."""
        self.last_byte_at = self.load.last_progress_at = now


class AttemptWatchdog:
    """Looks at all watched attempts of an entry.

    Parameters
    ----------
    clock : callable
        Returns seconds since boot.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._watched: set[WatchedAttempt] = set()

    def add(self, watched: WatchedAttempt) -> None:
        """Begin to watch an attempt."""
        self._watched.add(watched)

    def remove(self, watched: WatchedAttempt) -> None:
        """Stop watching an attempt."""
        self._watched.discard(watched)

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            await trio.sleep(CHECK_PERIOD_S)
            now = self._clock()
            for watched in self._watched:
                if watched.is_unresponsive(now):
                    watched.scope.cancel()
