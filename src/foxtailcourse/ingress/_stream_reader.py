"""Reads from the store what may have begun the streams that callers take up."""

from collections.abc import Callable, Mapping

import attrs
import trio

from foxtailcourse.ingress._origin_records import (
    STREAMS_PREFIX,
    OriginRecordError,
    decode_origin,
    origin_key,
)
from foxtailcourse.ingress._software_records import (
    SOFTWARE_PREFIX,
    RecordedSoftware,
    SoftwareRecordError,
    decode_software,
)
from foxtailcourse.ingress._stream_origins import StreamOrigin
from foxtailcourse.observe import EventLog
from foxtailcourse.platform import (
    SERVERS_PREFIX,
    KeyValueStore,
    PlatformError,
    RangeResult,
    RecordError,
    decode_server,
)

# Longest wait for the store when a caller takes a stream up.
READ_TIMEOUT_S = 1.0
# Least time between two readings; the calls that wait share the next one.
READ_SPACING_S = 0.05


@attrs.frozen(kw_only=True)
class StoredStreams:
    """What the store has on the streams that callers may take up.

    Parameters
    ----------
    origins : mapping of str to StreamOrigin
        Recorded origins, by key.
    registered : mapping of str to frozenset of str
        Software versions of the registered servers, by service.
    recorded : mapping of str to RecordedSoftware
        Records of the software versions, by service.
    era : int
        Era of the store.
    """

    origins: Mapping[str, StreamOrigin]
    registered: Mapping[str, frozenset[str]]
    recorded: Mapping[str, RecordedSoftware]
    era: int

    def origin(self, request_id: str) -> StreamOrigin | None:
        """Return the recorded origin of a stream, or None."""
        return self.origins.get(origin_key(request_id)) if request_id else None

    def only_version(self, service: str) -> str | None:
        """Return the version that began each stream that may still be taken up.

        It is None if there were several, or if the store's record of them may lack
        some.
        """
        recorded = self.recorded.get(service)
        if recorded is None or recorded.era != self.era:
            return None
        versions = recorded.versions | self.registered.get(service, frozenset())
        return next(iter(versions)) if len(versions) == 1 else None


def decode_streams(
    listing: RangeResult, on_unreadable: Callable[[str], None]
) -> StoredStreams:
    """Return what was read of the store.

    Parameters
    ----------
    listing : RangeResult
        The keys with one of the prefixes for servers, software versions and origins.
    on_unreadable : callable
        Called with the reason why an origin cannot be decoded. The watch reports
        servers and software versions that cannot.
    """
    origins: dict[str, StreamOrigin] = {}
    registered: dict[str, frozenset[str]] = {}
    recorded: dict[str, RecordedSoftware] = {}
    for item in listing.items:
        try:
            if item.key.startswith(STREAMS_PREFIX):
                origins[item.key] = decode_origin(item.key, item.value)
            elif item.key.startswith(SOFTWARE_PREFIX):
                software = decode_software(item.key, item.value)
                recorded[software.service] = software
            else:
                server = decode_server(item.key, item.value)
                versions = registered.get(server.service, frozenset())
                registered[server.service] = versions | {server.software_version}
        except OriginRecordError as exc:
            on_unreadable(str(exc))
        except (SoftwareRecordError, RecordError):
            continue  # reported by the watch; it names no server to use
    return StoredStreams(
        origins=origins, registered=registered, recorded=recorded, era=listing.era
    )


@attrs.define(kw_only=True)
class StreamReader:
    """Reads the state of the store for callers that take streams up.

    Only a reading that begins after a caller came tells which software versions may
    have begun its stream: others may have joined since the last news of the watch.

    Parameters
    ----------
    store : KeyValueStore
        The platform's store.
    is_store_lost : callable
        Whether the last call of the watch failed, which is repeated all the time.
    clock : callable
        Returns seconds since boot.
    events : EventLog
        Receives an event for each failure.
    """

    store: KeyValueStore
    is_store_lost: Callable[[], bool]
    clock: Callable[[], float]
    events: EventLog
    _last: StoredStreams | None = attrs.field(default=None, init=False)
    _read_from: float = attrs.field(default=float("-inf"), init=False)
    _lock: trio.Lock = attrs.field(factory=trio.Lock, init=False)

    async def read(self) -> StoredStreams | None:
        """Return the state as of the call or later.

        It is None if the store does not respond in READ_TIMEOUT_S, and at once if it
        did not respond to the watch: a refused caller may reach an entry that knows.
        """
        if self.is_store_lost():
            return None
        asked_at = self.clock()
        try:
            with trio.move_on_after(READ_TIMEOUT_S):
                return await self._read(asked_at)
            error: object = "timed out"
        except PlatformError as exc:
            error = exc
        self.events.emit("stream_origins_failed", error=error)
        return None

    async def _read(self, asked_at: float) -> StoredStreams:
        """Read once for the calls that wait at the same time; raises PlatformError."""
        async with self._lock:
            if self._last is not None and self._read_from >= asked_at:
                return self._last
            await trio.sleep(max(0.0, self._read_from + READ_SPACING_S - self.clock()))
            read_from = self.clock()
            # Servers are read first: a version that is no longer registered then is
            # in the record, which is read later.
            listing = await self.store.range(
                SERVERS_PREFIX, SOFTWARE_PREFIX, STREAMS_PREFIX
            )
            self._last = decode_streams(listing, self._report_unreadable)
            self._read_from = read_from
            return self._last

    def _report_unreadable(self, reason: str) -> None:
        self.events.emit("record_unreadable", reason=reason)
