import json
import random
import subprocess
import sys
import tempfile
from collections import deque
from pathlib import Path

import trio
from ingress_case import MODEL, IngressCase
from testtools.matchers import Contains, Equals

from cluster import serve, wait_until
from foxtailcourse.http import HttpError
from foxtailcourse.ingress._cache_index import CacheIndex
from foxtailcourse.ingress._explanation import COST_PARTS
from foxtailcourse.ingress._server_loads import RemoteLoad
from foxtailcourse.platform import CacheEvent, CacheEvents
from foxtailcourse.process import AdminServer
from support import run_with

SIMPLE = (type(None), bool, int, float, complex, str, bytes, bytearray)
CONTAINERS = (list, tuple, set, frozenset, deque)
LONG = {"route": "ask", "account": "teatro", "model": MODEL}
LONG_PARTS = ["aa:13000", "bb:3000"]


def state_of(root):
    """Return all values of this project that are reachable from an object, by path."""
    values, seen, pending = {}, set(), [("", root)]
    while pending:
        path, value = pending.pop()
        if isinstance(value, random.Random):
            values[path] = value.getstate()
        elif isinstance(value, dict):
            values[path] = [repr(key)[:80] for key in value]
            pending += [(f"{path}[{k!r:.80}]", each) for k, each in value.items()]
        elif isinstance(value, CONTAINERS):
            values[path] = len(value)
            pending += [(f"{path}[{n}]", each) for n, each in enumerate(value)]
        elif type(value).__module__.startswith("foxtailcourse"):
            if id(value) in seen:
                continue
            seen.add(id(value))
            slots = [
                s for c in type(value).__mro__ for s in getattr(c, "__slots__", ())
            ]
            names = {*slots, *getattr(value, "__dict__", {})} - {"__weakref__"}
            pending += [
                (f"{path}.{name}", getattr(value, name))
                for name in names
                if hasattr(value, name)
            ]
        elif isinstance(value, SIMPLE):
            values[path] = repr(value)
        else:
            values[path] = id(value)
    return values


class TestExplanation(IngressCase):
    """Guards decisions against an effect of explaining them, and their figures."""

    def explain(self, entry, **question):
        return entry.app.explain(json.dumps(question).encode())

    async def warm_up(self, fleet, entry):
        """Serve requests, so that loads, sizes, caches and limits have contents."""
        for name in ("look", "return", "ask", "ask"):
            stream = 3 if name == "ask" else 0
            response = await fleet.call(entry, name, stream=stream)
            self.assertTrue(response.complete)
        server = entry.app._view.servers["m1"]
        now = entry.app._handler.clock()
        entry.app._limits.record_limit(server.run, 50.0, now)
        # It has expired, so that a decision would remove it.
        load = RemoteLoad(
            prefill_tokens=9e3, in_flight=3, short_prompts=1, received_at=now - 60
        )
        entry.app._loads.update_remote("e9", "m2", load)
        # They are due, so that a decision would compute them again.
        for each in entry.app._dispatcher.candidates.speeds._services.values():
            each.computed_at = now - 60
        # A decision would create it again.
        entry.app._cache_indexes.pop("m2", None)

    def check_unchanged(self, entry, before):
        after = state_of(entry.app)
        changed = [p for p in before | after if before.get(p) != after.get(p)]
        self.assertThat(changed, Equals([]))

    @run_with("with_fleet", contracts=("base", "pressure"))
    async def test_nothing_of_the_entry_changes(self, fleet, entry):
        await self.warm_up(fleet, entry)
        before = state_of(entry.app)
        self.assertTrue(len(before) > 500, len(before))
        metrics = entry.daemon.metrics.render()[0]
        for question in (
            {"route": "look", "account": "teatro"},
            {"route": "open"},
            LONG | {"parts": LONG_PARTS},
            LONG | {"parts": ["aa:60", "bb:40"], "output_tokens": 5},
        ):
            self.explain(entry, **question)
        self.check_unchanged(entry, before)
        self.assertThat(entry.daemon.metrics.render()[0], Equals(metrics))
        # A prompt that is deferred, and one that is refused.
        for name in ("m1", "m2"):
            server = entry.app._view.servers[name]
            entry.app._loads.for_server(name, server.started_ms).prefill_tokens = 1e6
        for verdict in ("wait", "refuse"):
            before = state_of(entry.app)
            (service,) = self.explain(entry, **LONG, parts=LONG_PARTS)["services"]
            self.assertThat(service["verdict"], Equals(verdict))
            self.check_unchanged(entry, before)
            for key in range(3):
                entry.app._dispatcher.deferred.add(key, 1e6, "teatro")
        before = state_of(entry.app)
        # The check itself must notice what a real decision changes.
        await fleet.call(entry, "ask", stream=3)
        self.assertFalse(state_of(entry.app) == before)

    @run_with("with_fleet")
    async def test_costs_add_up_and_name_the_server_that_a_request_gets(
        self, fleet, entry
    ):
        await self.warm_up(fleet, entry)
        for _ in range(5):
            value = self.explain(entry, **LONG, parts=["aa:60", "bb:40"])
            (service,) = value["services"]
            self.assertThat(service["verdict"], Equals("send"))
            for each in service["candidates"]:
                parts = sum(each[name] for name in COST_PARTS)
                self.assertTrue(abs(each["total"] - parts) <= len(COST_PARTS))
                self.assertThat(each["other"], Equals(0))
            ran = {k: len(each.runs) for k, each in fleet.servers.items()}
            await fleet.call(entry, "ask", stream=3)
            (got,) = [k for k, each in fleet.servers.items() if len(each.runs) > ran[k]]
            self.assertThat(got, Equals(service["server"]))

    @run_with("with_fleet")
    async def test_transfer_is_a_cost_of_its_own(self, fleet, entry):
        """It must not be taken for prefill, which operators would try to save."""
        salt = f"1.{entry.app._view.configuration.isolation}"
        cached = CacheEvent(salt=salt, part="aa", tokens=13_000)
        batch = CacheEvents(
            epoch=1, next_position=1, events_lost=False, events=(cached,)
        )
        entry.app._cache_indexes.setdefault("m1", CacheIndex()).apply(batch)
        (service,) = self.explain(entry, **LONG, parts=LONG_PARTS)["services"]
        costs = {each["server"]: each for each in service["candidates"]}
        shown = ("cached_tokens", "prefill_tokens", "transfer", "fetch_from")
        address = str(entry.app._view.servers["m1"].address)
        self.assertThat(
            [costs["m1"][name] for name in shown], Equals([13_000, 3000, 0, ""])
        )
        cached_tokens, prefill_tokens, transfer, fetch_from = (
            costs["m2"][name] for name in shown
        )
        self.assertThat(
            (cached_tokens, prefill_tokens, fetch_from), Equals((0, 3000, address))
        )
        self.assertTrue(transfer > 0, transfer)
        self.assertThat(costs["m1"]["prefill"], Equals(costs["m2"]["prefill"]))

    @run_with("with_fleet")
    async def test_excluded_servers_have_the_reason_of_a_decision(self, fleet, entry):
        view = entry.app._view
        view.loading.add("m1")
        entry.app._loads.for_server(
            "m2", view.servers["m2"].started_ms
        ).refused_until = 1e12
        (service,) = self.explain(entry, **LONG, parts=["aa:6", "b:4"])["services"]
        self.assertThat(service["excluded"]["m2"], Equals("servers_refuse"))
        self.assertThat(service["excluded"]["m1"], Equals("loading_weights"))
        self.assertThat(
            (service["verdict"], service["reason"], service["server"]),
            Equals(("refuse", "loading_weights", "")),
        )
        view.loading.clear()
        (service,) = self.explain(entry, **LONG, parts=["aa:6", "b:4"])["services"]
        self.assertThat(
            (service["server"], list(service["excluded"])), Equals(("m1", ["m2"]))
        )
        question = LONG | {"model": "other"}
        (service,) = self.explain(entry, **question, parts=["aa:6"])["services"]
        self.assertThat(set(service["excluded"].values()), Equals({"other_model"}))

    @run_with("with_fleet")
    async def test_deferred_prompt(self, fleet, entry):
        """A prompt that no server can begin in time is deferred, as its load shows."""
        for name in ("m1", "m2"):
            server = entry.app._view.servers[name]
            entry.app._loads.for_server(name, server.started_ms).prefill_tokens = 1e6
        (service,) = self.explain(entry, **LONG, parts=LONG_PARTS)["services"]
        self.assertThat((service["verdict"], service["server"]), Equals(("wait", "")))
        self.assertThat(service["candidates"][0]["queue"], Equals(1_000_000))

    @run_with("with_fleet")
    async def test_malformed_questions(self, fleet, entry):
        for question, status in (
            ({"route": "nowhere"}, 404),
            ({"host": "app.example", "path": "/nowhere"}, 404),
            ({"route": "ask", "account": "nobody"}, 404),
            ({"route": "ask", "key": "wrong"}, 404),
            ({"route": "ask", "account": "teatro", "parts": ["aa"]}, 400),
            ({"route": "ask", "account": "teatro", "parts": 3}, 400),
            ({"surprise": 1}, 400),
        ):
            with self.assertRaises(HttpError) as caught:
                self.explain(entry, **question)
            self.assertThat(caught.exception.status, Equals(status), question)

    async def run_ctl(self, *args):
        done = await trio.run_process(
            [sys.executable, "-m", "foxtailcourse.ctl.run", "explain", *args],
            capture_stdout=True,
            capture_stderr=True,
            check=False,
        )
        return subprocess.CompletedProcess(
            args, done.returncode, done.stdout.decode(), done.stderr.decode()
        )

    @run_with("with_fleet")
    async def test_command(self, fleet, entry):
        await wait_until(lambda: entry.app.readiness().ready)
        app, daemon = entry.app, entry.daemon
        admin = AdminServer(
            daemon.events, daemon.metrics, app.readiness, app.status, app.explain
        )
        without = AdminServer(daemon.events, daemon.metrics, app.readiness, app.status)
        prompt = ["--model", MODEL, "--part", "aa:13000", "--part", "bb:3000"]
        async with serve(admin._handle) as address, serve(without._handle) as agent:
            ask = ["--entry", str(address), "--route", "ask"]
            done = await self.run_ctl(*ask, "--account", "teatro", *prompt)
            self.assertThat(done.returncode, Equals(0), done.stderr)
            self.assertThat(done.stdout, Contains("service llm (100%): sent now to m"))
            self.assertThat(done.stdout, Contains("prefill"))
            done = await self.run_ctl(*ask, "--key", "key-1", *prompt, "--json")
            value = json.loads(done.stdout)
            self.assertThat((value["ok"], value["account"]), Equals((True, "teatro")))
            with tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / "request"
                path.write_text(
                    "GET /look/x HTTP/1.1\nHost: app.example\n"
                    "X-Foxtailcourse-Key: key-1\n\nbody"
                )
                options = ["--entry", str(address), "--headers", str(path), "--json"]
                done = await self.run_ctl(*options)
                self.assertThat(json.loads(done.stdout)["route"], Equals("look"))
            for options, text in (
                (["--entry", str(address), "--route", "nowhere"], "no route 'nowhere'"),
                ([*ask, "--account", "nobody"], "no client account 'nobody'"),
                (["--entry", "127.0.0.1:1", "--route", "ask"], "unknown entry"),
                (["--entry", "no-such-vm", "--route", "ask"], "unknown entry"),
                (["--entry", str(agent), "--route", "ask"], "unknown entry"),
                ([], "give a request identifier and log files, or --entry"),
            ):
                done = await self.run_ctl(*options)
                self.assertThat(done.returncode, Equals(2), done.stderr)
                self.assertThat(done.stderr, Contains(text))
                self.assertThat(done.stdout, Equals(""))
                done = await self.run_ctl(*options, "--json")
                self.assertThat(json.loads(done.stdout)["exit_code"], Equals(2))
