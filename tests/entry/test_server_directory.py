import testtools
from testtools.matchers import Equals

from entry_support import FakeAgent, agent_record, record
from foxtailcourse.config import ConfigStore
from foxtailcourse.entry._server_directory import LEAVING_HOLD_S, ServerDirectory
from foxtailcourse.protocol import LoadReport, Reply, Verdict
from foxtailcourse.settings import Address


class TestServerDirectory(testtools.TestCase):
    """Guards invariant 7, and requests against servers that can't be reached."""

    def setUp(self):
        super().setUp()
        self.directory = ServerDirectory()
        self.store = ConfigStore()
        self.agents = [FakeAgent(vm) for vm in ("a", "b")]
        for each in self.agents:
            each.address = Address("127.0.0.1", 1)
        self.store.merge([agent_record(each) for each in self.agents])

    def usable(self, now=0.0):
        return self.directory.usable(self.store.view, "guide", now)

    def reply(self, vm, leaving, now=0.0):
        load = LoadReport(leaving=leaving)
        verdict = Verdict.NOT_RUN if leaving else Verdict.RAN
        reply = Reply(verdict=verdict, attempt_id="x", backend_server=vm, load=load)
        self.directory.replied(reply, now)

    def test_record_list_stop_and_refusal_each_drop_a_server(self):
        self.assertThat(self.usable(), Equals(("a", "b")))
        self.store.merge([record("backends/a", {"leaving": True})])
        self.assertThat(self.usable(), Equals(("b",)))
        self.store.merge([record("backends/a", {"leaving": False}, 2)])
        self.store.merge([agent_record(self.agents[1], "leaving", 2)])
        self.assertThat(self.usable(), Equals(("a",)))
        self.store.merge([record("stops/a", {})])
        self.assertThat(self.usable(), Equals(()))

    def test_refusal_of_a_leaving_server_holds_until_it_is_asked_again(self):
        self.reply("a", leaving=True)
        self.assertThat(self.usable(LEAVING_HOLD_S - 1), Equals(("b",)))
        self.assertThat(self.usable(LEAVING_HOLD_S), Equals(("a", "b")))
        self.reply("a", leaving=True, now=LEAVING_HOLD_S)
        self.reply("a", leaving=False, now=LEAVING_HOLD_S)
        self.assertThat(self.usable(LEAVING_HOLD_S), Equals(("a", "b")))

    def test_unreachable_server_is_skipped_longer_each_time(self):
        skipped, now = [], 0.0
        for _ in range(7):
            self.directory.unreachable("a", now)
            began = now
            while "a" not in self.usable(now):
                now += 0.125
            skipped.append(now - began)
        self.assertThat(skipped, Equals([0.25, 0.5, 1.0, 2.0, 4.0, 5.0, 5.0]))
        self.reply("a", leaving=False, now=now)
        self.directory.unreachable("a", now)
        self.assertThat(self.usable(now + 0.25), Equals(("a", "b")))

    def test_all_unreachable_servers_are_tried_rather_than_none(self):
        for vm in ("a", "b"):
            self.directory.unreachable(vm, 0.0)
        self.assertThat(self.usable(), Equals(("a", "b")))
        self.reply("a", leaving=True)
        self.assertThat(self.usable(), Equals(("b",)))
