"""What a simulated day consists of, who decides on it, and what callers got."""

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
    """Decisions on one prompt; each of them may be a baseline's."""

    def choose(
        self,
        candidates: Sequence[Candidate],
        prompt: Prompt,
        store: CacheStore | None,
        now: float,
    ) -> Choice:
        """Return the server of an attempt."""

    def decide_admission(
        self, choice: Choice, prompt: Prompt, timing: RequestTiming, backlog_s: float
    ) -> AdmissionDecision:
        """Return whether a prompt is sent, held back or refused."""


@attrs.frozen(kw_only=True)
class FleetScenario:
    """One simulated day; times and lengths are in seconds.

    Parameters
    ----------
    spec : EngineSpec
        The engines.
    servers, entries : int
        Their numbers.
    kinds : sequence of RequestKind
        What is asked for.
    load_factor : float
        Load, as a multiple of what the kinds say.
    new_weights_at : sequence of float
        When new weights are named.
    weights_limit_s : float
        Time until old weights must not be used.
    dark : tuple of float
        Share of the servers that are lost, from when and until when.
    bursts : sequence of tuple of float
        From when, until when, and how many times the usual load.
    """

    name: str
    spec: EngineSpec
    servers: int
    entries: int
    kinds: Sequence[RequestKind]
    length_s: float = 34.0
    load_factor: float = 1.0
    new_weights_at: Sequence[float] = ()
    dark: tuple[float, float, float] = (0.0, 0.0, 0.0)
    weights_limit_s: float = 20.0


@attrs.define(kw_only=True)
class Outcome:
    """What callers of one kind got.

    Parameters
    ----------
    offered, in_time, late : int
        Requests, and those answered within their target and after it.
    offered_largest, served_largest : int
        Requests of the largest tenth, by the prompt, and those answered.
    refused_after_s : list of float
        Age of each attempt that was refused, in seconds.
    first_event_s : list of float
        Seconds from the first attempt to the first event.
    """

    offered: int = 0
    in_time: int = 0
    late: int = 0
    offered_largest: int = 0
    served_largest: int = 0
    refused_after_s: list[float] = attrs.field(factory=list)
    first_event_s: list[float] = attrs.field(factory=list)


@attrs.define(kw_only=True)
class Result:
    """Figures of one run.

    Parameters
    ----------
    outcomes : dict of str to Outcome
        By kind of request.
    worth : float
        Worth earned by the worth asked for.
    read_again : int
        Tokens of shared parts that were read though a server held them.
    worst_worth : float
        The same over the worst window of WINDOW_S.
    """

    outcomes: dict[str, Outcome] = attrs.field(factory=dict)
    worth: float = 0.0
    worst_worth: float = 0.0
    read_again: int = 0
