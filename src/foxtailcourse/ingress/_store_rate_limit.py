"""Keeps the calls to the platform's store within this entry's share of its rates.

Answers failing calls and busy prefixes: however often followers and lease retry, all
entries together stay below what the store serves.
"""

from collections.abc import Callable, Mapping, Sequence

import attrs
import trio

from foxtailcourse.platform import (
    KeyValueStore,
    Put,
    RangeResult,
    TxnResult,
    WatchResult,
)

# Part of the store's rates that the entries use together; operators and servers call
# it as well.
USED_FRACTION = 0.5
ASSUMED_ENTRIES = 8
# Calls that may be made at once after a quiet time.
BURST_S = 1.0
# The store counts a renewal of a lease as a read, at this part of its price.
LEASE_RENEWAL_COST = 0.1


@attrs.define
class RateLimiter:
    """Token bucket whose rate is an even share of the store's.

    Parameters
    ----------
    total_per_s : float
        Calls a second that the store serves.
    """

    total_per_s: float
    _tokens: float = attrs.field(default=0.0, init=False)
    _refilled_at: float | None = attrs.field(default=None, init=False)

    def reserve(self, now: float, entry_count: int, cost: float = 1.0) -> float:
        """Count a call and return how long it has to wait, in seconds.

        Parameters
        ----------
        now : float
            Present time in seconds.
        entries : int
            Entries that share the rate; 0 if not known.
        cost : float
            Price of the call.
        """
        rate = USED_FRACTION * self.total_per_s / (entry_count or ASSUMED_ENTRIES)
        burst = max(1.0, rate * BURST_S)
        if self._refilled_at is None:
            self._tokens = burst
        else:
            self._tokens = min(burst, self._tokens + rate * (now - self._refilled_at))
        self._refilled_at = now
        self._tokens -= cost
        return max(0.0, -self._tokens / rate)


@attrs.define(kw_only=True)
class RateLimitedStore:
    """A :class:`KeyValueStore` whose calls wait for this entry's share of the rates.

    Parameters
    ----------
    store : KeyValueStore
        Makes the calls.
    reads, writes : CallBudget
        Budgets of the two rates.
    entries : callable
        Returns how many entries share them; 0 if not known.
    clock : callable
        Returns seconds since boot.
    """

    store: KeyValueStore
    reads: RateLimiter
    writes: RateLimiter
    entry_count: Callable[[], int]
    clock: Callable[[], float]

    async def _throttle(self, limiter: RateLimiter, cost: float = 1.0) -> None:
        wait_s = limiter.reserve(self.clock(), self.entry_count(), cost)
        if wait_s > 0:
            await trio.sleep(wait_s)

    async def range(self, *prefixes: str) -> RangeResult:
        """Return all keys that start with one of the prefixes."""
        await self._throttle(self.reads)
        return await self.store.range(*prefixes)

    async def txn(
        self,
        compare: Mapping[str, int],
        put: Sequence[Put] = (),
        delete: Sequence[str] = (),
    ) -> TxnResult:
        """Write if each key of ``compare`` has the given ``mod_revision``."""
        await self._throttle(self.writes)
        return await self.store.txn(compare, put, delete)

    async def lease_grant(self, ttl_s: float) -> str:
        """Return the identifier of a new lease."""
        await self._throttle(self.writes)
        return await self.store.lease_grant(ttl_s)

    async def lease_keepalive(self, lease: str) -> None:
        """Extend a lease by its time to live; raises LeaseLostError."""
        await self._throttle(self.reads, LEASE_RENEWAL_COST)
        await self.store.lease_keepalive(lease)

    async def lease_revoke(self, lease: str) -> None:
        """End a lease and delete its keys."""
        await self._throttle(self.writes)
        await self.store.lease_revoke(lease)

    async def watch(
        self, prefixes: Sequence[str], after: int, wait_s: float
    ) -> WatchResult:
        """Wait at most ``wait_s`` for changes after a revision."""
        await self._throttle(self.reads)
        return await self.store.watch(prefixes, after, wait_s)
