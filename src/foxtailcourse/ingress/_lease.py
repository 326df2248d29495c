"""Lease of an entry in the platform's store, and leader election for weight loads."""

import random
from collections.abc import Callable

import trio

from foxtailcourse.ingress._membership import ENTRIES_PREFIX, ORDERS_KEY, Membership
from foxtailcourse.observe import EventLog
from foxtailcourse.platform import (
    KeyValue,
    KeyValueStore,
    LeaseLostError,
    PlatformError,
    Put,
)

# Renewals per time to live, so that one lost reply does not end the lease.
RENEWALS_PER_TTL = 4
RETRY_PAUSE_S = 0.3
# Leadership ends this fraction of the time to live before the lease does. A new leader
# then waits only for the remaining fraction before its first order.
LEADERSHIP_MARGIN_FRACTION = 0.5
# Allowance for an order that was in transit when leadership ended.
ORDER_TRANSIT_S = 0.2
# A restored store may lack the key of a leader that does not know of it yet. A new
# leader of the era then waits for this multiple of the time to live from when it saw
# the era: the former one may give orders for half of it, and a whole one lies between.
NEW_ERA_PAUSE_TTLS = 1.5

# A key that names this entry under another lease is replaced after this multiple of the
# time to live.
FORMER_KEY_TTLS = 1.5
# Revision of no key, first seen never.
NO_KEY: tuple[int, float] = 0, float("inf")

# The pause between two renewals varies by this fraction of it.
RENEWAL_JITTER = 0.2
# Time of the calls of a renewal that registers an entry again.
REGISTRATION_CALLS_S = 0.5


def registration_wait_s(ttl_s: float, watch_pause_s: float) -> float:
    """Return within what time entries are known again after a restore of the store.

    Parameters
    ----------
    ttl_s : float
        Time to live of the entries' leases, in seconds; they register again when they
        renew it.
    watch_pause_s : float
        Time for which a watch collects changes, in seconds.
    """
    renewal_s = (1 + RENEWAL_JITTER) * ttl_s / RENEWALS_PER_TTL
    return renewal_s + REGISTRATION_CALLS_S + watch_pause_s


class EntryLease:
    """Keeps a lease, registers the entry under it and competes for leadership.

    The leader orders the backend servers to load weights. Its term is measured from
    before the call that renewed the lease, so it ends before the lease does, even if
    the VM was suspended.

    Parameters
    ----------
    store : KeyValueStore
        The platform's store.
    vm : str
        Name of this VM.
    ttl_s : float
        Time to live of the lease in seconds, and the least time between orders of two
        leaders.
    membership : Membership
        Last known entries and leader.
    clock : callable
        Returns seconds since boot.
    rng : random.Random
        Adds jitter to the calls of the entries.
    events : EventLog
        Receives events when a lease or leadership is acquired or lost.

    Attributes
    ----------
    lease : str
        Identifier of the lease; empty without one.
    fence : int
        Fencing token of this entry's leadership; 0 if it is not the leader. It grows
        with the era of the store.
    registration : callable
        Returns the registration of this entry, see ``Peer``; set before ``run``.
    """

    def __init__(
        self,
        store: KeyValueStore,
        vm: str,
        ttl_s: float,
        membership: Membership,
        clock: Callable[[], float],
        rng: random.Random,
        events: EventLog,
    ) -> None:
        self._store = store
        self._vm = vm
        self._ttl_s = ttl_s
        self._membership = membership
        self._clock = clock
        self._rng = rng
        self._events = events
        self._valid_until = float("-inf")
        self._may_order_from = float("inf")
        # Era of the store in which the lease was granted, and when it was first seen.
        self._era = store.era
        self._era_seen_at = float("-inf")
        self._registered = False
        self._may_lead = True
        self._ordered_at = float("-inf")
        # A key of the leader that names this entry and that it does not hold: its
        # revision, and when it was first seen.
        self._former_key = NO_KEY
        self.lease = ""
        self.fence = 0
        self.registration: Callable[[], bytes] = bytes

    def may_order(self, now: float) -> bool:
        """Whether this entry may give orders at time ``now``."""
        return (
            self.fence > 0
            and self._may_lead
            and self._store.era == self._era
            and now >= self._may_order_from
            and now < self._valid_until - LEADERSHIP_MARGIN_FRACTION * self._ttl_s
        )

    def record_order(self, now: float) -> None:
        """Record that this entry sends an order, or that one may have arrived."""
        self._ordered_at = now

    def _release_in_s(self, now: float) -> float:
        """Return how long the key must be kept after the last order, in seconds.

        The next leader waits for the rest of the time to live.
        """
        kept_s = LEADERSHIP_MARGIN_FRACTION * self._ttl_s
        return max(0.0, self._ordered_at + kept_s - now)

    async def run(self) -> None:
        """Keep the lease and compete for leadership until cancelled."""
        while True:
            try:
                if not self.lease or not self._registered:
                    await self._acquire_lease()
                await self._renew()
                await self.follow_era()
                if not self.lease:
                    continue
                # A key that names this entry while it does not lead may be its own.
                if not self._may_lead:
                    is_due = self._release_in_s(self._clock()) == 0
                    if self._names_this_entry and is_due:
                        await self.release()
                elif not self.fence and self._may_be_vacant:
                    await self._acquire_leadership()
            except LeaseLostError:
                self._discard_lease("lease_lapsed")
                continue
            except PlatformError as exc:
                if self._clock() > self._valid_until:
                    self._discard_lease(str(exc))
                await trio.sleep(RETRY_PAUSE_S * self._rng.uniform(0.5, 1.5))
                continue
            pause_s = self._ttl_s / RENEWALS_PER_TTL
            with trio.move_on_after(
                pause_s * self._rng.uniform(1 - RENEWAL_JITTER, 1 + RENEWAL_JITTER)
            ):
                await self._membership.wait_for_vacancy(bool(self.fence))

    @property
    def _names_this_entry(self) -> bool:
        return self._membership.leader == self._vm

    @property
    def _may_be_vacant(self) -> bool:
        return not self._membership.leader or self._names_this_entry

    async def follow_era(self) -> None:
        """Give up what was written in an earlier era of the store.

        The restored store may lack this entry's lease, registration and leadership, or
        have an older state of them. They are revoked as far as they exist, so that the
        entries need not wait for their expiry.
        """
        previous, lease = self._era, self.lease
        # The first era that is seen is that of the lease.
        if self._note_era() and lease and previous:
            self._discard_lease(f"store went from era {previous} to {self._era}")
            await self._revoke(lease)

    def _note_era(self) -> bool:
        """Record the present era of the store; return whether it is a new one."""
        if self._store.era == self._era:
            return False
        self._era, self._era_seen_at = self._store.era, self._clock()
        # Revisions are comparable within an era only.
        self._former_key = NO_KEY
        return True

    async def stand_down(self) -> None:
        """Give up leadership for good, so that another entry can lead soon.

        The entry gives no more orders, and keeps the key for a while after the last
        one. It stays registered while it finishes its requests.
        """
        self._may_lead = False
        while self.fence or self._names_this_entry:
            pause_s = self._release_in_s(self._clock())
            if pause_s == 0:
                return await self.release()
            await trio.sleep(pause_s)

    async def release(self) -> None:
        """Revoke the lease, and with it the registration and leadership."""
        lease, self.lease, self.fence = self.lease, "", 0
        if lease:
            await self._revoke(lease)

    async def _revoke(self, lease: str) -> None:
        try:
            await self._store.lease_revoke(lease)
        except PlatformError as exc:
            self._events.emit("lease_release_failed", error=exc)

    def resign(self, reason: str) -> None:
        """Give up the lease and leadership, as a server has seen a newer leader."""
        self._discard_lease(reason)

    async def _acquire_lease(self) -> None:
        """Acquire a lease if there is none, and register this entry under it.

        A lease whose registration failed is kept for the next try, so that none is left
        to expire in the store.
        """
        if not self.lease:
            sent_at = self._clock()
            self.lease = await self._store.lease_grant(self._ttl_s)
            self._valid_until, self._registered = sent_at + self._ttl_s, False
            # The response states the era of the new lease.
            self._note_era()
        put = Put(
            key=ENTRIES_PREFIX + self._vm, value=self.registration(), lease=self.lease
        )
        await self._store.txn({}, [put])
        self._registered = True
        self._events.emit("lease_granted", lease=self.lease, era=self._store.era)

    async def _renew(self) -> None:
        sent_at = self._clock()
        await self._store.lease_keepalive(self.lease)
        self._valid_until = sent_at + self._ttl_s

    async def _acquire_leadership(self) -> None:
        """Become the leader, unless another entry is.

        This entry may be the leader already without knowing it, as the answer to its
        write was lost.
        """
        former_revision = self._replaceable_revision(self._clock())
        put = Put(key=ORDERS_KEY, value=self._vm.encode(), lease=self.lease)
        result = await self._store.txn({ORDERS_KEY: former_revision}, [put])
        held = next(iter(result.current), None)
        if result.succeeded:
            self._lead(result.fencing_token)
        elif held is not None and held.value == self._vm.encode():
            # An identifier of a lease is unique within an era only.
            if held.lease == self.lease and result.era == self._era:
                self._lead(result.fencing_token, answer_lost=True)
            else:
                self._note_former_key(held)

    def _lead(self, fence: int, *, answer_lost: bool = False) -> None:
        self.fence = fence
        pause_s = (1 - LEADERSHIP_MARGIN_FRACTION) * self._ttl_s
        self._may_order_from = ORDER_TRANSIT_S + max(
            self._clock() + pause_s,
            self._era_seen_at + NEW_ERA_PAUSE_TTLS * self._ttl_s,
        )
        self._events.emit(
            "orders_acquired", fence=self.fence, answer_lost=answer_lost or None
        )

    def _note_former_key(self, held: KeyValue) -> None:
        """Remember a key that a former process on this VM wrote."""
        if self._former_key[0] != held.mod_revision:
            self._former_key = held.mod_revision, self._clock()

    def _replaceable_revision(self, now: float) -> int:
        """Return the revision of a key to replace, or 0 to create the key.

        The key of a former process ends with its lease. A restored store may have the
        key and not the lease, so that the key would stay.
        """
        revision, seen_at = self._former_key
        if now - seen_at < FORMER_KEY_TTLS * self._ttl_s:
            return 0
        self._former_key = NO_KEY
        return revision

    def _discard_lease(self, reason: str) -> None:
        if self.fence:
            self._events.emit("orders_lost", fence=self.fence, reason=reason)
        self.lease, self.fence, self._registered = "", 0, False
        self._valid_until, self._may_order_from = float("-inf"), float("inf")
