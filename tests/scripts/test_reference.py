import re
from pathlib import Path

import testtools
from render_reference import find_problems
from testtools.matchers import Equals, GreaterThan

from foxtailcourse.ctl._ini import parse_contracts, parse_services

DOCS = Path(__file__).parents[2] / "docs"
INDENTED_BLOCK = re.compile(r"(?:^    .*\n|^\n(?=    ))+", re.MULTILINE)


class TestReferencePages(testtools.TestCase):
    """Guards against reference pages that differ from the code.

    A page goes stale when an event, a metric, a code or a setting changes and
    ``scripts/render_reference.py`` is not run again.
    """

    def test_pages_and_catalogue_are_up_to_date(self):
        self.assertThat(find_problems(), Equals([]))


class TestContractExamples(testtools.TestCase):
    """Guards against examples in the pages that ``foxtailctl`` rejects."""

    def test_example_files_parse(self):
        text = (DOCS / "contracts.md").read_text(encoding="utf-8")
        parsed_records = 0
        for block in INDENTED_BLOCK.findall(text):
            file = "\n".join(line[4:] for line in block.splitlines())
            if file.strip():
                parse = parse_services if "[service" in file else parse_contracts
                parsed_records += len(parse(file, "docs/contracts.md"))
        self.assertThat(parsed_records, GreaterThan(4))
