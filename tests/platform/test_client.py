import trio
from testtools.matchers import Contains, Equals

from cluster import serve
from foxtailcourse.http import ConnectionPool
from foxtailcourse.platform import (
    KeyValueClient,
    LeaseLostError,
    PlatformError,
    Put,
    RevisionGoneError,
    StoreRestoredError,
)
from foxtailcourse.standin._platform import PlatformStandin
from support import AsyncTestCase, run_with


class TestKeyValueClient(AsyncTestCase):
    """Guards against wrong results of the store operations.

    Fencing, idempotency claims and operators' writes rely on them.
    """

    def with_client(self, check, timeout_s=2.0):
        now = [0.0]

        async def main():
            platform = PlatformStandin(lambda: now[0])
            async with serve(platform.handle) as address:
                client = KeyValueClient(ConnectionPool(), address, timeout_s)
                await check(platform, client, now)

        self.run_async(main)

    @run_with("with_client")
    async def test_transaction_is_atomic(self, platform, client, now):
        first = await client.txn({"a": 0}, [Put(key="a", value=b"1")])
        puts = [Put(key="a", value=b"2"), Put(key="b", value=b"2")]
        failed = await client.txn({"a": 0, "b": 0}, puts)
        self.assertFalse(failed.succeeded)
        self.assertThat(failed.current[0].value, Equals(b"1"))
        self.assertIsNone(platform.get("b"))
        applied = await client.txn({"a": first.revision}, puts, ["c"])
        self.assertTrue(applied.succeeded)
        self.assertThat((await client.range("b")).items[0].value, Equals(b"2"))

    @run_with("with_client")
    async def test_expired_lease_deletes_its_key_and_notifies_the_watch(
        self, platform, client, now
    ):
        lease = await client.lease_grant(1.0)
        put = Put(key="slots/0", value=b"a", lease=lease)
        first = await client.txn({"slots/0": 0}, [put])
        now[0] = 0.9
        await client.lease_keepalive(lease)
        now[0] = 1.5
        self.assertTrue(platform.get("slots/0"))
        now[0] = 2.0
        await self.catch_error(LeaseLostError, client.lease_keepalive, lease)
        result = await client.watch(["slots/"], first.revision, 5.0)
        self.assertThat([each.value for each in result.events], Equals([None]))
        exc = await self.catch_error(LeaseLostError, client.txn, {}, [put])
        self.assertFalse(exc.may_have_applied)
        second_put = Put(key="slots/0", value=b"b", lease=await client.lease_grant(1.0))
        second = await client.txn({"slots/0": 0}, [second_put])
        self.assertTrue(second.succeeded and second.revision > first.revision)
        await client.lease_revoke(second_put.lease)
        self.assertIsNone(platform.get("slots/0"))

    def test_errors_state_whether_a_write_may_have_been_applied(self):
        async def check(platform, client, now):
            put = Put(key="a", value=b"1")
            platform.faults.lose_answers = 1
            exc = await self.catch_error(PlatformError, client.txn, {"a": 0}, [put])
            self.assertTrue(exc.may_have_applied)
            self.assertTrue(platform.get("a"))
            platform.faults.outage = "refuse"
            exc = await self.catch_error(PlatformError, client.txn, {}, [put])
            self.assertFalse(exc.may_have_applied)
            platform.faults.outage = "silent"
            exc = await self.catch_error(PlatformError, client.txn, {}, [put])
            self.assertTrue(exc.may_have_applied)
            platform.faults.outage = "off"
            large = Put(key="a", value=b"x" * 1_000_001)
            exc = await self.catch_error(PlatformError, client.txn, {}, [large])
            self.assertFalse(exc.may_have_applied)

        self.with_client(check, timeout_s=0.2)

    @run_with("with_client")
    async def test_watch_detects_restore_and_compaction(self, platform, client, now):
        old = platform.put("a", b"1")
        new = platform.put("a", b"2")
        platform.restore(old)
        # The restored store does not have the revision.
        await self.catch_error(RevisionGoneError, client.watch, ["a"], new, 5.0)
        result = await client.watch(["a"], old, 0.0)
        self.assertThat((result.revision, result.era), Equals((old, 2)))
        self.assertThat((await client.range("a")).items[0].value, Equals(b"1"))
        platform._compacted_revision = old
        await self.catch_error(RevisionGoneError, client.watch, ["a"], old - 1, 5.0)

    @run_with("with_client")
    async def test_restore_ends_a_waiting_watch(self, platform, client, now):
        async def restore():
            while platform.calls["GET /foxtailcourse/kv-watch"] == 0:
                await trio.sleep(0.002)
            platform.restore(platform.revision)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(restore)
            await self.catch_error(
                PlatformError, client.watch, ["a"], platform.revision, 30.0
            )

    def test_malformed_conflict_is_a_platform_error_that_wrote_nothing(self):
        async def respond(exchange):
            await exchange.respond(412, b"not JSON")

        async def main():
            async with serve(respond) as address:
                client = KeyValueClient(ConnectionPool(), address)
                exc = await self.catch_error(PlatformError, client.txn, {"a": 1})
                self.assertFalse(exc.may_have_applied)

        self.run_async(main)

    @run_with("with_client")
    async def test_results_state_the_era_of_the_store(self, platform, client, now):
        self.assertThat(client.era, Equals(0))
        old = platform.put("a", b"1")
        self.assertThat((await client.range("a")).era, Equals(1))
        first = await client.txn({"a": old}, [Put(key="a", value=b"2")])
        platform.restore(old)
        second = await client.txn({"a": old}, [Put(key="a", value=b"3")])
        self.assertThat((first.revision, first.era), Equals((second.revision, 1)))
        self.assertThat(second.era, Equals(2))
        # The revision is the same, but a later era outranks an earlier one.
        self.assertTrue(second.fencing_token > first.fencing_token)
        platform.faults.outage = "refuse"
        platform.restore(old)
        await self.catch_error(PlatformError, client.range, "a")
        self.assertThat(client.era, Equals(3))

    def test_page_that_does_not_advance_is_not_the_last_one(self):
        item = {"key": "a/1", "revision": 3, "value": ""}
        for second_page in ([], [item]):
            pages = iter(([item], second_page))

            async def respond(exchange, pages=pages):
                page = {"items": next(pages), "asOf": 9, "hasMore": True}
                await exchange.respond_json(200, page)

            async def main(respond=respond):
                async with serve(respond) as address:
                    client = KeyValueClient(ConnectionPool(), address)
                    exc = await self.catch_error(PlatformError, client.range, "a/")
                    self.assertThat(str(exc), Contains("though more follow"))

            self.run_async(main)

    def test_late_response_of_an_earlier_era_is_not_used(self):
        eras = iter(("4", "3", "x", "", "\xb2"))

        async def respond(exchange):
            exchange.common_fields["store-era"] = next(eras)
            await exchange.respond_json(200, {"items": [], "asOf": 9})

        async def main():
            async with serve(respond) as address:
                client = KeyValueClient(ConnectionPool(), address)
                await client.range("a")
                exc = await self.catch_error(StoreRestoredError, client.range, "a")
                self.assertTrue(exc.may_have_applied)
                # A response without a readable era belongs to the present one.
                for _ in range(3):
                    self.assertThat((await client.range("a")).era, Equals(4))

        self.run_async(main)

    def test_malformed_restore_changes_no_fault_of_the_standin(self):
        async def main():
            platform = PlatformStandin()
            async with serve(platform.handle) as address:
                body = b'{"outage": "refuse", "restore": "yesterday"}'
                async with ConnectionPool().request(
                    address, "POST", "/fault", body=body
                ) as response:
                    self.assertThat(response.status, Equals(400))
                    await response.read()
            self.assertThat(platform.faults.outage, Equals("off"))
            self.assertThat(platform.era, Equals(1))

        self.run_async(main)
