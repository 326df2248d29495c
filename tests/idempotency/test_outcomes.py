import random

import testtools
from testtools.matchers import Equals

from foxtailcourse.engine import ServiceResponse
from foxtailcourse.idempotency import (
    KeyDecision,
    KeyIssuer,
    KeyLimitError,
    KeyState,
    OutcomeLimits,
    OutcomeTable,
    issuing_agent,
)

FINGERPRINT = b"f"


def make_response(size=10):
    return ServiceResponse(status=200, content_type="text/plain", body=b"x" * size)


class TestKeyIssuer(testtools.TestCase):
    """Guards against a key that a second incarnation or account could run."""

    def test_only_the_issuing_incarnation_and_account_find_a_key_valid(self):
        issuer, later_incarnation = KeyIssuer("a1", 60, 10), KeyIssuer("a1", 60, 10)
        other_agent = KeyIssuer("a2", 60, 10)
        key = issuer.issue("teatro", 5.0)
        states = {
            issuer.check(key, "teatro", 64.9).state: KeyState.VALID,
            issuer.check(key, "teatro", 65.0).state: KeyState.EXPIRED,
            issuer.check(key, "museo", 6.0).state: KeyState.FOREIGN,
            later_incarnation.check(
                key, "teatro", 6.0
            ).state: KeyState.FORMER_INCARNATION,
        }
        for state, expected in states.items():
            self.assertThat(state, Equals(expected))
        other_state = other_agent.check(key, "teatro", 6.0).state
        self.assertThat(other_state, Equals(KeyState.FOREIGN))
        self.assertThat(issuing_agent(key), Equals("a1"))

    def test_changed_or_malformed_keys_are_never_valid(self):
        issuer = KeyIssuer("a1", 60, 10)
        key = issuer.issue("teatro", 5.0)
        rng = random.Random(1)
        for text in ("", "order-1", "fk1..", "fk1.é.a", "fk1.AA.AA", key * 9):
            state = issuer.check(text, "teatro", 6.0).state
            self.assertThat(state, Equals(KeyState.FOREIGN))
        for _ in range(300):
            at = rng.randrange(len(key) - 1)
            changed = key[:at] + rng.choice("ABCxyz019._") + key[at + 1 :]
            checked = issuer.check(changed, "teatro", 6.0)
            self.assertTrue(changed == key or checked.state is not KeyState.VALID)

    def test_unexpired_keys_are_bounded(self):
        issuer = KeyIssuer("a1", 60, 2)
        issuer.issue("teatro", 0.0)
        issuer.issue("teatro", 1.0)
        self.assertRaises(KeyLimitError, issuer.issue, "teatro", 59.0)
        issuer.issue("teatro", 60.0)


class TestOutcomeTable(testtools.TestCase):
    """Guards against a second run of one key."""

    def test_repeated_calls_join_or_get_the_stored_outcome(self):
        table = OutcomeTable(OutcomeLimits())
        decisions = [table.begin(b"k", FINGERPRINT, 60.0, 0.0) for _ in range(2)]
        table.finish(b"k", make_response(), 1.0)
        decisions.append(table.begin(b"k", FINGERPRINT, 60.0, 2.0))
        decisions.append(table.begin(b"k", b"other", 60.0, 2.0))
        expected = [
            KeyDecision.RUN,
            KeyDecision.JOIN,
            KeyDecision.REPLAY,
            KeyDecision.MISMATCH,
        ]
        self.assertThat(decisions, Equals(expected))

    def test_large_and_old_responses_are_not_stored_but_their_outcomes_are(self):
        limits = OutcomeLimits(max_response_bytes=10, max_stored_bytes=15)
        table = OutcomeTable(limits)
        for ident, size in ((b"a", 11), (b"b", 8), (b"c", 8)):
            table.begin(ident, FINGERPRINT, 60.0, 0.0)
            table.finish(ident, make_response(size), 0.0)
        decisions = [table.begin(i, FINGERPRINT, 60.0, 1.0) for i in (b"a", b"b", b"c")]
        expected = [KeyDecision.UNKNOWN, KeyDecision.UNKNOWN, KeyDecision.REPLAY]
        self.assertThat(decisions, Equals(expected))
        self.assertThat(table.stored_bytes, Equals(8))

    def test_key_runs_at_most_once_and_never_after_not_run(self):
        for seed in range(50):
            rng, table, now = random.Random(seed), OutcomeTable(OutcomeLimits()), 0.0
            run_counts, not_run, running = {}, set(), set()
            for _ in range(200):
                now += rng.random()
                ident = bytes([rng.randrange(8)])
                expires_at = 20.0 + ident[0]
                if now >= expires_at:
                    continue  # the issuer refuses an expired key
                decision = table.begin(ident, FINGERPRINT, expires_at, now)
                if decision is KeyDecision.RUN:
                    self.assertTrue(ident not in not_run)
                    run_counts[ident] = run_counts.get(ident, 0) + 1
                    running.add(ident)
                if ident in running and rng.random() < 0.5:
                    running.discard(ident)
                    end = rng.choice(["finish", "fail", "fence"])
                    if end == "finish":
                        table.finish(ident, make_response(), now)
                    elif end == "fail":
                        table.fail(ident, now)
                    else:
                        table.fence(ident, FINGERPRINT, expires_at, now)
                        not_run.add(ident)
            self.assertTrue(all(count == 1 for count in run_counts.values()))

    def test_key_that_has_run_is_not_fenced(self):
        table = OutcomeTable(OutcomeLimits())
        table.begin(b"k", FINGERPRINT, 60.0, 0.0)
        table.finish(b"k", make_response(), 0.0)
        self.assertRaises(ValueError, table.fence, b"k", FINGERPRINT, 60.0, 1.0)

    def test_expired_keys_are_removed_unless_running(self):
        table = OutcomeTable(OutcomeLimits())
        table.begin(b"a", FINGERPRINT, 10.0, 0.0)
        table.begin(b"b", FINGERPRINT, 10.0, 0.0)
        table.finish(b"a", make_response(), 1.0)
        table.peek(b"c", FINGERPRINT, 10.0, 11.0)
        self.assertThat(len(table), Equals(1))
        self.assertThat(table.stored_bytes, Equals(0))
        table.finish(b"b", make_response(), 12.0)
        self.assertThat(len(table), Equals(0))


class TestExpiryDuringCall(testtools.TestCase):
    """Guards against a second run of a key that expires after it was checked."""

    def test_key_that_expired_after_its_check_does_not_run_again(self):
        issuer, table = KeyIssuer("a1", 60, 10), OutcomeTable(OutcomeLimits())
        key = issuer.issue("teatro", 0.0)
        checked = issuer.check(key, "teatro", 59.999)
        first = table.begin(checked.ident, FINGERPRINT, checked.expires_at, 1.0)
        self.assertThat(first, Equals(KeyDecision.RUN))
        table.finish(checked.ident, make_response(), 2.0)
        # A leaving agent calls peek first, and must not respond "not run" either.
        for decide in (table.peek, table.begin):
            second = decide(checked.ident, FINGERPRINT, checked.expires_at, 60.0)
            self.assertThat(second, Equals(KeyDecision.UNKNOWN))
