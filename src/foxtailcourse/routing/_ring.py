"""Hash candidates whose cost does not grow with the fleet.

Each candidate of a key is drawn by its own hash of the key, looked up in a sorted
table of server points. A server that joins or leaves changes only the draws that
fall on its own points. Source: Appleton and O'Reilly, "Multi-probe consistent
hashing" (2015), for several probes for each key over one table of points.
"""

import hashlib
from array import array
from bisect import bisect_left
from collections.abc import Iterator, Sequence

_POINT_BYTES = 8
_POINTS_PER_DIGEST = 8
_MIN_POINTS_PER_SERVER = 16
_MIN_POINTS = 4096
_PROBES_PER_SERVER = 4
_MASK = 2**64 - 1
_STEP = 0x9E3779B97F4A7C15


def _points(server: str, n_points: int) -> array:
    points = array("Q")
    for part in range(n_points // _POINTS_PER_DIGEST):
        digest = hashlib.blake2b(server.encode(), salt=part.to_bytes(8, "big"))
        points.frombytes(digest.digest())
    return points


def _mix(value: int) -> int:
    """Return a well mixed 64-bit value (the finaliser of SplitMix64)."""
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _MASK
    return value ^ (value >> 31)


class HashRing:
    """A fleet of servers that keys are hashed onto; it never changes.

    Parameters
    ----------
    servers : sequence of str
        Identifiers of the backend servers, in any order.

    Notes
    -----
    Building takes time proportional to the fleet, drawing does not.
    """

    def __init__(self, servers: Sequence[str]) -> None:
        self.servers = tuple(sorted(set(servers)))
        self._known = frozenset(self.servers)
        size = len(self.servers)
        wanted = max(_MIN_POINTS_PER_SERVER, _MIN_POINTS // max(1, size))
        # A power of two keeps most points in place while the fleet grows or shrinks.
        per_server = 1 << (wanted - 1).bit_length()
        pairs = [
            (point, index)
            for index, server in enumerate(self.servers)
            for point in _points(server, per_server)
        ]
        pairs.sort()
        self._points = array("Q", (point for point, _ in pairs))
        self._owners = array("I", (index for _, index in pairs))

    def __contains__(self, server: str) -> bool:
        return server in self._known

    def without(self, servers: Sequence[str]) -> frozenset[str] | None:
        """Return the ring's servers that are not among these.

        None if some of these are not on the ring.
        """
        names = frozenset(servers)
        return self._known - names if names <= self._known else None

    def draw(
        self, key: bytes, count: int, absent: frozenset[str] = frozenset()
    ) -> Iterator[str]:
        """Yield up to ``count`` distinct servers of a key, in a fixed order.

        Parameters
        ----------
        key : bytes
            At least 8 bytes, already uniformly distributed.
        count : int
            How many servers; fewer are given if the fleet is smaller.
        absent : frozenset of str
            Servers of the ring that are passed over.
        """
        count = min(count, len(self.servers) - len(absent))
        if count < 1:
            return
        state = int.from_bytes(key[:_POINT_BYTES], "big")
        passed, left = set(absent), count
        for _ in range(count * _PROBES_PER_SERVER):
            state = (state + _STEP) & _MASK
            place = bisect_left(self._points, _mix(state)) % len(self._points)
            server = self.servers[self._owners[place]]
            if server not in passed:
                passed.add(server)
                yield server
                left -= 1
                if not left:
                    return
        # The probes found too few different servers, as in a very small fleet.
        while left:
            place = (place + 1) % len(self._points)
            server = self.servers[self._owners[place]]
            if server not in passed:
                passed.add(server)
                yield server
                left -= 1
