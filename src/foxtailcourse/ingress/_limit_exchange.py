"""Tells the other entries which limits backend servers name."""

from collections.abc import Awaitable, Callable, Iterable, Mapping

import attrs
import trio

from foxtailcourse.fleet import ServerRun
from foxtailcourse.ingress._peer_messages import MAX_AGE_MS, LimitsUpdate, Message
from foxtailcourse.ingress._peers import PeerDirectory
from foxtailcourse.ingress._server_limits import LimitStatement, ServerLimits
from foxtailcourse.observe import EventLog

# Shortest time between two messages for changes.
CHANGES_SPACING_S = 0.02
# All statements are sent again in this period, for entries that missed a message or
# have just started.
REPEAT_PERIOD_S = 1.0
# Rows that fit into a datagram.
ROWS_PER_MESSAGE = 20
# No server takes more.
MAX_LIMIT_PER_S = 1e9


@attrs.define
class LimitExchange:
    """Sends what servers say of their limits, and receives what others heard.

    Parameters
    ----------
    limits : ServerLimits
        The statements of the servers.
    peers : PeerDirectory
        The registered entries.
    send : coroutine function
        Sends a message to entries.
    clock : callable
        Returns seconds since boot.
    events : EventLog
        Receives an event for each limit that is no possible number.
    """

    limits: ServerLimits
    peers: PeerDirectory
    send: Callable[[Message, Iterable[str]], Awaitable[None]]
    clock: Callable[[], float]
    events: EventLog

    def handle(self, message: LimitsUpdate, sender: str) -> None:
        """Adopt the statements in a message of another entry."""
        now = self.clock()
        for server_id, started_ms, per_s, age_ms in message.rows:
            if per_s is not None and not 0 <= per_s <= MAX_LIMIT_PER_S:
                self.events.emit(
                    "server_limit_unreadable", backend_server=server_id, value=per_s
                )
                continue
            run, age_s = (
                ServerRun(server_id, started_ms),
                min(age_ms, MAX_AGE_MS) / 1000,
            )
            self.limits.adopt(run, per_s, age_s, now, by_entry=sender)

    async def run(self) -> None:
        """Send statements until cancelled."""
        repeated_at = self.clock()
        while True:
            with trio.move_on_after(REPEAT_PERIOD_S):
                await self.limits.changed.wait()
            self.limits.changed = trio.Event()
            await self._publish(self.limits.changed_statements())
            now = self.clock()
            self.limits.shares.update(now)
            if now - repeated_at >= REPEAT_PERIOD_S:
                repeated_at = now
                await self._publish(self.limits.statements_to_repeat(now))
            await trio.sleep(CHANGES_SPACING_S)

    async def _publish(self, statements: Mapping[ServerRun, LimitStatement]) -> None:
        now = self.clock()
        rows = [
            (run.server_id, run.started_ms, each.per_s, _age_ms(each, now))
            for run, each in statements.items()
        ]
        for start in range(0, len(rows), ROWS_PER_MESSAGE):
            message = LimitsUpdate(rows[start : start + ROWS_PER_MESSAGE])
            await self.send(message, self.peers)


def _age_ms(statement: LimitStatement, now: float) -> int:
    return max(0, int((now - statement.stated_at) * 1000))
