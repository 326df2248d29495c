"""Exchange of loads, weights and cache events between entries by datagrams.

Several entries send requests to the same servers. Without the exchange, an entry may
send a short prompt to a server that has just received a long one from another entry.
State that is not published again expires.
"""

import errno
from collections.abc import Callable, Iterable

import attrs
import msgspec
import trio

from foxtailcourse.fleet import FleetView
from foxtailcourse.ingress._peer_messages import (
    MAX_DATAGRAM_BYTES,
    CacheUpdate,
    LoadsUpdate,
    Message,
    WeightsUpdate,
    decode,
    encode,
)
from foxtailcourse.ingress._server_loads import RemoteLoad, ServerLoads
from foxtailcourse.observe import EventLog, Metrics
from foxtailcourse.settings import Address, parse_address

# Shortest time between two load updates for urgent changes.
LOADS_UPDATE_SPACING_S = 0.01
# All loads are published again in this period, well before they expire.
REPUBLISH_PERIOD_S = 0.4
# A change of a server's load by this many prompt tokens is published at once.
URGENT_CHANGE_TOKENS = 1_500
# State published by the leader expires after this time.
WEIGHTS_VALID_S = 1.5
MAX_RECEIVED_BYTES = 2048
CACHE_ROWS_PER_MESSAGE = 24


@attrs.define
class PeerExchange:
    """Publishes this entry's state to the other entries and receives theirs.

    Parameters
    ----------
    vm : str
        Name of this VM.
    listen : Address
        Where datagrams are received.
    loads : ServerLoads
        Loads of the backend servers.
    view : FleetView
        Last known state of the fleet; receives which servers are loading or have loaded
        weights.
    peers : dict of str to str
        Registered addresses of the entries by VM.
    clock : callable
        Returns seconds since boot.
    events : EventLog
        Log of the process.
    metrics : Metrics
        Counts malformed and lost datagrams.
    on_cache_update : callable
        Handles cache events that another entry published.
    weights_to_publish : callable
        Returns the state of the weight loads if this entry is the leader, or None.

    Attributes
    ----------
    address : Address
        Where datagrams are received, with the actual port; set by ``bind``.
    """

    vm: str
    listen: Address
    loads: ServerLoads
    view: FleetView
    peers: dict[str, str]
    clock: Callable[[], float]
    events: EventLog
    metrics: Metrics
    on_cache_update: Callable[[CacheUpdate], None] = attrs.field(
        default=lambda update: None
    )
    weights_to_publish: Callable[[], WeightsUpdate | None] = attrs.field(
        default=lambda: None
    )
    address: Address = attrs.field(init=False)
    _socket: trio.socket.SocketType = attrs.field(init=False)
    # Last published row of each server: tokens to prefill, requests, short prompts.
    _published: dict[str, tuple[int, int, int]] = attrs.field(factory=dict, init=False)
    # Highest fencing token of the received updates.
    _fence: int = attrs.field(default=0, init=False)
    _weights_received_at: float = attrs.field(default=0.0, init=False)

    async def bind(self) -> None:
        """Open the socket."""
        self._socket = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
        await self._socket.bind((self.listen.host, self.listen.port))
        self.address = Address(self.listen.host, self._socket.getsockname()[1])

    async def run(self) -> None:
        """Send and receive messages until cancelled."""
        with self._socket:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive)
                nursery.start_soon(self._publish_changes)
                nursery.start_soon(self._republish)

    # Receiving

    async def _receive(self) -> None:
        while True:
            data, _ = await self._socket.recvfrom(MAX_RECEIVED_BYTES)
            try:
                self.handle(decode(data))
            except msgspec.DecodeError:
                self.metrics.count("foxtail_ingress_bad_datagrams_total")

    def handle(self, message: Message) -> None:
        """Handle one message of another entry."""
        if isinstance(message, LoadsUpdate):
            self._apply_loads(message)
        elif isinstance(message, WeightsUpdate):
            self.apply_weights(message)
        else:
            self.on_cache_update(message)

    def _apply_loads(self, message: LoadsUpdate) -> None:
        if message.vm == self.vm or message.vm not in self.peers:
            return
        now = self.clock()
        for server_id, prefill_tokens, in_flight, short_prompts in message.rows:
            load = RemoteLoad(
                prefill_tokens=prefill_tokens,
                in_flight=in_flight,
                short_prompts=short_prompts,
                received_at=now,
            )
            self.loads.update_remote(message.vm, server_id, load)

    def apply_weights(self, message: WeightsUpdate) -> None:
        """Apply an update of the leader; updates of an older leader are ignored."""
        if message.fence < self._fence:
            return
        self._fence, self._weights_received_at = message.fence, self.clock()
        self.view.loading = set(message.loading)
        for server_id, started_ms, model, version in message.loaded:
            self.view.record_loaded_weights(server_id, started_ms, model, version)

    # Sending

    async def _publish_changes(self) -> None:
        """Publish urgent changes of the loads as they happen."""
        while True:
            changed = self.loads.changed
            await changed.wait()
            self.loads.changed = trio.Event()
            rows = [row for row in self._load_rows() if self._is_urgent(row)]
            if rows:
                await self._publish_loads(rows)
                await trio.sleep(LOADS_UPDATE_SPACING_S)

    def _load_rows(self) -> list[tuple[str, int, int, int]]:
        """Return all loads as rows of a LoadsUpdate.

        A server that became idle since it was last published has a row of zeros.
        """
        rows = self.loads.own_rows()
        busy = {row[0] for row in rows}
        idle = [key for key, row in self._published.items() if any(row)]
        return rows + [(key, 0, 0, 0) for key in idle if key not in busy]

    def _is_urgent(self, row: tuple[str, int, int, int]) -> bool:
        """Whether the tokens to prefill changed much since they were published."""
        published = self._published.get(row[0], (0, 0, 0))
        return abs(row[1] - published[0]) >= URGENT_CHANGE_TOKENS

    async def _republish(self) -> None:
        """Publish all state periodically, and expire the state of an old leader."""
        while True:
            await trio.sleep(REPUBLISH_PERIOD_S)
            if self.clock() - self._weights_received_at > WEIGHTS_VALID_S:
                self.view.loading = set()
            await self._publish_loads(self._load_rows())
            await self.publish_weights()

    async def publish_weights(self) -> None:
        """Publish the state of the weight loads if this entry is the leader."""
        weights = self.weights_to_publish()
        if weights is not None:
            self.apply_weights(weights)
            await self.send(weights, self.peers)

    async def _publish_loads(self, rows: list[tuple[str, int, int, int]]) -> None:
        self._published |= {
            server_id: (prefill_tokens, in_flight, short_prompts)
            for server_id, prefill_tokens, in_flight, short_prompts in rows
        }
        # The most loaded servers come first, in case the rows do not fit a datagram.
        rows.sort(key=lambda row: -row[1])
        message = LoadsUpdate(self.vm, rows)
        while len(encode(message)) > MAX_DATAGRAM_BYTES:
            message = LoadsUpdate(self.vm, message.rows[: len(message.rows) * 3 // 4])
        await self.send(message, self.peers)

    async def publish_cache(
        self, source: str, epoch: int, rows: list[tuple[str, str, int]], to: set[str]
    ) -> None:
        """Send cache events to entries that do not poll the cache themselves.

        Parameters
        ----------
        source : str
            Name of the cache.
        epoch : int
            Epoch of the cache.
        rows : list of tuple
            Salt, part and number of its tokens that are now cached.
        to : set of str
            VMs of the receiving entries.
        """
        for start in range(0, len(rows), CACHE_ROWS_PER_MESSAGE):
            batch = rows[start : start + CACHE_ROWS_PER_MESSAGE]
            await self.send(CacheUpdate(source, epoch, batch), to)

    async def send(self, message: Message, to: Iterable[str]) -> None:
        """Send a message to the entries on the given VMs, except unregistered ones."""
        data = encode(message)
        for vm in list(to):
            if vm == self.vm or vm not in self.peers:
                continue
            try:
                peer = parse_address(self.peers[vm])
                await self._socket.sendto(data, (peer.host, peer.port))
            except (OSError, ValueError) as exc:
                # Each kind of message tolerates losses, so they are only counted.
                error_name = errno.errorcode.get(
                    getattr(exc, "errno", 0) or 0, "address"
                )
                self.metrics.count(
                    "foxtail_ingress_lost_datagrams_total", error=error_name
                )
