"""Memory of backend servers: tokens in progress, counted over all entries."""

import heapq
import random

import attrs
import msgspec
import testtools
from decision_case import NOW, make_limits, server
from ingress_case import IngressCase, configuration
from testtools.matchers import Equals

from cluster import wait_until
from foxtailcourse.fleet import Configuration, FleetView, ServerRun, Service
from foxtailcourse.ingress._candidates import CandidateFilter
from foxtailcourse.ingress._part_exchange import PartExchange
from foxtailcourse.ingress._peer_exchange import LOAD_ROWS_PER_MESSAGE, _load_rows
from foxtailcourse.ingress._peer_messages import (
    MAX_DATAGRAM_BYTES,
    DomainLoads,
    FleetLoads,
    LoadsUpdate,
    decode,
    encode,
)
from foxtailcourse.ingress._server_loads import HeldRequest, RemoteLoad, ServerLoads
from foxtailcourse.ingress._server_memory import (
    NEAR_FULL_S,
    ServerMemory,
    held_request,
)
from foxtailcourse.platform import decode_request_headers
from foxtailcourse.standin._backend_server import BackendServerFaults

CACHE_TOKENS = 154_132
RUN = ServerRun("s0", 0)


def request(parts="aa:13300,zz:3720", counts="17020,24", hint=""):
    fields = {
        "x-foxtailcourse-prompt-prefix": parts,
        "x-foxtailcourse-token-counts": counts,
        "x-foxtailcourse-length-hint": hint,
    }
    raw = [(k.encode(), v.encode()) for k, v in fields.items() if v]
    return decode_request_headers("/ask", raw)


def candidate_filter(servers=1, entries=1, loads=None, *, enabled=True):
    view = FleetView()
    view.servers = {f"s{n}": server(f"s{n}") for n in range(servers)}
    service = Service(name="llm", cache_tokens=CACHE_TOKENS)
    view.configuration = Configuration(
        version=1, routes={}, services={"llm": service}, accounts={}, keys_required=True
    )
    limits = make_limits("e0", {f"e{n}" for n in range(entries)})
    memory = ServerMemory(enabled)
    loads = loads or ServerLoads()
    return CandidateFilter(view, loads, {}, 15.0, limits, memory)


class TestHeldTokens(testtools.TestCase):
    """Guards the tokens that an entry counts as in progress at a server."""

    def test_random_requests_that_begin_end_break_off_and_move(self):
        """Compares with a count of all requests in progress."""
        for seed in range(20):
            rng = random.Random(seed)
            loads, running = ServerLoads(), []
            for _ in range(500):
                if running and rng.random() < 0.5:
                    name, held = running.pop(rng.randrange(len(running)))
                    loads.for_server(name, 0).release(held)
                    if rng.random() < 0.3:
                        name = f"s{rng.randrange(3)}"
                        loads.for_server(name, 0).hold(held)
                        running.append((name, held))
                else:
                    keys = rng.sample("abcde", rng.randrange(3))
                    shared = tuple((key, 100 * ord(key)) for key in keys)
                    held = HeldRequest(shared=shared, own_tokens=rng.randrange(5_000))
                    name = f"s{rng.randrange(3)}"
                    loads.for_server(name, 0).hold(held)
                    running.append((name, held))
                for name in ("s0", "s1", "s2"):
                    here = [each for vm, each in running if vm == name]
                    parts = {part for each in here for part in each.shared}
                    expected = sum(each.own_tokens for each in here)
                    expected += sum(tokens for _, tokens in parts)
                    total = loads.total(name, 0, NOW)
                    self.assertThat(total.held_tokens, Equals(expected))

    def test_output_has_the_length_that_the_caller_expects(self):
        for changes, expected in (
            ({"hint": "40"}, 40),
            ({"hint": "nonsense"}, 24),
            ({}, 24),
            ({"counts": ""}, 0),
        ):
            held = held_request(request(**changes), "1")
            self.assertThat(held.own_tokens, Equals(3_720 + expected))
            self.assertThat(held.shared, Equals((("1/aa", 13_300),)))


class TestLoadMessages(testtools.TestCase):
    """Guards the datagrams of deployments that do not limit held tokens."""

    def test_datagrams_without_held_tokens_are_as_before(self):
        rows = [("s1", 1, 2, 3)]
        for message_type, tag in (
            (LoadsUpdate, "loads"),
            (DomainLoads, "domain"),
            (FleetLoads, "fleet"),
        ):
            before = msgspec.msgpack.encode([tag, rows])
            self.assertThat(encode(message_type(rows)), Equals(before))
            self.assertThat(decode(before), Equals(message_type(rows)))

    def test_held_tokens_are_read_back_and_fit_a_datagram(self):
        rows = [(f"i-{n:010d}", 99_999, 99, 99) for n in range(LOAD_ROWS_PER_MESSAGE)]
        message = LoadsUpdate(rows, [175_624] * len(rows))
        data = encode(message)
        self.assertTrue(len(data) <= MAX_DATAGRAM_BYTES, len(data))
        self.assertThat(decode(data), Equals(message))
        self.assertThat(_load_rows(message)[0], Equals((*rows[0], 175_624)))
        short = LoadsUpdate(rows, [-5])
        self.assertThat([row[4] for row in _load_rows(short)], Equals([0] * len(rows)))


class TestMemoryLimit(testtools.TestCase):
    """Guards the choice of servers against crashes for lack of memory."""

    def remote(self, held_tokens):
        return RemoteLoad(
            prefill_tokens=0,
            in_flight=9,
            short_prompts=0,
            received_at=NOW,
            held_tokens=held_tokens,
        )

    def test_full_server_gets_no_prompts(self):
        for enabled, expected in ((True, ["s1"]), (False, ["s0", "s1"])):
            chosen = candidate_filter(servers=2, enabled=enabled)
            chosen.loads.update_remote("e1", "s0", self.remote(130_000))
            selection = chosen.select("llm", "guide", None, (), NOW, request=request())
            ids = [each.server.id for each in selection.candidates]
            self.assertThat(ids, Equals(expected))

    def test_without_memory_the_request_is_refused_until_some_is_released(self):
        chosen = candidate_filter()
        chosen.loads.update_remote("e1", "s0", self.remote(130_000))
        selection = chosen.select("llm", "guide", None, (), NOW, request=request())
        self.assertThat(selection.reason, Equals("server_memory"))
        for _ in range(200):
            chosen.memory.record_released(4.0)
        later = chosen.select("llm", "guide", None, (), NOW, request=request())
        # 8,326 of 130,000 tokens must be released, which are held for 4 s.
        self.assertTrue(0.2 <= later.available_in_s <= 0.3, later.available_in_s)
        self.assertTrue(selection.available_in_s < later.available_in_s)

    def test_request_larger_than_the_memory_is_not_sent(self):
        chosen = candidate_filter()
        huge = request(parts="zz:150000")
        selection = chosen.select("llm", "guide", None, (), NOW, request=huge)
        self.assertThat(selection.reason, Equals("server_memory"))

    def test_shared_part_counts_once(self):
        chosen = candidate_filter()
        load = chosen.loads.for_server("s0", 0)
        for _ in range(20):
            load.hold(held_request(request(), "1"))
        self.assertThat(load.held_tokens, Equals(13_300 + 20 * 3_744))
        selection = chosen.select("llm", "guide", None, (), NOW, request=request())
        self.assertThat(len(selection.candidates), Equals(1))

    def test_entry_that_hears_no_other_uses_a_part_of_the_memory(self):
        chosen = candidate_filter(entries=22)
        sent = 0
        while True:
            held = request(parts=f"p{sent}:13300,zz:3720")
            if not chosen.select(
                "llm", "guide", None, (), NOW, request=held
            ).candidates:
                break
            chosen.loads.for_server("s0", 0).hold(held_request(held, "1"))
            sent += 1
        self.assertTrue(1 <= sent <= 2, sent)

    def test_calm_day_refuses_nothing(self):
        """Plays 14 long prompts a second at 22 entries over 21 servers for 60 s.

        A prompt holds its server for 2.1 s, the target, and loads arrive 0.2 s late.
        """
        rng = random.Random(3)
        entries = [candidate_filter(21, 22) for _ in range(22)]
        events, now, count = [], NOW, 0
        while now < NOW + 60.0:
            now += rng.expovariate(14.3)
            while events and events[0][0] <= now:
                _, _, action = heapq.heappop(events)
                action()
            number = rng.randrange(22)
            chosen = entries[number]
            req = request(parts=f"p{rng.randrange(400)}:13300,zz:3720")
            selection = chosen.select("llm", "guide", None, (), now, request=req)
            self.assertThat(selection.reason, Equals(""))
            name = rng.choice(selection.candidates).server.id
            held = held_request(req, "1")
            chosen.loads.for_server(name, 0).hold(held)

            def tell(at, name=name, number=number):
                load = attrs.evolve(
                    self.remote(entries[number].loads.for_server(name, 0).held_tokens),
                    received_at=at,
                )
                for other, each in enumerate(entries):
                    if other != number:
                        each.loads.update_remote(f"e{number}", name, load)

            def end(at, name=name, held=held, chosen=chosen, tell=tell):
                chosen.loads.for_server(name, 0).release(held)
                tell(at)

            for pause_s, action in ((0.2, tell), (2.1, end)):
                count += 1
                at = now + pause_s
                item = (at, count, lambda action=action, at=at: action(at))
                heapq.heappush(events, item)

    def test_crash_near_the_memory_is_recognised_for_a_while(self):
        memory = ServerMemory(enabled=True)
        memory.observe(RUN, 60_000, CACHE_TOKENS, NOW)
        self.assertFalse(memory.was_near_full(RUN, NOW))
        memory.observe(RUN, 140_000, CACHE_TOKENS, NOW)
        self.assertTrue(memory.was_near_full(RUN, NOW + NEAR_FULL_S))
        self.assertFalse(memory.was_near_full(RUN, NOW + NEAR_FULL_S + 0.1))
        memory.expire(set())
        self.assertFalse(memory.was_near_full(RUN, NOW))


class TestCrashesOfFullServers(IngressCase):
    """Guards sound requests against being blocked when a server lacks memory."""

    async def crash(self, fleet, entry, held_tokens):
        value = msgspec.json.decode(configuration(version=2))
        value["services"][1]["engine"]["kvCacheTokens"] = 10_000
        fleet.platform.put("op/config", msgspec.json.encode(value))
        app = entry.app
        await wait_until(lambda: app._view.configuration.version == 2)
        self.assertThat(
            app._view.configuration.services["llm"].cache_tokens, Equals(10_000)
        )
        now = app._dispatcher.clock()
        reports = []
        self.patch(
            PartExchange,
            "record_broken_off",
            lambda exchange, *args, **options: reports.append(args),
        )
        for name in ("m1", "m2"):
            fleet.servers[name].faults = BackendServerFaults(cut_after_events=1)
            load = RemoteLoad(
                prefill_tokens=0,
                in_flight=1,
                short_prompts=0,
                received_at=now,
                held_tokens=held_tokens,
            )
            app._loads.update_remote("e9", name, load)
        await fleet.call(entry, "ask", stream=3)
        return reports, entry.events("server_memory_exceeded")

    async def check_full(self, fleet, entry):
        reports, events = await self.crash(fleet, entry, held_tokens=8_000)
        self.assertThat(reports, Equals([]))
        self.assertTrue(events)

    async def check_empty(self, fleet, entry):
        reports, events = await self.crash(fleet, entry, held_tokens=100)
        self.assertTrue(reports)
        self.assertThat(events, Equals([]))

    def test_requests_of_a_full_server_are_not_suspected(self):
        self.with_fleet(self.check_full, contracts=("pressure",))

    def test_requests_of_a_server_with_memory_left_are(self):
        self.with_fleet(self.check_empty, contracts=("pressure",))
