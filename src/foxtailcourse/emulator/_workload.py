"""Seeded workloads of the two deployments.

Prompts are nested: venue or region, season, ticket or trip, then a question that no
other request has. Popularity follows a Zipf law at each level. Half way the
popularity moves to other prefixes and one new ticket becomes very hot.
"""

import math
import random
from bisect import bisect
from collections.abc import Iterator
from itertools import accumulate

import attrs

from foxtailcourse.emulator._engine import EngineConfig
from foxtailcourse.protocol import RequestClass
from foxtailcourse.routing import Prompt


@attrs.frozen(kw_only=True)
class Deployment:
    """Sizes of one deployment; durations in seconds, prompt parts in blocks.

    Parameters
    ----------
    shares : tuple of float
        Contracted share of each client account.
    venues, seasons, tickets : int
        Prefixes: venues of an account for each unit of share, seasons of a venue,
        tickets of a season.
    venue_blocks, season_blocks, ticket_blocks : int
        Length of each level.
    long_blocks : tuple of int
        Least and most unique blocks of a long request.
    long_levels : int
        Levels of the prefix that long requests share.
    short_tokens, long_tokens : tuple of int
        Least and most generated tokens.
    reserved_short_slots, adapt_long_slots : int, bool
        Limits of the queues; see ``QueueLimits``.
    short_load, long_load : float
        Offered work as a part of the fleet's capacity, each by its own binding
        resource and with all prefixes cached.
    """

    name: str
    model: str
    servers: int = 5
    entries: int = 2
    engine: EngineConfig = attrs.field(factory=EngineConfig)
    shares: tuple[float, ...] = (8.0, 5.0, 4.0, 1.0, 1.0, 1.0, 1.0, 1.0)
    venues: int = 1
    seasons: int = 3
    tickets: int = 200
    venue_blocks: int = 12
    season_blocks: int = 16
    ticket_blocks: int = 6
    question_tokens: tuple[int, int] = (40, 200)
    long_blocks: tuple[int, int] = (40, 80)
    long_levels: int = 2
    short_tokens: tuple[int, int] = (20, 80)
    long_tokens: tuple[int, int] = (200, 450)
    short_load: float = 0.25
    long_load: float = 1.2
    short_deadline_s: float = 5.0
    long_deadline_s: float = 30.0
    recompute_weight: float = 4.0
    long_recompute_weight: float = 128.0
    reserved_short_slots: int = 2
    adapt_long_slots: bool = True
    duration_s: float = 180.0
    warm_up_s: float = 10.0
    crash_at_s: float = 60.0
    crash_duration_s: float = 4.0
    pause_s: tuple[float, float] = (100.0, 140.0)

    @property
    def shift_at(self) -> float:
        """When the popularity of the prefixes changes."""
        return self.duration_s / 2

    def demand(self, request_class: RequestClass) -> tuple[float, float]:
        """Return mean prefill and slot seconds of a request with a cached prefix."""
        engine = self.engine
        if request_class is RequestClass.SHORT:
            tokens, output = _mean(self.question_tokens), _mean(self.short_tokens)
        else:
            tokens = _mean(self.long_blocks) * engine.block_tokens
            output = _mean(self.long_tokens)
        prefill_s = tokens / engine.prefill_tokens_per_s
        return prefill_s, prefill_s + output / engine.decode_tokens_per_s

    def rate(self, request_class: RequestClass) -> float:
        """Return the offered requests per second of a class."""
        prefill_s, slot_s = self.demand(request_class)
        binding = max(prefill_s, slot_s / self.engine.slots)
        short = request_class is RequestClass.SHORT
        load = self.short_load if short else self.long_load
        return load * self.servers / binding


GUARDAROBA = Deployment(name="guardaroba", model="assistant")
ARDENNES = Deployment(
    name="ardennes",
    model="guide-text",
    shares=(6.0, 6.0, 3.0, 2.0, 1.0, 1.0, 1.0, 1.0),
    venue_blocks=20,
    season_blocks=14,
    ticket_blocks=10,
    tickets=120,
    long_blocks=(16, 40),
    long_levels=3,
    long_tokens=(250, 600),
    recompute_weight=8.0,
    long_recompute_weight=96.0,
    reserved_short_slots=5,
    adapt_long_slots=False,
)
DEPLOYMENTS = {each.name: each for each in (GUARDAROBA, ARDENNES)}


@attrs.frozen(kw_only=True)
class Request:
    """One request of a workload."""

    request_id: str
    at: float
    client_account: str
    share: float
    request_class: RequestClass
    prompt: Prompt
    prefix_blocks: int
    output_tokens: int
    deadline_s: float
    entry: int


def _mean(bounds: tuple[int, int]) -> float:
    return (bounds[0] + bounds[1]) / 2


class _Zipf:
    def __init__(self, size: int, exponent: float) -> None:
        weights = [1.0 / (rank + 1) ** exponent for rank in range(size)]
        self._sums = list(accumulate(weights))

    def draw(self, rng: random.Random) -> int:
        return bisect(self._sums, rng.random() * self._sums[-1])


class Workload:
    """Generates the requests of a deployment.

    Parameters
    ----------
    deployment : Deployment
        Sizes.
    seed : int
        The same seed gives the same requests.
    """

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.cfg = deployment
        self._rng = random.Random(seed)
        self._keys: dict[tuple[int, ...], bytes] = {}
        scale = deployment.servers / 5
        self._venues = [
            max(1, round(deployment.venues * share * scale))
            for share in deployment.shares
        ]
        self._zipf = {n: _Zipf(n, 1.0) for n in set(self._venues)}
        self._season = _Zipf(deployment.seasons, 1.0)
        self._ticket = _Zipf(deployment.tickets, 1.1)

    @property
    def accounts(self) -> dict[str, float]:
        """Share by client account."""
        return {f"account-{i}": share for i, share in enumerate(self.cfg.shares)}

    def requests(self) -> list[Request]:
        """Return all requests in the order of their arrival."""
        both = [
            request
            for request_class in (RequestClass.SHORT, RequestClass.LONG)
            for request in self._arrivals(request_class)
        ]
        return sorted(both, key=lambda each: (each.at, each.request_id))

    def _arrivals(self, request_class: RequestClass) -> Iterator[Request]:
        cfg, rng = self.cfg, self._rng
        rate, now = cfg.rate(request_class), 0.0
        sums = list(accumulate(cfg.shares))
        while True:
            now += -math.log(1.0 - rng.random()) / rate
            if now >= cfg.duration_s:
                return
            account = bisect(sums, rng.random() * sums[-1])
            if account == 0 and cfg.pause_s[0] <= now < cfg.pause_s[1]:
                continue
            yield self._request(account, request_class, now)

    def _request(
        self, account: int, request_class: RequestClass, now: float
    ) -> Request:
        cfg, rng = self.cfg, self._rng
        short = request_class is RequestClass.SHORT
        bounds = cfg.short_tokens if short else cfg.long_tokens
        output = rng.randint(*bounds)
        prompt, prefix = self._prompt(account, short, output, now)
        return Request(
            request_id=rng.randbytes(6).hex(),
            at=now,
            client_account=f"account-{account}",
            share=cfg.shares[account],
            request_class=request_class,
            prompt=prompt,
            prefix_blocks=prefix,
            output_tokens=output,
            deadline_s=cfg.short_deadline_s if short else cfg.long_deadline_s,
            entry=rng.randrange(cfg.entries),
        )

    def _prompt(
        self, account: int, short: bool, output: int, now: float
    ) -> tuple[Prompt, int]:
        cfg, rng = self.cfg, self._rng
        path = self._path(account, short, now)
        lengths = [cfg.venue_blocks, cfg.season_blocks, cfg.ticket_blocks]
        lengths = lengths if short else lengths[: cfg.long_levels]
        levels = tuple(accumulate(lengths))
        keys = [
            self._key((account, *path[: depth + 1], block))
            for depth, length in enumerate(lengths)
            for block in range(length)
        ]
        size = cfg.engine.block_tokens
        if short:
            own = rng.randint(*cfg.question_tokens)
        else:
            own = rng.randint(*cfg.long_blocks) * size
        keys += [rng.randbytes(16) for _ in range(own // size)]
        prompt = Prompt(
            model=cfg.model,
            salt=f"{account:032x}",
            keys=tuple(keys),
            levels=levels if len(keys) == levels[-1] else (*levels, len(keys)),
            tokens=levels[-1] * size + own,
            max_tokens=output,
        )
        return prompt, levels[-1]

    def _path(self, account: int, short: bool, now: float) -> tuple[int, ...]:
        cfg, rng = self.cfg, self._rng
        n_venues = self._venues[account]
        venue = self._zipf[n_venues].draw(rng)
        season, ticket = self._season.draw(rng), self._ticket.draw(rng)
        if now < cfg.shift_at:
            return venue, season, ticket
        if short and account == 1 and rng.random() < 0.4:
            return n_venues, 0, 0
        moved = (venue + n_venues // 2) % n_venues
        return moved, (season + 1) % cfg.seasons, ticket + cfg.tickets // 2

    def _key(self, name: tuple[int, ...]) -> bytes:
        if name not in self._keys:
            self._keys[name] = self._rng.randbytes(16)
        return self._keys[name]
