"""Follows the cache events of backend servers."""

import trio

from foxtailcourse.fleet import BackendServer, FleetView
from foxtailcourse.ingress._cache_index import HeldParts
from foxtailcourse.observe import EventLog
from foxtailcourse.platform import (
    ServerCallError,
    ServerClient,
    SubscribersExceededError,
)

EVENTS_WAIT_S = 0.9
PAUSE_S = 0.5
FULL_PAUSE_S = 5.0
TICK_S = 0.3


class CacheFeed:
    """Keeps the cache index of each model server up to date.

    Parameters
    ----------
    view : FleetView
        The fleet.
    held : dict of str to HeldParts
        The index, by backend server.
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
        self._followed: set[tuple[str, int]] = set()

    async def run(self) -> None:
        """Follow all model servers until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for server in list(self._view.servers.values()):
                    key = (server.id, server.started_ms)
                    if server.weights and key not in self._followed:
                        self._followed.add(key)
                        nursery.start_soon(self._follow, server)
                await trio.sleep(TICK_S)

    def _registered(self, server: BackendServer) -> bool:
        known = self._view.servers.get(server.id)
        return known is not None and known.started_ms == server.started_ms

    async def _follow(self, server: BackendServer) -> None:
        held = HeldParts()
        self._held[server.id] = held
        while self._registered(server):
            try:
                held.apply(
                    await self._client.cache_events(
                        server.address, held.position, EVENTS_WAIT_S
                    )
                )
            except SubscribersExceededError:
                await trio.sleep(FULL_PAUSE_S)
            except ServerCallError:
                # Nothing is known of the cache while its events are out of reach.
                held.clear()
                await trio.sleep(PAUSE_S)
        self._followed.discard((server.id, server.started_ms))
        if self._held.get(server.id) is held:
            del self._held[server.id]
