"""Parser and writer of contract and service files in INI format.

The parser reports all problems of a file at once, each with its line.
"""

import re
from collections.abc import Iterator
from typing import Any

import attrs

from foxtailcourse.config import Contract, ServiceRoute
from foxtailcourse.settings import declarations, setting

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,63}", re.ASCII)
SHA256_PATTERN = re.compile(r"[0-9a-f]{64}", re.ASCII)
MAX_FILE_CHARS = 1_000_000
MAX_RATE_OR_SHARE = 1e9
MAX_DURATION_MS = 3_600_000
GENERATION_KEY = "generation"


class InputError(ValueError):
    """One problem of a file.

    Parameters
    ----------
    file : str
        Name of the file.
    line : int
        Number of the line, from 1; 0 for the whole file.
    reason : str
        What is wrong.
    """

    def __init__(self, file: str, line: int, reason: str) -> None:
        super().__init__(f"{file}:{line}: {reason}")
        self.file = file
        self.line = line
        self.reason = reason


class InputErrors(ExceptionGroup):
    """All problems of one file."""


@attrs.frozen
class ContractKeys:
    """Keys of a ``[contract ACCOUNT]`` section: fields of Contract, and generation."""

    key_sha256: tuple[str, ...] = setting(
        tuple[str, ...],
        (),
        description="Hex SHA-256 of each accepted bearer key; see 'key hash'.",
    )
    models: tuple[str, ...] = setting(
        tuple[str, ...], (), description="Models the account may call."
    )
    services: tuple[str, ...] = setting(
        tuple[str, ...], (), description="Service routes the account may call."
    )
    share: float = setting(
        float,
        1.0,
        description="Weight of the account when capacity is contended.",
        minimum=0.001,
        maximum=MAX_RATE_OR_SHARE,
    )
    requests_per_s: float = setting(
        float,
        50.0,
        description="Highest rate of requests over all entries.",
        unit="per second",
        minimum=0,
        maximum=MAX_RATE_OR_SHARE,
    )
    tokens_per_s: float = setting(
        float,
        200_000.0,
        description="Highest rate of prompt tokens plus maximum output tokens, over "
        "all entries.",
        unit="per second",
        minimum=0,
        maximum=MAX_RATE_OR_SHARE,
    )
    max_concurrent: int = setting(
        int,
        64,
        description="Largest number of concurrent requests on one entry.",
        minimum=1,
        maximum=1_000_000,
    )
    max_body_bytes: int = setting(
        int,
        1024 * 1024,
        description="Largest request body.",
        unit="bytes",
        minimum=1,
        maximum=64 * 1024 * 1024,
    )
    short_max_tokens: int = setting(
        int,
        128,
        description="A request that may generate at most this many tokens is short.",
        unit="tokens",
        minimum=0,
        maximum=10_000_000,
    )
    short_deadline_ms: int = setting(
        int,
        5_000,
        description="Longest time to first token of short requests.",
        unit="milliseconds",
        minimum=1,
        maximum=MAX_DURATION_MS,
    )
    long_deadline_ms: int = setting(
        int,
        120_000,
        description="Longest time to first token of long requests.",
        unit="milliseconds",
        minimum=1,
        maximum=MAX_DURATION_MS,
    )
    generation: int = setting(
        int,
        0,
        description="Generation of the contract that this file was made from, as 'get' "
        "writes it; applying fails if the contract has changed since. 0 disables the "
        "check.",
        minimum=0,
    )


@attrs.frozen
class ServiceKeys:
    """Keys of a ``[service ROUTE]`` section: fields of ServiceRoute, and generation."""

    repeatable: bool = setting(
        bool, False, description="Whether a call may run more than once."
    )
    timeout_ms: int = setting(
        int,
        10_000,
        description="Longest time for a response of the backend server.",
        unit="milliseconds",
        minimum=1,
        maximum=MAX_DURATION_MS,
    )
    generation: int = setting(
        int,
        0,
        description="Generation of the service that this file was made from.",
        minimum=0,
    )


@attrs.frozen
class ParsedSection:
    """Parsed section of a contract or service file.

    Parameters
    ----------
    value : Contract or ServiceRoute
        Content of the section.
    generation : int
        Generation that the section was made from; 0 if it has no such key.
    """

    value: Any
    generation: int


@attrs.define
class _Section:
    """Unconverted section; its values are line number and text by key."""

    line_number: int
    kind: str
    name: str
    values: dict[str, tuple[int, str]] = attrs.field(factory=dict)


def _split_sections(
    text: str, file: str, problems: list[InputError]
) -> Iterator[_Section]:
    """Yield the sections with unconverted values.

    A value may continue on indented lines. Problems are appended to ``problems``.
    """
    section: _Section | None = None
    key = ""
    for line_number, raw_line in enumerate(text.splitlines(), 1):
        line = raw_line.strip()
        if not line or line.startswith(("#", ";")):
            continue
        if line.startswith("["):
            if section is not None:
                yield section
            words = line.strip("[]").split()
            section = _Section(line_number, "", "")
            key = ""
            if not line.endswith("]") or len(words) != 2:
                reason = f"expected [contract NAME] or [service NAME], got {line[:60]}"
                problems.append(InputError(file, line_number, reason))
            else:
                section.kind, section.name = words
        elif section is None:
            problems.append(
                InputError(file, line_number, "text before the first section")
            )
        elif raw_line[0].isspace() and key:
            first_line_number, value = section.values[key]
            section.values[key] = (first_line_number, f"{value}\n{line}")
        else:
            key = _parse_pair(section, line, line_number, file, problems)
    if section is not None:
        yield section


def _parse_pair(
    section: _Section,
    line: str,
    line_number: int,
    file: str,
    problems: list[InputError],
) -> str:
    """Add a ``key = value`` line to the section; return the key, "" if invalid."""
    key, equals, value = (part.strip() for part in line.partition("="))
    if not equals or not key:
        reason = f"expected KEY = VALUE, got {line[:60]!r}"
        problems.append(InputError(file, line_number, reason))
        return ""
    if key in section.values:
        reason = f"{key} is already set in line {section.values[key][0]}"
        problems.append(InputError(file, line_number, reason))
        return ""
    section.values[key] = (line_number, value)
    return key


def _convert_values(
    section: _Section, keys_type: type, file: str, problems: list[InputError]
) -> dict[str, Any]:
    """Return the converted values of one section, without those that are invalid."""
    declared = declarations(keys_type)
    values = {}
    for key, (line_number, text) in section.values.items():
        if key not in declared:
            names = ", ".join(declared)
            reason = f"unknown key {key}; expected one of {names}"
            problems.append(InputError(file, line_number, reason))
            continue
        try:
            values[key] = declared[key].parse(text)
        except ValueError as exc:
            problems.append(InputError(file, line_number, f"{key}: {exc}"))
    for key_hash in values.get("key_sha256", ()):
        if not SHA256_PATTERN.fullmatch(key_hash):
            line_number = section.values["key_sha256"][0]
            reason = f"key_sha256: {key_hash[:20]!r} is not 64 lower-case hex digits"
            problems.append(InputError(file, line_number, reason))
    return values


def _parse_sections(
    text: str, file: str, kind: str, keys_type: type, name_field: str
) -> dict[str, Any]:
    """Return the converted values of each section, by name.

    Parameters
    ----------
    text, file : str
        Content and name of the file.
    kind : str
        ``contract`` or ``service``, the first word of each section's head.
    keys_type : type
        Class that declares the keys of a section.
    name_field : str
        Key under which the section's name is added to its values.

    Raises
    ------
    InputErrors
        With one InputError for each problem.
    """
    problems: list[InputError] = []
    # Line number and converted values of each section by name.
    sections: dict[str, tuple[int, dict[str, Any]]] = {}
    if len(text) > MAX_FILE_CHARS:
        problems.append(InputError(file, 0, "file is too large"))
        text = ""
    for section in _split_sections(text, file, problems):
        if section.kind and section.kind != kind:
            reason = f"expected [{kind} NAME], got [{section.kind} {section.name}]"
            problems.append(InputError(file, section.line_number, reason))
            continue
        values = _convert_values(section, keys_type, file, problems)
        if section.kind and not NAME_PATTERN.fullmatch(section.name):
            reason = f"{section.name[:80]!r} is not a name: use a-z, 0-9, '.', '_', '-'"
            problems.append(InputError(file, section.line_number, reason))
        elif section.name in sections:
            reason = (
                f"{section.name} is already defined in line {sections[section.name][0]}"
            )
            problems.append(InputError(file, section.line_number, reason))
        elif section.kind:
            sections[section.name] = (
                section.line_number,
                values | {name_field: section.name},
            )
    if not sections and not problems:
        problems.append(InputError(file, 0, f"no [{kind} NAME] section"))
    problems += _find_shared_bearer_keys(sections, file)
    if problems:
        problems.sort(key=lambda each: each.line)
        raise InputErrors(f"{len(problems)} problems in {file}", problems)
    return {name: values for name, (_, values) in sections.items()}


def _find_shared_bearer_keys(
    sections: dict[str, tuple[int, dict[str, Any]]], file: str
) -> Iterator[InputError]:
    """Yield a problem for each bearer key that several contracts contain."""
    owners: dict[str, str] = {}
    for name, (line_number, values) in sections.items():
        for key_hash in values.get("key_sha256", ()):
            owner = owners.setdefault(key_hash, name)
            if owner != name:
                reason = f"{name}: key {key_hash[:12]}... also belongs to {owner}"
                yield InputError(file, line_number, reason)


def parse_contracts(text: str, file: str) -> list[ParsedSection]:
    """Parse a file of ``[contract ACCOUNT]`` sections.

    Raises
    ------
    InputErrors
        With one InputError for each problem of the file.
    """
    sections = _parse_sections(text, file, "contract", ContractKeys, "client_account")
    return [
        ParsedSection(Contract(**values), generation)
        for values in sections.values()
        for generation in [values.pop(GENERATION_KEY, 0)]
    ]


def parse_services(text: str, file: str) -> list[ParsedSection]:
    """Parse a file of ``[service ROUTE]`` sections.

    Raises
    ------
    InputErrors
        With one InputError for each problem of the file.
    """
    sections = _parse_sections(text, file, "service", ServiceKeys, "route")
    return [
        ParsedSection(ServiceRoute(**values), generation)
        for values in sections.values()
        for generation in [values.pop(GENERATION_KEY, 0)]
    ]


def _format_value(value: Any) -> str:
    if isinstance(value, tuple):
        return ", ".join(value)
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)


def render_section(value: Contract | ServiceRoute, generation: int) -> str:
    """Return the text of a section that parses to the same value.

    Each key has its description as a comment.
    """
    is_contract = isinstance(value, Contract)
    keys_type = ContractKeys if is_contract else ServiceKeys
    kind = "contract" if is_contract else "service"
    name = value.client_account if isinstance(value, Contract) else value.route
    lines = [f"[{kind} {name}]"]
    for key, declaration in declarations(keys_type).items():
        unit = f" ({declaration.unit})" if declaration.unit else ""
        current = generation if key == GENERATION_KEY else getattr(value, key)
        lines += [
            f"# {declaration.description}{unit}",
            f"{key} = {_format_value(current)}",
        ]
    return "\n".join(lines) + "\n"
