"""Keeps a process's copy of the configuration up to date."""

import random
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import trio

from foxtailcourse.config._backoff import Backoff
from foxtailcourse.config._model import Vm
from foxtailcourse.config._peer_sync import PeerSync, TopicHandler, record_to_message
from foxtailcourse.config._platform_source import PlatformSource
from foxtailcourse.config._platform_watch import PlatformWatch
from foxtailcourse.config._pull_queue import PullQueue
from foxtailcourse.config._records import Record
from foxtailcourse.config._settings import PlatformSettings
from foxtailcourse.config._store import ConfigStore
from foxtailcourse.config._watcher_selection import (
    choose_watchers,
    fallback_interval_s,
    follow_order,
)
from foxtailcourse.control import PeerClient, PeerError, PeerServer, asyncio_loop
from foxtailcourse.http import ConnectionPool
from foxtailcourse.observe import EventLog, Metrics
from foxtailcourse.platform import (
    KeyValueClient,
    PlatformError,
    VmListClient,
)
from foxtailcourse.protocol import ExchangeMessage, FollowEvent, Sender
from foxtailcourse.settings import Address

# Number of listed VMs to pull from at the start, besides the configured peers.
START_PEERS = 4
# Mean time limit of following a watcher that cannot reach the platform.
STALE_FOLLOW_S = 60.0


class ConfigFollower:
    """Fills a ConfigStore, keeps it up to date and serves it to peers.

    Two processes of each failure domain watch the platform; all others follow one
    of these watchers.

    Parameters
    ----------
    cfg : PlatformSettings
        Addresses, timeouts and intervals.
    store : ConfigStore
        The copy to fill.
    vm, failure_domain : str
        VM and failure domain of this process.
    events : EventLog
        Log of changes and failures.
    metrics : Metrics
        Counts changes and failed calls.
    rng : random.Random
        Source of the jitter.

    Attributes
    ----------
    pool : ConnectionPool
        HTTP connections to the platform.
    key_value : KeyValueClient
        Client of the platform's key-value service.
    source : str
        Where the latest confirmation of the configuration came from: ``platform``,
        ``watcher`` or ``peer``; ``none`` until the process is ready.
    """

    def __init__(
        self,
        cfg: PlatformSettings,
        store: ConfigStore,
        *,
        vm: str,
        failure_domain: str,
        events: EventLog,
        metrics: Metrics,
        rng: random.Random | None = None,
    ) -> None:
        self.cfg = cfg
        self.store = store
        self.vm = vm
        self.failure_domain = failure_domain
        self.pool = ConnectionPool()
        self.key_value = KeyValueClient(self.pool, cfg.key_value, cfg.call_timeout_s)
        self._events = events
        self._metrics = metrics
        self._rng = rng or random.Random()
        self._platform_source = PlatformSource(
            self.key_value,
            VmListClient(self.pool, cfg.vm_list, cfg.call_timeout_s),
            store,
            self.merge,
            events,
            self._rng,
            cfg.write_back_jitter_s,
        )
        self._peer_sync = PeerSync(store, self._sender, self._merge_from_peer, events)
        self._peer_sync.on_sender = self._record_sender
        self._pulls = PullQueue(store, self._pull_from_vm)
        self._peer_sync.on_digest_mismatch = self._pulls.request_pull
        self._server = PeerServer(self._peer_sync, cfg.heartbeat_s)
        self._ready = trio.Event()
        # Time before which a follower does not read the platform directly.
        self._next_fallback_at: float | None = None
        self._start_pulls_done = trio.Event()
        # The VM list for which ``_watching`` was computed.
        self._role_vms: dict[str, Vm] | None = None
        self._watching = False
        self._watch = PlatformWatch(
            cfg, self._platform_source, events, metrics, self._rng
        )
        self._watch.on_success = lambda: self._set_ready("platform")
        self._watch.on_failures = self._pull_from_watchers
        self.source = "none"
        store.subscribe(self._publish)

    @property
    def ready(self) -> bool:
        """Whether the store has a configuration that this process may use."""
        return self._ready.is_set()

    @property
    def control_port(self) -> int:
        """Port of the control listener, once ``run`` has started."""
        return self._server.port

    @property
    def watching(self) -> bool:
        """Whether this process watches the platform for its failure domain."""
        if self._role_vms is not self.store.view.vms:
            self._role_vms = self.store.view.vms
            watchers = choose_watchers(self._role_vms, self.failure_domain)
            self._watching = self.vm in {watcher.vm for watcher in watchers}
        return self._watching

    async def wait_ready(self) -> None:
        """Wait until :attr:`ready`."""
        await self._ready.wait()

    def status(self) -> dict[str, Any]:
        """Return the value for ``config`` in the process's ``/status``."""
        return {
            "ready": self.ready,
            "revision": self.store.revision,
            "digest": self.store.operators_digest,
            "watching": self.watching,
            "current": self._watch.current,
            "source": self.source,
            "followers": self._server.followers,
            "rejected": dict(self.store.rejected),
        }

    def add_topic(self, topic: str, handler: TopicHandler) -> None:
        """Register the handler of one topic of ``Exchange``.

        The handler gets the sender's VM and the payload, and returns this
        process's payload. It must not block. A ValueError that it raises fails
        the sender's call.
        """
        self._peer_sync.topic_handlers[topic] = handler

    async def exchange(self, vm: str, topics: dict[str, bytes]) -> dict[str, bytes]:
        """Send summaries, by topic, to the process on a VM and return its own.

        Raises PeerError if the VM is not listed or the call fails.
        """
        listed = self.store.view.vms.get(vm)
        if listed is None:
            raise PeerError(f"VM {vm} is not listed")
        message = ExchangeMessage(sender=self._sender(), topics=topics)
        reply = await self._client(listed.control).exchange(message)
        self._record_sender(reply.sender)
        return reply.topics

    def record_peer_revision(self, revision: int, vm: str) -> None:
        """Record the revision in a message of the process on a VM.

        If it is higher than this process's own, this process pulls from that VM.
        """
        if vm != self.vm:
            self._pulls.record_peer_revision(revision, vm)

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Follow the configuration and serve it to peers until cancelled.

        The task status is reported before a configuration has arrived; see
        :meth:`wait_ready`.
        """
        async with asyncio_loop(), trio.open_nursery() as nursery:
            await nursery.start(self._server.serve, self.cfg.control_listen)
            nursery.start_soon(self._start_from_peers)
            nursery.start_soon(self._run_by_role)
            nursery.start_soon(self._pulls.run)
            task_status.started()

    # Start

    async def _start_from_peers(self) -> None:
        """Pull from peers until the process is ready."""
        backoff = self._backoff()
        while not self.ready:
            senders: list[Sender] = []
            async with trio.open_nursery() as nursery:
                for address in self._start_addresses():
                    nursery.start_soon(self._pull_from_address, address, senders)
            self._start_pulls_done.set()
            if any(sender.ready for sender in senders):
                # A peer's copy may be stale, so a watcher or the platform gets
                # ``start_grace_s`` to confirm it.
                with trio.move_on_after(self.cfg.start_grace_s):
                    await self._ready.wait()
                self._set_ready("peer")
            await trio.sleep(backoff.next_delay_s())

    async def _pull_from_vm(self, vm: str) -> None:
        listed = self.store.view.vms.get(vm)
        if listed is not None and vm != self.vm:
            await self._pull_from_address(listed.control, [])

    def _start_addresses(self) -> list[Address]:
        listed = [v.control for v in self.store.view.vms.values() if v.vm != self.vm]
        sample = self._rng.sample(listed, min(START_PEERS, len(listed)))
        return list(dict.fromkeys([*self.cfg.peers, *sample]))

    async def _pull_from_address(self, address: Address, senders: list[Sender]) -> None:
        """Pull from a peer and append the sender of its reply; log a failure."""
        try:
            senders.append(await self._peer_sync.pull(self._client(address)))
        except PeerError as exc:
            self._events.emit("peer_failed", peer=address, error=exc)

    # Following

    async def _run_by_role(self) -> None:
        """Watch the platform or follow a watcher, as the VM list decides."""
        await self._start_pulls_done.wait()
        while True:
            if self.watching:
                await self._run_in_role(True, self._watch.run)
            else:
                await self._run_in_role(False, self._follow_watchers)

    async def _run_in_role(
        self, watching: bool, run: Callable[[], Awaitable[None]]
    ) -> None:
        """Run until this process becomes or ceases to be a watcher."""
        self._events.emit("config_role", watching=watching)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run)
            while self.watching is watching:
                await self.store.wait_change()
            nursery.cancel_scope.cancel()

    async def _pull_from_watchers(self) -> None:
        """Pull from a random watcher, which may still reach the platform.

        It is in this failure domain or another one.
        """
        order = follow_order(self.store.view.vms, self.vm, self.failure_domain)
        if order:
            await self._pull_from_vm(self._rng.choice(order).vm)

    async def _follow_watchers(self) -> None:
        backoff = self._backoff()
        while True:
            if await self._follow_any(current=True):
                backoff.reset()
                self._next_fallback_at = None
            else:
                await self._read_platform_directly()
                # During an outage no watcher is current, but one may have changes
                # from processes that reached the platform later.
                limit_s = STALE_FOLLOW_S * self._rng.uniform(0.5, 1.5)
                with trio.move_on_after(limit_s):
                    await self._follow_any(current=False)
            await trio.sleep(backoff.next_delay_s())

    async def _follow_any(self, *, current: bool) -> bool:
        """Follow the first watcher that works, until it fails.

        Parameters
        ----------
        current : bool
            If true, only watchers that currently reach the platform are followed.

        Returns
        -------
        bool
            Whether a watcher sent all records that this process lacked.
        """
        order = follow_order(self.store.view.vms, self.vm, self.failure_domain)
        for watcher in order:
            if await self._follow(watcher, current):
                return True
        return False

    async def _follow(self, watcher: Vm, current: bool) -> bool:
        """Follow one watcher until it fails; see :meth:`_follow_any`."""
        synced = False

        def on_event(event: FollowEvent) -> None:
            nonlocal synced
            if not event.sender.watching:
                # Two processes that follow each other would both miss all changes.
                raise PeerError(f"{watcher.vm} does not watch the platform")
            if current and not event.sender.current:
                raise PeerError(f"{watcher.vm} cannot reach the platform")
            if event.synced and event.sender.ready:
                synced = True
            if synced and event.sender.current:
                self._set_ready("watcher")

        try:
            await self._peer_sync.follow_peer(
                watcher.control,
                self.cfg.call_timeout_s,
                self.cfg.follow_idle_s,
                on_event,
            )
        except PeerError as exc:
            self._events.emit("follow_failed", peer=watcher.vm, error=exc)
            self._metrics.count("foxtail_config_failures_total", kind="follow")
        return synced

    async def _read_platform_directly(self) -> None:
        """Read the platform as a follower, unless the last such read is too recent."""
        now = trio.current_time()
        if self._next_fallback_at is None and self.store.view.vms:
            # All followers of a failed watcher get here at the same time, so the
            # first read is spread over one interval.
            self._next_fallback_at = (
                now + self._fallback_interval_s() * self._rng.random()
            )
        if self._next_fallback_at is not None and now < self._next_fallback_at:
            return
        try:
            await self._platform_source.read_vm_list()
            if not self.watching:
                await self._platform_source.scan()
                self._set_ready("platform")
        except PlatformError as exc:
            self._events.emit("platform_failed", error=exc)
            self._metrics.count("foxtail_config_failures_total", kind="platform_failed")
        wait_s = self._fallback_interval_s() * self._rng.uniform(0.5, 1.5)
        self._next_fallback_at = trio.current_time() + wait_s

    def _fallback_interval_s(self) -> float:
        return fallback_interval_s(
            len(self.store.view.vms),
            self.cfg.fallback_calls_per_s,
            self.cfg.backoff_max_s,
        )

    # Shared by both roles

    def merge(self, records: Iterable[Record]) -> list[Record]:
        """Merge records into the store, log the accepted ones and return them."""
        accepted = self.store.merge(records)
        for record in accepted:
            self._metrics.count("foxtail_config_changes_total")
            self._events.emit(
                "config_changed",
                key=record.key,
                generation=record.generation,
                revision=record.mod_revision,
            )
        return accepted

    def _merge_from_peer(self, records: Iterable[Record]) -> None:
        self._platform_source.expect_confirmation(self.merge(records))

    def _publish(self, records: list[Record]) -> None:
        messages = tuple(record_to_message(record) for record in records)
        self._server.publish(FollowEvent(sender=self._sender(), records=messages))

    def _record_sender(self, sender: Sender) -> None:
        self.record_peer_revision(sender.revision, sender.vm)

    def _sender(self) -> Sender:
        return Sender(
            vm=self.vm,
            revision=self.store.revision,
            ready=self.ready,
            watching=self.watching,
            current=self._watch.current,
            clock=str(self._events.clock.tick()),
        )

    def _client(self, address: Address) -> PeerClient:
        return PeerClient(address, self.cfg.call_timeout_s)

    def _set_ready(self, source: str) -> None:
        """Record where the configuration came from and mark it as ready."""
        self.source = source
        if not self.ready:
            self._ready.set()
            self._events.emit(
                "config_ready", source=source, revision=self.store.revision
            )

    def _backoff(self) -> Backoff:
        return Backoff(self.cfg.backoff_min_s, self.cfg.backoff_max_s, self._rng)
