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
READ_TOKENS_PER_S = 40_000.0
# From the end of reading to the first event, in seconds: some steps of its batch.
FIRST_EVENT_S = 0.12
# Work ahead at a server that is nearly idle, which a late prompt may add to.
QUIET_WORK = 2_500.0
# Part of its own work that a late prompt accepts ahead of it as well, so that large
# ones, which few servers can answer in time, are not passed over for good.
STRETCH = 0.05
# Waiting this long doubles the work ahead that a late prompt accepts, so that those
# that have waited longest go first.
DOUBLING_S = 4.0
# Part of the callers' patience that the prompts waiting at an entry may take together,
# once there are so many of them that one large prompt does not decide.
MOST_WAITING_SHARE = 0.5
FEWEST_WAITING = 3


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
    backlog = choice.candidate.total_load.prefill_tokens
    accepted = QUIET_WORK + STRETCH * choice.work_tokens
    accepted *= 2 ** (timing.age_s / DOUBLING_S)
    if _answered_at(choice, timing) <= timing.target_s or backlog <= accepted:
        return AdmissionDecision.SEND
    alone_s = FIRST_EVENT_S + choice.work_tokens / READ_TOKENS_PER_S
    if timing.has_waited:
        is_lost = timing.age_s + alone_s > timing.patience_s
    else:
        is_lost = backlog_s > MOST_WAITING_SHARE * timing.patience_s
    return AdmissionDecision.REFUSE if is_lost else AdmissionDecision.WAIT


def _answered_at(choice: Choice, timing: RequestTiming) -> float:
    """Return the age at which a prompt sent now has its first event, in seconds."""
    work = choice.candidate.total_load.prefill_tokens + choice.work_tokens
    return timing.age_s + FIRST_EVENT_S + work / READ_TOKENS_PER_S


class WaitingPrompts:
    """Work of the prompts that wait at this entry."""

    def __init__(self) -> None:
        self._work: dict[int, float] = {}

    def add(self, key: int, work: float) -> None:
        """Note a prompt that waits, and the work of reading it."""
        self._work[key] = work

    def remove(self, key: int) -> bool:
        """Note that a prompt no longer waits; return whether it did."""
        return self._work.pop(key, None) is not None

    def backlog_s(self, servers: int, entries: int) -> float:
        """Return the time that this entry's share of the servers needs for them.

        It is 0 while fewer than FEWEST_WAITING wait.
        """
        if len(self._work) < FEWEST_WAITING:
            return 0.0
        share = max(1, servers) / max(1, entries)
        return sum(self._work.values()) / (READ_TOKENS_PER_S * share)
