"""HTTP clients of engines, plain services and the KV-cache store.

Section 3 of the design page specifies the HTTP API of the engine.
"""

from collections.abc import AsyncGenerator, AsyncIterator, Mapping, Sequence
from contextlib import aclosing, asynccontextmanager
from typing import Any

import msgspec

from foxtailcourse.decoding import decode_whole_number
from foxtailcourse.engine._types import (
    BlockEvent,
    EngineChunk,
    EngineError,
    EngineRequest,
    EngineState,
    EventBatch,
    Order,
    ServiceRequest,
    ServiceResponse,
)
from foxtailcourse.http import (
    ClientError,
    ClientResponse,
    ConnectionPool,
    Framing,
    RequestOptions,
    SseError,
    SseParser,
)
from foxtailcourse.settings import Address

ORDER_TIMEOUT_S = 120.0
STATE_TIMEOUT_S = 5.0
CANCEL_TIMEOUT_S = 2.0
DONE = "[DONE]"


class _Choice(msgspec.Struct):
    delta: dict[str, Any] = {}
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    choices: list[_Choice]
    system_fingerprint: str = ""


_DECODE_CHUNK = msgspec.json.Decoder(_Chunk).decode


class _Event(msgspec.Struct):
    seq: int
    incarnation: str
    kind: str
    keys: list[str]


class _Batch(msgspec.Struct):
    incarnation: str
    events: list[_Event]
    last: int = 0


class HttpEngineStream:
    """A completion in progress, read from an HTTP response.

    Implements :class:`EngineStream`.
    """

    def __init__(self, response: ClientResponse) -> None:
        self._response = response
        self._finished = False
        fields = response.headers
        self.incarnation = fields.get("x-engine-incarnation", "")
        self.weights_version = fields.get("x-weights-version", "")
        self.cached_tokens = (
            decode_whole_number(fields.get("x-cached-tokens", "0")) or 0
        )

    async def batches(self) -> AsyncGenerator[list[EngineChunk], None]:
        """Yield the chunks of each read as one batch.

        Raises
        ------
        EngineError
            After the last valid chunk, if the stream is incomplete or malformed.
        """
        parser = SseParser()
        try:
            async with aclosing(self._response.iter_chunks()) as reads:
                async for data in reads:
                    chunks, error = self._parse(parser, data)
                    if chunks:
                        yield chunks
                    if error is not None:
                        raise error
        except (ClientError, SseError) as exc:
            ended = isinstance(exc, ClientError) and exc.ended
            raise EngineError(f"engine stream failed: {exc}", ended=ended) from exc
        if not self._finished:
            # Without framing, the end of the connection ends the response too.
            ended = self._response.framing is Framing.CLOSE
            raise EngineError("engine stream ended without [DONE]", ended=ended)

    def _parse(
        self, parser: SseParser, data: bytes
    ) -> tuple[list[EngineChunk], SseError | EngineError | None]:
        """Return the chunks that the data completes, and the error that follows."""
        chunks: list[EngineChunk] = []
        try:
            for event in parser.feed(data):
                if event.data == DONE:
                    self._finished = True
                elif self._finished:
                    raise EngineError("engine sent a chunk after [DONE]")
                else:
                    chunks.append(_make_chunk(event.data))
        except (SseError, EngineError) as exc:
            return chunks, exc
        return chunks, None


def _make_chunk(data: str) -> EngineChunk:
    try:
        chunk = _DECODE_CHUNK(data)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise EngineError(f"engine chunk is malformed: {exc}") from exc
    choice = chunk.choices[0] if chunk.choices else _Choice()
    return EngineChunk(
        data=data,
        text=str(choice.delta.get("content") or ""),
        finish_reason=choice.finish_reason or "",
        weights_version=chunk.system_fingerprint,
    )


class HttpEngineClient:
    """Client of the engine at one address.

    Parameters
    ----------
    address : Address
        Address that the engine listens on.
    idle_timeout_s : float
        Longest wait for the next data of a stream, in seconds.
    """

    def __init__(self, address: Address, idle_timeout_s: float = 60.0) -> None:
        self._address = address
        self._idle_timeout_s = idle_timeout_s
        self._pool = ConnectionPool()

    @asynccontextmanager
    async def chat(self, request: EngineRequest) -> AsyncIterator[HttpEngineStream]:
        """Start a completion; raises EngineError or ClientError."""
        fields = {
            "content-type": "application/json",
            "x-request-id": request.request_id,
            "x-cache-salt": request.cache_salt,
            "x-block-keys": b"".join(request.block_keys).hex(),
            "x-priority": str(request.priority),
            "x-resume-from": str(request.resume_from),
        }
        async with self._pool.request(
            self._address,
            "POST",
            "/v1/chat/completions",
            headers=fields,
            body=msgspec.json.encode(dict(request.body) | {"stream": True}),
            options=RequestOptions(
                idle_timeout_s=self._idle_timeout_s, reuse=False, keep_alive=False
            ),
        ) as response:
            if response.status != 200:
                raise await _status_error(response)
            yield HttpEngineStream(response)

    async def cancel(self, request_id: str) -> None:
        """Cancel a completion; raises EngineError or ClientError."""
        body = {"request_id": request_id}
        await self._request_json("POST", "/cancel", CANCEL_TIMEOUT_S, body)

    async def poll_events(
        self, after: int, incarnation: str, wait_s: float
    ) -> EventBatch:
        """Return the cache events after a sequence number.

        Waits up to ``wait_s`` seconds for the first one. Raises EngineError or
        ClientError.
        """
        target = f"/events?after={after}&wait_ms={int(wait_s * 1000)}"
        if incarnation:
            target += f"&incarnation={incarnation}"
        value = await self._request_json("GET", target, wait_s + STATE_TIMEOUT_S)
        try:
            batch = msgspec.convert(value, _Batch)
            events = tuple(
                BlockEvent(
                    seq=event.seq,
                    incarnation=event.incarnation,
                    stored=event.kind == "stored",
                    keys=tuple(bytes.fromhex(key) for key in event.keys),
                )
                for event in batch.events
            )
        except (msgspec.ValidationError, ValueError) as exc:
            raise EngineError(f"engine events are malformed: {exc}") from exc
        return EventBatch(
            incarnation=batch.incarnation, events=events, last_seq=batch.last
        )

    async def state(self) -> EngineState:
        """Return the engine's reported state; raises EngineError or ClientError."""
        value = await self._request_json("GET", "/load", STATE_TIMEOUT_S)
        try:
            return msgspec.convert(value, EngineState)
        except msgspec.ValidationError as exc:
            raise EngineError(f"engine state is malformed: {exc}") from exc

    async def send_order(self, order: Order) -> Mapping[str, Any]:
        """Send an order and return the engine's response.

        Raises EngineError if the order is rejected, ClientError if the call fails.
        """
        body = dict(order.arguments) | {"kind": order.kind}
        if order.fencing is not None:
            body["fencing"] = order.fencing
        value = await self._request_json("POST", "/orders", ORDER_TIMEOUT_S, body)
        if not isinstance(value, dict):
            raise EngineError("engine response to an order is not a JSON object")
        return value

    async def _request_json(
        self, method: str, target: str, timeout_s: float, body: object = None
    ) -> object:
        data = b"" if body is None else msgspec.json.encode(body)
        # On a connection in use again, a late copy of the previous response would be
        # taken for this one. Of the GET calls, the next one corrects it.
        reuse = method == "GET"
        options = RequestOptions(
            idle_timeout_s=timeout_s, reuse=reuse, keep_alive=reuse
        )
        async with self._pool.request(
            self._address, method, target, body=data, options=options
        ) as response:
            if response.status != 200:
                raise await _status_error(response)
            return await response.json()

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()


async def _status_error(response: ClientResponse) -> EngineError:
    body = (await response.read())[:200].decode("utf-8", "replace")
    return EngineError(
        f"engine returned status {response.status}: {body}", response.status
    )


class HttpServiceClient:
    """Client of the plain service at one address.

    Parameters
    ----------
    address : Address
        Address that the service listens on.
    max_body_bytes : int
        Largest response body that is read.
    """

    def __init__(self, address: Address, max_body_bytes: int) -> None:
        self._address = address
        self._max_body_bytes = max_body_bytes
        self._pool = ConnectionPool()

    async def call(self, request: ServiceRequest) -> ServiceResponse:
        """Make one call on a new connection.

        Raises
        ------
        ClientError
            With the verdict whether the service may have run the call.
        """
        options = RequestOptions(
            idle_timeout_s=request.timeout_s,
            reuse=False,
            max_body_bytes=self._max_body_bytes,
        )
        fields = dict(request.headers) | {"connection": "close"}
        async with self._pool.request(
            self._address,
            request.method,
            request.target,
            headers=fields,
            body=request.body,
            options=options,
        ) as response:
            body = await response.read()
        content_type = response.headers.get("content-type", "application/json")
        return ServiceResponse(
            status=response.status, content_type=content_type, body=body
        )


class HttpKvStoreClient:
    """Client of the KV-cache store at one address.

    Parameters
    ----------
    address : Address
        Address that the store listens on.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self._pool = ConnectionPool()

    async def count_stored_blocks(self, salt: str, keys: Sequence[bytes]) -> int:
        """Return how many of the leading blocks are in the store.

        Raises
        ------
        ClientError
            If the call fails.
        EngineError
            If the response is an error or has no count.
        """
        body = {"salt": salt, "keys": [key.hex() for key in keys]}
        options = RequestOptions(idle_timeout_s=STATE_TIMEOUT_S)
        data = msgspec.json.encode(body)
        async with self._pool.request(
            self._address, "POST", "/held", body=data, options=options
        ) as response:
            if response.status != 200:
                raise await _status_error(response)
            value = await response.json()
        count = value.get("held") if isinstance(value, dict) else None
        if not isinstance(count, int):
            raise EngineError("response of the store has no count of blocks")
        return count
