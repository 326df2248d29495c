"""Model of the agent of an engine: request queue, block index and delayed reports."""

import random
from collections import Counter
from collections.abc import Callable

import attrs

from foxtailcourse.cache import BlockIndex
from foxtailcourse.emulator._engine import (
    EngineCallbacks,
    EngineModel,
    Job,
)
from foxtailcourse.emulator._event_scheduler import EventScheduler
from foxtailcourse.emulator._workload import Request
from foxtailcourse.protocol import RequestClass
from foxtailcourse.routing import ServerReply
from foxtailcourse.sharing import QueuedRequest, Refusal, RequestQueue

# Delay of one message between an entry and an agent.
NETWORK_DELAY_S = 0.0015
# Period at which an agent polls its engine.
POLL_PERIOD_S = 0.25
# Probability that the events of one polling period are lost.
EVENT_GAP_PROBABILITY = 0.01
# Capacity of the index in blocks per block of the cache, and age at which it is stale.
INDEX_BLOCKS_PER_CACHED, INDEX_STALE_S = 4, 15.0
# Engine priority of each request class; lower values run first.
PRIORITY = {RequestClass.SHORT: 0, RequestClass.LONG: 1}


@attrs.define(eq=False, kw_only=True)
class AttemptState:
    """One attempt and the callbacks of the entry that sent it.

    Parameters
    ----------
    attempt_id : str
        Identifier of the attempt.
    request : Request
        The request.
    server : str
        Backend server of the attempt.
    on_refused, on_first_token : callable
        Called with the attempt, the reply and the virtual time.
    on_done, on_failed : callable
        Called with the attempt and the virtual time.
    """

    attempt_id: str
    request: Request
    server: str
    on_refused: Callable[["AttemptState", ServerReply, float], None]
    on_first_token: Callable[["AttemptState", ServerReply, float], None]
    on_done: Callable[["AttemptState", float], None]
    on_failed: Callable[["AttemptState", float], None]


class DelayedBlockIndex:
    """Block index of an agent whose cache events are delayed and sometimes lost.

    Parameters
    ----------
    engine : EngineModel
        Engine that emits the events.
    rng : random.Random
        Decides which events are lost.
    """

    def __init__(self, engine: EngineModel, rng: random.Random) -> None:
        self._engine, self._rng = engine, rng
        capacity = engine.cfg.cache_blocks * INDEX_BLOCKS_PER_CACHED
        self._index = BlockIndex(capacity, INDEX_STALE_S)
        self._pending: list[tuple[int, bool, list[bytes]]] = []
        self._last_seq = 0

    def match(self, keys: tuple[bytes, ...], now: float) -> int:
        """Return the number of leading keys that are expected to be cached."""
        return self._index.match(keys, now)

    def enqueue_events(
        self, stored: list[bytes], evicted: list[bytes], now: float
    ) -> None:
        """Queue cache events until the next :meth:`poll`."""
        for is_stored, keys in ((True, stored), (False, evicted)):
            self._last_seq += 1
            self._pending.append((self._last_seq, is_stored, keys))

    def poll(self, now: float) -> None:
        """Apply the events since the last call, or lose them."""
        pending, self._pending = self._pending, []
        incarnation = self._engine.incarnation
        self._index.record_poll(incarnation, now)
        if pending and self._rng.random() < EVENT_GAP_PROBABILITY:
            return
        for seq, stored, keys in pending:
            self._index.apply(incarnation, seq, stored, keys, now)

    def record_reply(self, job: Job, now: float) -> None:
        """Record how many blocks the engine matched for a job."""
        self._index.record_reply(
            self._engine.incarnation, job.keys, job.matched_blocks, now
        )

    def restart(self) -> None:
        """Restart the event sequence for a new incarnation of the engine."""
        self._pending.clear()
        self._last_seq = 0


class AgentModel:
    """Agent of one backend server.

    Parameters
    ----------
    engine : EngineModel
        Engine of the backend server.
    queue : RequestQueue
        Queue discipline.
    scheduler : EventScheduler
        Scheduler in virtual time.
    rng : random.Random
        Decides which cache events are lost.

    Attributes
    ----------
    down : bool
        Whether the engine is restarting after a crash.
    open_requests_by_block : Counter
        Number of queued and running requests by shared prefix block.
    on_completed : callable
        Called with each job that the engine completed, and the virtual time.
    """

    def __init__(
        self,
        engine: EngineModel,
        queue: RequestQueue,
        scheduler: EventScheduler,
        rng: random.Random,
    ) -> None:
        self.engine, self.queue = engine, queue
        self.index = DelayedBlockIndex(engine, rng)
        self.down = False
        self.open_requests_by_block: Counter[bytes] = Counter()
        self.on_completed: Callable[[Job, float], None] = lambda job, now: None
        self._scheduler = scheduler
        self._attempts: dict[str, AttemptState] = {}
        # Number of running requests at the last poll.
        self._reported_running = 0
        # Salt and work of each queued long attempt, in seconds.
        self._queued_long: dict[str, tuple[str, float]] = {}
        # Queued long work in seconds, and share, by salt.
        self._long_work: dict[str, tuple[float, float]] = {}
        engine.callbacks = EngineCallbacks(
            on_first_token=self._on_first_token,
            on_done=self._on_done,
            on_cache_change=self.index.enqueue_events,
        )

    @property
    def waiting_accounts(self) -> set[str]:
        """Client accounts that have a request in the queue."""
        running = self.engine.jobs
        return {
            each.request.client_account
            for attempt_id, each in self._attempts.items()
            if attempt_id not in running
        }

    def long_wait_s(self, salt: str) -> float:
        """Return the wait of a new long request of an account, in seconds.

        This is the wait in the fluid model of fair queueing: the slots serve the
        account's queued work at its share among the accounts that have long requests
        queued.
        """
        if salt not in self._long_work:
            return 0.0
        active_share = sum(share for _, share in self._long_work.values())
        work_s, share = self._long_work[salt]
        return work_s * active_share / share / self.engine.cfg.slots

    def offer(self, attempt: AttemptState, now: float) -> None:
        """Accept an attempt or refuse it."""
        if self.down:
            self._refuse(attempt, now)
            return
        req = attempt.request
        matched_blocks = self.index.match(req.prompt.keys, now)
        uncached_tokens = (
            req.prompt.tokens - matched_blocks * self.engine.cfg.block_tokens
        )
        queued = QueuedRequest(
            attempt_id=attempt.attempt_id,
            client_account=req.client_account,
            share=req.share,
            request_class=req.request_class,
            uncached_tokens=max(1, uncached_tokens),
            expected_tokens=req.prompt.max_tokens,
            deadline=req.arrived_at + req.deadline_s,
        )
        answer = self.queue.offer(queued, now)
        if isinstance(answer, Refusal):
            self._refuse(attempt, now)
            return
        self._attempts[attempt.attempt_id] = attempt
        if req.request_class is RequestClass.LONG:
            self._add_long_work(attempt)
        self.open_requests_by_block.update(req.prompt.keys[: req.prefix_blocks])
        self._start_requests(now)

    def poll(self, now: float) -> None:
        """Poll the state of the engine and expire requests."""
        self.index.poll(now)
        self._reported_running = len(self.engine.jobs)
        self._start_requests(now)

    def crash(self, down_s: float, now: float) -> None:
        """Crash the engine: running requests fail, queued ones are refused.

        The engine is down for ``down_s`` seconds.
        """
        failed_jobs = self.engine.crash(now)
        self.down = True
        self.index.restart()
        for job in failed_jobs:
            self.queue.finish(job.attempt_id, 0, now)
            attempt = self._remove_attempt(job.attempt_id)
            self._scheduler.call_at(now + NETWORK_DELAY_S, attempt.on_failed, attempt)
        for attempt_id in list(self._attempts):
            self.queue.withdraw(attempt_id, now)
            self._refuse(self._remove_attempt(attempt_id), now)
        self._scheduler.call_at(now + down_s, self._restart)

    def make_reply(self, matched_blocks: int, refused: bool, now: float) -> ServerReply:
        """Return a reply with the current state of this agent."""
        return ServerReply(
            backend_server=self.engine.name,
            engine_incarnation=self.engine.incarnation,
            matched_blocks=matched_blocks,
            queued_s=self.queue.predicted_wait_s(RequestClass.SHORT, now),
            running=self._reported_running,
            waiting=self.queue.waiting,
            refused=refused,
        )

    def _add_long_work(self, attempt: AttemptState) -> None:
        prompt, cfg = attempt.request.prompt, self.engine.cfg
        request_s = prompt.tokens / cfg.prefill_tokens_per_s
        request_s += prompt.max_tokens / cfg.decode_tokens_per_s
        self._queued_long[attempt.attempt_id] = prompt.salt, request_s
        queued_s, _ = self._long_work.get(prompt.salt, (0.0, 0.0))
        self._long_work[prompt.salt] = queued_s + request_s, attempt.request.share

    def _remove_long_work(self, attempt_id: str) -> None:
        salt, request_s = self._queued_long.pop(attempt_id, ("", 0.0))
        if not salt:
            return
        queued_s, share = self._long_work[salt]
        self._long_work[salt] = queued_s - request_s, share
        # What is left after the last request is a rounding error.
        if queued_s - request_s < request_s / 1_000:
            del self._long_work[salt]

    def _restart(self, now: float) -> None:
        self.down = False

    def _start_requests(self, now: float) -> None:
        if self.down:
            return
        for expired in self.queue.expire(now):
            self._refuse(self._remove_attempt(expired.attempt_id), now)
        while (queued := self.queue.take(now)) is not None:
            req = self._attempts[queued.attempt_id].request
            self._remove_long_work(queued.attempt_id)
            job = Job(
                attempt_id=queued.attempt_id,
                client_account=req.client_account,
                keys=req.prompt.keys,
                prefix_blocks=req.prefix_blocks,
                prompt_tokens=req.prompt.tokens,
                output_tokens=req.output_tokens,
                priority=PRIORITY[req.request_class],
            )
            self.engine.start(job, now)

    def _on_first_token(self, job: Job, now: float) -> None:
        attempt = self._attempts[job.attempt_id]
        self.index.record_reply(job, now)
        record_first_token = getattr(self.queue, "first_token", None)
        if record_first_token is not None:
            record_first_token(job.attempt_id, now)
        reply = self.make_reply(job.matched_blocks, False, now)
        self._scheduler.call_at(
            now + NETWORK_DELAY_S, attempt.on_first_token, attempt, reply
        )

    def _on_done(self, job: Job, now: float) -> None:
        self.on_completed(job, now)
        self.queue.finish(job.attempt_id, job.output_tokens, now)
        attempt = self._remove_attempt(job.attempt_id)
        self._scheduler.call_at(now + NETWORK_DELAY_S, attempt.on_done, attempt)
        self._start_requests(now)

    def _remove_attempt(self, attempt_id: str) -> AttemptState:
        attempt = self._attempts.pop(attempt_id)
        self._remove_long_work(attempt_id)
        req = attempt.request
        for key in req.prompt.keys[: req.prefix_blocks]:
            self.open_requests_by_block[key] -= 1
            if not self.open_requests_by_block[key]:
                del self.open_requests_by_block[key]
        return attempt

    def _refuse(self, attempt: AttemptState, now: float) -> None:
        matched_blocks = self.index.match(attempt.request.prompt.keys, now)
        reply = self.make_reply(matched_blocks, True, now)
        self._scheduler.call_at(
            now + NETWORK_DELAY_S, attempt.on_refused, attempt, reply
        )
