"""Observations of callers and servers in a soak test, and their violations."""

import attrs

from foxtailcourse.standin._backend_server import stream_event

MAX_REVOCATION_S = 5.0
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
    """

    id: str
    kind: str
    key: str
    sent_at: float
    events: int = 0
    status: int = 0
    body: bytes = b""
    complete: bool = False


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
    """

    sent: dict[str, RequestRecord] = attrs.field(factory=dict)
    runs: list = attrs.field(factory=list)
    orders: list = attrs.field(factory=list)
    removed_keys: dict[str, float] = attrs.field(factory=dict)


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
    return found


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
