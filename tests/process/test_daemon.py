import subprocess
import sys
import tempfile

import testtools
from testtools.matchers import Contains, Equals

COMMAND_LINE_PACKAGES = ("typer", "rich", "click")


def run_python(*args):
    """Run Python with arguments and return the completed process."""
    command = [sys.executable, *args]
    return subprocess.run(command, capture_output=True, text=True, check=False)


class TestDaemonCommandLine(testtools.TestCase):
    """Guards a daemon's memory against large imports, and its exit status."""

    def test_daemons_do_not_import_command_line_packages(self):
        code = (
            "import sys, foxtailcourse.entry.run, foxtailcourse.agent.run;"
            f"print([each for each in {COMMAND_LINE_PACKAGES} if each in sys.modules])"
        )
        result = run_python("-c", code)
        self.assertThat((result.stdout, result.returncode), Equals(("[]\n", 0)))

    def test_invalid_arguments_exit_with_status_2(self):
        for args, message in (
            ([], "--config is required"),
            (["--unknown"], "--unknown"),
            (["--config", "/absent.ini"], "/absent.ini"),
        ):
            result = run_python("-m", "foxtailcourse.agent.run", *args)
            self.assertThat(result.returncode, Equals(2))
            self.assertThat(result.stderr, Contains(message))

    def test_entry_also_checks_settings_of_the_ingress(self):
        valid_settings = (
            "[process]\nvm = e1\nfailure_domain = p\nadmin_listen = 127.0.0.1:1\n"
            "[ingress]\nlisten = 127.0.0.1:2\nready_listen = 127.0.0.1:3\n"
            "exchange_listen = 127.0.0.1:4\nstore = 127.0.0.1:5\n"
        )
        for text, status, message in (
            (valid_settings, 0, "settings are valid"),
            (valid_settings + "lease_ms = soon\n", 2, "[ingress] lease_ms"),
        ):
            with tempfile.NamedTemporaryFile("w", suffix=".ini") as file:
                file.write(text)
                file.flush()
                args = ("--config", file.name, "--check")
                result = run_python("-m", "foxtailcourse.entry.run", *args)
            self.assertThat(result.returncode, Equals(status))
            self.assertThat(result.stdout + result.stderr, Contains(message))
