import json
import signal
import subprocess
import sys

import pytest
import trio
from testtools.matchers import Contains, Equals

from fleet_case import SLOW_ENGINE, FleetTestCase

pytestmark = pytest.mark.processes
EVENTS_OF_A_CONTINUED_STREAM = [
    ("foxtail-entry", "request_admitted"),
    ("foxtail-entry", "attempt_sent"),
    ("foxtail-entry", "attempt_broken"),
    ("foxtail-entry", "attempt_ended"),
    ("foxtail-entry", "attempt_sent"),
    ("foxtail-agent", "request_started"),
    ("foxtail-agent", "request_ended"),
    ("foxtail-entry", "attempt_ended"),
    ("foxtail-entry", "request_answered"),
]


async def run_timeline(fleet, *options):
    """Run ``foxtailctl timeline`` and return what it printed."""
    command = [sys.executable, "-m", "foxtailcourse.ctl.run"]
    command += ["--key-value", str(fleet.platform), "--vm-list", str(fleet.platform)]
    done = await trio.run_process(
        [*command, "timeline", *options],
        capture_stdout=True,
        capture_stderr=True,
        check=False,
    )
    return subprocess.CompletedProcess(
        command, done.returncode, done.stdout.decode(), done.stderr.decode()
    )


class TestTimeline(FleetTestCase):
    """Guards an operator's view of a request whose backend server was killed."""

    def test_killed_backend_server_shows_in_order(self):
        async def check(fleet, callers, nursery):
            async def kill():
                await fleet.kill_busiest(signal.SIGKILL)

            await self.streams_while(callers, kill)
            done = await run_timeline(fleet, "--json")
            self.assertThat(done.returncode, Equals(0), done.stderr)
            events = json.loads(done.stdout)["events"]
            broken = next(e for e in events if e["name"] == "attempt_broken")
            request_id = broken["fields"]["request_id"]
            await self.check_request(fleet, request_id)

        self.run_fleet(check, engine_options=SLOW_ENGINE)

    async def check_request(self, fleet, request_id):
        done = await run_timeline(fleet, "--request", request_id, "--json")
        events = json.loads(done.stdout)["events"]
        shown = [(e["process"].partition("/")[0], e["name"]) for e in events]
        self.assertThat(shown, Equals(EVENTS_OF_A_CONTINUED_STREAM))
        page = await run_timeline(fleet, "--request", request_id, "--format", "html")
        self.assertThat(page.stdout, Contains("attempt_broken"))
