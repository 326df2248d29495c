"""Entries tell each other by datagram what they have sent to which backend server.

Answers the load of several entries before the same servers: without it, an entry sends
a short prompt to a server that another entry has just given a long one. A lost datagram
is made good by the next, and what is not renewed is forgotten.
"""

import errno
from collections.abc import Callable

import attrs
import msgspec
import trio

from foxtailcourse.ingress._loads import RemoteLoad, ServerLoads
from foxtailcourse.observe import EventLog, Metrics
from foxtailcourse.settings import Address, parse_address

# Shortest time between two datagrams to the same entries; loads change within it by
# about one request an entry.
SPACING_S = 0.01
# Unchanged loads are told again in this time, well within their validity.
RENEWAL_S = 0.4
MAX_DATAGRAM_BYTES = 1400
MAX_RECEIVED_BYTES = 2048


class Report(msgspec.Struct, array_like=True):
    """Loads that one entry has put on backend servers.

    Parameters
    ----------
    vm : str
        The entry.
    loads : list
        Server, prompt tokens to read, requests in flight, short ones among them.
    """

    vm: str
    loads: list[tuple[str, int, int, int]]


@attrs.define
class LoadExchange:
    """Sends this entry's loads to the other entries and takes theirs.

    Parameters
    ----------
    vm : str
        Name of this VM.
    listen : Address
        Where datagrams arrive.
    loads : ServerLoads
        The loads.
    peers : dict of str to str
        Addresses of the entries by VM, as they registered.
    """

    vm: str
    listen: Address
    loads: ServerLoads
    peers: dict[str, str]
    clock: Callable[[], float]
    events: EventLog
    metrics: Metrics
    address: Address = attrs.field(init=False)
    _socket: trio.socket.SocketType = attrs.field(init=False)

    async def bind(self) -> None:
        """Open the socket."""
        self._socket = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
        await self._socket.bind((self.listen.host, self.listen.port))
        self.address = Address(self.listen.host, self._socket.getsockname()[1])

    async def run(self) -> None:
        """Exchange until cancelled."""
        with self._socket:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive)
                nursery.start_soon(self._send)

    async def _receive(self) -> None:
        while True:
            data, _ = await self._socket.recvfrom(MAX_RECEIVED_BYTES)
            try:
                report = msgspec.msgpack.decode(data, type=Report)
            except msgspec.DecodeError:
                self.metrics.count("foxtail_ingress_bad_datagrams_total")
                continue
            if report.vm != self.vm and report.vm in self.peers:
                self._take(report)

    def _take(self, report: Report) -> None:
        now = self.clock()
        told = {
            server: RemoteLoad(
                prefill_tokens=tokens, in_flight=running, short=short, told_at=now
            )
            for server, tokens, running, short in report.loads
        }
        self.loads.take_remote(report.vm, told)

    async def _send(self) -> None:
        while True:
            changed = self.loads.changed
            with trio.move_on_after(RENEWAL_S):
                await changed.wait()
            self.loads.changed = trio.Event()
            await self._tell()
            await trio.sleep(SPACING_S)

    async def _tell(self) -> None:
        data = self._encode()
        for vm, text in list(self.peers.items()):
            if vm == self.vm:
                continue
            try:
                peer = parse_address(text)
                await self._socket.sendto(data, (peer.host, peer.port))
            except (OSError, ValueError) as exc:
                # The next datagram tells the same, so a lost one is only counted.
                name = errno.errorcode.get(getattr(exc, "errno", 0) or 0, "address")
                self.metrics.count("foxtail_ingress_lost_datagrams_total", error=name)

    def _encode(self) -> bytes:
        """Return the report; the most loaded servers if not all of them fit."""
        rows = sorted(self.loads.own(), key=lambda row: -row[1])
        while True:
            data = msgspec.msgpack.encode(Report(self.vm, rows))
            if len(data) <= MAX_DATAGRAM_BYTES:
                return data
            rows = rows[: len(rows) * 3 // 4]
