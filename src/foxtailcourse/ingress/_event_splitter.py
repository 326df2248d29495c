"""Splits a stream of server-sent events without changing its bytes."""

import re

EVENT_END = b"\n\n"
EVENT_ID = re.compile(rb"^id: ?(\d+)\s*$", re.MULTILINE)


class EventSplitter:
    """Passes on whole events, so that a cut stream can go on after its last one.

    Parameters
    ----------
    last_id : str
        Events up to this one were passed on before and are left out; empty for none.
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self._resume_after_id = int(last_id) if last_id.isdigit() else -1
        self._incomplete = b""

    def feed(self, chunk: bytes) -> bytes:
        """Take a piece and return the events that it completes."""
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
        """Return what follows the last whole event."""
        incomplete, self._incomplete = self._incomplete, b""
        return incomplete

    def _was_forwarded(self, event: bytes) -> bool:
        found = EVENT_ID.search(event)
        return found is not None and int(found[1]) <= self._resume_after_id


def _number(text: str) -> int:
    return int(text) if text.isdigit() else -1
