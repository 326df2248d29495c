import random

import trio
from exchange_case import LOCAL, start_exchange
from testtools.matchers import Equals

from cluster import wait_until
from foxtailcourse.fleet import BackendServer, FleetView
from foxtailcourse.ingress._clock import boot_seconds
from foxtailcourse.ingress._peer_messages import (
    MAX_DATAGRAM_BYTES,
    CacheUpdate,
    LoadsUpdate,
    WeightsUpdate,
    decode,
    encode,
)
from foxtailcourse.ingress._peers import PeerDirectory
from support import AsyncTestCase


def server(name):
    return BackendServer(
        id=name,
        service="llm",
        address=LOCAL,
        failure_domain="p",
        slots=8,
        leaving=False,
        weights={"guide": 1},
        started_ms=5,
    )


class TestPeerExchange(AsyncTestCase):
    """Guards the state that entries receive from each other."""

    def with_entries(self, check, count=2, **registration):
        async def main():
            peers, entries = PeerDirectory(), []
            async with trio.open_nursery() as nursery:
                for number in range(count):
                    view = FleetView()
                    view.servers["s1"] = server("s1")
                    each = await start_exchange(
                        nursery, peers, number, view, **registration
                    )
                    entries.append(each)
                await check(*entries)
                nursery.cancel_scope.cancel()

        self.run_async(main)

    def test_large_load_changes_are_published_at_once(self):
        async def check(first, second):
            def received():
                now = boot_seconds()
                return second.loads.total("s1", 0, now).prefill_tokens

            load = first.loads.for_server("s1", 0)
            load.in_flight, load.prefill_tokens = 1, 20_000.0
            first.loads.changed.set()
            with trio.fail_after(0.3):
                await wait_until(lambda: received() == 20_000)
            load.in_flight, load.prefill_tokens = 0, 0.0
            first.loads.changed.set()
            with trio.fail_after(0.3):
                await wait_until(lambda: received() == 0)

        self.with_entries(check)

    def test_malformed_and_unregistered_datagrams_are_ignored(self):
        async def check(first, second):
            rng = random.Random(4)
            sender = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
            target = (second.address.host, second.address.port)
            datagram = encode(LoadsUpdate([("s1", 9, 9, 9)]))
            with sender:
                for _ in range(300):
                    await sender.sendto(rng.randbytes(rng.randrange(1, 200)), target)
                    await sender.sendto(
                        datagram[: rng.randrange(len(datagram))], target
                    )
                await sender.sendto(datagram, target)
            load = first.loads.for_server("s1", 0)
            load.in_flight, load.prefill_tokens = 1, 5_000.0
            first.loads.changed.set()
            await wait_until(
                lambda: second.loads.total("s1", 0, boot_seconds()).in_flight
            )
            total = second.loads.total("s1", 0, boot_seconds())
            self.assertThat(total.in_flight, Equals(1))

        self.with_entries(check)

    def test_only_the_newest_leader_is_accepted_and_its_state_expires(self):
        async def check(first, second):
            second.handle(WeightsUpdate(7, ["s1"], [("s1", 5, "guide", 2)]), "e0")
            self.assertThat(second.view.loading, Equals({"s1"}))
            self.assertThat(second.view.servers["s1"].weights, Equals({"guide": 2}))
            second.handle(WeightsUpdate(6, [], [("s1", 5, "guide", 9)]), "e0")
            self.assertThat(second.view.servers["s1"].weights, Equals({"guide": 2}))
            # An update about another start of the server is ignored.
            second.handle(WeightsUpdate(7, ["s1"], [("s1", 4, "guide", 3)]), "e0")
            self.assertThat(second.view.servers["s1"].weights, Equals({"guide": 2}))
            await wait_until(lambda: not second.view.loading)

        self.with_entries(check)

    def test_cache_events_reach_the_entries_that_do_not_poll_them(self):
        async def check(first, second, third):
            received = []
            second.on_cache_update = third.on_cache_update = received.append
            rows = [("1", f"part{n}" * 6, n) for n in range(100)]
            await first.publish_cache("s1", 3, rows, {"e1"})
            await wait_until(lambda: sum(len(each.rows) for each in received) == 100)
            self.assertThat(
                {(e.source, e.epoch) for e in received}, Equals({("s1", 3)})
            )

        self.with_entries(check, count=3)

    def test_messages_are_read_back_and_fit_a_datagram(self):
        messages = [
            LoadsUpdate([("s1", 1, 2, 3)]),
            WeightsUpdate(4, ["s1"], [("s1", 5, "guide", 2)]),
            CacheUpdate("s1", 1, [("1/account", "ab" * 8, 900)] * 24),
        ]
        for message in messages:
            data = encode(message)
            self.assertThat(decode(data), Equals(message))
            self.assertTrue(len(data) <= MAX_DATAGRAM_BYTES, len(data))
