"""Builders of servers, loads and prompts for tests of placement and admission."""

import time

from foxtailcourse.fleet import BackendServer, Freshness
from foxtailcourse.ingress._cache_index import CacheIndex
from foxtailcourse.ingress._limit_shares import LimitShares
from foxtailcourse.ingress._placement_types import Candidate, Prompt
from foxtailcourse.ingress._server_limits import ServerLimits
from foxtailcourse.ingress._server_loads import ServerLoad, TotalLoad
from foxtailcourse.observe import EventLog, HybridClock
from foxtailcourse.platform import CacheEvent, CacheEvents, PromptPart
from foxtailcourse.settings import Address

NOW = 100.0
STORE = Address("10.0.0.9", 80)


def server(name, version=1, started_ms=0, leaving=False, service="llm"):
    return BackendServer(
        id=name,
        service=service,
        address=Address("10.0.0.1", 1000 + sum(name.encode())),
        failure_domain="palermo",
        slots=64,
        leaving=leaving,
        weights={"guide": version} if service == "llm" else {},
        started_ms=started_ms,
    )


def candidate(
    name, queued_tokens=0.0, short_prompts=0, in_flight=0, index=None, **changes
):
    total = TotalLoad(
        prefill_tokens=queued_tokens, in_flight=in_flight, short_prompts=short_prompts
    )
    return Candidate(
        server=server(name),
        own_load=ServerLoad(in_flight=in_flight),
        total_load=total,
        entry_count=4,
        cache_index=index or CacheIndex(),
        salt="1",
        **changes,
    )


def cached_index(**parts):
    """Return the index of a cache with the given number of tokens of each part."""
    index = CacheIndex()
    events = tuple(CacheEvent(salt="1", part=k, tokens=v) for k, v in parts.items())
    index.apply(CacheEvents(epoch=1, next_position=1, events_lost=False, events=events))
    return index


def prompt(shared_tokens=13_000, own_tokens=2_000, part="aa"):
    """Return a prompt with one part that other prompts share and one of its own."""
    parts = (
        PromptPart(id=part, tokens=shared_tokens),
        PromptPart(id="zz", tokens=own_tokens),
    )
    return Prompt(parts=parts, tokens=shared_tokens + own_tokens)


def make_limits(vm, registered, freshness=None, hold_s=5.0):
    """Return the server limits of an entry; ``registered`` may change later."""
    fresh = freshness or Freshness(as_of=float("inf"))
    shares = LimitShares(vm, lambda: registered, fresh, hold_s)
    return ServerLimits(vm, shares, EventLog(vm, HybridClock(time.time)))
