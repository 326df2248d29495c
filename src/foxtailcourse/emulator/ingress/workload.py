"""Seeded load of prompts: long ones that share large parts, and short questions."""

import bisect
import itertools
import math
import random
from collections.abc import Iterator, Sequence

import attrs

from foxtailcourse.platform import PromptPart


@attrs.frozen(kw_only=True)
class Sizes:
    """Log-normal sizes in tokens, with a largest one."""

    mean: float
    spread: float
    largest: int

    def draw(self, rng: random.Random) -> int:
        """Return one size."""
        middle = math.log(self.mean) - self.spread**2 / 2
        size = rng.lognormvariate(middle, self.spread)
        return max(1, min(self.largest, round(size)))


@attrs.frozen(kw_only=True)
class SharedParts:
    """Parts that requests share; popularity follows a power law."""

    sizes: Sizes
    count: int
    skew: float = 0.0


@attrs.frozen(kw_only=True)
class RequestKind:
    """One kind of request.

    Parameters
    ----------
    per_s : float
        Requests a second.
    target_s, patience_s, limit_s : float
        Seconds to the first event for the full worth, until the caller leaves an
        attempt, and until it makes no other one.
    worth, late_worth : float
        Worth of an answer in time and of a late one.
    shared : sequence of SharedParts
        Parts of a prompt before its own.
    own, output : Sizes
        Sizes of its own part and of the answer.
    """

    name: str
    per_s: float
    target_s: float
    patience_s: float
    limit_s: float
    worth: float
    late_worth: float
    rank: int
    shared: Sequence[SharedParts]
    own: Sizes
    output: Sizes


@attrs.frozen(kw_only=True)
class Arrival:
    """One request as it arrives."""

    at: float
    kind: RequestKind
    parts: tuple[PromptPart, ...]
    output_tokens: int

    @property
    def tokens(self) -> int:
        """Tokens of the prompt."""
        return sum(each.tokens for each in self.parts)


class Load:
    """Draws requests of several kinds.

    Parameters
    ----------
    kinds : sequence of RequestKind
        What is asked for.
    seed : int
        Seed of all draws.
    """

    def __init__(self, kinds: Sequence[RequestKind], seed: int) -> None:
        self._kinds = kinds
        self._rng = random.Random(seed)
        self._sizes: dict[str, int] = {}
        self._numbers = itertools.count()
        self._popularity = {
            id(shared): list(
                itertools.accumulate(
                    (n + 1) ** -shared.skew for n in range(shared.count)
                )
            )
            for kind in kinds
            for shared in kind.shared
        }

    def arrivals(self, until: float, factor: float = 1.0) -> Iterator[Arrival]:
        """Yield requests in the order of their arrival, up to a time in seconds."""
        now, total = 0.0, sum(kind.per_s for kind in self._kinds) * factor
        weights = [kind.per_s for kind in self._kinds]
        while True:
            now += self._rng.expovariate(total)
            if now >= until:
                return
            kind = self._rng.choices(self._kinds, weights)[0]
            yield Arrival(
                at=now,
                kind=kind,
                parts=self._parts(kind),
                output_tokens=kind.output.draw(self._rng),
            )

    def _parts(self, kind: RequestKind) -> tuple[PromptPart, ...]:
        parts, name = [], kind.name
        for shared in kind.shared:
            popularity = self._popularity[id(shared)]
            point = self._rng.random() * popularity[-1]
            name += f"/{bisect.bisect(popularity, point)}"
            if name not in self._sizes:
                self._sizes[name] = shared.sizes.draw(self._rng)
            parts.append(PromptPart(id=name, tokens=self._sizes[name]))
        own = f"{name}#{next(self._numbers)}"
        parts.append(PromptPart(id=own, tokens=kind.own.draw(self._rng)))
        return tuple(parts)
