"""Service calls that run at most once, apart from the callers that wait for them."""

import hashlib

import attrs
import trio

from foxtailcourse.agent._context import AgentContext
from foxtailcourse.agent._scheduler import RefusedError
from foxtailcourse.engine import ServiceClient, ServiceRequest, ServiceResponse
from foxtailcourse.http import ClientError, HttpError
from foxtailcourse.idempotency import (
    CheckedKey,
    KeyDecision,
    KeyState,
    OutcomeTable,
)
from foxtailcourse.protocol import Attempt, Verdict
from foxtailcourse.sharing import QueuedRequest


@attrs.define
class _Run:
    """A run in progress and how it ended.

    Parameters
    ----------
    response : ServiceResponse or None
        The service's whole response.
    refusal : HttpError or None
        Set if the call did not reach the service.
    """

    ended: trio.Event = attrs.field(factory=trio.Event)
    response: ServiceResponse | None = None
    refusal: HttpError | None = None


class KeyedRuns:
    """Runs each issued key at most once and gives its outcome to all callers.

    Parameters
    ----------
    context : AgentContext
        The agent's state.
    service : ServiceClient
        The plain service.
    table : OutcomeTable
        What is remembered of each key.
    """

    def __init__(
        self, context: AgentContext, service: ServiceClient, table: OutcomeTable
    ) -> None:
        self._context = context
        self._service = service
        self._runs: dict[bytes, _Run] = {}
        self.table = table

    async def call(
        self,
        attempt: Attempt,
        key: CheckedKey,
        request: ServiceRequest,
        queued: QueuedRequest,
    ) -> ServiceResponse:
        """Return the outcome of a key's one run; raises HttpError without one."""
        context = self._context
        if key.state is not KeyState.VALID:
            raise self._unknown(attempt, f"key_{key.state.value}")
        fingerprint = request_fingerprint(request)
        now = context.now()
        if not context.takes_new_work:
            self._refuse_unused(attempt, key, fingerprint, now)
        decision = self.table.begin(key.ident, fingerprint, key.expires_at, now)
        if decision is KeyDecision.RUN:
            run = self._runs[key.ident] = _Run()
            context.spawn(self._run, key, request, queued, run)
        elif decision is not KeyDecision.JOIN:
            return self._settled(attempt, key, decision)
        return await self._wait(attempt, self._runs[key.ident])

    def _refuse_unused(
        self, attempt: Attempt, key: CheckedKey, fingerprint: bytes, now: float
    ) -> None:
        """Fence a key that has not run; raises HttpError if it had not."""
        found = self.table.peek(key.ident, fingerprint, key.expires_at, now)
        if found is KeyDecision.RUN:
            self._fence(key, fingerprint)
            raise self._context.refuse_new_work(attempt.attempt_id)

    async def _wait(self, attempt: Attempt, run: _Run) -> ServiceResponse:
        await run.ended.wait()
        if run.refusal is not None:
            raise self._refusal(attempt, run.refusal)
        if run.response is None:
            raise self._unknown(attempt, "outcome_unknown")
        return run.response

    def _settled(
        self, attempt: Attempt, key: CheckedKey, decision: KeyDecision
    ) -> ServiceResponse:
        response = self.table.response(key.ident)
        if decision is KeyDecision.REPLAY and response is not None:
            return response
        if decision is KeyDecision.FENCED:
            message = "a call with this key was refused before; it never runs"
            raise self._context.refusal(attempt.attempt_id, 409, "key_fenced", message)
        code = "key_reused" if decision is KeyDecision.MISMATCH else "outcome_unknown"
        raise self._unknown(attempt, code)

    def _unknown(self, attempt: Attempt, code: str) -> HttpError:
        return self._context.refusal(
            attempt.attempt_id,
            409,
            code,
            "the request may have run; its outcome is not known here",
            verdict=Verdict.MAY_HAVE_RUN,
        )

    def _refusal(self, attempt: Attempt, refusal: HttpError) -> HttpError:
        return self._context.refusal(
            attempt.attempt_id,
            refusal.status,
            refusal.code,
            refusal.message,
            retry_after_ms=refusal.retry_after_ms,
        )

    def _fence(self, key: CheckedKey, fingerprint: bytes) -> None:
        now = self._context.now()
        self.table.fence(key.ident, fingerprint, key.expires_at, now)
        self._context.events.emit("key_fenced", ident=key.ident.hex())

    async def _run(
        self,
        key: CheckedKey,
        request: ServiceRequest,
        queued: QueuedRequest,
        run: _Run,
    ) -> None:
        """Make the one call of a key; it goes on when its callers are gone."""
        context = self._context
        try:
            async with context.scheduler.start(queued):
                context.events.emit("run_started", ident=key.ident.hex())
                run.response = await self._service.call(request)
            self.table.finish(key.ident, run.response, context.now())
        except RefusedError as exc:
            run.refusal = HttpError(
                503,
                exc.refusal.code,
                "the backend server cannot start the request in time",
                retry_after_ms=exc.refusal.retry_after_ms,
            )
        except ClientError as exc:
            if exc.verdict is Verdict.NOT_RUN:
                run.refusal = HttpError(503, "service_unreachable", str(exc))
            else:
                self.table.fail(key.ident, context.now())
        except Exception as exc:
            # One failed call must not end the runs of all others.
            context.events.emit("run_failed", error=repr(exc))
            self.table.fail(key.ident, context.now())
        finally:
            if run.refusal is not None:
                self._fence(key, request_fingerprint(request))
            context.events.emit("run_ended", ident=key.ident.hex())
            del self._runs[key.ident]
            run.ended.set()


def request_fingerprint(request: ServiceRequest) -> bytes:
    """Return a digest that tells requests with the same key apart."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (request.method.encode(), request.target.encode(), request.body):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.digest()
