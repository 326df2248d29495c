"""Reading and describing settings files."""

import configparser
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import attrs

from foxtailcourse.settings._declare import (
    REQUIRED,
    SECTION_ATTRIBUTE,
    SETTING_KEY,
    Declaration,
    SettingError,
    SettingsErrors,
)


def section_name(cls: type) -> str:
    """Return the INI section of a settings class."""
    return getattr(cls, SECTION_ATTRIBUTE)


def declarations(cls: type) -> dict[str, Declaration]:
    """Return the declared settings of a class by key."""
    return {
        field.name: field.metadata[SETTING_KEY]
        for field in attrs.fields(cls)
        if SETTING_KEY in field.metadata
    }


def _read_file(path: Path) -> configparser.ConfigParser:
    parser = configparser.ConfigParser(interpolation=None)
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_string(path.read_text(encoding="utf-8"), source=str(path))
    except (OSError, UnicodeDecodeError, configparser.Error) as exc:
        reason = " ".join(str(exc).split())
        problem = SettingError(str(path), "-", "-", reason)
        raise SettingsErrors(f"cannot read settings {path}", [problem]) from exc
    return parser


def _read_section(
    path: Path,
    parser: configparser.ConfigParser,
    cls: type,
    problems: list[SettingError],
) -> dict[str, Any]:
    name = section_name(cls)
    declared = declarations(cls)
    present = dict(parser[name]) if parser.has_section(name) else {}
    if not parser.has_section(name) and _has_required(declared):
        problems.append(SettingError(str(path), name, "-", "section is missing"))
        return {}
    for key in present.keys() - declared.keys():
        known = ", ".join(sorted(declared))
        reason = f"unknown key; known keys are {known}"
        problems.append(SettingError(str(path), name, key, reason))
    values = {}
    for key, declaration in declared.items():
        if key not in present:
            if declaration.default is REQUIRED:
                problems.append(SettingError(str(path), name, key, "is required"))
            continue
        try:
            values[key] = declaration.parse(present[key])
        except ValueError as exc:
            problems.append(SettingError(str(path), name, key, str(exc)))
    return values


def _has_required(declared: dict[str, Declaration]) -> bool:
    return any(each.default is REQUIRED for each in declared.values())


def load_settings(path: str | Path, classes: Sequence[type]) -> tuple[Any, ...]:
    """Read one INI file into instances of settings classes.

    Parameters
    ----------
    path : str or Path
        The INI file.
    classes : sequence of type
        Classes made with :func:`section`, one for each section.

    Returns
    -------
    tuple
        One instance for each class, in order.

    Raises
    ------
    SettingsErrors
        With one SettingError for each unknown section, unknown key, bad value,
        missing key and missing section.
    """
    path = Path(path)
    parser = _read_file(path)
    problems: list[SettingError] = []
    known = {section_name(cls) for cls in classes}
    for name in parser.sections():
        if name not in known:
            reason = f"unknown section; known sections are {', '.join(sorted(known))}"
            problems.append(SettingError(str(path), name, "-", reason))
    values = [_read_section(path, parser, cls, problems) for cls in classes]
    if problems:
        raise SettingsErrors(f"{len(problems)} problems in {path}", problems)
    return tuple(cls(**each) for cls, each in zip(classes, values, strict=True))


def _sample_value(value: Any) -> str:
    if isinstance(value, tuple):
        return ", ".join(str(part) for part in value)
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)


def render_sample(classes: Sequence[type]) -> str:
    """Return a commented INI sample; optional keys are commented out."""
    lines = []
    for cls in classes:
        lines.append(f"[{section_name(cls)}]")
        for key, declaration in declarations(cls).items():
            unit = f" ({declaration.unit})" if declaration.unit else ""
            lines.append(f"# {declaration.description}{unit}")
            if declaration.default is REQUIRED:
                lines.append(f"{key} =")
            else:
                lines.append(f"# {key} = {_sample_value(declaration.default)}")
        lines.append("")
    return "\n".join(lines)
