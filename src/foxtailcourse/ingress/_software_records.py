"""Software versions of each service in the platform's store.

``ingress/software/DIGEST`` has the versions that may have begun the streams of a
service which callers can still take up. An entry that reads it together with the
registered servers concludes from both what it has not seen itself. Any entry adds a
version as soon as it sees it, and removes one that it has seen absent for the lifetime
of a stream.
"""

import hashlib
import random
from collections.abc import Callable, Collection

import attrs
import msgspec
import trio

from foxtailcourse.decoding import MalformedDataError, decode_json
from foxtailcourse.fleet import BackendServer, Configuration, FleetView, RouteKind
from foxtailcourse.ingress._configuration_exchange import FIRST_ERA
from foxtailcourse.ingress._stream_origins import STREAM_LIFETIME_S, SoftwareHistory
from foxtailcourse.observe import EventLog
from foxtailcourse.platform import KeyValueStore, PlatformError, Put

SOFTWARE_PREFIX = "ingress/software/"
CHECK_PERIOD_S = 0.1
# An addition is written within this time for each entry, a removal within a fixed time.
# The other entries then see the change and do not write it again.
ADDITION_SPREAD_S = 0.05
REMOVAL_SPREAD_S = 5.0
RETRY_PAUSE_S = 0.5


class SoftwareRecordError(ValueError):
    """A record of software versions cannot be decoded."""


class _SoftwareRecord(msgspec.Struct):
    service: str
    versions: list[str]
    # Era of the store in which the record was confirmed.
    era: int


@attrs.frozen
class RecordedSoftware:
    """A record as read from the store.

    Parameters
    ----------
    service : str
        The service.
    versions : frozenset of str
        The software versions.
    era : int
        Era of the store in which they were confirmed.
    """

    service: str
    versions: frozenset[str]
    era: int


def decode_software(key: str, value: bytes) -> RecordedSoftware:
    """Return the software versions in a record; raises SoftwareRecordError."""
    try:
        record = decode_json(value, _SoftwareRecord)
    except MalformedDataError as exc:
        raise SoftwareRecordError(f"{key}: {exc}") from exc
    if key != software_key(record.service):
        raise SoftwareRecordError(f"{key} is not the key of {record.service!r}")
    return RecordedSoftware(record.service, frozenset(record.versions), record.era)


def software_key(service: str) -> str:
    """Return the key of the record for a service."""
    digest = hashlib.blake2b(service.encode(), digest_size=8).hexdigest()
    return SOFTWARE_PREFIX + digest


@attrs.define(kw_only=True)
class SoftwareRecords:
    """Keeps the records of the software versions, and draws conclusions from them.

    A record that was written in an earlier era of the store may lack versions. It
    counts again once an entry that has known the servers for the lifetime of a stream
    has confirmed it.

    Parameters
    ----------
    view : FleetView
        Last known state of the fleet.
    history : SoftwareHistory
        Software versions that this entry has seen.
    store : KeyValueStore
        The platform's store.
    clock : callable
        Returns seconds since boot.
    max_view_age_s : float
        The list of servers must be at most this old for a conclusion from what it
        lacks. It gets so old while the store responds.
    rng : random.Random
        Spreads the writes of the entries.
    events : EventLog
        Receives an event for each record that is written, unreadable or cannot be
        written.
    """

    view: FleetView
    history: SoftwareHistory
    store: KeyValueStore
    clock: Callable[[], float]
    max_view_age_s: float
    rng: random.Random
    events: EventLog
    _records: dict[str, RecordedSoftware] = attrs.field(factory=dict, init=False)
    # Services by key, and revisions of all keys, those that cannot be decoded included.
    _services: dict[str, str] = attrs.field(factory=dict, init=False)
    _revisions: dict[str, int] = attrs.field(factory=dict, init=False)
    # Since when a recorded version of a service has had no server.
    _absent_since: dict[tuple[str, str], float] = attrs.field(factory=dict, init=False)
    # Versions that a service's record should have, and when to write it.
    _planned: dict[str, tuple[frozenset[str], float]] = attrs.field(
        factory=dict, init=False
    )
    # Services whose streams callers may take up, and those of them that share a route
    # with others, with the configuration that they are read from.
    _resumable: tuple[Configuration | None, frozenset[str], frozenset[str]] = (
        attrs.field(default=(None, frozenset(), frozenset()), init=False)
    )

    def apply_change(self, key: str, value: bytes | None, revision: int) -> None:
        """Apply one change of a record; the value is None once it is removed.

        Raises
        ------
        SoftwareRecordError
            If the record cannot be decoded; what is known of it no longer counts.
        """
        self._records.pop(self._services.pop(key, ""), None)
        self._revisions.pop(key, None)
        if value is None:
            return
        self._revisions[key] = revision
        record = decode_software(key, value)
        self._services[key] = record.service
        self._records[record.service] = record

    def has_seen_only(self, service: str, version: str, now: float) -> bool:
        """Whether this entry knows no other version that may have begun streams."""
        return self.versions(service, now) <= {version}

    def can_conclude(self, service: str, now: float) -> bool:
        """Whether an entry concludes from the store what began a service's streams."""
        return (
            self.is_confirmed(service)
            and len(self.versions(service, now)) == 1
            and not self._shares_route(service)
        )

    def _knows_servers(self, now: float) -> bool:
        return self.view.servers_freshness.age_s(now) <= self.max_view_age_s

    def is_confirmed(self, service: str) -> bool:
        """Whether the store has a record of a service that lacks no version."""
        recorded = self._records.get(service)
        return recorded is not None and recorded.era == self.store.era

    def versions(self, service: str, now: float) -> frozenset[str]:
        """Return the known versions that may have begun streams of a service."""
        versions = self.history.versions(service, self._registered(), now)
        if service in self._records:
            versions = versions | self._records[service].versions
        return versions

    def _registered(self) -> Collection[BackendServer]:
        return self.view.servers.values()

    def _resumable_services(self) -> frozenset[str]:
        """Return the services whose streams callers may take up."""
        self._read_routes()
        return self._resumable[1]

    def _shares_route(self, service: str) -> bool:
        """Whether another service may have begun the streams of a route as well."""
        self._read_routes()
        return service in self._resumable[2]

    def _read_routes(self) -> None:
        """Note the services of the resumable routes, once for each configuration."""
        configuration = self.view.configuration
        if configuration is None or self._resumable[0] is configuration:
            return
        by_route = [
            frozenset(backend.service for backend in route.backends)
            for routes in configuration.routes.values()
            for route in routes
            if route.kind is RouteKind.STREAM and route.resumable
        ]
        shared = [services for services in by_route if len(services) > 1]
        self._resumable = (
            configuration,
            frozenset().union(*by_route),
            frozenset().union(*shared),
        )

    def due(self, now: float) -> dict[str, frozenset[str]]:
        """Return the services whose records this entry writes now, with versions."""
        services = self._resumable_services()
        for service in [each for each in self._planned if each not in services]:
            del self._planned[service]
        found = {}
        for service in services:
            wanted = self._wanted(service, now)
            if wanted is None:
                self._planned.pop(service, None)
                continue
            versions, write_at = self._planned.get(service, (None, now))
            if versions != wanted:
                write_at = now + self._delay_s(service, wanted)
                self._planned[service] = wanted, write_at
            if now >= write_at:
                found[service] = wanted
        return found

    def _wanted(self, service: str, now: float) -> frozenset[str] | None:
        """Return the versions that a record should have, None if it is right."""
        recorded = self._records.get(service)
        if recorded is None or recorded.era != self.store.era:
            # A fleet that starts for the first time has begun no streams. A restored
            # store may have lost the record of earlier ones.
            is_first = software_key(service) not in self._revisions
            if not (is_first and self.store.era <= FIRST_ERA) and (
                not self._has_complete_history(now)
            ):
                return None
            return self.history.versions(service, self._registered(), now) or None
        present = {
            e.software_version for e in self._registered() if e.service == service
        }
        ended = self._ended(service, recorded.versions - present, now)
        wanted = (recorded.versions | present) - ended
        return wanted if wanted and wanted != recorded.versions else None

    def _has_complete_history(self, now: float) -> bool:
        """Whether no version that may have begun streams is missing in the history."""
        freshness = self.view.servers_freshness
        return self._knows_servers(now) and self.history.is_complete(
            now, freshness.gapless_since
        )

    def _ended(
        self, service: str, absent: Collection[str], now: float
    ) -> frozenset[str]:
        """Return the recorded versions whose streams can no longer be taken up."""
        is_known = self._knows_servers(now)
        for key in list(self._absent_since):
            if key[0] == service and (key[1] not in absent or not is_known):
                del self._absent_since[key]
        if not is_known:
            return frozenset()
        return frozenset(
            each
            for each in absent
            if now - self._absent_since.setdefault((service, each), now)
            >= STREAM_LIFETIME_S
        )

    def _delay_s(self, service: str, wanted: frozenset[str]) -> float:
        """Return how long to wait for another entry to write a record."""
        recorded = self._records.get(service)
        if recorded is not None and wanted < recorded.versions:
            return REMOVAL_SPREAD_S * self.rng.random()
        entries = 1 + len(self.view.entries)
        return ADDITION_SPREAD_S * entries * self.rng.random()

    async def run(self) -> None:
        """Write records until cancelled."""
        while True:
            await trio.sleep(CHECK_PERIOD_S)
            for service, versions in self.due(self.clock()).items():
                await self._write(service, versions)

    async def _write(self, service: str, versions: frozenset[str]) -> None:
        key, era = software_key(service), self.store.era
        record = _SoftwareRecord(service, sorted(versions), era)
        put = Put(key=key, value=msgspec.json.encode(record))
        fields = {"service": service, "software": ",".join(sorted(versions))}
        # The watch shows the record, unless it was not written.
        self._planned[service] = versions, self.clock() + RETRY_PAUSE_S
        try:
            result = await self.store.txn({key: self._revisions.get(key, 0)}, [put])
        except PlatformError as exc:
            self.events.emit("software_record_failed", error=exc, **fields)
            return
        if result.succeeded:
            self.events.emit("software_recorded", era=era, **fields)
