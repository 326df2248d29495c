"""Keys that the entries share in the platform's store.

``ingress/entries/<vm>`` holds the address where an entry takes datagrams and
``ingress/orders`` names the one that gives orders to backend servers. Both are bound to
a lease of their writer.
"""

import trio

from foxtailcourse.fleet import FleetView

MEMBERSHIP_PREFIX = "ingress/"
ENTRIES_PREFIX = "ingress/entries/"
ORDERS_KEY = "ingress/orders"


class Membership:
    """Follows the shared keys.

    Parameters
    ----------
    view : FleetView
        Told of entries.
    """

    def __init__(self, view: FleetView) -> None:
        self._view = view
        self.peers: dict[str, str] = {}
        self.leader = ""
        self._vacated = trio.Event()

    def apply_change(self, key: str, value: bytes | None, revision: int) -> None:
        """Note one change."""
        if key == ORDERS_KEY:
            self.leader = value.decode("utf-8", "replace") if value else ""
            if value is None:
                self._vacated.set()
                self._vacated = trio.Event()
        elif key.startswith(ENTRIES_PREFIX):
            vm = key.removeprefix(ENTRIES_PREFIX)
            if value is None:
                self.peers.pop(vm, None)
                self._view.entries.discard(vm)
            else:
                self._view.entries.add(vm)
                self.peers[vm] = value.decode("utf-8", "replace")

    async def wait_for_vacancy(self, is_leader: bool) -> None:
        """Wait until nobody gives orders; a holder has no reason to wait for that."""
        if is_leader:
            await trio.sleep_forever()
        await self._vacated.wait()
