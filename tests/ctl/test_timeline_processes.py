import json
import signal
import subprocess
import sys

import pytest
import trio
from testtools.matchers import Contains, Equals, LessThan

from fleet_case import SLOW_ENGINE, FleetTestCase

pytestmark = pytest.mark.processes
ENTRY_EVENTS = [
    "request_admitted",
    "attempt_sent",
    "attempt_broken",
    "attempt_ended",
    "attempt_sent",
    "attempt_ended",
    "request_answered",
]
AGENT_EVENTS = ["request_started", "request_ended"]


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
    """Guards the timeline of a request whose backend server was killed."""

    def test_events_around_a_killed_backend_server_are_in_causal_order(self):
        async def check(fleet, callers, nursery):
            async def kill():
                await fleet.signal_busiest_agent(signal.SIGKILL)

            await self.run_during_streams(callers, kill)
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
        by_entry = [name for process, name in shown if process == "foxtail-entry"]
        by_agent = [name for process, name in shown if process == "foxtail-agent"]
        self.assertThat(by_entry, Equals(ENTRY_EVENTS))
        self.assertThat(by_agent, Equals(AGENT_EVENTS))
        # The agent may log the end of the request after the entry has logged its
        # last event; only messages between the two processes order their events.
        started = shown.index(("foxtail-agent", "request_started"))
        entry_indices = [i for i, each in enumerate(shown) if "entry" in each[0]]
        self.assertThat(entry_indices[4], LessThan(started))
        self.assertThat(started, LessThan(entry_indices[5]))
        page = await run_timeline(fleet, "--request", request_id, "--format", "html")
        self.assertThat(page.stdout, Contains("attempt_broken"))
