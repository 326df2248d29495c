"""The entry process: listeners, configuration and graceful shutdown."""

import time
from contextlib import AsyncExitStack
from typing import Any

import trio
import trio_asyncio

from foxtailcourse.config import ConfigFollower, ConfigStore, PlatformSettings
from foxtailcourse.entry._at_most_once import AtMostOnceCaller
from foxtailcourse.entry._claims import Claims
from foxtailcourse.entry._config_source import ConfigSource
from foxtailcourse.entry._crash_exchange import CRASH_TOPIC, CrashExchange
from foxtailcourse.entry._demand_exchange import DEMAND_TOPIC, DemandExchange
from foxtailcourse.entry._dispatcher import Dispatcher
from foxtailcourse.entry._gateway import Gateway
from foxtailcourse.entry._relay import Relay
from foxtailcourse.entry._settings import EntrySettings
from foxtailcourse.http import ConnectionPool, Exchange, HttpServer
from foxtailcourse.process import (
    AdminServer,
    DaemonContext,
    Readiness,
    TaskSupervisor,
)
from foxtailcourse.routing import PlacementSettings, PrefixPlacement
from foxtailcourse.settings import Address
from foxtailcourse.sharing import AccountLimiter

# Longest time to send errors to the requests that the drain has not finished.
END_TIMEOUT_S = 1.0


class EntryApp:
    """Wires the components of one entry and runs them until shutdown.

    Parameters
    ----------
    daemon : DaemonContext
        Settings, log, metrics and stop signal of the process.
    cfg : EntrySettings
        Settings of the entry.
    placement_cfg : PlacementSettings
        Settings of the placement policy.
    config : ConfigSource
        Source of the configuration.
    """

    def __init__(
        self,
        daemon: DaemonContext,
        cfg: EntrySettings,
        placement_cfg: PlacementSettings,
        config: ConfigSource,
    ) -> None:
        self._daemon = daemon
        self._cfg = cfg
        self._config = config
        self._store = config.store
        self.address = cfg.listen
        self._pool = ConnectionPool()
        self._limiter = AccountLimiter(
            daemon.cfg.vm,
            trio.current_time(),
            # Peers ignore summaries whose sequence is not higher than the last one,
            # so the sequence must also increase across restarts of this entry.
            first_sequence=int(time.time() * 1000),
        )
        self._crash_exchange = CrashExchange(
            vm=daemon.cfg.vm,
            store=config.store,
            send=config.exchange,
            events=daemon.events,
        )
        config.add_topic(CRASH_TOPIC, self._crash_exchange.handle_summary)
        self._demand_exchange = DemandExchange(
            daemon.cfg.vm,
            config.store,
            self._limiter,
            config.exchange,
            daemon.metrics,
            {CRASH_TOPIC: self._crash_exchange},
        )
        config.add_topic(DEMAND_TOPIC, self._demand_exchange.handle_summary)
        dispatcher = Dispatcher(
            cfg,
            self._store,
            PrefixPlacement(placement_cfg),
            self._pool,
            daemon.events,
            daemon.metrics,
            config.record_peer_revision,
            self._crash_exchange,
        )
        self._stop_window = dispatcher.stop_window
        relay = Relay(dispatcher)
        self._gateway = Gateway(
            cfg,
            placement_cfg.block_tokens,
            config,
            relay,
            AtMostOnceCaller(dispatcher, relay, Claims(config.key_value)),
            self._limiter,
            self._crash_exchange,
            daemon.events,
            daemon.metrics,
        )
        self._supervisor = TaskSupervisor(
            daemon.events, daemon.metrics, trio.current_time
        )
        self._server = HttpServer(
            self._gateway.handle,
            cfg.http_limits(),
            self._on_error,
            on_failure=self._on_connection_failed,
        )

    def readiness(self) -> Readiness:
        """Return whether the load balancer should send requests to this entry."""
        if self._gateway.draining:
            return Readiness(False, "stopping")
        if not self._config.ready:
            return Readiness(False, "no configuration")
        return Readiness(True)

    def status(self) -> dict[str, Any]:
        """Return the content of ``/status``."""
        view = self._store.view
        return {
            "vm": self._daemon.cfg.vm,
            "config": self._config.status(),
            "revision": self._store.revision,
            "active": self._server.active,
            "draining": self._gateway.draining,
            "contracts": sorted(view.contracts),
            "backend_servers": sorted(vm for vm in view.vms if not view.is_leaving(vm)),
        }

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve requests until the shutdown is complete."""
        admin = AdminServer(
            self._daemon.events, self._daemon.metrics, self.readiness, self.status
        )
        async with AsyncExitStack() as stack:
            stack.push_async_callback(self._pool.aclose)
            nursery = await stack.enter_async_context(trio.open_nursery())
            await nursery.start(admin.serve, self._daemon.cfg.admin_listen)
            closed = trio.Event()
            await nursery.start(self._serve_requests, closed)
            for task, run in {
                "follow_configuration": self._follow_config,
                "exchange_demand": self._demand_exchange.run,
                "exchange_crashes": self._crash_exchange.run,
            }.items():
                nursery.start_soon(self._supervisor.keep_running, task, run)
            self._daemon.events.emit("entry_listening", port=self.address.port)
            task_status.started()
            await self._daemon.stopping.wait()
            await self._drain(closed)
            nursery.cancel_scope.cancel()

    async def _serve_requests(
        self,
        closed: trio.Event,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve callers; set ``closed`` when the last connection has ended."""
        listen = self._cfg.listen
        listeners = await trio.open_tcp_listeners(listen.port, host=listen.host)
        self.address = Address(listen.host, listeners[0].socket.getsockname()[1])
        await self._server.serve(listeners, task_status=task_status)
        closed.set()

    async def _follow_config(self) -> None:
        """Apply configuration changes that are not read on each request."""
        while True:
            view = self._store.view
            entries = [e.vm for e in view.entries() if not view.is_leaving(e.vm)]
            self._limiter.set_entries(entries, trio.current_time())
            if self._daemon.cfg.vm in view.stopping_vms and not self._gateway.draining:
                self._daemon.events.emit("stop_announced")
                self._daemon.stopping.set()
            await self._store.wait_change()

    async def _drain(self, closed: trio.Event) -> None:
        """Finish the active requests, then stop.

        New requests are still accepted for ``drain_grace_s``, so that the load balancer
        can see that this entry is not ready. The active requests then have
        ``drain_limit_s`` to end; those without a response by then get an error, and
        those that may take longer are no longer sent to a server.
        """
        cfg, events = self._daemon.cfg, self._daemon.events
        self._gateway.draining = True
        ends_in_s = cfg.drain_grace_s + cfg.drain_limit_s
        self._stop_window.begin(trio.current_time(), cfg.drain_grace_s, ends_in_s)
        events.emit(
            "drain_started",
            active=self._server.active,
            ends_in_ms=int(ends_in_s * 1000),
        )
        await trio.sleep(cfg.drain_grace_s)
        self._server.stop_accepting()
        self._server.drain()
        with trio.move_on_after(cfg.drain_limit_s):
            await closed.wait()
        events.emit("drain_ended", active=self._server.active)
        self._gateway.end_requests()
        with trio.move_on_after(END_TIMEOUT_S):
            await closed.wait()

    def _on_connection_failed(self, exc: Exception) -> None:
        self._supervisor.record_failure("serve_connection", exc, trio.current_time())

    def _on_error(self, exchange: Exchange, exc: Exception) -> None:
        self._daemon.metrics.count("foxtail_entry_requests_total", code="internal")
        self._daemon.events.emit("request_failed", path=exchange.path, error=repr(exc))


async def serve(
    daemon: DaemonContext,
    cfg: EntrySettings,
    placement_cfg: PlacementSettings,
    platform_cfg: PlatformSettings,
) -> None:
    """Run the entry; the main function of ``foxtail-entry``."""
    follower = ConfigFollower(
        platform_cfg,
        ConfigStore(),
        vm=daemon.cfg.vm,
        failure_domain=daemon.cfg.failure_domain,
        events=daemon.events,
        metrics=daemon.metrics,
    )
    app = EntryApp(daemon, cfg, placement_cfg, follower)
    # gRPC, which the exchange between entries uses, needs an asyncio loop.
    async with trio_asyncio.open_loop(), trio.open_nursery() as nursery:
        await nursery.start(follower.run)
        async with trio.open_nursery() as serving:
            await serving.start(app.run)
            nursery.start_soon(_log_ready, daemon, follower, app)
        nursery.cancel_scope.cancel()


async def _log_ready(
    daemon: DaemonContext, follower: ConfigFollower, app: EntryApp
) -> None:
    await follower.wait_ready()
    daemon.events.emit("process_ready", port=app.address.port)
