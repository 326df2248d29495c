"""Logs, clocks, the event ring buffer and metrics."""

from foxtailcourse.observe._clock import HybridClock, Timestamp
from foxtailcourse.observe._events import Event, EventLog, format_event, parse_event
from foxtailcourse.observe._metrics import Metrics

__all__ = [
    "Event",
    "EventLog",
    "HybridClock",
    "Metrics",
    "Timestamp",
    "format_event",
    "parse_event",
]
