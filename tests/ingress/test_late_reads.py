import socket
import threading
import time

import trio
from ingress_case import IngressCase
from testtools.matchers import Equals

from foxtailcourse.ingress import _attempt
from foxtailcourse.standin._backend_server import BackendServerStandin
from support import run_with

DEADLINE_MS = 2000
# Time by which the entry reads a request, or a part of it, too late.
LATE_S = 0.8
# Bound of the platform: a server is given so much more than the time that is left.
MAX_EXCESS_S = 0.5
TIMEOUT_S = 5.0
BODY = b"a"


def request_bytes(name, request_id, body=BODY):
    head = (
        f"POST /{name}/x HTTP/1.1\r\n"
        "host: app.example\r\n"
        "x-foxtailcourse-key: key-1\r\n"
        f"x-foxtailcourse-request-id: {request_id}\r\n"
        f"x-foxtailcourse-deadline-ms: {DEADLINE_MS}\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class TestLateReads(IngressCase):
    """Guards servers against more time than is left of a request read late."""

    def connect(self, address):
        return socket.create_connection((address.host, address.port), TIMEOUT_S)

    def send(self, address, parts, pauses_s=()):
        """Send the parts of a request; return when it began and the response."""
        with self.connect(address) as conn:
            began_at = time.monotonic()
            for part, pause_s in zip(parts, (*pauses_s, 0.0), strict=True):
                conn.sendall(part)
                time.sleep(pause_s)
            return began_at, conn.recv(65536)

    async def check_time_left(self, fleet, began_at, response):
        """Check the response and the time that the server was given."""
        self.assertThat(response.partition(b"\r\n")[0], Equals(b"HTTP/1.1 200 "))
        (run,) = self.runs(fleet)
        given_s = int(run.headers["x-foxtailcourse-deadline-ms"]) / 1000
        left_s = began_at + DEADLINE_MS / 1000 - self.arrived_at
        self.assertLessEqual(given_s - left_s, MAX_EXCESS_S / 2)

    def note_arrivals(self):
        """Note when a server gets a request."""
        execute = BackendServerStandin._execute

        async def noting(server, exchange, run):
            self.arrived_at = time.monotonic()
            await execute(server, exchange, run)

        self.patch(BackendServerStandin, "_execute", noting)

    @run_with("with_fleet")
    async def test_request_in_the_accept_queue_loses_the_time_that_it_waits(
        self, fleet, entry
    ):
        self.note_arrivals()
        blocked = threading.Event()

        def send():
            blocked.wait(TIMEOUT_S)
            return self.send(entry.app.address, [request_bytes("return", "r1")])

        results = []

        async def call():
            results.append(await trio.to_thread.run_sync(send))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await trio.sleep(0.05)
            blocked.set()
            # The event loop is busy, as under load.
            time.sleep(LATE_S)  # noqa: ASYNC251
        await self.check_time_left(fleet, *results[0])

    @run_with("with_fleet")
    async def test_request_on_a_kept_connection_loses_the_time_that_it_waits(
        self, fleet, entry
    ):
        blocked, idle = threading.Event(), threading.Event()
        address = entry.app.address

        def send():
            with self.connect(address) as conn:
                conn.sendall(request_bytes("return", "r1"))
                conn.recv(65536)
                idle.set()
                blocked.wait(TIMEOUT_S)
                began_at = time.monotonic()
                conn.sendall(request_bytes("return", "r2"))
                return began_at, conn.recv(65536)

        results = []

        async def call():
            results.append(await trio.to_thread.run_sync(send))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            while not idle.is_set():
                await trio.sleep(0.01)
            for server in fleet.servers.values():
                server.runs.clear()
            self.note_arrivals()
            blocked.set()
            time.sleep(LATE_S)  # noqa: ASYNC251
        await self.check_time_left(fleet, *results[0])

    @run_with("with_fleet")
    async def test_slow_head_or_body_uses_the_time_of_its_request(self, fleet, entry):
        self.note_arrivals()
        for cut in (20, -1):
            for server in fleet.servers.values():
                server.runs.clear()
            whole = request_bytes("return", f"r{cut}")
            result = await trio.to_thread.run_sync(
                self.send, entry.app.address, [whole[:cut], whole[cut:]], [LATE_S]
            )
            await self.check_time_left(fleet, *result)

    @run_with("with_fleet", connect_timeout_s=2.0)
    async def test_time_to_connect_to_a_server_is_not_given_to_it(self, fleet, entry):
        self.note_arrivals()
        connect = _attempt.ConnectionPool.connect

        async def connect_slowly(pool, address, options):
            conn = await connect(pool, address, options)
            if address in fleet.addresses.values():
                await trio.sleep(LATE_S)
            return conn

        self.patch(_attempt.ConnectionPool, "connect", connect_slowly)
        result = await trio.to_thread.run_sync(
            self.send, entry.app.address, [request_bytes("return", "r1")]
        )
        await self.check_time_left(fleet, *result)
