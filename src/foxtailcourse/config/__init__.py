"""Operators' configuration: contracts, records and their merge."""

from foxtailcourse.config._follower import ConfigFollower, PlatformSettings
from foxtailcourse.config._model import (
    ConfigView,
    Contract,
    ModelSpec,
    ServiceRoute,
    Vm,
    VmRole,
    VmState,
)
from foxtailcourse.config._records import Record, RecordError, decode_record
from foxtailcourse.config._store import ConfigStore

__all__ = [
    "ConfigFollower",
    "ConfigStore",
    "ConfigView",
    "Contract",
    "ModelSpec",
    "PlatformSettings",
    "Record",
    "RecordError",
    "ServiceRoute",
    "Vm",
    "VmRole",
    "VmState",
    "decode_record",
]
