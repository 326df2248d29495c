"""Typical sizes of the prompts of each route."""

import attrs

# Weight of the latest prompt in the moving averages, after the first prompts.
SIZE_WEIGHT = 0.02
# Routes whose sizes are remembered; the least recently used one is forgotten.
MAX_ROUTES = 512


@attrs.define
class _Average:
    """Moving average; the first values have equal weights."""

    mean: float = 0.0
    count: int = 0

    def add(self, value: float) -> None:
        self.count += 1
        self.mean += (value - self.mean) * max(SIZE_WEIGHT, 1 / self.count)


@attrs.define
class RequestSizes:
    """Mean sizes of prompts by route, and mean work of a short prompt."""

    _by_route: dict[str, _Average] = attrs.field(factory=dict)
    _short_work: _Average = attrs.field(factory=_Average)

    def record_prompt(self, route: str, tokens: int) -> float:
        """Add a prompt and return the mean tokens of the prompts of its route."""
        average = self._by_route.pop(route, None) or _Average()
        average.add(tokens)
        self._by_route[route] = average
        while len(self._by_route) > MAX_ROUTES:
            del self._by_route[next(iter(self._by_route))]
        return average.mean

    def record_short_work(self, work_tokens: float) -> None:
        """Add the prefill work of a short prompt, in tokens."""
        self._short_work.add(work_tokens)

    def short_work_tokens(self, assumed_tokens: float) -> float:
        """Return the mean prefill work of a short prompt, in tokens.

        Before the first one it is ``assumed_tokens``.
        """
        return self._short_work.mean if self._short_work.count else assumed_tokens
