"""Brings an agent's engine to the state that the configuration asks for."""

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
from foxtailcourse.rollout._plan import DesiredState, pending_orders, requires_drain
from foxtailcourse.rollout._slots import HeldSlot, LoadSlots, SlotLostError
from foxtailcourse.settings import section, setting

STALE_FENCING_STATUS = 409


@section("rollout")
class RolloutSettings:
    """Settings of the rollout of weights, adapters and roles to the engine."""

    slots: int = setting(
        int, 2, description="Engines that may load weights concurrently.", minimum=1
    )
    slots_prefix: str = setting(
        str,
        "slots/weights/",
        description="Prefix of the keys of load slots in the platform.",
    )
    lease_s: float = setting(
        float,
        5.0,
        description="Time to live of the lease of a load slot.",
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
        description="Pause before an order that failed or was lost is retried.",
        unit="seconds",
        minimum=0.001,
    )


class RolloutTarget(Protocol):
    """Interface of the agent to the rollout of its engine."""

    def desired_state(self) -> DesiredState | None:
        """Return the desired state, or None if the configuration has none."""

    async def count_in_service(self, excluded: set[str], limit: int) -> int:
        """Count the other backend servers of the model that are in service.

        Parameters
        ----------
        excluded : set of str
            VMs that are about to load and do not count.
        limit : int
            Number at which counting stops.
        """

    def out_of_service(self) -> AbstractAsyncContextManager[None]:
        """Return a context in which the agent refuses new requests.

        It is entered once the admitted requests have ended.
        """

    async def refresh_engine_state(self) -> None:
        """Read the engine's state again after an order has changed it."""

    async def wait_change(self) -> None:
        """Wait until the configuration changes."""


class RolloutDriver:
    """Sends pending orders to the engine while it holds a load slot.

    An order is an instruction to load weights or an adapter, or to change the engine's
    role. Load slots limit how many engines load at once.

    Parameters
    ----------
    cfg : RolloutSettings
        Settings.
    engine : EngineClient
        The engine.
    slots : LoadSlots
        Load slots in the platform.
    target : RolloutTarget
        The agent.
    events : EventLog
        Log of the driver's events.
    clock : callable
        Returns monotonic seconds; the same clock as that of ``slots``.
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
        """Send the orders that become pending, until cancelled."""
        while True:
            try:
                changed = await self.step()
            except (PlatformError, EngineError, ClientError, SlotLostError) as exc:
                self._events.emit("rollout_failed", error=str(exc)[:200])
                await trio.sleep(self._cfg.poll_s * self._rng.uniform(0.5, 1.0))
                continue
            if not changed:
                with trio.move_on_after(self._cfg.poll_s):
                    await self._target.wait_change()

    async def step(self) -> bool:
        """Send the pending orders once.

        Returns
        -------
        bool
            False if none was pending, no slot was free, or too few other backend
            servers are in service.

        Raises
        ------
        PlatformError, EngineError, ClientError, SlotLostError
            If no slot could be acquired, the slot's lease may have expired, or an
            order was rejected.
        """
        if not await self._pending_orders():
            return False
        slot = await self._slots.acquire()
        if slot is None:
            await self._slots.wait_change(self._cfg.poll_s)
            return False
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._slots.keep_alive, slot)
                changed = await self._send_pending_orders(slot)
                nursery.cancel_scope.cancel()
        except* (PlatformError, EngineError, ClientError, SlotLostError) as group:
            raise _first_error(group) from None
        finally:
            await self._slots.release(slot)
        return changed

    async def _pending_orders(self) -> list[Order]:
        """Compare the desired state with the engine's present state."""
        desired_state = self._target.desired_state()
        if desired_state is None:
            return []
        return pending_orders(desired_state, await self._engine.state())

    async def _send_pending_orders(self, slot: HeldSlot) -> bool:
        """Send the pending orders; return False if too few servers are in service."""
        for order in await self._pending_orders():
            if not requires_drain(order):
                await self._send_until_applied(order, slot)
            elif await self._enough_others_in_service(slot):
                async with self._target.out_of_service():
                    await self._send_until_applied(order, slot)
            else:
                self._events.emit("rollout_waits", reason="min_in_service")
                # Returning releases the slot, so that other engines can load.
                return False
        return True

    async def _enough_others_in_service(self, slot: HeldSlot) -> bool:
        desired_state = self._target.desired_state()
        required = desired_state.min_in_service if desired_state is not None else 0
        loading = await self._slots.earlier_holders(slot)
        return await self._target.count_in_service(loading, required) >= required

    async def _send_until_applied(self, order: Order, slot: HeldSlot) -> None:
        """Send one order until the engine's state shows its effect.

        An order or its response may be lost in transit. Engines execute a repeated
        order once.
        """
        fenced_order, attempts = attrs.evolve(order, fencing=slot.fencing), 0
        while order in await self._pending_orders():
            # There must be no await between this check and the order, since the lease
            # could expire meanwhile.
            slot.ensure_valid(self._clock())
            attempts += 1
            try:
                await self._engine.send_order(fenced_order)
            except (EngineError, ClientError) as exc:
                self._events.emit("order_failed", kind=order.kind, error=str(exc)[:200])
                if isinstance(exc, EngineError) and exc.status == STALE_FENCING_STATUS:
                    raise
                await trio.sleep(self._cfg.retry_s)
        self._events.emit(
            "order_done", kind=order.kind, fencing=slot.fencing, given=attempts
        )
        await self._target.refresh_engine_state()


def _first_error(group: BaseExceptionGroup) -> BaseException:
    exc: BaseException = group
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return exc
