import random

import attrs
import testtools
import trio
import trio.testing
from ingress_case import MODEL, ROUTES, IngressCase, route
from testtools.matchers import Equals

from cluster import wait_until
from foxtailcourse.http import ByteBudget
from foxtailcourse.http._limits import SendProgress
from foxtailcourse.ingress._event_splitter import EventSplitter
from foxtailcourse.ingress._held_responses import HeldMemory, HeldResponse
from foxtailcourse.settings import Address
from foxtailcourse.standin._backend_server import BackendServerStandin
from support import AsyncTestCase, run_with

HEAD = (
    b"HTTP/1.1 200 OK\r\nx-foxtailcourse-response-signature: a\r\n"
    b"content-type: text/event-stream\r\nconnection: close\r\n\r\n"
)
PRESSURE = {"contracts": ("base", "pressure")}
EVENT_BYTES = 16_384


def event(number, size=EVENT_BYTES):
    return b"id: %d\ndata: %s\n\n" % (number, b"x" * size)


class RandomCaller:
    """Connection that takes random numbers of bytes, at random times."""

    def __init__(self, rng):
        self.rng, self.received, self.is_sent = rng, b"", True

    def send_now(self, data):
        count = self.rng.choice([0, 0, len(data), self.rng.randint(0, len(data))])
        self.received += data[:count]
        return count

    async def send_some(self, data):
        await trio.sleep(self.rng.expovariate(20))
        count = self.rng.randint(1, len(data))
        self.received += data[:count]
        return count

    def mark_sent(self):
        self.is_sent = True


@attrs.define
class StuckCaller:
    """Connection that takes nothing, and may be closed after a short time."""

    closes: bool = False

    def send_now(self, data):
        return 0

    async def send_some(self, data):
        await trio.sleep(0.01)
        if self.closes:
            raise trio.BrokenResourceError
        await trio.sleep_forever()


class TestAccounting(AsyncTestCase):
    """Guards the events and the counted bytes of random callers and servers."""

    async def produce(self, rng, held, last, completed):
        """Accept events from servers that are given up at random, up to ``last``."""
        last_id = ""
        while True:
            splitter = EventSplitter(last_id)
            first = max(1, int(last_id or 0) + rng.randint(0, 1))
            with trio.move_on_after(rng.expovariate(1)):
                for number in range(first, last + 1):
                    await trio.sleep(rng.expovariate(50))
                    data = event(number, rng.randint(1, 3000))
                    events = splitter.feed(data)
                    if events:
                        await held.wait_for_room(len(events), trio.CancelScope)
                        held.accept(events)
                        last_id = splitter.last_id
                held.finish(b"end", lambda: completed.append(True))
                return

    def test_no_event_is_lost_or_sent_twice(self):
        for seed in range(30):
            rng = random.Random(seed)
            budget = ByteBudget(rng.choice([3_000, 40_000, 1_000_000]))
            memory = HeldMemory(budget)
            callers = [RandomCaller(rng) for _ in range(rng.randint(1, 12))]
            completed = []

            async def serve(caller, rng=rng, memory=memory, completed=completed):
                held = HeldResponse(memory, caller)
                await held.run(lambda: self.produce(rng, held, 40, completed))

            async def watch(budget=budget, callers=callers):
                while True:
                    # Each stream may buffer one event beyond the bound.
                    most = 0.75 * budget.limit_bytes + 3100 * len(callers)
                    self.assertTrue(budget.used_bytes <= most, budget)
                    await trio.sleep(0.001)

            async def main(callers=callers, serve=serve, watch=watch):
                async with trio.open_nursery() as outer:
                    outer.start_soon(watch)
                    async with trio.open_nursery() as nursery:
                        for caller in callers:
                            nursery.start_soon(serve, caller)
                    outer.cancel_scope.cancel()

            self.run_async(main, clock=trio.testing.MockClock(autojump_threshold=0))
            for caller in callers:
                numbers = [
                    int(e[4:].split()[0])
                    for e in caller.received.split(b"\n\n")
                    if e != b"end"
                ]
                self.assertThat(numbers, Equals(list(range(1, 41))), seed)
                self.assertTrue(caller.received.endswith(b"\n\nend"))
            self.assertThat(len(completed), Equals(len(callers)))
            self.assertThat((budget.used_bytes, memory.held_bytes), Equals((0, 0)))

    def test_failure_is_raised_after_the_accepted_events_were_sent(self):
        caller, memory = RandomCaller(random.Random(1)), HeldMemory(ByteBudget(10_000))
        held = HeldResponse(memory, caller)

        async def produce():
            for number in range(1, 4):
                held.accept(event(number, 500))
            raise ValueError("no more attempts")

        self.run_async(lambda: self.catch_error(ValueError, held.run, produce))
        self.assertThat(caller.received.count(b"id: "), Equals(3))

    def test_caller_that_closes_cancels_the_attempt_and_frees_its_bytes(self):
        memory = HeldMemory(ByteBudget(10_000))

        held = HeldResponse(memory, StuckCaller(closes=True))

        async def produce():
            held.accept(event(1))
            await trio.sleep_forever()

        self.run_async(
            lambda: self.catch_error(trio.BrokenResourceError, held.run, produce)
        )
        self.assertThat(memory.budget.used_bytes, Equals(0))

    def test_cancellation_is_a_single_exception(self):
        """The handler records an abandoned request as it catches Cancelled."""
        caught = []

        async def main():
            held = HeldResponse(HeldMemory(ByteBudget(9)), StuckCaller())

            async def produce():
                held.accept(event(1))
                await trio.sleep_forever()

            with trio.move_on_after(0.05):
                try:
                    await held.run(produce)
                except trio.Cancelled:
                    caught.append(True)
                    raise

        self.run_async(main)
        self.assertThat(caught, Equals([True]))


class TestBounds(testtools.TestCase):
    """Guards callers against each other, and answers against streams."""

    def test_stream_without_buffered_bytes_never_waits(self):
        memory = HeldMemory(ByteBudget(1000, used_bytes=5000))
        self.assertThat(memory.exceeded_bound(0, 900), Equals(""))

    def test_many_slow_callers_leave_room_for_others_and_for_answers(self):
        budget = ByteBudget(1_000_000)
        memory, held = HeldMemory(budget), [0] * 40
        for _ in range(2000):
            for each in range(40):
                if not memory.exceeded_bound(held[each], 100):
                    held[each] += 100
                    memory.add(100)
        self.assertTrue(budget.used_bytes < 750_000)
        self.assertThat(memory.exceeded_bound(100, 100), Equals(""))
        self.assertTrue(budget.acquire(250_000))

    def test_progress_of_a_caller_is_what_it_acknowledges(self):
        progress = SendProgress(10.0, 500)
        progress.update(14.0, 499)
        self.assertThat(progress.stalled_s(16.0), Equals(2.0))
        progress.update(16.0, 499)
        self.assertThat(progress.stalled_s(20.0), Equals(6.0))


class StreamServer:
    """Sends ``last`` events and closes; cuts off a response that stays unread.

    Attributes
    ----------
    resumed_after : list of bytes
        Value of the last event identifier in each request.
    """

    def __init__(self, last, stop_after=None, cut_s=30.0, pause_s=0.0):
        self.last, self.stop_after = last, stop_after or last
        self.cut_s, self.pause_s = cut_s, pause_s
        self.resumed_after, self.done, self.closed = [], 0, 0

    async def start(self, nursery):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)
        return Address("127.0.0.1", listeners[0].socket.getsockname()[1])

    async def _serve(self, stream):
        request = (await stream.receive_some(65536)).lower()
        if not request.startswith(b"post"):
            await stream.aclose()
            return
        _, _, after = request.partition(b"last-event-id: ")
        self.resumed_after.append(after.partition(b"\r\n")[0])
        first = int(self.resumed_after[-1] or 0) + 1
        async with stream:
            try:
                with trio.fail_after(self.cut_s):
                    await stream.send_all(HEAD)
                    for number in range(first, self.stop_after + 1):
                        await stream.send_all(event(number))
                        await trio.sleep(self.pause_s)
                if self.stop_after < self.last:
                    await stream.send_all(b"id: 99\ndata: begun")
                self.done += 1
            except (trio.BrokenResourceError, trio.TooSlowError):
                self.closed += 1


class TestSlowCallers(IngressCase):
    """Guards streams against callers that read slowly, over loopback connections."""

    async def add(self, fleet, entry, name, server):
        """Register a server, in place of those that exist at first."""
        for each in ("m1", "m2"):
            fleet.remove(fleet.servers[each])
        fleet.addresses[name] = await server.start(fleet._nursery)
        fleet.register(BackendServerStandin(name, "llm", {MODEL: 1}))
        slow = route(
            "slow", "streaming", service="llm", resumable=True, timeoutMs=40_000
        )
        fleet.configure(version=2, routes=(*ROUTES, slow))
        gone = {"m1", "m2"}
        await wait_until(lambda: name in entry.app.status()["servers"])
        await wait_until(lambda: not gone & set(entry.app.status()["servers"]))
        await wait_until(lambda: entry.app.status()["configuration_revision"] > 0)
        await wait_until(
            lambda: entry.app._view.configuration.find_route("app.example", "/slow/")
        )

    async def begin(self, entry, version=b"1.1", deadline_ms=40_000):
        """Send a request whose response is not read."""
        sock = trio.socket.socket()
        sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, 65_536)
        await sock.connect((entry.app.address.host, entry.app.address.port))
        stream = trio.SocketStream(sock)
        await stream.send_all(
            b"POST /slow/x HTTP/%s\r\nhost: app.example\r\ncontent-length: 1\r\n"
            b"x-foxtailcourse-request-id: r1\r\nx-foxtailcourse-key: key-1\r\n"
            b"x-foxtailcourse-deadline-ms: %d\r\nconnection: close\r\n"
            b"x-foxtailcourse-model: guide\r\n"
            b"x-foxtailcourse-token-counts: 100,9000\r\n"
            b"x-foxtailcourse-prompt-prefix: aa:60,bb:40\r\n\r\nx"
            % (version, deadline_ms)
        )
        return stream

    async def read_numbers(self, stream, received=b""):
        """Return the numbers of the events of the rest of a complete response."""
        async for data in stream:
            received += data
        self.assertTrue(received.endswith(b"\r\n0\r\n\r\n"), received[-40:])
        numbers = received.split(b"id: ")[1:]
        return [int(each.split()[0]) for each in numbers]

    def buffered_bytes(self, entry):
        return entry.app._dispatcher.attempts.buffered.used_bytes

    @run_with("with_fleet", **PRESSURE, memory_mb=1000.0)
    async def test_response_is_read_whole_for_a_caller_that_does_not_read(
        self, fleet, entry
    ):
        server = StreamServer(1000, cut_s=4.0)
        await self.add(fleet, entry, "x1", server)
        async with await self.begin(entry) as stream:
            await wait_until(lambda: server.done)
            self.assertTrue(self.buffered_bytes(entry) > 1_000_000)
            numbers = await self.read_numbers(stream)
        self.assertThat(numbers, Equals(list(range(1, 1001))))
        await wait_until(lambda: entry.events("request_done"))
        (done,) = entry.events("request_done")
        self.assertThat(done["outcome"], Equals("answered"))
        self.assertThat(self.buffered_bytes(entry), Equals(0))

    @run_with("with_fleet")
    async def test_without_the_contract_the_server_is_slowed_down(self, fleet, entry):
        server = StreamServer(1000, cut_s=0.5)
        await self.add(fleet, entry, "x1", server)
        async with await self.begin(entry):
            await wait_until(lambda: server.closed)

    @run_with("with_fleet", **PRESSURE, memory_mb=1000.0)
    async def test_stream_resumes_after_the_buffered_events(self, fleet, entry):
        first, second = StreamServer(1000, stop_after=600), StreamServer(1000)
        await self.add(fleet, entry, "x1", first)
        async with await self.begin(entry) as stream:
            await wait_until(lambda: first.resumed_after)
            await self.add(fleet, entry, "x2", second)
            await wait_until(lambda: second.done)
            self.assertThat(second.resumed_after, Equals([b"600"]))
            numbers = await self.read_numbers(stream)
        self.assertThat(numbers, Equals(list(range(1, 1001))))

    @run_with("with_fleet", **PRESSURE, memory_mb=40.0)
    async def test_many_slow_callers_stay_within_the_bound(self, fleet, entry):
        server = StreamServer(600)
        await self.add(fleet, entry, "x1", server)
        budget = entry.app._dispatcher.attempts.buffered
        self.assertThat(budget.limit_bytes, Equals(6_000_000))
        streams = [await self.begin(entry) for _ in range(12)]
        render = entry.daemon.metrics.render
        await wait_until(lambda: b"foxtail_ingress_held_bound_total" in render()[0])
        results, most_bytes = [], 0

        async def read(stream):
            async with stream:
                results.append(await self.read_numbers(stream))

        async with trio.open_nursery() as nursery:
            for stream in streams:
                nursery.start_soon(read, stream)
            while len(results) < len(streams):
                most_bytes = max(most_bytes, budget.used_bytes)
                await trio.sleep(0.001)
        self.assertThat(results, Equals([list(range(1, 601))] * 12))
        self.assertTrue(most_bytes < budget.limit_bytes, most_bytes)
        self.assertThat(budget.used_bytes, Equals(0))

    @run_with("with_fleet", **PRESSURE)
    async def test_caller_that_stops_reading_is_cut_and_one_that_reads_is_not(
        self, fleet, entry
    ):
        server = StreamServer(1000)
        await self.add(fleet, entry, "x1", server)
        http_server = entry.app._http_server
        http_server.set_limits(attrs.evolve(http_server.limits, send_timeout_s=1.5))
        async with await self.begin(entry), await self.begin(entry) as reading:
            received = b""
            while not entry.events("connection_cut"):
                received += await reading.receive_some(50_000)
                await trio.sleep(0.1)
            numbers = await self.read_numbers(reading, received)
        self.assertThat(numbers, Equals(list(range(1, 1001))))
        (cut,) = entry.events("connection_cut")
        self.assertThat(cut["reason"], Equals("send_timeout"))
        await wait_until(lambda: server.closed)
        self.assertThat(self.buffered_bytes(entry), Equals(0))

    @run_with("with_fleet", **PRESSURE, memory_mb=1000.0)
    async def test_held_response_that_is_out_of_time_does_not_look_whole(
        self, fleet, entry
    ):
        """The end of the connection is that of a response to HTTP/1.0."""
        server = StreamServer(1000)
        await self.add(fleet, entry, "x1", server)
        async with await self.begin(entry, b"1.0", deadline_ms=3000) as stream:
            await wait_until(lambda: server.done)
            await wait_until(lambda: entry.events("connection_cut"))
            with self.assertRaises(trio.BrokenResourceError):
                async for _ in stream:
                    pass
        await wait_until(lambda: entry.events("request_done"))
        (done,) = entry.events("request_done")
        self.assertThat(done["outcome"], Equals("timed_out"))

    @run_with("with_fleet", **PRESSURE)
    async def test_caller_that_leaves_cancels_the_attempt(self, fleet, entry):
        server = StreamServer(1000)
        await self.add(fleet, entry, "x1", server)
        async with await self.begin(entry):
            await wait_until(lambda: self.buffered_bytes(entry))
        await wait_until(lambda: server.closed)
        await wait_until(lambda: entry.events("request_abandoned"))
        self.assertThat(self.buffered_bytes(entry), Equals(0))

    @run_with("with_fleet", **PRESSURE)
    async def test_events_of_a_slow_server_are_not_delayed(self, fleet, entry):
        server = StreamServer(20, pause_s=0.05)
        await self.add(fleet, entry, "x1", server)
        async with await self.begin(entry) as stream:
            data = await stream.receive_some(65_536)
            self.assertThat((server.done, b"id: 1\n" in data), Equals((0, True)))
            numbers = await self.read_numbers(stream, data)
        self.assertThat(numbers, Equals(list(range(1, 21))))
