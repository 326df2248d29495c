"""Limits of client accounts, divided over the entries by demand."""

import math
from collections.abc import Collection, Iterable

import attrs

from foxtailcourse.config import Contract
from foxtailcourse.sharing._slices import DemandSummary, SliceTable
from foxtailcourse.sharing._types import Refusal

MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS = 50, 60_000
CONCURRENCY_RETRY_AFTER_S = 0.2
DEMAND_DECAY_S = 1.5
MIN_DEMAND = 0.001  # a lower demand counts as none
MIN_DEMAND_WINDOW_S = 0.2


@attrs.frozen(kw_only=True)
class Grant:
    """An admitted request, which must be passed to ``finish`` exactly once.

    Parameters
    ----------
    client_account : str
        Client account that is charged.
    tokens : int
        Tokens that are charged.
    """

    client_account: str
    tokens: int


@attrs.define(eq=False)
class _Account:
    """Token buckets and demand of one client account at this entry.

    Parameters
    ----------
    fraction : float
        Fraction of the contract's limits that this entry may use.
    updated_at : float
        When the buckets were last refilled.
    contract : Contract or None
        Contract of the last request; None before the first one.
    requests, tokens : float
        Content of the two buckets; a negative number of tokens is debt.
    running : int
        Admitted requests that have not ended.
    offered_requests, offered_tokens : int
        Offered since the last update of the demand, refused requests included.
    demand : float
        Demand as a fraction of the contract's limits, 0 to 1.
    """

    fraction: float
    updated_at: float
    contract: Contract | None = None
    requests: float = 0.0
    tokens: float = 0.0
    running: int = 0
    offered_requests: int = 0
    offered_tokens: int = 0
    demand: float = 0.0

    def refill(self, now: float, burst_s: float) -> None:
        """Refill the buckets for the time since the last refill, up to their size."""
        elapsed_s = max(0.0, now - self.updated_at)
        self.updated_at = max(now, self.updated_at)
        if self.contract is None:
            return
        request_rate = self.contract.requests_per_s * self.fraction
        token_rate = self.contract.tokens_per_s * self.fraction
        requests = self.requests + request_rate * elapsed_s
        self.requests = min(requests, max(1.0, request_rate * burst_s))
        self.tokens = min(self.tokens + token_rate * elapsed_s, token_rate * burst_s)

    def update_demand(self, elapsed_s: float) -> None:
        """Update the demand, which rises at once and decays exponentially."""
        contract = self.contract
        if contract is None:
            return
        requests = (
            self.offered_requests / elapsed_s / max(contract.requests_per_s, 1e-9)
        )
        tokens = self.offered_tokens / elapsed_s / max(contract.tokens_per_s, 1e-9)
        decayed = self.demand * math.exp(-elapsed_s / DEMAND_DECAY_S)
        self.demand = min(1.0, max(requests, tokens, decayed))
        if self.demand < MIN_DEMAND:
            self.demand = 0.0
        self.offered_requests = self.offered_tokens = 0


class AccountLimiter:
    """Token bucket limiter that decides at one entry whether to admit a request.

    The caller sends the result of ``summarize_demand`` to the other entries about once
    per second and passes the summaries that it receives to ``apply_summaries``.

    Parameters
    ----------
    entry : str
        VM of this entry.
    now : float
        Start of the process, when the buckets are empty.
    burst_s : float
        Size of a bucket, in seconds of its rate.
    first_sequence : int
        Higher than any sequence of an earlier process of this entry, for example the
        wall clock in milliseconds.
    """

    def __init__(
        self,
        entry: str,
        now: float = 0.0,
        *,
        burst_s: float = 1.0,
        first_sequence: int = 0,
    ) -> None:
        self.burst_s = burst_s
        self._slices = SliceTable(entry, first_sequence)
        self._started_at = self._demand_updated_at = now
        self._accounts: dict[str, _Account] = {}

    def set_entries(self, entries: Collection[str], now: float) -> None:
        """Set the live entries from the list of VMs; this entry always counts."""
        self._slices.set_entries(entries, now)
        self._update_fractions(self._accounts, now)

    def admit(self, contract: Contract, tokens: int, now: float) -> Grant | Refusal:
        """Charge a request to its contract or refuse it.

        A request that is larger than a full bucket is admitted when the bucket is
        full and leaves it in debt.

        Parameters
        ----------
        contract : Contract
            Contract of the caller's client account.
        tokens : int
            Prompt tokens plus the maximum number of tokens to generate.
        now : float
            Monotonic clock, in seconds.

        Returns
        -------
        Grant or Refusal
            The codes of a refusal are ``concurrency``, ``requests_rate`` and
            ``tokens_rate``.
        """
        account = self._account(contract.client_account, now)
        account.contract = contract
        account.refill(now, self.burst_s)
        account.offered_requests += 1
        account.offered_tokens += tokens
        if account.running >= contract.max_concurrent:
            return _refuse("concurrency", CONCURRENCY_RETRY_AFTER_S)
        if account.requests < 1.0:
            request_rate = contract.requests_per_s * account.fraction
            return _refuse(
                "requests_rate", _refill_time_s(1.0 - account.requests, request_rate)
            )
        token_rate = contract.tokens_per_s * account.fraction
        needed = min(tokens, token_rate * self.burst_s)
        if account.tokens < needed:
            missing_tokens = needed - account.tokens
            return _refuse("tokens_rate", _refill_time_s(missing_tokens, token_rate))
        account.requests -= 1.0
        account.tokens -= tokens
        account.running += 1
        return Grant(client_account=contract.client_account, tokens=tokens)

    def finish(self, grant: Grant, now: float, *, ran: bool = True) -> None:
        """Release a granted request; one that did not run is refunded."""
        account = self._accounts.get(grant.client_account)
        if account is None:
            return
        account.running = max(0, account.running - 1)
        if not ran:
            account.requests += 1.0
            account.tokens += grant.tokens
            account.refill(now, self.burst_s)

    def summarize_demand(self, now: float) -> DemandSummary:
        """Return the summary to send to the other entries."""
        elapsed_s = now - self._demand_updated_at
        if elapsed_s >= MIN_DEMAND_WINDOW_S:
            self._demand_updated_at = now
            for account in self._accounts.values():
                account.update_demand(elapsed_s)
        demands = {k: v.demand for k, v in self._accounts.items() if v.demand > 0.0}
        summary = self._slices.create_summary(demands, now)
        self._update_fractions(self._accounts, now)
        self._remove_idle(now)
        return summary

    def apply_summaries(self, summaries: Iterable[DemandSummary], now: float) -> None:
        """Apply summaries received from other entries, in any order."""
        for summary in summaries:
            changed = self._slices.receive(summary, now)
            self._update_fractions(self._accounts if changed is None else changed, now)

    def fraction(self, client_account: str, now: float) -> float:
        """Return the fraction of an account's limits that this entry may use now."""
        return self._slices.fraction(client_account, now)

    def _account(self, name: str, now: float) -> _Account:
        account = self._accounts.get(name)
        if account is None:
            fraction = self._slices.fraction(name, now)
            account = self._accounts[name] = _Account(fraction, self._started_at)
        return account

    def _update_fractions(self, accounts: Iterable[str], now: float) -> None:
        for name in accounts:
            account = self._accounts.get(name)
            fraction = self._slices.fraction(name, now)
            if account is None or fraction == account.fraction:
                continue
            account.refill(now, self.burst_s)
            account.fraction = fraction
            account.refill(now, self.burst_s)

    def _remove_idle(self, now: float) -> None:
        for name, account in list(self._accounts.items()):
            contract = account.contract
            if contract is None or account.running or account.demand > 0.0:
                continue
            full_bucket_tokens = contract.tokens_per_s * account.fraction * self.burst_s
            if account.tokens >= full_bucket_tokens and account.requests >= 1.0:
                del self._accounts[name]


def _refill_time_s(missing: float, rate: float) -> float:
    return missing / rate if rate > 0.0 else math.inf


def _refuse(code: str, wait_s: float) -> Refusal:
    wait_ms = min(MAX_RETRY_AFTER_MS, wait_s * 1000.0)
    return Refusal(code=code, retry_after_ms=max(MIN_RETRY_AFTER_MS, int(wait_ms)))
