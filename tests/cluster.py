"""Helpers that run a platform stand-in and configuration followers in one process."""

import random
import time
from contextlib import asynccontextmanager
from functools import partial

import attrs
import trio
import trio_asyncio

from foxtailcourse.config import (
    ConfigFollower,
    ConfigStore,
    PlatformSettings,
    Record,
    Vm,
    VmRole,
)
from foxtailcourse.http import HttpLimits, HttpServer
from foxtailcourse.observe import EventLog, HybridClock, Metrics
from foxtailcourse.settings import Address
from foxtailcourse.standin._platform import PlatformStandin
from support import AsyncTestCase

FAST_SETTINGS = {
    "backoff_min_s": 0.01,
    "backoff_max_s": 0.05,
    "vm_list_poll_s": 0.02,
    "watch_wait_s": 0.2,
    "write_back_jitter_s": 0.02,
    "heartbeat_s": 0.1,
    "follow_idle_s": 1.0,
    "start_grace_s": 0.3,
}
UNUSED = Address("127.0.0.1", 1)


def contract(generation, share=1.0, write_id="w", account="teatro"):
    """Return a contract record."""
    body = {"client_account": account, "share": share}
    key = f"contracts/{account}"
    return Record(key=key, generation=generation, write_id=write_id, body=body)


def make_vm(name, failure_domain="palermo", control=UNUSED, admin=UNUSED):
    """Return an entry of the VM list, by default with unused addresses."""
    return Vm(
        vm=name,
        failure_domain=failure_domain,
        role=VmRole.AGENT,
        listen=UNUSED,
        control=control,
        admin=admin,
        serves="guide",
    )


async def wait_until(condition):
    """Poll until a condition holds."""
    while not condition():
        await trio.sleep(0.002)


@asynccontextmanager
async def serve(handler):
    """Serve a handler on a free port and yield its address."""
    server = HttpServer(handler, HttpLimits(), lambda e, exc: None)
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    async with trio.open_nursery() as nursery:
        await nursery.start(server.serve, listeners)
        yield Address("127.0.0.1", listeners[0].socket.getsockname()[1])
        nursery.cancel_scope.cancel()


async def respond_status(follower, exchange):
    """Respond like the ``/status`` endpoint of a daemon."""
    await exchange.respond_json(200, {"config": follower.status()})


@attrs.define
class RunningFollower:
    """A running follower and the cancel scope that stops it."""

    follower: ConfigFollower
    scope: trio.CancelScope
    vm: Vm
    stopped: trio.Event

    @property
    def store(self):
        return self.follower.store

    def share(self, account="teatro"):
        """Return the share of a client account that is in force, or None."""
        contract = self.store.view.contracts.get(account)
        return contract and contract.share


class Cluster:
    """The running followers of one platform stand-in."""

    def __init__(self, platform, address, nursery):
        self.platform = platform
        self.address = address
        self.processes = {}
        self._nursery = nursery

    async def start(self, name, failure_domain="palermo", *, listed=True, **changes):
        """Start a follower and add it to the VM list."""
        options = (
            FAST_SETTINGS
            | {"key_value": self.address, "vm_list": self.address}
            | changes
        )
        follower = ConfigFollower(
            PlatformSettings(control_listen=Address("127.0.0.1", 0), **options),
            ConfigStore(),
            vm=name,
            failure_domain=failure_domain,
            events=EventLog(name, HybridClock(time.time)),
            metrics=Metrics(),
            rng=random.Random(name),
        )
        process = await self._nursery.start(self._run, follower)
        self.processes[name] = process
        if listed:
            self.list_vms()
        return process

    async def _run(self, follower, *, task_status):
        stopped = trio.Event()
        with trio.CancelScope() as scope:
            async with (
                serve(partial(respond_status, follower)) as admin,
                trio.open_nursery() as nursery,
            ):
                await nursery.start(follower.run)
                control = Address("127.0.0.1", follower.control_port)
                vm = make_vm(follower.vm, follower.failure_domain, control, admin)
                task_status.started(RunningFollower(follower, scope, vm, stopped))
        stopped.set()

    def list_vms(self):
        """Publish all running followers in the VM list."""
        self.platform.set_vms([process.vm for process in self.processes.values()])

    async def stop(self, name, *, listed=False):
        """Stop a follower; ``listed`` keeps it in the VM list."""
        process = self.processes.pop(name)
        process.scope.cancel()
        await process.stopped.wait()
        if not listed:
            self.list_vms()

    def watching_names(self):
        """Return the names of the followers that watch the platform."""
        return {k for k, v in self.processes.items() if v.follower.watching}

    async def wait_settled(self, size):
        """Wait until all followers are ready and have a VM list of the given size."""
        followers = self.processes.values()
        await wait_until(
            lambda: all(
                each.follower.ready and len(each.store.view.vms) == size
                for each in followers
            )
        )

    async def wait_all_have(self, share):
        """Wait until the given share is in force in every follower."""
        followers = self.processes.values()
        await wait_until(lambda: all(each.share() == share for each in followers))


@asynccontextmanager
async def cluster(platform=None):
    """Yield a Cluster around a platform stand-in."""
    platform = platform or PlatformStandin()
    async with (
        serve(platform.handle) as address,
        trio_asyncio.open_loop(),
        trio.open_nursery() as nursery,
    ):
        yield Cluster(platform, address, nursery)
        nursery.cancel_scope.cancel()


class ClusterTestCase(AsyncTestCase):
    """Test case that runs a check with a cluster."""

    def with_cluster(self, check, platform=None):
        async def main():
            async with cluster(platform) as running:
                await check(running)

        self.run_async(main)
