import pytest
import testtools
from render_samples import PROGRAMS, render_sample, sample_path
from testtools.matchers import Equals

pytestmark = pytest.mark.processes


class TestSamples(testtools.TestCase):
    """Guards against samples that differ from the declared settings."""

    def test_samples_are_what_the_programs_print(self):
        for program in PROGRAMS:
            written = sample_path(program).read_text(encoding="utf-8")
            self.assertThat(written, Equals(render_sample(program)), program)
