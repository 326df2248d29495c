import trio
from ingress_case import IngressCase
from testtools.matchers import Equals

from cluster import wait_until
from support import run_with


class TestLeavingServers(IngressCase):
    """Guards requests against servers that say that they leave."""

    @run_with("with_fleet")
    async def test_server_that_says_it_leaves_gets_no_new_requests(self, fleet, entry):
        leaving, other = fleet.servers["c1"], fleet.servers["c2"]
        leaving.faults.says_leaving = True
        await wait_until_run(fleet, entry, leaving)
        runs = len(leaving.runs)
        # Its registration still says that it is ready, and is written again.
        fleet.register(leaving)
        for _ in range(20):
            self.assertThat((await fleet.call(entry, "look")).status, Equals(200))
        self.assertThat(len(leaving.runs), Equals(runs))
        self.assertTrue(len(other.runs) >= 20)
        (event,) = entry.events("server_leaving")
        self.assertThat(event["backend_server"], Equals("c1"))
        # A new run under the same identifier is used.
        leaving.faults.says_leaving = False
        leaving.started_ms += 1
        fleet.register(leaving)
        await wait_until_run(fleet, entry, leaving)

    @run_with("with_fleet")
    async def test_other_entries_hear_that_a_server_leaves(self, fleet, entry):
        second = await fleet.start_entry("e2")
        for each in (entry, second):
            await wait_until(lambda each=each: len(each.app.status()["entries"]) == 2)
        await wait_until(lambda: second.app.readiness().ready)
        leaving = fleet.servers["c1"]
        leaving.faults.says_leaving = True
        await wait_until_run(fleet, entry, leaving)
        await wait_until(lambda: second.events("server_leaving"))
        self.assertThat(second.events("server_leaving")[0]["by_entry"], Equals("e1"))
        runs = len(leaving.runs)
        for _ in range(10):
            await fleet.call(second, "look")
        self.assertThat(len(leaving.runs), Equals(runs))

    @run_with("with_fleet")
    async def test_refusal_and_report_also_say_that_a_server_leaves(self, fleet, entry):
        leaving = fleet.servers["m1"]
        leaving.faults.says_leaving = leaving.faults.refuse = True
        fleet.set_desired_weights(2)
        await wait_until(lambda: entry.events("server_leaving"))
        self.assertThat(
            entry.events("server_leaving")[0]["backend_server"], Equals("m1")
        )
        response = await fleet.call(entry, "ask", stream=3)
        self.assertThat(response.status, Equals(200))

    @run_with("with_fleet")
    async def test_request_is_refused_if_all_servers_leave(self, fleet, entry):
        for name in ("c1", "c2"):
            fleet.servers[name].faults.says_leaving = True
            await wait_until_run(fleet, entry, fleet.servers[name])
        runs = len(self.runs(fleet))
        response = await fleet.call(entry, "look")
        self.assertThat((response.status, response.body), Equals((503, b"no_server")))
        self.assertThat(len(self.runs(fleet)), Equals(runs))


class TestRetryAfterOfServers(IngressCase):
    """Guards servers that ask for no requests against getting some."""

    @run_with("with_fleet")
    async def test_server_gets_nothing_for_as_long_as_it_asks(self, fleet, entry):
        refusing = fleet.servers["c1"]
        refusing.faults.refuse, refusing.faults.retry_after = True, "0.8"
        await wait_until_refused(fleet, entry, refusing)
        started = refusing.refusals[0].at
        while trio.current_time() - started < 0.7:
            response = await fleet.call(entry, "look")
            self.assertThat(response.status, Equals(200))
        self.assertThat(len(refusing.refusals), Equals(1))
        await wait_until_refused(fleet, entry, refusing)
        self.assertTrue(refusing.refusals[1].at - started >= 0.8)
        failed = entry.events("attempt_failed")[0]
        self.assertThat(failed["retry_after_ms"], Equals("800"))

    @run_with("with_fleet")
    async def test_refusal_says_when_the_first_server_is_free_again(self, fleet, entry):
        for name, seconds in (("c1", "5"), ("c2", "9")):
            server = fleet.servers[name]
            server.faults.refuse, server.faults.retry_after = True, seconds
        first = await fleet.call(entry, "look")
        self.assertThat(first.status, Equals(503))
        await wait_until_refused(fleet, entry, fleet.servers["c2"])
        await wait_until_refused(fleet, entry, fleet.servers["c1"])
        refusals = len(fleet.servers["c1"].refusals + fleet.servers["c2"].refusals)
        response = await fleet.call(entry, "look")
        self.assertThat(response.body, Equals(b"servers_refuse"))
        retry_after_s = float(response.headers["retry-after"])
        self.assertTrue(4.0 < retry_after_s <= 5.2, retry_after_s)
        after = len(fleet.servers["c1"].refusals + fleet.servers["c2"].refusals)
        self.assertThat(after, Equals(refusals))

    @run_with("with_fleet")
    async def test_unreadable_time_is_logged_and_the_server_used_again(
        self, fleet, entry
    ):
        refusing = fleet.servers["c1"]
        refusing.faults.refuse, refusing.faults.retry_after = True, "soon"
        await wait_until_refused(fleet, entry, refusing)
        failed = entry.events("attempt_failed")[0]
        self.assertThat(failed["retry_after_unreadable"], Equals("soon"))
        refusing.faults.refuse = False
        await wait_until_run(fleet, entry, refusing)


async def wait_until_run(fleet, entry, server):
    """Send requests until a server without a model has run one more."""
    runs = len(server.runs)
    with trio.fail_after(10):
        while len(server.runs) == runs:
            await fleet.call(entry, "look")


async def wait_until_refused(fleet, entry, server):
    """Send requests until a server has refused one more."""
    refusals = len(server.refusals)
    with trio.fail_after(10):
        while len(server.refusals) == refusals:
            await fleet.call(entry, "look")
