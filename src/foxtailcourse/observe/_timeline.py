"""Merging, filtering and rendering of the events of several processes."""

import datetime
import html
from collections.abc import Iterable, Sequence

import attrs
import msgspec

from foxtailcourse.observe._clock import Timestamp
from foxtailcourse.observe._events import Event

LANE_WIDTH_PX = 260
ROW_HEIGHT_PX = 34
TIME_COLUMN_WIDTH_PX = 120
MARGIN_PX = 40
DOT_RADIUS_PX = 5
FAILURE_WORDS = ("fail", "broken", "lost", "error", "refused", "unreachable", "crash")
SUMMARY_FIELDS = ("request_id", "backend_server", "verdict", "reason", "code")


@attrs.frozen(kw_only=True)
class EventFilter:
    """Selection of events; an empty field matches all events.

    Parameters
    ----------
    request_id, client_account, backend_server : str
        Exact values of the event's fields.
    since_ms, until_ms : int
        Inclusive limits of the wall-clock part of the event's clock, in milliseconds
        since 1970-01-01 UTC; 0 for no limit.
    """

    request_id: str = ""
    client_account: str = ""
    backend_server: str = ""
    since_ms: int = 0
    until_ms: int = 0

    def is_in_time_range(self, event: Event) -> bool:
        """Whether an event lies between ``since_ms`` and ``until_ms``."""
        at_ms = wall_ms(event)
        return at_ms >= self.since_ms and (not self.until_ms or at_ms <= self.until_ms)

    def matches(self, event: Event) -> bool:
        """Whether the event's own fields have all values of the filter."""
        vm = event.process.rpartition("/")[2]
        servers = {event.fields.get("backend_server"), vm}
        return (
            self.request_id in ("", event.fields.get("request_id"))
            and self.client_account in ("", event.fields.get("client_account"))
            and (not self.backend_server or self.backend_server in servers)
        )


def select_events(events: Sequence[Event], event_filter: EventFilter) -> list[Event]:
    """Return the events that match a filter, in the same order.

    If one event of a request matches, all events of that request are selected, so that
    the complete path of the request is shown. An event that has only an ``attempt_id``
    belongs to the request of that attempt.
    """
    request_ids = {}
    for event in events:
        if "attempt_id" in event.fields and "request_id" in event.fields:
            request_ids[event.fields["attempt_id"]] = event.fields["request_id"]

    def request_of(event: Event) -> str | None:
        attempt_id = event.fields.get("attempt_id", "")
        return event.fields.get("request_id") or request_ids.get(attempt_id)

    matching_ids = {
        request_of(event) for event in events if event_filter.matches(event)
    } - {None}
    return [
        event
        for event in events
        if event_filter.is_in_time_range(event)
        and (event_filter.matches(event) or request_of(event) in matching_ids)
    ]


def wall_ms(event: Event) -> int:
    """Return the wall-clock part of an event's clock, or 0 if it is malformed."""
    try:
        return Timestamp.parse(event.clock).wall_ms
    except ValueError:
        return 0


def merge_events(sources: Iterable[Iterable[Event]]) -> list[Event]:
    """Merge the events of several processes in an order that respects causality.

    An event that is in several sources, such as a log file and the process itself, is
    included once.
    """
    unique = {(e.clock, e.process, e.name): e for source in sources for e in source}
    return sorted(unique.values(), key=lambda event: (event.clock, event.process))


def format_time(event: Event) -> str:
    """Return the UTC time of day of an event with milliseconds."""
    at = datetime.datetime.fromtimestamp(wall_ms(event) / 1000, datetime.UTC)
    return at.strftime("%H:%M:%S.") + f"{at.microsecond // 1000:03d}"


def render_text(events: Sequence[Event]) -> str:
    """Return one line per event, with aligned columns."""
    process_width = max((len(event.process) for event in events), default=0)
    name_width = max((len(event.name) for event in events), default=0)
    lines = []
    for event in events:
        details = " ".join(f"{k}={v}" for k, v in event.fields.items())
        head = (
            f"{format_time(event)}  {event.process:<{process_width}}  "
            f"{event.name:<{name_width}}"
        )
        lines.append(f"{head}  {details}".rstrip())
    return "\n".join(lines)


def render_json(events: Sequence[Event]) -> str:
    """Return the events as a JSON array."""
    return msgspec.json.encode([attrs.asdict(event) for event in events]).decode()


def is_failure(event: Event) -> bool:
    """Whether an event reports a failure or an unknown outcome."""
    verdict = event.fields.get("verdict", "")
    has_failure_word = any(word in event.name for word in FAILURE_WORDS)
    return has_failure_word or verdict == "may-have-run"


def render_html(events: Sequence[Event]) -> str:
    """Return a self-contained HTML page with a lane per process, time downwards.

    A line joins the events of each request, to show its path across the processes.
    """
    lanes = sorted({event.process for event in events})
    columns = {process: index for index, process in enumerate(lanes)}
    height = MARGIN_PX * 2 + ROW_HEIGHT_PX * len(events)
    width = TIME_COLUMN_WIDTH_PX + LANE_WIDTH_PX * max(1, len(lanes))
    parts = [_lane_elements(process, columns[process], height) for process in lanes]
    parts += _request_polylines(events, columns)
    for row, event in enumerate(events):
        parts.append(_event_marker(event, row, _x_px(columns, event)))
    svg = (
        f'<svg width="{width}" height="{height}" role="img" '
        f'aria-label="timeline">{"".join(parts)}</svg>'
    )
    return PAGE_TEMPLATE.format(count=len(events), processes=len(lanes), svg=svg)


def _x_px(columns: dict[str, int], event: Event) -> int:
    return TIME_COLUMN_WIDTH_PX + columns[event.process] * LANE_WIDTH_PX + DOT_RADIUS_PX


def _y_px(row: int) -> int:
    return MARGIN_PX + ROW_HEIGHT_PX * row + ROW_HEIGHT_PX // 2


def _lane_elements(process: str, column: int, height: int) -> str:
    x = TIME_COLUMN_WIDTH_PX + column * LANE_WIDTH_PX + DOT_RADIUS_PX
    return (
        f'<text class="lane" x="{x}" y="20">{html.escape(process)}</text>'
        f'<line class="lane" x1="{x}" y1="{MARGIN_PX - 10}" x2="{x}" y2="{height}"/>'
    )


def _request_polylines(events: Sequence[Event], columns: dict[str, int]) -> list[str]:
    points: dict[str, list[str]] = {}
    for row, event in enumerate(events):
        request_id = event.fields.get("request_id")
        if request_id:
            point = f"{_x_px(columns, event)},{_y_px(row)}"
            points.setdefault(request_id, []).append(point)
    return [
        f'<polyline class="request" data-request="{html.escape(request_id)}" '
        f'points="{" ".join(request_points)}"/>'
        for request_id, request_points in points.items()
    ]


def _event_marker(event: Event, row: int, x: int) -> str:
    css_class = "failure" if is_failure(event) else "event"
    y = _y_px(row)
    summary_fields = [
        f"{k}={event.fields[k]}" for k in SUMMARY_FIELDS if k in event.fields
    ]
    details = "\n".join(f"{k}={v}" for k, v in event.fields.items())
    return (
        f'<g class="{css_class}"><title>{html.escape(details)}</title>'
        f'<text class="time" x="0" y="{y + 4}">{format_time(event)}</text>'
        f'<circle cx="{x}" cy="{y}" r="{DOT_RADIUS_PX}"/>'
        f'<text class="name" x="{x + 12}" y="{y}">{html.escape(event.name)}</text>'
        f'<text class="detail" x="{x + 12}" y="{y + 12}">'
        f"{html.escape(' '.join(summary_fields)[:46])}</text></g>"
    )


PAGE_TEMPLATE = """<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>foxtailcourse timeline</title>
<style>
body {{ font: 13px sans-serif; margin: 1em; background: #fff; color: #222; }}
line.lane {{ stroke: #ccc; }} text.lane {{ font-weight: bold; }}
text.time {{ font-family: monospace; fill: #666; }}
text.detail {{ font-size: 10px; fill: #666; }}
polyline.request {{ fill: none; stroke: #4a7fb5; stroke-opacity: 0.5; }}
g.event circle {{ fill: #4a7fb5; }}
g.failure circle {{ fill: #c0392b; }} g.failure text.name {{ fill: #c0392b; }}
</style></head><body>
<h1>Timeline</h1>
<p>{count} events of {processes} processes, oldest first. A line joins the events of one
request; red marks a failure or an unknown outcome; hover over an event to see all its
fields.</p>
{svg}
</body></html>
"""
