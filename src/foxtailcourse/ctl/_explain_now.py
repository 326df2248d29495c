"""Asks a running entry where a request would go now."""

import re
from pathlib import Path
from typing import Any

import msgspec

from foxtailcourse.ctl._errors import CtlError, ExitCode
from foxtailcourse.ctl._output import Result, format_table, read_text
from foxtailcourse.http import ClientError, ConnectionPool, RequestOptions
from foxtailcourse.protocol import Verdict
from foxtailcourse.settings import Address

EXPLAIN_TARGET = "/explain"
CALL_TIMEOUT_S = 5.0
REQUEST_LINE = re.compile(r"[A-Z]+ (\S+) HTTP/1\.[01]")
VERDICTS = {"send": "sent now", "wait": "deferred", "refuse": "refused"}
COSTS = ("queue", "running", "prefill", "transfer", "other", "placement")


def make_question(file: Path | None, **options: Any) -> dict[str, Any]:
    """Return the body of a question to an entry.

    Parameters
    ----------
    file : Path or None
        File with a request line, which may be missing, and header fields.
    options : dict
        Description of the request on the command line: ``route``, ``host``, ``path``,
        ``account``, ``key``, ``model``, ``parts`` and ``output_tokens``. They override
        the file; empty values do not.

    Raises
    ------
    CtlError
        If the file cannot be read.
    """
    if file is None:
        return options
    path, fields = parse_request(read_text(file))
    return options | {"path": options.get("path") or path, "fields": fields}


def parse_request(text: str) -> tuple[str, list[tuple[str, str]]]:
    """Return the path and the header fields of a request in a file.

    Raises
    ------
    CtlError
        If a line is no header field.
    """
    path, fields = "", []
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip():
            break
        match = REQUEST_LINE.fullmatch(line.strip())
        if match and number == 1:
            path = match[1]
            continue
        name, colon, value = line.partition(":")
        if not colon or not name.strip():
            message = f"line {number} is no header field NAME: VALUE"
            raise CtlError(ExitCode.BAD_INPUT, message)
        fields.append((name.strip(), value.strip()))
    return path, fields


async def explain_now(
    pool: ConnectionPool, address: Address, question: dict[str, Any]
) -> Result:
    """Return where a request would go now, as an entry explains it.

    Raises
    ------
    CtlError
        If the entry does not answer, or if it knows no such route or account.
    """
    options = RequestOptions(
        connect_timeout_s=CALL_TIMEOUT_S, idle_timeout_s=CALL_TIMEOUT_S
    )
    body = msgspec.json.encode(question)
    try:
        async with pool.request(
            address, "POST", EXPLAIN_TARGET, body=body, options=options
        ) as response:
            value = await response.json()
            status = response.status
    except ClientError as exc:
        if exc.verdict is Verdict.NOT_RUN:
            message = f"unknown entry: nothing answers at {address}"
            raise CtlError(ExitCode.BAD_INPUT, message) from exc
        message = f"the entry at {address} does not answer: {exc}"
        raise CtlError(ExitCode.UNREACHABLE, message) from exc
    if status == 200 and isinstance(value, dict):
        return Result(value, _format(value))
    raise _error(address, status, value)


def _error(address: Address, status: int, value: object) -> CtlError:
    """Return the error that an entry answered with."""
    error = value.get("error") if isinstance(value, dict) else None
    code = error.get("code", "") if isinstance(error, dict) else ""
    if code in {"unknown_path", "method_not_allowed"}:
        message = f"unknown entry: the process at {address} explains no requests"
        return CtlError(ExitCode.BAD_INPUT, message)
    message = error.get("message", "") if isinstance(error, dict) else f"{status}"
    exit_code = ExitCode.BAD_INPUT if status < 500 else ExitCode.FAILED
    return CtlError(exit_code, message or f"status {status}", reason=code)


def _format(value: dict[str, Any]) -> list[str]:
    account = value["account"] or "no client account"
    lines = [
        f"route {value['route']}, {account}, {value['prompt_tokens']} prompt tokens",
        f"configuration of revision {value['configuration_revision']}, "
        f"{_age(value['configuration_age_ms'])} old; "
        f"list of servers {_age(value['servers_age_ms'])} old",
    ]
    for service in value["services"]:
        lines += ["", *_format_service(service)]
    return lines


def _format_service(service: dict[str, Any]) -> list[str]:
    verdict = VERDICTS[service["verdict"]]
    line = f"service {service['service']} ({service['share']:.0%}): {verdict}"
    if service["server"]:
        line += f" to {service['server']}"
    if service["reason"]:
        line += f" ({service['reason']}, retry after {service['retry_after_ms']} ms)"
    lines = [line]
    if service["candidates"]:
        head = ["server", "domain", f"cost ({service['unit']})", *COSTS]
        head += ["cached", "fetch from", "loads", "cache"]
        rows = [
            [
                each["server"],
                each["failure_domain"],
                each["total"],
                *(each[name] for name in COSTS),
                each["cached_tokens"],
                each["fetch_from"] or "-",
                _age(each["loads_age_ms"]),
                "known" if each["cache_known"] else "unknown",
            ]
            for each in service["candidates"]
        ]
        lines += format_table(head, rows)
    for server, reason in service["excluded"].items():
        lines.append(f"not eligible: {server} ({reason})")
    return lines


def _age(age_ms: int | None) -> str:
    return "-" if age_ms is None else f"{age_ms} ms"
