"""The agent: a proxy through which all requests reach one backend server."""

import math
from collections.abc import Callable
from typing import Any

import trio

from foxtailcourse.agent._chat import ChatHandler
from foxtailcourse.agent._context import AgentContext
from foxtailcourse.agent._engine_monitor import EngineMonitor
from foxtailcourse.agent._rollout_target import AgentRolloutTarget
from foxtailcourse.agent._scheduler import Scheduler
from foxtailcourse.agent._service import ServiceHandler
from foxtailcourse.agent._settings import AgentSettings
from foxtailcourse.agent._transfer import BlockTransfer
from foxtailcourse.cache import BlockIndex, TransferCosts, TransferPolicy
from foxtailcourse.config import ConfigStore
from foxtailcourse.engine import (
    HttpEngineClient,
    HttpKvStoreClient,
    HttpServiceClient,
)
from foxtailcourse.http import Exchange, HttpLimits, HttpServer
from foxtailcourse.idempotency import KeyIssuer, OutcomeLimits, OutcomeTable
from foxtailcourse.observe import EventLog, Metrics
from foxtailcourse.platform import KeyValueStore
from foxtailcourse.process import Readiness
from foxtailcourse.protocol import headers
from foxtailcourse.rollout import LoadSlots, RolloutDriver, RolloutSettings
from foxtailcourse.sharing import FairQueue, QueueLimits, ServiceRates

MAX_SERVICE_BODY_BYTES = 8 * 1024 * 1024
# The 256 prefix keys of a request take 5.5 KB of its header section.
MAX_HEADER_BYTES = 64 * 1024


class Agent:
    """The agent of one backend server, with its HTTP server.

    Parameters
    ----------
    vm : str
        Name of the VM.
    cfg : AgentSettings
        Settings.
    events, metrics : EventLog, Metrics
        Event log and metrics of the agent.
    store : ConfigStore
        Local copy of the configuration, which a follower keeps up to date.
    configured : callable or None
        Returns whether the copy contains a configuration; None if it always does.

    Attributes
    ----------
    port : int
        Port that the HTTP server listens on; 0 before ``run`` has started.
    """

    def __init__(
        self,
        vm: str,
        cfg: AgentSettings,
        events: EventLog,
        metrics: Metrics,
        store: ConfigStore,
        configured: Callable[[], bool] | None = None,
    ) -> None:
        queue = _make_queue(cfg)
        self.context = AgentContext(
            vm=vm,
            cfg=cfg,
            events=events,
            metrics=metrics,
            store=store,
            configured=configured or (lambda: True),
            index=BlockIndex(cfg.index_blocks, cfg.index_stale_s),
            scheduler=Scheduler(queue, trio.current_time, queue.first_token),
        )
        self.engine_monitor: EngineMonitor | None = None
        if cfg.kind == "engine":
            engine = HttpEngineClient(cfg.backend, cfg.token_timeout_s)
            self.engine_monitor = EngineMonitor(self.context, engine)
            self.engine = engine
            self._chat = ChatHandler(self.context, engine, self._make_transfer(engine))
        else:
            service = HttpServiceClient(cfg.backend, MAX_SERVICE_BODY_BYTES)
            issuer = KeyIssuer(vm, cfg.key_lifetime_s, cfg.max_keys)
            table = OutcomeTable(
                OutcomeLimits(max_stored_bytes=cfg.kept_response_bytes)
            )
            self._service = ServiceHandler(self.context, service, issuer, table)
        limits = HttpLimits(
            max_connections=cfg.max_connections, max_header_bytes=MAX_HEADER_BYTES
        )
        self.server = HttpServer(self._handle, limits, self._on_error)
        self._closed = trio.Event()
        self.port = 0

    def _make_transfer(self, engine: HttpEngineClient) -> BlockTransfer | None:
        cfg = self.context.cfg
        if not cfg.kv_store:
            return None
        costs = TransferCosts(
            recompute_s_per_block=cfg.block_tokens * cfg.prefill_s_per_token,
            import_s_per_block=cfg.import_s_per_block,
            call_overhead_s=cfg.import_call_s,
        )
        store = HttpKvStoreClient(cfg.kv_store[0])
        return BlockTransfer(self.context, engine, store, TransferPolicy(costs))

    def make_rollout(
        self, cfg: RolloutSettings, store: KeyValueStore
    ) -> RolloutDriver | None:
        """Return the rollout driver of the engine; None for a plain service."""
        if self.engine_monitor is None:
            return None
        slots = LoadSlots(
            store,
            vm=self.context.vm,
            clock=trio.current_time,
            prefix=cfg.slots_prefix,
            slots=cfg.slots,
            ttl_s=cfg.lease_s,
        )
        target = AgentRolloutTarget(self.context, self.engine_monitor)
        events = self.context.events
        return RolloutDriver(cfg, self.engine, slots, target, events, trio.current_time)

    async def run(
        self, *, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; report the bound port as the task status."""
        async with trio.open_nursery() as nursery:
            self.context.nursery = nursery
            if self.engine_monitor is not None:
                # Before the listener, where requests would wait for a silent engine.
                await self.engine_monitor.start()
                nursery.start_soon(self.engine_monitor.run)
            listen = self.context.cfg.listen
            listeners = await trio.open_tcp_listeners(listen.port, host=listen.host)
            self.port = listeners[0].socket.getsockname()[1]
            await nursery.start(self._serve, listeners)
            task_status.started(self.port)

    async def _serve(
        self,
        listeners: list[trio.SocketListener],
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        await self.server.serve(listeners, task_status=task_status)
        self._closed.set()

    def stop(self) -> None:
        """Begin a planned stop: accept no new requests."""
        self.context.stopping = True

    async def close(self) -> None:
        """Accept no more connections, and wait until the last one has ended.

        Idle connections end at once. A request that has begun to arrive is answered.
        """
        self.server.stop_accepting()
        self.server.drain()
        await self._closed.wait()

    def active(self) -> int:
        """Return the number of requests and background tasks in progress."""
        return self.server.active + self.context.background_tasks

    def readiness(self) -> Readiness:
        """Return whether the agent is ready for requests."""
        if self.context.leaving:
            return Readiness(False, "leaving")
        if not self.context.configured():
            return Readiness(False, "no configuration is held")
        if self.context.loading:
            return Readiness(False, "loading weights")
        if self.engine_monitor is not None and not self.engine_monitor.reachable:
            return Readiness(False, "engine is unreachable")
        return Readiness(True)

    def status(self) -> dict[str, Any]:
        """Return the status that the admin server shows."""
        context = self.context
        queue = context.scheduler.queue
        return {
            "vm": context.vm,
            "serves": context.cfg.serves,
            "port": self.port,
            "leaving": context.leaving,
            "loading": context.loading,
            "engine_incarnation": context.index.incarnation,
            "weights_version": context.weights_version,
            "indexed_blocks": len(context.index),
            "running": queue.running,
            "waiting": queue.waiting,
            "active": self.active(),
            "config_revision": context.store.revision,
        }

    def _on_error(self, exchange: Exchange, exc: Exception) -> None:
        self.context.events.emit("handler_error", path=exchange.path, error=repr(exc))

    async def _handle(self, exchange: Exchange) -> None:
        kind = self.context.cfg.kind
        request_line = f"{exchange.method} {exchange.path}"
        if request_line == "POST /v1/chat/completions" and kind == "engine":
            await self._chat.handle(exchange)
        elif request_line == "POST /v1/idempotency-keys" and kind == "service":
            await self._service.issue_key(exchange)
        elif exchange.path.startswith("/services/") and kind == "service":
            await self._service.handle(exchange)
        else:
            attempt_id = exchange.headers.get(headers.ATTEMPT_ID, "")
            message = f"unknown path: {request_line}"
            raise self.context.refusal(attempt_id, 404, "unknown_path", message)


def _make_queue(cfg: AgentSettings) -> FairQueue:
    # Reserved slots must leave long requests their guaranteed part of the slots.
    long_slots = max(1, math.ceil(cfg.long_floor * cfg.slots))
    limits = QueueLimits(
        slots=cfg.slots,
        reserved_short_slots=min(cfg.reserved_short_slots, cfg.slots - long_slots),
        adapt_long_slots=cfg.adapt_long_slots,
        long_floor=cfg.long_floor,
        max_waiting=cfg.queue_limit,
    )
    if cfg.kind == "service":
        # A call has no tokens, so its predicted time is a constant.
        return FairQueue(limits, ServiceRates(request_s=cfg.service_call_s))
    rates = ServiceRates(
        prefill_tokens_per_s=1.0 / cfg.prefill_s_per_token,
        decode_tokens_per_s=1.0 / cfg.decode_s_per_token,
    )
    return FairQueue(limits, rates)
