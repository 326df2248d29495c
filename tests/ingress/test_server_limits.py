import time

import testtools
from ingress_case import IngressCase
from testtools.matchers import Equals, Is

from foxtailcourse.fleet import ServerRun
from foxtailcourse.ingress._server_limits import ServerLimits
from foxtailcourse.observe import EventLog, HybridClock
from foxtailcourse.platform import decode_response_headers
from support import run_with

RUN = ServerRun("s1", 5)


def head(limit=None):
    fields = {} if limit is None else {"server-limit": limit}
    return decode_response_headers(200, fields)


def make_limits():
    return ServerLimits(EventLog("x", HybridClock(time.time)))


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
        limits = make_limits()
        limits.record_response(RUN, head("7.4"), sent_at=9.0, now=10.0)
        # This response was overtaken by the one that names the limit.
        limits.record_response(RUN, head(), sent_at=9.5, now=10.1)
        self.assertThat(limits.named(RUN), Equals(7.4))
        limits.record_response(RUN, head("soon"), sent_at=10.2, now=10.3)
        self.assertThat(limits.named(RUN), Equals(7.4))
        limits.record_response(RUN, head(), sent_at=10.4, now=10.5)
        self.assertThat(limits.named(RUN), Is(None))

    def test_limit_ends_with_the_run_of_the_server(self):
        limits = make_limits()
        limits.record_response(RUN, head("7.4"), sent_at=9.0, now=10.0)
        restarted = ServerRun("s1", 6)
        self.assertThat(limits.named(restarted), Is(None))
        limits.discard_unregistered({restarted})
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
