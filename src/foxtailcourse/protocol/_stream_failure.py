"""Error event at the end of a stream from an agent to an entry."""

import attrs
import msgspec

from foxtailcourse.decoding import MalformedDataError, decode_json


@attrs.frozen(kw_only=True)
class StreamFailure:
    """Why an agent ends a stream that has started.

    Parameters
    ----------
    code, message : str
        Error code and description.
    crashed_run : int
        As for ``Reply``.
    """

    code: str = ""
    message: str = ""
    crashed_run: int = 0

    def to_data(self) -> str:
        """Return the data of the error event."""
        error = {"message": self.message, "type": "server_error", "code": self.code}
        value = {"error": error, "crashed_run": self.crashed_run}
        return msgspec.json.encode(value).decode("utf-8")

    @classmethod
    def from_data(cls, data: str) -> "StreamFailure":
        """Parse the data of an error event, which may be malformed."""
        try:
            event = decode_json(data, _Event)
        except MalformedDataError:
            # The stream has failed in any case; what there is goes into the log.
            return cls(message=data[:200])
        return cls(
            code=event.error.code,
            message=event.error.message[:200],
            crashed_run=event.crashed_run,
        )


class _Error(msgspec.Struct):
    message: str = ""
    code: str = ""


class _Event(msgspec.Struct):
    error: _Error
    crashed_run: int = 0
