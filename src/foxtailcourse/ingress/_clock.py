"""Clock of the ingress."""

import time
from collections.abc import Callable

import trio

# Lateness of a pass of the event loop from which the process counts as frozen.
FROZEN_S = 0.2
# Time after that in which the tasks receive what arrived meanwhile.
CATCH_UP_S = 0.1


def boot_seconds() -> float:
    """Return seconds since boot, including the time that the VM was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def suspended_seconds() -> float:
    """Return for how long the VM was suspended since boot, in seconds."""
    return boot_seconds() - time.clock_gettime(time.CLOCK_MONOTONIC)


class CatchUpClock(trio.abc.Clock, trio.abc.Instrument):
    """Clock of trio that lets a process that was frozen read before timeouts expire.

    After a stop or a suspension, all timeouts that fell into it would expire before the
    tasks receive what waits in the socket buffers. They expire CATCH_UP_S later; the
    time that tasks see is not changed. It must also be an instrument of the event loop.

    Parameters
    ----------
    read : callable
        Returns the present time in seconds.
    """

    def __init__(self, read: Callable[[], float] = boot_seconds) -> None:
        self._read = read
        self._passed_at = read()
        # The timeouts that expire in this pass of the loop; None outside of it.
        self._expire_until: float | None = None
        # The timeouts that may expire while the process catches up, and until when.
        self._held_at: float | None = None
        self._held_until = float("-inf")

    def start_clock(self) -> None:
        """Begin the first pass of the loop."""
        self._passed_at = self._read()

    def after_io_wait(self, timeout: float) -> None:
        """Decide which timeouts expire next, after a wait of at most ``timeout``."""
        now = self._read()
        late_s = now - self._passed_at - timeout
        if self._held_at is None and late_s > FROZEN_S:
            self._held_at, self._held_until = self._passed_at, now + CATCH_UP_S
        elif now >= self._held_until:
            # Late again or not, the timeouts of the last freeze expire first.
            self._held_at = None
        self._expire_until = now if self._held_at is None else self._held_at
        self._passed_at = now

    def current_time(self) -> float:
        """Return the present time, or up to when timeouts expire in the event loop.

        The loop calls it directly after ``after_io_wait``.
        """
        expire_until, self._expire_until = self._expire_until, None
        return self._read() if expire_until is None else expire_until

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return the time until a deadline, or until timeouts may expire again."""
        if self._held_at is not None:
            deadline = max(deadline, self._held_until)
        return deadline - self._read()
