"""Keys that the entries share in the platform's store.

``ingress/entries/<vm>`` holds the address where an entry takes datagrams,
``ingress/orders`` names the one that gives orders to backend servers,
``ingress/loading/<server>`` says that a server is
about to load weights. All are bound to a lease of their writer.
"""

from foxtailcourse.fleet import FleetView

SHARED_PREFIX = "ingress/"
ENTRIES_PREFIX = "ingress/entries/"
LOADING_PREFIX = "ingress/loading/"
ORDERS_KEY = "ingress/orders"


class SharedKeys:
    """Follows the shared keys.

    Parameters
    ----------
    view : FleetView
        Told of entries and loading servers.
    """

    def __init__(self, view: FleetView) -> None:
        self._view = view
        self.peers: dict[str, str] = {}
        self.orders_holder = ""
        self.orders_revision = 0

    def take(self, key: str, value: bytes | None, revision: int) -> None:
        """Note one change."""
        if key == ORDERS_KEY:
            self.orders_holder = value.decode("utf-8", "replace") if value else ""
            self.orders_revision = revision if value is not None else 0
        elif key.startswith(ENTRIES_PREFIX):
            vm = key.removeprefix(ENTRIES_PREFIX)
            _note(self._view.entries, vm, value)
            if value is None:
                self.peers.pop(vm, None)
            else:
                self.peers[vm] = value.decode("utf-8", "replace")
        elif key.startswith(LOADING_PREFIX):
            _note(self._view.loading, key.removeprefix(LOADING_PREFIX), value)


def _note(names: set[str], name: str, value: bytes | None) -> None:
    if value is None:
        names.discard(name)
    else:
        names.add(name)
