"""Messages between entries, one per datagram.

Datagrams may be lost, so each message is either sent periodically or its loss only
costs efficiency.
"""

import msgspec


class LoadsUpdate(msgspec.Struct, array_like=True, tag="loads"):
    """Load of backend servers by the requests of one entry.

    Parameters
    ----------
    vm : str
        VM of the entry.
    rows : list of tuple
        Identifier of the server, prompt tokens to prefill, requests in flight and the
        number of short prompts among them.
    """

    vm: str
    rows: list[tuple[str, int, int, int]]


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


Message = LoadsUpdate | WeightsUpdate | CacheUpdate
MAX_DATAGRAM_BYTES = 1400


def encode(message: Message) -> bytes:
    """Return the datagram of a message."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> Message:
    """Return the message in a datagram.

    Raises
    ------
    msgspec.DecodeError
        If the datagram is malformed.
    """
    return msgspec.msgpack.decode(data, type=Message)
