"""Counts with the other entries the crashes of servers under each request."""

import time
from collections.abc import Callable

import attrs
import msgspec
import trio

from foxtailcourse.config import ConfigStore
from foxtailcourse.control import PeerError
from foxtailcourse.crashes import BreakReport, Parts, PartSuspicions, RunTracker
from foxtailcourse.entry._summaries import SendSummaries, SummaryTopic, decode_summary
from foxtailcourse.entry._trial_order import trial_rank
from foxtailcourse.fleet import ServerRun
from foxtailcourse.observe import EventLog

CRASH_TOPIC = "crashes"
# Requests that break off together are reported together.
BATCH_S = 0.01
# Longest time for which the response to a request that crashed a server waits for the
# other entries to be told, and the first requests after a start for what they know.
ANNOUNCE_TIMEOUT_S = 0.2
# Longest time to tell one entry of a crash; it is told again in the periodic exchange.
SEND_TIMEOUT_S = 2.0
# Bounds the traffic after a crash; other entries learn of it in the periodic exchange.
MAX_TOLD_PEERS = 32
# Reports of crashes are repeated for this time, and the oldest ones dropped if there
# are more.
REPORT_MEMORY_S = 120.0
MAX_REPORTS = 256
MAX_BLOCKS = 256
# An entry that ended a block repeats this for at least so long.
REPEAT_ANSWERS_S = 5.0
# Answers of other entries that are told apart from later ones.
MAX_HEARD = 4096
MAX_AGE_MS = 3_600_000


class _Report(msgspec.Struct, array_like=True, frozen=True):
    """A request that was lost in a crash."""

    server: str
    started_ms: int
    key: str
    # Time since the crash, and from the sending of the request to the crash.
    age_ms: int
    sent_ms: int


class _Block(msgspec.Struct, array_like=True, frozen=True):
    """A request that is blocked, or was if the remaining time is negative."""

    key: str
    remaining_ms: int
    times: int


class _Answer(msgspec.Struct, array_like=True, frozen=True):
    """When a server last answered a request, of those that this entry sent."""

    key: str
    age_ms: int
    # Wall-clock time at this entry, which tells the answers apart.
    answered_ms: int


class _Trial(msgspec.Struct, array_like=True, frozen=True):
    """A request that is tried after its block, and how long ago it was sent."""

    key: str
    age_ms: int


class CrashSummary(msgspec.Struct):
    """What an entry knows of the crashes under requests."""

    entry: str
    reports: list[_Report] = []
    blocks: list[_Block] = []
    answers: list[_Answer] = []
    trials: list[_Trial] = []


@attrs.frozen
class _Lost:
    """A request that was lost in a crash, with the time of both in seconds."""

    at: float
    sent_s: float


@attrs.frozen
class _Answered:
    """An answer to a request of this entry.

    Parameters
    ----------
    at : float
        When it was received, in seconds on the clock.
    wall_ms : int
        The same as wall-clock time in milliseconds.
    told_until : float
        Until when the others are told of it in any case, in seconds on the clock.
    """

    at: float
    wall_ms: int
    told_until: float = float("-inf")


@attrs.define(kw_only=True)
class CrashExchange(SummaryTopic):
    """Counts the crashes under each request, and blocks requests with several.

    All entries judge the same reports. Each summary has all that its entry knows, so
    that an entry that starts or was cut off catches up with one summary.

    Parameters
    ----------
    vm : str
        VM of this entry.
    store : ConfigStore
        The configuration, which lists the entries.
    send : callable
        Sends summaries by topic to a VM and returns its summaries; raises PeerError.
    events : EventLog
        Receives an event for each block that begins or is ended by an answer.
    clock : callable
        Returns monotonic seconds.
    wall_ms : callable
        Returns wall-clock milliseconds.
    """

    vm: str
    store: ConfigStore
    send: SendSummaries
    events: EventLog
    clock: Callable[[], float] = trio.current_time
    wall_ms: Callable[[], int] = lambda: int(time.time() * 1000)
    suspicions: PartSuspicions = attrs.field(factory=PartSuspicions, init=False)
    # Runs of servers that ended together with their agents.
    _trackers: dict[str, RunTracker] = attrs.field(factory=dict, init=False)
    _reports: dict[tuple[ServerRun, str], _Lost] = attrs.field(factory=dict, init=False)
    # Last answers to requests that are reported or were blocked.
    _answers: dict[str, _Answered] = attrs.field(factory=dict, init=False)
    # The last answers of other entries, by entry and request.
    _heard_ms: dict[tuple[str, str], int] = attrs.field(factory=dict, init=False)
    _wakeup: trio.Event = attrs.field(factory=trio.Event, init=False)
    # Set when the others have been told of what is known by the next wake-up.
    _told: trio.Event = attrs.field(factory=trio.Event, init=False)
    _caught_up: trio.Event = attrs.field(factory=trio.Event, init=False)

    # Requests of this entry

    def wait_s(self, request: Parts) -> float:
        """Return for how long a request must not be sent, in seconds."""
        return self.suspicions.wait_s(request, self._trial_rank, self.clock())

    def _trial_rank(self, request: Parts) -> int:
        view = self.store.view
        entries = {e.vm for e in view.entries() if not view.is_leaving(e.vm)}
        return trial_rank(request, self.vm, entries)

    def record_sent(self, request: Parts) -> None:
        """Record a request that is sent to a server; the others are told of a trial."""
        if self.suspicions.record_sent(request, self.clock()):
            self._wakeup.set()

    def record_answered(self, request: Parts) -> None:
        """Record that a server answered a request."""
        now = self.clock()
        ended = self.suspicions.record_answered(request, now)
        for key in request:
            if ended or key in self._answers:
                self._tell_answer(key, now, now)
        if ended:
            self._log_cleared(request)
            self._wakeup.set()

    def _tell_answer(self, key: str, answered_at: float, now: float) -> None:
        wall_ms = self.wall_ms() - _ms(now - answered_at)
        self._answers[key] = _Answered(answered_at, wall_ms, now + REPEAT_ANSWERS_S)

    async def record_crashed(
        self, server: str, run_ms: int, request: Parts, sent_at: float
    ) -> None:
        """Record that a server crashed under a request, and tell the other entries.

        Parameters
        ----------
        server : str
            Identifier of the server.
        run_ms : int
            Run of the server that ended; 0 if its agent ended too.
        request : frozenset of str
            Key of the request; empty if its crashes are not counted.
        sent_at : float
            When it was sent, in seconds on the clock.
        """
        if not request:
            return
        now = self.clock()
        if not run_ms:
            wall_ms = self.wall_ms()
            tracker = self._trackers.setdefault(server, RunTracker(wall_ms))
            run_ms = tracker.record_broken_off(sent_at, now, wall_ms)
        run = ServerRun(server, run_ms)
        for key in request:
            self._add(run, key, _Lost(now, now - sent_at))
            self._judge(key, now)
        self._wakeup.set()
        told = self._told
        with trio.move_on_after(ANNOUNCE_TIMEOUT_S):
            await told.wait()

    # Crashes

    def _add(self, run: ServerRun, key: str, lost: _Lost) -> bool:
        """Add a report; return whether it was unknown."""
        if (run, key) in self._reports:
            return False
        request = frozenset({key})
        self._reports[run, key] = lost
        answered_at = self.suspicions.answered_at(request)
        if key not in self._answers and answered_at > float("-inf"):
            self._tell_answer(key, answered_at, self.clock())
        report = BreakReport(run, begun=(request,), ages_s=(lost.sent_s,))
        self.suspicions.report(report, lost.at)
        return True

    def _judge(self, key: str, now: float) -> None:
        """Block a request if enough crashes are known.

        The block counts from the last crash, as at the entries that learned of it then.
        """
        lost = {run: each.at for (run, k), each in self._reports.items() if k == key}
        last = max(lost, key=lambda run: lost[run])
        report = BreakReport(last, begun=(frozenset({key}),))
        for request, block in self.suspicions.judge_requests(
            report, lost[last]
        ).items():
            if block.until > now:
                self._log_blocked(request, block.until - now, block.times)

    def _forget(self, now: float) -> None:
        self.suspicions.judge(now)
        recent = [
            (known, lost)
            for known, lost in self._reports.items()
            if now - lost.at < REPORT_MEMORY_S
        ]
        self._reports = dict(recent[-MAX_REPORTS:])
        keys = {key for _, key in self._reports}
        keys |= {key for request in self.suspicions.blocks for key in request}
        self._answers = {
            key: answered
            for key, answered in self._answers.items()
            if key in keys or now < answered.told_until
        }
        if len(self._heard_ms) > MAX_HEARD:
            self._heard_ms.clear()

    # Messages

    def encode_summary(self) -> bytes:
        """Return what this entry knows."""
        now = self.clock()
        self._forget(now)
        reports = [
            _Report(
                run.server_id, run.started_ms, key, _ms(now - lost.at), _ms(lost.sent_s)
            )
            for (run, key), lost in self._reports.items()
        ]
        blocks = [
            _Block(key, _ms(block.until - now), block.times)
            for request, block in self.suspicions.blocks.items()
            for key in request
        ]
        answers = [
            _Answer(key, _ms(now - answered.at), answered.wall_ms)
            for key, answered in self._answers.items()
        ]
        trials = [
            _Trial(key, _ms(now - tried_at))
            for request, tried_at in self.suspicions.trials(now).items()
            for key in request
        ]
        summary = CrashSummary(
            self.vm, reports, blocks[-MAX_BLOCKS:], answers, trials[-MAX_BLOCKS:]
        )
        return msgspec.msgpack.encode(summary)

    def apply_summary(self, vm: str, payload: bytes) -> None:
        """Apply what another entry knows; raises ValueError if it is malformed."""
        summary = decode_summary(vm, payload, CrashSummary)
        now = self.clock()
        for answer in summary.answers[:MAX_REPORTS]:
            self._apply_answer(answer, vm, now)
        for block in summary.blocks[:MAX_BLOCKS]:
            self._apply_block(block, vm, now)
        for trial in summary.trials[:MAX_BLOCKS]:
            request = frozenset({trial.key})
            self.suspicions.record_trial(request, now - _seconds(trial.age_ms))
        self._apply_reports(summary.reports[:MAX_REPORTS], now)

    def _apply_answer(self, answer: _Answer, vm: str, now: float) -> None:
        # The age grows on the way, so an answer heard again would seem to be later.
        if self._heard_ms.get((vm, answer.key), 0) >= answer.answered_ms:
            return
        self._heard_ms[vm, answer.key] = answer.answered_ms
        answered_at = now - _seconds(answer.age_ms)
        request = frozenset({answer.key})
        if self.suspicions.record_answered_elsewhere(request, answered_at, now):
            self._log_cleared(request, by_entry=vm)

    def _apply_block(self, block: _Block, vm: str, now: float) -> None:
        request, times = frozenset({block.key}), block.times
        if times < 1:
            return
        if self.suspicions.contradicts(request, now):
            if block.remaining_ms > 0:
                answered_at = self.suspicions.answered_at(request)
                self._tell_answer(block.key, answered_at, now)
            return
        if block.remaining_ms <= 0:
            ended_at = now - _seconds(-block.remaining_ms)
            self.suspicions.adopt_former(request, ended_at, times)
        elif self.suspicions.adopt(request, block.remaining_ms / 1000, times, now):
            remaining_s = block.remaining_ms / 1000
            self._log_blocked(request, remaining_s, times, by_entry=vm)

    def _apply_reports(self, reports: list[_Report], now: float) -> None:
        keys = []
        for each in reports:
            lost = _Lost(now - _seconds(each.age_ms), _seconds(each.sent_ms))
            run = ServerRun(each.server, each.started_ms)
            if now - lost.at < REPORT_MEMORY_S and self._add(run, each.key, lost):
                keys.append(each.key)
        for key in dict.fromkeys(keys):
            self._judge(key, now)

    async def run(self) -> None:
        """Tell the other entries of each crash at once, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._catch_up)
            while True:
                await self._wakeup.wait()
                await trio.sleep(BATCH_S)
                self._wakeup = trio.Event()
                told, self._told = self._told, trio.Event()
                # An entry that does not respond must not delay the next crash.
                nursery.start_soon(self._tell_others, told)

    async def _catch_up(self) -> None:
        """Learn what the others know once they are listed, not a period later."""
        while not self._others():
            await self.store.wait_change()
        self._wakeup.set()
        told = self._told
        with trio.move_on_after(ANNOUNCE_TIMEOUT_S):
            await told.wait()
        self._caught_up.set()

    async def wait_caught_up(self) -> None:
        """Wait after a start until the others told what they know, if there are any.

        An entry that does not respond delays the first requests by at most
        ANNOUNCE_TIMEOUT_S.
        """
        if self._others():
            await self._caught_up.wait()

    def _others(self) -> list[str]:
        return [e.vm for e in self.store.view.entries() if e.vm != self.vm]

    async def _tell_others(self, told: trio.Event) -> None:
        payload = self.encode_summary()
        async with trio.open_nursery() as nursery:
            for vm in self._others()[:MAX_TOLD_PEERS]:
                nursery.start_soon(self._tell, vm, payload)
        told.set()

    async def _tell(self, vm: str, payload: bytes) -> None:
        with trio.move_on_after(SEND_TIMEOUT_S):
            try:
                replies = await self.send(vm, {CRASH_TOPIC: payload})
                if reply := replies.get(CRASH_TOPIC):
                    self.apply_summary(vm, reply)
            except (PeerError, ValueError) as exc:
                # The periodic exchange repeats what this entry knows.
                self.events.emit(
                    "crash_exchange_failed", entry=vm, error=str(exc)[:200]
                )

    def _log_blocked(
        self, request: Parts, remaining_s: float, times: int, by_entry: str = ""
    ) -> None:
        self.events.emit(
            "parts_blocked",
            parts=",".join(sorted(request)),
            remaining_ms=_ms(remaining_s),
            times=times,
            by_entry=by_entry or None,
        )

    def _log_cleared(self, request: Parts, by_entry: str = "") -> None:
        self.events.emit(
            "parts_cleared", parts=",".join(sorted(request)), by_entry=by_entry or None
        )


def _ms(seconds: float) -> int:
    return int(seconds * 1000)


def _seconds(ms: int) -> float:
    return min(max(0, ms), MAX_AGE_MS) / 1000
