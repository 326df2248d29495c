import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.matchers import Equals

from foxtailcourse.config import ConfigStore, Record, RecordError, decode_record


def contract(generation, share, write_id="w"):
    body = {"client_account": "teatro", "share": share}
    return Record(
        key="contracts/teatro",
        generation=generation,
        write_id=write_id,
        mod_revision=generation,
        body=body,
    )


class TestConfigStore(testtools.TestCase):
    """Guards against a newer record that is replaced by an older one."""

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.integers(1, 5), st.sampled_from("ab")), min_size=1))
    def test_merge_does_not_depend_on_the_order_of_arrival(self, writes):
        records = [contract(g, g, w) for g, w in writes]
        forward, backward = ConfigStore(), ConfigStore()
        for record in records:
            forward.merge([record])
        backward.merge(reversed(records))
        self.assertThat(forward.view, Equals(backward.view))
        newest = max(record.order for record in records)
        self.assertThat(forward.get("contracts/teatro").order, Equals(newest))

    def test_invalid_record_keeps_the_previous_one_in_force(self):
        store = ConfigStore()
        store.merge([contract(1, 2.0)])
        store.merge([contract(2, "much")])
        self.assertThat(store.view.contracts["teatro"].share, Equals(2.0))
        self.assertIn("contracts/teatro", store.rejected)

    def test_record_round_trip(self):
        record = contract(3, 1.0)
        decoded = decode_record(record.key, record.encode(), record.mod_revision)
        self.assertThat(decoded, Equals(record))

    def test_malformed_values_raise_record_error(self):
        for value in (b"", b"{", b"[]", b'{"generation":0,"write_id":""}'):
            self.assertRaises(RecordError, decode_record, "k", value, 1)
