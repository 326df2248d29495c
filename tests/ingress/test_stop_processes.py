import signal
import tempfile

import h11
import pytest
import trio
from ingress_case import MODEL, configuration, route
from testtools.matchers import Equals

from cluster import serve, wait_until
from entry_processes import EntryProcess
from foxtailcourse.standin._backend_server import BackendServerStandin
from foxtailcourse.standin._platform import PlatformStandin
from support import AsyncTestCase

STOP_S, TIMEOUT_MS, READ_TIMEOUT_S = 4.0, 20_000, 15.0
# Times after SIGTERM at which bodies end; the listeners close after 1.8 s, and what is
# in progress after 3.6 s is cut.
BODY_ENDS_S = (0.5, 2.4, 2.9, 3.4)
ROUTES = {
    "look": {"kind": "safe"},
    "return": {"kind": "unsafe"},
    "brief": {"kind": "streaming", "service": "llm"},
    "ask": {"kind": "streaming", "service": "llm", "resumable": True},
}
EVENTS, EVENT_S = 15, 0.1


class StoppingFleet:
    """Two entries and servers whose streams take longer than late requests have."""

    def __init__(self, nursery, folder):
        self.platform = PlatformStandin()
        self.servers, self.entries = [], {}
        self._nursery, self._folder = nursery, folder
        self._requests = 0

    async def start(self):
        routes = [route(k, timeoutMs=TIMEOUT_MS, **v) for k, v in ROUTES.items()]
        self.platform.put("op/config", configuration(routes=routes))
        for name, service, models in (
            ("c1", "coats", {}),
            ("c2", "coats", {}),
            ("m1", "llm", {MODEL: 1}),
            ("m2", "llm", {MODEL: 1}),
        ):
            server = BackendServerStandin(name, service, models, event_s=EVENT_S)
            self.servers.append(server)
            address = await self._nursery.start(self._serve, server.handle)
            record = server.registration(str(address), "p")
            self.platform.put(f"servers/{name}", record)
        store = await self._nursery.start(self._serve, self.platform.handle)
        for vm in ("e1", "e2"):
            self.entries[vm] = EntryProcess(self._folder, vm, store, stop_s=STOP_S)
            await self.start_entry(vm)

    async def _serve(self, handle, *, task_status):
        async with serve(handle) as address:
            task_status.started(address)
            await trio.sleep_forever()

    async def start_entry(self, vm):
        entry = self.entries[vm]
        known = len(entry.events("server_registered")) if entry.process else 0
        entry.start()
        await entry.wait_ready()
        registered = known + len(self.servers)
        await wait_until(lambda: len(entry.events("server_registered")) >= registered)

    def ran(self):
        """Return the identifiers of the requests that servers have run."""
        return {run.request_id for server in self.servers for run in server.runs}

    async def send(self, vm, name, stopping, body_end_s, results):
        """Send a head, and the body at a time after the stop begins."""
        self._requests += 1
        request_id = f"{name}-{self._requests}"
        fields = [
            ("host", "app.example"),
            ("x-foxtailcourse-key", "key-1"),
            ("x-foxtailcourse-request-id", request_id),
            ("x-foxtailcourse-deadline-ms", str(TIMEOUT_MS)),
            ("content-length", "1"),
        ]
        if ROUTES[name].get("service"):
            fields += [
                ("x-foxtailcourse-model", MODEL),
                ("x-foxtailcourse-token-counts", f"100,{EVENTS}"),
                ("x-foxtailcourse-prompt-prefix", "aa:60,bb:40"),
            ]
        conn = h11.Connection(h11.CLIENT)
        address = self.entries[vm].address
        async with await trio.open_tcp_stream(address.host, address.port) as stream:
            request = h11.Request(method="POST", target=f"/{name}/x", headers=fields)
            await stream.send_all(conn.send(request))
            await stopping.wait()
            await trio.sleep(body_end_s)
            await stream.send_all(conn.send(h11.Data(data=b"a")))
            conn.send(h11.EndOfMessage())
            results.append((request_id, await receive(conn, stream)))


async def receive(conn, stream):
    """Return the status and headers of a whole response, or None without one."""
    head = None
    while True:
        try:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                conn.receive_data(await stream.receive_some(65536))
                continue
        except (trio.BrokenResourceError, h11.RemoteProtocolError):
            return None
        if isinstance(event, h11.Response):
            head = (event.status_code, dict(event.headers))
        elif isinstance(event, h11.EndOfMessage):
            return head
        elif not isinstance(event, h11.Data):
            return None


@pytest.mark.processes
class TestStopProcesses(AsyncTestCase):
    """Guards late requests of each kind of route while entries stop in series."""

    async def stop(self, fleet, vm, prepare):
        """Stop an entry; return the responses by the identifier of the request."""
        stopping, results = trio.Event(), []
        entry = fleet.entries[vm]
        with trio.fail_after(READ_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for name in ROUTES:
                    for body_end_s in BODY_ENDS_S:
                        nursery.start_soon(
                            fleet.send, vm, name, stopping, body_end_s, results
                        )
                # The heads are read before the stop begins.
                await trio.sleep(0.5)
                prepare(entry)
                entry.send_signal(signal.SIGTERM)
                stopping.set()
            await trio.to_thread.run_sync(entry.process.wait)
        self.assertThat(entry.process.returncode, Equals(0))
        return dict(results)

    def check(self, fleet, responses):
        """Check that each request was served, or refused before it ran."""
        ran = fleet.ran()
        self.assertThat(len(responses), Equals(len(ROUTES) * len(BODY_ENDS_S)))
        statuses = []
        for request_id, response in responses.items():
            self.assertIsNotNone(response, request_id)
            status, headers = response
            statuses.append(status)
            if status == 503:
                self.assertIn(b"retry-after", headers)
            served = (status, request_id in ran)
            self.assertIn(served, {(200, True), (503, False)}, request_id)
        self.assertThat(set(statuses), Equals({200, 503}))

    def play(self, *prepares):
        """Stop the entries one after the other, each after its preparation."""

        async def main():
            with tempfile.TemporaryDirectory() as folder:
                async with trio.open_nursery() as nursery:
                    fleet = StoppingFleet(nursery, folder)
                    try:
                        await fleet.start()
                        for vm, prepare in prepares:
                            responses = await self.stop(
                                fleet, vm, lambda entry, p=prepare: p(fleet, entry)
                            )
                            self.check(fleet, responses)
                            fleet.platform.faults.outage = "off"
                            await fleet.start_entry(vm)
                    finally:
                        for entry in fleet.entries.values():
                            if entry.process is not None:
                                entry.kill()
                    nursery.cancel_scope.cancel()

        self.run_async(main)

    def test_stops_in_series_lose_no_late_request(self):
        def do_nothing(fleet, entry):
            pass

        self.play(("e1", do_nothing), ("e2", do_nothing), ("e1", do_nothing))

    def test_stop_beside_a_reload_loses_no_late_request(self):
        self.play(("e1", lambda fleet, entry: entry.send_signal(signal.SIGHUP)))

    def test_stop_while_the_store_is_silent_loses_no_late_request(self):
        def silence(fleet, entry):
            fleet.platform.faults.outage = "silent"

        self.play(("e1", silence))
