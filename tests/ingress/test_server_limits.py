import testtools
import trio
from decision_case import make_limits
from ingress_case import IngressCase
from testtools.matchers import Equals, Is

from cluster import wait_until
from foxtailcourse.fleet import ServerRun
from foxtailcourse.platform import decode_response_headers
from support import run_with

RUN = ServerRun("s1", 5)
# Bound of the platform: in any window so many times the limit, and some requests more.
WINDOW_S, EXCESS_RATIO, EXTRA_REQUESTS = 4.0, 1.5, 5
# An entry keeps a limit from this time after a response named it.
TOLD_AFTER_S = 0.5


def head(limit=None):
    fields = {} if limit is None else {"server-limit": limit}
    return decode_response_headers(200, fields)


def run(server):
    return ServerRun(server.id, server.started_ms)


def allowed_in_window(limit_per_s):
    return EXCESS_RATIO * limit_per_s * WINDOW_S + EXTRA_REQUESTS


def most_in_window(times):
    """Return the largest number of times in any window."""
    return max((sum(t <= u < t + WINDOW_S for u in times) for t in times), default=0)


async def wait_until_named(fleet, entry):
    """Send requests to an entry until it knows of a limit."""
    while not entry.events("server_limit_changed"):
        await fleet.call(entry, "look")


async def send_for(fleet, entries, per_s, duration_s):
    """Send requests to all entries in turn; return the statuses other than 200."""
    failed = []

    async def send(entry):
        response = await fleet.call(entry, "look")
        if response.status != 200:
            failed.append(response.status)

    async with trio.open_nursery() as nursery:
        for number in range(int(per_s * duration_s)):
            nursery.start_soon(send, entries[number % len(entries)])
            await trio.sleep(1 / per_s)
    return failed


class TestStatedLimits(testtools.TestCase):
    """Guards what an entry takes as the limit that a server names at present."""

    def test_limit_is_a_decimal_number_and_anything_else_is_reported(self):
        for text, per_s in (("7.4", 7.4), (" 2 ", 2.0), ("0", 0.0), ("0.25", 0.25)):
            self.assertThat(head(text).limit_per_s, Equals(per_s))
        for text in ("-1", "²", "1e3", "nan", "soon", "7,4", "9" * 40):
            decoded = head(text)
            self.assertIs(decoded.limit_per_s, None)
            self.assertThat(decoded.limit_unreadable, Equals(text))
        self.assertThat(head().limit_unreadable, Equals(""))

    def test_limit_ends_with_a_response_to_a_later_request_only(self):
        limits = make_limits("e1", {"e1"})
        limits.record_response(RUN, head("7.4"), sent_at=9.0, now=10.0)
        # This response was overtaken by the one that names the limit.
        limits.record_response(RUN, head(), sent_at=9.5, now=10.1)
        self.assertThat(limits.named(RUN), Equals(7.4))
        limits.record_response(RUN, head("soon"), sent_at=10.2, now=10.3)
        self.assertThat(limits.named(RUN), Equals(7.4))
        limits.record_response(RUN, head(), sent_at=10.4, now=10.5)
        self.assertThat(limits.named(RUN), Is(None))

    def test_limit_ends_with_the_run_of_the_server(self):
        limits = make_limits("e1", {"e1"})
        limits.record_response(RUN, head("7.4"), sent_at=9.0, now=10.0)
        restarted = ServerRun("s1", 6)
        self.assertThat(limits.named(restarted), Is(None))
        limits.expire({restarted}, now=20.0)
        self.assertThat(limits.named(RUN), Equals(7.4))
        limits.expire({restarted}, now=200.0)
        self.assertThat(limits.named(RUN), Is(None))


class TestLimitedServers(IngressCase):
    """Guards servers that name a limit against more requests than they take."""

    @run_with("with_fleet")
    async def test_log_names_each_change_of_a_limit(self, fleet, entry):
        server = fleet.servers["c1"]
        named = []
        for limit, per_s in (("2.5", "2.5"), ("4", "4.0"), ("", None)):
            server.faults.limit = limit
            runs = len(server.runs)
            while len(server.runs) < runs + 2:
                await fleet.call(entry, "look")
            named.append(("c1", per_s))
            self.assertThat(
                [
                    (each["backend_server"], each.get("per_s"))
                    for each in entry.events("server_limit_changed")
                ],
                Equals(named),
            )

    # An entry gets a share once it has been registered for the longer of the window of
    # retries and 3 s.
    @run_with("with_fleet", retry_window_s=1.0)
    async def test_all_entries_together_keep_the_limit_of_a_server(self, fleet, entry):
        entries = [
            entry,
            *[await fleet.start_entry(f"e{n}", retry_window_s=1.0) for n in (2, 3)],
        ]
        for each in entries:
            await wait_until(lambda each=each: each.app.readiness().ready)
            await wait_until(lambda each=each: len(each.app.status()["entries"]) == 3)
        server, limit_per_s = fleet.servers["c1"], 1.0
        server.faults.limit = str(limit_per_s)
        for each in entries:
            await wait_until_named(fleet, each)
        told_at = trio.current_time()
        failed = await send_for(fleet, entries, per_s=60, duration_s=6.0)
        self.assertThat(failed, Equals([]))
        arrivals = [r.at for r in server.runs if r.at > told_at + TOLD_AFTER_S]
        self.assertTrue(
            most_in_window(arrivals) <= allowed_in_window(limit_per_s),
            most_in_window(arrivals),
        )
        # The server takes these, so they are sent to it.
        self.assertTrue(len(arrivals) >= limit_per_s * 6.0 / 3, len(arrivals))

    @run_with("with_fleet")
    async def test_other_entries_hear_of_a_limit_and_of_its_end(self, fleet, entry):
        second = await fleet.start_entry("e2")
        for each in (entry, second):
            await wait_until(lambda each=each: len(each.app.status()["entries"]) == 2)
        server = fleet.servers["c1"]
        server.faults.limit = "3"
        await wait_until_named(fleet, entry)
        await wait_until(lambda: second.events("server_limit_changed"))
        (event,) = second.events("server_limit_changed")
        self.assertThat(event["by_entry"], Equals("e1"))
        # One that starts later hears of it before it asks the server.
        third = await fleet.start_entry("e3")
        await wait_until(lambda: third.events("server_limit_changed"))
        server.faults.limit = ""
        while len(entry.events("server_limit_changed")) < 2:
            await fleet.call(entry, "look")
        for each in (second, third):
            await wait_until(
                lambda each=each: each.app._limits.named(run(server)) is None
            )

    @run_with("with_fleet")
    async def test_request_is_refused_at_once_if_all_servers_are_at_their_limits(
        self, fleet, entry
    ):
        for name in ("c1", "c2"):
            fleet.servers[name].faults.limit = "0.5"
        responses = [await fleet.call(entry, "look") for _ in range(20)]
        refused = [each for each in responses if each.status == 503]
        self.assertTrue(len(refused) >= 15, [each.status for each in responses])
        for response in refused:
            self.assertThat(response.body, Equals(b"server_limits"))
            self.assertTrue(0 < float(response.headers["retry-after"]) < 5)
        self.assertThat(len(self.runs(fleet)), Equals(len(responses) - len(refused)))
