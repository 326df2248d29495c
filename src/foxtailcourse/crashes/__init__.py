"""Requests, and parts of prompts, that crash the backend servers they run on."""

from foxtailcourse.crashes._run_tracker import RunTracker
from foxtailcourse.crashes._suspicions import (
    PAROLE_S,
    REQUEST_MEMORY_S,
    SETTLE_S,
    Block,
    BreakReport,
    Crash,
    Parts,
    PartSuspicions,
    block_s,
    part_key,
    request_key,
    request_only,
    request_parts,
)

__all__ = [
    "PAROLE_S",
    "REQUEST_MEMORY_S",
    "SETTLE_S",
    "Block",
    "BreakReport",
    "Crash",
    "PartSuspicions",
    "Parts",
    "RunTracker",
    "block_s",
    "part_key",
    "request_key",
    "request_only",
    "request_parts",
]
