import trio
from test_demand_exchange import entry_record
from testtools.matchers import Equals

from foxtailcourse.config import ConfigStore
from foxtailcourse.control import PeerError
from foxtailcourse.crashes import block_s
from foxtailcourse.crashes._suspicions import TRIAL_SPACING_S, TRIAL_TIMEOUT_S
from foxtailcourse.entry import _crash_exchange
from foxtailcourse.entry._crash_exchange import (
    CRASH_TOPIC,
    REPORT_MEMORY_S,
    CrashExchange,
)
from foxtailcourse.observe import EventLog, HybridClock
from support import AsyncTestCase, run_trio

DEADLY = frozenset({"r-deadly"})
NAMES = ("e1", "e2", "e3")


class TestCrashExchange(AsyncTestCase):
    """Guards servers while entries join, restart, freeze or are cut off."""

    def setUp(self):
        super().setUp()
        self.patch(_crash_exchange, "ANNOUNCE_TIMEOUT_S", 0.0)
        self.now = 1000.0
        self.store = ConfigStore()
        self.store.merge([entry_record(vm) for vm in NAMES])
        self.unreachable = set()
        self.entries = {}
        for vm in NAMES:
            self.start(vm)
        self.crash_count = 0

    def start(self, vm):
        """Start an entry, or start it again."""

        async def send(to, topics):
            if self.unreachable & {vm, to}:
                raise PeerError(f"{to} is cut off from {vm}")
            reply = self.entries[to].handle_summary(vm, topics[CRASH_TOPIC])
            return {CRASH_TOPIC: reply}

        self.entries[vm] = CrashExchange(
            vm=vm,
            store=self.store,
            send=send,
            events=EventLog(vm, HybridClock(lambda: self.now)),
            clock=lambda: self.now,
            wall_ms=lambda: int(self.now * 1000),
        )

    async def crash(self, vm, after_s=1.0, run_ms=1):
        """Send the request from an entry to another server, which crashes."""
        self.now += after_s
        self.crash_count += 1
        entry = self.entries[vm]
        entry.record_sent(DEADLY)
        server = f"s{self.crash_count}"
        await entry.record_crashed(server, run_ms, DEADLY, self.now - 0.1)

    async def exchange(self, after_s=1.0):
        """Let all entries that can reach each other exchange summaries once."""
        self.now += after_s
        for entry in self.entries.values():
            await entry._tell_others(trio.Event())

    def blocked(self):
        return [vm for vm in NAMES if self.entries[vm].wait_s(DEADLY) > 0]

    @run_trio
    async def test_crashes_at_different_entries_count_together(self):
        await self.crash("e1")
        await self.exchange()
        self.assertThat(self.blocked(), Equals([]))
        await self.crash("e2")
        await self.exchange()
        self.assertThat(self.blocked(), Equals(list(NAMES)))

    @run_trio
    async def test_crash_is_told_before_the_response(self):
        self.patch(_crash_exchange, "ANNOUNCE_TIMEOUT_S", 60.0)
        async with trio.open_nursery() as nursery:
            for entry in self.entries.values():
                nursery.start_soon(entry.run)
            await self.crash("e1")
            await self.crash("e2")
            self.assertThat(self.blocked(), Equals(list(NAMES)))
            nursery.cancel_scope.cancel()

    @run_trio
    async def test_repeated_reports_of_one_crash_count_once(self):
        await self.crash("e1")
        for _ in range(20):
            await self.exchange()
        self.assertThat(self.blocked(), Equals([]))

    @run_trio
    async def test_entries_that_start_or_were_cut_off_know_counts_and_blocks(self):
        self.unreachable.add("e3")
        await self.crash("e1")
        self.start("e2")
        await self.exchange()
        await self.crash("e2")
        await self.exchange(5.0)
        self.assertThat(self.blocked(), Equals(["e1", "e2"]))
        self.unreachable.clear()
        self.start("e1")
        await self.exchange()
        self.assertThat(self.blocked(), Equals(list(NAMES)))

    @run_trio
    async def test_entry_that_starts_learns_of_blocks_before_its_first_request(self):
        """The periodic exchange, which is not run here, would be too late."""
        await self.crash("e1")
        await self.crash("e1")
        self.patch(_crash_exchange, "ANNOUNCE_TIMEOUT_S", 60.0)
        self.start("e3")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.entries["e3"].run)
            await self.entries["e3"].wait_caught_up()
            self.assertThat("e3" in self.blocked(), Equals(True))
            nursery.cancel_scope.cancel()

    @run_trio
    async def test_blocks_end_at_the_same_time_and_grow_with_each_trial(self):
        await self.crash("e1")
        await self.crash("e1")
        await self.exchange(20.0)
        ends = {round(self.entries[vm].wait_s(DEADLY), 1) for vm in NAMES}
        self.assertThat(ends, Equals({block_s(1) - 20}))
        self.now += REPORT_MEMORY_S
        self.start("e3")
        await self.exchange()
        await self.crash("e3")
        await self.exchange(0.0)
        ends = {round(self.entries[vm].wait_s(DEADLY), 1) for vm in NAMES}
        self.assertThat(ends, Equals({block_s(2)}))

    @run_trio
    async def test_entries_wait_for_the_outcome_of_a_trial_that_takes_long(self):
        await self.crash("e1")
        await self.crash("e1")
        await self.exchange()
        self.now += block_s(1) + len(NAMES) * TRIAL_SPACING_S
        self.assertThat(self.blocked(), Equals([]))
        self.entries["e2"].record_sent(DEADLY)
        await self.exchange(0.0)
        self.assertThat(self.blocked(), Equals(list(NAMES)))
        await self.exchange(TRIAL_TIMEOUT_S)
        self.assertThat(self.blocked(), Equals([]))

    @run_trio
    async def test_answer_ends_a_suspicion_at_all_entries_that_come_back(self):
        self.unreachable.add("e3")
        await self.crash("e3")
        await self.crash("e3")
        await self.exchange()
        self.assertThat(self.blocked(), Equals(["e3"]))
        self.entries["e1"].record_answered(DEADLY)
        self.unreachable.clear()
        for _ in range(20):
            await self.exchange()
            self.assertThat(self.blocked(), Equals([]))

    @run_trio
    async def test_old_answers_do_not_end_later_blocks(self):
        """An answer that is repeated arrives later each time."""
        self.entries["e1"].record_answered(DEADLY)
        for _ in range(3):
            await self.crash("e2")
        for _ in range(20):
            await self.exchange()
            self.assertThat(self.blocked(), Equals(list(NAMES)))

    @run_trio
    async def test_malformed_and_foreign_summaries_are_rejected(self):
        entry = self.entries["e1"]
        foreign = self.entries["e2"].encode_summary()
        for payload in (b"\xc1", foreign):
            self.assertRaises(ValueError, entry.apply_summary, "e3", payload)
