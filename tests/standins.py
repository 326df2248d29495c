"""Helpers that run an agent and stand-ins of its engine or service in the test."""

import hashlib
import time

import attrs
import msgspec
import trio

from foxtailcourse.agent import Agent, AgentSettings
from foxtailcourse.config import ConfigStore, Record
from foxtailcourse.http import ConnectionPool, RequestOptions, SseParser
from foxtailcourse.observe import EventLog, HybridClock, Metrics
from foxtailcourse.protocol import Attempt, RequestClass
from foxtailcourse.settings import Address
from foxtailcourse.standin import (
    EngineOptions,
    EngineStandin,
    ServiceOptions,
    ServiceStandin,
    serve_handler,
)

LOOPBACK = Address("127.0.0.1", 0)
MESSAGES = [{"role": "user", "content": "Where is the cloakroom? " * 8}]


def make_record(key, generation=1, **body):
    return Record(key=key, generation=generation, write_id="w", body=body)


def make_attempt(attempt_id="a1", **changes):
    values = {
        "request_id": f"r-{attempt_id}",
        "attempt_id": attempt_id,
        "client_account": "teatro",
        "request_class": RequestClass.SHORT,
        "deadline_ms": 20_000,
        "prompt_tokens": 50,
        "max_tokens": 16,
    }
    return Attempt(**(values | changes))


@attrs.define
class Response:
    """A complete HTTP response."""

    status: int
    headers: dict
    body: bytes

    def json(self):
        return msgspec.json.decode(self.body)

    def events(self):
        """Return the server-sent events of the body."""
        parser = SseParser()
        return list(parser.feed(self.body))

    def text(self):
        """Return the text generated in a stream, from its events that have an id."""
        chunks = [msgspec.json.decode(e.data) for e in self.events() if e.id]
        return "".join(c["choices"][0]["delta"]["content"] for c in chunks)


async def call(address, method, target, headers=None, body=b"", timeout_s=30.0):
    """Send one request on a new connection; return the response."""
    options = RequestOptions(idle_timeout_s=timeout_s, reuse=False)
    pool = ConnectionPool()
    async with pool.request(
        address, method, target, headers=headers, body=body, options=options
    ) as response:
        complete = Response(response.status, response.headers, await response.read())
    await pool.aclose()
    return complete


async def chat(address, attempt=None, *, stream=True, max_tokens=16, messages=MESSAGES):
    """Send one chat request to an agent, as an entry does."""
    body = {"messages": messages, "stream": stream, "max_tokens": max_tokens}
    attempt = attempt or make_attempt(max_tokens=max_tokens)
    data = msgspec.json.encode(body)
    path = "/v1/chat/completions"
    return await call(address, "POST", path, attempt.to_headers(), data)


async def wait_until(condition):
    """Poll until a condition holds; the timeout of the test case ends a hang."""
    while not condition():
        await trio.sleep(0.002)


def make_agent(backend, kind="engine", vm="palermo-1", store=None, **settings):
    serves = "assistant" if kind == "engine" else "counter"
    values = {"listen": LOOPBACK, "backend": backend, "serves": serves, "kind": kind}
    cfg = AgentSettings(**(values | {"load_poll_s": 0.02} | settings))
    events = EventLog(f"agent/{vm}", HybridClock(time.time))
    return Agent(vm, cfg, events, Metrics(), store or ConfigStore())


async def start_agent(nursery, agent):
    """Start an agent; return its address."""
    return Address("127.0.0.1", await nursery.start(agent.run))


async def start_engine(nursery, **options):
    """Start an engine stand-in; return it and its address."""
    engine = EngineStandin(EngineOptions(model="assistant", **options))
    return engine, await nursery.start(serve_handler, engine.handle)


async def start_service(nursery, **options):
    """Start a service stand-in; return it and its address."""
    service = ServiceStandin(ServiceOptions(**options))
    return service, await nursery.start(serve_handler, service.handle)


def chain_keys(account, blocks, version="v1"):
    """Return chained block keys for a client account and a weights version."""
    key = hashlib.blake2b(f"{account}|{version}".encode(), digest_size=16).digest()
    keys = []
    for block in range(blocks):
        data = key + block.to_bytes(4, "big")
        key = hashlib.blake2b(data, digest_size=16).digest()
        keys.append(key)
    return tuple(keys)


async def start_truncating_proxy(nursery, backend):
    """Start a proxy that truncates each response after ``proxy.limit`` bytes."""
    proxy = TruncatingProxy(backend)
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    nursery.start_soon(trio.serve_listeners, proxy.serve, listeners)
    return proxy, Address("127.0.0.1", port)


class TruncatingProxy:
    """TCP proxy that closes a connection after ``limit`` bytes of the response."""

    def __init__(self, backend):
        self.backend = backend
        self.limit = None

    async def serve(self, stream):
        async with stream:
            remaining_bytes = self.limit
            backend = await trio.open_tcp_stream(self.backend.host, self.backend.port)
            async with backend, trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, stream, backend)
                try:
                    async for chunk in backend:
                        await stream.send_all(chunk[:remaining_bytes])
                        if remaining_bytes is not None:
                            remaining_bytes -= len(chunk)
                            if remaining_bytes <= 0:
                                break
                except trio.BrokenResourceError:
                    pass
                nursery.cancel_scope.cancel()

    async def _copy(self, source, target):
        try:
            async for chunk in source:
                await target.send_all(chunk)
            await target.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
