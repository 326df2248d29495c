"""Budget for repeats, shared by all entries.

Answers the load of failing backend servers: repeats stay below a share of the requests,
so that failures do not multiply traffic.
"""

from collections import deque

import attrs

# Part of the platform's bound that the entries use together; the rest covers
# differences between their windows.
USED_FRACTION = 0.75
ASSUMED_ENTRIES = 8


@attrs.define
class RetryBudget:
    """Repeats of one service within a sliding window.

    Parameters
    ----------
    ratio : float
        Repeats for each request.
    extra : float
        Repeats in a window beside the ratio, over all entries.
    window_s : float
        Length of the window in seconds.
    """

    ratio: float
    extra: float
    window_s: float
    _requests: deque[float] = attrs.field(factory=deque, init=False)
    _retries: deque[float] = attrs.field(factory=deque, init=False)

    def record_request(self, now: float) -> None:
        """Count a caller's request."""
        self._requests.append(now)
        self._expire(now)

    def try_acquire(self, now: float, entry_count: int) -> bool:
        """Count a repeat if it fits the window; return whether it does.

        Parameters
        ----------
        now : float
            Present time in seconds.
        entries : int
            Entries that share the budget; 0 if not known.
        """
        self._expire(now)
        extra_per_entry = self.extra / (entry_count or ASSUMED_ENTRIES)
        allowed = USED_FRACTION * (self.ratio * len(self._requests) + extra_per_entry)
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self.window_s:
                times.popleft()
