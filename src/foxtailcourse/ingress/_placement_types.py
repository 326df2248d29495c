"""Prompts, candidate servers and choices of the placement."""

from collections.abc import Callable

import attrs

from foxtailcourse.fleet import BackendServer
from foxtailcourse.ingress._cache_index import CacheIndex
from foxtailcourse.ingress._server_loads import ServerLoad, TotalLoad
from foxtailcourse.platform import PromptPart
from foxtailcourse.settings import Address

# Above this size the prefill dominates the cost of a prompt: it takes about 0.1 s.
LONG_PROMPT_TOKENS = 4000
# Prefill rate of an engine that also decodes its running requests: a chunk of 1,024
# tokens in a step of 26 ms, according to the engines' data sheets.
PREFILL_TOKENS_PER_S = 40_000.0
# Time from the end of the prefill to the first event of the response: a few engine
# steps.
FIRST_EVENT_LATENCY_S = 0.12


@attrs.frozen(kw_only=True)
class Prompt:
    """The parts and the size of a prompt.

    Parameters
    ----------
    parts : tuple of PromptPart
        Parts in order. Other prompts may start with the same parts, except the last
        one, which belongs to this prompt alone.
    tokens : int
        Number of tokens of the whole prompt.
    typical_tokens : float
        Mean number of tokens of the prompts of its kind; 0 if unknown.
    """

    parts: tuple[PromptPart, ...]
    tokens: int
    typical_tokens: float = 0.0

    @property
    def is_long(self) -> bool:
        """Whether the prefill dominates the cost of the prompts of its kind.

        A large prompt of a short kind is treated like the others of its kind, which
        have the same target and deadline.
        """
        return (self.typical_tokens or self.tokens) > LONG_PROMPT_TOKENS

    @property
    def shared_tokens(self) -> int:
        """Number of tokens in the parts that other prompts may share."""
        return sum(each.tokens for each in self.parts[:-1])

    @property
    def largest_part(self) -> PromptPart:
        """The largest part that other prompts may share, or the only part."""
        return max(self.parts[:-1] or self.parts, key=lambda part: part.tokens)


@attrs.frozen(kw_only=True)
class Candidate:
    """A backend server that may take the request.

    Parameters
    ----------
    server : BackendServer
        The server.
    own_load : ServerLoad
        Load by the requests of this entry.
    total_load : TotalLoad
        Load by the requests of all entries. Its prompt tokens are recent; its requests
        in flight are up to one publishing period old, and many more may have been sent
        since.
    entry_count : int
        Number of entries that send requests to the server.
    cache_index : CacheIndex
        Last known contents of the server's KV cache.
    salt : str
        Cache salt of the request on this server.
    outdated_weights : bool
        Whether newer weights are desired.
    transfer_token_s : float
        Time to transfer the KV cache of a token to the server within its failure
        domain, in seconds; 0 if unknown.
    has_speed : bool
        Whether the speed of the server is used. Then the transfer between failure
        domains is priced as well.
    speed : float
        Speed relative to that of a typical server.
    tokens_per_s : float
        Prefill rate, in tokens at the start of a prompt per second.
    latency_s : float
        Time from the end of the prefill to the first event, in seconds.
    delay_s : float
        Additional delay because of a momentary slow-down or the way to another failure
        domain, in seconds.
    """

    server: BackendServer
    own_load: ServerLoad
    total_load: TotalLoad
    entry_count: int
    cache_index: CacheIndex
    salt: str = ""
    outdated_weights: bool = False
    transfer_token_s: float = 0.0
    has_speed: bool = False
    speed: float = 1.0
    tokens_per_s: float = PREFILL_TOKENS_PER_S
    latency_s: float = FIRST_EVENT_LATENCY_S
    delay_s: float = 0.0

    @property
    def queued_s(self) -> float:
        """Time that the server needs for the prompt tokens sent to it, in seconds."""
        return self.total_load.prefill_tokens / self.tokens_per_s

    @property
    def delay_tokens(self) -> float:
        """The additional delay as tokens that a typical server prefills in it."""
        return self.delay_s * self.tokens_per_s / self.speed


@attrs.frozen(kw_only=True)
class CacheStore:
    """A KV-cache store and its last known contents."""

    address: Address
    cache_index: CacheIndex


@attrs.frozen(kw_only=True)
class Choice:
    """The server selected for an attempt, and the estimated cost.

    Parameters
    ----------
    candidate : Candidate
        The server.
    fetch_from : Address or None
        Where the server should fetch cached parts from.
    prefill_tokens : float
        Prompt tokens that the server will prefill.
    work_tokens : float
        Prefill work, as the number of tokens at the start of a prompt whose prefill
        takes as long.
    cost_tokens : float
        Total cost, in prefilled tokens.
    """

    candidate: Candidate
    fetch_from: Address | None = None
    prefill_tokens: float = 0.0
    work_tokens: float = 0.0
    cost_tokens: float = 0.0


@attrs.define
class CostTrace:
    """Records what the candidates of one decision are ranked by.

    Parameters
    ----------
    choices : list of (Choice, float)
        One choice for each candidate, and its cost with what the ranking adds.
    """

    choices: list[tuple[Choice, float]] = attrs.field(factory=list)

    def watch(self, rank: Callable[[Choice], float]) -> Callable[[Choice], float]:
        """Return a ranking that is the same and records its results."""

        def recorded(choice: Choice) -> float:
            cost = rank(choice)
            self.choices.append((choice, cost))
            return cost

        return recorded

    def watch_plain(
        self, cost: Callable[[tuple[int, Candidate]], tuple[float, float]]
    ) -> Callable[[tuple[int, Candidate]], tuple[float, float]]:
        """Do the same for requests without a prompt; ties are not recorded."""

        def recorded(indexed: tuple[int, Candidate]) -> tuple[float, float]:
            result = cost(indexed)
            self.choices.append((Choice(candidate=indexed[1]), result[0]))
            return result

        return recorded
