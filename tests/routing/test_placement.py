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
from foxtailcourse.routing._levels import home_level, tracked_levels
from foxtailcourse.routing._ring import HashRing

SHORT, LONG = RequestClass.SHORT, RequestClass.LONG
FLEET = tuple(f"server-{i}" for i in range(40))


def make_prompt(name, levels=(8, 14, 15), salt="a", tail=0):
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


def answer(server, matched=0, incarnation="1", queued_s=0.0, refused=False):
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
    """Send one short request to the best or a given server and let it answer."""
    server = server or policy.rank(prompt, fleet, SHORT, now)[0].backend_server
    policy.record_sent(prompt, server, now)
    policy.record_reply(prompt, answer(server, **reply), now)
    policy.record_finished(prompt, server, now)
    return server


class NaivePlacement:
    """Keeps every event and derives every figure from the whole list.

    It takes short requests, never forgets and has fixed lifetimes.
    """

    def __init__(self, cfg, lifetime_s):
        self.cfg, self.lifetime_s, self.events = cfg, lifetime_s, []

    def cost_s(self, prompt, server, home, now):
        waits, open_work, used = [0.0], 0.0, {}
        for kind, at, where, key_levels, figure in self.events:
            if where != server:
                continue
            if kind == "reply":
                waits = [max(0.0, figure - (now - at))]
                open_work -= key_levels["work"]
            elif kind == "sent":
                open_work += key_levels["work"]
            elif kind == "emptied":
                used = {}
            for key in key_levels.get("keys", ()):
                used[key] = at
        expected = 0.0
        for block in range(1, len(prompt.keys) + 1):
            beliefs = [0.95] if home and block <= home else [0.0]
            for level in prompt.levels:
                at = used.get(prompt.keys[level - 1])
                if level >= block and at is not None:
                    ratio = (now - at) / self.lifetime_s
                    beliefs.append(2.718281828459045 ** (-0.7 * ratio * ratio))
            expected += max(beliefs)
        tokens = prompt.tokens - expected * self.cfg.block_tokens
        prefill_s = tokens / self.cfg.prefill_tokens_per_s
        cost_s = waits[0] + max(0.0, open_work) + self.cfg.recompute_weight * prefill_s
        return cost_s, prefill_s


class TestDifferential(testtools.TestCase):
    """Guards against a cost that drifts from the events it is derived from."""

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.lists(st.integers(0, 5), min_size=1, max_size=25), st.integers(0, 99))
    def test_costs_equal_those_of_the_whole_event_list(self, picks, seed):
        rng = random.Random(seed)
        cfg = PlacementSettings()
        policy, fleet = PrefixPlacement(cfg), FLEET[:5]
        policy._holders.checked = lambda *args: None
        naive = NaivePlacement(cfg, policy._holders.lifetime_s("any"))
        ring, now, waiting = HashRing(fleet), 0.0, []
        for pick in picks:
            now += rng.random() * 4
            prompt = make_prompt(f"p{pick % 3}", tail=pick + 1)
            home = home_level(prompt.levels)
            first = next(iter(ring.draw(prompt.keys[home - 1], 1)))
            ranked = policy.rank(prompt, fleet, SHORT, now)
            costs = {}
            for choice in ranked:
                server = choice.backend_server
                at_home = home if server == first else 0
                costs[server] = naive.cost_s(prompt, server, at_home, now)
                self.assertAlmostEqual(choice.cost_s, costs[server][0], 6)
            best = min(cost for cost, _ in costs.values())
            self.assertAlmostEqual(ranked[0].cost_s, best, 6)
            server = rng.choice(ranked).backend_server
            plain_s = naive.cost_s(prompt, server, 0, now)[1]
            keys = [prompt.keys[level - 1] for level in prompt.levels]
            policy.record_sent(prompt, server, now)
            noted = {"work": plain_s, "keys": keys}
            naive.events.append(("sent", now, server, noted, 0.0))
            waiting.append((prompt, server, noted))
            if rng.random() < 0.6:
                # Attempts of equal prompts on one server are answered in order.
                *same, _ = waiting[rng.randrange(len(waiting))]
                place = [each[:2] for each in waiting].index(tuple(same))
                prompt, server, noted = waiting.pop(place)
                queued_s = rng.random()
                policy.record_reply(prompt, answer(server, queued_s=queued_s), now)
                policy.record_finished(prompt, server, now)
                naive.events.append(("reply", now, server, noted, queued_s))
            if rng.random() < 0.1:
                policy._holders.emptied(server, now)
                naive.events.append(("emptied", now, server, {}, 0.0))


class TestCandidates(testtools.TestCase):
    """Guards against a decision whose cost or outcome depends on the fleet's size."""

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
            before, after = next(whole.draw(key, 1)), next(rest.draw(key, 1))
            if before != FLEET[0]:
                self.assertThat(after, Equals(before))
            moved += before != after
        self.assertThat(moved, LessThan(500 * 3 // len(FLEET)))

    def test_keys_spread_evenly(self):
        ring = HashRing(FLEET)
        counts = dict.fromkeys(FLEET, 0)
        for name in range(8_000):
            counts[next(ring.draw(random.Random(name).randbytes(16), 1))] += 1
        self.assertThat(max(counts.values()), LessThan(2 * 8_000 // len(FLEET)))

    def test_draws_are_distinct_and_cover_a_small_fleet(self):
        for size in range(1, 9):
            ring = HashRing(FLEET[:size])
            drawn = list(ring.draw(b"k" * 16, 16))
            self.assertThat(sorted(drawn), Equals(sorted(FLEET[:size])))

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

    def test_a_retry_draws_from_the_whole_fleets_ring(self):
        policy, prompt = PrefixPlacement(), make_prompt("p")
        first = policy.rank(prompt, FLEET, SHORT, 0.0)[0].backend_server
        rest = tuple(each for each in FLEET if each != first)
        again = policy.rank(prompt, list(rest), SHORT, 0.0)
        self.assertNotIn(first, [each.backend_server for each in again])
        rings = {id(fleet.ring) for fleet in policy._fleets._models["m"]}
        self.assertThat(len(rings), Equals(1))

    def test_a_class_survives_rankings_of_other_requests(self):
        policy, prompt = PrefixPlacement(), make_prompt("p")
        server = policy.rank(prompt, FLEET, LONG, 0.0)[0].backend_server
        policy.rank(make_prompt("q"), FLEET, SHORT, 0.0)
        policy.record_sent(prompt, server, 0.0)
        self.assertThat(policy._open.short_work_s(server), Equals(0.0))
        self.assertThat(policy._open.long_wait_s("a", server, 3.0), Equals(3.0))


class TestHeat(testtools.TestCase):
    """Guards against a hot prefix that stays on one server, or stays spread."""

    def homes(self, policy, prompt, now):
        ranked = policy.rank(prompt, FLEET, SHORT, now)
        return [c for c in ranked if c.matched_blocks >= home_level(prompt.levels) - 1]

    def test_a_hot_prefix_widens_and_narrows_within_seconds(self):
        policy, now = PrefixPlacement(), 0.0
        hot = make_prompt("hot")
        self.assertThat(len(self.homes(policy, hot, now)), Equals(1))
        for _ in range(600):
            now += 1 / 60
            serve(policy, make_prompt("hot", tail=1 + int(now * 60)), now, matched=14)
        width = policy._width(hot, home_level(hot.levels), now)
        self.assertThat(width, GreaterThan(4))
        now += 60.0
        self.assertThat(policy._width(hot, home_level(hot.levels), now), Equals(1))
        self.assertThat(len(self.homes(policy, hot, now)), LessThan(3))

    def test_a_hot_shift_is_followed_within_seconds(self):
        policy, now, widths = PrefixPlacement(), 0.0, {}
        for name, until in (("old", 20.0), ("new", 25.0), ("other", 50.0)):
            while now < until:
                now += 1 / 40
                serve(policy, make_prompt(name, tail=1 + int(now * 40)), now)
            for each in ("old", "new"):
                widths[each, until] = policy._width(make_prompt(each), 8, now)
        self.assertThat(widths["old", 20.0], GreaterThan(5))
        self.assertThat(widths["new", 20.0], Equals(1))
        self.assertThat(widths["new", 25.0], GreaterThan(3))
        self.assertThat(widths["old", 25.0], LessThan(widths["old", 20.0]))
        self.assertThat(widths["old", 50.0], Equals(1))

    def test_memory_is_bounded(self):
        cfg = PlacementSettings(tracked_prefixes=50, tracked_attempts=40)
        policy = PrefixPlacement(cfg)
        for name in range(500):
            prompt = make_prompt(f"p{name}", salt=f"s{name}")
            server = policy.rank(prompt, FLEET, LONG, name)[0].backend_server
            policy.record_sent(prompt, server, name)
        self.assertThat(len(policy._holders), Equals(50))
        self.assertThat(len(policy._open._open), Equals(40))


class TestFailures(testtools.TestCase):
    """Guards against routing by the cache of an engine that lost it."""

    def test_a_new_incarnation_holds_nothing(self):
        policy, prompt = PrefixPlacement(), make_prompt("p", levels=(1, 14, 15))
        home = serve(policy, prompt, 0.0)
        other = next(s for s in FLEET if s != home)
        serve(policy, prompt, 1.0, server=other)
        before = policy._matched(prompt, other, SHORT, 0, 1.0)
        self.assertThat(before, GreaterThan(14))
        unrelated = make_prompt("q")
        serve(policy, unrelated, 2.0, server=other, incarnation="2")
        after = policy._matched(prompt, other, SHORT, 0, 2.0)
        self.assertThat(after, Equals(0.0))

    def test_a_refused_request_leaves_no_belief(self):
        policy, prompt = PrefixPlacement(), make_prompt("p")
        policy.rank(prompt, FLEET, SHORT, 0.0)
        policy.record_sent(prompt, FLEET[0], 0.0)
        self.assertThat(policy._matched(prompt, FLEET[0], SHORT, 0, 0.0), Equals(15.0))
        policy.record_reply(prompt, answer(FLEET[0], refused=True), 1.0)
        self.assertThat(policy._matched(prompt, FLEET[0], SHORT, 0, 1.0), Equals(0.0))

    def test_a_reply_without_an_incarnation_empties_nothing(self):
        policy, prompt = PrefixPlacement(), make_prompt("p")
        serve(policy, prompt, 0.0, server=FLEET[0])
        serve(policy, make_prompt("q"), 0.0, server=FLEET[0], incarnation="")
        matched = policy._matched(prompt, FLEET[0], SHORT, 0, 0.0)
        self.assertThat(matched, Equals(15.0))

    def test_a_lost_server_is_avoided_and_returns(self):
        policy, prompt = PrefixPlacement(), make_prompt("p")
        home = serve(policy, prompt, 0.0)
        policy.record_unreachable(home, 1.0)
        ranked = policy.rank(prompt, FLEET, SHORT, 1.0)
        self.assertNotEqual(ranked[0].backend_server, home)
        self.assertThat(ranked[-1].backend_server, Equals(home))
        ranked = policy.rank(prompt, FLEET, SHORT, 10.0)
        self.assertThat(ranked[0].backend_server, Equals(home))

    def test_a_restarted_entry_agrees_from_its_first_request(self):
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

    def test_replies_of_unknown_attempts_do_no_harm(self):
        policy, prompt = PrefixPlacement(), make_prompt("p")
        policy.record_reply(prompt, answer("server-1", matched=3), 0.0)
        policy.record_finished(prompt, "server-1", 0.0)
        self.assertThat(policy._open.short_work_s("server-1"), Equals(0.0))


class TestLongWaits(testtools.TestCase):
    """Guards against long requests that pile up on one server."""

    def test_an_account_with_waiting_requests_goes_elsewhere(self):
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
