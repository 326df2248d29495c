from testtools.matchers import Equals

from cluster import serve
from foxtailcourse.http import ClientError, ConnectionPool, RequestOptions
from foxtailcourse.protocol import Verdict
from foxtailcourse.settings import Address
from support import AsyncTestCase

# A label may have 63 characters and must not be empty; a NUL ends a C string.
UNRESOLVABLE_HOSTS = ("0" * 64, "worker..example", "worker\0.example", "ä" * 64)


class TestUnresolvableHosts(AsyncTestCase):
    """Guards against host names at which the resolver raises no OSError.

    Such a name in one record ended each process of a fleet.
    """

    def test_request_to_a_host_name_that_cannot_be_encoded_has_not_run(self):
        async def main():
            pool = ConnectionPool()
            for host in UNRESOLVABLE_HOSTS:
                try:
                    async with pool.request(
                        Address(host, 80), "GET", "/", options=RequestOptions()
                    ):
                        self.fail(host)
                except ClientError as exc:
                    self.assertThat(exc.verdict, Equals(Verdict.NOT_RUN), host)

        self.run_async(main)

    def test_header_that_latin_1_lacks_fails_the_request_only(self):
        async def handle(exchange):
            await exchange.respond(200)

        async def main():
            async with serve(handle) as address:
                pool = ConnectionPool()
                headers = {"x-foxtailcourse-expected-instance": "m\N{SNOWMAN}"}
                try:
                    async with pool.request(address, "GET", "/", headers=headers):
                        self.fail("the header was sent")
                except ClientError as exc:
                    self.assertThat(exc.verdict, Equals(Verdict.NOT_RUN))

        self.run_async(main)
