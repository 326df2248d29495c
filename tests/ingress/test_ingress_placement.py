import random

import attrs
import testtools
from decision_case import NOW, STORE, cached_index, candidate, prompt, server
from testtools.matchers import Equals

from foxtailcourse.emulator.ingress.deployments import COUNTER_ENGINE, GUIDING_ENGINE
from foxtailcourse.ingress._cache_feed import assign_subscribers
from foxtailcourse.ingress._cache_index import CacheIndex
from foxtailcourse.ingress._fetch_sources import FetchSources, should_save
from foxtailcourse.ingress._placement import (
    choose_for_prompt,
    choose_without_prompt,
    preferred_store,
    prefill_work_tokens,
    reserved_for_large,
    reserved_for_short,
)
from foxtailcourse.ingress._placement_types import CacheStore, Candidate, Prompt
from foxtailcourse.ingress._request_sizes import MAX_ROUTES, RequestSizes
from foxtailcourse.ingress._server_loads import ServerLoad, TotalLoad
from foxtailcourse.platform import CacheEvent, CacheEvents, PromptPart
from foxtailcourse.settings import Address


class TestPlacement(testtools.TestCase):
    """Guards the tradeoff between cached parts and queues."""

    def test_large_fleet_leaves_some_servers_to_large_prompts(self):
        candidates = [candidate(f"s{n}") for n in range(20)]
        for_short = reserved_for_short(candidates)
        for_large = reserved_for_large(candidates, for_short)
        self.assertThat(len(for_large), Equals(4))
        self.assertFalse(for_large & for_short)
        self.assertThat(reserved_for_large(candidates[:9], for_short), Equals(set()))
        loaded = [
            candidate(name, queued_tokens=0.0 if name in for_large else 20_000.0)
            for name in (f"s{n}" for n in range(20))
        ]
        for own_tokens, is_large in ((2_000, False), (6_000, True)):
            sized = attrs.evolve(prompt(own_tokens=own_tokens), typical_tokens=14_000.0)
            choice = choose_for_prompt(loaded, sized, None, NOW)
            self.assertThat(choice.candidate.server.id in for_large, Equals(is_large))

    def test_server_with_cached_part_is_preferred_until_its_queue_costs_more(self):
        index = cached_index(aa=13_000)
        rest = [candidate(name) for name in ("s2", "s3", "s4", "s5")]
        idle = [candidate("s1", index=index), *rest]
        busy = [candidate("s1", queued_tokens=60_000.0, index=index), *rest]
        self.assertThat(
            choose_for_prompt(idle, prompt(), None, NOW).candidate.server.id,
            Equals("s1"),
        )
        choice = choose_for_prompt(busy, prompt(), None, NOW)
        self.assertTrue(choice.candidate.server.id != "s1")
        self.assertThat(choice.fetch_from, Equals(idle[0].server.address))

    def test_store_is_used_when_no_server_has_the_part_cached(self):
        candidates = [candidate(name) for name in ("s1", "s2", "s3", "s4")]
        store = CacheStore(address=STORE, cache_index=cached_index(aa=13_000))
        choice = choose_for_prompt(candidates, prompt(), store, NOW)
        self.assertThat(choice.fetch_from, Equals(STORE))
        self.assertTrue(choice.prefill_tokens < 15_000)

    def test_parts_are_distributed_over_several_stores(self):
        stores = [
            CacheStore(address=Address("10.0.0.9", port), cache_index=CacheIndex())
            for port in (1, 2, 3)
        ]
        owners = [preferred_store(f"part{n}", stores).address.port for n in range(300)]
        for port in (1, 2, 3):
            self.assertTrue(70 < owners.count(port) < 130)
        self.assertIs(preferred_store("part1", []), None)
        # If a store fails, only its own parts move.
        remaining = [
            preferred_store(f"part{n}", stores[:2]).address.port for n in range(300)
        ]
        moved = [a for a, b in zip(owners, remaining, strict=True) if a != b]
        self.assertThat(set(moved), Equals({3}))

    def test_nothing_is_fetched_across_versions(self):
        other = Candidate(
            server=server("s1", version=2),
            own_load=ServerLoad(),
            total_load=TotalLoad(prefill_tokens=90_000, in_flight=0, short_prompts=0),
            entry_count=4,
            cache_index=cached_index(aa=13_000),
            salt="2",
        )
        choice = choose_for_prompt([other, candidate("s2")], prompt(), None, NOW)
        self.assertThat(choice.candidate.server.id, Equals("s2"))
        self.assertIs(choice.fetch_from, None)

    def test_expected_part_is_not_offered_for_a_fetch(self):
        pending = CacheIndex()
        pending.add_expected("1", prompt().parts[:1], NOW)
        candidates = [
            candidate("s1", queued_tokens=90_000.0, index=pending),
            candidate("s2"),
        ]
        choice = choose_for_prompt(candidates, prompt(), None, NOW)
        self.assertIs(choice.fetch_from, None)

    def test_short_prompts_avoid_servers_in_a_long_prefill(self):
        rng = random.Random(5)
        for _ in range(200):
            names = [f"s{n}" for n in range(5)]
            loaded = rng.choice(names)
            candidates = [
                candidate(name, queued_tokens=27_000.0 if name == loaded else 0.0)
                for name in names
            ]
            part = str(rng.random())
            short = prompt(shared_tokens=90, own_tokens=290, part=part)
            choice = choose_for_prompt(candidates, short, None, NOW)
            self.assertTrue(choice.candidate.server.id != loaded)

    def test_long_prompts_avoid_reserved_servers_while_others_have_capacity(self):
        names = [f"s{n}" for n in range(5)]
        idle = [candidate(name) for name in names]
        reserved = reserved_for_short(idle)
        self.assertThat(len(reserved), Equals(1))
        for number in range(100):
            choice = choose_for_prompt(idle, prompt(part=str(number)), None, NOW)
            self.assertNotIn(choice.candidate.server.id, reserved)
        full = [
            candidate(n, queued_tokens=0.0 if n in reserved else 90_000.0)
            for n in names
        ]
        choice = choose_for_prompt(full, prompt(), None, NOW)
        self.assertIn(choice.candidate.server.id, reserved)

    def test_reservation_follows_the_short_prompts_in_flight(self):
        def count(short_prompts):
            candidates = [
                candidate(f"s{n}", short_prompts=short_prompts) for n in range(12)
            ]
            return len(reserved_for_short(candidates))

        self.assertThat([count(0), count(4), count(50)], Equals([1, 2, 7]))
        self.assertThat(
            reserved_for_short([candidate("a"), candidate("b")]), Equals(set())
        )

    def test_servers_are_reserved_by_the_work_of_the_short_prompts(self):
        candidates = [candidate(f"s{n}", short_prompts=10) for n in range(12)]
        few = reserved_for_short(candidates, 800.0)
        many = reserved_for_short(candidates, 2_800.0)
        # 120 prompts of 800 tokens take 6 servers, of 2,800 tokens more than allowed.
        self.assertThat((len(few), len(many)), Equals((6, 7)))
        self.assertTrue(few < many)

    def test_fetch_weighs_the_transfer_against_the_prefill(self):
        holder = candidate("holder", index=cached_index(aa=13_000))
        far = attrs.evolve(
            candidate("far", index=cached_index(aa=13_000)),
            server=attrs.evolve(server("far"), failure_domain="catania"),
        )
        for transfer_token_s, source, gain_tokens in (
            (0.0, "holder", 10_400),
            (10e-6, "holder", 7_800),
            (30e-6, None, 0),
        ):
            receiver = candidate("s1", transfer_token_s=transfer_token_s)
            candidates = [receiver, holder, far]
            sources = FetchSources.find(candidates, prompt(), None)
            gain, address = sources.best_for(receiver, 0)
            self.assertThat(round(gain), Equals(gain_tokens))
            expected = server(source).address if source else None
            self.assertThat(address, Equals(expected))
        # Between failure domains the transfer takes twice as long.
        receiver = candidate("s1", transfer_token_s=10e-6)
        sources = FetchSources.find([receiver, far], prompt(), None)
        self.assertThat(round(sources.best_for(receiver, 0)[0]), Equals(2_600))

    def test_prompt_is_saved_only_while_the_store_lacks_its_shared_parts(self):
        empty = CacheStore(address=STORE, cache_index=CacheIndex())
        full = CacheStore(address=STORE, cache_index=cached_index(aa=13_000))
        partial = CacheStore(address=STORE, cache_index=cached_index(aa=6_000))
        for store, expected in ((empty, True), (partial, True), (full, False)):
            self.assertThat(should_save(store, "1", prompt()), Equals(expected))
        # The store has the parts of other weights only.
        self.assertTrue(should_save(full, "2", prompt()))
        # Short prompts and prompts without shared parts are not worth a copy.
        self.assertFalse(should_save(empty, "1", prompt(90, 290)))
        alone = Prompt(parts=prompt().parts[1:], tokens=15_000)
        self.assertFalse(should_save(empty, "1", alone))

    def test_time_of_a_decision_does_not_grow_faster_than_the_fleet(self):
        def evaluations(count):
            counter = CountingIndex()
            CountingIndex.lookups = 0
            candidates = [candidate(f"s{n}", index=counter) for n in range(count)]
            choose_for_prompt(candidates, prompt(), None, NOW)
            return CountingIndex.lookups

        self.assertTrue(evaluations(390) <= 10.5 * evaluations(39))

    def test_requests_without_prompts_are_spread_and_avoid_a_failing_server(self):
        rng = random.Random(3)
        candidates = [candidate(name) for name in ("a", "b", "c")]
        for _ in range(30):
            candidates[0].own_load.record_failure(NOW)
        picked = [
            choose_without_prompt(candidates, NOW, rng.random()).candidate.server.id
            for _ in range(300)
        ]
        self.assertThat(set(picked), Equals({"b", "c"}))
        self.assertTrue(abs(picked.count("b") - 150) < 60)

    def test_entries_with_the_same_stale_loads_select_different_servers(self):
        """Many entries select a server before loads are published; they must spread."""
        rng = random.Random(9)
        counts = dict.fromkeys(("a", "b", "c"), 0)
        for _ in range(300):
            candidates = [candidate(name, in_flight=0) for name in counts]
            chosen = choose_without_prompt(candidates, NOW, rng.random())
            counts[chosen.candidate.server.id] += 1
        self.assertTrue(max(counts.values()) < 150, counts)


class TestPrefillWork(testtools.TestCase):
    """Guards the estimate of the prefill time of a prompt."""

    def test_tokens_after_a_long_context_take_longer(self):
        self.assertTrue(prefill_work_tokens(1_000, 0) < 1_020)
        self.assertTrue(prefill_work_tokens(1_000, 40_000) > 1_990)
        # A prefill in two chunks takes as long as in one.
        whole = prefill_work_tokens(60_000, 0)
        parts = prefill_work_tokens(20_000, 0) + prefill_work_tokens(40_000, 20_000)
        self.assertTrue(abs(whole - parts) < 1e-6)

    def test_estimate_agrees_with_the_engine_data_sheets(self):
        """Compares the estimate for 93,000 tokens with the engines' data sheets."""
        for spec in (COUNTER_ENGINE, GUIDING_ENGINE):
            plain_s = 93_000 * spec.prefill_token_s
            real_s = plain_s + 93_000**2 / 2 * spec.attention_pair_s
            estimate_s = prefill_work_tokens(93_000, 0) * spec.prefill_token_s
            self.assertTrue(0.75 < estimate_s / real_s < 1.35, estimate_s / real_s)


class TestCacheIndex(testtools.TestCase):
    """Guards against relying on parts that are no longer cached."""

    def test_index_follows_restart_gap_and_eviction(self):
        index = cached_index(aa=100, bb=50)
        parts = (PromptPart(id="aa", tokens=100), PromptPart(id="bb", tokens=50))
        self.assertThat(index.cached_prefix_tokens("1", parts, NOW), Equals(150))
        self.assertThat(index.cached_prefix_tokens("2", parts, NOW), Equals(0))
        part = CacheEvent(salt="1", part="aa", tokens=64)
        index.apply(
            CacheEvents(epoch=1, next_position=2, events_lost=False, events=(part,))
        )
        self.assertThat(index.cached_prefix_tokens("1", parts, NOW), Equals(64))
        index.apply(CacheEvents(epoch=2, next_position=1, events_lost=False, events=()))
        self.assertThat(index.cached_prefix_tokens("1", parts, NOW), Equals(0))
        index = cached_index(aa=100)
        index.apply(CacheEvents(epoch=1, next_position=9, events_lost=True, events=()))
        self.assertThat(index.cached_prefix_tokens("1", parts, NOW), Equals(0))

    def test_expected_part_expires(self):
        index = CacheIndex()
        parts = (PromptPart(id="aa", tokens=100),)
        index.add_expected("1", parts, NOW)
        self.assertThat(index.cached_prefix_tokens("1", parts, NOW + 0.5), Equals(100))
        self.assertThat(index.cached_prefix_tokens("1", parts, NOW + 5), Equals(0))
        self.assertThat(index.confirmed_prefix_tokens("1", parts), Equals(0))

    def test_entries_agree_on_subscribers_without_communication(self):
        entries = {f"e{n}" for n in range(25)}
        for source in ("s1", "s2", "10.0.0.9:80"):
            assignment = assign_subscribers(source, entries)
            self.assertThat(len(assignment.subscribers), Equals(6))
            self.assertThat(
                assignment.receivers, Equals(entries - set(assignment.subscribers))
            )
            self.assertThat(sum(assignment.publishes(e) for e in entries), Equals(2))
        # A server that accepts two concurrent event calls has two subscribers.
        self.assertThat(
            len(assign_subscribers("s1", entries, 2).subscribers), Equals(2)
        )
        few = assign_subscribers("s1", {"e1", "e2"})
        self.assertThat(few.receivers, Equals(set()))


class CountingIndex(CacheIndex):
    """An empty index that counts how often it is asked for a prompt."""

    lookups = 0

    def cached_prefix_tokens(self, *args):
        CountingIndex.lookups += 1
        return 0


class TestRequestSizes(testtools.TestCase):
    """Guards the typical sizes by which kinds of requests are told apart."""

    def test_mean_follows_the_route_and_forgets_unused_ones(self):
        sizes = RequestSizes()
        rng = random.Random(2)
        for _ in range(400):
            mean = sizes.record_prompt("glaze", round(rng.lognormvariate(7.2, 1.0)))
            long_mean = sizes.record_prompt("motif", rng.randrange(3_000, 21_000))
        self.assertTrue(1_500 < mean < 3_500, mean)
        self.assertTrue(9_000 < long_mean < 15_000, long_mean)
        for number in range(2 * MAX_ROUTES):
            sizes.record_prompt(f"r{number}", 1)
        self.assertThat(len(sizes._by_route), Equals(MAX_ROUTES))

    def test_work_is_assumed_until_a_short_prompt_was_seen(self):
        sizes = RequestSizes()
        self.assertThat(sizes.short_work_tokens(800.0), Equals(800.0))
        sizes.record_short_work(2_800.0)
        self.assertThat(sizes.short_work_tokens(800.0), Equals(2_800.0))


class TestSpread(testtools.TestCase):
    """Guards the separation of long and short prompts in large fleets."""

    def test_short_prompts_stay_on_the_reserved_servers(self):
        candidates = [
            attrs.evolve(candidate(f"s{n}", short_prompts=3), entry_count=25)
            for n in range(20)
        ]
        reserved = reserved_for_short(candidates, 800.0)
        short = prompt(shared_tokens=92, own_tokens=291)
        rng = random.Random(6)
        chosen = [
            choose_for_prompt(
                candidates, short, None, NOW, 800.0, rng
            ).candidate.server.id
            for _ in range(300)
        ]
        self.assertTrue(sum(each in reserved for each in chosen) >= 0.9 * 300)
        self.assertTrue(len(set(chosen)) >= len(reserved))
