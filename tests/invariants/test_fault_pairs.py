"""Two faults at once. The invariants are numbered as in docs/invariants.md."""

import signal

import msgspec
import pytest
import trio
from fleet import Fleet, free_address
from testtools.matchers import Equals
from traffic import ACCOUNTS

from fleet_case import SHARED_MESSAGES, SLOW_ENGINE, FleetTestCase
from foxtailcourse.ctl import _operator
from foxtailcourse.ctl._errors import CtlError, ExitCode
from foxtailcourse.ctl._operator import Operator, OperatorSettings
from foxtailcourse.idempotency import issuing_agent
from foxtailcourse.standin import BUSINESS_KEY

pytestmark = pytest.mark.processes
RETURN_PATH = "/services/counter/return"
VM_LIST_LAG = {"vm_list_lag_ms": 600_000}
COUNTERS_LAYOUT = {"assistants": 1, "availability": 0}
ONE_OF_EACH_LAYOUT = COUNTERS_LAYOUT | {"counters": 1}
ASSISTANTS_LAYOUT = {"counters": 0, "availability": 0}
REPEATABLE_ROUTE = {"services/counter": {"route": "counter", "repeatable": True}}


class KeyedCallTestCase(FleetTestCase):
    async def issue_key(self, callers):
        """Return header fields with an idempotency key, and the VM that issued it."""
        fields = callers.headers("teatro")
        async with callers.pool.request(
            callers.entries[0],
            "POST",
            "/v1/idempotency-keys",
            headers=fields,
            body=msgspec.json.encode({"route": "counter"}),
        ) as response:
            key = (await response.json())["key"]
        fields |= {"idempotency-key": key, BUSINESS_KEY: "coat"}
        return fields, issuing_agent(key)

    async def submit_through_each_entry(self, callers, fields):
        """Send the same call through each entry; return (status, verdict) pairs."""
        responses = []

        async def submit(address):
            async with callers.pool.request(
                address, "POST", RETURN_PATH, headers=fields, body=b"{}"
            ) as response:
                await response.read()
                verdict = response.headers["foxtail-verdict"]
                responses.append((response.status, verdict))

        async with trio.open_nursery() as nursery:
            for address in callers.entries:
                nursery.start_soon(submit, address)
        return responses


class TestUnresponsiveIssuingAgent(KeyedCallTestCase):
    """Guards invariant 6: a key's issuing agent is stopped while the VM list lags."""

    ENTRY_OPTIONS = "probe_after_s = 0.2\nprobe_timeout_s = 1.0\nmax_attempts = 2"

    def run_with_stopped_agent(self, check, records=None):
        async def run(fleet, callers, nursery):
            fields, issuing_vm = await self.issue_key(callers)
            await fleet.post(fleet.platform, "/fault", VM_LIST_LAG)
            # The list already shows the agent as leaving, but no process has it yet.
            fleet.vms[issuing_vm].state = "leaving"
            await fleet.publish_vms()
            fleet.programs[issuing_vm].send_signal(signal.SIGSTOP)
            while_stopped = await self.submit_through_each_entry(callers, fields)
            runs_while_stopped = await fleet.run_counts("counter")
            fleet.programs[issuing_vm].send_signal(signal.SIGCONT)
            after_resume = await self.submit_through_each_entry(callers, fields)
            check(
                while_stopped,
                runs_while_stopped,
                after_resume,
                await fleet.run_counts("counter"),
            )

        self.run_fleet(
            run,
            records=records,
            layout=COUNTERS_LAYOUT,
            entry_options=self.ENTRY_OPTIONS,
        )

    def test_duplicates_through_two_entries_run_once(self):
        def check(while_stopped, runs_while_stopped, after_resume, runs):
            self.assertThat(while_stopped, Equals([(503, "may-have-run")] * 2))
            self.assertThat(runs_while_stopped, Equals({}))
            self.assertThat(after_resume, Equals([(200, "ran")] * 2))
            self.assertThat(runs, Equals({"coat": 1}))

        self.run_with_stopped_agent(check)

    def test_without_an_issuing_agent_duplicates_run_again(self):
        """Control: the route is repeatable, so any agent may run its calls."""

        def check(while_stopped, runs_while_stopped, after_resume, runs):
            self.assertTrue(runs["coat"] > 1)

        self.run_with_stopped_agent(check, REPEATABLE_ROUTE)


class TestAgentAndEntryStopTogether(KeyedCallTestCase):
    """Guards invariants 6 and 8: an agent and an entry stop at the same time."""

    REQUEST_RATES_PER_S = {"coat_return": 30.0}

    async def stop_both(self, fleet, callers):
        stopped = [fleet.programs[vm] for vm in ("counter-1", "entry-1")]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(callers.run, 1.0, self.REQUEST_RATES_PER_S)
            while callers.stats_for("coat return").sent < 10:
                await trio.sleep(0.01)
            for each in stopped:
                each.send_signal(signal.SIGTERM)
            await stopped[1].wait_event("drain_started")
            callers.entries.remove(fleet.vms["entry-1"].listen)
        exit_codes = [await each.process.wait() for each in stopped]
        stats, runs = (
            callers.stats_for("coat return"),
            await fleet.run_counts("counter"),
        )
        self.assertThat(set(runs.values()), Equals({1}))
        self.assertThat(set(callers.returned_coats) - set(runs), Equals(set()))
        return exit_codes, stats

    def test_no_call_runs_twice_or_is_interrupted(self):
        async def check(fleet, callers, nursery):
            exit_codes, stats = await self.stop_both(fleet, callers)
            self.assertThat(exit_codes, Equals([0, 0]))
            self.assertThat(callers.unknown_coats, Equals(set()))
            # A leaving agent fences keys whose call it has not run. The first call with
            # such a key is refused as leaving, a retry as key_fenced.
            allowed_refusals = {"503 leaving (not-run)", "409 key_fenced (not-run)"}
            self.assertThat(set(stats.refused) - allowed_refusals, Equals(set()))

        self.run_fleet(check, layout=COUNTERS_LAYOUT, service_options="delay_s=0.1")

    def test_without_a_drain_calls_are_interrupted_but_run_once(self):
        """Control: the time to drain is 0."""

        async def check(fleet, callers, nursery):
            _, stats = await self.stop_both(fleet, callers)
            interrupted = [code for code in stats.refused if "may-have-run" in code]
            self.assertTrue(interrupted, stats.refused)

        options = "drain_grace_s = 0\ndrain_limit_s = 0"
        self.run_fleet(
            check,
            layout=COUNTERS_LAYOUT,
            service_options="delay_s=0.1",
            process_options=options,
        )


class TestEngineCrashDuringWeightsRollout(FleetTestCase):
    """Guards invariants 1 and 2: engines crash during a rollout of weights."""

    NEW_WEIGHTS_RECORD = {
        "models/assistant": {
            "model": "assistant",
            "weights_version": "v2",
            "min_in_service": 1,
        }
    }

    def run_crash_during_rollout(self, check, **options):
        async def run(fleet, callers, nursery):
            callers.weights_versions = ("v1", "v2")
            running_requests = {}

            async def roll_out_and_crash():
                await fleet.apply(self.NEW_WEIGHTS_RECORD)
                agents = [e.vm for e in fleet.agents() if e.serves == "assistant"]
                loading_vm = None
                while loading_vm is None:
                    states = {vm: await fleet.status(vm) for vm in agents}
                    loading_vm = next((v for v in agents if states[v]["loading"]), None)
                running_requests.update({v: states[v]["running"] for v in agents})
                # The draining engine and the busiest of the others crash.
                others = [v for v in agents if v != loading_vm]
                for vm in (loading_vm, max(others, key=running_requests.get)):
                    address = fleet.backend_addresses[vm]
                    await fleet.post(address, "/standin", {"crash": True})

            stats = await self.run_during_streams(callers, roll_out_and_crash)
            await callers.run(0.5, {"short_question": 10.0})
            for vm in running_requests:
                await fleet.wait_status(
                    vm, lambda s: s["weights_version"] == "v2" and not s["loading"]
                )
            peak = (await fleet.get(fleet.weight_store, "/standin"))["peak"]
            self.assertTrue(peak <= 2, peak)
            check(stats, callers.stats_for("short question"))

        self.run_fleet(
            run,
            layout=ASSISTANTS_LAYOUT | {"assistants": 3},
            engine_options=SLOW_ENGINE,
            weight_load_s=0.3,
            **options,
        )

    def test_each_stream_is_complete_or_marked_broken(self):
        def check(streams, questions):
            for stats in (streams, questions):
                self.assertThat(stats.violations, Equals([]))
            self.assertThat(streams.ok + streams.broken, Equals(len(ACCOUNTS)))
            self.assertTrue(streams.ok > 0)
            # The retries of the continued streams may use up the retry budget.
            self.assertTrue(all("not-run" in each for each in questions.refused))
            self.assertTrue(questions.ok > 0)

        self.run_crash_during_rollout(check)

    def test_without_continuation_streams_are_marked_broken(self):
        """Control: only one attempt is allowed."""

        def check(streams, questions):
            self.assertThat(streams.violations, Equals([]))
            self.assertTrue(streams.broken > 0)

        self.run_crash_during_rollout(check, entry_options="max_attempts = 1")


class TestTwoRestartsDuringOutage(FleetTestCase):
    """Guards invariant 3: an entry restarts twice while the platform is down."""

    async def kill_entry(self, fleet):
        fleet.programs["entry-1"].send_signal(signal.SIGKILL)
        await fleet.programs["entry-1"].process.wait()

    def test_entry_restarted_twice_without_the_platform_serves(self):
        async def check(fleet, callers, nursery):
            await fleet.post(fleet.platform, "/fault", {"outage": "refuse"})
            callers.entries = [fleet.vms["entry-1"].listen]
            for _ in range(2):
                await self.kill_entry(fleet)
                await fleet.start_vm(nursery, "entry-1")
                await callers.run(0.5, {"short_question": 10.0, "coat_return": 5.0})
            for name, stats in callers.stats.items():
                self.assertThat(stats.violations, Equals([]), name)
                self.assertThat(stats.refused, Equals({}), name)
                self.assertTrue(stats.ok > 0, name)

        self.run_fleet(check, layout=ONE_OF_EACH_LAYOUT)

    def test_without_peers_a_restarted_entry_has_no_configuration(self):
        """Control: the settings list no peers."""

        async def check(fleet, callers, nursery):
            await fleet.post(fleet.platform, "/fault", {"outage": "refuse"})
            fault = {"vm_list_outage": True}
            await fleet.post(fleet.platform, "/fault", fault)
            fleet.peers_of = lambda server: []
            await self.kill_entry(fleet)
            # The entry never becomes ready, so the test waits for its admin listener.
            nursery.start_soon(fleet.start_vm, nursery, "entry-1")
            await fleet.wait_status("entry-1", lambda status: True)
            callers.entries = [fleet.vms["entry-1"].listen]
            await callers.ask("stream", "teatro", SHARED_MESSAGES, 4)
            stats = callers.stats_for("stream")
            self.assertThat(stats.ok, Equals(0))
            self.assertTrue(all("not-run" in each for each in stats.refused))

        self.run_fleet(check, layout=ONE_OF_EACH_LAYOUT)


class IsolatedEntryFleet(Fleet):
    """Fleet in which entry-2 cannot reach the platform.

    Its settings have an address on which nothing listens.
    """

    def _process_text(self, layout_vm):
        lines = super()._process_text(layout_vm)
        if layout_vm.vm != "entry-2":
            return lines
        unused_address = str(free_address())
        return [each.replace(str(self.platform), unused_address) for each in lines]


class TestLeavingServerWithIsolatedEntry(FleetTestCase):
    """Guards invariant 7: one entry cannot reach the platform and the VM list lags."""

    fleet_class = IsolatedEntryFleet

    def test_isolated_entry_stops_using_the_leaving_server(self):
        async def check(fleet, callers, nursery):
            await fleet.post(fleet.platform, "/fault", VM_LIST_LAG)
            callers.entries = [fleet.vms["entry-2"].listen]
            await fleet.apply({"backends/assistant-1": {"leaving": True}})
            await callers.run(0.5, {"short_question": 20.0})
            await fleet.wait_status(
                "entry-2", lambda s: "assistant-1" not in s["backend_servers"]
            )
            leaving_agent = fleet.programs["assistant-1"]
            event_count = len(leaving_agent.events)
            await callers.run(0.5, {"short_question": 20.0})
            event_names = {each.name for each in leaving_agent.events[event_count:]}
            self.assertTrue("request_started" not in event_names, event_names)
            self.assertTrue("request_refused" not in event_names, event_names)
            stats = callers.stats_for("short question")
            self.assertThat((stats.violations, stats.refused), Equals(([], {})))

        self.run_fleet(check, layout=ASSISTANTS_LAYOUT)


class TestApplyDuringOutage(FleetTestCase):
    """Guards invariant 9: an outage during an apply, and an entry that restarts."""

    KEY, ACCOUNT = "contracts/cinema", "cinema"

    def make_operator(self, fleet):
        """Return an operator whose first write loses its response, then an outage."""
        cfg = OperatorSettings(
            key_value=fleet.platform, vm_list=fleet.platform, command_timeout_s=50.0
        )
        operator = Operator(cfg, fleet.pool)
        txn, calls = operator.key_value.txn, []

        async def lose_first_response(*args, **kwargs):
            calls.append(args)
            if len(calls) > 1:
                return await txn(*args, **kwargs)
            await fleet.post(fleet.platform, "/fault", {"lose_answers": 1})
            try:
                return await txn(*args, **kwargs)
            finally:
                await fleet.post(fleet.platform, "/fault", {"outage": "refuse"})

        operator.key_value.txn = lose_first_response
        return operator, calls

    async def restart_entry(self, fleet, nursery):
        entry_process = fleet.programs["entry-1"]
        entry_process.send_signal(signal.SIGKILL)
        await entry_process.process.wait()
        await fleet.start_vm(nursery, "entry-1")

    async def delete_contract_during_outage(self, fleet, nursery, write):
        """Delete a contract; the entry restarts before the outage ends."""
        operator, calls = self.make_operator(fleet)
        based_on = await operator.current_states([self.KEY])
        async with trio.open_nursery() as write_nursery:
            write_nursery.start_soon(write, operator, {self.KEY: None}, based_on)
            while len(calls) < 2:
                await trio.sleep(0.01)
            await self.restart_entry(fleet, nursery)
            await fleet.post(fleet.platform, "/fault", {"outage": "off"})

    def test_accepted_change_is_in_force_and_stays(self):
        async def check(fleet, callers, nursery):
            written = []

            async def write(operator, changes, based_on):
                written.append(await operator.write(changes, based_on))

            await self.delete_contract_during_outage(fleet, nursery, write)
            self.assertThat(written[0].generations, Equals({self.KEY: 2}))
            for vm in ("entry-1", "entry-2"):
                await fleet.wait_status(
                    vm, lambda status: self.ACCOUNT not in status["contracts"]
                )
            await self.restart_entry(fleet, nursery)
            status = await fleet.status("entry-1")
            self.assertTrue(self.ACCOUNT not in status["contracts"])
            await callers.ask("deleted", self.ACCOUNT, SHARED_MESSAGES, 4)
            refused = callers.stats_for("deleted").refused
            self.assertThat(refused, Equals({"401 invalid_api_key (not-run)": 1}))

        self.run_fleet(check, layout=ONE_OF_EACH_LAYOUT)

    def test_without_the_write_id_the_own_write_is_a_conflict(self):
        """Control: the operator does not recognize its own write."""
        self.patch(_operator, "_own_revision", lambda result, write_id: 0)

        async def check(fleet, callers, nursery):
            exit_codes = []

            async def write(operator, changes, based_on):
                exc = await self.catch_error(
                    CtlError, operator.write, changes, based_on
                )
                exit_codes.append(exc.code)

            await self.delete_contract_during_outage(fleet, nursery, write)
            self.assertThat(exit_codes, Equals([ExitCode.CONFLICT]))

        self.run_fleet(check, layout=ONE_OF_EACH_LAYOUT)
