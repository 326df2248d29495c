"""Reads and writes of configuration records on behalf of an operator."""

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
from foxtailcourse.ctl._diff import diff_bodies, format_changes
from foxtailcourse.ctl._errors import CtlError, ExitCode
from foxtailcourse.ctl._processes import (
    ProcessRecords,
    ProcessStatus,
    decode_vms,
    read_process_records,
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
    """Addresses and timeouts with which foxtailctl reaches the platform."""

    key_value: Address = setting(
        Address, description="Address of the platform's key-value service."
    )
    vm_list: Address = setting(
        Address, description="Address of the platform's VM list."
    )
    call_timeout_s: float = setting(
        float,
        2.0,
        description="Longest wait for one response.",
        unit="seconds",
        minimum=0.01,
    )
    command_timeout_s: float = setting(
        float,
        20.0,
        description="How long a write is retried while its outcome is unknown.",
        unit="seconds",
        minimum=0.01,
    )


@attrs.frozen(kw_only=True)
class RecordState:
    """State of one record key, on which a change is based.

    Parameters
    ----------
    key : str
        Key of the record.
    mod_revision : int
        Revision of the platform's record; 0 if the platform has none.
    record : Record or None
        Newest record stored by the platform or a process.
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
        """Body of the record; None if there is no record or it is a deletion."""
        return None if self.record is None or self.record.deleted else self.record.body


@attrs.frozen(kw_only=True)
class AcceptedWrite:
    """Result of an accepted write.

    Parameters
    ----------
    revision : int
        Platform revision of the write.
    write_id : str
        Identifier of the write, stored in each record.
    generations : dict of str to int
        New generation of each key.
    """

    revision: int
    write_id: str
    generations: dict[str, int]


class Operator:
    """Reads and writes configuration records and queries the listed processes.

    Parameters
    ----------
    cfg : OperatorSettings
        Addresses and timeouts.
    pool : ConnectionPool
        Connections to the platform and the processes.

    Attributes
    ----------
    warnings : list of str
        Problems that do not fail the command, to be printed with its result.
    """

    def __init__(self, cfg: OperatorSettings, pool: ConnectionPool) -> None:
        self.cfg = cfg
        self.pool = pool
        self.key_value: KeyValueStore = KeyValueClient(
            pool, cfg.key_value, cfg.call_timeout_s
        )
        self.vm_list = VmListClient(pool, cfg.vm_list, cfg.call_timeout_s)
        self.warnings: list[str] = []

    async def platform_records(self, *prefixes: str) -> dict[str, RecordState]:
        """Return the platform's records under some prefixes, by key."""
        try:
            result = await self.key_value.range(*prefixes)
        except PlatformError as exc:
            raise _unreachable_error(exc) from exc
        states = {}
        for each in result.items:
            try:
                record = decode_record(each.key, each.value, each.mod_revision)
            except RecordError as exc:
                self.warnings.append(str(exc))
                states[each.key] = RecordState(
                    key=each.key, mod_revision=each.mod_revision
                )
                continue
            states[each.key] = RecordState(
                key=each.key, mod_revision=each.mod_revision, record=record
            )
        return states

    async def listed_vms(self) -> dict[str, Vm]:
        """Return the VMs of the platform's VM list, by name."""
        try:
            listing = await self.vm_list.list_vms()
        except PlatformError as exc:
            raise _unreachable_error(exc) from exc
        return decode_vms(listing.vms if listing is not None else ())

    async def process_statuses(self) -> list[ProcessStatus]:
        """Return the status of the process on each listed VM."""
        return await read_statuses(
            self.pool, await self.listed_vms(), self.cfg.call_timeout_s
        )

    async def current_states(self, keys: Sequence[str]) -> dict[str, RecordState]:
        """Return the newest state of some keys in the platform or a process.

        Processes can have newer records than the platform after the platform was
        restored to an older state.
        """
        platform = await self.platform_records(*keys)
        states = {key: platform.get(key) or RecordState(key=key) for key in keys}
        for record in (await self._read_process_records(keys)).records:
            state = states[record.key]
            if state.record is None or record.order > state.record.order:
                states[record.key] = attrs.evolve(state, record=record)
        return states

    async def _read_process_records(self, keys: Sequence[str]) -> ProcessRecords:
        try:
            vms = await self.listed_vms()
        except CtlError as exc:
            self.warnings.append(f"no process was queried for its records: {exc}")
            return ProcessRecords()
        result = await read_process_records(vms, keys, self.cfg.call_timeout_s)
        if result.unreachable:
            names = ", ".join(result.unreachable)
            self.warnings.append(f"processes that did not respond: {names}")
        return result

    async def write(
        self, changes: Mapping[str, Body], based_on: Mapping[str, RecordState]
    ) -> AcceptedWrite:
        """Write records by compare-and-swap, all or none.

        Parameters
        ----------
        changes : mapping
            New body of each key; None deletes.
        based_on : mapping
            State of each key that the changes are based on, from
            :meth:`current_states`.

        Raises
        ------
        CtlError
            With CONFLICT if a key has changed since, UNREACHABLE if the platform
            certainly did not apply the write, UNKNOWN_OUTCOME if it may have.
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
        result, uncertain = await self._commit(compare, puts, write_id)
        if not result.succeeded:
            revision = _own_revision(result, write_id)
            if revision == 0:
                raise _conflict_error(changes, result, records, uncertain)
            result = attrs.evolve(result, revision=revision)
        generations = {each.key: each.generation for each in records}
        return AcceptedWrite(
            revision=result.revision, write_id=write_id, generations=generations
        )

    async def _commit(
        self, compare: Mapping[str, int], puts: Sequence[Put], write_id: str
    ) -> tuple[TxnResult, bool]:
        """Retry one transaction until the platform responds.

        All attempts compare the same revisions, so at most one of them takes
        effect, even if a delayed one arrives last. If an earlier attempt took
        effect, the records in the response have its ``write_id``.

        Returns
        -------
        result : TxnResult
            Response of the platform.
        uncertain : bool
            Whether an earlier attempt may have taken effect.

        Raises
        ------
        CtlError
            If there is no response until the command's timeout.
        """
        backoff = Backoff(0.05, 1.0, secrets.SystemRandom())
        deadline = trio.current_time() + self.cfg.command_timeout_s
        uncertain = False
        while True:
            try:
                return await self.key_value.txn(compare, puts), uncertain
            except PlatformError as exc:
                uncertain = uncertain or exc.may_have_applied
                delay_s = backoff.next_delay_s()
                if trio.current_time() + delay_s > deadline:
                    if uncertain:
                        raise _unknown_outcome_error(write_id, exc) from exc
                    raise _unreachable_error(exc) from exc
                await trio.sleep(delay_s)


def _own_revision(result: TxnResult, write_id: str) -> int:
    """Return the revision of a current record with this write identifier, or 0."""
    for each in result.current:
        try:
            record = decode_record(each.key, each.value, each.mod_revision)
        except RecordError:
            continue  # an unreadable record cannot be the one just written
        if record.write_id == write_id:
            return each.mod_revision
    return 0


def _conflict_error(
    changes: Mapping[str, Body],
    result: TxnResult,
    records: Sequence[Record],
    uncertain: bool,
) -> CtlError:
    """Return the error of a failed comparison, with the other operator's change."""
    current: dict[str, Record] = {}
    for each in result.current:
        try:
            current[each.key] = decode_record(each.key, each.value, each.mod_revision)
        except RecordError:
            continue  # the conflict is reported without unreadable records
    replaced = any(
        each.key in current and current[each.key].generation > each.generation
        for each in records
    )
    differences = diff_bodies(
        {k: None if r.deleted else r.body for k, r in current.items()}, dict(changes)
    )
    if uncertain and replaced:
        message = "the write may have been in force before another one replaced it"
        return CtlError(
            ExitCode.UNKNOWN_OUTCOME,
            message,
            write_id=records[0].write_id,
            difference=differences,
            lines=format_changes(differences),
        )
    message = "another operator changed the configuration first; nothing was written"
    return CtlError(
        ExitCode.CONFLICT,
        message,
        difference=differences,
        lines=format_changes(differences),
    )


def _unreachable_error(exc: PlatformError) -> CtlError:
    return CtlError(ExitCode.UNREACHABLE, f"the platform did not respond: {exc}")


def _unknown_outcome_error(write_id: str, exc: PlatformError) -> CtlError:
    message = (
        "it is unknown whether the write took effect; read the record "
        f"again later and compare its write_id with {write_id}: {exc}"
    )
    return CtlError(ExitCode.UNKNOWN_OUTCOME, message, write_id=write_id)


def as_body(value: Any) -> dict[str, Any]:
    """Return the record body of a contract, service route or model."""
    return msgspec.to_builtins(value)
