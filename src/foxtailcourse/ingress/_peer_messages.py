"""Messages between entries, one a datagram.

Datagrams are lost at times, so each message is either repeated or stands for an update
whose loss costs efficiency and nothing else.
"""

import msgspec


class LoadsUpdate(msgspec.Struct, array_like=True, tag="loads"):
    """Loads that one entry has put on backend servers.

    Parameters
    ----------
    vm : str
        The entry.
    rows : list
        Server, prompt tokens to read, requests in flight, short ones among them.
    """

    vm: str
    rows: list[tuple[str, int, int, int]]


class WeightsUpdate(msgspec.Struct, array_like=True, tag="weights"):
    """What the holder of the orders knows of loads of weights.

    Parameters
    ----------
    fence : int
        Fencing token of the holder; a higher one replaces the state of a lower one.
    loading : list of str
        Backend servers that load or are about to.
    loaded : list
        Server, its start in ms, model and version that it has reported.
    """

    fence: int
    loading: list[str]
    loaded: list[tuple[str, int, str, int]]


class CacheUpdate(msgspec.Struct, array_like=True, tag="cache"):
    """Cache events of one backend server or KV-cache store.

    Parameters
    ----------
    source : str
        The cache.
    epoch : int
        Changes when the cache was emptied.
    rows : list
        Salt, part and tokens that are held of it now.
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
    """Return the message in a datagram; raises msgspec.DecodeError."""
    return msgspec.msgpack.decode(data, type=Message)
