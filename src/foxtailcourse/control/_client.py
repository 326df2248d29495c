"""Client of the Peer service."""

import asyncio
from collections.abc import Callable
from typing import Any, TypeVar

import grpc
import grpc.aio
import trio_asyncio

from foxtailcourse.control._server import SERVICE
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

CLIENT_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    # Each caller has its own pauses, so the channel need not add any.
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.enable_http_proxy", 0),
    # A subchannel shared with a failed channel would keep its failure.
    ("grpc.use_local_subchannel_pool", 1),
)


class PeerError(Exception):
    """A call to a peer failed."""


class PeerClient:
    """Calls one peer, inside an open trio_asyncio loop.

    Parameters
    ----------
    address : Address
        Control address of the peer.
    timeout_s : float
        Longest wait for an answer, in seconds.
    """

    def __init__(self, address: Address, timeout_s: float) -> None:
        self._address = address
        self._timeout_s = timeout_s

    async def snapshot(self, request: SnapshotRequest) -> SnapshotReply:
        """Return one page of the peer's records; raises PeerError."""
        call = trio_asyncio.aio_as_trio(self._unary)
        return await call("Snapshot", request, SnapshotReply)

    async def exchange(self, request: ExchangeMessage) -> ExchangeMessage:
        """Send summaries and return the peer's; raises PeerError."""
        call = trio_asyncio.aio_as_trio(self._unary)
        return await call("Exchange", request, ExchangeMessage)

    async def follow(
        self,
        request: FollowRequest,
        idle_s: float,
        take: Callable[[FollowEvent], None],
    ) -> None:
        """Pass each event to ``take`` until the stream fails; raises PeerError.

        Parameters
        ----------
        request : FollowRequest
            What the follower holds.
        idle_s : float
            Longest time without an event, in seconds.
        take : callable
            Called with each event; a PeerError that it raises ends the stream.
        """
        await trio_asyncio.aio_as_trio(self._follow)(request, idle_s, take)

    def _channel(self) -> Any:
        return grpc.aio.insecure_channel(str(self._address), options=CLIENT_OPTIONS)

    async def _unary(self, method: str, request: Any, kind: type[T]) -> T:
        try:
            async with self._channel() as channel:
                call = channel.unary_unary(f"/{SERVICE}/{method}")
                data = await call(encode_message(request), timeout=self._timeout_s)
                return decode_message(data, kind)
        except (grpc.aio.AioRpcError, PeerMessageError) as exc:
            raise self._error(method, exc) from exc

    async def _follow(
        self,
        request: FollowRequest,
        idle_s: float,
        take: Callable[[FollowEvent], None],
    ) -> None:
        try:
            async with self._channel() as channel:
                call = channel.unary_stream(f"/{SERVICE}/Follow")
                stream = call(encode_message(request))
                while True:
                    async with asyncio.timeout(idle_s):
                        data = await stream.read()
                    if data is grpc.aio.EOF:
                        raise PeerError(f"{self._address} ended the stream")
                    take(decode_message(data, FollowEvent))
        except (grpc.aio.AioRpcError, PeerMessageError, TimeoutError) as exc:
            raise self._error("Follow", exc) from exc

    def _error(self, method: str, exc: Exception) -> PeerError:
        reason = exc.details() if isinstance(exc, grpc.aio.AioRpcError) else repr(exc)
        return PeerError(f"{method} at {self._address}: {reason}")
