"""HTTP/1.1 client with persistent connections.

Each failure has a verdict: whether the request may have run at the server.
"""

import math
from collections import deque
from collections.abc import AsyncGenerator, AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from enum import Enum
from typing import Any

import attrs
import h11
import msgspec
import trio

from foxtailcourse.http._sse import ends_between_events
from foxtailcourse.protocol import Verdict
from foxtailcourse.settings import Address

MAX_READ_BYTES = 65536
# A request up to this size fits into the send buffer of a new connection, so that
# sending it cannot block.
SMALL_REQUEST_BYTES = 8192
FIRST_ERROR_STATUS = 400
STATUSES_WITHOUT_BODY = frozenset({204, 304})
# Responses with status 1xx before the final one.
MAX_INTERIM_RESPONSES = 8
MAX_IDLE_PER_ADDRESS = 16
MAX_IDLE_TIME_S = 30.0


class Framing(Enum):
    """How the end of a response body is marked.

    LENGTH
        By a length, or the response cannot have a body.
    CHUNKED
        By the last chunk of the chunked transfer coding.
    CLOSE
        By the end of the connection, which a failed server causes as well.
    """

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


class ClientError(Exception):
    """A request failed before its whole response was read.

    Parameters
    ----------
    message : str
        What failed.
    verdict : Verdict
        NOT_RUN if no byte of the request was passed to the operating system, else
        MAY_HAVE_RUN.
    stale : bool
        Whether the request was sent on a reused connection that ended without a byte
        of the response. The server has then probably closed it before it read the
        request.
    ended : bool
        Whether the server ended the connection before the response was complete.
    """

    def __init__(
        self,
        message: str,
        verdict: Verdict,
        *,
        stale: bool = False,
        ended: bool = False,
    ) -> None:
        super().__init__(message)
        self.verdict = verdict
        self.stale = stale
        self.ended = ended


@attrs.frozen(kw_only=True)
class RequestOptions:
    """Timeouts, limits and connection use of one request.

    Parameters
    ----------
    connect_timeout_s : float
        Longest time to connect.
    idle_timeout_s : float
        Longest time without progress in sending or receiving.
    head_timeout_s : float
        Longest wait for the head of the response, and longest time from its first byte
        to its last; 0 applies ``idle_timeout_s``.
    keep_waiting : callable
        Called each time when no data of the body has arrived for ``idle_timeout_s``,
        with the seconds of silence; returns whether to wait for that long again.
    body_timeout_s : float
        Longest time in which ``read`` receives the whole body.
    reuse : bool
        Whether an idle connection may be used. A request that must not be retried
        needs a new connection, since the server may already have closed an idle one.
    keep_alive : bool
        Whether the connection may return to the pool for later requests.
    max_body_bytes : int
        Largest body that ``read`` accepts.
    """

    connect_timeout_s: float = 2.0
    idle_timeout_s: float = 30.0
    head_timeout_s: float = 0.0
    keep_waiting: Callable[[float], bool] = lambda silent_s: False
    body_timeout_s: float = math.inf
    reuse: bool = True
    keep_alive: bool = True
    max_body_bytes: int = 32 * 1024 * 1024


@attrs.define
class ClientConnection:
    """A connection to a server, with its HTTP state."""

    stream: trio.SocketStream
    h11: h11.Connection
    idle_since: float = 0.0
    # Rest of the request, which is sent while the response is read.
    unsent: memoryview = attrs.field(factory=lambda: memoryview(b""))
    # False if the response ended before the whole request was sent.
    request_fully_sent: bool = True
    reused: bool = False
    # Whether a byte of the response to the present request has arrived.
    responded: bool = False
    # Whether the server ended the connection.
    ended: bool = False
    # The error that ended sending, if the server had not ended its response before.
    send_error: OSError | None = None

    def close(self) -> None:
        """Close the connection at once."""
        self.stream.socket.close()

    async def next_event(self, timeout_s: float) -> Any:
        """Return the next h11 event of the server; raises TooSlowError on a timeout."""
        deadline = trio.current_time() + timeout_s
        while True:
            event = self.h11.next_event()
            if event is not h11.NEED_DATA:
                return event
            await self.receive(max(0.0, deadline - trio.current_time()))

    async def receive(self, timeout_s: float) -> None:
        """Read from the socket once; raises TooSlowError on a timeout.

        The operating system reports a reset once. If sending got that report, reading
        finds a regular end of the connection, which is not one.
        """
        reads: list[bytes] = []
        try:
            with trio.move_on_after(timeout_s):
                await self._read_while_sending(reads)
            if not reads:
                # After a suspension of the process, timeouts may fire before the data
                # that arrived meanwhile is noticed.
                if not self.stream.socket.is_readable():
                    raise trio.TooSlowError
                reads.append(await self.stream.receive_some(MAX_READ_BYTES))
        except trio.BrokenResourceError:
            self.ended = True
            raise
        data = reads[0]
        self.ended = not data
        if self.ended and self.send_error is not None:
            raise trio.BrokenResourceError("reset") from self.send_error
        self.responded = self.responded or bool(data)
        self.h11.receive_data(data)

    async def _read_while_sending(self, reads: list[bytes]) -> None:
        """Read from the socket once, and meanwhile send what is left of the request.

        A server may answer before it has received the whole request, and read on only
        once its answer is taken, or not at all. The bytes are added to ``reads``, so
        that they are not lost if this is cancelled as they arrive.
        """
        if not self.unsent:
            reads.append(await self.stream.receive_some(MAX_READ_BYTES))
            return
        error: trio.BrokenResourceError | None = None
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_rest)
                try:
                    reads.append(await self.stream.receive_some(MAX_READ_BYTES))
                except trio.BrokenResourceError as exc:
                    error = exc
                nursery.cancel_scope.cancel()
        except BaseExceptionGroup:
            # Both tasks were cancelled; callers expect a single Cancelled.
            await trio.lowlevel.checkpoint_if_cancelled()
            raise
        if error is not None:
            raise error

    async def _send_rest(self) -> None:
        """Send the rest of the request; a failure to do so ends it."""
        try:
            while self.unsent:
                sent_bytes = await self.stream.socket.send(self.unsent)
                self.unsent = self.unsent[sent_bytes:]
            self.request_fully_sent = True
        except OSError as exc:
            self.unsent = memoryview(b"")
            # EPIPE: the server ended its side before the connection was reset.
            if not isinstance(exc, BrokenPipeError):
                self.send_error = exc

    def read_buffered_body(self) -> tuple[bytes, bool]:
        """Return the received body bytes, and whether the body has ended.

        Raises
        ------
        ClientError
            If the next event is neither body data nor the end of the message.
        """
        chunks: list[bytes] = []
        try:
            while isinstance(event := self.h11.next_event(), h11.Data):
                chunks.append(bytes(event.data))
        except h11.RemoteProtocolError:
            # The bytes before the protocol error are returned first; h11 raises the
            # error again at the next call.
            if not chunks:
                raise
            return b"".join(chunks), False
        if event is h11.NEED_DATA or isinstance(event, h11.EndOfMessage):
            return b"".join(chunks), event is not h11.NEED_DATA
        raise ClientError(
            "response is truncated", Verdict.MAY_HAVE_RUN, ended=self.ended
        )


class ClientResponse:
    """A response whose head has been read and whose body can be streamed.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : dict of str to str
        Header fields by lower-case name; the last one of a repeated field.
    framing : Framing
        How the end of the body is marked.
    """

    def __init__(
        self,
        conn: ClientConnection,
        method: str,
        head: h11.Response,
        options: RequestOptions,
    ) -> None:
        self._conn = conn
        self._options = options
        self.status: int = head.status_code
        self.headers = {
            name.decode("ascii"): value.decode("latin-1")
            for name, value in head.headers
        }
        self.framing = _framing(method, self.status, self.headers)

    async def iter_chunks(self) -> AsyncGenerator[bytes, None]:
        """Yield the body in chunks; raises ClientError if it is truncated.

        Each chunk holds all bytes received so far, so that a slow reader handles
        several chunks of the transfer coding at once. No chunk is delayed to make it
        larger.
        """
        try:
            ended = False
            while not ended:
                chunk, ended = self._conn.read_buffered_body()
                if chunk:
                    yield chunk
                elif not ended:
                    await self._receive()
        except _CONNECTION_ERRORS as exc:
            raise ClientError(
                f"response is truncated: {exc!r}",
                Verdict.MAY_HAVE_RUN,
                ended=self._conn.ended,
            ) from exc

    async def _receive(self) -> None:
        """Read from the socket once; raises TooSlowError if the wait is given up."""
        started_at = trio.current_time()
        while True:
            try:
                return await self._conn.receive(self._options.idle_timeout_s)
            except trio.TooSlowError:
                if not self._options.keep_waiting(trio.current_time() - started_at):
                    raise

    async def read(self) -> bytes:
        """Return the whole body.

        Raises
        ------
        ClientError
            If the body is truncated, larger than ``max_body_bytes`` or takes longer
            than ``body_timeout_s``.
        """
        body = bytearray()
        with trio.move_on_after(self._options.body_timeout_s) as scope:
            async for chunk in self.iter_chunks():
                body += chunk
                if len(body) > self._options.max_body_bytes:
                    raise ClientError(
                        "response body is too large", Verdict.MAY_HAVE_RUN
                    )
        if scope.cancelled_caught:
            raise ClientError("response body takes too long", Verdict.MAY_HAVE_RUN)
        self.check_whole(body)
        return bytes(body)

    def check_whole(self, body: bytes | bytearray) -> None:
        """Check that a body which ended with its connection shows no sign of a cut.

        A server that fails also closes its connections, so its content has to tell.
        Only successful responses are checked.

        Raises
        ------
        ClientError
            If the body is empty, or its content type shows that it is not whole.
        """
        if self.framing is not Framing.CLOSE or self.status >= FIRST_ERROR_STATUS:
            return
        content_type = self.headers.get("content-type", "")
        if not body or not _is_whole(content_type, bytes(body)):
            raise ClientError(
                "connection ended within the response body",
                Verdict.MAY_HAVE_RUN,
                ended=True,
            )

    async def json(self) -> object:
        """Return the decoded JSON body; raises ClientError if it is malformed."""
        try:
            return msgspec.json.decode(await self.read())
        except (msgspec.DecodeError, RecursionError) as exc:
            raise ClientError(
                f"response is not valid JSON: {exc}", Verdict.MAY_HAVE_RUN
            ) from exc


_CONNECTION_ERRORS = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
    h11.RemoteProtocolError,
)


class ConnectionPool:
    """Makes HTTP requests and pools idle connections by address."""

    def __init__(self) -> None:
        self._idle: dict[Address, deque[ClientConnection]] = {}

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
        conn: ClientConnection | None = None,
    ) -> AsyncIterator[ClientResponse]:
        """Send a request and yield the response once its head has arrived.

        It is sent on ``conn``, from ``connect``, if that is given.

        Raises
        ------
        ClientError
            With verdict NOT_RUN if no byte was sent, else MAY_HAVE_RUN.
        """
        options = options or RequestOptions()
        conn = conn or await self.connect(address, options)
        try:
            head = await self._send_request(
                conn, address, method, target, headers, body, options
            )
            yield ClientResponse(conn, method, head, options)
        except BaseException as exc:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(conn.stream)
                if isinstance(exc, ClientError) and exc.stale:
                    await self._close_idle(self._idle.get(address, deque()))
            raise
        if options.keep_alive:
            await self._release(address, conn)
        else:
            # Without a checkpoint, so that a response that was read is not lost.
            conn.close()

    async def connect(
        self, address: Address, options: RequestOptions
    ) -> ClientConnection:
        """Return an idle connection, or a new one if there is none to reuse.

        Raises
        ------
        ClientError
            With verdict NOT_RUN if there is no connection.
        """
        idle = self._idle.get(address)
        while options.reuse and idle:
            conn = idle.pop()
            if await self._is_reusable(conn):
                conn.reused, conn.responded = True, False
                return conn
        try:
            stream = await _open_stream(address, options.connect_timeout_s)
        # ValueError: a host name that cannot be encoded for the resolver.
        except (OSError, ValueError, trio.TooSlowError) as exc:
            message = f"cannot connect to {address}: {exc!r}"
            raise ClientError(message, Verdict.NOT_RUN) from exc
        return ClientConnection(stream, h11.Connection(h11.CLIENT))

    async def _is_reusable(self, conn: ClientConnection) -> bool:
        """Return whether an idle connection is recent and not readable; else close it.

        It is readable if the server closed it or sent unrequested bytes.
        """
        recent = trio.current_time() - conn.idle_since < MAX_IDLE_TIME_S
        reusable = recent and not conn.stream.socket.is_readable()
        if not reusable:
            await trio.aclose_forcefully(conn.stream)
        return reusable

    async def _send_request(
        self,
        conn: ClientConnection,
        address: Address,
        method: str,
        target: str,
        headers: Mapping[str, str] | None,
        body: bytes,
        options: RequestOptions,
    ) -> h11.Response:
        """Send a request and return the head of its response."""
        header_fields = {"host": str(address), "content-length": str(len(body))}
        header_fields |= headers or {}
        try:
            encoded = [
                (n.encode("ascii"), v.encode("latin-1"))
                for n, v in header_fields.items()
            ]
            request = h11.Request(method=method, target=target, headers=encoded)
        except (h11.LocalProtocolError, UnicodeEncodeError) as exc:
            raise ClientError(f"invalid request: {exc}", Verdict.NOT_RUN) from exc
        data = conn.h11.send(request) or b""
        data += conn.h11.send(h11.Data(data=body)) or b""
        data += conn.h11.send(h11.EndOfMessage()) or b""
        timeout_s = options.head_timeout_s or options.idle_timeout_s
        try:
            if len(data) <= SMALL_REQUEST_BYTES:
                with trio.fail_after(options.idle_timeout_s):
                    await conn.stream.send_all(data)
            else:
                conn.unsent, conn.request_fully_sent = memoryview(data), False
            head = await _read_head(conn, address, timeout_s)
        except _CONNECTION_ERRORS as exc:
            message = f"no response from {address}: {exc!r}"
            timed_out = isinstance(exc, trio.TooSlowError)
            stale = conn.reused and not conn.responded and not timed_out
            raise ClientError(
                message,
                Verdict.MAY_HAVE_RUN,
                stale=stale,
                ended=conn.ended or isinstance(exc, trio.BrokenResourceError),
            ) from exc
        if head.status_code >= FIRST_ERROR_STATUS:
            conn.unsent = memoryview(b"")
        return head

    async def _release(self, address: Address, conn: ClientConnection) -> None:
        """Return a connection to the pool, or close it if it is not reusable."""
        idle = self._idle.setdefault(address, deque())
        complete = conn.h11.our_state is h11.DONE and conn.h11.their_state is h11.DONE
        # Bytes after the response would be taken for the next one.
        has_extra_bytes = bool(conn.h11.trailing_data[0])
        if (
            not complete
            or has_extra_bytes
            or not conn.request_fully_sent
            or len(idle) >= MAX_IDLE_PER_ADDRESS
        ):
            await trio.aclose_forcefully(conn.stream)
            return
        conn.h11.start_next_cycle()
        conn.idle_since = trio.current_time()
        idle.append(conn)

    async def aclose(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            await self._close_idle(idle)

    async def _close_idle(self, idle: deque[ClientConnection]) -> None:
        while idle:
            await trio.aclose_forcefully(idle.pop().stream)


def _framing(method: str, status: int, headers: Mapping[str, str]) -> Framing:
    """Return how the end of a response body is marked (RFC 9112, section 6.3)."""
    if method == "HEAD" or status in STATUSES_WITHOUT_BODY:
        return Framing.LENGTH
    if "transfer-encoding" in headers:
        return Framing.CHUNKED
    return Framing.LENGTH if "content-length" in headers else Framing.CLOSE


def _is_whole(content_type: str, body: bytes) -> bool:
    """Return False if the end of a body is missing, as far as its type tells."""
    media_type = content_type.partition(";")[0].strip().lower()
    if media_type == "text/event-stream":
        return ends_between_events(body)
    if media_type == "application/json" or media_type.endswith("+json"):
        try:
            msgspec.json.decode(body)
        except (msgspec.DecodeError, RecursionError):
            return False
    return True


async def _open_stream(address: Address, timeout_s: float) -> trio.SocketStream:
    """Connect; raises OSError, or TooSlowError on a timeout.

    A timeout that fires as late as a second one would is due to a suspension of the
    process, so the connection is tried once more.
    """
    started_at = trio.current_time()
    with trio.move_on_after(timeout_s):
        return await trio.open_tcp_stream(address.host, address.port)
    if trio.current_time() - started_at >= 2 * timeout_s:
        with trio.move_on_after(timeout_s):
            return await trio.open_tcp_stream(address.host, address.port)
    raise trio.TooSlowError


async def _read_head(
    conn: ClientConnection, address: Address, timeout_s: float
) -> h11.Response:
    """Return the head of the final response; skips 1xx responses.

    Raises TooSlowError if nothing arrives for ``timeout_s``, or if a head that has
    begun is not complete after this time.
    """
    interim_responses = 0
    while interim_responses <= MAX_INTERIM_RESPONSES:
        event = conn.h11.next_event()
        if event is h11.NEED_DATA:
            await conn.receive(timeout_s)
            event = await conn.next_event(timeout_s)
        if isinstance(event, h11.Response):
            return event
        if not isinstance(event, h11.InformationalResponse):
            raise ClientError(
                f"{address} closed the connection", Verdict.MAY_HAVE_RUN, ended=True
            )
        interim_responses += 1
    raise ClientError(f"{address} sends no final response", Verdict.MAY_HAVE_RUN)
