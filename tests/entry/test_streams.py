import contextlib
import functools
import random

import msgspec
import testtools
import trio
from testtools.matchers import Contains, Equals

from entry_support import FakeAgent, chunk, running_entry, serve_complete
from foxtailcourse.entry import _relay
from foxtailcourse.entry._stream_checker import StreamChecker, StreamError
from foxtailcourse.http import SseEvent, SseParser, format_sse
from support import AsyncTestCase


def events_of(body):
    return list(SseParser().feed(body))


def is_complete(body, count):
    """Return whether a stream has each event once, in order, and a regular end."""
    events = events_of(body)
    expected = [SseEvent(chunk(i), id=str(i)) for i in range(count)]
    return events == [*expected, SseEvent("[DONE]")]


def is_marked_broken(body):
    """Return whether a stream ends with an error event and has no regular end."""
    events = events_of(body)
    return bool(events) and events[-1].event == "error" and b"[DONE]" not in body


def fail_first(fault, *, times=1):
    """Return a script that fails the first attempts, on whichever agent they are."""
    attempted = []

    async def script(agent, exchange, attempt):
        attempted.append(agent.vm)
        if len(attempted) <= times:
            await fault(agent, exchange, attempt)
        else:
            await serve_complete(agent, exchange, attempt)

    return script


async def cut(agent, exchange, attempt):
    await agent.start_stream(exchange, attempt)
    await agent.send_tokens(exchange, range(3))
    exchange.abort()


async def gap(agent, exchange, attempt):
    await agent.start_stream(exchange, attempt)
    await agent.send_tokens(exchange, [0, 1, 3])
    await agent.end_stream(exchange, attempt, 3)


async def duplicate(agent, exchange, attempt):
    await agent.start_stream(exchange, attempt)
    await agent.send_tokens(exchange, [0, 1, 1])
    await agent.end_stream(exchange, attempt, 3)


async def reordered(agent, exchange, attempt):
    await agent.start_stream(exchange, attempt)
    await agent.send_tokens(exchange, [0, 2, 1])
    await agent.end_stream(exchange, attempt, 3)


async def end_of_other_attempt(agent, exchange, attempt):
    await agent.start_stream(exchange, attempt)
    await agent.send_tokens(exchange, range(5))
    await agent.end_stream(exchange, attempt, 5, attempt_id="other")


async def no_end(agent, exchange, attempt):
    await agent.start_stream(exchange, attempt)
    await agent.send_tokens(exchange, range(5))
    await exchange.end_stream()


async def error_event(agent, exchange, attempt):
    await agent.start_stream(exchange, attempt)
    await agent.send_tokens(exchange, range(2))
    await exchange.send(format_sse(SseEvent("{}", event="error")))
    exchange.abort()


async def reply_to_other_attempt(agent, exchange, attempt):
    await agent.start_stream(exchange, attempt, attempt_id="other")
    await agent.send_tokens(exchange, range(5))
    await agent.end_stream(exchange, attempt, 5)


FAULTS = [cut, gap, duplicate, reordered, end_of_other_attempt, no_end, error_event]


class TestStreams(AsyncTestCase):
    """Guards against incomplete or reordered streams without an error.

    These are invariants 2 and 4.
    """

    def stream(self, script, check, n_agents=3, **settings):
        async def main():
            agents = [FakeAgent(f"w{i}", script=script) for i in range(n_agents)]
            async with running_entry(agents, **settings) as entry:
                await check(entry, agents)

        self.run_async(main)

    def test_each_fault_is_hidden_by_a_continuation(self):
        for fault in [*FAULTS, reply_to_other_attempt]:

            async def check(entry, agents, fault=fault):
                status, _, body = await entry.chat(max_tokens=5)
                self.assertThat(status, Equals(200))
                self.assertTrue(is_complete(body, 5), (fault.__name__, body))

            self.stream(fail_first(fault), check)

    def test_stream_that_no_server_completes_is_marked_broken(self):
        for fault in FAULTS:

            async def check(entry, agents, fault=fault):
                body = await read_stream(entry)
                self.assertTrue(is_marked_broken(body), (fault.__name__, body))

            self.stream(fault, check, n_agents=1)

    def test_without_the_checker_faulty_streams_end_regularly(self):
        """Control: without the checker, faulty streams get a regular end."""

        class UncheckedStream(StreamChecker):
            def check(self, event):
                self.ended = True
                return not event.event

        async def check(entry, agents):
            _, _, body = await entry.chat(max_tokens=5)
            self.assertThat(body, Contains(b"[DONE]"))
            self.assertFalse(is_complete(body, 5))

        self.patch(_relay, "StreamChecker", UncheckedStream)
        for fault in (gap, duplicate, reordered):
            self.stream(fail_first(fault), check)

    def test_continuation_carries_the_delivered_text_and_version(self):
        async def check(entry, agents):
            await entry.chat(max_tokens=5)
            attempted_agents = [each for each in agents if each.attempts]
            self.assertThat(len(attempted_agents), Equals(2))
            continuing_agent = next(
                each for each in attempted_agents if each.attempts[0].resume_from == 3
            )
            body = msgspec.json.decode(continuing_agent.bodies[0])
            self.assertThat(body["foxtail_resume_text"], Equals("t0 t1 t2 "))

        self.stream(fail_first(cut), check)

    def test_other_weights_version_does_not_continue_a_stream(self):
        async def main():
            agents = [FakeAgent("w1"), FakeAgent("w2")]

            async def cut_and_update_the_other(agent, exchange, attempt):
                other = agents[1 - agents.index(agent)]
                other.version = "v2"
                await cut(agent, exchange, attempt)

            for each in agents:
                each.script = fail_first(cut_and_update_the_other)
            agents[1].script = agents[0].script
            async with running_entry(agents) as entry:
                body = await read_stream(entry)
                self.assertTrue(is_marked_broken(body), body)
                self.assertThat(len(agents[0].attempts), Equals(1))
                self.assertThat(len(agents[1].attempts), Equals(1))

        self.run_async(main)

    def test_stream_cut_at_each_byte_is_completed(self):
        """A stream that is cut after any number of bytes is completed."""

        async def check_at(limit):
            async with trio.open_nursery() as nursery:
                agents = [FakeAgent("w1"), FakeAgent("w2")]
                async with running_entry(agents) as entry:
                    proxy = CuttingProxy(limit)
                    for each in agents:
                        await proxy.insert_before(nursery, entry, each)
                    status, _, body = await entry.chat(max_tokens=2)
                    self.assertThat(status, Equals(200))
                    self.assertTrue(is_complete(body, 2), (limit, body))
                nursery.cancel_scope.cancel()

        async def check_from(first):
            for limit in range(first, first + 100):
                await check_at(limit)

        # The time limit of run_async applies to each hundred separately.
        for first in range(0, 1000, 100):
            self.run_async(functools.partial(check_from, first))

    def test_disconnected_caller_cancels_the_attempt(self):
        cancelled = trio.Event()

        async def endless(agent, exchange, attempt):
            await agent.start_stream(exchange, attempt)
            try:
                for position in range(10**9):
                    await agent.send_tokens(exchange, [position])
                    await trio.sleep(0.001)
            finally:
                cancelled.set()

        async def disconnect(entry, agents):
            value = {"model": "guide", "messages": [{"role": "user"}], "stream": True}
            async with entry.open("POST", "/v1/chat/completions", value) as response:
                await anext(response.iter_chunks())
                raise trio.BrokenResourceError

        async def check(entry, agents):
            try:
                await disconnect(entry, agents)
            except trio.BrokenResourceError:
                await cancelled.wait()

        self.stream(endless, check, n_agents=1)

    def test_slow_caller_gets_no_regular_end(self):
        async def flood(agent, exchange, attempt):
            await agent.start_stream(exchange, attempt)
            for position in range(20_000):
                event = SseEvent(chunk(position) + " " * 1000, id=str(position))
                await exchange.send(format_sse(event))
            await agent.end_stream(exchange, attempt, 20_000)

        async def read_slowly(entry, agents):
            value = {"model": "guide", "messages": [{"role": "user"}], "stream": True}
            async with entry.open("POST", "/v1/chat/completions", value) as response:
                while entry.app.status()["active"]:
                    await trio.sleep(0.01)
                body = b""
                try:
                    async for body_chunk in response.iter_chunks():
                        body += body_chunk
                except Exception:
                    body += b" cut"
                self.assertThat(body[-4:], Equals(b" cut"))
                self.assertThat(b"[DONE]" in body, Equals(False))
                raise trio.BrokenResourceError

        async def check(entry, agents):
            with contextlib.suppress(trio.BrokenResourceError):
                await read_slowly(entry, agents)

        self.stream(flood, check, n_agents=1, send_timeout_s=0.1)


async def read_stream(entry, max_tokens=5, content="ciao"):
    """Return the body of a stream, which may be cut."""
    value = {
        "model": "guide",
        "messages": [{"role": "user", "content": content}],
        "stream": True,
        "max_tokens": max_tokens,
    }
    body = b""
    try:
        async with entry.open("POST", "/v1/chat/completions", value) as response:
            async for body_chunk in response.iter_chunks():
                body += body_chunk
    except Exception:
        return body
    return body


class CuttingProxy:
    """Proxy for all agents; cuts the first connection after ``limit`` bytes."""

    def __init__(self, limit):
        self.limit = limit
        self.cut = False

    async def insert_before(self, nursery, entry, agent):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        target = agent.address
        nursery.start_soon(trio.serve_listeners, self._serve(target), listeners)
        port = listeners[0].socket.getsockname()[1]
        vm = entry.store.view.vms[agent.vm]
        record = entry.store.get(f"vms/{agent.vm}")
        body = record.body | {"listen": {"host": "127.0.0.1", "port": port}}
        changed = type(record)(key=record.key, generation=2, write_id="w", body=body)
        entry.store.merge([changed])
        assert vm.listen == target

    def _serve(self, target):
        async def serve(stream):
            async with (
                stream,
                await trio.open_tcp_stream(target.host, target.port) as agent,
            ):
                limit = None if self.cut else self.limit
                self.cut = True
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._copy, stream, agent, None, nursery)
                    await self._copy(agent, stream, limit, nursery)

        return serve

    async def _copy(self, source, sink, limit, nursery):
        remaining = limit
        try:
            async for data in source:
                if remaining is not None:
                    data = data[:remaining]
                    remaining -= len(data)
                if data:
                    await sink.send_all(data)
                if remaining == 0:
                    break
        except trio.BrokenResourceError:
            pass
        nursery.cancel_scope.cancel()


class TestStreamChecker(testtools.TestCase):
    """Guards against an incomplete stream that is accepted as complete."""

    def test_any_change_of_a_whole_stream_is_detected(self):
        for seed in range(500):
            rng = random.Random(seed)
            count = rng.randint(1, 12)
            end = msgspec.json.encode({"count": count, "attempt_id": "a"}).decode()
            complete = [SseEvent(chunk(i), id=str(i)) for i in range(count)]
            complete.append(SseEvent(end, event="end"))
            changed = list(complete)
            for _ in range(rng.randint(1, 3)):
                action = rng.choice(("drop", "repeat", "swap"))
                index = rng.randrange(len(changed)) if changed else 0
                if not changed:
                    break
                if action == "drop":
                    del changed[index]
                elif action == "repeat":
                    changed.insert(index, changed[index])
                else:
                    other = rng.randrange(len(changed))
                    changed[index], changed[other] = changed[other], changed[index]
            relayed = []
            checker = StreamChecker("a")
            # Chunks of random size also test the parser's reassembly of events.
            data = b"".join(format_sse(each) for each in changed)
            parser = SseParser()
            try:
                while data:
                    size = rng.randint(1, 40)
                    for event in parser.feed(data[:size]):
                        if checker.check(event):
                            relayed.append(event)
                    data = data[size:]
            except StreamError:
                pass
            self.assertThat(relayed, Equals(complete[: len(relayed)]), f"seed {seed}")
            if checker.ended:
                self.assertThat(relayed, Equals(complete[:-1]), f"seed {seed}")
