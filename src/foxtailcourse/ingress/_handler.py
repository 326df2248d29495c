"""Handles the HTTP requests of callers on the platform."""

import random
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import attrs
import trio

from foxtailcourse.fleet import Account, Configuration, FleetView, Route
from foxtailcourse.http import Exchange
from foxtailcourse.ingress._account_quotas import AccountQuotas, Grant, QuotaRefusal
from foxtailcourse.ingress._dispatcher import RETRY_AFTER_S, STOPPING, Dispatcher
from foxtailcourse.ingress._job import AttemptError, Job, RefusedError, ServerResponse
from foxtailcourse.ingress._stream_resumption import StreamResumption
from foxtailcourse.observe import EventLog, Metrics
from foxtailcourse.platform import (
    IngressRequest,
    RequestHeaderError,
    decode_request_headers,
    refusal_headers,
)
from foxtailcourse.protocol import Verdict

NO_CONFIGURATION_RETRY_AFTER_S = 0.5
STALE_RETRY_AFTER_S = 0.2
# A request is denied only by a configuration that was confirmed at most this long ago.
DENIAL_MAX_AGE_S = 0.3
# Longest wait for that, and as a fraction of the time that the caller waits: a refused
# caller must have time to try another entry.
CONFIRMATION_WAIT_S = 1.0
CONFIRMATION_DEADLINE_FRACTION = 0.5
# Results of IngressHandler._run_job; a failed request has the reason of its error.
ANSWERED, REFUSED = "answered", "refused"
# Number of routes, and of accounts, with a metric label of their own. The others share
# one label, so that a large configuration does not add more time series.
MAX_LABELS = 100
# Refusals because of the configuration that this entry has.
CONFIGURATION_REASONS = frozenset(
    {"keys_stale", "no_configuration", "configuration_stale", "configuration_outdated"}
)
# A larger age means that the state was never received.
MAX_REPORTED_AGE_S = 1e6
# A quota without a ceiling is reported with this one.
MAX_REPORTED_USE = 1e15
BAD_REQUEST, UNAUTHORIZED, NOT_FOUND = 400, 401, 404
BAD_GATEWAY, UNAVAILABLE, GATEWAY_TIMEOUT = 502, 503, 504
TOO_MANY_REQUESTS = 429
QUOTA = "quota"


class DeniedError(Exception):
    """The configuration does not allow the request."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


@attrs.define(kw_only=True)
class IngressHandler:
    """Handles the requests of callers.

    Parameters
    ----------
    view : FleetView
        Last known state of the fleet.
    dispatcher : Dispatcher
        Sends jobs to backend servers.
    quotas : AccountQuotas
        Quotas of client accounts.
    resumption : StreamResumption
        Binds resumed streams to the software version that began them.
    confirm : coroutine function
        Takes an age and a longest wait, in seconds; returns whether the configuration
        is confirmed as of that long ago, and reads it again if need be.
    key_age_limit_s : float
        Age of the configuration in seconds above which keys are not accepted.
    clock : callable
        Returns seconds since boot.
    rng : random.Random
        Splits the requests of a route over its services.
    events : EventLog
        Receives an event for each request.
    metrics : Metrics
        Counts and times requests.
    draining : bool
        Whether the process is stopping; connections are then closed after a response.
    route_labels, account_labels : set of str
        Routes and client accounts that have a metric label of their own.
    """

    view: FleetView
    dispatcher: Dispatcher
    quotas: AccountQuotas
    resumption: StreamResumption
    confirm: Callable[[float, float], Awaitable[bool]]
    key_age_limit_s: float
    clock: Callable[[], float]
    rng: random.Random
    events: EventLog
    metrics: Metrics
    draining: bool = False
    route_labels: set[str] = attrs.field(factory=set)
    account_labels: set[str] = attrs.field(factory=set)
    _interrupted: bool = attrs.field(default=False, init=False)
    _scopes: set[trio.CancelScope] = attrs.field(factory=set, init=False)

    def interrupt(self) -> None:
        """End all requests with an error now, as the process is about to end."""
        self._interrupted = True
        for scope in tuple(self._scopes):
            scope.cancel()

    @contextmanager
    def _interruptible(self, timeout_s: float) -> Iterator[trio.CancelScope]:
        """Bound a wait by a time, and by ``interrupt``."""
        with trio.move_on_after(timeout_s) as scope:
            self._scopes.add(scope)
            try:
                yield scope
            finally:
                self._scopes.discard(scope)

    async def handle(self, exchange: Exchange) -> None:
        """Serve one request, from its headers to the end of its response."""
        started = self.clock()
        if self.draining:
            # The caller then sends its next request to another entry.
            exchange.close_after_response()
        try:
            request = decode_request_headers(exchange.target, exchange.raw_headers)
        except RequestHeaderError as exc:
            self._emit("request_malformed", exchange, "", reason=str(exc))
            await exchange.respond(BAD_REQUEST, str(exc).encode())
            return
        try:
            job = await self._create_job(exchange, request, started)
        except DeniedError as exc:
            self._emit("request_denied", exchange, request.id, reason=exc.reason)
            await self._respond_error(exchange, request, exc.status, exc.reason)
        except RefusedError as exc:
            await self._refuse(exchange, request, exc)
        else:
            refusal = self._charge_quota(job)
            if refusal is None:
                await self._serve(job)
            else:
                await self._refuse_quota(job, refusal)

    async def _serve(self, job: Job) -> None:
        """Run an authorized request until its deadline and log its outcome."""
        outcome = "timed_out"
        remaining_s = max(0.0, job.deadline - self.clock())
        try:
            with self._interruptible(remaining_s) as scope:
                outcome = await self._run_job(job)
        except trio.Cancelled:
            # A caller may close the connection once it has the complete response.
            if job.response_complete:
                self._record_finished(job, ANSWERED)
            else:
                self._record_abandoned(job)
            raise
        finally:
            self.dispatcher.attempts.buffered.release(job.buffered_bytes)
            self._settle_quota(job)
            if job.response_complete:
                self.resumption.record_complete(job)
        if scope.cancelled_caught:
            if job.response_complete:
                outcome = ANSWERED
            elif self._interrupted:
                outcome = await self._respond_stopping(job)
            else:
                await self._respond_timeout(job)
        if outcome != REFUSED:
            self._record_finished(job, outcome)

    def _charge_quota(self, job: Job) -> QuotaRefusal | None:
        """Count a request toward its account's quota; return why it is refused."""
        if job.account is None or job.account.quota is None or job.route.public:
            return None
        tokens = job.request.counted_tokens
        result = self.quotas.admit(job.account, tokens, self.clock())
        if isinstance(result, Grant):
            job.grant = result
            self._count_quota(job.account_name, "admitted", result.tokens)
        elif result is not None:
            self._count_quota(job.account_name, "refused", result.tokens)
            return result
        return None

    def _settle_quota(self, job: Job) -> None:
        """Return the tokens of a request that has not run."""
        grant = job.grant
        if grant is None:
            return
        if job.response_complete or self._verdict(job) is not Verdict.NOT_RUN:
            self.quotas.record_sent(grant, self.clock())
        else:
            self.quotas.give_back(grant, self.clock())
            self._count_quota(grant.account, "returned", grant.tokens)

    def _count_quota(self, account: str, outcome: str, tokens: float) -> None:
        self.metrics.count(
            "foxtail_ingress_quota_tokens_total",
            tokens,
            account=_bounded_label(self.account_labels, account),
            outcome=outcome,
        )

    async def _refuse_quota(self, job: Job, refusal: QuotaRefusal) -> None:
        """Respond that the quota of the account is used up, and log it."""
        self.metrics.count("foxtail_ingress_refusals_total", reason=QUOTA)
        quota, use = refusal.quota, refusal.use
        age_s = self.view.configuration_freshness.age_s(self.clock())
        self._emit(
            "quota_refused",
            job.exchange,
            job.request.id,
            reason=QUOTA,
            client_account=refusal.account,
            unit=quota.unit,
            tokens=int(refusal.tokens),
            limit=quota.rate_per_s,
            burst=quota.burst,
            use=int(use.total),
            own_use=int(use.own),
            unheard=int(use.unheard),
            heard_entries=use.heard_entries,
            entries=use.entries,
            cap=int(refusal.threshold),
            ceiling=int(min(refusal.ceiling, MAX_REPORTED_USE)),
            too_large=refusal.too_large or None,
            retry_after_ms=int(refusal.retry_after_s * 1000),
            configuration_age_ms=_age_ms(age_s),
        )
        await self._respond_error(
            job.exchange, job.request, TOO_MANY_REQUESTS, QUOTA, refusal.retry_after_s
        )

    async def _run_job(self, job: Job) -> str:
        """Dispatch a request, respond to the caller and return the outcome."""
        try:
            await self.resumption.bind(job)
            response = await self.dispatcher.attempts.run_job(job, self.dispatcher.run)
            if response is not None:
                await self._forward_response(job.exchange, response)
                job.response_complete = True
        except RefusedError as exc:
            await self._refuse(job.exchange, job.request, exc)
            return REFUSED
        except AttemptError as exc:
            # An attempt may fail while its connection to the server is released.
            if not job.response_complete:
                await self._respond_failure(job, exc)
                return exc.reason
        return ANSWERED

    async def _create_job(
        self, exchange: Exchange, request: IngressRequest, started: float
    ) -> Job:
        """Authorize a request and pick its service; raises as ``_authorize`` does."""
        route, account = await self._authorize(request)
        read_s = exchange.age_s()
        deadline = started - exchange.read_late_s + route.timeout_s
        if request.deadline_s is not None:
            # The caller waits since it began to send.
            deadline = min(deadline, self.clock() - read_s + request.deadline_s)
        split_weights = [max(0.0, each.weight) for each in route.backends]
        if not any(split_weights):
            raise RefusedError("no_server", NO_CONFIGURATION_RETRY_AFTER_S)
        backend = self.rng.choices(route.backends, split_weights)[0]
        return Job(
            exchange=exchange,
            request=request,
            route=route,
            account=account,
            service=backend.service,
            started=started,
            read_s=read_s,
            deadline=deadline,
            last_event_id=request.last_event_id,
        )

    async def _authorize(self, request: IngressRequest) -> tuple[Route, Account | None]:
        """Return the route and the client account.

        Raises
        ------
        DeniedError
            If the configuration does not allow the request.
        RefusedError
            If there is no configuration, or it cannot be confirmed in time.
        """
        try:
            return self.find_route_and_account(request)
        except DeniedError:
            # A newer configuration may allow the request, so it is read again first.
            wait_s, is_confirmed = _confirmation_wait_s(request), False
            with self._interruptible(wait_s):
                is_confirmed = await self.confirm(DENIAL_MAX_AGE_S, wait_s)
            if not is_confirmed:
                raise RefusedError("configuration_stale", STALE_RETRY_AFTER_S) from None
            return self.find_route_and_account(request)

    def find_route_and_account(
        self, request: IngressRequest
    ) -> tuple[Route, Account | None]:
        """Authorize a request by the present configuration; see ``_authorize``."""
        if self._interrupted:
            raise RefusedError(STOPPING, RETRY_AFTER_S[STOPPING])
        configuration = self.view.configuration
        if configuration is None:
            raise RefusedError("no_configuration", NO_CONFIGURATION_RETRY_AFTER_S)
        if self.view.configuration_outdated:
            raise RefusedError("configuration_outdated", NO_CONFIGURATION_RETRY_AFTER_S)
        route = configuration.find_route(request.host, request.path)
        if route is None:
            raise DeniedError(NOT_FOUND, "no_route")
        if route.public or not configuration.keys_required:
            return route, self._find_account(configuration, request)
        if self.view.configuration_freshness.age_s(self.clock()) > self.key_age_limit_s:
            raise RefusedError("keys_stale", STALE_RETRY_AFTER_S)
        account = configuration.accounts.get(request.account_key)
        if account is None:
            raise DeniedError(UNAUTHORIZED, "unknown_key")
        return route, account

    def _find_account(
        self, configuration: Configuration, request: IngressRequest
    ) -> Account | None:
        """Return the client account of a request that needs no key, or None.

        Keys are ignored if the configuration is too old to accept them.
        """
        if self.view.configuration_freshness.age_s(self.clock()) > self.key_age_limit_s:
            return None
        return configuration.accounts.get(request.account_key)

    async def _forward_response(
        self, exchange: Exchange, response: ServerResponse
    ) -> None:
        content_type = response.headers.pop("content-type", "application/octet-stream")
        await exchange.respond(
            response.status, response.body, response.headers, content_type=content_type
        )

    async def _respond_failure(self, job: Job, exc: AttemptError) -> None:
        if job.exchange.response_started:
            job.exchange.abort()
        elif exc.response is not None:
            await self._forward_response(job.exchange, exc.response)
        else:
            await self._respond_error(
                job.exchange, job.request, BAD_GATEWAY, exc.reason
            )

    async def _respond_timeout(self, job: Job) -> None:
        if job.exchange.response_started:
            job.exchange.abort()
            return
        await self._respond_error(
            job.exchange, job.request, GATEWAY_TIMEOUT, "timed_out"
        )

    async def _respond_stopping(self, job: Job) -> str:
        """Respond that the process ends before the request; return the outcome."""
        exchange = job.exchange
        exchange.close_after_response()
        if exchange.response_started:
            exchange.abort()
        elif self._verdict(job) is Verdict.NOT_RUN:
            exc = RefusedError(STOPPING, RETRY_AFTER_S[STOPPING])
            await self._refuse(exchange, job.request, exc)
            return REFUSED
        else:
            await self._respond_error(exchange, job.request, BAD_GATEWAY, STOPPING)
        return STOPPING

    async def _refuse(
        self, exchange: Exchange, request: IngressRequest, exc: RefusedError
    ) -> None:
        """Respond that the request was refused and may be retried, and log it."""
        self.metrics.count("foxtail_ingress_refusals_total", reason=exc.reason)
        age_s = self.view.configuration_freshness.age_s(self.clock())
        self._emit(
            "request_refused",
            exchange,
            request.id,
            reason=exc.reason,
            retry_after_ms=int(exc.retry_after_s * 1000),
            configuration_age_ms=-1 if age_s == float("inf") else int(age_s * 1000),
            prompt_tokens=request.prompt_tokens or None,
            **exc.inputs,
        )
        if exc.reason in CONFIGURATION_REASONS:
            # Another entry may have a newer configuration.
            exchange.close_after_response()
        await self._respond_error(
            exchange, request, UNAVAILABLE, exc.reason, exc.retry_after_s
        )

    async def _respond_error(
        self,
        exchange: Exchange,
        request: IngressRequest,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        self.metrics.count("foxtail_ingress_requests_total", outcome=reason)
        fields = refusal_headers(request.id, retry_after_s)
        await exchange.respond(
            status, reason.encode(), fields, content_type="text/plain"
        )

    def _emit(
        self, name: str, exchange: Exchange, request_id: str, **fields: object
    ) -> None:
        """Log an event with the request and the revision of the configuration."""
        self.events.emit(
            name,
            request_id=request_id or None,
            path=exchange.path,
            revision=self.view.configuration_revision,
            **fields,
        )

    def _record_finished(self, job: Job, outcome: str) -> None:
        now = self.clock()
        self.metrics.count("foxtail_ingress_requests_total", outcome=outcome)
        self.metrics.observe_s(
            "foxtail_ingress_duration_seconds",
            now - job.started,
            kind=job.route.kind.value,
        )
        verdict = "ran" if outcome == ANSWERED else self._verdict(job).value
        self._count_route(job, outcome, verdict)
        first, choice = job.first_event_at, job.choice
        if first is not None and job.prompt is not None:
            size = "long" if job.prompt.is_long else "short"
            self.metrics.observe_s(
                "foxtail_ingress_first_event_seconds", first - job.started, size=size
            )
        age_s = self.view.servers_freshness.age_s(now)
        self.events.emit(
            "request_done",
            request_id=job.request.id,
            route=job.route.name,
            client_account=job.account_name or None,
            outcome=outcome,
            verdict=verdict,
            servers=",".join(job.sent_to) or None,
            first_event_ms=None if first is None else int((first - job.started) * 1000),
            duration_ms=int((now - job.started) * 1000),
            prompt_tokens=job.request.prompt_tokens or None,
            held_ms=int(job.deferred_s * 1000) or None,
            read_late_ms=int(job.exchange.read_late_s * 1000) or None,
            read_ms=int(job.read_s * 1000) or None,
            queued_tokens=job.queued_tokens or None,
            to_read_tokens=int(choice.prefill_tokens) if choice else None,
            fetch_from=choice.fetch_from if choice else None,
            framing=job.attempt.framing.value if job.attempt.framing else None,
            last_event=job.last_event_id or None,
            unfinished_bytes=job.attempt.unfinished_bytes or None,
            buffered_bytes=job.held.peak_bytes or None if job.held else None,
            resumes=job.request.resumes or None,
            software=job.chosen_software or None,
            weights=job.chosen_version,
            weights_outdated_ms=_age_ms(job.outdated_s),
            servers_age_ms=_age_ms(age_s),
            revision=self.view.configuration_revision,
        )

    def _verdict(self, job: Job) -> Verdict:
        """Return the verdict on a request without a complete response."""
        is_pending = job.choice is not None and job.attempt_pending
        return Verdict.MAY_HAVE_RUN if is_pending else job.verdict

    def _count_route(self, job: Job, outcome: str, verdict: str) -> None:
        self.metrics.count(
            "foxtail_ingress_route_requests_total",
            route=_bounded_label(self.route_labels, job.route.name),
            outcome=outcome,
            verdict=verdict,
        )

    def _record_abandoned(self, job: Job) -> None:
        self.metrics.count("foxtail_ingress_requests_total", outcome="abandoned")
        self.events.emit(
            "request_abandoned",
            request_id=job.request.id,
            route=job.route.name,
            servers=",".join(job.sent_to) or None,
            pending=job.choice.candidate.server.id if job.choice else None,
            duration_ms=int((self.clock() - job.started) * 1000),
            prompt_tokens=job.request.prompt_tokens or None,
        )


def _bounded_label(labels: set[str], name: str) -> str:
    """Return the metric label of a name, ``other`` beyond the first MAX_LABELS."""
    if name not in labels:
        if len(labels) >= MAX_LABELS:
            return "other"
        labels.add(name)
    return name


def _confirmation_wait_s(request: IngressRequest) -> float:
    """Return how long a request may wait for the configuration to be confirmed."""
    if request.deadline_s is None:
        return CONFIRMATION_WAIT_S
    deadline_s = max(0.0, request.deadline_s)
    return min(CONFIRMATION_WAIT_S, CONFIRMATION_DEADLINE_FRACTION * deadline_s)


def _age_ms(age_s: float | None) -> int | None:
    """Return an age in milliseconds for the log, or None if it is not known."""
    if age_s is None or age_s >= MAX_REPORTED_AGE_S:
        return None
    return int(age_s * 1000)
