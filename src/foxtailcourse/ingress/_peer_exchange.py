"""Exchange of loads, weights and cache events between entries by datagrams.

Several entries send requests to the same servers. Without the exchange, an entry may
send a short prompt to a server that has just received a long one from another entry.
State that is not published again expires. In a large fleet, loads and cache events go
through relays; see ``RelayPlan``.
"""

import errno
import socket
import struct
import time
from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import cast

import attrs
import trio

from foxtailcourse.decoding import MalformedDataError
from foxtailcourse.fleet import FleetView, ServerRun
from foxtailcourse.ingress._load_relay import (
    IDLE,
    Load,
    LoadRelay,
    LoadRow,
    is_urgent_change,
)
from foxtailcourse.ingress._origin_exchange import OriginExchange
from foxtailcourse.ingress._peer_messages import (
    MAX_DATAGRAM_BYTES,
    MAX_VERSION,
    AnsweredPartsUpdate,
    BlockedPartsUpdate,
    BreaksUpdate,
    CacheBatch,
    CacheUpdate,
    ConfigurationNotice,
    ConfigurationQuery,
    DomainLoads,
    FleetLoads,
    LeavingUpdate,
    LimitsUpdate,
    LoadsUpdate,
    Message,
    OriginAnswer,
    OriginQuery,
    OriginsUpdate,
    SnapshotRequest,
    SumsUpdate,
    TriedPartsUpdate,
    WeightsUpdate,
    decode,
    encode,
    with_delay,
)
from foxtailcourse.ingress._peers import PeerDirectory
from foxtailcourse.ingress._relays import RelayPlan
from foxtailcourse.ingress._server_loads import RemoteLoad, ServerLoads
from foxtailcourse.ingress._stream_origins import OwnerRing
from foxtailcourse.observe import EventLog, Metrics
from foxtailcourse.platform import fencing_token
from foxtailcourse.process import TaskSupervisor
from foxtailcourse.settings import Address

# Shortest time between two load updates for urgent changes.
LOADS_UPDATE_SPACING_S = 0.01
# All loads are published again in this period, well before they expire.
REPUBLISH_PERIOD_S = 0.4
# Shortest time between two messages of a relay for urgent changes.
RELAY_SPACING_S = 0.02
# A relay collects cache events for this time; they are about as old when they arrive.
RELAY_CACHE_PERIOD_S = 0.1
# State published by the leader expires after this time.
WEIGHTS_VALID_S = 1.5
MAX_RECEIVED_BYTES = 2048
# Option of Linux by which the kernel states when a datagram arrived, and its value: the
# wall-clock time in seconds and nanoseconds.
SO_TIMESTAMPNS = 35
ARRIVAL = struct.Struct("@ll")
# Rows of loads and of cache events that fit into a datagram.
LOAD_ROWS_PER_MESSAGE = 30
CACHE_ROWS_PER_MESSAGE = 24
LOADED_ROWS_PER_MESSAGE = 12
# A load that another entry states counts as at most this, so that sums fit a message.
MAX_LOAD = 10**12
# Relays that a new entry asks for the contents of the caches; one may be new as well.
SNAPSHOT_SOURCES = 2
# Source of the loads that a relay sent, in place of a VM.
FLEET_SOURCE = "fleet"
RELAYS_DESTINATION = "relays"


async def _ignore_query(address: tuple[str, int]) -> None:
    """Answer no query."""


@attrs.define
class PeerExchange:
    """Publishes this entry's state to the other entries and receives theirs.

    Only messages that come from the address of a registered entry are used.

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
    peers : PeerDirectory
        The registered entries.
    clock : callable
        Returns seconds since boot.
    events : EventLog
        Log of the process.
    metrics : Metrics
        Counts malformed, foreign and lost datagrams.
    supervisor : TaskSupervisor
        Runs the tasks of the exchange.
    on_cache_update : callable
        Handles cache events that another entry published.
    cache_snapshot : callable
        Returns the known contents of all caches, for an entry that has just started.
    on_leaving : callable
        Called with a server of which the entry ``by_entry`` says that it leaves.
    on_limits : callable
        Handles statements of servers on their limits that another entry published.
    on_sums : callable
        Handles decayed sums of other entries, given the sender and the present time.
    on_parts : callable
        Handles what another entry tells of crashes and of blocked prompt parts.
    on_configuration_query : coroutine function
        Answers a query for the version of the configuration, given its address.
    on_configuration_notice : callable
        Handles the version of the configuration that another entry uses.
    store_era : callable
        Returns the era of the platform's store; weights from a leader of an earlier era
        are ignored.
    weights_to_publish : callable
        Returns the state of the weight loads if this entry is the leader, or None.

    Attributes
    ----------
    address : Address
        Where datagrams are received, with the actual port; set by ``bind``.
    plan : RelayPlan
        Which entries relay.
    origins : OriginExchange
        Which software versions began streams.
    """

    vm: str
    listen: Address
    loads: ServerLoads
    view: FleetView
    peers: PeerDirectory
    clock: Callable[[], float]
    events: EventLog
    metrics: Metrics
    supervisor: TaskSupervisor
    on_cache_update: Callable[[CacheUpdate], None] = attrs.field(
        default=lambda update: None
    )
    cache_snapshot: Callable[[], list[CacheUpdate]] = attrs.field(default=list)
    on_leaving: Callable[..., None] = attrs.field(default=lambda server, by_entry: None)
    on_parts: Callable[
        [
            BreaksUpdate | BlockedPartsUpdate | AnsweredPartsUpdate | TriedPartsUpdate,
            str,
        ],
        None,
    ] = attrs.field(default=lambda message, sender: None)
    on_sums: Callable[[SumsUpdate, str, float], None] = attrs.field(
        default=lambda message, sender, now: None
    )
    on_limits: Callable[[LimitsUpdate, str], None] = attrs.field(
        default=lambda message, sender: None
    )
    on_configuration_query: Callable[[tuple[str, int]], Awaitable[None]] = attrs.field(
        default=_ignore_query
    )
    on_configuration_notice: Callable[[ConfigurationNotice, str], None] = attrs.field(
        default=lambda message, sender: None
    )
    store_era: Callable[[], int] = attrs.field(default=lambda: 0)
    weights_to_publish: Callable[[], WeightsUpdate | None] = attrs.field(
        default=lambda: None
    )
    address: Address = attrs.field(init=False)
    plan: RelayPlan = attrs.field(init=False)
    origins: OriginExchange = attrs.field(init=False)
    _relay: LoadRelay = attrs.field(factory=LoadRelay, init=False)
    _relay_wakeup: trio.Event = attrs.field(factory=trio.Event, init=False)
    # Cache events to pass on to the members, by source and epoch.
    _cache_rows: dict[tuple[str, int], list[tuple[str, str, int]]] = attrs.field(
        factory=dict, init=False
    )
    # Entries that asked for the known contents of all caches.
    _snapshots_for: list[str] = attrs.field(factory=list, init=False)
    _has_snapshot: bool = attrs.field(default=False, init=False)
    _leaving: list[LeavingUpdate] = attrs.field(factory=list, init=False)
    _leaving_wakeup: trio.Event = attrs.field(factory=trio.Event, init=False)
    _socket: trio.socket.SocketType = attrs.field(init=False)
    # Last published row of each server: tokens to prefill, requests, short prompts.
    _published: dict[str, Load] = attrs.field(factory=dict, init=False)
    # Highest fencing token of the updates received within WEIGHTS_VALID_S.
    _fence: int = attrs.field(default=0, init=False)
    _weights_received_at: float = attrs.field(default=0.0, init=False)

    def __attrs_post_init__(self) -> None:
        self.plan = RelayPlan(self.vm, self.peers)
        ring = OwnerRing(self.vm, self.peers)
        self.origins = OriginExchange(ring, self.send, self.clock, self.metrics)

    async def bind(self) -> None:
        """Open the socket."""
        self._socket = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
        await self._socket.bind((self.listen.host, self.listen.port))
        self.address = Address(self.listen.host, self._socket.getsockname()[1])

    async def run(self) -> None:
        """Send and receive messages until cancelled."""
        with self._socket:
            async with trio.open_nursery() as nursery:
                for task, run in {
                    "receive_messages": self._receive,
                    "publish_loads": self._publish_changes,
                    "republish_state": self._republish,
                    "publish_leaving": self._publish_leaving,
                    "relay_loads": self._relay_loads,
                    "relay_caches": self._relay_caches,
                    "publish_origins": self.origins.run,
                }.items():
                    nursery.start_soon(self.supervisor.keep_running, task, run)

    # Receiving

    async def _receive(self) -> None:
        while True:
            data, fields, _, address = await self._socket.recvmsg(
                MAX_RECEIVED_BYTES, socket.CMSG_SPACE(ARRIVAL.size)
            )
            host, port, *_ = cast(tuple[str, int], address)
            try:
                await self._handle_datagram(data, (host, port), _delay_s(fields))
            except Exception as exc:
                # The next message may be from another entry.
                self.supervisor.record_failure("handle_message", exc, self.clock())

    async def _handle_datagram(
        self, data: bytes, address: tuple[str, int], delay_s: float
    ) -> None:
        sender = self.peers.vm_at(*address)
        try:
            message = decode(data)
        except MalformedDataError:
            self.metrics.count("foxtail_ingress_bad_datagrams_total")
            return
        if isinstance(message, ConfigurationQuery):
            await self.on_configuration_query(address)
        elif sender is None or sender == self.vm:
            self.metrics.count("foxtail_ingress_foreign_datagrams_total")
        else:
            self.handle(with_delay(message, int(1000 * delay_s)), sender, delay_s)

    def handle(self, message: Message, sender: str, delay_s: float = 0.0) -> None:
        """Handle one message of the registered entry ``sender``.

        It was read ``delay_s`` after its arrival, which its ages include.
        """
        now = self.clock()
        match message:
            case LoadsUpdate() if self.plan.is_mesh:
                self._apply_loads(sender, _load_rows(message), now - delay_s)
            case LoadsUpdate():
                if self._relay.update_member(sender, _load_rows(message), now):
                    self._relay_wakeup.set()
            case DomainLoads():
                if self._relay.update_relay(sender, _load_rows(message), now):
                    self._relay_wakeup.set()
            case FleetLoads():
                self.plan.record_heard(sender, now)
                self._apply_loads(FLEET_SOURCE, _load_rows(message), now - delay_s)
            case SumsUpdate():
                self.on_sums(message, sender, now)
            case SnapshotRequest():
                self._snapshots_for.append(sender)
            case WeightsUpdate():
                self.apply_weights(message)
            case LeavingUpdate(server_id, started_ms):
                self._apply_leaving(server_id, started_ms, sender)
            case CacheUpdate():
                self._apply_cache_update(message)
            case CacheBatch(updates):
                for update in updates:
                    self.on_cache_update(update)
            case LimitsUpdate():
                self.on_limits(message, sender)
            case (
                BreaksUpdate()
                | BlockedPartsUpdate()
                | AnsweredPartsUpdate()
                | TriedPartsUpdate()
            ):
                self.on_parts(message, sender)
            case ConfigurationNotice():
                self.on_configuration_notice(message, sender)
            case OriginsUpdate() | OriginQuery() | OriginAnswer():
                self.origins.handle(message, sender)

    def _apply_loads(self, source: str, rows: Iterable[LoadRow], now: float) -> None:
        for server_id, prefill_tokens, in_flight, short_prompts, held_tokens in rows:
            load = RemoteLoad(
                prefill_tokens=prefill_tokens,
                in_flight=in_flight,
                short_prompts=short_prompts,
                held_tokens=held_tokens,
                received_at=now,
            )
            self.loads.update_remote(source, server_id, load)

    def apply_weights(self, message: WeightsUpdate) -> None:
        """Apply an update of the leader; updates of an older leader are ignored."""
        now = self.clock()
        if now - self._weights_received_at > WEIGHTS_VALID_S:
            # No leader has this token any more, if one ever had it.
            self._fence = 0
        if message.fence < max(self._fence, fencing_token(self.store_era(), 0)):
            return
        self._fence, self._weights_received_at = message.fence, now
        self.view.loading = set(message.loading)
        for server_id, started_ms, model, version in message.loaded:
            if not 0 <= version <= MAX_VERSION:
                self.events.emit("weights_report_refused", model=model, version=version)
                continue
            # Without contact to the store, this is how the entry learns of a version.
            since = self.view.configuration_freshness.as_of
            if self.view.set_desired_weights(model, version, since, self.clock()):
                self.events.emit("weights_reported", model=model, version=version)
            self.view.record_loaded_weights(server_id, started_ms, model, version)

    def _apply_leaving(self, server_id: str, started_ms: int, sender: str) -> None:
        server = self.view.servers.get(server_id)
        if server is not None and server.started_ms == started_ms:
            self.on_leaving(server, by_entry=sender)

    def _apply_cache_update(self, update: CacheUpdate) -> None:
        self.on_cache_update(update)
        if not self.plan.is_mesh and self._relay.members():
            rows = self._cache_rows.setdefault((update.source, update.epoch), [])
            rows += update.rows

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

    def _load_rows(self) -> list[LoadRow]:
        """Return all loads as rows of a LoadsUpdate.

        A server that became idle since it was last published has a row of zeros.
        """
        rows = self.loads.own_rows()
        busy = {row[0] for row in rows}
        idle = [key for key, row in self._published.items() if any(row)]
        return rows + [(key, *IDLE) for key in idle if key not in busy]

    def _is_urgent(self, row: LoadRow) -> bool:
        """Whether the load changed much since it was published."""
        return is_urgent_change(self._published.get(row[0], IDLE), row[1:])

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
            for start in range(0, len(weights.loaded) or 1, LOADED_ROWS_PER_MESSAGE):
                loaded = weights.loaded[start : start + LOADED_ROWS_PER_MESSAGE]
                message = WeightsUpdate(weights.fence, weights.loading, loaded)
                await self.send(message, self.peers)

    def publish_leaving(self, run: ServerRun) -> None:
        """Tell all entries that a run of a server leaves."""
        self._leaving.append(LeavingUpdate(run.server_id, run.started_ms))
        self._leaving_wakeup.set()

    async def _publish_leaving(self) -> None:
        while True:
            await self._leaving_wakeup.wait()
            self._leaving_wakeup = trio.Event()
            leaving, self._leaving = self._leaving, []
            for message in leaving:
                await self.send(message, self.peers)

    async def _publish_loads(self, rows: list[LoadRow]) -> None:
        """Send rows to all entries, or in a large fleet to this entry's relays."""
        for row in rows:
            if any(row[1:]):
                self._published[row[0]] = row[1:]
            else:
                self._published.pop(row[0], None)
        receivers: Iterable[str] = self.peers
        if not self.plan.is_mesh:
            now = self.clock()
            receivers = self.plan.upstream(now)
            await self._request_snapshot(now)
            if self.vm in receivers and self._relay.update_member(self.vm, rows, now):
                self._relay_wakeup.set()
        # An empty message shows a relay that this entry is a member.
        await self._send_rows(LoadsUpdate, rows, receivers, even_empty=True)

    async def _request_snapshot(self, now: float) -> None:
        """Ask relays once for the known contents of all caches."""
        relays = self.plan.other_relays(now)
        if not self._has_snapshot and relays:
            self._has_snapshot = True
            domain = self.plan.own_relays(now)
            ranked = sorted(relays, key=lambda vm: (vm not in domain, vm))
            await self.send(SnapshotRequest(), ranked[:SNAPSHOT_SOURCES])

    async def _relay_loads(self) -> None:
        """Pass the loads of the members on, to them and to the other relays."""
        republished_at = float("-inf")
        while True:
            with trio.move_on_after(REPUBLISH_PERIOD_S):
                await self._relay_wakeup.wait()
            self._relay_wakeup = trio.Event()
            now = self.clock()
            if self.plan.is_mesh:
                await trio.sleep(REPUBLISH_PERIOD_S)
                continue
            everything = now - republished_at >= REPUBLISH_PERIOD_S
            if everything:
                republished_at = now
                self._relay.expire(now)
            if self._relay.members():
                await self._send_relayed_loads(everything, now)
            await trio.sleep(RELAY_SPACING_S)

    async def _send_relayed_loads(self, everything: bool, now: float) -> None:
        relay = self._relay
        rows = relay.changed_rows(
            RELAYS_DESTINATION, relay.domain_loads(), everything=everything
        )
        await self._send_rows(DomainLoads, rows, self.plan.other_relays(now))
        fleet_loads = relay.fleet_loads()
        for vm in relay.members():
            loads = relay.loads_for(vm, fleet_loads)
            rows = relay.changed_rows(vm, loads, everything=everything)
            if vm == self.vm:
                self._apply_loads(FLEET_SOURCE, rows, now)
            else:
                # An empty message shows the member that the relay is alive.
                await self._send_rows(FleetLoads, rows, [vm], even_empty=everything)

    async def _send_rows(
        self,
        message_type: type[LoadsUpdate] | type[DomainLoads] | type[FleetLoads],
        rows: Sequence[LoadRow],
        to: Iterable[str],
        *,
        even_empty: bool = False,
    ) -> None:
        receivers = list(to)
        for start in range(0, len(rows) or int(even_empty), LOAD_ROWS_PER_MESSAGE):
            batch = list(rows[start : start + LOAD_ROWS_PER_MESSAGE])
            held = [row[4] for row in batch]
            message = message_type(
                [row[:4] for row in batch], held if any(held) else []
            )
            await self.send(message, receivers)

    async def _relay_caches(self) -> None:
        """Pass cache events on to the members, and all contents to new entries."""
        while True:
            await trio.sleep(RELAY_CACHE_PERIOD_S)
            members = [each for each in self._relay.members() if each != self.vm]
            pending, self._cache_rows = self._cache_rows, {}
            updates = [CacheUpdate(*key, rows) for key, rows in pending.items()]
            await self._send_cache_updates(updates, members)
            receivers, self._snapshots_for = self._snapshots_for, []
            if receivers:
                await self._send_cache_updates(self.cache_snapshot(), receivers)

    async def _send_cache_updates(
        self, updates: Sequence[CacheUpdate], to: Iterable[str]
    ) -> None:
        """Send updates in as few datagrams as they fit into."""
        receivers = list(to)
        batch: list[CacheUpdate] = []
        size_bytes = 0
        for update in updates:
            for part in _split_update(update):
                part_bytes = len(encode(part))
                if batch and size_bytes + part_bytes > MAX_DATAGRAM_BYTES - 16:
                    await self.send(CacheBatch(batch), receivers)
                    batch, size_bytes = [], 0
                batch.append(part)
                size_bytes += part_bytes
        if batch:
            await self.send(CacheBatch(batch), receivers)

    async def publish_cache(
        self, source: str, epoch: int, rows: list[tuple[str, str, int]], to: set[str]
    ) -> None:
        """Send cache events to entries that do not poll the cache themselves.

        In a large fleet they go to all relays, which pass them on.

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
        update = CacheUpdate(source, epoch, rows)
        if not self.plan.is_mesh:
            now = self.clock()
            to = self.plan.other_relays(now)
            if self.plan.is_relay(now):
                self._apply_cache_update(update)
        for part in _split_update(update):
            await self.send(part, to)

    async def send(self, message: Message, to: Iterable[str]) -> None:
        """Send a message to the entries on the given VMs, except unregistered ones."""
        data = encode(message)
        for vm in list(to):
            peer = self.peers.get(vm)
            if vm != self.vm and peer is not None:
                await self._send_data(data, (peer.address.host, peer.address.port))

    async def reply(self, message: Message, address: tuple[str, int]) -> None:
        """Send a message to an address, which need not be that of a known entry."""
        await self._send_data(encode(message), address)

    async def _send_data(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            await self._socket.sendto(data, address)
        except OSError as exc:
            # Each kind of message tolerates losses, so they are only counted.
            error_name = errno.errorcode.get(exc.errno or 0, "unknown")
            self.metrics.count("foxtail_ingress_lost_datagrams_total", error=error_name)


def _delay_s(fields: Sequence[tuple[int, int, bytes]]) -> float:
    """Return how long ago a datagram arrived, in seconds.

    A process that was stopped reads what arrived meanwhile. A step of the clock in
    between makes the datagram older, or is not counted.
    """
    for level, kind, data in fields:
        if (level, kind) == (socket.SOL_SOCKET, SO_TIMESTAMPNS):
            seconds, nanoseconds = ARRIVAL.unpack(data)
            return max(0.0, time.time() - seconds - 1e-9 * nanoseconds)
    return 0.0


def _load_rows(message: LoadsUpdate | DomainLoads | FleetLoads) -> list[LoadRow]:
    """Return the rows of a message with the held tokens, which may be left out."""
    held = [*message.held, *(0 for _ in message.rows)]
    return [
        (server_id, _load(prefill), _load(in_flight), _load(short), _load(tokens))
        for (server_id, prefill, in_flight, short), tokens in zip(
            message.rows, held, strict=False
        )
    ]


def _load(value: int) -> int:
    return min(max(0, value), MAX_LOAD)


def _split_update(update: CacheUpdate) -> list[CacheUpdate]:
    """Return a cache update in parts that fit a datagram; one part if it is empty."""
    return [
        CacheUpdate(
            update.source,
            update.epoch,
            update.rows[start : start + CACHE_ROWS_PER_MESSAGE],
        )
        for start in range(0, len(update.rows) or 1, CACHE_ROWS_PER_MESSAGE)
    ]
