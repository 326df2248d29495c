"""Policies that the product's policy is compared with."""

from collections import OrderedDict
from collections.abc import Mapping, Sequence

from foxtailcourse.emulator._agent import PRIORITY, AgentModel
from foxtailcourse.emulator._engine import leading
from foxtailcourse.protocol import RequestClass
from foxtailcourse.routing import Prompt, RankedServer, ServerReply
from foxtailcourse.sharing import Admission, QueuedRequest, Refusal


class _Silent:
    """A policy that learns nothing."""

    def record_sent(self, prompt: Prompt, backend_server: str, now: float) -> None:
        """Note that an attempt was sent."""

    def record_reply(self, prompt: Prompt, reply: ServerReply, now: float) -> None:
        """Note what a reply said."""

    def record_finished(self, prompt: Prompt, backend_server: str, now: float) -> None:
        """Note that an attempt ended."""

    def record_unreachable(self, backend_server: str, now: float) -> None:
        """Note that a backend server could not be reached."""


class RoundRobin(_Silent):
    """Takes the servers in turn."""

    def __init__(self) -> None:
        self._turn = 0

    def rank(
        self,
        prompt: Prompt,
        servers: Sequence[str],
        request_class: RequestClass,
        now: float,
    ) -> list[RankedServer]:
        """Return the servers from the next one on."""
        self._turn = (self._turn + 1) % len(servers)
        order = (*servers[self._turn :], *servers[: self._turn])
        return [
            RankedServer(backend_server=s, matched_blocks=0, cost_s=0.0) for s in order
        ]


class LeastLoaded(_Silent):
    """Takes the server with the least predicted wait, then fewest own requests."""

    def __init__(self) -> None:
        self._wait_s: dict[str, float] = {}
        self._own: dict[str, int] = {}

    def rank(
        self,
        prompt: Prompt,
        servers: Sequence[str],
        request_class: RequestClass,
        now: float,
    ) -> list[RankedServer]:
        """Return all servers, least loaded first."""

        def load(server: str) -> tuple[float, int]:
            return self._wait_s.get(server, 0.0), self._own.get(server, 0)

        return [
            RankedServer(backend_server=each, matched_blocks=0, cost_s=load(each)[0])
            for each in sorted(servers, key=load)
        ]

    def record_sent(self, prompt: Prompt, backend_server: str, now: float) -> None:
        """Count an own request."""
        self._own[backend_server] = self._own.get(backend_server, 0) + 1

    def record_reply(self, prompt: Prompt, reply: ServerReply, now: float) -> None:
        """Note the reported wait."""
        self._wait_s[reply.backend_server] = reply.queued_s

    def record_finished(self, prompt: Prompt, backend_server: str, now: float) -> None:
        """Forget an own request."""
        self._own[backend_server] -= 1


class Oracle(_Silent):
    """Knows every cache, every queue and every lane exactly and at once.

    Prefixes that waiting requests are about to compute count as held. The wait of a
    long request is that of its client account.

    Parameters
    ----------
    agents : mapping of str to AgentModel
        By backend server.
    weights : mapping of RequestClass to float
        Weight of recomputation against waiting.
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
        """Return all servers in service, cheapest first."""
        choices = [
            self._choice(prompt, each, request_class, now)
            for each in servers
            if not self._agents[each].down
        ]
        return sorted(choices, key=lambda choice: choice.cost_s)

    def _choice(
        self, prompt: Prompt, server: str, request_class: RequestClass, now: float
    ) -> RankedServer:
        agent = self._agents[server]
        engine = agent.engine
        matched = engine.cache.matched(prompt.keys)
        matched += leading(prompt.keys[matched:], agent.pending)
        if request_class is RequestClass.SHORT:
            wait_s = agent.queue.predicted_wait_s(request_class, now)
        else:
            wait_s = agent.long_wait_s(prompt.salt)
        wait_s += engine.lane_s(PRIORITY[request_class], now)
        tokens = prompt.tokens - matched * engine.cfg.block_tokens
        recompute_s = max(0, tokens) / engine.cfg.prefill_tokens_per_s
        cost_s = wait_s + self._weights[request_class] * recompute_s
        return RankedServer(
            backend_server=server, matched_blocks=matched, cost_s=cost_s
        )


class FirstComeQueue:
    """First come first served, without refusals.

    Parameters
    ----------
    slots : int
        Requests at once.
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
        """Take every request."""
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
        """Note that a started request ended."""
        self._running.discard(attempt_id)

    def withdraw(self, attempt_id: str, now: float) -> bool:
        """Remove a waiting request."""
        return self._queue.pop(attempt_id, None) is not None

    def expire(self, now: float) -> list[QueuedRequest]:
        """Return nothing: every request is kept until it has run."""
        return []

    def predicted_wait_s(self, request_class: RequestClass, now: float) -> float:
        """Return the number of waiting requests for each slot, as a crude wait."""
        return len(self._queue) / self._slots
