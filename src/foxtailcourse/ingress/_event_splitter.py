"""Splits a stream of server-sent events without changing its bytes."""

import re

EVENT_END = b"\n\n"
EVENT_ID = re.compile(rb"^id: ?(\d+)\s*$", re.MULTILINE)


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
        self._resume_after_id = int(last_id) if last_id.isdigit() else -1
        self._incomplete = b""

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk of the stream and return the events that it completes."""
        data = self._incomplete + chunk
        complete, found, self._incomplete = data.rpartition(EVENT_END)
        if not found:
            return b""
        complete += EVENT_END
        ids = EVENT_ID.findall(complete)
        if ids:
            self.last_id = max(self.last_id, ids[-1].decode(), key=_number)
        if ids and int(ids[0]) <= self._resume_after_id:
            complete = b"".join(
                each + EVENT_END
                for each in complete.split(EVENT_END)[:-1]
                if not self._was_forwarded(each)
            )
        return complete

    def flush(self) -> bytes:
        """Return the bytes after the last complete event."""
        incomplete, self._incomplete = self._incomplete, b""
        return incomplete

    def _was_forwarded(self, event: bytes) -> bool:
        found = EVENT_ID.search(event)
        return found is not None and int(found[1]) <= self._resume_after_id


def _number(text: str) -> int:
    return int(text) if text.isdigit() else -1
