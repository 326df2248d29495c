import signal

import msgspec
import pytest
import trio
from testtools.matchers import Contains, Equals
from traffic import ACCOUNTS

from fleet_case import SLOW_ENGINE, FleetTestCase
from foxtailcourse.http import ClientError
from foxtailcourse.standin import BUSINESS_KEY

pytestmark = pytest.mark.processes


class TestBrokenBackends(FleetTestCase):
    """Guards streams against a killed or stopped agent (invariants 2 and 4)."""

    def check_after_signal(self, check, signum, **options):
        async def run(fleet, callers, nursery):
            async def send_signal():
                await fleet.signal_busiest_agent(signum)

            check(await self.run_during_streams(callers, send_signal))

        self.run_fleet(run, engine_options=SLOW_ENGINE, **options)

    def test_streams_of_a_killed_agent_are_continued(self):
        def check(stats):
            self.assertThat(stats.violations, Equals([]))
            self.assertThat((stats.ok, stats.broken), Equals((len(ACCOUNTS), 0)))

        self.check_after_signal(check, signal.SIGKILL)

    def test_streams_of_an_unresponsive_agent_are_continued(self):
        def check(stats):
            self.assertThat(stats.violations, Equals([]))
            self.assertThat((stats.ok, stats.broken), Equals((len(ACCOUNTS), 0)))

        options = "stream_idle_timeout_s = 1"
        self.check_after_signal(check, signal.SIGSTOP, entry_options=options)

    def test_request_to_an_unresponsive_agent_is_sent_to_another(self):
        async def check(fleet, callers, nursery):
            fleet.programs["assistant-1"].send_signal(signal.SIGSTOP)
            await callers.run(1.0, {"short_question": 10.0})
            stats = callers.stats_for("short question")
            self.assertThat((stats.violations, stats.refused), Equals(([], {})))
            broken = [
                each.fields["code"]
                for vm in ("entry-1", "entry-2")
                for each in fleet.programs[vm].events
                if each.name == "attempt_broken"
            ]
            self.assertThat(set(broken), Equals({"frozen"}))

        self.run_fleet(check, entry_options="probe_after_s = 0.3")

    def test_without_continuation_streams_are_marked_broken(self):
        """Control: with one attempt, streams break, but none looks complete."""

        def check(stats):
            self.assertThat(stats.violations, Equals([]))
            self.assertTrue(stats.broken > 0)
            self.assertThat(stats.ok + stats.broken, Equals(len(ACCOUNTS)))

        self.check_after_signal(check, signal.SIGKILL, entry_options="max_attempts = 1")


class TestStop(FleetTestCase):
    """Guards requests against planned stops and leaving agents (invariants 7 and 8)."""

    async def stop_entry(self, fleet, callers):
        """Stop an entry under load and remove it from the load balancer on drain."""
        stopped = fleet.entries()[0]
        program = fleet.programs[stopped.vm]

        async def stop():
            program.send_signal(signal.SIGTERM)
            await program.wait_event("drain_started")
            callers.entries.remove(stopped.listen)

        async with trio.open_nursery() as nursery:
            rates = {"short_question": 30.0, "coat_return": 10.0}
            nursery.start_soon(callers.run, 3.0, rates)
            await self.run_during_streams(callers, stop)
        return await program.process.wait()

    def test_sigterm_under_load_interrupts_no_request(self):
        async def check(fleet, callers, nursery):
            exit_code = await self.stop_entry(fleet, callers)
            self.assertThat(exit_code, Equals(0))
            for name, stats in callers.stats.items():
                self.assertThat(stats.violations, Equals([]), name)
                self.assertThat(stats.broken, Equals(0), name)
                self.assertThat(stats.refused, Equals({}), name)

        self.run_fleet(check, engine_options=SLOW_ENGINE)

    def test_without_the_drain_requests_are_cut(self):
        """Control: without time to drain, streams are cut."""

        async def check(fleet, callers, nursery):
            await self.stop_entry(fleet, callers)
            violations = [
                each for stats in callers.stats.values() for each in stats.violations
            ]
            self.assertThat("\n".join(violations), Contains("cut without an error"))

        options = "drain_grace_s = 0\ndrain_limit_s = 0"
        self.run_fleet(check, engine_options=SLOW_ENGINE, process_options=options)

    def test_announced_stop_ends_the_entry(self):
        async def check(fleet, callers, nursery):
            stopped = fleet.entries()[0].vm
            await fleet.apply({f"stops/{stopped}": {}})
            await fleet.programs[stopped].wait_event("stop_announced")
            exit_code = await fleet.programs[stopped].process.wait()
            self.assertThat(exit_code, Equals(0))

        self.run_fleet(check)

    def test_leaving_agent_is_excluded_although_the_vm_list_lags(self):
        async def check(fleet, callers, nursery):
            fault = {"vm_list_lag_ms": 600_000, "outage": "refuse"}
            await fleet.post(fleet.platform, "/fault", fault)
            leaving = fleet.programs["assistant-1"]

            async def leave():
                leaving.send_signal(signal.SIGTERM)
                await callers.run(2.0, {"short_question": 10.0})

            stats = await self.run_during_streams(callers, leave)
            questions = callers.stats_for("short question")
            for each in (stats, questions):
                self.assertThat(each.violations, Equals([]))
                self.assertThat(each.broken, Equals(0))
                self.assertThat(each.refused, Equals({}))
            self.assertThat(await leaving.process.wait(), Equals(0))
            refusals = [e for e in leaving.events if e.name == "request_refused"]
            # Each of the two entries may have had a few attempts in flight when it
            # received the first refusal.
            self.assertTrue(len(refusals) <= 10, len(refusals))

        self.run_fleet(
            check,
            assistants=3,
            engine_options=SLOW_ENGINE,
            process_options="drain_grace_s = 1.5",
        )


class TestDuplicates(FleetTestCase):
    """Guards against a second run of calls sent through two entries (invariant 6)."""

    async def submit(self, fleet, callers, coat, fields):
        """Submit one return four times, twice through each entry."""
        statuses = []

        async def submit_through(address):
            async with callers.pool.request(
                address,
                "POST",
                "/services/counter/return",
                headers=fields | {BUSINESS_KEY: coat},
                body=b"{}",
            ) as response:
                await response.read()
                statuses.append(response.status)

        async with trio.open_nursery() as nursery:
            for address in callers.entries * 2:
                nursery.start_soon(submit_through, address)
        return statuses

    def submit_all(self, check, records=None):
        async def run(fleet, callers, nursery):
            for number in range(10):
                fields = callers.headers("teatro")
                key_fields = {"idempotency-key": f"coat {number}"}
                statuses = await self.submit(
                    fleet, callers, f"own-{number}", fields | key_fields
                )
                self.assertThat(statuses, Equals([200] * 4))
                key_request = msgspec.json.encode({"route": "counter"})
                async with callers.pool.request(
                    callers.entries[0],
                    "POST",
                    "/v1/idempotency-keys",
                    headers=fields,
                    body=key_request,
                ) as response:
                    issued = (await response.json())["key"]
                fields |= {"idempotency-key": issued}
                await self.submit(fleet, callers, f"issued-{number}", fields)
            check(await fleet.run_counts("counter"))

        self.run_fleet(run, records=records, service_options="delay_s=0.02")

    def test_each_return_runs_once(self):
        def check(runs):
            self.assertThat(set(runs.values()), Equals({1}))
            self.assertThat(len(runs), Equals(20))

        self.submit_all(check)

    def test_repeatable_route_runs_each_call(self):
        """Control: a repeatable route does not join calls with the same key."""

        def check(runs):
            self.assertThat(set(runs.values()), Equals({4}))

        repeatable = {"route": "counter", "repeatable": True}
        self.submit_all(check, records={"services/counter": repeatable})


class TestRestart(FleetTestCase):
    """Guards against refusals by a restarted entry (invariant 3)."""

    async def restart(self, fleet, nursery, vms):
        for vm in vms:
            fleet.programs[vm].send_signal(signal.SIGKILL)
            await fleet.programs[vm].process.wait()
        async with trio.open_nursery() as starting:
            for vm in vms:
                starting.start_soon(fleet.start_vm, nursery, vm)

    def restart_and_call(self, vms, outage):
        async def check(fleet, callers, nursery):
            await fleet.post(fleet.platform, "/fault", {"outage": outage})
            await self.restart(fleet, nursery, vms)
            callers.entries = [fleet.vms[vm].listen for vm in vms]
            await callers.run(1.0, {"short_question": 10.0, "coat_return": 5.0})
            await fleet.post(fleet.platform, "/fault", {"outage": "off"})
            for name, stats in callers.stats.items():
                self.assertThat(stats.violations, Equals([]), name)
                self.assertThat(stats.refused, Equals({}), name)
            self.assertThat(
                set((await fleet.run_counts("counter")).values()), Equals({1})
            )

        self.run_fleet(check)

    def test_all_entries_restarted_together(self):
        self.restart_and_call(["entry-1", "entry-2"], outage="off")

    def test_entry_restarted_with_the_platform_down(self):
        self.restart_and_call(["entry-1"], outage="refuse")

    def test_all_entries_restarted_with_the_platform_down(self):
        """The entries load the configuration from the agents."""
        self.restart_and_call(["entry-1", "entry-2"], outage="silent")

    def test_call_repeated_through_another_entry_runs_once(self):
        async def check(fleet, callers, nursery):
            fields = callers.headers("teatro") | {"idempotency-key": "mine"}
            fields |= {BUSINESS_KEY: "coat"}
            path = "/services/counter/return"

            async def call_killed_entry():
                try:
                    async with callers.pool.request(
                        callers.entries[0], "POST", path, headers=fields
                    ):
                        self.fail("the killed entry responded")
                except ClientError:
                    pass

            async with trio.open_nursery() as submitting:
                submitting.start_soon(call_killed_entry)
                while not (await fleet.run_counts("counter")).get("coat"):
                    await trio.sleep(0.01)
                fleet.programs["entry-1"].send_signal(signal.SIGKILL)
            async with callers.pool.request(
                callers.entries[1], "POST", path, headers=fields
            ) as response:
                self.assertThat(response.status, Equals(200))
                self.assertThat((await response.json())["run"], Equals(1))
            self.assertThat(await fleet.run_counts("counter"), Equals({"coat": 1}))

        self.run_fleet(check, service_options="delay_s=1.0")


class TestDeadlyRequest(FleetTestCase):
    """Guards servers against a request that crashes them, at entries that restart."""

    def test_crashes_at_two_entries_count_together_and_outlive_the_restart_of_one(self):
        async def submit(fleet, callers, number):
            async with callers.pool.request(
                callers.entries[number],
                "POST",
                "/services/availability/a",
                headers=callers.headers("teatro"),
                body=b"deadly",
            ) as response:
                await response.read()
                return response.status

        async def check(fleet, callers, nursery):
            for number in range(2):
                await submit(fleet, callers, number)
            entries = [fleet.programs[vm] for vm in ("entry-1", "entry-2")]
            for entry in entries:
                await entry.wait_event("parts_blocked")
            first = len(entries[0].events)
            entries[0].send_signal(signal.SIGKILL)
            await entries[0].process.wait()
            await fleet.start_vm(nursery, "entry-1")
            await entries[0].wait_event("parts_blocked", first=first)
            statuses = [await submit(fleet, callers, n) for n in (0, 1)]
            self.assertThat(statuses, Equals([503, 503]))
            crashes = 0
            for vm, address in fleet.backend_addresses.items():
                if vm.startswith("availability"):
                    crashes += (await fleet.get(address, "/standin"))["crashes"]
            self.assertThat(crashes, Equals(2))

        self.run_fleet(
            check,
            records={
                "services/availability": {"route": "availability", "repeatable": True}
            },
            layout={"availability": 3},
            service_options="deadly_body=deadly",
            entry_options="max_attempts = 1",
        )
