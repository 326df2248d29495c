"""Engine model and results of the emulator."""

from collections import Counter

import attrs
import testtools
from testtools.matchers import Equals, GreaterThan, LessThan

from foxtailcourse.emulator import DEPLOYMENTS, EngineConfig, Scenario, Simulation, run
from foxtailcourse.emulator._engine import (
    BlockCache,
    EngineCallbacks,
    EngineModel,
    Job,
)
from foxtailcourse.emulator._event_scheduler import EventScheduler

SHORT_RUN = attrs.evolve(
    DEPLOYMENTS["guardaroba"], duration_s=40.0, crash_at_s=20.0, pause_s=(25.0, 30.0)
)
KEYS = tuple(bytes([i]) * 16 for i in range(8))


def make_job(name, priority, tokens=800, keys=()):
    return Job(
        attempt_id=name,
        client_account="a",
        keys=keys,
        prefix_blocks=len(keys),
        prompt_tokens=tokens,
        output_tokens=10,
        priority=priority,
    )


class TestEngine(testtools.TestCase):
    """Guards against an engine model that makes a policy look better than it is."""

    def setUp(self):
        super().setUp()
        self.scheduler, self.first_tokens = EventScheduler(), []
        self.engine = EngineModel("e", EngineConfig(), self.scheduler, Counter())
        self.engine.callbacks = EngineCallbacks(
            on_first_token=lambda job, now: self.first_tokens.append(
                (job.attempt_id, now)
            ),
            on_done=lambda job, now: None,
            on_cache_change=lambda stored, evicted, now: None,
        )

    def test_short_prefill_preempts_a_long_one(self):
        self.scheduler.call_at(
            0.0, self.engine.start, make_job("long", 1, tokens=8_000)
        )
        self.scheduler.call_at(0.1, self.engine.start, make_job("short", 0))
        self.scheduler.run(5.0)
        (short, short_at), (long, long_at) = self.first_tokens
        self.assertThat((short, long), Equals(("short", "long")))
        self.assertAlmostEqual(short_at, 0.22, 6)
        self.assertAlmostEqual(long_at, 1.12, 6)

    def test_cache_evicts_the_deepest_blocks_first(self):
        cache = BlockCache(4, Counter())
        cache.store(KEYS[:4])
        _, evicted = cache.store(KEYS[4:6])
        self.assertThat(evicted, Equals([KEYS[3], KEYS[2]]))
        self.assertThat(cache.match(KEYS), Equals(2))

    def test_crash_discards_the_cache_and_all_requests(self):
        self.scheduler.call_at(0.0, self.engine.start, make_job("a", 0, 500, KEYS))
        self.scheduler.run(0.2)
        before = self.engine.incarnation
        self.assertThat(self.engine.cache.match(KEYS), Equals(8))
        discarded = self.engine.crash(0.2)
        self.scheduler.run(5.0)
        self.assertThat([each.attempt_id for each in discarded], Equals(["a"]))
        self.assertThat(self.engine.cache.match(KEYS), Equals(0))
        self.assertNotEqual(self.engine.incarnation, before)
        self.assertThat(len(self.first_tokens), Equals(1))


class TestRun(testtools.TestCase):
    """Guards against results that depend on anything but the scenario.

    Comparisons of policies are wrong if a run is not deterministic, or if requests
    are lost or left out of the results.
    """

    def test_same_seed_gives_the_same_results(self):
        scenario = Scenario(deployment=SHORT_RUN, policy="ours", seed=3)
        self.assertThat(run(scenario), Equals(run(scenario)))

    def test_every_request_ends_once(self):
        simulation = Simulation(Scenario(deployment=SHORT_RUN, policy="ours"))
        simulation.run()
        simulation.scheduler.run(2 * (SHORT_RUN.duration_s + SHORT_RUN.long_deadline_s))
        outcomes = [each for entry in simulation.entries for each in entry.outcomes]
        deployment = simulation.workload.cfg
        self.assertThat(len(outcomes), GreaterThan(int(deployment.duration_s * 20)))
        for each in outcomes:
            self.assertNotEqual(each.refused, each.done_at is not None)

    def test_refused_short_requests_count_in_the_percentiles(self):
        overload = attrs.evolve(SHORT_RUN, short_load=3.0, long_load=0.1)
        result = run(Scenario(deployment=overload, policy="ours"))
        self.assertThat(
            result.refused_ratio(next(iter(result.refused))), GreaterThan(0.1)
        )
        self.assertThat(result.short_percentile_s(95), GreaterThan(4.0))

    def test_entry_restarts_do_not_lower_the_hit_rate(self):
        deployment = attrs.evolve(SHORT_RUN, long_load=0.3, crash_at_s=100.0)
        baseline = Simulation(Scenario(deployment=deployment, policy="ours"))
        restarted = Simulation(Scenario(deployment=deployment, policy="ours"))
        for entry in restarted.entries:
            for at in range(12, 40, 4):
                restarted.scheduler.call_at(float(at), entry.restart)
        expected, result = baseline.run(), restarted.run()
        self.assertThat(result.hit_rate, GreaterThan(0.9 * expected.hit_rate))
        self.assertThat(result.short_percentile_s(95), LessThan(1.1))
