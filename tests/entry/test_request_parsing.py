import msgspec
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.matchers import Equals

from foxtailcourse.entry._request_parsing import (
    MAX_TOKENS,
    parse_chat,
    parse_key_request,
    parse_service_route,
)
from foxtailcourse.http import Exchange, HttpError
from foxtailcourse.routing import prompt_from_messages

LEAVES = st.none() | st.booleans() | st.integers() | st.floats() | st.text()
VALUES = st.recursive(
    LEAVES,
    lambda v: st.lists(v, max_size=3) | st.dictionaries(st.text(), v, max_size=3),
)
MESSAGES = st.lists(
    st.fixed_dictionaries(
        {"role": st.sampled_from(["user", "system", "x"]) | VALUES},
        optional={"content": st.text() | VALUES},
    )
)
BODIES = st.fixed_dictionaries(
    {},
    optional={
        "model": st.text() | VALUES,
        "messages": MESSAGES | VALUES,
        "stream": st.booleans() | VALUES,
        "max_tokens": st.integers() | VALUES,
        "max_completion_tokens": st.integers() | VALUES,
        "n": st.just(1) | VALUES,
        "tools": VALUES,
        "temperature": VALUES,
    },
)


def exchange_with(body):
    exchange = Exchange.__new__(Exchange)
    exchange.body = body
    return exchange


class TestParse(testtools.TestCase):
    """Guards against input that raises another error than HttpError 400."""

    def check(self, body):
        try:
            request = parse_chat(exchange_with(body), 256)
        except HttpError as exc:
            self.assertThat(exc.status, Equals(400))
            return
        self.assertTrue(1 <= request.max_tokens <= MAX_TOKENS)
        self.assertTrue(request.model and request.messages)
        sent = msgspec.json.decode(msgspec.json.encode(request.body))
        self.assertThat(sent["max_tokens"], Equals(request.max_tokens))
        # Accepted messages must also be convertible to a prompt.
        prompt_from_messages(
            request.messages,
            request.max_tokens,
            client_account="a",
            model=request.model,
            weights_version="v1",
            block_tokens=16,
            tools=request.tools,
        )

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(BODIES)
    def test_any_object_is_accepted_or_refused(self, value):
        self.check(msgspec.json.encode(value))

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.binary(max_size=60), st.integers(0, 90))
    def test_any_bytes_are_accepted_or_refused(self, noise, at):
        good = b'{"model":"m","messages":[{"role":"user","content":"hi"}],"n":1}'
        self.check(good[:at] + noise + good[at + len(noise) // 2 :])

    def test_duplicate_name_means_the_same_to_entry_and_engine(self):
        body = b'{"model":"a","model":"b","messages":[{"role":"user"}]}'
        request = parse_chat(exchange_with(body), 256)
        self.assertThat(request.body["model"], Equals(request.model))

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.text(alphabet="/.a\\%"))
    def test_route_has_no_relative_segments(self, text):
        path = "/services/" + text
        try:
            route = parse_service_route(path)
        except HttpError:
            return
        self.assertTrue(route)
        self.assertFalse({".", ".."} & set(path.split("/")))

    def test_key_request_is_strict(self):
        for body in (b"{}", b"[]", b'{"route":""}', b'{"route":"a","x":1}', b"x"):
            self.assertRaises(HttpError, parse_key_request, exchange_with(body))
