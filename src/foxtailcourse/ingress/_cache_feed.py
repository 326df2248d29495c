"""Follows the cache events of backend servers."""

import hashlib
from collections.abc import Awaitable, Callable

import attrs
import trio

from foxtailcourse.fleet import FleetView
from foxtailcourse.ingress._cache_index import CacheIndex
from foxtailcourse.ingress._messages import Cache
from foxtailcourse.observe import EventLog
from foxtailcourse.platform import (
    ServerCallError,
    ServerClient,
    SubscribersExceededError,
)
from foxtailcourse.settings import Address

EVENTS_WAIT_S = 0.9
# Shortest time between two calls, so that a busy cache's events come in batches; they
# are about as old when they arrive.
SPACING_S = 0.1
PAUSE_S = 0.5
FULL_PAUSE_S = 5.0
TICK_S = 0.3
# Entries that read the events of one cache, well within the concurrent calls that it
# holds, and those among them that publish to the rest; two, as either may fail.
READERS = 6
PUBLISHERS = 2
Publish = Callable[[str, int, list[tuple[str, str, int]], set[str]], Awaitable[None]]


@attrs.frozen
class CacheSource:
    """One start of a backend server, or the KV-cache store."""

    name: str
    started_ms: int
    address: Address
    service: str


@attrs.frozen
class Followers:
    """Entries that read the events of one cache.

    Parameters
    ----------
    reading : tuple of str
        Entries that read them; the first ones publish them.
    others : set of str
        Entries that receive what is published.
    """

    reading: tuple[str, ...]
    others: set[str]

    def follows(self, vm: str) -> bool:
        """Whether an entry reads the events itself."""
        return vm in self.reading

    def publishes(self, vm: str) -> bool:
        """Whether an entry passes the events on."""
        return vm in self.reading[:PUBLISHERS]


def choose_followers(
    source: str, entries: set[str], readers: int = READERS
) -> Followers:
    """Return who reads the events of a cache; all entries agree without a message.

    Parameters
    ----------
    source : str
        The cache.
    entries : set of str
        All entries.
    readers : int
        Most entries that may read them.
    """

    def weight(vm: str) -> bytes:
        return hashlib.blake2b(f"{source}/{vm}".encode(), digest_size=8).digest()

    ranked = sorted(entries, key=weight)
    return Followers(tuple(ranked[:readers]), set(ranked[readers:]))


class CacheFeed:
    """Keeps the cache index of each model server up to date.

    Parameters
    ----------
    view : FleetView
        The fleet.
    held : dict of str to CacheIndex
        The index, by backend server, and by address for the KV-cache store.
    client : ServerClient
        Makes the calls.
    publish : coroutine function
        Sends events of a cache to other entries.
    vm : str
        Name of this VM.
    """

    def __init__(
        self,
        view: FleetView,
        held: dict[str, CacheIndex],
        client: ServerClient,
        publish: Publish,
        vm: str,
        events: EventLog,
    ) -> None:
        self._view = view
        self._held = held
        self._client = client
        self._publish = publish
        self._vm = vm
        self._events = events
        self._followed: set[CacheSource] = set()
        self._wanted: set[CacheSource] = set()
        self._chosen: dict[str, tuple[set[str], int, Followers]] = {}

    async def run(self) -> None:
        """Follow all model servers and the KV-cache stores until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self._wanted = self._sources()
                for source in self._wanted - self._followed:
                    self._followed.add(source)
                    nursery.start_soon(self._follow, source)
                await trio.sleep(TICK_S)

    def _sources(self) -> set[CacheSource]:
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

    async def _follow(self, source: CacheSource) -> None:
        """Keep the index of one cache, by its events or by what others publish."""
        held = CacheIndex()
        self._held[source.name] = held
        while source in self._wanted:
            if self._followers(source).follows(self._vm):
                await self._read(source, held)
            elif held.epoch is None:
                # Others publish changes only, so the initial state is read once.
                await self._read(source, held)
            else:
                await trio.sleep(PAUSE_S)
        self._followed.discard(source)
        self._chosen.pop(source.name, None)
        if self._held.get(source.name) is held:
            del self._held[source.name]

    async def _read(self, source: CacheSource, held: CacheIndex) -> None:
        try:
            batch = await self._client.cache_events(
                source.address, held.position, EVENTS_WAIT_S
            )
        except SubscribersExceededError:
            await trio.sleep(FULL_PAUSE_S)
        except ServerCallError as exc:
            if not held.lost:
                held.lost = True
                self._events.emit("cache_feed_lost", source=source.name, error=exc)
            # Nothing is known of the cache while its events are out of reach.
            held.clear()
            await trio.sleep(PAUSE_S)
        else:
            if held.lost:
                held.lost = False
                self._events.emit("cache_feed_regained", source=source.name)
            held.apply(batch)
            followers = self._followers(source)
            if followers.publishes(self._vm) and batch.events:
                rows = [(each.salt, each.part, each.tokens) for each in batch.events]
                await self._publish(source.name, batch.epoch, rows, followers.others)
            await trio.sleep(SPACING_S)

    def take_published(self, update: Cache) -> None:
        """Take events that another entry follows for this one."""
        held = self._held.get(update.source)
        if held is None:
            return
        for source in self._followed:
            if source.name == update.source and self._followers(source).follows(
                self._vm
            ):
                # What it reads itself is complete.
                return
        held.apply_published(update.epoch, update.rows)

    def _followers(self, source: CacheSource) -> Followers:
        configuration = self._view.configuration
        known = configuration.event_subscribers(source.service) if configuration else 0
        readers = min(READERS, known) if known else READERS
        entries = self._view.entries | {self._vm}
        # Each published event asks, and the answer changes with the entries only.
        chosen = self._chosen.get(source.name)
        if chosen is None or chosen[:2] != (entries, readers):
            found = choose_followers(source.name, entries, readers)
            chosen = self._chosen[source.name] = (entries, readers, found)
        return chosen[2]
