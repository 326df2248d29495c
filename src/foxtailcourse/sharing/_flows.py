"""Start-time fair queueing over client accounts, for one request class.

Method: P. Goyal, H. M. Vin, H. Cheng, "Start-time Fair Queuing" (SIGCOMM 1996).
"""

import heapq
from collections import OrderedDict

import attrs

from foxtailcourse.sharing._types import QueuedRequest

COMPACT_SLACK = 16


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
    """

    request: QueuedRequest
    cost_s: float
    latest_start: float


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
        flow = self._flows.get(req.client_account)
        if flow is None:
            flow = Flow(req.client_account, req.share, self.virtual_time)
            self._flows[req.client_account] = flow
        if not flow.items:
            flow.weight = req.share
            flow.tag = max(flow.tag, self.virtual_time)
            self._active += 1
            self.active_weight += flow.weight
            self._push(flow)
        flow.items[req.attempt_id] = item
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
        del flow.items[item.request.attempt_id]
        if flow.items:
            self._push(flow)
        self._removed(flow, item)
        self._forget_idle()
        return item

    def remove(self, item: Item) -> None:
        """Remove a waiting request that will not run; it is not charged."""
        flow = self._flows[item.request.client_account]
        del flow.items[item.request.attempt_id]
        self._removed(flow, item)

    def correct(self, account: str, cost_s: float) -> None:
        """Add a difference to what an account was charged."""
        flow = self._flows.get(account)
        if flow is None:
            return
        tag = max(self.virtual_time, flow.tag + cost_s / flow.weight)
        if tag != flow.tag:
            flow.tag = tag
            if flow.items:
                self._push(flow)
            else:
                heapq.heappush(self._idle, (flow.tag, account))

    def work_before(self, account: str, share: float) -> float:
        """Return an upper bound of the work that starts before a new request.

        In seconds of one slot: the whole backlog of the class, or what all accounts
        get by their shares until the account's own waiting work has started.
        """
        flow = self._flows.get(account)
        if flow is None:
            return 0.0
        own = sum(item.cost_s for item in flow.items.values()) / flow.weight
        lead = max(0.0, flow.tag - self.virtual_time) + own
        others = self.active_weight if flow.items else self.active_weight + share
        return min(self.work_s, lead * others)

    def _push(self, flow: Flow) -> None:
        self._ticket += 1
        flow.ticket = self._ticket
        heapq.heappush(self._heap, (flow.tag, flow.ticket, flow.account))
        if len(self._heap) > 2 * self._active + COMPACT_SLACK:
            flows = [each for each in self._flows.values() if each.items]
            self._heap = [(each.tag, each.ticket, each.account) for each in flows]
            heapq.heapify(self._heap)

    def _removed(self, flow: Flow, item: Item) -> None:
        self.size -= 1
        self.work_s -= item.cost_s
        if not flow.items:
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
