"""HTTP/1.1 client with kept connections and explicit verdicts on failure."""

from collections import deque
from collections.abc import AsyncGenerator, AsyncIterator, Mapping
from contextlib import asynccontextmanager
from typing import Any

import attrs
import h11
import msgspec
import trio

from foxtailcourse.protocol import Verdict
from foxtailcourse.settings import Address

READ_BYTES = 65536
# A request up to this size fits into the send buffer of a fresh connection.
SMALL_REQUEST_BYTES = 8192
FIRST_ERROR_STATUS = 400
MAX_IDLE_CONNECTIONS = 16
IDLE_CONNECTION_S = 30.0


class ClientError(Exception):
    """A request failed before its whole response was read.

    Parameters
    ----------
    message : str
        What failed.
    verdict : Verdict
        NOT_RUN if no byte of the request was handed to the system for sending,
        else MAY_HAVE_RUN.
    """

    def __init__(self, message: str, verdict: Verdict) -> None:
        super().__init__(message)
        self.verdict = verdict


@attrs.frozen(kw_only=True)
class RequestOptions:
    """How one request is made.

    Parameters
    ----------
    connect_timeout_s : float
        Longest time to connect.
    idle_timeout_s : float
        Longest wait for the next bytes, either way.
    head_timeout_s : float
        Longest wait for the head of the response; 0 applies ``idle_timeout_s``.
    reuse : bool
        Whether a kept connection may serve the request. A request that must not be
        repeated takes a fresh one, since a kept one may already be closed.
    keep_alive : bool
        Whether the connection may be kept for later requests.
    max_body_bytes : int
        Bound on a response read with ``read``.
    """

    connect_timeout_s: float = 2.0
    idle_timeout_s: float = 30.0
    head_timeout_s: float = 0.0
    reuse: bool = True
    keep_alive: bool = True
    max_body_bytes: int = 32 * 1024 * 1024


@attrs.define
class _Conn:
    stream: trio.SocketStream
    h11: h11.Connection
    idle_since: float = 0.0
    # False once a request was answered before all of it was sent.
    request_sent: bool = True

    async def next_event(self, timeout_s: float) -> Any:
        while True:
            event = self.h11.next_event()
            if event is not h11.NEED_DATA:
                return event
            await self.receive(timeout_s)

    async def receive(self, timeout_s: float) -> None:
        """Read once; raises TooSlowError when nothing arrives in time."""
        with trio.fail_after(timeout_s):
            data = await self.stream.receive_some(READ_BYTES)
        self.h11.receive_data(data)

    def take_body(self) -> tuple[bytes, bool]:
        """Return the body bytes that have arrived, and whether the body has ended.

        Raises
        ------
        ClientError
            If what follows the body read so far is neither body nor its end.
        """
        pieces: list[bytes] = []
        try:
            while isinstance(event := self.h11.next_event(), h11.Data):
                pieces.append(bytes(event.data))
        except h11.RemoteProtocolError:
            # What arrived before the fault is delivered first; h11 raises again when
            # it is asked for the next event.
            if not pieces:
                raise
            return b"".join(pieces), False
        if event is h11.NEED_DATA or isinstance(event, h11.EndOfMessage):
            return b"".join(pieces), event is not h11.NEED_DATA
        raise ClientError("response was cut", Verdict.MAY_HAVE_RUN)


class ClientResponse:
    """The head of a response, and its body as it arrives."""

    def __init__(
        self, conn: _Conn, head: h11.Response, options: RequestOptions
    ) -> None:
        self._conn = conn
        self._options = options
        self.status: int = head.status_code
        self.headers = {
            name.decode("ascii"): value.decode("latin-1")
            for name, value in head.headers
        }

    async def iter_chunks(self) -> AsyncGenerator[bytes, None]:
        """Yield the body in pieces; raises ClientError if it is cut.

        A piece is all that has arrived, so that a loaded reader handles several chunks
        at once; no piece waits for more.
        """
        try:
            ended = False
            while not ended:
                piece, ended = self._conn.take_body()
                if piece:
                    yield piece
                elif not ended:
                    await self._conn.receive(self._options.idle_timeout_s)
        except _FAILURES as exc:
            raise ClientError(
                f"response was cut: {exc!r}", Verdict.MAY_HAVE_RUN
            ) from exc

    async def read(self) -> bytes:
        """Return the whole body."""
        body = bytearray()
        async for piece in self.iter_chunks():
            body += piece
            if len(body) > self._options.max_body_bytes:
                raise ClientError("response is too large", Verdict.MAY_HAVE_RUN)
        return bytes(body)

    async def json(self) -> object:
        """Return the decoded JSON body; raises ClientError if it is malformed."""
        try:
            return msgspec.json.decode(await self.read())
        except msgspec.DecodeError as exc:
            raise ClientError(f"bad JSON: {exc}", Verdict.MAY_HAVE_RUN) from exc


_FAILURES = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
    h11.RemoteProtocolError,
)


class ConnectionPool:
    """Makes requests and keeps idle connections for the next ones."""

    def __init__(self) -> None:
        self._idle: dict[Address, deque[_Conn]] = {}

    @asynccontextmanager
    async def request(
        self,
        address: Address,
        method: str,
        target: str,
        *,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        options: RequestOptions | None = None,
    ) -> AsyncIterator[ClientResponse]:
        """Send a request and yield the response once its head has arrived.

        Raises
        ------
        ClientError
            With verdict NOT_RUN if no byte was sent, else MAY_HAVE_RUN.
        """
        options = options or RequestOptions()
        conn = await self._connect(address, options)
        try:
            head = await self._send(
                conn, address, method, target, headers, body, options
            )
            yield ClientResponse(conn, head, options)
        except BaseException:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(conn.stream)
            raise
        if options.keep_alive:
            await self._release(address, conn)
        else:
            await trio.aclose_forcefully(conn.stream)

    async def _connect(self, address: Address, options: RequestOptions) -> _Conn:
        idle = self._idle.get(address)
        while options.reuse and idle:
            conn = idle.pop()
            if await self._usable(conn):
                return conn
        try:
            with trio.fail_after(options.connect_timeout_s):
                stream = await trio.open_tcp_stream(address.host, address.port)
        except (OSError, trio.TooSlowError) as exc:
            message = f"cannot connect to {address}: {exc!r}"
            raise ClientError(message, Verdict.NOT_RUN) from exc
        return _Conn(stream, h11.Connection(h11.CLIENT))

    async def _usable(self, conn: _Conn) -> bool:
        """Whether a kept connection is recent and has nothing to read.

        A peer that closed, or that sent bytes nobody asked for, makes it readable.
        """
        recent = trio.current_time() - conn.idle_since < IDLE_CONNECTION_S
        usable = recent and not conn.stream.socket.is_readable()
        if not usable:
            await trio.aclose_forcefully(conn.stream)
        return usable

    async def _send(
        self,
        conn: _Conn,
        address: Address,
        method: str,
        target: str,
        headers: Mapping[str, str] | None,
        body: bytes,
        options: RequestOptions,
    ) -> h11.Response:
        fields = {"host": str(address), "content-length": str(len(body))}
        fields |= headers or {}
        encoded = [(n.encode("ascii"), v.encode("latin-1")) for n, v in fields.items()]
        try:
            request = h11.Request(method=method, target=target, headers=encoded)
        except (h11.LocalProtocolError, UnicodeEncodeError) as exc:
            raise ClientError(f"bad request: {exc}", Verdict.NOT_RUN) from exc
        data = conn.h11.send(request) or b""
        data += conn.h11.send(h11.Data(data=body)) or b""
        data += conn.h11.send(h11.EndOfMessage()) or b""
        timeout_s = options.head_timeout_s or options.idle_timeout_s
        try:
            if len(data) <= SMALL_REQUEST_BYTES:
                with trio.fail_after(options.idle_timeout_s):
                    await conn.stream.send_all(data)
                return await _read_head(conn, address, timeout_s)
            return await _exchange_large(conn, address, data, timeout_s)
        except _FAILURES as exc:
            message = f"no response from {address}: {exc!r}"
            raise ClientError(message, Verdict.MAY_HAVE_RUN) from exc

    async def _release(self, address: Address, conn: _Conn) -> None:
        idle = self._idle.setdefault(address, deque())
        done = conn.h11.our_state is h11.DONE and conn.h11.their_state is h11.DONE
        if not done or not conn.request_sent or len(idle) >= MAX_IDLE_CONNECTIONS:
            await trio.aclose_forcefully(conn.stream)
            return
        conn.h11.start_next_cycle()
        conn.idle_since = trio.current_time()
        idle.append(conn)

    async def aclose(self) -> None:
        """Close all kept connections."""
        for idle in self._idle.values():
            while idle:
                await trio.aclose_forcefully(idle.pop().stream)


async def _read_head(conn: _Conn, address: Address, timeout_s: float) -> h11.Response:
    while True:
        event = await conn.next_event(timeout_s)
        if isinstance(event, h11.Response):
            return event
        if not isinstance(event, h11.InformationalResponse):
            raise ClientError(f"{address} closed", Verdict.MAY_HAVE_RUN)


async def _exchange_large(
    conn: _Conn, address: Address, data: bytes, timeout_s: float
) -> h11.Response:
    """Send a request while reading, as a server may answer before it has it all.

    A server that answers early may stop reading; the answer then decides, not the
    failure to send the rest.
    """
    failure: list[Exception] = []

    async def send() -> None:
        conn.request_sent = False
        try:
            await conn.stream.send_all(data)
            conn.request_sent = True
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            failure.append(exc)

    head: h11.Response | None = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send)
        try:
            head = await _read_head(conn, address, timeout_s)
        except (*_FAILURES, ClientError) as exc:
            failure.append(exc)
        if head is None or head.status_code >= FIRST_ERROR_STATUS:
            nursery.cancel_scope.cancel()
    if head is None:
        raise failure[-1]
    return head
