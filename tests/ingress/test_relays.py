import random

import testtools
import trio
from exchange_case import start_exchange
from testtools.matchers import Equals

from cluster import wait_until
from foxtailcourse.ingress._cache_feed import assign_relayed_subscriber
from foxtailcourse.ingress._clock import boot_seconds
from foxtailcourse.ingress._load_relay import LoadRelay
from foxtailcourse.ingress._peer_messages import CacheUpdate, WeightsUpdate, encode
from foxtailcourse.ingress._peers import Peer, PeerDirectory, decode_peer
from foxtailcourse.ingress._relays import (
    MAX_MESH_ENTRIES,
    RELAY_SILENCE_S,
    RelayPlan,
    select_relays,
)
from foxtailcourse.ingress._server_loads import REMOTE_VALID_S
from foxtailcourse.settings import Address
from support import AsyncTestCase

LOCAL = Address("127.0.0.1", 0)
DOMAINS = ("palermo", "catania")


def directory(count, domains=DOMAINS):
    """Return a directory whose first entry of each domain is the largest."""
    peers = PeerDirectory()
    for number in range(count):
        domain = domains[number % len(domains)]
        cores = 2.0 if number < len(domains) else 0.2
        address = Address("127.0.0.1", 1000 + number)
        peers.add(
            f"e{number}",
            Peer(address=address, failure_domain=domain, capacity_cores=cores),
        )
    return peers


class TestLoadRelay(testtools.TestCase):
    """Guards the sums that entries get from their relay."""

    def test_each_member_gets_the_sum_of_all_others(self):
        """Plays random updates and losses against the plain sum."""
        for seed in range(20):
            rng = random.Random(seed)
            relay, now, newest = LoadRelay(), 0.0, {}
            received = {}
            for _ in range(300):
                now += rng.expovariate(20)
                kind = rng.choice(("member", "member", "relay"))
                vm, server = f"{kind}{rng.randrange(5)}", f"s{rng.randrange(6)}"
                load = tuple(rng.choice((0, rng.randrange(9_000))) for _ in range(4))
                update = relay.update_member if kind == "member" else relay.update_relay
                update(vm, [(server, *load)], now)
                newest[vm, server] = (load, now)
                relay.expire(now)
                # What a member received expires as well while the relay is silent.
                members = set(relay.members())
                received = {k: v for k, v in received.items() if k in members}
                self.check(relay, newest, received, now)

    def check(self, relay, newest, received, now):
        for vm in relay.members():
            expected = {}
            for (source, server), (load, at) in newest.items():
                if source != vm and now - at < REMOTE_VALID_S:
                    total = expected.get(server, (0, 0, 0, 0))
                    expected[server] = tuple(map(sum, zip(total, load, strict=True)))
            expected = {k: v for k, v in expected.items() if any(v)}
            loads = relay.loads_for(vm, relay.fleet_loads())
            self.assertThat(loads, Equals(expected))
            # What the member has after it applied the changed rows.
            for server, *load in relay.changed_rows(vm, loads, everything=False):
                received.setdefault(vm, {})[server] = tuple(load)
            present = {k: v for k, v in received.get(vm, {}).items() if any(v)}
            self.assertThat(present, Equals(expected))


class TestRelayPlan(testtools.TestCase):
    """Guards the choice of relays, which entries make without communication."""

    def test_small_fleets_have_none(self):
        self.assertTrue(RelayPlan("e0", directory(MAX_MESH_ENTRIES)).is_mesh)
        self.assertFalse(RelayPlan("e0", directory(MAX_MESH_ENTRIES + 1)).is_mesh)

    def test_largest_entries_relay_and_all_entries_agree(self):
        for count in (13, 68, 300):
            peers = directory(count)
            chosen = select_relays(peers)
            self.assertThat([chosen[d][0] for d in DOMAINS], Equals(["e0", "e1"]))
            self.assertThat({len(each) for each in chosen.values()}, Equals({2}))
            reordered = PeerDirectory()
            for vm in reversed(list(peers)):
                reordered.add(vm, peers.get(vm))
            self.assertThat(select_relays(reordered), Equals(chosen))

    def test_second_relay_is_used_while_the_first_is_silent(self):
        plan = RelayPlan("e8", directory(20))
        first, second = plan.relays(0.0)["palermo"]
        self.assertThat(plan.upstream(0.1), Equals((first,)))
        later = RELAY_SILENCE_S + 0.1
        self.assertThat(plan.upstream(later), Equals((first, second)))
        plan.record_heard(first, later)
        self.assertThat(plan.upstream(later + 0.1), Equals((first,)))

    def test_caches_are_subscribed_in_proportion_to_capacity(self):
        peers = directory(68)
        sources = [f"s{number}" for number in range(400)]
        subscribers = [
            assign_relayed_subscriber(each, peers).subscribers for each in sources
        ]
        self.assertThat({len(each) for each in subscribers}, Equals({1}))
        # Two of 68 entries have 4 of 17.2 cores.
        large = sum(each[0] in {"e0", "e1"} for each in subscribers)
        self.assertTrue(0.15 < large / len(sources) < 0.32, large)
        # Without one entry, only its sources move.
        gone = subscribers[0][0]
        peers.remove(gone)
        for source, (before,) in zip(sources, subscribers, strict=True):
            (after,) = assign_relayed_subscriber(source, peers).subscribers
            self.assertTrue(after == before or before == gone)

    def test_registration_is_read_back_and_rubbish_refused(self):
        peer = Peer(address=Address("10.0.0.1", 80), failure_domain="p")
        self.assertThat(decode_peer(peer.encode()), Equals(peer))
        for value in (b"", b"10.0.0.1:80", b"{}", b'{"address":"x"}', b"\xff"):
            self.assertRaises(ValueError, decode_peer, value)


class TestRelayedExchange(AsyncTestCase):
    """Guards the state that the entries of a large fleet receive."""

    def with_entries(self, check, count):
        async def main():
            peers = PeerDirectory()
            async with trio.open_nursery() as nursery:
                entries = [await self.start(nursery, peers, n) for n in range(count)]
                await check(nursery, peers, entries)
                nursery.cancel_scope.cancel()

        self.run_async(main)

    async def start(self, nursery, peers, number):
        return await start_exchange(
            nursery, peers, number, failure_domain=DOMAINS[number % 2]
        )

    def test_load_of_one_entry_reaches_all_others(self):
        async def check(nursery, peers, entries):
            # More rows than fit a datagram.
            for number in range(90):
                load = entries[3].loads.for_server(f"server-{number}", 0)
                load.in_flight, load.prefill_tokens = 1, 10_000.0 + number
            entries[3].loads.changed.set()
            for entry in entries:
                expected = 0 if entry is entries[3] else 10_089
                with trio.fail_after(2.0):
                    await wait_until(
                        lambda entry=entry, expected=expected: (
                            remote_tokens(entry, "server-89") == expected
                            and bool(remote_tokens(entry, "server-0")) == bool(expected)
                        )
                    )
            for number in range(90):
                load = entries[3].loads.for_server(f"server-{number}", 0)
                load.in_flight, load.prefill_tokens = 0, 0.0
            entries[3].loads.changed.set()
            with trio.fail_after(2.0):
                await wait_until(
                    lambda: not any(remote_tokens(e, "server-89") for e in entries)
                )

        self.with_entries(check, MAX_MESH_ENTRIES + 4)

    def test_cache_events_reach_all_and_new_entries_get_a_snapshot(self):
        async def check(nursery, peers, entries):
            received = {entry.vm: [] for entry in entries}
            for entry in entries:
                entry.on_cache_update = received[entry.vm].append
                entry.cache_snapshot = lambda: [CacheUpdate("s2", 4, [("1", "old", 9)])]
            # The relays hear of their members first.
            await trio.sleep(1.0)
            rows = [("1", f"part{n}" * 6, n + 300) for n in range(100)]
            await entries[5].publish_cache("s1", 3, rows, set())
            publisher_is_relay = entries[5].plan.is_relay(boot_seconds())
            for entry in entries:
                if entry is entries[5] and not publisher_is_relay:
                    continue
                with trio.fail_after(2.0):
                    await wait_until(
                        lambda e=entry: row_count(received[e.vm], "s1") >= 100
                    )
            late = await self.start(nursery, peers, len(entries))
            snapshot = []
            late.on_cache_update = snapshot.append
            with trio.fail_after(3.0):
                await wait_until(lambda: row_count(snapshot, "s2") == 1)

        self.with_entries(check, MAX_MESH_ENTRIES + 4)

    def test_messages_of_an_entry_do_not_grow_with_the_fleet(self):
        """An entry that is no relay sends to one relay, however many entries exist."""

        async def check(nursery, peers, entries):
            await trio.sleep(0.5)
            now = boot_seconds()
            entry = next(e for e in entries if not e.plan.is_relay(now))
            sent = []
            sendto = entry._socket.sendto

            async def count(data, address):
                sent.append(address)
                return await sendto(data, address)

            entry._socket = Counting(entry._socket, count)
            for _ in range(10):
                load = entry.loads.for_server("s1", 0)
                load.in_flight, load.prefill_tokens = 1, load.prefill_tokens + 5_000.0
                entry.loads.changed.set()
                await trio.sleep(0.05)
            self.assertThat(len(set(sent)), Equals(1))
            # Ten urgent changes, and a republication each 0.4 s.
            self.assertTrue(len(sent) <= 14, len(sent))

        self.with_entries(check, 30)

    def test_weights_and_cache_events_of_strangers_are_ignored(self):
        async def check(nursery, peers, entries):
            target = entries[0]
            seen = []
            target.on_cache_update = seen.append
            stranger = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
            address = (target.address.host, target.address.port)
            with stranger:
                for message in (
                    WeightsUpdate(2**50, ["s1"], []),
                    CacheUpdate("s1", 1, [("1", "a", 900)]),
                ):
                    await stranger.sendto(encode(message), address)
                # A registered entry comes after them.
                await entries[1].send(CacheUpdate("s2", 1, [("1", "a", 900)]), {"e0"})
                await wait_until(lambda: seen)
            self.assertThat([each.source for each in seen], Equals(["s2"]))
            self.assertThat(target.view.loading, Equals(set()))

        self.with_entries(check, 2)

    def test_leader_of_an_earlier_era_is_not_obeyed(self):
        async def check(nursery, peers, entries):
            target = entries[0]
            target.store_era = lambda: 2
            target.handle(WeightsUpdate((1 << 32) + 900, ["s1"], []), "e1")
            self.assertThat(target.view.loading, Equals(set()))
            target.handle(WeightsUpdate((2 << 32) + 5, ["s1"], []), "e1")
            self.assertThat(target.view.loading, Equals({"s1"}))

        self.with_entries(check, 2)


class Counting:
    """A socket whose ``sendto`` is replaced."""

    def __init__(self, socket, sendto):
        self._socket, self.sendto = socket, sendto

    def __getattr__(self, name):
        return getattr(self._socket, name)


def remote_tokens(entry, server_id):
    """Return the prompt tokens that other entries have at a server."""
    own = entry.loads.for_server(server_id, 0).prefill_tokens
    total = entry.loads.total(server_id, 0, boot_seconds()).prefill_tokens
    return total - own


def row_count(updates, source):
    """Return the number of different rows about a source."""
    return len({row for each in updates if each.source == source for row in each.rows})
