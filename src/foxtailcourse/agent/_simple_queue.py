"""First-come first-served queue."""

from collections import OrderedDict

from foxtailcourse.protocol import RequestClass
from foxtailcourse.sharing import Admission, QueuedRequest, Refusal

RETRY_AFTER_MS = 500


class SimpleQueue:
    """A queue that starts requests in the order of their arrival.

    Parameters
    ----------
    slots : int
        Requests on the backend server at once.
    limit : int
        Most waiting requests.
    """

    def __init__(self, slots: int, limit: int) -> None:
        self._slots = slots
        self._limit = limit
        self._waiting: OrderedDict[str, QueuedRequest] = OrderedDict()
        self._running: set[str] = set()

    def offer(self, request: QueuedRequest, now: float) -> Admission | Refusal:
        """Take a request into the queue or refuse it."""
        if len(self._waiting) >= self._limit:
            return Refusal(code="queue_full", retry_after_ms=RETRY_AFTER_MS)
        if request.deadline <= now:
            return Refusal(code="deadline", retry_after_ms=RETRY_AFTER_MS)
        self._waiting[request.attempt_id] = request
        return Admission(predicted_start_s=0.0)

    def take(self, now: float) -> QueuedRequest | None:
        """Return the next request to start, or None if none may start now."""
        if not self._waiting or len(self._running) >= self._slots:
            return None
        _, request = self._waiting.popitem(last=False)
        self._running.add(request.attempt_id)
        return request

    def finish(self, attempt_id: str, generated_tokens: int, now: float) -> None:
        """Note that a started request ended."""
        self._running.discard(attempt_id)

    def withdraw(self, attempt_id: str, now: float) -> bool:
        """Remove a waiting request."""
        return self._waiting.pop(attempt_id, None) is not None

    def expire(self, now: float) -> list[QueuedRequest]:
        """Remove and return the waiting requests whose deadline has passed."""
        expired = [each for each in self._waiting.values() if each.deadline <= now]
        for each in expired:
            del self._waiting[each.attempt_id]
        return expired

    def predicted_wait_s(self, request_class: RequestClass, now: float) -> float:
        """Return the predicted wait of a new request, in seconds."""
        return 0.0

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Number of started requests."""
        return len(self._running)
