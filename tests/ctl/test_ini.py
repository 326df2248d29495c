import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.matchers import Contains, Equals, HasLength

from foxtailcourse.config import Contract, ServiceRoute
from foxtailcourse.ctl._ini import (
    InputError,
    InputErrors,
    parse_contracts,
    parse_services,
    render_section,
)

HASH = "ab" * 32
FRAGMENTS = (
    *("[contract a]", "[contract ", "[service b]", "]", "[", "=", "\n", " ", "\t", "#"),
    *("share", "models", "key_sha256", HASH, "-1", "1e999", "nan", "yes", "\0", "é"),
    "\N{ARABIC-INDIC DIGIT ONE}",
)
NAMES = st.from_regex(r"[a-z0-9][a-z0-9._-]{0,20}", fullmatch=True)


class TestContractFile(testtools.TestCase):
    """Guards against problems of a file that are reported only one at a time."""

    def problems(self, text):
        try:
            parse_contracts(text, "f")
        except InputErrors as group:
            return [str(each) for each in group.exceptions]
        self.fail("expected problems")

    def test_every_problem_is_reported_with_its_line(self):
        text = (
            "stray\n[contract Teatro]\nshare = much\nshare = 2\nfee = 3\n"
            "max_concurrent = 0\n[contract a]\nkey_sha256 = abc\n[other x y]\n"
            f"[contract b]\nkey_sha256 = {HASH}\nno value\n"
            f"[contract c]\nkey_sha256 = {HASH}\n[contract a]\ntokens_per_s = inf\n"
        )
        problems = self.problems(text)
        lines = [int(each.split(":")[1]) for each in problems]
        self.assertThat(lines, Equals([1, 2, 3, 4, 5, 6, 8, 9, 12, 13, 15, 16]))
        self.assertThat(problems[5], Contains("at least 1"))

    def test_empty_and_oversized_files_are_refused(self):
        for text in ("", "# nothing", "x" * 1_000_001):
            self.assertThat(self.problems(text), HasLength(1))

    @settings(derandomize=True, deadline=None)
    @given(
        st.builds(
            Contract,
            client_account=NAMES,
            models=st.lists(NAMES, max_size=3).map(tuple),
            share=st.floats(0.001, 1e9),
            max_concurrent=st.integers(1, 1000),
        )
    )
    def test_rendered_contract_parses_to_the_same_value(self, contract):
        (parsed,) = parse_contracts(render_section(contract, 7), "f")
        self.assertThat(parsed.value, Equals(contract))
        self.assertThat(parsed.generation, Equals(7))

    def test_rendered_service_parses_to_the_same_value(self):
        route = ServiceRoute(route="counter", repeatable=True, timeout_ms=5)
        (parsed,) = parse_services(render_section(route, 1), "f")
        self.assertThat(parsed.value, Equals(route))

    @settings(derandomize=True, deadline=None, max_examples=400)
    @given(st.one_of(st.text(), st.lists(st.sampled_from(FRAGMENTS)).map("".join)))
    def test_any_text_is_parsed_or_refused(self, text):
        for parse in (parse_contracts, parse_services):
            try:
                parse(text, "f")
            except InputErrors as group:
                for each in group.exceptions:
                    self.assertIsInstance(each, InputError)
