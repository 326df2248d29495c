"""Limits of client accounts, sliced over the entries by demand."""

from collections.abc import Collection, Iterable

import attrs

from foxtailcourse.config import Contract
from foxtailcourse.sharing._types import Refusal

MIN_RETRY_AFTER_MS = 50


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


@attrs.frozen(kw_only=True)
class AccountDemand:
    """What one account asks for at one entry, refused requests included.

    Parameters
    ----------
    requests_per_s, tokens_per_s : float
        Smoothed rates.
    """

    requests_per_s: float
    tokens_per_s: float


@attrs.frozen(kw_only=True)
class DemandSummary:
    """What one entry reports to the others in ``Exchange``.

    Parameters
    ----------
    entry : str
        VM of the entry.
    sequence : int
        Increases with each summary of the entry's present process.
    accounts : dict of str to AccountDemand
        Accounts with demand.
    """

    entry: str
    sequence: int = 0
    accounts: dict[str, AccountDemand] = attrs.field(factory=dict)


@attrs.define(eq=False)
class _Account:
    requests: float = 0.0
    tokens: float = 0.0
    updated: float = 0.0
    running: int = 0


class AccountLimiter:
    """Decides at one entry whether a contract allows a request now.

    Parameters
    ----------
    entry : str
        VM of this entry.
    burst_s : float
        Size of a bucket, in seconds of its rate.
    """

    def __init__(self, entry: str, *, burst_s: float = 1.0) -> None:
        self.entry = entry
        self.burst_s = burst_s
        self._entries: frozenset[str] = frozenset((entry,))
        self._accounts: dict[str, _Account] = {}

    def set_entries(self, entries: Collection[str], now: float) -> None:
        """Set the live entries by the VM list; this entry is always one of them."""
        self._entries = frozenset(entries) | {self.entry}

    def admit(self, contract: Contract, tokens: int, now: float) -> Grant | Refusal:
        """Charge a request to its contract or refuse it.

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
        account = self._accounts.setdefault(
            contract.client_account, _Account(updated=now)
        )
        rate, token_rate = self._rates(contract)
        passed = max(0.0, now - account.updated)
        account.updated = max(now, account.updated)
        account.requests = min(
            max(1.0, rate * self.burst_s), account.requests + rate * passed
        )
        account.tokens = min(
            token_rate * self.burst_s, account.tokens + token_rate * passed
        )
        if account.running >= contract.max_concurrent:
            return Refusal(code="concurrency", retry_after_ms=MIN_RETRY_AFTER_MS)
        if account.requests < 1.0:
            return _refuse("requests_rate", (1.0 - account.requests) / rate)
        if account.tokens < min(tokens, token_rate * self.burst_s):
            missing = min(tokens, token_rate * self.burst_s) - account.tokens
            return _refuse("tokens_rate", missing / token_rate)
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

    def demand(self, now: float) -> DemandSummary:
        """Return the summary to send to the other entries."""
        return DemandSummary(entry=self.entry)

    def set_shares(self, summaries: Iterable[DemandSummary], now: float) -> None:
        """Take in summaries received from other entries."""

    def _rates(self, contract: Contract) -> tuple[float, float]:
        part = 1.0 / len(self._entries)
        return contract.requests_per_s * part, contract.tokens_per_s * part


def _refuse(code: str, wait_s: float) -> Refusal:
    return Refusal(
        code=code, retry_after_ms=max(MIN_RETRY_AFTER_MS, int(wait_s * 1000))
    )
