"""Requests, and parts of prompts, that crash the backend servers they run on."""

from foxtailcourse.crashes._run_tracker import RunTracker
from foxtailcourse.crashes._suspicions import (
    Block,
    BreakReport,
    Parts,
    PartSuspicions,
    block_s,
    part_key,
    request_key,
    request_only,
    request_parts,
)

__all__ = [
    "Block",
    "BreakReport",
    "PartSuspicions",
    "Parts",
    "RunTracker",
    "block_s",
    "part_key",
    "request_key",
    "request_only",
    "request_parts",
]
