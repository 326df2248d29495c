"""Adapters over HTTP, for the API that section 3 of the design page lists."""

from collections.abc import AsyncGenerator, AsyncIterator, Mapping, Sequence
from contextlib import aclosing, asynccontextmanager
from typing import Any

import msgspec

from foxtailcourse.engine._types import (
    BlockEvent,
    EngineError,
    EngineRequest,
    EngineState,
    EngineToken,
    EventBatch,
    Order,
    ServiceRequest,
    ServiceResponse,
)
from foxtailcourse.http import (
    ClientError,
    ClientResponse,
    ConnectionPool,
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
    """A running completion read from an HTTP response."""

    def __init__(self, response: ClientResponse) -> None:
        self._response = response
        self._finished = False
        fields = response.headers
        self.incarnation = fields.get("x-engine-incarnation", "")
        self.weights_version = fields.get("x-weights-version", "")
        cached = fields.get("x-cached-tokens", "0")
        self.cached_tokens = int(cached) if cached.isascii() and cached.isdigit() else 0

    async def batches(self) -> AsyncGenerator[list[EngineToken], None]:
        """Yield the chunks of each piece; raises EngineError unless it ends cleanly."""
        parser = SseParser()
        try:
            async with aclosing(self._response.iter_chunks()) as pieces:
                async for piece in pieces:
                    good, failure = self._take(parser, piece)
                    if good:
                        yield good
                    if failure is not None:
                        raise failure
        except (ClientError, SseError) as exc:
            raise EngineError(f"engine stream broke: {exc}") from exc
        if not self._finished:
            raise EngineError("engine stream ended without [DONE]")

    def _take(
        self, parser: SseParser, piece: bytes
    ) -> tuple[list[EngineToken], SseError | EngineError | None]:
        """Return the chunks that a piece completes, and what is wrong after them."""
        good: list[EngineToken] = []
        try:
            for event in parser.feed(piece):
                if event.data == DONE:
                    self._finished = True
                elif self._finished:
                    raise EngineError("engine sent a chunk after the end")
                else:
                    good.append(_token(event.data))
        except (SseError, EngineError) as exc:
            return good, exc
        return good, None


def _token(data: str) -> EngineToken:
    try:
        chunk = _DECODE_CHUNK(data)
    except msgspec.DecodeError as exc:
        raise EngineError(f"engine chunk is malformed: {exc}") from exc
    choice = chunk.choices[0] if chunk.choices else _Choice()
    return EngineToken(
        data=data,
        text=str(choice.delta.get("content") or ""),
        finish_reason=choice.finish_reason or "",
        weights_version=chunk.system_fingerprint,
    )


class HttpEngineClient:
    """Adapter to an engine at one address.

    Parameters
    ----------
    address : Address
        Where the engine listens.
    idle_timeout_s : float
        Longest wait for the next chunk of a stream.
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
            options=RequestOptions(idle_timeout_s=self._idle_timeout_s),
        ) as response:
            if response.status != 200:
                raise await _error(response)
            yield HttpEngineStream(response)

    async def cancel(self, request_id: str) -> None:
        """End a completion that nobody reads any more."""
        body = {"request_id": request_id}
        await self._json("POST", "/cancel", CANCEL_TIMEOUT_S, body)

    async def events(self, after: int, incarnation: str, wait_s: float) -> EventBatch:
        """Return the cache events after a number, waiting for the first."""
        target = f"/events?after={after}&wait_ms={int(wait_s * 1000)}"
        if incarnation:
            target += f"&incarnation={incarnation}"
        value = await self._json("GET", target, wait_s + STATE_TIMEOUT_S)
        try:
            batch = msgspec.convert(value, _Batch)
            events = tuple(
                BlockEvent(
                    seq=each.seq,
                    incarnation=each.incarnation,
                    stored=each.kind == "stored",
                    keys=tuple(bytes.fromhex(key) for key in each.keys),
                )
                for each in batch.events
            )
        except (msgspec.ValidationError, ValueError) as exc:
            raise EngineError(f"engine events are malformed: {exc}") from exc
        return EventBatch(incarnation=batch.incarnation, events=events, last=batch.last)

    async def state(self) -> EngineState:
        """Return what the engine reports about itself."""
        value = await self._json("GET", "/load", STATE_TIMEOUT_S)
        try:
            return msgspec.convert(value, EngineState)
        except msgspec.ValidationError as exc:
            raise EngineError(f"engine load report is malformed: {exc}") from exc

    async def send_order(self, order: Order) -> Mapping[str, Any]:
        """Send an order; raises EngineError if it is rejected."""
        body = dict(order.arguments) | {"kind": order.kind}
        if order.fencing is not None:
            body["fencing"] = order.fencing
        value = await self._json("POST", "/orders", ORDER_TIMEOUT_S, body)
        if not isinstance(value, dict):
            raise EngineError("engine answered an order with no object")
        return value

    async def _json(
        self, method: str, target: str, timeout_s: float, body: object = None
    ) -> object:
        data = b"" if body is None else msgspec.json.encode(body)
        options = RequestOptions(idle_timeout_s=timeout_s)
        async with self._pool.request(
            self._address, method, target, body=data, options=options
        ) as response:
            if response.status != 200:
                raise await _error(response)
            return await response.json()

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()


async def _error(response: ClientResponse) -> EngineError:
    body = (await response.read())[:200].decode("utf-8", "replace")
    return EngineError(f"engine answered {response.status}: {body}", response.status)


class HttpServiceClient:
    """Adapter to a plain service at one address."""

    def __init__(self, address: Address, max_body_bytes: int) -> None:
        self._address = address
        self._max_body_bytes = max_body_bytes
        self._pool = ConnectionPool()

    async def call(self, request: ServiceRequest) -> ServiceResponse:
        """Make one call on a fresh connection; raises ClientError with its verdict."""
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
    """Adapter to a KV-cache store at one address."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._pool = ConnectionPool()

    async def held(self, salt: str, keys: Sequence[bytes]) -> int:
        """Return the number of leading blocks that the store holds."""
        body = {"salt": salt, "keys": [key.hex() for key in keys]}
        options = RequestOptions(idle_timeout_s=STATE_TIMEOUT_S)
        data = msgspec.json.encode(body)
        async with self._pool.request(
            self._address, "POST", "/held", body=data, options=options
        ) as response:
            value = await response.json()
        held = value.get("held") if isinstance(value, dict) else None
        return held if isinstance(held, int) else 0
