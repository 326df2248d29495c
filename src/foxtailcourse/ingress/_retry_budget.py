"""Retry budget, split evenly among the entries.

Retries stay below a fraction of the requests, so that failures of backend servers do
not multiply the traffic.
"""

from collections import deque

import attrs

# Fraction of the platform's limit that all entries use together. The rest covers the
# differences between their windows.
USED_FRACTION = 0.75
# Number of entries that is assumed while none is registered.
ASSUMED_ENTRIES = 8


@attrs.define
class RetryBudget:
    """Limits the retries of one service in a sliding window.

    Parameters
    ----------
    ratio : float
        Allowed retries per request, over all entries.
    extra : float
        Allowed retries in a window in addition to the ratio, over all entries.
    window_s : float
        Length of the window in seconds.
    """

    ratio: float
    extra: float
    window_s: float
    _requests: deque[float] = attrs.field(factory=deque, init=False)
    _retries: deque[float] = attrs.field(factory=deque, init=False)

    def record_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        self._expire(now)

    def try_acquire(self, now: float, entry_count: int) -> bool:
        """Count a retry if the budget allows it; return whether it does.

        Parameters
        ----------
        now : float
            Present time in seconds.
        entry_count : int
            Number of entries that share the budget; 0 if unknown.

        Returns
        -------
        bool
            Whether the retry is allowed.
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
