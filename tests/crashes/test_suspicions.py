import testtools
from testtools.matchers import Equals

from foxtailcourse.crashes._suspicions import (
    FIRST_BLOCK_S,
    MAX_CANDIDATES,
    MAX_CRASHES,
    MAX_PROMPTS,
    MIN_SEPARATION_S,
    PAROLE_S,
    SETTLE_S,
    TRIAL_SPACING_S,
    TRIAL_TIMEOUT_S,
    BreakReport,
    PartSuspicions,
    block_s,
)
from foxtailcourse.fleet import ServerRun

NOW = 100.0
JUDGED_S = SETTLE_S + 0.01
# Bound of the platform on requests that crash servers, and for how long it is checked.
MAX_TRIALS, PLAYED_S = 3, 2400.0
DEADLY = frozenset({"deadly"})


def parts(*names):
    return frozenset(names)


class TestPartSuspicions(testtools.TestCase):
    """Guards servers against deadly parts, and sound requests against suspicions."""

    def setUp(self):
        super().setUp()
        self.suspicions = PartSuspicions()
        self.crashes = 0

    def crash(self, at, *begun, waiting=()):
        """Report a crash of another server and return the parts then blocked."""
        self.crashes += 1
        run = ServerRun(f"m{self.crashes}", 1)
        for request in begun:
            self.suspicions.report(BreakReport(run, begun=(parts(*request),)), at)
        for request in waiting:
            self.suspicions.report(BreakReport(run, waiting=(parts(*request),)), at)
        return set(self.suspicions.judge(at + JUDGED_S))

    def crash_under(self, *requests, at, age_s=0.1):
        """Report a crash of another server that had begun requests of plain services.

        Returns the requests that are then blocked.
        """
        self.crashes += 1
        begun = tuple(parts(each) for each in requests)
        ages_s = tuple(age_s for _ in begun)
        report = BreakReport(
            ServerRun(f"m{self.crashes}", 1), begun=begun, ages_s=ages_s
        )
        self.suspicions.report(report, at)
        return set(self.suspicions.judge_requests(report, at))

    def wait_s(self, *names, at, rank=0):
        return self.suspicions.wait_s(parts(*names), lambda blocked: rank, at)

    def test_common_part_of_two_crashes_is_blocked_and_no_other(self):
        self.assertThat(self.crash(NOW, ("a", "deadly")), Equals(set()))
        self.assertThat(self.crash(NOW + 2, ("b", "deadly")), Equals({DEADLY}))
        self.assertTrue(self.wait_s("c", "deadly", at=NOW + 3) > 0)
        for name in ("a", "b"):
            self.assertThat(self.wait_s(name, "c", at=NOW + 3), Equals(0.0))

    def test_request_of_two_crashes_is_blocked_at_once_and_no_other(self):
        crowd = [f"r{number}" for number in range(100)]
        self.assertThat(self.crash_under("r-d", *crowd, at=NOW), Equals(set()))
        blocked = self.crash_under("r-new", "r-d", at=NOW + 0.2)
        self.assertThat(blocked, Equals({parts("r-d")}))
        self.assertThat(self.wait_s("r-new", at=NOW + 1), Equals(0.0))

    def test_copies_of_a_request_at_servers_that_fail_together_count_once(self):
        for at in (NOW, NOW + 0.05, NOW + 0.06):
            blocked = self.crash_under("r-copied", at=at, age_s=0.2)
        self.assertThat(blocked, Equals(set()))

    def test_request_that_was_answered_needs_a_third_crash(self):
        self.suspicions.record_answered(parts("r-known"), NOW)
        for number in (1, 2):
            self.assertThat(self.crash_under("r-known", at=NOW + number), Equals(set()))
        self.assertThat(
            self.crash_under("r-known", at=NOW + 3), Equals({parts("r-known")})
        )

    def test_trial_of_a_request_that_crashes_blocks_it_longer(self):
        for number in (0, 1):
            self.crash_under("r-d", at=NOW + number)
        later = NOW + 1 + FIRST_BLOCK_S + 1
        self.assertThat(self.wait_s("r-d", at=later), Equals(0.0))
        self.crash_under("r-d", at=later)
        self.assertGreater(self.wait_s("r-d", at=later), FIRST_BLOCK_S)

    def test_request_that_is_tried_at_each_end_of_a_block_runs_three_times_at_most(
        self,
    ):
        for number in range(3):
            self.crash_under("r-d", at=NOW + number)
        now, trials = NOW + 2, 0
        while now < NOW + PLAYED_S:
            now += self.wait_s("r-d", at=now)
            if now < NOW + PLAYED_S:
                trials += 1
                self.suspicions.record_sent(parts("r-d"), now)
                self.crash_under("r-d", at=now + 0.1)
        self.assertThat(trials, Equals(MAX_TRIALS))

    def test_deadly_part_is_found_although_its_requests_are_blocked(self):
        for number, request in enumerate(("r-a", "r-a", "r-b")):
            self.crashes += 1
            run = ServerRun(f"m{self.crashes}", 1)
            at = NOW + 2 * number
            report = BreakReport(
                run, begun=(parts(request, f"own-{request}", "deadly"),)
            )
            self.suspicions.report(report, at)
            self.suspicions.judge_requests(report, at)
            blocked = self.suspicions.judge(at + JUDGED_S)
        self.assertThat(set(blocked), Equals({DEADLY}))
        self.assertTrue(self.wait_s("r-c", "c", "deadly", at=NOW + 5) > 0)
        self.assertThat(self.wait_s("r-c", "own-r-a", at=NOW + 5), Equals(0.0))

    def test_recorded_crashes_count_once_each(self):
        self.crash_under("r-d", at=NOW)
        (crash,) = self.suspicions.crashes()
        other = self.suspicions = PartSuspicions()
        for skew_s in (-3.0, 0.0, 2.0):
            other.adopt_crash(crash.report(), NOW + skew_s)
        self.assertThat(len(other.crashes()), Equals(1))
        self.assertThat(other.judge(NOW + JUDGED_S), Equals({}))
        self.assertThat(self.crash_under("r-d", at=NOW + 8), Equals({parts("r-d")}))

    def test_block_that_ended_before_a_start_makes_the_next_one_longer(self):
        self.suspicions.adopt(parts("r-d"), -5.0, 1, NOW)
        self.assertThat(self.wait_s("r-d", at=NOW), Equals(0.0))
        self.assertThat(self.crash_under("r-d", at=NOW), Equals({parts("r-d")}))
        self.assertGreater(self.wait_s("r-d", at=NOW), FIRST_BLOCK_S)

    def test_prompt_that_comes_again_is_blocked_without_its_parts(self):
        for at in (NOW, NOW + 1):
            self.crashes += 1
            run = ServerRun(f"m{self.crashes}", 1)
            report = BreakReport(run, begun=(parts("r-d", "shared"),))
            self.suspicions.report(report, at)
            blocked = self.suspicions.judge_requests(report, at)
            self.assertThat(self.suspicions.judge(at + JUDGED_S), Equals({}))
        self.assertThat(set(blocked), Equals({parts("r-d")}))

    def test_requests_with_a_part_of_the_blocked_ones_are_served(self):
        for at in (NOW, NOW + 2):
            blocked = self.crash(at, ("a", "deadly"))
        self.assertThat(blocked, Equals({parts("a", "deadly")}))
        self.assertThat(self.wait_s("a", at=NOW + 3), Equals(0.0))
        # A crash without the companion shows which part it is.
        self.assertThat(self.crash(NOW + 4, ("b", "deadly")), Equals({DEADLY}))
        self.assertTrue(self.wait_s("c", "deadly", at=NOW + 5) > 0)

    def test_begun_requests_explain_a_crash_before_waiting_ones(self):
        self.crash(NOW, ("a", "deadly"), waiting=[("hot", "x")])
        blocked = self.crash(NOW + 2, ("b", "deadly"), waiting=[("hot", "x")])
        self.assertThat(blocked, Equals({DEADLY}))

    def test_waiting_requests_are_suspected_if_none_had_begun(self):
        self.crash(NOW, waiting=[("a", "deadly"), ("b",)])
        blocked = self.crash(NOW + 2, waiting=[("c", "deadly"), ("d",)])
        self.assertThat(blocked, Equals({DEADLY}))

    def test_servers_that_fail_together_count_as_one_crash(self):
        for delay_s in (0.0, 0.1, 0.9 * MIN_SEPARATION_S):
            self.assertThat(self.crash(NOW + delay_s, ("hot",)), Equals(set()))

    def test_part_that_is_answered_between_crashes_is_not_blocked(self):
        for number in range(8):
            self.assertThat(self.crash(NOW + 2 * number, ("hot",)), Equals(set()))
            self.suspicions.record_answered(parts("hot", "x"), NOW + 2 * number + 1)

    def test_part_that_was_sound_before_is_blocked_after_three_crashes(self):
        self.suspicions.record_answered(parts("a", "deadly"), NOW - 9)
        blocked = [self.crash(NOW + 2 * n, (str(n), "deadly")) for n in range(3)]
        self.assertThat(blocked, Equals([set(), set(), {DEADLY}]))

    def test_suspicion_ends_by_itself_and_each_entry_tries_once(self):
        self.crash(NOW, ("a", "sound"))
        self.crash(NOW + 2, ("b", "sound"))
        end = NOW + 2 + JUDGED_S + FIRST_BLOCK_S
        self.assertTrue(self.wait_s("sound", at=end - 0.1) > 0)
        self.assertThat(self.wait_s("sound", at=end + 0.1), Equals(0.0))
        later = self.wait_s("sound", at=end, rank=3)
        self.assertThat(later, Equals(3 * TRIAL_SPACING_S))
        self.suspicions.record_sent(parts("sound"), end + 0.1)
        self.assertTrue(self.wait_s("sound", at=end + 0.2) > 0)
        ended = self.suspicions.record_answered(parts("sound", "c"), end + 1)
        self.assertThat(ended, Equals([parts("sound")]))
        self.assertThat(self.wait_s("sound", at=end + 1, rank=9), Equals(0.0))

    def test_trial_of_another_entry_is_waited_for(self):
        self.crash(NOW, ("a", "deadly"))
        self.crash(NOW + 2, ("b", "deadly"))
        end = NOW + 2 + JUDGED_S + FIRST_BLOCK_S
        # The other entry's block ended a little earlier.
        self.suspicions.record_trial(DEADLY, end - 0.1)
        waits_s = [self.wait_s("deadly", at=end + s) for s in (0.1, TRIAL_TIMEOUT_S)]
        self.assertThat([round(w, 6) for w in waits_s], Equals([9.8, 0.0]))

    def test_crash_after_the_end_of_a_block_begins_a_longer_one(self):
        self.crash(NOW, ("a", "deadly"))
        self.crash(NOW + 2, ("b", "deadly"))
        at = NOW + 2 + FIRST_BLOCK_S + 5
        # A request that was sent before the block changes nothing.
        self.assertThat(self.crash(NOW + 3, ("c", "deadly")), Equals(set()))
        self.assertThat(self.crash(at, ("d", "deadly", "e")), Equals({DEADLY}))
        remaining_s = self.wait_s("deadly", at=at + JUDGED_S)
        self.assertAlmostEqual(remaining_s, block_s(2))
        self.suspicions.judge(at + block_s(2) + PAROLE_S + 1)
        self.assertThat(self.wait_s("deadly", at=at, rank=9), Equals(0.0))

    def test_straggler_that_is_answered_ends_a_wrong_block(self):
        self.crash(NOW, ("sound",))
        self.crash(NOW + 2, ("sound",))
        self.assertTrue(self.wait_s("sound", at=NOW + 3) > 0)
        self.suspicions.record_answered(parts("sound"), NOW + 3)
        self.assertThat(self.wait_s("sound", at=NOW + 3), Equals(0.0))

    def test_entry_that_saw_an_answer_contradicts_a_block(self):
        self.suspicions.record_answered(parts("sound", "x"), NOW)
        self.assertTrue(self.suspicions.contradicts(parts("sound"), NOW + 1))
        other = PartSuspicions()
        self.assertFalse(other.contradicts(parts("sound"), NOW + 1))
        other.adopt(parts("sound"), 20.0, 1, NOW + 1)
        self.assertTrue(other.record_answered_elsewhere(parts("sound"), NOW, NOW + 1))
        self.assertThat(other.active_blocks(NOW + 1), Equals({}))

    def test_crashes_of_a_part_outweigh_answers_before_them(self):
        for number in range(3):
            self.crash(NOW + 2 * number, (str(number), "deadly"))
        self.assertFalse(
            self.suspicions.record_answered_elsewhere(DEADLY, NOW - 1, NOW + 6)
        )
        self.assertTrue(self.wait_s("deadly", at=NOW + 6) > 0)

    def test_work_is_bounded_however_many_requests_are_lost(self):
        looked_up = []
        self.patch(
            PartSuspicions, "answered_at", lambda s, p: looked_up.append(p) or NOW
        )
        names = [f"p{number}" for number in range(40)]
        for number in range(2 * MAX_CRASHES):
            lost = [(name, f"{name}-{number}") for name in names]
            self.crash(NOW + number, waiting=lost)
        self.assertTrue(len(looked_up) <= MAX_CANDIDATES * 2 * MAX_CRASHES)
        self.assertThat(len(self.suspicions._crashes), Equals(MAX_CRASHES))
        for crash in self.suspicions._crashes:
            self.assertThat(len(crash.prompts), Equals(MAX_PROMPTS))

    def test_shorter_block_of_another_entry_changes_nothing(self):
        self.suspicions.adopt(DEADLY, 25.0, 1, NOW)
        self.assertFalse(self.suspicions.adopt(DEADLY, 5.0, 1, NOW))
        self.assertFalse(self.suspicions.adopt(frozenset(), 5.0, 1, NOW))
        self.assertTrue(self.suspicions.adopt(DEADLY, 1e9, 2, NOW))
        self.assertAlmostEqual(self.wait_s("deadly", at=NOW), block_s(2))

    def test_block_of_another_entry_with_an_odd_number_of_times_can_end(self):
        for times in (600, 10**6, 2**63, 2**64 - 1):
            name = f"deadly{times}"
            self.assertTrue(self.suspicions.adopt(parts(name), 1.0, times, NOW))
            self.suspicions.adopt_former(parts(f"former-{name}"), NOW, times)
            self.assertAlmostEqual(self.wait_s(name, at=NOW), 1.0)
            # The next crash blocks it again, and others are told how many times.
            self.crash(NOW + 2.0, [name])
            block = self.suspicions.blocks[parts(name)]
            self.assertAlmostEqual(block.until, NOW + 2.0 + JUDGED_S + block_s(times))
            self.assertTrue(block.times < 10**6)
