"""An agent and its stand-ins in one process, for tests."""

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
class Answer:
    status: int
    headers: dict
    body: bytes

    def json(self):
        return msgspec.json.decode(self.body)

    def events(self):
        parser = SseParser()
        return list(parser.feed(self.body))

    def text(self):
        """Return the text of a stream's numbered events."""
        chunks = [msgspec.json.decode(e.data) for e in self.events() if e.id]
        return "".join(c["choices"][0]["delta"]["content"] for c in chunks)


async def call(address, method, target, headers=None, body=b"", timeout_s=30.0):
    """Make one request on a fresh connection."""
    options = RequestOptions(idle_timeout_s=timeout_s, reuse=False)
    pool = ConnectionPool()
    async with pool.request(
        address, method, target, headers=headers, body=body, options=options
    ) as response:
        answer = Answer(response.status, response.headers, await response.read())
    await pool.aclose()
    return answer


async def chat(address, attempt=None, *, stream=True, max_tokens=16, messages=MESSAGES):
    """Make one chat request of an entry to an agent."""
    body = {"messages": messages, "stream": stream, "max_tokens": max_tokens}
    attempt = attempt or make_attempt(max_tokens=max_tokens)
    data = msgspec.json.encode(body)
    path = "/v1/chat/completions"
    return await call(address, "POST", path, attempt.to_headers(), data)


async def wait_until(condition):
    """Wait until a condition holds; the test case's limit ends a hang."""
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
    """Return chained block keys bound to an account and a weights version."""
    key = hashlib.blake2b(f"{account}|{version}".encode(), digest_size=16).digest()
    keys = []
    for block in range(blocks):
        data = key + block.to_bytes(4, "big")
        key = hashlib.blake2b(data, digest_size=16).digest()
        keys.append(key)
    return tuple(keys)


async def start_truncating_proxy(nursery, backend):
    """Start a proxy that cuts each response after ``proxy.limit`` bytes."""
    proxy = TruncatingProxy(backend)
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    nursery.start_soon(trio.serve_listeners, proxy.serve, listeners)
    return proxy, Address("127.0.0.1", port)


class TruncatingProxy:
    def __init__(self, backend):
        self.backend = backend
        self.limit = None

    async def serve(self, stream):
        async with stream:
            left = self.limit
            backend = await trio.open_tcp_stream(self.backend.host, self.backend.port)
            async with backend, trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, stream, backend)
                try:
                    async for piece in backend:
                        await stream.send_all(piece[:left])
                        if left is not None:
                            left -= len(piece)
                            if left <= 0:
                                break
                except trio.BrokenResourceError:
                    pass
                nursery.cancel_scope.cancel()

    async def _copy(self, source, target):
        try:
            async for piece in source:
                await target.send_all(piece)
            await target.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
