"""Decoding of records, messages and bodies that other processes wrote."""

from foxtailcourse.decoding._decoding import (
    MAX_FLOAT,
    MAX_INTEGER,
    MIN_INTEGER,
    MalformedDataError,
    decode_json,
    decode_msgpack,
    decode_whole_number,
)

__all__ = [
    "MAX_FLOAT",
    "MAX_INTEGER",
    "MIN_INTEGER",
    "MalformedDataError",
    "decode_json",
    "decode_msgpack",
    "decode_whole_number",
]
