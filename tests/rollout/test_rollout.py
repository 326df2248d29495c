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
from foxtailcourse.platform import KeyValueClient, PlatformError, fencing_token
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
    wait_until,
)
from support import AsyncTestCase, run_trio, with_server

FAST_SETTINGS = RolloutSettings(poll_s=0.05, retry_s=0.01, lease_s=5.0)


class FakeClock:
    """A clock that only the test advances, for the platform and the slot's holder."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@attrs.define
class FakeTarget:
    """A rollout target whose drain calls a function of the test."""

    desired: DesiredState
    on_drain: object = None
    others_in_service: int = 9

    def desired_state(self):
        return self.desired

    async def count_in_service(self, excluded, limit):
        return self.others_in_service

    @asynccontextmanager
    async def out_of_service(self):
        if self.on_drain is not None:
            await self.on_drain()
        yield

    async def refresh_engine_state(self):
        pass

    async def wait_change(self):
        await trio.sleep_forever()


class TestOrders(AsyncTestCase):
    """Guards against orders sent under an expired lease, lost or executed twice.

    An agent that is paused after it acquired a slot may resume when its lease has
    expired and another agent loads. Orders and responses may be lost in transit.
    """

    def serve(self, check, **options):
        async def main():
            async with trio.open_nursery() as nursery:
                self.clock, self.platform = FakeClock(), None
                self.platform = PlatformStandin(self.clock)
                handler = self.platform.handle
                address = await nursery.start(serve_handler, handler)
                self.weights = WeightStoreStandin(0.01)
                weights = await nursery.start(serve_handler, self.weights.handle)
                self.engine, backend = await start_engine(
                    nursery, weight_store=weights, **options
                )
                self.store = KeyValueClient(ConnectionPool(), address)
                self.client = HttpEngineClient(backend)
                self.target = FakeTarget(DesiredState(weights_version="v2"))
                await check()
                nursery.cancel_scope.cancel()

        self.run_async(main)

    def make_slots(self, vm="palermo-1"):
        return LoadSlots(self.store, vm=vm, clock=self.clock)

    def make_driver(self):
        events = EventLog("test", HybridClock(time.time))
        slots, target = self.make_slots(), self.target
        return RolloutDriver(
            FAST_SETTINGS, self.client, slots, target, events, self.clock
        )

    def executed_versions(self):
        return [each["version"] for each in self.engine.orders.executed]

    @with_server()
    async def test_order_is_sent_under_a_slot_that_is_released(self):
        await self.make_driver().step()
        self.assertThat(self.engine.version, Equals("v2"))
        self.assertThat(await self.make_slots().holders(), Equals(()))
        self.assertThat(await self.make_driver().step(), Equals(False))

    @with_server()
    async def test_two_slots_with_increasing_fencing_numbers(self):
        first = await self.make_slots("a").acquire()
        second = await self.make_slots("b").acquire()
        third = await self.make_slots("c").acquire()
        self.assertTrue(first.fencing < second.fencing)
        self.assertThat(third, Equals(None))
        holders = await self.make_slots("b").earlier_holders(second)
        self.assertThat(holders, Equals({"a"}))

    async def send_order_after_lease_expiry(self):
        """Pause the holder between drain and order while another agent loads."""

        async def on_drain():
            self.clock.now += 60.0
            other = await self.make_slots("palermo-2").acquire()
            order = {"kind": "load", "version": "v3", "fencing": other.fencing}
            await self.engine.orders.execute(order)

        self.target.on_drain = on_drain
        await self.make_driver().step()

    @with_server(checks_fencing=False)
    async def test_paused_holder_sends_no_order_after_its_lease_may_have_expired(self):
        try:
            await self.send_order_after_lease_expiry()
        except SlotLostError:
            pass
        else:
            self.fail("an order was sent under an expired lease")
        self.assertThat(self.executed_versions(), Equals(["v3"]))

    @with_server(checks_fencing=False)
    async def test_without_the_lease_check_an_unfenced_engine_executes_a_stale_order(
        self,
    ):
        """Control: without the check, an engine that ignores fencing loads twice."""
        self.patch(HeldSlot, "ensure_valid", lambda slot, now: None)
        await self.send_order_after_lease_expiry()
        self.assertThat(self.executed_versions(), Equals(["v3", "v2"]))

    @with_server(checks_fencing=True)
    async def test_without_the_lease_check_the_engine_rejects_a_stale_fencing_number(
        self,
    ):
        self.patch(HeldSlot, "ensure_valid", lambda slot, now: None)
        try:
            await self.send_order_after_lease_expiry()
        except EngineError as exc:
            self.assertThat(exc.status, Equals(409))
        self.assertThat(self.executed_versions(), Equals(["v3"]))

    @with_server()
    async def test_lost_order_and_lost_reply_are_retried_and_loaded_once(self):
        self.engine.orders.lose_orders = 1
        self.engine.orders.lose_replies = 1
        await self.make_driver().step()
        self.assertThat(self.engine.version, Equals("v2"))
        self.assertThat(self.weights.loads, Equals(1))

    @with_server()
    async def test_slot_is_acquired_although_the_response_was_lost(self):
        txn = self.store.txn

        async def lose_response(*args, **kwargs):
            self.platform.faults.lose_answers = 1
            return await txn(*args, **kwargs)

        self.store.txn = lose_response
        slot = await self.make_slots().acquire()
        item = self.platform.get(slot.key)
        token = fencing_token(self.platform.era, item.mod_revision)
        self.assertThat(token, Equals(slot.fencing))

    @with_server()
    async def test_no_order_is_sent_during_a_platform_outage(self):
        self.platform.faults.outage = "refuse"
        try:
            await self.make_driver().step()
        except PlatformError:
            pass
        else:
            self.fail("a step succeeded during a platform outage")
        self.assertThat(self.executed_versions(), Equals([]))

    @with_server()
    async def test_server_stays_in_service_while_too_few_others_are(self):
        desired = DesiredState(weights_version="v2", min_in_service=2)
        self.target = FakeTarget(desired, others_in_service=1)
        self.assertThat(await self.make_driver().step(), Equals(False))
        self.assertThat(self.executed_versions(), Equals([]))

    @with_server()
    async def test_adapters_and_role(self):
        desired = DesiredState(
            weights_version="v2", adapters=("coats", "trips"), role="prefill"
        )
        self.target = FakeTarget(desired)
        driver = self.make_driver()
        while await driver.step():
            pass
        self.assertThat(self.engine.adapters, Equals({"coats", "trips"}))
        self.assertThat(self.engine.role, Equals("prefill"))


class TestFleet(AsyncTestCase):
    """Guards the weight store's load and the fleet's capacity during a rollout.

    Engines that load at the same time overload the weight store and take too many
    backend servers out of service.
    """

    SERVERS, MIN_IN_SERVICE = 4, 2

    async def start_fleet(self, nursery, slots):
        platform = PlatformStandin()
        self.weights = WeightStoreStandin(0.3)
        address = await nursery.start(serve_handler, platform.handle)
        weights = await nursery.start(serve_handler, self.weights.handle)
        self.agents, self.engines, self.addresses, vms = [], [], [], []
        store = ConfigStore()
        cfg = attrs.evolve(FAST_SETTINGS, slots=slots)
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

    def count_in_service(self):
        return sum(not agent.context.loading for agent in self.agents)

    async def roll_out(self, slots, min_in_service):
        """Roll out new weights; return the lowest number of servers in service."""
        lowest = self.SERVERS
        async with trio.open_nursery() as nursery:
            store = await self.start_fleet(nursery, slots)
            body = {"model": "assistant", "weights_version": "v2"}
            body["min_in_service"] = min_in_service
            store.merge([make_record("models/assistant", **body)])
            while any(engine.version != "v2" for engine in self.engines):
                lowest = min(lowest, self.count_in_service())
                await trio.sleep(0.002)
            await wait_until(lambda: self.count_in_service() == self.SERVERS)
            response = await chat(self.addresses[0])
            self.assertThat(response.headers["foxtail-weights-version"], Equals("v2"))
            nursery.cancel_scope.cancel()
        return lowest

    @run_trio
    async def test_two_engines_load_at_once_and_enough_stay_in_service(self):
        lowest = await self.roll_out(2, self.MIN_IN_SERVICE)
        self.assertThat(lowest, Equals(self.MIN_IN_SERVICE))
        self.assertThat(self.weights.peak, Equals(2))

    @run_trio
    async def test_minimum_in_service_limits_loads_below_the_number_of_slots(self):
        lowest = await self.roll_out(2, 3)
        self.assertThat(lowest, Equals(3))

    @run_trio
    async def test_without_slots_and_minimum_all_load_at_once(self):
        """Control: without both limits the engines load at once."""
        lowest = await self.roll_out(self.SERVERS, 0)
        self.assertTrue(lowest < self.MIN_IN_SERVICE)
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
