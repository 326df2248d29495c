import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.matchers import Equals

from foxtailcourse.protocol import (
    Attempt,
    FieldError,
    LoadReport,
    Reply,
    RequestClass,
    Verdict,
    headers,
)

ATTEMPT = Attempt(
    request_id="r1",
    attempt_id="a1",
    client_account="teatro",
    request_class=RequestClass.LONG,
    prefix_keys=(b"0" * 16, b"1" * 16),
    deadline_ms=900,
)


class TestFields(testtools.TestCase):
    """Guards against malformed header fields that raise an unexpected error."""

    def test_attempt_and_reply_round_trip_through_headers(self):
        self.assertThat(Attempt.from_headers(ATTEMPT.to_headers()), Equals(ATTEMPT))
        reply = Reply(
            verdict=Verdict.NOT_RUN,
            attempt_id="a1",
            backend_server="w1",
            load=LoadReport(queued_ms=3, running=1, waiting=2, leaving=True),
            retry_after_ms=1200,
        )
        self.assertThat(Reply.from_headers(reply.to_headers()), Equals(reply))

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.sampled_from(sorted(ATTEMPT.to_headers())), st.text(max_size=60))
    def test_any_field_value_parses_or_is_a_field_error(self, name, value):
        fields = ATTEMPT.to_headers() | {name: value}
        try:
            parsed = Attempt.from_headers(fields)
        except FieldError:
            return
        self.assertThat(Attempt.from_headers(parsed.to_headers()), Equals(parsed))

    def test_reply_without_verdict_is_refused(self):
        reply = Reply(verdict=Verdict.RAN, attempt_id="a", backend_server="b")
        fields = reply.to_headers()
        del fields[headers.VERDICT]
        self.assertRaises(FieldError, Reply.from_headers, fields)
