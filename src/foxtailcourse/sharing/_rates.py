"""Service times of one backend server, learned from finished requests."""

START_PREFILL_TOKENS_PER_S = 4_000.0
START_DECODE_TOKENS_PER_S = 50.0
GAIN = 0.1
MAX_RATIO = 2.0
BOUND = 1_000.0


class ServiceRates:
    """Time per token that one request takes at the usual load.

    Each observation moves the logarithm of an estimate by at most
    ``GAIN * log(MAX_RATIO)``, so one outlier changes it by at most 7%. An
    observation whose duration is not positive is ignored, since the clock did not
    advance. Estimates stay within BOUND times their start values.

    Parameters
    ----------
    prefill_tokens_per_s, decode_tokens_per_s : float
        Start values, for one request.
    """

    def __init__(
        self,
        prefill_tokens_per_s: float = START_PREFILL_TOKENS_PER_S,
        decode_tokens_per_s: float = START_DECODE_TOKENS_PER_S,
    ) -> None:
        self._start_prefill_s = self.prefill_s = 1.0 / prefill_tokens_per_s
        self._start_decode_s = self.decode_s = 1.0 / decode_tokens_per_s

    def cost_s(self, uncached_tokens: int, generated_tokens: int) -> float:
        """Return the seconds that a request holds one slot."""
        return uncached_tokens * self.prefill_s + generated_tokens * self.decode_s

    def observe(
        self, uncached_tokens: int, generated_tokens: int, duration_s: float
    ) -> None:
        """Learn from the whole duration of one request."""
        prefill = uncached_tokens * self.prefill_s
        decode = generated_tokens * self.decode_s
        if not 0.0 < duration_s < float("inf") or prefill + decode <= 0.0:
            return
        ratio = duration_s / (prefill + decode)
        ratio = min(MAX_RATIO, max(1.0 / MAX_RATIO, ratio))
        part = prefill / (prefill + decode)
        self.prefill_s = _clip(
            self.prefill_s * ratio ** (GAIN * part), self._start_prefill_s
        )
        self.decode_s = _clip(
            self.decode_s * ratio ** (GAIN * (1.0 - part)), self._start_decode_s
        )


def _clip(value: float, start: float) -> float:
    return min(start * BOUND, max(start / BOUND, value))
