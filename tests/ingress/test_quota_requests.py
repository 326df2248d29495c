import trio
from ingress_case import IngressCase
from testtools.matchers import Equals

from cluster import wait_until
from foxtailcourse.standin._backend_server import BackendServerFaults
from support import run_with

TOKENS = {"unit": "tokens", "ratePerS": 1000, "burst": 1000, "uncachedTokens": 300}
LARGE = {"x_foxtailcourse_token_counts": "596,4"}


class TestQuotaRequests(IngressCase):
    """Guards requests of accounts with quotas, from the caller to the server."""

    async def configure(self, fleet, entry, quota, **options):
        # The entry then knows at once that it is the only one.
        app = entry.app
        app._shares.hold_s = 1.5
        await wait_until(lambda: app._shares.is_settled(app._handler.clock()))
        fleet.configure(version=2, quota=quota, **options)
        await wait_until(
            lambda: entry.events("configuration_applied")[-1]["version"] == "2"
        )
        key = f"q/{quota.get('unit', 'requests')}/teatro"
        await wait_until(lambda: key in app._quotas._states)
        # Use before the start may still count.
        await trio.sleep(3 * quota["burst"] / quota["ratePerS"])

    @run_with("with_fleet")
    async def test_tokens_beyond_the_quota_are_refused_until_they_have_leaked(
        self, fleet, entry
    ):
        await self.configure(fleet, entry, TOKENS)
        for _ in range(2):
            response = await fleet.call(entry, "brief", stream=4, **LARGE)
            self.assertThat(response.status, Equals(200))
        response = await fleet.call(entry, "brief", stream=4, **LARGE)
        self.assertThat((response.status, response.body), Equals((429, b"quota")))
        retry_after_s = float(response.headers["retry-after"])
        self.assertTrue(0.1 <= retry_after_s <= 0.3, retry_after_s)
        self.assertThat(len(self.runs(fleet)), Equals(2))
        (refused,) = entry.events("quota_refused")
        self.assertThat(refused["client_account"], Equals("teatro"))
        expected = ("1000.0", "600")
        self.assertThat((refused["limit"], refused["tokens"]), Equals(expected))
        self.assertTrue(1000 <= int(refused["use"]) <= 1200, refused)
        metrics = entry.daemon.metrics.render()[0].decode()
        for outcome, tokens in (("admitted", 1200), ("refused", 600)):
            self.assertIn(
                f'quota_tokens_total{{account="teatro",outcome="{outcome}"}} {tokens}',
                metrics,
            )
        # Other accounts and routes without an account are not concerned.
        for name, key in (("look", "key-w"), ("open", ""), ("open", "key-1")):
            response = await fleet.call(entry, name, key=key)
            self.assertThat(response.status, Equals(200))
        await trio.sleep(1.25 / 0.75 * retry_after_s)
        response = await fleet.call(entry, "brief", stream=4, **LARGE)
        self.assertThat(response.status, Equals(200))

    @run_with("with_fleet")
    async def test_tokens_of_requests_that_have_not_run_are_returned(
        self, fleet, entry
    ):
        await self.configure(fleet, entry, TOKENS)
        for server in fleet.servers.values():
            server.faults = BackendServerFaults(refuse=True)
        for _ in range(5):
            response = await fleet.call(entry, "brief", stream=4, **LARGE)
            self.assertThat(response.status, Equals(503))
        metrics = entry.daemon.metrics.render()[0].decode()
        self.assertIn('account="teatro",outcome="returned"} 3000', metrics)

    @run_with("with_fleet")
    async def test_request_that_may_have_run_keeps_its_tokens(self, fleet, entry):
        await self.configure(fleet, entry, TOKENS)
        for server in fleet.servers.values():
            server.faults = BackendServerFaults(lose_answer=True)
        statuses = [
            (await fleet.call(entry, "return", body=str(n).encode())).status
            for n in range(5)
        ]
        self.assertThat(statuses, Equals([502, 502, 502, 502, 429]))

    @run_with("with_fleet")
    async def test_quota_of_requests_counts_each_one(self, fleet, entry):
        await self.configure(fleet, entry, {"ratePerS": 3, "burst": 3})
        responses = [await fleet.call(entry, "look") for _ in range(5)]
        statuses = [each.status for each in responses]
        self.assertThat(statuses, Equals([200, 200, 200, 200, 429]))

    @run_with("with_fleet")
    async def test_request_without_token_counts_has_the_accounts_number(
        self, fleet, entry
    ):
        await self.configure(fleet, entry, TOKENS)
        statuses = [(await fleet.call(entry, "look")).status for _ in range(5)]
        self.assertThat(statuses, Equals([200, 200, 200, 200, 429]))

    @run_with("with_fleet")
    async def test_use_at_one_entry_counts_at_another(self, fleet, entry):
        await self.configure(fleet, entry, TOKENS)
        other = await fleet.start_entry("e2")
        await wait_until(lambda: other.app.readiness().ready)
        other.app._shares.hold_s = 1.5
        for app in (entry.app, other.app):
            clock = app._handler.clock
            await wait_until(
                lambda app=app, clock=clock: (
                    app._shares.is_settled(clock())
                    and app._sums.heard_entries(clock()) == 1
                )
            )
        await trio.sleep(3)
        for _ in range(4):
            await fleet.call(entry, "brief", stream=4, **LARGE)
        statuses = []
        with trio.move_on_after(1):
            while 429 not in statuses:
                response = await fleet.call(other, "look")
                statuses.append(response.status)
                await trio.sleep(0.02)
        self.assertIn(429, statuses)
        refused = other.events("quota_refused")[-1]
        self.assertTrue(int(refused["use"]) > int(refused["own_use"]), refused)
        self.assertThat(refused["heard_entries"], Equals("1"))
