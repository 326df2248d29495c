"""Answers to callers: whole ones and streams."""

from contextlib import aclosing

import msgspec
import trio

from foxtailcourse.entry._agent_client import (
    Answer,
    AttemptBroken,
    AttemptError,
    Outgoing,
)
from foxtailcourse.entry._attempt_history import Target, Tries
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

RESUME_TEXT = "foxtail_resume_text"
EVENT_STREAM = "text/event-stream"
DONE = b"data: [DONE]\n\n"


def answer_fields(call: Call, reply: Reply) -> dict[str, str]:
    """Return the response header fields for a caller."""
    return {
        headers.VERDICT: reply.verdict.value,
        headers.REQUEST_ID: call.request_id,
        headers.BACKEND_SERVER: reply.backend_server,
        headers.CACHED_TOKENS: str(reply.cached_tokens),
    }


class Relay:
    """Relays the answers of agents to callers.

    Parameters
    ----------
    dispatcher : Dispatcher
        Makes the attempts.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self._cfg = dispatcher.cfg

    async def whole(self, exchange: Exchange, call: Call) -> None:
        """Answer a repeatable request whose answer is not streamed.

        Raises
        ------
        HttpError
            If no attempt delivered a whole answer.
        """
        answer, body = await self.fetch(call)
        await respond_whole(exchange, call, answer, body)

    async def fetch(self, call: Call) -> tuple[Answer, bytes]:
        """Return a whole answer to a repeatable request; raises HttpError."""
        tries = Tries()
        outgoing = _outgoing(call, call.body)
        options = RequestOptions(
            connect_timeout_s=self._cfg.connect_timeout_s,
            idle_timeout_s=self._cfg.stream_idle_timeout_s,
            head_timeout_s=call.answer_timeout_s,
        )
        while (target := self._dispatcher.next_target(call, tries)) is not None:
            try:
                async with self._dispatcher.attempt(
                    call, target, outgoing, options
                ) as (_, answer):
                    body = await answer.response.read()
            except AttemptError as exc:
                if not self._dispatcher.note_failure(call, tries, target, exc):
                    break
                continue
            return answer, body
        raise tries.error()

    async def stream(self, exchange: Exchange, call: Call) -> None:
        """Answer a chat request with a stream.

        Raises
        ------
        HttpError
            If no attempt delivered a first event. A stream that has begun and can't
            be completed ends with an error event and without a clean end.
        """
        tries, delivery = Tries(), Delivery()
        while True:
            version = delivery.version if delivery.started else None
            target = self._dispatcher.next_target(call, tries, version)
            if target is None:
                break
            try:
                await self._stream_once(exchange, call, target, delivery)
            except AttemptError as exc:
                if not self._dispatcher.note_failure(call, tries, target, exc):
                    break
                continue
            await exchange.end_stream(DONE)
            return
        if not delivery.started:
            raise tries.error()
        await self._end_broken(exchange, call, tries, delivery)

    async def _stream_once(
        self,
        exchange: Exchange,
        call: Call,
        target: Target,
        delivery: Delivery,
    ) -> None:
        options = RequestOptions(
            connect_timeout_s=self._cfg.connect_timeout_s,
            idle_timeout_s=self._cfg.stream_idle_timeout_s,
            head_timeout_s=self._dispatcher.head_wait_s(call),
        )
        outgoing = _outgoing(call, _resumed_body(call, delivery))
        async with self._dispatcher.attempt(
            call, target, outgoing, options, resume_from=delivery.next_id
        ) as (attempt, answer):
            _check_stream_head(answer, delivery)
            checker = StreamChecker(attempt.attempt_id, delivery.next_id)
            try:
                await self._relay_events(exchange, call, checker, answer, delivery)
            except (SseError, StreamError) as exc:
                raise AttemptBroken("broken_stream", str(exc)) from exc
            if not checker.ended:
                raise AttemptBroken("broken_stream", "stream stopped without an end")

    async def _relay_events(
        self,
        exchange: Exchange,
        call: Call,
        checker: StreamChecker,
        answer: Answer,
        delivery: Delivery,
    ) -> None:
        parser = SseParser()
        async with aclosing(answer.response.iter_chunks()) as pieces:
            async for piece in pieces:
                good, failure = _checked_events(parser, checker, piece)
                if good:
                    # Counted before they are sent, so that no later attempt can send
                    # them a second time to a caller that got a part of them.
                    for _, text in good:
                        delivery.deliver(text)
                    # One write for all events of a piece: a loaded entry reads more
                    # events at once and then spends less on each.
                    data = b"".join(format_sse(each) for each, _ in good)
                    if delivery.started:
                        await exchange.send(data)
                    else:
                        await self._start(exchange, call, answer, delivery, data)
                if failure is not None:
                    raise failure

    async def _start(
        self,
        exchange: Exchange,
        call: Call,
        answer: Answer,
        delivery: Delivery,
        data: bytes,
    ) -> None:
        delivery.started = True
        delivery.version = answer.reply.weights_version
        first_token_s = trio.current_time() - call.started
        request_class = call.request_class.value
        self._dispatcher.metrics.observe_s(
            "foxtail_entry_first_token_seconds",
            first_token_s,
            request_class=request_class,
        )
        fields = answer_fields(call, answer.reply)
        fields |= {"content-type": EVENT_STREAM, "cache-control": "no-store"}
        await exchange.start_stream(answer.response.status, fields, data)

    async def _end_broken(
        self, exchange: Exchange, call: Call, tries: Tries, delivery: Delivery
    ) -> None:
        message = "the stream could not be completed"
        error = HttpError(502, "stream_broken", message, verdict=Verdict.MAY_HAVE_RUN)
        self._dispatcher.events.emit(
            "stream_broken",
            request_id=call.request_id,
            delivered=delivery.next_id,
            attempts=tries.made,
        )
        data = error.body().decode("utf-8")
        await exchange.send(format_sse(SseEvent(data, event="error")))
        # The server closes the connection without a clean end.
        raise error


async def respond_whole(
    exchange: Exchange, call: Call, answer: Answer, body: bytes
) -> None:
    """Send a whole answer to the caller."""
    kind = answer.response.headers.get("content-type", "application/octet-stream")
    fields = answer_fields(call, answer.reply)
    status = answer.response.status
    await exchange.respond(status, body, fields, content_type=kind)


def _outgoing(call: Call, body: bytes) -> Outgoing:
    return Outgoing(
        method=call.method, target=call.target, fields=call.fields, body=body
    )


def _resumed_body(call: Call, delivery: Delivery) -> bytes:
    if not delivery.next_id:
        return call.body
    body = msgspec.json.decode(call.body)
    body[RESUME_TEXT] = delivery.text()
    return msgspec.json.encode(body)


def _checked_events(
    parser: SseParser, checker: StreamChecker, piece: bytes
) -> tuple[list[tuple[SseEvent, str]], SseError | StreamError | None]:
    """Return the events to relay with their texts, and what is wrong after them."""
    good = []
    try:
        for event in parser.feed(piece):
            if checker.check(event):
                good.append((event, chunk_text(event.data)))
    except (SseError, StreamError) as exc:
        return good, exc
    return good, None


def _check_stream_head(answer: Answer, delivery: Delivery) -> None:
    kind = answer.response.headers.get("content-type", "")
    if not kind.startswith(EVENT_STREAM):
        raise AttemptBroken("malformed_reply", f"not an event stream: {kind!r}")
    version = answer.reply.weights_version
    if delivery.started and version != delivery.version:
        message = f"continues {delivery.version} with {version}"
        raise AttemptBroken("wrong_version", message)
