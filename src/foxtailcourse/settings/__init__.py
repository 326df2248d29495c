"""Typed settings, declared once and read from INI files."""

from foxtailcourse.settings._declare import (
    Address,
    SettingError,
    SettingsErrors,
    parse_address,
    section,
    setting,
)
from foxtailcourse.settings._load import load_settings, render_reference, render_sample

__all__ = [
    "Address",
    "SettingError",
    "SettingsErrors",
    "load_settings",
    "parse_address",
    "render_reference",
    "render_sample",
    "section",
    "setting",
]
