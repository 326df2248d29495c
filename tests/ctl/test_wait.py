from testtools.matchers import Contains, Equals

from foxtailcourse.ctl._errors import CtlError, ExitCode
from foxtailcourse.ctl._wait import wait_in_force
from support import AsyncTestCase


class EmptyFleet:
    """An operator's view of a platform without records and live VMs."""

    async def platform_records(self, *prefixes):
        return {}

    async def process_statuses(self):
        return []


class TestWaitInForce(AsyncTestCase):
    """Guards against success without any process that applied the configuration."""

    def test_a_fleet_without_live_vms_has_nothing_in_force(self):
        async def main():
            exc = await self.catch_error(CtlError, wait_in_force, EmptyFleet(), None, 0)
            self.assertThat(exc.code, Equals(ExitCode.FAILED))
            self.assertThat(exc.details["lines"], Contains("fleet: no VM is live"))

        self.run_async(main)
