"""Ingress process: its components, listeners, settings reload and planned stop."""

import random
import signal
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack

import trio

from foxtailcourse.crashes import PartSuspicions
from foxtailcourse.fleet import (
    BackendServer,
    CallerLimits,
    FleetView,
    Freshness,
    ServerRun,
)
from foxtailcourse.http import (
    ConnectionPool,
    EndReason,
    Exchange,
    HttpLimits,
    HttpServer,
)
from foxtailcourse.ingress._account_quotas import (
    WATCH_PARTS,
    WATCH_PERIOD_S,
    AccountQuotas,
    QuotaRule,
)
from foxtailcourse.ingress._account_shares import AccountShares
from foxtailcourse.ingress._attempt import AttemptRunner
from foxtailcourse.ingress._cache_feed import CacheFeed
from foxtailcourse.ingress._cache_index import CacheIndex
from foxtailcourse.ingress._candidates import CandidateFilter
from foxtailcourse.ingress._clock import boot_seconds
from foxtailcourse.ingress._configuration_exchange import ConfigurationExchange
from foxtailcourse.ingress._configuration_refresh import ConfigurationRefresh
from foxtailcourse.ingress._dispatcher import Dispatcher
from foxtailcourse.ingress._explanation import decode_question, explain
from foxtailcourse.ingress._features import Features
from foxtailcourse.ingress._fleet_sums import FleetSums
from foxtailcourse.ingress._fleet_updates import FleetUpdates
from foxtailcourse.ingress._handler import IngressHandler
from foxtailcourse.ingress._job import Job
from foxtailcourse.ingress._lease import EntryLease, registration_wait_s
from foxtailcourse.ingress._limit_exchange import LimitExchange
from foxtailcourse.ingress._limit_shares import LimitShares
from foxtailcourse.ingress._membership import MEMBERSHIP_PREFIX, Membership
from foxtailcourse.ingress._origin_records import OriginRecorder
from foxtailcourse.ingress._part_exchange import PartExchange
from foxtailcourse.ingress._part_records import PartRecords
from foxtailcourse.ingress._peer_exchange import PeerExchange
from foxtailcourse.ingress._peers import Peer
from foxtailcourse.ingress._recent_weights import (
    RecentWeightsRecorder,
    recorded_weights_s,
)
from foxtailcourse.ingress._retry_budget import RetryBudget
from foxtailcourse.ingress._rollout import Rollout
from foxtailcourse.ingress._server_limits import ServerLimits
from foxtailcourse.ingress._server_loads import ServerLoads
from foxtailcourse.ingress._server_memory import ServerMemory
from foxtailcourse.ingress._server_speeds import ServerSpeeds
from foxtailcourse.ingress._settings import IngressSettings
from foxtailcourse.ingress._software_records import SoftwareRecords
from foxtailcourse.ingress._store_rate_limit import RateLimitedStore, RateLimiter
from foxtailcourse.ingress._store_watcher import WATCH_BLACKOUT_S, StoreWatcher
from foxtailcourse.ingress._stream_origins import (
    UNKNOWN_SOFTWARE,
    SoftwareHistory,
    StreamOrigin,
)
from foxtailcourse.ingress._stream_reader import StreamReader
from foxtailcourse.ingress._stream_resumption import StreamResumption
from foxtailcourse.ingress._sum_exchange import SumExchange
from foxtailcourse.ingress._watchdog import AttemptWatchdog
from foxtailcourse.platform import (
    OPERATOR_PREFIX,
    SERVERS_PREFIX,
    KeyValueClient,
    ResponseHeaders,
    ServerClient,
)
from foxtailcourse.process import (
    AdminServer,
    DaemonContext,
    Readiness,
    TaskSupervisor,
)
from foxtailcourse.settings import Address, SettingsErrors, declarations

# API keys are no longer accepted once the configuration is older than the platform's
# limit less this margin, since it takes some time to read a request.
KEY_AGE_MARGIN_S = 0.3
# Time until the load balancer sends no more connections to an entry that is not ready:
# it probes every second and removes an entry after two failures.
LOAD_BALANCER_NOTICE_S = 2.3
# Time at the end of a stop that is reserved for closing down, and the part of it in
# which callers receive the errors for requests that did not end in time.
STOP_MARGIN_S = 0.4
INTERRUPT_TIMEOUT_S = 0.2
# Fraction of a short stop after which requests that may not end in time are refused.
MAX_NOTICE_FRACTION = 0.5
# Longest wait for the store when a stopped entry gives up its registration.
RELEASE_TIMEOUT_S = 0.1
# An entry that disappeared keeps its share of the limits that all entries keep together
# for this multiple of the longest time between confirmations of the registrations.
SHARE_HOLD_MULTIPLE = 2.0
BYTES_PER_MB = 1_000_000
READINESS_LIMITS = HttpLimits(max_connections=50, max_body_bytes=1024)
SERVER_CALL_TIMEOUT_S = 0.5
LOADS_MAINTENANCE_PERIOD_S = 5.0
# The settings file may also change without a signal, and reading it is cheap.
RELOAD_PERIOD_S = 3.0


class IngressApp:
    """The components of one entry on the platform.

    Parameters
    ----------
    daemon : DaemonContext
        Settings, log, metrics and stop signal of the process.
    cfg : IngressSettings
        Settings of the ingress.

    Attributes
    ----------
    address : Address
        Address of the callers' listener, with the actual port once it is open.
    listening : bool
        Whether the listeners are open.
    """

    def __init__(self, daemon: DaemonContext, cfg: IngressSettings) -> None:
        self._daemon = daemon
        self._cfg = cfg
        self._events, self._metrics = daemon.events, daemon.metrics
        self._supervisor = TaskSupervisor(self._events, self._metrics, boot_seconds)
        self._features = Features.from_contracts(cfg.contracts)
        self._sums = FleetSums()
        self._memory = ServerMemory(self._features.server_memory)
        self._account_shares = AccountShares(
            self._sums, enabled=self._features.fair_shares
        )
        self._speeds = ServerSpeeds(self._sums, self._events)
        self._rng = random.Random()
        self._pool = ConnectionPool()
        self._view = FleetView()
        self._loads = ServerLoads()
        self._watchdog = AttemptWatchdog(boot_seconds, self._supervisor)
        self._cache_indexes: dict[str, CacheIndex] = {}
        self._retry_budgets: dict[str, RetryBudget] = {}
        # Streams that waited for their callers since the last log line about them.
        self._bound_waits = 0
        self._draining = False
        membership_freshness = Freshness()
        self._shares = LimitShares(
            daemon.cfg.vm,
            lambda: self._view.entries,
            membership_freshness,
            _share_hold_s(cfg),
        )
        self._quotas = AccountQuotas(
            sums=self._sums,
            shares=self._shares,
            rng=self._rng,
            rule=_quota_rule(cfg),
        )
        self._store = RateLimitedStore(
            store=KeyValueClient(self._pool, cfg.store, cfg.call_timeout_s),
            reads=RateLimiter(cfg.store_reads_per_s),
            writes=RateLimiter(cfg.store_writes_per_s),
            entry_count=lambda: self._shares.count(boot_seconds()),
            clock=boot_seconds,
        )
        self._limits = ServerLimits(daemon.cfg.vm, self._shares, self._events)
        self._client = ServerClient(
            self._pool,
            SERVER_CALL_TIMEOUT_S,
            self._announce_leaving_at,
            self._record_limit_at,
        )
        self._membership = Membership(self._view, self._events)
        self._lease = EntryLease(
            self._store,
            daemon.cfg.vm,
            cfg.lease_ttl_s,
            self._membership,
            boot_seconds,
            self._rng,
            self._events,
        )
        self._peer_exchange = PeerExchange(
            daemon.cfg.vm,
            cfg.exchange_listen,
            self._loads,
            self._view,
            self._membership.peers,
            boot_seconds,
            self._events,
            self._metrics,
            self._supervisor,
        )
        self._cache_feed = CacheFeed(
            self._view,
            self._cache_indexes,
            self._client,
            self._peer_exchange.publish_cache,
            self._peer_exchange.plan,
            daemon.cfg.vm,
            self._events,
            self._supervisor,
        )
        self._rollout = Rollout(
            self._view,
            self._lease,
            self._peer_exchange.publish_weights,
            self._client,
            self._loads,
            daemon.cfg.vm,
            cfg.weights_ms / 1000,
            boot_seconds,
            self._events,
            self._metrics,
            self._supervisor,
        )
        self._peer_exchange.store_era = lambda: self._store.era
        self._peer_exchange.on_cache_update = self._cache_feed.apply_published
        self._limit_exchange = LimitExchange(
            self._limits,
            self._membership.peers,
            self._peer_exchange.send,
            boot_seconds,
            self._events,
        )
        self._peer_exchange.on_limits = self._limit_exchange.handle
        self._sum_exchange = SumExchange(
            vm=daemon.cfg.vm,
            sums=self._sums,
            peers=self._membership.peers,
            plan=self._peer_exchange.plan,
            send=self._peer_exchange.send,
            clock=boot_seconds,
            metrics=self._metrics,
        )
        self._peer_exchange.on_sums = self._sum_exchange.handle
        self._parts = PartExchange(
            vm=daemon.cfg.vm,
            suspicions=PartSuspicions(),
            shares=self._shares,
            peers=self._membership.peers,
            send=self._peer_exchange.send,
            clock=boot_seconds,
            events=self._events,
        )
        self._peer_exchange.on_parts = self._parts.handle
        self._part_records = PartRecords(
            exchange=self._parts,
            store=self._store,
            min_ttl_s=cfg.store_min_lease_ms / 1000,
            clock=boot_seconds,
            wall_clock=time.time,
            events=self._events,
        )
        self._peer_exchange.cache_snapshot = self._cache_feed.snapshot
        self._peer_exchange.weights_to_publish = self._rollout.weights_to_publish
        self._recent_weights = RecentWeightsRecorder(
            view=self._view,
            store=self._store,
            is_leader=lambda: self._lease.fence > 0,
            usable_s=recorded_weights_s(cfg.weights_ms / 1000),
            min_ttl_s=cfg.store_min_lease_ms / 1000,
            clock=boot_seconds,
            rng=self._rng,
            events=self._events,
        )
        software = SoftwareHistory()
        self._updates = FleetUpdates(
            view=self._view,
            software=software,
            membership=self._membership,
            publish_leaving=self._peer_exchange.publish_leaving,
            apply_limits=self._apply_caller_limits,
            clock=boot_seconds,
            events=self._events,
            metrics=self._metrics,
            supervisor=self._supervisor,
        )
        self._updates.on_parts_record = self._part_records.apply_change
        self._peer_exchange.on_leaving = self._updates.announce_leaving
        self._watcher = StoreWatcher(
            self._store,
            {
                OPERATOR_PREFIX: self._view.configuration_freshness,
                SERVERS_PREFIX: self._view.servers_freshness,
                MEMBERSHIP_PREFIX: membership_freshness,
            },
            cfg.watch_wait_s,
            cfg.watch_pause_s,
            self._updates.apply_change,
            self._events,
            self._metrics,
        )
        self._updates.state = self._watcher.state
        self._configuration_exchange = ConfigurationExchange(
            daemon.cfg.vm,
            self._view,
            self._watcher.state,
            self._membership.peers,
            self._peer_exchange.send,
            self._peer_exchange.reply,
            self._events,
            registration_wait_s(cfg.lease_ttl_s, cfg.watch_pause_s),
        )
        self._peer_exchange.on_configuration_query = self._configuration_exchange.answer
        self._peer_exchange.on_configuration_notice = (
            self._configuration_exchange.handle
        )
        self._refresh = ConfigurationRefresh(
            read=self._read_configuration,
            freshness=self._view.configuration_freshness,
            clock=boot_seconds,
            events=self._events,
        )
        self._software = SoftwareRecords(
            view=self._view,
            history=software,
            store=self._store,
            clock=boot_seconds,
            max_view_age_s=_max_view_age_s(cfg),
            rng=self._rng,
            events=self._events,
        )
        self._updates.on_software_record = self._software.apply_change
        self._origin_recorder = OriginRecorder(
            store=self._store,
            can_conclude=self._software.can_conclude,
            clock=boot_seconds,
            events=self._events,
            metrics=self._metrics,
        )
        self._resumption = StreamResumption(
            view=self._view,
            software=self._software,
            exchange=self._peer_exchange.origins,
            recorder=self._origin_recorder,
            reader=StreamReader(
                store=self._store,
                is_store_lost=lambda: self._watcher.is_lost,
                clock=boot_seconds,
                events=self._events,
            ),
            clock=boot_seconds,
            events=self._events,
            metrics=self._metrics,
        )
        self.address = cfg.listen
        self.listening = False
        self._dispatcher = self._build_dispatcher()
        self._apply_memory()
        self._handler = IngressHandler(
            view=self._view,
            dispatcher=self._dispatcher,
            quotas=self._quotas,
            resumption=self._resumption,
            confirm=self._refresh.confirm,
            key_age_limit_s=cfg.revocation_ms / 1000 - KEY_AGE_MARGIN_S,
            clock=boot_seconds,
            rng=self._rng,
            events=self._events,
            metrics=self._metrics,
        )
        self._http_server = HttpServer(
            self._handler.handle,
            cfg.http_limits(CallerLimits()),
            self._on_error,
            self._on_unanswered,
            self._on_connection_failed,
        )

    def _build_dispatcher(self) -> Dispatcher:
        weights_limit_s = self._cfg.weights_ms / 1000
        return Dispatcher(
            view=self._view,
            candidates=CandidateFilter(
                self._view,
                self._loads,
                self._cache_indexes,
                weights_limit_s,
                self._limits,
                self._memory,
                self._speeds,
                self._daemon.cfg.failure_domain,
            ),
            attempts=AttemptRunner(
                self._pool,
                self._loads,
                self._watchdog,
                self._cfg.connect_timeout_s,
                boot_seconds,
                self._updates.announce_leaving,
                self._resumption.record_begun,
                self._record_limit_statement,
                self._peer_exchange.origins.flush,
                self._registered_software,
                self._record_origin_lost,
                self._parts.record_answered,
                self._record_bound,
                self._memory,
                self._speeds,
            ),
            parts=self._parts,
            quotas=self._quotas,
            retry_budget_for=self._retry_budget_for,
            clock=boot_seconds,
            rng=self._rng,
            events=self._events,
            metrics=self._metrics,
            shares=self._account_shares,
        )

    def _apply_memory(self) -> None:
        """Apply the memory of this process to what it buffers for slow callers."""
        is_on = self._features.held_responses
        memory_bytes = self._cfg.memory_mb * BYTES_PER_MB if is_on else 0.0
        self._dispatcher.attempts.set_memory(memory_bytes)

    def _retry_budget_for(self, service: str) -> RetryBudget:
        if service not in self._retry_budgets:
            cfg = self._cfg
            self._retry_budgets[service] = RetryBudget(
                cfg.retry_ratio, cfg.retry_extra, cfg.retry_window_s, self._shares
            )
        return self._retry_budgets[service]

    def _apply_caller_limits(self, limits: CallerLimits) -> None:
        self._http_server.set_limits(self._cfg.http_limits(limits))

    def _announce_leaving_at(self, address: Address) -> None:
        """Withdraw the runs at an address where a server said that it leaves."""
        for server in list(self._view.servers.values()):
            if server.address == address:
                self._updates.announce_leaving(server)

    def _record_limit_at(self, address: Address, per_s: float) -> None:
        """Record the limit that the server at an address named."""
        for server in self._view.servers.values():
            if server.address == address:
                self._limits.record_limit(server.run, per_s, boot_seconds())

    def _record_limit_statement(
        self, run: ServerRun, head: ResponseHeaders, sent_at: float
    ) -> None:
        self._limits.record_response(run, head, sent_at, boot_seconds())

    def _registered_software(self, server_id: str) -> str | None:
        server = self._view.servers.get(server_id)
        return None if server is None else server.software_version

    def _record_origin_lost(self, job: Job, server: BackendServer) -> None:
        """Log that a stream is not resumed, and tell the entries that know it."""
        self._events.emit(
            "stream_origin_lost",
            request_id=job.request.id,
            resumes=job.request.resumes or None,
            backend_server=server.id,
            software=server.software_version,
            registered_software=self._registered_software(server.id),
        )
        is_resumed = bool(job.request.last_event_id)
        stream_id = job.request.resumes if is_resumed else job.request.id
        origin = StreamOrigin(job.service, UNKNOWN_SOFTWARE)
        self._resumption.record_begun(stream_id, origin)

    def _record_bound(self, bound: str) -> None:
        self._bound_waits += 1
        self._metrics.count("foxtail_ingress_held_bound_total", bound=bound)

    async def _read_configuration(self) -> None:
        await self._watcher.refresh(OPERATOR_PREFIX)

    # Life cycle of the process

    def readiness(self) -> Readiness:
        """Return whether the load balancer should send connections here."""
        if self._draining:
            return Readiness(False, "stopping")
        if self._view.configuration is None:
            return Readiness(False, "no configuration")
        if self._view.configuration_outdated:
            return Readiness(False, "configuration is outdated")
        age_s = self._view.configuration_freshness.age_s(boot_seconds())
        if age_s > self._cfg.revocation_ms / 1000 - KEY_AGE_MARGIN_S:
            return Readiness(False, "configuration is stale")
        return Readiness(True)

    def status(self) -> dict[str, object]:
        """Return the contents of ``/status``."""
        now = boot_seconds()
        return {
            "vm": self._daemon.cfg.vm,
            "configuration_revision": self._view.configuration_revision,
            "configuration_age_s": round(
                self._view.configuration_freshness.age_s(now), 3
            ),
            "servers_age_s": round(self._view.servers_freshness.age_s(now), 3),
            "servers": sorted(self._view.servers),
            "entries": sorted(self._view.entries),
            "gives_orders": self._lease.may_order(now),
            "active": self._http_server.active,
            "draining": self._draining,
        }

    def explain(self, body: bytes) -> dict[str, object]:
        """Return the contents of ``/explain``; raises HttpError."""
        return explain(decode_question(body), self._handler, boot_seconds())

    async def run(self) -> None:
        """Serve until a planned stop is complete."""
        admin = AdminServer(
            self._events, self._metrics, self.readiness, self.status, self.explain
        )
        readiness_server = HttpServer(
            self._respond_readiness,
            READINESS_LIMITS,
            self._on_error,
            on_failure=self._on_connection_failed,
        )
        async with AsyncExitStack() as stack:
            stack.push_async_callback(self._pool.aclose)
            nursery = await stack.enter_async_context(trio.open_nursery())
            await nursery.start(admin.serve, self._daemon.cfg.admin_listen)
            await nursery.start(self._listen, readiness_server, self._cfg.ready_listen)
            closed = trio.Event()
            await nursery.start(
                self._listen, self._http_server, self._cfg.listen, closed
            )
            await self._peer_exchange.bind()
            self._lease.registration = self._registration
            for task, run in self._background_tasks().items():
                nursery.start_soon(self._supervisor.keep_running, task, run)
            self.listening = True
            self._events.emit("entry_listening", port=self.address.port)
            await self._daemon.stopping.wait()
            await self._stop(closed)
            nursery.cancel_scope.cancel()

    def _registration(self) -> bytes:
        """Return the present registration of this entry."""
        configuration = self._view.configuration
        return Peer(
            address=self._peer_exchange.address,
            failure_domain=self._daemon.cfg.failure_domain,
            capacity_cores=self._cfg.capacity_cores,
            configuration_version=configuration.version if configuration else 0,
        ).encode()

    def _background_tasks(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the tasks that run until the entry stops, by name."""
        return {
            "watch_store": self._watcher.run,
            "refresh_configuration": self._refresh.run,
            "record_weights": self._recent_weights.run,
            "exchange_state": self._peer_exchange.run,
            "exchange_limits": self._limit_exchange.run,
            "exchange_sums": self._sum_exchange.run,
            "judge_crashes": self._parts.run,
            "record_parts": self._part_records.run,
            "record_software": self._software.run,
            "record_origins": self._origin_recorder.run,
            "exchange_configuration": self._configuration_exchange.run,
            "keep_lease": self._lease.run,
            "watch_attempts": self._watchdog.run,
            "order_weights": self._rollout.run,
            "feed_cache_indexes": self._cache_feed.run,
            "maintain_loads": self._maintain_loads,
            "follow_quotas": self._watch_quotas,
            "watch_settings": self._watch_reload,
        }

    async def _listen(
        self,
        server: HttpServer,
        address: Address,
        closed: trio.Event | None = None,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve an address until the server is drained, then set ``closed``.

        The task counts as started once the listener accepts connections.
        """
        listeners = await trio.open_tcp_listeners(address.port, host=address.host)
        if server is self._http_server:
            port = listeners[0].socket.getsockname()[1]
            self.address = Address(address.host, port)
        await server.serve(listeners, task_status=task_status)
        if closed is not None:
            closed.set()

    async def _respond_readiness(self, exchange: Exchange) -> None:
        state = self.readiness()
        await exchange.respond(200 if state.ready else 503, state.reason.encode())

    async def _maintain_loads(self) -> None:
        """Periodically discard the loads of removed servers and update the gauges."""
        while True:
            await trio.sleep(LOADS_MAINTENANCE_PERIOD_S)
            servers = self._view.servers.values()
            self._loads.discard_unregistered({(e.id, e.started_ms) for e in servers})
            runs = {e.run for e in servers}
            self._view.withdrawn.expire(runs, boot_seconds())
            self._limits.expire(runs, boot_seconds())
            self._memory.expire(runs)
            self._speeds.expire(runs)
            self._update_gauges()

    async def _watch_quotas(self) -> None:
        """Periodically follow the use of quotas at the other entries."""
        while True:
            self._follow_quotas()
            await trio.sleep(WATCH_PERIOD_S / WATCH_PARTS)

    def _follow_quotas(self) -> None:
        configuration = self._view.configuration
        if configuration is not None:
            self._quotas.update(configuration.accounts, boot_seconds())

    def _update_gauges(self) -> None:
        now = boot_seconds()
        for source, freshness in (
            ("configuration", self._view.configuration_freshness),
            ("servers", self._view.servers_freshness),
        ):
            self._metrics.gauge(
                "foxtail_ingress_state_age_seconds", freshness.age_s(now), source=source
            )
        rows = self._loads.own_rows()
        self._metrics.gauge("foxtail_ingress_in_flight", sum(row[2] for row in rows))
        tokens = sum(row[1] for row in rows)
        self._metrics.gauge("foxtail_ingress_prefill_tokens", tokens)
        held_tokens = sum(row[4] for row in rows)
        self._metrics.gauge("foxtail_ingress_held_tokens", held_tokens)
        self._report_buffers()
        for service, (ratio, differs) in self._speeds.summary().items():
            labels = {"service": service}
            self._metrics.gauge("foxtail_ingress_speed_ratio", ratio, **labels)
            self._metrics.gauge("foxtail_ingress_speeds_used", int(differs), **labels)

    def _report_buffers(self) -> None:
        """Update the gauges of what is buffered, and log that a bound was reached."""
        attempts = self._dispatcher.attempts
        held_bytes = attempts.held_memory.held_bytes
        answers_bytes = attempts.buffered.used_bytes - held_bytes
        for kind, byte_count in (("stream", held_bytes), ("answer", answers_bytes)):
            self._metrics.gauge("foxtail_ingress_buffered_bytes", byte_count, kind=kind)
        if self._bound_waits:
            self._events.emit(
                "held_bound_reached",
                waits=self._bound_waits,
                held_bytes=held_bytes,
                answers_bytes=answers_bytes,
                limit_bytes=attempts.buffered.limit_bytes,
            )
            self._bound_waits = 0

    async def _watch_reload(self) -> None:
        """Reload the settings at SIGHUP, and periodically in case the file changed."""
        with trio.open_signal_receiver(signal.SIGHUP) as received:
            while True:
                with trio.move_on_after(RELOAD_PERIOD_S):
                    async for _ in received:
                        self._events.emit("reload_requested")
                        break
                self._reload()

    def _reload(self) -> None:
        """Read the settings file and apply its changes; log an invalid file."""
        try:
            cfg = self._daemon.reload_section(IngressSettings)
        except SettingsErrors as problems:
            for problem in problems.exceptions:
                self._events.emit("settings_refused", error=problem)
            return
        if cfg is None or cfg == self._cfg:
            return
        names = declarations(IngressSettings)
        changed = [
            name for name in names if getattr(cfg, name) != getattr(self._cfg, name)
        ]
        self._cfg = cfg
        self._apply_limits()
        self._events.emit("settings_changed", keys=",".join(changed))

    def _apply_limits(self) -> None:
        """Apply changed limits of the platform to the components that enforce them."""
        cfg = self._cfg
        self._features = Features.from_contracts(cfg.contracts)
        self._account_shares.enabled = self._features.fair_shares
        self._apply_memory()
        self._memory.enabled = self._features.server_memory
        self._handler.key_age_limit_s = cfg.revocation_ms / 1000 - KEY_AGE_MARGIN_S
        self._dispatcher.candidates.weights_limit_s = cfg.weights_ms / 1000
        self._rollout.weights_limit_s = cfg.weights_ms / 1000
        self._quotas.set_rule(_quota_rule(cfg))
        self._shares.hold_s = _share_hold_s(cfg)
        self._software.max_view_age_s = _max_view_age_s(cfg)
        self._recent_weights.usable_s = recorded_weights_s(cfg.weights_ms / 1000)
        for budget in self._retry_budgets.values():
            budget.ratio, budget.extra = cfg.retry_ratio, cfg.retry_extra
            budget.window_s = cfg.retry_window_s

    async def _stop(self, closed: trio.Event) -> None:
        """Finish all requests after the load balancer has removed this entry."""
        started = boot_seconds()
        self._draining = self._handler.draining = True
        stop_s = self._cfg.stop_s - STOP_MARGIN_S
        self._events.emit(
            "drain_started",
            active=self._http_server.active,
            ends_in_ms=int(stop_s * 1000),
        )
        notice_s = min(LOAD_BALANCER_NOTICE_S, stop_s)
        strict_s = min(notice_s, MAX_NOTICE_FRACTION * stop_s)
        self._dispatcher.stop_window.begin(started, strict_s, stop_s)
        with trio.move_on_after(notice_s):
            await self._lease.stand_down()
        await trio.sleep(max(0.0, notice_s - (boot_seconds() - started)))
        self._http_server.stop_accepting()
        self._http_server.drain()
        remaining_s = stop_s - (boot_seconds() - started)
        with trio.move_on_after(max(0.0, remaining_s)):
            await closed.wait()
        self._events.emit("drain_ended", active=self._http_server.active)
        self._handler.interrupt()
        with trio.move_on_after(INTERRUPT_TIMEOUT_S):
            await closed.wait()
        with trio.move_on_after(RELEASE_TIMEOUT_S):
            await self._lease.release()

    def _on_error(self, exchange: Exchange, exc: Exception) -> None:
        self._metrics.count("foxtail_ingress_requests_total", outcome="internal")
        self._events.emit("request_failed", path=exchange.path, error=repr(exc))

    def _on_connection_failed(self, exc: Exception) -> None:
        self._supervisor.record_failure("serve_connection", exc, boot_seconds())

    def _on_unanswered(self, reason: EndReason, exchange: Exchange | None) -> None:
        self._events.emit(
            "connection_cut",
            reason=reason.value,
            path=exchange.path if exchange else None,
            response_started=exchange.response_started if exchange else None,
            draining=self._draining,
        )


def _quota_rule(cfg: IngressSettings) -> QuotaRule:
    return QuotaRule(
        window_s=cfg.quota_window_s,
        overage=cfg.quota_overage,
        tolerance=cfg.quota_tolerance,
    )


def _max_view_age_s(cfg: IngressSettings) -> float:
    """Return how old the known records get while the store responds, in seconds."""
    waits_s = cfg.watch_pause_s + cfg.watch_wait_s + cfg.call_timeout_s
    return waits_s + WATCH_BLACKOUT_S


def _share_hold_s(cfg: IngressSettings) -> float:
    """Return the time for which an entry that disappeared keeps its shares."""
    confirmed_s = cfg.watch_wait_s + cfg.call_timeout_s + WATCH_BLACKOUT_S
    return max(SHARE_HOLD_MULTIPLE * confirmed_s, cfg.retry_window_s)


async def serve(daemon: DaemonContext, cfg: IngressSettings) -> None:
    """Run the entry; this is the main function of the daemon."""
    await IngressApp(daemon, cfg).run()
