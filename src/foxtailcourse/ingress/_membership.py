"""Registered entries and their leader, from keys in the platform's store.

``ingress/entries/<vm>`` holds the registration of an entry, see ``Peer``, and
``ingress/orders`` names the leader, which gives orders to backend servers. Each key is
bound to a lease of the entry that wrote it.
"""

import trio

from foxtailcourse.fleet import FleetView
from foxtailcourse.ingress._peers import PeerDirectory, PeerRecordError, decode_peer
from foxtailcourse.observe import EventLog

MEMBERSHIP_PREFIX = "ingress/"
ENTRIES_PREFIX = "ingress/entries/"
ORDERS_KEY = "ingress/orders"


class Membership:
    """Last known entries and leader.

    Parameters
    ----------
    view : FleetView
        Receives the names of the entries.
    events : EventLog
        Receives an event for each registration that cannot be decoded.

    Attributes
    ----------
    peers : PeerDirectory
        The registered entries.
    leader : str
        VM of the leader; empty if there is none.
    """

    def __init__(self, view: FleetView, events: EventLog) -> None:
        self._view = view
        self._events = events
        self.peers = PeerDirectory()
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
                self.peers.remove(vm)
                self._view.entries.discard(vm)
                return
            self._view.entries.add(vm)
            try:
                self.peers.add(vm, decode_peer(value))
            except PeerRecordError as exc:
                self.peers.remove(vm)
                self._events.emit("peer_unreadable", peer=vm, error=exc)

    async def wait_for_vacancy(self, is_leader: bool) -> None:
        """Wait until the leader's key is deleted.

        The leader itself waits until it is cancelled.
        """
        if is_leader:
            await trio.sleep_forever()
        await self._vacated.wait()
