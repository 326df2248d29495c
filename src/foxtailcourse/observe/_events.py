"""Event log: one line of key=value pairs for each event, and a ring buffer."""

import json
import re
from collections import deque
from collections.abc import Iterator

import attrs
from absl import logging

from foxtailcourse.observe._clock import HybridClock

RING_EVENTS = 4096
MAX_VALUE_CHARS = 300
PLAIN_VALUE = re.compile(r"[A-Za-z0-9_.:/@+*,;()%-]+", re.ASCII)
PAIR = re.compile(r'([a-z_][a-z0-9_]*)=("(?:[^"\\]|\\.)*"|[^\s"]+)', re.ASCII)


@attrs.frozen
class Event:
    """One event of one process.

    Parameters
    ----------
    clock : str
        Hybrid logical clock reading.
    process : str
        Name of the process.
    name : str
        Event name; all names are listed in ``docs/events.md``.
    fields : dict of str to str
        Details, such as ``request_id``.
    """

    clock: str
    process: str
    name: str
    fields: dict[str, str]


def _quote(value: str) -> str:
    value = value[:MAX_VALUE_CHARS]
    if PLAIN_VALUE.fullmatch(value):
        return value
    return json.dumps(value)


def format_event(event: Event) -> str:
    """Return the log line of an event, without a newline."""
    head = {"clock": event.clock, "process": event.process, "event": event.name}
    return " ".join(f"{k}={_quote(v)}" for k, v in (head | event.fields).items())


def parse_event(line: str) -> Event | None:
    """Return the event of a log line, or None if the line holds none."""
    fields = {}
    for key, value in PAIR.findall(line):
        try:
            fields[key] = json.loads(value) if value.startswith('"') else value
        except ValueError:
            return None
    if not {"clock", "process", "event"} <= fields.keys():
        return None
    clock, process = fields.pop("clock"), fields.pop("process")
    return Event(clock, process, fields.pop("event"), fields)


class EventLog:
    """Writes events to the log and keeps the latest ones for the time line.

    Parameters
    ----------
    process : str
        Name of this process.
    clock : HybridClock
        Clock shared with the messages of the process.
    """

    def __init__(self, process: str, clock: HybridClock) -> None:
        self.process = process
        self.clock = clock
        self._ring: deque[Event] = deque(maxlen=RING_EVENTS)

    def emit(self, name: str, /, **fields: object) -> None:
        """Record an event; fields with the value None are left out."""
        texts = {
            k: str(v)[:MAX_VALUE_CHARS] for k, v in fields.items() if v is not None
        }
        event = Event(str(self.clock.tick()), self.process, name, texts)
        self._ring.append(event)
        logging.info("%s", format_event(event))

    def recent(self) -> Iterator[Event]:
        """Iterate over the kept events, oldest first."""
        return iter(tuple(self._ring))
