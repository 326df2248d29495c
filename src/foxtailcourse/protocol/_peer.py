"""Messages of the gRPC service ``foxtailcourse.Peer``, encoded as msgpack."""

from typing import Any, TypeVar

import attrs
import msgspec

T = TypeVar("T")

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
PAGE_BYTES = 128 * 1024
BUCKETS = 256


class PeerMessageError(ValueError):
    """A peer's message is malformed."""


@attrs.frozen(kw_only=True)
class Sender:
    """What every message says about its sender.

    Parameters
    ----------
    vm : str
        VM of the sender, empty for an operator's tool.
    revision : int
        Highest platform revision of a record that the sender has seen.
    ready : bool
        Whether the sender holds a configuration.
    watching : bool
        Whether the sender watches the platform itself.
    current : bool
        Whether the sender's latest call to the platform succeeded.
    clock : str
        Hybrid logical clock of the sender.
    """

    vm: str
    revision: int = 0
    ready: bool = False
    watching: bool = False
    current: bool = False
    clock: str = ""


@attrs.frozen(kw_only=True)
class RecordMessage:
    """One configuration record; ``value`` is the JSON kept in the platform."""

    key: str
    value: bytes
    mod_revision: int = 0


@attrs.frozen(kw_only=True)
class SnapshotRequest:
    """Asks for the records of a range of buckets.

    Parameters
    ----------
    sender : Sender
        Who asks.
    digests : tuple of int, shape (BUCKETS,)
        The asker's digest of each bucket of keys; empty for all records.
    first_bucket : int
        Where the page begins.
    keys : tuple of str
        Only these keys, whatever the digests; empty for all.
    """

    sender: Sender
    digests: tuple[int, ...] = ()
    first_bucket: int = 0
    keys: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class SnapshotReply:
    """One page of records from the buckets that differ.

    Parameters
    ----------
    sender : Sender
        Who answers.
    records : tuple of RecordMessage
        The records of the page.
    next_bucket : int
        Where the next page begins; BUCKETS if this is the last one.
    """

    sender: Sender
    records: tuple[RecordMessage, ...] = ()
    next_bucket: int = BUCKETS


@attrs.frozen(kw_only=True)
class FollowRequest:
    """Asks for the differing records, then for each change."""

    sender: Sender
    digests: tuple[int, ...] = ()


@attrs.frozen(kw_only=True)
class FollowEvent:
    """Records, or none as a sign of life.

    Parameters
    ----------
    sender : Sender
        Who sends.
    records : tuple of RecordMessage
        Changed records.
    synced : bool
        Whether all records that differed at the start have been sent.
    """

    sender: Sender
    records: tuple[RecordMessage, ...] = ()
    synced: bool = True


@attrs.frozen(kw_only=True)
class ExchangeMessage:
    """Summaries by topic, sent both ways; each topic has its own format."""

    sender: Sender
    topics: dict[str, bytes] = attrs.field(factory=dict)


def encode_message(message: Any) -> bytes:
    """Return the wire form of a message."""
    return msgspec.msgpack.encode(message)


def decode_message(data: bytes, kind: type[T]) -> T:
    """Decode a message; raises PeerMessageError if it is malformed."""
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as exc:
        raise PeerMessageError(f"malformed {kind.__name__}: {exc}") from exc
