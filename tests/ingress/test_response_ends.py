import attrs
import trio
from ingress_case import IngressCase
from testtools.matchers import Equals

from foxtailcourse.ingress._dispatcher import Dispatcher
from foxtailcourse.ingress._job import AttemptError
from foxtailcourse.protocol import Verdict
from support import run_with


@attrs.define
class LateDispatcher:
    """Goes on after the complete response, until the deadline or an error."""

    dispatcher: Dispatcher
    error: AttemptError | None = None

    @property
    def attempts(self):
        return self.dispatcher.attempts

    async def run(self, job):
        await self.dispatcher.run(job)
        if self.error is not None:
            raise self.error
        await trio.sleep_forever()


class TestResponseEnds(IngressCase):
    """Guards connections whose response was complete before its request ended."""

    async def check_two_streams(self, fleet, entry, error):
        """Request two streams on one connection."""
        handler = entry.app._handler
        handler.dispatcher = LateDispatcher(handler.dispatcher, error)
        headers = {
            "host": "app.example",
            "x-foxtailcourse-key": "key-1",
            "x-foxtailcourse-model": "guide",
            "x-foxtailcourse-token-counts": "100,2",
            "x-foxtailcourse-prompt-prefix": "aa:60,bb:40",
        }
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        stream = await trio.open_tcp_stream("127.0.0.1", entry.app.address.port)
        async with stream:
            # The second one waits until the deadline of the first one.
            for number, deadline_ms in ((1, 500), (2, 2500)):
                head = (
                    f"GET /brief/x HTTP/1.1\r\nx-foxtailcourse-request-id: {number}\r\n"
                    f"x-foxtailcourse-deadline-ms: {deadline_ms}"
                )
                await stream.send_all(f"{head}\r\n{lines}\r\n".encode())
                received = b""
                while not received.endswith(b"0\r\n\r\n"):
                    chunk = await stream.receive_some(65536)
                    self.assertTrue(chunk, "connection was closed")
                    received += chunk
        outcomes = [fields["outcome"] for fields in entry.events("request_done")]
        self.assertThat(outcomes[0], Equals("answered"))

    @run_with("with_fleet")
    async def test_deadline_after_the_complete_response_does_not_cut_the_connection(
        self, fleet, entry
    ):
        await self.check_two_streams(fleet, entry, None)

    @run_with("with_fleet")
    async def test_failure_after_the_complete_response_does_not_cut_the_connection(
        self, fleet, entry
    ):
        await self.check_two_streams(
            fleet, entry, AttemptError("silent", Verdict.MAY_HAVE_RUN)
        )
