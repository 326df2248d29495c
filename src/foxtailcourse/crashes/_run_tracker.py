"""Tells the runs of one backend server apart by the crashes between them."""

import attrs


@attrs.define
class RunTracker:
    """Assigns requests that broke off to the runs of one backend server.

    Parameters
    ----------
    started_ms : int
        Wall-clock time in milliseconds from which on the server is known to run.
    """

    started_ms: int
    _ended_ms: int = attrs.field(default=0, init=False)
    _ended_at: float = attrs.field(default=float("-inf"), init=False)

    def record_broken_off(self, sent_at: float, now: float, wall_ms: int) -> int:
        """Return the start of the run that ended under a request.

        Requests that were sent before the last crash broke off in that crash.

        Parameters
        ----------
        sent_at, now : float
            When the request was sent, and the present time, in monotonic seconds.
        wall_ms : int
            Present wall-clock time in milliseconds.
        """
        if sent_at > self._ended_at:
            self._ended_ms, self._ended_at = self.started_ms, now
            # Increases even if the wall clock was set back.
            self.started_ms = max(wall_ms, self.started_ms + 1)
        return self._ended_ms
