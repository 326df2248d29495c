"""Chooses the backend server of one attempt.

Answers two loads: plain services, where the least busy server is taken, and prompts
with long shared parts, where reading a part again is weighed against waiting behind
others.
"""

import hashlib
from collections.abc import Sequence

import attrs

from foxtailcourse.fleet import BackendServer
from foxtailcourse.ingress._cache_index import CacheIndex
from foxtailcourse.ingress._server_loads import ServerLoad, TotalLoad
from foxtailcourse.platform import PromptPart
from foxtailcourse.settings import Address

# Context at which a token takes twice as long to read as at the start of a prompt; by
# the engines' sheets 30,500 and 57,700.
ATTENTION_DOUBLING_TOKENS = 40_000.0
# Each prompt takes a step of the engine to itself: 12 ms beside its reading, by the
# engines' sheets with 30 requests running.
PROMPT_OVERHEAD_TOKENS = 450.0
# Above this size a prompt's cost is dominated by reading it.
LONG_PROMPT_TOKENS = 2500
# Cost of a token to read, against a token queued ahead: reading also delays others.
MISS_WEIGHT = 3.0
# Cost of a token fetched from another server or the store, against reading it.
PEER_FETCH_COST_RATIO = 0.2
STORE_FETCH_COST_RATIO = 0.5
# Shortest missing stretch that is worth a fetch.
MIN_FETCH_TOKENS = 500
# Advantage of a large part's home, so that entries agree where nothing is known.
PREFERRED_SERVER_BONUS_TOKENS = 200.0
# Cost of one running request, in tokens read.
RUNNING_REQUEST_COST_TOKENS = 60.0
# Cost of a server that fails all requests, in tokens read.
FAILURE_COST_TOKENS = 40_000.0
# Cost of a plain server that fails all requests, in its slots.
PLAIN_FAILURE_COST_RATIO = 4.0
# Cost of weights that were replaced, in tokens read.
OUTDATED_WEIGHTS_COST_TOKENS = 6_000.0
# A long prompt goes to a reserved server only past this backlog elsewhere, and a short
# one leaves the reserved servers past this one.
RESERVED_COST_TOKENS = 40_000.0
UNRESERVED_COST_TOKENS = 1_500.0
# Short prompts in flight that one server answers well within their target.
SHORT_PER_RESERVED_SERVER = 20
MIN_SERVERS_TO_RESERVE = 3
# Part of the servers that may be reserved.
MAX_RESERVED_FRACTION = 0.6


@attrs.frozen(kw_only=True)
class Prompt:
    """What placement needs to know of a prompt."""

    parts: tuple[PromptPart, ...]
    tokens: int

    @property
    def is_long(self) -> bool:
        """Whether reading the prompt dominates its cost."""
        return self.tokens > LONG_PROMPT_TOKENS

    @property
    def shared_tokens(self) -> int:
        """Tokens of the parts that other prompts may share."""
        return sum(each.tokens for each in self.parts[:-1])

    @property
    def largest_part(self) -> PromptPart:
        """The largest part that others share, or the only one."""
        return max(self.parts[:-1] or self.parts, key=lambda part: part.tokens)


@attrs.frozen(kw_only=True)
class Candidate:
    """A backend server that may take the request.

    Parameters
    ----------
    server : BackendServer
        The server.
    own_load : ServerLoad
        What this entry itself has sent.
    total_load : TotalLoad
        What all entries have sent. The work to read is recent; the requests in flight
        are up to a renewal old, in which many may have followed them.
    entry_count : int
        Entries that send to it.
    cache_index : CacheIndex
        What it is believed to have cached.
    salt : str
        Salt of the request's cache on this server.
    outdated_weights : bool
        Whether newer weights are wanted.
    """

    server: BackendServer
    own_load: ServerLoad
    total_load: TotalLoad
    entry_count: int
    cache_index: CacheIndex
    salt: str = ""
    outdated_weights: bool = False


@attrs.frozen(kw_only=True)
class CacheStore:
    """The KV-cache store and what it is known to hold."""

    address: Address
    cache_index: CacheIndex


@attrs.frozen(kw_only=True)
class Choice:
    """The server of an attempt.

    Parameters
    ----------
    fetch_from : Address or None
        Where it should fetch cached parts from.
    prefill_tokens : float
        Prompt tokens that it will read.
    work_tokens : float
        Tokens that could be read in the same time at the start of a prompt.
    """

    candidate: Candidate
    fetch_from: Address | None = None
    prefill_tokens: float = 0.0
    work_tokens: float = 0.0
    cost_tokens: float = 0.0


def prefill_work_tokens(tokens: float, context: float) -> float:
    """Return the work of reading tokens that follow others.

    Parameters
    ----------
    tokens : float
        Tokens to read.
    context : float
        Tokens of the prompt before them.

    Returns
    -------
    float
        Tokens that could be read in the same time at the start of a prompt.
    """
    return tokens * (1 + (context + tokens / 2) / ATTENTION_DOUBLING_TOKENS)


def choose_without_prompt(
    candidates: Sequence[Candidate], now: float, spread: float
) -> Choice:
    """Return the server that this entry keeps least busy, for requests without prompts.

    Only own requests count: entries that followed the same stale totals would all go to
    the same server.

    Parameters
    ----------
    spread : float
        Random number from 0 to 1 that spreads entries over equal servers.
    """

    def cost(numbered: tuple[int, Candidate]) -> tuple[float, float]:
        index, each = numbered
        slots = max(1, each.server.slots)
        failing = PLAIN_FAILURE_COST_RATIO * each.own_load.failure_rate(now)
        busy = each.own_load.in_flight * each.entry_count / slots + failing
        return busy, (index / len(candidates) + spread) % 1.0

    _, best = min(enumerate(candidates), key=cost)
    return Choice(candidate=best, cost_tokens=0.0)


def choose_for_prompt(
    candidates: Sequence[Candidate],
    prompt: Prompt,
    store: CacheStore | None,
    now: float,
) -> Choice:
    """Return the server with the lowest cost for a prompt.

    Parameters
    ----------
    store : CacheStore or None
        The KV-cache store, if it can be reached.
    """
    choices = [_evaluate(each, candidates, prompt, store, now) for each in candidates]
    return lowest_cost_choice(choices, prompt)


def lowest_cost_choice(choices: Sequence[Choice], prompt: Prompt) -> Choice:
    """Return the choice with the lowest cost, one of each candidate.

    The home of the prompt's largest part is preferred, and prompts keep to the servers
    that are reserved for their kind.
    """
    candidates = [each.candidate for each in choices]
    preferred = preferred_candidate(prompt.largest_part.id, candidates)
    reserved = reserved_for_short(candidates)

    def rank(choice: Choice) -> float:
        bonus = PREFERRED_SERVER_BONUS_TOKENS if choice.candidate is preferred else 0.0
        is_reserved = choice.candidate.server.id in reserved
        if prompt.is_long:
            return choice.cost_tokens - bonus + is_reserved * RESERVED_COST_TOKENS
        return choice.cost_tokens - bonus + (not is_reserved) * UNRESERVED_COST_TOKENS

    return min(choices, key=rank)


def _evaluate(
    each: Candidate,
    candidates: Sequence[Candidate],
    prompt: Prompt,
    store: CacheStore | None,
    now: float,
) -> Choice:
    own_tokens = each.cache_index.cached_prefix_tokens(each.salt, prompt.parts, now)
    prefill_tokens, fetch_from = float(prompt.tokens - own_tokens), None
    if prompt.is_long:
        gain, fetch_from = best_fetch_source(
            each, candidates, own_tokens, prompt, store
        )
        prefill_tokens -= gain
    work_tokens = PROMPT_OVERHEAD_TOKENS + prefill_work_tokens(
        prefill_tokens, prompt.tokens - prefill_tokens
    )
    cost_tokens = (
        each.total_load.prefill_tokens
        + RUNNING_REQUEST_COST_TOKENS * each.own_load.in_flight * each.entry_count
        + MISS_WEIGHT * work_tokens
        + FAILURE_COST_TOKENS * each.own_load.failure_rate(now)
        + (OUTDATED_WEIGHTS_COST_TOKENS if each.outdated_weights else 0.0)
    )
    return Choice(
        candidate=each,
        fetch_from=fetch_from,
        prefill_tokens=prefill_tokens,
        work_tokens=work_tokens,
        cost_tokens=cost_tokens,
    )


def best_fetch_source(
    each: Candidate,
    candidates: Sequence[Candidate],
    own_tokens: int,
    prompt: Prompt,
    store: CacheStore | None,
) -> tuple[float, Address | None]:
    """Return the tokens that a fetch saves, after its cost, and its source.

    Only parts that events confirmed count, as others may still be being read. A store
    that is not known to hold anything is asked all the same: a miss costs it next to
    nothing, and its events come late.
    """
    missing = prompt.shared_tokens - own_tokens
    if missing < MIN_FETCH_TOKENS:
        return 0.0, None
    best_gain, source = 0.0, store.address if store else None
    if store is not None:
        cached_tokens = store.cache_index.confirmed_prefix_tokens(
            each.salt, prompt.parts
        )
        best_gain = max(
            0.0, (1 - STORE_FETCH_COST_RATIO) * (cached_tokens - own_tokens)
        )
    for other in candidates:
        if other is each or other.salt != each.salt:
            continue
        cached_tokens = other.cache_index.confirmed_prefix_tokens(
            other.salt, prompt.parts
        )
        gain = (1 - PEER_FETCH_COST_RATIO) * (cached_tokens - own_tokens)
        if cached_tokens - own_tokens >= MIN_FETCH_TOKENS and gain > best_gain:
            best_gain, source = gain, other.server.address
    return best_gain, source


def reserved_for_short(candidates: Sequence[Candidate]) -> frozenset[str]:
    """Return the servers that are kept free of long prompts while others have room.

    Their number follows the short prompts in flight, so that it grows with a burst.
    """
    if len(candidates) < MIN_SERVERS_TO_RESERVE:
        return frozenset()
    short = sum(each.total_load.short for each in candidates)
    wanted = short // SHORT_PER_RESERVED_SERVER
    count = max(1, min(wanted, int(len(candidates) * MAX_RESERVED_FRACTION)))
    ranked = sorted(
        candidates, key=lambda each: _rendezvous_weight("short", each.server.id)
    )
    return frozenset(each.server.id for each in ranked[:count])


def preferred_candidate(part_id: str, candidates: Sequence[Candidate]) -> Candidate:
    """Return the candidate that rendezvous hashing gives a part to."""

    return max(candidates, key=lambda each: _rendezvous_weight(part_id, each.server.id))


def preferred_store(part_id: str, stores: Sequence[CacheStore]) -> CacheStore | None:
    """Return the KV-cache store that rendezvous hashing gives a part to, or None."""
    return max(
        stores,
        key=lambda each: _rendezvous_weight(part_id, str(each.address)),
        default=None,
    )


def _rendezvous_weight(name: str, place: str) -> bytes:
    return hashlib.blake2b(f"{name}/{place}".encode(), digest_size=8).digest()
