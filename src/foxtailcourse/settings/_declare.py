"""Declaration of settings as fields of attrs classes."""

from collections.abc import Callable
from typing import Any, TypeVar

import attrs

SETTING_KEY = "setting"
SECTION_ATTRIBUTE = "__ini_section__"
REQUIRED = object()

T = TypeVar("T")


@attrs.frozen
class Address:
    """A TCP address.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        Port number; 0 asks the system for a free port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class SettingError(ValueError):
    """One problem of one setting, with its file, section and key."""

    def __init__(self, file: str, section_name: str, key: str, reason: str) -> None:
        super().__init__(f"{file}: [{section_name}] {key}: {reason}")
        self.file = file
        self.section = section_name
        self.key = key
        self.reason = reason


class SettingsErrors(ExceptionGroup):
    """All problems of one settings file, reported together."""


@attrs.frozen
class Declaration:
    """What a setting's reader declares about it.

    Parameters
    ----------
    parse : callable
        Turns the text into the value; raises ValueError on a bad text.
    default : object
        Value when the key is absent, or REQUIRED.
    description : str
        One sentence for samples and reference pages.
    unit : str
        Unit of the value, empty if it has none.
    """

    parse: Callable[[str], Any]
    default: Any
    description: str
    unit: str


def parse_address(text: str) -> Address:
    """Parse ``host:port`` where the host is an IPv4 or bracketed IPv6 number."""
    host, colon, port = text.strip().rpartition(":")
    if not colon or not host:
        raise ValueError(f"expected IP:PORT, got {text!r}")
    if not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"port must be 0 to 65535, got {port!r}")
    return Address(host.strip("[]"), int(port))


def parse_bool(text: str) -> bool:
    """Parse yes/no, true/false, on/off or 1/0."""
    values = {"yes": True, "true": True, "on": True, "1": True}
    values |= {"no": False, "false": False, "off": False, "0": False}
    if text.strip().lower() not in values:
        raise ValueError(f"expected yes or no, got {text!r}")
    return values[text.strip().lower()]


def parse_list(text: str) -> tuple[str, ...]:
    """Parse values separated by commas or new lines."""
    parts = text.replace("\n", ",").split(",")
    return tuple(part.strip() for part in parts if part.strip())


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Parse a list of addresses."""
    return tuple(parse_address(part) for part in parse_list(text))


PARSERS: dict[Any, Callable[[str], Any]] = {
    str: str.strip,
    int: int,
    float: float,
    bool: parse_bool,
    Address: parse_address,
    tuple[str, ...]: parse_list,
    tuple[Address, ...]: parse_addresses,
}


def _bounded(
    parse: Callable[[str], Any],
    minimum: float | None,
    maximum: float | None,
    choices: tuple[str, ...],
) -> Callable[[str], Any]:
    def parse_bounded(text: str) -> Any:
        value = parse(text)
        if value != value:
            raise ValueError("must be a number")
        if minimum is not None and value < minimum:
            raise ValueError(f"must be at least {minimum}, got {value}")
        if maximum is not None and value > maximum:
            raise ValueError(f"must be at most {maximum}, got {value}")
        if choices and value not in choices:
            raise ValueError(f"must be one of {', '.join(choices)}, got {value!r}")
        return value

    return parse_bounded


def setting(
    kind: Any,
    default: Any = REQUIRED,
    *,
    description: str,
    unit: str = "",
    minimum: float | None = None,
    maximum: float | None = None,
    choices: tuple[str, ...] = (),
) -> Any:
    """Declare one setting as an attrs field.

    Parameters
    ----------
    kind : type
        One of the keys of PARSERS.
    default : object
        Value when the key is absent; without one the key is required.
    description : str
        One sentence that says what the setting does.
    unit : str
        Unit of the value.
    minimum, maximum : float
        Inclusive bounds of a number.
    choices : tuple of str
        Allowed values of a text.
    """
    parse = _bounded(PARSERS[kind], minimum, maximum, choices)
    declaration = Declaration(parse, default, description, unit)
    field_default = attrs.NOTHING if default is REQUIRED else default
    metadata = {SETTING_KEY: declaration}
    return attrs.field(default=field_default, metadata=metadata, kw_only=True)


def section(name: str) -> Callable[[type[T]], type[T]]:
    """Turn a class of settings into a frozen attrs class bound to an INI section."""

    def decorate(cls: type[T]) -> type[T]:
        cls = attrs.frozen(cls)
        setattr(cls, SECTION_ATTRIBUTE, name)
        return cls

    return decorate
