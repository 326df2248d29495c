"""Finds the requests, and the parts of prompts, that crash the servers they run on.

When a server breaks off, the requests that had begun there without a second event are
suspected. A request that is lost in several crashes is blocked: if its caller sends it
again, it is refused for some time. Parts of prompts that different requests of several
crashes have in common are blocked together: requests with all of them are refused. A
server that answers such a request ends the suspicion.
"""

import hashlib
from collections.abc import Callable, Iterable, Mapping, Sequence, Set

import attrs

from foxtailcourse.fleet import ServerRun

Parts = frozenset[str]
"""Keys of prompt parts, and possibly that of the request itself.

See ``part_key`` and ``request_key``. A block of a request has its key alone.
"""

# Distinguishes the key of a request from those of prompt parts.
REQUEST_PREFIX = "r"
# Reports of all entries on a crash arrive within this time.
SETTLE_S = 0.15
# A server that breaks off again later than this has crashed or failed again.
CRASH_S = 1.0
# Crashes that are closer together count as one, since servers also fail together and
# then hold many requests with the same parts.
MIN_SEPARATION_S = 0.2
# Longest delay of a report. A crash counts for a request that was sent, within this
# tolerance, after the one before: copies of it may be in progress at several servers
# that fail together.
REPORT_DELAY_S = 0.03
# Crashes from which on parts are blocked, if no request with them was ever answered,
# and if one was before the first of these crashes.
CRASHES_TO_BLOCK = 2
CRASHES_TO_BLOCK_KNOWN = 3
# So many more block a request that no server had begun to answer, as other requests
# wait at each server that crashes.
WAITING_CRASHES = 1
# The prompts of a crash are forgotten after CRASH_MEMORY_S and the crash after
# REQUEST_MEMORY_S, and the oldest crashes if there are more.
CRASH_MEMORY_S = 120.0
REQUEST_MEMORY_S = 540.0
MAX_CRASHES = 60
# Records of the same crash differ at most by this, as the clocks of VMs do.
MAX_CLOCK_DIFFERENCE_S = 10.0
# Prompts of one crash that are compared with those of others, and requests of which it
# is known that they were lost in it.
MAX_PROMPTS = 8
MAX_REQUESTS = 256
# Sets of parts that requests of several crashes share, of which it is looked up whether
# they were answered; those of the most crashes come first.
MAX_CANDIDATES = 32
# Answered requests that are remembered.
MAX_ANSWERED = 2000
# Answers at other entries are forgotten after this time.
ANSWERS_ELSEWHERE_MEMORY_S = 600.0
# Parts are blocked for this time at first, and for a multiple each further time.
FIRST_BLOCK_S = 30.0
BLOCK_MULTIPLE = 4.0
MAX_BLOCK_S = 3600.0
# From this number of times on, each block has the longest time.
LONGEST_BLOCK_TIMES = 5
# A number of times that others state counts as at most this, so that it can grow.
MAX_STATED_TIMES = 1000
# For this time after its end, one more crash is enough for the next block.
PAROLE_S = 600.0
# After the end of a block, each entry may try the parts this much later than the one
# ranked before it, so that it has heard by then of that one's trial.
TRIAL_SPACING_S = 0.5
# Longest time for which an entry waits for the outcome of a trial.
TRIAL_TIMEOUT_S = 10.0


def part_key(service: str, part_id: str) -> str:
    """Return a short key of a prompt part; callers choose the length of its name."""
    name = f"{service}/{part_id}".encode("utf-8", "surrogateescape")
    return hashlib.blake2b(name, digest_size=8).hexdigest()


def request_key(account: str, method: str, host: str, target: str, body: bytes) -> str:
    """Return a short key that only the same request of the same caller has.

    It is the same at all services to which a route sends the request.
    """
    digest = hashlib.blake2b(body, digest_size=8)
    for field in (account, method, host, target):
        name = field.encode("utf-8", "surrogateescape")
        digest.update(len(name).to_bytes(4, "big") + name)
    return REQUEST_PREFIX + digest.hexdigest()


@attrs.frozen
class BreakReport:
    """Requests without a second event that an entry lost as a server broke off.

    Parameters
    ----------
    run : ServerRun
        Run of the server.
    begun : tuple of frozenset of str
        Parts of each request that the server had begun to answer, or may have.
    waiting : tuple of frozenset of str
        Parts of each of the others.
    ages_s, waiting_ages_s : tuple of float
        How long before it broke off each of these requests was sent, in seconds.
    """

    run: ServerRun
    begun: tuple[Parts, ...] = ()
    waiting: tuple[Parts, ...] = ()
    ages_s: tuple[float, ...] = ()
    waiting_ages_s: tuple[float, ...] = ()

    def requests(self) -> dict[str, float]:
        """Return the keys of the requests that had begun, with their ages."""
        return _request_ages(self.begun, self.ages_s)

    def waiting_requests(self) -> dict[str, float]:
        """Return the keys of the other requests, with their ages."""
        return _request_ages(self.waiting, self.waiting_ages_s)


@attrs.define
class Crash:
    """What entries reported of one crash of a server.

    Parameters
    ----------
    run : ServerRun
        Run of the server.
    at : float
        When the first report arrived, in seconds since boot.
    begun, waiting : dict of frozenset of str to set of str
        Parts of the prompts of the requests, as in the reports, each with the keys of
        the requests that have them.
    sent_at : dict of str to float
        When requests that had begun were sent, in seconds since boot, by their keys.
    waiting_sent_at : dict of str to float
        The same of the others.
    judged : bool
        Whether the crash was compared with the earlier ones.
    """

    run: ServerRun
    at: float
    begun: dict[Parts, set[str]] = attrs.field(factory=dict)
    waiting: dict[Parts, set[str]] = attrs.field(factory=dict)
    sent_at: dict[str, float] = attrs.field(factory=dict)
    waiting_sent_at: dict[str, float] = attrs.field(factory=dict)
    judged: bool = False

    @property
    def prompts(self) -> dict[Parts, set[str]]:
        """Parts of the prompts that may have crashed the server."""
        return self.begun or self.waiting

    def suspected_prompts(self, blocked: Set[str]) -> dict[Parts, set[str]]:
        """Return those of the blocked requests, which explain it, or all."""
        explained = {k: v for k, v in self.prompts.items() if v & blocked}
        return explained or self.prompts

    def add(self, report: BreakReport, now: float) -> None:
        """Add what an entry reported."""
        for prompts, reported in (
            (self.begun, report.begun),
            (self.waiting, report.waiting),
        ):
            for row in reported:
                parts = _prompt_parts(row)
                if parts and (parts in prompts or len(prompts) < MAX_PROMPTS):
                    requests = prompts.setdefault(parts, set())
                    if len(requests) < MAX_REQUESTS:
                        requests.update(request_only(row))
        for sent_at, ages_s in (
            (self.sent_at, report.requests()),
            (self.waiting_sent_at, report.waiting_requests()),
        ):
            for key, age_s in ages_s.items():
                if len(sent_at) < MAX_REQUESTS:
                    sent_at.setdefault(key, now - age_s)

    def may_be_due_to(self, parts: Parts) -> bool:
        """Whether a request with these parts may have crashed the server."""
        if not _is_block_of_request(parts):
            return any(parts <= each for each in self.prompts)
        return self.had_begun(parts) or parts <= self.waiting_sent_at.keys()

    def had_begun(self, request: Parts) -> bool:
        """Whether the server had begun to answer a request, or may have."""
        return request <= self.sent_at.keys()

    @property
    def requests(self) -> frozenset[str]:
        """Keys of the requests that are the likely cause, once all have reported."""
        return frozenset(self.sent_at or self.waiting_sent_at)

    def is_explained_by(self, request: Parts) -> bool:
        """Whether a request is a likely cause, once all entries have reported."""
        return request <= self.requests

    def report(self) -> BreakReport:
        """Return the requests that were lost as one report, without their prompts.

        An entry that learns of it later knows of no answers to other prompts with the
        same parts.
        """
        return BreakReport(
            self.run,
            begun=_request_rows(self.sent_at),
            waiting=_request_rows(self.waiting_sent_at),
            ages_s=self._ages_s(self.sent_at),
            waiting_ages_s=self._ages_s(self.waiting_sent_at),
        )

    def _ages_s(self, sent_at: dict[str, float]) -> tuple[float, ...]:
        return tuple(max(0.0, self.at - each) for each in sent_at.values())

    def is_separate(self, parts: Parts, earlier_at: float) -> bool:
        """Whether it did not come together with an earlier crash."""
        request = next(iter(request_only(parts)), None)
        if request is None:
            return self.at - earlier_at >= MIN_SEPARATION_S
        sent_at = self.sent_at.get(request, self.waiting_sent_at.get(request, self.at))
        return sent_at >= earlier_at - REPORT_DELAY_S


@attrs.frozen
class Block:
    """Parts that are or were blocked.

    Parameters
    ----------
    until : float
        End of the block, in seconds since boot.
    times : int
        How many times the parts have been blocked so far.
    """

    until: float
    times: int


def block_s(times: int) -> float:
    """Return for how long parts are blocked the n-th time, in seconds."""
    # The power of a large number is no float.
    times = min(times, LONGEST_BLOCK_TIMES)
    return min(MAX_BLOCK_S, FIRST_BLOCK_S * BLOCK_MULTIPLE ** (times - 1))


@attrs.define
class PartSuspicions:
    """Crashes of servers, and the parts of prompts that are blocked for them."""

    _crashes: list[Crash] = attrs.field(factory=list, init=False)
    _blocks: dict[Parts, Block] = attrs.field(factory=dict, init=False)
    # When requests with these parts were last answered, the least recent first.
    _answered_at: dict[Parts, float] = attrs.field(factory=dict, init=False)
    # The same of other entries, which tell it of blocked parts only.
    _answered_elsewhere_at: dict[Parts, float] = attrs.field(factory=dict, init=False)
    # When this or another entry last tried parts whose block has ended.
    _trials: dict[Parts, float] = attrs.field(factory=dict, init=False)

    # Crashes

    def report(self, report: BreakReport, now: float) -> None:
        """Record what this or another entry lost as a server broke off."""
        for crash in reversed(self._crashes):
            if crash.run == report.run and now - crash.at <= CRASH_S:
                break
        else:
            crash = Crash(report.run, now)
            self._crashes.append(crash)
            # Entries also learn of earlier crashes later.
            self._crashes.sort(key=lambda each: each.at)
        crash.add(report, now)

    def judge_requests(self, report: BreakReport, now: float) -> dict[Parts, Block]:
        """Judge the requests of a report at once; return the new blocks.

        They are not compared with each other, so reports of other entries on the same
        crash are not waited for, and the caller's next attempt is refused.
        """
        blocked: dict[Parts, Block] = {}
        for key in report.requests() | report.waiting_requests():
            request = frozenset({key})
            known = self._blocks.get(request)
            if known.until <= now if known else self._is_suspect(request, now):
                blocked[request] = self._block(request, now)
        return blocked

    def adopt_crash(self, report: BreakReport, at: float) -> None:
        """Add a crash that another entry has recorded and judged."""
        for crash in self._crashes:
            is_close = abs(crash.at - at) <= MAX_CLOCK_DIFFERENCE_S
            if crash.run == report.run and is_close:
                crash.add(report, crash.at)
                return
        crash = Crash(report.run, at, judged=True)
        crash.add(report, at)
        self._crashes.append(crash)
        self._crashes.sort(key=lambda each: each.at)

    def crashes(self) -> tuple[Crash, ...]:
        """Return the known crashes, the oldest first."""
        return tuple(self._crashes)

    def judge(self, now: float) -> dict[Parts, Block]:
        """Judge the crashes whose reports are complete; return the new blocks."""
        self._forget(now)
        blocked: dict[Parts, Block] = {}
        for crash in self._crashes:
            if not crash.judged and now - crash.at >= SETTLE_S:
                crash.judged = True
                blocked |= self._judge(crash, now)
        return blocked

    @property
    def has_unjudged(self) -> bool:
        """Whether a crash waits for its judgement."""
        return any(not crash.judged for crash in self._crashes)

    def _judge(self, crash: Crash, now: float) -> dict[Parts, Block]:
        blocked = self._judge_settled_requests(crash, now)
        known = [
            each
            for each in self._blocks
            if not _is_block_of_request(each) and crash.may_be_due_to(each)
        ]
        if known:
            # They explain the crash. Requests sent before a block change nothing.
            ended = [each for each in known if self._blocks[each].until <= crash.at]
            return blocked | {each: self._block(each, now) for each in ended}
        suspects = self._common_parts(crash)
        if not suspects:
            return blocked
        # Parts are narrowed down if a crash has only some of those blocked before.
        wider = [each for each in self._blocks if suspects < each]
        times = max((self._blocks.pop(each).times for each in wider), default=1)
        return blocked | {suspects: self._block(suspects, now, times)}

    def _judge_settled_requests(self, crash: Crash, now: float) -> dict[Parts, Block]:
        """Block the requests that are likely causes of this and earlier crashes."""
        requests = [frozenset({key}) for key in crash.requests]
        return {
            each: self._block(each, now)
            for each in requests
            if each not in self._blocks
            and self._is_suspect(each, crash.at, settled=True)
        }

    def _common_parts(self, crash: Crash) -> Parts | None:
        """Return what requests of a crash share with enough others, if anything.

        Of several possible sets, the one of most crashes and then of most parts.
        """
        blocked = self._blocked_requests()
        earlier = {
            prompt
            for each in self._crashes
            if each.at < crash.at
            for prompt in each.suspected_prompts(blocked)
        }
        mine = crash.suspected_prompts(blocked)
        shared = {prompt & other for prompt in mine for other in earlier}
        candidates = sorted(
            (
                (count, len(parts), sorted(parts))
                for parts in shared
                if parts
                and (count := self._count_prompts(parts, float("-inf"), crash.at))
                >= CRASHES_TO_BLOCK
            ),
            reverse=True,
        )
        suspects = (frozenset(names) for _, _, names in candidates[:MAX_CANDIDATES])
        return next((e for e in suspects if self._is_suspect(e, crash.at)), None)

    def _is_suspect(self, parts: Parts, until: float, *, settled: bool = False) -> bool:
        """Whether parts are in enough crashes that came after they were answered.

        ``settled`` tells that all entries have reported on the latest of them.
        """
        is_request = _is_block_of_request(parts)
        count = self._count if is_request else self._count_prompts
        if count(parts, float("-inf"), until) < CRASHES_TO_BLOCK:
            return False
        answered_at = self.answered_at(parts)
        was_answered = answered_at > float("-inf")
        needed = CRASHES_TO_BLOCK_KNOWN if was_answered else CRASHES_TO_BLOCK
        if not is_request:
            return self._count_prompts(parts, answered_at, until) >= needed
        is_due = Crash.is_explained_by if settled else Crash.had_begun
        if self._count(parts, answered_at, until, is_due) >= needed:
            return True
        return self._count(parts, answered_at, until) >= needed + WAITING_CRASHES

    def _count(
        self,
        parts: Parts,
        after: float,
        until: float,
        is_due: Callable[[Crash, Parts], bool] = Crash.may_be_due_to,
    ) -> int:
        """Return in how many separate crashes of a time a request was lost.

        ``is_due`` tells which crashes count.
        """
        count, counted_at = 0, float("-inf")
        for crash in self._crashes:
            if (
                after < crash.at <= until
                and is_due(crash, parts)
                and crash.is_separate(parts, counted_at)
            ):
                count, counted_at = count + 1, crash.at
        return count

    def _count_prompts(self, parts: Parts, after: float, until: float) -> int:
        """Return in how many separate crashes of a time different prompts had parts.

        What the same request has in common with itself says nothing of its parts.
        """
        count, counted_at = 0, float("-inf")
        blocked, seen = self._blocked_requests(), set[str]()
        for crash in self._crashes:
            if not after < crash.at <= until:
                continue
            prompts = crash.suspected_prompts(blocked)
            requests = [keys for each, keys in prompts.items() if parts <= each]
            keys = set[str]().union(*requests)
            is_new = not keys or not keys <= seen
            if requests and is_new and crash.is_separate(parts, counted_at):
                seen |= keys
                count, counted_at = count + 1, crash.at
        return count

    def _blocked_requests(self) -> frozenset[str]:
        """Return the keys of the requests that are or were blocked."""
        requests = (request_only(each) for each in self._blocks)
        return frozenset().union(*requests)

    def _block(self, parts: Parts, now: float, times: int = 0) -> Block:
        former = self._blocks.get(parts)
        times = max(times, 1 + former.times if former else 1)
        self._trials.pop(parts, None)
        self._blocks[parts] = Block(now + block_s(times), times)
        return self._blocks[parts]

    def _forget(self, now: float) -> None:
        recent = [each for each in self._crashes if now - each.at < REQUEST_MEMORY_S]
        self._crashes = recent[-MAX_CRASHES:]
        for crash in self._crashes:
            if now - crash.at >= CRASH_MEMORY_S:
                crash.begun.clear()
                crash.waiting.clear()
        for parts, block in list(self._blocks.items()):
            if now >= block.until + PAROLE_S:
                del self._blocks[parts]
                self._trials.pop(parts, None)
        self._answered_elsewhere_at = {
            parts: at
            for parts, at in self._answered_elsewhere_at.items()
            if now - at < ANSWERS_ELSEWHERE_MEMORY_S
        }

    # Requests

    def wait_s(self, request: Parts, rank: Callable[[Parts], int], now: float) -> float:
        """Return for how long a request must not be sent, in seconds.

        Parameters
        ----------
        request : frozenset of str
            Its parts that other requests may have as well.
        rank : callable
            Returns how many entries may try blocked parts before this one.
        now : float
            Present time in seconds since boot.
        """
        return max(
            (
                self._block_wait_s(parts, block, rank, now)
                for parts, block in self._blocks.items()
                if parts <= request
            ),
            default=0.0,
        )

    def _block_wait_s(
        self, parts: Parts, block: Block, rank: Callable[[Parts], int], now: float
    ) -> float:
        if now < block.until:
            return block.until - now
        own_turn_at = block.until + TRIAL_SPACING_S * rank(parts)
        trial_until = self._trials.get(parts, float("-inf")) + TRIAL_TIMEOUT_S
        return max(0.0, own_turn_at - now, trial_until - now)

    def record_sent(self, request: Parts, now: float) -> dict[Parts, Block]:
        """Record a request; return the ended blocks of which it is a trial."""
        tried = {k: v for k, v in self._blocks.items() if k <= request}
        self._trials |= dict.fromkeys(tried, now)
        return tried

    def record_trial(self, parts: Parts, at: float) -> None:
        """Record that another entry tries parts; its outcome is waited for."""
        if parts in self._blocks:
            self._trials[parts] = max(at, self._trials.get(parts, at))

    def trials(self, now: float) -> dict[Parts, float]:
        """Return the parts whose trials are in progress, and since when."""
        return {
            parts: at
            for parts, at in self._trials.items()
            if now - at < TRIAL_TIMEOUT_S
        }

    def record_answered(self, request: Parts, now: float) -> list[Parts]:
        """Record that a server answers a request; return the blocks that this ends."""
        self._answered_at.pop(request, None)
        self._answered_at[request] = now
        if len(self._answered_at) > MAX_ANSWERED:
            del self._answered_at[next(iter(self._answered_at))]
        ended = [parts for parts in self._blocks if parts <= request]
        for parts in ended:
            self._unblock(parts)
        return ended

    def answered_at(self, parts: Parts) -> float:
        """Return when a request with these parts was last answered; -inf if never."""
        known = (self._answered_at, self._answered_elsewhere_at)
        times = [at for e in known for each, at in e.items() if parts <= each]
        return max(times, default=float("-inf"))

    def _unblock(self, parts: Parts) -> bool:
        self._trials.pop(parts, None)
        return self._blocks.pop(parts, None) is not None

    # State of other entries

    def record_answered_elsewhere(
        self, parts: Parts, answered_at: float, now: float
    ) -> bool:
        """Record an answer to a request with these parts at another entry.

        Returns whether this ends their block.
        """
        known_at = self._answered_elsewhere_at.get(parts, float("-inf"))
        self._answered_elsewhere_at[parts] = max(known_at, answered_at)
        return not self._is_suspect(parts, now) and self._unblock(parts)

    def adopt(self, parts: Parts, remaining_s: float, times: int, now: float) -> bool:
        """Block parts that another entry has blocked; return whether that is new.

        A block that has ended, with no time remaining, makes the next one longer.
        """
        times = min(times, MAX_STATED_TIMES)
        remaining_s = min(remaining_s, block_s(times))
        known = self._blocks.get(parts)
        if not parts or (known and known.times >= times):
            return False
        self._blocks[parts] = Block(now + remaining_s, times)
        return True

    def adopt_former(self, parts: Parts, ended_at: float, times: int) -> None:
        """Remember a block of another entry that has ended."""
        times = min(times, MAX_STATED_TIMES)
        known = self._blocks.get(parts)
        if parts and (known is None or known.times < times):
            self._blocks[parts] = Block(ended_at, times)

    def contradicts(self, parts: Parts, now: float) -> bool:
        """Whether this entry knows of answers that exclude a block of parts."""
        was_answered = self.answered_at(parts) > float("-inf")
        return was_answered and not self._is_suspect(parts, now)

    def active_blocks(self, now: float) -> dict[Parts, Block]:
        """Return the parts that are blocked at present."""
        return {k: v for k, v in self._blocks.items() if now < v.until}

    @property
    def blocks(self) -> Mapping[Parts, Block]:
        """The parts that are blocked, or were and are tried again."""
        return self._blocks


def request_parts(service: str, part_ids: Sequence[str]) -> Parts:
    """Return the parts of a prompt that other requests may share, all but the last."""
    return frozenset(part_key(service, each) for each in part_ids[:-1])


def request_only(keys: Parts) -> Parts:
    """Return the key of the request alone."""
    return keys - _prompt_parts(keys)


def _request_rows(keys: Iterable[str]) -> tuple[Parts, ...]:
    return tuple(frozenset({key}) for key in keys)


def _request_ages(rows: Sequence[Parts], ages_s: Sequence[float]) -> dict[str, float]:
    """Return the ages of the requests in a report, 0 where it has none, by key."""
    padded_s = (*ages_s, *(0.0 for _ in rows))
    return {
        key: age_s
        for row, age_s in zip(rows, padded_s, strict=False)
        for key in request_only(row)
    }


def _is_request(key: str) -> bool:
    return key.startswith(REQUEST_PREFIX)


def _prompt_parts(keys: Parts) -> Parts:
    """Return the keys of prompt parts among those of a request."""
    return frozenset(each for each in keys if not _is_request(each))


def _is_block_of_request(parts: Parts) -> bool:
    """Whether a block is one of a request."""
    return any(_is_request(each) for each in parts)
