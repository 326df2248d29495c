import trio
from ingress_case import MODEL, IngressCase, route
from testtools.matchers import Equals

from cluster import wait_until
from foxtailcourse.http import ClientError, HttpServer
from foxtailcourse.ingress import _app
from foxtailcourse.ingress._cache_feed import CacheFeed
from foxtailcourse.ingress._cache_index import CacheIndex
from foxtailcourse.ingress._membership import Membership
from foxtailcourse.ingress._peer_exchange import PeerExchange
from foxtailcourse.ingress._rollout import Rollout
from support import run_with


def fail_first(function, condition=lambda *args: True):
    """Return a function whose first call with the condition raises an error."""
    failed = []

    def call(*args, **options):
        if not failed and condition(*args):
            failed.append(args)
            raise LookupError("unexpected")
        return function(*args, **options)

    return call


class TestContainedFailures(IngressCase):
    """Guards against errors that nobody expects and that end the process.

    The same input is at all entries at once, and so would their end be.
    """

    expects_task_failures = True

    def patch_method(self, owner, name, condition=lambda *args: True):
        self.patch(owner, name, fail_first(getattr(owner, name), condition))

    def failed_tasks(self, entry):
        return {each["task"] for each in entry.events("task_failed")}

    async def wait_for_weights(self, fleet, version):
        servers = [each for each in fleet.servers.values() if each.models]
        await wait_until(lambda: {e.models[MODEL] for e in servers} == {version})

    async def check_serves(self, fleet, entry):
        for name, stream in (("look", 0), ("brief", 3)):
            response = await fleet.call(entry, name, stream=stream)
            self.assertThat((response.status, response.complete), Equals((200, True)))

    def test_entry_serves_after_each_of_its_tasks_has_failed(self):
        tasks_of = _app.IngressApp._background_tasks
        names = set()

        def failing_tasks(app):
            tasks = tasks_of(app)
            names.update(tasks)
            return {name: fail_first(run) for name, run in tasks.items()}

        self.patch(_app.IngressApp, "_background_tasks", failing_tasks)

        async def check(fleet, entry):
            await wait_until(lambda: self.failed_tasks(entry) == names)
            await wait_until(lambda: entry.app._lease.fence)
            await self.check_serves(fleet, entry)
            fleet.set_desired_weights(2)
            await self.wait_for_weights(fleet, 2)

        self.with_fleet(check)

    @run_with("with_fleet")
    async def test_record_that_cannot_be_applied_keeps_no_other_from_it(
        self, fleet, entry
    ):
        self.patch_method(
            Membership, "apply_change", lambda self, key, *rest: key.endswith("odd")
        )
        fleet.platform.put("ingress/entries/odd", b"{}")
        await wait_until(lambda: self.failed_tasks(entry) == {"apply_record"})
        fleet.configure(version=2, routes=[route("new")])
        await wait_until(lambda: len(entry.events("configuration_applied")) == 2)
        response = await fleet.call(entry, "new")
        self.assertThat(response.status, Equals(200))

    @run_with("with_fleet")
    async def test_message_that_cannot_be_handled_is_dropped_alone(self, fleet, entry):
        other = await fleet.start_entry("e2")
        await wait_until(lambda: len(entry.app._membership.peers) == 2)
        self.patch_method(PeerExchange, "handle", lambda e, *rest: e.vm == "e1")
        await wait_until(lambda: self.failed_tasks(entry) == {"handle_message"})
        server = next(iter(other.app._view.servers.values()))
        other.app._updates.announce_leaving(server)
        await wait_until(lambda: entry.events("server_leaving"))

    @run_with("with_fleet")
    async def test_cache_is_followed_again_after_its_task_or_all_have_failed(
        self, fleet, entry
    ):
        indexes = entry.app._cache_indexes

        def are_reachable():
            return {"m1", "m2"} <= {k for k, v in indexes.items() if v.reachable}

        for owner, name in ((CacheIndex, "apply"), (CacheFeed, "_sources")):
            await wait_until(are_reachable)
            former = dict(indexes)
            self.patch_method(owner, name)
            await wait_until(
                lambda former=former: any(
                    indexes.get(each) is not former[each] for each in former
                )
            )
        await wait_until(are_reachable)
        expected = {"maintain_cache_index", "feed_cache_indexes"}
        self.assertThat(self.failed_tasks(entry), Equals(expected))

    @run_with("with_fleet")
    async def test_weight_load_that_failed_is_planned_again(self, fleet, entry):
        self.patch_method(Rollout, "_send_order")
        await wait_until(lambda: entry.app._lease.fence)
        fleet.set_desired_weights(2)
        await self.wait_for_weights(fleet, 2)
        self.assertThat(self.failed_tasks(entry), Equals({"load_weights"}))

    @run_with("with_fleet")
    async def test_connection_that_fails_ends_alone(self, fleet, entry):
        self.patch_method(HttpServer, "_serve_requests")
        error = await self.catch_error(ClientError, fleet.call, entry, "look")
        self.assertTrue(error.ended)
        self.assertThat(self.failed_tasks(entry), Equals({"serve_connection"}))
        await self.check_serves(fleet, entry)
        await trio.lowlevel.checkpoint()
