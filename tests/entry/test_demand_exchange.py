import msgspec
import trio
from testtools.matchers import Equals, GreaterThan

from entry_support import CONTRACT, record
from foxtailcourse.config import ConfigStore
from foxtailcourse.control import PeerError
from foxtailcourse.entry import _demand_exchange
from foxtailcourse.entry._demand_exchange import DEMAND_TOPIC, DemandExchange
from foxtailcourse.observe import Metrics
from foxtailcourse.sharing import AccountLimiter, DemandSummary
from support import AsyncTestCase

ADDRESS = {"host": "127.0.0.1", "port": 1}


def entry_record(vm):
    body = {"vm": vm, "failure_domain": "palermo", "role": "entry"}
    addresses = {"listen": ADDRESS, "control": ADDRESS, "admin": ADDRESS}
    return record(f"vms/{vm}", body | addresses)


class TestDemandExchange(AsyncTestCase):
    """Guards the division of the limits against lost and invalid summaries."""

    def make_exchanges(self, names):
        store = ConfigStore()
        store.merge([entry_record(vm) for vm in names])
        store.merge([record("contracts/teatro", CONTRACT)])
        exchanges = {}

        async def send(vm, topics, sender):
            if vm not in exchanges:
                raise PeerError(f"{vm} is down")
            return {
                DEMAND_TOPIC: exchanges[vm].handle_summary(sender, topics[DEMAND_TOPIC])
            }

        self.limiters = {}
        for vm in names:
            limiter = self.limiters[vm] = AccountLimiter(vm, trio.current_time())
            limiter.set_entries(names, trio.current_time())

            async def send_from(to, topics, vm=vm):
                return await send(to, topics, vm)

            exchanges[vm] = DemandExchange(vm, store, limiter, send_from, Metrics())
        return store, exchanges

    def test_busy_entry_gets_the_fraction_of_an_idle_one(self):
        async def main():
            self.patch(_demand_exchange, "EXCHANGE_INTERVAL_S", 0.05)
            store, exchanges = self.make_exchanges(["e1", "e2"])
            contract = store.view.contracts["teatro"]
            busy = self.limiters["e1"]
            async with trio.open_nursery() as nursery:
                for each in exchanges.values():
                    nursery.start_soon(each.run)
                while busy.fraction("teatro", trio.current_time()) < 0.6:
                    for _ in range(20):
                        busy.admit(contract, 10_000, trio.current_time())
                    await trio.sleep(0.01)
                nursery.cancel_scope.cancel()

        self.run_async(main)

    def test_unreachable_peer_does_not_end_the_exchanges(self):
        async def main():
            self.patch(_demand_exchange, "EXCHANGE_INTERVAL_S", 0.01)
            _, exchanges = self.make_exchanges(["e1", "e2"])
            del exchanges["e2"]
            with trio.move_on_after(0.1):
                await exchanges["e1"].run()
            metrics_text = exchanges["e1"]._metrics.render()[0].decode()
            self.assertThat(metrics_text.count('result="failed"'), GreaterThan(0))

        self.run_async(main)

    def test_invalid_summary_is_rejected(self):
        async def main():
            _, exchanges = self.make_exchanges(["e1", "e2"])
            other = msgspec.msgpack.encode(DemandSummary(entry="e3", sequence=1))
            for payload in (b"", b"\xc1", b"\x01", other):
                self.assertRaises(
                    ValueError, exchanges["e1"].handle_summary, "e2", payload
                )

        self.run_async(main)

    def test_many_entries_are_contacted_in_turn(self):
        async def main():
            names = [f"e{i:02}" for i in range(40)]
            _, exchanges = self.make_exchanges(names)
            rounds = [exchanges["e00"]._next_peers() for _ in range(39)]
            self.assertThat(
                max(map(len, rounds)), Equals(_demand_exchange.MAX_PEERS_PER_ROUND)
            )
            self.assertThat(
                {e for each in rounds for e in each}, Equals(set(names[1:]))
            )

        self.run_async(main)
