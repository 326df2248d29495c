"""The product's decisions on prompts, and those that they are compared with."""

from collections.abc import Sequence

from foxtailcourse.ingress import (
    OLD_WEIGHTS_COST_TOKENS,
    RUNNING_COST_TOKENS,
    CacheStore,
    Candidate,
    Choice,
    Prompt,
    Step,
    Timing,
    best_fetch,
    cheapest,
    choose_for_prompt,
    next_step,
)


class Product:
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

    def next_step(
        self, choice: Choice, prompt: Prompt, timing: Timing, ahead_s: float
    ) -> Step:
        """Return whether a prompt is sent, held back or refused."""
        return next_step(choice, prompt, timing, ahead_s)


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
        best = min(candidates, key=lambda each: each.total.prefill_tokens)
        to_read = float(prompt.tokens - best.held.covered(best.salt, prompt.parts, now))
        return Choice(candidate=best, tokens_to_read=to_read, work=to_read)

    def next_step(
        self, choice: Choice, prompt: Prompt, timing: Timing, ahead_s: float
    ) -> Step:
        """Send."""
        return Step.SEND


class AgeingHoldback:
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
        return cheapest(choices, prompt)

    def _cost(
        self,
        each: Candidate,
        candidates: Sequence[Candidate],
        prompt: Prompt,
        store: CacheStore | None,
        now: float,
    ) -> Choice:
        own = each.held.covered(each.salt, prompt.parts, now)
        to_read, source = float(prompt.tokens - own), None
        if prompt.is_long:
            gain, source = best_fetch(each, candidates, own, prompt, store)
            to_read -= gain
        cost = (
            each.total.prefill_tokens
            + RUNNING_COST_TOKENS * each.load.in_flight * each.entries
            + self.MISS_WEIGHT * to_read
            + each.old_weights * OLD_WEIGHTS_COST_TOKENS
        )
        return Choice(
            candidate=each,
            fetch_from=source,
            tokens_to_read=to_read,
            work=to_read,
            cost=cost,
        )

    def next_step(
        self, choice: Choice, prompt: Prompt, timing: Timing, ahead_s: float
    ) -> Step:
        """Hold a long prompt back until its age allows for the work ahead."""
        if not prompt.is_long or timing.age_s >= self.LONGEST_HOLD_S:
            return Step.SEND
        accepted = self.ENOUGH_TOKENS * 2 ** (timing.age_s / self.DOUBLING_S)
        waits = choice.candidate.total.prefill_tokens > accepted
        return Step.WAIT if waits else Step.SEND


POLICIES = {
    "least-outstanding": LeastOutstanding,
    "ageing-holdback": AgeingHoldback,
    "ours": Product,
}
