"""The agent beside each engine model: queue, block index, late reports."""

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
from foxtailcourse.emulator._timeline import Timeline
from foxtailcourse.emulator._workload import Request
from foxtailcourse.protocol import RequestClass
from foxtailcourse.routing import ServerReply
from foxtailcourse.sharing import QueuedRequest, Refusal, RequestQueue

NETWORK_S = 0.0015
TICK_S = 0.25
EVENT_GAP_PROBABILITY = 0.01
INDEX_BLOCKS_PER_CACHED, INDEX_STALE_S = 4, 15.0
PRIORITY = {RequestClass.SHORT: 0, RequestClass.LONG: 1}


@attrs.define(eq=False, kw_only=True)
class AttemptState:
    """One attempt and the calls that its entry waits for."""

    attempt_id: str
    request: Request
    server: str
    on_refused: Callable[["AttemptState", ServerReply, float], None]
    on_first: Callable[["AttemptState", ServerReply, float], None]
    on_done: Callable[["AttemptState", float], None]
    on_broken: Callable[["AttemptState", float], None]


class LateIndex:
    """The agent's block index, fed with events that arrive late or not at all.

    Parameters
    ----------
    engine : EngineModel
        The engine whose events it takes.
    rng : random.Random
        Source of lost events.
    """

    def __init__(self, engine: EngineModel, rng: random.Random) -> None:
        self._engine, self._rng = engine, rng
        capacity = engine.cfg.cache_blocks * INDEX_BLOCKS_PER_CACHED
        self._index = BlockIndex(capacity, INDEX_STALE_S)
        self._pending: list[tuple[int, bool, list[bytes]]] = []
        self._last_seq = 0

    def matched(self, keys: tuple[bytes, ...], now: float) -> int:
        """Return the number of leading keys believed held."""
        return self._index.match(keys, now)

    def event(self, stored: list[bytes], evicted: list[bytes], now: float) -> None:
        """Take events that :meth:`deliver` makes visible."""
        for is_stored, keys in ((True, stored), (False, evicted)):
            self._last_seq += 1
            self._pending.append((self._last_seq, is_stored, keys))

    def deliver(self, now: float) -> None:
        """Apply the events since the last call, or lose them."""
        pending, self._pending = self._pending, []
        incarnation = self._engine.incarnation
        self._index.record_poll(incarnation, now)
        if pending and self._rng.random() < EVENT_GAP_PROBABILITY:
            return
        for seq, stored, keys in pending:
            self._index.apply(incarnation, seq, stored, keys, now)

    def replied(self, job: Job, now: float) -> None:
        """Learn from the reply of the engine."""
        self._index.record_reply(self._engine.incarnation, job.keys, job.matched, now)

    def restart(self) -> None:
        """Start the event sequence of a new incarnation."""
        self._pending.clear()
        self._last_seq = 0


class AgentModel:
    """One agent.

    Parameters
    ----------
    engine : EngineModel
        The engine beside it.
    queue : RequestQueue
        The queue discipline.
    timeline : Timeline
        Virtual time.
    rng : random.Random
        Source of event gaps.
    """

    def __init__(
        self,
        engine: EngineModel,
        queue: RequestQueue,
        timeline: Timeline,
        rng: random.Random,
    ) -> None:
        self.engine, self.queue = engine, queue
        self.index = LateIndex(engine, rng)
        self.down = False
        self.pending: Counter[bytes] = Counter()
        self.on_service: Callable[[Job, float], None] = lambda job, now: None
        self._timeline = timeline
        self._attempts: dict[str, AttemptState] = {}
        self._reported_running = 0
        self._waiting_long: dict[str, tuple[str, float]] = {}
        self._long_work: dict[str, tuple[float, float]] = {}
        engine.callbacks = EngineCallbacks(
            first_token=self._first_token, done=self._done, changed=self.index.event
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
        """Return the exact fluid wait of a new long request of an account.

        The account's waiting work is served at its share of the slots among the
        accounts that have long requests waiting.
        """
        if salt not in self._long_work:
            return 0.0
        active = sum(share for _, share in self._long_work.values())
        work_s, share = self._long_work[salt]
        return work_s * active / share / self.engine.cfg.slots

    def offer(self, attempt: AttemptState, now: float) -> None:
        """Take an attempt or refuse it."""
        if self.down:
            self._refuse(attempt, now)
            return
        req = attempt.request
        matched = self.index.matched(req.prompt.keys, now)
        uncached = req.prompt.tokens - matched * self.engine.cfg.block_tokens
        queued = QueuedRequest(
            attempt_id=attempt.attempt_id,
            client_account=req.client_account,
            share=req.share,
            request_class=req.request_class,
            uncached_tokens=max(1, uncached),
            expected_tokens=req.prompt.max_tokens,
            deadline=req.at + req.deadline_s,
        )
        answer = self.queue.offer(queued, now)
        if isinstance(answer, Refusal):
            self._refuse(attempt, now)
            return
        self._attempts[attempt.attempt_id] = attempt
        if req.request_class is RequestClass.LONG:
            self._add_long(attempt)
        self.pending.update(req.prompt.keys[: req.prefix_blocks])
        self._pump(now)

    def tick(self, now: float) -> None:
        """Take late reports of the engine and expire requests."""
        self.index.deliver(now)
        self._reported_running = len(self.engine.jobs)
        self._pump(now)

    def crash(self, down_s: float, now: float) -> None:
        """Crash the engine: running requests break, waiting ones are refused."""
        lost = self.engine.crash(now)
        self.down = True
        self.index.restart()
        for job in lost:
            self.queue.finish(job.attempt_id, 0, now)
            attempt = self._forget(job.attempt_id)
            self._timeline.at(now + NETWORK_S, attempt.on_broken, attempt)
        for attempt_id in list(self._attempts):
            self.queue.withdraw(attempt_id, now)
            self._refuse(self._forget(attempt_id), now)
        self._timeline.at(now + down_s, self._restart)

    def reply(self, matched: int, refused: bool, now: float) -> ServerReply:
        """Return the state of this agent as a reply carries it."""
        return ServerReply(
            backend_server=self.engine.name,
            engine_incarnation=self.engine.incarnation,
            matched_blocks=matched,
            queued_s=self.queue.predicted_wait_s(RequestClass.SHORT, now),
            running=self._reported_running,
            waiting=self.queue.waiting,
            refused=refused,
        )

    def _add_long(self, attempt: AttemptState) -> None:
        prompt, cfg = attempt.request.prompt, self.engine.cfg
        own_s = prompt.tokens / cfg.prefill_tokens_per_s
        own_s += prompt.max_tokens / cfg.decode_tokens_per_s
        self._waiting_long[attempt.attempt_id] = prompt.salt, own_s
        held_s, _ = self._long_work.get(prompt.salt, (0.0, 0.0))
        self._long_work[prompt.salt] = held_s + own_s, attempt.request.share

    def _drop_long(self, attempt_id: str) -> None:
        salt, own_s = self._waiting_long.pop(attempt_id, ("", 0.0))
        if not salt:
            return
        held_s, share = self._long_work[salt]
        self._long_work[salt] = held_s - own_s, share
        if held_s - own_s < own_s / 1_000:
            del self._long_work[salt]

    def _restart(self, now: float) -> None:
        self.down = False

    def _pump(self, now: float) -> None:
        if self.down:
            return
        for expired in self.queue.expire(now):
            self._refuse(self._forget(expired.attempt_id), now)
        while (queued := self.queue.take(now)) is not None:
            req = self._attempts[queued.attempt_id].request
            self._drop_long(queued.attempt_id)
            job = Job(
                attempt_id=queued.attempt_id,
                client_account=req.client_account,
                keys=req.prompt.keys,
                prefix_blocks=req.prefix_blocks,
                tokens=req.prompt.tokens,
                output_tokens=req.output_tokens,
                priority=PRIORITY[req.request_class],
            )
            self.engine.start(job, now)

    def _first_token(self, job: Job, now: float) -> None:
        attempt = self._attempts[job.attempt_id]
        self.index.replied(job, now)
        note = getattr(self.queue, "first_token", None)
        if note is not None:
            note(job.attempt_id, now)
        reply = self.reply(job.matched, False, now)
        self._timeline.at(now + NETWORK_S, attempt.on_first, attempt, reply)

    def _done(self, job: Job, now: float) -> None:
        self.on_service(job, now)
        self.queue.finish(job.attempt_id, job.output_tokens, now)
        attempt = self._forget(job.attempt_id)
        self._timeline.at(now + NETWORK_S, attempt.on_done, attempt)
        self._pump(now)

    def _forget(self, attempt_id: str) -> AttemptState:
        attempt = self._attempts.pop(attempt_id)
        self._drop_long(attempt_id)
        req = attempt.request
        for key in req.prompt.keys[: req.prefix_blocks]:
            self.pending[key] -= 1
            if not self.pending[key]:
                del self.pending[key]
        return attempt

    def _refuse(self, attempt: AttemptState, now: float) -> None:
        matched = self.index.matched(attempt.request.prompt.keys, now)
        reply = self.reply(matched, True, now)
        self._timeline.at(now + NETWORK_S, attempt.on_refused, attempt, reply)
