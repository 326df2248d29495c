"""Checks that make a relayed stream complete and in order."""

from typing import Any

import attrs
import msgspec

from foxtailcourse.http import SseEvent

END_EVENT = "end"
ERROR_EVENT = "error"


class StreamError(Exception):
    """An agent's stream is not the contiguous continuation that was asked for."""


class _End(msgspec.Struct):
    count: int
    attempt_id: str


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta | None = None


class _Chunk(msgspec.Struct):
    choices: list[_Choice] = []


def chunk_text(data: str) -> str:
    """Return the text in one OpenAI stream chunk.

    Raises
    ------
    StreamError
        If the data is not a chunk.
    """
    try:
        chunk = msgspec.json.decode(data, type=_Chunk)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise StreamError(f"event is not a chunk: {exc}") from exc
    return "".join(
        each.delta.content or "" for each in chunk.choices if each.delta is not None
    )


@attrs.define
class Delivery:
    """What the caller of a stream has received so far, over all attempts.

    Parameters
    ----------
    next_id : int
        Number of the next event; equals the number of events delivered.
    texts : list of str
        Text of each delivered event.
    started : bool
        Whether the head of the response was sent.
    version : str
        Weights version of the delivered events.
    """

    next_id: int = 0
    texts: list[str] = attrs.field(factory=list)
    started: bool = False
    version: str = ""

    def deliver(self, text: str) -> None:
        """Note one delivered event."""
        self.next_id += 1
        self.texts.append(text)

    def text(self) -> str:
        """Return the whole delivered text."""
        return "".join(self.texts)


class StreamChecker:
    """Checks the events of one attempt.

    Parameters
    ----------
    attempt_id : str
        Identifier that the end must carry.
    first_id : int
        Number of the first event; above 0 when the attempt continues a stream.
    """

    def __init__(self, attempt_id: str, first_id: int = 0) -> None:
        self._attempt_id = attempt_id
        self._next_id = first_id
        self.ended = False

    def check(self, event: SseEvent) -> bool:
        """Check one event; return whether it is to be relayed.

        Raises
        ------
        StreamError
            On a gap, a duplicate, anything after the end, an end of another attempt
            or with another count, or an error that the agent reports.
        """
        if self.ended:
            raise StreamError("event after the end")
        if event.event == END_EVENT:
            self._check_end(event)
            return False
        if event.event == ERROR_EVENT:
            raise StreamError(f"agent reports {event.data[:200]}")
        if event.event or event.id != str(self._next_id):
            raise StreamError(f"expected event {self._next_id}, got {event.id[:20]!r}")
        self._next_id += 1
        return True

    def _check_end(self, event: SseEvent) -> None:
        try:
            end: Any = msgspec.json.decode(event.data, type=_End)
        except (msgspec.DecodeError, RecursionError) as exc:
            raise StreamError(f"bad end: {exc}") from exc
        if end.attempt_id != self._attempt_id:
            raise StreamError("end of another attempt")
        if end.count != self._next_id:
            raise StreamError(f"end after {self._next_id} events counts {end.count}")
        self.ended = True
