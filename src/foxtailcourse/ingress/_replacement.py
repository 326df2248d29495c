"""The server that takes over a request from a silent one."""

from collections.abc import Callable

import attrs
import trio

from foxtailcourse.http import (
    ClientConnection,
    ClientError,
    ConnectionPool,
    RequestOptions,
)
from foxtailcourse.ingress._placement_types import Choice
from foxtailcourse.ingress._retry_budget import Retry

# Reason for which a place is released.
UNREACHABLE = "unreachable"


@attrs.define(eq=False)
class Replacement:
    """A place at another server, and the connection to it.

    The place counts in the load of the server until it is used or released.

    Parameters
    ----------
    choice : Choice
        The server.
    retry : Retry
        The counted retry.
    pool : ConnectionPool
        Makes the connection.
    connect_timeout_s : float
        Longest time to connect, in seconds.
    clock : callable
        Returns seconds since boot.
    on_release : callable
        Called with the reason if the request is not sent to the server.
    scope : trio.CancelScope
        Cancelled when the place is released.
    """

    choice: Choice
    retry: Retry
    pool: ConnectionPool
    connect_timeout_s: float
    clock: Callable[[], float]
    on_release: Callable[[str], None]
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope, init=False)
    _conn: ClientConnection | None = attrs.field(default=None, init=False)
    _is_held: bool = attrs.field(default=True, init=False)

    def __attrs_post_init__(self) -> None:
        self.choice.candidate.own_load.in_flight += 1

    async def connect(self) -> None:
        """Connect to the server; the place is released if this fails."""
        address = self.choice.candidate.server.address
        options = RequestOptions(connect_timeout_s=self.connect_timeout_s, reuse=False)
        with self.scope:
            try:
                conn = await self.pool.connect(address, options)
            except ClientError:
                self.choice.candidate.own_load.record_unreachable(self.clock())
                self.release(UNREACHABLE)
                return
            if self._is_held:
                self._conn = conn
            else:
                conn.close()

    @property
    def is_connected(self) -> bool:
        """Whether the request can be sent."""
        return self._conn is not None

    def use(self) -> ClientConnection | None:
        """Return the connection, which the caller has to close; end the place."""
        conn, self._conn = self._conn, None
        self._end_place()
        return conn

    def release(self, reason: str) -> None:
        """Give up the place, unless it was used or released before."""
        if self._end_place():
            self.on_release(reason)
        self.scope.cancel()
        if self._conn is not None:
            self._conn.close()
            self._conn = None

    def _end_place(self) -> bool:
        """Remove the place from the load of its server; return whether it was held."""
        was_held, self._is_held = self._is_held, False
        self.choice.candidate.own_load.in_flight -= was_held
        return was_held
