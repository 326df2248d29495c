"""The configuration copy of one process."""

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
class _StoredRecord:
    """A record in compact form; ``value`` is the JSON stored in the platform."""

    generation: int
    write_id: str
    deleted: bool
    mod_revision: int
    value: bytes

    @property
    def order(self) -> tuple[int, str]:
        return (self.generation, self.write_id)


class ConfigStore:
    """Merges records from any source; an older record never replaces a newer one.

    If a new record of a key is invalid, the key's last valid record stays in the
    view.

    The keys are divided by hash into DIGEST_BUCKETS buckets, each with a digest of its
    records, so that two stores can find and exchange only the records that differ.

    Attributes
    ----------
    view : ConfigView
        The configuration in force, replaced as a whole by each merge.
    revision : int
        Highest platform revision of any merged record.
    rejected : dict of str to str
        Reason by key of each stored record that is invalid.
    """

    def __init__(self) -> None:
        self._stored: dict[str, _StoredRecord] = {}
        # Typed values in force, by key prefix and by the rest of the key.
        self._values: dict[str, dict[str, Any]] = {p: {} for p in _records.KEY_PREFIXES}
        # Stored keys of each bucket.
        self._buckets: list[set[str]] = [set() for _ in range(DIGEST_BUCKETS)]
        self._digests = [0] * DIGEST_BUCKETS
        self._operators_digest = 0
        self._listeners: list[Callable[[list[Record]], None]] = []
        # Prefixes whose values were copied in the merge in progress.
        self._copied_prefixes: set[str] = set()
        self._changed = trio.Event()
        self.rejected: dict[str, str] = {}
        self.view = ConfigView()
        self.revision = 0

    def records(self) -> Iterator[Record]:
        """Iterate over all stored records, deletions included."""
        return (_to_record(key, stored) for key, stored in tuple(self._stored.items()))

    def keys(self, *prefixes: str) -> list[str]:
        """Return the stored keys, deletions included, that start with a prefix."""
        return [key for key in self._stored if key.startswith(prefixes)]

    def get(self, key: str) -> Record | None:
        """Return the stored record of a key, or None."""
        stored = self._stored.get(key)
        return None if stored is None else _to_record(key, stored)

    @property
    def operators_digest(self) -> str:
        """Digest of all stored records except those of the VM list."""
        return f"{self._operators_digest:016x}"

    @property
    def digests(self) -> tuple[int, ...]:
        """Digest of each bucket of keys; equal digests mean equal records."""
        return tuple(self._digests)

    def records_in_bucket(self, bucket: int) -> list[Record]:
        """Return the stored records of the bucket with this number."""
        return [_to_record(key, self._stored[key]) for key in self._buckets[bucket]]

    def differing_buckets(self, digests: Sequence[int]) -> list[int]:
        """Return the numbers of the buckets whose digests differ.

        Parameters
        ----------
        digests : sequence of int, shape (DIGEST_BUCKETS,)
            Digests of another store; any other length selects all buckets.
        """
        if len(digests) != DIGEST_BUCKETS:
            return list(range(DIGEST_BUCKETS))
        pairs = zip(self._digests, digests, strict=True)
        return [i for i, (own, other) in enumerate(pairs) if own != other]

    def subscribe(self, listener: Callable[[list[Record]], None]) -> None:
        """Call ``listener`` with the accepted records of each later merge."""
        self._listeners.append(listener)

    def merge(self, records: Iterable[Record]) -> list[Record]:
        """Store the records that are newer than the stored ones.

        Parameters
        ----------
        records : iterable of Record
            From the platform or a peer, in any order, possibly outdated.

        Returns
        -------
        list of Record
            Those that were stored.
        """
        accepted = []
        self._copied_prefixes.clear()
        for record in records:
            stored = self._stored.get(record.key)
            self.revision = max(self.revision, record.mod_revision)
            if stored is not None and stored.order >= record.order:
                continue
            self._replace(stored, record)
            accepted.append(record)
            self._update_value(record)
        if accepted:
            self.view = self._build_view()
            self._changed.set()
            self._changed = trio.Event()
            for listener in self._listeners:
                listener(accepted)
        elif self.view.revision != self.revision:
            self.view = attrs.evolve(self.view, revision=self.revision)
        return accepted

    async def wait_change(self) -> None:
        """Wait for the next merge that stores a record."""
        await self._changed.wait()

    def _replace(self, stored: _StoredRecord | None, record: Record) -> None:
        """Store a record and update the digests."""
        bucket = zlib.crc32(record.key.encode()) % DIGEST_BUCKETS
        digest_change = record_digest(record.key, record.order)
        if stored is not None:
            digest_change ^= record_digest(record.key, stored.order)
        self._digests[bucket] ^= digest_change
        if not record.key.startswith(_records.VMS_PREFIX):
            self._operators_digest ^= digest_change
        self._buckets[bucket].add(record.key)
        self._stored[record.key] = _StoredRecord(
            record.generation,
            record.write_id,
            record.deleted,
            record.mod_revision,
            record.encode(),
        )

    def _update_value(self, record: Record) -> None:
        """Put a record's value into force; if it is invalid, add to ``rejected``."""
        prefix, _, name = record.key.partition("/")
        prefix += "/"
        try:
            value = _typed_value(record)
        except (msgspec.ValidationError, ValueError) as exc:
            self.rejected[record.key] = str(exc)
            return
        self.rejected.pop(record.key, None)
        if prefix not in self._values:
            return
        if value is None:
            self._writable_values(prefix).pop(name, None)
        else:
            self._writable_values(prefix)[name] = value

    def _writable_values(self, prefix: str) -> dict[str, Any]:
        """Return a prefix's values, copied on the first write of each merge.

        Earlier views keep the original, and share it if the prefix does not change.
        """
        if prefix not in self._copied_prefixes:
            self._values[prefix] = dict(self._values[prefix])
            self._copied_prefixes.add(prefix)
        return self._values[prefix]

    def _build_view(self) -> ConfigView:
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


def _to_record(key: str, stored: _StoredRecord) -> Record:
    return decode_record(key, stored.value, stored.mod_revision)


def record_digest(key: str, order: tuple[int, str]) -> int:
    """Return a 64-bit number that identifies a key and the order of its record.

    Digests of several records are combined with XOR.
    """
    text = f"{key}\0{order[0]}\0{order[1]}"
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


def operators_digest(records: Iterable[Record]) -> str:
    """Return the ``operators_digest`` of a store with these records."""
    total = 0
    for record in records:
        if not record.key.startswith(_records.VMS_PREFIX):
            total ^= record_digest(record.key, record.order)
    return f"{total:016x}"


MAX_PORT = 65535
_TYPES_BY_PREFIX = {
    _records.CONTRACTS_PREFIX: Contract,
    _records.SERVICES_PREFIX: ServiceRoute,
    _records.MODELS_PREFIX: ModelSpec,
    _records.VMS_PREFIX: Vm,
}


def _typed_value(record: Record) -> Any:
    """Return the typed value of a record, or None if it is deleted.

    Raises ValueError or msgspec.ValidationError if the value is invalid.
    """
    if record.deleted:
        return None
    prefix = record.key.partition("/")[0] + "/"
    if prefix in _TYPES_BY_PREFIX:
        value: Any = msgspec.convert(
            _intern_strings(record.body), _TYPES_BY_PREFIX[prefix]
        )
        if isinstance(value, Vm):
            _check_ports(value)
        return value
    # A record of a leaving backend server or a planned stop; ``"leaving": false`` has
    # the same effect as a deletion.
    return record.body if record.body.get("leaving", True) else None


def _check_ports(vm: Vm) -> None:
    for address in (vm.listen, vm.control, vm.admin):
        if not 0 <= address.port <= MAX_PORT:
            raise ValueError(f"port {address.port} is not 0 to {MAX_PORT}")


def _intern_strings(value: Any) -> Any:
    """Return a JSON value with interned strings.

    The VM list repeats addresses, failure domains and names thousands of times.
    """
    if isinstance(value, str):
        return sys.intern(value)
    if isinstance(value, dict):
        return {key: _intern_strings(item) for key, item in value.items()}
    return value
