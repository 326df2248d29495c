"""Weighted fair queue in front of one backend server."""

import heapq
import math

import attrs

from foxtailcourse.protocol import RequestClass
from foxtailcourse.sharing._flow_queue import FlowQueue, ScheduledRequest, clamp_weight
from foxtailcourse.sharing._rates import ServiceRates, WaitScale
from foxtailcourse.sharing._running_set import RunningSet
from foxtailcourse.sharing._share_meter import ShareMeter
from foxtailcourse.sharing._short_demand import REFRESH_S, ShortDemand
from foxtailcourse.sharing._types import Admission, QueuedRequest, Refusal

MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS = 50, 60_000
# A heap is rebuilt when it has more outdated entries than this plus its valid ones.
MIN_STALE_ENTRIES = 16
MAX_LONG_DEBT_RATIO = 2.0  # in costs of the long request that was started last


@attrs.frozen(kw_only=True)
class QueueLimits:
    """Bounds of a fair queue.

    Parameters
    ----------
    slots : int
        Maximum number of concurrent requests on the backend server.
    reserved_short_slots : int
        Slots that long requests never use; by default a quarter, rounded down. The
        other slots must suffice for ``long_floor``.
    adapt_long_slots : bool
        Whether long requests also leave free the slots that short ones recently
        needed.
    long_floor : float
        Guaranteed minimum fraction of the capacity for long requests while any is
        waiting, below 1.
    short_burst_s : float
        Seconds of its full share that an account's short requests may use in
        advance before waiting long requests of other accounts go first.
    max_debt_s : float
        Maximum delay, in seconds of one slot, of an account's long requests for the
        work of its short requests.
    max_waiting, max_waiting_per_account : int
        Maximum number of waiting requests.
    max_long_prefill_tokens : int
        Maximum number of uncached prompt tokens of long requests in prefill at once;
        a single request may exceed it.
    """

    slots: int = 8
    reserved_short_slots: int = attrs.field(
        default=attrs.Factory(lambda self: self.slots // 4, takes_self=True)
    )
    adapt_long_slots: bool = True
    long_floor: float = 0.2
    short_burst_s: float = 5.0
    max_debt_s: float = 30.0
    max_waiting: int = 1_000
    max_waiting_per_account: int = 500
    max_long_prefill_tokens: int = 16_000

    def __attrs_post_init__(self) -> None:
        long_slots = self.slots - self.reserved_short_slots
        if self.slots < 1 or self.reserved_short_slots < 0 or long_slots < 1:
            raise ValueError("at least one slot must be open to long requests")
        if not 0.0 <= self.long_floor < 1.0:
            raise ValueError("long_floor must be at least 0 and below 1")
        if long_slots < self.long_floor * self.slots:
            raise ValueError("reserved_short_slots leaves too few slots for long_floor")


class FairQueue:
    """Implements ``RequestQueue`` by start-time fair queueing over accounts.

    A request is charged the seconds of one slot that it is predicted to take, and
    the charge is corrected when it finishes. Short requests go before long ones,
    except that a long one goes first when the long class is below its guaranteed
    minimum, or when the next short request's account used more than its share and
    another account has long work waiting.

    Parameters
    ----------
    limits : QueueLimits
        Bounds of the queue.
    rates : ServiceRates
        Estimates of the service times.
    """

    def __init__(
        self, limits: QueueLimits | None = None, rates: ServiceRates | None = None
    ) -> None:
        self.limits = limits or QueueLimits()
        self.rates = rates or ServiceRates()
        self._short, self._long = FlowQueue(), FlowQueue()
        self._meter = ShareMeter(self.limits.slots, self.limits.short_burst_s)
        self._short_demand = ShortDemand(self.limits.slots)
        self._running = RunningSet()
        self._wait_scales = {each: WaitScale() for each in RequestClass}
        self._waiting: dict[str, ScheduledRequest] = {}
        # Charges by which the long class is below its guaranteed minimum, in seconds
        # of one slot; negative if it is above.
        self._long_credit_s = 0.0
        self._expired: dict[str, QueuedRequest] = {}
        # Heap of latest start and attempt, with outdated entries.
        self._latest_starts: list[tuple[float, str]] = []

    @property
    def waiting(self) -> int:
        """Number of waiting requests, including those that ``expire`` will return."""
        return len(self._waiting) + len(self._expired)

    @property
    def running(self) -> int:
        """Number of started requests."""
        return len(self._running)

    def offer(self, request: QueuedRequest, now: float) -> Admission | Refusal:
        """Add a request to the queue or refuse it.

        The codes of a refusal are ``duplicate``, ``queue_full``,
        ``account_queue_full`` and ``deadline``.
        """
        if self._contains(request.attempt_id):
            return _refuse("duplicate", 0.0)
        account = request.client_account
        unscaled_s = self._wait_s(request.request_class, account, request.share, now)
        wait_scale = self._wait_scales[request.request_class]
        wait_s = unscaled_s * wait_scale.factor
        cost_s = self.rates.cost_s(request.uncached_tokens, request.expected_tokens)
        if request.request_class is RequestClass.SHORT:
            self._short_demand.add(account, clamp_weight(request.share), cost_s, now)
        if len(self._waiting) >= self.limits.max_waiting:
            return _refuse("queue_full", wait_s)
        if self._meter.n_waiting(account) >= self.limits.max_waiting_per_account:
            return _refuse("account_queue_full", wait_s)
        prefill_s = self.rates.cost_s(request.uncached_tokens, 0)
        remaining_s = request.deadline - now
        first_token_s = wait_scale.conservative_s(unscaled_s) + prefill_s
        if not self._meets_deadline(first_token_s, remaining_s):
            return _refuse(
                "deadline",
                (first_token_s - remaining_s) / wait_scale.conservative_factor,
            )
        # Half of the remaining time stays usable, since the prefill time is only an
        # estimate and may be wrong by any factor.
        latest_start_at = max(request.deadline - prefill_s, now + remaining_s / 2)
        self._enqueue(
            ScheduledRequest(request, cost_s, latest_start_at, now, unscaled_s), now
        )
        return Admission(predicted_start_s=wait_s)

    def take(self, now: float) -> QueuedRequest | None:
        """Return the next request to start, or None if none may start now."""
        self._collect_expired(now)
        if len(self._running) >= self.limits.slots:
            return None
        short, long = self._short.head(), self._startable_long(now)
        if long is not None and (
            self._long_may_use_free_slot(now)
            if short is None
            else self._long_goes_first(short, long, now)
        ):
            scheduled = self._long.pop()
            credit_s = self._long_credit_s - scheduled.cost_s
            self._long_credit_s = max(credit_s, -MAX_LONG_DEBT_RATIO * scheduled.cost_s)
        elif short is not None:
            scheduled = self._short.pop()
            self._charge_short(scheduled, now)
        else:
            return None
        self._record_start(scheduled, now)
        return scheduled.request

    def first_token(self, attempt_id: str, now: float) -> None:
        """Record that the prefill of a started request is complete.

        This call is optional. It lets the next long prompt start earlier, and the
        times of prefill and decode are then estimated separately.
        """
        self._running.record_first_token(attempt_id, now)

    def finish(self, attempt_id: str, generated_tokens: int, now: float) -> None:
        """Record that a started request ended; an unknown one is ignored."""
        running = self._running.finish(attempt_id)
        if running is None:
            return
        req = running.scheduled.request
        # Both costs use the same rates, so that updates of the estimates are not
        # charged to the account.
        difference_s = self.rates.cost_s(req.uncached_tokens, generated_tokens)
        difference_s -= self.rates.cost_s(req.uncached_tokens, req.expected_tokens)
        first = running.first_token_at
        self.rates.observe(
            req.uncached_tokens,
            generated_tokens,
            now - running.started_at,
            None if first is None else first - running.started_at,
        )
        self._correct_charge(req, difference_s, now)
        if not self._running and not self._waiting:
            self._short.reset()
            self._long.reset()

    def withdraw(self, attempt_id: str, now: float) -> bool:
        """Remove a waiting request, for example after its caller disconnected."""
        if self._expired.pop(attempt_id, None) is not None:
            return True
        scheduled = self._waiting.get(attempt_id)
        if scheduled is None:
            return False
        self._remove(scheduled, now)
        return True

    def expire(self, now: float) -> list[QueuedRequest]:
        """Remove and return the waiting requests whose deadline cannot be met."""
        self._collect_expired(now)
        expired = list(self._expired.values())
        self._expired.clear()
        return expired

    def predicted_wait_s(self, request_class: RequestClass, now: float) -> float:
        """Return the predicted wait of a new request, in seconds.

        The request counts as the last of its class, independent of its account.
        """
        wait_s = self._wait_s(request_class, None, 0.0, now)
        return wait_s * self._wait_scales[request_class].factor

    def conservative_waits_s(self, now: float) -> dict[tuple[str, RequestClass], float]:
        """Return a conservative wait for each account and class with waiting work.

        In seconds. Without an item for its account and class, a request is predicted
        to start within the time of one request.
        """
        waits = {}
        for request_class in RequestClass:
            for flow in self._class_queue(request_class).active_flows():
                wait_s = self._wait_s(request_class, flow.account, flow.weight, now)
                waits[flow.account, request_class] = self._wait_scales[
                    request_class
                ].conservative_s(wait_s)
        return waits

    def next_event(self, now: float) -> float | None:
        """Return when the result of ``take`` or ``expire`` may next change by time.

        None if only another call can change it.
        """
        times = [time for time, _ in self._latest_starts[:1]]
        prefill_ends_at = (
            self._running.next_prefill_end() if self._long.n_waiting else None
        )
        if prefill_ends_at is not None:
            times.append(prefill_ends_at)
        if self._startable_long(now) is not None:
            times.append(now + REFRESH_S)
        return max(now, min(times)) if times else None

    def _contains(self, attempt_id: str) -> bool:
        collections = (self._waiting, self._running, self._expired)
        return any(attempt_id in each for each in collections)

    def _class_queue(self, request_class: RequestClass) -> FlowQueue:
        return self._short if request_class is RequestClass.SHORT else self._long

    def _meets_deadline(self, first_token_s: float, remaining_s: float) -> bool:
        # An idle server accepts any request, so that wrong estimates are corrected.
        idle = not self._waiting and not self._running
        return remaining_s > 0.0 and (idle or first_token_s <= remaining_s)

    def _enqueue(self, scheduled: ScheduledRequest, now: float) -> None:
        req = scheduled.request
        account = req.client_account
        short = req.request_class is RequestClass.SHORT
        is_first_short = short and self._short.flow(account) is None
        self._meter.add_waiting(account, req.share, now, is_first_short=is_first_short)
        self._waiting[req.attempt_id] = scheduled
        self._class_queue(req.request_class).add(scheduled)
        heapq.heappush(self._latest_starts, (scheduled.latest_start_at, req.attempt_id))
        if len(self._latest_starts) > 2 * len(self._waiting) + MIN_STALE_ENTRIES:
            self._latest_starts = [
                (each.latest_start_at, each.request.attempt_id)
                for each in self._waiting.values()
            ]
            heapq.heapify(self._latest_starts)

    def _remove(self, scheduled: ScheduledRequest, now: float) -> None:
        req = scheduled.request
        del self._waiting[req.attempt_id]
        self._class_queue(req.request_class).remove(scheduled)
        self._meter.remove_waiting(req.client_account, now)
        self._limit_credit()

    def _startable_long(self, now: float) -> ScheduledRequest | None:
        """Return the next long request if slots and the prefill limit allow it."""
        limits = self.limits
        scheduled = self._long.head()
        if scheduled is None or self._running.n_long >= self._max_long:
            return None
        tokens_in_prefill = self._running.long_prefill_tokens(now)
        total_tokens = tokens_in_prefill + scheduled.request.uncached_tokens
        blocked = (
            tokens_in_prefill > 0 and total_tokens > limits.max_long_prefill_tokens
        )
        return None if blocked else scheduled

    def _long_goes_first(
        self, short: ScheduledRequest, long: ScheduledRequest, now: float
    ) -> bool:
        """Return whether a long request starts before a waiting short one."""
        below_minimum = (
            self._long_credit_s >= long.cost_s and self.limits.long_floor > 0.0
        )
        account = short.request.client_account
        is_other_account = account != long.request.client_account
        return below_minimum or (
            is_other_account and self._meter.exceeds_share(account, now)
        )

    def _charge_short(self, scheduled: ScheduledRequest, now: float) -> None:
        """Charge a started short request.

        While long requests wait, it also delays the account's long requests and adds
        to the credit of the long class.
        """
        req = scheduled.request
        self._meter.charge(req.client_account, req.share, scheduled.cost_s, now)
        if not self._long.n_waiting:
            return
        limits = self.limits
        self._long.charge(
            req.client_account, req.share, scheduled.cost_s, limits.max_debt_s
        )
        if self._running.n_long < self._max_long:
            floor = limits.long_floor
            self._long_credit_s += scheduled.cost_s * floor / (1.0 - floor)
            self._limit_credit()

    def _limit_credit(self) -> None:
        # The credit is at most the cost of one long request, whichever is next.
        head = self._long.head()
        self._long_credit_s = min(self._long_credit_s, head.cost_s) if head else 0.0

    def _record_start(self, scheduled: ScheduledRequest, now: float) -> None:
        req = scheduled.request
        del self._waiting[req.attempt_id]
        self._observe_wait(scheduled, now)
        self._meter.remove_waiting(req.client_account, now)
        self._running.start(scheduled, self.rates.cost_s(req.uncached_tokens, 0), now)
        self._limit_credit()

    def _observe_wait(self, scheduled: ScheduledRequest, now: float) -> None:
        wait_scale = self._wait_scales[scheduled.request.request_class]
        wait_scale.observe(scheduled.unscaled_wait_s, now - scheduled.offered_at)

    def _correct_charge(
        self, req: QueuedRequest, difference_s: float, now: float
    ) -> None:
        charge = (req.client_account, req.share, difference_s)
        short = req.request_class is RequestClass.SHORT
        if short:
            self._meter.charge(*charge, now)
            self._short.charge(*charge, self.limits.max_debt_s)
        if not short or self._long.n_waiting:
            self._long.charge(*charge, self.limits.max_debt_s)

    def _wait_s(
        self,
        request_class: RequestClass,
        account: str | None,
        share: float,
        now: float,
    ) -> float:
        """Return the predicted wait, in seconds, without the factor of ``WaitScale``.

        Without an account, the request counts as the last of its class.
        """
        class_queue = self._class_queue(request_class)
        backlog_s = (
            class_queue.work_before(account, share) if account else class_queue.work_s
        )
        full = len(self._running) >= self.limits.slots
        if request_class is RequestClass.SHORT:
            free_s = self._running.next_end_s(now, long=False) if full else 0.0
            return free_s + self._short_wait_s(backlog_s)
        at_cap = self._running.n_long >= self._long_slots(now)
        free_s = self._running.next_end_s(now, long=at_cap) if full or at_cap else 0.0
        return free_s + self._long_wait_s(backlog_s, now)

    @property
    def _max_long(self) -> int:
        return self.limits.slots - self.limits.reserved_short_slots

    def _long_may_use_free_slot(self, now: float) -> bool:
        """Return whether a long request may start while no short one waits."""
        return self._running.n_long < self._long_slots(now)

    def _long_slots(self, now: float) -> int:
        """Return the number of slots that long requests may use now."""
        limits = self.limits
        if not limits.adapt_long_slots:
            return self._max_long
        needed = self._short_demand.slots_needed(self._meter.weights, now)
        floor = max(1, math.ceil(limits.long_floor * limits.slots))
        return min(self._max_long, max(floor, math.floor(limits.slots - needed)))

    def _short_wait_s(self, backlog_s: float) -> float:
        wait_s = backlog_s / max(1, self.limits.slots - self._running.n_long)
        return (
            wait_s / (1.0 - self.limits.long_floor) if self._long.n_waiting else wait_s
        )

    def _long_wait_s(self, backlog_s: float, now: float) -> float:
        wait_s = (backlog_s + self._short.work_s) / self._long_slots(now)
        floor = self.limits.long_floor * self.limits.slots
        return min(wait_s, backlog_s / floor) if floor and backlog_s else wait_s

    def _collect_expired(self, now: float) -> None:
        while self._latest_starts and self._latest_starts[0][0] < now:
            _, attempt_id = heapq.heappop(self._latest_starts)
            scheduled = self._waiting.get(attempt_id)
            if scheduled is not None and scheduled.latest_start_at < now:
                self._remove(scheduled, now)
                self._observe_wait(scheduled, now)
                self._expired[attempt_id] = scheduled.request


def _refuse(code: str, wait_s: float) -> Refusal:
    wait_ms = min(MAX_RETRY_AFTER_MS, wait_s * 1000.0)
    return Refusal(code=code, retry_after_ms=max(MIN_RETRY_AFTER_MS, int(wait_ms)))
