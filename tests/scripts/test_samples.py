import pytest
import testtools
from render_samples import PROGRAMS, render_sample, sample_path
from testtools.matchers import Equals

pytestmark = pytest.mark.processes


class TestSamples(testtools.TestCase):
    """Guards against sample files that differ from the declared settings."""

    def test_samples_equal_the_output_of_the_programs(self):
        for program in PROGRAMS:
            sample = sample_path(program).read_text(encoding="utf-8")
            self.assertThat(sample, Equals(render_sample(program)), program)
