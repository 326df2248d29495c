"""Which software version began a stream that its caller may take up at any entry.

What two versions of the servers' software generate does not fit together, and servers
do not check it. The entry that forwards the first event of a stream records the
version, also at the stream's owners: a few other entries that every entry computes
from the identifier of the caller's attempt.
"""

import hashlib
from bisect import bisect_left
from collections.abc import Iterable

import attrs

from foxtailcourse.fleet import BackendServer
from foxtailcourse.ingress._peers import PeerDirectory

# A stream may be taken up again for this time after its first event. Callers' deadlines
# are shorter.
STREAM_LIFETIME_S = 30.0
# Stands for the version that began a stream if that is not known. No server that is
# used has it, so the stream is not resumed.
UNKNOWN_SOFTWARE = ""
# Streams that are remembered; the oldest ones are forgotten first.
MAX_ORIGINS = 20_000
# A longer identifier is not remembered.
MAX_REQUEST_ID_CHARS = 200
# Entries that a stream is recorded at, besides the one that began it.
OWNERS = 3


@attrs.frozen
class StreamOrigin:
    """What began a stream.

    Parameters
    ----------
    service : str
        Service whose server began it.
    software_version : str
        Version of that server's software.
    """

    service: str
    software_version: str


class StreamOrigins:
    """Origins of recent streams by the caller's attempt that brought the first event.

    Parameters
    ----------
    lifetime_s : float
        Time for which a stream is remembered, in seconds.
    max_origins : int
        Number of streams that are remembered.
    """

    def __init__(
        self, lifetime_s: float = STREAM_LIFETIME_S, max_origins: int = MAX_ORIGINS
    ) -> None:
        self._lifetime_s = lifetime_s
        self._max_origins = max_origins
        # Origins with the times at which they were recorded, oldest first.
        self._origins: dict[str, tuple[StreamOrigin, float]] = {}
        # One object for each distinct origin in use, as most streams share theirs.
        self._shared: dict[StreamOrigin, StreamOrigin] = {}

    def __len__(self) -> int:
        return len(self._origins)

    def record(self, request_id: str, origin: StreamOrigin, now: float) -> bool:
        """Remember a stream; return False if its identifier is empty or too long."""
        if not 0 < len(request_id) <= MAX_REQUEST_ID_CHARS:
            return False
        self._origins.pop(request_id, None)
        shared = self._shared.setdefault(origin, origin)
        self._origins[request_id] = (shared, now)
        self._expire(now)
        return True

    def get(self, request_id: str, now: float) -> StreamOrigin | None:
        """Return the origin of a stream, or None if it is not remembered."""
        found = self._origins.get(request_id)
        if found is None or now - found[1] >= self._lifetime_s:
            return None
        return found[0]

    def _expire(self, now: float) -> None:
        while self._origins:
            oldest, (_, recorded_at) = next(iter(self._origins.items()))
            if (
                len(self._origins) <= self._max_origins
                and now - recorded_at < self._lifetime_s
            ):
                break
            del self._origins[oldest]
        if len(self._shared) > 2 * len(self._origins) + 1:
            self._shared = {origin: origin for origin, _ in self._origins.values()}


class OwnerRing:
    """Computes the entries that remember a stream, the same at every entry.

    An entry that joins or leaves replaces one of the owners of a stream at most. A
    lookup does not grow with the fleet.

    Parameters
    ----------
    vm : str
        This entry's VM, which is left out of the owners.
    peers : PeerDirectory
        The registered entries, this one among them.
    """

    def __init__(self, vm: str, peers: PeerDirectory) -> None:
        self._vm = vm
        self._peers = peers
        self._version = -1
        self._points: list[tuple[bytes, str]] = []

    def owners(self, request_id: str) -> list[str]:
        """Return the other entries that a stream of this entry is recorded at."""
        return self.asked(request_id)[:OWNERS]

    def asked(self, request_id: str) -> list[str]:
        """Return the other entries that may know a stream of any entry.

        The entry that began it may be one of the first in the ring itself and has then
        used the next one as an owner.
        """
        if self._version != self._peers.version:
            self._version = self._peers.version
            self._points = sorted((_point(vm), vm) for vm in self._peers)
        points = self._points
        start = bisect_left(points, (_point(request_id), ""))
        first = [
            points[(start + n) % len(points)][1]
            for n in range(min(OWNERS + 1, len(points)))
        ]
        return [vm for vm in first if vm != self._vm]


def _point(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()


class SoftwareHistory:
    """Software versions that the servers of each service have had recently.

    Parameters
    ----------
    lifetime_s : float
        Time for which a version is remembered after it was last registered, in seconds.
    """

    def __init__(self, lifetime_s: float = STREAM_LIFETIME_S) -> None:
        self._lifetime_s = lifetime_s
        self._since: float | None = None
        # When a registration with a version was last found or changed, by service.
        self._seen: dict[str, dict[str, float]] = {}

    def record(self, server: BackendServer, now: float) -> None:
        """Record that a server is registered, or was until now."""
        if self._since is None:
            self._since = now
        versions = self._seen.get(server.service, {})
        recent = {
            version: seen_at
            for version, seen_at in versions.items()
            if now - seen_at < self._lifetime_s
        }
        self._seen[server.service] = recent | {server.software_version: now}

    def last_seen(self, service: str, version: str) -> float:
        """Return when a registration was last found or changed, -inf if unknown."""
        return self._seen.get(service, {}).get(version, float("-inf"))

    def is_complete(self, now: float, gapless_since: float = float("-inf")) -> bool:
        """Whether this entry has known the servers for the lifetime of a stream.

        Parameters
        ----------
        now : float
            Present time in seconds since boot.
        gapless_since : float
            Since when no change of the servers has been missed.
        """
        if self._since is None:
            return False
        return now - max(self._since, gapless_since) >= self._lifetime_s

    def versions(
        self, service: str, registered: Iterable[BackendServer], now: float
    ) -> frozenset[str]:
        """Return the versions that are registered or were in the lifetime of a stream.

        Parameters
        ----------
        service : str
            Service of the stream.
        registered : iterable of BackendServer
            The servers that are registered now.
        now : float
            Present time in seconds since boot.
        """
        versions = {e.software_version for e in registered if e.service == service}
        for version, seen_at in self._seen.get(service, {}).items():
            if now - seen_at < self._lifetime_s:
                versions.add(version)
        return frozenset(versions)
