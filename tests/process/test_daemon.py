import subprocess
import sys
import tempfile

import testtools
from testtools.matchers import Contains, Equals

COMMAND_LINE_PACKAGES = ("typer", "rich", "click")


def run_python(*args):
    """Run Python with arguments and return the ended process."""
    command = [sys.executable, *args]
    return subprocess.run(command, capture_output=True, text=True, check=False)


class TestStart(testtools.TestCase):
    """Guards the memory of a daemon and the exit status of its command line."""

    def test_daemons_load_no_command_line_package(self):
        code = (
            "import sys, foxtailcourse.entry.run, foxtailcourse.agent.run;"
            f"print([each for each in {COMMAND_LINE_PACKAGES} if each in sys.modules])"
        )
        ended = run_python("-c", code)
        self.assertThat((ended.stdout, ended.returncode), Equals(("[]\n", 0)))

    def test_unusable_arguments_are_refused_with_status_2(self):
        for args, message in (
            ([], "--config is required"),
            (["--unknown"], "--unknown"),
            (["--config", "/absent.ini"], "/absent.ini"),
        ):
            ended = run_python("-m", "foxtailcourse.agent.run", *args)
            self.assertThat(ended.returncode, Equals(2))
            self.assertThat(ended.stderr, Contains(message))

    def test_entry_checks_files_of_the_ingress_too(self):
        good = (
            "[process]\nvm = e1\nfailure_domain = p\nadmin_listen = 127.0.0.1:1\n"
            "[ingress]\nlisten = 127.0.0.1:2\nready_listen = 127.0.0.1:3\n"
            "exchange_listen = 127.0.0.1:4\nstore = 127.0.0.1:5\n"
        )
        for text, code, message in (
            (good, 0, "settings are valid"),
            (good + "lease_ms = soon\n", 2, "[ingress] lease_ms"),
        ):
            with tempfile.NamedTemporaryFile("w", suffix=".ini") as file:
                file.write(text)
                file.flush()
                args = ("--config", file.name, "--check")
                ended = run_python("-m", "foxtailcourse.entry.run", *args)
            self.assertThat(ended.returncode, Equals(code))
            self.assertThat(ended.stdout + ended.stderr, Contains(message))
