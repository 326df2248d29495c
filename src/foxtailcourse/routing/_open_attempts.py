"""Attempts that an entry has open, and the waits they show."""

import math
from collections import OrderedDict, deque

import attrs

from foxtailcourse.protocol import RequestClass
from foxtailcourse.routing._types import Prompt

GAIN = 0.2
MAX_FLOWS = 10_000
# A refusal says that the wait is too long for the caller, not how long it is. A floor
# that grew with each refusal kept requests from servers that had long had room again.
REFUSED_WAIT_S = 30.0
# Sums of work within this of zero are rounding errors.
ROUNDING_S = 1e-9

FlowId = tuple[str, str]
PromptId = tuple[str, bytes, int]
AttemptId = tuple[PromptId, str]


def prompt_id(prompt: Prompt) -> PromptId:
    """Return what identifies a prompt; two equal prompts are interchangeable."""
    return prompt.salt, b"".join(prompt.keys[-1:]), prompt.tokens


def attempt_id(prompt: Prompt, server: str) -> AttemptId:
    """Return what identifies an attempt to run a prompt on a server."""
    return prompt_id(prompt), server


@attrs.define(eq=False)
class OpenAttempt:
    """An attempt that was sent.

    Parameters
    ----------
    server, salt : str
        Backend server, and root of the key chain, which stands for the client account.
    request_class : RequestClass
        Scheduling class.
    work_s : float
        Predicted prefill, in seconds.
    sent_at : float
        When it was sent.
    ahead : int
        Unanswered attempts of the same flow when it was sent.
    believed : tuple of (int, float)
        Levels that the server was believed to hold, with their age in seconds.
    answered : bool
        Whether a reply came.
    """

    server: str
    salt: str
    request_class: RequestClass
    work_s: float
    sent_at: float
    ahead: int
    believed: tuple[tuple[int, float], ...] = ()
    answered: bool = False


@attrs.define(eq=False)
class Flow:
    """Unanswered long attempts of one client account on one backend server.

    Parameters
    ----------
    unanswered : deque of OpenAttempt
        Oldest first; answered ones are dropped when they reach the head.
    count : int
        Unanswered attempts.
    refused_at : float
        When the backend server last refused one.
    """

    unanswered: "deque[OpenAttempt]" = attrs.field(factory=deque)
    count: int = 0
    refused_at: float = -math.inf


class OpenAttempts:
    """Bounded record of the own open attempts.

    A fair queue serves the long requests of one client account in order, so an
    account's wait on a backend server shows in the age of its oldest unanswered
    attempt there and in how many of them there are (Little's law).

    Parameters
    ----------
    limit : int
        Most attempts that are remembered; the oldest are forgotten.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._open: OrderedDict[AttemptId, list[OpenAttempt]] = OrderedDict()
        self._flows: OrderedDict[FlowId, Flow] = OrderedDict()
        self._short_work_s: dict[str, float] = {}
        self._interval_s: OrderedDict[str, float] = OrderedDict()

    def short_work_s(self, server: str) -> float:
        """Return the predicted prefill of unanswered short attempts, in seconds."""
        return self._short_work_s.get(server, 0.0)

    def long_wait_s(self, salt: str, server: str, now: float) -> float:
        """Return the predicted wait of a long request of an account, in seconds."""
        flow = self._flows.get((salt, server))
        if flow is None:
            return 0.0
        refused_s = max(0.0, REFUSED_WAIT_S - (now - flow.refused_at))
        while flow.unanswered and flow.unanswered[0].answered:
            flow.unanswered.popleft()
        if not flow.unanswered:
            return refused_s
        age = now - flow.unanswered[0].sent_at
        return max(refused_s, age, flow.count * self._interval_s.get(salt, 0.0))

    def sent(
        self,
        prompt: Prompt,
        server: str,
        request_class: RequestClass,
        work_s: float,
        believed: tuple[tuple[int, float], ...],
        now: float,
    ) -> None:
        """Note a sent attempt."""
        flow = self._flow(prompt.salt, server)
        attempt = OpenAttempt(
            server, prompt.salt, request_class, work_s, now, flow.count, believed
        )
        if request_class is RequestClass.SHORT:
            self._short_work_s[server] = self.short_work_s(server) + work_s
        else:
            flow.unanswered.append(attempt)
            flow.count += 1
        self._open.setdefault(attempt_id(prompt, server), []).append(attempt)
        while len(self._open) > self._limit:
            for forgotten in self._open.popitem(last=False)[1]:
                self._answer(forgotten)

    def answered(
        self, prompt: Prompt, server: str, refused: bool, now: float
    ) -> OpenAttempt | None:
        """Note a reply; return its attempt if it is known and had no reply yet."""
        attempts = self._open.get(attempt_id(prompt, server), ())
        for attempt in attempts:
            if not attempt.answered:
                break
        else:
            return None
        self._answer(attempt)
        if attempt.request_class is RequestClass.LONG:
            if refused:
                self._flow(attempt.salt, attempt.server).refused_at = now
            else:
                self._learn(attempt, now)
        return attempt

    def finished(self, prompt: Prompt, server: str) -> bool:
        """Forget an attempt; return whether it was long and had no reply."""
        name = attempt_id(prompt, server)
        attempts = self._open.get(name)
        if not attempts:
            return False
        attempt = next((each for each in attempts if each.answered), attempts[0])
        long = attempt.request_class is RequestClass.LONG and not attempt.answered
        self._answer(attempt)
        attempts.remove(attempt)
        if not attempts:
            del self._open[name]
        return long

    def _learn(self, attempt: OpenAttempt, now: float) -> None:
        wait_s = now - attempt.sent_at
        interval_s = wait_s / (attempt.ahead + 1)
        held = self._interval_s.get(attempt.salt, interval_s)
        self._interval_s[attempt.salt] = held + GAIN * (interval_s - held)
        self._interval_s.move_to_end(attempt.salt)
        if len(self._interval_s) > MAX_FLOWS:
            self._interval_s.popitem(last=False)

    def _answer(self, attempt: OpenAttempt) -> None:
        if attempt.answered:
            return
        attempt.answered = True
        if attempt.request_class is RequestClass.SHORT:
            left_s = self.short_work_s(attempt.server) - attempt.work_s
            if left_s > ROUNDING_S:
                self._short_work_s[attempt.server] = left_s
            else:
                self._short_work_s.pop(attempt.server, None)
            return
        flow = self._flows.get((attempt.salt, attempt.server))
        if flow is not None:
            flow.count = max(0, flow.count - 1)

    def _flow(self, salt: str, server: str) -> Flow:
        flow = self._flows.setdefault((salt, server), Flow())
        self._flows.move_to_end((salt, server))
        if len(self._flows) > MAX_FLOWS:
            self._flows.popitem(last=False)
        return flow
