"""HTTP/1.1 server: one task for each connection."""

from collections.abc import Awaitable, Callable

import h11
import trio

from foxtailcourse.http._errors import HttpError
from foxtailcourse.http._exchange import Connection, Exchange
from foxtailcourse.http._limits import ByteBudget, HttpLimits
from foxtailcourse.protocol import Verdict

_PEER_FAILURES = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
    h11.LocalProtocolError,
)

Handler = Callable[[Exchange], Awaitable[None]]


class HttpServer:
    """Serves a handler on TCP listeners.

    Parameters
    ----------
    handler : callable
        Answers one exchange; it may raise HttpError before a response is started.
    limits : HttpLimits
        Bounds on peers.
    on_error : callable
        Told of handler errors that are not HttpError.
    """

    def __init__(
        self,
        handler: Handler,
        limits: HttpLimits,
        on_error: Callable[[Exchange, Exception], None],
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._budget = ByteBudget(limits.max_buffered_bytes)
        self._on_error = on_error
        self._slots = trio.CapacityLimiter(limits.max_connections)
        self._draining = trio.Event()
        self._accepting = trio.CancelScope()
        self.active = 0

    def set_limits(self, limits: HttpLimits) -> None:
        """Apply other bounds on peers to connections accepted from now on.

        The number of connections and the buffered bytes stay as they were.
        """
        self._limits = limits

    async def serve(
        self,
        listeners: list[trio.SocketListener],
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled, or until the last connection after a stop."""
        async with trio.open_nursery() as nursery:
            task_status.started()
            with self._accepting:
                await trio.serve_listeners(
                    self._serve_connection, listeners, handler_nursery=nursery
                )

    def stop_accepting(self) -> None:
        """Close the listeners; accepted connections go on."""
        self._accepting.cancel()

    def drain(self) -> None:
        """Close idle connections, and others after the response they are busy with."""
        self._draining.set()

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        async with self._slots, stream:
            conn = Connection(stream, self._limits, self._budget)
            conn.late = self._draining.is_set()
            try:
                while await self._serve_one(conn):
                    pass
                if not conn.broken:
                    await stream.send_eof()
            except* _PEER_FAILURES:
                pass
            finally:
                # A request that was cut while it was read was never handled.
                conn.release()

    async def _read(self, conn: Connection) -> Exchange | None:
        """Read a request; an idle connection ends when draining begins.

        One that is accepted later still gets to make its first request.
        """
        result: Exchange | None = None

        async def stop_when_draining() -> None:
            await self._draining.wait()
            if conn.idle:
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            if conn.served or not conn.late:
                nursery.start_soon(stop_when_draining)
            result = await conn.read_request()
            nursery.cancel_scope.cancel()
        return result

    async def _serve_one(self, conn: Connection) -> bool:
        """Serve one request; return whether the connection can be used again."""
        try:
            exchange = await _unwrap(self._read, conn)
        except h11.RemoteProtocolError as exc:
            reason = f"malformed request: {exc}"
            status = exc.error_status_hint
            await conn.answer_error(HttpError(status, "malformed_request", reason))
            return False
        except trio.TooSlowError:
            error = HttpError(408, "request_timeout", "request was sent too slowly")
            await conn.answer_error(error)
            return False
        except HttpError as exc:
            await conn.answer_error(exc)
            return False
        if exchange is None:
            return False
        conn.served += 1
        self.active += 1
        try:
            await self._handle(conn, exchange)
        finally:
            self.active -= 1
            conn.release()
        if conn.broken or self._draining.is_set():
            return False
        if conn.h11.our_state is not h11.DONE or conn.h11.their_state is not h11.DONE:
            return False
        conn.h11.start_next_cycle()
        return True

    async def _handle(self, conn: Connection, exchange: Exchange) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(conn.watch_disconnect, nursery.cancel_scope)
            await self._call_handler(conn, exchange)
            nursery.cancel_scope.cancel()

    async def _call_handler(self, conn: Connection, exchange: Exchange) -> None:
        try:
            await self._handler(exchange)
        except HttpError as exc:
            if exchange.response_started:
                conn.broken = True
            else:
                await exchange.respond_error(exc)
        except (trio.BrokenResourceError, trio.TooSlowError):
            conn.broken = True
        except Exception as exc:
            self._on_error(exchange, exc)
            conn.broken = exchange.response_started
            if not exchange.response_started:
                await exchange.respond_error(_internal_error())


def _internal_error() -> HttpError:
    message = "internal error"
    return HttpError(500, "internal_error", message, verdict=Verdict.MAY_HAVE_RUN)


async def _unwrap(
    read: Callable[[Connection], Awaitable[Exchange | None]], conn: Connection
) -> Exchange | None:
    """Raise the first error of a nursery in place of its group."""
    try:
        return await read(conn)
    except ExceptionGroup as group:
        error = group.exceptions[0]
    raise error
