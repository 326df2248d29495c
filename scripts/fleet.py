"""Runs the system's programs on loopback addresses, for the demo and the tests."""

import os
import random
import signal
import socket
import subprocess
import sys
from pathlib import Path

import attrs
import msgspec
import trio

from foxtailcourse.config import Record
from foxtailcourse.http import ClientError, ConnectionPool
from foxtailcourse.observe import parse_event
from foxtailcourse.platform import KeyValueClient, PlatformError, Put
from foxtailcourse.settings import Address

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
# Below the kernel's ephemeral port range: an outgoing connection could otherwise get a
# chosen port before the program binds it.
FIRST_PORT, LAST_PORT = 20_000, 31_999
MAX_KEPT_EVENTS = 20_000
BLOCK_TOKENS = 64


class FleetError(Exception):
    """A program did not start or ended unexpectedly, or no port was free."""


# Bound sockets that reserve the chosen ports until this process ends.
_reserving_sockets = []


def free_address():
    """Return a loopback address whose port is reserved for this process.

    A socket that does not listen keeps the port bound, so that other programs do not
    choose it. Programs that set SO_REUSEADDR, as the system's do, can still listen on
    it.

    Raises
    ------
    FleetError
        If no free port is found.
    """
    for _ in range(1000):
        reserving = socket.socket()
        try:
            reserving.bind((HOST, random.randint(FIRST_PORT, LAST_PORT)))
        except OSError:
            reserving.close()
            continue
        reserving.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _reserving_sockets.append(reserving)
        return Address(HOST, reserving.getsockname()[1])
    raise FleetError("no free port")


@attrs.define
class LayoutVM:
    """One VM of the layout: an agent with its backend server, or an entry.

    The fields are those of the platform's VM list.

    Parameters
    ----------
    vm, failure_domain, role : str
        Name, failure domain and role (``"entry"`` or ``"agent"``).
    serves : str
        Model or service route of an agent.
    listen, control, admin : Address
        Listening addresses for requests, for peers and for ``/status``.
    state : str
        State of the VM, as ``"live"`` or ``"leaving"``.
    """

    vm: str
    failure_domain: str
    role: str
    serves: str = ""
    listen: Address = attrs.field(factory=free_address)
    control: Address = attrs.field(factory=free_address)
    admin: Address = attrs.field(factory=free_address)
    state: str = "live"

    def as_json(self):
        """Return the item of the VM list."""
        item = attrs.asdict(self)
        return item


class Program:
    """A child process whose log events are collected and can be waited for.

    Parameters
    ----------
    name : str
        Name for error messages.
    module : str
        Python module to run.
    path : Path
        Settings file.

    Attributes
    ----------
    events : list
        The first ``MAX_KEPT_EVENTS`` log events, over all starts.
    lines : list of str
        The last lines of the log.
    process : trio.Process or None
        The process of the last start.
    """

    def __init__(self, name, module, path):
        self.name = name
        self.events = []
        self.lines = []
        self.process = None
        self._module = module
        self._path = path

    async def start(self, nursery):
        """Start the program; return its ``process_ready`` event when it can serve."""
        first = len(self.events)
        self.process = await trio.lowlevel.open_process(
            [sys.executable, "-m", self._module, "--config", str(self._path)],
            stdout=subprocess.PIPE,
            env=os.environ | {"PYTHONPATH": str(ROOT / "src")},
        )
        nursery.start_soon(self._read_log, self.process)
        return await self.wait_event("process_ready", first=first)

    async def _read_log(self, process):
        buffer = b""
        try:
            async for chunk in process.stdout:
                *lines, buffer = (buffer + chunk).split(b"\n")
                for line in lines:
                    text = line.decode("utf-8", "replace")
                    self.lines = [*self.lines[-50:], text]
                    event = parse_event(text)
                    if event is not None and len(self.events) < MAX_KEPT_EVENTS:
                        self.events.append(event)
        finally:
            if process.returncode is None:
                process.kill()

    async def wait_event(self, name, count=1, first=0):
        """Wait for a number of events and return the last of them.

        Parameters
        ----------
        name : str
            Name of the event.
        count : int
            Number of events to wait for.
        first : int
            Index in ``events`` at which counting begins.

        Raises
        ------
        FleetError
            If the process ends first.
        """
        while True:
            matching = [each for each in self.events[first:] if each.name == name]
            if len(matching) >= count:
                return matching[count - 1]
            if self.process.returncode is not None:
                tail = "\n".join(self.lines[-5:])
                raise FleetError(
                    f"{self.name} ended before it logged {name}; last lines:\n{tail}"
                )
            await trio.sleep(0.01)

    def send_signal(self, signum):
        """Send a signal to the process."""
        self.process.send_signal(signum)

    async def stop(self):
        """Stop the process with SIGTERM and return the exit code."""
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
        return await self.process.wait()


class Fleet:
    """The programs of one layout, with stand-ins for the platform and the backends.

    Parameters
    ----------
    folder : Path
        Folder for the settings files.
    vms : list of LayoutVM
        The VMs.
    engine_options, service_options : str
        Further options of the stand-ins' engines and services.
    process_options, entry_options, platform_options : str
        Further lines of the ``[process]``, ``[entry]`` and ``[platform]`` sections.
    weight_load_s : float or None
        Duration of one weight load from a weight store, in seconds. None starts no
        weight store, and the engines load at once.
    """

    def __init__(
        self,
        folder,
        vms,
        *,
        engine_options="",
        service_options="",
        process_options="drain_grace_s = 0.3",
        entry_options="",
        platform_options="vm_list_poll_s = 0.2",
        weight_load_s=None,
    ):
        self.folder = Path(folder)
        self.vms = {each.vm: each for each in vms}
        self.backend_addresses = {
            e.vm: free_address() for e in vms if e.role == "agent"
        }
        self.platform = free_address()
        self.weight_store = None if weight_load_s is None else free_address()
        self.pool = ConnectionPool()
        self.programs = {}
        self._engine_options = engine_options
        self._service_options = service_options
        self._process_options = process_options
        self._entry_options = entry_options
        self._platform_options = platform_options
        self._weight_load_s = weight_load_s
        self._generations = {}

    def entries(self):
        """Return the entries of the layout."""
        return [each for each in self.vms.values() if each.role == "entry"]

    def agents(self):
        """Return the agents of the layout."""
        return [each for each in self.vms.values() if each.role == "agent"]

    async def start(self, nursery, records):
        """Start the stand-ins, apply the records, start the agents and the entries.

        Parameters
        ----------
        nursery : trio.Nursery
            Runs the tasks that read the programs' logs.
        records : dict of str to dict
            Bodies of configuration records by key.
        """
        await self._start_program(nursery, "standin", "standin", self._standin_text())
        await self.publish_vms()
        await self.apply(records)
        async with trio.open_nursery() as starting:
            for each in self.vms.values():
                starting.start_soon(self.start_vm, nursery, each.vm)

    async def start_vm(self, nursery, vm):
        """Start or restart one entry or agent."""
        layout_vm = self.vms[vm]
        text = self._entry_text(layout_vm)
        if layout_vm.role == "agent":
            text = self._agent_text(layout_vm)
        await self._start_program(nursery, vm, layout_vm.role, text)

    async def _start_program(self, nursery, name, package, text):
        path = self.folder / f"{name}.ini"
        path.write_text(text, encoding="utf-8")
        program = self.programs.get(name)
        if program is None:
            program = Program(name, f"foxtailcourse.{package}.run", path)
            self.programs[name] = program
        await program.start(nursery)

    async def apply(self, records):
        """Write configuration records to the platform.

        Raises
        ------
        PlatformError
            If another client changed a record at the same time.
        """
        client = KeyValueClient(self.pool, self.platform)
        for key, body in records.items():
            generation = self._generations.get(key, 0) + 1
            record = Record(
                key=key, generation=generation, write_id=f"fleet{generation}", body=body
            )
            stored = await client.range(key)
            revisions = [e.mod_revision for e in stored.items if e.key == key]
            expected = revisions[0] if revisions else 0
            put = Put(key=key, value=record.encode())
            result = await client.txn({key: expected}, [put])
            if not result.succeeded:
                raise PlatformError(
                    f"{key} was changed by another client", may_have_applied=False
                )
            self._generations[key] = generation

    async def publish_vms(self):
        """Replace the platform's VM list by the layout's VMs."""
        vm_list = [each.as_json() for each in self.vms.values()]
        await self.post(self.platform, "/vms", vm_list)

    async def post(self, address, path, value):
        """Send a POST with a JSON value and return the decoded response."""
        body = msgspec.json.encode(value)
        async with self.pool.request(address, "POST", path, body=body) as response:
            return await response.json()

    async def get(self, address, path):
        """Send a GET and return the decoded response."""
        async with self.pool.request(address, "GET", path) as response:
            return await response.json()

    async def status(self, vm):
        """Return a program's ``/status``, or None if it is unreachable."""
        try:
            return await self.get(self.vms[vm].admin, "/status")
        except ClientError:
            return None

    async def signal_busiest_agent(self, signum):
        """Send a signal to the assistant agent with the most running requests."""
        running = {
            each.vm: (await self.status(each.vm))["running"]
            for each in self.agents()
            if each.serves == "assistant"
        }
        self.programs[max(running, key=running.get)].send_signal(signum)

    async def wait_status(self, vm, condition):
        """Wait until a program's status meets a condition; return the status."""
        while True:
            status = await self.status(vm)
            if status is not None and condition(status):
                return status
            await trio.sleep(0.02)

    async def wait_configured(self):
        """Wait until each entry has received all agents and the contracts."""
        agents = {each.vm for each in self.agents()}
        for each in self.entries():
            await self.wait_status(
                each.vm,
                lambda status: (
                    agents <= set(status["backend_servers"]) and status["contracts"]
                ),
            )

    async def run_counts(self, route):
        """Return how often the services of a route ran each business key's request."""
        counts = {}
        for each in self.agents():
            if each.serves == route:
                state = await self.get(self.backend_addresses[each.vm], "/standin")
                for key, count in state["runs"].items():
                    counts[key] = counts.get(key, 0) + count
        return counts

    def service_routes(self):
        """Return the routes of the agents that serve a plain service, not a model."""
        return {e.serves for e in self.agents() if e.serves != "assistant"}

    async def stop(self):
        """Stop the entries, then the agents, then the stand-ins.

        Returns
        -------
        codes : dict of str to int
            Exit codes by program name.
        """
        codes = {}

        async def stop_one(name):
            codes[name] = await self.programs[name].stop()

        # The stand-ins have no VM, and hence no role.
        for role in ("entry", "agent", ""):
            async with trio.open_nursery() as nursery:
                for name in self.programs:
                    layout_vm = self.vms.get(name)
                    if (layout_vm.role if layout_vm else "") == role:
                        nursery.start_soon(stop_one, name)
        await self.pool.aclose()
        return codes

    def _standin_text(self):
        """Return the settings file of the stand-ins."""
        routes = self.service_routes()
        engines, services = [], []
        for each in self.agents():
            address = self.backend_addresses[each.vm]
            if each.serves in routes:
                options = f"route={each.serves} {self._service_options}"
                services.append(f"    {address} {options}")
            else:
                options = f"model={each.serves} block_tokens={BLOCK_TOKENS}"
                options = f"{options} {self._engine_options}"
                engines.append(f"    {address} {options}")
        weights = []
        if self.weight_store is not None:
            weights.append(f"weight_store = {self.weight_store}")
            weights.append(f"weight_load_s = {self._weight_load_s}")
        return "\n".join(
            [
                "[process]",
                "vm = standin",
                "failure_domain = palermo",
                f"admin_listen = {free_address()}",
                "[standin]",
                f"platform = {self.platform}",
                *weights,
                "engines =",
                *engines,
                "services =",
                *services,
                "",
            ]
        )

    def _process_text(self, layout_vm):
        """Return the lines of settings that entries and agents have in common."""
        return [
            "[process]",
            f"vm = {layout_vm.vm}",
            f"failure_domain = {layout_vm.failure_domain}",
            f"admin_listen = {layout_vm.admin}",
            self._process_options,
            "[platform]",
            f"key_value = {self.platform}",
            f"vm_list = {self.platform}",
            f"control_listen = {layout_vm.control}",
            self._platform_options,
            "peers = " + ", ".join(str(e.control) for e in self.peers_of(layout_vm)),
        ]

    def peers_of(self, layout_vm):
        """Return the VMs from which a process may fetch the configuration."""
        return [e for e in self.vms.values() if e.vm != layout_vm.vm]

    def _entry_text(self, layout_vm):
        """Return the settings file of an entry."""
        lines = [
            *self._process_text(layout_vm),
            "[entry]",
            f"listen = {layout_vm.listen}",
            self._entry_options,
            "[routing]",
            f"block_tokens = {BLOCK_TOKENS}",
            "",
        ]
        return "\n".join(lines)

    def _agent_text(self, layout_vm):
        """Return the settings file of an agent."""
        service = layout_vm.serves in self.service_routes()
        lines = [
            *self._process_text(layout_vm),
            "[agent]",
            f"listen = {layout_vm.listen}",
            f"serves = {layout_vm.serves}",
            f"kind = {'service' if service else 'engine'}",
            f"backend = {self.backend_addresses[layout_vm.vm]}",
            f"block_tokens = {BLOCK_TOKENS}",
            "",
        ]
        return "\n".join(lines)


def guardaroba_layout(entries=2, assistants=5, counters=2, availability=1):
    """Return the VMs of the Guardaroba layout, spread over three failure domains.

    Parameters
    ----------
    entries : int
        Number of entries.
    assistants : int
        Number of agents with an engine for the model ``assistant``.
    counters, availability : int
        Numbers of agents with the services of these routes.
    """
    domains = ("palermo", "catania", "siracusa")
    groups = [
        ("entry", "entry", "", entries),
        ("assistant", "agent", "assistant", assistants),
        ("counter", "agent", "counter", counters),
        ("availability", "agent", "availability", availability),
    ]
    vms = []
    for name, role, serves, count in groups:
        for number in range(count):
            domain = domains[len(vms) % len(domains)]
            layout_vm = LayoutVM(f"{name}-{number + 1}", domain, role, serves)
            vms.append(layout_vm)
    return vms
