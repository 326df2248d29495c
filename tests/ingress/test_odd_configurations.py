from ingress_case import IngressCase, route
from testtools.matchers import Equals

from cluster import wait_until
from support import run_with

# Limits of a configuration that cannot be kept.
NEGATIVE_LIMITS = {"headerTimeoutMs": -1, "idleTimeoutMs": -1, "maxBodyBytes": -1}


class TestOddConfigurations(IngressCase):
    """Guards requests under a configuration with values that make no sense."""

    async def call_configured(self, fleet, entry, **options):
        fleet.configure(version=2, **options)
        await wait_until(
            lambda: entry.events("configuration_applied")[-1]["version"] == "2"
        )
        return await fleet.call(entry, "look")

    @run_with("with_fleet")
    async def test_negative_limits_do_not_end_the_process(self, fleet, entry):
        response = await self.call_configured(fleet, entry, limits=NEGATIVE_LIMITS)
        self.assertThat(response.status, Equals(200))

    @run_with("with_fleet")
    async def test_route_whose_services_have_no_share_is_refused(self, fleet, entry):
        split = [{"service": "coats", "weight": weight} for weight in (0, -1)]
        routes = [route("look", service="", trafficSplit=split)]
        response = await self.call_configured(fleet, entry, routes=routes)
        self.assertThat(response.status, Equals(503))
        self.assertIn("retry-after", response.headers)

    @run_with("with_fleet")
    async def test_quota_that_is_no_number_is_logged_and_no_limit(self, fleet, entry):
        quota = {"ratePerS": "lots", "burst": -1, "unit": "tokens"}
        response = await self.call_configured(fleet, entry, quota=quota)
        self.assertThat(response.status, Equals(200))
        reasons = [each["reason"] for each in entry.events("quota_unreadable")]
        self.assertThat(
            reasons,
            Equals(
                [
                    "account teatro: ratePerS 'lots' means no limit",
                    "account teatro: burst -1 means no burst",
                ]
            ),
        )
