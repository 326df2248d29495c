"""Quotas of client accounts, which all entries keep together.

The use of an account over all entries is the level of a bucket that each admitted
request fills and that leaks at the quota's rate. Each entry has a part of the level as
its own sum in ``FleetSums`` and leaks it in proportion, so that the whole level leaks
at the rate and the parts stay additive. ``docs/design/quotas.md`` has the bound.
"""

import hashlib
import math
import random
from collections.abc import Mapping

import attrs

from foxtailcourse.fleet import Account, Quota
from foxtailcourse.ingress._fleet_sums import FleetSums
from foxtailcourse.ingress._limit_shares import LimitShares

KEY_PREFIX = "q/"
# Longer names of accounts are sent as a digest, so that a row fits into a datagram.
MAX_NAME_CHARS = 64
# Parts of what the rule allows in addition to rate and burst. Requests are admitted
# below the burst and the first part, whatever their size, and may fill up to the burst
# and the second one. The rest covers use that entries have not yet heard of.
THRESHOLD_PART, CEILING_PART = 0.2, 0.6
# Without a rule and without a burst, so many seconds of the rate may be used at once.
DEFAULT_BURST_S = 1.0
# A level below this fraction of the threshold leaks exponentially, so that the decay
# time stays above the age of messages.
LINEAR_LEAK_FRACTION = 0.25
# Above this fraction of the threshold, each use is sent at once. Below it, so is a use
# that together with as much at each other entry would be URGENT_SUM of it.
URGENT_USE, URGENT_SUM, URGENT_MIN = 0.5, 0.25, 1 / 256
MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 0.1, 60.0
RETRY_JITTER = 0.25
# Retry-after time while nothing leaks, as entries that are not heard count.
UNHEARD_RETRY_AFTER_S = 1.5
# Each quota is watched in this period, and a part of them at a time.
WATCH_PERIOD_S, WATCH_PARTS = 1.0, 4
# Parts of a level below this fraction of the threshold need no watch, except in a
# longer period, in which the sums would else be forgotten.
QUIET_FRACTION, QUIET_REFRESH_S = 1 / 16, 20.0
# The entries are counted in this period, as this takes long in a large fleet.
COUNT_PERIOD_S = 0.1
# What entries that are gone had used counts as at most this multiple of the highest
# level that requests can fill. It is above 1 for a limit that was lowered meanwhile.
MAX_LOST_LEVELS = 2.0
# A lower level is 0.
NEAR_ZERO = 0.5


@attrs.frozen(kw_only=True)
class QuotaRule:
    """What an account may use in a window beyond its rate and its burst.

    Parameters
    ----------
    window_s : float
        Length of the window in seconds; 0 without a rule.
    overage : float
        Fraction of the rate in a window and the burst.
    tolerance : float
        Tokens in addition; not for quotas of requests.
    """

    window_s: float = 0.0
    overage: float = 0.0
    tolerance: float = 0.0

    def excess(self, quota: Quota) -> float:
        """Return the tokens or requests beyond the rate and the burst."""
        if self.window_s <= 0:
            return 0.0
        allowed = quota.rate_per_s * self.window_s + quota.burst
        tolerance = self.tolerance if quota.counts_tokens else 0.0
        return self.overage * allowed + tolerance


@attrs.frozen(kw_only=True)
class Caps:
    """Levels up to which requests are admitted, in tokens or requests.

    Parameters
    ----------
    rate_per_s : float
        Rate at which the level leaks.
    threshold : float
        A request is admitted only while the level is below it.
    ceiling : float
        No request fills the level above it, so it is also the largest request;
        infinite without a rule.
    """

    rate_per_s: float
    threshold: float
    ceiling: float

    @classmethod
    def create(cls, quota: Quota, rule: QuotaRule) -> "Caps":
        """Return the caps of a quota."""
        excess = rule.excess(quota)
        if excess <= 0:
            threshold = quota.burst or quota.rate_per_s * DEFAULT_BURST_S
            return cls(
                rate_per_s=quota.rate_per_s,
                threshold=threshold,
                ceiling=math.inf,
            )
        return cls(
            rate_per_s=quota.rate_per_s,
            threshold=quota.burst + THRESHOLD_PART * excess,
            ceiling=quota.burst + CEILING_PART * excess,
        )

    def tau_s(self, level: float) -> float:
        """Return the decay time with which a level leaks at the rate, in seconds."""
        return max(level, LINEAR_LEAK_FRACTION * self.threshold) / self.rate_per_s

    @property
    def divided(self) -> float:
        """What entries that do not hear each other divide among themselves."""
        return self.ceiling if math.isfinite(self.ceiling) else self.threshold

    @property
    def start_s(self) -> float:
        """Time in seconds in which a full level has leaked."""
        return self.divided / self.rate_per_s


@attrs.define(kw_only=True, eq=False)
class Grant:
    """An admitted request, which is passed to ``give_back`` if it has not run.

    Parameters
    ----------
    key : str
        Key of the account's sums.
    account : str
        Name of the account.
    tokens : float
        Tokens of the request, or 1 for quotas of requests.
    sent_at : float or None
        When the request was sent, in seconds since boot. Until then it does not leak.
    returned : bool
        Whether it was given back.
    """

    key: str
    account: str
    tokens: float
    sent_at: float | None = None
    returned: bool = False


@attrs.frozen(kw_only=True)
class Use:
    """Use of an account, as one entry knows it.

    Parameters
    ----------
    own : float
        Level of this entry.
    others : float
        Level of the entries that it hears.
    unheard : float
        What the other entries may have used.
    heard_entries : int
        Entries that it hears, without itself.
    entries : int
        Entries that may be in service.
    """

    own: float
    others: float
    unheard: float
    heard_entries: int
    entries: int

    @property
    def total(self) -> float:
        """The level over all entries."""
        return self.own + self.others + self.unheard


@attrs.frozen(kw_only=True)
class QuotaRefusal:
    """A refused request, with the inputs of the decision.

    Parameters
    ----------
    account : str
        Name of the account.
    quota : Quota
        Its quota.
    tokens : float
        Tokens of the request, or 1 for quotas of requests.
    use : Use
        Use over all entries.
    threshold, ceiling : float
        Level below which requests are admitted, and up to which they may fill it, at
        this entry now.
    retry_after_s : float
        Time in seconds until the level has leaked far enough.
    too_large : bool
        Whether the request alone exceeds the quota.
    """

    account: str
    quota: Quota
    tokens: float
    use: Use
    threshold: float
    ceiling: float
    retry_after_s: float
    too_large: bool


@attrs.define(kw_only=True)
class _State:
    """What this entry knows of one quota.

    Parameters
    ----------
    account : Account
        The account.
    caps : Caps
        Caps of its quota.
    started_at : float
        Since when this entry keeps the quota, in seconds since boot.
    tau_s : float
        Present decay time of the level, in seconds.
    as_of : float
        When the following figures were computed, in seconds since boot.
    assumed : float
        Part of the own level that stands for use before ``started_at``.
    held : float
        Tokens of requests that were admitted and not yet sent.
    unsent : float
        Tokens that were admitted since the other entries were last told at once.
    others : float
        Level of the other entries.
    lost : float
        Level of entries that are no longer heard.
    heard_entries : int
        Entries that were heard.
    """

    account: Account
    caps: Caps
    started_at: float
    tau_s: float
    as_of: float
    assumed: float
    held: float = 0.0
    unsent: float = 0.0
    others: float = 0.0
    lost: float = 0.0
    heard_entries: int = 0


@attrs.define(kw_only=True)
class AccountQuotas:
    """Decides whether the quota of an account allows a request.

    Parameters
    ----------
    sums : FleetSums
        Use by account, of this entry and of the others.
    shares : LimitShares
        The entries that may be in service.
    rng : random.Random
        Spreads the times at which refused callers come back.
    rule : QuotaRule
        What accounts may use beyond their quotas.
    """

    sums: FleetSums
    shares: LimitShares
    rng: random.Random
    rule: QuotaRule = QuotaRule()
    _states: dict[str, _State] = attrs.field(factory=dict, init=False)
    # The accounts that the states belong to, as they were passed.
    _accounts: Mapping[str, Account] | None = attrs.field(default=None, init=False)
    _was_settled: bool = attrs.field(default=False, init=False)
    # Entries that may be in service, and when they were counted.
    _count: int = attrs.field(default=1, init=False)
    _counted_at: float = attrs.field(default=float("-inf"), init=False)
    _watched: int = attrs.field(default=0, init=False)

    def admit(
        self, account: Account, tokens: float | None, now: float
    ) -> Grant | QuotaRefusal | None:
        """Decide whether an account may use tokens now, and count them.

        Parameters
        ----------
        account : Account
            Account of the request.
        tokens : float or None
            Tokens that the request counts as; None if its caller states none.
        now : float
            Present time in seconds since boot.

        Returns
        -------
        Grant, QuotaRefusal or None
            None if the account has no quota.
        """
        quota = account.quota
        if quota is None:
            return None
        if not quota.counts_tokens:
            tokens = 1.0
        elif tokens is None:
            tokens = quota.default_tokens
        key = _key(account.name, quota)
        state = self._state(key, account, now)
        use = self._refresh(key, state, now)
        caps, ceiling = state.caps, state.caps.ceiling
        # Debt is divided over the entries, of which this one hears only some.
        heard_part = 1 / use.entries
        if not self._is_starting(state, now):
            heard_part *= 1 + use.heard_entries
        threshold = caps.divided - (caps.divided - caps.threshold) * heard_part
        if use.total >= threshold or use.total + tokens > ceiling:
            excess = max(use.total - threshold, use.total + tokens - ceiling)
            return QuotaRefusal(
                account=account.name,
                quota=quota,
                tokens=tokens,
                use=use,
                threshold=threshold,
                ceiling=ceiling,
                retry_after_s=self._retry_after_s(state, use, excess, now),
                too_large=tokens > caps.ceiling,
            )
        state.tau_s = caps.tau_s(use.total + tokens)
        self.sums.add(key, (tokens,), state.tau_s, now)
        state.held += tokens
        state.unsent += tokens
        urgent = caps.threshold * max(URGENT_SUM / use.entries, URGENT_MIN)
        if state.unsent >= urgent or use.total + tokens >= URGENT_USE * caps.threshold:
            state.unsent = 0.0
            self.sums.mark_urgent(key)
        return Grant(key=key, account=account.name, tokens=tokens)

    def record_sent(self, grant: Grant, now: float) -> None:
        """Record that a request is sent; only from now on its tokens leak."""
        state = self._states.get(grant.key)
        if grant.sent_at is not None or grant.returned:
            return
        grant.sent_at = now
        if state is not None:
            self._refresh(grant.key, state, now)
            state.held = max(0.0, state.held - grant.tokens)

    def give_back(self, grant: Grant, now: float) -> None:
        """Return the tokens of a request that has not run and will not run."""
        state = self._states.get(grant.key)
        if grant.returned:
            return
        grant.returned = True
        if state is None:
            return
        self._refresh(grant.key, state, now)
        remaining = grant.tokens
        if grant.sent_at is None:
            state.held = max(0.0, state.held - grant.tokens)
        else:
            remaining *= _decay(now - grant.sent_at, state.tau_s)
        self.sums.add(grant.key, (-remaining,), state.tau_s, now)
        self.sums.mark_urgent(grant.key)

    def update(self, accounts: Mapping[str, Account], now: float) -> None:
        """Follow the configuration and the other entries; called often.

        Parameters
        ----------
        accounts : mapping of str to Account
            The accounts in force by API key.
        now : float
            Present time in seconds since boot.
        """
        if accounts is not self._accounts:
            self._accounts = accounts
            keys: dict[str, Account] = {}
            for account in accounts.values():
                if account.quota is not None:
                    keys[_key(account.name, account.quota)] = account
            self._states = {k: v for k, v in self._states.items() if k in keys}
            for key, account in keys.items():
                self._state(key, account, now)
        self._watched = (self._watched + 1) % WATCH_PARTS
        for key in list(self._states)[self._watched :: WATCH_PARTS]:
            state = self._states[key]
            state.unsent = 0.0
            if not self._is_quiet(key, state, now):
                self._refresh(key, state, now)

    def set_rule(self, rule: QuotaRule) -> None:
        """Apply another rule."""
        self.rule = rule
        for state in self._states.values():
            if state.account.quota is not None:
                state.caps = Caps.create(state.account.quota, rule)

    def _state(self, key: str, account: Account, now: float) -> _State:
        """Return the state of a quota, which follows changes of the limit."""
        state, quota = self._states.get(key), account.quota
        assert quota is not None
        if state is None:
            caps = Caps.create(quota, self.rule)
            share = caps.divided / self._entries(0, now)
            state = _State(
                account=account,
                caps=caps,
                started_at=now,
                tau_s=caps.start_s,
                as_of=now,
                assumed=share,
                heard_entries=self.sums.heard_entries(now),
            )
            self._states[key] = state
            self.sums.set_own(key, (share,), state.tau_s, now)
        elif state.account.quota != quota:
            state.account, state.caps = account, Caps.create(quota, self.rule)
        return state

    def _refresh(self, key: str, state: _State, now: float) -> Use:
        """Bring the figures of a quota up to the present time and return its use."""
        sums, caps = self.sums, state.caps
        heard = sums.heard_entries(now)
        entries = self._entries(heard, now)
        remains = _decay(now - state.as_of, state.tau_s)
        own, others = _first(sums.own(key, now)), _first(sums.others(key, now))
        if others > state.others * remains + QUIET_FRACTION * caps.threshold:
            # They decay with the time that is set, which may be that of a lower level
            # from before they arrived.
            sums.set_own(key, (own,), caps.tau_s(max(own, caps.divided)), now)
            highest = own + _first(sums.others(key, now))
            sums.set_own(key, (own,), caps.tau_s(max(state.lost, highest)), now)
            others = _first(sums.others(key, now))
        change = others - state.others * remains
        state.lost *= remains
        if heard < state.heard_entries:
            # It leaks at the rate, so one odd message would count for years.
            state.lost = min(
                state.lost + max(0.0, -change), MAX_LOST_LEVELS * caps.divided
            )
        elif heard > state.heard_entries:
            state.lost = max(0.0, state.lost - max(0.0, change))
        # What was held did not leak, and more entries divide the assumed use.
        added = state.held * (1 - remains)
        state.assumed *= remains
        surplus = max(0.0, state.assumed - caps.divided / entries)
        state.assumed -= surplus
        own = max(0.0, own + added - surplus)
        if own < NEAR_ZERO and not state.held and caps.threshold > 1 / NEAR_ZERO:
            own = 0.0
        state.as_of, state.others, state.heard_entries = now, others, heard
        missing = entries - 1 - heard
        unheard = max(state.lost, missing * caps.divided / entries)
        if self._is_starting(state, now):
            assumed_others = caps.divided * (entries - 1) / entries
            unheard = max(unheard, assumed_others - others)
        state.tau_s = caps.tau_s(own + others + unheard)
        sums.set_own(key, (own,), state.tau_s, now)
        return Use(
            own=own,
            others=others,
            unheard=unheard,
            heard_entries=heard,
            entries=entries,
        )

    def _is_quiet(self, key: str, state: _State, now: float) -> bool:
        """Whether a level is so low that its decay time stays the same."""
        if state.held or now - state.as_of >= QUIET_REFRESH_S:
            return False
        quiet = QUIET_FRACTION * state.caps.threshold
        levels = (state.others, state.assumed, state.lost)
        return (
            max(levels) < quiet
            and _first(self.sums.others(key, now)) < quiet
            and _first(self.sums.own(key, now)) < quiet
        )

    def _is_starting(self, state: _State, now: float) -> bool:
        """Whether use that this entry does not know of may still count."""
        return now - state.started_at < state.caps.start_s

    def _entries(self, heard_entries: int, now: float) -> int:
        """Return how many entries may be in service.

        The registrations are needed once, so a store that is away changes nothing.
        """
        if not 0 <= now - self._counted_at < COUNT_PERIOD_S:
            self._counted_at, self._count = now, self.shares.count(now)
            if self.shares.is_settled(now):
                self._was_settled = True
            elif self._was_settled:
                self._count = len(self.shares.members(now))
        return max(1 + heard_entries, self._count)

    def _retry_after_s(
        self, state: _State, use: Use, excess: float, now: float
    ) -> float:
        """Return when a refused caller should come back, in seconds."""
        leaking = (use.own + use.others) / use.total if use.total > 0 else 0.0
        wait_s = UNHEARD_RETRY_AFTER_S
        if leaking > 0:
            wait_s = excess / (state.caps.rate_per_s * leaking)
        if self._is_starting(state, now):
            wait_s = min(wait_s, state.started_at + state.caps.start_s - now)
        jitter = self.rng.uniform(1 - RETRY_JITTER, 1 + RETRY_JITTER)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s * jitter))


def _key(account: str, quota: Quota) -> str:
    if len(account) > MAX_NAME_CHARS:
        account = hashlib.blake2b(account.encode(), digest_size=16).hexdigest()
    return f"{KEY_PREFIX}{quota.unit}/{account}"


def _first(amounts: tuple[float, ...]) -> float:
    return amounts[0] if amounts else 0.0


def _decay(elapsed_s: float, tau_s: float) -> float:
    return math.exp(-max(0.0, elapsed_s) / tau_s)
