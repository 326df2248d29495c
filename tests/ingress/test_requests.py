import re
import tempfile
from pathlib import Path

import msgspec
import trio
from ingress_case import MODEL, IngressCase, configuration, route
from testtools.matchers import Contains, Equals, LessThan

from cluster import wait_until
from foxtailcourse.ingress import IngressSettings
from foxtailcourse.process import ProcessSettings
from foxtailcourse.settings import declarations
from foxtailcourse.standin._backend_server import BackendServerFaults, stream_event
from support import run_with


def stream_body(request_id, total):
    return b"".join(stream_event(request_id, n) for n in range(1, total + 1))


class TestForwarding(IngressCase):
    """Guards the forwarding of requests and responses."""

    @run_with("with_fleet")
    async def test_plain_request_is_forwarded_unchanged_with_account(self, f, entry):
        reply = await f.call(
            entry,
            "look",
            body=b"payload",
            x_foxtailcourse_tenant="forged",
            x_foxtailcourse_cache_salt="forged",
            x_foxtailcourse_hold="forged",
            x_custom="kept",
            connection="x-dropped",
            x_dropped="1",
        )
        self.assertThat(reply.status, Equals(200))
        (run,) = self.runs(f)
        self.assertThat(run.target, Equals("/look/x?y=1"))
        self.assertThat(run.body, Equals(b"payload"))
        self.assertThat(run.headers["x-foxtailcourse-tenant"], Equals("teatro"))
        self.assertThat(run.headers["x-custom"], Equals("kept"))
        self.assertThat(run.headers["host"], Equals("app.example"))
        left_ms = int(run.headers["x-foxtailcourse-deadline-ms"])
        self.assertTrue(0 < left_ms <= 2500)
        for name in ("key", "hold", "cache-salt"):
            self.assertNotIn(f"x-foxtailcourse-{name}", run.headers)
        self.assertNotIn("x-dropped", run.headers)
        self.assertIn("x-foxtailcourse-response-signature", reply.headers)

    @run_with("with_fleet")
    async def test_stream_is_complete_and_bound_to_version_and_account(self, f, entry):
        reply = await f.call(entry, "brief", stream=8)
        self.assertThat(reply.body, Equals(stream_body("r1", 8)))
        self.assertTrue(reply.complete)
        (run,) = self.runs(f)
        self.assertThat(run.headers["x-foxtailcourse-expected-version"], Equals("1"))
        self.assertThat(run.headers["x-foxtailcourse-cache-salt"], Equals("1"))
        await f.call(entry, "brief", key="key-w", stream=2)
        salts = {r.headers["x-foxtailcourse-cache-salt"] for r in self.runs(f)}
        self.assertThat(salts, Equals({"1", "1/walled"}))

    @run_with("with_fleet")
    async def test_response_without_length_is_forwarded(self, f, entry):
        for worker in f.workers.values():
            worker.faults = BackendServerFaults(unframed=True)
        reply = await f.call(entry, "look")
        self.assertThat((reply.status, reply.complete), Equals((200, True)))
        self.assertThat(reply.body, Contains(b"/look/x?y=1"))

    @run_with("with_fleet")
    async def test_unknown_route_and_key_are_denied(self, f, entry):
        self.assertThat((await f.call(entry, "none")).status, Equals(404))
        self.assertThat((await f.call(entry, "look", key="bad")).status, Equals(401))
        self.assertThat((await f.call(entry, "look", key="")).status, Equals(401))
        self.assertThat((await f.call(entry, "open", key="")).status, Equals(200))
        self.assertThat(len(self.runs(f)), Equals(1))

    @run_with("with_fleet")
    async def test_duplicate_key_header_is_malformed(self, f, entry):
        stream = await trio.open_tcp_stream("127.0.0.1", entry.app.address.port)
        async with stream:
            await stream.send_all(
                b"GET /look/x HTTP/1.1\r\nhost: app.example\r\n"
                b"x-foxtailcourse-key: key-1\r\nx-foxtailcourse-key: key-w\r\n\r\n"
            )
            self.assertThat(await stream.receive_some(20), Contains(b"400"))

    @run_with("with_fleet", configured=False)
    async def test_nothing_is_denied_before_the_first_configuration(self, f, entry):
        reply = await f.call(entry, "none")
        self.assertThat(reply.status, Equals(503))
        self.assertThat(float(reply.headers["retry-after"]), LessThan(1.0))
        self.assertFalse(entry.app.readiness().ready)
        f.configure()
        await wait_until(lambda: entry.app.readiness().ready)
        self.assertThat((await f.call(entry, "none")).status, Equals(404))

    @run_with("with_fleet")
    async def test_configuration_is_read_again_before_a_denial(self, f, entry):
        """A watch may miss a change; a new route must not get a 404 because of it."""
        entry.app._operator_watcher._keys.clear()
        f.platform._history.clear()
        item = f.platform._items["op/config"]
        value = configuration(2, [route("new")])
        newer = type(item)(key=item.key, value=value, mod_revision=10**6)
        f.platform._items["op/config"] = newer
        await trio.sleep(0.35)
        self.assertThat((await f.call(entry, "new")).status, Equals(200))


class TestRetries(IngressCase):
    """Guards which requests may run twice, and that refused ones have not run."""

    @run_with("with_fleet")
    async def test_request_refused_by_a_server_goes_to_another(self, f, entry):
        f.workers["c1"].faults = BackendServerFaults(refuse=True)
        for _ in range(6):
            self.assertThat(
                (await f.call(entry, "return", body=b"a")).status, Equals(200)
            )
        self.assertThat(len(f.workers["c2"].runs), Equals(6))

    @run_with("with_fleet")
    async def test_lost_response_of_unsafe_request_is_not_retried(self, f, entry):
        for name in ("c1", "c2"):
            f.workers[name].faults = BackendServerFaults(lose_answer=True)
        reply = await f.call(entry, "return", body=b"a")
        self.assertThat(reply.status, Equals(502))
        self.assertNotIn("retry-after", reply.headers)
        self.assertThat(len(self.runs(f)), Equals(1))

    @run_with("with_fleet")
    async def test_503_without_a_verdict_is_no_refusal(self, f, entry):
        for name in ("c1", "c2"):
            f.workers[name].faults = BackendServerFaults(plain_503=True)
        reply = await f.call(entry, "return", body=b"a")
        self.assertThat(reply.status, Equals(502))
        self.assertThat(len(self.runs(f)), Equals(1))

    @run_with("with_fleet")
    async def test_failed_safe_request_is_retried_within_its_attempts(self, f, entry):
        f.workers["c1"].faults = BackendServerFaults(fail=True)
        for _ in range(4):
            self.assertThat((await f.call(entry, "look")).status, Equals(200))
        f.workers["c2"].faults = BackendServerFaults(fail=True)
        reply = await f.call(entry, "look")
        self.assertThat((reply.status, reply.body), Equals((500, b"failed")))
        last = self.runs(f)[-1].request_id
        count = sum(run.request_id == last for run in self.runs(f))
        self.assertThat(count, Equals(2))

    @run_with("with_fleet")
    async def test_foreign_and_unsigned_responses_are_not_forwarded(self, f, entry):
        for fault in (
            BackendServerFaults(foreign=True),
            BackendServerFaults(unsigned=True),
        ):
            for name in ("c1", "c2"):
                f.workers[name].faults = fault
            reply = await f.call(entry, "return", body=b"a")
            self.assertThat(reply.status, Equals(502))
            self.assertNotIn("x-foxtailcourse-response-signature", reply.headers)

    @run_with("with_fleet")
    async def test_request_is_refused_if_all_servers_refuse(self, f, entry):
        for name in ("c1", "c2"):
            f.workers[name].faults = BackendServerFaults(refuse=True)
        reply = await f.call(entry, "return", body=b"a")
        self.assertThat(reply.status, Equals(503))
        self.assertThat(float(reply.headers["retry-after"]), LessThan(1.0))
        self.assertThat(self.runs(f), Equals([]))

    @run_with("with_fleet")
    async def test_unresponsive_server_is_given_up_at_the_deadline(self, f, entry):
        for name in ("c1", "c2"):
            f.workers[name].faults = BackendServerFaults(mute=True)
        call = f.call(entry, "return", body=b"a", x_foxtailcourse_deadline_ms="300")
        self.assertThat((await call).status, Equals(504))
        await wait_until(lambda: self.runs(f)[0].cancelled)

    @run_with("with_fleet")
    async def test_unreachable_server_costs_no_attempt(self, f, entry):
        f.workers["c1"].id = "c1-restarted"
        f.platform.put(
            "servers/c9", f.workers["c2"].registration("127.0.0.1:1", "palermo")
        )
        await wait_until(lambda: "c9" in entry.app.status()["servers"])
        for _ in range(8):
            self.assertThat((await f.call(entry, "look")).status, Equals(200))


class TestUnresponsiveServers(IngressCase):
    """Guards callers against a server that does not respond."""

    @run_with("with_fleet")
    async def test_unresponsive_server_is_avoided(self, f, entry):
        f.workers["c1"].faults = BackendServerFaults(mute=True)
        for _ in range(3):
            self.assertThat((await f.call(entry, "look")).status, Equals(200))
        self.assertThat(len(f.workers["c1"].runs), LessThan(3))


class TestStreams(IngressCase):
    """Guards completeness and order of streams."""

    @run_with("with_fleet")
    async def test_interrupted_stream_resumes_at_another_server(self, f, entry):
        for name in ("m1", "m2"):
            f.workers[name].faults = BackendServerFaults(cut_after_events=3)
        reply = await f.call(entry, "ask", stream=6)
        self.assertThat(reply.body, Equals(stream_body("r1", 6)))
        self.assertTrue(reply.complete)
        second = next(r for r in self.runs(f) if "last-event-id" in r.headers)
        self.assertThat(second.headers["last-event-id"], Equals("3"))

    @run_with("with_fleet")
    async def test_interrupted_stream_that_cannot_resume_does_not_look_complete(
        self, f, entry
    ):
        for name in ("m1", "m2"):
            f.workers[name].faults = BackendServerFaults(cut_after_events=3)
        reply = await f.call(entry, "brief", stream=6)
        self.assertFalse(reply.complete)
        self.assertThat(reply.body, Equals(stream_body("r1", 3)))
        self.assertThat(len(self.runs(f)), Equals(1))

    @run_with("with_fleet")
    async def test_interrupted_stream_does_not_resume_with_other_weights(
        self, f, entry
    ):
        f.workers["m1"].models[MODEL] = 2
        f.register(f.workers["m1"])
        await wait_until(lambda: entry.app._view.servers["m1"].weights[MODEL] == 2)
        for name in ("m1", "m2"):
            f.workers[name].faults = BackendServerFaults(cut_after_events=3)
        reply = await f.call(entry, "ask", stream=6)
        self.assertFalse(reply.complete)
        self.assertThat(reply.body, Equals(stream_body("r1", 3)))
        self.assertThat(len(self.runs(f)), Equals(1))

    @run_with("with_fleet")
    async def test_work_stops_when_the_caller_disconnects(self, f, entry):
        for worker in f.workers.values():
            worker.event_s = 0.05
        with trio.move_on_after(0.3):
            await f.call(entry, "ask", stream=200)
        await wait_until(lambda: any(run.cancelled for run in self.runs(f)))
        self.assertThat(len(self.runs(f)), Equals(1))

    @run_with("with_fleet")
    async def test_stream_ends_at_the_timeout_of_its_route(self, f, entry):
        f.configure(
            version=2,
            routes=[
                route("slow", "streaming", service="llm", timeoutMs=200, attempts=1)
            ],
        )
        await wait_until(lambda: entry.app.status()["configuration_revision"] > 5)
        for worker in f.workers.values():
            worker.event_s = 0.05
        with trio.fail_after(1.0):
            reply = await f.call(entry, "slow", stream=100)
        self.assertFalse(reply.complete)


class TestStaleState(IngressCase):
    """Guards the behaviour of an entry while its state is stale."""

    @run_with("with_fleet", revocation_ms=1800)
    async def test_keys_are_refused_while_public_routes_are_served(self, f, entry):
        f.platform.faults.outage = "refuse"
        await wait_until(lambda: not entry.app.readiness().ready)
        reply = await f.call(entry, "look")
        self.assertThat((reply.status, reply.body), Equals((503, b"keys_stale")))
        self.assertThat((await f.call(entry, "open", key="")).status, Equals(200))
        f.platform.faults.outage = "off"
        f.platform._notify()
        await wait_until(lambda: entry.app.readiness().ready)
        self.assertThat((await f.call(entry, "look")).status, Equals(200))
        self.assertThat(len(entry.events("store_lost")), LessThan(4))

    @run_with("with_fleet")
    async def test_removed_key_and_new_route_are_applied(self, f, entry):
        f.configure(version=2, routes=[route("look"), route("new")], keys=["key-2"])
        revision = f.platform.revision
        await wait_until(
            lambda: entry.app.status()["configuration_revision"] == revision
        )
        self.assertThat((await f.call(entry, "look")).status, Equals(401))
        self.assertThat((await f.call(entry, "new", key="key-2")).status, Equals(200))

    @run_with("with_fleet")
    async def test_leaving_and_unreadable_servers_get_no_requests(self, f, entry):
        f.workers["c1"].draining = True
        f.register(f.workers["c1"])
        f.platform.put("servers/c8", b'{"service":"coats","state":"odd"}')
        f.platform.put("servers/c7", b"\xff\x00")
        await wait_until(lambda: entry.events("record_unreadable"))
        for _ in range(5):
            self.assertThat((await f.call(entry, "look")).status, Equals(200))
        self.assertThat(f.workers["c1"].runs, Equals([]))

    @run_with("with_fleet")
    async def test_reused_address_runs_no_request_of_another_service(self, f, entry):
        worker = f.workers["c1"]
        worker.id = "other-instance"
        for _ in range(6):
            self.assertThat((await f.call(entry, "look")).status, Equals(200))
        self.assertThat(worker.runs, Equals([]))

    @run_with("with_fleet")
    async def test_prefix_is_read_again_after_its_history_was_compacted(self, f, entry):
        f.platform._compacted_revision = f.platform.revision + 5
        f.platform.revision += 4
        f.workers["c1"].draining = True
        f.register(f.workers["c1"])
        await wait_until(lambda: entry.events("watch_expired"))
        f.platform._compacted_revision = 0
        await wait_until(lambda: entry.app._view.servers["c1"].leaving)


class TestStop(IngressCase):
    """Guards a planned stop."""

    @run_with("with_fleet", stop_s=4.0)
    async def test_running_stream_completes_before_the_process_ends(self, f, entry):
        for worker in f.workers.values():
            worker.event_s = 0.1
        replies = []

        async def call():
            call = f.call(entry, "brief", stream=26, x_foxtailcourse_deadline_ms="2990")
            replies.append(await call)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await wait_until(lambda: self.runs(f))
            entry.daemon.stopping.set()
            await wait_until(lambda: not entry.app.readiness().ready)
            late = await f.call(entry, "look")
            self.assertThat(
                (late.status, late.headers["connection"]), Equals((200, "close"))
            )
        self.assertTrue(replies[0].complete)
        await entry.ended.wait()


class TestWeights(IngressCase):
    """Guards the rollout of weights."""

    @run_with("with_fleet")
    async def test_all_servers_get_the_desired_weights_from_one_leader(self, f, entry):
        second = await f.start_entry("e2")
        f.name_weights(2)
        await wait_until(
            lambda: all(f.workers[w].models[MODEL] == 2 for w in ("m1", "m2"))
        )
        orders = [o for w in ("m1", "m2") for o in f.workers[w].orders]
        self.assertThat(len({o["holder"] for o in orders}), Equals(1))
        self.assertThat(len(orders), Equals(2))
        await wait_until(lambda: not second.app._view.loading)
        for each in (entry, second):
            reply = await f.call(each, "brief", stream=2)
            self.assertThat(reply.status, Equals(200))
        versions = {r.headers["x-foxtailcourse-expected-version"] for r in self.runs(f)}
        self.assertThat(versions, Equals({"2"}))

    @run_with("with_fleet")
    async def test_lost_reply_to_an_order_causes_no_second_weight_load(self, f, entry):
        for name in ("m1", "m2"):
            f.workers[name].faults = BackendServerFaults(lose_orders=True)
        f.name_weights(2)
        await wait_until(
            lambda: all(f.workers[w].models[MODEL] == 2 for w in ("m1", "m2"))
        )
        await trio.sleep(0.5)
        for name in ("m1", "m2"):
            self.assertThat(len(f.workers[name].orders), Equals(1))

    @run_with("with_fleet")
    async def test_next_leader_waits_and_has_a_higher_fence(self, f, entry):
        await wait_until(lambda: entry.app._lease.fence)
        first = entry.app._lease.fence
        second = await f.start_entry("e2")
        entry.scope.cancel()
        last_order_possible = trio.current_time()
        await wait_until(lambda: second.app._lease.fence)
        self.assertTrue(second.app._lease.fence > first)
        f.name_weights(2)
        await wait_until(lambda: f.workers["m1"].orders or f.workers["m2"].orders)
        lease_s = 1.0
        self.assertTrue(trio.current_time() - last_order_possible >= lease_s)

    @run_with("with_fleet")
    async def test_fenced_leader_gives_no_further_orders(self, f, entry):
        for name in ("m1", "m2"):
            f.workers[name].highest_fencing_token = 10**9
        f.name_weights(2)
        await wait_until(lambda: entry.events("orders_lost"))
        fields = entry.events("orders_lost")[0]
        self.assertThat(fields["reason"], Equals("fenced"))


class TestSettings(IngressCase):
    """Guards the settings file and the limits of the configuration."""

    @run_with("with_fleet")
    async def test_changed_file_is_applied_and_an_invalid_one_is_rejected(
        self, f, entry
    ):
        cfg = entry.app._cfg
        lines = [
            "[process]\nvm = e1\nfailure_domain = p\nadmin_listen = 127.0.0.1:0",
            f"[ingress]\nlisten = {cfg.listen}\nready_listen = {cfg.ready_listen}",
            f"exchange_listen = {cfg.exchange_listen}\nstore = {cfg.store}",
            "revocation_ms = 9000\nretry_ratio = 0.5\n",
        ]
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "ingress.ini"
        path.write_text("\n".join(lines), encoding="utf-8")
        entry.daemon.settings_path = path
        entry.daemon._sections = (ProcessSettings, IngressSettings)
        await f.call(entry, "look")
        entry.app._reload()
        self.assertThat(entry.app._handler.key_age_limit_s, Equals(8.7))
        budgets = entry.app._retry_budgets.values()
        self.assertThat([each.ratio for each in budgets], Equals([0.5]))
        path.write_text("[ingress]\nretry_ratio = much\n", encoding="utf-8")
        entry.app._reload()
        self.assertTrue(entry.events("settings_refused"))
        self.assertThat(entry.app._handler.key_age_limit_s, Equals(8.7))

    @run_with("with_fleet")
    async def test_limits_of_the_configuration_are_enforced(self, f, entry):
        limits = {"maxBodyBytes": 100, "maxHeaderBytes": 600}
        f.configure(version=2, limits=limits)
        await wait_until(lambda: entry.app._http_server._limits.max_body_bytes == 100)
        self.assertThat(
            (await f.call(entry, "look", body=b"x" * 100)).status, Equals(200)
        )
        self.assertThat(
            (await f.call(entry, "look", body=b"x" * 101)).status, Equals(413)
        )
        reply = await f.call(entry, "look", x_long="y" * 700)
        self.assertThat(reply.status, Equals(431))

    @run_with("with_fleet")
    async def test_slow_header_is_given_up_after_the_configured_time(self, f, entry):
        f.configure(version=2, limits={"headerTimeoutMs": 200})
        await wait_until(lambda: entry.app._http_server._limits.header_timeout_s == 0.2)
        stream = await trio.open_tcp_stream("127.0.0.1", entry.app.address.port)
        async with stream:
            await stream.send_all(b"GET /look/x HTTP/1.1\r\nhost: ")
            with trio.fail_after(2.0):
                self.assertThat(await stream.receive_some(20), Contains(b"408"))

    def test_template_names_only_known_settings(self):
        text = Path("deploy/ingress.ini").read_text(encoding="utf-8")
        keys = set(re.findall(r"^(\w+) =", text, re.MULTILINE))
        known = {*declarations(ProcessSettings), *declarations(IngressSettings)}
        self.assertThat(keys - known, Equals(set()))
        self.assertTrue(msgspec.json.decode(configuration())["routes"])
