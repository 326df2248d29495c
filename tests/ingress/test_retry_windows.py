import contextlib
import random

import trio
from ingress_case import LOCAL, IngressCase, route
from testtools.matchers import Equals

from cluster import wait_until
from fault_proxy import FaultProxy
from foxtailcourse.http import ClientError
from foxtailcourse.ingress._clock import boot_seconds
from foxtailcourse.standin._backend_server import (
    CONTROL_PATHS,
    BackendServerFaults,
    BackendServerStandin,
)
from support import run_with

RATIO, EXTRA, WINDOW_S = 0.2, 12, 3.0
PLAYED_S, REQUESTS_PER_S = 10.0, 50.0
SERVERS, CUT_SERVERS = 5, 3
MODES = ("delay", "silent", "cut in", "cut out", "pass")
FAULTS = (
    BackendServerFaults(),
    BackendServerFaults(fail=True),
    BackendServerFaults(refuse=True),
    BackendServerFaults(lose_answer=True),
)
# A share is used from some seconds after the start on.
SETTINGS = {
    "retry_ratio": RATIO,
    "retry_extra": EXTRA,
    "retry_window_s": WINDOW_S,
}
SMALL_RATIO = 0.02
FEW = SETTINGS | {"retry_ratio": SMALL_RATIO}


class NotingServer(BackendServerStandin):
    """Notes when which request reaches it."""

    async def handle(self, exchange):
        if exchange.path not in CONTROL_PATHS:
            request_id = exchange.headers["x-foxtailcourse-request-id"]
            self.arrivals.append((trio.current_time(), request_id))
        await super().handle(exchange)


class TestRetryWindows(IngressCase):
    """Guards the limit on retries where requests reach servers late."""

    async def add_servers(self, fleet, arrivals):
        """Add servers behind proxies, which note what reaches them."""
        proxies = []
        for number in range(SERVERS):
            server = NotingServer(f"p{number}", "late")
            server.arrivals = arrivals
            address = await fleet._nursery.start(fleet._serve, server)
            proxies.append(FaultProxy(address))
            fleet.servers[server.id] = server
            fleet.addresses[server.id] = await fleet._nursery.start(proxies[-1].run)
            fleet.register(server)
        return proxies

    async def disturb(self, fleet, proxies, rng):
        while True:
            proxy = rng.choice(proxies)
            proxy.mode = rng.choice(MODES)
            server = fleet.servers[f"p{proxies.index(proxy)}"]
            server.faults = rng.choice(FAULTS)
            await trio.sleep(rng.uniform(0.1, 0.6))

    async def cut(self, fleet, proxies):
        """Cut most links for some windows; before they go on, a server refuses."""
        await trio.sleep(1.0)
        for proxy in proxies[:CUT_SERVERS]:
            proxy.mode = "cut in"
        await trio.sleep(1.5 * WINDOW_S)
        fleet.servers[f"p{CUT_SERVERS}"].faults = BackendServerFaults(refuse=True)
        await trio.sleep(0.9 * WINDOW_S)
        for proxy in proxies:
            proxy.mode = "pass"

    async def send(self, fleet, entries, rng, sent):
        async def call(entry):
            with contextlib.suppress(ClientError):
                await fleet.call(entry, "late", x_foxtailcourse_deadline_ms="2000")

        async with trio.open_nursery() as nursery:
            end = trio.current_time() + PLAYED_S
            while trio.current_time() < end:
                sent.append(trio.current_time())
                nursery.start_soon(call, rng.choice(entries))
                await trio.sleep(rng.expovariate(REQUESTS_PER_S))

    def exceeded(self, sent, arrivals, ratio=RATIO):
        """Return the windows with too many repeats, with their number and the bound."""
        seen, repeats = set(), []
        for at, request_id in sorted(arrivals):
            if request_id in seen:
                repeats.append(at)
            seen.add(request_id)
        self.assertTrue(repeats)

        def count(times, start):
            return sum(start <= at < start + WINDOW_S for at in times)

        found = []
        for start in repeats:
            starts = (start, start - WINDOW_S / 2, start - WINDOW_S)
            bound = ratio * max(count(sent, each) for each in starts) + EXTRA
            if count(repeats, start) > bound:
                found.append((count(repeats, start), bound))
        return found

    async def start(self, fleet, entries, arrivals):
        """Return the proxies, once all entries have a share of the retries."""
        proxies = await self.add_servers(fleet, arrivals)
        fleet.configure(version=2, routes=[route("late", service="late", attempts=3)])
        for each in entries:
            await wait_until(lambda e=each: len(e.app.status()["servers"]) >= SERVERS)
            await wait_until(lambda e=each: e.app.readiness().ready)
            shares = each.app._shares
            await wait_until(lambda s=shares: s.is_settled(boot_seconds()))
        return proxies

    @run_with("with_fleet", **SETTINGS)
    async def test_requests_that_arrive_late_do_not_exceed_a_window(self, fleet, entry):
        rng, sent, arrivals = random.Random(1), [], []
        entries = [entry, await fleet.start_entry("e2", listen=LOCAL, **SETTINGS)]
        proxies = await self.start(fleet, entries, arrivals)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.disturb, fleet, proxies, rng)
            await self.send(fleet, entries, rng, sent)
            nursery.cancel_scope.cancel()
        for proxy in proxies:
            proxy.mode = "pass"
        await trio.sleep(1.0)
        self.assertThat(self.exceeded(sent, arrivals), Equals([]))

    @run_with("with_fleet", **FEW)
    async def test_requests_given_up_at_cut_links_do_not_exceed_a_window(
        self, fleet, entry
    ):
        rng, sent, arrivals = random.Random(1), [], []
        proxies = await self.start(fleet, [entry], arrivals)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.cut, fleet, proxies)
            await self.send(fleet, [entry], rng, sent)
        await trio.sleep(1.0)
        self.assertThat(self.exceeded(sent, arrivals, SMALL_RATIO), Equals([]))
