"""Selects the backend server of one attempt.

Requests without a prompt go to the least busy server. For a prompt with long shared
parts, the cost of prefilling a part again is weighed against the cost of queueing
behind other prompts at a server that has the part cached.
"""

import functools
import hashlib
import heapq
import math
import random
from collections.abc import Sequence

from foxtailcourse.ingress._fetch_sources import FetchSources
from foxtailcourse.ingress._placement_types import (
    CacheStore,
    Candidate,
    Choice,
    CostTrace,
    Prompt,
)

# Context length at which the prefill of a token takes twice as long as at the start of
# a prompt. The data sheets of the two engines give 30,500 and 57,700 tokens.
ATTENTION_DOUBLING_TOKENS = 40_000.0
# Fixed cost of a prompt: it takes an engine step of its own, which lasts 12 ms besides
# the prefill according to the engines' data sheets with 30 running requests.
PROMPT_OVERHEAD_TOKENS = 450.0
# Cost of a token to prefill relative to a token queued ahead of the prompt. It is above
# 1 because the prefill also delays other requests.
MISS_WEIGHT = 3.0
# Discount for the preferred server of a prompt's largest part, so that entries agree on
# a server while none is known to have the part cached.
PREFERRED_SERVER_BONUS_TOKENS = 200.0
# Many entries with equally old loads would select the same server. From this number of
# entries on, a random cost of up to so many tokens spreads them.
MIN_ENTRIES_TO_SPREAD = 13
SPREAD_TOKENS = 12_000.0
# That of a short prompt is smaller, so that it stays on the reserved servers.
SHORT_SPREAD_TOKENS = 2_500.0
# Cost of one running request, in prefilled tokens.
RUNNING_REQUEST_COST_TOKENS = 60.0
# Cost of a server that fails all requests, in prefilled tokens.
FAILURE_COST_TOKENS = 40_000.0
# Cost of a server that fails all requests, for requests without a prompt, as a multiple
# of its slots.
PLAIN_FAILURE_COST_RATIO = 4.0
# Time in which what is known of the requests in progress of other entries loses most of
# its weight, in seconds.
IN_FLIGHT_DECAY_S = 0.4
# Random part of the cost of a server without prompts, as a multiple of the time that a
# typical server takes for one request, so that entries do not all select the fastest.
PLAIN_SPREAD = 1.0
# Multiple of the random number by which neighbours in the list differ.
SPREAD_STRIDE = 97.31
# Cost of outdated weights, in prefilled tokens.
OUTDATED_WEIGHTS_COST_TOKENS = 6_000.0
# Some servers are reserved for short prompts. A long prompt uses one of them only if
# the backlog elsewhere exceeds RESERVED_COST_TOKENS, and a short prompt uses another
# server only if the backlog of the reserved ones exceeds UNRESERVED_COST_TOKENS.
RESERVED_COST_TOKENS = 40_000.0
UNRESERVED_COST_TOKENS = 1_500.0
# Prefill work of the short prompts in flight that one server completes well within
# their target, in tokens.
SHORT_WORK_PER_RESERVED_SERVER = 16_000.0
# Prefill work of a short prompt that is assumed until some were seen, in tokens.
ASSUMED_SHORT_WORK_TOKENS = 800.0
MIN_SERVERS_TO_RESERVE = 3
# Under overload the smaller long prompts fill every server beyond what a large one
# accepts. A large fleet leaves this fraction of its servers to large prompts, those of
# more than LARGE_PROMPT_MULTIPLE times the typical tokens of their route.
LARGE_RESERVED_FRACTION = 0.2
MIN_SERVERS_TO_RESERVE_FOR_LARGE = 10
LARGE_PROMPT_MULTIPLE = 1.3
# Largest fraction of the servers that may be reserved.
MAX_RESERVED_FRACTION = 0.6


def prefill_work_tokens(tokens: float, context_tokens: float) -> float:
    """Return the prefill work of tokens that follow a context.

    Parameters
    ----------
    tokens : float
        Tokens to prefill.
    context_tokens : float
        Tokens of the prompt before them.

    Returns
    -------
    float
        Number of tokens at the start of a prompt whose prefill takes as long.
    """
    return tokens * (1 + (context_tokens + tokens / 2) / ATTENTION_DOUBLING_TOKENS)


def choose_without_prompt(
    candidates: Sequence[Candidate],
    now: float,
    spread: float,
    trace: CostTrace | None = None,
) -> Choice:
    """Return the least busy server, for a request without a prompt.

    Only the requests of this entry count. Entries that used the same stale totals would
    all select the same server. Where servers differ in speed, the expected time counts,
    with the requests of all entries discounted by their age.

    Parameters
    ----------
    candidates : sequence of Candidate
        The servers to choose from.
    now : float
        Present time in seconds since boot.
    spread : float
        Random number from 0 to 1 that spreads entries over equal servers.
    trace : CostTrace or None
        Records the cost of each candidate.
    """

    def cost(indexed: tuple[int, Candidate]) -> tuple[float, float]:
        index, candidate = indexed
        slots = max(1, candidate.server.slots)
        failure_cost = PLAIN_FAILURE_COST_RATIO * candidate.own_load.failure_rate(now)
        if candidate.has_speed:
            # Nearly independent of the positions of other servers.
            position = spread * SPREAD_STRIDE * (index + 1) % 1.0
            expected = 1 + _expected_in_flight(candidate) / slots
            expected = expected / candidate.speed + failure_cost
            expected += candidate.delay_s * candidate.tokens_per_s / candidate.speed
            return expected + PLAIN_SPREAD * position, position
        busy = (
            candidate.own_load.in_flight * candidate.entry_count / slots + failure_cost
        )
        return busy, (index / len(candidates) + spread) % 1.0

    key = cost if trace is None else trace.watch_plain(cost)
    _, best = min(enumerate(candidates), key=key)
    return Choice(candidate=best, cost_tokens=0.0)


def _expected_in_flight(candidate: Candidate) -> float:
    """Return how many requests are expected to be in progress at a server.

    What other entries have sent is known for some time ago. It is used with a weight
    that falls with its age; the rest of the weight has what they send if they send as
    much as this entry.
    """
    own, total = candidate.own_load.in_flight, candidate.total_load
    others = max(0, total.in_flight - own)
    weight = math.exp(-total.others_age_s / IN_FLIGHT_DECAY_S)
    alike = own * max(0, candidate.entry_count - 1)
    return own + weight * others + (1 - weight) * alike


def choose_for_prompt(
    candidates: Sequence[Candidate],
    prompt: Prompt,
    store: CacheStore | None,
    now: float,
    short_work_tokens: float = ASSUMED_SHORT_WORK_TOKENS,
    rng: random.Random | None = None,
    trace: CostTrace | None = None,
) -> Choice:
    """Return the server with the lowest cost for a prompt.

    In a large fleet the loads are some ten milliseconds old, and the other entries
    decide on the same ones. So the cost of each server has a random part there.

    Parameters
    ----------
    candidates : sequence of Candidate
        The servers to choose from.
    prompt : Prompt
        The prompt.
    store : CacheStore or None
        The KV-cache store of the prompt's largest part, if it is reachable.
    now : float
        Present time in seconds since boot.
    short_work_tokens : float
        Mean prefill work of a short prompt, in tokens.
    rng : random.Random or None
        Source of the random part of the cost; None leaves it out.
    trace : CostTrace or None
        Records the cost of each candidate.
    """
    sources = None
    if prompt.is_long:
        sources = FetchSources.find(candidates, prompt, store)
    choices = [_evaluate(each, prompt, sources, now) for each in candidates]
    return lowest_cost_choice(choices, prompt, short_work_tokens, rng, trace)


def lowest_cost_choice(
    choices: Sequence[Choice],
    prompt: Prompt,
    short_work_tokens: float = ASSUMED_SHORT_WORK_TOKENS,
    rng: random.Random | None = None,
    trace: CostTrace | None = None,
) -> Choice:
    """Return the choice with the lowest cost.

    The preferred server of the prompt's largest part gets a discount. Long prompts on
    servers that are reserved for short or for large ones and short prompts on servers
    that are not reserved for them get a surcharge.

    Parameters
    ----------
    choices : sequence of Choice
        One choice for each candidate.
    prompt : Prompt
        The prompt.
    short_work_tokens : float
        Mean prefill work of a short prompt, in tokens.
    rng : random.Random or None
        Source of the random part of the cost; None leaves it out.
    trace : CostTrace or None
        Records what each choice is ranked by.
    """
    candidates = [each.candidate for each in choices]
    preferred = preferred_candidate(prompt.largest_part.id, candidates)
    reserved = reserved_for_short(candidates, short_work_tokens)
    is_large = prompt.tokens > LARGE_PROMPT_MULTIPLE * prompt.typical_tokens
    for_large = reserved_for_large(candidates, reserved)
    entries = max(each.entry_count for each in candidates)
    spreads = rng is not None and entries >= MIN_ENTRIES_TO_SPREAD

    def rank(choice: Choice) -> float:
        cost_tokens = choice.cost_tokens
        if choice.candidate is preferred:
            cost_tokens -= PREFERRED_SERVER_BONUS_TOKENS
        if rng is not None and spreads:
            spread_tokens = SPREAD_TOKENS if prompt.is_long else SHORT_SPREAD_TOKENS
            cost_tokens += rng.uniform(0, spread_tokens)
        is_reserved = choice.candidate.server.id in reserved
        if prompt.is_long:
            is_reserved |= not is_large and choice.candidate.server.id in for_large
            return cost_tokens + is_reserved * RESERVED_COST_TOKENS
        return cost_tokens + (not is_reserved) * UNRESERVED_COST_TOKENS

    return min(choices, key=rank if trace is None else trace.watch(rank))


def _evaluate(
    candidate: Candidate,
    prompt: Prompt,
    sources: FetchSources | None,
    now: float,
) -> Choice:
    """Return the choice of a candidate, with its estimated cost."""
    own_tokens = candidate.cache_index.cached_prefix_tokens(
        candidate.salt, prompt.parts, now
    )
    prefill_tokens, fetch_from = float(prompt.tokens - own_tokens), None
    if sources is not None:
        gain_tokens, fetch_from = sources.best_for(candidate, own_tokens)
        prefill_tokens -= gain_tokens
    work_tokens = PROMPT_OVERHEAD_TOKENS + prefill_work_tokens(
        prefill_tokens, prompt.tokens - prefill_tokens
    )
    server_tokens = (
        candidate.total_load.prefill_tokens
        + RUNNING_REQUEST_COST_TOKENS
        * candidate.own_load.in_flight
        * candidate.entry_count
        + MISS_WEIGHT * work_tokens
    )
    cost_tokens = (
        server_tokens / candidate.speed
        + candidate.delay_tokens
        + FAILURE_COST_TOKENS * candidate.own_load.failure_rate(now)
        + (OUTDATED_WEIGHTS_COST_TOKENS if candidate.outdated_weights else 0.0)
    )
    return Choice(
        candidate=candidate,
        fetch_from=fetch_from,
        prefill_tokens=prefill_tokens,
        work_tokens=work_tokens,
        cost_tokens=cost_tokens,
    )


def reserved_for_short(
    candidates: Sequence[Candidate],
    short_work_tokens: float = ASSUMED_SHORT_WORK_TOKENS,
) -> frozenset[str]:
    """Return the identifiers of the servers that are reserved for short prompts.

    Long prompts avoid them while other servers have capacity. Their number is
    proportional to the work of the short prompts in flight, so it grows during a burst.

    Parameters
    ----------
    candidates : sequence of Candidate
        The servers.
    short_work_tokens : float
        Mean prefill work of a short prompt, in tokens.
    """
    if len(candidates) < MIN_SERVERS_TO_RESERVE:
        return frozenset()
    short_prompts = sum(each.total_load.short_prompts for each in candidates)
    wanted = int(short_prompts * short_work_tokens / SHORT_WORK_PER_RESERVED_SERVER)
    count = max(1, min(wanted, int(len(candidates) * MAX_RESERVED_FRACTION)))
    if any(each.has_speed for each in candidates):
        return _reserved_by_speed(candidates, count)
    ids = [each.server.id for each in candidates]
    return frozenset(heapq.nsmallest(count, ids, key=_short_rank))


def _reserved_by_speed(candidates: Sequence[Candidate], count: int) -> frozenset[str]:
    """Return servers that are together as fast as ``count`` typical ones."""
    ranked = sorted(candidates, key=lambda each: _short_rank(each.server.id))
    most = int(len(candidates) * MAX_RESERVED_FRACTION)
    reserved: list[str] = []
    speed = 0.0
    for each in ranked[:most]:
        if reserved and speed + each.speed / 2 > count:
            break
        reserved.append(each.server.id)
        speed += each.speed
    return frozenset(reserved)


def reserved_for_large(
    candidates: Sequence[Candidate], for_short: frozenset[str]
) -> frozenset[str]:
    """Return the identifiers of the servers that are reserved for large prompts.

    Parameters
    ----------
    candidates : sequence of Candidate
        The servers.
    for_short : frozenset of str
        Identifiers of the servers that are reserved for short prompts.
    """
    if len(candidates) < MIN_SERVERS_TO_RESERVE_FOR_LARGE:
        return frozenset()
    count = int(len(candidates) * LARGE_RESERVED_FRACTION)
    ids = [e.server.id for e in candidates if e.server.id not in for_short]
    return frozenset(heapq.nlargest(count, ids, key=_short_rank))


@functools.lru_cache(maxsize=4096)
def _short_rank(server_id: str) -> bytes:
    return _rendezvous_weight("short", server_id)


def preferred_candidate(part_id: str, candidates: Sequence[Candidate]) -> Candidate:
    """Return the candidate that rendezvous hashing assigns to a part."""
    return max(candidates, key=lambda each: _rendezvous_weight(part_id, each.server.id))


def preferred_store(part_id: str, stores: Sequence[CacheStore]) -> CacheStore | None:
    """Return the KV-cache store that rendezvous hashing assigns to a part, or None."""
    return max(
        stores,
        key=lambda each: _rendezvous_weight(part_id, str(each.address)),
        default=None,
    )


def _rendezvous_weight(key: str, node: str) -> bytes:
    """Return a hash by which all entries rank the nodes for a key alike."""
    return hashlib.blake2b(f"{key}/{node}".encode(), digest_size=8).digest()
