import tomllib
from pathlib import Path

import testtools
from testtools.matchers import Equals

ROOT = Path(__file__).resolve().parents[2]


class TestDeploy(testtools.TestCase):
    """Guards against files in ``deploy`` that do not match the project."""

    def test_pinned_versions_are_in_the_lock_file(self):
        lock = (ROOT / "requirements.lock").read_text(encoding="utf-8").split()
        pins = (ROOT / "deploy" / "requirements.txt").read_text(encoding="utf-8")
        self.assertThat(set(pins.split()) - set(lock), Equals(set()))

    def test_templates_are_small_and_each_role_names_a_module(self):
        text = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        for role in tomllib.loads(text)["roles"].values():
            template = ROOT / role["template"]
            self.assertTrue(template.stat().st_size < 64 * 1024)
            module = role["run"].split()[2].replace(".", "/")
            self.assertTrue((ROOT / "src" / f"{module}.py").is_file(), module)

    def test_days_parse_and_are_named_like_their_files(self):
        for path in (ROOT / "deploy" / "days").glob("*.toml"):
            day = tomllib.loads(path.read_text(encoding="utf-8"))
            self.assertThat(day["name"], Equals(path.stem))
