"""Cancels attempts at unresponsive servers.

A server may fail without closing its connections, or it may only be overloaded. An
idempotent request is retried elsewhere only if its server sends nothing at all to this
entry, since retrying the requests of a busy server multiplies the load that made it
slow. A sound server may also be silent for a while, so an attempt is cancelled only
once another server is connected to take the request.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import attrs
import trio

from foxtailcourse.ingress._replacement import Replacement
from foxtailcourse.ingress._server_loads import SERVER_ALIVE_S, ServerLoad
from foxtailcourse.process import TaskSupervisor

CHECK_PERIOD_S = 0.1
# After a longer delay of a check or a connection, the process counts as having been
# suspended.
MAX_CHECK_DELAY_S = 0.2


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
    find_replacement : callable
        Takes a place at another server, if one can take the request.
    scope : trio.CancelScope
        Cancelled when the server counts as unresponsive.
    is_forwarding : bool
        Whether received bytes are being sent to the caller, which may be slow.
    is_counted : bool
        Whether the attempt counts as a failure of its server.
    replacement : Replacement or None
        The other server that is being connected, or takes the request.
    """

    load: ServerLoad
    idle_timeout_s: float
    last_byte_at: float
    find_replacement: Callable[[], Replacement | None] = attrs.field(
        default=lambda: None
    )
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    is_forwarding: bool = False
    is_counted: bool = False
    replacement: Replacement | None = None

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

    def suspend_server(self, now: float) -> None:
        """Count the attempt once, and suspend the server while it is silent."""
        # Renewed before it ends, so that no new request gets in between.
        ends_soon = self.load.suspended_until < now + 2 * CHECK_PERIOD_S
        if ends_soon or not self.is_counted:
            self.is_counted = True
            self.load.record_unreachable(now)

    async def move(self, clock: Callable[[], float]) -> None:
        """Connect to the replacement and cancel the attempt, if it is still silent."""
        replacement, silent_since = self.replacement, self.last_byte_at
        if replacement is None:
            return
        started = clock()
        await replacement.connect()
        now = clock()
        # Bytes that arrived while the process was suspended have not been read.
        was_suspended = now - started > MAX_CHECK_DELAY_S
        if (
            replacement.is_connected
            and not was_suspended
            and self.last_byte_at == silent_since
            and self.is_unresponsive(now)
        ):
            self.scope.cancel()
            return
        replacement.release("went_on")
        self.replacement = None


class AttemptWatchdog:
    """Checks the running attempts of an entry periodically.

    Parameters
    ----------
    clock : callable
        Returns seconds since boot.
    supervisor : TaskSupervisor
        Runs the moves of attempts.
    """

    def __init__(self, clock: Callable[[], float], supervisor: TaskSupervisor) -> None:
        self._clock = clock
        self._supervisor = supervisor
        self._watched: set[WatchedAttempt] = set()
        self._checked_at = clock()
        self._nursery: trio.Nursery | None = None

    def add(self, watched: WatchedAttempt) -> None:
        """Start watching an attempt."""
        self._watched.add(watched)

    def remove(self, watched: WatchedAttempt) -> None:
        """Stop watching an attempt."""
        self._watched.discard(watched)

    def check(self, now: float) -> None:
        """Move the requests of unresponsive servers to others that can take them.

        These servers get no new requests, whether or not others can take the old ones.

        Time in which this process did not run does not count, as bytes that arrived in
        it have not been read.
        """
        lost_s, self._checked_at = now - self._checked_at - CHECK_PERIOD_S, now
        for watched in self._watched:
            if lost_s > MAX_CHECK_DELAY_S:
                watched.last_byte_at = min(now, watched.last_byte_at + lost_s)
            elif watched.is_unresponsive(now):
                watched.suspend_server(now)
                if watched.replacement is not None:
                    continue
                watched.replacement = watched.find_replacement()
                if watched.replacement is not None and self._nursery is not None:
                    self._nursery.start_soon(
                        self._supervisor.run_contained,
                        "move_attempt",
                        watched.move,
                        self._clock,
                    )

    async def run(self) -> None:
        """Check the attempts until cancelled."""
        async with trio.open_nursery() as self._nursery:
            while True:
                await trio.sleep(CHECK_PERIOD_S)
                self.check(self._clock())
