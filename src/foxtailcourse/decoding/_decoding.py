"""Decoding that fails in one way only, whatever the bytes are."""

import re
from collections.abc import Callable, Iterable
from typing import Any, TypeVar, overload

import attrs
import msgspec

T = TypeVar("T")

# Bounds of whole numbers that are decoded; each can be encoded again. Digests and
# identifiers of leases are unsigned.
MIN_INTEGER, MAX_INTEGER = -(2**63), 2**64 - 1
# Largest magnitude of a float that is decoded. Sums and products of some are finite.
MAX_FLOAT = 2.0**63
# Digits of the longest whole number that is decoded.
MAX_DIGITS = 18

# Only data that matches may hold a number that is out of range. To search 0.9 MB of
# cache events takes 22 ms, to decode them 10 ms, and to check each value far more.
_LARGE_JSON_NUMBER = re.compile(rb"[:,\[\s]-?[0-9](?:[0-9]{18}|[0-9.]*[eE])")
# 64-bit and 32-bit floats from 2**63, inf and nan.
_LARGE_MSGPACK_NUMBER = re.compile(
    rb"\xcb(?:[\x43\xc3][\xe0-\xff]|[\x44-\x7f\xc4-\xff])|\xca[\x5f-\x7f\xdf-\xff]"
)


class MalformedDataError(ValueError):
    """Data cannot be decoded, has another type or a number that is out of range."""


@overload
def decode_json(
    data: bytes | str, kind: type[T], *, max_depth: int | None = None
) -> T: ...


@overload
def decode_json(
    data: bytes | str, kind: Any = Any, *, max_depth: int | None = None
) -> Any: ...


def decode_json(
    data: bytes | str, kind: Any = Any, *, max_depth: int | None = None
) -> Any:
    """Decode JSON.

    Parameters
    ----------
    data : bytes or str
        The encoded value.
    kind : type
        Type of the value.
    max_depth : int or None
        Largest number of lists and dicts in each other, for values of any type that
        are encoded again or followed by recursion; None if the type bounds it.

    Returns
    -------
    object
        The value, whose whole numbers are from MIN_INTEGER to MAX_INTEGER and whose
        floats are finite and at most MAX_FLOAT in magnitude.

    Raises
    ------
    MalformedDataError
        If the data is no JSON, nested too deeply or not of this type, or if a number is
        out of range.
    """
    if isinstance(data, str):
        data = data.encode("utf-8", "surrogatepass")
    # The space stands for the separator before a number that is the whole value.
    value = _decode(msgspec.json.decode, b" " + data, kind, _LARGE_JSON_NUMBER)
    if max_depth is not None:
        _check_depth(value, max_depth)
    return value


@overload
def decode_msgpack(data: bytes, kind: type[T], *, any_float: bool = False) -> T: ...


@overload
def decode_msgpack(data: bytes, kind: Any = Any, *, any_float: bool = False) -> Any: ...


def decode_msgpack(data: bytes, kind: Any = Any, *, any_float: bool = False) -> Any:
    """Decode MessagePack; see ``decode_json``.

    With ``any_float``, floats may have any value, for messages whose rows are checked
    one by one.
    """
    large_number = None if any_float else _LARGE_MSGPACK_NUMBER
    return _decode(msgspec.msgpack.decode, data, kind, large_number)


def decode_whole_number(text: str) -> int | None:
    """Return a whole number of at most MAX_DIGITS decimal digits, or None."""
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    return int(text)


def _decode(
    decode: Callable[..., Any],
    data: bytes,
    kind: Any,
    large_number: re.Pattern[bytes] | None,
) -> Any:
    try:
        value = decode(data, type=kind)
    except (ValueError, RecursionError, OverflowError) as exc:
        # DecodeError and UnicodeDecodeError are value errors.
        raise MalformedDataError(str(exc)) from exc
    if large_number is not None and large_number.search(data):
        _check_numbers(value)
    return value


def _check_numbers(value: Any) -> None:
    """Raise MalformedDataError for a number that is out of range.

    Neither this nor ``_check_depth`` recurs, as a deep value would exceed the limit.
    """
    pending = [value]
    while pending:
        each = pending.pop()
        # The comparison with nan is false, too.
        if (isinstance(each, int) and not MIN_INTEGER <= each <= MAX_INTEGER) or (
            isinstance(each, float) and not abs(each) <= MAX_FLOAT
        ):
            raise MalformedDataError("a number is out of range")
        pending += _children(each)


def _check_depth(value: Any, max_depth: int) -> None:
    level, depth = [value], 0
    while level := [child for each in level for child in _children(each)]:
        depth += 1
        if depth > max_depth:
            raise MalformedDataError(f"more than {max_depth} levels")


def _children(value: Any) -> Iterable[Any]:
    if isinstance(value, (list, tuple, set, frozenset)):
        return value
    if isinstance(value, dict):
        return [*value.keys(), *value.values()]
    if isinstance(value, msgspec.Struct):
        return msgspec.structs.astuple(value)
    if attrs.has(type(value)):
        return attrs.astuple(value, recurse=False)
    return ()
