"""Weighted fair queue in front of one backend server."""

import heapq
import math

import attrs

from foxtailcourse.protocol import RequestClass
from foxtailcourse.sharing._flow_queue import FlowQueue, Item, clamp_weight
from foxtailcourse.sharing._rates import ServiceRates, WaitScale
from foxtailcourse.sharing._running_set import RunningSet
from foxtailcourse.sharing._share_meter import ShareMeter
from foxtailcourse.sharing._short_demand import REFRESH_S, ShortDemand
from foxtailcourse.sharing._types import Admission, QueuedRequest, Refusal

MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS = 50, 60_000
COMPACT_SLACK = 16
MAX_LONG_DEBT = 2.0


@attrs.frozen(kw_only=True)
class QueueLimits:
    """Bounds of a fair queue.

    Parameters
    ----------
    slots : int
        Requests on the backend server at once.
    reserved_short_slots : int
        Slots that long requests never use; by default a quarter, rounded down. They
        must leave room for the floor.
    adapt_long_slots : bool
        Whether long requests also leave the slots that short ones recently needed.
    long_floor : float
        Part of the capacity that long requests get while any is waiting, below 1.
    short_burst_s : float
        Seconds of its full share that an account's short requests may use in
        advance before waiting long requests of other accounts go first.
    max_debt_s : float
        Most seconds of one slot that an account's long requests wait for what its
        short requests used.
    max_waiting, max_waiting_per_account : int
        Most waiting requests.
    max_long_prefill_tokens : int
        Uncached prompt tokens of long requests that are computed at once; one
        request may exceed it alone.
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
            raise ValueError("reserved_short_slots leaves no room for long_floor")


class FairQueue:
    """Implements ``RequestQueue`` by start-time fair queueing over accounts.

    A request is charged the seconds of one slot that it is predicted to take, and
    the charge is corrected when it finishes. Short requests go before long ones,
    except that a long one goes first when the long class is owed its floor, or when
    the next short request's account used more than its share and another account
    waits with long work.

    Parameters
    ----------
    limits : QueueLimits
        Bounds.
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
        self._demand = ShortDemand(self.limits.slots)
        self._running = RunningSet()
        self._scales = {each: WaitScale() for each in RequestClass}
        self._waiting: dict[str, Item] = {}
        self._long_credit_s = 0.0
        self._expired: dict[str, QueuedRequest] = {}
        self._deadlines: list[tuple[float, str]] = []

    @property
    def waiting(self) -> int:
        """Number of waiting requests, those that ``expire`` will return included."""
        return len(self._waiting) + len(self._expired)

    @property
    def running(self) -> int:
        """Number of started requests."""
        return len(self._running)

    def offer(self, request: QueuedRequest, now: float) -> Admission | Refusal:
        """Take a request into the queue or refuse it.

        Refusal codes are ``duplicate``, ``queue_full``, ``account_queue_full`` and
        ``deadline``.
        """
        if self._knows(request.attempt_id):
            return _refuse("duplicate", 0.0)
        account = request.client_account
        unscaled_s = self._wait_s(request.request_class, account, request.share, now)
        scale = self._scales[request.request_class]
        wait_s = unscaled_s * scale.factor
        cost_s = self.rates.cost_s(request.uncached_tokens, request.expected_tokens)
        if request.request_class is RequestClass.SHORT:
            self._demand.add(account, clamp_weight(request.share), cost_s, now)
        if len(self._waiting) >= self.limits.max_waiting:
            return _refuse("queue_full", wait_s)
        if self._meter.waiting(account) >= self.limits.max_waiting_per_account:
            return _refuse("account_queue_full", wait_s)
        prefill_s = self.rates.cost_s(request.uncached_tokens, 0)
        left_s = request.deadline - now
        first_token_s = scale.safe_s(unscaled_s) + prefill_s
        if not self._can_make_it(first_token_s, left_s):
            return _refuse("deadline", (first_token_s - left_s) / scale.scale)
        # Estimates may be wrong by any factor; half of the time left stays usable.
        latest = max(request.deadline - prefill_s, now + left_s / 2)
        self._enqueue(Item(request, cost_s, latest, now, unscaled_s), now)
        return Admission(predicted_start_s=wait_s)

    def take(self, now: float) -> QueuedRequest | None:
        """Return the next request to start, or None if none may start now."""
        self._collect_expired(now)
        if len(self._running) >= self.limits.slots:
            return None
        short, long = self._short.head(), self._startable_long(now)
        if long is not None and (
            self._long_may_fill(now)
            if short is None
            else self._long_goes_first(short, long, now)
        ):
            item = self._long.pop()
            left_s = self._long_credit_s - item.cost_s
            self._long_credit_s = max(left_s, -MAX_LONG_DEBT * item.cost_s)
        elif short is not None:
            item = self._short.pop()
            self._charge_short(item, now)
        else:
            return None
        self._started(item, now)
        return item.request

    def first_token(self, attempt_id: str, now: float) -> None:
        """Note that the prompt of a started request is computed.

        Optional; it lets the next long prompt start earlier, and times of prefill
        and decode are learned apart from each other.
        """
        self._running.first_token(attempt_id, now)

    def finish(self, attempt_id: str, generated_tokens: int, now: float) -> None:
        """Note that a started request ended; an unknown one is ignored."""
        started = self._running.finish(attempt_id)
        if started is None:
            return
        req = started.item.request
        # Both at the same rates, so that learning is not charged to the account.
        difference_s = self.rates.cost_s(req.uncached_tokens, generated_tokens)
        difference_s -= self.rates.cost_s(req.uncached_tokens, req.expected_tokens)
        first = started.first_token
        self.rates.observe(
            req.uncached_tokens,
            generated_tokens,
            now - started.started,
            None if first is None else first - started.started,
        )
        self._correct(req, difference_s, now)
        if not self._running and not self._waiting:
            self._short.reset()
            self._long.reset()

    def withdraw(self, attempt_id: str, now: float) -> bool:
        """Remove a waiting request, for example when its caller is gone."""
        if self._expired.pop(attempt_id, None) is not None:
            return True
        item = self._waiting.get(attempt_id)
        if item is None:
            return False
        self._remove(item, now)
        return True

    def expire(self, now: float) -> list[QueuedRequest]:
        """Remove and return the waiting requests whose deadline can't be met."""
        self._collect_expired(now)
        expired = list(self._expired.values())
        self._expired.clear()
        return expired

    def predicted_wait_s(self, request_class: RequestClass, now: float) -> float:
        """Return the predicted wait of a new request, in seconds.

        The request counts as last of its class, whatever its account.
        """
        wait_s = self._wait_s(request_class, None, 0.0, now)
        return wait_s * self._scales[request_class].factor

    def conservative_waits_s(self, now: float) -> dict[tuple[str, RequestClass], float]:
        """Return the safe wait in seconds of each account with waiting work.

        By client account and class; other accounts start within one request's time.
        """
        waits = {}
        for kind in RequestClass:
            for flow in self._flows(kind).active():
                wait_s = self._wait_s(kind, flow.account, flow.weight, now)
                waits[flow.account, kind] = self._scales[kind].safe_s(wait_s)
        return waits

    def next_event(self, now: float) -> float | None:
        """Return when ``take`` or ``expire`` may next give something by time alone.

        None if only another call can change that.
        """
        times = [time for time, _ in self._deadlines[:1]]
        prefill_end = self._running.next_prefill_end() if self._long.size else None
        if prefill_end is not None:
            times.append(prefill_end)
        if self._startable_long(now) is not None:
            times.append(now + REFRESH_S)
        return max(now, min(times)) if times else None

    def _knows(self, attempt_id: str) -> bool:
        known = (self._waiting, self._running, self._expired)
        return any(attempt_id in each for each in known)

    def _flows(self, request_class: RequestClass) -> FlowQueue:
        return self._short if request_class is RequestClass.SHORT else self._long

    def _can_make_it(self, first_token_s: float, left_s: float) -> bool:
        # An idle server takes any request, so that wrong estimates get corrected.
        idle = not self._waiting and not self._running
        return left_s > 0.0 and (idle or first_token_s <= left_s)

    def _enqueue(self, item: Item, now: float) -> None:
        req = item.request
        account = req.client_account
        short = req.request_class is RequestClass.SHORT
        first_short = short and self._short.flow(account) is None
        self._meter.enter(account, req.share, now, first_short=first_short)
        self._waiting[req.attempt_id] = item
        self._flows(req.request_class).add(item)
        heapq.heappush(self._deadlines, (item.latest_start, req.attempt_id))
        if len(self._deadlines) > 2 * len(self._waiting) + COMPACT_SLACK:
            self._deadlines = [
                (each.latest_start, each.request.attempt_id)
                for each in self._waiting.values()
            ]
            heapq.heapify(self._deadlines)

    def _remove(self, item: Item, now: float) -> None:
        req = item.request
        del self._waiting[req.attempt_id]
        self._flows(req.request_class).remove(item)
        self._meter.leave(req.client_account, now)
        self._limit_credit()

    def _startable_long(self, now: float) -> Item | None:
        limits = self.limits
        item = self._long.head()
        if item is None or self._running.long >= self._most_long:
            return None
        computing = self._running.long_prefill_tokens(now)
        total = computing + item.request.uncached_tokens
        blocked = computing > 0 and total > limits.max_long_prefill_tokens
        return None if blocked else item

    def _long_goes_first(self, short: Item, long: Item, now: float) -> bool:
        owed = self._long_credit_s >= long.cost_s and self.limits.long_floor > 0.0
        account = short.request.client_account
        other = account != long.request.client_account
        return owed or (other and self._meter.over_share(account, now))

    def _charge_short(self, item: Item, now: float) -> None:
        req = item.request
        self._meter.charge(req.client_account, req.share, item.cost_s, now)
        if not self._long.size:
            return
        limits = self.limits
        self._long.charge(req.client_account, req.share, item.cost_s, limits.max_debt_s)
        if self._running.long < self._most_long:
            floor = limits.long_floor
            self._long_credit_s += item.cost_s * floor / (1.0 - floor)
            self._limit_credit()

    def _limit_credit(self) -> None:
        # At most one long request is owed, whichever is next.
        head = self._long.head()
        self._long_credit_s = min(self._long_credit_s, head.cost_s) if head else 0.0

    def _started(self, item: Item, now: float) -> None:
        req = item.request
        del self._waiting[req.attempt_id]
        self._observe_wait(item, now)
        self._meter.leave(req.client_account, now)
        self._running.start(item, self.rates.cost_s(req.uncached_tokens, 0), now)
        self._limit_credit()

    def _observe_wait(self, item: Item, now: float) -> None:
        scale = self._scales[item.request.request_class]
        scale.observe(item.unscaled_wait_s, now - item.offered)

    def _correct(self, req: QueuedRequest, difference_s: float, now: float) -> None:
        charge = (req.client_account, req.share, difference_s)
        short = req.request_class is RequestClass.SHORT
        if short:
            self._meter.charge(*charge, now)
            self._short.charge(*charge, self.limits.max_debt_s)
        if not short or self._long.size:
            self._long.charge(*charge, self.limits.max_debt_s)

    def _wait_s(
        self,
        request_class: RequestClass,
        account: str | None,
        share: float,
        now: float,
    ) -> float:
        flows = self._flows(request_class)
        ahead_s = flows.work_before(account, share) if account else flows.work_s
        full = len(self._running) >= self.limits.slots
        if request_class is RequestClass.SHORT:
            free_s = self._running.next_end_s(now, long=False) if full else 0.0
            return free_s + self._short_wait_s(ahead_s)
        at_cap = self._running.long >= self._long_slots(now)
        free_s = self._running.next_end_s(now, long=at_cap) if full or at_cap else 0.0
        return free_s + self._long_wait_s(ahead_s, now)

    @property
    def _most_long(self) -> int:
        return self.limits.slots - self.limits.reserved_short_slots

    def _long_may_fill(self, now: float) -> bool:
        return self._running.long < self._long_slots(now)

    def _long_slots(self, now: float) -> int:
        limits = self.limits
        if not limits.adapt_long_slots:
            return self._most_long
        needed = self._demand.slots_needed(self._meter.weights, now)
        floor = max(1, math.ceil(limits.long_floor * limits.slots))
        return min(self._most_long, max(floor, math.floor(limits.slots - needed)))

    def _short_wait_s(self, ahead_s: float) -> float:
        wait_s = ahead_s / max(1, self.limits.slots - self._running.long)
        return wait_s / (1.0 - self.limits.long_floor) if self._long.size else wait_s

    def _long_wait_s(self, ahead_s: float, now: float) -> float:
        wait_s = (ahead_s + self._short.work_s) / self._long_slots(now)
        floor = self.limits.long_floor * self.limits.slots
        return min(wait_s, ahead_s / floor) if floor and ahead_s else wait_s

    def _collect_expired(self, now: float) -> None:
        while self._deadlines and self._deadlines[0][0] < now:
            _, attempt_id = heapq.heappop(self._deadlines)
            item = self._waiting.get(attempt_id)
            if item is not None and item.latest_start < now:
                self._remove(item, now)
                self._observe_wait(item, now)
                self._expired[attempt_id] = item.request


def _refuse(code: str, wait_s: float) -> Refusal:
    wait_ms = min(MAX_RETRY_AFTER_MS, wait_s * 1000.0)
    return Refusal(code=code, retry_after_ms=max(MIN_RETRY_AFTER_MS, int(wait_ms)))
