"""A server connection, and one HTTP exchange (request and response) on it."""

import fcntl
import os
import socket
import struct
import termios
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from enum import Enum
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import h11
import msgspec
import trio

from foxtailcourse.http._errors import HttpError
from foxtailcourse.http._limits import (
    ByteBudget,
    CurrentLimits,
    HttpLimits,
    SendProgress,
)

MAX_READ_BYTES = 65536
SERVER_BUSY_RETRY_MS = 500
# ": " and CRLF of each header field.
FIELD_SEPARATOR_BYTES = 4
# Part of the idle timeout that is not announced, for requests on their way.
KEEP_ALIVE_MARGIN_S = 0.5
MAX_ANNOUNCED_IDLE_S = 3600.0
# Period in which a blocked connection is checked for bytes that the caller accepted.
PROGRESS_CHECK_S = 0.5
# Position in Linux's ``struct tcp_info`` of the milliseconds since the last data.
TCP_INFO_BYTES, LAST_DATA_OFFSET = 56, 52
# Limits on reading the rest of a request after an error response.
LINGER_S = 1.0
# Time in which a request that crossed the close of an idle connection is noticed.
CROSSING_WATCH_S = 0.25
MAX_LINGER_BYTES = 8 * 1024 * 1024


class EndReason(Enum):
    """Why a connection ended without a complete response to a request.

    ABORTED
        The handler aborted the connection or could not end the response.
    CALLER_CLOSED
        The caller closed or reset the connection.
    CROSSED_DRAINING, CROSSED_IDLE_TIMEOUT
        The request arrived after an idle connection was closed, and was not read.
    SEND_TIMEOUT
        The caller did not receive the response in time.
    STOPPED
        The server was stopped with the request in progress.
    TOO_MANY_CONNECTIONS
        The connection was closed without being read.
    """

    ABORTED = "aborted"
    CALLER_CLOSED = "caller_closed"
    CROSSED_DRAINING = "crossed_draining"
    CROSSED_IDLE_TIMEOUT = "crossed_idle_timeout"
    SEND_TIMEOUT = "send_timeout"
    STOPPED = "stopped"
    TOO_MANY_CONNECTIONS = "too_many_connections"


class Exchange:
    """One HTTP request and the methods that send its response.

    Parameters
    ----------
    conn : Connection
        The connection that the request arrived on.
    request : h11.Request
        The request line and header fields.

    Attributes
    ----------
    method, target, path : str
        Method, request target, and its decoded path without the query.
    query : dict of str to str
        Query parameters; the last value of a repeated one.
    raw_headers : tuple of (bytes, bytes)
        All header fields, in the order received.
    headers : dict of str to str
        Header fields by lower-case name; the last one of a repeated field.
    body : bytes
        Body of the request.
    response_started : bool
        Whether sending the response has begun.
    common_fields : dict of str to str
        Header fields that are added to the response, whatever its status.
    read_late_s : float
        For how long the beginning of the request had waited to be read, in seconds.

    Raises
    ------
    HttpError
        400 if the target is malformed, or if an ``Authorization`` or ``foxtail-``
        field is repeated.
    """

    def __init__(self, conn: "Connection", request: h11.Request) -> None:
        self._conn = conn
        self.method = request.method.decode("ascii")
        self.target = request.target.decode("ascii")
        try:
            split = urlsplit(self.target)
        except ValueError as exc:
            raise HttpError(400, "malformed_target", "invalid request target") from exc
        self.path = unquote(split.path)
        self.query = {k: v[-1] for k, v in parse_qs(split.query).items()}
        self.raw_headers = tuple(request.headers)
        self.headers: dict[str, str] = {}
        for name, value in request.headers:
            key = name.decode("ascii")
            if key in self.headers and key.startswith(("foxtail-", "authorization")):
                raise HttpError(400, "duplicate_header", f"header {key} is repeated")
            self.headers[key] = value.decode("latin-1")
        self.response_started = False
        self.common_fields: dict[str, str] = {}
        self.read_late_s = conn.read_late_s
        self._arrived_at = conn.arrived_at
        self._closing = False
        self.body = b""

    def age_s(self) -> float:
        """Return how long ago the request began to arrive, in seconds."""
        return trio.current_time() - self._arrived_at

    def json(self) -> object:
        """Return the decoded JSON body; raises HttpError if it is malformed."""
        try:
            return msgspec.json.decode(self.body)
        except (msgspec.DecodeError, RecursionError) as exc:
            reason = f"body is not valid JSON: {exc}"
            raise HttpError(400, "malformed_json", reason) from exc

    async def respond(
        self,
        status: int,
        body: bytes,
        fields: Mapping[str, str] | None = None,
        *,
        content_type: str = "application/json",
    ) -> None:
        """Send a complete response."""
        head = dict(fields or {})
        head["content-type"] = content_type
        head["content-length"] = str(len(body))
        await self._start(status, head, h11.Data(data=body), h11.EndOfMessage())

    async def respond_json(
        self, status: int, value: object, fields: Mapping[str, str] | None = None
    ) -> None:
        """Send a value as a complete JSON response."""
        await self.respond(status, msgspec.json.encode(value), fields)

    async def respond_error(self, exc: HttpError) -> None:
        """Send an error response."""
        await self.respond(exc.status, exc.body(), exc.headers())

    async def start_stream(
        self, status: int, fields: Mapping[str, str], chunk: bytes = b""
    ) -> None:
        """Send the head of a streamed response, and its first chunk unless empty."""
        await self._start(status, fields, *_data_events(chunk))

    async def _start(
        self, status: int, fields: Mapping[str, str], *events: h11.Event
    ) -> None:
        """Send the head of the response and further events.

        The response has not started if they cannot be encoded, so that the handler
        can send another one.
        """
        await self._conn.send_bytes(self._encode_start(status, fields, *events))

    def _encode_start(
        self, status: int, fields: Mapping[str, str], *events: h11.Event
    ) -> bytes:
        """Return the encoded head of the response and further events."""
        data = self._conn.encode(self._response(status, fields), *events)
        self.response_started = True
        return data

    async def send(self, chunk: bytes) -> None:
        """Send one chunk of a streamed body."""
        await self._conn.send(h11.Data(data=chunk))

    async def end_stream(self, chunk: bytes = b"") -> None:
        """Send the last chunk, unless empty, and the end of a streamed body."""
        await self._conn.send(*_data_events(chunk), h11.EndOfMessage())

    # A streamed response whose encoded bytes the handler buffers and sends

    def encode_stream_start(
        self, status: int, fields: Mapping[str, str], chunk: bytes = b""
    ) -> bytes:
        """Return what ``start_stream`` would send."""
        self._conn.begin_sending()
        return self._encode_start(status, fields, *_data_events(chunk))

    def encode_chunk(self, chunk: bytes) -> bytes:
        """Return what ``send`` would send."""
        self._conn.begin_sending()
        return self._conn.encode(h11.Data(data=chunk))

    def encode_stream_end(self, chunk: bytes = b"") -> bytes:
        """Return what ``end_stream`` would send."""
        self._conn.begin_sending()
        return self._conn.encode(*_data_events(chunk), h11.EndOfMessage())

    def send_now(self, data: bytes) -> int:
        """Send as many encoded bytes as fit into the send buffer.

        Returns
        -------
        int
            Number of bytes sent.
        """
        return self._conn.send_now(data)

    async def send_some(self, data: bytes) -> int:
        """Wait until encoded bytes can be sent; return how many were sent.

        Raises
        ------
        trio.TooSlowError
            If the caller accepts no byte for ``send_timeout_s``.
        """
        return await self._conn.send_some(data)

    def mark_sent(self) -> None:
        """Record that all encoded bytes were sent."""
        self._conn.mark_sent()

    def close_after_response(self) -> None:
        """Add ``connection: close`` to the response.

        It is left out while a further request has arrived behind this one, so that
        this request gets a response as well; the last response has it.
        """
        self._closing = True

    def end_with_connection(self) -> None:
        """Send the streamed response without framing; its end closes the connection."""
        # h11 leaves the framing out for a client of HTTP/1.0.
        self._conn.h11.their_http_version = b"1.0"

    def _response(self, status: int, fields: Mapping[str, str]) -> h11.Response:
        connection_fields = self._conn.connection_fields(closing=self._closing)
        return _response(status, {**fields, **self.common_fields, **connection_fields})

    def abort(self) -> None:
        """Close the connection without ending the response once the handler returns."""
        self._conn.aborted = True


def send_without_blocking(stream: trio.SocketStream, data: bytes) -> int:
    """Send as many bytes as fit into the send buffer, without a trio checkpoint.

    A checkpoint and a timeout cost more than the send itself, and most chunks fit into
    the send buffer. The caller must still reach a checkpoint between sends; each read
    from a peer is one.

    Returns
    -------
    int
        Number of bytes sent.

    Raises
    ------
    trio.BrokenResourceError
        If the peer has closed the connection.
    trio.ClosedResourceError
        If the stream is closed.
    """
    socket_fd = stream.socket.fileno()
    if socket_fd < 0:
        raise trio.ClosedResourceError("stream is closed")
    try:
        return os.write(socket_fd, data)
    except BlockingIOError:
        return 0
    except OSError as exc:
        raise trio.BrokenResourceError(f"socket connection broken: {exc}") from exc


def _unacknowledged(stream: trio.SocketStream) -> int:
    """Return the sent bytes that the peer has not acknowledged, as Linux counts them.

    Raises
    ------
    trio.BrokenResourceError
        If the connection is broken.
    """
    try:
        data = fcntl.ioctl(stream.socket.fileno(), termios.TIOCOUTQ, b"\0" * 4)
    except (OSError, ValueError) as exc:
        raise trio.BrokenResourceError(f"socket connection broken: {exc}") from exc
    return struct.unpack("i", data)[0]


def _since_last_data_s(stream: trio.SocketStream) -> float:
    """Return how long ago the last data of a connection arrived, in seconds.

    It may have waited in the accept queue or the receive buffer. 0 if the system does
    not tell.
    """
    try:
        info = stream.socket.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
    except OSError:
        return 0.0
    if len(info) < TCP_INFO_BYTES:
        return 0.0
    (age_ms,) = struct.unpack_from("@I", info, LAST_DATA_OFFSET)
    return age_ms / 1000


def _response(status: int, fields: Mapping[str, str]) -> h11.Response:
    encoded = [
        (name.encode("ascii"), _clean_header_value(value))
        for name, value in fields.items()
    ]
    return h11.Response(status_code=status, headers=encoded)


def _data_events(chunk: bytes) -> list[h11.Event]:
    return [h11.Data(data=chunk)] if chunk else []


def _clean_header_value(value: str) -> bytes:
    printable = "".join(c if " " <= c <= "~" else "?" for c in value)
    return printable.strip().encode("ascii")


class Connection:
    """One accepted connection, with its HTTP state and its reserved body bytes."""

    def __init__(
        self,
        stream: trio.SocketStream,
        limits: CurrentLimits,
        budget: ByteBudget,
        draining: trio.Event,
    ) -> None:
        self.stream = stream
        self._draining = draining
        # Whether a request was refused before it was read to its end.
        self.refused_early = False
        self.accepted_at = trio.current_time()
        self._current_limits = limits
        self._budget = budget
        self._reserved_bytes = 0
        self._h11_header_bytes = self.limits.max_header_bytes
        self.h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._h11_header_bytes
        )
        # Idle timeout that the caller knows of.
        self._announced_idle_s = self.limits.idle_timeout_s
        # Whether the present request is HEAD; h11 refuses the body of its response.
        self._head_only = False
        # Why the connection ends, if it is not the handler that aborts it.
        self.end_reason: EndReason | None = None
        self._unsent = False
        self.aborted = False
        self.served_requests = 0
        # When the present request began to arrive, and how long it waited to be read.
        self.arrived_at = self.accepted_at
        self.read_late_s = 0.0
        # When the first bytes behind the present request arrived; None without any.
        self._next_arrived_at: float | None = None

    @property
    def limits(self) -> HttpLimits:
        """The limits in force."""
        return self._current_limits.value

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes behind the present request, or a close, have arrived."""
        return bool(self.h11.trailing_data[0]) or self.stream.socket.is_readable()

    @property
    def idle(self) -> bool:
        """Whether no byte of the next request has arrived."""
        return self.h11.their_state is h11.IDLE and not self.has_unread_bytes

    @property
    def response_sent(self) -> bool:
        """Whether the complete response was passed to the operating system."""
        is_complete = self.h11.our_state in {h11.DONE, h11.MUST_CLOSE, h11.CLOSED}
        return is_complete and not self._unsent

    @property
    def has_partial_request(self) -> bool:
        """Whether a request has begun that was neither served nor refused."""
        began = self.h11.trailing_data[0] or self.h11.their_state is h11.SEND_BODY
        return bool(began) and not self.refused_early

    @property
    def end_marks_response(self) -> bool:
        """Whether only the end of the connection marks that of the present response.

        It is so for a client of HTTP/1.0.
        """
        version = self.h11.their_http_version
        # The end may be encoded while bytes before it are not sent.
        is_sending = self.h11.our_state is h11.SEND_BODY or self._unsent
        return is_sending and version is not None and version < b"1.1"

    def connection_fields(self, *, closing: bool) -> dict[str, str]:
        """Return the response fields that concern the connection.

        They announce the idle timeout: the connection stays open for at least this
        time, even if the limit is lowered. A connection that is to be closed says so
        once no further request has arrived.
        """
        if closing or self._draining.is_set():
            return {} if self.has_unread_bytes else {"connection": "close"}
        self._announced_idle_s = self.limits.idle_timeout_s
        idle_s = min(self._announced_idle_s, MAX_ANNOUNCED_IDLE_S)
        announced_s = int(idle_s - KEEP_ALIVE_MARGIN_S)
        if self.h11.their_state is not h11.DONE or announced_s < 1:
            return {}
        return {"keep-alive": f"timeout={announced_s}"}

    def encode(self, *events: h11.Event) -> bytes:
        """Return the bytes of h11 events.

        If they are the first ones of a response and cannot be encoded, another
        response can be sent in its place; it closes the connection.

        Raises
        ------
        h11.LocalProtocolError
            If the events are no valid part of the response.
        """
        is_first = self.h11.our_state is h11.SEND_RESPONSE
        if self._head_only:
            events = tuple(e for e in events if not isinstance(e, h11.Data))
        try:
            return b"".join(self.h11.send(event) or b"" for event in events)
        except h11.LocalProtocolError:
            if is_first:
                self._forget_response()
            raise

    def _forget_response(self) -> None:
        """Let h11 send another response to the present request.

        h11 refuses all events after an error, so a new state is made from the parts
        of the request that matter for the framing of a response.
        """
        version = self.h11.their_http_version or b"1.1"
        method = b"HEAD" if self._head_only else b"GET"
        self.h11 = h11.Connection(h11.SERVER)
        self.h11.receive_data(
            b"%s / HTTP/%s\r\nhost: -\r\nconnection: close\r\n\r\n" % (method, version)
        )
        self.h11.next_event()
        self.h11.next_event()

    async def send(self, *events: h11.Event) -> None:
        """Send h11 events; a failure or timeout aborts the connection."""
        await self.send_bytes(self.encode(*events))

    async def send_bytes(self, data: bytes) -> None:
        """Send encoded events; a failure or timeout aborts the connection."""
        self.begin_sending()
        with self._aborting_on_failure():
            unsent = data[send_without_blocking(self.stream, data) :]
            if unsent:
                with trio.fail_after(self.limits.send_timeout_s):
                    await self.stream.send_all(unsent)
        self.mark_sent()

    def begin_sending(self) -> None:
        """Record that encoded bytes may be unsent."""
        self._unsent = True

    def mark_sent(self) -> None:
        """Record that all encoded bytes were sent."""
        self._unsent = False

    def send_now(self, data: bytes) -> int:
        """Send as many bytes as fit into the send buffer; a failure aborts."""
        with self._aborting_on_failure():
            return send_without_blocking(self.stream, data)

    async def send_some(self, data: bytes) -> int:
        """Wait until bytes can be sent and return how many were sent.

        The connection is aborted if the caller accepts no byte for ``send_timeout_s``.
        A full send buffer accepts new bytes only once a third of it is free, so the
        bytes that the caller acknowledges are watched as well.
        """
        await trio.lowlevel.checkpoint()
        progress = SendProgress(trio.current_time(), _unacknowledged(self.stream))
        with self._aborting_on_failure():
            while not (sent := send_without_blocking(self.stream, data)):
                progress.update(trio.current_time(), _unacknowledged(self.stream))
                if progress.stalled_s(trio.current_time()) > self.limits.send_timeout_s:
                    raise trio.TooSlowError
                with trio.move_on_after(PROGRESS_CHECK_S):
                    await trio.lowlevel.wait_writable(self.stream.socket)
        return sent

    @contextmanager
    def _aborting_on_failure(self) -> Iterator[None]:
        try:
            yield
        except (trio.TooSlowError, trio.BrokenResourceError) as exc:
            self.aborted = True
            too_slow = isinstance(exc, trio.TooSlowError)
            self.end_reason = (
                EndReason.SEND_TIMEOUT if too_slow else EndReason.CALLER_CLOSED
            )
            raise

    async def next_event(self) -> Any:
        """Return the next h11 event of the peer, reading as needed."""
        while True:
            event = self.h11.next_event()
            if event is not h11.NEED_DATA:
                return event
            self.h11.receive_data(await self.stream.receive_some(MAX_READ_BYTES))

    async def read_request(self) -> Exchange | None:
        """Return the next complete request, or None if the peer has closed."""
        self._head_only = False
        if not self.h11.trailing_data[0]:
            data = await self._wait_for_bytes()
            if not data:
                return None
            self.read_late_s = _since_last_data_s(self.stream)
            self.arrived_at = trio.current_time() - self.read_late_s
            self.h11.receive_data(data)
        elif self._next_arrived_at is not None:
            self.arrived_at, self.read_late_s = self._next_arrived_at, 0.0
        self._next_arrived_at = None
        self._apply_header_limit()
        with trio.fail_after(self.limits.receive_timeout_s):
            with trio.fail_after(self.limits.header_timeout_s):
                event = await self.next_event()
            if not isinstance(event, h11.Request):
                return None
            self._head_only = event.method == b"HEAD"
            self._check_header(event)
            exchange = Exchange(self, event)
            exchange.body = await self._read_body(event)
            return exchange

    def _check_header(self, request: h11.Request) -> None:
        """Refuse a header over the limit.

        h11 checks its own limit only while a header is incomplete, so it accepts a
        larger one that arrives in a single read.
        """
        header_bytes = len(request.target) + len(request.method)
        header_bytes += sum(
            len(name) + len(value) + FIELD_SEPARATOR_BYTES
            for name, value in request.headers
        )
        if header_bytes > self.limits.max_header_bytes:
            limit = self.limits.max_header_bytes
            message = f"header exceeds {limit} bytes"
            raise HttpError(431, "header_too_large", message)

    async def _wait_for_bytes(self) -> bytes:
        """Wait for a request to begin; returns no bytes on a close or a timeout."""
        with self._current_limits.idle_wait(
            trio.current_time(), self._announced_idle_s
        ):
            return await self.stream.receive_some(MAX_READ_BYTES)
        if self.idle:
            self.end_reason = EndReason.CROSSED_IDLE_TIMEOUT
            return b""
        # Bytes arrived as the wait ended.
        return await self.stream.receive_some(MAX_READ_BYTES)

    def _apply_header_limit(self) -> None:
        """Let h11, whose limit is fixed, read the next request with the current one."""
        limit = self.limits.max_header_bytes
        if limit == self._h11_header_bytes:
            return
        received, _ = self.h11.trailing_data
        self._h11_header_bytes = limit
        self.h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=limit)
        self.h11.receive_data(received)

    async def _read_body(self, request: h11.Request) -> bytes:
        headers = dict(request.headers)
        length = headers.get(b"content-length", b"0")
        if int(length) > self.limits.max_body_bytes:
            raise self._body_too_large()
        if self.h11.they_are_waiting_for_100_continue:
            informational = h11.InformationalResponse(status_code=100, headers=[])
            await self.send(informational)
        body = bytearray()
        while True:
            event = await self.next_event()
            if isinstance(event, h11.Data):
                if len(body) + len(event.data) > self.limits.max_body_bytes:
                    raise self._body_too_large()
                self._reserve(len(event.data))
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            else:
                raise h11.RemoteProtocolError("connection closed within a request")

    def _reserve(self, byte_count: int) -> None:
        """Reserve bytes of the server's budget; raises HttpError 503 if it is full."""
        if not self._budget.acquire(byte_count):
            message = "too many bytes of request bodies are buffered"
            raise HttpError(
                503, "server_busy", message, retry_after_ms=SERVER_BUSY_RETRY_MS
            )
        self._reserved_bytes += byte_count

    def release(self) -> None:
        """Release the bytes reserved for the body of the current request."""
        self._budget.release(self._reserved_bytes)
        self._reserved_bytes = 0

    def _body_too_large(self) -> HttpError:
        limit = self.limits.max_body_bytes
        return HttpError(413, "body_too_large", f"body exceeds {limit} bytes")

    async def watch_disconnect(self, scope: trio.CancelScope) -> None:
        """Cancel the handler when the caller closes the connection.

        Reading stops while a caller has sent more than ``max_header_bytes`` behind
        the present request. Its disconnect is then noticed only by sending.
        """
        try:
            while True:
                data = await self.stream.receive_some(MAX_READ_BYTES)
                if not data:
                    break
                if self._next_arrived_at is None:
                    self._next_arrived_at = trio.current_time()
                # h11 buffers a pipelined request until this response has been sent.
                self.h11.receive_data(data)
                if len(self.h11.trailing_data[0]) > self.limits.max_header_bytes:
                    return
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # a reset is handled like an orderly close
        self.aborted = True
        self.end_reason = EndReason.CALLER_CLOSED
        scope.cancel()

    async def respond_read_error(self, exc: HttpError) -> None:
        """Send an error response to a request that could not be read."""
        if self.h11.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        fields = exc.headers()
        fields["content-type"] = "application/json"
        fields["content-length"] = str(len(exc.body()))
        fields["connection"] = "close"
        head = _response(exc.status, fields)
        with trio.CancelScope(shield=True):
            await self.send(head, h11.Data(data=exc.body()), h11.EndOfMessage())
        self.refused_early = True

    async def crossed_request(self) -> bool:
        """Return whether a request arrives just after the connection was ended.

        It is not read: the caller can then tell that it was not run.
        """
        with trio.move_on_after(CROSSING_WATCH_S):
            try:
                return bool(await self.stream.socket.recv(1, socket.MSG_PEEK))
            except OSError:
                return False  # the caller has reset the connection
        return False

    async def linger(self) -> None:
        """Read and discard what a refused caller still sends, within limits.

        Closing a socket with unread bytes resets the connection, and the caller may
        then lose the response.
        """
        discarded_bytes = 0
        with trio.move_on_after(LINGER_S):
            while discarded_bytes < MAX_LINGER_BYTES:
                data = await self.stream.receive_some(MAX_READ_BYTES)
                if not data:
                    return
                discarded_bytes += len(data)
