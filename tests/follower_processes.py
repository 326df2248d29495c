"""Helpers that run configuration followers as separate processes."""

import json
import subprocess
import sys
from contextlib import asynccontextmanager
from pathlib import Path

import attrs
import trio

from cluster import FAST_SETTINGS, make_vm
from foxtailcourse.http import ConnectionPool
from foxtailcourse.settings import parse_address

ROOT = Path(__file__).resolve().parent.parent
FOLLOWER_PROGRAM = ROOT / "scripts" / "follower_process.py"


@attrs.define
class FollowerProcess:
    """A running follower process and its entry in the VM list."""

    process: trio.Process
    vm: object
    pool: ConnectionPool = attrs.field(factory=ConnectionPool)

    async def status(self):
        """Return the response of /status."""
        async with self.pool.request(self.vm.admin, "GET", "/status") as response:
            return await response.json()

    async def wait_for(self, condition):
        """Poll /status until its value satisfies a condition; return the value."""
        while not condition(value := await self.status()):
            await trio.sleep(0.02)
        return value


@asynccontextmanager
async def start_follower(
    platform, vm, failure_domain="palermo", settings=FAST_SETTINGS
):
    """Run a follower process for the duration of the context."""
    options = {"platform": str(platform), "vm": vm, "failure_domain": failure_domain}
    options["settings"] = settings
    process = await trio.lowlevel.open_process(
        [sys.executable, str(FOLLOWER_PROGRAM), json.dumps(options)],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    try:
        line = b""
        while not line.endswith(b"\n"):
            chunk = await process.stdout.receive_some()
            if not chunk:
                raise RuntimeError(f"{vm} ended before it reported its addresses")
            line += chunk
        addresses = {k: parse_address(v) for k, v in json.loads(line).items()}
        vm_entry = make_vm(vm, failure_domain, addresses["control"], addresses["admin"])
        yield FollowerProcess(process, vm_entry)
    finally:
        process.kill()
        with trio.CancelScope(shield=True):
            await process.wait()
