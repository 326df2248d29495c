import random
from contextlib import ExitStack
from unittest import mock

import attrs
import trio
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan

from cluster import ClusterTestCase, contract, make_vm, wait_until
from foxtailcourse.config import ConfigFollower, ConfigStore, decode_record
from foxtailcourse.config._platform_source import PlatformSource
from foxtailcourse.config._watcher_selection import fallback_interval_s, follow_order
from foxtailcourse.control import PeerServer
from foxtailcourse.http import ConnectionPool
from foxtailcourse.platform import KeyValueClient, PlatformError
from foxtailcourse.standin._platform import PlatformStandin
from support import AsyncTestCase, run_with


class TestPlatformReading(ClusterTestCase):
    """Guards against a copy that misses a change or returns to an older state."""

    @run_with("with_cluster")
    async def test_change_and_vm_list_arrive(self, running):
        process = await running.start("a", listed=False)
        running.platform.set_vms([make_vm("b")])
        await process.follower.wait_ready()
        running.platform.seed([contract(1, 3.0)])
        await wait_until(lambda: process.share() == 3.0)
        await wait_until(lambda: "b" in process.store.view.vms)
        running.platform.set_vms([])
        await wait_until(lambda: not process.store.view.vms)

    async def restore_and_write(self, running):
        """Restore the platform and write until it passes the watched revision."""
        process = await running.start("a")
        old = running.platform.seed([contract(1, 1.0)])
        running.platform.seed([contract(2, 2.0)])
        await running.wait_all_have(2.0)
        await wait_until(lambda: process.follower.watching)
        running.platform.restore(old)
        running.platform.seed([contract(3, 5.0)])
        return process

    @run_with("with_cluster")
    async def test_restored_platform_does_not_hide_a_change(self, running):
        await self.restore_and_write(running)
        await running.wait_all_have(5.0)

    @run_with("with_cluster")
    async def test_without_the_continuity_check_the_change_is_hidden(self, running):
        """Control: without the checks, a restore between two watch calls is missed."""
        platform, store = running.platform, ConfigStore()
        key_value = KeyValueClient(ConnectionPool(), running.address)
        source = PlatformSource(
            key_value, None, store, store.merge, None, random.Random(0), 0.0
        )
        old = platform.seed([contract(1, 1.0)])
        platform.seed([contract(2, 2.0)])
        after = await source.scan()
        platform.restore(old)
        platform.seed([contract(3, 5.0)])
        # The era does not show the restore either.
        platform.era = source._era
        self.assertFalse(await source._is_continuous())
        with mock.patch.object(source, "_is_continuous", return_value=True):
            await source.watch(after, 0.01)
        self.assertThat(store.view.contracts["teatro"].share, Equals(2.0))

    def test_start_during_an_outage_becomes_ready_afterwards(self):
        async def check(running):
            process = await running.start("a")
            await wait_until(
                lambda: running.platform.calls["GET /foxtailcourse/kv-range"] > 2
            )
            self.assertFalse(process.follower.ready)
            running.platform.faults.outage = "off"
            await process.follower.wait_ready()

        platform = PlatformStandin()
        platform.faults.outage = "refuse"
        self.with_cluster(check, platform)


class TestRestoredPlatform(ClusterTestCase):
    """Guards against the loss of an accepted change when the platform is restored."""

    async def restore(self, running):
        """Restore the platform to a backup without an accepted change."""
        for name in "abcd":
            await running.start(name)
        old = running.platform.seed([contract(1, 1.0)])
        running.platform.seed([contract(2, 2.0)])
        await running.wait_settled(4)
        await running.wait_all_have(2.0)
        running.platform.restore(old)

    def platform_generation(self, running):
        """Return the generation of the contract that the platform has."""
        item = running.platform.get("contracts/teatro")
        return decode_record(item.key, item.value, item.mod_revision).generation

    @run_with("with_cluster")
    async def test_watcher_writes_the_newer_record_back(self, running):
        await self.restore(running)
        await wait_until(lambda: self.platform_generation(running) == 2)
        shares = [each.share() for each in running.processes.values()]
        self.assertThat(shares, Equals([2.0] * 4))

    def test_without_write_back_the_platform_stays_outdated(self):
        """Control: without the write-back the platform keeps the older record."""

        async def skip(source, key, mod_revision):
            pass

        async def check(running):
            await self.restore(running)
            scans = running.platform.calls["GET /foxtailcourse/kv-range"]
            await wait_until(
                lambda: (
                    running.platform.calls["GET /foxtailcourse/kv-range"] > scans + 3
                )
            )
            self.assertThat(self.platform_generation(running), Equals(1))

        with mock.patch.object(PlatformSource, "_write_back", skip):
            self.with_cluster(check)

    @run_with("with_cluster")
    async def test_restarted_watchers_get_a_record_from_a_follower(self, running):
        await self.restore(running)
        running.platform.faults.outage = "refuse"
        for name in running.watching_names():
            await running.stop(name, listed=True)
            await running.start(name)
        running.platform.faults.outage = "off"
        await running.wait_all_have(2.0)
        await wait_until(lambda: self.platform_generation(running) == 2)


class TestDistribution(ClusterTestCase):
    """Guards against processes that get no changes after a failure of a watcher."""

    @run_with("with_cluster")
    async def test_only_watchers_call_the_platform(self, running):
        for number in range(8):
            await running.start(f"vm{number}", f"domain{number % 2}")
        await running.wait_settled(8)
        await wait_until(lambda: len(running.watching_names()) == 4)
        followers = [
            each.follower
            for each in running.processes.values()
            if not each.follower.watching
        ]
        await wait_until(lambda: all(f.source == "watcher" for f in followers))
        with ExitStack() as stack:
            for each in followers:
                error = AssertionError("a follower called the platform")
                stack.enter_context(
                    mock.patch.object(each.key_value, "range", side_effect=error)
                )
            running.platform.seed([contract(1, 7.0)])
            await running.wait_all_have(7.0)

    @run_with("with_cluster")
    async def test_followers_switch_from_a_failed_watcher(self, running):
        for number in range(5):
            await running.start(f"vm{number}")
        await running.wait_settled(5)
        await wait_until(lambda: len(running.watching_names()) == 2)
        for name in sorted(running.watching_names()):
            # The VM list lags: it still contains the failed watcher.
            await running.stop(name, listed=True)
            running.platform.seed([contract(ord(name[-1]), ord(name[-1]))])
            await running.wait_all_have(ord(name[-1]))

    def test_two_processes_do_not_follow_each_other(self):
        """Each believes that the other is the watcher; both must read the platform."""

        async def check(running):
            for name in "ab":
                await running.start(name)
            await running.wait_settled(2)
            running.platform.seed([contract(1, 4.0)])
            await running.wait_all_have(4.0)

        with mock.patch.object(ConfigFollower, "watching", False):
            self.with_cluster(check)

    def test_without_the_watching_flag_both_miss_the_change(self):
        """Control: if both claim to watch the platform, they follow each other."""
        sender = ConfigFollower._sender

        def claim_to_watch(follower):
            return attrs.evolve(sender(follower), watching=True, current=True)

        async def check(running):
            for name in "ab":
                await running.start(name)
            await running.wait_settled(2)
            processes = running.processes.values()
            await wait_until(
                lambda: all(each.follower.source == "watcher" for each in processes)
            )
            running.platform.seed([contract(1, 4.0)])
            await trio.sleep(0.5)
            self.assertThat([each.share() for each in processes], Equals([None] * 2))

        with (
            mock.patch.object(ConfigFollower, "watching", False),
            mock.patch.object(ConfigFollower, "_sender", claim_to_watch),
        ):
            self.with_cluster(check)

    @run_with("with_cluster")
    async def test_higher_revision_in_a_message_causes_a_pull(self, running):
        newer = await running.start("newer")
        older = await running.start("older", "catania")
        await running.wait_settled(2)
        running.platform.faults.outage = "refuse"
        await wait_until(lambda: running.platform.faults.outage == "refuse")
        revision = older.store.revision + 10
        newer.follower.merge([attrs.evolve(contract(5, 5.0), mod_revision=revision)])
        older.follower.record_peer_revision(newer.store.revision, "newer")
        await wait_until(lambda: older.share() == 5.0)


class TestStart(ClusterTestCase):
    """Guards against a start without configuration or from an outdated copy."""

    def control_addresses(self, process):
        return (process.vm.control,)

    @run_with("with_cluster")
    async def test_start_from_peers_while_the_platform_is_down(self, running):
        running.platform.seed([contract(1, 2.0)])
        first = await running.start("a")
        await running.wait_settled(1)
        await running.wait_all_have(2.0)
        running.platform.faults.outage = "refuse"
        running.platform.faults.vm_list_outage = True
        second = await running.start(
            "b", peers=self.control_addresses(first), listed=False
        )
        await second.follower.wait_ready()
        self.assertThat(second.share(), Equals(2.0))
        await running.stop("a", listed=True)
        third = await running.start(
            "c", peers=self.control_addresses(first), listed=False
        )
        with trio.move_on_after(0.5):
            await third.follower.wait_ready()
        self.assertFalse(third.follower.ready)

    async def start_from_outdated_peer(self, running, **changes):
        """Start a process from an outdated peer; return its share once it is ready."""
        running.platform.seed([contract(1, 1.0)])
        old = await running.start("old")
        await running.wait_settled(1)
        await running.wait_all_have(1.0)
        failure = PlatformError("no route", may_have_applied=False)
        with (
            mock.patch.object(old.follower.key_value, "watch", side_effect=failure),
            mock.patch.object(old.follower.key_value, "range", side_effect=failure),
        ):
            await wait_until(lambda: not old.follower.status()["current"])
            running.platform.seed([contract(2, 2.0)])
            new = await running.start(
                "new", peers=self.control_addresses(old), **changes
            )
            await new.follower.wait_ready()
            return new.share()

    @run_with("with_cluster")
    async def test_outdated_peer_is_not_used_within_the_grace_time(self, running):
        share = await self.start_from_outdated_peer(running, start_grace_s=30.0)
        self.assertThat(share, Equals(2.0))

    @run_with("with_cluster")
    async def test_without_the_grace_time_an_outdated_peer_is_used(self, running):
        """Control: without the wait for a watcher the outdated copy is used."""
        share = await self.start_from_outdated_peer(running, start_grace_s=0.0)
        self.assertThat(share, Equals(1.0))


class TestCallBudget(AsyncTestCase):
    """Guards the platform and the watchers against the load of a large fleet."""

    def test_platform_calls_do_not_grow_with_the_fleet(self):
        for processes in (10, 2_700, 12_700):
            interval_s = fallback_interval_s(processes, 100.0, 0.05)
            self.assertThat(processes / interval_s, LessThan(200.1))
        self.assertThat(fallback_interval_s(12_700, 100.0, 0.05), GreaterThan(100))

    def test_heartbeat_interval_grows_with_the_followers(self):
        for followers, interval_s in ((0, 1.0), (20, 1.0), (300, 6.0)):
            server = PeerServer(None, heartbeat_s=1.0)
            server._queues = set(range(followers))
            self.assertThat(server.heartbeat_interval_s, Equals(interval_s))

    def test_followers_spread_over_both_watchers(self):
        vms = {f"vm{i}": make_vm(f"vm{i}") for i in range(40)}
        first = [follow_order(vms, name, "palermo")[0].vm for name in vms]
        self.assertThat(set(first), HasLength(2))
        self.assertThat(min(first.count(each) for each in set(first)), GreaterThan(5))
