"""Budget of retries at one entry."""

DEFAULT_FRACTION = 0.1
DEFAULT_BURST = 10.0
DEFAULT_ACCOUNT_BURST = 3.0
MAX_IDLE_S = 600.0


class RetryBudget:
    """Limits retries to a fraction of first attempts, per account and in all.

    Parameters
    ----------
    fraction : float
        Retries allowed for each first attempt.
    burst : float
        Retries that may be saved up in all.
    account_burst : float
        Retries that may be saved up by one client account.
    """

    def __init__(
        self,
        fraction: float = DEFAULT_FRACTION,
        burst: float = DEFAULT_BURST,
        account_burst: float = DEFAULT_ACCOUNT_BURST,
    ) -> None:
        self.fraction = fraction
        self.burst = burst
        self.account_burst = account_burst
        self._total = burst
        self._accounts: dict[str, float] = {}

    def first_attempt(self, client_account: str, now: float) -> None:
        """Note the first attempt of a request."""
        self._total = min(self.burst, self._total + self.fraction)
        held = self._accounts.get(client_account, self.account_burst)
        held = min(self.account_burst, held + self.fraction)
        self._accounts[client_account] = held

    def allow_retry(
        self,
        client_account: str,
        now: float,
        deadline: float,
        expected_s: float = 0.0,
    ) -> bool:
        """Spend one retry if the budget and the caller's deadline allow it.

        Parameters
        ----------
        client_account : str
            The client account of the request.
        now, deadline : float
            On the same clock, in seconds.
        expected_s : float
            Expected time of the attempt until its first token.
        """
        held = self._accounts.get(client_account, self.account_burst)
        if now + expected_s >= deadline or held < 1.0 or self._total < 1.0:
            return False
        self._accounts[client_account] = held - 1.0
        self._total -= 1.0
        return True
