import msgspec
from testtools.matchers import Equals

from cluster import serve
from foxtailcourse.http import ConnectionPool, Framing
from foxtailcourse.standin._backend_server import (
    BackendServerFaults,
    BackendServerStandin,
    stream_event,
)
from support import AsyncTestCase, run_trio


class TestBackendServerStandin(AsyncTestCase):
    """Guards what the soak's checks read from backend servers."""

    def test_registration_states_the_software_version(self):
        for options, expected in (({}, "v1"), ({"software_version": "v2"}, "v2")):
            server = BackendServerStandin("m1", "llm", **options)
            value = msgspec.json.decode(server.registration("127.0.0.1:1", "palermo"))
            self.assertThat(value["version"], Equals(expected))

    @run_trio
    async def test_run_records_software_version_and_position(self):
        server = BackendServerStandin("m1", "llm", software_version="v2")
        fields = {
            "x-foxtailcourse-request-id": "r1",
            "x-foxtailcourse-token-counts": "100,4",
            "last-event-id": "2",
        }
        pool = ConnectionPool()
        async with (
            serve(server.handle) as address,
            pool.request(address, "POST", "/ask/x", headers=fields) as response,
        ):
            body = b"".join([chunk async for chunk in response.iter_chunks()])
        await pool.aclose()
        self.assertThat(
            body, Equals(b"".join(stream_event("r1", n, "v2") for n in (3, 4)))
        )
        (run,) = server.runs
        self.assertThat((run.software_version, run.position), Equals(("v2", 2)))

    @run_trio
    async def test_unframed_answers_and_streams_end_with_their_connection(self):
        server = BackendServerStandin("m1", "llm")
        server.faults = BackendServerFaults(unframed=True)
        for tokens in ({}, {"x-foxtailcourse-token-counts": "100,4"}):
            fields = {"x-foxtailcourse-request-id": "r1", **tokens}
            pool = ConnectionPool()
            async with (
                serve(server.handle) as address,
                pool.request(address, "GET", "/ask/x", headers=fields) as response,
            ):
                self.assertThat(response.framing, Equals(Framing.CLOSE))
                self.assertTrue(await response.read())
            await pool.aclose()
