import math

import testtools
from testtools.matchers import Equals

from foxtailcourse.ingress._features import Features
from foxtailcourse.ingress._fleet_sums import KEY_IDLE_S, FleetSums, SourceSums

DECAY_1S = math.exp(-1 / 4)


class TestFleetSums(testtools.TestCase):
    """Guards against sums that are counted twice, kept too long or negative."""

    def setUp(self):
        super().setUp()
        self.sums = FleetSums()

    def test_own_sums_decay_and_add(self):
        self.sums.add("k", [100, 2], 4.0, now=10.0)
        self.sums.add("k", [50], 4.0, now=11.0)
        self.assertThat(
            self.sums.own("k", 11.0), Equals((100 * DECAY_1S + 50, 2 * DECAY_1S))
        )
        self.assertThat(self.sums.own("unknown", 11.0), Equals(()))

    def test_returned_amounts_do_not_make_a_sum_negative(self):
        self.sums.add("k", [100], 4.0, now=10.0)
        self.sums.add("k", [-150], 4.0, now=10.0)
        self.assertThat(self.sums.own("k", 10.0), Equals((0.0,)))
        self.sums.add("k", [30], 4.0, now=10.0)
        self.assertThat(self.sums.own("k", 10.0), Equals((30.0,)))

    def test_rows_of_others_decay_with_the_time_of_the_local_key(self):
        self.sums.update_others("e2", [("k", [100.0]), ("l", [100.0])], 1, now=10.0)
        self.sums.add("k", [1], 4.0, now=11.0)
        self.assertThat(self.sums.others("k", 11.0), Equals((100 * DECAY_1S,)))
        self.assertThat(self.sums.total("k", 11.0), Equals((100 * DECAY_1S + 1,)))
        self.assertThat(self.sums.others("l", 11.0), Equals((100 * math.exp(-0.5),)))

    def test_a_source_replaces_what_it_said(self):
        self.sums.update_others("e2", [("k", [100.0]), ("l", [1.0])], 1, now=10.0)
        self.sums.update_others("e2", [("k", [20.0])], 1, now=10.0)
        self.sums.update_others("e3", [("k", [3.0, 1.0])], 1, now=10.0)
        self.assertThat(self.sums.others("k", 10.0), Equals((23.0, 1.0)))
        self.assertThat(self.sums.others("l", 10.0), Equals(()))
        self.assertThat(sorted(self.sums.keys("")), Equals(["k"]))

    def test_sources_that_are_silent_do_not_count(self):
        self.sums.update_others("fleet", [("k", [100.0])], 7, now=10.0)
        self.sums.update_others("e2", [("k", [1.0])], 1, now=11.0)
        self.assertThat(self.sums.heard_entries(11.5), Equals(8))
        self.assertThat(self.sums.heard_entries(11.6), Equals(1))
        self.assertThat(
            self.sums.others("k", 11.6), Equals((math.exp(-(11.6 - 11.0) / 2),))
        )

    def test_rows_near_zero_are_not_sent_and_idle_keys_are_forgotten(self):
        self.sums.add("q/a", [100, 0], 1.0, now=10.0)
        self.sums.set_own("s/a", [5], 1.0, now=10.0)
        self.assertThat(
            self.sums.own_rows(10.0), Equals([("q/a", [100.0, 0.0]), ("s/a", [5.0])])
        )
        self.assertThat(self.sums.own_rows(30.0), Equals([]))
        self.assertThat(self.sums.keys("q/"), Equals(["q/a"]))
        self.sums.own_rows(10.0 + KEY_IDLE_S)
        self.assertThat(self.sums.keys(""), Equals([]))

    def test_values_that_are_no_amounts_count_as_zero(self):
        rows = [("k", [math.nan, math.inf, -1.0, 2.0])]
        self.sums.update_others("e2", rows, -3, now=10.0)
        self.assertThat(self.sums.others("k", 10.0), Equals((0.0, 0.0, 0.0, 2.0)))
        self.assertThat(self.sums.heard_entries(10.0), Equals(0))

    def test_urgent_keys_are_taken_once(self):
        self.sums.mark_urgent("k")
        self.assertTrue(self.sums.urgent.is_set())
        self.assertThat(self.sums.take_urgent(), Equals({"k"}))
        self.assertThat(self.sums.take_urgent(), Equals(set()))
        self.assertFalse(self.sums.urgent.is_set())

    def test_only_the_contract_for_pressure_enables_features(self):
        self.assertThat(
            Features.from_contracts(("base", "drain", "quota")), Equals(Features())
        )
        features = Features.from_contracts(("base", "pressure", "unknown"))
        self.assertTrue(features.held_responses and features.server_memory)

    def test_overtaken_messages_of_a_source_are_old(self):
        source = SourceSums()
        self.assertTrue(source.is_newer(5000, 10.0))
        source.merge([("k", [5.0], 2.0)], 1, 10.0)
        self.assertFalse(source.is_newer(4900, 10.1))
        self.assertTrue(source.is_newer(5000, 10.1))
        # After a silence, the clock of the source may have started again.
        self.assertTrue(source.is_newer(100, 12.0))
