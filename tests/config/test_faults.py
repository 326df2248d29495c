import signal
from contextlib import AsyncExitStack
from unittest import mock

import attrs
import msgspec
import pytest
import trio
from testtools.matchers import Equals, GreaterThan

from cluster import ClusterTestCase, contract, make_vm, serve, wait_until
from follower_processes import start_follower
from foxtailcourse.config import ConfigFollower
from foxtailcourse.config._pull_queue import PullQueue
from foxtailcourse.platform import VmListing
from foxtailcourse.standin import _platform
from foxtailcourse.standin._platform import PlatformStandin
from support import AsyncTestCase, run_with


@pytest.mark.processes
class TestSuspendedProcess(AsyncTestCase):
    """Guards against a process that misses changes made while it was suspended."""

    @run_with("run_async")
    async def test_suspended_process_catches_up_and_delays_no_other(self):
        """Suspends two watchers and three followers with SIGSTOP, one after another."""
        platform = PlatformStandin()
        async with AsyncExitStack() as stack:
            address = await stack.enter_async_context(serve(platform.handle))
            started = [
                await stack.enter_async_context(start_follower(address, f"vm{number}"))
                for number in range(5)
            ]
            platform.set_vms([each.vm for each in started])
            for each in started:
                await each.wait_for(
                    lambda s: (
                        s["config"]["source"] == "watcher" or s["config"]["current"]
                    )
                )
            for share, suspended in enumerate(started, 1):
                suspended.process.send_signal(signal.SIGSTOP)
                platform.seed([contract(share, share)])
                for each in started:
                    if each is not suspended:
                        await each.wait_for(lambda s, share=share: s["teatro"] == share)
                suspended.process.send_signal(signal.SIGCONT)
                await suspended.wait_for(lambda s, share=share: s["teatro"] == share)


class TestMessages(ClusterTestCase):
    """Guards against a process that ignores a higher revision in a message."""

    async def start_newer_and_older(self, running):
        """Return a process with a change and one that gets it from no watcher."""
        # Without the pulls from peers at the start, which may end after the change.
        with mock.patch.object(ConfigFollower, "_start_addresses", return_value=[]):
            newer = await running.start("newer")
            older = await running.start("older", "catania")
            await running.wait_settled(2)
            # Before it watches the platform itself, it may still follow the other.
            await wait_until(lambda: older.follower.status()["current"])
        running.platform.faults.outage = "refuse"
        await wait_until(lambda: not older.follower.status()["current"])
        record = contract(5, 5.0)
        revision = older.store.revision + 10
        newer.store.merge([attrs.evolve(record, mod_revision=revision)])
        return newer, older

    @run_with("with_cluster")
    async def test_higher_revision_triggers_a_pull_from_its_sender(self, running):
        newer, older = await self.start_newer_and_older(running)
        older.follower.record_peer_revision(newer.store.revision, "newer")
        await wait_until(lambda: older.share() == 5.0)

    @run_with("with_cluster")
    async def test_without_the_pull_the_copy_stays_outdated(self, running):
        """Control: without the pull from the sender the change does not arrive."""
        with (
            mock.patch.object(PullQueue, "request_pull"),
            mock.patch(
                "foxtailcourse.config._platform_watch.FAILURES_BEFORE_PULL",
                1_000_000,
            ),
        ):
            newer, older = await self.start_newer_and_older(running)
            older.follower.record_peer_revision(newer.store.revision, "newer")
            await trio.sleep(0.3)
            self.assertIsNone(older.share())


class TestWatchGap(ClusterTestCase):
    """Guards against the loss of changes that were compacted before the watch."""

    @run_with("with_cluster")
    async def test_compacted_changes_are_read_by_a_scan(self, running):
        process = await running.start("a")
        running.platform.seed([contract(1, 1.0)])
        await running.wait_settled(1)
        await wait_until(lambda: process.follower.status()["current"])
        running.platform.faults.outage = "refuse"
        await wait_until(lambda: not process.follower.status()["current"])
        with mock.patch.object(_platform, "MAX_STORED_EVENTS", 2):
            for generation in range(2, 9):
                running.platform.seed([contract(generation, generation)])
            running.platform.put("slots/weights/0", b"x")
            running.platform.put("slots/weights/1", b"x")
            running.platform.faults.outage = "off"
            await running.wait_all_have(8.0)

    @run_with("with_cluster")
    async def test_idle_watch_continues_after_compaction_of_its_revision(self, running):
        process = await running.start("a")
        running.platform.seed([contract(1, 1.0)])
        await running.wait_settled(1)
        await running.wait_all_have(1.0)
        with mock.patch.object(_platform, "MAX_STORED_EVENTS", 2):
            for number in range(5):
                running.platform.put(f"slots/{number}", b"x")
            scans = running.platform.calls["GET /foxtailcourse/kv-range"]
            await wait_until(
                lambda: running.platform.calls["GET /foxtailcourse/kv-range"] > scans
            )
            running.platform.seed([contract(2, 2.0)])
            await running.wait_all_have(2.0)
        self.assertThat(process.share(), Equals(2.0))


class TestMalformedData(ClusterTestCase):
    """Guards against a malformed record or VM list that stops the updates."""

    @run_with("with_cluster")
    async def test_malformed_record_does_not_hide_the_next_change(self, running):
        process = await running.start("a")
        running.platform.put("contracts/bad", b"\xff{")
        running.platform.set_vms([*running.platform.vms()])
        await running.wait_settled(1)
        running.platform.put("contracts/worse", b"[]")
        running.platform.seed([contract(1, 3.0)])
        await running.wait_all_have(3.0)
        self.assertThat(process.store.revision, GreaterThan(0))

    @run_with("with_cluster")
    async def test_malformed_vm_list_entries_are_skipped(self, running):
        process = await running.start("a", listed=False)
        await process.follower.wait_ready()
        entries = (b"1", b"null", b"{}", b'{"vm": 3}', b"[" * 5000, b"{")
        valid = msgspec.json.encode(make_vm("b"))
        raw = tuple(msgspec.Raw(each) for each in (*entries, valid))
        listing = VmListing(revision=9, vms=raw)
        process.follower._platform_source.apply_listing(listing)
        self.assertThat(set(process.store.view.vms), Equals({"b"}))

    @run_with("with_cluster")
    async def test_lagging_vm_list_does_not_revert_a_newer_one(self, running):
        process = await running.start("a")
        await running.wait_settled(1)
        await running.start("b", "catania")
        await running.wait_settled(2)
        running.platform.faults.vm_list_lag_ms = 60_000
        calls = running.platform.calls["GET /vms"]
        await wait_until(lambda: running.platform.calls["GET /vms"] > calls + 3)
        self.assertThat(set(process.store.view.vms), Equals({"a", "b"}))
