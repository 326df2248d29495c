import trio
from ingress_case import MODEL, IngressCase
from testtools.matchers import Equals

from cluster import wait_until
from foxtailcourse.standin._backend_server import (
    BackendServerFaults,
    BackendServerStandin,
    stream_event,
)
from raw_server import serve_bytes
from support import run_with

CUT_AFTER = 3
EVENTS = 6
TEXT = b"out of memory"
SIGNED = "x-foxtailcourse-response-signature: a"
STREAM = "content-type: text/event-stream"
CHUNKED = "transfer-encoding: chunked"


def answer(status, *fields, body=TEXT, version="1.1"):
    """Return the bytes of a response with the given status line and fields."""
    if CHUNKED not in fields and version == "1.1":
        fields = (*fields, f"content-length: {len(body)}")
    head = "\r\n".join((f"HTTP/{version} {status} X", *fields))
    return head.encode() + b"\r\n\r\n" + body


ANSWERS = {
    "signed 500": answer(500, SIGNED),
    "unsigned 500": answer(500),
    "signed 503": answer(503, SIGNED),
    "refusal": answer(503, "x-foxtailcourse-not-executed: 1"),
    "429": answer(429, "x-foxtailcourse-not-executed: 1"),
    "421": answer(421),
    "signed 504": answer(504, SIGNED),
    "signed 400": answer(400, SIGNED),
    "signed 404": answer(404, SIGNED),
    "404": answer(404),
    "signed 409": answer(409, SIGNED),
    "302": answer(302, "location: /elsewhere"),
    "signed 204": answer(204, SIGNED, body=b""),
    "200 of another type": answer(200, SIGNED, "content-type: application/json"),
    "200 without a type": answer(200, SIGNED),
    "unsigned stream": answer(200, STREAM),
    "206 of a stream": answer(206, SIGNED, STREAM, body=stream_event("r1", 5)),
    "500 of a stream": answer(500, SIGNED, STREAM, body=stream_event("r1", 5)),
    "text in a stream": answer(200, SIGNED, STREAM),
    "text in a chunk": answer(
        200, SIGNED, STREAM, CHUNKED, body=b"d\r\n" + TEXT + b"\r\n0\r\n\r\n"
    ),
    "HTTP 1.0 stream": answer(200, SIGNED, STREAM, version="1.0"),
    "HTTP 1.0 error": answer(500, SIGNED, version="1.0"),
    "interim and error": b"HTTP/1.1 102 X\r\n\r\n" + answer(500, SIGNED),
    "two errors": 2 * answer(500, SIGNED),
    "no response": TEXT,
    "nothing": b"",
}


class BreakingServer(BackendServerStandin):
    """A server that pauses after its first event and breaks off some events later."""

    def __init__(self, name):
        super().__init__(name, "llm", {MODEL: 1}, event_s=0.01)
        self.faults = BackendServerFaults(cut_after_events=CUT_AFTER)
        self.released = trio.Event()

    async def _wait_for_pause(self):
        if self.runs and self.runs[0].events:
            await self.released.wait()


class TestErrorsAfterEvents(IngressCase):
    """Guards a stream that has begun against what the next server answers.

    Its text, or its head, must not be in the stream, and the stream must not look
    complete.
    """

    async def answer_of(self, fleet, entry, number, response, *others):
        """Return the response to a stream whose next server answers with bytes.

        Also returns the events that the first server sends before it breaks off.
        ``others`` are servers that register together with the next one.
        """
        first = BreakingServer(f"first-{number}")
        second = BackendServerStandin(f"second-{number}", "llm", {MODEL: 1})
        fleet.addresses[second.id] = await serve_bytes(fleet._nursery, response)
        for server in fleet.servers.values():
            if server.service == "llm":
                fleet.remove(server)
        fleet.platform._apply([], [f"servers/second-{number - 1}"])
        await fleet.add_server(first)
        known = entry.app._view.servers
        await wait_until(lambda: {first.id} == known.keys() - {"c1", "c2"})
        results = []

        async def call():
            # A request that breaks off at several servers is blocked.
            parts = f"a{number}:60,b{number}:40"
            response = await fleet.call(entry, "ask", stream=EVENTS, parts=parts)
            results.append(response)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await wait_until(lambda: first.runs and first.runs[0].events)
            fleet.register(second)
            for server in others:
                await fleet.add_server(server)
            names = {each.id for each in (first, second, *others)}
            await wait_until(lambda: names <= known.keys())
            first.released.set()
        request_id = first.runs[0].request_id
        events = [stream_event(request_id, n) for n in range(1, CUT_AFTER + 1)]
        return results[0], b"".join(events)

    async def check_answers(self, fleet, entry):
        for number, (name, response) in enumerate(ANSWERS.items()):
            received, events = await self.answer_of(fleet, entry, number, response)
            self.assertThat(received.status, Equals(200), name)
            self.assertThat(received.body, Equals(events), name)
            self.assertFalse(received.complete, name)
        retried = entry.events("attempt_failed")
        self.assertTrue(len(retried) > len(ANSWERS), len(retried))
        self.assertThat(entry.events("request_failed"), Equals([]))

    @run_with("with_fleet")
    async def test_stream_goes_on_at_a_third_server(self, fleet, entry):
        for number, (name, response) in enumerate(ANSWERS.items()):
            third = BackendServerStandin(f"third-{number}", "llm", {MODEL: 1})
            received, events = await self.answer_of(
                fleet, entry, number, response, third
            )
            rest = [
                stream_event(third.runs[0].request_id, n)
                for n in range(CUT_AFTER + 1, EVENTS + 1)
            ]
            self.assertThat(received.body, Equals(events + b"".join(rest)), name)
            self.assertTrue(received.complete, name)

    @run_with("with_fleet")
    async def test_no_answer_of_the_next_server_is_taken_for_the_rest(
        self, fleet, entry
    ):
        await self.check_answers(fleet, entry)

    @run_with("with_fleet", contracts="base,stream,engine,pressure", memory_mb=100)
    async def test_no_answer_is_taken_for_the_rest_while_streams_are_held(
        self, fleet, entry
    ):
        self.assertTrue(entry.app._features.held_responses)
        await self.check_answers(fleet, entry)
