"""Rate limits that backend servers name in their responses.

A server in need names the requests per second that it takes from all entries together.
"""

import attrs

from foxtailcourse.fleet import ServerRun
from foxtailcourse.observe import EventLog
from foxtailcourse.platform import ResponseHeaders

# Characters of an unreadable header value that are logged.
MAX_LOGGED_VALUE = 40


@attrs.frozen
class LimitStatement:
    """What a run of a server last said of its limit.

    Parameters
    ----------
    per_s : float or None
        Requests per second from all entries together; None if there is no limit.
    stated_at : float
        When the response arrived, in seconds since boot.
    """

    per_s: float | None
    stated_at: float


@attrs.define
class ServerLimits:
    """Latest statement of each run of a server that has named a limit.

    Parameters
    ----------
    events : EventLog
        Receives an event for each change of a limit.
    """

    events: EventLog
    _statements: dict[ServerRun, LimitStatement] = attrs.field(factory=dict, init=False)

    def named(self, run: ServerRun) -> float | None:
        """Return the limit of a run in requests per second, or None."""
        statement = self._statements.get(run)
        return None if statement is None else statement.per_s

    def record_response(
        self, run: ServerRun, head: ResponseHeaders, sent_at: float, now: float
    ) -> None:
        """Record what a response says of its server's limit.

        A response without a limit ends it only if its request was sent after the
        response that named the limit had arrived, since responses overtake each other.

        Parameters
        ----------
        run : ServerRun
            Run of the server.
        head : ResponseHeaders
            Head of the response.
        sent_at : float
            When the request was sent, in seconds since boot.
        now : float
            Present time in seconds since boot.
        """
        if head.limit_unreadable:
            self.events.emit(
                "server_limit_unreadable",
                backend_server=run.server_id,
                value=head.limit_unreadable[:MAX_LOGGED_VALUE],
            )
        elif head.limit_per_s is not None:
            self.record_limit(run, head.limit_per_s, now)
        else:
            known = self._statements.get(run)
            if (
                known is not None
                and known.per_s is not None
                and sent_at >= known.stated_at
            ):
                self._set(run, LimitStatement(None, now))

    def record_limit(self, run: ServerRun, per_s: float, now: float) -> None:
        """Record that a server names a limit, in requests per second."""
        self._set(run, LimitStatement(per_s, now))

    def _set(self, run: ServerRun, statement: LimitStatement) -> None:
        known = self._statements.get(run)
        self._statements[run] = statement
        previous_per_s = None if known is None else known.per_s
        if statement.per_s != previous_per_s:
            self.events.emit(
                "server_limit_changed",
                backend_server=run.server_id,
                started_ms=run.started_ms,
                per_s=statement.per_s,
                previous_per_s=previous_per_s,
            )

    def discard_unregistered(self, registered: set[ServerRun]) -> None:
        """Forget the statements of runs that are no longer registered."""
        self._statements = {
            k: v for k, v in self._statements.items() if k in registered
        }
