"""Started requests of one backend server."""

import heapq

import attrs

from foxtailcourse.protocol import RequestClass
from foxtailcourse.sharing._flows import Item

COMPACT_SLACK = 16
PREFILL_GRACE = 2.0


@attrs.define(eq=False)
class Started:
    """A started request.

    Parameters
    ----------
    item : Item
        The request and its charge.
    started : float
        Time of its start.
    prefill_end : float
        When its prompt counts as computed, if the agent reports no first token.
    end : float
        Predicted end.
    """

    item: Item
    started: float
    prefill_end: float
    end: float


class RunningSet:
    """The started requests, with their predicted ends."""

    def __init__(self) -> None:
        self.long = 0
        self._started: dict[str, Started] = {}
        self._long_prefills: dict[str, Started] = {}
        self._ends: list[tuple[float, str]] = []
        self._long_ends: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._started)

    def __contains__(self, attempt_id: str) -> bool:
        return attempt_id in self._started

    def start(self, item: Item, prefill_s: float, now: float) -> None:
        """Add a request."""
        attempt_id = item.request.attempt_id
        started = Started(item, now, now + PREFILL_GRACE * prefill_s, now + item.cost_s)
        self._started[attempt_id] = started
        self._push(self._ends, started.end, attempt_id)
        if item.request.request_class is RequestClass.LONG:
            self.long += 1
            self._push(self._long_ends, started.end, attempt_id)
            self._long_prefills[attempt_id] = started

    def first_token(self, attempt_id: str) -> Started | None:
        """Note that a prompt is computed."""
        self._long_prefills.pop(attempt_id, None)
        return self._started.get(attempt_id)

    def finish(self, attempt_id: str) -> Started | None:
        """Remove a request."""
        started = self._started.pop(attempt_id, None)
        if started and started.item.request.request_class is RequestClass.LONG:
            self.long -= 1
            self._long_prefills.pop(attempt_id, None)
        return started

    def long_prefill_tokens(self, now: float) -> int:
        """Return the prompt tokens of long requests that are being computed."""
        done = [k for k, v in self._long_prefills.items() if v.prefill_end <= now]
        for attempt_id in done:
            del self._long_prefills[attempt_id]
        return sum(
            each.item.request.uncached_tokens for each in self._long_prefills.values()
        )

    def next_prefill_end(self) -> float | None:
        """Return when the next long prompt counts as computed."""
        ends = (each.prefill_end for each in self._long_prefills.values())
        return min(ends, default=None)

    def next_end_s(self, now: float, *, long: bool) -> float:
        """Return the predicted seconds until a request, or a long one, ends."""
        heap = self._long_ends if long else self._ends
        while heap and heap[0][1] not in self._started:
            heapq.heappop(heap)
        return max(0.0, heap[0][0] - now) if heap else 0.0

    def _push(self, heap: list[tuple[float, str]], end: float, key: str) -> None:
        heapq.heappush(heap, (end, key))
        if len(heap) > 2 * len(self._started) + COMPACT_SLACK:
            heap[:] = [each for each in heap if each[1] in self._started]
            heapq.heapify(heap)
