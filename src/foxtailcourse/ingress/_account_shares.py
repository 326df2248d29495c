"""Fair shares of the servers' prefill work by client account, under pressure.

The entries add up, by account, the work that they sent and refused lately. What the
fleet completed of it is divided among the accounts by max-min fairness. While prompts
queue, an account that used more than its share gets less backlog at the servers, so
that its own requests are refused before those of the others wait.
"""

import copy
import math
from collections.abc import Mapping, Sequence
from typing import Protocol

import attrs

from foxtailcourse.fleet import Configuration, RouteKind
from foxtailcourse.ingress._admission import PREFILL_TOKENS_PER_S
from foxtailcourse.ingress._placement_types import Prompt

# Prefix of the keys of accounts in the sums over the fleet.
WORK_PREFIX = "w/"
# Decay time of the work of an account.
WORK_DECAY_S = 3.0
# An account is above its share if it used this multiple of it, so that rounding and
# sums that are half a second old refuse nothing while the accounts are equal.
SHARE_TOLERANCE = 1.1
# Each account may have this fraction of what an even cut of all demand would leave it,
# however large it is. It must be served at least a quarter as often as all.
MIN_EVEN_FRACTION = 0.4
# At this backlog of the servers, as a fraction of what they complete within the
# shortest target, the shares apply. At 0.2, prompts that would have met their target
# were refused on a day with two hot accounts; at 0.5, more than 5% of the short prompts
# of small accounts are late in tests/ingress/account_simulation.py.
PRESSURE_TARGET_FRACTION = 0.5
# Prompts of an account above its share are sent if their first event comes within this
# fraction of the shortest target, also long ones.
ABOVE_SHARE_TARGET_FRACTION = 1.0
# Shares are not based on less than this fraction of the work that was sent, whatever
# loads the other entries report.
MIN_DONE_FRACTION = 0.25
# The shares are based on at least this fraction of what the servers nominally complete,
# so that queues of a moment on a calm day refuse nothing, unless the backlog is long.
NOMINAL_FRACTION = 0.6
# Weight of an account relative to one whose priority is one worse, and the number of
# steps that count. An order without weights would let one account of the best priority
# displace all others.
PRIORITY_WEIGHT = 2.0
MAX_PRIORITY_STEPS = 3
# The shares are computed again after this time, and for many accounts after this time
# for each of them, so that this takes about 1% of a core: 20 ms for 2,100 accounts.
REFRESH_S = 0.1
REFRESH_S_PER_ACCOUNT = 0.0008
# Decay time of the numbers of prompts that this entry was asked for and sent, in
# seconds. An entry may see only a few prompts of an account in a minute.
COUNT_DECAY_S = 30.0
# A kind of prompt of an account above its share is sent at least this fraction as often
# as all prompts, and its large ones this fraction as often as the kind. The limits are
# a quarter and a half.
MIN_KIND_RATIO = 0.4
MIN_LARGE_RATIO = 0.7
# A prompt is large above this multiple of the typical tokens of its route.
LARGE_PROMPT_MULTIPLE = 1.3
# Counts below this are forgotten, when there are at least so many.
MIN_COUNT = 0.05
MIN_COUNTS_TO_FORGET = 256
MIN_RETRY_AFTER_S = 0.1


class WorkSums(Protocol):
    """What the shares use of the sums over the fleet; see ``FleetSums``."""

    def add(
        self, key: str, amounts: Sequence[float], tau_s: float, now: float
    ) -> None: ...

    def total(self, key: str, now: float) -> tuple[float, ...]: ...

    def keys(self, prefix: str) -> list[str]: ...

    def heard_entries(self, now: float) -> int: ...


@attrs.frozen(kw_only=True)
class AccountDemand:
    """Recent work of a client account.

    Parameters
    ----------
    sent_tokens, refused_tokens : float
        Prefill work that the fleet sent to servers and that it refused, as decayed
        sums.
    weight : float
        Weight of the account.
    """

    sent_tokens: float
    refused_tokens: float = 0.0
    weight: float = 1.0

    @property
    def tokens(self) -> float:
        """The whole demand."""
        return self.sent_tokens + self.refused_tokens


@attrs.frozen(kw_only=True)
class FairShares:
    """Max-min fair division of work, with a least fraction of each demand.

    Parameters
    ----------
    level_tokens : float
        What an account of weight 1 may have; infinite if there is enough for all.
    even_fraction : float
        Fraction of its demand that each account may have in any case.
    """

    level_tokens: float
    even_fraction: float = 0.0

    def share_tokens(self, demand: AccountDemand) -> float:
        """Return what an account may have; it may be more than its demand."""
        return max(
            self.even_fraction * demand.tokens, self.level_tokens * demand.weight
        )


def fair_shares(demands: Sequence[AccountDemand], capacity_tokens: float) -> FairShares:
    """Divide the work that the fleet can do.

    Each account gets the smaller one of its demand and its share, and together these
    are ``capacity_tokens``.

    Parameters
    ----------
    demands : sequence of AccountDemand
        Recent work of each account.
    capacity_tokens : float
        Work to divide, as a decayed sum like the demands.
    """
    total_tokens = sum(each.tokens for each in demands)
    if total_tokens <= capacity_tokens:
        return FairShares(level_tokens=math.inf)
    even_fraction = MIN_EVEN_FRACTION * max(0.0, capacity_tokens) / total_tokens
    # The work that is given out is linear in the level between the levels at which an
    # account gets more than its least fraction, and at which it has all of its demand.
    changes = []
    for each in demands:
        full_level = each.tokens / each.weight
        changes.append((even_fraction * full_level, each.weight))
        changes.append((full_level, -each.weight))
    level, slope = 0.0, 0.0
    remaining_tokens = capacity_tokens - even_fraction * total_tokens
    for next_level, weight in sorted(changes):
        step_tokens = slope * (next_level - level)
        if step_tokens >= remaining_tokens and slope > 0.0:
            return FairShares(
                level_tokens=level + remaining_tokens / slope,
                even_fraction=even_fraction,
            )
        remaining_tokens -= step_tokens
        level, slope = next_level, slope + weight
    return FairShares(level_tokens=level, even_fraction=even_fraction)


@attrs.frozen(kw_only=True)
class Pressure:
    """How much work waits, as an entry sees it.

    Parameters
    ----------
    backlog_tokens : float
        Prefill work at all eligible servers.
    servers : int
        Number of eligible servers.
    deferred : int
        Other prompts that are deferred at this entry.
    entries : int
        Registered entries, with this one.
    tokens_per_s : float
        Mean prefill rate of the servers, in tokens per second.
    """

    backlog_tokens: float
    servers: int
    deferred: int
    entries: int = 1
    tokens_per_s: float = PREFILL_TOKENS_PER_S

    def rate(self, heard_entries: int) -> float:
        """Return what the servers nominally complete, in tokens per second.

        Of an entry that does not hear all others, neither the loads nor the sums have
        the work of the missing ones, so their part of the servers does not count.
        """
        heard = min(1.0, (1 + heard_entries) / max(1, self.entries))
        return self.tokens_per_s * max(1, self.servers) * heard


@attrs.frozen(kw_only=True)
class ShareExcess:
    """An account is above its share, and the inputs of this decision.

    Parameters
    ----------
    target_s : float
        Time to the first event above which its prompts are refused, in seconds.
    account_tokens : float
        Recent work of the account, with what is deferred at this entry.
    share_tokens : float
        Its share of ``done_tokens``.
    done_tokens : float
        Recent work that the fleet completed.
    backlog_s : float
        Time in which the servers complete their work, in seconds.
    deferred : int
        Prompts that are deferred at this entry.
    heard_entries : int
        Other entries whose work is included.
    shares_age_s : float
        Age of the shares, in seconds.
    """

    target_s: float
    account_tokens: float
    share_tokens: float
    done_tokens: float
    backlog_s: float
    deferred: int
    heard_entries: int
    shares_age_s: float

    @property
    def retry_after_s(self) -> float:
        """Time until the recent work has decayed to the share, in seconds."""
        if self.share_tokens <= 0.0:
            return WORK_DECAY_S
        ratio = max(1.0, self.account_tokens / self.share_tokens)
        return max(MIN_RETRY_AFTER_S, WORK_DECAY_S * math.log(ratio))


class _BacklogMean:
    """Decaying mean of the servers' backlog, with the decay time of the work."""

    def __init__(self) -> None:
        self._mean = self._last = 0.0
        self._at: float | None = None

    def observe(self, backlog_tokens: float, now: float) -> float:
        """Return the mean up to now; the backlog counts until the next one."""
        if self._at is not None:
            kept = math.exp(-max(0.0, now - self._at) / WORK_DECAY_S)
            self._mean = kept * self._mean + (1.0 - kept) * self._last
        self._last, self._at = backlog_tokens, now
        return self._mean


@attrs.define
class _Counts:
    """Decaying numbers of prompts."""

    asked: float = 0.0
    sent: float = 0.0
    at: float = float("-inf")

    def advance(self, now: float) -> None:
        kept = math.exp(-max(0.0, now - self.at) / COUNT_DECAY_S)
        self.asked, self.sent, self.at = self.asked * kept, self.sent * kept, now

    @property
    def sent_ratio(self) -> float:
        return self.sent / self.asked if self.asked > 0.0 else 1.0


@attrs.frozen
class PromptKind:
    """Route of a prompt, and whether it is one of the large ones there."""

    route: str
    is_large: bool

    @classmethod
    def of(cls, route: str, prompt: Prompt) -> "PromptKind":
        """Return the kind of a prompt."""
        typical_tokens = prompt.typical_tokens or prompt.tokens
        return cls(route, prompt.tokens > LARGE_PROMPT_MULTIPLE * typical_tokens)


class ServedKinds:
    """How often this entry sent the prompts of each account and kind lately.

    Work alone would let the short prompts of an account use up its share, so that its
    long ones, or its largest ones, are never sent.
    """

    def __init__(self) -> None:
        self._forget_above = MIN_COUNTS_TO_FORGET
        self._all = _Counts()
        self._kinds: dict[tuple[str, str], _Counts] = {}
        self._large: dict[tuple[str, str], _Counts] = {}

    def __len__(self) -> int:
        return len(self._kinds) + len(self._large)

    def record_asked(self, account: str, kind: PromptKind, now: float) -> None:
        """Record a prompt that arrived."""
        self._forget(now)
        for each in self._counts(account, kind, now):
            each.asked += 1.0

    def record_sent(self, account: str, kind: PromptKind, now: float) -> None:
        """Record that a prompt was sent."""
        for each in self._counts(account, kind, now):
            each.sent += 1.0

    def is_behind(self, account: str, kind: PromptKind, now: float) -> bool:
        """Whether a kind is sent too rarely for a prompt of it to be refused.

        The prompt counts as asked for already.
        """
        fleet, of_kind, *large = self._counts(account, kind, now)
        if of_kind.sent_ratio < MIN_KIND_RATIO * fleet.sent_ratio:
            return True
        return any(e.sent_ratio < MIN_LARGE_RATIO * of_kind.sent_ratio for e in large)

    def _counts(self, account: str, kind: PromptKind, now: float) -> list[_Counts]:
        key = (account, kind.route)
        counts = [self._all, self._kinds.setdefault(key, _Counts())]
        if kind.is_large:
            counts.append(self._large.setdefault(key, _Counts()))
        for each in counts:
            each.advance(now)
        return counts

    def _forget(self, now: float) -> None:
        """Remove the counts of accounts that asked for nothing lately."""
        if len(self) <= self._forget_above:
            return
        for table in (self._kinds, self._large):
            for key, counts in list(table.items()):
                counts.advance(now)
                if counts.asked < MIN_COUNT:
                    del table[key]
        self._forget_above = max(MIN_COUNTS_TO_FORGET, 2 * len(self))


@attrs.frozen
class _UnchangedSums:
    """Sums over the fleet to which nothing is added."""

    sums: WorkSums

    def add(self, key: str, amounts: Sequence[float], tau_s: float, now: float) -> None:
        """Do nothing."""

    def total(self, key: str, now: float) -> tuple[float, ...]:
        return self.sums.total(key, now)

    def keys(self, prefix: str) -> list[str]:
        return self.sums.keys(prefix)

    def heard_entries(self, now: float) -> int:
        return self.sums.heard_entries(now)


class AccountShares:
    """Decides which accounts are above their share of the servers' work.

    Parameters
    ----------
    sums : WorkSums
        Sums over the fleet.
    enabled : bool
        Whether the shares apply also if no account has a quota.
    """

    def __init__(self, sums: WorkSums, *, enabled: bool) -> None:
        self.enabled = enabled
        self._sums = sums
        self._served = ServedKinds()
        self._backlog_mean = _BacklogMean()
        self._configuration: Configuration | None = None
        self._priorities: dict[str, int] = {}
        self._shortest_target_s = 0.0
        self._has_quotas = False
        self._shares = FairShares(level_tokens=math.inf)
        self._done_tokens = 0.0
        self._accounts = 0
        self._refreshed_at = float("-inf")

    def snapshot(self) -> "AccountShares":
        """Return a copy for decisions that must not change the shares."""
        copied = copy.copy(self)
        copied._sums = _UnchangedSums(self._sums)
        copied._served = copy.deepcopy(self._served)
        copied._backlog_mean = copy.deepcopy(self._backlog_mean)
        return copied

    def applies(self, configuration: Configuration) -> bool:
        """Whether accounts have shares in this deployment."""
        self._apply_configuration(configuration)
        return self.enabled or self._has_quotas

    def record_asked(self, account: str, kind: PromptKind, now: float) -> None:
        """Record a prompt that arrived at this entry."""
        self._served.record_asked(account, kind, now)

    def record_sent(
        self, account: str, kind: PromptKind | None, work_tokens: float, now: float
    ) -> None:
        """Record a prompt that this entry sends to a server, and its prefill work.

        The kind is None if the prompt is sent again.
        """
        if kind is not None:
            self._served.record_sent(account, kind, now)
        self._sums.add(WORK_PREFIX + account, (work_tokens, 0.0), WORK_DECAY_S, now)

    def record_not_run(self, account: str, work_tokens: float, now: float) -> None:
        """Take back work that was recorded as sent and that no server has run."""
        self._sums.add(WORK_PREFIX + account, (-work_tokens, 0.0), WORK_DECAY_S, now)

    def record_refused(self, account: str, work_tokens: float, now: float) -> None:
        """Record a prompt that this entry refused, and its prefill work."""
        self._sums.add(WORK_PREFIX + account, (0.0, work_tokens), WORK_DECAY_S, now)

    def excess(
        self,
        account: str,
        kind: PromptKind,
        deferred_tokens: float,
        pressure: Pressure,
        configuration: Configuration,
        now: float,
    ) -> ShareExcess | None:
        """Return why a new prompt gets less backlog, or None if it is treated as usual.

        Parameters
        ----------
        account : str
            Name of the client account; empty without one.
        kind : PromptKind
            Kind of the prompt.
        deferred_tokens : float
            Prefill work of the prompts of the account that are deferred at this entry.
        pressure : Pressure
            What waits at present.
        configuration : Configuration
            Priorities of the accounts, and targets of the routes.
        now : float
            Present time in seconds since boot.
        """
        mean_tokens = self._backlog_mean.observe(pressure.backlog_tokens, now)
        self._apply_configuration(configuration)
        heard_entries = self._sums.heard_entries(now)
        rate = pressure.rate(heard_entries)
        backlog_s = pressure.backlog_tokens / rate
        pressure_s = PRESSURE_TARGET_FRACTION * self._shortest_target_s
        if not pressure.deferred and backlog_s <= pressure_s:
            return None
        refresh_s = max(REFRESH_S, REFRESH_S_PER_ACCOUNT * self._accounts)
        if now - self._refreshed_at >= refresh_s:
            self._refresh(pressure.backlog_tokens, mean_tokens, rate, now)
        demand = self._demand(account, now)
        used_tokens = demand.sent_tokens + deferred_tokens
        share_tokens = self._shares.share_tokens(demand)
        if (
            self._accounts < 2
            or used_tokens <= SHARE_TOLERANCE * share_tokens
            or self._served.is_behind(account, kind, now)
        ):
            return None
        return ShareExcess(
            target_s=ABOVE_SHARE_TARGET_FRACTION * self._shortest_target_s,
            account_tokens=used_tokens,
            share_tokens=share_tokens,
            done_tokens=self._done_tokens,
            backlog_s=backlog_s,
            deferred=pressure.deferred,
            heard_entries=heard_entries,
            shares_age_s=now - self._refreshed_at,
        )

    def _refresh(
        self, backlog_tokens: float, mean_tokens: float, rate: float, now: float
    ) -> None:
        """Compute the shares of the work that the fleet did lately."""
        prefix = len(WORK_PREFIX)
        demands = [
            self._demand(key[prefix:], now) for key in self._sums.keys(WORK_PREFIX)
        ]
        demands = [each for each in demands if each.tokens >= 1.0]
        sent_tokens = sum(each.sent_tokens for each in demands)
        # With the decay of the sums, what was sent less what was done is the present
        # backlog less its decaying mean.
        done_tokens = sent_tokens - (backlog_tokens - mean_tokens)
        # The backlog beyond the one without pressure is completed within a decay time.
        target_s, backlog_s = self._shortest_target_s, backlog_tokens / rate
        excess_s = max(0.0, backlog_s - PRESSURE_TARGET_FRACTION * target_s)
        # A backlog that grows on shows that the servers complete less than that.
        trust = 1.0 - max(0.0, backlog_s - target_s) / WORK_DECAY_S
        nominal_tokens = rate * WORK_DECAY_S
        least_tokens = max(
            MIN_DONE_FRACTION * sent_tokens, trust * NOMINAL_FRACTION * nominal_tokens
        )
        if sent_tokens < MIN_DONE_FRACTION * nominal_tokens:
            # The sums have just begun.
            least_tokens = sent_tokens
        self._done_tokens = min(
            sent_tokens, max(least_tokens, done_tokens - excess_s * rate)
        )
        self._shares = fair_shares(demands, self._done_tokens)
        self._accounts, self._refreshed_at = len(demands), now

    def _demand(self, account: str, now: float) -> AccountDemand:
        total = self._sums.total(WORK_PREFIX + account, now)
        # A key without any work has no amounts.
        sent_tokens, refused_tokens = (*total, 0.0, 0.0)[:2]
        return AccountDemand(
            sent_tokens=sent_tokens,
            refused_tokens=refused_tokens,
            weight=priority_weight(self._priorities, account),
        )

    def _apply_configuration(self, configuration: Configuration) -> None:
        """Follow the accounts and the routes when the configuration changes."""
        if configuration is self._configuration:
            return
        self._configuration = configuration
        accounts = configuration.accounts.values()
        self._priorities = {each.name: each.priority for each in accounts}
        self._has_quotas = any(each.quota for each in accounts)
        self._shortest_target_s = min(
            (
                route.target_latency_s
                for routes in configuration.routes.values()
                for route in routes
                if route.kind is RouteKind.STREAM and route.target_latency_s > 0
            ),
            default=math.inf,
        )


def priority_weight(priorities: Mapping[str, int], account: str) -> float:
    """Return the weight of an account; an unknown one has the worst priority."""
    worst = max(priorities.values(), default=0)
    steps = priorities.get(account, worst)
    return PRIORITY_WEIGHT ** -min(MAX_PRIORITY_STEPS, max(0, steps))
