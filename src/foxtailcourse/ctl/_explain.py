"""Says in one sentence what decided the outcome of a request."""

from collections.abc import Iterable, Sequence

from foxtailcourse.ctl._errors import CtlError, ExitCode
from foxtailcourse.ctl._output import Result
from foxtailcourse.observe import (
    Event,
    EventFilter,
    merge_events,
    render_text,
    select_events,
)
from foxtailcourse.observe.catalogue import REASONS


def summarize_outcome(events: Sequence[Event]) -> str:
    """Return what decided the outcome of the request that the events are of."""
    last = {event.name: event.fields for event in events}
    failures = [event for event in events if event.name == "attempt_failed"]
    tried = "".join(_failed_attempt(event.fields) for event in failures)
    if "request_done" in last:
        return _ended(last["request_done"]) + tried
    if "request_refused" in last:
        return _refused(last["request_refused"]) + tried
    if "request_denied" in last:
        fields = last["request_denied"]
        revision = fields.get("revision", "?")
        meaning = _meaning(fields.get("reason", ""))
        return f"Denied by the configuration of revision {revision}: {meaning}."
    if "request_malformed" in last:
        return f"Malformed: {last['request_malformed'].get('reason', '')}."
    if "request_abandoned" in last:
        fields = last["request_abandoned"]
        at = fields.get("pending", "no server")
        duration = fields.get("duration_ms", "?")
        return f"The caller left after {duration} ms, while {at} worked on it.{tried}"
    return f"No end of the request is on record; its process may have ended.{tried}"


def _failed_attempt(fields: dict[str, str]) -> str:
    meaning = _meaning(fields.get("reason", ""))
    return f" Attempt at {fields.get('backend_server', '?')} failed: {meaning}."


def _ended(fields: dict[str, str]) -> str:
    outcome, duration = fields.get("outcome", ""), fields.get("duration_ms", "?")
    servers = fields.get("servers", "no server")
    if outcome == "answered":
        first = fields.get("first_event_ms")
        begun = f", first event after {first} ms" if first else ""
        return f"Answered by {servers.split(',')[-1]} after {duration} ms{begun}."
    verdict = fields.get("verdict", "unknown")
    meaning = _meaning(outcome)
    return f"Failed after {duration} ms ({verdict}, sent to {servers}): {meaning}."


def _refused(fields: dict[str, str]) -> str:
    meaning = _meaning(fields.get("reason", ""))
    back = fields.get("retry_after_ms", "?")
    age = fields.get("configuration_age_ms", "?")
    return (
        f"Refused and not run, to come back after {back} ms: {meaning} "
        f"(configuration {age} ms old)."
    )


def _meaning(reason: str) -> str:
    return REASONS.get(reason, reason or "no reason on record")


def explain_request(request_id: str, sources: Iterable[Iterable[Event]]) -> Result:
    """Return the lines of one request in order, and what decided its outcome.

    Raises
    ------
    CtlError
        If no line names the request.
    """
    kept = EventFilter(request_id=request_id)
    events = select_events(merge_events(sources), kept)
    if not events:
        message = f"no line names the request {request_id!r}"
        raise CtlError(ExitCode.BAD_INPUT, message)
    sentence = summarize_outcome(events)
    value = {"request_id": request_id, "conclusion": sentence}
    return Result(value, [render_text(events), sentence])
