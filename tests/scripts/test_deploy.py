import contextlib
import io
import re
import tempfile
import tomllib
from pathlib import Path
from unittest import mock

import testtools
from hypothesis import given
from hypothesis import strategies as st
from testtools.matchers import Equals

from foxtailcourse.ingress.run import main

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


PLACEHOLDER = re.compile(r"\{\{([\w.]+)\}\}")
ADDRESS = st.builds("10.{}.{}.{}:{}".format, *[st.integers(0, 254)] * 3, st.just(8080))
# How the platform may write a number: whole, with a fraction, with an exponent.
NUMBER = st.one_of(
    st.integers(0, 10**7).map(str),
    st.floats(0, 1e7).map(repr),
    st.floats(0, 1e7).map("{:.3e}".format),
)
# Values that no deployment has: not a number, out of range, or left out.
ODD_NUMBER = st.sampled_from(["", "-1", "nan", "inf", "1e999", "many", "0x10", "0"])
BOUNDS = {
    "bounds.revocationMs": "5000",
    "bounds.configurationMs": "2000",
    "bounds.leaseDurationMs": "3000",
    "bounds.versionMs": "15000",
    "bounds.gracePeriodS": "8",
    "bounds.retryBudgetRatio": "0.2",
    "bounds.retryBudgetExtra": "52",
    "bounds.budgetWindowS": "10",
    "bounds.drainMs": "2000",
    "bounds.quotaWindowS": "8",
    "bounds.quotaOverage": "0.1",
    "bounds.quotaTolerance": "190000",
    "limits.memoryMb": "160",
    "platform.readsPerS": "2000",
    "platform.writesPerS": "400",
    "platform.minTtlMs": "1000",
}


@st.composite
def settings_of_vm(draw, bound_values):
    """Return the settings that the platform has for one entry VM."""
    zones = [f"zone-{n}" for n in range(draw(st.integers(1, 12)))]
    vm = draw(st.integers(1, 300))
    values = {
        "node": f"front-{zones[0]}-{vm}",
        "zone": draw(st.sampled_from(zones)),
        "ip": f"10.0.{vm // 255}.{vm % 255}",
        "internalPortRange.0": "7340",
        "internalPortRange.1": "7355",
        "listen.front": draw(ADDRESS),
        "listen.ready": draw(ADDRESS),
        "platform.address": draw(ADDRESS),
        "limits.cpuShare": draw(NUMBER),
        "limits.cores": str(draw(st.integers(1, 8))),
        "limits.linkMbps": draw(NUMBER),
        "contracts": draw(st.sampled_from(["", "base", "base,drain,quota,pressure"])),
        "seeds": ",".join(draw(st.lists(ADDRESS, max_size=100))),
    }
    return values | {key: draw(bound_values(text)) for key, text in BOUNDS.items()}


def with_fraction(value):
    """Return a number as it is after a scale was applied to it."""
    return repr(float(value) * 38.2608695652174 / 38)


def check_settings(values):
    """Return the exit code and the errors of ``--check`` on the filled-in template."""
    template = (ROOT / "deploy" / "ingress.ini").read_text(encoding="utf-8")
    text = PLACEHOLDER.sub(lambda match: values.get(match[1], ""), template)
    errors, code = io.StringIO(), 0
    with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as stack:
        path = Path(folder) / "ingress.ini"
        path.write_text(text, encoding="utf-8")
        argv = ["foxtail-ingress", "--config", str(path), "--check"]
        stack.enter_context(mock.patch("sys.argv", argv))
        stack.enter_context(contextlib.redirect_stdout(io.StringIO()))
        stack.enter_context(contextlib.redirect_stderr(errors))
        try:
            main()
        except SystemExit as exc:
            code = exc.code
    return code, errors.getvalue()


class TestDeployedSettings(testtools.TestCase):
    """Guards against entries that do not start with the settings of a deployment."""

    @given(settings_of_vm(lambda value: st.sampled_from([value, with_fraction(value)])))
    def test_fractions_of_the_limits_are_accepted(self, values):
        self.assertThat(check_settings(values), Equals((0, "")))

    @given(settings_of_vm(lambda value: NUMBER | ODD_NUMBER))
    def test_other_values_start_or_are_named_on_one_line_each(self, values):
        code, errors = check_settings(values)
        if code == 0:
            self.assertThat(errors, Equals(""))
            return
        self.assertThat(code, Equals(2))
        for line in errors.splitlines():
            self.assertRegex(line, r"error: \S+: \[ingress\] \w+: (must be|expected)")

    @given(st.lists(st.sampled_from(sorted(BOUNDS)), min_size=1))
    def test_limits_that_a_deployment_does_not_have_get_defaults(self, absent):
        values = {
            "node": "front-1",
            "zone": "palermo",
            "ip": "10.0.0.1",
            "internalPortRange.0": "7340",
            "internalPortRange.1": "7355",
            "listen.front": "10.0.0.1:80",
            "listen.ready": "10.0.0.1:81",
            "platform.address": "10.0.0.2:80",
        } | {key: value for key, value in BOUNDS.items() if key not in absent}
        self.assertThat(check_settings(values), Equals((0, "")))
