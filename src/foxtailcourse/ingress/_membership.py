"""Registered entries and their leader, from keys in the platform's store.

``ingress/entries/<vm>`` holds the address where an entry receives datagrams, and
``ingress/orders`` names the leader, which gives orders to backend servers. Each key is
bound to a lease of the entry that wrote it.
"""

import trio

from foxtailcourse.fleet import FleetView

MEMBERSHIP_PREFIX = "ingress/"
ENTRIES_PREFIX = "ingress/entries/"
ORDERS_KEY = "ingress/orders"


class Membership:
    """Last known entries and leader.

    Parameters
    ----------
    view : FleetView
        Receives the names of the entries.

    Attributes
    ----------
    peers : dict of str to str
        Addresses of the entries by VM.
    leader : str
        VM of the leader; empty if there is none.
    """

    def __init__(self, view: FleetView) -> None:
        self._view = view
        self.peers: dict[str, str] = {}
        self.leader = ""
        self._vacated = trio.Event()

    def apply_change(self, key: str, value: bytes | None, revision: int) -> None:
        """Apply one change of a key; the value is None once the key is deleted."""
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
        """Wait until the leader's key is deleted.

        The leader itself waits until it is cancelled.
        """
        if is_leader:
            await trio.sleep_forever()
        await self._vacated.wait()
