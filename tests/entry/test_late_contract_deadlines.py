import socket
import threading
import time

import msgspec
import trio
from testtools.matchers import Equals

from entry_support import KEY, FakeAgent, running_entry
from support import AsyncTestCase, run_trio

# Time by which the entry reads a request too late, and of the contract's deadline.
LATE_S, DEADLINE_MS, TIMEOUT_S = 0.8, 2000, 10.0
BODY = msgspec.json.encode(
    {"model": "guide", "messages": [{"role": "user", "content": "ciao"}]}
)
REQUEST = (
    "POST /v1/chat/completions HTTP/1.1\r\nhost: e\r\n"
    f"authorization: Bearer {KEY}\r\ncontent-length: {len(BODY)}\r\n\r\n"
).encode() + BODY


class TestLateReads(AsyncTestCase):
    """Guards agents against more time than is left of a request read late."""

    @run_trio
    async def test_request_loses_the_time_that_it_waits_to_be_read(self):
        agent, blocked = FakeAgent("w0"), threading.Event()
        contract = {"short_deadline_ms": DEADLINE_MS, "long_deadline_ms": DEADLINE_MS}
        async with running_entry([agent], contract=contract) as entry:

            def send():
                blocked.wait(TIMEOUT_S)
                address = (entry.address.host, entry.address.port)
                with socket.create_connection(address, TIMEOUT_S) as conn:
                    conn.sendall(REQUEST)
                    return conn.recv(65536)

            received = []

            async def call():
                received.append(await trio.to_thread.run_sync(send))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call)
                await trio.sleep(0.05)
                blocked.set()
                # The event loop is busy, as under load.
                time.sleep(LATE_S)  # noqa: ASYNC251
        self.assertThat(received[0][:13], Equals(b"HTTP/1.1 200 "))
        (attempt,) = agent.attempts
        self.assertLessEqual(attempt.deadline_ms, DEADLINE_MS - 1000 * LATE_S / 2)
