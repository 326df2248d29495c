"""Model of an engine with continuous batching and chunked prefill.

Each step decodes a token for all running requests and prefills one chunk of one
admitted prompt, in order of admission. A step takes a fixed time plus time for each
running request and each token of the chunk. Because of attention, the prefill of a
token takes longer the more tokens precede it. Requests are never preempted for memory:
those that do not fit wait.
"""

import heapq
from collections import OrderedDict
from collections.abc import Callable, Sequence

import attrs

from foxtailcourse.emulator._event_scheduler import EventScheduler
from foxtailcourse.platform import PromptPart


@attrs.frozen(kw_only=True)
class EngineSpec:
    """Speed and size of an engine.

    Parameters
    ----------
    slots : int
        Maximum number of running requests.
    step_s, step_s_per_request : float
        Duration of a step, and the increase per running request, in seconds.
    prefill_token_s : float
        Time to prefill one prompt token, in seconds.
    attention_pair_s : float
        Additional time per pair of a prefilled token and a token before it, in
        seconds.
    first_event_delay_s : float
        Delay of the first event beyond prefill and steps, in seconds.
    chunk_tokens : int
        Maximum number of prompt tokens prefilled in one step.
    cache_tokens : int
        Memory for running requests and cached parts, in tokens.
    event_tokens : int
        Number of tokens in one event of a stream.
    fetch_setup_s, fetch_token_s : float
        Time to set up a fetch from another server, and per token, in seconds.
    store_token_s : float
        Time to fetch one token from the KV-cache store, in seconds.
    weight_load_s : float
        Time to load new weights, in seconds.
    """

    slots: int
    step_s: float
    step_s_per_request: float
    prefill_token_s: float
    attention_pair_s: float
    first_event_delay_s: float
    chunk_tokens: int = 1024
    cache_tokens: int = 175_000
    event_tokens: int = 4
    fetch_setup_s: float = 0.004
    fetch_token_s: float
    store_token_s: float
    weight_load_s: float


@attrs.define(eq=False, kw_only=True)
class EngineRequest:
    """One request on an engine; times are virtual, in seconds.

    Parameters
    ----------
    parts : sequence of PromptPart
        The prompt; the last part is unique to the request.
    salt : str
        Cache salt.
    output_tokens : int
        Number of tokens to generate.
    priority : int
        Order of admission; lower values first.
    fetched_tokens : int
        Number of tokens from the start of the prompt that are available after a fetch.
    fetch_s : float
        Duration of the fetch.
    on_first_event, on_done : callable
        Called with the time of the first event, and of the end.
    ready_at : float
        Time at which the fetch is complete and the prefill may start.
    prefilled_tokens, generated_tokens : int
        Progress of the request.
    prompt_tokens : int
        Length of the prompt.
    """

    parts: Sequence[PromptPart]
    salt: str
    output_tokens: int
    priority: int = 5
    fetched_tokens: int = 0
    fetch_s: float = 0.0
    on_first_event: Callable[[float], None]
    on_done: Callable[[float], None]
    ready_at: float = 0.0
    prefilled_tokens: int = 0
    generated_tokens: int = 0
    prompt_tokens: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.prompt_tokens = sum(each.tokens for each in self.parts)

    @property
    def is_prefilled(self) -> bool:
        """Whether the prefill is complete."""
        return self.prefilled_tokens >= self.prompt_tokens


class PartCache:
    """LRU cache of whole prompt parts, by salt and part."""

    def __init__(self) -> None:
        self.parts: OrderedDict[tuple[str, str], int] = OrderedDict()
        self.tokens = 0

    def cached_prefix_tokens(self, salt: str, parts: Sequence[PromptPart]) -> int:
        """Return the number of cached tokens from the start of a prompt.

        This counts as a use of the cached parts.
        """
        total = 0
        for part in parts:
            if (salt, part.id) not in self.parts:
                break
            self.parts.move_to_end((salt, part.id))
            total += part.tokens
        return total

    def store(self, salt: str, parts: Sequence[PromptPart]) -> None:
        """Cache parts as most recently used."""
        for part in parts:
            if (salt, part.id) not in self.parts:
                self.tokens += part.tokens
            self.parts[salt, part.id] = part.tokens
            self.parts.move_to_end((salt, part.id))

    def evict(self, capacity: int) -> list[tuple[str, str]]:
        """Evict least recently used parts down to a capacity in tokens; return them."""
        evicted = []
        while self.tokens > capacity and self.parts:
            key, tokens = self.parts.popitem(last=False)
            self.tokens -= tokens
            evicted.append(key)
        return evicted


class BatchEngine:
    """Engine of one backend server.

    Parameters
    ----------
    name : str
        Identifier of the backend server.
    spec : EngineSpec
        Speed and size.
    scheduler : EventScheduler
        Scheduler in virtual time.
    on_cache_change : callable
        Called with the salt, the identifier of the part, its tokens and the time when
        a part was cached; with 0 tokens when it was evicted.
    speed : callable
        Returns the speed at a time relative to the specification; it divides the
        duration of a step that starts then.
    """

    def __init__(
        self,
        name: str,
        spec: EngineSpec,
        scheduler: EventScheduler,
        on_cache_change: Callable[[str, str, int, float], None],
        speed: Callable[[float], float] = lambda now: 1.0,
    ) -> None:
        self.name, self.spec, self.speed = name, spec, speed
        self.cache = PartCache()
        self._scheduler, self._on_cache_change = scheduler, on_cache_change
        self._waiting: list[tuple[int, int, EngineRequest]] = []
        self._running: list[EngineRequest] = []
        # Orders waiting requests of equal priority.
        self._arrivals = 0
        # Incremented by a crash: identifies the callbacks of discarded requests.
        self._generation = 0
        self._step_running = False

    def start(self, request: EngineRequest, now: float) -> None:
        """Queue a request, and run it if there is free capacity."""
        self._arrivals += 1
        heapq.heappush(self._waiting, (request.priority, self._arrivals, request))
        self._admit(now)
        self._start_step(now)

    def cancel(self, request: EngineRequest) -> bool:
        """Cancel a request; return False if it has ended or was discarded."""
        for item in self._waiting:
            if item[2] is request:
                self._waiting.remove(item)
                heapq.heapify(self._waiting)
                return True
        if request in self._running:
            self._running.remove(request)
            return True
        return False

    def unfinished(self) -> list[EngineRequest]:
        """Return the requests that wait or run."""
        return [*self._running, *(item[2] for item in self._waiting)]

    def crash(self, now: float) -> None:
        """Discard all requests and the cache."""
        self._generation += 1
        self._waiting, self._running, self._step_running = [], [], False
        self.clear_cache(now)

    def clear_cache(self, now: float) -> None:
        """Remove all parts from the cache."""
        self._report_evicted(self.cache.evict(0), now)

    def _report_evicted(self, keys: list[tuple[str, str]], now: float) -> None:
        for salt, part in keys:
            self._on_cache_change(salt, part, 0, now)

    def _admit(self, now: float) -> None:
        while self._waiting and len(self._running) < self.spec.slots:
            request = self._waiting[0][2]
            used_tokens = sum(
                each.prompt_tokens + each.output_tokens for each in self._running
            )
            free_tokens = self.spec.cache_tokens - used_tokens
            if (
                request.prompt_tokens + request.output_tokens > free_tokens
                and self._running
            ):
                return
            heapq.heappop(self._waiting)
            cached = self.cache.cached_prefix_tokens(request.salt, request.parts[:-1])
            request.prefilled_tokens = max(cached, request.fetched_tokens)
            if request.fetched_tokens > cached:
                request.ready_at = now + request.fetch_s
            self._running.append(request)

    def _start_step(self, now: float) -> None:
        """Start a step unless one is running or all requests wait for a fetch."""
        if self._step_running or not self._running:
            return
        spec = self.spec
        chunk_tokens, duration_s = spec.chunk_tokens, spec.step_s
        duration_s += spec.step_s_per_request * len(self._running)
        decoding = [each for each in self._running if each.is_prefilled]
        for request in self._running:
            if request.is_prefilled or request.ready_at > now:
                continue
            chunk_tokens = min(
                chunk_tokens, request.prompt_tokens - request.prefilled_tokens
            )
            duration_s += chunk_tokens * spec.prefill_token_s
            duration_s += (
                chunk_tokens
                * (request.prefilled_tokens + chunk_tokens / 2)
                * spec.attention_pair_s
            )
            request.prefilled_tokens += chunk_tokens
            break
        else:
            chunk_tokens = 0
        if not chunk_tokens and not decoding:
            ready_at = min(each.ready_at for each in self._running)
            self._scheduler.call_at(
                max(ready_at, now + 1e-6), self._resume, self._generation
            )
            return
        self._step_running = True
        self._scheduler.call_at(
            now + duration_s / self.speed(now),
            self._end_step,
            decoding,
            self._generation,
        )

    def _resume(self, generation: int, now: float) -> None:
        if generation == self._generation:
            self._start_step(now)

    def _end_step(
        self, decoding: list[EngineRequest], generation: int, now: float
    ) -> None:
        if generation != self._generation:
            return
        self._step_running = False
        for request in self._running:
            if (
                request.is_prefilled
                and not request.generated_tokens
                and request not in decoding
            ):
                self._cache_parts(request, now)
        for request in decoding:
            if request not in self._running:
                continue
            request.generated_tokens += 1
            if request.generated_tokens == min(
                self.spec.event_tokens, request.output_tokens
            ):
                self._scheduler.call_at(
                    now + self.spec.first_event_delay_s, request.on_first_event
                )
            if request.generated_tokens >= request.output_tokens:
                self._running.remove(request)
                request.on_done(now)
        self._admit(now)
        self._start_step(now)

    def _cache_parts(self, request: EngineRequest, now: float) -> None:
        """Cache the shared parts of a prefilled prompt; evict what no longer fits."""
        shared = request.parts[:-1]
        self.cache.store(request.salt, shared)
        for part in shared:
            self._on_cache_change(request.salt, part.id, part.tokens, now)
        used_tokens = sum(
            each.prompt_tokens + each.output_tokens for each in self._running
        )
        self._report_evicted(
            self.cache.evict(max(0, self.spec.cache_tokens - used_tokens)), now
        )
