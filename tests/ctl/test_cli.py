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


async def run_ctl(running, *args, stdin=b""):
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
    """Guards the commands, from the command line to their effect in processes."""

    def with_cluster(self, check):
        async def main():
            async with cluster() as running:
                for name in "ab":
                    await running.start(name)
                await running.wait_settled(2)
                await check(running)

        self.run_async(main)

    async def run_json(self, running, *args, stdin=b""):
        """Run a command that must succeed; return its JSON output."""
        code, out, err = await run_ctl(running, *args, "--json", stdin=stdin)
        self.assertThat(code, Equals(0), f"{args}: {out} {err}")
        return json.loads(out)

    @run_with("with_cluster")
    async def test_contract_is_created_changed_and_deleted(self, running):
        hashed = await self.run_json(running, "key", "hash", stdin=b"secret\n")
        digest = hashlib.sha256(b"secret").hexdigest()
        self.assertThat(hashed["key_sha256"], Equals(digest))
        text = f"[contract teatro]\nkey_sha256 = {digest}\nshare = 2\n"
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "teatro.ini"
            path.write_text(text)
            apply = ("contract", "apply", str(path))
            dry_run = await self.run_json(running, *apply, "--dry-run")
            self.assertFalse(dry_run["changed"])
            applied = await self.run_json(running, *apply, "--wait", "20")
            self.assertThat(applied["in_force"]["processes"], Equals(2))
            self.assertThat(running.processes["a"].share(), Equals(2.0))
            reapplied = await self.run_json(running, *apply)
            self.assertFalse(reapplied["changed"])
            other = path.with_name("other.ini")
            other.write_text(text.replace("teatro", "opera"))
            code, out, _ = await run_ctl(running, "contract", "apply", str(other))
            self.assertThat(code, Equals(2))
        code, contract_text, _ = await run_ctl(running, "contract", "get", "teatro")
        edited = contract_text.replace("share = 2.0", "share = 3.0").encode()
        await self.run_json(running, "contract", "apply", "-", stdin=edited)
        code, _, err = await run_ctl(running, "contract", "apply", "-", stdin=edited)
        self.assertThat(code, Equals(3))
        self.assertThat(err, Contains("another generation"))
        listed = await self.run_json(running, "contract", "list")
        self.assertThat(listed["contracts"][0]["generation"], Equals(2))
        await self.run_json(running, "contract", "delete", "teatro", "--wait", "20")
        self.assertIsNone(running.processes["b"].share())

    @run_with("with_cluster")
    async def test_markers_services_weights_and_status(self, running):
        store = running.processes["a"].store
        await self.run_json(running, "backend", "leave", "b", "--wait", "20")
        self.assertTrue(store.view.is_leaving("b"))
        await self.run_json(running, "backend", "return", "b", "--wait", "20")
        self.assertFalse(store.view.is_leaving("b"))
        await self.run_json(running, "stop", "announce", "b", "--wait", "20")
        self.assertThat(store.view.stopping_vms, Equals(frozenset("b")))
        await self.run_json(running, "stop", "cancel", "b", "--wait", "20")
        service = b"[service counter]\nrepeatable = yes\n"
        await self.run_json(
            running, "service", "apply", "-", "--wait=20", stdin=service
        )
        self.assertTrue(store.view.services["counter"].repeatable)
        await self.run_json(running, "service", "list")
        await self.run_json(running, "weights", "set", "guide", "v2", "--wait", "20")
        self.assertThat(store.view.models["guide"].weights_version, Equals("v2"))
        shown = await self.run_json(running, "weights", "show")
        self.assertThat(shown["models"][0]["model"], Equals("guide"))
        status = await self.run_json(running, "status")
        self.assertTrue(all(each["reachable"] for each in status["processes"]))
        await self.run_json(running, "wait", "--timeout", "20")

    @run_with("with_cluster")
    async def test_exit_codes_for_bad_input_and_outage(self, running):
        code, _, err = await run_ctl(
            running, "contract", "apply", "-", stdin=b"[contract A]\nx = 1\n"
        )
        self.assertThat(code, Equals(2))
        self.assertThat(err.count("-:"), Equals(2))
        code, _, _ = await run_ctl(running, "backend", "leave", "nowhere")
        self.assertThat(code, Equals(2))
        code, _, _ = await run_ctl(running, "contract", "get", "nobody")
        self.assertThat(code, Equals(1))
        running.platform.faults.outage = "refuse"
        code, out, _ = await run_ctl(running, "contract", "list", "--json")
        self.assertThat(code, Equals(4))
        self.assertThat(json.loads(out)["exit_code"], Equals(4))

    def test_help_needs_no_settings(self):
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
