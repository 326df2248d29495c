"""Decides whether a long prompt is sent, held back at the entry or refused.

Answers overload: bursts, servers that are lost or load weights, and caches that are
empty after it. Engines read admitted prompts in turn, so whatever is sent to a server
that is behind makes all that follow late as well. A prompt that can still be answered
within its target goes at once; a late one waits for a server that is nearly idle, and
so does one that takes long to read. More of them than the fleet can serve before their
callers leave are refused when they arrive.
"""

import enum

import attrs

from foxtailcourse.ingress._placement import Choice, Prompt

# Prompt tokens that an engine reads in a second beside its running requests: a piece of
# 1,024 in a step of 26 ms, by the engines' sheets.
PREFILL_TOKENS_PER_S = 40_000.0
# From the end of reading to the first event, in seconds: some steps of its batch.
FIRST_EVENT_LATENCY_S = 0.12
# Work ahead at a server that is nearly idle, which a late prompt may add to.
IDLE_SERVER_WORK_TOKENS = 2_500.0
# Part of its own work that a late prompt accepts ahead of it as well, so that large
# ones, which few servers can answer in time, are not passed over for good.
OWN_WORK_FRACTION = 0.05
# Waiting this long doubles the work ahead that a late prompt accepts, so that those
# that have waited longest go first.
ACCEPTED_WORK_DOUBLING_S = 4.0
# Part of the callers' patience that the prompts waiting at an entry may take together,
# once there are so many of them that one large prompt does not decide.
MAX_BACKLOG_FRACTION = 0.5
MIN_WAITING_PROMPTS = 3


class AdmissionDecision(enum.Enum):
    """What becomes of a prompt now."""

    SEND = "send"
    WAIT = "wait"
    REFUSE = "refuse"


@attrs.frozen(kw_only=True)
class RequestTiming:
    """Times of one request, in seconds.

    Parameters
    ----------
    age_s : float
        Since it arrived.
    target_s : float
        From its arrival to the first event of an answer in time.
    patience_s : float
        From its arrival until its caller leaves.
    has_waited : bool
        Whether it was held back before.
    """

    age_s: float
    target_s: float
    patience_s: float
    has_waited: bool = False


def decide_admission(
    choice: Choice, prompt: Prompt, timing: RequestTiming, backlog_s: float
) -> AdmissionDecision:
    """Return whether a prompt is sent to the server that was chosen for it.

    Parameters
    ----------
    choice : Choice
        The best server now.
    prompt : Prompt
        The prompt.
    timing : Timing
        Its times.
    backlog_s : float
        Time that the fleet needs for this entry's share of the waiting prompts.
    """
    if not prompt.is_long:
        return AdmissionDecision.SEND
    backlog_tokens = choice.candidate.total_load.prefill_tokens
    accepted_tokens = IDLE_SERVER_WORK_TOKENS + OWN_WORK_FRACTION * choice.work_tokens
    accepted_tokens *= 2 ** (timing.age_s / ACCEPTED_WORK_DOUBLING_S)
    if (
        _first_event_age_s(choice, timing) <= timing.target_s
        or backlog_tokens <= accepted_tokens
    ):
        return AdmissionDecision.SEND
    alone_s = FIRST_EVENT_LATENCY_S + choice.work_tokens / PREFILL_TOKENS_PER_S
    if timing.has_waited:
        exceeds_patience = timing.age_s + alone_s > timing.patience_s
    else:
        exceeds_patience = backlog_s > MAX_BACKLOG_FRACTION * timing.patience_s
    return AdmissionDecision.REFUSE if exceeds_patience else AdmissionDecision.WAIT


def _first_event_age_s(choice: Choice, timing: RequestTiming) -> float:
    """Return the age at which a prompt sent now has its first event, in seconds."""
    work_tokens = choice.candidate.total_load.prefill_tokens + choice.work_tokens
    return timing.age_s + FIRST_EVENT_LATENCY_S + work_tokens / PREFILL_TOKENS_PER_S


class WaitingPrompts:
    """Work of the prompts that wait at this entry."""

    def __init__(self) -> None:
        self._work_tokens: dict[int, float] = {}

    def add(self, key: int, work_tokens: float) -> None:
        """Note a prompt that waits, and the work of reading it."""
        self._work_tokens[key] = work_tokens

    def remove(self, key: int) -> bool:
        """Note that a prompt no longer waits; return whether it did."""
        return self._work_tokens.pop(key, None) is not None

    def backlog_s(self, servers: int, entries: int) -> float:
        """Return the time that this entry's share of the servers needs for them.

        It is 0 while fewer than FEWEST_WAITING wait.
        """
        if len(self._work_tokens) < MIN_WAITING_PROMPTS:
            return 0.0
        servers_per_entry = max(1, servers) / max(1, entries)
        return sum(self._work_tokens.values()) / (
            PREFILL_TOKENS_PER_S * servers_per_entry
        )
