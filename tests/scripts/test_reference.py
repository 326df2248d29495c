import re
from pathlib import Path

import testtools
from render_reference import find_problems
from testtools.matchers import Equals, GreaterThan

from foxtailcourse.ctl._ini import parse_contracts, parse_services

DOCS = Path(__file__).parents[2] / "docs"
INDENTED = re.compile(r"(?:^    .*\n|^\n(?=    ))+", re.MULTILINE)


class TestReferencePages(testtools.TestCase):
    """Guards against pages that name other events, codes or settings than the code."""

    def test_pages_and_catalogue_are_up_to_date(self):
        self.assertThat(find_problems(), Equals([]))


class TestContractExamples(testtools.TestCase):
    """Guards against examples that foxtailctl would refuse."""

    def test_example_files_parse(self):
        text = (DOCS / "contracts.md").read_text(encoding="utf-8")
        parsed = 0
        for block in INDENTED.findall(text):
            file = "\n".join(line[4:] for line in block.splitlines())
            if file.strip():
                parse = parse_services if "[service" in file else parse_contracts
                parsed += len(parse(file, "docs/contracts.md"))
        self.assertThat(parsed, GreaterThan(4))
