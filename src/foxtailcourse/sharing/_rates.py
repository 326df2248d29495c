"""Service times of one backend server, learned from finished requests."""

START_REQUEST_S = 0.005
START_PREFILL_TOKENS_PER_S = 4_000.0
START_DECODE_TOKENS_PER_S = 50.0
GAIN = 0.1
MAX_RATIO = 2.0
BOUND = 1_000.0
WAIT_GAIN = 0.05
WAIT_FACTOR_RANGE = (0.5, 4.0)
MIN_WAIT_S = 0.1


class ServiceRates:
    """Time that one request takes at the usual load, by its tokens.

    The prediction is a constant plus a time per uncached prompt token plus a time
    per generated token. An observation multiplies each of the three by
    ``(observed / predicted) ** (GAIN * part)``, where ``part`` is the term's part of
    the prediction and the quotient is limited to MAX_RATIO. So one outlier changes
    an estimate by at most 7%. An observation whose duration is not positive is
    ignored, since the clock did not advance. Estimates stay within BOUND times their
    start values.

    Parameters
    ----------
    request_s : float
        Start value of the constant, in seconds.
    prefill_tokens_per_s, decode_tokens_per_s : float
        Start values, for one request.
    learn : bool
        False keeps the start values.
    """

    def __init__(
        self,
        request_s: float = START_REQUEST_S,
        prefill_tokens_per_s: float = START_PREFILL_TOKENS_PER_S,
        decode_tokens_per_s: float = START_DECODE_TOKENS_PER_S,
        *,
        learn: bool = True,
    ) -> None:
        self._start = (request_s, 1.0 / prefill_tokens_per_s, 1.0 / decode_tokens_per_s)
        self.request_s, self.prefill_s, self.decode_s = self._start
        self._learn = learn

    def cost_s(self, uncached_tokens: int, generated_tokens: int) -> float:
        """Return the seconds that a request holds one slot."""
        return (
            self.request_s
            + uncached_tokens * self.prefill_s
            + generated_tokens * self.decode_s
        )

    def observe(
        self,
        uncached_tokens: int,
        generated_tokens: int,
        duration_s: float,
        first_token_s: float | None = None,
    ) -> None:
        """Learn from one request.

        Parameters
        ----------
        uncached_tokens, generated_tokens : int
            Its tokens.
        duration_s : float
            Time from start to end.
        first_token_s : float or None
            Time from start to first token, if known; the estimates of prefill and
            decode are then learned apart from each other.
        """
        if first_token_s is None:
            self._learn_from(uncached_tokens, generated_tokens, duration_s)
            return
        self._learn_from(uncached_tokens, 0, first_token_s)
        self._learn_from(None, generated_tokens, duration_s - first_token_s)

    def _learn_from(
        self, uncached_tokens: int | None, generated_tokens: int, duration_s: float
    ) -> None:
        terms = (
            self.request_s if uncached_tokens is not None else 0.0,
            (uncached_tokens or 0) * self.prefill_s,
            generated_tokens * self.decode_s,
        )
        predicted = sum(terms)
        usable = 0.0 < duration_s < float("inf") and predicted > 0.0
        if not self._learn or not usable:
            return
        ratio = min(MAX_RATIO, max(1.0 / MAX_RATIO, duration_s / predicted))
        factors = [ratio ** (GAIN * term / predicted) for term in terms]
        self.request_s = _clip(self.request_s * factors[0], self._start[0])
        self.prefill_s = _clip(self.prefill_s * factors[1], self._start[1])
        self.decode_s = _clip(self.decode_s * factors[2], self._start[2])


class WaitScale:
    """Factor between real and predicted waits, and the usual relative error.

    The prediction counts the work that waits now; requests of other accounts that
    arrive later and start earlier make the real wait longer. Waits below MIN_WAIT_S
    teach nothing. One observation changes the factor by at most 4% and the error by
    at most 0.05.
    """

    def __init__(self) -> None:
        self.factor = 1.0
        self.error = 0.0

    def safe_s(self, predicted_s: float) -> float:
        """Return a wait that most requests don't exceed."""
        return predicted_s * self.factor * (1.0 + self.error)

    def observe(self, predicted_s: float, real_s: float) -> None:
        """Learn from one start; ``predicted_s`` is without the factor."""
        if predicted_s < MIN_WAIT_S or real_s <= 0.0:
            return
        ratio = real_s / (predicted_s * self.factor)
        ratio = min(MAX_RATIO, max(1.0 / MAX_RATIO, ratio))
        low, high = WAIT_FACTOR_RANGE
        self.error += WAIT_GAIN * (abs(ratio - 1.0) - self.error)
        self.factor = min(high, max(low, self.factor * ratio**WAIT_GAIN))


def _clip(value: float, start: float) -> float:
    return min(start * BOUND, max(start / BOUND, value))
