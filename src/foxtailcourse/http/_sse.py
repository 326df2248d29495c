"""Server-sent events: formatting and bounded incremental parsing."""

from collections.abc import Iterator

import attrs

MAX_EVENT_BYTES = 1024 * 1024


class SseError(ValueError):
    """The bytes are not a valid event stream."""


@attrs.frozen
class SseEvent:
    """One event.

    Parameters
    ----------
    data : str
        Payload; several data lines are joined by newlines.
    event : str
        Event type, empty for the default.
    id : str
        Event identifier, empty if absent.
    """

    data: str
    event: str = ""
    id: str = ""


def format_sse(event: SseEvent) -> bytes:
    """Return the wire form of an event."""
    lines = []
    if event.id:
        lines.append(f"id: {event.id}")
    if event.event:
        lines.append(f"event: {event.event}")
    lines += [f"data: {line}" for line in event.data.split("\n")]
    return ("\n".join(lines) + "\n\n").encode("utf-8")


class SseParser:
    """Parses events from pieces of a byte stream."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def pending(self) -> bool:
        """Whether the stream stopped within an event."""
        return bool(self._buffer.strip())

    def feed(self, piece: bytes) -> Iterator[SseEvent]:
        """Take a piece and yield each event that it completes.

        Raises
        ------
        SseError
            If an event exceeds MAX_EVENT_BYTES or is not UTF-8.
        """
        self._buffer = (self._buffer + piece).replace(b"\r\n", b"\n")
        while b"\n\n" in self._buffer:
            block, self._buffer = self._buffer.split(b"\n\n", 1)
            event = self._parse(block)
            if event is not None:
                yield event
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise SseError("event is too long")

    def _parse(self, block: bytes) -> SseEvent | None:
        try:
            text = block.decode("utf-8")
        except UnicodeDecodeError as exc:
            raise SseError("event is not UTF-8") from exc
        data, kind, ident = [], "", ""
        for line in text.split("\n"):
            name, _, value = line.partition(":")
            value = value.removeprefix(" ")
            if name == "data":
                data.append(value)
            elif name == "event":
                kind = value
            elif name == "id":
                ident = value
        if not data and not kind:
            return None
        return SseEvent("\n".join(data), kind, ident)
