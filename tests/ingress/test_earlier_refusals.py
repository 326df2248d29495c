import trio
from ingress_case import IngressCase
from testtools.matchers import Equals

from cluster import wait_until
from foxtailcourse.settings import Address
from foxtailcourse.standin._backend_server import BackendServerStandin
from support import run_with

NOT_EXECUTED = "x-foxtailcourse-not-executed: 1"


def refusal(*fields):
    """Return the bytes of a refusal with the given fields."""
    lines = ("HTTP/1.1 503 X", NOT_EXECUTED, "content-length: 0", *fields)
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


class FaultyServer:
    """A server that runs each request and writes an earlier refusal in its place.

    Parameters
    ----------
    data : bytes
        The refusal.
    before_request : bool
        Whether it is written before the request was received.
    """

    def __init__(self, data, before_request=False):
        self.data = data
        self.before_request = before_request
        self.requests = []

    async def serve(self, *, task_status):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        task_status.started(Address("127.0.0.1", port))
        await trio.serve_listeners(self._respond, listeners)

    async def _respond(self, stream):
        async with stream:
            if self.before_request:
                await stream.send_all(self.data)
            request = await stream.receive_some(65536)
            if b"kv-events" in request or not request:
                return
            self.requests.append(request)
            if not self.before_request:
                await stream.send_all(self.data)
            # It runs on and would answer later.
            await trio.sleep(0.05)


class TestEarlierRefusals(IngressCase):
    """Guards requests that run against refusals of others.

    Only the server's word makes an entry tell a caller that a request has not run, or
    send it to another server.
    """

    async def replace(self, fleet, entry, faulty):
        """Put a faulty server beside one that answers."""
        fleet.remove(fleet.servers["c2"])
        fleet.addresses["x1"] = await fleet._nursery.start(faulty.serve)
        fleet.register(BackendServerStandin("x1", "coats"))
        known = entry.app._view.servers
        await wait_until(lambda: "x1" in known and "c2" not in known)

    async def check(self, fleet, entry, faulty):
        await self.replace(fleet, entry, faulty)
        while not faulty.requests:
            response = await fleet.call(entry, "return")
        sound_runs = {run.request_id for run in fleet.servers["c1"].runs}
        ran = f"r{fleet._request_count}"
        self.assertThat(response.status, Equals(502))
        self.assertThat(response.body, Equals(b"foreign_answer"))
        self.assertTrue(ran not in sound_runs, "ran twice")

    @run_with("with_fleet")
    async def test_refusal_of_an_earlier_request_says_nothing(self, fleet, entry):
        data = refusal("x-foxtailcourse-request-id: earlier")
        await self.check(fleet, entry, FaultyServer(data))

    @run_with("with_fleet")
    async def test_refusal_that_names_no_request_says_nothing(self, fleet, entry):
        await self.check(fleet, entry, FaultyServer(refusal()))

    @run_with("with_fleet")
    async def test_refusal_that_was_written_before_the_request_says_nothing(
        self, fleet, entry
    ):
        data = refusal("x-foxtailcourse-request-id: earlier")
        await self.check(fleet, entry, FaultyServer(data, before_request=True))

    @run_with("with_fleet")
    async def test_each_request_has_a_connection_of_its_own(self, fleet, entry):
        accepted = []
        server = fleet.servers["c1"]
        fleet.remove(fleet.servers["c2"])
        await wait_until(lambda: "c2" not in entry.app._view.servers)
        connect = entry.app._pool.connect

        async def count(address, options):
            conn = await connect(address, options)
            if address == fleet.addresses["c1"]:
                accepted.append(conn.reused)
            return conn

        entry.app._pool.connect = count
        for _ in range(5):
            self.assertThat((await fleet.call(entry, "return")).status, Equals(200))
        self.assertThat(len(server.runs), Equals(5))
        self.assertThat(accepted, Equals([False] * 5))
