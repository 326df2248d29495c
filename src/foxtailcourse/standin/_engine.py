"""Stand-in of an inference engine with a prefix cache."""

import secrets
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager
from typing import Any

import attrs
import msgspec
import trio

from foxtailcourse.http import ConnectionPool, Exchange, HttpError, SseEvent, format_sse
from foxtailcourse.settings import Address
from foxtailcourse.standin._block_cache import BlockCache, EventFeed
from foxtailcourse.standin._engine_orders import OrderBook
from foxtailcourse.standin._generated_text import (
    count_tokens,
    max_tokens,
    prompt_text,
    token_text,
)
from foxtailcourse.standin._slots import PrioritySlots

MAX_EVENT_WAIT_S = 10.0
BLOCK_KEY_BYTES = 16


@attrs.define(kw_only=True)
class EngineOptions:
    """Behaviour of one engine stand-in.

    Parameters
    ----------
    model, version : str
        Name and weights version of the loaded model.
    slots : int
        Largest number of requests in the batch.
    cache_blocks : int
        Capacity of the block cache, in blocks.
    block_tokens : int
        Tokens in one block.
    prefill_s_per_token, decode_s_per_token : float
        Time for each uncached prompt token and each generated token, in seconds.
    event_delay_s : float
        Time from a change of the cache until readers see its event, in seconds.
    load_lag_s : float
        Time for which a load report is reused, in seconds.
    late_events : bool
        Whether events of the former incarnation are delivered after a crash.
    checks_fencing : bool
        Whether orders with an old fencing token are rejected.
    kv_store, weight_store : Address or None
        Addresses of the external stores for KV-cache blocks and for weights.
    deadly_text : str
        Text in the prompts under which the engine crashes; empty for none.
    deadly_at : int
        Number of tokens of such a request that are sent before.
    """

    model: str
    version: str = "v1"
    slots: int = 8
    cache_blocks: int = 1000
    block_tokens: int = 16
    prefill_s_per_token: float = 20e-6
    decode_s_per_token: float = 0.002
    event_delay_s: float = 0.0
    load_lag_s: float = 0.0
    late_events: bool = False
    checks_fencing: bool = True
    kv_store: Address | None = None
    weight_store: Address | None = None
    deadly_text: str = ""
    deadly_at: int = 0


@attrs.define
class _LoadReport:
    created_at: float
    running: int
    waiting: int


class EngineStandin:
    """Simulates an engine whose output depends only on prompt, position and version.

    Attributes
    ----------
    version : str
        Weights version served.
    role : str
        Role that the load report contains.
    adapters : set of str
        Names of the loaded adapters.
    incarnation : str
        Identifier that changes with each crash and each replacement of the weights.
    down : bool
        Whether all connections are aborted.
    completed, cancelled : int
        Number of chat requests by outcome.
    crashes : int
        Number of crashes.
    prefilled_tokens, cached_tokens : int
        Prompt tokens computed, and those found in the cache, over all requests.
    cache : BlockCache
        Blocks of the prefix cache.
    feed : EventFeed
        Events of the changes of the cache.
    orders : OrderBook
        Executes the received orders.
    """

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.version = options.version
        self.role = "mixed"
        self.adapters: set[str] = set()
        self.incarnation = secrets.token_hex(6)
        self.down = False
        self.completed = 0
        self.crashes = 0
        self.cancelled = 0
        self.prefilled_tokens = 0
        self.cached_tokens = 0
        self.cache = BlockCache(options.cache_blocks)
        self.feed = EventFeed(options.event_delay_s)
        self.pool = ConnectionPool()
        self.orders = OrderBook(self)
        self._slots = PrioritySlots(options.slots)
        self._prefill_lock = trio.Lock()
        # Cancel scopes of the queued and running chat requests by request identifier.
        self._cancel_scopes: dict[str, set[trio.CancelScope]] = {}
        self._load_report = _LoadReport(0.0, 0, 0)

    @property
    def busy(self) -> bool:
        """Whether any chat request is queued or running."""
        return bool(self._cancel_scopes)

    def crash(self, *, down: bool = False) -> None:
        """Abort all streams and restart with an empty cache and a new incarnation.

        Parameters
        ----------
        down : bool
            Whether to abort all connections until :meth:`recover`.
        """
        self.down = down
        self.crashes += 1
        self.incarnation = secrets.token_hex(6)
        self.adapters.clear()
        self.cache.clear()
        self.feed.restart(self.options.late_events)
        self.orders.reset_fencing()
        for scopes in list(self._cancel_scopes.values()):
            for scope in list(scopes):
                scope.cancel()

    def recover(self) -> None:
        """Accept connections again after a crash with ``down``."""
        self.down = False

    def replace_weights(self, version: str) -> None:
        """Serve another version from the next token on.

        Clears the cache and the adapters, and starts a new incarnation.
        """
        self.version = version
        self.adapters.clear()
        self.cache.clear()
        self.incarnation = secrets.token_hex(6)
        self.feed.restart(False)

    def store_blocks(self, salt: str, keys: Sequence[bytes]) -> None:
        """Store blocks in the cache and publish the resulting cache events."""
        new, evicted = self.cache.store(salt, keys)
        if new:
            self.feed.publish(self.incarnation, "stored", new)
        if evicted:
            self.feed.publish(self.incarnation, "evicted", evicted)

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request of the engine's HTTP API."""
        if self.down:
            exchange.abort()
            return
        handlers = {
            ("POST", "/v1/chat/completions"): self._chat,
            ("POST", "/cancel"): self._cancel,
            ("GET", "/events"): self._read_events,
            ("GET", "/load"): self._report_load,
            ("POST", "/orders"): self._execute_order,
            ("POST", "/standin"): self._inject_failure,
        }
        handler = handlers.get((exchange.method, exchange.path))
        if handler is None:
            raise HttpError(404, "unknown_path", f"unknown path {exchange.path}")
        await handler(exchange)

    async def _chat(self, exchange: Exchange) -> None:
        body = _json_object(exchange)
        keys = decode_keys(exchange.headers.get("x-block-keys", ""))
        salt = exchange.headers.get("x-cache-salt", "")
        priority = int(exchange.headers.get("x-priority", "0"))
        async with self._cancellable(exchange), self._slots.hold(priority):
            prompt = prompt_text(body.get("messages"))
            cached = await self._prefill(salt, keys, prompt)
            headers = {
                "x-engine-incarnation": self.incarnation,
                "x-weights-version": self.version,
                "x-cached-tokens": str(cached),
            }
            await self._generate(exchange, body, prompt, headers)
            self.completed += 1

    @asynccontextmanager
    async def _cancellable(self, exchange: Exchange) -> AsyncIterator[None]:
        request_id = exchange.headers.get("x-request-id", "")
        scope = trio.CancelScope()
        self._cancel_scopes.setdefault(request_id, set()).add(scope)
        try:
            with scope:
                yield
        finally:
            self._cancel_scopes[request_id].discard(scope)
            if not self._cancel_scopes[request_id]:
                del self._cancel_scopes[request_id]
        if scope.cancelled_caught:
            self.cancelled += 1
            exchange.abort()

    async def _prefill(self, salt: str, keys: Sequence[bytes], prompt: str) -> int:
        """Prefill the uncached tokens; return the number of cached tokens."""
        async with self._prefill_lock:
            tokens = count_tokens(prompt)
            cached = self.cache.match(salt, keys) * self.options.block_tokens
            cached = min(cached, tokens)
            self.cached_tokens += cached
            self.prefilled_tokens += tokens - cached
            await trio.sleep((tokens - cached) * self.options.prefill_s_per_token)
            self.store_blocks(salt, keys)
        return cached

    async def _generate(
        self,
        exchange: Exchange,
        body: Mapping[str, Any],
        prompt: str,
        headers: Mapping[str, str],
    ) -> None:
        start = int(exchange.headers.get("x-resume-from", "0"))
        end = max_tokens(body)
        if not body.get("stream"):
            await trio.sleep(max(0, end - start) * self.options.decode_s_per_token)
            texts = [token_text(prompt, i, self.version) for i in range(start, end)]
            message = {"role": "assistant", "content": "".join(texts)}
            choice = {"index": 0, "message": message, "finish_reason": "length"}
            await exchange.respond_json(200, self._completion("", choice), headers)
            return
        stream_headers = dict(headers) | {"content-type": "text/event-stream"}
        await exchange.start_stream(200, stream_headers)
        deadly_text = self.options.deadly_text
        deadly_at = start + self.options.deadly_at
        for position in range(start, end):
            if deadly_text and deadly_text in prompt and position == deadly_at:
                self.crash()
            await trio.sleep(self.options.decode_s_per_token)
            delta = {"content": token_text(prompt, position, self.version)}
            reason = "length" if position == end - 1 else None
            choice = {"index": 0, "delta": delta, "finish_reason": reason}
            data = msgspec.json.encode(self._completion(".chunk", choice)).decode()
            await exchange.send(format_sse(SseEvent(data)))
        await exchange.send(format_sse(SseEvent("[DONE]")))
        await exchange.end_stream()

    def _completion(self, suffix: str, choice: Mapping[str, Any]) -> dict[str, Any]:
        return {
            "object": f"chat.completion{suffix}",
            "model": self.options.model,
            "system_fingerprint": self.version,
            "choices": [choice],
        }

    async def _cancel(self, exchange: Exchange) -> None:
        request_id = str(_json_object(exchange).get("request_id", ""))
        scopes = list(self._cancel_scopes.get(request_id, ()))
        for scope in scopes:
            scope.cancel()
        await exchange.respond_json(200, {"cancelled": len(scopes)})

    async def _read_events(self, exchange: Exchange) -> None:
        after = int(exchange.query.get("after", "0"))
        if exchange.query.get("incarnation", self.incarnation) != self.incarnation:
            after = 0
        wait_s = int(exchange.query.get("wait_ms", "10000")) / 1000
        events = await self.feed.read(after, min(wait_s, MAX_EVENT_WAIT_S))
        value = {
            "incarnation": self.incarnation,
            "weights_version": self.version,
            "events": [each.as_json() for each in events],
            "last": self.feed.last_visible_seq,
        }
        await exchange.respond_json(200, value)

    async def _report_load(self, exchange: Exchange) -> None:
        now = trio.current_time()
        if now - self._load_report.created_at >= self.options.load_lag_s:
            self._load_report = _LoadReport(
                now, self._slots.running, self._slots.waiting
            )
        value = {
            "incarnation": self.incarnation,
            "weights_version": self.version,
            "model": self.options.model,
            "role": self.role,
            "adapters": sorted(self.adapters),
            "running": self._load_report.running,
            "waiting": self._load_report.waiting,
            "cached_blocks": len(self.cache),
        }
        await exchange.respond_json(200, value)

    async def _execute_order(self, exchange: Exchange) -> None:
        if self.orders.lose_orders:
            self.orders.lose_orders -= 1
            exchange.abort()
            return
        result = await self.orders.execute(_json_object(exchange))
        if self.orders.lose_replies:
            self.orders.lose_replies -= 1
            exchange.abort()
            return
        await exchange.respond_json(200, result)

    async def _inject_failure(self, exchange: Exchange) -> None:
        """Inject a crash, dropped cache events or an unannounced weights change."""
        body = _json_object(exchange)
        if "lose_events" in body:
            self.feed.events_to_lose = int(body["lose_events"])
        if "replace_weights" in body:
            self.replace_weights(str(body["replace_weights"]))
        await exchange.respond_json(200, {"incarnation": self.incarnation})
        if body.get("crash"):
            self.crash()


def _json_object(exchange: Exchange) -> Mapping[str, Any]:
    value = exchange.json()
    if not isinstance(value, dict):
        raise HttpError(400, "malformed_body", "request body is not a JSON object")
    return value


def decode_keys(text: str) -> list[bytes]:
    """Return the block keys in a header value of concatenated hex keys."""
    raw = bytes.fromhex(text)
    starts = range(0, len(raw), BLOCK_KEY_BYTES)
    return [raw[start : start + BLOCK_KEY_BYTES] for start in starts]
