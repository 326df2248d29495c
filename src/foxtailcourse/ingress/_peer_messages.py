"""Messages between entries, one per datagram.

Datagrams may be lost, so each message is either sent periodically or its loss only
costs efficiency.
"""

import msgspec

from foxtailcourse.decoding import decode_msgpack


class LoadsUpdate(msgspec.Struct, array_like=True, tag="loads"):
    """Load of backend servers by the requests of the sending entry.

    The other two messages with loads have the same rows.

    Parameters
    ----------
    rows : list of tuple
        Identifier of the server, prompt tokens to prefill, requests in flight and the
        number of short prompts among them.
    held : list of int
        Held tokens of each row. Left out of the datagram if there are none, as in
        deployments that do not limit them.
    """

    rows: list[tuple[str, int, int, int]]
    held: list[int] = []


class DomainLoads(msgspec.Struct, array_like=True, tag="domain"):
    """Loads by all members of the sending relay, for other relays."""

    rows: list[tuple[str, int, int, int]]
    held: list[int] = []


class FleetLoads(msgspec.Struct, array_like=True, tag="fleet"):
    """Loads by all entries except the receiving one, from its relay."""

    rows: list[tuple[str, int, int, int]]
    held: list[int] = []


# Key, decayed sums at the time of sending, and decay time in milliseconds.
SumWireRow = tuple[str, list[float], int]


class SumsUpdate(msgspec.Struct, array_like=True, tag="sums"):
    """Decayed sums of the sending entry; see ``FleetSums``.

    The other two messages with sums have the same fields. Keys without a row keep the
    last one.

    Parameters
    ----------
    sent_ms : int
        Time of sending by the sender's clock in milliseconds; an older message does not
        replace a newer one.
    entries : int
        Number of entries that the sums cover.
    has_keys : bool
        Whether one of them keeps sums.
    is_urgent : bool
        Whether a relay passes the rows on at once.
    is_partial : bool
        Whether the sender has more rows than it sends in a period.
    rows : list of tuple
        Key, sums and decay time in milliseconds.
    """

    sent_ms: int
    entries: int
    has_keys: bool
    is_urgent: bool
    is_partial: bool
    rows: list[SumWireRow]


class DomainSums(SumsUpdate, array_like=True, tag="domain-sums"):
    """Sums of all members of the sending relay, for relays of other domains."""


class OtherSums(SumsUpdate, array_like=True, tag="other-sums"):
    """Sums of all entries except the receiving one, from its relay."""


class WeightsUpdate(msgspec.Struct, array_like=True, tag="weights"):
    """State of the weight loads, published by the leader.

    Parameters
    ----------
    fence : int
        Fencing token of the leader; state with a higher token replaces older state.
    loading : list of str
        Identifiers of the backend servers that load weights or are about to.
    loaded : list of tuple
        Identifier of the server, its start time in milliseconds, model and reported
        version.
    """

    fence: int
    loading: list[str]
    loaded: list[tuple[str, int, str, int]]


class CacheUpdate(msgspec.Struct, array_like=True, tag="cache"):
    """Cache events of one backend server or KV-cache store.

    Parameters
    ----------
    source : str
        Identifier of the backend server, or address of the store.
    epoch : int
        Epoch of the cache, which changes when it is emptied.
    rows : list of tuple
        Salt, part and number of its tokens that are now cached.
    """

    source: str
    epoch: int
    rows: list[tuple[str, str, int]]


class CacheBatch(msgspec.Struct, array_like=True, tag="caches"):
    """Cache events of several caches, from a relay to its members."""

    updates: list[CacheUpdate]


class SnapshotRequest(msgspec.Struct, array_like=True, tag="snapshot"):
    """Asks a relay for the known contents of all caches."""


class LeavingUpdate(msgspec.Struct, array_like=True, tag="leaving"):
    """A backend server said to the sending entry that it leaves.

    Parameters
    ----------
    server_id : str
        Identifier of the server.
    started_ms : int
        Its start time in milliseconds.
    """

    server_id: str
    started_ms: int


class LimitsUpdate(msgspec.Struct, array_like=True, tag="limits"):
    """What backend servers say of the requests per second that they take.

    Parameters
    ----------
    rows : list of tuple
        Identifier of the server, its start time in milliseconds, requests per second
        from all entries together (None without a limit) and the age of the statement
        in milliseconds.
    """

    rows: list[tuple[str, int, float | None, int]]


class BreaksUpdate(msgspec.Struct, array_like=True, tag="breaks"):
    """Requests without a second event that the sender lost as a server broke off.

    Parameters
    ----------
    server_id : str
        Identifier of the server.
    started_ms : int
        Its start time in milliseconds.
    begun : list of list of str
        Keys of each request that the server had begun to answer, or may have, and of
        the parts of its prompt.
    waiting : list of list of str
        The same of the others.
    ages_ms, waiting_ages_ms : list of int
        How long before it broke off each of these requests was sent, in milliseconds.
    """

    server_id: str
    started_ms: int
    begun: list[list[str]]
    waiting: list[list[str]]
    ages_ms: list[int] = []
    waiting_ages_ms: list[int] = []

    def __len__(self) -> int:
        return len(self.begun) + len(self.waiting)


class BlockedPartsUpdate(msgspec.Struct, array_like=True, tag="blocked"):
    """Requests with all of some parts are refused.

    Parameters
    ----------
    parts : list of str
        Keys of the parts.
    remaining_ms : int
        For how much longer, in milliseconds.
    times : int
        How many times the parts have been blocked so far.
    """

    parts: list[str]
    remaining_ms: int
    times: int


class TriedPartsUpdate(msgspec.Struct, array_like=True, tag="tried"):
    """The sender tries a request with parts whose block has ended.

    Parameters
    ----------
    parts : list of str
        Keys of the parts.
    age_ms : int
        How long ago it was sent to a server, in milliseconds.
    """

    parts: list[str]
    age_ms: int


class AnsweredPartsUpdate(msgspec.Struct, array_like=True, tag="answered"):
    """A server answered a request with parts that are blocked.

    Parameters
    ----------
    parts : list of str
        Keys of the parts.
    age_ms : int
        How long ago, in milliseconds.
    """

    parts: list[str]
    age_ms: int


class ConfigurationQuery(msgspec.Struct, array_like=True, tag="config?"):
    """Asks which version of the configuration an entry uses.

    Also answered if the sender is not registered, as one that has just started.
    """


class ConfigurationNotice(msgspec.Struct, array_like=True, tag="config"):
    """The version of the configuration that the sender uses.

    Parameters
    ----------
    version : int
        The operators' version number.
    """

    version: int


class OriginsUpdate(msgspec.Struct, array_like=True, tag="origins"):
    """What began streams, for the entries that own them.

    Parameters
    ----------
    rows : list of tuple
        Identifier of the caller's attempt that brought the first event, service and
        software version of the server.
    """

    rows: list[tuple[str, str, str]]


class OriginQuery(msgspec.Struct, array_like=True, tag="origin?"):
    """Asks an owner what began a stream.

    Parameters
    ----------
    request_id : str
        Identifier of the caller's attempt that brought the first event.
    """

    request_id: str


class OriginAnswer(msgspec.Struct, array_like=True, tag="origin"):
    """Answer of an owner.

    Parameters
    ----------
    request_id : str
        Identifier in the query.
    origin : tuple of str or None
        Service and software version of the server; None if the stream is unknown.
    """

    request_id: str
    origin: tuple[str, str] | None


Message = (
    LoadsUpdate
    | DomainLoads
    | FleetLoads
    | SumsUpdate
    | DomainSums
    | OtherSums
    | WeightsUpdate
    | CacheUpdate
    | CacheBatch
    | SnapshotRequest
    | LeavingUpdate
    | LimitsUpdate
    | BreaksUpdate
    | BlockedPartsUpdate
    | AnsweredPartsUpdate
    | TriedPartsUpdate
    | ConfigurationQuery
    | ConfigurationNotice
    | OriginsUpdate
    | OriginQuery
    | OriginAnswer
)
MAX_DATAGRAM_BYTES = 1400
# Operators' version numbers of the configuration and of weights are lower. One that is
# adopted outranks all others for good.
MAX_VERSION = 2**53
# Ages that others state count as at most this, a day: nothing that messages tell of is
# as old, and larger ages no longer fit a message in turn.
MAX_AGE_MS = 86_400_000


def encode(message: Message) -> bytes:
    """Return the datagram of a message."""
    if isinstance(message, LoadsUpdate | DomainLoads | FleetLoads) and not message.held:
        return msgspec.msgpack.encode((message.__struct_config__.tag, message.rows))
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> Message:
    """Return the message in a datagram.

    Raises
    ------
    MalformedDataError
        If the datagram is malformed.
    """
    # One float out of range leaves the other rows of a message usable.
    return decode_msgpack(data, Message, any_float=True)


def with_delay(message: Message, delay_ms: int) -> Message:
    """Return a message whose ages count a delay after its arrival.

    Parameters
    ----------
    message : Message
        The message; changed if it has ages.
    delay_ms : int
        Time from its arrival until it was read, in milliseconds.
    """
    match message:
        case LimitsUpdate(rows):
            message.rows = [(*row[:3], row[3] + delay_ms) for row in rows]
        case AnsweredPartsUpdate() | TriedPartsUpdate():
            message.age_ms += delay_ms
        case BlockedPartsUpdate():
            message.remaining_ms -= delay_ms
        case BreaksUpdate():
            message.ages_ms = [each + delay_ms for each in message.ages_ms]
            message.waiting_ages_ms = [
                each + delay_ms for each in message.waiting_ages_ms
            ]
    return message
