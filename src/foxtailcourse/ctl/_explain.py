"""Explanation of the outcome of one request, from its log events."""

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
    """Return one sentence that explains the outcome of a request.

    Parameters
    ----------
    events : sequence of Event
        All events of the request, in causal order.
    """
    fields_by_event = {event.name: event.fields for event in events}
    failures = [event for event in events if event.name == "attempt_failed"]
    attempts = "".join(_describe_failed_attempt(event.fields) for event in failures)
    if "request_done" in fields_by_event:
        return _describe_end(fields_by_event["request_done"]) + attempts
    if "request_refused" in fields_by_event:
        return _describe_refusal(fields_by_event["request_refused"]) + attempts
    if "quota_refused" in fields_by_event:
        return _describe_refusal(fields_by_event["quota_refused"])
    if "request_denied" in fields_by_event:
        fields = fields_by_event["request_denied"]
        revision = fields.get("revision", "?")
        meaning = _reason_text(fields.get("reason", ""))
        return f"Denied by the configuration of revision {revision}: {meaning}."
    if "request_malformed" in fields_by_event:
        return f"Malformed: {fields_by_event['request_malformed'].get('reason', '')}."
    if "request_abandoned" in fields_by_event:
        fields = fields_by_event["request_abandoned"]
        server = fields.get("pending", "no server")
        duration = fields.get("duration_ms", "?")
        return (
            f"The caller left after {duration} ms, while {server} worked on it."
            f"{attempts}"
        )
    return f"No end of the request is on record; its process may have ended.{attempts}"


def _describe_failed_attempt(fields: dict[str, str]) -> str:
    meaning = _reason_text(fields.get("reason", ""))
    return f" Attempt at {fields.get('backend_server', '?')} failed: {meaning}."


def _describe_end(fields: dict[str, str]) -> str:
    outcome, duration = fields.get("outcome", ""), fields.get("duration_ms", "?")
    servers = fields.get("servers", "no server")
    if outcome == "answered":
        ttft_ms = fields.get("first_event_ms")
        first_event = f", first event after {ttft_ms} ms" if ttft_ms else ""
        return f"Answered by {servers.split(',')[-1]} after {duration} ms{first_event}."
    verdict = fields.get("verdict", "unknown")
    meaning = _reason_text(outcome)
    return f"Failed after {duration} ms ({verdict}, sent to {servers}): {meaning}."


def _describe_refusal(fields: dict[str, str]) -> str:
    meaning = _reason_text(fields.get("reason", ""))
    retry_after = fields.get("retry_after_ms", "?")
    age = fields.get("configuration_age_ms", "?")
    return (
        f"Refused and not run, retry after {retry_after} ms: {meaning} "
        f"(configuration {age} ms old)."
    )


def _reason_text(reason: str) -> str:
    return REASONS.get(reason, reason or "no reason on record")


def explain_request(request_id: str, sources: Iterable[Iterable[Event]]) -> Result:
    """Return the log lines of one request in causal order, and why it ended so.

    Raises
    ------
    CtlError
        If no event belongs to the request.
    """
    event_filter = EventFilter(request_id=request_id)
    events = select_events(merge_events(sources), event_filter)
    if not events:
        message = f"no log line has the request identifier {request_id!r}"
        raise CtlError(ExitCode.BAD_INPUT, message)
    sentence = summarize_outcome(events)
    value = {"request_id": request_id, "conclusion": sentence}
    return Result(value, [render_text(events), sentence])
