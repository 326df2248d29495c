"""Configuration records as they are kept in the platform and sent between processes."""

from typing import Any

import attrs
import msgspec

CONTRACTS = "contracts/"
BACKENDS = "backends/"
STOPS = "stops/"
MODELS = "models/"
SERVICES = "services/"
VMS = "vms/"
PREFIXES = (CONTRACTS, BACKENDS, STOPS, MODELS, SERVICES, VMS)


class RecordError(ValueError):
    """A record's text is malformed."""


@attrs.frozen(kw_only=True)
class Record:
    """One record.

    Parameters
    ----------
    key : str
        Key in the platform's service, such as ``contracts/teatro``.
    generation : int
        Grows by 1 with each accepted write of the key.
    write_id : str
        Random identifier of the write; settles a write whose answer was lost.
    deleted : bool
        Whether the record marks a deletion.
    mod_revision : int
        Platform revision of the write; 0 before the platform accepted it.
    body : dict
        The values, as the model class of the prefix names them.
    """

    key: str
    generation: int
    write_id: str
    deleted: bool = False
    mod_revision: int = 0
    body: dict[str, Any] = attrs.field(factory=dict)

    @property
    def order(self) -> tuple[int, str]:
        """Of two records of a key the one with the higher order is in force."""
        return (self.generation, self.write_id)

    def encode(self) -> bytes:
        """Return the JSON value kept in the platform."""
        value = {
            "generation": self.generation,
            "write_id": self.write_id,
            "deleted": self.deleted,
            "body": self.body,
        }
        return msgspec.json.encode(value, order="sorted")


class _Stored(msgspec.Struct):
    generation: int
    write_id: str
    deleted: bool = False
    body: dict[str, Any] = {}


def decode_record(key: str, value: bytes, mod_revision: int) -> Record:
    """Decode a value read from the platform.

    Raises
    ------
    RecordError
        If the value is not a record.
    """
    try:
        stored = msgspec.json.decode(value, type=_Stored)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise RecordError(f"record {key} is malformed: {exc}") from exc
    if stored.generation < 1:
        raise RecordError(f"record {key} has generation {stored.generation}")
    return Record(
        key=key,
        generation=stored.generation,
        write_id=stored.write_id,
        deleted=stored.deleted,
        mod_revision=mod_revision,
        body=stored.body,
    )
