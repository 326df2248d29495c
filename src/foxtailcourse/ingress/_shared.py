"""Keys that the entries share in the platform's store.

``ingress/entries/<vm>`` holds the address where an entry takes datagrams,
``ingress/orders`` names the one that gives orders to backend servers,
``ingress/loading/<server>`` says that a server is
about to load weights, ``ingress/loaded/<server>`` that it has, some time before it
registers them. All are bound to a lease of their writer.
"""

import msgspec
import trio

from foxtailcourse.fleet import FleetView
from foxtailcourse.observe import EventLog

SHARED_PREFIX = "ingress/"
ENTRIES_PREFIX = "ingress/entries/"
LOADING_PREFIX = "ingress/loading/"
LOADED_PREFIX = "ingress/loaded/"
ORDERS_KEY = "ingress/orders"


class LoadedWeights(msgspec.Struct):
    """Weights that a start of a backend server has reported."""

    started_ms: int
    model: str
    version: int


class SharedKeys:
    """Follows the shared keys.

    Parameters
    ----------
    view : FleetView
        Told of entries, loading servers and loaded weights.
    events : EventLog
        Told of values that cannot be read.
    """

    def __init__(self, view: FleetView, events: EventLog) -> None:
        self._view = view
        self._events = events
        self.peers: dict[str, str] = {}
        self.orders_holder = ""
        self._vacated = trio.Event()

    def take(self, key: str, value: bytes | None, revision: int) -> None:
        """Note one change."""
        if key == ORDERS_KEY:
            self.orders_holder = value.decode("utf-8", "replace") if value else ""
            if value is None:
                self._vacated.set()
                self._vacated = trio.Event()
        elif key.startswith(ENTRIES_PREFIX):
            vm = key.removeprefix(ENTRIES_PREFIX)
            _note(self._view.entries, vm, value)
            if value is None:
                self.peers.pop(vm, None)
            else:
                self.peers[vm] = value.decode("utf-8", "replace")
        elif key.startswith(LOADING_PREFIX):
            _note(self._view.loading, key.removeprefix(LOADING_PREFIX), value)
        elif key.startswith(LOADED_PREFIX) and value is not None:
            self._take_loaded(key.removeprefix(LOADED_PREFIX), value)

    async def wait_vacant(self, is_holder: bool) -> None:
        """Wait until nobody gives orders; a holder has no reason to wait for that."""
        if is_holder:
            await trio.sleep_forever()
        await self._vacated.wait()

    def _take_loaded(self, server_id: str, value: bytes) -> None:
        try:
            loaded = msgspec.json.decode(value, type=LoadedWeights)
        except msgspec.DecodeError as exc:
            self._events.emit("record_unreadable", reason=exc)
            return
        self._view.note_loaded(
            server_id, loaded.started_ms, loaded.model, loaded.version
        )


def _note(names: set[str], name: str, value: bytes | None) -> None:
    if value is None:
        names.discard(name)
    else:
        names.add(name)
