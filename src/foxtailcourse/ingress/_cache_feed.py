"""Maintains the cache indexes from the cache events of backend servers."""

import hashlib
from collections.abc import Awaitable, Callable

import attrs
import trio

from foxtailcourse.fleet import FleetView
from foxtailcourse.ingress._cache_index import CacheIndex
from foxtailcourse.ingress._clock import boot_seconds
from foxtailcourse.ingress._peer_messages import CacheUpdate
from foxtailcourse.ingress._peers import PeerDirectory
from foxtailcourse.ingress._relays import RelayPlan, weighted_rank
from foxtailcourse.observe import EventLog
from foxtailcourse.platform import (
    CacheEvents,
    ServerCallError,
    ServerClient,
    SubscribersExceededError,
)
from foxtailcourse.process import TaskSupervisor
from foxtailcourse.settings import Address

POLL_WAIT_S = 0.9
# Shortest time between two polls, so that the events of a busy cache arrive in batches.
# Events are up to about this old when they arrive.
POLL_SPACING_S = 0.1
RETRY_PAUSE_S = 0.5
SUBSCRIBERS_EXCEEDED_PAUSE_S = 5.0
SOURCE_CHECK_PERIOD_S = 0.3
# Number of entries that subscribe to the events of one cache, well within the number of
# concurrent calls that it accepts, and number of those that publish the events to the
# other entries. There are two publishers because one may fail.
MAX_SUBSCRIBERS = 6
MAX_PUBLISHERS = 2
# In a fleet with relays, each cache has one subscriber and events arrive in larger
# batches. If the subscriber fails, the next one reads the stored events and publishes
# them again.
RELAYED_POLL_SPACING_S = 0.3
# Parts below this size are not relayed: to prefill them costs less than the messages.
MIN_RELAYED_TOKENS = 256
# A subscriber publishes at least so often, so that other entries know that the events
# of the cache are reachable.
PUBLISH_PERIOD_S = 2.0
# Takes the name and epoch of a cache, rows of a CacheUpdate and the receiving entries.
Publish = Callable[[str, int, list[tuple[str, str, int]], set[str]], Awaitable[None]]


@attrs.frozen
class CacheSource:
    """A cache with events: that of one run of a backend server, or a KV-cache store.

    Parameters
    ----------
    name : str
        Identifier of the server, or address of the store.
    started_ms : int
        Wall-clock time of the server's start in milliseconds, which tells its runs
        apart; 0 for a store.
    address : Address
        Where the events are polled.
    service : str
        Service of the server or store.
    """

    name: str
    started_ms: int
    address: Address
    service: str


@attrs.frozen
class FeedAssignment:
    """Which entries subscribe to the events of one cache and which receive them.

    Parameters
    ----------
    subscribers : tuple of str
        Entries that poll the events; the first MAX_PUBLISHERS also publish them.
    receivers : set of str
        Entries that receive the published events.
    """

    subscribers: tuple[str, ...]
    receivers: set[str]

    def subscribes(self, vm: str) -> bool:
        """Whether an entry polls the events itself."""
        return vm in self.subscribers

    def publishes(self, vm: str) -> bool:
        """Whether an entry publishes the events to the others."""
        return vm in self.subscribers[:MAX_PUBLISHERS]


def assign_subscribers(
    source: str, entries: set[str], max_subscribers: int = MAX_SUBSCRIBERS
) -> FeedAssignment:
    """Return which entries subscribe to the events of a cache and which receive them.

    Rendezvous hashing gives the same result on all entries without communication.

    Parameters
    ----------
    source : str
        Name of the cache.
    entries : set of str
        All entries.
    max_subscribers : int
        Largest number of subscribers.
    """

    def rank(vm: str) -> bytes:
        return hashlib.blake2b(f"{source}/{vm}".encode(), digest_size=8).digest()

    ranked = sorted(entries, key=rank)
    return FeedAssignment(
        tuple(ranked[:max_subscribers]), set(ranked[max_subscribers:])
    )


def assign_relayed_subscriber(source: str, peers: PeerDirectory) -> FeedAssignment:
    """Return the entry that subscribes to a cache in a fleet with relays.

    The entries subscribe to caches in proportion to their capacity.
    """

    def rank(vm: str) -> float:
        peer = peers.get(vm)
        return weighted_rank(source, vm, peer.capacity_cores if peer else 0.0)

    return FeedAssignment(tuple(sorted(peers, key=rank)[:1]), set())


class CacheFeed:
    """Keeps the cache index of each model server and KV-cache store up to date.

    Parameters
    ----------
    view : FleetView
        Last known state of the fleet.
    indexes : dict of str to CacheIndex
        Cache indexes by identifier of the backend server or address of the store.
    client : ServerClient
        Makes the calls.
    publish : coroutine function
        Sends events of a cache to other entries; see ``PeerExchange.publish_cache``.
    plan : RelayPlan
        Whether events go through relays.
    vm : str
        Name of this VM.
    events : EventLog
        Receives an event when the feed of a cache is lost or restored.
    supervisor : TaskSupervisor
        Runs the task of each cache.
    """

    def __init__(
        self,
        view: FleetView,
        indexes: dict[str, CacheIndex],
        client: ServerClient,
        publish: Publish,
        plan: RelayPlan,
        vm: str,
        events: EventLog,
        supervisor: TaskSupervisor,
    ) -> None:
        self._view = view
        self._indexes = indexes
        self._client = client
        self._publish = publish
        self._plan = plan
        self._vm = vm
        self._events = events
        self._supervisor = supervisor
        # Sources whose index a task maintains, and sources that still exist.
        self._active_sources: set[CacheSource] = set()
        self._current_sources: set[CacheSource] = set()
        # By source: version of the peers and number of subscribers that the assignment
        # is based on.
        self._assignments: dict[str, tuple[int, int, FeedAssignment]] = {}
        # When the events of a source were last published by this entry.
        self._published_at: dict[str, float] = {}

    async def run(self) -> None:
        """Maintain the indexes of all caches until cancelled."""
        # A call that failed has ended the tasks of all sources.
        self._active_sources.clear()
        async with trio.open_nursery() as nursery:
            while True:
                self._current_sources = self._sources()
                for source in self._current_sources - self._active_sources:
                    self._active_sources.add(source)
                    nursery.start_soon(
                        self._supervisor.keep_running,
                        "maintain_cache_index",
                        self._maintain_index,
                        source,
                    )
                await trio.sleep(SOURCE_CHECK_PERIOD_S)

    def _sources(self) -> set[CacheSource]:
        """Return the caches of all model servers and KV-cache stores."""
        sources = {
            CacheSource(server.id, server.started_ms, server.address, server.service)
            for server in self._view.servers.values()
            if server.weights
        }
        configuration = self._view.configuration
        for service in configuration.services.values() if configuration else ():
            if service.cache_store is not None:
                store = service.cache_store
                sources.add(CacheSource(str(store), 0, store, service.name))
        return sources

    async def _maintain_index(self, source: CacheSource) -> None:
        """Maintain the index of one cache by polling or from published events."""
        index = CacheIndex()
        self._indexes[source.name] = index
        while source in self._current_sources:
            if self._assign(source).subscribes(self._vm):
                await self._poll(source, index)
            elif index.epoch is None and self._plan.is_mesh:
                # Other entries publish only changes, so the initial state is polled.
                await self._poll(source, index)
            else:
                await trio.sleep(RETRY_PAUSE_S)
        self._active_sources.discard(source)
        self._assignments.pop(source.name, None)
        self._published_at.pop(source.name, None)
        if self._indexes.get(source.name) is index:
            del self._indexes[source.name]

    async def _poll(self, source: CacheSource, index: CacheIndex) -> None:
        """Poll the events of a cache once, then apply and possibly publish them."""
        try:
            batch = await self._client.cache_events(
                source.address, index.position, POLL_WAIT_S
            )
        except SubscribersExceededError:
            await trio.sleep(SUBSCRIBERS_EXCEEDED_PAUSE_S)
        except ServerCallError as exc:
            if not index.feed_lost:
                index.feed_lost = True
                self._events.emit("cache_feed_lost", source=source.name, error=exc)
            # The contents of the cache are unknown while its events are unreachable.
            index.clear()
            await trio.sleep(RETRY_PAUSE_S)
        else:
            if index.feed_lost:
                index.feed_lost = False
                self._events.emit("cache_feed_regained", source=source.name)
            rows = self._rows_to_publish(batch, index)
            index.apply(batch)
            await self._publish_rows(source, batch.epoch, rows)
            is_mesh = self._plan.is_mesh
            await trio.sleep(POLL_SPACING_S if is_mesh else RELAYED_POLL_SPACING_S)

    def _rows_to_publish(
        self, batch: CacheEvents, index: CacheIndex
    ) -> list[tuple[str, str, int]]:
        """Return salt, part and cached tokens of the events for the other entries."""
        rows = [(each.salt, each.part, each.tokens) for each in batch.events]
        if self._plan.is_mesh:
            return rows
        return [
            (salt, part, tokens)
            for salt, part, tokens in rows
            if max(tokens, index.cached_tokens(salt, part)) >= MIN_RELAYED_TOKENS
        ]

    async def _publish_rows(
        self, source: CacheSource, epoch: int, rows: list[tuple[str, str, int]]
    ) -> None:
        assignment = self._assign(source)
        if not assignment.publishes(self._vm):
            return
        now = boot_seconds()
        published_at = self._published_at.get(source.name, float("-inf"))
        if rows or now - published_at >= PUBLISH_PERIOD_S:
            self._published_at[source.name] = now
            await self._publish(source.name, epoch, rows, assignment.receivers)

    def snapshot(self) -> list[CacheUpdate]:
        """Return the known contents of all caches, without small parts."""
        return [
            CacheUpdate(name, index.epoch, index.large_rows(MIN_RELAYED_TOKENS))
            for name, index in self._indexes.items()
            if index.epoch is not None
        ]

    def apply_published(self, update: CacheUpdate) -> None:
        """Apply cache events that another entry published."""
        index = self._indexes.get(update.source)
        if index is None:
            return
        for source in self._active_sources:
            if source.name == update.source and self._assign(source).subscribes(
                self._vm
            ):
                # This entry polls the cache itself, which gives complete events.
                return
        index.apply_published(update.epoch, update.rows)

    def _assign(self, source: CacheSource) -> FeedAssignment:
        """Return the present assignment of a cache, within its limit of subscribers."""
        configuration = self._view.configuration
        limit = configuration.event_subscribers(source.service) if configuration else 0
        max_subscribers = min(MAX_SUBSCRIBERS, limit) if limit else MAX_SUBSCRIBERS
        peers = self._plan.peers
        # Cached, since this is called for each published update and the result only
        # changes with the entries and the limit.
        cached = self._assignments.get(source.name)
        if cached is None or cached[:2] != (peers.version, max_subscribers):
            if self._plan.is_mesh:
                entries = set(peers) | {self._vm}
                assignment = assign_subscribers(source.name, entries, max_subscribers)
            else:
                assignment = assign_relayed_subscriber(source.name, peers)
            cached = (peers.version, max_subscribers, assignment)
            self._assignments[source.name] = cached
        return cached[2]
