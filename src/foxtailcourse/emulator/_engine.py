"""Simplified model of an inference engine with a prefix cache.

The engine prefills one prompt at a time; a request with a higher priority preempts
the running prefill. Requests whose prefill is complete decode concurrently, each at a
constant rate. The prefix cache is an LRU of blocks that evicts the deepest blocks of
a prefix first.
"""

import heapq
from collections import Counter, OrderedDict
from collections.abc import Callable

import attrs

from foxtailcourse.emulator._event_scheduler import EventScheduler


@attrs.frozen(kw_only=True)
class EngineConfig:
    """Size and speed of an engine.

    Parameters
    ----------
    cache_blocks : int
        Capacity of the prefix cache, in blocks.
    block_tokens : int
        Tokens in each block.
    prefill_tokens_per_s : float
        Prompt tokens computed per second.
    decode_tokens_per_s : float
        Tokens generated per second by each request.
    slots : int
        Maximum number of concurrent requests.
    """

    cache_blocks: int = 1_000
    block_tokens: int = 64
    prefill_tokens_per_s: float = 8_000.0
    decode_tokens_per_s: float = 50.0
    slots: int = 16


@attrs.define(eq=False, kw_only=True)
class Job:
    """One request on an engine; times are virtual, in seconds.

    Parameters
    ----------
    attempt_id, client_account : str
        Attempt that the engine runs, and its client account.
    keys : tuple of bytes
        Block keys of the prompt.
    prefix_blocks : int
        Number of leading blocks that other requests may share.
    prompt_tokens, output_tokens : int
        Length of the prompt and of the generated output.
    priority : int
        Priority of the prefill; lower values run first.
    matched_blocks : int
        Number of leading blocks found in the cache; negative until the first start of
        the prefill.
    redundant_blocks : int
        Number of shared prefix blocks to prefill that another server of the model
        has cached.
    prefill_s, remaining_prefill_s : float
        Duration of the prefill, and what is left of it.
    prefill_end : float
        End of the prefill if it is not preempted.
    started_at : float
        Start on the engine.
    """

    attempt_id: str
    client_account: str
    keys: tuple[bytes, ...]
    prefix_blocks: int
    prompt_tokens: int
    output_tokens: int
    priority: int
    matched_blocks: int = -1
    redundant_blocks: int = 0
    prefill_s: float = 0.0
    remaining_prefill_s: float = 0.0
    prefill_end: float = 0.0
    started_at: float = 0.0


class BlockCache:
    """LRU cache of block keys.

    Parameters
    ----------
    capacity : int
        Maximum number of blocks.
    holder_counts : Counter
        Number of servers that have each block cached; shared by all caches of a
        model.
    """

    def __init__(self, capacity: int, holder_counts: Counter[bytes]) -> None:
        self._capacity = capacity
        self._holder_counts = holder_counts
        self._blocks: OrderedDict[bytes, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._blocks)

    def __contains__(self, key: bytes) -> bool:
        return key in self._blocks

    def match(self, keys: tuple[bytes, ...]) -> int:
        """Return the number of leading keys that are cached."""
        return count_leading(keys, self._blocks)

    def store(self, keys: tuple[bytes, ...]) -> tuple[list[bytes], list[bytes]]:
        """Cache the keys as most recently used; return those stored and evicted."""
        stored, evicted = [], []
        for key in reversed(keys):
            if key in self._blocks:
                self._blocks.move_to_end(key)
                continue
            self._blocks[key] = None
            self._holder_counts[key] += 1
            stored.append(key)
        while len(self._blocks) > self._capacity:
            key, _ = self._blocks.popitem(last=False)
            self._remove_holder(key)
            evicted.append(key)
        return stored, evicted

    def clear(self) -> None:
        """Remove all blocks."""
        for key in self._blocks:
            self._remove_holder(key)
        self._blocks.clear()

    def _remove_holder(self, key: bytes) -> None:
        self._holder_counts[key] -= 1
        if not self._holder_counts[key]:
            del self._holder_counts[key]


def count_leading(keys: tuple[bytes, ...], container: object) -> int:
    """Return the number of leading keys that are in a container."""
    for count, key in enumerate(keys):
        if key not in container:  # type: ignore[operator]
            return count
    return len(keys)


@attrs.define(kw_only=True)
class EngineCallbacks:
    """Callbacks of an engine to its agent; each gets the virtual time last.

    Parameters
    ----------
    on_first_token, on_done : callable
        Called with the job.
    on_cache_change : callable
        Called with the stored and the evicted block keys.
    """

    on_first_token: Callable[[Job, float], None]
    on_done: Callable[[Job, float], None]
    on_cache_change: Callable[[list[bytes], list[bytes], float], None]


class EngineModel:
    """Engine of one backend server.

    Parameters
    ----------
    name : str
        Identifier of the backend server.
    cfg : EngineConfig
        Size and speed.
    scheduler : EventScheduler
        Scheduler in virtual time.
    holder_counts : Counter
        Number of servers of the model that have each block cached.
    """

    def __init__(
        self,
        name: str,
        cfg: EngineConfig,
        scheduler: EventScheduler,
        holder_counts: Counter[bytes],
    ) -> None:
        self.name, self.cfg = name, cfg
        self.cache = BlockCache(cfg.cache_blocks, holder_counts)
        self.restarts = 0
        self.jobs: dict[str, Job] = {}
        self.callbacks: EngineCallbacks | None = None
        self._scheduler, self._holder_counts = scheduler, holder_counts
        self._prefill_queue: list[tuple[int, int, Job]] = []
        self._prefilling: Job | None = None
        # Number of the running prefill: identifies events of preempted ones.
        self._prefill_number = 0
        self._arrivals = 0

    @property
    def incarnation(self) -> str:
        """Identifier that changes with each restart."""
        return f"{self.name}.{self.restarts}"

    def start(self, job: Job, now: float) -> None:
        """Start a request; it preempts a running prefill of lower priority."""
        self.jobs[job.attempt_id] = job
        job.started_at = now
        self._enqueue_prefill(job)
        running = self._prefilling
        if running is None:
            self._start_prefill(now)
        elif job.priority < running.priority:
            running.remaining_prefill_s = running.prefill_end - now
            self._enqueue_prefill(running)
            self._start_prefill(now)

    def crash(self, now: float) -> list[Job]:
        """Discard all requests and the cache; return the requests."""
        discarded = list(self.jobs.values())
        self.jobs.clear()
        self._prefill_queue.clear()
        self._prefilling = None
        self._prefill_number += 1
        self.restarts += 1
        self.cache.clear()
        return discarded

    def queued_prefill_s(self, priority: int, now: float) -> float:
        """Return the prefill time ahead of a new request of a priority, in seconds.

        How much of a prompt is cached is not looked up before its prefill starts; half
        of it is assumed.
        """
        ahead = [
            each
            for queued_priority, _, each in self._prefill_queue
            if queued_priority <= priority
        ]
        work_s = sum(
            each.remaining_prefill_s if each.matched_blocks >= 0 else 0.0
            for each in ahead
        )
        rate = self.cfg.prefill_tokens_per_s
        work_s += (
            sum(each.prompt_tokens / rate for each in ahead if each.matched_blocks < 0)
            / 2
        )
        if self._prefilling is not None and self._prefilling.priority <= priority:
            work_s += self._prefilling.prefill_end - now
        return work_s

    def _enqueue_prefill(self, job: Job) -> None:
        self._arrivals += 1
        heapq.heappush(self._prefill_queue, (job.priority, self._arrivals, job))

    def _start_prefill(self, now: float) -> None:
        job = heapq.heappop(self._prefill_queue)[2]
        if job.matched_blocks < 0:
            self._look_up(job)
        self._prefilling, job.prefill_end = job, now + job.remaining_prefill_s
        self._prefill_number += 1
        self._scheduler.call_at(
            job.prefill_end, self._end_prefill, self._prefill_number
        )

    def _look_up(self, job: Job) -> None:
        """Look up the cached prefix of a job and set the duration of its prefill."""
        cfg = self.cfg
        job.matched_blocks = self.cache.match(job.keys)
        cached_anywhere = count_leading(
            job.keys[: job.prefix_blocks], self._holder_counts
        )
        job.redundant_blocks = max(0, cached_anywhere - job.matched_blocks)
        uncached = max(1, job.prompt_tokens - job.matched_blocks * cfg.block_tokens)
        job.prefill_s = job.remaining_prefill_s = uncached / cfg.prefill_tokens_per_s

    def _end_prefill(self, prefill_number: int, now: float) -> None:
        if prefill_number != self._prefill_number or self._prefilling is None:
            return
        job, self._prefilling = self._prefilling, None
        stored, evicted = self.cache.store(job.keys)
        assert self.callbacks is not None
        self.callbacks.on_cache_change(stored, evicted, now)
        token_s = 1.0 / self.cfg.decode_tokens_per_s
        self._scheduler.call_at(
            now + token_s, self._emit_first_token, job, self.restarts
        )
        end = now + token_s * max(1, job.output_tokens)
        self._scheduler.call_at(end, self._finish, job, self.restarts)
        if self._prefill_queue:
            self._start_prefill(now)

    def _emit_first_token(self, job: Job, restarts: int, now: float) -> None:
        if restarts == self.restarts and self.callbacks is not None:
            self.callbacks.on_first_token(job, now)

    def _finish(self, job: Job, restarts: int, now: float) -> None:
        if restarts == self.restarts and self.callbacks is not None:
            del self.jobs[job.attempt_id]
            self.callbacks.on_done(job, now)
