import hashlib
from unittest import mock

import testtools
from testtools.matchers import Equals

from entry_support import CONTRACT, KEY, record
from foxtailcourse.config import ConfigStore
from foxtailcourse.entry import _auth
from foxtailcourse.entry._auth import INDEX_CHARS, Authenticator
from foxtailcourse.http import HttpError


class TestAuthenticator(testtools.TestCase):
    """Guards against keys that are accepted although their full hash differs."""

    def setUp(self):
        super().setUp()
        self.store = ConfigStore()
        self.digest = hashlib.sha256(KEY.encode()).hexdigest()

    def put_contract(self, *hashes, account="teatro", generation=1):
        body = CONTRACT | {"client_account": account, "key_sha256": list(hashes)}
        self.store.merge([record(f"contracts/{account}", body, generation)])

    def authenticate(self, field, authenticator=None):
        try:
            contract = (authenticator or Authenticator()).find_contract(
                self.store.view, field
            )
        except HttpError as exc:
            return exc.status
        return contract.client_account

    def test_plain_text_key_in_a_contract_is_not_accepted(self):
        self.put_contract(KEY)
        self.assertThat(self.authenticate(f"Bearer {KEY}"), Equals(401))

    def test_equal_index_characters_are_not_enough(self):
        similar_digest = self.digest[:INDEX_CHARS] + "0" * (64 - INDEX_CHARS)
        self.put_contract(similar_digest)
        with mock.patch.object(
            _auth.hmac, "compare_digest", wraps=_auth.hmac.compare_digest
        ) as compare:
            self.assertThat(self.authenticate(f"Bearer {KEY}"), Equals(401))
        compare.assert_called_once_with(similar_digest, self.digest)

    def test_without_the_full_comparison_an_unknown_key_is_accepted(self):
        """Control: without the full comparison, the test above fails."""
        self.put_contract(self.digest[:INDEX_CHARS] + "0" * (64 - INDEX_CHARS))
        with mock.patch.object(_auth.hmac, "compare_digest", lambda one, other: True):
            self.assertThat(self.authenticate(f"Bearer {KEY}"), Equals("teatro"))

    def test_removed_key_is_refused_with_the_next_view(self):
        authenticator = Authenticator()
        self.put_contract(self.digest)
        self.assertThat(
            self.authenticate(f"Bearer {KEY}", authenticator), Equals("teatro")
        )
        self.put_contract("0" * 64, generation=2)
        self.assertThat(self.authenticate(f"Bearer {KEY}", authenticator), Equals(401))

    def test_other_schemes_are_refused(self):
        self.put_contract(self.digest)
        for field in ("", KEY, f"Basic {KEY}", "Bearer", f"Bearer {self.digest}"):
            self.assertThat(self.authenticate(field), Equals(401), field)
