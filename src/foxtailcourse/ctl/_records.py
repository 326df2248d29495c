"""Commands that read and change configuration records."""

from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from foxtailcourse.config import Contract, ModelSpec, ServiceRoute
from foxtailcourse.config._records import (
    BACKENDS_PREFIX,
    CONTRACTS_PREFIX,
    MODELS_PREFIX,
    SERVICES_PREFIX,
    STOPS_PREFIX,
)
from foxtailcourse.ctl._diff import Body, diff_bodies, format_changes
from foxtailcourse.ctl._errors import CtlError, ExitCode
from foxtailcourse.ctl._ini import NAME_PATTERN, ParsedSection, render_section
from foxtailcourse.ctl._operator import Operator, RecordState, as_body
from foxtailcourse.ctl._output import Result
from foxtailcourse.ctl._wait import wait_in_force


def normalize_body(body: Body, record_type: Callable[..., Any]) -> Body:
    """Return a body with the defaults of its type filled in.

    New writes contain all fields; without the defaults, fields that an older body
    leaves out would count as changes. A body that does not fit the type is returned
    unchanged.
    """
    if body is None:
        return None
    try:
        return as_body(msgspec.convert(body, record_type))  # type: ignore[call-overload]
    except msgspec.ValidationError:
        return body


async def write_changes(
    operator: Operator,
    desired: Mapping[str, Body],
    based_on: Mapping[str, RecordState],
    record_type: Callable[..., Any] | None = None,
    *,
    dry_run: bool = False,
    wait_s: float = 0.0,
) -> Result:
    """Write the records that differ from the current state.

    Parameters
    ----------
    operator : Operator
        Writes the records.
    desired : mapping
        Desired body of each key; None deletes the record.
    based_on : mapping
        Current state of each key.
    record_type : callable, optional
        Type of the bodies, whose defaults are added to the current state before the
        comparison.
    dry_run : bool
        Whether only the differences are returned.
    wait_s : float
        Longest wait until the change is in force in all processes, in seconds;
        0 for no wait.

    Raises
    ------
    CtlError
        As :meth:`Operator.write`, or FAILED if the accepted change is not in force
        in time.
    """
    before = {key: state.body for key, state in based_on.items()}
    if record_type is not None:
        before = {
            key: normalize_body(body, record_type) for key, body in before.items()
        }
    changes = diff_bodies(before, desired)
    lines = format_changes(changes)
    if dry_run or not changes:
        lines = lines or ["nothing to change"]
        value: dict[str, Any] = {"changed": False, "difference": changes}
        return Result(value, lines)
    changed_keys = {each["key"] for each in changes}
    written = await operator.write(
        {key: desired[key] for key in changed_keys}, based_on
    )
    lines.append(f"accepted at revision {written.revision}")
    value = {
        "changed": True,
        "difference": changes,
        "revision": written.revision,
        "write_id": written.write_id,
        "generations": written.generations,
    }
    if wait_s > 0:
        try:
            waited = await wait_in_force(operator, written.revision, wait_s)
        except CtlError as exc:
            message = f"accepted at revision {written.revision}, but {exc}"
            raise CtlError(ExitCode.FAILED, message, **(value | exc.details)) from exc
        lines += waited.lines
        value["in_force"] = waited.value
    return Result(value, lines)


async def apply_sections(
    operator: Operator, parsed: list[ParsedSection], *, dry_run: bool, wait_s: float
) -> Result:
    """Apply the sections of a contract or service file, all or none.

    Parameters
    ----------
    operator : Operator
        Reads and writes the records.
    parsed : list of ParsedSection
        Sections of the file, at least one.
    dry_run, wait_s
        As in :func:`write_changes`.

    Raises
    ------
    CtlError
        With CONFLICT if a section was made from another generation than the current
        one, BAD_INPUT if a bearer key belongs to another client account, or as
        :func:`write_changes`.
    """
    by_key = {record_key(each.value): each for each in parsed}
    based_on = await operator.current_states(list(by_key))
    desired: dict[str, Body] = {k: as_body(v.value) for k, v in by_key.items()}
    record_type = type(parsed[0].value)
    outdated = {
        key: desired[key]
        for key, each in by_key.items()
        if each.generation and each.generation != based_on[key].generation
    }
    if outdated:
        current = {
            key: normalize_body(based_on[key].body, record_type) for key in outdated
        }
        changes = diff_bodies(current, outdated)
        raise CtlError(
            ExitCode.CONFLICT,
            "the file was made from another generation than the one in force; "
            "get the record again and repeat the change",
            difference=changes,
            lines=format_changes(changes),
        )
    if record_type is Contract:
        await _check_bearer_keys(operator, parsed)
    return await write_changes(
        operator, desired, based_on, record_type, dry_run=dry_run, wait_s=wait_s
    )


async def _check_bearer_keys(operator: Operator, parsed: list[ParsedSection]) -> None:
    """Refuse a bearer key that already belongs to another client account."""
    file_accounts = {each.value.client_account for each in parsed}
    owners: dict[str, str] = {}
    for key, state in (await operator.platform_records(CONTRACTS_PREFIX)).items():
        account = key.removeprefix(CONTRACTS_PREFIX)
        if state.body is not None and account not in file_accounts:
            for key_hash in state.body.get("key_sha256", ()):
                owners[key_hash] = account
    lines = [
        f"{each.value.client_account}: key {key_hash[:12]}... belongs to "
        f"{owners[key_hash]}"
        for each in parsed
        for key_hash in each.value.key_sha256
        if key_hash in owners
    ]
    if lines:
        message = "a bearer key belongs to another client account"
        raise CtlError(ExitCode.BAD_INPUT, message, problems=lines, lines=lines)


def record_key(value: Contract | ServiceRoute) -> str:
    """Return the key of a contract's or service's record."""
    if isinstance(value, Contract):
        return CONTRACTS_PREFIX + value.client_account
    return SERVICES_PREFIX + value.route


def validate_name(name: str) -> str:
    """Return the name; raises CtlError if it is not a valid record name."""
    if not NAME_PATTERN.fullmatch(name):
        message = f"{name[:80]!r} is not a name: use a-z, 0-9, '.', '_', '-'"
        raise CtlError(ExitCode.BAD_INPUT, message)
    return name


async def get_contract(operator: Operator, account: str) -> Result:
    """Return one contract as a file for ``contract apply``.

    Raises
    ------
    CtlError
        If the account has no contract, or its record cannot be read.
    """
    key = CONTRACTS_PREFIX + validate_name(account)
    state = (await operator.current_states([key]))[key]
    if state.record is None or state.body is None:
        message = f"client account {account} has no contract"
        raise CtlError(ExitCode.FAILED, message)
    try:
        contract = msgspec.convert(state.body, Contract)
    except msgspec.ValidationError as exc:
        message = f"the contract of {account} cannot be read: {exc}"
        raise CtlError(ExitCode.FAILED, message, contract=state.body) from exc
    value = {
        "contract": state.body,
        "generation": state.generation,
        "write_id": state.record.write_id,
    }
    return Result(value, [render_section(contract, state.generation).rstrip("\n")])


async def list_records(operator: Operator, prefix: str) -> dict[str, RecordState]:
    """Return the platform's records under a prefix, by key, without deletions."""
    states = await operator.platform_records(prefix)
    return {k: v for k, v in sorted(states.items()) if v.body is not None}


async def delete_contract(operator: Operator, account: str, wait_s: float) -> Result:
    """Delete one contract; the account's requests are refused from then on."""
    key = CONTRACTS_PREFIX + validate_name(account)
    based_on = await operator.current_states([key])
    if based_on[key].body is None:
        message = f"client account {account} has no contract"
        raise CtlError(ExitCode.FAILED, message)
    return await write_changes(operator, {key: None}, based_on, wait_s=wait_s)


async def set_vm_marker(
    operator: Operator, prefix: str, vm: str, body: Body, wait_s: float
) -> Result:
    """Write or delete a VM's marker record: backend server leaving, or planned stop.

    Parameters
    ----------
    operator : Operator
        Writes the record.
    prefix : str
        Key prefix of the kind of marker.
    vm : str
        VM; it must be listed, unless the marker is deleted.
    body : dict or None
        Body of the record; None deletes it.
    wait_s : float
        Longest wait until the change is in force, in seconds; 0 for no wait.
    """
    if body is not None and vm not in await operator.listed_vms():
        message = f"VM {vm} is not in the VM list"
        raise CtlError(ExitCode.BAD_INPUT, message)
    key = prefix + vm
    based_on = await operator.current_states([key])
    return await write_changes(operator, {key: body}, based_on, wait_s=wait_s)


async def set_weights(
    operator: Operator,
    model: str,
    version: str,
    min_in_service: int | None,
    wait_s: float,
) -> Result:
    """Set the weights version that all backend servers of a model should serve."""
    key = MODELS_PREFIX + validate_name(model)
    based_on = await operator.current_states([key])
    body = based_on[key].body or {}
    if min_in_service is None:
        min_in_service = int(body.get("min_in_service", 1))
    spec = ModelSpec(
        model=model, weights_version=version, min_in_service=min_in_service
    )
    desired: dict[str, Body] = {key: as_body(spec)}
    return await write_changes(operator, desired, based_on, ModelSpec, wait_s=wait_s)


__all__ = [
    "BACKENDS_PREFIX",
    "CONTRACTS_PREFIX",
    "MODELS_PREFIX",
    "SERVICES_PREFIX",
    "STOPS_PREFIX",
    "apply_sections",
    "delete_contract",
    "get_contract",
    "list_records",
    "set_vm_marker",
    "set_weights",
    "write_changes",
]
