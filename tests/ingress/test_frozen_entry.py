import time

import testtools
import trio
from ingress_case import IngressCase
from testtools.matchers import Equals

from cluster import wait_until
from foxtailcourse.ingress._clock import CATCH_UP_S, FROZEN_S, CatchUpClock
from foxtailcourse.standin._backend_server import BackendServerStandin
from support import run_with

DEADLINE_MS = 400


class FreezingServer(BackendServerStandin):
    """Answers, and stops the process of the test until the deadline has passed."""

    def _freeze(self):
        time.sleep(DEADLINE_MS / 1000 + FROZEN_S)

    async def _execute(self, exchange, run):
        await super()._execute(exchange, run)
        self._freeze()


class SilentFreezingServer(FreezingServer):
    """Stops the process without having answered."""

    async def _execute(self, exchange, run):
        self._freeze()
        await trio.sleep_forever()


class TestFrozenEntry(IngressCase):
    """Guards requests whose deadline passes while the entry is frozen."""

    def run_async(self, main):
        clock = CatchUpClock()
        super().run_async(main, clock=clock, instruments=[clock])

    async def call_frozen(self, fleet, entry, server):
        for name in ("c1", "c2"):
            fleet.remove(fleet.servers[name])
        await fleet.add_server(server)
        known = entry.app._view.servers
        await wait_until(lambda: {"c1", "c2", "f"} & set(known) == {"f"})
        return await fleet.call(
            entry, "return", x_foxtailcourse_deadline_ms=str(DEADLINE_MS)
        )

    @run_with("with_fleet")
    async def test_answer_that_arrived_in_the_freeze_is_forwarded(self, fleet, entry):
        server = FreezingServer("f", "coats")
        response = await self.call_frozen(fleet, entry, server)
        self.assertThat(response.status, Equals(200))

    @run_with("with_fleet")
    async def test_request_without_an_answer_times_out_after_the_freeze(
        self, fleet, entry
    ):
        server = SilentFreezingServer("f", "coats")
        response = await self.call_frozen(fleet, entry, server)
        self.assertThat(response.status, Equals(504))


class TestCatchUpClock(testtools.TestCase):
    """Guards which timeouts expire in a pass of the event loop."""

    def test_timeouts_expire_later_after_a_late_pass_only_once(self):
        now = 0.0
        clock = CatchUpClock(lambda: now)
        expired_until = []
        late_s = 2 * FROZEN_S
        for step_s in (1.0, 1.0 + late_s, CATCH_UP_S / 2, late_s, late_s):
            now += step_s
            clock.after_io_wait(1.0 if step_s >= 1.0 else 0.0)
            expired_until.append(clock.current_time() - now)
            self.assertThat(clock.current_time(), Equals(now))
        held_s = 1.0 + late_s
        expected = [0.0, -held_s, -held_s - CATCH_UP_S / 2, 0.0, -late_s]
        self.assertThat(
            [round(each, 6) for each in expired_until],
            Equals([round(each, 6) for each in expected]),
        )
