"""Simulation of an entry and its agents, for benchmarks of retries and load shedding.

Each agent has a queue. A refused or failed attempt is retried at the next candidate
if the retry budget and the deadline allow it.
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

# Time for which the entry prefers other agents after a failure.
AVOID_AFTER_FAILURE_S = 2.0


class Shedding(enum.Enum):
    """Where requests are refused that cannot be served in time.

    ``AGENT``: by the agent's queue only. ``ENTRY_BY_CLASS`` and ``ENTRY_BY_ACCOUNT``:
    also at the entry, while refusals by agents of the same class, or of the same class
    and account, are in effect. ``ENTRY_BY_REPORT``: also at the entry, by the waits
    that agents report.
    """

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
        Number of agents, and of those that may serve a given request.
    budget : RetryBudget or None
        Retry budget of the entry; None allows retries until the deadline.
    shedding : Shedding
        Where requests are refused.
    failing_agents : int
        Number of agents whose requests fail from ``fail_from`` to ``fail_until``.
    fail_from, fail_until : float
        Start and end of the failures, in seconds.
    failure_s : float
        Time that a failing request occupies a slot, in seconds.
    max_attempts : int
        Maximum number of attempts of one request.
    network_delay_s, agent_cpu_s : float
        Delay of one message, and CPU time of the single-core agent for one attempt,
        in seconds.
    report_period_s : float
        Period of the agents' reports with ``Shedding.ENTRY_BY_REPORT``, in seconds.
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
    network_delay_s: float = 0.0015
    agent_cpu_s: float = 0.001
    report_period_s: float = 0.25


@attrs.define(eq=False)
class Call:
    """One request of a caller; times are virtual, in seconds.

    Parameters
    ----------
    request : QueuedRequest
        The request.
    arrived : float
        Time of the arrival.
    servers : list of str
        Candidates, initially in rendezvous order; a candidate moves to the end when it
        gets an attempt.
    attempts : int
        Number of attempts.
    answered, failed, shed : float or None
        Time of the response, of the final error, or of the refusal at the entry.
    """

    request: QueuedRequest
    arrived: float
    servers: list[str]
    attempts: int = 0
    answered: float | None = None
    failed: float | None = None
    shed: float | None = None


class FleetSimulation:
    """Runs requests through one entry and its agents.

    Parameters
    ----------
    options : FleetOptions
        Size and faults.
    limits : QueueLimits or None
        Limits of each agent's queue; None for the defaults.
    seed : int
        Seed of the choice of candidates.
    """

    def __init__(
        self, options: FleetOptions, limits: QueueLimits | None = None, seed: int = 0
    ) -> None:
        self.options = options
        self.calls: dict[str, Call] = {}
        self._rng = random.Random(seed)
        names = [f"agent-{i}" for i in range(options.agents)]
        self._queues = {name: FairQueue(limits) for name in names}
        # When the CPU of each agent is next idle.
        self._cpu_idle_at = dict.fromkeys(names, 0.0)
        self._failing = set(names[: options.failing_agents])
        self._avoid_until: dict[str, float] = {}
        self._feasibility = FeasibilityTable()
        self._rates = ServiceRates(learn=False)
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0
        if options.shedding is Shedding.ENTRY_BY_REPORT:
            for name in names:
                self._schedule(options.report_period_s, self._report, name)

    def run(
        self, arrivals: Iterable[tuple[float, QueuedRequest]], until: float
    ) -> list[Call]:
        """Run until a virtual time; return the calls in order of ``arrivals``."""
        names = list(self._queues)
        for time, request in arrivals:
            servers = self._rng.sample(names, self.options.candidates)
            call = self.calls[request.attempt_id] = Call(request, time, servers)
            self._schedule(time, self._on_arrival, call)
        while self._events and self._events[0][0] <= until:
            now, _, handler, args = heapq.heappop(self._events)
            handler(now, *args)
        return list(self.calls.values())

    def _schedule(self, time: float, handler: Callable[..., None], *args: Any) -> None:
        self._count += 1
        heapq.heappush(self._events, (time, self._count, handler, args))

    def _on_arrival(self, now: float, call: Call) -> None:
        if self.options.budget is not None:
            self.options.budget.record_first_attempt(call.request.client_account, now)
        self._send_attempt(now, call)

    def _send_attempt(self, now: float, call: Call) -> None:
        servers = self._feasible_servers(now, call)
        if not servers:
            call.shed = now
            return
        server = min(servers, key=lambda each: self._avoid_until.get(each, 0.0) > now)
        call.servers.remove(server)
        call.servers.append(server)
        call.attempts += 1
        start = max(now + self.options.network_delay_s, self._cpu_idle_at[server])
        self._cpu_idle_at[server] = start + self.options.agent_cpu_s
        self._schedule(self._cpu_idle_at[server], self._offer, call, server)

    def _feasible_servers(self, now: float, call: Call) -> list[str]:
        if self.options.shedding is Shedding.AGENT:
            return call.servers
        req = call.request
        servers = self._feasibility.feasible_servers(
            call.servers,
            self._refusal_key(req),
            req.request_class,
            req.deadline - now,
            now,
        )
        return [] if isinstance(servers, Refusal) else servers

    def _refusal_key(self, request: QueuedRequest) -> str:
        """Return the account that a refusal concerns, or ``""`` for all accounts."""
        by_class = self.options.shedding is Shedding.ENTRY_BY_CLASS
        return "" if by_class else request.client_account

    def _report(self, now: float, server: str) -> None:
        self._feasibility.record_waits(
            server, self._queues[server].conservative_waits_s(now), now
        )
        self._schedule(now + self.options.report_period_s, self._report, server)

    def _offer(self, now: float, call: Call, server: str) -> None:
        answer = self._queues[server].offer(call.request, now)
        if isinstance(answer, Refusal):
            reply_at = now + self.options.network_delay_s
            self._schedule(reply_at, self._on_refused, call, server, answer)
        self._start_requests(now, server)

    def _start_requests(self, now: float, server: str) -> None:
        queue, opts = self._queues[server], self.options
        for expired in queue.expire(now):
            self._schedule(
                now + opts.network_delay_s,
                self._retry_or_fail,
                self.calls[expired.attempt_id],
            )
        while (req := queue.take(now)) is not None:
            fails = server in self._failing and opts.fail_from <= now < opts.fail_until
            cost_s = self._rates.cost_s(req.uncached_tokens, req.expected_tokens)
            ends_at = now + (opts.failure_s if fails else cost_s)
            self._schedule(
                ends_at, self._end, self.calls[req.attempt_id], server, fails
            )

    def _end(self, now: float, call: Call, server: str, fails: bool) -> None:
        req = call.request
        self._queues[server].finish(
            req.attempt_id, 0 if fails else req.expected_tokens, now
        )
        if fails:
            self._avoid_until[server] = now + AVOID_AFTER_FAILURE_S
            self._schedule(
                now + self.options.network_delay_s, self._retry_or_fail, call
            )
        else:
            call.answered = now + self.options.network_delay_s
        self._start_requests(now, server)

    def _on_refused(
        self, now: float, call: Call, server: str, refusal: Refusal
    ) -> None:
        if self.options.shedding is not Shedding.ENTRY_BY_REPORT:
            key, kind = self._refusal_key(call.request), call.request.request_class
            self._feasibility.record_refusal(
                server, key, kind, refusal.retry_after_ms, now
            )
        self._retry_or_fail(now, call)

    def _retry_or_fail(self, now: float, call: Call) -> None:
        req, budget = call.request, self.options.budget
        account = req.client_account
        allowed = now < req.deadline and call.attempts < self.options.max_attempts
        if allowed and budget is not None:
            allowed = budget.allow_retry(account, now, req.deadline)
        if allowed:
            self._send_attempt(now, call)
        else:
            call.failed = now
