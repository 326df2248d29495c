"""Limits the rate of this entry's calls to the platform's store.

All entries together stay below the rates that the store serves, however often calls
fail and are retried and however often the watched prefixes change.
"""

from collections.abc import Callable, Mapping, Sequence

import attrs
import trio

from foxtailcourse.ingress._limit_shares import ASSUMED_ENTRIES
from foxtailcourse.platform import (
    KeyValueStore,
    Put,
    RangeResult,
    TxnResult,
    WatchResult,
)

# Fraction of the store's rates that all entries use together. Operators and servers
# call the store as well.
USED_FRACTION = 0.5
# Size of the token bucket, as the time in which it fills.
BURST_S = 1.0
# The store counts the renewal of a lease as this fraction of a read.
LEASE_RENEWAL_COST = 0.1


@attrs.define
class RateLimiter:
    """Token bucket whose rate is an even split of the store's rate.

    Parameters
    ----------
    total_per_s : float
        Calls per second that the store serves to all clients.
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
        entry_count : int
            Number of entries that share the rate; 0 if unknown.
        cost : float
            Tokens that the call takes from the bucket.

        Returns
        -------
        float
            Time to wait before the call, in seconds.
        """
        rate_per_s = USED_FRACTION * self.total_per_s / (entry_count or ASSUMED_ENTRIES)
        max_tokens = max(1.0, rate_per_s * BURST_S)
        if self._refilled_at is None:
            self._tokens = max_tokens
        else:
            self._tokens = min(
                max_tokens, self._tokens + rate_per_s * (now - self._refilled_at)
            )
        self._refilled_at = now
        self._tokens -= cost
        return max(0.0, -self._tokens / rate_per_s)


@attrs.define(kw_only=True)
class RateLimitedStore:
    """A :class:`KeyValueStore` whose calls wait for the rate limit of this entry.

    Parameters
    ----------
    store : KeyValueStore
        Makes the calls.
    reads, writes : RateLimiter
        Rate limiters of read and write calls.
    entry_count : callable
        Returns the number of entries that share the rates; 0 if unknown.
    clock : callable
        Returns seconds since boot.
    """

    store: KeyValueStore
    reads: RateLimiter
    writes: RateLimiter
    entry_count: Callable[[], int]
    clock: Callable[[], float]

    @property
    def era(self) -> int:
        """Highest era that a response stated; 0 if none did."""
        return self.store.era

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
        """Renew a lease for its time to live.

        Raises
        ------
        LeaseLostError
            If the lease has expired.
        """
        await self._throttle(self.reads, LEASE_RENEWAL_COST)
        await self.store.lease_keepalive(lease)

    async def lease_revoke(self, lease: str) -> None:
        """Revoke a lease and delete its keys."""
        await self._throttle(self.writes)
        await self.store.lease_revoke(lease)

    async def watch(
        self, prefixes: Sequence[str], after: int, wait_s: float
    ) -> WatchResult:
        """Wait at most ``wait_s`` for changes after a revision."""
        await self._throttle(self.reads)
        return await self.store.watch(prefixes, after, wait_s)
