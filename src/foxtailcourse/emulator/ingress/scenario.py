"""Scenario of a simulation, protocol of its policies, and its results."""

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


class Policy(Protocol):
    """Placement and admission of one prompt, by the ingress or by a baseline."""

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
    """

    outcomes: dict[str, Outcome] = attrs.field(factory=dict)
    worth: float = 0.0
    worst_worth: float = 0.0
    redundant_prefill_tokens: int = 0
