"""Observations of callers and servers in a soak test, and their violations."""

import attrs

from foxtailcourse.standin._backend_server import stream_event

MAX_REVOCATION_S = 5.0
# Time after which a server that said that it leaves gets no requests.
DRAIN_S = 2.0
# Requests that may reach a server in the time for which it asked for none, and the time
# before they count.
MAX_ARRIVALS_AFTER_REFUSAL = 2
REFUSAL_SLACK_S = 0.5
NOT_RUN_STATUSES = {408, 421, 429, 503}
REPEATABLE_KINDS = {"look", "ask"}


@attrs.define(kw_only=True)
class RequestRecord:
    """One request of a caller and its response.

    Parameters
    ----------
    id : str
        Request identifier.
    kind : str
        Route, one of REQUEST_KINDS in soak.py.
    key : str
        API key of the request.
    sent_at : float
        Time of sending on trio's clock, in seconds.
    events : int
        Number of stream events requested; 0 for a response that is not streamed.
    status : int
        HTTP status; 0 without a response.
    body : bytes
        The part of the response body received so far.
    complete : bool
        Whether the response ended without an error.
    vm : str
        Entry that the request was sent to.
    leaving_at : float
        When a response arrived that says that its server leaves; 0 if none did.
    """

    id: str
    kind: str
    key: str
    sent_at: float
    events: int = 0
    status: int = 0
    body: bytes = b""
    complete: bool = False
    vm: str = ""
    leaving_at: float = 0.0


@attrs.define(kw_only=True)
class Observations:
    """All requests, runs and orders that callers and servers recorded.

    Parameters
    ----------
    sent : dict of str to RequestRecord
        Requests by identifier.
    runs : list of Run
        Executions of requests by the backend server stand-ins.
    orders : list of (str, dict)
        Server and JSON body of each accepted order to load weights, the oldest first
        for each server.
    removed_keys : dict of str to float
        Time at which an API key was removed, on trio's clock in seconds.
    runs_by_server : dict of str to list of Run
        The same runs, by backend server.
    refusals : list of (str, Refusal)
        Server and each request that it refused.
    disturbed : set of str
        Entries that were stopped, killed or cut off in the run; they are excused from
        what a server asked of them.
    """

    sent: dict[str, RequestRecord] = attrs.field(factory=dict)
    runs: list = attrs.field(factory=list)
    orders: list = attrs.field(factory=list)
    removed_keys: dict[str, float] = attrs.field(factory=dict)
    runs_by_server: dict[str, list] = attrs.field(factory=dict)
    refusals: list = attrs.field(factory=list)
    disturbed: set[str] = attrs.field(factory=set)


def violations(observations: Observations) -> list[str]:
    """Return each invariant violation that the observations show."""
    found = []
    runs_by_request: dict[str, list] = {}
    for run in observations.runs:
        runs_by_request.setdefault(run.request_id, []).append(run)
    for request_id, runs in runs_by_request.items():
        request = observations.sent.get(request_id)
        if request is None:
            found.append(f"{request_id}: ran though no caller sent it")
            continue
        if request.kind not in REPEATABLE_KINDS and len(runs) > 1:
            found.append(f"{request_id}: {request.kind} ran {len(runs)} times")
        if request.kind not in REPEATABLE_KINDS and request.status in NOT_RUN_STATUSES:
            found.append(f"{request_id}: refused with {request.status} and ran")
        removed_at = observations.removed_keys.get(request.key)
        if removed_at is not None and request.sent_at > removed_at + MAX_REVOCATION_S:
            delay_s = request.sent_at - removed_at
            found.append(f"{request_id}: ran {delay_s:.1f} s after its key was removed")
    for request in observations.sent.values():
        found += _response_violations(request)
    last_fences: dict[str, int] = {}
    holder_by_fence: dict[int, str] = {}
    for server, order in observations.orders:
        fence, holder = order["fencingToken"], order["holder"]
        if fence < last_fences.get(server, 0):
            found.append(f"{server}: fence {fence} after {last_fences[server]}")
        last_fences[server] = fence
        if holder_by_fence.setdefault(fence, holder) != holder:
            found.append(f"fence {fence} of {holder} and {holder_by_fence[fence]}")
    return found + _drain_violations(observations) + _refusal_violations(observations)


def _drain_violations(observations: Observations) -> list[str]:
    """Return the requests that reached a server long after it said that it leaves."""
    sent, found = observations.sent, []
    for server, runs in observations.runs_by_server.items():
        heard_at: dict[tuple[str, int], float] = {}
        for run in runs:
            request = sent.get(run.request_id)
            if request is not None and request.leaving_at:
                key = (request.vm, run.started_ms)
                first = heard_at.get(key, float("inf"))
                heard_at[key] = min(first, request.leaving_at)
        for run in runs:
            request = sent.get(run.request_id)
            if request is None:
                continue
            heard = heard_at.get((request.vm, run.started_ms), float("inf"))
            if request.sent_at > heard + DRAIN_S:
                found.append(
                    f"{run.request_id}: sent to {server} {request.sent_at - heard:.1f} "
                    f"s after it told {request.vm} that it leaves"
                )
    return found


def _refusal_violations(observations: Observations) -> list[str]:
    """Return the servers that got requests in a time for which they asked for none."""
    arrivals: dict[tuple[str, str], list[float]] = {}
    refusals = []
    records = [
        (server, run.request_id, run.at, "")
        for server, runs in observations.runs_by_server.items()
        for run in runs
    ] + [
        (server, r.request_id, r.at, r.retry_after)
        for server, r in observations.refusals
    ]
    for server, request_id, at, retry_after in records:
        request = observations.sent.get(request_id)
        if request is None or request.vm in observations.disturbed:
            continue
        arrivals.setdefault((server, request.vm), []).append(at)
        if retry_after:
            refusals.append((server, request.vm, at, float(retry_after)))
    return [
        f"{server}: {count} requests from {vm} though it asked for none"
        for server, vm, at, retry_after_s in refusals
        if (
            count := sum(
                at + REFUSAL_SLACK_S < other < at + retry_after_s
                for other in arrivals[server, vm]
            )
        )
        > MAX_ARRIVALS_AFTER_REFUSAL
    ]


def _response_violations(request: RequestRecord) -> list[str]:
    if request.status != 200:
        return []
    if not request.events:
        belongs_to_request = request.body.startswith(f"{request.id} ".encode())
        return (
            [f"{request.id}: foreign answer"]
            if request.complete and not belongs_to_request
            else []
        )
    expected = b"".join(stream_event(request.id, n + 1) for n in range(request.events))
    if request.complete and request.body != expected:
        return [f"{request.id}: stream looks complete and is not"]
    if not expected.startswith(request.body):
        return [f"{request.id}: stream has a gap or a foreign event"]
    return []
