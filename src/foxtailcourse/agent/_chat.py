"""Chat completions on the agent's engine."""

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
    EngineChunk,
    EngineClient,
    EngineError,
    EngineRequest,
    EngineStream,
)
from foxtailcourse.http import (
    ClientError,
    Exchange,
    HttpError,
    SseEvent,
    format_sse,
)
from foxtailcourse.protocol import Attempt, RequestClass, StreamFailure, Verdict
from foxtailcourse.sharing import QueuedRequest

CANCEL_TIMEOUT_S = 2.0
ENGINE_PRIORITIES = {RequestClass.SHORT: 0, RequestClass.LONG: 1}


class WeightsChangedError(EngineError):
    """The engine's weights changed during a stream."""


@attrs.frozen
class _ChatRequest:
    """A request that waits for a slot or holds one."""

    attempt: Attempt
    body: Mapping[str, Any]
    matched_blocks: int


class ChatHandler:
    """Runs chat requests on the engine, with a streamed or a complete response.

    Parameters
    ----------
    context : AgentContext
        The agent's state.
    engine : EngineClient
        The engine.
    transfer : BlockTransfer or None
        Exports and imports blocks; None without a KV-cache store.
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
        """Handle ``POST /v1/chat/completions``."""
        context = self._context
        attempt = context.read_attempt(exchange)
        if not context.accepts_new_work:
            raise context.new_work_refusal(attempt.attempt_id)
        self._check_version(attempt)
        body = self._read_body(exchange, attempt)
        matched = context.index.match(attempt.prefix_keys, context.now())
        request = _ChatRequest(attempt, body, matched)
        try:
            async with context.scheduler.hold_slot(
                self._queued_request(request)
            ) as slot:
                await self._run_on_engine(exchange, request, slot)
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
        """Refuse an attempt whose prefix keys were computed for other weights."""
        served, expected = self._context.weights_version, attempt.weights_version
        if expected and expected != served:
            message = f"engine serves weights {served or 'unknown'}, not {expected}"
            raise self._context.refusal(
                attempt.attempt_id, 503, "weights_version", message
            )

    def _queued_request(self, request: _ChatRequest) -> QueuedRequest:
        context, attempt = self._context, request.attempt
        cached = request.matched_blocks * context.cfg.block_tokens
        return QueuedRequest(
            attempt_id=attempt.attempt_id,
            client_account=attempt.client_account,
            share=context.account_share(attempt.client_account),
            request_class=attempt.request_class,
            uncached_tokens=max(0, attempt.prompt_tokens - cached),
            expected_tokens=max(0, attempt.max_tokens - attempt.resume_from),
            deadline=context.now() + attempt.deadline_ms / 1000,
        )

    async def _run_on_engine(
        self, exchange: Exchange, request: _ChatRequest, slot: Slot
    ) -> None:
        attempt = request.attempt
        # The weights may have changed while the request waited for its slot.
        self._check_version(attempt)
        if self._transfer is not None:
            await self._transfer.import_missing(attempt)
        engine_request = EngineRequest(
            request_id=attempt.attempt_id,
            body=request.body,
            cache_salt=attempt.cache_salt,
            block_keys=attempt.prefix_keys,
            priority=ENGINE_PRIORITIES[attempt.request_class],
            resume_from=attempt.resume_from,
        )
        completed, sent_at = False, self._context.now()
        try:
            async with self._engine.chat(engine_request) as stream:
                await self._respond(exchange, request, stream, slot)
            completed = True
        except (EngineError, ClientError) as exc:
            await self._handle_failure(exchange, request, exc, sent_at)
        finally:
            if not completed:
                await self._cancel(attempt.attempt_id)

    async def _respond(
        self,
        exchange: Exchange,
        request: _ChatRequest,
        stream: EngineStream,
        slot: Slot,
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
            self._transfer.record_use(attempt, cached_blocks)
        context.events.emit(
            "request_started",
            request_id=attempt.request_id,
            attempt_id=attempt.attempt_id,
            cached_tokens=stream.cached_tokens,
        )
        relay = _Relay(context, stream, slot, attempt.resume_from)
        if request.body.get("stream"):
            await self._send_stream(exchange, request, relay)
        else:
            await self._send_completion(exchange, request, relay)
        context.events.emit(
            "request_ended", attempt_id=attempt.attempt_id, tokens=relay.count
        )

    def _reply_headers(
        self, request: _ChatRequest, relay: "_Relay", verdict: Verdict
    ) -> dict[str, str]:
        return self._context.make_reply(
            request.attempt.attempt_id,
            verdict,
            matched_blocks=request.matched_blocks,
            cached_tokens=relay.stream.cached_tokens,
        ).to_headers()

    async def _send_stream(
        self, exchange: Exchange, request: _ChatRequest, relay: "_Relay"
    ) -> None:
        fields = self._reply_headers(request, relay, Verdict.MAY_HAVE_RUN)
        fields["content-type"] = "text/event-stream"
        await exchange.start_stream(200, fields)
        async with aclosing(relay.batches()) as batches:
            async for batch in batches:
                first_id = relay.count - len(batch)
                # One write for all chunks received in one read.
                await exchange.send(
                    b"".join(
                        format_sse(SseEvent(chunk.data, id=str(event_id)))
                        for event_id, chunk in enumerate(batch, first_id)
                    )
                )
        summary = {"count": relay.count, "attempt_id": request.attempt.attempt_id}
        data = msgspec.json.encode(summary).decode()
        await exchange.end_stream(format_sse(SseEvent(data, event="end")))

    async def _send_completion(
        self, exchange: Exchange, request: _ChatRequest, relay: "_Relay"
    ) -> None:
        texts, finish_reason = [], ""
        async with aclosing(relay.batches()) as batches:
            async for batch in batches:
                texts += [chunk.text for chunk in batch]
                finish_reason = batch[-1].finish_reason
        message = {"role": "assistant", "content": "".join(texts)}
        usage = {
            "prompt_tokens": request.attempt.prompt_tokens,
            "completion_tokens": relay.count,
            "total_tokens": request.attempt.prompt_tokens + relay.count,
            "prompt_tokens_details": {"cached_tokens": relay.stream.cached_tokens},
        }
        completion = {
            "id": f"chatcmpl-{request.attempt.request_id}",
            "object": "chat.completion",
            "model": self._context.cfg.serves,
            "system_fingerprint": relay.stream.weights_version,
            "choices": [
                {"index": 0, "message": message, "finish_reason": finish_reason}
            ],
            "usage": usage,
        }
        fields = self._reply_headers(request, relay, Verdict.RAN)
        await exchange.respond_json(200, completion, fields)

    async def _handle_failure(
        self,
        exchange: Exchange,
        request: _ChatRequest,
        exc: EngineError | ClientError,
        sent_at: float,
    ) -> None:
        """Send an error response, or end a started stream with an error event."""
        context, attempt_id = self._context, request.attempt.attempt_id
        # An engine may end its streams to load weights.
        crashed = exc.ended and not context.loading
        crashed_run = context.record_broken_off(sent_at) if crashed else 0
        if exchange.response_started:
            context.events.emit(
                "stream_broken", attempt_id=attempt_id, error=str(exc)[:200]
            )
            failure = StreamFailure(
                code=_error_code(exc), message=str(exc)[:200], crashed_run=crashed_run
            )
            await exchange.send(format_sse(SseEvent(failure.to_data(), event="error")))
            exchange.abort()
            return
        raise self._make_error(attempt_id, exc, crashed_run) from exc

    def _make_error(
        self, attempt_id: str, exc: EngineError | ClientError, crashed_run: int
    ) -> HttpError:
        """Return the error response for a failure before the response has started."""
        status = exc.status if isinstance(exc, EngineError) else 0
        if 400 <= status < 500:
            return self._context.refusal(
                attempt_id, status, "engine_refused", str(exc)[:200]
            )
        verdict = Verdict.MAY_HAVE_RUN
        if isinstance(exc, ClientError):
            verdict = exc.verdict
        return self._context.refusal(
            attempt_id,
            503,
            _error_code(exc),
            str(exc)[:200],
            verdict=verdict,
            crashed_run=crashed_run,
        )

    async def _cancel(self, attempt_id: str) -> None:
        """Cancel at the engine a completion that did not end normally."""
        with trio.CancelScope(shield=True), trio.move_on_after(CANCEL_TIMEOUT_S):
            try:
                await self._engine.cancel(attempt_id)
            except (EngineError, ClientError) as exc:
                self._context.events.emit(
                    "cancel_failed", attempt_id=attempt_id, error=str(exc)[:200]
                )


def _error_code(exc: Exception) -> str:
    if isinstance(exc, WeightsChangedError):
        return "weights_changed"
    return "engine_stream_broken" if isinstance(exc, EngineError) else "engine_failed"


class _Relay:
    """Counts a stream's chunks and checks that one engine incarnation sent them all.

    Parameters
    ----------
    context : AgentContext
        The agent's state, with the current engine incarnation.
    stream : EngineStream
        The completion in progress.
    slot : Slot
        Records the generated tokens.
    resume_from : int
        Number of the first chunk; an earlier attempt delivered the chunks before it.

    Attributes
    ----------
    count : int
        Number of chunks delivered, including those of earlier attempts.
    """

    def __init__(
        self, context: AgentContext, stream: EngineStream, slot: Slot, resume_from: int
    ) -> None:
        self._context = context
        self.stream = stream
        self.count = resume_from
        self._resume_from = resume_from
        self._slot = slot

    async def batches(self) -> AsyncGenerator[list[EngineChunk], None]:
        """Yield the valid chunks of each read, and add them to ``count`` first.

        Raises
        ------
        EngineError
            After the last valid chunk, if the stream is incomplete or its engine
            incarnation or weights version changed.
        """
        finish_reason: str | None = None
        async with aclosing(self.stream.batches()) as batches:
            async for batch in batches:
                valid, error = self._split_valid(batch)
                if valid:
                    self.count += len(valid)
                    self._slot.report_generated(self.count - self._resume_from)
                    finish_reason = valid[-1].finish_reason
                    yield valid
                if error is not None:
                    raise error
        # Nothing is left to generate only for a stream that is continued.
        is_empty = finish_reason is None and not self._resume_from
        if finish_reason == "" or is_empty:
            raise EngineError("engine stream ended without a finish reason")

    def _split_valid(
        self, batch: list[EngineChunk]
    ) -> tuple[list[EngineChunk], EngineError | None]:
        """Return the chunks before the first invalid one, and the error of that one."""
        for index, chunk in enumerate(batch):
            try:
                self._check_origin(chunk)
            except EngineError as exc:
                return batch[:index], exc
        return batch, None

    def _check_origin(self, chunk: EngineChunk) -> None:
        """Raise EngineError if the engine restarted or changed its weights."""
        if chunk.weights_version not in ("", self.stream.weights_version):
            raise WeightsChangedError("the engine's weights changed during the stream")
        if self._context.index.incarnation != self.stream.incarnation:
            raise EngineError("the engine restarted during the stream")
