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
        self._skip_to = int(last_id) if last_id.isdigit() else -1
        self._rest = b""

    def feed(self, piece: bytes) -> bytes:
        """Take a piece and return the events that it completes."""
        data = self._rest + piece
        whole, found, self._rest = data.rpartition(EVENT_END)
        if not found:
            return b""
        whole += EVENT_END
        ids = EVENT_ID.findall(whole)
        if ids:
            self.last_id = max(self.last_id, ids[-1].decode(), key=_number)
        if ids and int(ids[0]) <= self._skip_to:
            whole = b"".join(
                each + EVENT_END
                for each in whole.split(EVENT_END)[:-1]
                if not self._seen(each)
            )
        return whole

    def end(self) -> bytes:
        """Return what follows the last whole event."""
        rest, self._rest = self._rest, b""
        return rest

    def _seen(self, event: bytes) -> bool:
        found = EVENT_ID.search(event)
        return found is not None and int(found[1]) <= self._skip_to


def _number(text: str) -> int:
    return int(text) if text.isdigit() else -1
