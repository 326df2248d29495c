"""Retry budget, shared by the entries.

Retries stay below a fraction of the requests, so that failures of backend servers do
not multiply the traffic. The part that is a ratio of an entry's own requests needs no
share.

A limit on arrivals in a window holds only if a retry counts until it is known to have
arrived: a link that is cut, or a server that is frozen, delivers what was sent over
several windows in one of them.
"""

from collections import deque

import attrs

from foxtailcourse.ingress._arrivals import Arrival
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


@attrs.define(eq=False)
class Retry:
    """A retry that was allowed.

    It adds one arrival at a server, which is its own or, if that comes later, the one
    of the attempt before it.

    Parameters
    ----------
    arrivals : list of Arrival
        The attempt that was given up, if its server may still get it, and the retry
        once it is sent.
    is_sent : bool
        Whether the retry was sent.
    """

    arrivals: list[Arrival] = attrs.field(factory=list)
    is_sent: bool = False

    def record_sent(self, arrival: Arrival) -> None:
        """Record that the retry was sent."""
        self.arrivals.append(arrival)
        self.is_sent = True

    def arrived_by(self, now: float) -> float | None:
        """Return when it had arrived at the latest, None if it may yet arrive."""
        times = [each.known_by(now) for each in self.arrivals]
        if not self.is_sent or None in times:
            return None
        return max(each for each in times if each is not None)


@attrs.define
class RetryBudget:
    """Limits the retries of one service that arrive in a sliding window.

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
    # Retries that may yet arrive, and when the others of the window had arrived.
    _open: list[Retry] = attrs.field(factory=list, init=False)
    _arrived: list[float] = attrs.field(factory=list, init=False)

    def record_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        self._expire(now)

    def try_acquire(
        self,
        now: float,
        given_up: Arrival | None = None,
        *,
        server_is_silent: bool = False,
    ) -> Retry | None:
        """Count a retry if the budget allows it; return it, or None.

        It counts until it is given back, or a window after it has arrived.

        Parameters
        ----------
        now : float
            The present time, in seconds since boot.
        given_up : Arrival or None
            The attempt before it, None if that was not sent.
        server_is_silent : bool
            Whether the request may still be answered by its server.
        """
        allowed = self.allowed(now)
        if server_is_silent:
            allowed *= 1 - KEPT_FRACTION
        if self.used + 1 > allowed:
            return None
        retry = Retry([given_up] if given_up else [])
        self._open.append(retry)
        return retry

    @property
    def used(self) -> int:
        """Retries that count, as of the last decision."""
        return len(self._open) + len(self._arrived)

    @property
    def unconfirmed(self) -> int:
        """Retries among them that may yet arrive."""
        return len(self._open)

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

    def give_back(self, retry: Retry) -> None:
        """Remove a retry, unless it was sent."""
        if not retry.is_sent and retry in self._open:
            self._open.remove(retry)

    def _expire(self, now: float) -> None:
        start = now - self.window_s
        while self._requests and self._requests[0] <= start:
            self._requests.popleft()
        still_open = []
        for retry in self._open:
            arrived_by = retry.arrived_by(now)
            if arrived_by is None:
                still_open.append(retry)
            else:
                self._arrived.append(arrived_by)
        self._open = still_open
        self._arrived = [each for each in self._arrived if each > start]
