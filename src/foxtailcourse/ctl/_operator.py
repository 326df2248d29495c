"""Reading and writing configuration records as an operator."""

import secrets
from collections.abc import Mapping, Sequence
from typing import Any

import attrs
import msgspec
import trio

from foxtailcourse.config import (
    Record,
    RecordError,
    Vm,
    decode_record,
)
from foxtailcourse.config._backoff import Backoff
from foxtailcourse.ctl._diff import describe, difference
from foxtailcourse.ctl._errors import CtlError, ExitCode
from foxtailcourse.ctl._processes import (
    HeldRecords,
    ProcessStatus,
    decode_vms,
    held_records,
    read_statuses,
)
from foxtailcourse.http import ConnectionPool
from foxtailcourse.platform import (
    KeyValueClient,
    KeyValueStore,
    PlatformError,
    Put,
    TxnResult,
    VmListClient,
)
from foxtailcourse.settings import Address, section, setting

Body = dict[str, Any] | None


@section("operator")
class OperatorSettings:
    """Where foxtailctl finds the platform."""

    key_value: Address = setting(
        Address, description="Address of the platform's key-value service."
    )
    vm_list: Address = setting(
        Address, description="Address of the platform's VM list."
    )
    call_timeout_s: float = setting(
        float,
        2.0,
        description="Longest wait for one answer.",
        unit="seconds",
        minimum=0.01,
    )
    command_timeout_s: float = setting(
        float,
        20.0,
        description="How long a write is repeated while its outcome is not known.",
        unit="seconds",
        minimum=0.01,
    )


@attrs.frozen(kw_only=True)
class Current:
    """The state of one key.

    Parameters
    ----------
    key : str
        The key.
    mod_revision : int
        Of the platform's record; 0 if the platform has none.
    record : Record or None
        The newest record that the platform or a process holds.
    """

    key: str
    mod_revision: int = 0
    record: Record | None = None

    @property
    def generation(self) -> int:
        """Generation of the record; 0 if there is none."""
        return self.record.generation if self.record else 0

    @property
    def body(self) -> Body:
        """The values in force; None if there are none."""
        return None if self.record is None or self.record.deleted else self.record.body


@attrs.frozen(kw_only=True)
class Written:
    """An accepted write."""

    revision: int
    write_id: str
    generations: dict[str, int]


class Operator:
    """Reads and writes records.

    Parameters
    ----------
    cfg : OperatorSettings
        Addresses and times.
    pool : ConnectionPool
        Makes the connections.
    """

    def __init__(self, cfg: OperatorSettings, pool: ConnectionPool) -> None:
        self.cfg = cfg
        self.pool = pool
        self.key_value: KeyValueStore = KeyValueClient(
            pool, cfg.key_value, cfg.call_timeout_s
        )
        self.vm_list = VmListClient(pool, cfg.vm_list, cfg.call_timeout_s)
        self.warnings: list[str] = []

    async def records(self, *prefixes: str) -> dict[str, Current]:
        """Return the platform's records under some prefixes."""
        try:
            result = await self.key_value.range(*prefixes)
        except PlatformError as exc:
            raise _unreachable(exc) from exc
        found = {}
        for each in result.items:
            try:
                record = decode_record(each.key, each.value, each.mod_revision)
            except RecordError as exc:
                self.warnings.append(str(exc))
                found[each.key] = Current(key=each.key, mod_revision=each.mod_revision)
                continue
            found[each.key] = Current(
                key=each.key, mod_revision=each.mod_revision, record=record
            )
        return found

    async def vms(self) -> dict[str, Vm]:
        """Return the listed VMs."""
        try:
            listing = await self.vm_list.list_vms()
        except PlatformError as exc:
            raise _unreachable(exc) from exc
        return decode_vms(listing.vms if listing is not None else ())

    async def statuses(self) -> list[ProcessStatus]:
        """Return the status of each listed process."""
        return await read_statuses(self.pool, await self.vms(), self.cfg.call_timeout_s)

    async def current(self, keys: Sequence[str]) -> dict[str, Current]:
        """Return the newest state of some keys in the platform or a process.

        A process holds newer records than the platform after the platform was
        restored to an older state.
        """
        platform = await self.records(*keys)
        found = {key: platform.get(key) or Current(key=key) for key in keys}
        for record in (await self._held(keys)).records:
            state = found[record.key]
            if state.record is None or record.order > state.record.order:
                found[record.key] = attrs.evolve(state, record=record)
        return found

    async def _held(self, keys: Sequence[str]) -> HeldRecords:
        try:
            vms = await self.vms()
        except CtlError as exc:
            self.warnings.append(f"no process was asked for its records: {exc}")
            return HeldRecords()
        held = await held_records(vms, keys, self.cfg.call_timeout_s)
        if held.unreachable:
            names = ", ".join(held.unreachable)
            self.warnings.append(f"processes that did not answer: {names}")
        return held

    async def write(
        self, changes: Mapping[str, Body], based_on: Mapping[str, Current]
    ) -> Written:
        """Write records by compare-and-swap, all or none.

        Parameters
        ----------
        changes : mapping
            New body of each key; None deletes.
        based_on : mapping
            The states that the operator decided on, from :meth:`current`.

        Raises
        ------
        CtlError
            With CONFLICT if a key has changed since, UNREACHABLE if the platform
            did not take the write, UNKNOWN_OUTCOME if it cannot be told.
        """
        write_id = secrets.token_hex(8)
        records = [
            Record(
                key=key,
                generation=based_on[key].generation + 1,
                write_id=write_id,
                deleted=body is None,
                body=body or {},
            )
            for key, body in changes.items()
        ]
        compare = {key: based_on[key].mod_revision for key in changes}
        puts = [Put(key=each.key, value=each.encode()) for each in records]
        result, uncertain = await self._settle(compare, puts, write_id)
        if not result.succeeded:
            revision = _own_revision(result, write_id)
            if revision == 0:
                raise _conflict(changes, result, records, uncertain)
            result = attrs.evolve(result, revision=revision)
        generations = {each.key: each.generation for each in records}
        return Written(
            revision=result.revision, write_id=write_id, generations=generations
        )

    async def _settle(
        self, compare: Mapping[str, int], puts: Sequence[Put], write_id: str
    ) -> tuple[TxnResult, bool]:
        """Repeat one transaction until it is answered.

        The repetition compares the same revisions, so at most one of the copies
        takes effect, also if a delayed one arrives last. If a former copy took
        effect, the answer shows its ``write_id``.

        Returns
        -------
        tuple
            The answer, and whether a former copy may have taken effect.
        """
        backoff = Backoff(0.05, 1.0, secrets.SystemRandom())
        deadline = trio.current_time() + self.cfg.command_timeout_s
        uncertain = False
        while True:
            try:
                return await self.key_value.txn(compare, puts), uncertain
            except PlatformError as exc:
                uncertain = uncertain or exc.may_have_applied
                pause_s = backoff.next_delay_s()
                if trio.current_time() + pause_s > deadline:
                    if uncertain:
                        raise _unknown(write_id, exc) from exc
                    raise _unreachable(exc) from exc
                await trio.sleep(pause_s)


def _own_revision(result: TxnResult, write_id: str) -> int:
    """Return the revision of a record with this write identifier, or 0."""
    for each in result.current:
        try:
            record = decode_record(each.key, each.value, each.mod_revision)
        except RecordError:
            continue  # what cannot be read is not the record just written
        if record.write_id == write_id:
            return each.mod_revision
    return 0


def _conflict(
    changes: Mapping[str, Body],
    result: TxnResult,
    records: Sequence[Record],
    uncertain: bool,
) -> CtlError:
    """Return the error of a lost race, with what the other operator wrote."""
    found: dict[str, Record] = {}
    for each in result.current:
        try:
            found[each.key] = decode_record(each.key, each.value, each.mod_revision)
        except RecordError:
            continue  # the conflict is reported without what cannot be read
    replaced = any(
        each.key in found and found[each.key].generation > each.generation
        for each in records
    )
    lines = difference(
        {k: None if r.deleted else r.body for k, r in found.items()}, dict(changes)
    )
    if uncertain and replaced:
        message = "the write may have been in force before another one replaced it"
        return CtlError(
            ExitCode.UNKNOWN_OUTCOME,
            message,
            write_id=records[0].write_id,
            difference=lines,
            lines=describe(lines),
        )
    message = "another operator changed the configuration first; nothing was written"
    return CtlError(ExitCode.CONFLICT, message, difference=lines, lines=describe(lines))


def _unreachable(exc: PlatformError) -> CtlError:
    return CtlError(ExitCode.UNREACHABLE, f"the platform did not answer: {exc}")


def _unknown(write_id: str, exc: PlatformError) -> CtlError:
    message = (
        "the platform did not say whether the write took effect; read the record "
        f"again later and compare its write_id with {write_id}: {exc}"
    )
    return CtlError(ExitCode.UNKNOWN_OUTCOME, message, write_id=write_id)


def as_body(value: Any) -> dict[str, Any]:
    """Return the record body of a contract, service or model."""
    return msgspec.to_builtins(value)
