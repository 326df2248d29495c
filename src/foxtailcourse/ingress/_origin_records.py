"""Origins of streams in the platform's store, for entries that have all started anew.

Each origin is a key of its own, ``streams/DIGEST`` with the digest of the caller's
attempt. An origin that any entry can conclude, as the service has one software version
only, is not written.
"""

import hashlib
from collections.abc import Callable, Sequence

import attrs
import msgspec
import trio

from foxtailcourse.decoding import MalformedDataError, decode_json
from foxtailcourse.ingress._stream_origins import (
    MAX_ORIGINS,
    MAX_REQUEST_ID_CHARS,
    STREAM_LIFETIME_S,
    StreamOrigin,
)
from foxtailcourse.observe import EventLog, Metrics
from foxtailcourse.platform import (
    KeyValueStore,
    LeaseLostError,
    PlatformError,
    Put,
    StoreRestoredError,
)

STREAMS_PREFIX = "streams/"
# Streams that begin within this time share a write.
WRITE_PERIOD_S = 0.2
# After a failure, so that a store that is down is not called at once.
RETRY_PAUSE_S = 0.5
# Keys are written under one lease for this time. The lease is never renewed, so a key
# is removed when its stream can no longer be taken up.
LEASE_USE_S = 10.0
# Longest time that a lease takes to be granted; it runs from an unknown moment of it.
MAX_GRANT_S = 1.0
# Entries of one transaction of the store.
MAX_ENTRIES = 32


class OriginRecordError(ValueError):
    """A record of the origin of a stream cannot be decoded."""


class _OriginRecord(msgspec.Struct, array_like=True):
    service: str
    software_version: str


def decode_origin(key: str, value: bytes) -> StreamOrigin:
    """Return the origin in a record; raises OriginRecordError."""
    try:
        record = decode_json(value, _OriginRecord)
    except MalformedDataError as exc:
        raise OriginRecordError(f"{key}: {exc}") from exc
    return StreamOrigin(record.service, record.software_version)


def origin_key(request_id: str) -> str:
    """Return the key of the record for a caller's attempt."""
    digest = hashlib.blake2b(request_id.encode(), digest_size=16).hexdigest()
    return STREAMS_PREFIX + digest


@attrs.define(kw_only=True)
class OriginRecorder:
    """Writes the origins of streams that no entry can conclude.

    Parameters
    ----------
    store : KeyValueStore
        The platform's store.
    can_conclude : callable
        Whether an entry that starts now knows what began the streams of a service, at
        a time in seconds since boot.
    clock : callable
        Returns seconds since boot.
    events : EventLog
        Receives an event when the origins of a service are first written or no longer
        are, and for each failure.
    metrics : Metrics
        Counts the written origins.
    """

    store: KeyValueStore
    can_conclude: Callable[[str, float], bool]
    clock: Callable[[], float]
    events: EventLog
    metrics: Metrics
    # Streams in progress or broken off that are not in the store, oldest first, with
    # the times at which they began here.
    _pending: dict[str, tuple[StreamOrigin, float]] = attrs.field(
        factory=dict, init=False
    )
    # Services whose origins are written at present.
    _recorded_services: set[str] = attrs.field(factory=set, init=False)
    # Streams in progress or broken off that are in the store, oldest first, with the
    # start of the lease that they were written under.
    _written: dict[str, float] = attrs.field(factory=dict, init=False)
    # Keys of streams that ended; they are removed together with the next write.
    _removable: list[str] = attrs.field(factory=list, init=False)
    _lease: str = attrs.field(default="", init=False)
    _lease_era: int = attrs.field(default=0, init=False)
    _lease_from: float = attrs.field(default=float("-inf"), init=False)

    def add(self, request_id: str, origin: StreamOrigin, now: float) -> None:
        """Keep the origin of a stream until it ends or has been written."""
        if not 0 < len(request_id) <= MAX_REQUEST_ID_CHARS:
            return
        self._pending[request_id] = origin, now
        if len(self._pending) > MAX_ORIGINS:
            del self._pending[next(iter(self._pending))]

    def discard(self, request_id: str) -> None:
        """Forget a stream whose caller has all of it."""
        self._pending.pop(request_id, None)
        if request_id in self._written:
            del self._written[request_id]
            self._removable.append(origin_key(request_id))

    def due(self, now: float) -> list[tuple[str, StreamOrigin]]:
        """Return the streams to write now, oldest first, and forget expired ones."""
        concluded: dict[str, bool] = {}
        found = []
        for request_id, (origin, begun_at) in list(self._pending.items()):
            if now - begun_at >= STREAM_LIFETIME_S:
                del self._pending[request_id]
                continue
            service = origin.service
            if service not in concluded:
                concluded[service] = self.can_conclude(service, now)
                self._log_change(service, is_recorded=not concluded[service])
            if not concluded[service]:
                found.append((request_id, origin))
        return found

    def _log_change(self, service: str, *, is_recorded: bool) -> None:
        if is_recorded == (service in self._recorded_services):
            return
        if is_recorded:
            self._recorded_services.add(service)
        else:
            self._recorded_services.discard(service)
        self.events.emit(
            "stream_origins_recorded" if is_recorded else "stream_origins_concluded",
            service=service,
            pending=len(self._pending),
        )

    async def run(self) -> None:
        """Write origins until cancelled."""
        while True:
            await trio.sleep(WRITE_PERIOD_S)
            rows = self.due(self.clock())
            try:
                for start in range(0, len(rows), MAX_ENTRIES):
                    await self._write(rows[start : start + MAX_ENTRIES])
            except PlatformError as exc:
                if isinstance(exc, LeaseLostError | StoreRestoredError):
                    self._lease = ""
                self.events.emit(
                    "stream_origins_failed", error=exc, pending=len(self._pending)
                )
                await trio.sleep(RETRY_PAUSE_S)

    async def _write(self, rows: Sequence[tuple[str, StreamOrigin]]) -> None:
        """Write the origins of some streams, and remove those of streams that ended.

        A key that is not removed here ends with its lease.

        Raises
        ------
        PlatformError
            If they may not have been written; a second write does no harm.
        """
        await self._renew_lease()
        puts = [
            Put(
                key=origin_key(request_id),
                value=msgspec.json.encode(_OriginRecord(*attrs.astuple(origin))),
                lease=self._lease,
            )
            for request_id, origin in rows
        ]
        removed = self._removable[: MAX_ENTRIES - len(puts)]
        written = await self.store.txn({}, puts, removed)
        if written.era != self._lease_era:
            # The restored store may have assigned the lease to another holder.
            raise StoreRestoredError(
                f"the store went from era {self._lease_era} to {written.era}",
                may_have_applied=True,
            )
        del self._removable[: len(removed)]
        for request_id, _ in rows:
            if self._pending.pop(request_id, None) is None:
                # It ended meanwhile.
                self._removable.append(origin_key(request_id))
            else:
                self._written[request_id] = self._lease_from
        self.metrics.count("foxtail_ingress_recorded_streams_total", len(rows))

    async def _renew_lease(self) -> None:
        """Replace a lease that has been in use for LEASE_USE_S; raises PlatformError.

        The former one ends by itself, with its keys.
        """
        now = self.clock()
        if self._lease and now - self._lease_from < LEASE_USE_S:
            return
        ttl_s = STREAM_LIFETIME_S + LEASE_USE_S + MAX_GRANT_S
        ended = [k for k, at in self._written.items() if now - at >= ttl_s]
        for request_id in ended:
            del self._written[request_id]
        self._lease = ""
        lease = await self.store.lease_grant(ttl_s)
        self._lease, self._lease_era = lease, self.store.era
        self._lease_from = now
