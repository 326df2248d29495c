"""Baseline placement policies and queue discipline."""

from collections import OrderedDict
from collections.abc import Mapping, Sequence

from foxtailcourse.emulator._agent import PRIORITY, AgentModel
from foxtailcourse.emulator._engine import count_leading
from foxtailcourse.protocol import RequestClass
from foxtailcourse.routing import Prompt, RankedServer, ServerReply
from foxtailcourse.sharing import Admission, QueuedRequest, Refusal


class _StaticPolicy:
    """Base of policies that ignore what the entry records."""

    def record_sent(self, prompt: Prompt, backend_server: str, now: float) -> None:
        """Ignore a sent attempt."""

    def record_reply(self, prompt: Prompt, reply: ServerReply, now: float) -> None:
        """Ignore a reply."""

    def record_finished(self, prompt: Prompt, backend_server: str, now: float) -> None:
        """Ignore the end of an attempt."""

    def record_unreachable(self, backend_server: str, now: float) -> None:
        """Ignore that a backend server was unreachable."""


class RoundRobin(_StaticPolicy):
    """Chooses the servers in turn."""

    def __init__(self) -> None:
        self._next = 0

    def rank(
        self,
        prompt: Prompt,
        servers: Sequence[str],
        request_class: RequestClass,
        now: float,
    ) -> list[RankedServer]:
        """Return all servers in cyclic order, starting one further at each call."""
        self._next = (self._next + 1) % len(servers)
        order = (*servers[self._next :], *servers[: self._next])
        return [
            RankedServer(backend_server=s, matched_blocks=0, cost_s=0.0) for s in order
        ]


class LeastLoaded(_StaticPolicy):
    """Chooses the server with the shortest reported wait.

    Ties go to the server with the fewest open requests of this entry.
    """

    def __init__(self) -> None:
        self._wait_s: dict[str, float] = {}
        self._open_requests: dict[str, int] = {}

    def rank(
        self,
        prompt: Prompt,
        servers: Sequence[str],
        request_class: RequestClass,
        now: float,
    ) -> list[RankedServer]:
        """Return all servers, least loaded first."""

        def load(server: str) -> tuple[float, int]:
            return self._wait_s.get(server, 0.0), self._open_requests.get(server, 0)

        return [
            RankedServer(backend_server=each, matched_blocks=0, cost_s=load(each)[0])
            for each in sorted(servers, key=load)
        ]

    def record_sent(self, prompt: Prompt, backend_server: str, now: float) -> None:
        """Count an open request."""
        self._open_requests[backend_server] = (
            self._open_requests.get(backend_server, 0) + 1
        )

    def record_reply(self, prompt: Prompt, reply: ServerReply, now: float) -> None:
        """Record the reported wait."""
        self._wait_s[reply.backend_server] = reply.queued_s

    def record_finished(self, prompt: Prompt, backend_server: str, now: float) -> None:
        """Stop counting a finished request."""
        self._open_requests[backend_server] -= 1


class Oracle(_StaticPolicy):
    """Ranks by the exact current state of all caches, queues and prefills.

    Prefixes that queued and running requests will cache count as cached. The wait of a
    long request is that of its client account.

    Parameters
    ----------
    agents : mapping of str to AgentModel
        Agents by backend server.
    weights : mapping of RequestClass to float
        Weight of recomputation time against waiting time.
    """

    def __init__(
        self, agents: Mapping[str, AgentModel], weights: Mapping[RequestClass, float]
    ) -> None:
        self._agents, self._weights = agents, weights

    def rank(
        self,
        prompt: Prompt,
        servers: Sequence[str],
        request_class: RequestClass,
        now: float,
    ) -> list[RankedServer]:
        """Return the servers that are up, lowest cost first."""
        ranked = [
            self._rank_server(prompt, each, request_class, now)
            for each in servers
            if not self._agents[each].down
        ]
        return sorted(ranked, key=lambda each: each.cost_s)

    def _rank_server(
        self, prompt: Prompt, server: str, request_class: RequestClass, now: float
    ) -> RankedServer:
        agent = self._agents[server]
        engine = agent.engine
        matched = engine.cache.match(prompt.keys)
        matched += count_leading(prompt.keys[matched:], agent.open_requests_by_block)
        if request_class is RequestClass.SHORT:
            wait_s = agent.queue.predicted_wait_s(request_class, now)
        else:
            wait_s = agent.long_wait_s(prompt.salt)
        wait_s += engine.queued_prefill_s(PRIORITY[request_class], now)
        uncached = prompt.tokens - matched * engine.cfg.block_tokens
        recompute_s = max(0, uncached) / engine.cfg.prefill_tokens_per_s
        cost_s = wait_s + self._weights[request_class] * recompute_s
        return RankedServer(
            backend_server=server, matched_blocks=matched, cost_s=cost_s
        )


class UnboundedFifoQueue:
    """First come, first served, without a limit on waiting requests.

    Parameters
    ----------
    slots : int
        Maximum number of running requests.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._queue: OrderedDict[str, QueuedRequest] = OrderedDict()
        self._running: set[str] = set()

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._queue)

    @property
    def running(self) -> int:
        """Number of started requests."""
        return len(self._running)

    def offer(self, request: QueuedRequest, now: float) -> Admission | Refusal:
        """Accept every request."""
        self._queue[request.attempt_id] = request
        return Admission(predicted_start_s=0.0)

    def take(self, now: float) -> QueuedRequest | None:
        """Return the oldest request if a slot is free."""
        if not self._queue or len(self._running) >= self._slots:
            return None
        attempt_id, request = self._queue.popitem(last=False)
        self._running.add(attempt_id)
        return request

    def finish(self, attempt_id: str, generated_tokens: int, now: float) -> None:
        """Free the slot of a request that ended."""
        self._running.discard(attempt_id)

    def withdraw(self, attempt_id: str, now: float) -> bool:
        """Remove a waiting request."""
        return self._queue.pop(attempt_id, None) is not None

    def expire(self, now: float) -> list[QueuedRequest]:
        """Return no requests: none expires."""
        return []

    def predicted_wait_s(self, request_class: RequestClass, now: float) -> float:
        """Return the waiting requests per slot as a rough estimate of the wait."""
        return len(self._queue) / self._slots
