"""The configuration copy that one process holds."""

import hashlib
import zlib
from collections.abc import Callable, Iterable, Sequence
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
from foxtailcourse.config._records import Record
from foxtailcourse.protocol._peer import BUCKETS

DIGEST_BYTES = 8


class ConfigStore:
    """Merges records from any source; a key never goes back to an older record.

    The view is built from the records that can be read; a record that cannot be
    read keeps the key's last readable record in force and is named in ``rejected``.
    """

    def __init__(self) -> None:
        self._records: dict[str, Record] = {}
        self._values: dict[str, Any] = {}
        self._buckets: list[dict[str, Record]] = [{} for _ in range(BUCKETS)]
        self._digests = [0] * BUCKETS
        self._listeners: list[Callable[[list[Record]], None]] = []
        self._changed = trio.Event()
        self.rejected: dict[str, str] = {}
        self.view = ConfigView()
        self.revision = 0

    def records(self) -> list[Record]:
        """Return all held records, deletions included."""
        return list(self._records.values())

    def get(self, key: str) -> Record | None:
        """Return the held record of a key."""
        return self._records.get(key)

    @property
    def digests(self) -> tuple[int, ...]:
        """Digest of each bucket of keys; equal buckets hold equal records."""
        return tuple(self._digests)

    def bucket(self, number: int) -> list[Record]:
        """Return the held records of one bucket."""
        return list(self._buckets[number].values())

    def differing(self, digests: Sequence[int]) -> list[int]:
        """Return the numbers of the buckets whose digests differ; all if none given."""
        if len(digests) != BUCKETS:
            return list(range(BUCKETS))
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
        for record in records:
            held = self._records.get(record.key)
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

    def _replace(self, held: Record | None, record: Record) -> None:
        bucket = zlib.crc32(record.key.encode()) % BUCKETS
        if held is not None:
            self._digests[bucket] ^= record_digest(held)
        self._digests[bucket] ^= record_digest(record)
        self._buckets[bucket][record.key] = record
        self._records[record.key] = record

    def _check(self, record: Record) -> None:
        try:
            value = _read(record)
        except (msgspec.ValidationError, ValueError) as exc:
            self.rejected[record.key] = str(exc)
            return
        self.rejected.pop(record.key, None)
        self._values[record.key] = value

    def _build(self) -> ConfigView:
        values: dict[str, dict[str, Any]] = {each: {} for each in _records.PREFIXES}
        for key, value in self._values.items():
            prefix, _, name = key.partition("/")
            if value is not None and prefix + "/" in values:
                values[prefix + "/"][name] = value
        return ConfigView(
            revision=self.revision,
            contracts=values[_records.CONTRACTS],
            services=values[_records.SERVICES],
            models=values[_records.MODELS],
            vms=values[_records.VMS],
            leaving=frozenset(values[_records.BACKENDS]),
            stops=frozenset(values[_records.STOPS]),
        )


def record_digest(record: Record) -> int:
    """Return a number that identifies a record's key and order."""
    text = f"{record.key}\0{record.generation}\0{record.write_id}"
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


def operators_digest(records: Iterable[Record]) -> str:
    """Return one digest over all records but those of the VM list."""
    total = 0
    for record in records:
        if not record.key.startswith(_records.VMS):
            total ^= record_digest(record)
    return f"{total:016x}"


_TYPES = {
    _records.CONTRACTS: Contract,
    _records.SERVICES: ServiceRoute,
    _records.MODELS: ModelSpec,
    _records.VMS: Vm,
}


def _read(record: Record) -> Any:
    """Return the typed value of a record, or None if it is deleted."""
    if record.deleted:
        return None
    prefix = record.key.partition("/")[0] + "/"
    if prefix in _TYPES:
        return msgspec.convert(record.body, _TYPES[prefix])
    return record.body if record.body.get("leaving", True) else None
