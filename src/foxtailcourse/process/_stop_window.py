"""Decides which requests a stopping process may still hand on."""

import math

import attrs


@attrs.define
class StopWindow:
    """The time that a process has left once it stops.

    Parameters
    ----------
    strict_from : float
        Time in seconds from which on only what ends in time is handed on. Before it,
        the load balancer still sends new connections here, and most requests end long
        before they have to.
    ends_at : float
        When the requests in progress are ended, in seconds.
    """

    strict_from: float = math.inf
    ends_at: float = math.inf

    def begin(self, now: float, notice_s: float, stop_s: float) -> None:
        """Begin a stop that ends after ``stop_s``, of which callers learn meanwhile.

        Parameters
        ----------
        now : float
            Present time in seconds.
        notice_s : float
            Time in seconds in which the load balancer learns of the stop.
        stop_s : float
            Time in seconds until the requests in progress are ended.
        """
        self.strict_from, self.ends_at = now + notice_s, now + stop_s

    def has_time(self, ends_by: float, now: float) -> bool:
        """Whether work that may last until ``ends_by`` may be handed on at ``now``."""
        return now < self.strict_from or ends_by <= self.ends_at

    def left_s(self, now: float) -> float:
        """Return the time until the requests in progress are ended, in seconds."""
        return self.ends_at - now
