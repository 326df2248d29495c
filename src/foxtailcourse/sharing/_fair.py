"""Weighted fair queue in front of one backend server."""

import heapq

import attrs

from foxtailcourse.protocol import RequestClass
from foxtailcourse.sharing._flows import FlowQueue, Item
from foxtailcourse.sharing._rates import ServiceRates
from foxtailcourse.sharing._types import Admission, QueuedRequest, Refusal

MIN_RETRY_AFTER_MS = 50


@attrs.frozen(kw_only=True)
class QueueLimits:
    """Bounds of a fair queue.

    Parameters
    ----------
    slots : int
        Requests on the backend server at once.
    reserved_short_slots : int
        Slots that long requests never use; 0 if there is only one slot.
    long_floor : float
        Part of the capacity that long requests get while any is waiting.
    max_waiting, max_waiting_per_account : int
        Most waiting requests.
    max_long_prefill_tokens : int
        Uncached prompt tokens of long requests that are computed at once; one
        request may exceed it alone.
    """

    slots: int = 8
    reserved_short_slots: int = 2
    long_floor: float = 0.2
    max_waiting: int = 1_000
    max_waiting_per_account: int = 500
    max_long_prefill_tokens: int = 16_000


@attrs.define(eq=False)
class _Running:
    item: Item
    started: float
    prefill_end: float


class FairQueue:
    """Implements ``RequestQueue`` by start-time fair queueing over accounts.

    Parameters
    ----------
    limits : QueueLimits
        Bounds.
    rates : ServiceRates
        Start values of the service times.
    """

    def __init__(
        self, limits: QueueLimits | None = None, rates: ServiceRates | None = None
    ) -> None:
        self.limits = limits or QueueLimits()
        self.rates = rates or ServiceRates()
        self._short, self._long = FlowQueue(), FlowQueue()
        self._waiting: dict[str, Item] = {}
        self._running: dict[str, _Running] = {}
        self._running_long = 0
        self._long_credit_s = 0.0
        self._expired: dict[str, QueuedRequest] = {}
        self._deadlines: list[tuple[float, str]] = []

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting) + len(self._expired)

    @property
    def running(self) -> int:
        """Number of started requests."""
        return len(self._running)

    def offer(self, request: QueuedRequest, now: float) -> Admission | Refusal:
        """Take a request into the queue or refuse it."""
        if request.attempt_id in self._waiting or request.attempt_id in self._running:
            return Refusal(code="duplicate", retry_after_ms=MIN_RETRY_AFTER_MS)
        flows = self._flows(request.request_class)
        wait_s = self._wait_s(
            request.request_class, request.client_account, request.share
        )
        if len(self._waiting) >= self.limits.max_waiting:
            return self._refusal("queue_full", wait_s)
        flow = flows.flow(request.client_account)
        if flow and len(flow.items) >= self.limits.max_waiting_per_account:
            return self._refusal("account_queue_full", wait_s)
        prefill_s = self.rates.cost_s(request.uncached_tokens, 0)
        idle = not self._waiting and not self._running
        left_s = request.deadline - now
        if left_s <= 0 or (not idle and wait_s + prefill_s > left_s):
            return self._refusal("deadline", wait_s + prefill_s - left_s)
        latest = max(request.deadline - prefill_s, now + left_s / 2)
        cost_s = self.rates.cost_s(request.uncached_tokens, request.expected_tokens)
        item = Item(request, cost_s, latest)
        self._waiting[request.attempt_id] = item
        flows.add(item)
        heapq.heappush(self._deadlines, (latest, request.attempt_id))
        return Admission(predicted_start_s=wait_s)

    def take(self, now: float) -> QueuedRequest | None:
        """Return the next request to start, or None if none may start now."""
        self._collect_expired(now)
        if len(self._running) >= self.limits.slots:
            return None
        short, long = self._short.head(), self._startable_long(now)
        if long is not None and (short is None or self._long_credit_s >= long.cost_s):
            item = self._long.pop()
            self._running_long += 1
            self._long_credit_s -= item.cost_s
        elif short is not None:
            item = self._short.pop()
            if self._long.size:
                floor = self.limits.long_floor
                self._long_credit_s += item.cost_s * floor / (1.0 - floor)
        else:
            return None
        if not self._long.size:
            self._long_credit_s = 0.0
        req = item.request
        del self._waiting[req.attempt_id]
        prefill_s = self.rates.cost_s(req.uncached_tokens, 0)
        self._running[req.attempt_id] = _Running(item, now, now + 2 * prefill_s)
        return req

    def first_token(self, attempt_id: str, now: float) -> None:
        """Note that the prompt of a started request is computed (optional)."""
        running = self._running.get(attempt_id)
        if running is not None:
            running.prefill_end = min(running.prefill_end, now)

    def finish(self, attempt_id: str, generated_tokens: int, now: float) -> None:
        """Note that a started request ended."""
        running = self._running.pop(attempt_id, None)
        if running is None:
            return
        req = running.item.request
        if req.request_class is RequestClass.LONG:
            self._running_long -= 1
        self.rates.observe(req.uncached_tokens, generated_tokens, now - running.started)
        real_s = self.rates.cost_s(req.uncached_tokens, generated_tokens)
        flows = self._flows(req.request_class)
        flows.correct(req.client_account, real_s - running.item.cost_s)

    def withdraw(self, attempt_id: str, now: float) -> bool:
        """Remove a waiting request, for example when its caller is gone."""
        if self._expired.pop(attempt_id, None) is not None:
            return True
        item = self._waiting.pop(attempt_id, None)
        if item is None:
            return False
        self._flows(item.request.request_class).remove(item)
        return True

    def expire(self, now: float) -> list[QueuedRequest]:
        """Remove and return the waiting requests whose deadline can't be met."""
        self._collect_expired(now)
        expired = list(self._expired.values())
        self._expired.clear()
        return expired

    def predicted_wait_s(self, request_class: RequestClass, now: float) -> float:
        """Return the predicted wait of a new request, in seconds."""
        return self._wait_s(request_class, "", 1.0)

    def _flows(self, request_class: RequestClass) -> FlowQueue:
        return self._short if request_class is RequestClass.SHORT else self._long

    def _startable_long(self, now: float) -> Item | None:
        limits = self.limits
        if self._running_long >= max(1, limits.slots - limits.reserved_short_slots):
            return None
        item = self._long.head()
        if item is None:
            return None
        computing = sum(
            each.item.request.uncached_tokens
            for each in self._running.values()
            if each.item.request.request_class is RequestClass.LONG
            and each.prefill_end > now
        )
        total = computing + item.request.uncached_tokens
        if computing and total > limits.max_long_prefill_tokens:
            return None
        return item

    def _wait_s(self, request_class: RequestClass, account: str, share: float) -> float:
        flows = self._flows(request_class)
        if len(self._running) < self.limits.slots and not flows.size:
            return 0.0
        work_s = flows.work_before(account, share) if account else flows.work_s
        return work_s / self.limits.slots

    def _refusal(self, code: str, wait_s: float) -> Refusal:
        retry_after_ms = max(MIN_RETRY_AFTER_MS, int(wait_s * 1000))
        return Refusal(code=code, retry_after_ms=retry_after_ms)

    def _collect_expired(self, now: float) -> None:
        while self._deadlines and self._deadlines[0][0] < now:
            _, attempt_id = heapq.heappop(self._deadlines)
            item = self._waiting.get(attempt_id)
            if item is not None and item.latest_start < now:
                del self._waiting[attempt_id]
                self._flows(item.request.request_class).remove(item)
                self._expired[attempt_id] = item.request
