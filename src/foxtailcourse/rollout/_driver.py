"""Brings the engine beside an agent to its desired state."""

import random
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from typing import Protocol

import attrs
import trio

from foxtailcourse.engine import EngineClient, EngineError, Order
from foxtailcourse.http import ClientError
from foxtailcourse.observe import EventLog
from foxtailcourse.platform import PlatformError
from foxtailcourse.rollout._plan import DesiredState, needs_quiet, pending_orders
from foxtailcourse.rollout._slots import HeldSlot, LoadSlots, SlotLostError
from foxtailcourse.settings import section, setting

OLD_FENCING_STATUS = 409


@section("rollout")
class RolloutSettings:
    """How new weights, adapters and roles reach the engine."""

    slots: int = setting(
        int, 2, description="Engines that may load at once.", minimum=1
    )
    slots_prefix: str = setting(
        str, "slots/weights/", description="Prefix of the slots' keys in the platform."
    )
    lease_s: float = setting(
        float,
        5.0,
        description="Time to live of a load slot's lease.",
        unit="seconds",
        minimum=0.1,
    )
    poll_s: float = setting(
        float,
        1.0,
        description="Longest time between two comparisons of desired and actual state.",
        unit="seconds",
        minimum=0.01,
    )
    retry_s: float = setting(
        float,
        0.2,
        description="Pause before a lost order is repeated.",
        unit="seconds",
        minimum=0.001,
    )


class RolloutTarget(Protocol):
    """The agent as a rollout sees it."""

    def desired(self) -> DesiredState | None:
        """Return the desired state, or None if the configuration names none."""

    async def in_service(self, without: set[str], enough: int) -> int:
        """Count other backend servers of the model that serve, up to a number.

        Parameters
        ----------
        without : set of str
            VMs that are about to load and do not count.
        enough : int
            Where to stop counting.
        """

    def out_of_service(self) -> AbstractAsyncContextManager[None]:
        """Refuse new work, and enter once the admitted requests have ended."""

    async def refresh(self) -> None:
        """Take note that the engine's state has changed."""

    async def wait_change(self) -> None:
        """Wait until the configuration changes."""


class RolloutDriver:
    """Gives the orders that are pending, under a load slot.

    Parameters
    ----------
    cfg : RolloutSettings
        Times.
    engine : EngineClient
        The engine.
    slots : LoadSlots
        Load slots in the platform.
    target : RolloutTarget
        The agent.
    events : EventLog
        Where moves are reported.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        cfg: RolloutSettings,
        engine: EngineClient,
        slots: LoadSlots,
        target: RolloutTarget,
        events: EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._cfg = cfg
        self._engine = engine
        self._slots = slots
        self._target = target
        self._events = events
        self._clock = clock
        self._rng = random.Random()

    async def run(self) -> None:
        """Compare and give orders until cancelled."""
        while True:
            try:
                moved = await self.step()
            except (PlatformError, EngineError, ClientError, SlotLostError) as exc:
                self._events.emit("rollout_failed", error=str(exc)[:200])
                await trio.sleep(self._cfg.poll_s * self._rng.uniform(0.5, 1.0))
                continue
            if not moved:
                with trio.move_on_after(self._cfg.poll_s):
                    await self._target.wait_change()

    async def step(self) -> bool:
        """Give the pending orders once; return whether any was given.

        Raises
        ------
        PlatformError, EngineError, ClientError, SlotLostError
            If a slot could not be taken or kept, or an order was rejected.
        """
        if not await self._pending():
            return False
        slot = await self._slots.acquire()
        if slot is None:
            await self._slots.wait_change(self._cfg.poll_s)
            return False
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._slots.keep, slot)
                moved = await self._give_all(slot)
                nursery.cancel_scope.cancel()
        except* (PlatformError, EngineError, ClientError, SlotLostError) as group:
            raise _first(group) from None
        finally:
            await self._slots.release(slot)
        return moved

    async def _pending(self) -> list[Order]:
        desired = self._target.desired()
        if desired is None:
            return []
        return pending_orders(desired, await self._engine.state())

    async def _give_all(self, slot: HeldSlot) -> bool:
        for order in await self._pending():
            if not needs_quiet(order):
                await self._give(order, slot)
            elif await self._enough_others(slot):
                async with self._target.out_of_service():
                    await self._give(order, slot)
            else:
                self._events.emit("rollout_waits", reason="min_in_service")
                # The slot goes back, so that others are not kept from loading.
                return False
        return True

    async def _enough_others(self, slot: HeldSlot) -> bool:
        desired = self._target.desired()
        wanted = desired.min_in_service if desired is not None else 0
        loading = await self._slots.ahead_of(slot)
        return await self._target.in_service(loading, wanted) >= wanted

    async def _give(self, order: Order, slot: HeldSlot) -> None:
        """Give one order until the engine's state shows its effect.

        An order or its answer may be lost; engines execute a repeated order once.
        """
        fenced, given = attrs.evolve(order, fencing=slot.fencing), 0
        while order in await self._pending():
            # Directly before the order: nothing may come between.
            slot.check(self._clock())
            given += 1
            try:
                await self._engine.send_order(fenced)
            except (EngineError, ClientError) as exc:
                self._events.emit("order_failed", kind=order.kind, error=str(exc)[:200])
                if isinstance(exc, EngineError) and exc.status == OLD_FENCING_STATUS:
                    raise
                await trio.sleep(self._cfg.retry_s)
        self._events.emit(
            "order_done", kind=order.kind, fencing=slot.fencing, given=given
        )
        await self._target.refresh()


def _first(group: BaseExceptionGroup) -> BaseException:
    exc: BaseException = group
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return exc
