import random

import testtools
from testtools.matchers import Equals

from foxtailcourse.cache import BlockIndex, EventOutcome

STALE_S = 10.0


def make_keys(start, stop):
    return [i.to_bytes(16, "big") for i in range(start, stop)]


def make_index(capacity=100):
    index = BlockIndex(capacity, STALE_S)
    index.record_poll("e1", 0.0)
    return index


class TestBlockIndex(testtools.TestCase):
    """Guards against matches on blocks that the engine no longer has cached.

    They arise from an engine's restart, from lost or late events, and from blocks
    that were evicted without an event.
    """

    def test_new_incarnation_clears_the_index(self):
        index = make_index()
        index.record_reply("e1", make_keys(0, 4), 0, 0.0)
        self.assertThat(index.match(make_keys(0, 4), 0.0), Equals(4))
        index.record_reply("e2", make_keys(8, 9), 0, 1.0)
        self.assertThat(index.match(make_keys(0, 4), 1.0), Equals(0))
        self.assertThat(index.match(make_keys(8, 9), 1.0), Equals(1))

    def test_late_messages_of_a_former_incarnation_are_ignored(self):
        index = make_index()
        index.record_poll("e2", 1.0)
        outcome = index.apply("e1", 1, True, make_keys(0, 4), 1.0)
        index.record_reply("e1", make_keys(0, 4), 4, 1.0)
        index.record_poll("e1", 1.0)
        index.record_incarnation("e1")
        self.assertThat(outcome, Equals(EventOutcome.FORMER_INCARNATION))
        self.assertThat(index.incarnation, Equals("e2"))
        self.assertThat(len(index), Equals(0))

    def test_gap_clears_blocks_that_may_have_been_evicted(self):
        index = make_index()
        index.apply("e1", 1, True, make_keys(0, 4), 0.0)
        # Event 2, an eviction, is lost.
        outcome = index.apply("e1", 3, True, make_keys(4, 5), 0.0)
        self.assertThat(outcome, Equals(EventOutcome.GAP))
        self.assertThat(index.match(make_keys(0, 4), 0.0), Equals(0))
        self.assertThat(index.match(make_keys(4, 5), 0.0), Equals(1))

    def test_lost_last_event_is_detected_by_its_number(self):
        index = make_index()
        index.apply("e1", 1, True, make_keys(0, 4), 0.0)
        self.assertThat(index.check_last_seq("e1", 1), Equals(EventOutcome.REPEATED))
        self.assertThat(
            index.check_last_seq("e0", 9), Equals(EventOutcome.FORMER_INCARNATION)
        )
        self.assertThat(len(index), Equals(4))
        self.assertThat(index.check_last_seq("e1", 2), Equals(EventOutcome.GAP))
        self.assertThat(len(index), Equals(0))

    def test_reply_removes_blocks_that_were_evicted_without_an_event(self):
        index = make_index(capacity=4)
        index.record_reply("e1", make_keys(0, 4), 0, 0.0)
        index.record_reply("e1", make_keys(0, 6), 2, 0.0)
        self.assertThat(len(index), Equals(4))

    def test_without_answered_polls_nothing_matches(self):
        index = make_index()
        index.record_reply("e1", make_keys(0, 4), 0, 0.0)
        # A reported state does not prove that events arrive.
        index.record_incarnation("e1")
        self.assertThat(index.match(make_keys(0, 4), STALE_S + 1), Equals(0))

    def test_never_matches_missing_blocks_once_events_have_arrived(self):
        for seed in range(30):
            rng = random.Random(seed)
            index, cached, seq = make_index(capacity=40), {}, 0
            for _ in range(300):
                key = make_keys(0, 60)[rng.randrange(60)]
                seq += 1
                stored = key not in cached
                if stored:
                    cached[key] = None
                else:
                    del cached[key]
                if rng.random() < 0.1:
                    continue  # the event is lost
                index.apply("e1", seq, stored, [key], 0.0)
                matched = [k for k in make_keys(0, 60) if index.match([k], 0.0)]
                self.assertThat(set(matched) - cached.keys(), Equals(set()))
                self.assertTrue(len(index) <= 40)
