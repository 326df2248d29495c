"""Scenario of a simulation, protocol of its policies, and its results."""

import enum
import math
from collections.abc import Sequence
from typing import Protocol

import attrs

from foxtailcourse.emulator.ingress.engine import EngineSpec
from foxtailcourse.emulator.ingress.workload import RequestKind
from foxtailcourse.ingress import (
    AdmissionDecision,
    CacheStore,
    Candidate,
    Choice,
    Prompt,
    RequestTiming,
)


class SpeedKnowledge(enum.Enum):
    """What a policy knows of the speeds of the servers.

    EQUAL
        Nothing; all servers count as equal.
    LEARNED
        What the entries learn as in operation.
    TRUE
        The true speeds, slow-downs and remaining work at the time of each decision.
    """

    EQUAL = "equal"
    LEARNED = "learned"
    TRUE = "true"


class Policy(Protocol):
    """Placement and admission of one prompt, by the ingress or by a baseline.

    Attributes
    ----------
    knowledge : SpeedKnowledge
        What it knows of the speeds of the servers.
    """

    knowledge: SpeedKnowledge

    def choose(
        self,
        candidates: Sequence[Candidate],
        prompt: Prompt,
        store: CacheStore | None,
        now: float,
        was_deferred: bool = False,
    ) -> Choice:
        """Return the selected server of an attempt."""

    def decide_admission(
        self, choice: Choice, prompt: Prompt, timing: RequestTiming, backlog_s: float
    ) -> AdmissionDecision:
        """Return whether a prompt is sent, deferred or refused.

        ``backlog_s`` is the time that the entry's deferred prompts need, in seconds.
        """


@attrs.frozen(kw_only=True)
class SlowDowns:
    """Momentary slow-downs of each server, one in each cycle at a random time.

    Parameters
    ----------
    factor : float
        Factor on the duration of a step during a slow-down.
    fraction : float
        Fraction of the time in which a server is slowed down.
    period_s : float
        Duration of one slow-down, in seconds.
    """

    factor: float = 1.0
    fraction: float = 0.0
    period_s: float = 0.6


@attrs.frozen(kw_only=True)
class Demand:
    """Demand over time, relative to the request rates of the kinds.

    Parameters
    ----------
    wave_ratio : float
        Amplitude of a wave relative to the mean.
    wave_period_s : float
        Period of the wave, in seconds.
    domain_phase : float
        Phase of the wave from the first failure domain to the last one, in periods.
    step_at_s, step_factor : float
        Time of a step, in seconds, and the factor on the demand from then on.
    """

    wave_ratio: float = 0.0
    wave_period_s: float = 20.0
    domain_phase: float = 0.5
    step_at_s: float = 0.0
    step_factor: float = 1.0

    @property
    def highest(self) -> float:
        """Upper bound of the demand at any time."""
        return (1 + self.wave_ratio) * max(1.0, self.step_factor)

    def at(self, time: float, position: float) -> float:
        """Return the demand at a time in a domain.

        Parameters
        ----------
        time : float
            Time, in seconds.
        position : float
            Position of the domain, from 0 for the first one to 1 for the last one.
        """
        phase = time / self.wave_period_s + self.domain_phase * position
        wave = 1 + self.wave_ratio * math.sin(2 * math.pi * phase)
        return wave * (self.step_factor if time >= self.step_at_s else 1.0)


@attrs.frozen(kw_only=True)
class FleetScenario:
    """Fleet, load and faults of one simulation; times are virtual, in seconds.

    Parameters
    ----------
    name : str
        Name of the scenario.
    spec : EngineSpec
        Speed and size of each engine.
    servers, entries : int
        Number of backend servers and of entries.
    kinds : sequence of RequestKind
        Kinds of offered requests.
    duration_s : float
        Time during which requests arrive.
    load_factor : float
        Factor on the request rates of the kinds.
    weight_changes : sequence of float
        Times at which a new version of the weights becomes the desired one.
    outage : tuple of float
        Fraction of the servers that fail, and the start and end of the outage.
    weights_limit_s : float
        Time after a change of the weights from which the old ones must not be used.
    speeds : sequence of float
        Speeds of the servers relative to ``spec``, assigned in turn.
    slow_downs : SlowDowns
        Momentary slow-downs of the servers.
    domains : int
        Number of failure domains, to which servers and entries belong in turn.
    domain_delay_s : float
        Delay of a message between failure domains, one way.
    demand : Demand
        Demand over time.
    report_delay_s : tuple of float
        Shortest and longest delay of a message between entries.
    report_loss : float
        Fraction of the messages between entries that are lost.
    cut_off : tuple of float
        Number of entries that exchange no messages, and the start and end of that.
    idle_claims : int
        Number of servers whose load all entries publish as zero.
    """

    name: str
    spec: EngineSpec
    servers: int
    entries: int
    kinds: Sequence[RequestKind]
    duration_s: float = 34.0
    load_factor: float = 1.0
    weight_changes: Sequence[float] = ()
    outage: tuple[float, float, float] = (0.0, 0.0, 0.0)
    weights_limit_s: float = 20.0
    speeds: Sequence[float] = (1.0,)
    slow_downs: SlowDowns = SlowDowns()
    domains: int = 1
    domain_delay_s: float = 0.0
    demand: Demand = Demand()
    report_delay_s: tuple[float, float] = (0.015, 0.015)
    report_loss: float = 0.0
    cut_off: tuple[int, float, float] = (0, 0.0, 0.0)
    idle_claims: int = 0


@attrs.define(kw_only=True)
class Outcome:
    """Outcomes of the requests of one kind.

    Parameters
    ----------
    offered, in_time, late : int
        Number of requests, and of those answered within and after their target.
    offered_largest, served_largest : int
        Number of requests with the largest tenth of the prompts, and of those
        answered.
    offered_second_largest, served_second_largest : int
        The same for the fifth of the prompts below the largest tenth.
    refused_after_s : list of float
        Age of each attempt when it was refused, in seconds.
    first_event_s : list of float
        Time from the first attempt to the first event, in seconds.
    """

    offered: int = 0
    in_time: int = 0
    late: int = 0
    offered_largest: int = 0
    served_largest: int = 0
    offered_second_largest: int = 0
    served_second_largest: int = 0
    refused_after_s: list[float] = attrs.field(factory=list)
    first_event_s: list[float] = attrs.field(factory=list)


@attrs.define(kw_only=True)
class Result:
    """Results of one simulation.

    Parameters
    ----------
    outcomes : dict of str to Outcome
        Outcomes by kind of request.
    worth : float
        Worth of the responses as a fraction of the worth that the offered requests
        have if all are answered in time.
    worst_worth : float
        Minimum of this fraction over windows of ``fleet.WINDOW_S`` seconds.
    redundant_prefill_tokens : int
        Tokens of shared parts prefilled although another server had them cached.
    cross_domain_tokens : int
        Tokens of prompts and fetched parts that were sent between failure domains.
    """

    outcomes: dict[str, Outcome] = attrs.field(factory=dict)
    worth: float = 0.0
    worst_worth: float = 0.0
    redundant_prefill_tokens: int = 0
    cross_domain_tokens: int = 0
