"""Small event-driven backend server for tests and benchmarks of a queue.

A started request holds a slot for a time that does not depend on the other requests.
The emulator of ``scripts/bench`` has the engine models; this one isolates the queue.
"""

import heapq
from collections.abc import Callable, Iterable

import attrs

from foxtailcourse.sharing._types import QueuedRequest, Refusal, RequestQueue


@attrs.define(eq=False)
class Outcome:
    """What happened to one offered request.

    Parameters
    ----------
    request : QueuedRequest
        The request.
    offered : float
        Time of the offer.
    predicted_start : float or None
        Start predicted at the offer, None if refused.
    started, ended : float or None
        Times of start and end on the backend server.
    refusal : Refusal or None
        The refusal.
    expired : float or None
        Time at which the queue gave it up.
    """

    request: QueuedRequest
    offered: float
    predicted_start: float | None = None
    started: float | None = None
    ended: float | None = None
    refusal: Refusal | None = None
    expired: float | None = None

    @property
    def wait_s(self) -> float:
        """Seconds between offer and start; infinite if it never started."""
        return self.started - self.offered if self.started is not None else float("inf")


Arrivals = Iterable[tuple[float, QueuedRequest]]


class BackendSimulation:
    """Runs arrivals through a queue.

    Parameters
    ----------
    queue : RequestQueue
        Queue discipline under test.
    duration_s : callable
        Seconds that a request holds a slot.
    again : callable or None
        Returns the caller's next request after one ended (a closed loop), or None.
    """

    def __init__(
        self,
        queue: RequestQueue,
        duration_s: Callable[[QueuedRequest], float],
        again: Callable[[QueuedRequest, float], QueuedRequest | None] | None = None,
    ) -> None:
        self.queue = queue
        self.outcomes: dict[str, Outcome] = {}
        self._duration_s = duration_s
        self._again = again
        self._events: list[tuple[float, int, bool, QueuedRequest]] = []
        self._count = 0

    def run(self, arrivals: Arrivals, until: float) -> list[Outcome]:
        """Run until a time and return the outcomes in order of arrival."""
        for time, request in arrivals:
            self._push(time, False, request)
        while self._events and self._events[0][0] <= until:
            now, _, ends, request = heapq.heappop(self._events)
            if ends:
                self._end(request, now)
            else:
                self._offer(request, now)
            for late in self.queue.expire(now):
                self.outcomes[late.attempt_id].expired = now
            while (started := self.queue.take(now)) is not None:
                self.outcomes[started.attempt_id].started = now
                self._push(now + self._duration_s(started), True, started)
        return list(self.outcomes.values())

    def _push(self, time: float, ends: bool, request: QueuedRequest) -> None:
        self._count += 1
        heapq.heappush(self._events, (time, self._count, ends, request))

    def _offer(self, request: QueuedRequest, now: float) -> None:
        outcome = self.outcomes[request.attempt_id] = Outcome(request, now)
        answer = self.queue.offer(request, now)
        if isinstance(answer, Refusal):
            outcome.refusal = answer
        else:
            outcome.predicted_start = now + answer.predicted_start_s

    def _end(self, request: QueuedRequest, now: float) -> None:
        self.outcomes[request.attempt_id].ended = now
        self.queue.finish(request.attempt_id, request.expected_tokens, now)
        following = self._again(request, now) if self._again else None
        if following is not None:
            self._push(now, False, following)
