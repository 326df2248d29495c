"""The entry process: listeners, configuration and planned stop."""

from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import Any

import trio

from foxtailcourse.config import ConfigFollower, ConfigStore, PlatformSettings
from foxtailcourse.entry._attempts import Dispatcher
from foxtailcourse.entry._claims import Claims
from foxtailcourse.entry._gateway import Gateway
from foxtailcourse.entry._once import OnceCaller
from foxtailcourse.entry._relay import Relay
from foxtailcourse.entry._settings import EntrySettings
from foxtailcourse.http import ConnectionPool, Exchange, HttpServer
from foxtailcourse.platform import KeyValueStore
from foxtailcourse.process import AdminServer, Daemon, Readiness
from foxtailcourse.routing import PlacementSettings, PrefixPlacement
from foxtailcourse.settings import Address
from foxtailcourse.sharing import AccountLimiter


class EntryApp:
    """The parts of one entry.

    Parameters
    ----------
    daemon : Daemon
        Settings, log, metrics and stop signal of the process.
    cfg : EntrySettings
        Settings of the entry.
    placement_cfg : PlacementSettings
        Settings of the placement policy.
    store : ConfigStore
        The configuration, filled by a follower.
    key_value : KeyValueStore
        Holds the claims of callers' own idempotency keys.
    saw_revision : callable
        Told of a configuration revision above ours and the VM that has it.
    """

    def __init__(
        self,
        daemon: Daemon,
        cfg: EntrySettings,
        placement_cfg: PlacementSettings,
        store: ConfigStore,
        key_value: KeyValueStore,
        saw_revision: Callable[[int, str], None],
    ) -> None:
        self._daemon = daemon
        self._cfg = cfg
        self._store = store
        self.address = cfg.listen
        self._pool = ConnectionPool()
        self._limiter = AccountLimiter(daemon.cfg.vm)
        dispatcher = Dispatcher(
            cfg,
            store,
            PrefixPlacement(placement_cfg),
            self._pool,
            daemon.events,
            daemon.metrics,
            saw_revision,
        )
        relay = Relay(dispatcher)
        self._gateway = Gateway(
            cfg,
            placement_cfg.block_tokens,
            store,
            relay,
            OnceCaller(dispatcher, relay, Claims(key_value)),
            self._limiter,
            daemon.events,
            daemon.metrics,
        )
        self._server = HttpServer(
            self._gateway.handle, cfg.http_limits(), self._on_error
        )

    def readiness(self) -> Readiness:
        """Whether the load balancer should send requests here."""
        if self._gateway.draining:
            return Readiness(False, "stopping")
        if not self._store.view.contracts:
            return Readiness(False, "no configuration")
        return Readiness(True)

    def status(self) -> dict[str, Any]:
        """Return what ``/status`` shows."""
        view = self._store.view
        return {
            "vm": self._daemon.cfg.vm,
            "revision": self._store.revision,
            "active": self._server.active,
            "draining": self._gateway.draining,
            "contracts": sorted(view.contracts),
            "backend_servers": sorted(
                each for each in view.vms if not view.is_leaving(each)
            ),
        }

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until a planned stop has ended."""
        async with AsyncExitStack() as stack:
            stack.push_async_callback(self._pool.aclose)
            admin = AdminServer(
                self._daemon.events,
                self._daemon.metrics,
                self.readiness,
                self.status,
            )
            listen = self._cfg.listen
            listeners = await trio.open_tcp_listeners(listen.port, host=listen.host)
            for listener in listeners:
                stack.push_async_exit(listener)
            nursery = await stack.enter_async_context(trio.open_nursery())
            await nursery.start(admin.serve, self._daemon.cfg.admin_listen)
            await nursery.start(self._server.serve, listeners)
            port = listeners[0].socket.getsockname()[1]
            self.address = Address(listen.host, port)
            self._daemon.events.emit("entry_started", listen=self.address)
            task_status.started()
            await self._daemon.stopping.wait()
            self._gateway.draining = True
            await self._daemon.drain(lambda: self._server.active)
            self._server.drain()
            nursery.cancel_scope.cancel()

    def _on_error(self, exchange: Exchange, exc: Exception) -> None:
        self._daemon.metrics.count("foxtail_entry_requests_total", code="internal")
        self._daemon.events.emit("request_failed", path=exchange.path, error=repr(exc))


async def serve(
    daemon: Daemon,
    cfg: EntrySettings,
    placement_cfg: PlacementSettings,
    platform_cfg: PlatformSettings,
) -> None:
    """Run the entry; the main function of the daemon."""
    store = ConfigStore()
    follower = ConfigFollower(
        platform_cfg,
        store,
        vm=daemon.cfg.vm,
        failure_domain=daemon.cfg.failure_domain,
        events=daemon.events,
        metrics=daemon.metrics,
    )
    app = EntryApp(
        daemon, cfg, placement_cfg, store, follower.key_value, follower.saw_revision
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(follower.run)
        await app.run()
        nursery.cancel_scope.cancel()
