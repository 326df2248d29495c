"""Splits a stream of server-sent events without changing its bytes."""

import re
from collections.abc import Iterator

from foxtailcourse.decoding import decode_whole_number
from foxtailcourse.http import EVENT_END, ends_between_events

# Longest event that a server may send.
MAX_EVENT_BYTES = 256 * 1024
MAX_EVENT_END_BYTES = 4
EVENT_ID = re.compile(rb"(?<![^\r\n])id: ?(\d+)[ \t]*(?![^\r\n])")
# A field that callers use; comments only keep a connection open.
EVENT_FIELD = re.compile(rb"(?<![^\r\n])(?:id|data|event):")


class EventTooLongError(ValueError):
    """A server sends an event that is longer than MAX_EVENT_BYTES."""


class EventOrderError(ValueError):
    """The number of an event is not larger than that of the one before."""


class EventSplitter:
    """Extracts complete events, so that an interrupted stream can be resumed.

    The numbers of events rise, and may leave some out. A server that is to resume a
    stream may begin with the last event that was forwarded before; one that begins
    earlier runs the request anew, and its text does not fit.

    Parameters
    ----------
    last_id : str
        Identifier of the last event that was forwarded before, which is left out if
        the stream begins with it; empty if none was forwarded.
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        # Number of the last event; -1 if there was none.
        self._last_number = _event_number(last_id)
        self._may_repeat = self._last_number >= 0
        self._incomplete = bytearray()

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk of the stream and return the events that it completes.

        Raises
        ------
        EventTooLongError
            If the event after them is too long.
        EventOrderError
            If an event does not follow the one before. ``last_id`` is then that of an
            earlier call.
        """
        buffer = self._incomplete
        searched_bytes = max(0, len(buffer) - MAX_EVENT_END_BYTES + 1)
        buffer += chunk
        end = _last_event_end(buffer, searched_bytes)
        complete = bytes(buffer[:end])
        del buffer[:end]
        if len(buffer) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"more than {MAX_EVENT_BYTES} bytes")
        if not complete:
            return b""
        ids = EVENT_ID.findall(complete)
        return self._check_order(complete, ids) if ids else complete

    @property
    def unfinished_bytes(self) -> int:
        """Number of bytes of an event that has begun; 0 between events."""
        incomplete = self._incomplete
        return 0 if ends_between_events(incomplete) else len(incomplete)

    def flush(self) -> bytes:
        """Return the bytes after the last complete event."""
        incomplete, self._incomplete = self._incomplete, bytearray()
        return bytes(incomplete)

    def _check_order(self, events: bytes, ids: list[bytes]) -> bytes:
        """Return events with the given numbers, without the one forwarded before."""
        numbers = [_event_number(each.decode()) for each in ids]
        last_number, repeats = self._last_number, 0
        if self._may_repeat and numbers[0] == last_number:
            repeats = 1
        for number in numbers[repeats:]:
            if number <= last_number:
                raise EventOrderError(f"event {number} after event {last_number}")
            last_number = number
        if repeats:
            events = b"".join(
                each for each in _split(events) if not self._is_last_event(each)
            )
        if len(ids) > repeats:
            self.last_id = ids[-1].decode()
        self._last_number, self._may_repeat = last_number, False
        return events

    def _is_last_event(self, event: bytes) -> bool:
        match = EVENT_ID.search(event)
        return match is not None and (
            _event_number(match[1].decode()) == self._last_number
        )


def _last_event_end(buffer: bytearray, start: int) -> int:
    """Return where the last complete event ends; 0 if none ends after ``start``."""
    if b"\r" not in buffer:
        at = buffer.rfind(b"\n\n", start)
        return 0 if at < 0 else at + 2
    ends = [match.end() for match in EVENT_END.finditer(buffer, start)]
    return ends[-1] if ends else 0


def _split(events: bytes) -> Iterator[bytes]:
    """Yield complete events one by one, each with its end."""
    start = 0
    for match in EVENT_END.finditer(events):
        yield events[start : match.end()]
        start = match.end()


def _event_number(event_id: str) -> int:
    """Return the number of an event identifier, or -1 if it has none."""
    number = decode_whole_number(event_id)
    return -1 if number is None else number
