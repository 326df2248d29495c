"""First come, first served: the baseline that the fair queue is measured against."""

from collections import OrderedDict

from foxtailcourse.protocol import RequestClass
from foxtailcourse.sharing._types import Admission, QueuedRequest, Refusal


class FifoQueue:
    """Implements ``RequestQueue`` without classes, shares or refusals.

    Parameters
    ----------
    slots : int
        Requests on the backend server at once.
    """

    def __init__(self, slots: int = 8) -> None:
        self._slots = slots
        self._waiting: OrderedDict[str, QueuedRequest] = OrderedDict()
        self._running: set[str] = set()

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Number of started requests."""
        return len(self._running)

    def offer(self, request: QueuedRequest, now: float) -> Admission | Refusal:
        """Take any request into the queue."""
        self._waiting[request.attempt_id] = request
        return Admission(predicted_start_s=0.0)

    def take(self, now: float) -> QueuedRequest | None:
        """Return the oldest waiting request if a slot is free."""
        if not self._waiting or len(self._running) >= self._slots:
            return None
        attempt_id, request = self._waiting.popitem(last=False)
        self._running.add(attempt_id)
        return request

    def finish(self, attempt_id: str, generated_tokens: int, now: float) -> None:
        """Note that a started request ended."""
        self._running.discard(attempt_id)

    def withdraw(self, attempt_id: str, now: float) -> bool:
        """Remove a waiting request."""
        return self._waiting.pop(attempt_id, None) is not None

    def expire(self, now: float) -> list[QueuedRequest]:
        """Remove and return the waiting requests that are past their deadline."""
        late = [each for each in self._waiting.values() if each.deadline < now]
        for each in late:
            del self._waiting[each.attempt_id]
        return late

    def predicted_wait_s(self, request_class: RequestClass, now: float) -> float:
        """Return 0, since this discipline predicts nothing."""
        return 0.0
