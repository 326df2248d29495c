"""The configuration copy that one process holds."""

import hashlib
import sys
import zlib
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Any

import attrs
import msgspec
import trio

from foxtailcourse.config import _records
from foxtailcourse.config._model import (
    ConfigView,
    Contract,
    ModelSpec,
    ServiceRoute,
    Vm,
)
from foxtailcourse.config._records import Record, decode_record
from foxtailcourse.protocol._peer_messages import DIGEST_BUCKETS

DIGEST_BYTES = 8


@attrs.frozen(slots=True)
class _Held:
    """A record in compact form; ``value`` is the JSON kept in the platform."""

    generation: int
    write_id: str
    deleted: bool
    mod_revision: int
    value: bytes

    @property
    def order(self) -> tuple[int, str]:
        return (self.generation, self.write_id)


class ConfigStore:
    """Merges records from any source; a key never goes back to an older record.

    The view is built from the records that can be read; a record that cannot be
    read keeps the key's last readable record in force and is named in ``rejected``.
    """

    def __init__(self) -> None:
        self._held: dict[str, _Held] = {}
        self._values: dict[str, dict[str, Any]] = {p: {} for p in _records.KEY_PREFIXES}
        self._buckets: list[set[str]] = [set() for _ in range(DIGEST_BUCKETS)]
        self._digests = [0] * DIGEST_BUCKETS
        self._operators_digest = 0
        self._listeners: list[Callable[[list[Record]], None]] = []
        self._copied: set[str] = set()
        self._changed = trio.Event()
        self.rejected: dict[str, str] = {}
        self.view = ConfigView()
        self.revision = 0

    def records(self) -> Iterator[Record]:
        """Iterate over all held records, deletions included."""
        return (_to_record(key, held) for key, held in tuple(self._held.items()))

    def keys(self, *prefixes: str) -> list[str]:
        """Return the held keys, deletions included, that start with a prefix."""
        return [key for key in self._held if key.startswith(prefixes)]

    def get(self, key: str) -> Record | None:
        """Return the held record of a key."""
        held = self._held.get(key)
        return None if held is None else _to_record(key, held)

    @property
    def operators_digest(self) -> str:
        """Digest of all held records but those of the VM list."""
        return f"{self._operators_digest:016x}"

    @property
    def digests(self) -> tuple[int, ...]:
        """Digest of each bucket of keys; equal buckets hold equal records."""
        return tuple(self._digests)

    def bucket(self, number: int) -> list[Record]:
        """Return the held records of one bucket."""
        return [_to_record(key, self._held[key]) for key in self._buckets[number]]

    def differing(self, digests: Sequence[int]) -> list[int]:
        """Return the numbers of the buckets whose digests differ; all if none given."""
        if len(digests) != DIGEST_BUCKETS:
            return list(range(DIGEST_BUCKETS))
        pairs = zip(self._digests, digests, strict=True)
        return [i for i, (own, other) in enumerate(pairs) if own != other]

    def subscribe(self, listener: Callable[[list[Record]], None]) -> None:
        """Call a function with the records taken by each merge."""
        self._listeners.append(listener)

    def merge(self, records: Iterable[Record]) -> list[Record]:
        """Take the records that are newer than the held ones.

        Parameters
        ----------
        records : iterable of Record
            From the platform or a peer, in any order, possibly old.

        Returns
        -------
        list of Record
            Those that replaced an older record or came first.
        """
        taken = []
        self._copied.clear()
        for record in records:
            held = self._held.get(record.key)
            self.revision = max(self.revision, record.mod_revision)
            if held is not None and held.order >= record.order:
                continue
            self._replace(held, record)
            taken.append(record)
            self._check(record)
        if taken:
            self.view = self._build()
            self._changed.set()
            self._changed = trio.Event()
            for listener in self._listeners:
                listener(taken)
        elif self.view.revision != self.revision:
            self.view = attrs.evolve(self.view, revision=self.revision)
        return taken

    async def wait_change(self) -> None:
        """Wait until the next merge that takes a record."""
        await self._changed.wait()

    def _replace(self, held: _Held | None, record: Record) -> None:
        bucket = zlib.crc32(record.key.encode()) % DIGEST_BUCKETS
        change = record_digest(record.key, record.order)
        if held is not None:
            change ^= record_digest(record.key, held.order)
        self._digests[bucket] ^= change
        if not record.key.startswith(_records.VMS_PREFIX):
            self._operators_digest ^= change
        self._buckets[bucket].add(record.key)
        self._held[record.key] = _Held(
            record.generation,
            record.write_id,
            record.deleted,
            record.mod_revision,
            record.encode(),
        )

    def _check(self, record: Record) -> None:
        """Take over a record's value if it can be read."""
        prefix, _, name = record.key.partition("/")
        prefix += "/"
        try:
            value = _read(record)
        except (msgspec.ValidationError, ValueError) as exc:
            self.rejected[record.key] = str(exc)
            return
        self.rejected.pop(record.key, None)
        if prefix not in self._values:
            return
        if value is None:
            self._fresh(prefix).pop(name, None)
        else:
            self._fresh(prefix)[name] = value

    def _fresh(self, prefix: str) -> dict[str, Any]:
        """Return a prefix's values, copied once for each merge.

        Views share the values of prefixes that did not change.
        """
        if prefix not in self._copied:
            self._values[prefix] = dict(self._values[prefix])
            self._copied.add(prefix)
        return self._values[prefix]

    def _build(self) -> ConfigView:
        values = self._values
        return ConfigView(
            revision=self.revision,
            contracts=values[_records.CONTRACTS_PREFIX],
            services=values[_records.SERVICES_PREFIX],
            models=values[_records.MODELS_PREFIX],
            vms=values[_records.VMS_PREFIX],
            leaving=frozenset(values[_records.BACKENDS_PREFIX]),
            stopping_vms=frozenset(values[_records.STOPS_PREFIX]),
        )


def _to_record(key: str, held: _Held) -> Record:
    return decode_record(key, held.value, held.mod_revision)


def record_digest(key: str, order: tuple[int, str]) -> int:
    """Return a number that identifies a key and the order of its record."""
    text = f"{key}\0{order[0]}\0{order[1]}"
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


def operators_digest(records: Iterable[Record]) -> str:
    """Return the ``operators_digest`` of a store that holds some records."""
    total = 0
    for record in records:
        if not record.key.startswith(_records.VMS_PREFIX):
            total ^= record_digest(record.key, record.order)
    return f"{total:016x}"


_TYPES = {
    _records.CONTRACTS_PREFIX: Contract,
    _records.SERVICES_PREFIX: ServiceRoute,
    _records.MODELS_PREFIX: ModelSpec,
    _records.VMS_PREFIX: Vm,
}


def _read(record: Record) -> Any:
    """Return the typed value of a record, or None if it is deleted."""
    if record.deleted:
        return None
    prefix = record.key.partition("/")[0] + "/"
    if prefix in _TYPES:
        return msgspec.convert(_interned(record.body), _TYPES[prefix])
    return record.body if record.body.get("leaving", True) else None


def _interned(value: Any) -> Any:
    """Return a JSON value whose equal texts are one object.

    The VM list repeats addresses, failure domains and names thousands of times.
    """
    if isinstance(value, str):
        return sys.intern(value)
    if isinstance(value, dict):
        return {key: _interned(each) for key, each in value.items()}
    return value
