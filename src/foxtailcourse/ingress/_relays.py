"""Selects the entries that relay state, so that messages do not grow with the fleet.

A few entries send each other everything directly. In a larger fleet each failure
domain has two relays: an entry sends its loads to the first one, which sends sums to
the relays of the other domains and the loads of the whole fleet back to its members.
All entries select the same relays from the registrations, without communication.
"""

import hashlib
import math

import attrs

from foxtailcourse.ingress._peers import PeerDirectory

# Largest fleet in which each entry sends to each other one.
MAX_MESH_ENTRIES = 12
RELAYS_PER_DOMAIN = 2
# An entry also uses the second relay if it has not heard from the first one for this
# time. A relay sends to each member at least once in REPUBLISH_PERIOD_S.
RELAY_SILENCE_S = 0.9


def weighted_rank(key: str, vm: str, capacity_cores: float) -> float:
    """Return the rank of an entry for a key; the lowest is selected.

    By weighted rendezvous hashing, an entry is selected for a fraction of the keys that
    is proportional to its capacity, and a change of the fleet moves few keys.
    """
    digest = hashlib.blake2b(f"{key}/{vm}".encode(), digest_size=8).digest()
    fraction = (int.from_bytes(digest) + 1) / 2**64
    return -math.log(fraction) / max(capacity_cores, 1e-6)


@attrs.define
class RelayPlan:
    """Which entries relay state, and which of them this entry uses.

    Parameters
    ----------
    vm : str
        Name of this VM.
    peers : PeerDirectory
        The registered entries.
    """

    vm: str
    peers: PeerDirectory
    # When an entry of this domain last sent loads of the fleet, by VM.
    _heard_at: dict[str, float] = attrs.field(factory=dict, init=False)
    # Version of the peers that the plan is based on, and when it was made.
    _version: int = attrs.field(default=-1, init=False)
    _planned_at: float = attrs.field(default=float("-inf"), init=False)
    _relays: dict[str, tuple[str, ...]] = attrs.field(factory=dict, init=False)

    @property
    def is_mesh(self) -> bool:
        """Whether the entries send to each other directly."""
        return len(self.peers) <= MAX_MESH_ENTRIES

    def record_heard(self, vm: str, now: float) -> None:
        """Record that a relay sent the loads of the fleet."""
        self._heard_at[vm] = now

    def relays(self, now: float) -> dict[str, tuple[str, ...]]:
        """Return the relays of each failure domain, the first one first."""
        if self._version != self.peers.version:
            self._version, self._planned_at = self.peers.version, now
            self._relays = select_relays(self.peers)
            self._heard_at = {
                k: v for k, v in self._heard_at.items() if k in self.peers
            }
        return self._relays

    def upstream(self, now: float) -> tuple[str, ...]:
        """Return the relays to send this entry's loads to; may include itself."""
        used = []
        for vm in self.own_relays(now):
            used.append(vm)
            heard_at = max(self._heard_at.get(vm, float("-inf")), self._planned_at)
            if vm == self.vm or now - heard_at < RELAY_SILENCE_S:
                break
        return tuple(used)

    def own_relays(self, now: float) -> tuple[str, ...]:
        """Return the relays of this entry's failure domain, the first one first."""
        own = self.peers.get(self.vm)
        return self.relays(now).get(own.failure_domain, ()) if own else ()

    def is_relay(self, now: float) -> bool:
        """Whether this entry is a relay."""
        return any(self.vm in each for each in self.relays(now).values())

    def other_relays(self, now: float) -> set[str]:
        """Return all relays except this entry."""
        return {vm for each in self.relays(now).values() for vm in each} - {self.vm}


def select_relays(peers: PeerDirectory) -> dict[str, tuple[str, ...]]:
    """Return the entries of each failure domain that relay, the largest ones first."""
    by_domain: dict[str, list[tuple[float, float, str]]] = {}
    for vm in peers:
        peer = peers.get(vm)
        if peer is not None:
            rank = (-peer.capacity_cores, weighted_rank("relay", vm, 1.0), vm)
            by_domain.setdefault(peer.failure_domain, []).append(rank)
    return {
        domain: tuple(vm for _, _, vm in sorted(ranks)[:RELAYS_PER_DOMAIN])
        for domain, ranks in by_domain.items()
    }
