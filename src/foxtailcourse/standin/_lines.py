"""List settings with one line for each stand-in."""

from collections.abc import Mapping
from typing import Any, TypeVar

import attrs

from foxtailcourse.config import Vm, VmRole, VmState
from foxtailcourse.settings import Address, parse_address

T = TypeVar("T")


@attrs.frozen
class StandinLine:
    """One line: an address and options.

    Parameters
    ----------
    address : Address
        Where the stand-in listens.
    options : dict of str to str
        The ``key=value`` words of the line.
    """

    address: Address
    options: dict[str, str]


def parse_words(words: list[str]) -> dict[str, str]:
    """Parse ``key=value`` words; raises ValueError on anything else."""
    options = {}
    for word in words:
        key, equals, value = word.partition("=")
        if not equals or not key:
            raise ValueError(f"expected key=value, got {word!r}")
        options[key] = value
    return options


def parse_line(text: str) -> StandinLine:
    """Parse ``IP:PORT key=value ...``."""
    address, *words = text.split()
    return StandinLine(parse_address(address), parse_words(words))


def fill_options(cls: type[T], options: Mapping[str, str]) -> T:
    """Build an options class from texts; raises ValueError on an unknown key."""
    fields = {field.name: field for field in attrs.fields(cls)}  # type: ignore[arg-type]
    values: dict[str, Any] = {}
    for key, text in options.items():
        if key not in fields:
            raise ValueError(f"unknown option {key!r}; known are {', '.join(fields)}")
        kind = fields[key].type
        if kind is bool:
            values[key] = text in ("yes", "true", "1")
        elif kind in (int, float, str):
            values[key] = kind(text)
        else:
            values[key] = parse_address(text)
    return cls(**values)


def parse_vm(text: str) -> Vm:
    """Parse one line of the VM list; raises ValueError if it is incomplete."""
    words = parse_words(text.split())
    try:
        return Vm(
            vm=words["vm"],
            failure_domain=words["failure_domain"],
            role=VmRole(words["role"]),
            listen=parse_address(words["listen"]),
            control=parse_address(words["control"]),
            admin=parse_address(words["admin"]),
            serves=words.get("serves", ""),
            state=VmState(words.get("state", "live")),
        )
    except KeyError as exc:
        raise ValueError(f"VM line lacks {exc}: {text!r}") from exc
