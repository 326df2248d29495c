"""Admission control: decides whether a long prompt is sent, deferred or refused.

Overload comes from bursts, from servers that failed or load weights, and from the empty
caches that follow. The inference engine of a server prefills prompts in the order in
which they arrive, so a prompt that is sent to an overloaded server delays all prompts
after it. A prompt that can
still meet its latency target is sent at once. One that cannot, because it is late or
its prefill takes long, is deferred until a server is nearly idle. A new prompt is
refused on arrival if the fleet cannot serve the deferred prompts before their callers
give up, and a deferred one once it can no longer be served before its caller gives up.
"""

import enum
from collections.abc import Sequence

import attrs

from foxtailcourse.ingress._placement_types import (
    PREFILL_TOKENS_PER_S,
    Candidate,
    Choice,
    Prompt,
)

# Backlog at which a server counts as nearly idle and accepts a late prompt.
IDLE_SERVER_WORK_TOKENS = 2_500.0
# A late prompt also accepts a backlog of this fraction of its own work, so that large
# prompts, which few servers can complete in time, do not starve.
OWN_WORK_FRACTION = 0.05
# The backlog that a late prompt accepts doubles in this time, so that the prompts that
# have waited longest are sent first.
ACCEPTED_WORK_DOUBLING_S = 4.0
# A new prompt is refused if the deferred prompts of this entry take more than this
# fraction of its caller's patience, and if there are at least MIN_DEFERRED_PROMPTS of
# them, so that one large prompt does not cause refusals.
MAX_BACKLOG_FRACTION = 0.5
MIN_DEFERRED_PROMPTS = 3


class AdmissionDecision(enum.Enum):
    """Outcome of admission control for a prompt.

    SEND
        It is sent to the selected server now.
    DEFER
        It stays at this entry and is decided on again later.
    REFUSE
        It is refused, and the caller may retry later.
    """

    SEND = "send"
    DEFER = "wait"
    REFUSE = "refuse"


@attrs.frozen(kw_only=True)
class RequestTiming:
    """Times of one request, measured from its arrival at the entry.

    Parameters
    ----------
    age_s : float
        Present age of the request, in seconds.
    target_s : float
        Target for the first event of the response, in seconds.
    patience_s : float
        Time after which the caller gives up, in seconds.
    was_deferred : bool
        Whether the request was deferred before.
    """

    age_s: float
    target_s: float
    patience_s: float
    was_deferred: bool = False


def decide_admission(
    choice: Choice, prompt: Prompt, timing: RequestTiming, backlog_s: float
) -> AdmissionDecision:
    """Return whether a prompt is sent to its selected server, deferred or refused.

    Parameters
    ----------
    choice : Choice
        The best server at present.
    prompt : Prompt
        The prompt.
    timing : RequestTiming
        Times of the request.
    backlog_s : float
        Time that this entry's fraction of the fleet needs to prefill the other prompts
        deferred at this entry, in seconds.
    """
    if not prompt.is_long:
        return AdmissionDecision.SEND
    candidate = choice.candidate
    # In tokens of a typical server.
    backlog_tokens = candidate.total_load.prefill_tokens / candidate.speed
    accepted_tokens = (
        IDLE_SERVER_WORK_TOKENS
        + OWN_WORK_FRACTION * choice.work_tokens / candidate.speed
    )
    accepted_tokens *= 2 ** (timing.age_s / ACCEPTED_WORK_DOUBLING_S)
    if (
        _first_event_age_s(choice, timing) <= timing.target_s
        or backlog_tokens <= accepted_tokens
    ):
        return AdmissionDecision.SEND
    unqueued_s = candidate.latency_s + choice.work_tokens / candidate.tokens_per_s
    if timing.was_deferred:
        exceeds_patience = timing.age_s + unqueued_s > timing.patience_s
    else:
        exceeds_patience = backlog_s > MAX_BACKLOG_FRACTION * timing.patience_s
    return AdmissionDecision.REFUSE if exceeds_patience else AdmissionDecision.DEFER


def _first_event_age_s(choice: Choice, timing: RequestTiming) -> float:
    """Return the expected age at the first event of a prompt that is sent now."""
    candidate = choice.candidate
    work_tokens = candidate.total_load.prefill_tokens + choice.work_tokens
    return (
        timing.age_s
        + candidate.latency_s
        + work_tokens / candidate.tokens_per_s
        + candidate.delay_s
    )


def mean_tokens_per_s(candidates: Sequence[Candidate]) -> float:
    """Return the mean prefill rate of servers, in tokens per second."""
    return sum(each.tokens_per_s for each in candidates) / max(1, len(candidates))


class DeferredPrompts:
    """Prefill work of the prompts that are deferred at this entry.

    Each prompt has a key that is unique among the deferred ones. Its work is measured
    like ``Choice.work_tokens``.
    """

    def __init__(self) -> None:
        self._work_tokens: dict[int, float] = {}

    def add(self, key: int, work_tokens: float) -> None:
        """Add a deferred prompt, or update its prefill work."""
        self._work_tokens[key] = work_tokens

    def remove(self, key: int) -> bool:
        """Remove a prompt; return whether it was deferred."""
        return self._work_tokens.pop(key, None) is not None

    def backlog_s(
        self,
        servers: int,
        entries: int,
        tokens_per_s: float = PREFILL_TOKENS_PER_S,
    ) -> float:
        """Return the time that this entry's fraction of the servers needs for them.

        It is in seconds, and 0 while fewer than MIN_DEFERRED_PROMPTS are deferred.

        Parameters
        ----------
        servers, entries : int
            Number of eligible servers, and of entries that share them.
        tokens_per_s : float
            Mean prefill rate of the eligible servers, in tokens per second.
        """
        if len(self._work_tokens) < MIN_DEFERRED_PROMPTS:
            return 0.0
        servers_per_entry = max(1, servers) / max(1, entries)
        return sum(self._work_tokens.values()) / (tokens_per_s * servers_per_entry)
