"""Division of each client account's limits over the entries.

Every entry reports, for each account, its demand and its *claim*: the fraction of the
limits that it intends to use. An entry uses at most

* the lowest of its claims that may still be the last one a fresh peer received, and
* what the last received claims of all other entries leave of the limits.

The last claim that a peer received is therefore never below what the entry uses. So
the fractions used by entries that receive each other's messages add up to at most 1,
however late the messages are. No clocks are compared and no coordinator is needed.
``docs/sharing.md`` has the proof and the cases in which the sum may exceed 1.
"""

from collections import deque
from collections.abc import Collection

import attrs

STALE_S = 4.0
# A peer that was disconnected for longer has fallen back to the equal fraction.
SETTLE_S = 5.0
# This fraction of the limits is divided equally, the rest by demand.
IDLE_FRACTION = 0.1
MIN_CLAIM_STEP = 0.005


@attrs.frozen(kw_only=True)
class AccountDemand:
    """Demand and claim of one entry for one client account.

    Parameters
    ----------
    demand : float
        Demand as a fraction of the contract's limit, 0 to 1, refused requests
        included.
    claim : float
        Fraction of the limits that the entry intends to use, 0 to 1.
    """

    demand: float
    claim: float


@attrs.frozen(kw_only=True)
class DemandSummary:
    """Report of one entry to the others, sent by the gRPC method ``Exchange``.

    Parameters
    ----------
    entry : str
        VM of the entry.
    sequence : int
        Increases with each summary of the entry, also across restarts.
    heard : dict of str to int
        Last sequence received from each other entry, as an acknowledgment.
    accounts : dict of str to AccountDemand
        An account that is missing has no demand and an equal claim.
    """

    entry: str
    sequence: int
    heard: dict[str, int] = attrs.field(factory=dict)
    accounts: dict[str, AccountDemand] = attrs.field(factory=dict)


@attrs.define(eq=False)
class _Peer:
    """Last received state of another entry.

    A peer is fresh while messages arrive in both directions: its last summary and the
    summary of this entry that it acknowledged were sent within about STALE_S.

    Parameters
    ----------
    sequence : int
        Sequence of its last summary.
    acked_sequence : int
        Sequence of the last summary of this entry that it acknowledged.
    last_received_at : float
        When its last summary was received.
    receiving_since : float
        When its summaries began to arrive without a break of STALE_S.
    fresh : bool
        Whether it is fresh.
    disconnected_at : float
        When it last ceased to be fresh.
    accounts : dict of str to AccountDemand
        Demand and claim by account, from its last summary.
    """

    sequence: int = 0
    acked_sequence: int = 0
    last_received_at: float = float("-inf")
    receiving_since: float = float("-inf")
    fresh: bool = False
    disconnected_at: float = float("-inf")
    accounts: dict[str, AccountDemand] = attrs.field(factory=dict)


class SliceTable:
    """Tracks the fraction of each account's limits that one entry may use.

    Parameters
    ----------
    entry : str
        VM of this entry.
    first_sequence : int
        Higher than any sequence of an earlier process of this entry, for example the
        wall clock in milliseconds.
    """

    def __init__(self, entry: str, first_sequence: int = 0) -> None:
        self.entry = entry
        self.peers: dict[str, _Peer] = {}
        self._configured_peers: frozenset[str] = frozenset()
        self._first_sequence = self._sequence = first_sequence
        # Sequence and time of each summary sent in the last STALE_S, and of the one
        # before them.
        self._sent: deque[tuple[int, float]] = deque()
        # By account, oldest first: each claim that a fresh peer may still know, with
        # the sequence of the first summary that had it.
        self._claims: dict[str, list[tuple[int, float]]] = {}
        self._equal_fraction = 1.0
        self._confirmed_sequence = first_sequence

    def set_entries(self, entries: Collection[str], now: float) -> None:
        """Set the live entries, given by their VMs."""
        self._configured_peers = frozenset(entries) - {self.entry}
        for entry in self._configured_peers:
            self.peers.setdefault(entry, _Peer())
        self.update_freshness(now)

    def receive(self, summary: DemandSummary, now: float) -> set[str] | None:
        """Apply a summary; one of this entry or an outdated one is ignored.

        Returns
        -------
        set of str or None
            Accounts whose fraction may have changed; None means all.
        """
        if summary.entry == self.entry:
            return set()
        peer = self.peers.setdefault(summary.entry, _Peer())
        stale = now - peer.last_received_at > STALE_S
        if summary.sequence <= peer.sequence and not stale:
            return set()
        acked_sequence = summary.heard.get(self.entry, 0)
        peer.sequence = summary.sequence
        peer.acked_sequence = acked_sequence if acked_sequence <= self._sequence else 0
        if stale:
            peer.receiving_since = now
        peer.last_received_at = now
        previous, peer.accounts = peer.accounts, summary.accounts
        membership = self._membership()
        self.update_freshness(now)
        if self._membership() != membership:
            return None
        # The acknowledgment may allow this entry to use a higher claim.
        changed = {name for name, each in self._claims.items() if len(each) > 1}
        changed |= previous.keys() ^ summary.accounts.keys()
        for name in previous.keys() & summary.accounts.keys():
            if previous[name].claim != summary.accounts[name].claim:
                changed.add(name)
        return changed

    def create_summary(self, demands: dict[str, float], now: float) -> DemandSummary:
        """Update the claim for each account and return the summary to send.

        Parameters
        ----------
        demands : dict of str to float
            Demand at this entry by account, 0 to 1.
        now : float
            Monotonic clock, in seconds.
        """
        self.update_freshness(now)
        self._sequence += 1
        self._sent.append((self._sequence, now))
        accounts = {}
        reported_accounts = set(demands).union(
            *(each.accounts for each in self.peers.values())
        )
        for account in reported_accounts | set(self._claims):
            demand = demands.get(account, 0.0)
            target, any_demand = self._target_claim(account, demand)
            claim = self._update_claim(account, target, any_demand)
            if any_demand:
                accounts[account] = AccountDemand(demand=demand, claim=claim)
        heard = {entry: each.sequence for entry, each in self.peers.items()}
        return DemandSummary(
            entry=self.entry, sequence=self._sequence, heard=heard, accounts=accounts
        )

    def fraction(self, account: str, now: float) -> float:
        """Return the fraction of the account's limits that this entry may use now."""
        remaining = 1.0
        for peer in self.peers.values():
            report = peer.accounts.get(account) if peer.fresh else None
            remaining -= report.claim if report else self._max_claim(peer, account, now)
        return max(0.0, min(self._usable_claim(account), remaining))

    def update_freshness(self, now: float) -> None:
        """Update which peers are fresh and which claims they have confirmed."""
        while len(self._sent) > 1 and self._sent[1][1] < now - STALE_S:
            self._sent.popleft()
        oldest_sequence = self._sent[0][0] if self._sent else None
        for entry, peer in list(self.peers.items()):
            stale = now - peer.last_received_at > STALE_S
            if stale and entry not in self._configured_peers:
                del self.peers[entry]
                continue
            acknowledged = (
                oldest_sequence is not None and peer.acked_sequence >= oldest_sequence
            )
            fresh = acknowledged and not stale
            if peer.fresh and not fresh:
                peer.disconnected_at = now
            peer.fresh = fresh
        self._equal_fraction = 1.0 / (1 + len(self.peers))
        # A peer whose messages arrive again may count this entry as fresh before its
        # acknowledgment arrives here.
        acked_sequences = [
            each.acked_sequence
            for each in self.peers.values()
            if each.fresh or now - each.receiving_since <= STALE_S
        ]
        self._confirmed_sequence = min(acked_sequences, default=self._sequence)

    def _membership(self) -> tuple[int, frozenset[str]]:
        """Return the number of peers, and which of them are fresh."""
        fresh = frozenset(k for k, v in self.peers.items() if v.fresh)
        return len(self.peers), fresh

    def _max_claim(self, peer: _Peer, account: str, now: float) -> float:
        """Return the largest fraction of an account's limits that a peer may use."""
        report = peer.accounts.get(account)
        claim = report.claim if report is not None else self._equal_fraction
        if peer.fresh:
            return claim
        # A disconnected peer falls back to the equal fraction, but maybe not yet.
        settled = now - peer.disconnected_at > SETTLE_S
        return self._equal_fraction if settled else max(claim, self._equal_fraction)

    def _usable_claim(self, account: str) -> float:
        """Return the lowest claim that may be the last one a fresh peer received."""
        claims = self._claims.get(account)
        if claims is None:
            return self._equal_fraction
        if len(claims) == 1:
            return claims[0][1]
        usable_claim = claims[-1][1]
        for sequence, claim in reversed(claims):
            usable_claim = min(usable_claim, claim)
            if sequence <= self._confirmed_sequence:
                break
        return usable_claim

    def _target_claim(self, account: str, demand: float) -> tuple[float, bool]:
        """Return the claim to aim for, and whether any fresh entry has demand."""
        reserved_fraction, total_demand, n_members = 0.0, demand, 1
        for peer in self.peers.values():
            if not peer.fresh:
                reserved_fraction += self._equal_fraction
                continue
            n_members += 1
            report = peer.accounts.get(account)
            total_demand += report.demand if report is not None else 0.0
        if total_demand <= 0.0:
            return self._equal_fraction, False
        fraction = (
            IDLE_FRACTION / n_members + (1.0 - IDLE_FRACTION) * demand / total_demand
        )
        return (1.0 - reserved_fraction) * fraction, True

    def _update_claim(self, account: str, target: float, any_demand: bool) -> float:
        """Return the claim for the summary to send; discard claims no longer needed."""
        claims = self._claims.setdefault(
            account, [(self._first_sequence, self._equal_fraction)]
        )
        claim = claims[-1][1]
        # Small changes are skipped, since each one costs computing time.
        if abs(target - claim) > (MIN_CLAIM_STEP if any_demand else 0.0):
            claim = target
            claims.append((self._sequence, claim))
        oldest_sequence = min(self._confirmed_sequence, self._sent[0][0])
        while len(claims) > 1 and claims[1][0] <= oldest_sequence:
            claims.pop(0)
        if not any_demand and len(claims) == 1 and claim == self._equal_fraction:
            del self._claims[account]
        return claim
