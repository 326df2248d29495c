"""An engine that reads prompts in pieces between the steps of running requests.

Each step takes a fixed time, more for each running request, and reads one piece of one
admitted prompt, in the order of their admission. Reading a token also costs time for
each token before it. Requests are never preempted for memory: those that do not fit
wait.
"""

import heapq
from collections import OrderedDict
from collections.abc import Callable, Sequence

import attrs

from foxtailcourse.emulator._timeline import Timeline
from foxtailcourse.platform import PromptPart


@attrs.frozen(kw_only=True)
class EngineSpec:
    """Speed and size of an engine.

    Parameters
    ----------
    slots : int
        Requests that run at once.
    step_s, step_s_per_request : float
        Length of a step in seconds, and what each running request adds.
    prefill_token_s : float
        Seconds to read one prompt token.
    attention_pair_s : float
        Seconds for each pair of a read token and a token before it.
    first_s : float
        Seconds that the first event takes beside reading and steps.
    piece_tokens : int
        Prompt tokens read in one step.
    cache_tokens : int
        Memory, in tokens.
    event_tokens : int
        Tokens in one event of a stream.
    fetch_setup_s, fetch_token_s : float
        Seconds to begin a fetch from another server, and for each token.
    store_token_s : float
        Seconds to fetch one token from the KV-cache store.
    load_s : float
        Seconds to load new weights.
    """

    slots: int
    step_s: float
    step_s_per_request: float
    prefill_token_s: float
    attention_pair_s: float
    first_s: float
    piece_tokens: int = 1024
    cache_tokens: int = 175_000
    event_tokens: int = 4
    fetch_setup_s: float = 0.004
    fetch_token_s: float
    store_token_s: float
    load_s: float


@attrs.define(eq=False, kw_only=True)
class EngineRequest:
    """One request at an engine; times are in seconds.

    Parameters
    ----------
    parts : sequence of PromptPart
        The prompt.
    salt : str
        Salt of its cache.
    fetched : int
        Tokens from the start of the prompt that a fetch brings.
    fetch_s : float
        Time that the fetch takes.
    """

    parts: Sequence[PromptPart]
    salt: str
    output_tokens: int
    priority: int = 5
    fetched: int = 0
    fetch_s: float = 0.0
    first_event: Callable[[float], None]
    done: Callable[[float], None]
    ready_at: float = 0.0
    position: int = 0
    made: int = 0
    tokens: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.tokens = sum(each.tokens for each in self.parts)

    @property
    def read(self) -> bool:
        """Whether its prompt has been read."""
        return self.position >= self.tokens


class PartCache:
    """Least recently used cache of whole parts, by salt and part."""

    def __init__(self) -> None:
        self.held: OrderedDict[tuple[str, str], int] = OrderedDict()
        self.tokens = 0

    def covered(self, salt: str, parts: Sequence[PromptPart]) -> int:
        """Return how many tokens from the start of a prompt are held."""
        total = 0
        for part in parts:
            if (salt, part.id) not in self.held:
                break
            self.held.move_to_end((salt, part.id))
            total += part.tokens
        return total

    def store(self, salt: str, parts: Sequence[PromptPart]) -> None:
        """Hold parts as the most recent ones."""
        for part in parts:
            if (salt, part.id) not in self.held:
                self.tokens += part.tokens
            self.held[salt, part.id] = part.tokens
            self.held.move_to_end((salt, part.id))

    def shrink(self, limit: int) -> list[tuple[str, str]]:
        """Drop the least recent parts beyond a limit; return them."""
        dropped = []
        while self.tokens > limit and self.held:
            key, tokens = self.held.popitem(last=False)
            self.tokens -= tokens
            dropped.append(key)
        return dropped


class BatchEngine:
    """One engine.

    Parameters
    ----------
    name : str
        Identifier of the backend server.
    spec : EngineSpec
        Speed and size.
    timeline : Timeline
        Virtual time.
    cached : callable
        Called with the salt, the part and its tokens when the cache holds a part, and
        with 0 tokens when it drops one.
    """

    def __init__(
        self,
        name: str,
        spec: EngineSpec,
        timeline: Timeline,
        cached: Callable[[str, str, int, float], None],
    ) -> None:
        self.name, self.spec = name, spec
        self.cache = PartCache()
        self._timeline, self._cached = timeline, cached
        self._waiting: list[tuple[int, int, EngineRequest]] = []
        self._running: list[EngineRequest] = []
        self._arrivals = 0
        self._generation = 0
        self._stepping = False

    def start(self, request: EngineRequest, now: float) -> None:
        """Take a request."""
        self._arrivals += 1
        heapq.heappush(self._waiting, (request.priority, self._arrivals, request))
        self._admit(now)
        self._step(now)

    def cancel(self, request: EngineRequest) -> bool:
        """Drop a request whose caller has left; return whether it was there."""
        for entry in self._waiting:
            if entry[2] is request:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
                return True
        if request in self._running:
            self._running.remove(request)
            return True
        return False

    def lose_all(self, now: float) -> None:
        """Lose all requests and the cache."""
        self._generation += 1
        self._waiting, self._running, self._stepping = [], [], False
        self.drop_cache(now)

    def drop_cache(self, now: float) -> None:
        """Lose the cache."""
        self._note_dropped(self.cache.shrink(0), now)

    def _note_dropped(self, keys: list[tuple[str, str]], now: float) -> None:
        for salt, part in keys:
            self._cached(salt, part, 0, now)

    def _admit(self, now: float) -> None:
        while self._waiting and len(self._running) < self.spec.slots:
            request = self._waiting[0][2]
            used = sum(each.tokens + each.output_tokens for each in self._running)
            room = self.spec.cache_tokens - used
            if request.tokens + request.output_tokens > room and self._running:
                return
            heapq.heappop(self._waiting)
            held = self.cache.covered(request.salt, request.parts[:-1])
            request.position = max(held, request.fetched)
            if request.fetched > held:
                request.ready_at = now + request.fetch_s
            self._running.append(request)

    def _step(self, now: float) -> None:
        """Begin a step unless one is under way or nothing can be done."""
        if self._stepping or not self._running:
            return
        spec = self.spec
        budget, length = spec.piece_tokens, spec.step_s
        length += spec.step_s_per_request * len(self._running)
        decoding = [each for each in self._running if each.read]
        for request in self._running:
            if request.read or request.ready_at > now:
                continue
            budget = min(budget, request.tokens - request.position)
            length += budget * spec.prefill_token_s
            length += budget * (request.position + budget / 2) * spec.attention_pair_s
            request.position += budget
            break
        else:
            budget = 0
        if not budget and not decoding:
            wake = min(each.ready_at for each in self._running)
            self._timeline.at(max(wake, now + 1e-6), self._wake, self._generation)
            return
        self._stepping = True
        self._timeline.at(now + length, self._end_step, decoding, self._generation)

    def _wake(self, generation: int, now: float) -> None:
        if generation == self._generation:
            self._step(now)

    def _end_step(
        self, decoding: list[EngineRequest], generation: int, now: float
    ) -> None:
        if generation != self._generation:
            return
        self._stepping = False
        for request in self._running:
            if request.read and not request.made and request not in decoding:
                self._note_read(request, now)
        for request in decoding:
            if request not in self._running:
                continue
            request.made += 1
            if request.made == min(self.spec.event_tokens, request.output_tokens):
                self._timeline.at(now + self.spec.first_s, request.first_event)
            if request.made >= request.output_tokens:
                self._running.remove(request)
                request.done(now)
        self._admit(now)
        self._step(now)

    def _note_read(self, request: EngineRequest, now: float) -> None:
        shared = request.parts[:-1]
        self.cache.store(request.salt, shared)
        for part in shared:
            self._cached(request.salt, part.id, part.tokens, now)
        used = sum(each.tokens + each.output_tokens for each in self._running)
        self._note_dropped(
            self.cache.shrink(max(0, self.spec.cache_tokens - used)), now
        )
