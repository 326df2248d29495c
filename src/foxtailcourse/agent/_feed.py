"""Tasks that follow the engine's cache events and state."""

from collections import Counter

import trio

from foxtailcourse.agent._context import AgentContext
from foxtailcourse.cache import EventOutcome
from foxtailcourse.engine import EngineClient, EngineError, EventBatch
from foxtailcourse.http import ClientError

RETRY_S = 0.2
EVENT_WAIT_S = 10.0


class EngineFeed:
    """Keeps the block index and the weights version up to date.

    Parameters
    ----------
    context : AgentContext
        The agent's state.
    engine : EngineClient
        The engine.
    """

    def __init__(self, context: AgentContext, engine: EngineClient) -> None:
        self._context = context
        self._engine = engine
        self.reachable = False

    async def start(self) -> None:
        """Ask once for the engine's state and cache events."""
        await self.refresh()
        if self.reachable:
            await self._poll(0.0)

    async def run(self) -> None:
        """Follow the engine until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_events)
            nursery.start_soon(self._follow_state)

    async def _follow_events(self) -> None:
        wait_s = 0.0
        while True:
            if await self._poll(wait_s):
                wait_s = EVENT_WAIT_S
            else:
                # After a failure the index is not used until the next answer.
                wait_s = 0.0
                await trio.sleep(RETRY_S)

    async def _poll(self, wait_s: float) -> bool:
        index = self._context.index
        after = index.next_seq - 1
        try:
            batch = await self._engine.events(after, index.incarnation, wait_s)
        except (EngineError, ClientError):
            return False
        self.apply(batch)
        return True

    def apply(self, batch: EventBatch) -> None:
        """Apply one answer to a poll for cache events."""
        context, index = self._context, self._context.index
        now = context.now()
        if index.heard(batch.incarnation, now):
            context.events.emit("engine_incarnation", incarnation=batch.incarnation)
        outcomes: Counter[EventOutcome] = Counter()
        for event in batch.events:
            outcome = index.apply(
                event.incarnation, event.seq, event.stored, event.keys, now
            )
            outcomes[outcome] += 1
        for outcome, number in outcomes.items():
            context.metrics.count(
                "foxtail_agent_cache_events_total", number, outcome=outcome.value
            )
            if outcome is not EventOutcome.APPLIED:
                context.events.emit(
                    "cache_events_irregular", outcome=outcome.value, number=number
                )

    async def _follow_state(self) -> None:
        while True:
            await self.refresh()
            await trio.sleep(self._context.cfg.load_poll_s)

    async def refresh(self) -> None:
        """Ask the engine once for its state."""
        context = self._context
        try:
            state = await self._engine.state()
        except (EngineError, ClientError) as exc:
            if self.reachable:
                context.events.emit("engine_unreachable", error=str(exc)[:200])
            self.reachable = False
            return
        if not self.reachable:
            context.events.emit("engine_reachable", incarnation=state.incarnation)
        self.reachable = True
        if context.index.seen(state.incarnation):
            context.events.emit("engine_incarnation", incarnation=state.incarnation)
        if context.weights_version != state.weights_version:
            context.weights_version = state.weights_version
            context.events.emit("weights_version", version=state.weights_version)
