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
# Where the target of long prompts is at least this multiple of the shortest target at
# their service, a queue that they can bear makes the other prompts late. Then only so
# much is queued at a server as leaves those this fraction of their target.
DIFFERENT_TARGETS_RATIO = 3.0
QUEUED_TARGET_FRACTION = 0.25


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
    max_queue_s : float
        Longest prefill that may be queued at a server to which a long prompt is sent in
        time, in seconds.
    """

    age_s: float
    target_s: float
    patience_s: float
    was_deferred: bool = False
    max_queue_s: float = float("inf")


def decide_admission(
    choice: Choice,
    prompt: Prompt,
    timing: RequestTiming,
    backlog_s: float,
    *,
    above_share_target_s: float | None = None,
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
    above_share_target_s : float or None
        Time in seconds in which the first event of a prompt must come whose account is
        above its share; otherwise it is refused unless a server is nearly idle. None
        for the other accounts.
    """
    if above_share_target_s is not None:
        return _decide_above_share(choice, timing, above_share_target_s)
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
    queue_s = backlog_tokens / PREFILL_TOKENS_PER_S
    if backlog_tokens <= accepted_tokens or (
        queue_s <= timing.max_queue_s
        and _first_event_age_s(choice, timing) <= timing.target_s
    ):
        return AdmissionDecision.SEND
    unqueued_s = candidate.latency_s + choice.work_tokens / candidate.tokens_per_s
    if timing.was_deferred:
        exceeds_patience = timing.age_s + unqueued_s > timing.patience_s
    else:
        exceeds_patience = backlog_s > MAX_BACKLOG_FRACTION * timing.patience_s
    return AdmissionDecision.REFUSE if exceeds_patience else AdmissionDecision.DEFER


def max_queue_s(target_s: float, shortest_target_s: float) -> float:
    """Return the longest queue at a server to which a long prompt is sent in time.

    This answers a burst of long prompts with a late target beside short ones with an
    early target: what is queued at a server delays both, what is deferred at an entry
    does not.

    Parameters
    ----------
    target_s : float
        Target of the prompt's route, in seconds.
    shortest_target_s : float
        Shortest target of a route with prompts to the same service, in seconds.

    Returns
    -------
    float
        Prefill time in seconds; infinity if the targets are similar.
    """
    if target_s < DIFFERENT_TARGETS_RATIO * shortest_target_s:
        return float("inf")
    return QUEUED_TARGET_FRACTION * shortest_target_s


def _decide_above_share(
    choice: Choice, timing: RequestTiming, target_s: float
) -> AdmissionDecision:
    """Return whether a new prompt of an account above its share is sent or refused."""
    backlog_tokens = choice.candidate.total_load.prefill_tokens
    idle_tokens = IDLE_SERVER_WORK_TOKENS + OWN_WORK_FRACTION * choice.work_tokens
    if _first_event_age_s(choice, timing) <= target_s or backlog_tokens <= idle_tokens:
        return AdmissionDecision.SEND
    return AdmissionDecision.REFUSE


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
        # By key; empty without an account.
        self._accounts: dict[int, str] = {}

    def __len__(self) -> int:
        return len(self._work_tokens)

    def add(self, key: int, work_tokens: float, account: str = "") -> None:
        """Add a deferred prompt, or update its prefill work."""
        self._work_tokens[key] = work_tokens
        self._accounts[key] = account

    def remove(self, key: int) -> bool:
        """Remove a prompt; return whether it was deferred."""
        self._accounts.pop(key, None)
        return self._work_tokens.pop(key, None) is not None

    def account_tokens(self) -> dict[str, float]:
        """Return the prefill work of the deferred prompts by account."""
        totals: dict[str, float] = {}
        for key, work_tokens in self._work_tokens.items():
            account = self._accounts[key]
            totals[account] = totals.get(account, 0.0) + work_tokens
        return totals

    def fair_backlog_s(
        self,
        account: str,
        work_tokens: float,
        servers: int,
        entries: int,
        tokens_per_s: float = PREFILL_TOKENS_PER_S,
    ) -> float:
        """Return the backlog ahead of a new prompt if accounts take turns.

        Of each other account, only as much work counts as its own account then has, so
        that the deferred prompts of a large account do not have a small one refused.
        """
        backlog_s = self.backlog_s(servers, entries, tokens_per_s)
        if not backlog_s:
            return 0.0
        totals = self.account_tokens()
        own_tokens = totals.pop(account, 0.0)
        limit_tokens = own_tokens + work_tokens
        ahead = own_tokens + sum(min(e, limit_tokens) for e in totals.values())
        return backlog_s * ahead / (own_tokens + sum(totals.values()))

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
