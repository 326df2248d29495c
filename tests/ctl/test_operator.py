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
    """Runs a check with a cluster and an operator."""

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

    async def ends_with(self, code, call, *args):
        exc = await self.catch_error(CtlError, call, *args)
        self.assertThat(exc.code, Equals(code))
        return exc


class TestOperatorRace(OperatorTestCase):
    """Guards against an operator who overwrites another's change unseen."""

    async def race(self, running, operator):
        """Let another operator write between the reading and the write."""
        other = self.make_operator(running)
        write = operator.write

        async def late(*args):
            await self.apply(other, 7.0)
            return await write(*args)

        with mock.patch.object(operator, "write", late):
            return await self.apply(operator, 2.0)

    @run_with("with_operator")
    async def test_loser_of_a_race_gets_a_conflict_with_the_difference(
        self, running, operator
    ):
        running.platform.seed([contract(1, 1.0)])
        exc = await self.ends_with(ExitCode.CONFLICT, self.race, running, operator)
        fields = {each["field"]: each for each in exc.details["difference"]}
        self.assertThat(fields["share"]["old"], Equals(7.0))
        self.assertThat(fields["share"]["new"], Equals(2.0))

    @run_with("with_operator")
    async def test_without_the_comparison_a_race_overwrites(self, running, operator):
        """Shows that the test above depends on the compare-and-swap."""
        txn = KeyValueClient.txn

        async def blind(client, compare, put):
            return await txn(client, {}, put)

        with mock.patch.object(KeyValueClient, "txn", blind):
            await self.race(running, operator)
        state = (await operator.current(["contracts/teatro"])).popitem()[1]
        self.assertThat(state.body["share"], Equals(2.0))

    @run_with("with_operator")
    async def test_many_racing_operators_lose_no_accepted_change(
        self, running, operator
    ):
        accepted = []
        rng = random.Random(1)

        async def work():
            own = self.make_operator(running)
            for _ in range(5):
                share = rng.uniform(1, 10**6)
                try:
                    result = await self.apply(own, share)
                except CtlError as exc:
                    self.assertThat(exc.code, Equals(ExitCode.CONFLICT))
                else:
                    accepted.append(result.value["generations"]["contracts/teatro"])

        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(work)
        self.assertThat(sorted(accepted), Equals(list(range(1, len(accepted) + 1))))

    @run_with("with_operator")
    async def test_file_made_from_an_older_generation_is_a_conflict(
        self, running, operator
    ):
        running.platform.seed([contract(1, 1.0)])
        text = (await get_contract(operator, "teatro")).lines[0]
        self.assertThat(text, Contains("generation = 1"))
        await self.apply(operator, 3.0)
        await self.ends_with(ExitCode.CONFLICT, self.apply, operator, 2.0, 1)


class TestLostAnswer(OperatorTestCase):
    """Guards against a write reported as failed, or made twice."""

    @run_with("with_operator")
    async def test_lost_answer_is_settled_by_the_write_id(self, running, operator):
        running.platform.faults.lose_answers = 2
        result = await self.apply(operator, 2.0)
        held = running.platform.get("contracts/teatro")
        self.assertThat(result.value["revision"], Equals(held.mod_revision))
        self.assertThat(result.value["generations"], Equals({"contracts/teatro": 1}))

    @run_with("with_operator")
    async def test_without_the_write_id_the_operator_sees_a_false_conflict(
        self, running, operator
    ):
        """Shows that the test above depends on the comparison of write_id."""
        running.platform.faults.lose_answers = 1
        target = "foxtailcourse.ctl._operator._own_revision"
        with mock.patch(target, lambda result, write_id: 0):
            await self.ends_with(ExitCode.CONFLICT, self.apply, operator, 2.0)

    @run_with("with_operator")
    async def test_delayed_copy_of_a_write_has_no_effect(self, running, operator):
        """The first copy arrives after the repetition took effect."""
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
        late = await operator.key_value.txn(compare, put)
        self.assertFalse(late.succeeded)
        held = running.platform.get("contracts/teatro")
        self.assertThat(result.value["revision"], Equals(held.mod_revision))

    @run_with("with_operator")
    async def test_replaced_write_of_unknown_outcome_is_not_called_a_conflict(
        self, running, operator
    ):
        running.platform.faults.lose_answers = 1
        other = self.make_operator(running)
        txn = operator.key_value.txn

        async def overtaken(*args):
            try:
                return await txn(*args)
            except PlatformError:
                await self.apply(other, 9.0)
                raise

        with mock.patch.object(operator.key_value, "txn", overtaken):
            await self.ends_with(ExitCode.UNKNOWN_OUTCOME, self.apply, operator, 2.0)


class TestOutage(OperatorTestCase):
    """Guards the operator's knowledge while the platform is down."""

    async def apply_in_outage(self, running, operator, outage):
        """Apply a contract; the outage begins between the reading and the write."""
        write = operator.write

        async def in_outage(*args):
            running.platform.faults.outage = outage
            return await write(*args)

        with mock.patch.object(operator, "write", in_outage):
            return await self.apply(operator, 2.0)

    @run_with("with_operator")
    async def test_outage_that_ends_delays_an_apply(self, running, operator):
        async def end():
            await wait_until(
                lambda: running.platform.calls["POST /foxtailcourse/kv-txn"] > 1
            )
            running.platform.faults.outage = "off"

        async with trio.open_nursery() as nursery:
            nursery.start_soon(end)
            result = await self.apply_in_outage(running, operator, "refuse")
        self.assertTrue(result.value["changed"])

    def test_exit_codes_tell_refused_from_unanswered(self):
        for outage, code in (
            ("refuse", ExitCode.UNREACHABLE),
            ("silent", ExitCode.UNKNOWN_OUTCOME),
        ):

            async def check(running, operator, outage=outage, code=code):
                call = self.apply_in_outage
                await self.ends_with(code, call, running, operator, outage)
                self.assertIsNone(running.platform.get("contracts/teatro"))

            self.with_operator(check, command_timeout_s=0.3, call_timeout_s=0.1)


class TestGeneration(OperatorTestCase):
    """Guards against an accepted change that a newer copy takes back."""

    async def restore(self, running):
        process = await running.start("a", write_back_jitter_s=1000.0)
        old = running.platform.seed([contract(1, 1.0)])
        running.platform.seed([contract(2, 2.0), contract(3, 3.0)])
        await running.wait_settled(1)
        await running.wait_all_have(3.0)
        running.platform.restore(old)
        return process

    @run_with("with_operator")
    async def test_generation_is_above_those_of_the_processes(self, running, operator):
        await self.restore(running)
        result = await self.apply(operator, 5.0)
        generation = result.value["generations"]["contracts/teatro"]
        self.assertThat(generation, Equals(4))
        await running.wait_all_have(5.0)

    @run_with("with_operator")
    async def test_without_asking_the_processes_the_change_is_not_in_force(
        self, running, operator
    ):
        """Shows that the test above depends on the processes' generations."""
        await self.restore(running)
        with mock.patch.object(operator, "_read_process_records") as held:
            held.return_value.records = ()
            await self.apply(operator, 5.0)
        revision = running.platform.get("contracts/teatro").mod_revision
        await self.ends_with(ExitCode.FAILED, wait_in_force, operator, revision, 0.5)


class TestWait(OperatorTestCase):
    """Guards against a change that is called in force too early."""

    @run_with("with_operator")
    async def test_wait_follows_all_processes(self, running, operator):
        for name in "abc":
            await running.start(name)
        await running.wait_settled(3)
        result = await self.apply(operator, 4.0, wait_s=20.0)
        self.assertThat(result.value["in_force"]["processes"], Equals(3))
        shares = [each.share() for each in running.processes.values()]
        self.assertThat(shares, Equals([4.0] * 3))

    @run_with("with_operator")
    async def test_stopped_process_is_named(self, running, operator):
        for name in "ab":
            await running.start(name)
        await running.wait_settled(2)
        await running.stop("b", listed=True)
        exc = await self.ends_with(
            ExitCode.UNREACHABLE, wait_in_force, operator, None, 0.3
        )
        self.assertThat(exc.details["lines"], HasLength(1))
        self.assertThat(exc.details["behind"], Contains("b"))
