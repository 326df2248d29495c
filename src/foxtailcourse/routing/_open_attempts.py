"""Open attempts of an entry, and the waits estimated from them."""

import math
from collections import OrderedDict, deque

import attrs

from foxtailcourse.protocol import RequestClass
from foxtailcourse.routing._types import Prompt

# Weight of a new observation in an account's mean reply interval.
REPLY_INTERVAL_GAIN = 0.2
MAX_FLOWS = 10_000
# Wait assumed after a refusal, which does not tell how long the wait is. A lower bound
# that grew with each refusal kept requests away from servers after they had free
# capacity again.
REFUSED_WAIT_S = 30.0
# Sums of prefill times below this are rounding errors.
ROUNDING_S = 1e-9

FlowId = tuple[str, str]
PromptId = tuple[str, bytes, int]
AttemptId = tuple[PromptId, str]


def prompt_id(prompt: Prompt) -> PromptId:
    """Return the identity of a prompt; equal prompts are interchangeable."""
    return prompt.salt, b"".join(prompt.keys[-1:]), prompt.tokens


def attempt_id(prompt: Prompt, server: str) -> AttemptId:
    """Return the identity of an attempt to run a prompt on a server."""
    return prompt_id(prompt), server


@attrs.define(eq=False)
class OpenAttempt:
    """An attempt that was sent and has not ended.

    Parameters
    ----------
    server, salt : str
        Backend server, and root of the key chain, which stands for the client account.
    request_class : RequestClass
        Scheduling class.
    prefill_s : float
        Predicted prefill time, in seconds.
    sent_at : float
        When it was sent, on the clock of ``now``.
    n_ahead : int
        Unanswered attempts of the same flow when it was sent.
    expected_levels : tuple of (int, float)
        Levels that the server was expected to have cached, each with the seconds
        since their last use.
    pending_keys : tuple of bytes
        Keys of the prefixes that count it as pending, if it is long.
    answered : bool
        Whether a reply was received.
    """

    server: str
    salt: str
    request_class: RequestClass
    prefill_s: float
    sent_at: float
    n_ahead: int
    expected_levels: tuple[tuple[int, float], ...] = ()
    pending_keys: tuple[bytes, ...] = ()
    answered: bool = False


@attrs.define(eq=False)
class Flow:
    """Unanswered long attempts of one client account on one backend server.

    Parameters
    ----------
    attempts : deque of OpenAttempt
        Oldest first; answered ones are removed only when they reach the head.
    n_unanswered : int
        Number of unanswered attempts.
    refused_at : float
        When the backend server last refused one, on the clock of ``now``.
    """

    attempts: "deque[OpenAttempt]" = attrs.field(factory=deque)
    n_unanswered: int = 0
    refused_at: float = -math.inf


class OpenAttempts:
    """Bounded record of this entry's open attempts, which estimates waits.

    A fair queue serves the long requests of one client account in order, so an
    account's wait on a backend server is estimated from the age of its oldest
    unanswered attempt there and from the number of them (Little's law).

    Parameters
    ----------
    limit : int
        Maximum number of recorded pairs of prompt and server; the oldest are
        evicted.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._open: OrderedDict[AttemptId, list[OpenAttempt]] = OrderedDict()
        self._flows: OrderedDict[FlowId, Flow] = OrderedDict()
        self._short_prefill_s: dict[str, float] = {}
        # By salt: mean time between a server's replies to successive long attempts,
        # in seconds.
        self._mean_interval_s: OrderedDict[str, float] = OrderedDict()

    def short_prefill_s(self, server: str) -> float:
        """Return the seconds of prefill predicted for unanswered short attempts."""
        return self._short_prefill_s.get(server, 0.0)

    def long_wait_s(self, salt: str, server: str, now: float) -> float:
        """Return the predicted wait of a long request of an account, in seconds."""
        flow = self._flows.get((salt, server))
        if flow is None:
            return 0.0
        refused_s = max(0.0, REFUSED_WAIT_S - (now - flow.refused_at))
        while flow.attempts and flow.attempts[0].answered:
            flow.attempts.popleft()
        if not flow.attempts:
            return refused_s
        age_s = now - flow.attempts[0].sent_at
        return max(
            refused_s, age_s, flow.n_unanswered * self._mean_interval_s.get(salt, 0.0)
        )

    def record_sent(
        self,
        prompt: Prompt,
        server: str,
        request_class: RequestClass,
        prefill_s: float,
        expected_levels: tuple[tuple[int, float], ...],
        now: float,
        pending_keys: tuple[bytes, ...] = (),
    ) -> list[OpenAttempt]:
        """Record a sent attempt; return the unanswered ones that are evicted for it.

        ``pending_keys`` are the keys of the prefixes that count a long attempt.
        """
        flow = self._flow(prompt.salt, server)
        attempt = OpenAttempt(
            server,
            prompt.salt,
            request_class,
            prefill_s,
            now,
            flow.n_unanswered,
            expected_levels,
            pending_keys,
        )
        if request_class is RequestClass.SHORT:
            self._short_prefill_s[server] = self.short_prefill_s(server) + prefill_s
        else:
            flow.attempts.append(attempt)
            flow.n_unanswered += 1
        self._open.setdefault(attempt_id(prompt, server), []).append(attempt)
        evicted: list[OpenAttempt] = []
        while len(self._open) > self._limit:
            attempts = self._open.popitem(last=False)[1]
            evicted += [each for each in attempts if not each.answered]
        for each in evicted:
            self._mark_answered(each)
        return evicted

    def record_reply(
        self, prompt: Prompt, server: str, refused: bool, now: float
    ) -> OpenAttempt | None:
        """Record a reply; return its attempt if recorded and not yet answered."""
        attempts = self._open.get(attempt_id(prompt, server), ())
        for attempt in attempts:
            if not attempt.answered:
                break
        else:
            return None
        self._mark_answered(attempt)
        if attempt.request_class is RequestClass.LONG:
            if refused:
                self._flow(attempt.salt, attempt.server).refused_at = now
            else:
                self._update_interval(attempt, now)
        return attempt

    def record_finished(self, prompt: Prompt, server: str) -> bool:
        """Remove an attempt; return whether it was long and unanswered."""
        key = attempt_id(prompt, server)
        attempts = self._open.get(key)
        if not attempts:
            return False
        attempt = next((each for each in attempts if each.answered), attempts[0])
        unanswered_long = (
            attempt.request_class is RequestClass.LONG and not attempt.answered
        )
        self._mark_answered(attempt)
        attempts.remove(attempt)
        if not attempts:
            del self._open[key]
        return unanswered_long

    def _update_interval(self, attempt: OpenAttempt, now: float) -> None:
        """Update the account's mean reply interval by an answered long attempt."""
        wait_s = now - attempt.sent_at
        interval_s = wait_s / (attempt.n_ahead + 1)
        mean_s = self._mean_interval_s.get(attempt.salt, interval_s)
        self._mean_interval_s[attempt.salt] = mean_s + REPLY_INTERVAL_GAIN * (
            interval_s - mean_s
        )
        self._mean_interval_s.move_to_end(attempt.salt)
        if len(self._mean_interval_s) > MAX_FLOWS:
            self._mean_interval_s.popitem(last=False)

    def _mark_answered(self, attempt: OpenAttempt) -> None:
        """Stop counting an attempt in the predicted waits."""
        if attempt.answered:
            return
        attempt.answered = True
        if attempt.request_class is RequestClass.SHORT:
            left_s = self.short_prefill_s(attempt.server) - attempt.prefill_s
            if left_s > ROUNDING_S:
                self._short_prefill_s[attempt.server] = left_s
            else:
                self._short_prefill_s.pop(attempt.server, None)
            return
        flow = self._flows.get((attempt.salt, attempt.server))
        if flow is not None:
            flow.n_unanswered = max(0, flow.n_unanswered - 1)

    def _flow(self, salt: str, server: str) -> Flow:
        flow = self._flows.setdefault((salt, server), Flow())
        self._flows.move_to_end((salt, server))
        if len(self._flows) > MAX_FLOWS:
            self._flows.popitem(last=False)
        return flow
