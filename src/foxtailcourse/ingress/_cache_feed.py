"""Follows the cache events of backend servers."""

import attrs
import trio

from foxtailcourse.fleet import FleetView
from foxtailcourse.ingress._cache_index import HeldParts
from foxtailcourse.observe import EventLog
from foxtailcourse.platform import (
    ServerCallError,
    ServerClient,
    SubscribersExceededError,
)
from foxtailcourse.settings import Address

EVENTS_WAIT_S = 0.9
PAUSE_S = 0.5
FULL_PAUSE_S = 5.0
TICK_S = 0.3


@attrs.frozen
class CacheSource:
    """One start of a backend server, or the KV-cache store."""

    name: str
    started_ms: int
    address: Address


class CacheFeed:
    """Keeps the cache index of each model server up to date.

    Parameters
    ----------
    view : FleetView
        The fleet.
    held : dict of str to HeldParts
        The index, by backend server, and by address for the KV-cache store.
    client : ServerClient
        Makes the calls.
    """

    def __init__(
        self,
        view: FleetView,
        held: dict[str, HeldParts],
        client: ServerClient,
        events: EventLog,
    ) -> None:
        self._view = view
        self._held = held
        self._client = client
        self._events = events
        self._followed: set[CacheSource] = set()

    async def run(self) -> None:
        """Follow all model servers and the KV-cache store until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for source in self._sources():
                    if source not in self._followed:
                        self._followed.add(source)
                        nursery.start_soon(self._follow, source)
                await trio.sleep(TICK_S)

    def _sources(self) -> set[CacheSource]:
        sources = {
            CacheSource(server.id, server.started_ms, server.address)
            for server in self._view.servers.values()
            if server.weights
        }
        configuration = self._view.configuration
        store = configuration.cache_store() if configuration else None
        if store is not None:
            sources.add(CacheSource(str(store), 0, store))
        return sources

    async def _follow(self, source: CacheSource) -> None:
        held = HeldParts()
        self._held[source.name] = held
        while source in self._sources():
            try:
                held.apply(
                    await self._client.cache_events(
                        source.address, held.position, EVENTS_WAIT_S
                    )
                )
            except SubscribersExceededError:
                await trio.sleep(FULL_PAUSE_S)
            except ServerCallError as exc:
                if held.reachable:
                    self._events.emit("cache_feed_lost", source=source.name, error=exc)
                # Nothing is known of the cache while its events are out of reach.
                held.clear()
                await trio.sleep(PAUSE_S)
        self._followed.discard(source)
        if self._held.get(source.name) is held:
            del self._held[source.name]
