"""HTTP/1.1 server with one task per connection."""

import contextlib
import logging
import os
import socket
import struct
from collections.abc import Awaitable, Callable, Iterator

import h11
import trio

from foxtailcourse.http._errors import HttpError
from foxtailcourse.http._exchange import Connection, EndReason, Exchange
from foxtailcourse.http._limits import ByteBudget, CurrentLimits, HttpLimits
from foxtailcourse.protocol import Verdict

LOGGER = logging.getLogger(__name__)

_CONNECTION_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
    h11.LocalProtocolError,
)

# Linger for no time: closing the connection resets it.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

Handler = Callable[[Exchange], Awaitable[None]]
# Gets the reason, and the request unless it was not read to its end.
UnansweredObserver = Callable[[EndReason, Exchange | None], None]
# Accepted connections beyond the limit that wait for one to end; further ones are
# refused.
MAX_WAITING_CONNECTIONS = 128
# Time from the first byte on such a connection until it is refused.
MAX_SLOT_WAIT_S = 0.5
# Connections that are being refused; further ones are closed without a response, so
# that they do not take up the descriptors of the process.
MAX_REFUSALS = 64
# Time in which a connection beyond the waiting ones must begin its request.
REFUSAL_WAIT_S = 1.0
CONNECTIONS_RETRY_MS = 500
# Time in which a new connection may make its first request while the server drains.
FIRST_REQUEST_GRACE_S = 1.0


class NoResponseError(Exception):
    """A handler returned without sending a response or aborting the connection."""


class HttpServer:
    """Serves HTTP requests on TCP listeners with one handler.

    Parameters
    ----------
    handler : callable
        Responds to one exchange; it may raise HttpError before a response is started.
    limits : HttpLimits
        Limits on connections, sizes and times.
    on_error : callable
        Called with the exchange and each handler exception other than HttpError,
        BrokenResourceError and TooSlowError. The latter two abort the connection.
    on_unanswered : callable, optional
        Called with an EndReason each time a connection ends while a request, or a part
        of one, has no complete response, and with the exchange or None.
    on_failure : callable, optional
        Called with each other exception, which ends its connection only.

    Attributes
    ----------
    active : int
        Number of requests in progress.
    """

    def __init__(
        self,
        handler: Handler,
        limits: HttpLimits,
        on_error: Callable[[Exchange, Exception], None],
        on_unanswered: UnansweredObserver = lambda reason, exchange: None,
        on_failure: Callable[[Exception], None] = lambda exc: LOGGER.error(
            "a connection failed", exc_info=exc
        ),
    ) -> None:
        self._handler = handler
        self._current_limits = CurrentLimits(limits)
        self._budget = ByteBudget(limits.max_buffered_bytes)
        self._on_error = on_error
        self._on_unanswered = on_unanswered
        self._on_failure = on_failure
        self._connection_slots = trio.CapacityLimiter(limits.max_connections)
        self._refusals = 0
        self._draining = trio.Event()
        self._accept_scope = trio.CancelScope()
        self._listeners: list[trio.SocketListener] = []
        self._nursery: trio.Nursery | None = None
        self.active = 0

    @property
    def limits(self) -> HttpLimits:
        """The limits in force."""
        return self._current_limits.value

    def set_limits(self, limits: HttpLimits) -> None:
        """Apply other limits, also to open connections.

        A wait for a request in progress lasts as long as the largest idle timeout in
        force during this wait. The limits on connections and on buffered bytes do not
        change.
        """
        self._current_limits.replace(limits)

    async def serve(
        self,
        listeners: list[trio.SocketListener],
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled, or until the last connection ends after a stop."""
        async with trio.open_nursery() as nursery:
            self._listeners, self._nursery = listeners, nursery
            task_status.started()
            with self._accept_scope:
                await trio.serve_listeners(
                    self._serve_connection, listeners, handler_nursery=nursery
                )

    def stop_accepting(self) -> None:
        """Close the listeners; connections made before that are still served.

        They include those in the backlog, which closing a listener would reset.
        """
        if self._nursery is not None and not self._accept_scope.cancel_called:
            for listener in self._listeners:
                for stream in _accept_backlog(listener):
                    self._nursery.start_soon(self._serve_connection, stream)
        self._accept_scope.cancel()

    def drain(self) -> None:
        """Close idle connections now, and busy ones after their last response.

        A request of which any byte has arrived still gets a response.
        """
        self._draining.set()

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        async with stream:
            try:
                await self._serve_or_refuse(stream)
            except* Exception as group:
                # It would end all other connections as well.
                self._on_failure(group)

    async def _serve_or_refuse(self, stream: trio.SocketStream) -> None:
        if not await self._wait_for_slot(stream):
            await self._refuse_connection(stream)
            return
        try:
            await self._serve_requests(stream)
        finally:
            self._connection_slots.release_on_behalf_of(stream)

    async def _wait_for_slot(self, stream: trio.SocketStream) -> bool:
        """Wait until a connection may be served; returns False to refuse it.

        A connection that has sent nothing waits as long as needed.
        """
        slots = self._connection_slots
        with contextlib.suppress(trio.WouldBlock):
            slots.acquire_on_behalf_of_nowait(stream)
            return True
        if slots.statistics().tasks_waiting >= MAX_WAITING_CONNECTIONS:
            return False
        acquired = False

        async def stop_waiting() -> None:
            await trio.lowlevel.wait_readable(stream.socket)
            await trio.sleep(MAX_SLOT_WAIT_S)
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stop_waiting)
            await slots.acquire_on_behalf_of(stream)
            acquired = True
            nursery.cancel_scope.cancel()
        return acquired

    async def _refuse_connection(self, stream: trio.SocketStream) -> None:
        """Respond that there are too many connections, once a request has begun."""
        if self._refusals >= MAX_REFUSALS:
            self._on_unanswered(EndReason.TOO_MANY_CONNECTIONS, None)
            return
        self._refusals += 1
        conn = Connection(stream, self._current_limits, self._budget, self._draining)
        message = "too many connections"
        error = HttpError(
            503, "server_busy", message, retry_after_ms=CONNECTIONS_RETRY_MS
        )
        try:
            with trio.move_on_after(REFUSAL_WAIT_S) as scope:
                await trio.lowlevel.wait_readable(stream.socket)
            if not scope.cancelled_caught:
                await conn.respond_read_error(error)
                await stream.send_eof()
                await conn.linger()
        except _CONNECTION_ERRORS:
            pass  # the caller has closed the connection
        finally:
            self._refusals -= 1

    async def _serve_requests(self, stream: trio.SocketStream) -> None:
        conn = Connection(stream, self._current_limits, self._budget, self._draining)
        try:
            while await self._serve_one(conn):
                pass
            if not conn.aborted:
                await stream.send_eof()
                if conn.refused_early:
                    await conn.linger()
                elif conn.end_reason is not None and await conn.crossed_request():
                    self._on_unanswered(conn.end_reason, None)
            elif conn.end_marks_response:
                _reset_on_close(stream)
        except* _CONNECTION_ERRORS:
            if conn.has_partial_request:
                self._on_unanswered(EndReason.CALLER_CLOSED, None)
        finally:
            # Reserved by a request whose connection closed before it was complete.
            conn.release()

    async def _read_request(self, conn: Connection) -> Exchange | None:
        """Read a request; closes an idle connection when draining begins.

        A new connection has a short time to make its first request.
        """
        result: Exchange | None = None

        async def stop_when_draining() -> None:
            await self._draining.wait()
            if not conn.served_requests:
                await trio.sleep_until(conn.accepted_at + FIRST_REQUEST_GRACE_S)
            if conn.idle:
                conn.end_reason = EndReason.CROSSED_DRAINING
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stop_when_draining)
            result = await conn.read_request()
            nursery.cancel_scope.cancel()
        return result

    async def _serve_one(self, conn: Connection) -> bool:
        """Serve one request; return whether the connection may carry another one."""
        try:
            exchange = await _raise_first_error(self._read_request, conn)
        except h11.RemoteProtocolError as exc:
            reason = f"malformed request: {exc}"
            status = exc.error_status_hint
            await conn.respond_read_error(
                HttpError(status, "malformed_request", reason)
            )
            return False
        except trio.TooSlowError:
            error = HttpError(408, "request_timeout", "request was sent too slowly")
            await conn.respond_read_error(error)
            return False
        except HttpError as exc:
            await conn.respond_read_error(exc)
            return False
        except _CONNECTION_ERRORS:
            raise
        except Exception:
            LOGGER.exception("cannot read a request")
            await conn.respond_read_error(_internal_error(Verdict.NOT_RUN))
            return False
        if exchange is None:
            return False
        conn.served_requests += 1
        self.active += 1
        end_reason = EndReason.STOPPED
        try:
            await self._handle_request(conn, exchange)
            end_reason = EndReason.ABORTED
        finally:
            self.active -= 1
            conn.release()
            if not conn.response_sent:
                self._on_unanswered(conn.end_reason or end_reason, exchange)
        if conn.aborted:
            return False
        if conn.h11.our_state is not h11.DONE or conn.h11.their_state is not h11.DONE:
            return False
        conn.h11.start_next_cycle()
        if self._draining.is_set() and conn.idle:
            conn.end_reason = EndReason.CROSSED_DRAINING
            return False
        return True

    async def _handle_request(self, conn: Connection, exchange: Exchange) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(conn.watch_disconnect, nursery.cancel_scope)
            await self._call_handler(conn, exchange)
            nursery.cancel_scope.cancel()

    async def _call_handler(self, conn: Connection, exchange: Exchange) -> None:
        """Call the handler; a response that it does not start is an error response."""
        try:
            try:
                await self._handler(exchange)
            except HttpError as exc:
                if exchange.response_started:
                    conn.aborted = True
                else:
                    await exchange.respond_error(exc)
            if not exchange.response_started and not conn.aborted:
                raise NoResponseError("the handler sent no response")
        except (trio.BrokenResourceError, trio.TooSlowError):
            conn.aborted = True
        except Exception as exc:
            self._on_error(exchange, exc)
            conn.aborted = exchange.response_started
            if not exchange.response_started:
                # They may be the cause.
                exchange.common_fields.clear()
                await exchange.respond_error(_internal_error(Verdict.MAY_HAVE_RUN))


def _accept_backlog(listener: trio.SocketListener) -> Iterator[trio.SocketStream]:
    """Accept the connections that are complete now, without waiting for others."""
    try:
        with socket.socket(fileno=os.dup(listener.socket.fileno())) as accepting:
            while True:
                accepted, _ = accepting.accept()
                yield trio.SocketStream(trio.socket.from_stdlib_socket(accepted))
    except OSError as exc:
        if not isinstance(exc, BlockingIOError):
            LOGGER.warning("cannot accept the backlog: %r", exc)


def _reset_on_close(stream: trio.SocketStream) -> None:
    """Let closing a connection reset it."""
    try:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    except OSError as exc:
        LOGGER.warning("cannot reset a truncated response: %r", exc)


def _internal_error(verdict: Verdict) -> HttpError:
    return HttpError(500, "internal_error", "internal error", verdict=verdict)


async def _raise_first_error(
    read: Callable[[Connection], Awaitable[Exchange | None]], conn: Connection
) -> Exchange | None:
    """Await a call and raise the first exception of its group in place of the group."""
    try:
        return await read(conn)
    except ExceptionGroup as group:
        error = group.exceptions[0]
    raise error
