"""What the listed processes hold."""

from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import Any

import attrs
import msgspec
import trio

from foxtailcourse.config import Record, RecordError, Vm, decode_record
from foxtailcourse.config._watchers import choose_watchers
from foxtailcourse.control import PeerClient, PeerError, asyncio_loop
from foxtailcourse.http import ClientError, ConnectionPool, RequestOptions
from foxtailcourse.protocol import Sender, SnapshotRequest

MAX_CALLS_AT_ONCE = 32
ASK_ALL_UP_TO = 256


@attrs.frozen
class HeldRecords:
    """Records that processes hold, and who could not be asked."""

    records: tuple[Record, ...] = ()
    asked: tuple[str, ...] = ()
    unreachable: tuple[str, ...] = ()


@attrs.frozen
class ProcessStatus:
    """Status of one process; ``status`` is empty if it cannot be reached."""

    vm: Vm
    status: dict[str, Any]
    error: str = ""

    @property
    def config(self) -> dict[str, Any]:
        """The process's own report on its configuration."""
        value = self.status.get("config")
        return value if isinstance(value, dict) else {}


def decode_vms(bodies: Iterable[dict[str, Any]]) -> dict[str, Vm]:
    """Return the VMs of a VM list by name; unreadable entries are left out."""
    vms = {}
    for body in bodies:
        try:
            vm = msgspec.convert(body, Vm)
        except msgspec.ValidationError:
            continue
        vms[vm.vm] = vm
    return vms


def choose_asked(vms: dict[str, Vm]) -> list[Vm]:
    """Return whom to ask for records: all, or in a large fleet the watchers.

    All other processes follow the watchers, and hand them what they lack.
    """
    if len(vms) <= ASK_ALL_UP_TO:
        return list(vms.values())
    domains = {each.failure_domain for each in vms.values()}
    return [each for domain in domains for each in choose_watchers(vms, domain)]


async def _for_each(vms: Iterable[Vm], run: Callable[[Vm], Awaitable[None]]) -> None:
    limiter = trio.CapacityLimiter(MAX_CALLS_AT_ONCE)

    async def limited(vm: Vm) -> None:
        async with limiter:
            await run(vm)

    async with trio.open_nursery() as nursery:
        for vm in vms:
            nursery.start_soon(limited, vm)


async def held_records(
    vms: dict[str, Vm], keys: Sequence[str], timeout_s: float
) -> HeldRecords:
    """Ask the processes for their records of some keys."""
    records: list[Record] = []
    asked: list[str] = []
    unreachable: list[str] = []
    request = SnapshotRequest(sender=Sender(vm=""), keys=tuple(keys))

    async def ask(vm: Vm) -> None:
        try:
            reply = await PeerClient(vm.control, timeout_s).snapshot(request)
            records.extend(
                decode_record(each.key, each.value, each.mod_revision)
                for each in reply.records
                if each.key in keys
            )
        except (PeerError, RecordError):
            unreachable.append(vm.vm)
        else:
            asked.append(vm.vm)

    async with asyncio_loop():
        await _for_each(choose_asked(vms), ask)
    return HeldRecords(tuple(records), tuple(sorted(asked)), tuple(sorted(unreachable)))


async def read_statuses(
    pool: ConnectionPool, vms: dict[str, Vm], timeout_s: float
) -> list[ProcessStatus]:
    """Read ``/status`` of each process."""
    found: dict[str, ProcessStatus] = {}
    options = RequestOptions(connect_timeout_s=timeout_s, idle_timeout_s=timeout_s)

    async def ask(vm: Vm) -> None:
        try:
            async with pool.request(
                vm.admin, "GET", "/status", options=options
            ) as response:
                value = await response.json()
            if response.status != 200 or not isinstance(value, dict):
                found[vm.vm] = ProcessStatus(vm, {}, f"status {response.status}")
            else:
                found[vm.vm] = ProcessStatus(vm, value)
        except ClientError as exc:
            found[vm.vm] = ProcessStatus(vm, {}, str(exc))

    await _for_each(vms.values(), ask)
    return [found[name] for name in sorted(found)]
