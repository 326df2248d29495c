"""Helpers that start the daemons as processes on loopback addresses."""

import os
import subprocess
import sys
from pathlib import Path

import trio

from foxtailcourse.config import Record
from foxtailcourse.http import ConnectionPool
from foxtailcourse.observe import parse_event
from foxtailcourse.platform import KeyValueClient, Put
from foxtailcourse.settings import Address, parse_address

ROOT = Path(__file__).resolve().parent.parent


class DaemonProcess:
    """A daemon process and the events that it logs.

    Parameters
    ----------
    folder : str
        Directory for the settings file.
    module : str
        Module with the daemon's main function.
    text : str
        Content of the settings file.
    """

    def __init__(self, folder, module, text):
        self._module = module
        self._path = Path(folder) / f"{module}-{id(self)}.ini"
        self._path.write_text(text)
        self.events = []
        self.lines = []

    async def start(self, nursery):
        """Start the process and wait for its event ``process_ready``."""
        command = [sys.executable, "-m", self._module, "--config", str(self._path)]
        self.process = await trio.lowlevel.open_process(
            command,
            stdout=subprocess.PIPE,
            env=os.environ | {"PYTHONPATH": str(ROOT / "src")},
        )
        nursery.start_soon(self._read)
        return await self.wait_event("process_ready")

    async def _read(self):
        buffer = b""
        try:
            async for chunk in self.process.stdout:
                *lines, buffer = (buffer + chunk).split(b"\n")
                for line in lines:
                    self.lines.append(line.decode())
                    event = parse_event(line.decode())
                    if event is not None:
                        self.events.append(event)
        finally:
            if self.process.returncode is None:
                self.process.kill()

    async def wait_event(self, name, count=1):
        """Wait for the ``count``-th event of a name and return it."""
        while True:
            found = [each for each in self.events if each.name == name]
            if len(found) >= count:
                return found[count - 1]
            if self.process.returncode is not None:
                raise AssertionError(
                    f"{self._module} ended before the event: {self.lines[-5:]}"
                )
            await trio.sleep(0.01)

    def send_signal(self, signum):
        """Send a signal to the process."""
        self.process.send_signal(signum)


STANDIN_SETTINGS = """
[process]
vm = standin
failure_domain = palermo
admin_listen = 127.0.0.1:0
[standin]
platform = 127.0.0.1:0
vms =
    vm=palermo-1 {vm}
    vm=palermo-2 {vm}
"""
# Processes in the VM list watch the platform for their failure domain; these two are
# never called.
VM_LIST_LINE = "failure_domain=palermo role=entry listen={0} control={0} admin={0}"

AGENT_SETTINGS = """
[process]
vm = {vm}
failure_domain = palermo
admin_listen = 127.0.0.1:0
drain_grace_s = 0.2
{process_lines}
[agent]
listen = 127.0.0.1:0
serves = {serves}
kind = {kind}
backend = {backend}
[platform]
key_value = {platform}
vm_list = {platform}
"""


async def start_standin(nursery, folder, lines):
    """Start ``foxtail-standin``; return the addresses of its stand-ins.

    They are in the order of the given settings lines; the platform is last.
    """
    text = STANDIN_SETTINGS.format(vm=VM_LIST_LINE.format("127.0.0.1:1")) + lines
    daemon = DaemonProcess(folder, "foxtailcourse.standin.run", text)
    await daemon.start(nursery)
    listening = [e for e in daemon.events if e.name == "standin_listening"]
    return [parse_address(each.fields["address"]) for each in listening]


async def start_agent_process(
    nursery,
    folder,
    addresses,
    *,
    kind="service",
    vm="palermo-1",
    process_lines="",
    more_sections="",
):
    """Start ``foxtail-agent``; return the process and its address.

    ``addresses`` begins with the backend's address and ends with the platform's.
    ``process_lines`` are further lines of the section ``[process]``, and
    ``more_sections`` are appended to the settings file.
    """
    serves = "counter" if kind == "service" else "assistant"
    text = AGENT_SETTINGS.format(
        vm=vm,
        serves=serves,
        kind=kind,
        backend=addresses[0],
        platform=addresses[-1],
        process_lines=process_lines,
    )
    text += more_sections
    daemon = DaemonProcess(folder, "foxtailcourse.agent.run", text)
    ready = await daemon.start(nursery)
    return daemon, Address("127.0.0.1", int(ready.fields["port"]))


async def put_record(platform, key, **body):
    """Write generation 1 of a record to the platform stand-in."""
    store = KeyValueClient(ConnectionPool(), platform)
    record = Record(key=key, generation=1, write_id="w", body=body)
    await store.txn({key: 0}, put=[Put(key=key, value=record.encode())])
