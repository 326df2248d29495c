import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.matchers import Equals

from foxtailcourse.config import RecordError, decode_record
from foxtailcourse.protocol import (
    ExchangeMessage,
    FollowEvent,
    FollowRequest,
    PeerMessageError,
    RecordMessage,
    Sender,
    SnapshotReply,
    SnapshotRequest,
    decode_message,
    encode_message,
)

KINDS = (ExchangeMessage, FollowEvent, FollowRequest, SnapshotReply, SnapshotRequest)
SENDER = Sender(vm="a", revision=7, ready=True)
SAMPLES = (
    ExchangeMessage(sender=SENDER, topics={"demand": b"\x00\xff"}),
    FollowEvent(sender=SENDER, records=(RecordMessage(key="k", value=b"{}"),)),
    FollowRequest(sender=SENDER, digests=(2**64 - 1,) * 3),
    SnapshotReply(sender=SENDER, next_bucket=3),
    SnapshotRequest(sender=SENDER, keys=("contracts/a",)),
)
VALUES = st.recursive(
    st.none() | st.integers(-5, 2**70) | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["generation", "write_id", "deleted", "body", "x"]), inner
        )
    ),
    max_leaves=8,
)


class TestPeerMessages(testtools.TestCase):
    """Guards against malformed messages that raise an unexpected error."""

    def test_messages_round_trip_through_encoding(self):
        for message in SAMPLES:
            decoded = decode_message(encode_message(message), type(message))
            self.assertThat(decoded, Equals(message))

    @settings(derandomize=True, deadline=None, max_examples=500)
    @given(
        st.sampled_from(SAMPLES),
        st.sampled_from(KINDS),
        st.integers(0, 200),
        st.binary(max_size=6),
    )
    def test_altered_messages_are_decoded_or_refused(
        self, message, kind, position, replacement
    ):
        data = encode_message(message)
        for altered in (
            data[:position],
            data[:position] + replacement + data[position + len(replacement) :],
            replacement,
        ):
            try:
                self.assertIsInstance(decode_message(altered, kind), kind)
            except PeerMessageError:
                continue

    def test_deep_nesting_is_refused(self):
        nested = b"\x91" * 100_000
        self.assertRaises(PeerMessageError, decode_message, nested, FollowEvent)
        self.assertRaises(RecordError, decode_record, "k", b"[" * 100_000, 1)

    @settings(derandomize=True, deadline=None, max_examples=500)
    @given(st.binary(max_size=40) | VALUES.map(lambda v: repr(v).encode()))
    def test_any_record_value_is_decoded_or_refused(self, value):
        for data in (value, value.replace(b"'", b'"').replace(b"None", b"null")):
            try:
                record = decode_record("contracts/a", data, 1)
            except RecordError:
                continue
            self.assertThat(
                decode_record(record.key, record.encode(), 1), Equals(record)
            )
