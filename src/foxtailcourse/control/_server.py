"""Server of the Peer service: grpc.aio inside a trio_asyncio loop."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterator
from typing import Any, Protocol, TypeVar

import grpc
import grpc.aio
import trio
import trio_asyncio

from foxtailcourse.protocol import (
    ExchangeMessage,
    FollowEvent,
    FollowRequest,
    PeerMessageError,
    SnapshotReply,
    SnapshotRequest,
    decode_message,
    encode_message,
)
from foxtailcourse.protocol._peer import MAX_MESSAGE_BYTES
from foxtailcourse.settings import Address

T = TypeVar("T")

SERVICE = "foxtailcourse.Peer"
STOP_GRACE_S = 0.2
MAX_QUEUED_EVENTS = 256
MAX_CONCURRENT_CALLS = 4096
SERVER_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
    # A follower on a dead VM is dropped although nothing closes its connection.
    ("grpc.keepalive_time_ms", 30_000),
    ("grpc.keepalive_timeout_ms", 10_000),
)


class PeerSource(Protocol):
    """What a process answers to its peers. The methods do not block."""

    def snapshot(self, request: SnapshotRequest) -> SnapshotReply:
        """Return one page of the held records."""

    def follow(self, request: FollowRequest) -> Iterator[FollowEvent]:
        """Return the events that bring a new follower up to date."""

    def heartbeat(self) -> FollowEvent:
        """Return an event without records."""

    def exchange(self, request: ExchangeMessage) -> ExchangeMessage:
        """Take summaries and return this process's own."""


class PeerServer:
    """Serves a PeerSource.

    Parameters
    ----------
    source : PeerSource
        Answers the calls.
    heartbeat_s : float
        Time between two signs of life on a stream without changes, in seconds.
    """

    def __init__(self, source: PeerSource, heartbeat_s: float) -> None:
        self._source = source
        self._heartbeat_s = heartbeat_s
        self._queues: set[asyncio.Queue[bytes]] = set()
        self.port = 0

    @property
    def followers(self) -> int:
        """Number of open Follow streams."""
        return len(self._queues)

    def publish(self, event: FollowEvent) -> None:
        """Send an event to all followers; it is encoded once.

        A follower that is too slow to take its events loses its stream. It
        reconnects and gets what differs.
        """
        if not self._queues:
            return
        data = encode_message(event)
        for queue in tuple(self._queues):
            try:
                queue.put_nowait(data)
            except asyncio.QueueFull:
                self._queues.discard(queue)

    async def serve(
        self,
        address: Address,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled, inside an open trio_asyncio loop."""
        server: grpc.aio.Server = await trio_asyncio.aio_as_trio(self._start)(address)
        try:
            task_status.started()
            await trio.sleep_forever()
        finally:
            with trio.CancelScope(shield=True):
                await trio_asyncio.aio_as_trio(server.stop)(STOP_GRACE_S)

    async def _start(self, address: Address) -> Any:
        server = grpc.aio.server(
            options=SERVER_OPTIONS, maximum_concurrent_rpcs=MAX_CONCURRENT_CALLS
        )
        handlers = {
            "Snapshot": grpc.unary_unary_rpc_method_handler(self._snapshot),
            "Follow": grpc.unary_stream_rpc_method_handler(self._follow),
            "Exchange": grpc.unary_unary_rpc_method_handler(self._exchange),
        }
        generic = grpc.method_handlers_generic_handler(SERVICE, handlers)
        server.add_generic_rpc_handlers((generic,))
        self.port = server.add_insecure_port(str(address))
        await server.start()
        return server

    async def _snapshot(self, data: bytes, context: Any) -> bytes:
        return await self._unary(data, context, SnapshotRequest, self._source.snapshot)

    async def _exchange(self, data: bytes, context: Any) -> bytes:
        return await self._unary(data, context, ExchangeMessage, self._source.exchange)

    async def _unary(
        self, data: bytes, context: Any, kind: type[T], call: Callable[[T], Any]
    ) -> bytes:
        try:
            return encode_message(call(decode_message(data, kind)))
        except ValueError as exc:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(exc))
            raise

    async def _follow(self, data: bytes, context: Any) -> AsyncIterator[bytes]:
        queue: asyncio.Queue[bytes] = asyncio.Queue(MAX_QUEUED_EVENTS)
        # Changes during the first events are queued, so none is missed.
        self._queues.add(queue)
        try:
            request = decode_message(data, FollowRequest)
            for event in self._source.follow(request):
                yield encode_message(event)
            while queue in self._queues or not queue.empty():
                yield await self._next(queue)
        except PeerMessageError as exc:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(exc))
        finally:
            self._queues.discard(queue)

    async def _next(self, queue: asyncio.Queue[bytes]) -> bytes:
        try:
            async with asyncio.timeout(self._heartbeat_s):
                return await queue.get()
        except TimeoutError:
            return encode_message(self._source.heartbeat())
