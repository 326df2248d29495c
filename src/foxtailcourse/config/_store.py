"""The configuration copy that one process holds."""

from collections.abc import Iterable
from typing import Any

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


class ConfigStore:
    """Merges records from any source; a key never goes back to an older record.

    The view is built from the records that can be read; a record that cannot be
    read keeps the key's last readable record in force and is named in ``rejected``.
    """

    def __init__(self) -> None:
        self._records: dict[str, Record] = {}
        self._readable: dict[str, Record] = {}
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
            self._records[record.key] = record
            taken.append(record)
            self._check(record)
        if taken:
            self.view = self._build()
            self._changed.set()
            self._changed = trio.Event()
        return taken

    async def wait_change(self) -> None:
        """Wait until the next merge that takes a record."""
        await self._changed.wait()

    def _check(self, record: Record) -> None:
        try:
            _read(record)
        except (msgspec.ValidationError, ValueError) as exc:
            self.rejected[record.key] = str(exc)
            return
        self.rejected.pop(record.key, None)
        self._readable[record.key] = record

    def _build(self) -> ConfigView:
        values: dict[str, dict[str, Any]] = {each: {} for each in _records.PREFIXES}
        for key, record in self._readable.items():
            prefix, _, name = key.partition("/")
            value = _read(record)
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
