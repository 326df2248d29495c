import hashlib
import json
import subprocess
import sys
import tempfile
from pathlib import Path

import pytest
import trio
from testtools.matchers import Contains, Equals

from cluster import cluster
from support import AsyncTestCase, run_with

MAIN = "from foxtailcourse.ctl.run import main; main()"


async def ctl(running, *args, stdin=b""):
    """Run foxtailctl; return the exit code, standard output and standard error."""
    address = str(running.address)
    options = ["--key-value", address, "--vm-list", address]
    done = await trio.run_process(
        [sys.executable, "-c", MAIN, *options, *args],
        stdin=stdin,
        capture_stdout=True,
        capture_stderr=True,
        check=False,
    )
    return done.returncode, done.stdout.decode(), done.stderr.decode()


@pytest.mark.processes
class TestCommands(AsyncTestCase):
    """Guards the operator's commands from the command line to the processes."""

    def with_cluster(self, check):
        async def main():
            async with cluster() as running:
                for name in "ab":
                    await running.start(name)
                await running.wait_settled(2)
                await check(running)

        self.run_async(main)

    async def ok(self, running, *args, stdin=b""):
        code, out, err = await ctl(running, *args, "--json", stdin=stdin)
        self.assertThat(code, Equals(0), f"{args}: {out} {err}")
        return json.loads(out)

    @run_with("with_cluster")
    async def test_contract_from_first_key_to_deletion(self, running):
        answer = await self.ok(running, "key", "hash", stdin=b"secret\n")
        digest = hashlib.sha256(b"secret").hexdigest()
        self.assertThat(answer["key_sha256"], Equals(digest))
        text = f"[contract teatro]\nkey_sha256 = {digest}\nshare = 2\n"
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "teatro.ini"
            path.write_text(text)
            apply = ("contract", "apply", str(path))
            dry = await self.ok(running, *apply, "--dry-run")
            self.assertFalse(dry["changed"])
            done = await self.ok(running, *apply, "--wait", "20")
            self.assertThat(done["in_force"]["processes"], Equals(2))
            self.assertThat(running.processes["a"].share(), Equals(2.0))
            again = await self.ok(running, *apply)
            self.assertFalse(again["changed"])
            other = path.with_name("other.ini")
            other.write_text(text.replace("teatro", "opera"))
            code, out, _ = await ctl(running, "contract", "apply", str(other))
            self.assertThat(code, Equals(2))
        code, got, _ = await ctl(running, "contract", "get", "teatro")
        edited = got.replace("share = 2.0", "share = 3.0").encode()
        await self.ok(running, "contract", "apply", "-", stdin=edited)
        code, _, err = await ctl(running, "contract", "apply", "-", stdin=edited)
        self.assertThat(code, Equals(3))
        self.assertThat(err, Contains("another generation"))
        listed = await self.ok(running, "contract", "list")
        self.assertThat(listed["contracts"][0]["generation"], Equals(2))
        await self.ok(running, "contract", "delete", "teatro", "--wait", "20")
        self.assertIsNone(running.processes["b"].share())

    @run_with("with_cluster")
    async def test_marks_services_weights_and_status(self, running):
        view = running.processes["a"].store
        await self.ok(running, "backend", "leave", "b", "--wait", "20")
        self.assertTrue(view.view.is_leaving("b"))
        await self.ok(running, "backend", "return", "b", "--wait", "20")
        self.assertFalse(view.view.is_leaving("b"))
        await self.ok(running, "stop", "announce", "b", "--wait", "20")
        self.assertThat(view.view.stopping_vms, Equals(frozenset("b")))
        await self.ok(running, "stop", "cancel", "b", "--wait", "20")
        service = b"[service counter]\nrepeatable = yes\n"
        await self.ok(running, "service", "apply", "-", "--wait=20", stdin=service)
        self.assertTrue(view.view.services["counter"].repeatable)
        await self.ok(running, "service", "list")
        await self.ok(running, "weights", "set", "guide", "v2", "--wait", "20")
        self.assertThat(view.view.models["guide"].weights_version, Equals("v2"))
        shown = await self.ok(running, "weights", "show")
        self.assertThat(shown["models"][0]["model"], Equals("guide"))
        status = await self.ok(running, "status")
        self.assertTrue(all(each["reachable"] for each in status["processes"]))
        await self.ok(running, "wait", "--timeout", "20")

    @run_with("with_cluster")
    async def test_exit_codes_of_bad_input_and_outage(self, running):
        code, _, err = await ctl(
            running, "contract", "apply", "-", stdin=b"[contract A]\nx = 1\n"
        )
        self.assertThat(code, Equals(2))
        self.assertThat(err.count("-:"), Equals(2))
        code, _, _ = await ctl(running, "backend", "leave", "nowhere")
        self.assertThat(code, Equals(2))
        code, _, _ = await ctl(running, "contract", "get", "nobody")
        self.assertThat(code, Equals(1))
        running.platform.faults.outage = "refuse"
        code, out, _ = await ctl(running, "contract", "list", "--json")
        self.assertThat(code, Equals(4))
        self.assertThat(json.loads(out)["exit_code"], Equals(4))

    def test_help_of_each_command_needs_no_settings(self):
        commands = ("", "contract", "contract apply", "backend leave", "wait", "key")
        for command in commands:
            done = subprocess.run(
                [sys.executable, "-c", MAIN, *command.split(), "--help"],
                capture_output=True,
                text=True,
                check=False,
            )
            self.assertThat(done.returncode, Equals(0), done.stderr)
            self.assertThat(done.stdout, Contains("Usage: foxtailctl"))
