import time
from contextlib import asynccontextmanager

import attrs
import msgspec
import trio
from testtools.matchers import Equals

from foxtailcourse.config import ConfigStore, Record, Vm, VmRole
from foxtailcourse.engine import EngineError, HttpEngineClient
from foxtailcourse.http import ConnectionPool
from foxtailcourse.observe import EventLog, HybridClock
from foxtailcourse.platform import KeyValueClient, PlatformError
from foxtailcourse.rollout import (
    DesiredState,
    HeldSlot,
    LoadSlots,
    RolloutDriver,
    RolloutSettings,
    SlotLostError,
)
from foxtailcourse.standin import PlatformStandin, WeightStoreStandin, serve_handler
from standins import (
    LOOPBACK,
    chat,
    make_agent,
    make_record,
    start_agent,
    start_engine,
    until,
)
from support import AsyncTestCase, run_trio, served

FAST = RolloutSettings(poll_s=0.05, retry_s=0.01, lease_s=5.0)


class FakeClock:
    """A clock that only the test moves; it serves platform and holder alike."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@attrs.define
class Target:
    """An agent whose drain the test pauses."""

    wanted: DesiredState
    pause: object = None
    others: int = 9

    def desired(self):
        return self.wanted

    async def in_service(self, without, enough):
        return self.others

    @asynccontextmanager
    async def out_of_service(self):
        if self.pause is not None:
            await self.pause()
        yield

    async def refresh(self):
        pass

    async def wait_change(self):
        await trio.sleep_forever()


class TestOrders(AsyncTestCase):
    """Guards against orders under a lapsed lease, and lost or repeated ones."""

    def serve(self, check, **options):
        async def main():
            async with trio.open_nursery() as nursery:
                self.clock, self.platform = FakeClock(), None
                self.platform = PlatformStandin(self.clock)
                handler = self.platform.handler
                address = await nursery.start(serve_handler, handler)
                self.weights = WeightStoreStandin(0.01)
                weights = await nursery.start(serve_handler, self.weights.handle)
                self.engine, backend = await start_engine(
                    nursery, weight_store=weights, **options
                )
                self.store = KeyValueClient(ConnectionPool(), address)
                self.client = HttpEngineClient(backend)
                self.target = Target(DesiredState(weights_version="v2"))
                await check()
                nursery.cancel_scope.cancel()

        self.run_async(main)

    def slots(self, vm="palermo-1"):
        return LoadSlots(self.store, vm=vm, clock=self.clock)

    def driver(self):
        events = EventLog("test", HybridClock(time.time))
        slots, target = self.slots(), self.target
        return RolloutDriver(FAST, self.client, slots, target, events, self.clock)

    def versions(self):
        return [each["version"] for each in self.engine.orders.executed]

    @served()
    async def test_order_is_given_under_a_slot_that_is_released(self):
        await self.driver().step()
        self.assertThat(self.engine.version, Equals("v2"))
        self.assertThat(await self.slots().holders(), Equals(()))
        self.assertThat(await self.driver().step(), Equals(False))

    @served()
    async def test_two_slots_and_rising_fencing_numbers(self):
        first = await self.slots("a").acquire()
        second = await self.slots("b").acquire()
        third = await self.slots("c").acquire()
        self.assertTrue(first.fencing < second.fencing)
        self.assertThat(third, Equals(None))
        ahead = await self.slots("b").ahead_of(second)
        self.assertThat(ahead, Equals({"a"}))

    async def pause_past_the_lease(self):
        """The holder pauses between its drain and its order; another one loads."""

        async def pause():
            self.clock.now += 60.0
            other = await self.slots("palermo-2").acquire()
            order = {"kind": "load", "version": "v3", "fencing": other.fencing}
            await self.engine.orders.execute(order)

        self.target.pause = pause
        await self.driver().step()

    @served(checks_fencing=False)
    async def test_paused_holder_gives_no_order_once_its_lease_may_have_lapsed(self):
        try:
            await self.pause_past_the_lease()
        except SlotLostError:
            pass
        else:
            self.fail("an order was given")
        self.assertThat(self.versions(), Equals(["v3"]))

    @served(checks_fencing=False)
    async def test_without_the_lease_check_an_engine_that_ignores_the_number_obeys(
        self,
    ):
        self.patch(HeldSlot, "check", lambda held, now: None)
        await self.pause_past_the_lease()
        self.assertThat(self.versions(), Equals(["v3", "v2"]))

    @served(checks_fencing=True)
    async def test_without_the_lease_check_an_engine_that_checks_rejects(self):
        self.patch(HeldSlot, "check", lambda held, now: None)
        try:
            await self.pause_past_the_lease()
        except EngineError as exc:
            self.assertThat(exc.status, Equals(409))
        self.assertThat(self.versions(), Equals(["v3"]))

    @served()
    async def test_lost_order_and_lost_reply_are_repeated_and_loaded_once(self):
        self.engine.orders.lose_orders = 1
        self.engine.orders.lose_replies = 1
        await self.driver().step()
        self.assertThat(self.engine.version, Equals("v2"))
        self.assertThat(self.weights.loads, Equals(1))

    @served()
    async def test_slot_whose_answer_was_lost_is_recognised(self):
        txn = self.store.txn

        async def lose(*args, **kwargs):
            self.platform.faults.lose_answers = 1
            return await txn(*args, **kwargs)

        self.store.txn = lose
        held = await self.slots().acquire()
        item = self.platform.get(held.key)
        self.assertThat(item.mod_revision, Equals(held.fencing))

    @served()
    async def test_platform_outage_gives_no_order(self):
        self.platform.faults.outage = "refuse"
        try:
            await self.driver().step()
        except PlatformError:
            pass
        else:
            self.fail("a step succeeded without the platform")
        self.assertThat(self.versions(), Equals([]))

    @served()
    async def test_too_few_others_keep_the_server_in_service(self):
        wanted = DesiredState(weights_version="v2", min_in_service=2)
        self.target = Target(wanted, others=1)
        self.assertThat(await self.driver().step(), Equals(False))
        self.assertThat(self.versions(), Equals([]))

    @served()
    async def test_adapters_and_role(self):
        wanted = DesiredState(
            weights_version="v2", adapters=("coats", "trips"), role="prefill"
        )
        self.target = Target(wanted)
        driver = self.driver()
        while await driver.step():
            pass
        self.assertThat(self.engine.adapters, Equals({"coats", "trips"}))
        self.assertThat(self.engine.role, Equals("prefill"))


class TestFleet(AsyncTestCase):
    """Guards the weight store and the capacity while a fleet changes weights."""

    SERVERS, MINIMUM = 4, 2

    async def start_fleet(self, nursery, slots):
        platform = PlatformStandin()
        self.weights = WeightStoreStandin(0.3)
        address = await nursery.start(serve_handler, platform.handler)
        weights = await nursery.start(serve_handler, self.weights.handle)
        self.agents, self.engines, self.addresses, vms = [], [], [], []
        store = ConfigStore()
        cfg = attrs.evolve(FAST, slots=slots)
        for number in range(self.SERVERS):
            vm = f"palermo-{number}"
            engine, backend = await start_engine(nursery, weight_store=weights)
            agent = make_agent(backend, vm=vm, store=store)
            listen = await start_agent(nursery, agent)
            admin = await nursery.start(serve_handler, self.make_admin(agent))
            vms.append((vm, listen, admin))
            self.agents.append(agent)
            self.engines.append(engine)
            self.addresses.append(listen)
            client = KeyValueClient(ConnectionPool(), address)
            nursery.start_soon(agent.make_rollout(cfg, client).run)
        store.merge([make_vm_record(*each) for each in vms])
        return store

    def make_admin(self, agent):
        async def handle(exchange):
            status = 200 if agent.readiness().ready else 503
            await exchange.respond(status, b"")

        return handle

    def in_service(self):
        return sum(not agent.context.loading for agent in self.agents)

    async def change(self, slots, minimum):
        """Change the weights under load; return the lowest number in service."""
        lowest = self.SERVERS
        async with trio.open_nursery() as nursery:
            store = await self.start_fleet(nursery, slots)
            body = {"model": "assistant", "weights_version": "v2"}
            body["min_in_service"] = minimum
            store.merge([make_record("models/assistant", **body)])
            while any(engine.version != "v2" for engine in self.engines):
                lowest = min(lowest, self.in_service())
                await trio.sleep(0.002)
            await until(lambda: self.in_service() == self.SERVERS)
            answer = await chat(self.addresses[0])
            self.assertThat(answer.headers["foxtail-weights-version"], Equals("v2"))
            nursery.cancel_scope.cancel()
        return lowest

    @run_trio
    async def test_two_load_at_once_and_enough_stay_in_service(self):
        lowest = await self.change(2, self.MINIMUM)
        self.assertThat(lowest, Equals(self.MINIMUM))
        self.assertThat(self.weights.peak, Equals(2))

    @run_trio
    async def test_minimum_in_service_is_stricter_than_the_slots(self):
        lowest = await self.change(2, 3)
        self.assertThat(lowest, Equals(3))

    @run_trio
    async def test_without_slots_and_minimum_all_load_at_once(self):
        lowest = await self.change(self.SERVERS, 0)
        self.assertTrue(lowest < self.MINIMUM)
        self.assertTrue(self.weights.peak > 2)


def make_vm_record(name, listen, admin):
    vm = Vm(
        vm=name,
        failure_domain="palermo",
        role=VmRole.AGENT,
        listen=listen,
        control=LOOPBACK,
        admin=admin,
        serves="assistant",
    )
    body = msgspec.to_builtins(vm)
    return Record(key=f"vms/{name}", generation=1, write_id="w", body=body)
