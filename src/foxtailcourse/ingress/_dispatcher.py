"""Sends one request: selects servers, defers, retries and gives up."""

import random
from collections.abc import Callable, Collection, Sequence

import attrs
import trio

from foxtailcourse.crashes import request_key, request_parts
from foxtailcourse.fleet import FleetView
from foxtailcourse.ingress._account_quotas import AccountQuotas
from foxtailcourse.ingress._account_shares import (
    AccountShares,
    Pressure,
    PromptKind,
    ShareExcess,
)
from foxtailcourse.ingress._admission import (
    AdmissionDecision,
    DeferredPrompts,
    RequestTiming,
    decide_admission,
    max_queue_s,
    mean_tokens_per_s,
)
from foxtailcourse.ingress._attempt import AttemptRunner
from foxtailcourse.ingress._candidates import CandidateFilter, Selection
from foxtailcourse.ingress._fetch_sources import should_save
from foxtailcourse.ingress._job import (
    AttemptError,
    AttemptState,
    Job,
    RefusedError,
    ServerResponse,
)
from foxtailcourse.ingress._part_exchange import PartExchange
from foxtailcourse.ingress._placement import (
    ASSUMED_SHORT_WORK_TOKENS,
    choose_for_prompt,
    choose_without_prompt,
    preferred_store,
)
from foxtailcourse.ingress._placement_types import (
    CacheStore,
    Candidate,
    Choice,
    CostTrace,
    Prompt,
)
from foxtailcourse.ingress._replacement import UNREACHABLE, Replacement
from foxtailcourse.ingress._request_sizes import RequestSizes
from foxtailcourse.ingress._retry_budget import RetryBudget
from foxtailcourse.ingress._server_memory import held_request
from foxtailcourse.observe import EventLog, Metrics
from foxtailcourse.process import StopWindow
from foxtailcourse.protocol import Verdict

# A deferred prompt checks for capacity in this period, or in this fraction of its age
# if that is longer. Loads change with each first event.
DEFERRED_CHECK_S = 0.015
DEFERRED_CHECK_FRACTION = 0.1
# Shortest remaining time before the deadline that is worth another attempt, in seconds
# and as a fraction of the route's target latency. What is sent later may reach the
# server after the caller has left, if the link is busy.
MIN_ATTEMPT_S = 0.03
MIN_ATTEMPT_TARGET_FRACTION = 0.25
# Retry-after times in seconds by the reason of a refusal. A weight load takes seconds,
# but another server becomes available sooner.
RETRY_AFTER_S = {
    "no_server": 0.5,
    "old_weights": 0.5,
    "other_software": 0.5,
    "loading_weights": 0.4,
    "connection_limit": 0.3,
    "server_limits": 0.4,
    "all_tried": 0.15,
    # Another entry can serve the request at once.
    "stopping": 0.1,
}
STOPPING = "stopping"
DEFAULT_RETRY_AFTER_S = 0.15
# A server that crashes as it begins to answer may have sent the first event.
MAX_EVENTS_BEFORE_CRASH = 1
# Characters of an unreadable header value that are logged.
MAX_LOGGED_VALUE = 40
# Parts of a prompt that are logged, and characters of each name.
MAX_LOGGED_PARTS = 6
MAX_PART_CHARS = 16
# Shortest retry-after time of an overloaded entry. By then it may have fewer deferred
# prompts.
MIN_OVERLOAD_RETRY_S = 0.5
# Retry-after times of accounts above their share are spread by up to this fraction.
SHARE_RETRY_SPREAD = 0.25


@attrs.define(kw_only=True)
class Dispatcher:
    """Sends requests to backend servers until one responds or no attempt is left.

    Parameters
    ----------
    view : FleetView
        Last known state of the fleet.
    candidates : CandidateFilter
        Selects the servers that are eligible for an attempt.
    attempts : AttemptRunner
        Runs attempts.
    parts : PartExchange
        Requests and prompt parts that crash servers.
    quotas : AccountQuotas
        Quotas of client accounts; counts when a request is sent.
    retry_budget_for : callable
        Returns the retry budget of a service.
    clock : callable
        Returns seconds since boot.
    rng : random.Random
        Breaks ties between servers and adds jitter to pauses.
    events : EventLog
        Receives an event for each attempt that failed.
    metrics : Metrics
        Counts attempts.
    deferred : DeferredPrompts
        Prompts that are deferred at this entry.
    sizes : RequestSizes
        Typical sizes of the prompts.
    shares : AccountShares or None
        Fair shares of the client accounts; None without them.
    cost_trace : CostTrace or None
        Records the costs of the candidates, for an explanation.
    stop_window : StopWindow
        What this process may still hand on if it is stopping.
    """

    view: FleetView
    candidates: CandidateFilter
    attempts: AttemptRunner
    parts: PartExchange
    quotas: AccountQuotas
    retry_budget_for: Callable[[str], RetryBudget]
    clock: Callable[[], float]
    rng: random.Random
    events: EventLog
    metrics: Metrics
    deferred: DeferredPrompts = attrs.field(factory=DeferredPrompts)
    sizes: RequestSizes = attrs.field(factory=RequestSizes)
    shares: AccountShares | None = None
    cost_trace: CostTrace | None = None
    stop_window: StopWindow = attrs.field(factory=StopWindow)

    async def run(self, job: Job) -> ServerResponse | None:
        """Send a request, with retries.

        Parameters
        ----------
        job : Job
            The request; updated with the outcome of each attempt.

        Returns
        -------
        ServerResponse or None
            The complete response, or None if it was streamed to the caller.

        Raises
        ------
        RefusedError
            If the request has not run and is not retried.
        AttemptError
            If the last attempt failed and the request may have run.
        """
        budget = self.retry_budget_for(job.service)
        budget.record_request(self.clock())
        try:
            return await self._run_attempts(job)
        finally:
            if job.replacement is not None:
                job.replacement.release("ended")
            if job.retry is not None:
                budget.give_back(job.retry)

    async def _run_attempts(self, job: Job) -> ServerResponse | None:
        """Send a request until it needs no retry; the same as ``run``."""
        self._prepare(job)
        while True:
            if job.replacement is None:
                choice = await self._wait_for_admission(job)
                run = choice.candidate.server.run
                self.candidates.limits.record_sent(run, self.clock())
                if job.grant is not None:
                    self.quotas.record_sent(job.grant, self.clock())
            else:
                choice, job.retry = job.replacement.choice, job.replacement.retry
            if self.parts.record_sent(job.crash_keys):
                # Another entry may get the same request at once.
                await self.parts.announce()
            job.choice, job.attempt_pending = choice, True
            job.attempt = AttemptState()
            job.queued_tokens = int(choice.candidate.total_load.prefill_tokens)
            job.outdated_s = self.candidates.outdated_s(
                choice.candidate.server, job.request.model, self.clock()
            )
            self._record_work_sent(job, choice)
            if self.candidates.memory.enabled and job.prompt is not None:
                held = held_request(job.request, choice.candidate.salt)
                self._observe_memory(
                    choice, choice.candidate.own_load.added_tokens(held)
                )
            try:
                response = await self._attempt(job, choice)
            except AttemptError as exc:
                job.attempt_pending = False
                self.attempts.check_software(job, choice)
                self._record_work_not_run(job, choice, exc)
                if (
                    exc.reason == "broken_off"
                    and job.attempt.events <= MAX_EVENTS_BEFORE_CRASH
                    and not self._lacked_memory(job, choice)
                ):
                    self.parts.record_broken_off(
                        choice.candidate.server.run,
                        job.crash_keys,
                        # A plain service sends nothing before it has finished.
                        begun=job.prompt is None or job.attempt.framing is not None,
                        sent_at=job.attempt_sent_at,
                    )
                    # The caller may repeat it at another entry at once.
                    await self.parts.announce()
                if exc.verdict is not Verdict.NOT_RUN:
                    job.verdict = Verdict.MAY_HAVE_RUN
                elif exc.reason != "unreachable":
                    job.refusals += 1
                if exc.reason == "silent":
                    job.given_up.add(choice.candidate.server.id)
                refusal = self._retry_refusal(job, exc)
                self._record_failed_attempt(job, choice, exc, refusal)
                if refusal:
                    self._raise_final_error(job, exc)
                continue
            self.metrics.count("foxtail_ingress_attempts_total", outcome="answered")
            return response

    def _prepare(self, job: Job) -> None:
        """Set what the decisions on a job depend on, and record its size."""
        job.request_key = request_key(
            job.account_name,
            job.exchange.method,
            job.request.host,
            job.exchange.target,
            job.exchange.body,
        )
        part_ids = [each.id for each in job.request.prompt_parts]
        job.crash_keys = request_parts(job.service, part_ids) | {job.request_key}
        if job.prompt is not None:
            job.typical_prompt_tokens = self.sizes.record_prompt(
                job.route.name, job.request.prompt_tokens
            )
            shares = self._active_shares
            if shares is not None:
                kind = PromptKind.of(job.route.name, job.prompt)
                shares.record_asked(job.account_name, kind, self.clock())

    def preview(self, job: Job) -> tuple[Choice, bool]:
        """Decide on a job as on its arrival, without sending it.

        The state of this dispatcher changes as by a real decision.

        Returns
        -------
        choice : Choice
            The best server.
        is_admitted : bool
            Whether the job would be sent now.

        Raises
        ------
        RefusedError
            If the job would be refused.
        """
        self._prepare(job)
        choice, eligible = self._choose(job, was_deferred=False)
        prompt, now = job.prompt, self.clock()
        return choice, prompt is None or self._is_admitted(
            job, prompt, choice, eligible, now
        )

    async def _wait_for_admission(self, job: Job) -> Choice:
        """Select a server; repeat this while admission control defers the prompt."""
        wait_started = self.clock()
        prompt, was_deferred = job.prompt, False
        try:
            while True:
                choice, eligible = self._choose(job, was_deferred)
                now = self.clock()
                age_s = now - job.started
                # A request that may have run would be lost if it were refused now.
                is_retry = job.verdict is not Verdict.NOT_RUN
                if (
                    prompt is None
                    or is_retry
                    or self._is_admitted(job, prompt, choice, eligible, now)
                ):
                    job.deferred_s += now - wait_started
                    return choice
                was_deferred = True
                self.deferred.add(id(job), choice.work_tokens, job.account_name)
                # Jitter keeps entries from finding the same capacity at the same time.
                pause_s = max(DEFERRED_CHECK_S, DEFERRED_CHECK_FRACTION * age_s)
                await trio.sleep(pause_s * self.rng.uniform(0.5, 1.5))
        finally:
            self.deferred.remove(id(job))

    def _is_admitted(
        self,
        job: Job,
        prompt: Prompt,
        choice: Choice,
        eligible: Sequence[Candidate],
        now: float,
    ) -> bool:
        """Return whether a prompt that has not run is sent now.

        Raises
        ------
        RefusedError
            If the prompt is refused.
        """
        route, configuration = job.route, self.view.configuration
        shortest_target_s = route.target_latency_s
        if configuration is not None:
            shortest_target_s = configuration.shortest_stream_target_s(job.service)
        timing = RequestTiming(
            age_s=now - job.started,
            target_s=route.target_latency_s,
            patience_s=min(route.patience_s, job.deadline - job.started),
            was_deferred=self.deferred.remove(id(job)),
            max_queue_s=max_queue_s(route.target_latency_s, shortest_target_s),
        )
        above_share = self._above_share(job, prompt, eligible, timing, now)
        backlog_s = self._deferred_backlog_s(job, choice, eligible)
        decision = decide_admission(
            choice,
            prompt,
            timing,
            backlog_s,
            above_share_target_s=above_share.target_s if above_share else None,
        )
        if decision is AdmissionDecision.REFUSE:
            self._record_work_refused(job, choice)
            if above_share is not None:
                raise self._share_refusal(job, choice, above_share)
            retry_after_s = max(MIN_OVERLOAD_RETRY_S, backlog_s) * self.rng.uniform(
                0.75, 1.25
            )
            raise RefusedError(
                "overloaded",
                retry_after_s,
                held_ms=int(timing.age_s * 1000),
                queued_tokens=int(choice.candidate.total_load.prefill_tokens),
                work_tokens=int(choice.work_tokens),
                ahead_ms=int(backlog_s * 1000),
            )
        return decision is AdmissionDecision.SEND

    def _above_share(
        self,
        job: Job,
        prompt: Prompt,
        eligible: Sequence[Candidate],
        timing: RequestTiming,
        now: float,
    ) -> ShareExcess | None:
        """Return the shares if a prompt that has just arrived exceeds its account's.

        A deferred prompt is decided as when it arrived, and so is one whose server
        refused it.
        """
        shares, configuration = self._active_shares, self.view.configuration
        is_new = not (timing.was_deferred or job.sent_to or job.unreachable)
        if shares is None or configuration is None or not is_new:
            return None
        return shares.excess(
            job.account_name,
            PromptKind.of(job.route.name, prompt),
            self.deferred.account_tokens().get(job.account_name, 0.0),
            self._pressure(eligible),
            configuration,
            now,
        )

    def _pressure(self, eligible: Sequence[Candidate]) -> Pressure:
        """Return what waits at the eligible servers and at this entry."""
        loads = [each.total_load for each in eligible]
        return Pressure(
            backlog_tokens=sum(each.prefill_tokens for each in loads),
            servers=len(loads),
            deferred=len(self.deferred),
            entries=len(self.view.entries),
            tokens_per_s=mean_tokens_per_s(eligible),
        )

    def _deferred_backlog_s(
        self, job: Job, choice: Choice, eligible: Sequence[Candidate]
    ) -> float:
        """Return how long the prompts deferred at this entry keep its servers busy."""
        entries, rate = len(self.view.entries), mean_tokens_per_s(eligible)
        if self._active_shares is None:
            return self.deferred.backlog_s(len(eligible), entries, rate)
        return self.deferred.fair_backlog_s(
            job.account_name, choice.work_tokens, len(eligible), entries, rate
        )

    def _share_refusal(
        self, job: Job, choice: Choice, above_share: ShareExcess
    ) -> RefusedError:
        """Return the refusal of an account above its share, with its inputs."""
        spread = 1.0 + SHARE_RETRY_SPREAD * self.rng.random()
        return RefusedError(
            "account_share",
            above_share.retry_after_s * spread,
            client_account=job.account_name or None,
            route=job.route.name,
            account_tokens=int(above_share.account_tokens),
            share_tokens=int(above_share.share_tokens),
            done_tokens=int(above_share.done_tokens),
            work_tokens=int(choice.work_tokens),
            queued_tokens=int(choice.candidate.total_load.prefill_tokens),
            backlog_ms=int(above_share.backlog_s * 1000),
            deferred=above_share.deferred,
            heard_entries=above_share.heard_entries,
            shares_age_ms=int(above_share.shares_age_s * 1000),
        )

    @property
    def _active_shares(self) -> AccountShares | None:
        """The fair shares, if they apply in this deployment."""
        shares, configuration = self.shares, self.view.configuration
        if shares is None or configuration is None:
            return None
        return shares if shares.applies(configuration) else None

    def _record_work_sent(self, job: Job, choice: Choice) -> None:
        """Count the prefill work of an attempt for its account."""
        shares, work_tokens = self._active_shares, choice.work_tokens
        if shares is None or job.prompt is None:
            return
        is_first = not (job.sent_to or job.unreachable)
        kind = PromptKind.of(job.route.name, job.prompt) if is_first else None
        shares.record_sent(job.account_name, kind, work_tokens, self.clock())
        self._count_work("sent", work_tokens)

    def _record_work_not_run(self, job: Job, choice: Choice, exc: AttemptError) -> None:
        """Take back the work of an attempt that its server has not run."""
        shares, work_tokens = self._active_shares, choice.work_tokens
        is_run = exc.verdict is not Verdict.NOT_RUN
        if shares is None or job.prompt is None or is_run:
            return
        shares.record_not_run(job.account_name, work_tokens, self.clock())
        self._count_work("not_run", work_tokens)

    def _record_work_refused(self, job: Job, choice: Choice) -> None:
        """Count the prefill work of a refused prompt for its account."""
        shares, work_tokens = self._active_shares, choice.work_tokens
        if shares is None:
            return
        shares.record_refused(job.account_name, work_tokens, self.clock())
        self._count_work("refused", work_tokens)

    def _count_work(self, outcome: str, work_tokens: float) -> None:
        self.metrics.count(
            "foxtail_ingress_prompt_work_tokens_total", work_tokens, outcome=outcome
        )

    async def _attempt(self, job: Job, choice: Choice) -> ServerResponse | None:
        """Run one attempt; its shared parts are expected in the server's cache."""
        prompt, store_address = job.prompt, None
        if prompt is not None:
            candidate = choice.candidate
            candidate.cache_index.add_expected(
                candidate.salt, prompt.parts[:-1], self.clock()
            )
            store = self._cache_store(prompt)
            if store is not None and should_save(store, candidate.salt, prompt):
                store_address = store.address
        outcome = "cancelled"
        try:
            response = await self.attempts.run(
                job, choice, store_address, lambda: self._find_replacement(job, choice)
            )
            outcome = "answered"
        except AttemptError as exc:
            outcome = exc.reason
            raise
        finally:
            if job.attempt.kept_reason:
                self.events.emit(
                    "silent_server_done",
                    request_id=job.request.id,
                    backend_server=choice.candidate.server.id,
                    reason=job.attempt.kept_reason,
                    outcome=outcome,
                    age_ms=int((self.clock() - job.started) * 1000),
                )
        return response

    def _find_replacement(self, job: Job, choice: Choice) -> Replacement | None:
        """Count a retry of a request whose server is silent, and take its place.

        Returns None if there can be no retry. Then the request stays at its server,
        which may be sound and go on.
        """
        now = self.clock()
        budget = self.retry_budget_for(job.service)
        reason, retry = "", None
        if not self.stop_window.has_time(job.deadline, now):
            reason = STOPPING
        elif self._lacks_time(job, now):
            reason = "deadline"
        elif self.parts.wait_s(job.crash_keys) > 0:
            reason = "blocked"
        else:
            retry = budget.try_acquire(now, job.attempt.arrival, server_is_silent=True)
        if retry is None:
            self._record_kept(job, choice, reason or "budget")
            return None
        tried = {*job.sent_to, *job.unreachable, choice.candidate.server.id}
        selection = self.candidates.select_responsive(
            self._select(job, tried, now), now
        )
        if not selection.candidates:
            budget.give_back(retry)
            self._record_kept(job, choice, selection.reason)
            return None
        other = self._place(job, selection.candidates, now, self.rng)
        self.candidates.limits.record_sent(other.candidate.server.run, now)

        def on_release(reason: str) -> None:
            budget.give_back(retry)
            if reason == UNREACHABLE:
                self._record_kept(job, choice, reason)

        return self.attempts.replacement(job, other, retry, on_release)

    def _record_kept(self, job: Job, choice: Choice, reason: str) -> None:
        """Record why a request stays; logged once for an attempt."""
        if not job.attempt.kept_reason:
            self.events.emit(
                "silent_server_kept",
                request_id=job.request.id,
                backend_server=choice.candidate.server.id,
                reason=reason,
                age_ms=int((self.clock() - job.started) * 1000),
            )
        job.attempt.kept_reason = reason

    def _cache_store(self, prompt: Prompt) -> CacheStore | None:
        """Return the KV-cache store of a prompt's largest part.

        Only stores whose cache events are reachable are used. With several stores, each
        part belongs to one of them, so that their capacities add up.
        """
        configuration = self.view.configuration
        stores = [
            CacheStore(address=address, cache_index=index)
            for address in (configuration.cache_stores() if configuration else ())
            if (index := self.candidates.cache_indexes.get(str(address)))
            and index.reachable
        ]
        return preferred_store(prompt.largest_part.id, stores)

    def _choose(
        self, job: Job, was_deferred: bool
    ) -> tuple[Choice, Sequence[Candidate]]:
        """Return the best server and the eligible servers.

        A deferred prompt waits for the server that is nearly idle, and its checks are
        spread in time, so its choice has no random part.

        Raises
        ------
        RefusedError
            If no server is eligible, or this process ends too soon, and the request has
            not run.
        AttemptError
            If it may have run.
        """
        now = self.clock()
        if not self.stop_window.has_time(job.deadline, now):
            if job.verdict is Verdict.NOT_RUN:
                raise RefusedError(
                    STOPPING,
                    self._retry_after_s(STOPPING),
                    left_ms=int((job.deadline - now) * 1000),
                    ends_in_ms=int(self.stop_window.left_s(now) * 1000),
                )
            raise AttemptError(STOPPING, job.verdict)
        blocked_s = self.parts.wait_s(job.crash_keys)
        if blocked_s > 0:
            is_request = self.parts.wait_s(frozenset({job.request_key})) > 0
            reason = "blocked_request" if is_request else "blocked_parts"
            if job.verdict is Verdict.NOT_RUN:
                raise RefusedError(reason, blocked_s)
            raise AttemptError(reason, job.verdict)
        tried = {*job.sent_to, *job.unreachable}
        selection = self._select(job, tried, now)
        if selection.reason == "all_tried" and job.given_up:
            # They may go on, while the others refuse the request.
            selection = self._select(job, tried - job.given_up, now)
        if not selection.candidates:
            if job.verdict is Verdict.NOT_RUN:
                raise RefusedError(
                    selection.reason,
                    self._retry_after_s(selection.reason, selection.available_in_s),
                )
            raise AttemptError(selection.reason, job.verdict)
        rng = None if was_deferred else self.rng
        choice = self._place(job, selection.candidates, now, rng)
        return choice, selection.candidates

    def _place(
        self,
        job: Job,
        eligible: Sequence[Candidate],
        now: float,
        rng: random.Random | None,
    ) -> Choice:
        """Return the best of the eligible servers."""
        prompt = job.prompt
        if prompt is None:
            return choose_without_prompt(
                eligible, now, self.rng.random(), self.cost_trace
            )
        store = self._cache_store(prompt)
        short_work_tokens = self.sizes.short_work_tokens(ASSUMED_SHORT_WORK_TOKENS)
        choice = choose_for_prompt(
            eligible, prompt, store, now, short_work_tokens, rng, self.cost_trace
        )
        if not prompt.is_long:
            self.sizes.record_short_work(choice.work_tokens)
        return choice

    def _select(self, job: Job, tried: Collection[str], now: float) -> Selection:
        """Return the servers that may get the request, without those in ``tried``."""
        return self.candidates.select(
            job.service,
            job.request.model,
            job.account,
            tried,
            now,
            version=job.weights_version,
            software_version=job.software_version,
            request=job.request,
        )

    def _observe_memory(self, choice: Choice, held_tokens: int = 0) -> None:
        """Record how much memory of a server is in use, with ``held_tokens`` more."""
        server, now = choice.candidate.server, self.clock()
        total = self.candidates.loads.total(server.id, server.started_ms, now)
        self.candidates.memory.observe(
            server.run,
            total.held_tokens + held_tokens,
            self.candidates.cache_tokens(server.service),
            now,
        )

    def _lacked_memory(self, job: Job, choice: Choice) -> bool:
        """Whether a server that broke off may have exceeded its memory.

        Then the crash says nothing on the requests that it held.
        """
        memory, server = self.candidates.memory, choice.candidate.server
        if not memory.enabled or job.prompt is None:
            return False
        # The attempt itself is not counted any more.
        held = held_request(job.request, choice.candidate.salt)
        self._observe_memory(choice, choice.candidate.own_load.added_tokens(held))
        if not memory.was_near_full(server.run, self.clock()):
            return False
        self.events.emit(
            "server_memory_exceeded",
            request_id=job.request.id,
            backend_server=server.id,
            cache_tokens=self.candidates.cache_tokens(server.service),
        )
        return True

    def _lacks_time(self, job: Job, now: float) -> bool:
        """Whether too little time is left for another attempt."""
        min_attempt_s = max(
            MIN_ATTEMPT_S, MIN_ATTEMPT_TARGET_FRACTION * job.route.target_latency_s
        )
        return job.deadline - now < min_attempt_s

    def _retry_refusal(self, job: Job, exc: AttemptError) -> str:
        """Return why there is no retry, empty if there is one.

        A retry is counted unless the server was unreachable.
        """
        now = self.clock()
        if job.replacement is not None:
            return ""
        if not self.stop_window.has_time(job.deadline, now):
            return STOPPING
        if self._lacks_time(job, now):
            return "deadline"
        if exc.verdict is not Verdict.NOT_RUN and not job.route.idempotent:
            return "not_idempotent"
        if exc.reason == "unreachable":
            return ""
        if self.parts.wait_s(job.crash_keys) > 0:
            return "blocked"
        attempts = len(job.sent_to)
        if job.verdict is not Verdict.NOT_RUN:
            # Without a refusal's retry, what has run would be lost.
            attempts -= job.refusals
        if attempts >= job.route.max_attempts:
            return "attempts"
        if job.retry is None:
            budget = self.retry_budget_for(job.service)
            job.retry = budget.try_acquire(now, job.attempt.arrival)
        return "" if job.retry is not None else "budget"

    def _raise_final_error(self, job: Job, exc: AttemptError) -> None:
        """Raise RefusedError if the request has not run, and the error otherwise."""
        if job.verdict is Verdict.NOT_RUN:
            raise RefusedError(exc.reason, self._retry_after_s(exc.reason)) from exc
        raise exc

    def _retry_after_s(self, reason: str, available_in_s: float | None = None) -> float:
        """Return when a refused caller should come back, in seconds.

        It is never before ``available_in_s``, and spread so that the callers do not
        return all at once.
        """
        if available_in_s is not None:
            return available_in_s + DEFAULT_RETRY_AFTER_S * self.rng.random()
        base_s = RETRY_AFTER_S.get(reason, DEFAULT_RETRY_AFTER_S)
        return base_s * self.rng.uniform(0.75, 1.25)

    def _record_failed_attempt(
        self, job: Job, choice: Choice, exc: AttemptError, retry_refusal: str
    ) -> None:
        self.metrics.count("foxtail_ingress_attempts_total", outcome=exc.reason)
        budget = self.retry_budget_for(job.service)
        self.events.emit(
            "attempt_failed",
            request_id=job.request.id,
            backend_server=choice.candidate.server.id,
            reason=exc.reason,
            verdict=exc.verdict.value,
            no_retry=retry_refusal or None,
            retries=budget.used,
            retries_unconfirmed=budget.unconfirmed,
            retries_allowed=round(budget.allowed(self.clock()), 1),
            attempt=len(job.sent_to),
            age_ms=int((self.clock() - job.started) * 1000),
            last_event=job.last_event_id or None,
            framing=job.attempt.framing.value if job.attempt.framing else None,
            unfinished_bytes=job.attempt.unfinished_bytes or None,
            parts=_part_names(job),
            request_key=job.request_key,
            retry_after_ms=(
                None if exc.retry_after_s is None else int(exc.retry_after_s * 1000)
            ),
            retry_after_unreadable=exc.retry_after_unreadable[:MAX_LOGGED_VALUE]
            or None,
        )


def _part_names(job: Job) -> str | None:
    """Return the names of the parts that a prompt may share, for the log."""
    names = [each.id[:MAX_PART_CHARS] for each in job.request.prompt_parts[:-1]]
    return ",".join(names[:MAX_LOGGED_PARTS]) or None
