"""Records in the platform's store that weights were named recently.

An entry that starts, or was cut off, does not know when the version that it finds was
named, so it must not use older weights. One that does know writes
``ingress/weights/<model>/<version>``, bound to a lease that ends when older weights
must not be used any longer: while the key exists, they may be. The store measures that
time, so no clock of another VM is compared, and it lasts if all entries stop at once.
"""

import random
from collections.abc import Callable

import attrs
import trio

from foxtailcourse.decoding import decode_whole_number
from foxtailcourse.fleet import MAX_RECENT_STATE_AGE_S, FleetView
from foxtailcourse.ingress._leased_record import MAX_GRANT_S, write_leased_record
from foxtailcourse.ingress._settings import MAX_LEASE_MS
from foxtailcourse.observe import EventLog
from foxtailcourse.platform import KeyValueStore, PlatformError

RECENT_WEIGHTS_PREFIX = "ingress/weights/"
CHECK_PERIOD_S = 0.2
# Entries that are not the leader write after this time, if the key is still missing,
# and spread their calls by this time for each entry.
MIN_FOLLOWER_DELAY_S = 1.5
FOLLOWER_SPREAD_S = 0.1
# Time until a key that was written must have been read, before it is written again.
REWRITE_PAUSE_S = 2.0


def recent_weights_key(model: str, version: int) -> str:
    """Return the key that exists while older weights than a version may be used."""
    return f"{RECENT_WEIGHTS_PREFIX}{model}/{version}"


def parse_recent_weights_key(key: str) -> tuple[str, int] | None:
    """Return the model and the version of a key, or None if it has none."""
    model, _, version = key.removeprefix(RECENT_WEIGHTS_PREFIX).rpartition("/")
    number = decode_whole_number(version)
    return None if not model or number is None else (model, number)


def recorded_weights_s(weights_limit_s: float) -> float:
    """Return how long after a version was named its key may exist, in seconds.

    Its lease may begin MAX_GRANT_S late, and an entry may use the key for
    MAX_RECENT_STATE_AGE_S after it ended.

    Parameters
    ----------
    weights_limit_s : float
        Time in seconds after which outdated weights must not be used.
    """
    return weights_limit_s - MAX_GRANT_S - MAX_RECENT_STATE_AGE_S


@attrs.define(kw_only=True)
class RecentWeightsRecorder:
    """Writes the keys of the versions that this entry saw being named.

    Parameters
    ----------
    view : FleetView
        Last known state of the fleet.
    store : KeyValueStore
        The platform's store.
    is_leader : callable
        Whether this entry is the leader, which writes first.
    usable_s : float
        Time in seconds for which older weights may be used after a version was named.
    min_ttl_s : float
        Shortest time to live of a lease that the store grants, in seconds.
    clock : callable
        Returns seconds since boot.
    rng : random.Random
        Spreads the calls of the entries.
    events : EventLog
        Receives an event for each key that is written or cannot be.
    """

    view: FleetView
    store: KeyValueStore
    is_leader: Callable[[], bool]
    usable_s: float
    min_ttl_s: float
    clock: Callable[[], float]
    rng: random.Random
    events: EventLog
    # When to write a missing key, by model and version.
    _write_at: dict[tuple[str, int], float] = attrs.field(factory=dict, init=False)

    async def run(self) -> None:
        """Write keys until cancelled."""
        while True:
            await trio.sleep(CHECK_PERIOD_S)
            for model, version in self.due(self.clock()):
                await self._write(model, version)

    def due(self, now: float) -> list[tuple[str, int]]:
        """Return the models and versions whose keys are to be written now."""
        found = []
        for model, desired in self.view.desired_weights.items():
            for each in desired.named:
                version = each.version
                ttl_s = self.remaining_s(model, version, now)
                if ttl_s < self.min_ttl_s:
                    self._write_at.pop((model, version), None)
                elif self._write_time(model, version, now) <= now:
                    found.append((model, version))
        return found

    def _write_time(self, model: str, version: int, now: float) -> float:
        """Return when to write a key; the leader does so at once."""
        if self.is_leader() and (model, version) not in self._write_at:
            return now
        spread_s = FOLLOWER_SPREAD_S * (1 + len(self.view.entries))
        delay_s = MIN_FOLLOWER_DELAY_S + spread_s * self.rng.random()
        return self._write_at.setdefault((model, version), now + delay_s)

    def remaining_s(self, model: str, version: int, now: float) -> float:
        """Return for how long older weights may still be used, in seconds.

        It is 0 if no server has them, if the key exists or if this entry does not know
        when the version was named.
        """
        desired = self.view.desired_weights.get(model)
        since = desired.outdated_since(version - 1) if desired else None
        if since is None or (model, version) in self.view.recent_weights:
            return 0.0
        servers = self.view.servers.values()
        if not any(each.weights.get(model, version) < version for each in servers):
            return 0.0
        return max(0.0, since + self.usable_s - now)

    async def _write(self, model: str, version: int) -> None:
        try:
            ttl_s = await self._write_leased(model, version)
        except PlatformError as exc:
            self.events.emit(
                "weights_record_failed", model=model, version=version, error=exc
            )
        else:
            self.events.emit(
                "weights_recorded",
                model=model,
                version=version,
                ttl_ms=int(ttl_s * 1000),
            )
        self._write_at[model, version] = self.clock() + REWRITE_PAUSE_S

    async def _write_leased(self, model: str, version: int) -> float:
        """Write a key that ends in time; return its time to live in seconds.

        Raises
        ------
        PlatformError
            If the key may not have been written.
        """
        key = recent_weights_key(model, version)
        ttl_s = min(self.remaining_s(model, version, self.clock()), MAX_LEASE_MS / 1000)
        if ttl_s < self.min_ttl_s:
            raise PlatformError("too late for a lease", may_have_applied=False)
        await write_leased_record(self.store, key, b"1", ttl_s, self.clock)
        return ttl_s
