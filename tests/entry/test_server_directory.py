import testtools
from testtools.matchers import Equals

from entry_support import FakeAgent, agent_record, record
from foxtailcourse.config import ConfigStore
from foxtailcourse.entry._server_directory import LEAVING_EXCLUSION_S, ServerDirectory
from foxtailcourse.protocol import LoadReport, Reply, Verdict
from foxtailcourse.settings import Address


class TestServerDirectory(testtools.TestCase):
    """Guards against attempts at leaving (invariant 7) and unreachable servers."""

    def setUp(self):
        super().setUp()
        self.directory = ServerDirectory()
        self.store = ConfigStore()
        self.agents = [FakeAgent(vm) for vm in ("a", "b")]
        for each in self.agents:
            each.address = Address("127.0.0.1", 1)
        self.store.merge([agent_record(each) for each in self.agents])

    def usable_vms(self, now=0.0):
        return self.directory.usable_vms(self.store.view, "guide", now)

    def record_reply(self, vm, leaving, now=0.0):
        load = LoadReport(leaving=leaving)
        verdict = Verdict.NOT_RUN if leaving else Verdict.RAN
        reply = Reply(verdict=verdict, attempt_id="x", backend_server=vm, load=load)
        self.directory.record_reply(reply, now)

    def test_record_vm_list_and_stop_each_exclude_a_server(self):
        self.assertThat(self.usable_vms(), Equals(("a", "b")))
        self.store.merge([record("backends/a", {"leaving": True})])
        self.assertThat(self.usable_vms(), Equals(("b",)))
        self.store.merge([record("backends/a", {"leaving": False}, 2)])
        self.store.merge([agent_record(self.agents[1], "leaving", 2)])
        self.assertThat(self.usable_vms(), Equals(("a",)))
        self.store.merge([record("stops/a", {})])
        self.assertThat(self.usable_vms(), Equals(()))

    def test_leaving_server_is_excluded_until_the_next_attempt(self):
        self.record_reply("a", leaving=True)
        self.assertThat(self.usable_vms(LEAVING_EXCLUSION_S - 1), Equals(("b",)))
        self.assertThat(self.usable_vms(LEAVING_EXCLUSION_S), Equals(("a", "b")))
        self.record_reply("a", leaving=True, now=LEAVING_EXCLUSION_S)
        self.record_reply("a", leaving=False, now=LEAVING_EXCLUSION_S)
        self.assertThat(self.usable_vms(LEAVING_EXCLUSION_S), Equals(("a", "b")))

    def test_unreachable_server_is_excluded_longer_after_each_failure(self):
        exclusions_s, now = [], 0.0
        for _ in range(7):
            self.directory.record_unreachable("a", now)
            start_s = now
            while "a" not in self.usable_vms(now):
                now += 0.125
            exclusions_s.append(now - start_s)
        self.assertThat(exclusions_s, Equals([0.25, 0.5, 1.0, 2.0, 4.0, 5.0, 5.0]))
        self.record_reply("a", leaving=False, now=now)
        self.directory.record_unreachable("a", now)
        self.assertThat(self.usable_vms(now + 0.25), Equals(("a", "b")))

    def test_if_all_servers_are_unreachable_all_are_usable(self):
        for vm in ("a", "b"):
            self.directory.record_unreachable(vm, 0.0)
        self.assertThat(self.usable_vms(), Equals(("a", "b")))
        self.record_reply("a", leaving=True)
        self.assertThat(self.usable_vms(), Equals(("b",)))
