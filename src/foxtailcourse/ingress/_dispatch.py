"""Attempts of one request: where to send it, when to repeat it, when to give up."""

import random
from collections.abc import Callable

import attrs
import trio

from foxtailcourse.fleet import FleetView
from foxtailcourse.ingress._attempt import Attempts
from foxtailcourse.ingress._budget import RetryBudget
from foxtailcourse.ingress._candidates import CandidateFilter
from foxtailcourse.ingress._holdback import (
    AdmissionDecision,
    RequestTiming,
    WaitingPrompts,
    decide_admission,
)
from foxtailcourse.ingress._job import Answer, AttemptError, Job, RefusedError
from foxtailcourse.ingress._placement import (
    CacheStore,
    Choice,
    Prompt,
    choose_for_prompt,
    choose_plain,
    store_of,
)
from foxtailcourse.observe import EventLog, Metrics
from foxtailcourse.protocol import Verdict

# Held prompts look for room in this period, and in this part of their age, as loads
# change with each first event.
HOLD_CHECK_S = 0.015
HOLD_CHECK_SHARE = 0.1
# Less time than this is not worth another attempt.
SHORTEST_ATTEMPT_S = 0.03
# When to come back after a refusal, by its reason; loads of weights take seconds, but
# another server is free sooner.
RETRY_AFTER_S = {
    "no_server": 0.5,
    "old_weights": 0.5,
    "loading_weights": 0.4,
    "connection_limit": 0.3,
    "all_tried": 0.15,
}
DEFAULT_RETRY_AFTER_S = 0.15
# Shortest time after which the entry may have fewer prompts waiting.
OVERLOAD_RETRY_S = 0.5


@attrs.define(kw_only=True)
class Dispatcher:
    """Sends requests to backend servers until one answers or none may be tried.

    Parameters
    ----------
    view : FleetView
        The fleet.
    candidates : CandidateFilter
        Selects the servers that may take an attempt.
    attempts : Attempts
        Makes attempts.
    budget_for : callable
        Returns the retry budget of a service.
    clock : callable
        Returns seconds since boot.
    rng : random.Random
        Spreads equal choices.
    events : EventLog
        Told of each attempt that failed.
    metrics : Metrics
        Counts attempts.
    """

    view: FleetView
    candidates: CandidateFilter
    attempts: Attempts
    budget_for: Callable[[str], RetryBudget]
    clock: Callable[[], float]
    rng: random.Random
    events: EventLog
    metrics: Metrics
    waiting: WaitingPrompts = attrs.field(factory=WaitingPrompts)

    async def run(self, job: Job) -> Answer | None:
        """Return the answer, or None if it was streamed.

        Raises
        ------
        RefusedError
            If the request has not run and is not tried further.
        AttemptError
            If the last attempt failed and the request may have run.
        """
        self.budget_for(job.service).note_request(self.clock())
        while True:
            choice = await self._wait_for_room(job)
            job.choice, job.attempt_pending = choice, True
            job.queued_tokens = int(choice.candidate.total_load.prefill_tokens)
            try:
                answer = await self._attempt(job, choice)
            except AttemptError as exc:
                job.attempt_pending = False
                self._note_failure(job, choice, exc)
                if exc.verdict is not Verdict.NOT_RUN:
                    job.verdict = Verdict.MAY_HAVE_RUN
                if not self._may_repeat(job, exc):
                    self._give_up(job, exc)
                continue
            self.metrics.count("foxtail_ingress_attempts_total", outcome="answered")
            return answer

    async def _wait_for_room(self, job: Job) -> Choice:
        """Choose a server, again while the prompt should not be sent."""
        began = self.clock()
        prompt = job.prompt
        try:
            while True:
                choice, servers = self._choose(job)
                now = self.clock()
                age_s = now - job.started
                if prompt is None or self._may_send(job, prompt, choice, servers, now):
                    job.held_s += now - began
                    return choice
                self.waiting.add(id(job), choice.work_tokens)
                # Spread, so that entries do not all find the same room at once.
                pause_s = max(HOLD_CHECK_S, HOLD_CHECK_SHARE * age_s)
                await trio.sleep(pause_s * self.rng.uniform(0.5, 1.5))
        finally:
            self.waiting.remove(id(job))

    def _may_send(
        self, job: Job, prompt: Prompt, choice: Choice, servers: int, now: float
    ) -> bool:
        """Return whether a prompt is sent now; raises RefusedError if it never is."""
        route = job.route
        timing = RequestTiming(
            age_s=now - job.started,
            target_s=route.target_latency_s,
            patience_s=min(route.patience_s, job.deadline - job.started),
            has_waited=self.waiting.remove(id(job)),
        )
        backlog_s = self.waiting.backlog_s(servers, len(self.view.entries))
        step = decide_admission(choice, prompt, timing, backlog_s)
        if step is AdmissionDecision.REFUSE:
            if job.verdict is not Verdict.NOT_RUN:
                raise AttemptError("overloaded", job.verdict)
            pause_s = max(OVERLOAD_RETRY_S, backlog_s) * self.rng.uniform(0.75, 1.25)
            raise RefusedError(
                "overloaded",
                pause_s,
                held_ms=int(timing.age_s * 1000),
                queued_tokens=int(choice.candidate.total_load.prefill_tokens),
                work_tokens=int(choice.work_tokens),
                ahead_ms=int(backlog_s * 1000),
            )
        return step is AdmissionDecision.SEND

    async def _attempt(self, job: Job, choice: Choice) -> Answer | None:
        prompt, address = job.prompt, None
        if prompt is not None:
            candidate = choice.candidate
            candidate.cache_index.add_expected(
                candidate.salt, prompt.parts[:-1], self.clock()
            )
            store = self._cache_store(prompt)
            address = store.address if store else None
        return await self.attempts.make(job, choice, address)

    def _cache_store(self, prompt: Prompt) -> CacheStore | None:
        """Return the KV-cache store of a prompt's largest part.

        A store counts only while its events are within reach. Where there are several,
        each part has its own, so that their room adds up.
        """
        configuration = self.view.configuration
        stores = [
            CacheStore(address=address, cache_index=held)
            for address in (configuration.cache_stores() if configuration else ())
            if (held := self.candidates.held.get(str(address))) and held.reachable
        ]
        return store_of(prompt.largest_part.id, stores)

    def _choose(self, job: Job) -> tuple[Choice, int]:
        """Return the best server now, and of how many; raises if there is none."""
        now = self.clock()
        tried = {*job.sent_to, *job.unreachable}
        selection = self.candidates.select(
            job.service,
            job.request.model,
            job.account,
            tried,
            now,
            version=job.weights_version,
        )
        if not selection.candidates:
            if job.verdict is Verdict.NOT_RUN:
                raise RefusedError(
                    selection.reason, self._retry_after(selection.reason)
                )
            raise AttemptError(selection.reason, job.verdict)
        found, prompt = selection.candidates, job.prompt
        if prompt is None:
            return choose_plain(found, now, self.rng.random()), len(found)
        store = self._cache_store(prompt)
        return choose_for_prompt(found, prompt, store, now), len(found)

    def _may_repeat(self, job: Job, exc: AttemptError) -> bool:
        now = self.clock()
        if job.deadline - now < SHORTEST_ATTEMPT_S:
            return False
        if exc.verdict is not Verdict.NOT_RUN and not job.route.idempotent:
            return False
        if exc.reason == "unreachable":
            return True
        if len(job.sent_to) >= job.route.max_attempts:
            return False
        return self.budget_for(job.service).take(now, len(self.view.entries))

    def _give_up(self, job: Job, exc: AttemptError) -> None:
        if job.verdict is Verdict.NOT_RUN:
            raise RefusedError(exc.reason, self._retry_after(exc.reason)) from exc
        raise exc

    def _retry_after(self, reason: str) -> float:
        base_s = RETRY_AFTER_S.get(reason, DEFAULT_RETRY_AFTER_S)
        return base_s * self.rng.uniform(0.75, 1.25)

    def _note_failure(self, job: Job, choice: Choice, exc: AttemptError) -> None:
        self.metrics.count("foxtail_ingress_attempts_total", outcome=exc.reason)
        self.events.emit(
            "attempt_failed",
            request_id=job.request.id,
            backend_server=choice.candidate.server.id,
            reason=exc.reason,
            verdict=exc.verdict.value,
            attempt=len(job.sent_to),
            age_ms=int((self.clock() - job.started) * 1000),
            last_event=job.last_event_id or None,
        )
