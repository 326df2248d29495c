"""Splits a stream of server-sent events without changing its bytes."""

import re

EVENT_END = b"\n\n"
# Longest event that a server may send.
MAX_EVENT_BYTES = 256 * 1024
EVENT_ID = re.compile(rb"^id: ?(\d+)\s*$", re.MULTILINE)
# A field that callers use; comments only keep a connection open.
EVENT_FIELD = re.compile(rb"^(?:id|data|event):", re.MULTILINE)


class EventTooLongError(ValueError):
    """A server sends an event that is longer than MAX_EVENT_BYTES."""


class EventSplitter:
    """Extracts complete events, so that an interrupted stream can be resumed.

    Parameters
    ----------
    last_id : str
        Identifier of the last event that was forwarded before. Events up to it are
        left out; empty if none was forwarded.
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        # Events up to this number were forwarded before; -1 if none was.
        self._resume_after_id = _event_number(last_id)
        self._incomplete = bytearray()

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk of the stream and return the events that it completes.

        Raises
        ------
        EventTooLongError
            If the event after them is too long.
        """
        buffer = self._incomplete
        searched_bytes = max(0, len(buffer) - len(EVENT_END) + 1)
        buffer += chunk
        separator_at = buffer.rfind(EVENT_END, searched_bytes)
        end = 0 if separator_at < 0 else separator_at + len(EVENT_END)
        complete = bytes(buffer[:end])
        del buffer[:end]
        if len(buffer) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"more than {MAX_EVENT_BYTES} bytes")
        if not complete:
            return b""
        ids = EVENT_ID.findall(complete)
        if ids:
            self.last_id = max(self.last_id, ids[-1].decode(), key=_event_number)
        if ids and int(ids[0]) <= self._resume_after_id:
            complete = b"".join(
                event + EVENT_END
                for event in complete.split(EVENT_END)[:-1]
                if not self._was_forwarded(event)
            )
        return complete

    @property
    def unfinished_bytes(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._incomplete)

    def flush(self) -> bytes:
        """Return the bytes after the last complete event."""
        incomplete, self._incomplete = self._incomplete, bytearray()
        return bytes(incomplete)

    def _was_forwarded(self, event: bytes) -> bool:
        match = EVENT_ID.search(event)
        return match is not None and int(match[1]) <= self._resume_after_id


def _event_number(event_id: str) -> int:
    """Return the number of an event identifier, or -1 if it has none."""
    return int(event_id) if event_id.isascii() and event_id.isdigit() else -1
