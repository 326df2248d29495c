"""Short work of each client account against its share of the capacity.

Method: L. Zhang, "VirtualClock" (SIGCOMM 1990), over the accounts that have waiting
work.
"""

from foxtailcourse.sharing._flows import weight_of

SWEEP_SLACK = 64


class ShareMeter:
    """Tells whether an account's short requests used more than its share.

    Parameters
    ----------
    slots : int
        Capacity, in seconds of one slot per second.
    burst_s : float
        Seconds of its full share that an account may use in advance.
    """

    def __init__(self, slots: int, burst_s: float) -> None:
        self.active_weight = 0.0
        self._slots = slots
        self._burst_s = burst_s
        self._entitled = 0.0
        self._updated: float | None = None
        self._used: dict[str, float] = {}
        self._active: dict[str, tuple[int, float]] = {}

    def waiting(self, account: str) -> int:
        """Return the number of waiting requests of an account."""
        return self._active.get(account, (0, 0.0))[0]

    def enter(
        self, account: str, share: float, now: float, *, first_short: bool
    ) -> None:
        """Note one more waiting request.

        With ``first_short``, the account had no short request waiting; what it left
        unused before is forgotten.
        """
        self._advance(now)
        if first_short and self._used.get(account, 0.0) < self._entitled:
            self._used[account] = self._entitled
        count, weight = self._active.get(account, (0, weight_of(share)))
        if not count:
            self.active_weight += weight
        self._active[account] = (count + 1, weight)

    def leave(self, account: str, now: float) -> None:
        """Note one less waiting request."""
        self._advance(now)
        count, weight = self._active[account]
        if count > 1:
            self._active[account] = (count - 1, weight)
            return
        del self._active[account]
        self.active_weight -= weight
        if not self._active:
            self.active_weight = 0.0
            self._used.clear()

    def charge(self, account: str, share: float, cost_s: float, now: float) -> None:
        """Add short work that was started."""
        if not self._active:
            return
        self._advance(now)
        used = self._used.get(account, self._entitled)
        self._used[account] = used + cost_s / weight_of(share)
        if len(self._used) > 2 * len(self._active) + SWEEP_SLACK:
            self._used = {
                account: used
                for account, used in self._used.items()
                if used > self._entitled or account in self._active
            }

    def over_share(self, account: str, now: float) -> bool:
        """Whether an account used more than its share and the burst."""
        self._advance(now)
        if not self.active_weight:
            return False
        burst = self._burst_s * self._slots / self.active_weight
        return self._used.get(account, 0.0) > self._entitled + burst

    def _advance(self, now: float) -> None:
        passed = 0.0 if self._updated is None else max(0.0, now - self._updated)
        if self._updated is None or now > self._updated:
            self._updated = now
        if self.active_weight > 0.0:
            self._entitled += passed * self._slots / self.active_weight
