"""Limits of client accounts, sliced over the entries by demand."""

import math
from collections.abc import Collection, Iterable

import attrs

from foxtailcourse.config import Contract
from foxtailcourse.sharing._slices import DemandSummary, SliceTable
from foxtailcourse.sharing._types import Refusal

MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS = 50, 60_000
CONCURRENCY_RETRY_AFTER_S = 0.2
DEMAND_DECAY_S = 1.5
NO_DEMAND = 0.001
MIN_MEASURE_S = 0.2


@attrs.frozen(kw_only=True)
class Grant:
    """An admitted request; pass it to ``finish`` exactly once.

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
    part: float
    updated: float
    contract: Contract | None = None
    requests: float = 0.0
    tokens: float = 0.0
    running: int = 0
    asked_requests: int = 0
    asked_tokens: int = 0
    demand: float = 0.0

    def refill(self, now: float, burst_s: float) -> None:
        """Add what the buckets gained, up to their size."""
        passed = max(0.0, now - self.updated)
        self.updated = max(now, self.updated)
        if self.contract is None:
            return
        rate = self.contract.requests_per_s * self.part
        token_rate = self.contract.tokens_per_s * self.part
        requests = self.requests + rate * passed
        self.requests = min(requests, max(1.0, rate * burst_s))
        self.tokens = min(self.tokens + token_rate * passed, token_rate * burst_s)

    def measure(self, passed: float) -> None:
        """Update the demand: it rises at once and decays slowly."""
        contract = self.contract
        if contract is None:
            return
        requests = self.asked_requests / passed / max(contract.requests_per_s, 1e-9)
        tokens = self.asked_tokens / passed / max(contract.tokens_per_s, 1e-9)
        decayed = self.demand * math.exp(-passed / DEMAND_DECAY_S)
        self.demand = min(1.0, max(requests, tokens, decayed))
        if self.demand < NO_DEMAND:
            self.demand = 0.0
        self.asked_requests = self.asked_tokens = 0


class AccountLimiter:
    """Decides at one entry whether a contract allows a request now.

    Call ``summarize_demand`` about once per second and send the result to the other
    entries; pass what they send to ``apply_summaries``.

    Parameters
    ----------
    entry : str
        VM of this entry.
    now : float
        Start of the process; the buckets are empty then.
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
        self._table = SliceTable(entry, first_sequence)
        self._started = self._measured = now
        self._accounts: dict[str, _Account] = {}

    def set_entries(self, entries: Collection[str], now: float) -> None:
        """Set the live entries by the VM list; this entry always counts as one."""
        self._table.set_entries(entries, now)
        self._refresh(self._accounts, now)

    def admit(self, contract: Contract, tokens: int, now: float) -> Grant | Refusal:
        """Charge a request to its contract or refuse it.

        A request that is larger than a full bucket is admitted when the bucket is
        full and leaves it in debt.

        Parameters
        ----------
        contract : Contract
            Contract of the caller's client account.
        tokens : int
            Prompt tokens plus most tokens to generate.
        now : float
            Monotonic clock, in seconds.

        Returns
        -------
        Grant or Refusal
            The codes are ``concurrency``, ``requests_rate`` and ``tokens_rate``.
        """
        account = self._account(contract.client_account, now)
        account.contract = contract
        account.refill(now, self.burst_s)
        account.asked_requests += 1
        account.asked_tokens += tokens
        if account.running >= contract.max_concurrent:
            return _refuse("concurrency", CONCURRENCY_RETRY_AFTER_S)
        if account.requests < 1.0:
            rate = contract.requests_per_s * account.part
            return _refuse("requests_rate", _time(1.0 - account.requests, rate))
        token_rate = contract.tokens_per_s * account.part
        needed = min(tokens, token_rate * self.burst_s)
        if account.tokens < needed:
            missing = needed - account.tokens
            return _refuse("tokens_rate", _time(missing, token_rate))
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
        passed = now - self._measured
        if passed >= MIN_MEASURE_S:
            self._measured = now
            for account in self._accounts.values():
                account.measure(passed)
        demands = {k: v.demand for k, v in self._accounts.items() if v.demand > 0.0}
        summary = self._table.summary(demands, now)
        self._refresh(self._accounts, now)
        self._forget(now)
        return summary

    def apply_summaries(self, summaries: Iterable[DemandSummary], now: float) -> None:
        """Take in summaries received from other entries, in any order."""
        for summary in summaries:
            changed = self._table.receive(summary, now)
            self._refresh(self._accounts if changed is None else changed, now)

    def fraction(self, client_account: str, now: float) -> float:
        """Return the part of an account's limits that this entry may use now."""
        return self._table.fraction(client_account, now)

    def _account(self, name: str, now: float) -> _Account:
        account = self._accounts.get(name)
        if account is None:
            part = self._table.fraction(name, now)
            account = self._accounts[name] = _Account(part, self._started)
        return account

    def _refresh(self, accounts: Iterable[str], now: float) -> None:
        for name in accounts:
            account = self._accounts.get(name)
            part = self._table.fraction(name, now)
            if account is None or part == account.part:
                continue
            account.refill(now, self.burst_s)
            account.part = part
            account.refill(now, self.burst_s)

    def _forget(self, now: float) -> None:
        for name, account in list(self._accounts.items()):
            contract = account.contract
            if contract is None or account.running or account.demand > 0.0:
                continue
            full = contract.tokens_per_s * account.part * self.burst_s
            if account.tokens >= full and account.requests >= 1.0:
                del self._accounts[name]


def _time(missing: float, rate: float) -> float:
    return missing / rate if rate > 0.0 else math.inf


def _refuse(code: str, wait_s: float) -> Refusal:
    wait_ms = min(MAX_RETRY_AFTER_MS, wait_s * 1000.0)
    return Refusal(code=code, retry_after_ms=max(MIN_RETRY_AFTER_MS, int(wait_ms)))
