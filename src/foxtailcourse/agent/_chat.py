"""Chat completions on the engine beside the agent."""

from collections.abc import AsyncGenerator, Mapping
from contextlib import aclosing
from typing import Any

import attrs
import msgspec
import trio

from foxtailcourse.agent._context import AgentContext
from foxtailcourse.agent._scheduler import RefusedError, Slot
from foxtailcourse.agent._transfer import BlockTransfer
from foxtailcourse.engine import (
    EngineClient,
    EngineError,
    EngineRequest,
    EngineStream,
    EngineToken,
)
from foxtailcourse.http import (
    ClientError,
    Exchange,
    HttpError,
    SseEvent,
    error_body,
    format_sse,
)
from foxtailcourse.protocol import Attempt, RequestClass, Verdict
from foxtailcourse.sharing import QueuedRequest

CANCEL_TIMEOUT_S = 2.0
PRIORITIES = {RequestClass.SHORT: 0, RequestClass.LONG: 1}


class WeightsChangedError(EngineError):
    """The engine's weights changed within a stream."""


@attrs.frozen
class _Started:
    """A request that waits for or holds a slot."""

    attempt: Attempt
    body: Mapping[str, Any]
    matched_blocks: int


class ChatHandler:
    """Runs chat requests on the engine, streamed or whole.

    Parameters
    ----------
    context : AgentContext
        The agent's state.
    engine : EngineClient
        The engine.
    transfer : BlockTransfer or None
        Exports and imports blocks, if there is a KV-cache store.
    """

    def __init__(
        self,
        context: AgentContext,
        engine: EngineClient,
        transfer: BlockTransfer | None = None,
    ) -> None:
        self._context = context
        self._engine = engine
        self._transfer = transfer

    async def handle(self, exchange: Exchange) -> None:
        """Answer ``POST /v1/chat/completions``."""
        context = self._context
        attempt = context.read_attempt(exchange)
        if not context.takes_new_work:
            raise context.refuse_new_work(attempt.attempt_id)
        self._check_version(attempt)
        body = self._read_body(exchange, attempt)
        matched = context.index.match(attempt.prefix_keys, context.now())
        request = _Started(attempt, body, matched)
        try:
            async with context.scheduler.start(self._queued(request)) as slot:
                await self._run(exchange, request, slot)
        except RefusedError as exc:
            status = 503 if exc.refusal.code == "deadline" else 429
            raise context.refusal(
                attempt.attempt_id,
                status,
                exc.refusal.code,
                "the backend server cannot start the request in time",
                matched_blocks=matched,
                retry_after_ms=exc.refusal.retry_after_ms,
            ) from exc

    def _read_body(self, exchange: Exchange, attempt: Attempt) -> dict[str, Any]:
        try:
            body = exchange.json()
            message = "body is not an object"
        except HttpError as exc:
            body, message = None, exc.message
        if not isinstance(body, dict):
            raise self._context.refusal(
                attempt.attempt_id, 400, "malformed_body", message
            )
        return body

    def _check_version(self, attempt: Attempt) -> None:
        """Refuse an attempt whose prefix keys belong to other weights."""
        serves, expected = self._context.weights_version, attempt.weights_version
        if expected and expected != serves:
            message = f"engine serves weights {serves or 'unknown'}, not {expected}"
            raise self._context.refusal(
                attempt.attempt_id, 503, "weights_version", message
            )

    def _queued(self, request: _Started) -> QueuedRequest:
        context, attempt = self._context, request.attempt
        cached = request.matched_blocks * context.cfg.block_tokens
        return QueuedRequest(
            attempt_id=attempt.attempt_id,
            client_account=attempt.client_account,
            share=context.share(attempt.client_account),
            request_class=attempt.request_class,
            uncached_tokens=max(0, attempt.prompt_tokens - cached),
            expected_tokens=max(0, attempt.max_tokens - attempt.resume_from),
            deadline=context.now() + attempt.deadline_ms / 1000,
        )

    async def _run(self, exchange: Exchange, request: _Started, slot: Slot) -> None:
        attempt = request.attempt
        self._check_version(attempt)
        if self._transfer is not None:
            await self._transfer.prepare(attempt)
        engine_request = EngineRequest(
            request_id=attempt.attempt_id,
            body=request.body,
            cache_salt=attempt.cache_salt,
            block_keys=attempt.prefix_keys,
            priority=PRIORITIES[attempt.request_class],
            resume_from=attempt.resume_from,
        )
        ended = False
        try:
            async with self._engine.chat(engine_request) as stream:
                await self._answer(exchange, request, stream, slot)
            ended = True
        except (EngineError, ClientError) as exc:
            await self._fail(exchange, request, exc)
        finally:
            if not ended:
                await self._cancel(attempt.attempt_id)

    async def _answer(
        self, exchange: Exchange, request: _Started, stream: EngineStream, slot: Slot
    ) -> None:
        context, attempt = self._context, request.attempt
        cached_blocks = stream.cached_tokens // context.cfg.block_tokens
        context.index.record_reply(
            stream.incarnation, attempt.prefix_keys, cached_blocks, context.now()
        )
        context.weights_version = stream.weights_version
        if attempt.weights_version not in ("", stream.weights_version):
            raise WeightsChangedError("the engine's weights changed before the start")
        if self._transfer is not None:
            self._transfer.used(attempt, cached_blocks)
        context.events.emit(
            "request_started",
            request_id=attempt.request_id,
            attempt_id=attempt.attempt_id,
            cached_tokens=stream.cached_tokens,
        )
        relay = _Relay(context, stream, slot, attempt.resume_from)
        if request.body.get("stream"):
            await self._stream(exchange, request, relay)
        else:
            await self._whole(exchange, request, relay)
        context.events.emit(
            "request_ended", attempt_id=attempt.attempt_id, tokens=relay.count
        )

    def _head(
        self, request: _Started, relay: "_Relay", verdict: Verdict
    ) -> dict[str, str]:
        return self._context.reply(
            request.attempt.attempt_id,
            verdict,
            matched_blocks=request.matched_blocks,
            cached_tokens=relay.stream.cached_tokens,
        ).to_headers()

    async def _stream(
        self, exchange: Exchange, request: _Started, relay: "_Relay"
    ) -> None:
        fields = self._head(request, relay, Verdict.MAY_HAVE_RUN)
        fields["content-type"] = "text/event-stream"
        await exchange.start_stream(200, fields)
        async with aclosing(relay.batches()) as batches:
            async for batch in batches:
                first = relay.count - len(batch)
                # One write for all chunks that arrived together.
                await exchange.send(
                    b"".join(
                        format_sse(SseEvent(token.data, id=str(number)))
                        for number, token in enumerate(batch, first)
                    )
                )
        end = {"count": relay.count, "attempt_id": request.attempt.attempt_id}
        data = msgspec.json.encode(end).decode()
        await exchange.end_stream(format_sse(SseEvent(data, event="end")))

    async def _whole(
        self, exchange: Exchange, request: _Started, relay: "_Relay"
    ) -> None:
        texts, reason = [], ""
        async with aclosing(relay.batches()) as batches:
            async for batch in batches:
                texts += [token.text for token in batch]
                reason = batch[-1].finish_reason
        message = {"role": "assistant", "content": "".join(texts)}
        usage = {
            "prompt_tokens": request.attempt.prompt_tokens,
            "completion_tokens": relay.count,
            "total_tokens": request.attempt.prompt_tokens + relay.count,
            "prompt_tokens_details": {"cached_tokens": relay.stream.cached_tokens},
        }
        value = {
            "id": f"chatcmpl-{request.attempt.request_id}",
            "object": "chat.completion",
            "model": self._context.cfg.serves,
            "system_fingerprint": relay.stream.weights_version,
            "choices": [{"index": 0, "message": message, "finish_reason": reason}],
            "usage": usage,
        }
        fields = self._head(request, relay, Verdict.RAN)
        await exchange.respond_json(200, value, fields)

    async def _fail(
        self, exchange: Exchange, request: _Started, exc: EngineError | ClientError
    ) -> None:
        """Answer an error, or end a started stream with an explicit one."""
        context, attempt_id = self._context, request.attempt.attempt_id
        if exchange.started:
            context.events.emit(
                "stream_broken", attempt_id=attempt_id, error=str(exc)[:200]
            )
            body = error_body(str(exc)[:200], "server_error", _code(exc))
            await exchange.send(format_sse(SseEvent(body.decode(), event="error")))
            exchange.abort()
            return
        raise self._error(attempt_id, exc) from exc

    def _error(self, attempt_id: str, exc: EngineError | ClientError) -> HttpError:
        status = exc.status if isinstance(exc, EngineError) else 0
        if 400 <= status < 500:
            return self._context.refusal(
                attempt_id, status, "engine_refused", str(exc)[:200]
            )
        verdict = Verdict.MAY_HAVE_RUN
        if isinstance(exc, ClientError):
            verdict = exc.verdict
        return self._context.refusal(
            attempt_id, 503, _code(exc), str(exc)[:200], verdict=verdict
        )

    async def _cancel(self, attempt_id: str) -> None:
        """Tell the engine that nobody reads a completion any more."""
        with trio.CancelScope(shield=True), trio.move_on_after(CANCEL_TIMEOUT_S):
            try:
                await self._engine.cancel(attempt_id)
            except (EngineError, ClientError) as exc:
                self._context.events.emit(
                    "cancel_failed", attempt_id=attempt_id, error=str(exc)[:200]
                )


def _code(exc: Exception) -> str:
    if isinstance(exc, WeightsChangedError):
        return "weights_changed"
    return "engine_stream_broken" if isinstance(exc, EngineError) else "engine_failed"


class _Relay:
    """Counts the chunks of a stream and checks that one engine generated them.

    Parameters
    ----------
    context : AgentContext
        Knows the current engine incarnation.
    stream : EngineStream
        The running completion.
    slot : Slot
        Told of the generated tokens.
    first : int
        Number of the first chunk: those that an earlier attempt delivered.
    """

    def __init__(
        self, context: AgentContext, stream: EngineStream, slot: Slot, first: int
    ) -> None:
        self._context = context
        self.stream = stream
        self.count = first
        self._first = first
        self._slot = slot

    async def batches(self) -> AsyncGenerator[list[EngineToken], None]:
        """Yield the chunks that arrived together; ``count`` includes those yielded.

        Raises
        ------
        EngineError
            After the last good chunk of a broken or mixed stream.
        """
        reason: str | None = None
        async with aclosing(self.stream.batches()) as batches:
            async for batch in batches:
                good, failure = self._checked(batch)
                if good:
                    self.count += len(good)
                    self._slot.generated(self.count - self._first)
                    reason = good[-1].finish_reason
                    yield good
                if failure is not None:
                    raise failure
        if reason == "":
            raise EngineError("engine stream ended without a finish reason")

    def _checked(
        self, batch: list[EngineToken]
    ) -> tuple[list[EngineToken], EngineError | None]:
        """Return the chunks before the first bad one, and what is wrong with that."""
        for number, token in enumerate(batch):
            try:
                self._check(token)
            except EngineError as exc:
                return batch[:number], exc
        return batch, None

    def _check(self, token: EngineToken) -> None:
        if token.weights_version not in ("", self.stream.weights_version):
            raise WeightsChangedError("the engine's weights changed in the stream")
        if self._context.index.incarnation != self.stream.incarnation:
            raise EngineError("the engine was replaced within the stream")
