"""Typed settings, declared once and read from INI files."""

from foxtailcourse.settings._declare import (
    Address,
    SettingError,
    SettingsErrors,
    parse_address,
    section,
    setting,
)
from foxtailcourse.settings._load import declarations, load_settings, render_sample

__all__ = [
    "Address",
    "SettingError",
    "SettingsErrors",
    "declarations",
    "load_settings",
    "parse_address",
    "render_sample",
    "section",
    "setting",
]
