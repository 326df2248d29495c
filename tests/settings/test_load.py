import tempfile
from pathlib import Path

import testtools
from testtools.matchers import Contains, Equals, HasLength

from foxtailcourse.settings import (
    Address,
    SettingsErrors,
    load_settings,
    render_sample,
    section,
    setting,
)


@section("server")
class ServerSettings:
    listen: Address = setting(Address, description="Where to listen.")
    wait_s: float = setting(
        float, 2.0, description="Longest wait.", unit="seconds", minimum=0
    )
    peers: tuple[Address, ...] = setting(
        tuple[Address, ...], (), description="Other processes."
    )


class TestLoadSettings(testtools.TestCase):
    """Guards against settings that are ignored, and errors that are not reported."""

    def load(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "a.ini"
            path.write_text(text)
            return load_settings(path, [ServerSettings])

    def test_values_and_defaults(self):
        (cfg,) = self.load(
            "[server]\nlisten = 127.0.0.1:80\npeers = 10.0.0.1:1, [::1]:2"
        )
        self.assertThat(cfg.listen, Equals(Address("127.0.0.1", 80)))
        self.assertThat(cfg.wait_s, Equals(2.0))
        self.assertThat(cfg.peers, HasLength(2))

    def test_all_errors_are_reported_together(self):
        try:
            self.load("[server]\nlisten = nowhere\nwait_s = -1\nspeed = 3\n[other]\n")
        except SettingsErrors as group:
            reported = {(exc.section, exc.key) for exc in group.exceptions}
        expected = {("server", "listen"), ("server", "wait_s"), ("server", "speed")}
        self.assertThat(reported, Equals(expected | {("other", "-")}))

    def test_missing_section_and_malformed_file_are_errors(self):
        for text in ("", "listen = 1", "[server\n"):
            self.assertRaises(SettingsErrors, self.load, text)

    def test_nan_is_rejected(self):
        text = "[server]\nlisten = 127.0.0.1:1\nwait_s = nan"
        self.assertRaises(SettingsErrors, self.load, text)

    def test_sample_describes_optional_keys(self):
        sample = render_sample([ServerSettings])
        self.assertThat(sample, Contains("# wait_s = 2.0"))
        self.assertThat(sample, Contains("Longest wait. (seconds)"))
