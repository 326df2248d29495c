import ast
import logging
import os
import tempfile
import time
from pathlib import Path

import trio
from ingress_case import IngressCase
from testtools.matchers import Contains, Equals

from cluster import wait_until
from foxtailcourse.ctl._explain import explain_request, summarize_outcome
from foxtailcourse.observe import NonBlockingLogHandler, format_event, parse_event
from foxtailcourse.observe.catalogue import REASONS
from foxtailcourse.standin._backend_server import BackendServerFaults
from support import run_with

SOURCES = Path(__file__).resolve().parents[2] / "src" / "foxtailcourse" / "ingress"


class TestRequestLines(IngressCase):
    """Guards that the log lines of a request give the reason of its outcome."""

    def last_explanation(self, *entries, request_id):
        sources = [list(entry.daemon.events.recent()) for entry in entries]
        return explain_request(request_id, sources).lines[-1]

    @run_with("with_fleet")
    async def test_served_request(self, fleet, entry):
        await fleet.call(entry, "brief", stream=3)
        text = self.last_explanation(entry, request_id="r1")
        self.assertThat(text, Contains("Answered by m"))
        self.assertThat(text, Contains("first event after"))
        (fields,) = entry.events("request_done")
        for name in ("route", "client_account", "servers_age_ms", "revision"):
            self.assertIn(name, fields)

    @run_with("with_fleet")
    async def test_how_a_response_ended(self, fleet, entry):
        for name in ("m1", "m2"):
            fleet.servers[name].faults = BackendServerFaults(
                unframed=True, cut_after_events=2
            )
        await fleet.call(entry, "brief", stream=3)
        await wait_until(lambda: entry.events("request_done"))
        (fields,) = entry.events("request_done")
        self.assertThat(fields["framing"], Equals("close"))
        (failed,) = entry.events("attempt_failed")
        self.assertThat(failed["parts"], Equals("aa"))
        await wait_until(lambda: entry.events("connection_cut"))
        (cut,) = entry.events("connection_cut")
        self.assertThat(cut["reason"], Equals("aborted"))
        self.assertThat(cut["path"], Equals("/brief/x"))
        self.assertThat(fields["last_event"], Equals("2"))
        self.assertGreater(int(fields["unfinished_bytes"]), 0)

    @run_with("with_fleet", weights_ms=60_000)
    async def test_request_on_outdated_weights(self, fleet, entry):
        for name in ("m1", "m2"):
            fleet.servers[name].faults = BackendServerFaults(late_orders_s=60)
        fleet.set_desired_weights(2)
        await wait_until(lambda: entry.events("weights_named"))
        await fleet.call(entry, "brief", stream=3)
        (fields,) = entry.events("request_done")
        self.assertThat(fields["weights"], Equals("1"))
        self.assertIn("weights_outdated_ms", fields)

    @run_with("with_fleet")
    async def test_resumed_request_and_its_software_version(self, fleet, entry):
        await fleet.call(entry, "ask", stream=3)
        await fleet.call(entry, "ask", stream=3, last_event_id="1", resumes="r1")
        first, second = entry.events("request_done")
        self.assertThat(first["software"], Equals("v1"))
        self.assertNotIn("resumes", first)
        self.assertThat(second["resumes"], Equals("r1"))
        for fields in entry.events("server_registered"):
            self.assertThat(fields["software"], Equals("v1"))

    @run_with("with_fleet")
    async def test_refused_request(self, fleet, entry):
        for name in ("c1", "c2"):
            fleet.servers[name].faults = BackendServerFaults(refuse=True)
        await fleet.call(entry, "return", body=b"a")
        text = self.last_explanation(entry, request_id="r1")
        self.assertThat(text, Contains("Refused and not run"))
        self.assertThat(text, Contains("did not run the request"))

    @run_with("with_fleet")
    async def test_refused_and_abandoned_prompts_state_their_size(self, fleet, entry):
        for fault, event in (
            (BackendServerFaults(refuse=True), "request_refused"),
            (BackendServerFaults(mute=True), "request_abandoned"),
        ):
            for name in ("m1", "m2"):
                fleet.servers[name].faults = fault
            with trio.move_on_after(0.3):
                await fleet.call(entry, "brief", stream=3)
            await wait_until(lambda event=event: entry.events(event))
            (fields,) = entry.events(event)
            self.assertTrue(int(fields["prompt_tokens"]) > 0, event)

    @run_with("with_fleet")
    async def test_retried_and_resumed_stream(self, fleet, entry):
        for name in ("m1", "m2"):
            fleet.servers[name].faults = BackendServerFaults(cut_after_events=2)
        await fleet.call(entry, "ask", stream=4)
        text = self.last_explanation(entry, request_id="r1")
        self.assertThat(text, Contains("Answered by m"))
        self.assertThat(text, Contains("connection broke"))
        (fields,) = entry.events("attempt_failed")
        self.assertThat(fields["last_event"], Equals("2"))

    @run_with("with_fleet", retry_ratio=0.0, retry_extra=0.0)
    async def test_why_a_failed_attempt_is_not_retried(self, fleet, entry):
        for name in ("c1", "c2"):
            fleet.servers[name].faults = BackendServerFaults(lose_answer=True)
        await fleet.call(entry, "return", body=b"a")
        await fleet.call(entry, "look")
        await fleet.call(entry, "look", x_foxtailcourse_deadline_ms="30")
        reasons = [each["no_retry"] for each in entry.events("attempt_failed")]
        self.assertThat(reasons, Equals(["not_idempotent", "budget", "deadline"]))

    @run_with("with_fleet")
    async def test_failed_attempts_of_the_same_request_have_the_same_key(
        self, fleet, entry
    ):
        for name in ("c1", "c2"):
            fleet.servers[name].faults = BackendServerFaults(lose_answer=True)
        for body, key in ((b"a", "key-1"), (b"a", "key-1"), (b"b", "key-1")):
            await fleet.call(entry, "return", body=body, key=key)
        await fleet.call(entry, "return", body=b"a", key="key-w")
        first, again, other, caller = (
            each["request_key"] for each in entry.events("attempt_failed")
        )
        self.assertThat(again, Equals(first))
        self.assertThat(len({first, other, caller}), Equals(3))

    @run_with("with_fleet")
    async def test_interrupted_stream_and_unknown_outcome(self, fleet, entry):
        fleet.servers["m1"].faults = fleet.servers["m2"].faults = BackendServerFaults(
            cut_after_events=2
        )
        for name in ("c1", "c2"):
            fleet.servers[name].faults = BackendServerFaults(lose_answer=True)
        await fleet.call(entry, "brief", stream=4)
        await fleet.call(entry, "return", body=b"a")
        for request_id in ("r1", "r2"):
            text = self.last_explanation(entry, request_id=request_id)
            self.assertThat(text, Contains("may-have-run"))
            self.assertThat(text, Contains("connection broke"))

    @run_with("with_fleet")
    async def test_timed_out_and_abandoned_requests(self, fleet, entry):
        for name in ("c1", "c2"):
            fleet.servers[name].faults = BackendServerFaults(mute=True)
        await fleet.call(entry, "return", body=b"a", x_foxtailcourse_deadline_ms="150")
        text = self.last_explanation(entry, request_id="r1")
        self.assertThat(text, Contains("may-have-run"))
        self.assertThat(text, Contains("deadline"))
        with trio.move_on_after(0.1):
            await fleet.call(entry, "return", body=b"a")
        await wait_until(lambda: entry.events("request_abandoned"))
        text = self.last_explanation(entry, request_id="r2")
        self.assertThat(text, Contains("The caller left"))

    @run_with("with_fleet", revocation_ms=1500)
    async def test_revoked_key_and_stale_configuration(self, fleet, entry):
        fleet.configure(version=2, keys=["key-2"])
        revision = fleet.platform.revision
        await wait_until(
            lambda: entry.app.status()["configuration_revision"] == revision
        )
        await fleet.call(entry, "look")
        text = self.last_explanation(entry, request_id="r1")
        self.assertThat(
            text, Contains(f"Denied by the configuration of revision {revision}")
        )
        self.assertThat(text, Contains("no client account has the key"))
        fleet.platform.faults.outage = "refuse"
        await wait_until(lambda: not entry.app.readiness().ready)
        await fleet.call(entry, "look", key="key-2")
        self.assertThat(
            self.last_explanation(entry, request_id="r2"), Contains("too old")
        )

    @run_with("with_fleet")
    async def test_lost_store_is_logged_once_and_its_return(self, fleet, entry):
        fleet.platform.faults.outage = "refuse"
        fleet.platform._notify()
        await wait_until(lambda: len(entry.events("store_lost")) == 1)
        await trio.sleep(0.6)
        self.assertThat(len(entry.events("store_lost")), Equals(1))
        fleet.platform.faults.outage = "off"
        await wait_until(lambda: len(entry.events("store_regained")) == 1)

    @run_with("with_fleet")
    async def test_lost_cache_feed_is_logged_once_and_its_return(self, fleet, entry):
        fleet.servers["m1"].faults = BackendServerFaults(no_events=True)
        await wait_until(lambda: entry.events("cache_feed_lost"))
        await trio.sleep(1.2)
        self.assertThat(len(entry.events("cache_feed_lost")), Equals(1))
        fleet.servers["m1"].faults = BackendServerFaults()
        await wait_until(lambda: entry.events("cache_feed_regained"))


class TestReasons(IngressCase):
    """Guards the explanations of reasons that on-call engineers read."""

    def test_every_reason_has_a_meaning(self):
        positions = {
            "AttemptError": 0,
            "RefusedError": 0,
            "DeniedError": 1,
            "_rejected": 2,
        }
        used = {"timed_out"}
        for path in SOURCES.glob("*.py"):
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
                if not isinstance(node, ast.Call):
                    continue
                name = getattr(node.func, "attr", getattr(node.func, "id", ""))
                if name not in positions or len(node.args) <= positions[name]:
                    continue
                argument = node.args[positions[name]]
                if isinstance(argument, ast.Constant):
                    used.add(argument.value)
            text = path.read_text(encoding="utf-8")
            used |= {r for r in REASONS if f'reason="{r}"' in text or f'"{r}"' in text}
        self.assertThat(used - REASONS.keys(), Equals(set()))
        self.assertThat(REASONS.keys() - used, Equals(set()))

    def test_unfinished_request_is_reported_as_unfinished(self):
        self.assertThat(summarize_outcome([]), Contains("No end of the request"))


class TestNonBlockingLogHandler(IngressCase):
    """Guards requests against a stalled reader of the log."""

    def record(self, text):
        return logging.LogRecord("x", logging.INFO, "", 0, text, (), None)

    def test_stalled_reader_loses_lines_and_blocks_nobody(self):
        reader, writer_fd = os.pipe()
        writer = NonBlockingLogHandler(writer_fd, max_queued=100, max_per_s=10**9)
        started = time.monotonic()
        for number in range(20_000):
            writer.emit(self.record(f"event=a n={number} {'x' * 200}"))
        self.assertTrue(time.monotonic() - started < 20)
        # Once the pipe is read, the writer reports how many lines were dropped.
        writer.emit(self.record("event=b"))
        with os.fdopen(reader, "rb") as stream:
            for line in stream:
                if b"lines_dropped" in line:
                    break
        dropped = int(line.partition(b"count=")[2])
        self.assertGreater(dropped, 0)
        os.close(writer_fd)

    def test_flood_is_bounded_and_counted(self):
        with tempfile.TemporaryFile() as file:
            writer = NonBlockingLogHandler(file.fileno(), max_per_s=50)
            for number in range(500):
                writer.emit(self.record(f"event=a n={number}"))
            writer.close()
            file.seek(0)
            lines = file.read().decode().splitlines()
        self.assertTrue(len(lines) <= 50 * 2 + 1)
        drop_reports = [line for line in lines if "lines_dropped" in line]
        count = sum(int(line.partition("count=")[2]) for line in drop_reports)
        kept = len(lines) - len(drop_reports)
        self.assertThat(count + kept, Equals(500))

    def test_line_is_read_back_as_its_event(self):
        line = 'clock=000000000001.000000 process=p/v event=request_done outcome="a b"'
        event = parse_event(f"  12.3 front-1 {line}")
        self.assertThat(event.fields, Equals({"outcome": "a b"}))
        self.assertThat(format_event(event), Equals(line))
