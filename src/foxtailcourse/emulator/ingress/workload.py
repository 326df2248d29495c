"""Seeded synthetic load: long prompts that share large parts, and short questions."""

import bisect
import itertools
import math
import random
from collections.abc import Iterator, Sequence

import attrs

from foxtailcourse.platform import PromptPart


@attrs.frozen(kw_only=True)
class SizeDistribution:
    """Log-normal distribution of sizes in tokens, truncated to 1 ... maximum.

    Parameters
    ----------
    mean : float
        Mean before truncation, in tokens.
    sigma : float
        Standard deviation of the logarithm.
    maximum : int
        Largest size, in tokens.
    """

    mean: float
    sigma: float
    maximum: int

    def draw(self, rng: random.Random) -> int:
        """Return one size."""
        mu = math.log(self.mean) - self.sigma**2 / 2
        size = rng.lognormvariate(mu, self.sigma)
        return max(1, min(self.maximum, round(size)))


@attrs.frozen(kw_only=True)
class SharedParts:
    """Prompt parts that requests share.

    Parameters
    ----------
    sizes : SizeDistribution
        Sizes of the parts.
    count : int
        Number of parts.
    skew : float
        Exponent of the power law of their popularity; 0 is uniform.
    """

    sizes: SizeDistribution
    count: int
    skew: float = 0.0


@attrs.frozen(kw_only=True)
class RequestKind:
    """One kind of request.

    Parameters
    ----------
    name : str
        Name of the kind.
    requests_per_s : float
        Mean request rate.
    target_s : float
        Target for the first event; a response within it has the full worth.
    patience_s : float
        Age of an attempt at which the caller gives it up.
    retry_limit_s : float
        Age of the request after which the caller makes no further attempt.
    worth, late_worth : float
        Worth of a response within and after the target.
    priority : int
        Engine priority; lower values run first.
    shared : sequence of SharedParts
        Shared parts at the start of a prompt.
    unique : SizeDistribution
        Size of the last part of a prompt, which no other request has.
    output : SizeDistribution
        Number of generated tokens.
    """

    name: str
    requests_per_s: float
    target_s: float
    patience_s: float
    retry_limit_s: float
    worth: float
    late_worth: float
    priority: int
    shared: Sequence[SharedParts]
    unique: SizeDistribution
    output: SizeDistribution

    @property
    def mean_tokens(self) -> float:
        """Mean number of tokens of a prompt, before truncation."""
        return self.unique.mean + sum(each.sizes.mean for each in self.shared)


@attrs.frozen(kw_only=True)
class Arrival:
    """Arrival of one request.

    Parameters
    ----------
    time : float
        Virtual time, in seconds.
    kind : RequestKind
        Kind of the request.
    parts : tuple of PromptPart
        The prompt; the last part is unique to the request.
    output_tokens : int
        Number of generated tokens.
    """

    time: float
    kind: RequestKind
    parts: tuple[PromptPart, ...]
    output_tokens: int

    @property
    def tokens(self) -> int:
        """Number of tokens of the prompt."""
        return sum(each.tokens for each in self.parts)


class LoadGenerator:
    """Generates requests of several kinds as a Poisson process.

    Parameters
    ----------
    kinds : sequence of RequestKind
        Kinds of requests.
    seed : int
        Seed of all random draws.
    """

    def __init__(self, kinds: Sequence[RequestKind], seed: int) -> None:
        self._kinds = kinds
        self._rng = random.Random(seed)
        self._part_tokens: dict[str, int] = {}
        self._request_numbers = itertools.count()
        # Cumulative popularity of the parts, by the id of their SharedParts.
        self._cumulative = {
            id(shared): list(
                itertools.accumulate(
                    (rank + 1) ** -shared.skew for rank in range(shared.count)
                )
            )
            for kind in kinds
            for shared in kind.shared
        }

    def arrivals(self, until: float, factor: float = 1.0) -> Iterator[Arrival]:
        """Yield requests in order of arrival.

        Parameters
        ----------
        until : float
            End of the arrivals, in seconds.
        factor : float
            Factor on the request rates.
        """
        now, rate = 0.0, sum(kind.requests_per_s for kind in self._kinds) * factor
        rates = [kind.requests_per_s for kind in self._kinds]
        while True:
            now += self._rng.expovariate(rate)
            if now >= until:
                return
            kind = self._rng.choices(self._kinds, rates)[0]
            yield Arrival(
                time=now,
                kind=kind,
                parts=self._draw_parts(kind),
                output_tokens=kind.output.draw(self._rng),
            )

    def _draw_parts(self, kind: RequestKind) -> tuple[PromptPart, ...]:
        parts, path = [], kind.name
        for shared in kind.shared:
            cumulative = self._cumulative[id(shared)]
            point = self._rng.random() * cumulative[-1]
            path += f"/{bisect.bisect(cumulative, point)}"
            if path not in self._part_tokens:
                self._part_tokens[path] = shared.sizes.draw(self._rng)
            parts.append(PromptPart(id=path, tokens=self._part_tokens[path]))
        unique_id = f"{path}#{next(self._request_numbers)}"
        parts.append(PromptPart(id=unique_id, tokens=kind.unique.draw(self._rng)))
        return tuple(parts)
