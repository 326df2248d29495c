import trio
from ingress_case import IngressCase
from testtools.matchers import Equals, LessThan

from cluster import wait_until
from foxtailcourse.platform import PlatformError
from support import run_with

DEADLINE_S = 0.6


class TestConfigurationRefresh(IngressCase):
    """Guards requests that wait for a reading of the store before they are denied."""

    def age_configuration(self, entry):
        entry.app._view.configuration_freshness.as_of -= 1.0

    async def call_with_deadline(self, fleet, entry):
        """Return the response to a request on an unknown route, or None if late."""
        deadline_ms = str(int(DEADLINE_S * 1000))
        with trio.move_on_after(DEADLINE_S):
            return await fleet.call(
                entry, "none", x_foxtailcourse_deadline_ms=deadline_ms
            )

    @run_with("with_fleet", call_timeout_s=5.0, watch_wait_s=5.0)
    async def test_unknown_route_is_refused_before_its_deadline_at_a_silent_store(
        self, fleet, entry
    ):
        fleet.platform.faults.outage = "silent"
        self.age_configuration(entry)
        response = await self.call_with_deadline(fleet, entry)
        self.assertIsNotNone(response)
        self.assertThat(response.status, Equals(503))
        self.assertThat(float(response.headers["retry-after"]), LessThan(1.0))

    @run_with("with_fleet", watch_wait_s=5.0)
    async def test_one_failed_reading_serves_all_requests_that_wait_for_it(
        self, fleet, entry
    ):
        readings, release, statuses = [], trio.Event(), []

        async def read(prefix):
            readings.append(prefix)
            await release.wait()
            raise PlatformError("no response", may_have_applied=False)

        async def call():
            statuses.append((await fleet.call(entry, "none")).status)

        entry.app._watcher.refresh = read
        self.age_configuration(entry)
        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(call)
            await wait_until(lambda: entry.app._http_server.active == 4)
            release.set()
        self.assertThat(len(readings), Equals(1))
        self.assertThat(statuses, Equals([503] * 4))
