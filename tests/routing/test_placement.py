import random

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.matchers import Equals, GreaterThan, LessThan

from foxtailcourse.protocol import RequestClass
from foxtailcourse.routing import (
    PlacementSettings,
    PrefixPlacement,
    Prompt,
    ServerReply,
)
from foxtailcourse.routing._levels import find_home_level, tracked_levels
from foxtailcourse.routing._ring import HashRing

SHORT, LONG = RequestClass.SHORT, RequestClass.LONG
FLEET = tuple(f"server-{i}" for i in range(40))


def make_prompt(name, levels=(8, 14, 15), salt="a", tail=0):
    """Return a prompt whose blocks depend on its name.

    A ``tail`` other than 0 selects other blocks after the last level but one, as a
    new question in a chat does.
    """
    keys = [random.Random(f"{name}-{i}").randbytes(16) for i in range(levels[-1])]
    if tail:
        keys[levels[-2] :] = [
            random.Random(f"{name}-{tail}-{i}").randbytes(16)
            for i in range(levels[-1] - levels[-2])
        ]
    return Prompt(
        model="m",
        salt=salt,
        keys=tuple(keys),
        levels=levels,
        tokens=levels[-1] * 64,
        max_tokens=64,
    )


def make_reply(server, matched=0, incarnation="1", queued_s=0.0, refused=False):
    return ServerReply(
        backend_server=server,
        engine_incarnation=incarnation,
        matched_blocks=matched,
        queued_s=queued_s,
        running=0,
        waiting=0,
        refused=refused,
    )


def serve(policy, prompt, now, server=None, fleet=FLEET, **reply):
    """Send one short request to the best or a given server and record its reply."""
    server = server or policy.rank(prompt, fleet, SHORT, now)[0].backend_server
    policy.record_sent(prompt, server, now)
    policy.record_reply(prompt, make_reply(server, **reply), now)
    policy.record_finished(prompt, server, now)
    return server


class NaivePlacement:
    """Reference model that recomputes every cost from the list of all events.

    It handles short requests only, evicts nothing and has a fixed retention time.
    """

    def __init__(self, cfg, retention_s):
        self.cfg, self.retention_s, self.events = cfg, retention_s, []

    def predict(self, prompt, server, home_level, now):
        """Return the cost and the prefill time, in seconds."""
        wait_s, open_prefill_s, used = [0.0], 0.0, {}
        for kind, at, at_server, details, queued_s in self.events:
            if at_server != server:
                continue
            if kind == "reply":
                wait_s = [max(0.0, queued_s - (now - at))]
                open_prefill_s -= details["prefill_s"]
            elif kind == "sent":
                open_prefill_s += details["prefill_s"]
            elif kind == "cache lost":
                used = {}
            for key in details.get("keys", ()):
                used[key] = at
        expected = 0.0
        for block in range(1, len(prompt.keys) + 1):
            probabilities = [0.95] if home_level and block <= home_level else [0.0]
            for level in prompt.levels:
                at = used.get(prompt.keys[level - 1])
                if level >= block and at is not None:
                    ratio = (now - at) / self.retention_s
                    probabilities.append(2.718281828459045 ** (-0.7 * ratio * ratio))
            expected += max(probabilities)
        tokens = prompt.tokens - expected * self.cfg.block_tokens
        prefill_s = tokens / self.cfg.prefill_tokens_per_s
        cost_s = (
            wait_s[0] + max(0.0, open_prefill_s) + self.cfg.recompute_weight * prefill_s
        )
        return cost_s, prefill_s


class TestDifferential(testtools.TestCase):
    """Guards against costs that differ from a recomputation from all events.

    The policy updates its state incrementally, so a missed or doubled update would
    shift the cost of a server for all later requests.
    """

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.lists(st.integers(0, 5), min_size=1, max_size=25), st.integers(0, 99))
    def test_costs_equal_those_of_the_whole_event_list(self, picks, seed):
        rng = random.Random(seed)
        cfg = PlacementSettings()
        policy, fleet = PrefixPlacement(cfg), FLEET[:5]
        policy._prefix_table.update_retention = lambda *args: None
        naive = NaivePlacement(cfg, policy._prefix_table.retention_s("any"))
        ring, now, unanswered = HashRing(fleet), 0.0, []
        for pick in picks:
            now += rng.random() * 4
            prompt = make_prompt(f"p{pick % 3}", tail=pick + 1)
            home_level = find_home_level(prompt.levels)
            home_server = next(iter(ring.lookup(prompt.keys[home_level - 1], 1)))
            ranked = policy.rank(prompt, fleet, SHORT, now)
            costs = {}
            for ranked_server in ranked:
                server = ranked_server.backend_server
                expected_level = home_level if server == home_server else 0
                costs[server] = naive.predict(prompt, server, expected_level, now)
                self.assertAlmostEqual(ranked_server.cost_s, costs[server][0], 6)
            best = min(cost for cost, _ in costs.values())
            self.assertAlmostEqual(ranked[0].cost_s, best, 6)
            server = rng.choice(ranked).backend_server
            prefill_s = naive.predict(prompt, server, 0, now)[1]
            keys = [prompt.keys[level - 1] for level in prompt.levels]
            policy.record_sent(prompt, server, now)
            details = {"prefill_s": prefill_s, "keys": keys}
            naive.events.append(("sent", now, server, details, 0.0))
            unanswered.append((prompt, server, details))
            if rng.random() < 0.6:
                # Attempts of equal prompts on one server are answered in order.
                *same, _ = unanswered[rng.randrange(len(unanswered))]
                index = [each[:2] for each in unanswered].index(tuple(same))
                prompt, server, details = unanswered.pop(index)
                queued_s = rng.random()
                policy.record_reply(prompt, make_reply(server, queued_s=queued_s), now)
                policy.record_finished(prompt, server, now)
                naive.events.append(("reply", now, server, details, queued_s))
            if rng.random() < 0.1:
                policy._prefix_table.record_cache_loss(server, now)
                naive.events.append(("cache lost", now, server, {}, 0.0))


class TestCandidates(testtools.TestCase):
    """Guards against lookups whose cost or result depends on the fleet's size."""

    def test_few_candidates_in_a_large_fleet(self):
        fleet = tuple(f"server-{i}" for i in range(3_000))
        policy = PrefixPlacement()
        for name in range(50):
            ranked = policy.rank(make_prompt(f"p{name}"), fleet, SHORT, 0.0)
            servers = {each.backend_server for each in ranked}
            self.assertThat(len(ranked), Equals(len(servers)))
            self.assertThat(len(servers), GreaterThan(4))
            self.assertThat(len(servers), LessThan(8))

    def test_a_leaving_server_moves_only_its_own_keys(self):
        whole, rest = HashRing(FLEET), HashRing(FLEET[1:])
        moved = 0
        for name in range(500):
            key = random.Random(name).randbytes(16)
            before, after = next(whole.lookup(key, 1)), next(rest.lookup(key, 1))
            if before != FLEET[0]:
                self.assertThat(after, Equals(before))
            moved += before != after
        self.assertThat(moved, LessThan(500 * 3 // len(FLEET)))

    def test_keys_spread_evenly(self):
        ring = HashRing(FLEET)
        counts = dict.fromkeys(FLEET, 0)
        for name in range(8_000):
            counts[next(ring.lookup(random.Random(name).randbytes(16), 1))] += 1
        self.assertThat(max(counts.values()), LessThan(2 * 8_000 // len(FLEET)))

    def test_lookups_are_distinct_and_cover_a_small_fleet(self):
        for size in range(1, 9):
            ring = HashRing(FLEET[:size])
            servers = list(ring.lookup(b"k" * 16, 16))
            self.assertThat(sorted(servers), Equals(sorted(FLEET[:size])))

    def test_prompts_without_a_prefix_are_spread(self):
        policy, prompt = PrefixPlacement(), make_prompt("none", levels=(1,))
        prompt = Prompt(
            model="m", salt="a", keys=(), levels=(), tokens=10, max_tokens=prompt.tokens
        )
        used = {serve(policy, prompt, i / 10) for i in range(100)}
        self.assertThat(len(used), GreaterThan(20))

    def test_an_empty_fleet_has_no_candidates(self):
        policy = PrefixPlacement()
        self.assertThat(policy.rank(make_prompt("p"), (), SHORT, 0.0), Equals([]))

    def test_long_chats_are_tracked_by_few_levels(self):
        levels = tuple(range(1, 200))
        self.assertThat(tracked_levels(levels), Equals((1, 2, 3, 197, 198, 199)))

    def test_a_retry_uses_the_ring_of_the_whole_fleet(self):
        policy, prompt = PrefixPlacement(), make_prompt("p")
        first = policy.rank(prompt, FLEET, SHORT, 0.0)[0].backend_server
        rest = tuple(each for each in FLEET if each != first)
        again = policy.rank(prompt, list(rest), SHORT, 0.0)
        self.assertNotIn(first, [each.backend_server for each in again])
        rings = {id(fleet.ring) for fleet in policy._rings._models["m"]}
        self.assertThat(len(rings), Equals(1))

    def test_rankings_of_other_requests_keep_a_recorded_class(self):
        policy, prompt = PrefixPlacement(), make_prompt("p")
        server = policy.rank(prompt, FLEET, LONG, 0.0)[0].backend_server
        policy.rank(make_prompt("q"), FLEET, SHORT, 0.0)
        policy.record_sent(prompt, server, 0.0)
        self.assertThat(policy._open.short_prefill_s(server), Equals(0.0))
        self.assertThat(policy._open.long_wait_s("a", server, 3.0), Equals(3.0))


class TestHotPrefixes(testtools.TestCase):
    """Guards against a hot prefix that overloads one server.

    Its number of home servers must follow its request rate, up and down again.
    """

    def home_candidates(self, policy, prompt, now):
        ranked = policy.rank(prompt, FLEET, SHORT, now)
        return [
            c for c in ranked if c.matched_blocks >= find_home_level(prompt.levels) - 1
        ]

    def test_a_hot_prefix_gains_and_loses_home_servers_within_seconds(self):
        policy, now = PrefixPlacement(), 0.0
        hot = make_prompt("hot")
        self.assertThat(len(self.home_candidates(policy, hot, now)), Equals(1))
        for _ in range(600):
            now += 1 / 60
            serve(policy, make_prompt("hot", tail=1 + int(now * 60)), now, matched=14)
        n_servers = policy._n_home_servers(hot, find_home_level(hot.levels), now)
        self.assertThat(n_servers, GreaterThan(4))
        now += 60.0
        self.assertThat(
            policy._n_home_servers(hot, find_home_level(hot.levels), now), Equals(1)
        )
        self.assertThat(len(self.home_candidates(policy, hot, now)), LessThan(3))

    def test_home_servers_follow_a_change_of_the_hot_prefix_within_seconds(self):
        policy, now, n_servers = PrefixPlacement(), 0.0, {}
        for name, until in (("old", 20.0), ("new", 25.0), ("other", 50.0)):
            while now < until:
                now += 1 / 40
                serve(policy, make_prompt(name, tail=1 + int(now * 40)), now)
            for each in ("old", "new"):
                n_servers[each, until] = policy._n_home_servers(
                    make_prompt(each), 8, now
                )
        self.assertThat(n_servers["old", 20.0], GreaterThan(5))
        self.assertThat(n_servers["new", 20.0], Equals(1))
        self.assertThat(n_servers["new", 25.0], GreaterThan(3))
        self.assertThat(n_servers["old", 25.0], LessThan(n_servers["old", 20.0]))
        self.assertThat(n_servers["old", 50.0], Equals(1))

    def test_memory_is_bounded(self):
        cfg = PlacementSettings(tracked_prefixes=50, tracked_attempts=40)
        policy = PrefixPlacement(cfg)
        for name in range(500):
            prompt = make_prompt(f"p{name}", salt=f"s{name}")
            server = policy.rank(prompt, FLEET, LONG, name)[0].backend_server
            policy.record_sent(prompt, server, name)
        self.assertThat(len(policy._prefix_table), Equals(50))
        self.assertThat(len(policy._open._open), Equals(40))


class TestFailures(testtools.TestCase):
    """Guards against routing by the cache of an engine that lost it.

    An engine loses its cache when it restarts or becomes unreachable; a refused
    request never filled it.
    """

    def test_a_new_incarnation_has_nothing_cached(self):
        policy, prompt = PrefixPlacement(), make_prompt("p", levels=(1, 14, 15))
        home = serve(policy, prompt, 0.0)
        other = next(s for s in FLEET if s != home)
        serve(policy, prompt, 1.0, server=other)
        before = policy._expected_blocks(prompt, other, SHORT, 0, 1.0)
        self.assertThat(before, GreaterThan(14))
        unrelated = make_prompt("q")
        serve(policy, unrelated, 2.0, server=other, incarnation="2")
        after = policy._expected_blocks(prompt, other, SHORT, 0, 2.0)
        self.assertThat(after, Equals(0.0))

    def test_a_refused_request_does_not_count_as_cached(self):
        policy, prompt = PrefixPlacement(), make_prompt("p")
        policy.rank(prompt, FLEET, SHORT, 0.0)
        policy.record_sent(prompt, FLEET[0], 0.0)
        self.assertThat(
            policy._expected_blocks(prompt, FLEET[0], SHORT, 0, 0.0), Equals(15.0)
        )
        policy.record_reply(prompt, make_reply(FLEET[0], refused=True), 1.0)
        self.assertThat(
            policy._expected_blocks(prompt, FLEET[0], SHORT, 0, 1.0), Equals(0.0)
        )

    def test_an_evicted_attempt_no_longer_counts_as_cached(self):
        policy = PrefixPlacement(PlacementSettings(tracked_attempts=4))
        prompt = make_prompt("p")
        policy.rank(prompt, FLEET, LONG, 0.0)
        policy.record_sent(prompt, "s1", 0.0)
        keys = [prompt.keys[level - 1] for level in tracked_levels(prompt.levels)]
        prefixes = [policy._prefix_table.get(key) for key in keys]
        self.assertTrue(all(each.pending == {"s1": 1} for each in prefixes))
        for number in range(4):
            other = make_prompt(f"q{number}", salt=f"b{number}")
            policy.rank(other, FLEET, LONG, 0.0)
            policy.record_sent(other, "s1", 0.0)
        self.assertTrue(all(each.pending == {} for each in prefixes))

    def test_a_reply_without_an_incarnation_keeps_cached_prefixes(self):
        policy, prompt = PrefixPlacement(), make_prompt("p")
        serve(policy, prompt, 0.0, server=FLEET[0])
        serve(policy, make_prompt("q"), 0.0, server=FLEET[0], incarnation="")
        matched = policy._expected_blocks(prompt, FLEET[0], SHORT, 0, 0.0)
        self.assertThat(matched, Equals(15.0))

    def test_an_unreachable_server_is_avoided_and_used_again(self):
        policy, prompt = PrefixPlacement(), make_prompt("p")
        home = serve(policy, prompt, 0.0)
        policy.record_unreachable(home, 1.0)
        ranked = policy.rank(prompt, FLEET, SHORT, 1.0)
        self.assertNotEqual(ranked[0].backend_server, home)
        self.assertThat(ranked[-1].backend_server, Equals(home))
        ranked = policy.rank(prompt, FLEET, SHORT, 10.0)
        self.assertThat(ranked[0].backend_server, Equals(home))

    def test_a_restarted_entry_selects_the_same_servers_at_once(self):
        old, agreed = PrefixPlacement(), 0
        for name in range(40):
            for repeat in range(3):
                serve(old, make_prompt(f"p{name}", tail=repeat + 1), name + repeat)
        for name in range(40):
            prompt = make_prompt(f"p{name}", tail=9)
            first = old.rank(prompt, FLEET, SHORT, 43.0)[0].backend_server
            fresh = PrefixPlacement().rank(prompt, FLEET, SHORT, 0.0)
            agreed += fresh[0].backend_server == first
        self.assertThat(agreed, Equals(40))

    def test_replies_of_unknown_attempts_change_no_load(self):
        policy, prompt = PrefixPlacement(), make_prompt("p")
        policy.record_reply(prompt, make_reply("server-1", matched=3), 0.0)
        policy.record_finished(prompt, "server-1", 0.0)
        self.assertThat(policy._open.short_prefill_s("server-1"), Equals(0.0))


class TestLongWaits(testtools.TestCase):
    """Guards against long requests of one account that queue up on one server."""

    def test_an_account_with_waiting_requests_uses_another_server(self):
        policy, prompt = PrefixPlacement(), make_prompt("p", levels=(1, 2))
        home = policy.rank(prompt, FLEET, LONG, 0.0)[0].backend_server
        policy.record_sent(prompt, home, 0.0)
        other = make_prompt("p", levels=(1, 2), salt="b")
        ranked = policy.rank(prompt, FLEET, LONG, 30.0)
        self.assertNotEqual(ranked[0].backend_server, home)
        ranked = policy.rank(other, FLEET, LONG, 30.0)
        self.assertThat(ranked[0].backend_server, Equals(home))
        policy.record_finished(prompt, home, 31.0)
        self.assertThat(policy._open.long_wait_s("a", home, 31.0), Equals(0.0))
