"""Discrete-event scheduler in virtual time."""

import heapq
from collections.abc import Callable
from typing import Any


class EventScheduler:
    """Runs callbacks in order of their time; equal times in scheduling order."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0

    def call_at(self, time: float, callback: Callable[..., None], *args: Any) -> None:
        """Run ``callback(*args, now)`` at a virtual time, in seconds."""
        self._count += 1
        heapq.heappush(self._heap, (time, self._count, callback, args))

    def run(self, until: float) -> None:
        """Run the events up to and including a virtual time, in seconds."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback, args = heapq.heappop(self._heap)
            callback(*args, self.now)
        self.now = until
