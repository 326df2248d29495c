import trio
import trio.lowlevel
from testtools.matchers import Equals

from foxtailcourse.engine import EngineError, HttpEngineClient, Order
from foxtailcourse.standin import WeightStoreStandin, serve_handler
from foxtailcourse.standin._block_cache import BlockCache
from foxtailcourse.standin._settings_lines import parse_vm
from foxtailcourse.standin._slots import PrioritySlots
from standins import call, start_engine
from support import AsyncTestCase, run_trio


class TestEngineStandin(AsyncTestCase):
    """Guards behaviour of the stand-ins that other tests rely on."""

    @run_trio
    async def test_lowest_priority_number_gets_the_next_slot(self):
        slots, served = PrioritySlots(1), []

        async def run(name, priority):
            async with slots.hold(priority):
                served.append(name)
                await trio.lowlevel.checkpoint()

        async with trio.open_nursery() as nursery, slots.hold(0):
            for name, priority in (("long", 1), ("short", 0)):
                nursery.start_soon(run, name, priority)
            while slots.waiting < 2:
                await trio.lowlevel.checkpoint()
        self.assertThat(served, Equals(["short", "long"]))

    def test_cache_evicts_the_least_recently_used_block(self):
        cache = BlockCache(2)
        cache.store("s", [b"a", b"b"])
        cache.match("s", [b"a"])
        self.assertThat(cache.store("s", [b"c"]), Equals(([b"c"], [b"b"])))
        self.assertThat(cache.match("other", [b"a"]), Equals(0))

    def test_old_fencing_number_is_rejected_only_by_engines_that_check(self):
        async def served_version(checks_fencing):
            async with trio.open_nursery() as nursery:
                engine, address = await start_engine(
                    nursery, checks_fencing=checks_fencing
                )
                client = HttpEngineClient(address)
                for fencing, version in ((7, "v2"), (5, "v3")):
                    arguments = {"version": version}
                    order = Order(kind="load", fencing=fencing, arguments=arguments)
                    try:
                        await client.send_order(order)
                    except EngineError as exc:
                        self.assertThat(exc.status, Equals(409))
                nursery.cancel_scope.cancel()
            return engine.version

        async def main():
            self.assertThat(await served_version(True), Equals("v2"))
            self.assertThat(await served_version(False), Equals("v3"))

        self.run_async(main)

    @run_trio
    async def test_weight_store_counts_concurrent_loads(self):
        store = WeightStoreStandin(0.01)
        async with trio.open_nursery() as nursery:
            address = await nursery.start(serve_handler, store.handle)
            async with trio.open_nursery() as load_nursery:
                for version in range(3):
                    target = f"/weights/m/v{version}"
                    load_nursery.start_soon(call, address, "GET", target)
            nursery.cancel_scope.cancel()
        self.assertThat((store.loads, store.peak), Equals((3, 3)))

    def test_incomplete_vm_line_is_refused(self):
        self.assertRaises(ValueError, parse_vm, "vm=a role=agent")
        self.assertRaises(ValueError, parse_vm, "vm")
