"""Simulation of entries and agents, for benchmarks of retries and shedding.

One entry sends to agents with a queue each. A refused or failed attempt goes to the
next candidate, as the retry budget and the deadline allow.
"""

import enum
import heapq
import random
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from foxtailcourse.sharing._fair_queue import FairQueue, QueueLimits
from foxtailcourse.sharing._feasibility import FeasibilityTable
from foxtailcourse.sharing._rates import ServiceRates
from foxtailcourse.sharing._retry_budget import RetryBudget
from foxtailcourse.sharing._types import QueuedRequest, Refusal

AVOID_S = 2.0


class Shedding(enum.Enum):
    """Where a request that cannot be served in time is refused."""

    AGENT = "agent"
    ENTRY_BY_CLASS = "entry_by_class"
    ENTRY_BY_ACCOUNT = "entry_by_account"
    ENTRY_BY_REPORT = "entry_by_report"


@attrs.frozen(kw_only=True)
class FleetOptions:
    """Size and faults of a simulated fleet.

    Parameters
    ----------
    agents, candidates : int
        Backend servers, and how many of them may serve one request.
    budget : RetryBudget or None
        None retries whenever the deadline allows.
    shedding : Shedding
        Where requests are refused.
    failing_agents : int
        Agents whose requests fail from ``fail_from`` to ``fail_until``.
    fail_from, fail_until : float
        Times in seconds.
    failure_s : float
        Time that a failing request holds its slot.
    max_attempts : int
        Most attempts of one request.
    hop_s, handling_s : float
        Time of one message, and of the agent's only core for one attempt.
    report_s : float
        Period of the agents' reports with ``Shedding.ENTRY_BY_REPORT``.
    """

    agents: int = 8
    candidates: int = 3
    budget: RetryBudget | None = None
    shedding: Shedding = Shedding.AGENT
    failing_agents: int = 0
    fail_from: float = 0.0
    fail_until: float = 0.0
    failure_s: float = 0.3
    max_attempts: int = 4
    hop_s: float = 0.0015
    handling_s: float = 0.001
    report_s: float = 0.25


@attrs.define(eq=False)
class Call:
    """One request of a caller.

    Parameters
    ----------
    request : QueuedRequest
        The request.
    arrived : float
        Time of its arrival.
    servers : list of str
        Candidates, in rendezvous order.
    attempts : int
        Attempts so far.
    answered, failed, shed : float or None
        Time of the answer, of the final error, or of the refusal at the entry.
    """

    request: QueuedRequest
    arrived: float
    servers: list[str]
    attempts: int = 0
    answered: float | None = None
    failed: float | None = None
    shed: float | None = None


class FleetSimulation:
    """Runs calls through one entry and its agents.

    Parameters
    ----------
    options : FleetOptions
        Size and faults.
    limits : QueueLimits
        Bounds of each agent's queue.
    seed : int
        Of the choice of candidates.
    """

    def __init__(
        self, options: FleetOptions, limits: QueueLimits | None = None, seed: int = 0
    ) -> None:
        self.options = options
        self.calls: dict[str, Call] = {}
        self._rng = random.Random(seed)
        names = [f"agent-{i}" for i in range(options.agents)]
        self._queues = {name: FairQueue(limits) for name in names}
        self._free_at = dict.fromkeys(names, 0.0)
        self._failing = set(names[: options.failing_agents])
        self._avoid: dict[str, float] = {}
        self._table = FeasibilityTable()
        self._rates = ServiceRates(learn=False)
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0
        if options.shedding is Shedding.ENTRY_BY_REPORT:
            for name in names:
                self._push(options.report_s, self._report, name)

    def run(
        self, arrivals: Iterable[tuple[float, QueuedRequest]], until: float
    ) -> list[Call]:
        """Run until a time and return the calls in order of arrival."""
        names = list(self._queues)
        for time, request in arrivals:
            servers = self._rng.sample(names, self.options.candidates)
            call = self.calls[request.attempt_id] = Call(request, time, servers)
            self._push(time, self._arrive, call)
        while self._events and self._events[0][0] <= until:
            now, _, handler, args = heapq.heappop(self._events)
            handler(now, *args)
        return list(self.calls.values())

    def _push(self, time: float, handler: Callable[..., None], *args: Any) -> None:
        self._count += 1
        heapq.heappush(self._events, (time, self._count, handler, args))

    def _arrive(self, now: float, call: Call) -> None:
        if self.options.budget is not None:
            self.options.budget.record_first_attempt(call.request.client_account, now)
        self._attempt(now, call)

    def _attempt(self, now: float, call: Call) -> None:
        servers = self._feasible(now, call)
        if not servers:
            call.shed = now
            return
        server = min(servers, key=lambda each: self._avoid.get(each, 0.0) > now)
        call.servers.remove(server)
        call.servers.append(server)
        call.attempts += 1
        arrival = max(now + self.options.hop_s, self._free_at[server])
        self._free_at[server] = arrival + self.options.handling_s
        self._push(self._free_at[server], self._offer, call, server)

    def _feasible(self, now: float, call: Call) -> list[str]:
        if self.options.shedding is Shedding.AGENT:
            return call.servers
        req = call.request
        servers = self._table.feasible_servers(
            call.servers, self._key(req), req.request_class, req.deadline - now, now
        )
        return [] if isinstance(servers, Refusal) else servers

    def _key(self, request: QueuedRequest) -> str:
        by_class = self.options.shedding is Shedding.ENTRY_BY_CLASS
        return "" if by_class else request.client_account

    def _report(self, now: float, server: str) -> None:
        self._table.record_waits(
            server, self._queues[server].conservative_waits_s(now), now
        )
        self._push(now + self.options.report_s, self._report, server)

    def _offer(self, now: float, call: Call, server: str) -> None:
        answer = self._queues[server].offer(call.request, now)
        if isinstance(answer, Refusal):
            back = now + self.options.hop_s
            self._push(back, self._refused, call, server, answer)
        self._start_requests(now, server)

    def _start_requests(self, now: float, server: str) -> None:
        queue, opts = self._queues[server], self.options
        for late in queue.expire(now):
            self._push(now + opts.hop_s, self._next, self.calls[late.attempt_id])
        while (req := queue.take(now)) is not None:
            fails = server in self._failing and opts.fail_from <= now < opts.fail_until
            cost_s = self._rates.cost_s(req.uncached_tokens, req.expected_tokens)
            ends = now + (opts.failure_s if fails else cost_s)
            self._push(ends, self._end, self.calls[req.attempt_id], server, fails)

    def _end(self, now: float, call: Call, server: str, fails: bool) -> None:
        req = call.request
        self._queues[server].finish(
            req.attempt_id, 0 if fails else req.expected_tokens, now
        )
        if fails:
            self._avoid[server] = now + AVOID_S
            self._push(now + self.options.hop_s, self._next, call)
        else:
            call.answered = now + self.options.hop_s
        self._start_requests(now, server)

    def _refused(self, now: float, call: Call, server: str, refusal: Refusal) -> None:
        if self.options.shedding is not Shedding.ENTRY_BY_REPORT:
            key, kind = self._key(call.request), call.request.request_class
            self._table.record_refusal(server, key, kind, refusal.retry_after_ms, now)
        self._next(now, call)

    def _next(self, now: float, call: Call) -> None:
        req, budget = call.request, self.options.budget
        account = req.client_account
        allowed = now < req.deadline and call.attempts < self.options.max_attempts
        if allowed and budget is not None:
            allowed = budget.allow_retry(account, now, req.deadline)
        if allowed:
            self._attempt(now, call)
        else:
            call.failed = now
