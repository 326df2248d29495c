"""Which entries share the limits that all entries keep together.

Each entry keeps a share of such a limit by itself. Entries learn of each other at
different times, and the sum of their shares must stay below the limit meanwhile.
"""

import copy
from collections.abc import Callable, Set

import attrs

from foxtailcourse.fleet import Freshness

# Number of entries that is assumed while an entry does not know all others.
ASSUMED_ENTRIES = 64


@attrs.define
class LimitShares:
    """The entries that may be using a share of a limit.

    An entry whose registration disappeared still counts for ``hold_s``: it may be cut
    off from the store, or have used its share just before. An entry has no share if its
    state of the registrations is older than ``hold_s``, and then, like a new one, until
    it has been registered for ``hold_s`` again, so that all others count it.

    Parameters
    ----------
    vm : str
        Name of this VM.
    registered : callable
        Returns the VMs of the registered entries.
    freshness : Freshness
        Age of the registrations.
    hold_s : float
        Time in seconds; longer than the registrations need to reach an entry that is
        in contact with the store.

    Attributes
    ----------
    version : int
        Rises when the members change, so that what is derived from them can be cached.
    """

    vm: str
    registered: Callable[[], Set[str]]
    freshness: Freshness
    hold_s: float
    version: int = attrs.field(default=0, init=False)
    _present: frozenset[str] = attrs.field(default=frozenset(), init=False)
    # When the registration of an entry was first seen to be missing, by VM.
    _left_at: dict[str, float] = attrs.field(factory=dict, init=False)
    # Since when this entry has known without interruption that it is registered.
    _own_since: float | None = attrs.field(default=None, init=False)
    _confirmed_at: float = attrs.field(default=float("-inf"), init=False)
    # The members, and the version that they belong to.
    _members: frozenset[str] = attrs.field(default=frozenset(), init=False)
    _members_version: int = attrs.field(default=0, init=False)

    def snapshot(self) -> "LimitShares":
        """Return a copy on which decisions can be evaluated without a request."""
        result = copy.copy(self)
        result._left_at = dict(self._left_at)
        return result

    def members(self, now: float) -> frozenset[str]:
        """Return the entries that count at present, in seconds since boot ``now``."""
        self.update(now)
        if self._members_version != self.version:
            self._members_version = self.version
            self._members = self._present.union(self._left_at)
        return self._members

    def count(self, now: float) -> int:
        """Return by how many entries a limit is divided."""
        members = len(self.members(now))
        return members if self.is_settled(now) else max(members, ASSUMED_ENTRIES)

    def is_settled(self, now: float) -> bool:
        """Whether this entry has a share."""
        return self.settled_s(now) >= 0

    def settled_s(self, now: float) -> float:
        """Return for how long this entry has had a share; negative without one."""
        self.update(now)
        if self._own_since is None:
            return float("-inf")
        return now - self._own_since - self.hold_s

    def update(self, now: float) -> None:
        """Follow the registrations; called at least each second."""
        registered = self.registered()
        if registered != self._present:
            present = frozenset(registered)
            self._left_at |= dict.fromkeys(self._present - present, now)
            for vm in present:
                self._left_at.pop(vm, None)
            self._present = present
            self.version += 1
        for vm, left_at in list(self._left_at.items()):
            if now - left_at >= self.hold_s:
                del self._left_at[vm]
                self.version += 1
        as_of = self.freshness.as_of
        is_continuous = now - self._confirmed_at <= self.hold_s
        if self.vm not in registered or now - as_of > self.hold_s:
            self._own_since = None
        elif self._own_since is None or not is_continuous:
            self._own_since = now
        self._confirmed_at = as_of
