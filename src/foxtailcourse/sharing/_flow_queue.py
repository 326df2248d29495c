"""Start-time fair queueing over client accounts, for one request class.

Methods: P. Goyal, H. M. Vin, H. Cheng, "Start-time Fair Queuing" (SIGCOMM 1996);
for several slots, W. Jin, J. Chase, J. Kaur, "Interposed Proportional Sharing for a
Storage Service Utility" (SIGMETRICS 2004).
"""

import heapq
from collections import OrderedDict

import attrs

from foxtailcourse.sharing._types import QueuedRequest

COMPACT_SLACK = 16
MIN_WEIGHT, MAX_WEIGHT = 1e-3, 1e6


def clamp_weight(share: float) -> float:
    """Return a usable weight for the share of a contract, which may be 0."""
    return min(MAX_WEIGHT, share) if share > MIN_WEIGHT else MIN_WEIGHT


@attrs.define(eq=False)
class Item:
    """A request and its charge.

    Parameters
    ----------
    request : QueuedRequest
        The request.
    cost_s : float
        Charge in seconds of one slot.
    latest_start : float
        Latest useful start, on the clock of ``now``.
    offered : float
        Time of the offer.
    unscaled_wait_s : float
        Predicted wait before the learned factor.
    """

    request: QueuedRequest
    cost_s: float
    latest_start: float
    offered: float = 0.0
    unscaled_wait_s: float = 0.0


@attrs.define(eq=False)
class Flow:
    """Waiting requests of one client account in one class.

    Parameters
    ----------
    account : str
        Client account.
    weight : float
        Share by contract.
    tag : float
        Virtual start time of the next request.
    """

    account: str
    weight: float
    tag: float
    items: "OrderedDict[str, Item]" = attrs.field(factory=OrderedDict)
    work_s: float = 0.0
    ticket: int = 0


class FlowQueue:
    """Waiting requests of one class, ordered by virtual start time."""

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self.work_s = 0.0
        self.size = 0
        self.active_weight = 0.0
        self._flows: dict[str, Flow] = {}
        self._heap: list[tuple[float, int, str]] = []
        self._idle: list[tuple[float, str]] = []
        self._ticket = 0
        self._active = 0

    def flow(self, account: str) -> Flow | None:
        """Return the flow of an account that has waiting work."""
        flow = self._flows.get(account)
        return flow if flow is not None and flow.items else None

    def add(self, item: Item) -> None:
        """Append a request to its account's flow."""
        req = item.request
        flow = self._ensure(req.client_account, req.share)
        if not flow.items:
            flow.weight = clamp_weight(req.share)
            flow.tag = max(flow.tag, self.virtual_time)
            self._active += 1
            self.active_weight += flow.weight
            self._push(flow)
        flow.items[req.attempt_id] = item
        flow.work_s += item.cost_s
        self.size += 1
        self.work_s += item.cost_s

    def head(self) -> Item | None:
        """Return the next request."""
        while self._heap:
            _, ticket, account = self._heap[0]
            flow = self._flows.get(account)
            if flow is not None and flow.ticket == ticket and flow.items:
                return next(iter(flow.items.values()))
            heapq.heappop(self._heap)
        return None

    def pop(self) -> Item:
        """Remove the next request and charge its account."""
        item = self.head()
        if item is None:
            raise IndexError("no waiting request")
        flow = self._flows[item.request.client_account]
        heapq.heappop(self._heap)
        self.virtual_time = max(self.virtual_time, flow.tag)
        flow.tag += item.cost_s / flow.weight
        self._drop(flow, item)
        if flow.items:
            self._push(flow)
        self._forget_idle()
        return item

    def remove(self, item: Item) -> None:
        """Remove a waiting request that will not run; it is not charged."""
        self._drop(self._flows[item.request.client_account], item)

    def charge(
        self, account: str, share: float, cost_s: float, max_debt_s: float
    ) -> None:
        """Charge work that was done outside of this queue, or correct a charge.

        The account's next start is at most ``max_debt_s`` of its own service behind
        the virtual time for it.
        """
        flow = self._ensure(account, share)
        tag = max(self.virtual_time, flow.tag + cost_s / flow.weight)
        limit = self.virtual_time + max_debt_s / flow.weight
        tag = min(tag, max(flow.tag, limit))
        if tag != flow.tag:
            flow.tag = tag
            if flow.items:
                self._push(flow)
        if not flow.items:
            heapq.heappush(self._idle, (flow.tag, account))
            self._forget_idle()

    def work_before(self, account: str, share: float) -> float:
        """Return an upper bound of the work that starts before a new request.

        In seconds of one slot: the whole backlog of the class, or what all accounts
        get by their shares until the account's own waiting work has started.
        """
        flow = self._flows.get(account)
        if flow is None:
            return 0.0
        lead = max(0.0, flow.tag - self.virtual_time) + flow.work_s / flow.weight
        extra = 0.0 if flow.items else flow.weight
        return min(self.work_s, lead * (self.active_weight + extra))

    def active(self) -> list[Flow]:
        """Return the flows with waiting work."""
        return [each for each in self._flows.values() if each.items]

    def reset(self) -> None:
        """Forget all debts; only allowed while nothing waits."""
        self._flows.clear()
        self._heap.clear()
        self._idle.clear()

    def _ensure(self, account: str, share: float) -> Flow:
        flow = self._flows.get(account)
        if flow is None:
            flow = Flow(account, clamp_weight(share), self.virtual_time)
            self._flows[account] = flow
        return flow

    def _push(self, flow: Flow) -> None:
        self._ticket += 1
        flow.ticket = self._ticket
        heapq.heappush(self._heap, (flow.tag, flow.ticket, flow.account))
        if len(self._heap) > 2 * self._active + COMPACT_SLACK:
            self._heap = [
                (each.tag, each.ticket, each.account) for each in self.active()
            ]
            heapq.heapify(self._heap)

    def _drop(self, flow: Flow, item: Item) -> None:
        del flow.items[item.request.attempt_id]
        flow.work_s -= item.cost_s
        self.size -= 1
        self.work_s -= item.cost_s
        if not flow.items:
            flow.work_s = 0.0
            self._active -= 1
            self.active_weight -= flow.weight
            heapq.heappush(self._idle, (flow.tag, flow.account))
        if self.size == 0:
            self.work_s = self.active_weight = 0.0

    def _forget_idle(self) -> None:
        while self._idle and self._idle[0][0] <= self.virtual_time:
            _, account = heapq.heappop(self._idle)
            flow = self._flows.get(account)
            if flow and not flow.items and flow.tag <= self.virtual_time:
                del self._flows[account]
        if len(self._idle) > 2 * len(self._flows) + COMPACT_SLACK:
            idle = (each for each in self._flows.values() if not each.items)
            self._idle = [(each.tag, each.account) for each in idle]
            heapq.heapify(self._idle)
