"""Exchange of demand between entries, which slices the limits of the accounts."""

import itertools
from collections.abc import Awaitable, Callable

import msgspec
import trio

from foxtailcourse.config import ConfigStore
from foxtailcourse.control import PeerError
from foxtailcourse.observe import Metrics
from foxtailcourse.sharing import AccountLimiter, DemandSummary

TOPIC = "demand"
INTERVAL_S = 0.5
# Bounds the traffic of each entry; the others get their turn in the next rounds.
MAX_PEERS = 16

Send = Callable[[str, dict[str, bytes]], Awaitable[dict[str, bytes]]]


class DemandExchange:
    """Tells the other entries this one's demand and takes in theirs.

    Parameters
    ----------
    vm : str
        VM of this entry.
    store : ConfigStore
        Lists the entries.
    limiter : AccountLimiter
        Measures the demand and applies the slices.
    send : callable
        Sends summaries to a VM and returns its own; raises PeerError.
    metrics : Metrics
        Counts exchanges.
    """

    def __init__(
        self,
        vm: str,
        store: ConfigStore,
        limiter: AccountLimiter,
        send: Send,
        metrics: Metrics,
    ) -> None:
        self._vm = vm
        self._store = store
        self._limiter = limiter
        self._send = send
        self._metrics = metrics
        self._rounds = itertools.count()

    def answer(self, vm: str, payload: bytes) -> bytes:
        """Take in another entry's summary and return this one's.

        Raises
        ------
        ValueError
            If the payload is malformed or speaks for another entry.
        """
        self._take(vm, payload)
        return self._summary()

    async def run(self) -> None:
        """Exchange summaries with the other entries until cancelled."""
        while True:
            await trio.sleep(INTERVAL_S)
            payload = self._summary()
            async with trio.open_nursery() as nursery:
                for vm in self._peers():
                    nursery.start_soon(self._exchange, vm, payload)

    def _peers(self) -> list[str]:
        view = self._store.view
        others = sorted(
            each.vm
            for each in view.entries()
            if each.vm != self._vm and not view.is_leaving(each.vm)
        )
        if len(others) <= MAX_PEERS:
            return others
        first = next(self._rounds) * MAX_PEERS % len(others)
        return (others[first:] + others[:first])[:MAX_PEERS]

    async def _exchange(self, vm: str, payload: bytes) -> None:
        result = "ok"
        try:
            topics = await self._send(vm, {TOPIC: payload})
            self._take(vm, topics.get(TOPIC, b""))
        except (PeerError, ValueError):
            # The limiter keeps its slice and gives up what the peer may claim.
            result = "failed"
        self._metrics.count("foxtail_entry_exchanges_total", result=result)

    def _summary(self) -> bytes:
        return msgspec.msgpack.encode(self._limiter.demand(trio.current_time()))

    def _take(self, vm: str, payload: bytes) -> None:
        try:
            summary = msgspec.msgpack.decode(payload, type=DemandSummary)
        except msgspec.DecodeError as exc:
            raise ValueError(f"summary of {vm} is malformed: {exc}") from exc
        if summary.entry != vm:
            raise ValueError(f"{vm} sent a summary of {summary.entry}")
        self._limiter.set_shares([summary], trio.current_time())
