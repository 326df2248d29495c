"""Start-time fair queueing over client accounts, for one request class.

Methods: P. Goyal, H. M. Vin, H. Cheng, "Start-time Fair Queuing" (SIGCOMM 1996);
for several slots, W. Jin, J. Chase, J. Kaur, "Interposed Proportional Sharing for a
Storage Service Utility" (SIGMETRICS 2004).
"""

import heapq
from collections import OrderedDict

import attrs

from foxtailcourse.sharing._types import QueuedRequest

# A heap is rebuilt when it has more outdated entries than this plus its valid ones.
MIN_STALE_ENTRIES = 16
MIN_WEIGHT, MAX_WEIGHT = 1e-3, 1e6


def clamp_weight(share: float) -> float:
    """Return the weight of a contract's share, which may be 0, in usable bounds."""
    return min(MAX_WEIGHT, share) if share > MIN_WEIGHT else MIN_WEIGHT


@attrs.define(eq=False)
class ScheduledRequest:
    """A waiting or running request and its charge.

    Parameters
    ----------
    request : QueuedRequest
        The request.
    cost_s : float
        Charge in seconds of one slot.
    latest_start_at : float
        Latest useful start, on the clock of ``now``.
    offered_at : float
        Time of the offer, on the clock of ``now``.
    unscaled_wait_s : float
        Predicted wait without the factor of ``WaitScale``, in seconds.
    """

    request: QueuedRequest
    cost_s: float
    latest_start_at: float
    offered_at: float = 0.0
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
    start_tag : float
        Virtual start time of the next request, in the unit of
        ``FlowQueue.virtual_time``.
    scheduled : OrderedDict of str to ScheduledRequest
        Waiting requests by attempt, in order of arrival.
    work_s : float
        Sum of their costs, in seconds of one slot.
    push_number : int
        Number of the flow's valid heap entry; entries with another one are ignored.
    """

    account: str
    weight: float
    start_tag: float
    scheduled: "OrderedDict[str, ScheduledRequest]" = attrs.field(factory=OrderedDict)
    work_s: float = 0.0
    push_number: int = 0


class FlowQueue:
    """Waiting requests of one class, ordered by virtual start time.

    Attributes
    ----------
    virtual_time : float
        Highest start tag of a started request, in seconds of one slot per unit of
        weight.
    work_s : float
        Sum of the costs of the waiting requests, in seconds of one slot.
    n_waiting : int
        Number of waiting requests.
    active_weight : float
        Sum of the weights of the accounts with waiting requests.
    """

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self.work_s = 0.0
        self.n_waiting = 0
        self.active_weight = 0.0
        self._flows: dict[str, Flow] = {}
        self._heap: list[tuple[float, int, str]] = []
        self._idle_flows: list[tuple[float, str]] = []
        self._n_pushed = 0
        self._n_active = 0

    def flow(self, account: str) -> Flow | None:
        """Return the flow of an account that has waiting work."""
        flow = self._flows.get(account)
        return flow if flow is not None and flow.scheduled else None

    def add(self, scheduled: ScheduledRequest) -> None:
        """Append a request to its account's flow."""
        req = scheduled.request
        flow = self._get_or_create(req.client_account, req.share)
        if not flow.scheduled:
            flow.weight = clamp_weight(req.share)
            flow.start_tag = max(flow.start_tag, self.virtual_time)
            self._n_active += 1
            self.active_weight += flow.weight
            self._push(flow)
        flow.scheduled[req.attempt_id] = scheduled
        flow.work_s += scheduled.cost_s
        self.n_waiting += 1
        self.work_s += scheduled.cost_s

    def head(self) -> ScheduledRequest | None:
        """Return the next request, None if none waits."""
        while self._heap:
            _, push_number, account = self._heap[0]
            flow = self._flows.get(account)
            if flow is not None and flow.push_number == push_number and flow.scheduled:
                return next(iter(flow.scheduled.values()))
            heapq.heappop(self._heap)
        return None

    def pop(self) -> ScheduledRequest:
        """Remove the next request and charge its account."""
        scheduled = self.head()
        if scheduled is None:
            raise IndexError("no waiting request")
        flow = self._flows[scheduled.request.client_account]
        heapq.heappop(self._heap)
        self.virtual_time = max(self.virtual_time, flow.start_tag)
        flow.start_tag += scheduled.cost_s / flow.weight
        self._remove_from_flow(flow, scheduled)
        if flow.scheduled:
            self._push(flow)
        self._remove_idle_flows()
        return scheduled

    def remove(self, scheduled: ScheduledRequest) -> None:
        """Remove a waiting request without a charge, since it will not run."""
        self._remove_from_flow(self._flows[scheduled.request.client_account], scheduled)

    def charge(
        self, account: str, share: float, cost_s: float, max_debt_s: float
    ) -> None:
        """Charge work that was done outside of this queue, or correct a charge.

        The charge delays the account's next request by at most ``max_debt_s`` of the
        account's own service, beyond the virtual time.
        """
        flow = self._get_or_create(account, share)
        start_tag = max(self.virtual_time, flow.start_tag + cost_s / flow.weight)
        limit = self.virtual_time + max_debt_s / flow.weight
        start_tag = min(start_tag, max(flow.start_tag, limit))
        if start_tag != flow.start_tag:
            flow.start_tag = start_tag
            if flow.scheduled:
                self._push(flow)
        if not flow.scheduled:
            heapq.heappush(self._idle_flows, (flow.start_tag, account))
            self._remove_idle_flows()

    def work_before(self, account: str, share: float) -> float:
        """Return an upper bound of the work that starts before a new request.

        In seconds of one slot, the lesser of the class's whole backlog and of the work
        that all accounts start by their shares until the account's own has started.
        """
        flow = self._flows.get(account)
        if flow is None:
            return 0.0
        virtual_lead = (
            max(0.0, flow.start_tag - self.virtual_time) + flow.work_s / flow.weight
        )
        extra_weight = 0.0 if flow.scheduled else flow.weight
        return min(self.work_s, virtual_lead * (self.active_weight + extra_weight))

    def active_flows(self) -> list[Flow]:
        """Return the flows with waiting work."""
        return [each for each in self._flows.values() if each.scheduled]

    def reset(self) -> None:
        """Clear all debts; only allowed while nothing waits."""
        self._flows.clear()
        self._heap.clear()
        self._idle_flows.clear()

    def _get_or_create(self, account: str, share: float) -> Flow:
        flow = self._flows.get(account)
        if flow is None:
            flow = Flow(account, clamp_weight(share), self.virtual_time)
            self._flows[account] = flow
        return flow

    def _push(self, flow: Flow) -> None:
        self._n_pushed += 1
        flow.push_number = self._n_pushed
        heapq.heappush(self._heap, (flow.start_tag, flow.push_number, flow.account))
        if len(self._heap) > 2 * self._n_active + MIN_STALE_ENTRIES:
            self._heap = [
                (each.start_tag, each.push_number, each.account)
                for each in self.active_flows()
            ]
            heapq.heapify(self._heap)

    def _remove_from_flow(self, flow: Flow, scheduled: ScheduledRequest) -> None:
        del flow.scheduled[scheduled.request.attempt_id]
        flow.work_s -= scheduled.cost_s
        self.n_waiting -= 1
        self.work_s -= scheduled.cost_s
        if not flow.scheduled:
            flow.work_s = 0.0
            self._n_active -= 1
            self.active_weight -= flow.weight
            heapq.heappush(self._idle_flows, (flow.start_tag, flow.account))
        if self.n_waiting == 0:
            self.work_s = self.active_weight = 0.0

    def _remove_idle_flows(self) -> None:
        while self._idle_flows and self._idle_flows[0][0] <= self.virtual_time:
            _, account = heapq.heappop(self._idle_flows)
            flow = self._flows.get(account)
            if flow and not flow.scheduled and flow.start_tag <= self.virtual_time:
                del self._flows[account]
        if len(self._idle_flows) > 2 * len(self._flows) + MIN_STALE_ENTRIES:
            idle = (each for each in self._flows.values() if not each.scheduled)
            self._idle_flows = [(each.start_tag, each.account) for each in idle]
            heapq.heapify(self._idle_flows)
