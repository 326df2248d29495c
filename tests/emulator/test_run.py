from collections import Counter

import attrs
import testtools
from testtools.matchers import Equals, GreaterThan, LessThan

from foxtailcourse.emulator import DEPLOYMENTS, EngineConfig, Scenario, World, run
from foxtailcourse.emulator._engine import (
    BlockCache,
    EngineCallbacks,
    EngineModel,
    Job,
)
from foxtailcourse.emulator._timeline import Timeline

BRIEF = attrs.evolve(
    DEPLOYMENTS["guardaroba"], duration_s=40.0, crash_at_s=20.0, pause_s=(25.0, 30.0)
)
KEYS = tuple(bytes([i]) * 16 for i in range(8))


def make_job(name, priority, tokens=800, keys=()):
    return Job(
        attempt_id=name,
        client_account="a",
        keys=keys,
        prefix_blocks=len(keys),
        tokens=tokens,
        output_tokens=10,
        priority=priority,
    )


class TestEngine(testtools.TestCase):
    """Guards against an engine model that flatters a policy."""

    def setUp(self):
        super().setUp()
        self.timeline, self.first = Timeline(), []
        self.engine = EngineModel("e", EngineConfig(), self.timeline, Counter())
        self.engine.callbacks = EngineCallbacks(
            first_token=lambda job, now: self.first.append((job.attempt_id, now)),
            done=lambda job, now: None,
            changed=lambda stored, evicted, now: None,
        )

    def test_a_short_prefill_preempts_a_long_one(self):
        self.timeline.at(0.0, self.engine.start, make_job("long", 1, tokens=8_000))
        self.timeline.at(0.1, self.engine.start, make_job("short", 0))
        self.timeline.run(5.0)
        (short, short_at), (long, long_at) = self.first
        self.assertThat((short, long), Equals(("short", "long")))
        self.assertAlmostEqual(short_at, 0.22, 6)
        self.assertAlmostEqual(long_at, 1.12, 6)

    def test_the_cache_evicts_the_deepest_blocks_first(self):
        cache = BlockCache(4, Counter())
        cache.store(KEYS[:4])
        _, evicted = cache.store(KEYS[4:6])
        self.assertThat(evicted, Equals([KEYS[3], KEYS[2]]))
        self.assertThat(cache.matched(KEYS), Equals(2))

    def test_a_crash_loses_cache_and_requests(self):
        self.timeline.at(0.0, self.engine.start, make_job("a", 0, 500, KEYS))
        self.timeline.run(0.2)
        before = self.engine.incarnation
        self.assertThat(self.engine.cache.matched(KEYS), Equals(8))
        lost = self.engine.crash(0.2)
        self.timeline.run(5.0)
        self.assertThat([each.attempt_id for each in lost], Equals(["a"]))
        self.assertThat(self.engine.cache.matched(KEYS), Equals(0))
        self.assertNotEqual(self.engine.incarnation, before)
        self.assertThat(len(self.first), Equals(1))


class TestRun(testtools.TestCase):
    """Guards against figures that depend on anything but the scenario."""

    def test_the_same_seed_gives_the_same_figures(self):
        scenario = Scenario(deployment=BRIEF, policy="ours", seed=3)
        self.assertThat(run(scenario), Equals(run(scenario)))

    def test_every_request_ends_once(self):
        world = World(Scenario(deployment=BRIEF, policy="ours"))
        world.run()
        world.timeline.run(2 * (BRIEF.duration_s + BRIEF.long_deadline_s))
        outcomes = [each for entry in world.entries for each in entry.outcomes]
        offered = world.workload.cfg
        self.assertThat(len(outcomes), GreaterThan(int(offered.duration_s * 20)))
        for each in outcomes:
            self.assertNotEqual(each.refused, each.done_at is not None)

    def test_refused_short_requests_stay_in_the_percentiles(self):
        overload = attrs.evolve(BRIEF, short_load=3.0, long_load=0.1)
        result = run(Scenario(deployment=overload, policy="ours"))
        self.assertThat(
            result.refused_ratio(next(iter(result.refused))), GreaterThan(0.1)
        )
        self.assertThat(result.short_percentile_s(95), GreaterThan(4.0))

    def test_restarted_entries_keep_the_hit_rate(self):
        calm = attrs.evolve(BRIEF, long_load=0.3, crash_at_s=100.0)
        steady = World(Scenario(deployment=calm, policy="ours"))
        restarted = World(Scenario(deployment=calm, policy="ours"))
        for entry in restarted.entries:
            for at in range(12, 40, 4):
                restarted.timeline.at(float(at), entry.restart)
        left, right = steady.run(), restarted.run()
        self.assertThat(right.hit_rate, GreaterThan(0.9 * left.hit_rate))
        self.assertThat(right.short_percentile_s(95), LessThan(1.1))
