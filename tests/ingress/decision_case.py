"""Builders of servers, loads and prompts for tests of placement and admission."""

from foxtailcourse.fleet import BackendServer
from foxtailcourse.ingress._cache_index import CacheIndex
from foxtailcourse.ingress._placement import Candidate, Prompt
from foxtailcourse.ingress._server_loads import ServerLoad, TotalLoad
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


def candidate(name, queued=0.0, short=0, own=0, index=None, **changes):
    total = TotalLoad(prefill_tokens=queued, in_flight=own, short_prompts=short)
    return Candidate(
        server=server(name),
        own_load=ServerLoad(in_flight=own),
        total_load=total,
        entry_count=4,
        cache_index=index or CacheIndex(),
        salt="1",
        **changes,
    )


def cached_index(**parts):
    index = CacheIndex()
    events = tuple(CacheEvent(salt="1", part=k, tokens=v) for k, v in parts.items())
    index.apply(CacheEvents(epoch=1, next_position=1, events_lost=False, events=events))
    return index


def prompt(shared=13_000, own=2_000, part="aa"):
    parts = (PromptPart(id=part, tokens=shared), PromptPart(id="zz", tokens=own))
    return Prompt(parts=parts, tokens=shared + own)
