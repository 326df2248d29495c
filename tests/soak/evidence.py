"""What callers and servers saw in a soak, and the promises that it breaks."""

import attrs

from foxtailcourse.standin._backend_server import stream_event

REVOCATION_S = 5.0
PROMISES_NOT_RUN = {408, 421, 429, 503}
REPEATABLE = {"look", "ask"}


@attrs.define(kw_only=True)
class Sent:
    """One request of a caller and what came back (status 0 for no answer)."""

    id: str
    kind: str
    key: str
    sent_at: float
    events: int = 0
    status: int = 0
    body: bytes = b""
    whole: bool = False


@attrs.define(kw_only=True)
class Evidence:
    """All that callers and servers saw."""

    sent: dict[str, Sent] = attrs.field(factory=dict)
    runs: list = attrs.field(factory=list)
    orders: list = attrs.field(factory=list)
    removed_keys: dict[str, float] = attrs.field(factory=dict)


def violations(seen: Evidence) -> list[str]:
    """Return each promise that the evidence shows to be broken."""
    found = []
    by_request: dict[str, list] = {}
    for run in seen.runs:
        by_request.setdefault(run.request_id, []).append(run)
    for request_id, runs in by_request.items():
        sent = seen.sent.get(request_id)
        if sent is None:
            found.append(f"{request_id}: ran though no caller sent it")
            continue
        if sent.kind not in REPEATABLE and len(runs) > 1:
            found.append(f"{request_id}: {sent.kind} ran {len(runs)} times")
        if sent.kind not in REPEATABLE and sent.status in PROMISES_NOT_RUN:
            found.append(f"{request_id}: refused with {sent.status} and ran")
        removed_at = seen.removed_keys.get(sent.key)
        if removed_at is not None and sent.sent_at > removed_at + REVOCATION_S:
            late_s = sent.sent_at - removed_at
            found.append(f"{request_id}: ran {late_s:.1f} s after its key was removed")
    for sent in seen.sent.values():
        found += _answer_violations(sent)
    fences: dict[str, int] = {}
    holders: dict[int, str] = {}
    for server, order in seen.orders:
        fence, holder = order["fencingToken"], order["holder"]
        if fence < fences.get(server, 0):
            found.append(f"{server}: fence {fence} after {fences[server]}")
        fences[server] = fence
        if holders.setdefault(fence, holder) != holder:
            found.append(f"fence {fence} of {holder} and {holders[fence]}")
    return found


def _answer_violations(sent: Sent) -> list[str]:
    if sent.status != 200:
        return []
    if not sent.events:
        right = sent.body.startswith(f"{sent.id} ".encode())
        return [f"{sent.id}: foreign answer"] if sent.whole and not right else []
    expected = b"".join(stream_event(sent.id, n + 1) for n in range(sent.events))
    if sent.whole and sent.body != expected:
        return [f"{sent.id}: stream looks complete and is not"]
    if not expected.startswith(sent.body):
        return [f"{sent.id}: stream has a gap or a foreign piece"]
    return []
