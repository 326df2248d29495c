"""Rate limits that backend servers name in their responses.

A server in need names the requests per second that it takes from all entries together.
A few entries share such a limit, as many as it has requests in a second: if each entry
of a large fleet sent only one request, they could exceed a small limit many times.
"""

import copy
import heapq

import attrs
import trio

from foxtailcourse.fleet import ServerRun
from foxtailcourse.ingress._limit_shares import LimitShares
from foxtailcourse.ingress._relays import weighted_rank
from foxtailcourse.observe import EventLog
from foxtailcourse.platform import ResponseHeaders

# Fraction of a limit that is used; the rest covers requests that were sent before an
# entry knew of the limit.
USED_FRACTION = 0.9
# Unused requests of a share are kept for this time, in seconds.
BURST_S = 1.0
# A server that takes nothing still gets a request in this period, since it says only in
# its responses that its limit has ended.
PROBE_PERIOD_S = 10.0
# Statements of other entries are adopted if they are newer by this time, which is
# longer than a datagram takes.
MIN_NEWER_S = 0.05
# Entries that repeat the statements on a server to all others.
PUBLISHERS = 3
# Statements on a run that is no longer registered are kept for this time, in seconds.
RETENTION_S = 120.0
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
class _Share:
    """This entry's share of the limit of one server.

    Parameters
    ----------
    refilled_at : float
        When the tokens were computed, in seconds since boot.
    per_s : float
        Requests per second of the share.
    tokens : float
        Requests that may be sent at once.
    """

    refilled_at: float
    per_s: float = 0.0
    tokens: float = 0.0

    def refill(self, per_s: float, now: float) -> None:
        """Add the tokens since the last refill, and continue with a new rate."""
        max_tokens = max(1.0, self.per_s * BURST_S) if self.per_s > 0 else 0.0
        gained = self.per_s * max(0.0, now - self.refilled_at)
        self.tokens = min(max_tokens, self.tokens + gained)
        self.refilled_at, self.per_s = now, per_s


@attrs.define
class ServerLimits:
    """Limits that servers name, and this entry's shares of them.

    Parameters
    ----------
    vm : str
        Name of this VM.
    shares : LimitShares
        The entries that share a limit.
    events : EventLog
        Receives an event for each change of a limit.

    Attributes
    ----------
    changed : trio.Event
        Set when a server says something new to this entry.
    """

    vm: str
    shares: LimitShares
    events: EventLog
    changed: trio.Event = attrs.field(factory=trio.Event, init=False)
    _statements: dict[ServerRun, LimitStatement] = attrs.field(factory=dict, init=False)
    _shares: dict[ServerRun, _Share] = attrs.field(factory=dict, init=False)
    # Ranked entries by server, and the version of the members that they are based on.
    _ranked: dict[str, list[str]] = attrs.field(factory=dict, init=False)
    _ranked_version: int = attrs.field(default=-1, init=False)
    # Runs of which this entry itself heard something new.
    _unpublished: set[ServerRun] = attrs.field(factory=set, init=False)

    def named(self, run: ServerRun) -> float | None:
        """Return the limit of a run in requests per second, or None."""
        statement = self._statements.get(run)
        return None if statement is None else statement.per_s

    # Sending requests

    def snapshot(self) -> "ServerLimits":
        """Return a copy on which decisions can be evaluated without a request."""
        result = copy.copy(self)
        result.shares = self.shares.snapshot()
        result._shares = {run: copy.copy(e) for run, e in self._shares.items()}
        result._ranked = dict(self._ranked)
        return result

    def available_in_s(self, run: ServerRun, now: float) -> float | None:
        """Return the time until a request may be sent to a run, in seconds.

        It is 0 if one may be sent now, and None if this entry has no share.
        """
        share = self._refilled_share(run, now)
        if share is None or share.tokens >= 1:
            return 0.0
        return (1 - share.tokens) / share.per_s if share.per_s > 0 else None

    def record_sent(self, run: ServerRun, now: float) -> None:
        """Count a request that is sent to a run now."""
        share = self._refilled_share(run, now)
        if share is not None:
            share.tokens -= 1

    def _refilled_share(self, run: ServerRun, now: float) -> _Share | None:
        """Return the present share of the limit of a run; None without a limit."""
        limit_per_s = self.named(run)
        if limit_per_s is None:
            self._shares.pop(run, None)
            return None
        share = self._shares.setdefault(run, _Share(now))
        share.refill(self._share_per_s(run, limit_per_s, now), now)
        return share

    def _share_per_s(self, run: ServerRun, limit_per_s: float, now: float) -> float:
        """Return this entry's share of a limit, in requests per second."""
        if not self.shares.is_settled(now):
            return 0.0
        holders = self._first_ranked(run, 1 + int(limit_per_s), now)
        if self.vm not in holders:
            return 0.0
        used_per_s = max(USED_FRACTION * limit_per_s, 1 / PROBE_PERIOD_S)
        return used_per_s / len(holders)

    def _first_ranked(self, run: ServerRun, count: int, now: float) -> list[str]:
        """Return the first entries for a run, which all entries rank alike."""
        members = self.shares.members(now)
        if self._ranked_version != self.shares.version:
            self._ranked_version, self._ranked = self.shares.version, {}
        ranked = self._ranked.get(run.server_id, [])
        if len(ranked) < min(count, len(members)):
            key = f"limit/{run.server_id}"
            ranked = heapq.nsmallest(
                count, members, key=lambda vm: weighted_rank(key, vm, 1.0)
            )
            self._ranked[run.server_id] = ranked
        return ranked[:count]

    # Statements

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

    def adopt(
        self,
        run: ServerRun,
        per_s: float | None,
        age_s: float,
        now: float,
        *,
        by_entry: str,
    ) -> None:
        """Record a statement that another entry knows, unless a newer one is known.

        Parameters
        ----------
        run : ServerRun
            Run of the server.
        per_s : float or None
            Requests per second from all entries together; None without a limit.
        age_s : float
            Age of the statement when it was passed on, in seconds.
        now : float
            Present time in seconds since boot.
        by_entry : str
            VM of the other entry.
        """
        stated_at = now - max(0.0, age_s)
        known = self._statements.get(run)
        if known is None or stated_at > known.stated_at + MIN_NEWER_S:
            self._set(run, LimitStatement(per_s, stated_at), by_entry=by_entry)

    def _set(
        self, run: ServerRun, statement: LimitStatement, *, by_entry: str = ""
    ) -> None:
        known = self._statements.get(run)
        self._statements[run] = statement
        previous_per_s = None if known is None else known.per_s
        if statement.per_s == previous_per_s:
            return
        if not by_entry:
            self._unpublished.add(run)
            self.changed.set()
        self.events.emit(
            "server_limit_changed",
            backend_server=run.server_id,
            started_ms=run.started_ms,
            per_s=statement.per_s,
            previous_per_s=previous_per_s,
            by_entry=by_entry or None,
        )

    def changed_statements(self) -> dict[ServerRun, LimitStatement]:
        """Return what servers newly said to this entry since the last call."""
        changed = {
            run: self._statements[run]
            for run in self._unpublished
            if run in self._statements
        }
        self._unpublished = set()
        return changed

    def statements_to_repeat(self, now: float) -> dict[ServerRun, LimitStatement]:
        """Return the statements that this entry repeats to the others."""
        return {
            run: statement
            for run, statement in self._statements.items()
            if self.vm in self._first_ranked(run, PUBLISHERS, now)
        }

    def expire(self, registered: set[ServerRun], now: float) -> None:
        """Forget runs that are no longer registered and had no news for a while."""
        self._statements = {
            run: statement
            for run, statement in self._statements.items()
            if run in registered or now - statement.stated_at < RETENTION_S
        }
        self._shares = {k: v for k, v in self._shares.items() if k in self._statements}
