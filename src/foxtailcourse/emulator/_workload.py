"""Seeded synthetic workloads of the two deployments.

Prompts have three levels of shared prefix (venue or region, season, ticket or trip),
followed by a question or document that is unique to the request. The popularity of
prefixes follows a Zipf distribution at each level. Halfway through the run the
popularity shifts to other prefixes, and one new ticket becomes a hot prefix.
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
    """Sizes, load and faults of one deployment; times are in seconds.

    Parameters
    ----------
    name, model : str
        Names of the deployment and of its model.
    servers, entries : int
        Number of backend servers and of entries.
    engine : EngineConfig
        Size and speed of each engine.
    shares : tuple of float
        Contracted share of each client account.
    venues, seasons, tickets : int
        Number of prefixes: venues of an account per unit of share (with 5 servers;
        proportional to the servers), seasons of a venue, tickets of a season.
    venue_blocks, season_blocks, ticket_blocks : int
        Length of each level, in blocks.
    question_tokens : tuple of int
        Minimum and maximum unique prompt tokens of a short request.
    long_blocks : tuple of int
        Minimum and maximum unique prompt blocks of a long request.
    long_levels : int
        Number of shared levels in the prompt of a long request.
    short_tokens, long_tokens : tuple of int
        Minimum and maximum generated tokens, by class.
    short_load, long_load : float
        Offered load of each class as a fraction of what the fleet could serve of this
        class alone with all prefixes cached; its bottleneck is prefill or slots.
    short_deadline_s, long_deadline_s : float
        Time from the arrival to the deadline, by class.
    recompute_weight, long_recompute_weight : float
        Weights of the placement policy; see ``PlacementSettings``.
    reserved_short_slots, adapt_long_slots : int, bool
        Limits of the queues; see ``QueueLimits``.
    duration_s, warm_up_s : float
        Time during which requests arrive, and its first part, which is not measured.
    crash_at_s, crash_duration_s : float
        When the first engine crashes, and how long it is down.
    pause_s : tuple of float
        Start and end of an interval in which the first account sends nothing.
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
    def popularity_shift_s(self) -> float:
        """Time at which the popularity of the prefixes shifts, in seconds."""
        return self.duration_s / 2

    def mean_service_s(self, request_class: RequestClass) -> tuple[float, float]:
        """Return the mean prefill and slot time of a request with a cached prefix."""
        engine = self.engine
        if request_class is RequestClass.SHORT:
            tokens, output = _mean(self.question_tokens), _mean(self.short_tokens)
        else:
            tokens = _mean(self.long_blocks) * engine.block_tokens
            output = _mean(self.long_tokens)
        prefill_s = tokens / engine.prefill_tokens_per_s
        return prefill_s, prefill_s + output / engine.decode_tokens_per_s

    def requests_per_s(self, request_class: RequestClass) -> float:
        """Return the offered requests per second of a class."""
        prefill_s, slot_s = self.mean_service_s(request_class)
        bottleneck_s = max(prefill_s, slot_s / self.engine.slots)
        short = request_class is RequestClass.SHORT
        load = self.short_load if short else self.long_load
        return load * self.servers / bottleneck_s


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
    """One request of a workload.

    Parameters
    ----------
    request_id : str
        Identifier.
    arrived_at, deadline_s : float
        Time of the arrival, and from there to the deadline, in seconds.
    client_account : str
        Client account that sends the request.
    share : float
        Contracted share of the client account.
    request_class : RequestClass
        Short or long.
    prompt : Prompt
        Block keys and levels of the prompt.
    prefix_blocks : int
        Number of leading blocks that other requests may share.
    output_tokens : int
        Number of generated tokens.
    entry : int
        Index of the entry that gets the request.
    """

    request_id: str
    arrived_at: float
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


class _ZipfDistribution:
    """Draws ranks from 0 to ``size`` - 1 with weights 1 / (rank + 1) ** exponent."""

    def __init__(self, size: int, exponent: float) -> None:
        weights = [1.0 / (rank + 1) ** exponent for rank in range(size)]
        self._cumulative = list(accumulate(weights))

    def draw(self, rng: random.Random) -> int:
        return bisect(self._cumulative, rng.random() * self._cumulative[-1])


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
        # Number of venues by account.
        self._n_venues = [
            max(1, round(deployment.venues * share * scale))
            for share in deployment.shares
        ]
        self._venue = {n: _ZipfDistribution(n, 1.0) for n in set(self._n_venues)}
        self._season = _ZipfDistribution(deployment.seasons, 1.0)
        self._ticket = _ZipfDistribution(deployment.tickets, 1.1)

    @property
    def accounts(self) -> dict[str, float]:
        """Contracted share by client account."""
        return {f"account-{i}": share for i, share in enumerate(self.cfg.shares)}

    def requests(self) -> list[Request]:
        """Return all requests in the order of their arrival."""
        requests = [
            request
            for request_class in (RequestClass.SHORT, RequestClass.LONG)
            for request in self._arrivals(request_class)
        ]
        return sorted(requests, key=lambda each: (each.arrived_at, each.request_id))

    def _arrivals(self, request_class: RequestClass) -> Iterator[Request]:
        cfg, rng = self.cfg, self._rng
        rate, now = cfg.requests_per_s(request_class), 0.0
        cumulative = list(accumulate(cfg.shares))
        while True:
            now += -math.log(1.0 - rng.random()) / rate
            if now >= cfg.duration_s:
                return
            account = bisect(cumulative, rng.random() * cumulative[-1])
            if account == 0 and cfg.pause_s[0] <= now < cfg.pause_s[1]:
                continue
            yield self._make_request(account, request_class, now)

    def _make_request(
        self, account: int, request_class: RequestClass, now: float
    ) -> Request:
        cfg, rng = self.cfg, self._rng
        short = request_class is RequestClass.SHORT
        bounds = cfg.short_tokens if short else cfg.long_tokens
        output_tokens = rng.randint(*bounds)
        prompt, prefix_blocks = self._make_prompt(account, short, output_tokens, now)
        return Request(
            request_id=rng.randbytes(6).hex(),
            arrived_at=now,
            client_account=f"account-{account}",
            share=cfg.shares[account],
            request_class=request_class,
            prompt=prompt,
            prefix_blocks=prefix_blocks,
            output_tokens=output_tokens,
            deadline_s=cfg.short_deadline_s if short else cfg.long_deadline_s,
            entry=rng.randrange(cfg.entries),
        )

    def _make_prompt(
        self, account: int, short: bool, output_tokens: int, now: float
    ) -> tuple[Prompt, int]:
        """Return a prompt and the number of blocks of its shared prefix."""
        cfg, rng = self.cfg, self._rng
        path = self._draw_path(account, short, now)
        lengths = [cfg.venue_blocks, cfg.season_blocks, cfg.ticket_blocks]
        lengths = lengths if short else lengths[: cfg.long_levels]
        levels = tuple(accumulate(lengths))
        keys = [
            self._block_key((account, *path[: depth + 1], block))
            for depth, length in enumerate(lengths)
            for block in range(length)
        ]
        block_tokens = cfg.engine.block_tokens
        if short:
            unique_tokens = rng.randint(*cfg.question_tokens)
        else:
            unique_tokens = rng.randint(*cfg.long_blocks) * block_tokens
        keys += [rng.randbytes(16) for _ in range(unique_tokens // block_tokens)]
        prompt = Prompt(
            model=cfg.model,
            salt=f"{account:032x}",
            keys=tuple(keys),
            levels=levels if len(keys) == levels[-1] else (*levels, len(keys)),
            tokens=levels[-1] * block_tokens + unique_tokens,
            max_tokens=output_tokens,
        )
        return prompt, levels[-1]

    def _draw_path(self, account: int, short: bool, now: float) -> tuple[int, ...]:
        """Draw the venue, season and ticket of a prompt."""
        cfg, rng = self.cfg, self._rng
        n_venues = self._n_venues[account]
        venue = self._venue[n_venues].draw(rng)
        season, ticket = self._season.draw(rng), self._ticket.draw(rng)
        if now < cfg.popularity_shift_s:
            return venue, season, ticket
        # The new hot prefix gets 40 % of the short requests of one account.
        if short and account == 1 and rng.random() < 0.4:
            return n_venues, 0, 0
        shifted = (venue + n_venues // 2) % n_venues
        return shifted, (season + 1) % cfg.seasons, ticket + cfg.tickets // 2

    def _block_key(self, path: tuple[int, ...]) -> bytes:
        if path not in self._keys:
            self._keys[path] = self._rng.randbytes(16)
        return self._keys[path]
