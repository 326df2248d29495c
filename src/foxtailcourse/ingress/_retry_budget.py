"""Retry budget, shared by the entries.

Retries stay below a fraction of the requests, so that failures of backend servers do
not multiply the traffic. The part that is a ratio of an entry's own requests needs no
share.
"""

from collections import deque

import attrs

from foxtailcourse.ingress._limit_shares import LimitShares

# Fraction of the platform's ratio that is used. The rest covers the differences between
# the windows of the entries.
USED_RATIO_FRACTION = 0.75
# Fraction of the additional retries that entries with a share use together. Of the
# rest, each registered entry without a share may use one in a window.
USED_EXTRA_FRACTION = 0.6

# Fraction of all these retries that requests at silent servers leave to requests whose
# server broke off: those may still be answered without a retry.
KEPT_FRACTION = 0.25


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
    shares : LimitShares
        The entries that share the additional retries; ``hold_s`` is at least the window
        there, so that a share is not used twice in it.
    """

    ratio: float
    extra: float
    window_s: float
    shares: LimitShares
    _requests: deque[float] = attrs.field(factory=deque, init=False)
    _retries: deque[float] = attrs.field(factory=deque, init=False)

    def record_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        self._expire(now)

    def try_acquire(self, now: float, *, server_is_silent: bool = False) -> bool:
        """Count a retry if the budget allows it at time ``now``; return whether.

        With ``server_is_silent``, the request may still be answered by its server.
        """
        allowed = self.allowed(now)
        if server_is_silent:
            allowed *= 1 - KEPT_FRACTION
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    @property
    def used(self) -> int:
        """Retries in the window, as of the last decision."""
        return len(self._retries)

    def allowed(self, now: float) -> float:
        """Return the retries that are allowed in the window that ends now."""
        self._expire(now)
        members = self.shares.members(now)
        entries = max(1, len(members))
        if self.shares.is_settled(now):
            extra = USED_EXTRA_FRACTION * self.extra / entries
        else:
            # The others may have an empty list, too. Of entries that know of their own
            # registration, so of those before it, no more than these have a retry.
            is_known = self.shares.vm in members
            few = (1 - USED_EXTRA_FRACTION) * self.extra
            extra = float(is_known and entries <= few)
        return USED_RATIO_FRACTION * self.ratio * len(self._requests) + extra

    def give_back(self, at: float) -> None:
        """Remove a retry that was counted at a time and not sent."""
        if at in self._retries:
            self._retries.remove(at)

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self.window_s:
                times.popleft()
