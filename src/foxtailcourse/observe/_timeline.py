"""Merging, filtering and showing the events of several processes."""

import datetime
import html
from collections.abc import Iterable, Sequence

import attrs
import msgspec

from foxtailcourse.observe._clock import Timestamp
from foxtailcourse.observe._events import Event

LANE_WIDTH = 260
ROW_HEIGHT = 34
TIME_WIDTH = 120
MARGIN = 40
DOT_RADIUS = 5
FAILURE_WORDS = ("fail", "broken", "lost", "error", "refused", "unreachable", "crash")
SHOWN_FIELDS = ("request_id", "backend_server", "verdict", "reason", "code")


@attrs.frozen(kw_only=True)
class EventFilter:
    """Which events to keep; an empty field keeps all.

    Parameters
    ----------
    request_id, client_account, backend_server : str
        Exact values of the event's fields.
    since_ms, until_ms : int
        Inclusive bounds of the wall part of the clock, in milliseconds since 1970;
        0 for no bound.
    """

    request_id: str = ""
    client_account: str = ""
    backend_server: str = ""
    since_ms: int = 0
    until_ms: int = 0

    def within(self, event: Event) -> bool:
        """Whether an event lies between the times."""
        at_ms = wall_ms(event)
        return at_ms >= self.since_ms and (not self.until_ms or at_ms <= self.until_ms)

    def names(self, event: Event) -> bool:
        """Whether an event itself carries all wanted values."""
        vm = event.process.rpartition("/")[2]
        servers = {event.fields.get("backend_server"), vm}
        return (
            self.request_id in ("", event.fields.get("request_id"))
            and self.client_account in ("", event.fields.get("client_account"))
            and (not self.backend_server or self.backend_server in servers)
        )


def select_events(events: Sequence[Event], kept: EventFilter) -> list[Event]:
    """Return the events that a filter keeps, in the same order.

    If one event of a request carries the wanted values, all events of that request
    are kept, so that its whole way shows. Events that know only the attempt belong to
    the request that made the attempt.
    """
    requests = {}
    for event in events:
        if "attempt_id" in event.fields and "request_id" in event.fields:
            requests[event.fields["attempt_id"]] = event.fields["request_id"]

    def request_of(event: Event) -> str | None:
        attempt_id = event.fields.get("attempt_id", "")
        return event.fields.get("request_id") or requests.get(attempt_id)

    wanted = {request_of(event) for event in events if kept.names(event)} - {None}
    return [
        event
        for event in events
        if kept.within(event) and (kept.names(event) or request_of(event) in wanted)
    ]


def wall_ms(event: Event) -> int:
    """Return the wall part of an event's clock, 0 if the clock is malformed."""
    try:
        return Timestamp.parse(event.clock).wall_ms
    except ValueError:
        return 0


def merge_events(sources: Iterable[Iterable[Event]]) -> list[Event]:
    """Merge the events of several processes in an order that respects causality.

    Events that several sources hold, such as a log file and the process itself, are
    kept once.
    """
    unique = {(e.clock, e.process, e.name): e for source in sources for e in source}
    return sorted(unique.values(), key=lambda each: (each.clock, each.process))


def format_time(event: Event) -> str:
    """Return the UTC time of day of an event with milliseconds."""
    at = datetime.datetime.fromtimestamp(wall_ms(event) / 1000, datetime.UTC)
    return at.strftime("%H:%M:%S.") + f"{at.microsecond // 1000:03d}"


def render_text(events: Sequence[Event]) -> str:
    """Return one aligned line for each event."""
    width = max((len(each.process) for each in events), default=0)
    names = max((len(each.name) for each in events), default=0)
    lines = []
    for each in events:
        details = " ".join(f"{k}={v}" for k, v in each.fields.items())
        head = f"{format_time(each)}  {each.process:<{width}}  {each.name:<{names}}"
        lines.append(f"{head}  {details}".rstrip())
    return "\n".join(lines)


def render_json(events: Sequence[Event]) -> str:
    """Return the events as a JSON array."""
    return msgspec.json.encode([attrs.asdict(each) for each in events]).decode()


def is_failure(event: Event) -> bool:
    """Whether an event reports something that went wrong."""
    verdict = event.fields.get("verdict", "")
    named = any(word in event.name for word in FAILURE_WORDS)
    return named or verdict == "may-have-run"


def render_html(events: Sequence[Event]) -> str:
    """Return one self-contained page: a lane for each process, time downwards.

    Lines join the events of one request, so that its way across the processes shows.
    """
    lanes = sorted({each.process for each in events})
    columns = {process: index for index, process in enumerate(lanes)}
    height = MARGIN * 2 + ROW_HEIGHT * len(events)
    width = TIME_WIDTH + LANE_WIDTH * max(1, len(lanes))
    parts = [_lane(process, columns[process], height) for process in lanes]
    parts += _request_lines(events, columns)
    for row, event in enumerate(events):
        parts.append(_mark(event, row, _x(columns, event)))
    svg = (
        f'<svg width="{width}" height="{height}" role="img" '
        f'aria-label="time line">{"".join(parts)}</svg>'
    )
    return PAGE.format(count=len(events), processes=len(lanes), svg=svg)


def _x(columns: dict[str, int], event: Event) -> int:
    return TIME_WIDTH + columns[event.process] * LANE_WIDTH + DOT_RADIUS


def _y(row: int) -> int:
    return MARGIN + ROW_HEIGHT * row + ROW_HEIGHT // 2


def _lane(process: str, column: int, height: int) -> str:
    x = TIME_WIDTH + column * LANE_WIDTH + DOT_RADIUS
    return (
        f'<text class="lane" x="{x}" y="20">{html.escape(process)}</text>'
        f'<line class="lane" x1="{x}" y1="{MARGIN - 10}" x2="{x}" y2="{height}"/>'
    )


def _request_lines(events: Sequence[Event], columns: dict[str, int]) -> list[str]:
    points: dict[str, list[str]] = {}
    for row, event in enumerate(events):
        request_id = event.fields.get("request_id")
        if request_id:
            point = f"{_x(columns, event)},{_y(row)}"
            points.setdefault(request_id, []).append(point)
    return [
        f'<polyline class="request" data-request="{html.escape(request_id)}" '
        f'points="{" ".join(each)}"/>'
        for request_id, each in points.items()
    ]


def _mark(event: Event, row: int, x: int) -> str:
    kind = "failure" if is_failure(event) else "event"
    y = _y(row)
    shown = [f"{k}={event.fields[k]}" for k in SHOWN_FIELDS if k in event.fields]
    details = "\n".join(f"{k}={v}" for k, v in event.fields.items())
    return (
        f'<g class="{kind}"><title>{html.escape(details)}</title>'
        f'<text class="time" x="0" y="{y + 4}">{format_time(event)}</text>'
        f'<circle cx="{x}" cy="{y}" r="{DOT_RADIUS}"/>'
        f'<text class="name" x="{x + 12}" y="{y}">{html.escape(event.name)}</text>'
        f'<text class="detail" x="{x + 12}" y="{y + 12}">'
        f"{html.escape(' '.join(shown)[:46])}</text></g>"
    )


PAGE = """<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>foxtailcourse time line</title>
<style>
body {{ font: 13px sans-serif; margin: 1em; background: #fff; color: #222; }}
line.lane {{ stroke: #ccc; }} text.lane {{ font-weight: bold; }}
text.time {{ font-family: monospace; fill: #666; }}
text.detail {{ font-size: 10px; fill: #666; }}
polyline.request {{ fill: none; stroke: #4a7fb5; stroke-opacity: 0.5; }}
g.event circle {{ fill: #4a7fb5; }}
g.failure circle {{ fill: #c0392b; }} g.failure text.name {{ fill: #c0392b; }}
</style></head><body>
<h1>Time line</h1>
<p>{count} events of {processes} processes, oldest first. A line joins the events of one
request; red marks a failure or an unknown outcome; hover over an event for all its
fields.</p>
{svg}
</body></html>
"""
