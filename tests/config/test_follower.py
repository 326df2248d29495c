import time
from contextlib import asynccontextmanager

import trio
from testtools.matchers import Equals

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


def contract(generation, share=1.0):
    body = {"client_account": "teatro", "share": share}
    key = "contracts/teatro"
    return Record(key=key, generation=generation, write_id="w", body=body)


def make_vm(name):
    address = Address("127.0.0.1", 1)
    return Vm(
        vm=name,
        failure_domain="palermo",
        role=VmRole.AGENT,
        listen=address,
        control=address,
        admin=address,
        serves="guide",
    )


@asynccontextmanager
async def serve_platform(standin):
    """Serve a stand-in on a free port and yield its address."""
    server = HttpServer(standin.handler, HttpLimits(), lambda e, exc: None)
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    async with trio.open_nursery() as nursery:
        await nursery.start(server.serve, listeners)
        yield Address("127.0.0.1", listeners[0].socket.getsockname()[1])
        nursery.cancel_scope.cancel()


def make_follower(address, **changes):
    options = {"backoff_min_s": 0.01, "backoff_max_s": 0.02}
    options |= {"vm_list_poll_s": 0.01, "watch_wait_s": 0.2}
    cfg = PlatformSettings(key_value=address, vm_list=address, **(options | changes))
    clock = HybridClock(time.time)
    return ConfigFollower(
        cfg,
        ConfigStore(),
        vm="a",
        failure_domain="palermo",
        events=EventLog("test", clock),
        metrics=Metrics(),
    )


async def wait_until(condition):
    while not condition():
        await trio.sleep(0.002)


class TestConfigFollower(AsyncTestCase):
    """Guards against a copy that misses a change or goes back."""

    def follow(self, check, standin=None):
        async def main():
            platform = standin or PlatformStandin()
            async with serve_platform(platform) as address:
                follower = make_follower(address)
                async with trio.open_nursery() as nursery:
                    await nursery.start(follower.run)
                    await check(platform, follower)
                    nursery.cancel_scope.cancel()

        self.run_async(main)

    def test_change_and_vm_list_arrive(self):
        async def check(platform, follower):
            platform.set_vms([make_vm("b")])
            await follower.wait_ready()
            platform.seed([contract(1, 3.0)])
            await wait_until(lambda: "teatro" in follower.store.view.contracts)
            await wait_until(lambda: "b" in follower.store.view.vms)
            platform.set_vms([])
            await wait_until(lambda: not follower.store.view.vms)

        self.follow(check)

    def test_restored_platform_does_not_break_the_watch(self):
        async def check(platform, follower):
            await follower.wait_ready()
            old = platform.seed([contract(1, 1.0)])
            platform.seed([contract(2, 2.0)])
            await wait_until(lambda: follower.store.revision == platform.revision)
            platform.restore(old)
            platform.seed([contract(3, 5.0)])
            await wait_until(
                lambda: follower.store.get("contracts/teatro").order[0] > 2
            )
            share = follower.store.view.contracts["teatro"].share
            self.assertThat(share, Equals(5.0))

        self.follow(check)

    def test_start_during_an_outage_becomes_ready_afterwards(self):
        async def check(platform, follower):
            await wait_until(lambda: platform.calls["GET /kv/range"] > 2)
            self.assertFalse(follower.ready)
            platform.faults.outage = "off"
            await follower.wait_ready()

        standin = PlatformStandin()
        standin.faults.outage = "refuse"
        self.follow(check, standin)
