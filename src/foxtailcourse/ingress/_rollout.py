"""Rolls out the weights that operators desire to the backend servers.

A bounded fraction of a model's servers loads weights at a time, so that the others can
carry the load. Before each order the server is asked for its present state, since the
last known state may be stale.
"""

import math
from collections.abc import Awaitable, Callable

import attrs
import trio

from foxtailcourse.fleet import BackendServer, FleetView
from foxtailcourse.ingress._lease import EntryLease
from foxtailcourse.ingress._peer_messages import WeightsUpdate
from foxtailcourse.ingress._server_loads import ServerLoads
from foxtailcourse.observe import EventLog, Metrics
from foxtailcourse.platform import (
    LoadOrder,
    OrderOutcome,
    ServerCallError,
    ServerClient,
)
from foxtailcourse.process import TaskSupervisor

# Largest fraction of a model's servers that load weights concurrently. More of them
# load more slowly and leave too few servers for requests.
MAX_LOADING_FRACTION = 0.38
MIN_CONCURRENT_LOADS = 2
# Prompt tokens to prefill per server that loads no weights, above which fewer servers
# load weights concurrently.
OVERLOAD_BACKLOG_TOKENS = 20_000.0
# Upper estimate of the time of one weight load, including its announcement and the
# completion of running requests.
WEIGHT_LOAD_S = 4.0
PLAN_PERIOD_S = 0.05
REPORT_PERIOD_S = 0.2
# A weight load is announced to the entries this long before the order, so that they
# stop sending requests to the server.
ANNOUNCE_LEAD_S = 0.15
# If a server has not loaded the weights this long after it accepted an order, its state
# is checked again before another order.
RECHECK_S = 2.5
FAILED_ORDER_PAUSE_S = 1.0
# Loaded weights are published for this long. Servers register them within a few
# heartbeats.
LOADED_PUBLISHED_S = 5.0


@attrs.frozen
class WeightLoad:
    """A weight load: the server, the model and the version to load."""

    server: BackendServer
    model: str
    version: int


def plan_weight_loads(
    view: FleetView,
    busy: set[str],
    loads: ServerLoads,
    now: float,
    weights_limit_s: float,
) -> list[WeightLoad]:
    """Return the weight loads to start now.

    Parameters
    ----------
    view : FleetView
        Last known state of the fleet.
    busy : set of str
        Backend servers that are loading weights or were recently ordered to.
    loads : ServerLoads
        Loads of the backend servers. Those whose weights have been outdated longest
        are planned first, and of them the least loaded ones.
    now : float
        Present time in seconds since boot.
    weights_limit_s : float
        Time in seconds after which outdated weights must not be used.
    """
    planned: list[WeightLoad] = []
    for model, desired in view.desired_weights.items():
        servers = [
            each
            for each in view.servers.values()
            if model in each.weights
            and not each.leaving
            and each.run not in view.withdrawn
        ]
        outdated = [each for each in servers if each.weights[model] < desired.version]
        loading_count = sum(each.id in busy for each in servers)
        max_concurrent = max(
            MIN_CONCURRENT_LOADS, math.ceil(MAX_LOADING_FRACTION * len(servers))
        )
        since = {
            e.id: desired.outdated_since(e.weights[model]) or now for e in outdated
        }
        remaining_s = weights_limit_s - (now - min(since.values(), default=now))
        if _is_overloaded(
            [each for each in servers if each.id not in busy], loads, now
        ):
            max_concurrent = min(
                max_concurrent, _min_concurrent_loads(len(outdated), remaining_s)
            )
        startable = sorted(
            (each for each in outdated if each.id not in busy),
            key=lambda each: (
                since[each.id],
                loads.total(each.id, each.started_ms, now).in_flight,
            ),
        )
        free_slots = max(0, max_concurrent - loading_count)
        planned += [
            WeightLoad(each, model, desired.version) for each in startable[:free_slots]
        ]
    return planned


def _is_overloaded(
    serving: list[BackendServer], loads: ServerLoads, now: float
) -> bool:
    """Whether the servers that load no weights have too many tokens to prefill."""
    backlog_tokens = sum(
        loads.total(each.id, each.started_ms, now).prefill_tokens for each in serving
    )
    return backlog_tokens > OVERLOAD_BACKLOG_TOKENS * max(1, len(serving))


def _min_concurrent_loads(outdated_count: int, remaining_s: float) -> int:
    """Return how many servers must load concurrently for all to finish in time."""
    rounds = max(1, int(max(0.0, remaining_s) / WEIGHT_LOAD_S))
    return max(1, math.ceil(outdated_count / rounds))


class Rollout:
    """Orders backend servers to load weights while this entry is the leader.

    Parameters
    ----------
    view : FleetView
        Last known state of the fleet.
    lease : EntryLease
        Leadership of this entry.
    announce : coroutine function
        Publishes at once what ``weights_to_publish`` returns.
    client : ServerClient
        Makes the calls to backend servers.
    loads : ServerLoads
        Loads of the backend servers.
    vm : str
        Name of this VM.
    weights_limit_s : float
        Time in seconds after which outdated weights must not be used.
    clock : callable
        Returns seconds since boot.
    events : EventLog
        Receives an event for each order and failed report.
    metrics : Metrics
        Counts orders by outcome.
    supervisor : TaskSupervisor
        Runs the weight loads.
    """

    def __init__(
        self,
        view: FleetView,
        lease: EntryLease,
        announce: Callable[[], Awaitable[None]],
        client: ServerClient,
        loads: ServerLoads,
        vm: str,
        weights_limit_s: float,
        clock: Callable[[], float],
        events: EventLog,
        metrics: Metrics,
        supervisor: TaskSupervisor,
    ) -> None:
        self._view = view
        self._lease = lease
        self._announce = announce
        self._client = client
        self._loads = loads
        self._vm = vm
        self.weights_limit_s = weights_limit_s
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._supervisor = supervisor
        self._busy: set[str] = set()
        # Recently loaded weights by server: when, and a row of a WeightsUpdate.
        self._loaded: dict[str, tuple[float, tuple[str, int, str, int]]] = {}

    async def run(self) -> None:
        """Start weight loads until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                now = self._clock()
                if self._lease.may_order(now):
                    for load in plan_weight_loads(
                        self._view, self._busy, self._loads, now, self.weights_limit_s
                    ):
                        self._busy.add(load.server.id)
                        nursery.start_soon(self._run_contained, load)
                await trio.sleep(PLAN_PERIOD_S)

    async def _run_contained(self, load: WeightLoad) -> None:
        """Run a weight load; one that fails may be planned again after a pause."""
        try:
            await self._supervisor.run_contained(
                "load_weights", self._run_weight_load, load
            )
        finally:
            self._busy.discard(load.server.id)

    async def _run_weight_load(self, load: WeightLoad) -> None:
        """Announce and order a weight load; repeat the order until it has succeeded."""
        await self._announce()
        await trio.sleep(ANNOUNCE_LEAD_S)
        while self._lease.may_order(self._clock()) and self._is_outdated(load):
            outcome = await self._send_order(load)
            if outcome is OrderOutcome.FENCED:
                self._lease.resign("fenced")
                return
            await self._wait_until_loaded(load, outcome)

    def _is_outdated(self, load: WeightLoad) -> bool:
        server = self._view.servers.get(load.server.id)
        if server is None or server.leaving or server.run in self._view.withdrawn:
            return False
        return server.weights.get(load.model, 0) < load.version

    async def _send_order(self, load: WeightLoad) -> OrderOutcome:
        """Send the order if the server's report shows that it is needed."""
        server = load.server
        try:
            report = await self._client.report(server.address)
        except ServerCallError as exc:
            self._events.emit("report_failed", backend_server=server.id, error=exc)
            return OrderOutcome.UNKNOWN
        if report.weights.get(load.model, 0) >= load.version:
            return OrderOutcome.ALREADY_DONE
        if report.busy:
            return OrderOutcome.BUSY
        now = self._clock()
        # Leadership may have ended while waiting for the report.
        if not self._lease.may_order(now):
            return OrderOutcome.REFUSED
        order = LoadOrder(
            instance=server.id,
            model=load.model,
            version=load.version,
            accepted_orders=report.accepted_orders,
            holder=self._vm,
            fence=self._lease.fence,
        )
        self._lease.record_order(now)
        outcome = await self._client.send_order(server.address, order)
        self._lease.record_order(self._clock())
        self._metrics.count("foxtail_ingress_orders_total", outcome=outcome.value)
        self._events.emit(
            "order_given",
            backend_server=server.id,
            model=load.model,
            version=load.version,
            fence=self._lease.fence,
            accepted_orders=report.accepted_orders,
            outcome=outcome.value,
        )
        return outcome

    async def _wait_until_loaded(self, load: WeightLoad, outcome: OrderOutcome) -> None:
        """Wait until the server has the version, or the recheck time has passed.

        The server is polled for its report, which shows the loaded version earlier than
        its registration: that is only updated with the next heartbeat.
        """
        if outcome is OrderOutcome.ALREADY_DONE:
            await self._publish_loaded(load)
            return
        accepted = outcome is OrderOutcome.ACCEPTED
        with trio.move_on_after(RECHECK_S if accepted else FAILED_ORDER_PAUSE_S):
            while self._is_outdated(load):
                await trio.sleep(REPORT_PERIOD_S)
                if accepted and await self._reports_loaded(load):
                    await self._publish_loaded(load)
                    return

    async def _reports_loaded(self, load: WeightLoad) -> bool:
        try:
            report = await self._client.report(load.server.address)
        except ServerCallError as exc:
            self._events.emit("report_failed", backend_server=load.server.id, error=exc)
            return False
        return report.weights.get(load.model, 0) >= load.version

    async def _publish_loaded(self, load: WeightLoad) -> None:
        server = load.server
        self._view.record_loaded_weights(
            server.id, server.started_ms, load.model, load.version
        )
        self._loaded[server.id] = (
            self._clock(),
            (server.id, server.started_ms, load.model, load.version),
        )
        self._busy.discard(server.id)
        await self._announce()

    def weights_to_publish(self) -> WeightsUpdate | None:
        """Return the update for the other entries, or None if not the leader."""
        if not self._lease.fence:
            return None
        now = self._clock()
        self._loaded = {
            server_id: (at, row)
            for server_id, (at, row) in self._loaded.items()
            if now - at < LOADED_PUBLISHED_S
        }
        rows = [row for _, row in self._loaded.values()]
        return WeightsUpdate(self._lease.fence, sorted(self._busy), rows)
