import random
from unittest import mock

import trio
from testtools.matchers import Contains, Equals, HasLength

from cluster import cluster, contract, wait_until
from foxtailcourse.ctl._errors import CtlError, ExitCode
from foxtailcourse.ctl._ini import parse_contracts
from foxtailcourse.ctl._operator import Operator, OperatorSettings
from foxtailcourse.ctl._records import apply_sections, get_contract
from foxtailcourse.ctl._wait import wait_in_force
from foxtailcourse.http import ConnectionPool
from foxtailcourse.platform import KeyValueClient, PlatformError
from support import AsyncTestCase, run_with


def contract_text(share, generation=0):
    return f"[contract teatro]\nshare = {share}\ngeneration = {generation}\n"


class OperatorTestCase(AsyncTestCase):
    """Runs a check with a cluster of processes and an operator."""

    def with_operator(self, check, **options):
        async def main():
            async with cluster() as running:
                await check(running, self.make_operator(running, **options))

        self.run_async(main)

    def make_operator(self, running, **options):
        options = {"command_timeout_s": 10.0} | options
        cfg = OperatorSettings(
            key_value=running.address, vm_list=running.address, **options
        )
        return Operator(cfg, ConnectionPool())

    async def apply(self, operator, share, generation=0, **options):
        parsed = parse_contracts(contract_text(share, generation), "file")
        options = {"dry_run": False, "wait_s": 0.0} | options
        return await apply_sections(operator, parsed, **options)

    async def fails_with(self, code, call, *args):
        exc = await self.catch_error(CtlError, call, *args)
        self.assertThat(exc.code, Equals(code))
        return exc


class TestOperatorRace(OperatorTestCase):
    """Guards against a write that silently overwrites another operator's change."""

    async def race(self, running, operator):
        """Apply a contract; another operator writes between its read and its write."""
        other = self.make_operator(running)
        write = operator.write

        async def write_second(*args):
            await self.apply(other, 7.0)
            return await write(*args)

        with mock.patch.object(operator, "write", write_second):
            return await self.apply(operator, 2.0)

    @run_with("with_operator")
    async def test_second_of_two_racing_writes_fails_with_the_difference(
        self, running, operator
    ):
        running.platform.seed([contract(1, 1.0)])
        exc = await self.fails_with(ExitCode.CONFLICT, self.race, running, operator)
        fields = {each["field"]: each for each in exc.details["difference"]}
        self.assertThat(fields["share"]["old"], Equals(7.0))
        self.assertThat(fields["share"]["new"], Equals(2.0))

    @run_with("with_operator")
    async def test_without_the_comparison_a_race_overwrites(self, running, operator):
        """Control: the test above fails without the compare-and-swap."""
        txn = KeyValueClient.txn

        async def txn_without_compare(client, compare, put):
            return await txn(client, {}, put)

        with mock.patch.object(KeyValueClient, "txn", txn_without_compare):
            await self.race(running, operator)
        state = (await operator.current_states(["contracts/teatro"])).popitem()[1]
        self.assertThat(state.body["share"], Equals(2.0))

    @run_with("with_operator")
    async def test_many_racing_operators_lose_no_accepted_change(
        self, running, operator
    ):
        accepted = []
        rng = random.Random(1)

        async def apply_repeatedly():
            own_operator = self.make_operator(running)
            for _ in range(5):
                share = rng.uniform(1, 10**6)
                try:
                    result = await self.apply(own_operator, share)
                except CtlError as exc:
                    self.assertThat(exc.code, Equals(ExitCode.CONFLICT))
                else:
                    accepted.append(result.value["generations"]["contracts/teatro"])

        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(apply_repeatedly)
        self.assertThat(sorted(accepted), Equals(list(range(1, len(accepted) + 1))))

    @run_with("with_operator")
    async def test_file_made_from_an_older_generation_is_a_conflict(
        self, running, operator
    ):
        running.platform.seed([contract(1, 1.0)])
        text = (await get_contract(operator, "teatro")).lines[0]
        self.assertThat(text, Contains("generation = 1"))
        await self.apply(operator, 3.0)
        await self.fails_with(ExitCode.CONFLICT, self.apply, operator, 2.0, 1)


class TestLostResponse(OperatorTestCase):
    """Guards against an applied write that is reported as failed, or applied twice.

    The platform applies a write, but its response is lost, so the operator retries.
    """

    @run_with("with_operator")
    async def test_retry_after_a_lost_response_finds_its_own_write_id(
        self, running, operator
    ):
        running.platform.faults.lose_answers = 2
        result = await self.apply(operator, 2.0)
        stored = running.platform.get("contracts/teatro")
        self.assertThat(result.value["revision"], Equals(stored.mod_revision))
        self.assertThat(result.value["generations"], Equals({"contracts/teatro": 1}))

    @run_with("with_operator")
    async def test_without_the_write_id_a_retry_reports_a_false_conflict(
        self, running, operator
    ):
        """Control: the test above fails without the comparison of write_id."""
        running.platform.faults.lose_answers = 1
        target = "foxtailcourse.ctl._operator._own_revision"
        with mock.patch(target, lambda result, write_id: 0):
            await self.fails_with(ExitCode.CONFLICT, self.apply, operator, 2.0)

    @run_with("with_operator")
    async def test_delayed_first_attempt_has_no_effect(self, running, operator):
        """The first attempt arrives after the retry took effect."""
        txn = KeyValueClient.txn
        delayed = []

        async def delay_first(client, compare, put):
            if not delayed:
                delayed.append((compare, put))
                raise PlatformError("timed out", may_have_applied=True)
            return await txn(client, compare, put)

        with mock.patch.object(KeyValueClient, "txn", delay_first):
            result = await self.apply(operator, 2.0)
        compare, put = delayed[0]
        result_of_first = await operator.key_value.txn(compare, put)
        self.assertFalse(result_of_first.succeeded)
        stored = running.platform.get("contracts/teatro")
        self.assertThat(result.value["revision"], Equals(stored.mod_revision))

    @run_with("with_operator")
    async def test_replaced_write_of_unknown_outcome_is_not_reported_as_a_conflict(
        self, running, operator
    ):
        running.platform.faults.lose_answers = 1
        other = self.make_operator(running)
        txn = operator.key_value.txn

        async def txn_then_other_write(*args):
            try:
                return await txn(*args)
            except PlatformError:
                await self.apply(other, 9.0)
                raise

        with mock.patch.object(operator.key_value, "txn", txn_then_other_write):
            await self.fails_with(ExitCode.UNKNOWN_OUTCOME, self.apply, operator, 2.0)


class TestOutage(OperatorTestCase):
    """Guards the outcome that a command reports while the platform is down."""

    async def apply_in_outage(self, running, operator, outage):
        """Apply a contract; the outage begins between its read and its write."""
        write = operator.write

        async def write_in_outage(*args):
            running.platform.faults.outage = outage
            return await write(*args)

        with mock.patch.object(operator, "write", write_in_outage):
            return await self.apply(operator, 2.0)

    @run_with("with_operator")
    async def test_apply_succeeds_after_a_short_outage(self, running, operator):
        async def end_outage():
            await wait_until(
                lambda: running.platform.calls["POST /foxtailcourse/kv-txn"] > 1
            )
            running.platform.faults.outage = "off"

        async with trio.open_nursery() as nursery:
            nursery.start_soon(end_outage)
            result = await self.apply_in_outage(running, operator, "refuse")
        self.assertTrue(result.value["changed"])

    def test_exit_codes_distinguish_refused_writes_from_lost_responses(self):
        for outage, code in (
            ("refuse", ExitCode.UNREACHABLE),
            ("silent", ExitCode.UNKNOWN_OUTCOME),
        ):

            async def check(running, operator, outage=outage, code=code):
                call = self.apply_in_outage
                await self.fails_with(code, call, running, operator, outage)
                self.assertIsNone(running.platform.get("contracts/teatro"))

            self.with_operator(check, command_timeout_s=0.3, call_timeout_s=0.1)


class TestGeneration(OperatorTestCase):
    """Guards against an accepted change that a process's newer record reverts.

    After a restore of the platform, processes have records of a higher generation.
    """

    async def restore_older_state(self, running):
        process = await running.start("a", write_back_jitter_s=1000.0)
        old = running.platform.seed([contract(1, 1.0)])
        running.platform.seed([contract(2, 2.0), contract(3, 3.0)])
        await running.wait_settled(1)
        await running.wait_all_have(3.0)
        running.platform.restore(old)
        return process

    @run_with("with_operator")
    async def test_new_generation_exceeds_those_of_the_processes(
        self, running, operator
    ):
        await self.restore_older_state(running)
        result = await self.apply(operator, 5.0)
        generation = result.value["generations"]["contracts/teatro"]
        self.assertThat(generation, Equals(4))
        await running.wait_all_have(5.0)

    @run_with("with_operator")
    async def test_without_the_process_records_the_change_is_not_in_force(
        self, running, operator
    ):
        """Control: the test above fails without the processes' generations."""
        await self.restore_older_state(running)
        with mock.patch.object(operator, "_read_process_records") as read:
            read.return_value.records = ()
            await self.apply(operator, 5.0)
        revision = running.platform.get("contracts/teatro").mod_revision
        await self.fails_with(ExitCode.FAILED, wait_in_force, operator, revision, 0.5)


class TestWait(OperatorTestCase):
    """Guards against a wait that ends before all processes have applied a change."""

    @run_with("with_operator")
    async def test_wait_ends_when_all_processes_have_the_change(
        self, running, operator
    ):
        for name in "abc":
            await running.start(name)
        await running.wait_settled(3)
        result = await self.apply(operator, 4.0, wait_s=20.0)
        self.assertThat(result.value["in_force"]["processes"], Equals(3))
        shares = [each.share() for each in running.processes.values()]
        self.assertThat(shares, Equals([4.0] * 3))

    @run_with("with_operator")
    async def test_wait_names_a_stopped_process(self, running, operator):
        for name in "ab":
            await running.start(name)
        await running.wait_settled(2)
        await running.stop("b", listed=True)
        exc = await self.fails_with(
            ExitCode.UNREACHABLE, wait_in_force, operator, None, 0.3
        )
        self.assertThat(exc.details["lines"], HasLength(1))
        self.assertThat(exc.details["behind"], Contains("b"))
