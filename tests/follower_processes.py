"""Starting followers as processes of their own."""

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
PROGRAM = ROOT / "scripts" / "follower_process.py"


@attrs.define
class FollowerProcess:
    """A started process."""

    process: trio.Process
    vm: object
    pool: ConnectionPool = attrs.field(factory=ConnectionPool)

    async def status(self):
        """Return the answer of /status."""
        async with self.pool.request(self.vm.admin, "GET", "/status") as response:
            return await response.json()

    async def wait_for(self, condition):
        """Poll /status until a condition holds on it."""
        while not condition(value := await self.status()):
            await trio.sleep(0.02)
        return value


@asynccontextmanager
async def start_follower(
    platform, vm, failure_domain="palermo", settings=FAST_SETTINGS
):
    """Start a follower process and end it afterwards."""
    options = {"platform": str(platform), "vm": vm, "failure_domain": failure_domain}
    options["settings"] = settings
    process = await trio.lowlevel.open_process(
        [sys.executable, str(PROGRAM), json.dumps(options)],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    try:
        line = b""
        while not line.endswith(b"\n"):
            piece = await process.stdout.receive_some()
            if not piece:
                raise RuntimeError(f"{vm} ended at its start")
            line += piece
        found = {k: parse_address(v) for k, v in json.loads(line).items()}
        listed = make_vm(vm, failure_domain, found["control"], found["admin"])
        yield FollowerProcess(process, listed)
    finally:
        process.kill()
        with trio.CancelScope(shield=True):
            await process.wait()
