"""Summaries that entries exchange, each for one topic."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import Protocol, TypeVar

from foxtailcourse.decoding import MalformedDataError, decode_msgpack

SendSummaries = Callable[[str, dict[str, bytes]], Awaitable[dict[str, bytes]]]


class Summary(Protocol):
    """Interface of a decoded summary."""

    @property
    def entry(self) -> str:
        """VM of the entry that made it."""


S = TypeVar("S", bound=Summary)


class SummaryTopic(ABC):
    """One topic of the exchange between entries."""

    def handle_summary(self, vm: str, payload: bytes) -> bytes:
        """Apply another entry's summary and return the summary of this entry.

        Raises
        ------
        ValueError
            If the payload is malformed, or is the summary of an entry other than
            the sender.
        """
        self.apply_summary(vm, payload)
        return self.encode_summary()

    @abstractmethod
    def encode_summary(self) -> bytes:
        """Return the summary of this entry."""

    @abstractmethod
    def apply_summary(self, vm: str, payload: bytes) -> None:
        """Apply another entry's summary; raises ValueError as ``handle_summary``."""


def decode_summary(vm: str, payload: bytes, kind: type[S]) -> S:
    """Decode the summary of an entry.

    Raises
    ------
    ValueError
        If the payload is malformed, or is the summary of an entry other than the
        sender ``vm``.
    """
    try:
        summary = decode_msgpack(payload, kind)
    except MalformedDataError as exc:
        raise ValueError(f"{kind.__name__} of {vm} is malformed: {exc}") from exc
    if summary.entry != vm:
        raise ValueError(f"{vm} sent a {kind.__name__} of {summary.entry}")
    return summary
