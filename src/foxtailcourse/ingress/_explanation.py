"""Explains where a request would be sent now, without sending it.

A copy of the decision's state goes through the same selection, placement and admission
as a real request, so that nothing of the entry changes.
"""

import copy
import random
from collections.abc import Iterable

import attrs
import msgspec

from foxtailcourse.decoding import MalformedDataError, decode_json
from foxtailcourse.fleet import Account, Configuration, Route
from foxtailcourse.http import HttpError
from foxtailcourse.ingress._cache_index import CacheIndex
from foxtailcourse.ingress._dispatcher import Dispatcher
from foxtailcourse.ingress._handler import DeniedError, IngressHandler
from foxtailcourse.ingress._job import Job, RefusedError
from foxtailcourse.ingress._placement import (
    MISS_WEIGHT,
    PROMPT_OVERHEAD_TOKENS,
    RUNNING_REQUEST_COST_TOKENS,
    prefill_work_tokens,
)
from foxtailcourse.ingress._placement_types import Candidate, Choice, CostTrace, Prompt
from foxtailcourse.observe import Metrics
from foxtailcourse.platform import (
    IngressRequest,
    RequestHeaderError,
    decode_request_headers,
    encode_request_fields,
)

# Candidates and excluded servers in one explanation, the cheapest first.
MAX_SERVERS = 200
# The parts of a candidate's cost, which add up to the total.
COST_PARTS = ("queue", "running", "prefill", "transfer", "other", "placement")


class Question(msgspec.Struct, forbid_unknown_fields=True):
    """What an operator asks; header fields take effect unless another option is given.

    Parameters
    ----------
    route : str
        Name of the route, in place of ``host`` and ``path``.
    host, path : str
        Host and path of the request.
    account : str
        Name of the client account, in place of ``key``.
    key : str
        API key of the client account.
    model : str
        Requested model.
    parts : list of str
        Parts of the prompt as ``ID:TOKENS``, in order.
    output_tokens : int
        Maximum number of tokens to generate.
    fields : list of (str, str)
        Header fields of a request.
    """

    route: str = ""
    host: str = ""
    path: str = ""
    account: str = ""
    key: str = ""
    model: str = ""
    parts: list[str] = []
    output_tokens: int = 0
    fields: list[tuple[str, str]] = []


@attrs.frozen(kw_only=True)
class CandidateCost:
    """Cost of one candidate, in prefilled tokens, or in slots without a prompt.

    Parameters
    ----------
    server, failure_domain : str
        Identifier of the backend server, and its failure domain.
    total : float
        What the candidates are ranked by; the sum of the other costs.
    queue : float
        Prefill work that all entries sent before.
    running : float
        Requests of this entry that are running.
    prefill : float
        Prefill of the tokens that are not cached.
    transfer : float
        Transfer of cached tokens from ``fetch_from``.
    other : float
        Failures and outdated weights.
    placement : float
        Servers reserved for other prompts, the preferred server, the random part.
    cached_tokens, prefill_tokens : int
        Tokens of the prompt that the server has cached, and that it would prefill.
    fetch_from : str
        Where it would fetch cached tokens; empty if it would not.
    loads_age_ms : int or None
        Age of the oldest load that another entry published for the server.
    cache_known : bool
        Whether the events of the server's cache are available.
    """

    server: str
    failure_domain: str
    total: float
    queue: float = 0.0
    running: float = 0.0
    prefill: float = 0.0
    transfer: float = 0.0
    other: float = 0.0
    placement: float = 0.0
    cached_tokens: int = 0
    prefill_tokens: int = 0
    fetch_from: str = ""
    loads_age_ms: int | None = None
    cache_known: bool = False


@attrs.frozen(kw_only=True)
class Explanation:
    """The decision on a request for one service of its route.

    Parameters
    ----------
    service : str
        The service.
    share : float
        Fraction of the route's requests that go to the service.
    verdict : str
        ``send``, ``wait`` (deferred by admission control) or ``refuse``.
    reason : str
        Why it is refused; empty otherwise.
    retry_after_ms : int
        When a refused caller would be asked to come back.
    server : str
        Identifier of the backend server that would be chosen; empty if none is.
    unit : str
        Unit of the costs: ``tokens`` or ``slots``.
    candidates : list of CandidateCost
        Cheapest first, at most MAX_SERVERS.
    excluded : dict of str to str
        Why the other servers of the service are not eligible, by identifier, at most
        MAX_SERVERS.
    """

    service: str
    share: float
    verdict: str
    reason: str = ""
    retry_after_ms: int = 0
    server: str = ""
    unit: str = "tokens"
    candidates: list[CandidateCost] = attrs.field(factory=list)
    excluded: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class _Exchange:
    """Request line of a request that no caller sends."""

    method: str
    target: str
    body: bytes = b""


def decode_question(body: bytes) -> Question:
    """Return a question; raises HttpError if it is malformed."""
    try:
        return decode_json(body, Question)
    except MalformedDataError as exc:
        raise HttpError(400, "malformed_json", f"malformed question: {exc}") from exc


def explain(
    question: Question, handler: IngressHandler, now: float
) -> dict[str, object]:
    """Return where a request would go now, as a value for JSON.

    Parameters
    ----------
    question : Question
        The request.
    handler : IngressHandler
        The entry's handler; it is not changed.
    now : float
        Present time in seconds since boot.

    Raises
    ------
    HttpError
        If the question is malformed, or its route or account is unknown.
    """
    view = handler.view
    if view.configuration is None:
        raise HttpError(503, "no_configuration", "the entry has no configuration yet")
    request = _request(question, view.configuration)
    route, account = _authorize(handler, request)
    weights = {e.service: max(0.0, e.weight) for e in route.backends}
    total_weight = sum(weights.values())
    explanations = [
        _explain_service(
            handler.dispatcher, request, route, account, service, weight, now
        )
        for service, weight in weights.items()
        if weight > 0
    ]
    return {
        "route": route.name,
        "account": account.name if account else "",
        "prompt_tokens": request.prompt_tokens,
        "configuration_revision": view.configuration_revision,
        "configuration_age_ms": _age_ms(view.configuration_freshness.age_s(now)),
        "servers_age_ms": _age_ms(view.servers_freshness.age_s(now)),
        "services": [
            attrs.asdict(attrs.evolve(each, share=each.share / total_weight))
            for each in explanations
        ],
    }


def _request(question: Question, configuration: Configuration) -> IngressRequest:
    """Return the request that a question describes."""
    host, path, key = question.host, question.path, question.key
    if question.route:
        route = _route(configuration, question.route)
        host, path = route.host, route.path_prefix
    if question.account:
        key = _account_key(configuration, question.account)
    given = encode_request_fields(
        host=host,
        key=key,
        model=question.model,
        parts=question.parts,
        max_output_tokens=question.output_tokens,
    )
    fields = {name.lower(): value for name, value in question.fields} | given
    try:
        raw = [(n.encode("ascii"), v.encode("latin-1")) for n, v in fields.items()]
        return decode_request_headers(path or "/", raw)
    except (RequestHeaderError, UnicodeEncodeError) as exc:
        raise HttpError(400, "invalid_request", str(exc)) from exc


def _route(configuration: Configuration, name: str) -> Route:
    for routes in configuration.routes.values():
        for route in routes:
            if route.name == name:
                return route
    raise HttpError(404, "unknown_route", f"there is no route {name!r}")


def _account_key(configuration: Configuration, name: str) -> str:
    for key, account in configuration.accounts.items():
        if account.name == name:
            return key
    raise HttpError(404, "unknown_account", f"there is no client account {name!r}")


def _authorize(
    handler: IngressHandler, request: IngressRequest
) -> tuple[Route, Account | None]:
    """Return route and account as for a real request; raises HttpError."""
    try:
        return handler.find_route_and_account(request)
    except DeniedError as exc:
        if exc.reason == "no_route":
            text = f"no route matches host {request.host!r} and path {request.path!r}"
            raise HttpError(404, "unknown_route", text) from exc
        text = "the key belongs to no client account, and the route needs one"
        raise HttpError(404, "unknown_account", text) from exc
    except RefusedError as exc:
        text = f"the entry refuses all requests: {exc.reason}"
        raise HttpError(503, "no_configuration", text) from exc


def _snapshot(dispatcher: Dispatcher, trace: CostTrace, now: float) -> Dispatcher:
    """Return a dispatcher with copies of all state that a decision may change."""
    candidates, rng = dispatcher.candidates, random.Random()
    rng.setstate(dispatcher.rng.getstate())
    limits = candidates.limits.snapshot()
    return attrs.evolve(
        dispatcher,
        candidates=attrs.evolve(
            candidates,
            loads=candidates.loads.snapshot(),
            cache_indexes=dict(candidates.cache_indexes),
            limits=limits,
            speeds=candidates.speeds.snapshot(),
        ),
        parts=attrs.evolve(dispatcher.parts, shares=limits.shares, clock=lambda: now),
        sizes=copy.deepcopy(dispatcher.sizes),
        rng=rng,
        clock=lambda: now,
        metrics=Metrics(),
        shares=dispatcher.shares.snapshot() if dispatcher.shares else None,
        cost_trace=trace,
    )


def _explain_service(
    dispatcher: Dispatcher,
    request: IngressRequest,
    route: Route,
    account: Account | None,
    service: str,
    weight: float,
    now: float,
) -> Explanation:
    trace = CostTrace()
    decider = _snapshot(dispatcher, trace, now)
    method = "POST" if request.model else "GET"
    job = Job(
        exchange=_Exchange(method, request.path),  # type: ignore[arg-type]
        request=request,
        route=route,
        account=account,
        service=service,
        started=now,
        deadline=now + min(route.timeout_s, request.deadline_s or route.timeout_s),
        last_event_id=request.last_event_id,
    )
    verdict, reason, retry_after_s, server = "send", "", 0.0, ""
    try:
        choice, is_admitted = decider.preview(job)
        verdict = "send" if is_admitted else "wait"
        server = choice.candidate.server.id if is_admitted else ""
    except RefusedError as exc:
        verdict, reason, retry_after_s = "refuse", exc.reason, exc.retry_after_s
    costs = _candidate_costs(decider, job, trace, now)
    eligible = {each.server for each in costs}
    return Explanation(
        service=service,
        share=weight,
        verdict=verdict,
        reason=reason,
        retry_after_ms=int(retry_after_s * 1000),
        server=server,
        unit="tokens" if job.prompt else "slots",
        candidates=costs[:MAX_SERVERS],
        excluded=_excluded(decider, job, eligible, now),
    )


def _candidate_costs(
    decider: Dispatcher, job: Job, trace: CostTrace, now: float
) -> list[CandidateCost]:
    """Return the costs of all candidates, cheapest first."""
    # Those of the KV-cache stores are there by address.
    indexes = dict(decider.candidates.cache_indexes)
    for choice, _ in trace.choices:
        indexes[str(choice.candidate.server.address)] = choice.candidate.cache_index
    costs = [
        _cost(choice, job.prompt, total, indexes, now)
        for choice, total in trace.choices
    ]
    loads = decider.candidates.loads
    costs = [
        attrs.evolve(
            each, loads_age_ms=_age_ms(loads.published_age_s(each.server, now))
        )
        for each in costs
    ]
    return sorted(costs, key=lambda each: each.total)


def _cost(
    choice: Choice,
    prompt: Prompt | None,
    total: float,
    indexes: dict[str, CacheIndex],
    now: float,
) -> CandidateCost:
    """Split the cost of a candidate."""
    candidate = choice.candidate
    server = candidate.server
    if prompt is None:
        return CandidateCost(
            server=server.id,
            failure_domain=server.failure_domain,
            total=round(total, 3),
            running=round(total, 3),
        )
    cached = candidate.cache_index.cached_prefix_tokens(
        candidate.salt, prompt.parts, now
    )
    fetch_from = str(choice.fetch_from) if choice.fetch_from else ""
    source, available = indexes.get(fetch_from), cached
    if source is not None:
        fetched = source.confirmed_prefix_tokens(candidate.salt, prompt.parts)
        available = max(cached, fetched)
    prefill_tokens = prompt.tokens - available
    prefill = MISS_WEIGHT * (
        PROMPT_OVERHEAD_TOKENS + prefill_work_tokens(prefill_tokens, available)
    )
    # Costs are in tokens of a typical server.
    prefill /= candidate.speed
    queue = (
        candidate.total_load.prefill_tokens / candidate.speed + candidate.delay_tokens
    )
    running = _running_cost(candidate)
    work = MISS_WEIGHT * choice.work_tokens / candidate.speed
    return CandidateCost(
        server=server.id,
        failure_domain=server.failure_domain,
        total=round(total),
        queue=round(queue),
        running=round(running),
        prefill=round(prefill),
        transfer=round(work - prefill),
        other=round(choice.cost_tokens - queue - running - work),
        placement=round(total - choice.cost_tokens),
        cached_tokens=cached,
        prefill_tokens=prefill_tokens,
        fetch_from=fetch_from,
        cache_known=candidate.cache_index.reachable,
    )


def _running_cost(candidate: Candidate) -> float:
    in_flight = candidate.own_load.in_flight * candidate.entry_count
    return RUNNING_REQUEST_COST_TOKENS * in_flight


def _excluded(
    decider: Dispatcher, job: Job, eligible: Iterable[str], now: float
) -> dict[str, str]:
    """Return why each other server of a service is not eligible.

    The selection runs with each server as the only one, and names its reason.
    """
    view, reasons = decider.view, {}
    others = {
        id: each for id, each in view.servers.items() if each.service == job.service
    }
    for server_id in sorted(others.keys() - set(eligible))[:MAX_SERVERS]:
        server = others[server_id]
        alone = attrs.evolve(view, servers={server_id: server})
        candidates = attrs.evolve(decider.candidates, view=alone)
        request = job.request
        selection = candidates.select(job.service, request.model, job.account, (), now)
        reason = selection.reason or "suspended"
        if server.leaving or server.run in view.withdrawn:
            reason = "leaving"
        elif reason == "no_server":
            reason = "other_model"
        reasons[server_id] = reason
    return reasons


def _age_ms(age_s: float | None) -> int | None:
    """Return an age in milliseconds, or None if it is not known."""
    return None if age_s is None or age_s == float("inf") else int(age_s * 1000)
