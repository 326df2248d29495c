"""Relaying of agents' responses to callers, complete or streamed."""

from collections.abc import Callable
from contextlib import aclosing
from functools import partial

import msgspec
import trio

from foxtailcourse.entry._agent_client import (
    AgentResponse,
    AttemptBroken,
    AttemptError,
    OutgoingRequest,
)
from foxtailcourse.entry._attempt_history import AttemptHistory, Target
from foxtailcourse.entry._call import Call
from foxtailcourse.entry._dispatcher import Dispatcher
from foxtailcourse.entry._stream_checker import (
    Delivery,
    StreamChecker,
    StreamError,
    chunk_text,
)
from foxtailcourse.http import (
    Exchange,
    HttpError,
    RequestOptions,
    SseError,
    SseEvent,
    SseParser,
    format_sse,
)
from foxtailcourse.protocol import Reply, Verdict, headers

# Field of a request body with the text that the caller has already received.
RESUME_TEXT_FIELD = "foxtail_resume_text"
EVENT_STREAM = "text/event-stream"
DONE_EVENT = b"data: [DONE]\n\n"


def response_fields(call: Call, reply: Reply) -> dict[str, str]:
    """Return the header fields of a response to a caller."""
    return {
        headers.VERDICT: reply.verdict.value,
        headers.REQUEST_ID: call.request_id,
        headers.BACKEND_SERVER: reply.backend_server,
        headers.CACHED_TOKENS: str(reply.cached_tokens),
    }


class Relay:
    """Runs repeatable requests and relays the agents' responses to callers.

    Parameters
    ----------
    dispatcher : Dispatcher
        Selects backend servers and sends the attempts.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self._cfg = dispatcher.cfg

    async def respond_complete(self, exchange: Exchange, call: Call) -> None:
        """Run a repeatable request and send the complete response.

        Raises
        ------
        HttpError
            If no attempt returned a complete response.
        """
        response, body = await self.fetch(call)
        await send_response(exchange, call, response, body)

    async def fetch(self, call: Call) -> tuple[AgentResponse, bytes]:
        """Run a repeatable request; return its response and the complete body.

        Raises
        ------
        HttpError
            If no attempt returned a complete response.
        """
        history = AttemptHistory()
        outgoing = _outgoing(call, call.body)
        while (target := self._dispatcher.next_target(call, history)) is not None:
            reserve_other = partial(
                self._dispatcher.reserve_other, call, history, target
            )
            options = self._options(
                call, target, reserve_other, head_timeout_s=call.answer_timeout_s
            )
            try:
                async with self._dispatcher.attempt(
                    call, target, outgoing, options, reserve_other=reserve_other
                ) as (_, response):
                    body = await response.http.read()
            except AttemptError as exc:
                if not self._dispatcher.record_failure(call, history, target, exc):
                    break
                continue
            return response, body
        raise history.to_http_error()

    def _options(
        self,
        call: Call,
        target: Target,
        reserve_other: Callable[[], bool],
        *,
        head_timeout_s: float,
    ) -> RequestOptions:
        return RequestOptions(
            connect_timeout_s=self._cfg.connect_timeout_s,
            idle_timeout_s=self._cfg.stream_idle_timeout_s,
            head_timeout_s=head_timeout_s,
            keep_waiting=partial(
                self._dispatcher.keeps_waiting, call, target, reserve_other
            ),
        )

    async def respond_stream(self, exchange: Exchange, call: Call) -> None:
        """Run a chat request and stream the response.

        Raises
        ------
        HttpError
            If no attempt returned a first event, or if a started stream could not be
            completed. The latter then ends with an error event, and the connection
            is closed without a regular end.
        """
        history, delivery = AttemptHistory(), Delivery()
        while True:
            target = self._dispatcher.next_target(
                call, history, delivery.required_version
            )
            if target is None:
                break
            try:
                await self._relay_attempt(exchange, call, history, target, delivery)
            except AttemptError as exc:
                if not self._dispatcher.record_failure(call, history, target, exc):
                    break
                continue
            await exchange.end_stream(DONE_EVENT)
            return
        if not delivery.started:
            raise history.to_http_error()
        await self._end_with_error(exchange, call, history, delivery)

    async def _relay_attempt(
        self,
        exchange: Exchange,
        call: Call,
        history: AttemptHistory,
        target: Target,
        delivery: Delivery,
    ) -> None:
        """Send one attempt and relay its events until the end event.

        Raises
        ------
        AttemptError
            If the attempt failed; ``delivery`` tells where to continue.
        """

        def reserve_other() -> bool:
            version = delivery.required_version
            return self._dispatcher.reserve_other(call, history, target, version)

        options = self._options(
            call,
            target,
            reserve_other,
            head_timeout_s=self._dispatcher.head_timeout_s(call),
        )
        outgoing = _outgoing(call, _continuation_body(call, delivery))
        async with self._dispatcher.attempt(
            call,
            target,
            outgoing,
            options,
            reserve_other=reserve_other,
            resume_from=delivery.next_id,
        ) as (attempt, response):
            _check_stream_head(response, delivery)
            checker = StreamChecker(attempt.attempt_id, delivery.next_id)
            try:
                await self._relay_events(exchange, call, checker, response, delivery)
            except (SseError, StreamError) as exc:
                crashed_run = exc.crashed_run if isinstance(exc, StreamError) else 0
                raise AttemptBroken(
                    "broken_stream", str(exc), crashed_run=crashed_run
                ) from exc
            if not checker.ended:
                raise AttemptBroken(
                    "broken_stream", "stream stopped without an end event"
                )

    async def _relay_events(
        self,
        exchange: Exchange,
        call: Call,
        checker: StreamChecker,
        response: AgentResponse,
        delivery: Delivery,
    ) -> None:
        parser = SseParser()
        async with aclosing(response.http.iter_chunks()) as body_chunks:
            async for body_chunk in body_chunks:
                valid, failure = _check_events(parser, checker, body_chunk)
                response.event_count += len(valid)
                if valid:
                    # Recorded before they are sent, so that no later attempt repeats
                    # events of which the caller may have received a part.
                    for _, text in valid:
                        delivery.record_event(text)
                    # One write for all events of a body chunk: under load a chunk
                    # holds more events, so the cost per event decreases.
                    data = b"".join(format_sse(each) for each, _ in valid)
                    if delivery.started:
                        await exchange.send(data)
                    else:
                        await self._start_response(
                            exchange, call, response, delivery, data
                        )
                if failure is not None:
                    raise failure

    async def _start_response(
        self,
        exchange: Exchange,
        call: Call,
        response: AgentResponse,
        delivery: Delivery,
        data: bytes,
    ) -> None:
        delivery.started = True
        delivery.version = response.reply.weights_version
        first_token_s = trio.current_time() - call.received_at
        request_class = call.request_class.value
        self._dispatcher.metrics.observe_s(
            "foxtail_entry_first_token_seconds",
            first_token_s,
            request_class=request_class,
        )
        fields = response_fields(call, response.reply)
        fields |= {"content-type": EVENT_STREAM, "cache-control": "no-store"}
        await exchange.start_stream(response.http.status, fields, data)

    async def _end_with_error(
        self,
        exchange: Exchange,
        call: Call,
        history: AttemptHistory,
        delivery: Delivery,
    ) -> None:
        message = "the stream could not be completed"
        error = HttpError(502, "stream_broken", message, verdict=Verdict.MAY_HAVE_RUN)
        self._dispatcher.events.emit(
            "stream_broken",
            request_id=call.request_id,
            delivered=delivery.next_id,
            attempts=history.attempt_count,
        )
        data = error.body().decode("utf-8")
        await exchange.send(format_sse(SseEvent(data, event="error")))
        # The HTTP server then closes the connection without ending the response.
        raise error


async def send_response(
    exchange: Exchange, call: Call, response: AgentResponse, body: bytes
) -> None:
    """Send a complete response to the caller."""
    content_type = response.http.headers.get("content-type", "application/octet-stream")
    fields = response_fields(call, response.reply)
    status = response.http.status
    await exchange.respond(status, body, fields, content_type=content_type)


def _outgoing(call: Call, body: bytes) -> OutgoingRequest:
    return OutgoingRequest(
        method=call.method, target=call.target, fields=call.fields, body=body
    )


def _continuation_body(call: Call, delivery: Delivery) -> bytes:
    """Return the request body with the text that the engine must continue, if any."""
    if not delivery.next_id:
        return call.body
    body = msgspec.json.decode(call.body)
    body[RESUME_TEXT_FIELD] = delivery.text()
    return msgspec.json.encode(body)


def _check_events(
    parser: SseParser, checker: StreamChecker, body_chunk: bytes
) -> tuple[list[tuple[SseEvent, str]], SseError | StreamError | None]:
    """Parse and check a chunk of the HTTP body of a stream.

    Returns
    -------
    events : list of (SseEvent, str)
        The valid events to relay, with their texts.
    failure : SseError, StreamError or None
        The error that follows these events.
    """
    valid = []
    try:
        for event in parser.feed(body_chunk):
            if checker.check(event):
                valid.append((event, chunk_text(event.data)))
    except (SseError, StreamError) as exc:
        return valid, exc
    return valid, None


def _check_stream_head(response: AgentResponse, delivery: Delivery) -> None:
    content_type = response.http.headers.get("content-type", "")
    if not content_type.startswith(EVENT_STREAM):
        raise AttemptBroken("malformed_reply", f"not an event stream: {content_type!r}")
    version = response.reply.weights_version
    if delivery.started and version != delivery.version:
        message = f"continued {delivery.version} with {version}"
        raise AttemptBroken("wrong_version", message)
