"""Division of each client account's limits over the entries.

Every entry reports, for each account, its demand and its *claim*: the part of the
limits that it means to use. An entry uses at most

* the lowest of its claims that a fresh peer may still hold, and
* what the latest received claims of all others leave of the whole.

A peer's held claim is therefore never below what that entry uses, so the used parts of
entries that hear each other add up to at most 1, however late messages are. No clock
is compared and no coordinator is needed. ``docs/sharing.md`` has the proof and the
cases that remain.
"""

from collections import deque
from collections.abc import Collection

import attrs

STALE_S = 4.0
SETTLE_S = 5.0
IDLE_PART = 0.1
CLAIM_STEP = 0.005


@attrs.frozen(kw_only=True)
class AccountDemand:
    """What one entry reports about one account.

    Parameters
    ----------
    demand : float
        Demand as a part of the contract's limit, 0 to 1, refused requests included.
    claim : float
        Part of the limits that the entry means to use, 0 to 1.
    """

    demand: float
    claim: float


@attrs.frozen(kw_only=True)
class DemandSummary:
    """What one entry reports to the others in ``Exchange``.

    Parameters
    ----------
    entry : str
        VM of the entry.
    sequence : int
        Increases with each summary of the entry, over restarts too.
    heard : dict of str to int
        Highest sequence received from each other entry.
    accounts : dict of str to AccountDemand
        An account that is missing has no demand and an even claim.
    """

    entry: str
    sequence: int
    heard: dict[str, int] = attrs.field(factory=dict)
    accounts: dict[str, AccountDemand] = attrs.field(factory=dict)


@attrs.define(eq=False)
class _Peer:
    sequence: int = 0
    acked: int = 0
    heard_at: float = float("-inf")
    heard_since: float = float("-inf")
    fresh: bool = False
    lost_at: float = float("-inf")
    accounts: dict[str, AccountDemand] = attrs.field(factory=dict)


class SliceTable:
    """The part of each account's limits that one entry may use.

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
        self._listed: frozenset[str] = frozenset()
        self._first = self._sequence = first_sequence
        self._sent: deque[tuple[int, float]] = deque()
        self._claims: dict[str, list[tuple[int, float]]] = {}
        self._even = 1.0
        self._confirmed = first_sequence

    def set_entries(self, entries: Collection[str], now: float) -> None:
        """Set the live entries by the VM list."""
        self._listed = frozenset(entries) - {self.entry}
        for entry in self._listed:
            self.peers.setdefault(entry, _Peer())
        self.review(now)

    def receive(self, summary: DemandSummary, now: float) -> set[str] | None:
        """Take in a summary; one of this entry or an outdated one is ignored.

        Returns
        -------
        set of str or None
            Accounts whose part may have changed; None means all.
        """
        if summary.entry == self.entry:
            return set()
        peer = self.peers.setdefault(summary.entry, _Peer())
        silent = now - peer.heard_at > STALE_S
        if summary.sequence <= peer.sequence and not silent:
            return set()
        acked = summary.heard.get(self.entry, 0)
        peer.sequence = summary.sequence
        peer.acked = acked if acked <= self._sequence else 0
        if silent:
            peer.heard_since = now
        peer.heard_at = now
        before, peer.accounts = peer.accounts, summary.accounts
        view = self._view()
        self.review(now)
        if self._view() != view:
            return None
        changed = {name for name, each in self._claims.items() if len(each) > 1}
        changed |= before.keys() ^ summary.accounts.keys()
        for name in before.keys() & summary.accounts.keys():
            if before[name].claim != summary.accounts[name].claim:
                changed.add(name)
        return changed

    def summary(self, demands: dict[str, float], now: float) -> DemandSummary:
        """Claim anew for each account and return the summary to send.

        Parameters
        ----------
        demands : dict of str to float
            Demand at this entry by account, 0 to 1.
        now : float
            Monotonic clock, in seconds.
        """
        self.review(now)
        self._sequence += 1
        self._sent.append((self._sequence, now))
        accounts = {}
        mentioned = set(demands).union(*(each.accounts for each in self.peers.values()))
        for account in mentioned | set(self._claims):
            demand = demands.get(account, 0.0)
            target, any_demand = self._target(account, demand)
            claim = self._claim(account, target, any_demand)
            if any_demand:
                accounts[account] = AccountDemand(demand=demand, claim=claim)
        heard = {entry: each.sequence for entry, each in self.peers.items()}
        return DemandSummary(
            entry=self.entry, sequence=self._sequence, heard=heard, accounts=accounts
        )

    def fraction(self, account: str, now: float) -> float:
        """Return the part of the account's limits that this entry may use now."""
        left = 1.0
        for peer in self.peers.values():
            last = peer.accounts.get(account) if peer.fresh else None
            left -= last.claim if last else self._held(peer, account, now)
        return max(0.0, min(self._usable(account), left))

    def review(self, now: float) -> None:
        """Note which peers are fresh: heard, and hearing, within STALE_S."""
        while len(self._sent) > 1 and self._sent[1][1] < now - STALE_S:
            self._sent.popleft()
        oldest = self._sent[0][0] if self._sent else None
        for entry, peer in list(self.peers.items()):
            silent = now - peer.heard_at > STALE_S
            if silent and entry not in self._listed:
                del self.peers[entry]
                continue
            hearing = oldest is not None and peer.acked >= oldest
            fresh = hearing and not silent
            if peer.fresh and not fresh:
                peer.lost_at = now
            peer.fresh = fresh
        self._even = 1.0 / (1 + len(self.peers))
        # A peer that is heard again may count this entry as fresh before its
        # acknowledgment arrives here.
        acked = [
            each.acked
            for each in self.peers.values()
            if each.fresh or now - each.heard_since <= STALE_S
        ]
        self._confirmed = min(acked, default=self._sequence)

    def _view(self) -> tuple[int, frozenset[str]]:
        fresh = frozenset(k for k, v in self.peers.items() if v.fresh)
        return len(self.peers), fresh

    def _held(self, peer: _Peer, account: str, now: float) -> float:
        last = peer.accounts.get(account)
        claim = last.claim if last is not None else self._even
        if peer.fresh:
            return claim
        # A lost peer falls to its even part; it may not have done so yet.
        settled = now - peer.lost_at > SETTLE_S
        return self._even if settled else max(claim, self._even)

    def _usable(self, account: str) -> float:
        claims = self._claims.get(account)
        if claims is None:
            return self._even
        if len(claims) == 1:
            return claims[0][1]
        usable = claims[-1][1]
        for sequence, claim in reversed(claims):
            usable = min(usable, claim)
            if sequence <= self._confirmed:
                break
        return usable

    def _target(self, account: str, demand: float) -> tuple[float, bool]:
        reserved, total, members = 0.0, demand, 1
        for peer in self.peers.values():
            if not peer.fresh:
                reserved += self._even
                continue
            members += 1
            last = peer.accounts.get(account)
            total += last.demand if last is not None else 0.0
        if total <= 0.0:
            return self._even, False
        part = IDLE_PART / members + (1.0 - IDLE_PART) * demand / total
        return (1.0 - reserved) * part, True

    def _claim(self, account: str, target: float, any_demand: bool) -> float:
        claims = self._claims.setdefault(account, [(self._first, self._even)])
        claim = claims[-1][1]
        # Small steps are left out; they would only cost time.
        if abs(target - claim) > (CLAIM_STEP if any_demand else 0.0):
            claim = target
            claims.append((self._sequence, claim))
        oldest = min(self._confirmed, self._sent[0][0])
        while len(claims) > 1 and claims[1][0] <= oldest:
            claims.pop(0)
        if not any_demand and len(claims) == 1 and claim == self._even:
            del self._claims[account]
        return claim
