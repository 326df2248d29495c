"""Service times of one backend server, learned from finished requests."""

START_REQUEST_S = 0.005
START_PREFILL_TOKENS_PER_S = 4_000.0
START_DECODE_TOKENS_PER_S = 50.0
GAIN = 0.1
MAX_RATIO = 2.0
BOUND = 1_000.0


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
        self, uncached_tokens: int, generated_tokens: int, duration_s: float
    ) -> None:
        """Learn from the whole duration of one request."""
        predicted = self.cost_s(uncached_tokens, generated_tokens)
        if not self._learn or not 0.0 < duration_s < float("inf"):
            return
        ratio = min(MAX_RATIO, max(1.0 / MAX_RATIO, duration_s / predicted))
        terms = (
            self.request_s,
            uncached_tokens * self.prefill_s,
            generated_tokens * self.decode_s,
        )
        factors = [ratio ** (GAIN * term / predicted) for term in terms]
        self.request_s = _clip(self.request_s * factors[0], self._start[0])
        self.prefill_s = _clip(self.prefill_s * factors[1], self._start[1])
        self.decode_s = _clip(self.decode_s * factors[2], self._start[2])


def _clip(value: float, start: float) -> float:
    return min(start * BOUND, max(start / BOUND, value))
