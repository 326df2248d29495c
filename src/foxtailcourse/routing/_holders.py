"""Which backend servers are believed to hold which prefixes."""

import math
from collections import OrderedDict
from typing import Any

import attrs

START_LIFETIME_S = 20.0
MIN_LIFETIME_S, MAX_LIFETIME_S = 0.5, 600.0
LIFETIME_STEP = 1.08
MAX_HOLDERS = 16
HEAT_TIME_S = 10.0
MAX_SERVERS = 20_000


def drop_oldest(table: dict[str, Any], limit: int) -> None:
    """Bound a table of servers; one that is still in use is learned again."""
    while len(table) > limit:
        del table[next(iter(table))]


@attrs.define(eq=False)
class Prefix:
    """One tracked prefix.

    Parameters
    ----------
    holders : dict of str to float
        When each backend server was last seen to use the prefix.
    pending : dict of str to int
        Own unanswered long attempts by backend server; they will store the prefix.
    heat, heat_at : float
        Decayed count of own requests, and when it was last decayed.
    """

    holders: dict[str, float] = attrs.field(factory=dict)
    pending: dict[str, int] = attrs.field(factory=dict)
    heat: float = 0.0
    heat_at: float = 0.0

    def add_heat(self, now: float) -> None:
        """Count a request."""
        self.heat = 1.0 + self.rate(now) * HEAT_TIME_S
        self.heat_at = now

    def add_pending(self, server: str) -> None:
        """Count a long attempt that waits on a server."""
        self.pending[server] = self.pending.get(server, 0) + 1

    def drop_pending(self, server: str) -> None:
        """Forget a long attempt that waited on a server."""
        left = self.pending.pop(server, 0) - 1
        if left > 0:
            self.pending[server] = left

    def rate(self, now: float) -> float:
        """Return the own requests per second, averaged over HEAT_TIME_S."""
        return self.heat * math.exp((self.heat_at - now) / HEAT_TIME_S) / HEAT_TIME_S


class Holders:
    """Bounded table of prefixes and their holders.

    A prefix that a backend server used ``age`` ago is believed held with a
    probability that falls around the server's lifetime, which is learned from
    replies that confirm or contradict the belief.

    Parameters
    ----------
    limit : int
        Most tracked prefixes; the least recently used are forgotten.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._prefixes: OrderedDict[bytes, Prefix] = OrderedDict()
        self._lifetime_s: dict[str, float] = {}
        self._emptied_at: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._prefixes)

    def get(self, key: bytes) -> Prefix | None:
        """Return a tracked prefix."""
        return self._prefixes.get(key)

    def track(self, key: bytes) -> Prefix:
        """Return a prefix, tracked from now on."""
        prefix = self._prefixes.get(key)
        if prefix is None:
            prefix = self._prefixes[key] = Prefix()
            if len(self._prefixes) > self._limit:
                self._prefixes.popitem(last=False)
        else:
            self._prefixes.move_to_end(key)
        return prefix

    def lifetime_s(self, server: str) -> float:
        """Return how long a server is believed to keep an unused prefix."""
        return self._lifetime_s.get(server, START_LIFETIME_S)

    def probability(self, prefix: Prefix, server: str, now: float) -> float:
        """Return the belief that a server holds a prefix, 0 if nothing is known."""
        age_s = self.age_s(prefix, server, now)
        if age_s is None:
            return 0.0
        ratio = age_s / self.lifetime_s(server)
        return math.exp(-0.7 * ratio * ratio)

    def used(self, prefix: Prefix, server: str, now: float) -> None:
        """Note that a server holds a prefix now."""
        prefix.holders.pop(server, None)
        prefix.holders[server] = now
        if len(prefix.holders) > MAX_HOLDERS:
            del prefix.holders[next(iter(prefix.holders))]

    def age_s(self, prefix: Prefix, server: str, now: float) -> float | None:
        """Return how long ago a server used a prefix, None if it is not a holder."""
        at = prefix.holders.get(server)
        if at is None or at <= self._emptied_at.get(server, -math.inf):
            return None
        return now - at

    def checked(self, server: str, age_s: float, held: bool) -> None:
        """Learn the lifetime of a server from one confirmed or contradicted belief.

        Parameters
        ----------
        server : str
            Backend server.
        age_s : float
            How long ago the prefix was used when the request was sent.
        held : bool
            Whether the server still held it.
        """
        lifetime_s = self.lifetime_s(server)
        if held and age_s > lifetime_s / 2:
            lifetime_s *= LIFETIME_STEP
        elif not held and age_s < lifetime_s * 2:
            lifetime_s /= LIFETIME_STEP
        bounded = min(MAX_LIFETIME_S, max(MIN_LIFETIME_S, lifetime_s))
        self._lifetime_s[server] = bounded
        drop_oldest(self._lifetime_s, MAX_SERVERS)

    def emptied(self, server: str, now: float) -> None:
        """Note that a server lost its cache."""
        self._emptied_at[server] = now
        drop_oldest(self._emptied_at, MAX_SERVERS)
