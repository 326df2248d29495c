"""A small model of a model engine.

One prefill lane computes one prompt at a time and honours priorities by preemption;
started requests then decode together, each at a constant rate. The prefix cache is
an LRU of blocks that evicts the deepest blocks of a prefix first.
"""

import heapq
from collections import Counter, OrderedDict
from collections.abc import Callable

import attrs

from foxtailcourse.emulator._timeline import Timeline


@attrs.frozen(kw_only=True)
class EngineConfig:
    """Size and speed of an engine.

    Parameters
    ----------
    cache_blocks : int
        Blocks in the prefix cache.
    block_tokens : int
        Tokens in each block.
    prefill_tokens_per_s : float
        Prompt tokens computed per second by the prefill lane.
    decode_tokens_per_s : float
        Tokens generated per second by each request.
    slots : int
        Requests at once.
    """

    cache_blocks: int = 1_000
    block_tokens: int = 64
    prefill_tokens_per_s: float = 8_000.0
    decode_tokens_per_s: float = 50.0
    slots: int = 16


@attrs.define(eq=False, kw_only=True)
class Job:
    """One request on an engine; ``matched`` is negative until its prefill starts."""

    attempt_id: str
    client_account: str
    keys: tuple[bytes, ...]
    prefix_blocks: int
    tokens: int
    output_tokens: int
    priority: int
    matched: int = -1
    elsewhere: int = 0
    prefill_s: float = 0.0
    left_s: float = 0.0
    end: float = 0.0
    running_since: float = 0.0


class BlockCache:
    """LRU of block keys; ``fleet`` counts the servers that hold each key."""

    def __init__(self, size: int, fleet: Counter[bytes]) -> None:
        self._size = size
        self._fleet = fleet
        self._blocks: OrderedDict[bytes, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._blocks)

    def __contains__(self, key: bytes) -> bool:
        return key in self._blocks

    def matched(self, keys: tuple[bytes, ...]) -> int:
        """Return the number of leading keys that are held."""
        return leading(keys, self._blocks)

    def store(self, keys: tuple[bytes, ...]) -> tuple[list[bytes], list[bytes]]:
        """Hold the keys as most recent; return the stored and the evicted ones."""
        stored, evicted = [], []
        for key in reversed(keys):
            if key in self._blocks:
                self._blocks.move_to_end(key)
                continue
            self._blocks[key] = None
            self._fleet[key] += 1
            stored.append(key)
        while len(self._blocks) > self._size:
            key, _ = self._blocks.popitem(last=False)
            self._drop(key)
            evicted.append(key)
        return stored, evicted

    def clear(self) -> None:
        """Lose everything."""
        for key in self._blocks:
            self._drop(key)
        self._blocks.clear()

    def _drop(self, key: bytes) -> None:
        self._fleet[key] -= 1
        if not self._fleet[key]:
            del self._fleet[key]


def leading(keys: tuple[bytes, ...], held: object) -> int:
    """Return how many leading keys are in a container."""
    for count, key in enumerate(keys):
        if key not in held:  # type: ignore[operator]
            return count
    return len(keys)


@attrs.define(kw_only=True)
class EngineCallbacks:
    """What an engine tells the agent beside it."""

    first_token: Callable[[Job, float], None]
    done: Callable[[Job, float], None]
    changed: Callable[[list[bytes], list[bytes], float], None]


class EngineModel:
    """One engine.

    Parameters
    ----------
    name : str
        Identifier of the backend server.
    cfg : EngineConfig
        Size and speed.
    timeline : Timeline
        Virtual time.
    fleet : Counter
        Number of servers of the model that hold each block.
    """

    def __init__(
        self, name: str, cfg: EngineConfig, timeline: Timeline, fleet: Counter[bytes]
    ) -> None:
        self.name, self.cfg = name, cfg
        self.cache = BlockCache(cfg.cache_blocks, fleet)
        self.restarts = 0
        self.jobs: dict[str, Job] = {}
        self.callbacks: EngineCallbacks | None = None
        self._timeline, self._fleet = timeline, fleet
        self._lane: list[tuple[int, int, Job]] = []
        self._active: Job | None = None
        self._turn = 0
        self._arrivals = 0

    @property
    def incarnation(self) -> str:
        """Identifier that changes with each restart."""
        return f"{self.name}.{self.restarts}"

    def start(self, job: Job, now: float) -> None:
        """Start a request."""
        self.jobs[job.attempt_id] = job
        job.running_since = now
        self._wait(job)
        active = self._active
        if active is None:
            self._begin(now)
        elif job.priority < active.priority:
            active.left_s = active.end - now
            self._wait(active)
            self._begin(now)

    def crash(self, now: float) -> list[Job]:
        """Lose all requests and the cache; return the requests."""
        lost = list(self.jobs.values())
        self.jobs.clear()
        self._lane.clear()
        self._active = None
        self._turn += 1
        self.restarts += 1
        self.cache.clear()
        return lost

    def lane_s(self, priority: int, now: float) -> float:
        """Return the prefill work before a new request of a priority, in seconds."""
        ahead = [each for rank, _, each in self._lane if rank <= priority]
        work = sum(each.left_s if each.matched >= 0 else 0.0 for each in ahead)
        rate = self.cfg.prefill_tokens_per_s
        work += sum(each.tokens / rate for each in ahead if each.matched < 0) / 2
        if self._active is not None and self._active.priority <= priority:
            work += self._active.end - now
        return work

    def _wait(self, job: Job) -> None:
        self._arrivals += 1
        heapq.heappush(self._lane, (job.priority, self._arrivals, job))

    def _begin(self, now: float) -> None:
        job = heapq.heappop(self._lane)[2]
        if job.matched < 0:
            self._look_up(job)
        self._active, job.end = job, now + job.left_s
        self._turn += 1
        self._timeline.at(job.end, self._prefilled, self._turn)

    def _look_up(self, job: Job) -> None:
        cfg = self.cfg
        job.matched = self.cache.matched(job.keys)
        held = leading(job.keys[: job.prefix_blocks], self._fleet)
        job.elsewhere = max(0, held - job.matched)
        uncached = max(1, job.tokens - job.matched * cfg.block_tokens)
        job.prefill_s = job.left_s = uncached / cfg.prefill_tokens_per_s

    def _prefilled(self, turn: int, now: float) -> None:
        if turn != self._turn or self._active is None:
            return
        job, self._active = self._active, None
        stored, evicted = self.cache.store(job.keys)
        assert self.callbacks is not None
        self.callbacks.changed(stored, evicted, now)
        token_s = 1.0 / self.cfg.decode_tokens_per_s
        self._timeline.at(now + token_s, self._first_token, job, self.restarts)
        end = now + token_s * max(1, job.output_tokens)
        self._timeline.at(end, self._done, job, self.restarts)
        if self._lane:
            self._begin(now)

    def _first_token(self, job: Job, restarts: int, now: float) -> None:
        if restarts == self.restarts and self.callbacks is not None:
            self.callbacks.first_token(job, now)

    def _done(self, job: Job, restarts: int, now: float) -> None:
        if restarts == self.restarts and self.callbacks is not None:
            del self.jobs[job.attempt_id]
            self.callbacks.done(job, now)
