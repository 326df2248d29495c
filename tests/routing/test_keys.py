import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.matchers import Equals

from foxtailcourse.routing import prompt_from_messages
from foxtailcourse.routing._keys import BYTES_PER_TOKEN

BLOCK_TOKENS = 2
NAMES = {
    "client_account": "teatro",
    "model": "assistant",
    "adapter": "",
    "weights_version": "v1",
}
TEXTS = st.text(max_size=60)


def keys_of(text, **names):
    messages = [{"role": "user", "content": text}]
    fields = {**NAMES, "block_tokens": BLOCK_TOKENS, **names}
    return prompt_from_messages(messages, 8, **fields)


class TestKeyChain(testtools.TestCase):
    """Guards against reuse of cached blocks of another account or another prefix.

    A key that two different prefixes share would let a server match blocks that
    belong to other text or to another client account.
    """

    @settings(derandomize=True, deadline=None)
    @given(TEXTS, st.sampled_from(sorted(NAMES)), st.text(min_size=1, max_size=8))
    def test_different_accounts_or_models_share_no_key(self, text, field, other):
        changed = NAMES[field] + other
        mine, foreign = keys_of(text), keys_of(text, **{field: changed})
        self.assertNotEqual(mine.salt, foreign.salt)
        self.assertThat(set(mine.keys) & set(foreign.keys), Equals(set()))

    def test_names_cannot_be_shifted_between_fields(self):
        shifted = {"client_account": "teatroa", "model": "ssistant"}
        self.assertNotEqual(keys_of("x").salt, keys_of("x", **shifted).salt)

    @settings(derandomize=True, deadline=None)
    @given(TEXTS, TEXTS, TEXTS)
    def test_equal_prefixes_share_exactly_the_common_blocks(self, common, one, two):
        texts = (common + one, common + two)
        raw = [b"\xfcuser\xfd" + text.encode() + b"\xff" for text in texts]
        size = BLOCK_TOKENS * BYTES_PER_TOKEN
        blocks = [
            [each[i : i + size] for i in range(0, len(each) - size + 1, size)]
            for each in raw
        ]
        expected = 0
        for first, second in zip(*blocks, strict=False):
            if first != second:
                break
            expected += 1
        left, right = (keys_of(text).keys for text in texts)
        self.assertThat([len(left), len(right)], Equals([len(b) for b in blocks]))
        self.assertThat(left[:expected], Equals(right[:expected]))
        self.assertThat(set(left[expected:]) & set(right[expected:]), Equals(set()))

    def test_content_cannot_imitate_a_message_boundary(self):
        split = [{"role": "user", "content": c} for c in ("a" * 20, "b" * 20)]
        joined = [{"role": "user", "content": "a" * 20 + "\xff\xfcuser\xfd" + "b" * 20}]
        fields = {**NAMES, "block_tokens": BLOCK_TOKENS}
        left = prompt_from_messages(split, 8, **fields)
        right = prompt_from_messages(joined, 8, **fields)
        self.assertNotEqual(left.keys[-1], right.keys[len(left.keys) - 1])

    def test_levels_are_the_full_blocks_at_message_ends(self):
        messages = [
            {"role": "system", "content": "v" * 30},
            {"role": "user", "content": "q" * 5},
        ]
        fields = {**NAMES, "block_tokens": BLOCK_TOKENS}
        prompt = prompt_from_messages(messages, 8, **fields)
        self.assertThat(prompt.levels, Equals((4, 6)))
        self.assertThat(prompt.tokens, Equals(13))
