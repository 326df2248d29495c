"""Service calls with an idempotency key, each of which runs at most once."""

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
class _Execution:
    """The execution of a keyed call, in progress or ended.

    Parameters
    ----------
    ended : trio.Event
        Set when the execution has ended.
    response : ServiceResponse or None
        The service's complete response; None if the outcome is unknown.
    refusal : HttpError or None
        Error of a call that did not reach the service.
    crashed_run : int
        As for ``Reply``.
    """

    ended: trio.Event = attrs.field(factory=trio.Event)
    response: ServiceResponse | None = None
    refusal: HttpError | None = None
    crashed_run: int = 0


class KeyedCalls:
    """Runs the call of each issued key at most once; all callers get its outcome.

    The execution is a task of its own, which continues after its callers disconnect.

    Parameters
    ----------
    context : AgentContext
        The agent's state.
    service : ServiceClient
        The plain service.
    table : OutcomeTable
        Outcomes of the issued keys.
    """

    def __init__(
        self, context: AgentContext, service: ServiceClient, table: OutcomeTable
    ) -> None:
        self._context = context
        self._service = service
        self._executions: dict[bytes, _Execution] = {}
        self.table = table

    async def call(
        self,
        attempt: Attempt,
        key: CheckedKey,
        request: ServiceRequest,
        queued_request: QueuedRequest,
    ) -> ServiceResponse:
        """Return the outcome of a key's only execution, which this call may start.

        Raises
        ------
        HttpError
            If the call is refused, or its outcome is unknown.
        """
        context = self._context
        if key.state is not KeyState.VALID:
            raise self._unknown(attempt, f"key_{key.state.value}")
        fingerprint = request_fingerprint(request)
        now = context.now()
        if attempt.outcome_only or not context.accepts_new_work:
            self._fence_if_unused(attempt, key, fingerprint, now)
        decision = self.table.begin(key.ident, fingerprint, key.expires_at, now)
        if decision is KeyDecision.RUN:
            execution = self._executions[key.ident] = _Execution()
            context.spawn(self._execute, key, request, queued_request, execution)
        elif decision is not KeyDecision.JOIN:
            return self._earlier_outcome(attempt, key, decision)
        return await self._wait_for_outcome(attempt, self._executions[key.ident])

    def _fence_if_unused(
        self, attempt: Attempt, key: CheckedKey, fingerprint: bytes, now: float
    ) -> None:
        """Refuse a call that would run now, and fence its key.

        Used while the agent accepts no new requests, and if the entry does not let the
        call run. A call whose key was used before still gets its outcome.

        Raises
        ------
        HttpError
            If the key has not been used.
        """
        decision = self.table.peek(key.ident, fingerprint, key.expires_at, now)
        if decision is KeyDecision.RUN:
            self._fence(key, fingerprint)
            if self._context.accepts_new_work:
                message = "the entry does not let the call run"
                raise self._context.refusal(
                    attempt.attempt_id, 503, "request_blocked", message
                )
            raise self._context.new_work_refusal(attempt.attempt_id)

    async def _wait_for_outcome(
        self, attempt: Attempt, execution: _Execution
    ) -> ServiceResponse:
        await execution.ended.wait()
        if execution.refusal is not None:
            raise self._copy_refusal(attempt, execution.refusal)
        if execution.response is None:
            raise self._unknown(attempt, "outcome_unknown", execution.crashed_run)
        return execution.response

    def _earlier_outcome(
        self, attempt: Attempt, key: CheckedKey, decision: KeyDecision
    ) -> ServiceResponse:
        """Return the stored response of the key's ended execution.

        Raises
        ------
        HttpError
            If there is none, or the key was used for another request.
        """
        response = self.table.response(key.ident)
        if decision is KeyDecision.REPLAY and response is not None:
            return response
        if decision is KeyDecision.FENCED:
            message = "an earlier call with this key was refused; it never runs"
            raise self._context.refusal(attempt.attempt_id, 409, "key_fenced", message)
        code = "key_reused" if decision is KeyDecision.MISMATCH else "outcome_unknown"
        raise self._unknown(attempt, code)

    def _unknown(self, attempt: Attempt, code: str, crashed_run: int = 0) -> HttpError:
        return self._context.refusal(
            attempt.attempt_id,
            409,
            code,
            "the request may have run, but this agent does not know its outcome",
            verdict=Verdict.MAY_HAVE_RUN,
            crashed_run=crashed_run,
        )

    def _copy_refusal(self, attempt: Attempt, refusal: HttpError) -> HttpError:
        """Return the refusal of an execution as the refusal of one of its callers."""
        return self._context.refusal(
            attempt.attempt_id,
            refusal.status,
            refusal.code,
            refusal.message,
            retry_after_ms=refusal.retry_after_ms,
        )

    def _fence(self, key: CheckedKey, fingerprint: bytes) -> None:
        """Fence a key: record that its call never runs.

        Its caller is told that the call did not run, so a repeated call must not run.
        """
        now = self._context.now()
        self.table.fence(key.ident, fingerprint, key.expires_at, now)
        self._context.events.emit("key_fenced", ident=key.ident.hex())

    async def _execute(
        self,
        key: CheckedKey,
        request: ServiceRequest,
        queued_request: QueuedRequest,
        execution: _Execution,
    ) -> None:
        """Make the only call of a key, and record its outcome."""
        context = self._context
        sent_at = context.now()
        try:
            async with context.scheduler.hold_slot(queued_request):
                sent_at = context.now()
                context.events.emit("run_started", ident=key.ident.hex())
                execution.response = await self._service.call(request)
            self.table.finish(key.ident, execution.response, context.now())
        except RefusedError as exc:
            execution.refusal = HttpError(
                503,
                exc.refusal.code,
                "the backend server cannot start the request in time",
                retry_after_ms=exc.refusal.retry_after_ms,
            )
        except ClientError as exc:
            if exc.verdict is Verdict.NOT_RUN:
                execution.refusal = HttpError(503, "service_unreachable", str(exc))
            else:
                self.table.fail(key.ident, context.now())
            if exc.ended:
                execution.crashed_run = context.record_broken_off(sent_at)
        except Exception as exc:
            # An exception that escaped would cancel the nursery and all other calls.
            context.events.emit("run_failed", error=repr(exc))
            self.table.fail(key.ident, context.now())
        finally:
            if execution.refusal is not None:
                self._fence(key, request_fingerprint(request))
            context.events.emit("run_ended", ident=key.ident.hex())
            del self._executions[key.ident]
            execution.ended.set()


def request_fingerprint(request: ServiceRequest) -> bytes:
    """Return a digest that distinguishes requests made with the same key."""
    digest = hashlib.blake2b(digest_size=16)
    for field in (request.method.encode(), request.target.encode(), request.body):
        digest.update(len(field).to_bytes(8, "big") + field)
    return digest.digest()
