"""Logs, clocks, the event ring buffer and metrics."""

from foxtailcourse.observe._clock import HybridClock, Timestamp
from foxtailcourse.observe._events import Event, EventLog, format_event, parse_event
from foxtailcourse.observe._metrics import Metrics
from foxtailcourse.observe._timeline import (
    Filter,
    merge_events,
    render_html,
    render_json,
    render_text,
)

__all__ = [
    "Event",
    "EventLog",
    "Filter",
    "HybridClock",
    "Metrics",
    "Timestamp",
    "format_event",
    "merge_events",
    "parse_event",
    "render_html",
    "render_json",
    "render_text",
]
