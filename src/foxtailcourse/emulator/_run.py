"""One run of a policy on a workload."""

import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import attrs

from foxtailcourse.emulator._agent import TICK_S, AgentModel
from foxtailcourse.emulator._engine import EngineModel
from foxtailcourse.emulator._entry import EntryModel
from foxtailcourse.emulator._measure import Meter, Result
from foxtailcourse.emulator._policies import (
    FirstComeQueue,
    LeastLoaded,
    Oracle,
    RoundRobin,
)
from foxtailcourse.emulator._timeline import Timeline
from foxtailcourse.emulator._workload import Deployment, Workload
from foxtailcourse.protocol import RequestClass
from foxtailcourse.routing import Placement, PlacementSettings, PrefixPlacement
from foxtailcourse.sharing import FairQueue, QueueLimits, RequestQueue, ServiceRates

NAIVE, LEAST_LOADED, OURS, ORACLE = POLICIES = (
    "naive",
    "least-loaded",
    "ours",
    "oracle",
)


@attrs.frozen(kw_only=True)
class Scenario:
    """One run.

    Parameters
    ----------
    deployment : Deployment
        Sizes.
    policy : str
        One of POLICIES.
    short_weight, long_weight : float
        Weights of the oracle.
    seed : int
        Seed of the workload and of the event gaps.
    cfg : PlacementSettings
        Settings of the product's policy; None takes the deployment's.
    """

    deployment: Deployment
    policy: str
    short_weight: float = 2.0
    long_weight: float = 2.0
    seed: int = 1
    cfg: PlacementSettings | None = None


class World:
    """The processes of one run; tests drive it step by step."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario, cfg = scenario, scenario.deployment
        self.timeline = Timeline()
        self.rng = random.Random(scenario.seed + 1)
        fleet: Counter[bytes] = Counter()
        names = [f"{cfg.model}-{i}" for i in range(cfg.servers)]
        self.agents = {
            name: AgentModel(
                EngineModel(name, cfg.engine, self.timeline, fleet),
                self._queue(),
                self.timeline,
                random.Random(self.rng.random()),
            )
            for name in names
        }
        self.entries = [
            EntryModel(self._policy_factory(), self.agents, self.timeline)
            for _ in range(cfg.entries)
        ]
        self.workload = Workload(cfg, scenario.seed)
        self.meter = Meter(cfg, self.workload.accounts)
        for agent in self.agents.values():
            agent.on_service = self.meter.served

    def run(self) -> Result:
        """Run the workload and return the figures."""
        cfg = self.scenario.deployment
        for request in self.workload.requests():
            entry = self.entries[request.entry]
            self.timeline.at(request.at, entry.submit, request)
        crashed = next(iter(self.agents.values()))
        self.timeline.at(cfg.crash_at, crashed.crash, cfg.crash_s)
        self.timeline.at(TICK_S, self._tick)
        self.timeline.run(cfg.duration_s + cfg.long_deadline_s)
        return self.meter.result([o for e in self.entries for o in e.outcomes])

    def _tick(self, now: float) -> None:
        waiting: set[str] = set()
        for agent in self.agents.values():
            agent.tick(now)
            waiting |= agent.waiting_accounts
        self.meter.waiting(waiting, now)
        self.timeline.at(now + TICK_S, self._tick)

    def _queue(self) -> RequestQueue:
        engine = self.scenario.deployment.engine
        if self.scenario.policy == NAIVE:
            return FirstComeQueue(engine.slots)
        rates = ServiceRates(
            prefill_tokens_per_s=engine.prefill_tokens_per_s,
            decode_tokens_per_s=engine.decode_tokens_per_s,
        )
        reserved = self.scenario.deployment.reserved_short_slots
        limits = QueueLimits(slots=engine.slots, reserved_short_slots=reserved)
        return FairQueue(limits, rates)

    def _policy_factory(self) -> Callable[[], Placement]:
        scenario = self.scenario
        if scenario.policy == NAIVE:
            return RoundRobin
        if scenario.policy == LEAST_LOADED:
            return LeastLoaded
        if scenario.policy == ORACLE:
            weights = {
                RequestClass.SHORT: scenario.short_weight,
                RequestClass.LONG: scenario.long_weight,
            }
            return lambda: Oracle(self.agents, weights)
        cfg = scenario.cfg or placement_settings(scenario.deployment)
        return lambda: PrefixPlacement(cfg)


def placement_settings(deployment: Deployment) -> PlacementSettings:
    """Return the settings that a deployment's entries run with."""
    default: Any = PlacementSettings()
    return attrs.evolve(
        default,
        recompute_weight=deployment.recompute_weight,
        long_recompute_weight=deployment.long_recompute_weight,
        prefill_tokens_per_s=deployment.engine.prefill_tokens_per_s,
        block_tokens=deployment.engine.block_tokens,
    )


def run(scenario: Scenario) -> Result:
    """Run one scenario from a fresh state."""
    return World(scenario).run()
