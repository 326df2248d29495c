"""Commands that change records: what they read, check and write."""

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
from foxtailcourse.ctl._diff import Body, describe, difference
from foxtailcourse.ctl._errors import CtlError, ExitCode
from foxtailcourse.ctl._ini import NAME, Parsed, render
from foxtailcourse.ctl._operator import Current, Operator, as_body
from foxtailcourse.ctl._output import Result
from foxtailcourse.ctl._wait import wait_in_force


def normalised(body: Body, kind: Callable[..., Any]) -> Body:
    """Return a body with the defaults of its type, as new writes have them."""
    if body is None:
        return None
    try:
        return as_body(msgspec.convert(body, kind))  # type: ignore[call-overload]
    except msgspec.ValidationError:
        return body


async def change(
    operator: Operator,
    wanted: Mapping[str, Body],
    based_on: Mapping[str, Current],
    kind: Callable[..., Any] | None = None,
    *,
    dry_run: bool = False,
    wait_s: float = 0.0,
) -> Result:
    """Write what differs from the current state, and show the differences."""
    before = {key: state.body for key, state in based_on.items()}
    if kind is not None:
        before = {key: normalised(body, kind) for key, body in before.items()}
    changes = difference(before, wanted)
    lines = describe(changes)
    if dry_run or not changes:
        lines = lines or ["nothing to change"]
        value: dict[str, Any] = {"changed": False, "difference": changes}
        return Result(value, lines)
    keys = {each["key"] for each in changes}
    written = await operator.write({key: wanted[key] for key in keys}, based_on)
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


async def apply_parsed(
    operator: Operator, parsed: list[Parsed], *, dry_run: bool, wait_s: float
) -> Result:
    """Apply the sections of a contract or service file."""
    by_key = {record_key(each.value): each for each in parsed}
    based_on = await operator.current(list(by_key))
    wanted: dict[str, Body] = {k: as_body(v.value) for k, v in by_key.items()}
    kind = type(parsed[0].value)
    outdated = {
        key: wanted[key]
        for key, each in by_key.items()
        if each.generation and each.generation != based_on[key].generation
    }
    if outdated:
        held = {key: normalised(based_on[key].body, kind) for key in outdated}
        changes = difference(held, outdated)
        raise CtlError(
            ExitCode.CONFLICT,
            "the file was made from another generation than the one in force; "
            "get the record again and repeat the change",
            difference=changes,
            lines=describe(changes),
        )
    if kind is Contract:
        await _check_bearer_keys(operator, parsed)
    return await change(
        operator, wanted, based_on, kind, dry_run=dry_run, wait_s=wait_s
    )


async def _check_bearer_keys(operator: Operator, parsed: list[Parsed]) -> None:
    """Refuse a bearer key that already belongs to another client account."""
    files = {each.value.client_account for each in parsed}
    owners: dict[str, str] = {}
    for key, state in (await operator.records(CONTRACTS_PREFIX)).items():
        account = key.removeprefix(CONTRACTS_PREFIX)
        if state.body is not None and account not in files:
            for value in state.body.get("key_sha256", ()):
                owners[value] = account
    lines = [
        f"{each.value.client_account}: key {value[:12]}... belongs to {owners[value]}"
        for each in parsed
        for value in each.value.key_sha256
        if value in owners
    ]
    if lines:
        message = "a bearer key belongs to another client account"
        raise CtlError(ExitCode.BAD_INPUT, message, problems=lines, lines=lines)


def record_key(value: Contract | ServiceRoute) -> str:
    """Return the key of a contract's or service's record."""
    if isinstance(value, Contract):
        return CONTRACTS_PREFIX + value.client_account
    return SERVICES_PREFIX + value.route


def checked_name(name: str) -> str:
    """Return a name, or raise CtlError if it cannot be one."""
    if not NAME.fullmatch(name):
        message = f"{name[:80]!r} is not a name: use a-z, 0-9, '.', '_', '-'"
        raise CtlError(ExitCode.BAD_INPUT, message)
    return name


async def get_contract(operator: Operator, account: str) -> Result:
    """Return one contract as a file that ``contract apply`` takes."""
    key = CONTRACTS_PREFIX + checked_name(account)
    state = (await operator.current([key]))[key]
    if state.record is None or state.body is None:
        message = f"there is no contract of client account {account}"
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
    return Result(value, [render(contract, state.generation).rstrip("\n")])


async def list_bodies(operator: Operator, prefix: str) -> dict[str, Current]:
    """Return the records under a prefix that are not deletions."""
    found = await operator.records(prefix)
    return {k: v for k, v in sorted(found.items()) if v.body is not None}


async def delete_contract(operator: Operator, account: str, wait_s: float) -> Result:
    """Delete one contract; the account's requests are refused from then on."""
    key = CONTRACTS_PREFIX + checked_name(account)
    based_on = await operator.current([key])
    if based_on[key].body is None:
        message = f"there is no contract of client account {account}"
        raise CtlError(ExitCode.FAILED, message)
    return await change(operator, {key: None}, based_on, wait_s=wait_s)


async def set_vm_mark(
    operator: Operator, prefix: str, vm: str, body: Body, wait_s: float
) -> Result:
    """Set or remove the mark of a leaving backend server or of a planned stop."""
    if body is not None and vm not in await operator.vms():
        message = f"VM {vm} is not in the VM list"
        raise CtlError(ExitCode.BAD_INPUT, message)
    key = prefix + vm
    based_on = await operator.current([key])
    return await change(operator, {key: body}, based_on, wait_s=wait_s)


async def set_weights(
    operator: Operator,
    model: str,
    version: str,
    min_in_service: int | None,
    wait_s: float,
) -> Result:
    """Set the weights version that all backend servers of a model should serve."""
    key = MODELS_PREFIX + checked_name(model)
    based_on = await operator.current([key])
    body = based_on[key].body or {}
    if min_in_service is None:
        min_in_service = int(body.get("min_in_service", 1))
    spec = ModelSpec(
        model=model, weights_version=version, min_in_service=min_in_service
    )
    wanted: dict[str, Body] = {key: as_body(spec)}
    return await change(operator, wanted, based_on, ModelSpec, wait_s=wait_s)


__all__ = [
    "BACKENDS_PREFIX",
    "CONTRACTS_PREFIX",
    "MODELS_PREFIX",
    "SERVICES_PREFIX",
    "STOPS_PREFIX",
    "apply_parsed",
    "change",
    "delete_contract",
    "get_contract",
    "list_bodies",
    "set_vm_mark",
    "set_weights",
]
