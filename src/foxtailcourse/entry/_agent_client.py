"""HTTP exchange of one attempt with an agent."""

from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import (
    AbstractAsyncContextManager,
    AsyncExitStack,
    asynccontextmanager,
)

import attrs
import msgspec
import trio

from foxtailcourse.config import Vm
from foxtailcourse.decoding import MalformedDataError, decode_json
from foxtailcourse.http import (
    ClientError,
    ClientResponse,
    ConnectionPool,
    Framing,
    RequestOptions,
)
from foxtailcourse.protocol import Attempt, FieldError, Reply, Verdict

# Statuses of refusals after which another backend server may accept the request.
# 502: the agent could not connect to the service on its VM.
RETRYABLE_STATUSES = frozenset({429, 502, 503})


class AttemptError(Exception):
    """An attempt did not return a complete response.

    Parameters
    ----------
    code : str
        Machine-readable reason.
    message : str
        Description of the failure.
    verdict : Verdict
        Whether the attempt may have run.
    """

    def __init__(self, code: str, message: str, verdict: Verdict) -> None:
        super().__init__(f"{code}: {message}")
        self.code = code
        self.message = message
        self.verdict = verdict


class AttemptRefused(AttemptError):  # noqa: N818 - a regular response, not a fault
    """The agent reported that the attempt did not run.

    Parameters
    ----------
    code, message : str
        Error code and message of the agent.
    status : int
        HTTP status of the refusal.
    reply : Reply
        State that the agent reported with the refusal.
    """

    def __init__(self, code: str, message: str, status: int, reply: Reply) -> None:
        super().__init__(code, message, Verdict.NOT_RUN)
        self.status = status
        self.reply = reply

    @property
    def retryable(self) -> bool:
        """Whether the request may be retried on another backend server."""
        return self.status in RETRYABLE_STATUSES


class AttemptBroken(AttemptError):  # noqa: N818 - names the reported state
    """The connection failed, or the response was truncated, malformed or mismatched.

    Parameters
    ----------
    code, message, verdict
        As for ``AttemptError``.
    stale, ended : bool
        As for ``ClientError``.
    crashed_run : int
        As for ``Reply``.
    """

    def __init__(
        self,
        code: str,
        message: str,
        verdict: Verdict = Verdict.MAY_HAVE_RUN,
        *,
        stale: bool = False,
        ended: bool = False,
        crashed_run: int = 0,
    ) -> None:
        super().__init__(code, message, verdict)
        self.stale = stale
        self.ended = ended
        self.crashed_run = crashed_run

    @property
    def is_crash(self) -> bool:
        """Whether the backend server crashed, alone or together with its agent."""
        agent_ended = self.code == "cut" and self.ended and not self.stale
        return self.crashed_run > 0 or agent_ended


@attrs.frozen(kw_only=True)
class OutgoingRequest:
    """The part of a request to an agent that does not depend on the attempt.

    Parameters
    ----------
    method, target : str
        Method and target of the request line.
    fields : mapping
        Header fields, without those of the attempt.
    body : bytes
        The body.
    """

    method: str
    target: str
    fields: Mapping[str, str]
    body: bytes


@attrs.define
class AgentResponse:
    """Response of an agent whose head was checked and whose body is unread.

    Parameters
    ----------
    reply : Reply
        The protocol header fields of the response.
    http : ClientResponse
        The HTTP response, from which the body is read.
    event_count : int
        Number of events that were read, if it is a stream.
    """

    reply: Reply
    http: ClientResponse
    event_count: int = 0


class _ErrorDetail(msgspec.Struct):
    message: str = ""
    code: str = ""


class _ErrorBody(msgspec.Struct):
    error: _ErrorDetail


@asynccontextmanager
async def open_attempt(
    pool: ConnectionPool,
    vm: Vm,
    attempt: Attempt,
    outgoing: OutgoingRequest,
    options: RequestOptions,
    wait_unresponsive: Callable[[Vm], Awaitable[None]],
) -> AsyncIterator[AgentResponse]:
    """Send an attempt and yield the agent's response.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to agents.
    vm : Vm
        VM of the agent.
    attempt : Attempt
        Header fields of the attempt.
    outgoing : OutgoingRequest
        The rest of the request.
    options : RequestOptions
        Timeouts.
    wait_unresponsive : callable
        Returns when the agent is unresponsive and its response is no longer awaited.

    Raises
    ------
    AttemptRefused
        If the agent responded that the attempt did not run.
    AttemptBroken
        If no response arrived or it belongs to another attempt; the connection is
        then closed. Also if the body is truncated while the context's user reads it.
    """
    request = pool.request(
        vm.listen,
        outgoing.method,
        outgoing.target,
        headers=dict(outgoing.fields) | attempt.to_headers(),
        body=outgoing.body,
        options=options,
    )
    try:
        async with AsyncExitStack() as stack:
            response = await _receive_head(stack, request, vm, wait_unresponsive)
            reply = _check_reply(vm, attempt, response)
            if response.status >= 400 and reply.verdict is Verdict.NOT_RUN:
                raise await _read_refusal(response, reply)
            if response.status >= 400 and reply.verdict is Verdict.MAY_HAVE_RUN:
                error = await _read_error(response)
                raise AttemptBroken(
                    error.code or "agent_failed",
                    error.message,
                    crashed_run=reply.crashed_run,
                )
            yield AgentResponse(reply, response)
    except ClientError as exc:
        code = "unreachable" if exc.verdict is Verdict.NOT_RUN else "cut"
        raise AttemptBroken(
            code, str(exc), exc.verdict, stale=exc.stale, ended=exc.ended
        ) from exc


async def _receive_head(
    stack: AsyncExitStack,
    request: AbstractAsyncContextManager[ClientResponse],
    vm: Vm,
    wait_unresponsive: Callable[[Vm], Awaitable[None]],
) -> ClientResponse:
    """Send the request and return its response, unless the agent is unresponsive."""
    result: ClientResponse | ClientError | None = None

    async def watch() -> None:
        await wait_unresponsive(vm)
        nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch)
        try:
            result = await stack.enter_async_context(request)
        except ClientError as exc:
            result = exc
        nursery.cancel_scope.cancel()
    if result is None:
        raise AttemptBroken("frozen", f"{vm.vm} does not respond to liveness probes")
    if isinstance(result, ClientError):
        raise result
    return result


def _check_reply(vm: Vm, attempt: Attempt, response: ClientResponse) -> Reply:
    if response.framing is Framing.CLOSE:
        # Agents frame their responses, so what passed this one on may have cut it.
        raise AttemptBroken("malformed_reply", f"{vm.vm}: response without framing")
    try:
        reply = Reply.from_headers(response.headers)
    except FieldError as exc:
        raise AttemptBroken("malformed_reply", f"{vm.vm}: {exc}") from exc
    if reply.attempt_id != attempt.attempt_id:
        raise AttemptBroken("crossed_reply", f"{vm.vm} replied to another attempt")
    if reply.backend_server != vm.vm:
        message = f"{vm.listen} is {reply.backend_server}, not {vm.vm}"
        raise AttemptBroken("wrong_server", message)
    return reply


async def _read_error(response: ClientResponse) -> _ErrorDetail:
    data = await response.read()
    try:
        return decode_json(data, _ErrorBody).error
    except MalformedDataError:
        return _ErrorDetail()


async def _read_refusal(response: ClientResponse, reply: Reply) -> AttemptRefused:
    error = await _read_error(response)
    code = error.code or "refused"
    message = error.message or "the backend server refused the request"
    return AttemptRefused(code, message, response.status, reply)
