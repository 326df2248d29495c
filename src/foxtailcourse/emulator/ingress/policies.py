"""The product's decisions on prompts, and those that they are compared with."""

from collections.abc import Sequence

from foxtailcourse.ingress import (
    OUTDATED_WEIGHTS_COST_TOKENS,
    RUNNING_REQUEST_COST_TOKENS,
    AdmissionDecision,
    CacheStore,
    Candidate,
    Choice,
    Prompt,
    RequestTiming,
    best_fetch_source,
    choose_for_prompt,
    decide_admission,
    lowest_cost_choice,
)


class ProductPolicy:
    """What the product decides."""

    def choose(
        self,
        candidates: Sequence[Candidate],
        prompt: Prompt,
        store: CacheStore | None,
        now: float,
    ) -> Choice:
        """Return the server of an attempt."""
        return choose_for_prompt(candidates, prompt, store, now)

    def decide_admission(
        self, choice: Choice, prompt: Prompt, timing: RequestTiming, backlog_s: float
    ) -> AdmissionDecision:
        """Return whether a prompt is sent, held back or refused."""
        return decide_admission(choice, prompt, timing, backlog_s)


class LeastOutstanding:
    """Takes the server with the least work and sends at once."""

    def choose(
        self,
        candidates: Sequence[Candidate],
        prompt: Prompt,
        store: CacheStore | None,
        now: float,
    ) -> Choice:
        """Return the server with the least work left to read."""
        best = min(candidates, key=lambda each: each.total_load.prefill_tokens)
        to_read = float(
            prompt.tokens
            - best.cache_index.cached_prefix_tokens(best.salt, prompt.parts, now)
        )
        return Choice(candidate=best, prefill_tokens=to_read, work_tokens=to_read)

    def decide_admission(
        self, choice: Choice, prompt: Prompt, timing: RequestTiming, backlog_s: float
    ) -> AdmissionDecision:
        """Send."""
        return AdmissionDecision.SEND


class AgeingDeferral:
    """Policy of release 0.1: every held prompt is sent sooner the longer it waits.

    Tokens cost the same wherever they stand in a prompt, late prompts are sent like
    others, and none is refused for overload. Servers are reserved as they are today.
    """

    MISS_WEIGHT = 2.0
    ENOUGH_TOKENS = 16_000.0
    DOUBLING_S = 0.4
    LONGEST_HOLD_S = 3.0

    def choose(
        self,
        candidates: Sequence[Candidate],
        prompt: Prompt,
        store: CacheStore | None,
        now: float,
    ) -> Choice:
        """Return the server with the lowest cost."""
        choices = [
            self._cost(each, candidates, prompt, store, now) for each in candidates
        ]
        return lowest_cost_choice(choices, prompt)

    def _cost(
        self,
        each: Candidate,
        candidates: Sequence[Candidate],
        prompt: Prompt,
        store: CacheStore | None,
        now: float,
    ) -> Choice:
        own = each.cache_index.cached_prefix_tokens(each.salt, prompt.parts, now)
        to_read, source = float(prompt.tokens - own), None
        if prompt.is_long:
            gain, source = best_fetch_source(each, candidates, own, prompt, store)
            to_read -= gain
        cost = (
            each.total_load.prefill_tokens
            + RUNNING_REQUEST_COST_TOKENS * each.own_load.in_flight * each.entry_count
            + self.MISS_WEIGHT * to_read
            + each.outdated_weights * OUTDATED_WEIGHTS_COST_TOKENS
        )
        return Choice(
            candidate=each,
            fetch_from=source,
            prefill_tokens=to_read,
            work_tokens=to_read,
            cost_tokens=cost,
        )

    def decide_admission(
        self, choice: Choice, prompt: Prompt, timing: RequestTiming, backlog_s: float
    ) -> AdmissionDecision:
        """Hold a long prompt back until its age allows for the work ahead."""
        if not prompt.is_long or timing.age_s >= self.LONGEST_HOLD_S:
            return AdmissionDecision.SEND
        accepted = self.ENOUGH_TOKENS * 2 ** (timing.age_s / self.DOUBLING_S)
        waits = choice.candidate.total_load.prefill_tokens > accepted
        return AdmissionDecision.WAIT if waits else AdmissionDecision.SEND


POLICIES = {
    "least-outstanding": LeastOutstanding,
    "ageing-holdback": AgeingDeferral,
    "ours": ProductPolicy,
}
