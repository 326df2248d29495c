"""One attempt at one agent."""

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
from foxtailcourse.http import (
    ClientError,
    ClientResponse,
    ConnectionPool,
    RequestOptions,
)
from foxtailcourse.protocol import Attempt, FieldError, Reply, Verdict

# 502: the agent could not connect to the service beside it.
REFUSAL_STATUSES = frozenset({429, 502, 503})


class AttemptError(Exception):
    """An attempt did not deliver a whole answer.

    Parameters
    ----------
    code : str
        Machine-readable reason.
    message : str
        What happened.
    verdict : Verdict
        Whether the attempt may have run.
    """

    def __init__(self, code: str, message: str, verdict: Verdict) -> None:
        super().__init__(f"{code}: {message}")
        self.code = code
        self.message = message
        self.verdict = verdict


class AttemptRefused(AttemptError):  # noqa: N818 - a regular answer, not a fault
    """The agent says that the attempt did not run.

    Parameters
    ----------
    code, message : str
        From the agent's error body.
    status : int
        HTTP status of the refusal.
    reply : Reply
        What the agent said about itself.
    """

    def __init__(self, code: str, message: str, status: int, reply: Reply) -> None:
        super().__init__(code, message, Verdict.NOT_RUN)
        self.status = status
        self.reply = reply

    @property
    def elsewhere(self) -> bool:
        """Whether another backend server may take the request."""
        return self.status in REFUSAL_STATUSES


class AttemptBroken(AttemptError):  # noqa: N818 - reads as the state it reports
    """The connection failed, or the answer was cut, crossed or malformed."""

    def __init__(
        self, code: str, message: str, verdict: Verdict = Verdict.MAY_HAVE_RUN
    ) -> None:
        super().__init__(code, message, verdict)


@attrs.frozen(kw_only=True)
class Outgoing:
    """What is sent to an agent besides the attempt's header fields.

    Parameters
    ----------
    method, target : str
        Request line, as the caller sent it.
    fields : mapping
        Header fields.
    body : bytes
        The body.
    """

    method: str
    target: str
    fields: Mapping[str, str]
    body: bytes


@attrs.frozen
class Answer:
    """An agent's answer whose head was checked; the body is still to be read."""

    reply: Reply
    response: ClientResponse


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
    outgoing: Outgoing,
    options: RequestOptions,
    wait_frozen: Callable[[Vm], Awaitable[None]],
) -> AsyncIterator[Answer]:
    """Send an attempt and yield its answer.

    Parameters
    ----------
    pool : ConnectionPool
        Makes the connection.
    vm : Vm
        VM of the agent.
    attempt : Attempt
        Header fields of the attempt.
    outgoing : Outgoing
        The rest of the request.
    options : RequestOptions
        Times.
    wait_frozen : callable
        Returns once the agent is frozen; the wait for its answer then ends.

    Raises
    ------
    AttemptRefused
        The agent answered that the attempt did not run.
    AttemptBroken
        No answer came, or the answer is not that of this attempt; the connection is
        then closed. Also raised when the body is cut while the caller reads it.
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
            response = await _wait_head(stack, request, vm, wait_frozen)
            reply = _check_reply(vm, attempt, response)
            if response.status >= 400 and reply.verdict is Verdict.NOT_RUN:
                raise await _refusal(response, reply)
            if response.status >= 400 and reply.verdict is Verdict.MAY_HAVE_RUN:
                error = await _error_detail(response)
                raise AttemptBroken(error.code or "agent_failed", error.message)
            yield Answer(reply, response)
    except ClientError as exc:
        code = "unreachable" if exc.verdict is Verdict.NOT_RUN else "cut"
        raise AttemptBroken(code, str(exc), exc.verdict) from exc


async def _wait_head(
    stack: AsyncExitStack,
    request: AbstractAsyncContextManager[ClientResponse],
    vm: Vm,
    wait_frozen: Callable[[Vm], Awaitable[None]],
) -> ClientResponse:
    """Send the request and return its response, unless the agent is frozen."""
    result: ClientResponse | ClientError | None = None

    async def watch() -> None:
        await wait_frozen(vm)
        nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch)
        try:
            result = await stack.enter_async_context(request)
        except ClientError as exc:
            result = exc
        nursery.cancel_scope.cancel()
    if result is None:
        raise AttemptBroken("frozen", f"{vm.vm} does not answer")
    if isinstance(result, ClientError):
        raise result
    return result


def _check_reply(vm: Vm, attempt: Attempt, response: ClientResponse) -> Reply:
    try:
        reply = Reply.from_headers(response.headers)
    except FieldError as exc:
        raise AttemptBroken("malformed_reply", f"{vm.vm}: {exc}") from exc
    if reply.attempt_id != attempt.attempt_id:
        raise AttemptBroken("crossed_reply", f"{vm.vm} answered another attempt")
    if reply.backend_server != vm.vm:
        message = f"{vm.listen} is {reply.backend_server}, not {vm.vm}"
        raise AttemptBroken("wrong_server", message)
    return reply


async def _error_detail(response: ClientResponse) -> _ErrorDetail:
    data = await response.read()
    try:
        return msgspec.json.decode(data, type=_ErrorBody).error
    except (msgspec.DecodeError, RecursionError):
        return _ErrorDetail()


async def _refusal(response: ClientResponse, reply: Reply) -> AttemptRefused:
    error = await _error_detail(response)
    code = error.code or "refused"
    message = error.message or "the backend server refused the request"
    return AttemptRefused(code, message, response.status, reply)
