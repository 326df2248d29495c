"""Chooses the backend server of one attempt.

Answers two loads: plain services, where the least busy server is taken, and prompts
with long shared parts, where reading a part again is weighed against waiting behind
others.
"""

import hashlib
import math
from collections.abc import Sequence

import attrs

from foxtailcourse.fleet import BackendServer
from foxtailcourse.ingress._cache_index import HeldParts
from foxtailcourse.ingress._loads import ServerLoad, TotalLoad
from foxtailcourse.platform import PromptPart
from foxtailcourse.settings import Address

# Above this size a prompt's cost is dominated by reading it.
LONG_PROMPT_TOKENS = 2500
# Cost of a token to read, against a token queued ahead: reading also delays others.
MISS_WEIGHT = 2.0
# Cost of a token fetched from another server or the store, against reading it.
PEER_FETCH_COST = 0.2
STORE_FETCH_COST = 0.5
# Shortest missing stretch that is worth a fetch.
FETCH_MIN_TOKENS = 500
# Advantage of a large part's home, so that entries agree where nothing is known.
HOME_BONUS_TOKENS = 200.0
# Cost of one running request, in tokens read.
RUNNING_COST_TOKENS = 60.0
# Cost of a server that fails all requests, in tokens read.
FAILURE_COST_TOKENS = 40_000.0
# Cost of weights that were replaced, in tokens read.
OLD_WEIGHTS_COST_TOKENS = 6_000.0
# A long prompt goes to a reserved server only past this backlog elsewhere, and a short
# one leaves the reserved servers past this one.
RESERVED_COST_TOKENS = 40_000.0
UNRESERVED_COST_TOKENS = 1_500.0
# Short prompts in flight that one server answers well within their target.
SHORT_PER_RESERVED_SERVER = 20
FEWEST_SERVERS_TO_SPLIT = 3
# How long the store is believed to hold a part after it was last saved or fetched.
STORE_HELD_S = 60.0


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
    load : ServerLoad
        What this entry itself has sent.
    total : TotalLoad
        What all entries have sent.
    held : HeldParts
        What it is believed to have cached.
    salt : str
        Salt of the request's cache on this server.
    old_weights : bool
        Whether newer weights are wanted.
    """

    server: BackendServer
    load: ServerLoad
    total: TotalLoad
    held: HeldParts
    salt: str = ""
    old_weights: bool = False


@attrs.frozen(kw_only=True)
class Choice:
    """The server of an attempt.

    Parameters
    ----------
    fetch_from : Address or None
        Where it should fetch cached parts from.
    tokens_to_read : float
        Prompt tokens that it will read.
    """

    candidate: Candidate
    fetch_from: Address | None = None
    tokens_to_read: float = 0.0
    cost: float = 0.0


def choose_plain(candidates: Sequence[Candidate], now: float, spread: float) -> Choice:
    """Return the least busy server of a service without prompts.

    Parameters
    ----------
    spread : float
        Random number from 0 to 1 that spreads entries over equal servers.
    """

    def cost(numbered: tuple[int, Candidate]) -> tuple[float, float]:
        index, each = numbered
        slots = max(1, each.server.slots)
        busy = each.total.in_flight / slots + 4 * each.load.failure_rate(now)
        return busy, (index / len(candidates) + spread) % 1.0

    _, best = min(enumerate(candidates), key=cost)
    return Choice(candidate=best, cost=0.0)


def choose_for_prompt(
    candidates: Sequence[Candidate],
    prompt: Prompt,
    store: Address | None,
    store_holds: bool,
    now: float,
) -> Choice:
    """Return the server with the lowest cost for a prompt.

    Parameters
    ----------
    store : Address or None
        The KV-cache store.
    store_holds : bool
        Whether it is believed to hold the largest part.
    """
    covered = {
        each.server.id: each.held.covered(each.salt, prompt.parts, now)
        for each in candidates
    }
    home = home_of(prompt.largest_part.id, candidates)
    reserved = reserved_for_short(candidates)
    choices = [
        _cost(each, candidates, covered, prompt, store if store_holds else None, now)
        for each in candidates
    ]

    def rank(choice: Choice) -> float:
        bonus = HOME_BONUS_TOKENS if choice.candidate is home else 0.0
        is_reserved = choice.candidate.server.id in reserved
        if prompt.is_long:
            return choice.cost - bonus + is_reserved * RESERVED_COST_TOKENS
        return choice.cost - bonus + (not is_reserved) * UNRESERVED_COST_TOKENS

    return min(choices, key=rank)


def _cost(
    each: Candidate,
    candidates: Sequence[Candidate],
    covered: dict[str, int],
    prompt: Prompt,
    store: Address | None,
    now: float,
) -> Choice:
    own = covered[each.server.id]
    to_read, fetch_from = float(prompt.tokens - own), None
    if prompt.is_long:
        best = max(
            (c for c in candidates if c.salt == each.salt),
            key=lambda c: covered[c.server.id],
        )
        gain = covered[best.server.id] - own
        missing = prompt.largest_part.tokens - own
        if best is not each and gain > FETCH_MIN_TOKENS:
            to_read -= (1 - PEER_FETCH_COST) * gain
            fetch_from = best.server.address
        elif store is not None and missing > FETCH_MIN_TOKENS:
            to_read -= (1 - STORE_FETCH_COST) * missing
            fetch_from = store
    cost = (
        each.total.prefill_tokens
        + RUNNING_COST_TOKENS * each.total.in_flight
        + MISS_WEIGHT * to_read
        + FAILURE_COST_TOKENS * each.load.failure_rate(now)
        + (OLD_WEIGHTS_COST_TOKENS if each.old_weights else 0.0)
    )
    return Choice(
        candidate=each, fetch_from=fetch_from, tokens_to_read=to_read, cost=cost
    )


def reserved_for_short(candidates: Sequence[Candidate]) -> frozenset[str]:
    """Return the servers that are kept free of long prompts while others have room.

    Their number follows the short prompts in flight, so that it grows with a burst.
    """
    if len(candidates) < FEWEST_SERVERS_TO_SPLIT:
        return frozenset()
    short = sum(each.total.short for each in candidates)
    wanted = math.ceil(short / SHORT_PER_RESERVED_SERVER)
    count = max(1, min(wanted, len(candidates) // 2))
    ranked = sorted(candidates, key=lambda each: _weight("short", each))
    return frozenset(each.server.id for each in ranked[:count])


def home_of(part_id: str, candidates: Sequence[Candidate]) -> Candidate:
    """Return the candidate that rendezvous hashing gives a part to."""

    return max(candidates, key=lambda each: _weight(part_id, each))


def _weight(name: str, candidate: Candidate) -> bytes:
    text = f"{name}/{candidate.server.id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
