"""Tells the other entries which requests servers lost, and what is blocked.

An entry sees only some of the requests that crash servers, so all entries judge the
same reports. A few repeat the blocks, for entries that missed a message or have just
started.
"""

from collections.abc import Awaitable, Callable, Iterable

import attrs
import trio

from foxtailcourse.crashes import (
    Block,
    BreakReport,
    Parts,
    PartSuspicions,
    request_only,
)
from foxtailcourse.fleet import ServerRun
from foxtailcourse.ingress._limit_shares import LimitShares
from foxtailcourse.ingress._peer_messages import (
    MAX_AGE_MS,
    AnsweredPartsUpdate,
    BlockedPartsUpdate,
    BreaksUpdate,
    Message,
    TriedPartsUpdate,
)
from foxtailcourse.ingress._peers import PeerDirectory
from foxtailcourse.ingress._relays import weighted_rank
from foxtailcourse.observe import EventLog

# Requests that break off together are reported together.
BATCH_S = 0.02
# Crashes are judged in this period while reports may still arrive.
JUDGE_PERIOD_S = 0.05
# Blocks are sent again in this period, by so many entries.
REPEAT_PERIOD_S = 1.0
PUBLISHERS = 3
# A trial is told so many times at first, as a datagram may be lost.
TRIAL_MESSAGES = 2
# An entry that ends a block repeats this for so long.
REPEAT_CLEARED_S = 5.0
# Parts of a request, and requests, that fit into a datagram.
MAX_PARTS = 12
REQUESTS_PER_MESSAGE = 4
# No other entry blocks parts for longer.
MAX_REMAINING_MS = 3_600_000


@attrs.define(kw_only=True)
class PartExchange:
    """Judges crashes with the other entries, and keeps their blocks.

    Parameters
    ----------
    vm : str
        Name of this VM.
    suspicions : PartSuspicions
        The crashes and blocks.
    shares : LimitShares
        The entries that may be sending requests.
    peers : PeerDirectory
        The registered entries.
    send : coroutine function
        Sends a message to entries.
    clock : callable
        Returns seconds since boot.
    events : EventLog
        Receives an event for each block that begins or is ended by an answer.
    """

    vm: str
    suspicions: PartSuspicions
    shares: LimitShares
    peers: PeerDirectory
    send: Callable[[Message, Iterable[str]], Awaitable[None]]
    clock: Callable[[], float]
    events: EventLog
    _pending: list[Message] = attrs.field(factory=list, init=False)
    # Blocks that were not sent yet.
    _announced: dict[Parts, Block] = attrs.field(factory=dict, init=False)
    # How many more times its trials are told at once, and when they began.
    _trials_to_tell: dict[Parts, int] = attrs.field(factory=dict, init=False)
    _own_trials: dict[Parts, float] = attrs.field(factory=dict, init=False)
    # When this entry ended blocks, by their parts.
    _cleared_at: dict[Parts, float] = attrs.field(factory=dict, init=False)
    _wakeup: trio.Event = attrs.field(factory=trio.Event, init=False)

    # Requests of this entry

    def wait_s(self, request: Parts) -> float:
        """Return for how long a request must not be sent, in seconds."""
        return self.suspicions.wait_s(request, self._trial_rank, self.clock())

    def record_sent(self, request: Parts) -> bool:
        """Record a request that is sent to a server; return whether it is a trial."""
        now = self.clock()
        tried = self.suspicions.record_sent(request, now)
        for parts, block in tried.items():
            self.events.emit(
                "parts_tried",
                parts=",".join(sorted(parts)),
                times=block.times,
                ended_ms=int((now - block.until) * 1000),
                rank=self._trial_rank(parts),
                entries=len(self.shares.members(now)),
                is_settled=self.shares.is_settled(now),
            )
            self._own_trials[parts] = now
            self._trials_to_tell[parts] = TRIAL_MESSAGES
            self._wakeup.set()
        return bool(tried)

    def record_broken_off(
        self, run: ServerRun, request: Parts, *, begun: bool, sent_at: float
    ) -> None:
        """Record a request that broke off without a second event.

        Parameters
        ----------
        run : ServerRun
            Run of the server.
        request : frozenset of str
            Parts of the request.
        begun : bool
            Whether the server may have begun to answer.
        sent_at : float
            When it was sent, in seconds since boot.
        """
        if not request:
            return
        if len(request) > MAX_PARTS:
            request = request_only(request)
        now, lost = self.clock(), (request,)
        age_s = now - sent_at
        if begun:
            report = BreakReport(run, begun=lost, ages_s=(age_s,))
        else:
            report = BreakReport(run, waiting=lost, waiting_ages_s=(age_s,))
        self._report(report, now)
        rows, ages_ms = [sorted(request)], [int(age_s * 1000)]
        self._publish(
            BreaksUpdate(
                run.server_id,
                run.started_ms,
                rows if begun else [],
                [] if begun else rows,
                ages_ms if begun else [],
                [] if begun else ages_ms,
            )
        )

    def _report(self, report: BreakReport, now: float) -> None:
        """Count lost requests, and block those that have crashed several servers."""
        self.suspicions.report(report, now)
        blocked = self.suspicions.judge_requests(report, now)
        for parts, block in blocked.items():
            self._log_blocked(parts, block.until - now, block.times)
        self._announced |= blocked

    def record_answered(self, request: Parts) -> None:
        """Record that a server answers a request."""
        if not request:
            return
        now = self.clock()
        for parts in self.suspicions.record_answered(request, now):
            self._log_cleared(parts)
            self._cleared_at[parts] = now
            self._publish(AnsweredPartsUpdate(sorted(parts), 0))

    def rank(self, parts: Parts) -> int:
        """Return how many entries come before this one for some parts."""
        key = "parts/" + "+".join(sorted(parts))
        own = weighted_rank(key, self.vm, 1.0)
        others = self.shares.members(self.clock()) - {self.vm}
        return sum(weighted_rank(key, each, 1.0) < own for each in others)

    def _trial_rank(self, parts: Parts) -> int:
        """Return the rank for trials; an entry that others may not know is the last."""
        now, rank = self.clock(), self.rank(parts)
        if not self.shares.is_settled(now):
            # Several of them, as all were started at once, come one after the other.
            return len(self.shares.members(now)) + rank
        return rank

    # Messages

    def handle(
        self,
        message: (
            BreaksUpdate | BlockedPartsUpdate | AnsweredPartsUpdate | TriedPartsUpdate
        ),
        sender: str,
    ) -> None:
        """Handle one message of the registered entry ``sender``."""
        now = self.clock()
        match message:
            case BreaksUpdate(server_id, started_ms, begun, waiting, ages, other_ages):
                report = BreakReport(
                    ServerRun(server_id, started_ms),
                    _requests(begun),
                    _requests(waiting),
                    decode_ages_s(ages),
                    decode_ages_s(other_ages),
                )
                self._report(report, now)
                self._wakeup.set()
            case BlockedPartsUpdate(row, remaining_ms, times):
                if row and 0 < remaining_ms <= MAX_REMAINING_MS and times > 0:
                    parts = frozenset(row)
                    self.adopt(parts, remaining_ms / 1000, times, by_entry=sender)
            case AnsweredPartsUpdate(row, age_ms):
                (age_s,) = decode_ages_s([age_ms])
                parts, answered_at = frozenset(row), now - age_s
                if self.suspicions.record_answered_elsewhere(parts, answered_at, now):
                    self._log_cleared(parts, by_entry=sender)
            case TriedPartsUpdate(row, age_ms):
                (age_s,) = decode_ages_s([age_ms])
                self.suspicions.record_trial(frozenset(row), now - age_s)

    def adopt(
        self, parts: Parts, remaining_s: float, times: int, *, by_entry: str = ""
    ) -> None:
        """Block parts as another entry does, or tell all why not.

        ``by_entry`` is the other entry; empty if the block was read from the store.
        """
        now = self.clock()
        if self.suspicions.contradicts(parts, now):
            age_s = now - self.suspicions.answered_at(parts)
            self._publish(AnsweredPartsUpdate(sorted(parts), int(age_s * 1000)))
        elif self.suspicions.adopt(parts, remaining_s, times, now) and remaining_s > 0:
            self._log_blocked(parts, remaining_s, times, by_entry or "store")

    def _publish(self, message: Message) -> None:
        self._pending.append(message)
        self._wakeup.set()

    async def announce(self) -> None:
        """Send what is pending now, if a block or a trial began since the last time."""
        if self._announced or self._trials_to_tell:
            await self._send_pending()

    async def _send_pending(self) -> None:
        pending, self._pending = self._pending, []
        announced, self._announced = self._announced, {}
        for message in _merged(pending):
            await self.send(message, self.peers)
        await self._tell_trials()
        for parts, block in announced.items():
            await self._send_block(parts, block)

    async def _tell_trials(self) -> None:
        """Tell the others to wait for the outcome of this entry's trials."""
        now = self.clock()
        due = self._trials_to_tell
        self._trials_to_tell = {k: times - 1 for k, times in due.items() if times > 1}
        for parts in due.keys() & self._own_trials.keys():
            age_ms = int((now - self._own_trials[parts]) * 1000)
            await self.send(TriedPartsUpdate(sorted(parts), age_ms), self.peers)

    def _repeat_trials(self, now: float) -> None:
        """Tell again of the trials of this entry that are in progress."""
        in_progress = self.suspicions.trials(now)
        self._own_trials = {
            parts: at for parts, at in self._own_trials.items() if parts in in_progress
        }
        for parts in self._own_trials:
            self._trials_to_tell.setdefault(parts, 1)

    async def run(self) -> None:
        """Judge crashes and send messages until cancelled."""
        repeated_at = self.clock()
        while True:
            pause_s = JUDGE_PERIOD_S if self.suspicions.has_unjudged else 1.0
            with trio.move_on_after(pause_s):
                await self._wakeup.wait()
            self._wakeup = trio.Event()
            await trio.sleep(BATCH_S)
            await self._send_pending()
            now = self.clock()
            blocked = self.suspicions.judge(now)
            for parts, block in blocked.items():
                self._log_blocked(parts, block.until - now, block.times)
            if now - repeated_at >= REPEAT_PERIOD_S:
                repeated_at = now
                blocked = self.suspicions.active_blocks(now)
                self._repeat_cleared(now)
                self._repeat_trials(now)
            for parts, block in blocked.items():
                if self.rank(parts) < PUBLISHERS:
                    await self._send_block(parts, block)

    def _repeat_cleared(self, now: float) -> None:
        """Repeat for a while which blocks this entry has ended."""
        for parts, cleared_at in list(self._cleared_at.items()):
            age_s = now - cleared_at
            if age_s >= REPEAT_CLEARED_S:
                del self._cleared_at[parts]
            else:
                self._publish(AnsweredPartsUpdate(sorted(parts), int(age_s * 1000)))

    async def _send_block(self, parts: Parts, block: Block) -> None:
        remaining_ms = int((block.until - self.clock()) * 1000)
        message = BlockedPartsUpdate(sorted(parts), remaining_ms, block.times)
        await self.send(message, self.peers)

    def _log_blocked(
        self, parts: Parts, remaining_s: float, times: int, by_entry: str = ""
    ) -> None:
        self.events.emit(
            "parts_blocked",
            parts=",".join(sorted(parts)),
            remaining_ms=int(remaining_s * 1000),
            times=times,
            by_entry=by_entry or None,
        )

    def _log_cleared(self, parts: Parts, by_entry: str = "") -> None:
        self.events.emit(
            "parts_cleared", parts=",".join(sorted(parts)), by_entry=by_entry or None
        )


def _requests(rows: list[list[str]]) -> tuple[Parts, ...]:
    return tuple(frozenset(row) for row in rows)


def decode_ages_s(ages_ms: list[int]) -> tuple[float, ...]:
    """Return ages in seconds; those of clocks that differ are not negative."""
    return tuple(min(max(0, each), MAX_AGE_MS) / 1000 for each in ages_ms)


def _merged(messages: list[Message]) -> list[Message]:
    """Return messages with the reports of each run in as few as fit a datagram."""
    merged: list[Message] = []
    open_reports: dict[ServerRun, BreaksUpdate] = {}
    for message in messages:
        if not isinstance(message, BreaksUpdate):
            merged.append(message)
            continue
        run = ServerRun(message.server_id, message.started_ms)
        report = open_reports.get(run)
        if report is None or len(report) >= REQUESTS_PER_MESSAGE:
            open_reports[run] = message
            merged.append(message)
        else:
            report.begun += message.begun
            report.waiting += message.waiting
            report.ages_ms += message.ages_ms
            report.waiting_ages_ms += message.waiting_ages_ms
    return merged
