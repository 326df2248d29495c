"""Policy of ``foxtail-ingress`` and the baselines it is compared with."""

import random
from collections.abc import Sequence

import attrs

from foxtailcourse.emulator.ingress.scenario import SpeedKnowledge
from foxtailcourse.ingress import (
    ASSUMED_SHORT_WORK_TOKENS,
    OUTDATED_WEIGHTS_COST_TOKENS,
    RUNNING_REQUEST_COST_TOKENS,
    AdmissionDecision,
    CacheStore,
    Candidate,
    Choice,
    FetchSources,
    Prompt,
    RequestSizes,
    RequestTiming,
    choose_for_prompt,
    decide_admission,
    lowest_cost_choice,
)

# Seed of the random part of the costs.
SPREAD_SEED = 1


class ProductPolicy:
    """Placement and admission control of ``foxtail-ingress``.

    All entries share the sizes that each entry learns in operation.
    """

    knowledge = SpeedKnowledge.LEARNED

    def __init__(self) -> None:
        self._sizes = RequestSizes()
        self._rng = random.Random(SPREAD_SEED)

    def choose(
        self,
        candidates: Sequence[Candidate],
        prompt: Prompt,
        store: CacheStore | None,
        now: float,
        was_deferred: bool = False,
    ) -> Choice:
        """Return the selected server of an attempt."""
        short_work_tokens = self._sizes.short_work_tokens(ASSUMED_SHORT_WORK_TOKENS)
        choice = choose_for_prompt(
            candidates,
            prompt,
            store,
            now,
            short_work_tokens,
            None if was_deferred else self._rng,
        )
        if not prompt.is_long:
            self._sizes.record_short_work(choice.work_tokens)
        return choice

    def decide_admission(
        self, choice: Choice, prompt: Prompt, timing: RequestTiming, backlog_s: float
    ) -> AdmissionDecision:
        """Return whether a prompt is sent, deferred or refused."""
        return decide_admission(choice, prompt, timing, backlog_s)


class LeastOutstanding:
    """Chooses the server with the least queued prefill and sends immediately."""

    knowledge = SpeedKnowledge.EQUAL

    def choose(
        self,
        candidates: Sequence[Candidate],
        prompt: Prompt,
        store: CacheStore | None,
        now: float,
        was_deferred: bool = False,
    ) -> Choice:
        """Return the server with the fewest tokens to prefill."""
        best = min(candidates, key=lambda each: each.total_load.prefill_tokens)
        prefill_tokens = float(
            prompt.tokens
            - best.cache_index.cached_prefix_tokens(best.salt, prompt.parts, now)
        )
        return Choice(
            candidate=best, prefill_tokens=prefill_tokens, work_tokens=prefill_tokens
        )

    def decide_admission(
        self, choice: Choice, prompt: Prompt, timing: RequestTiming, backlog_s: float
    ) -> AdmissionDecision:
        """Send every prompt."""
        return AdmissionDecision.SEND


class AgeingDeferral:
    """Policy of release 0.1: the load limit of a deferred prompt grows with its age.

    Tokens cost the same at all positions of a prompt, late prompts are sent like
    others, and none is refused under overload. The reservation of servers for short
    prompts is the present one, not that of the release.
    """

    knowledge = SpeedKnowledge.EQUAL
    # Cost of a token to prefill, relative to one that is queued at the server.
    MISS_WEIGHT = 2.0
    # A new prompt is sent below this load; the limit doubles each DOUBLING_S.
    MAX_LOAD_TOKENS = 16_000.0
    DOUBLING_S = 0.4
    # Age at which a prompt is sent at any load.
    MAX_DEFERRAL_S = 3.0

    def choose(
        self,
        candidates: Sequence[Candidate],
        prompt: Prompt,
        store: CacheStore | None,
        now: float,
        was_deferred: bool = False,
    ) -> Choice:
        """Return the server with the lowest cost."""
        sources = FetchSources.find(candidates, prompt, store)
        choices = [
            self._estimate_cost(each, prompt, sources, now) for each in candidates
        ]
        return lowest_cost_choice(choices, prompt)

    def _estimate_cost(
        self,
        candidate: Candidate,
        prompt: Prompt,
        sources: FetchSources,
        now: float,
    ) -> Choice:
        cached = candidate.cache_index.cached_prefix_tokens(
            candidate.salt, prompt.parts, now
        )
        prefill_tokens, source = float(prompt.tokens - cached), None
        if prompt.is_long:
            gain_tokens, source = sources.best_for(candidate, cached)
            prefill_tokens -= gain_tokens
        cost_tokens = (
            candidate.total_load.prefill_tokens
            + RUNNING_REQUEST_COST_TOKENS
            * candidate.own_load.in_flight
            * candidate.entry_count
            + self.MISS_WEIGHT * prefill_tokens
            + candidate.outdated_weights * OUTDATED_WEIGHTS_COST_TOKENS
        )
        return Choice(
            candidate=candidate,
            fetch_from=source,
            prefill_tokens=prefill_tokens,
            work_tokens=prefill_tokens,
            cost_tokens=cost_tokens,
        )

    def decide_admission(
        self, choice: Choice, prompt: Prompt, timing: RequestTiming, backlog_s: float
    ) -> AdmissionDecision:
        """Defer a long prompt while the server's load exceeds the limit for its age."""
        if not prompt.is_long or timing.age_s >= self.MAX_DEFERRAL_S:
            return AdmissionDecision.SEND
        max_load_tokens = self.MAX_LOAD_TOKENS * 2 ** (timing.age_s / self.DOUBLING_S)
        overloaded = choice.candidate.total_load.prefill_tokens > max_load_tokens
        return AdmissionDecision.DEFER if overloaded else AdmissionDecision.SEND


class UnboundedQueue(ProductPolicy):
    """Replaced policy that queued long prompts at servers up to their own target."""

    def decide_admission(
        self, choice: Choice, prompt: Prompt, timing: RequestTiming, backlog_s: float
    ) -> AdmissionDecision:
        """Return whether a prompt is sent, deferred or refused."""
        timing = attrs.evolve(timing, max_queue_s=float("inf"))
        return super().decide_admission(choice, prompt, timing, backlog_s)


class EqualSpeeds(ProductPolicy):
    """Replaced policy to which all servers are equally fast."""

    knowledge = SpeedKnowledge.EQUAL


class Oracle(ProductPolicy):
    """The product's decisions with true speeds, slow-downs and remaining work."""

    knowledge = SpeedKnowledge.TRUE


class SameChoice(EqualSpeeds):
    """Replaced policy without a random part of the cost."""

    def choose(
        self,
        candidates: Sequence[Candidate],
        prompt: Prompt,
        store: CacheStore | None,
        now: float,
        was_deferred: bool = False,
    ) -> Choice:
        """Return the selected server of an attempt."""
        # The choice of a deferred prompt has no random part.
        return super().choose(candidates, prompt, store, now, was_deferred=True)


class SizeClasses(EqualSpeeds):
    """Replaced policy that classified each prompt by its own size.

    It deferred and refused the large prompts of a short kind like long ones, and
    reserved servers by the number of short prompts, whatever their work.
    """

    def choose(
        self,
        candidates: Sequence[Candidate],
        prompt: Prompt,
        store: CacheStore | None,
        now: float,
        was_deferred: bool = False,
    ) -> Choice:
        """Return the selected server of an attempt."""
        return choose_for_prompt(candidates, _by_own_size(prompt), store, now)

    def decide_admission(
        self, choice: Choice, prompt: Prompt, timing: RequestTiming, backlog_s: float
    ) -> AdmissionDecision:
        """Return whether a prompt is sent, deferred or refused."""
        return decide_admission(choice, _by_own_size(prompt), timing, backlog_s)


def _by_own_size(prompt: Prompt) -> Prompt:
    return attrs.evolve(prompt, typical_tokens=0.0)


POLICIES = {
    "least-outstanding": LeastOutstanding,
    "ageing-holdback": AgeingDeferral,
    "size-classes": SizeClasses,
    "same-choice": SameChoice,
    "ours": ProductPolicy,
}
# Policies that are compared on servers of unequal speeds.
SPEED_POLICIES = {
    "equal-speeds": EqualSpeeds,
    "ours": ProductPolicy,
    "oracle": Oracle,
}
