"""Tasks that wait for their turn in a queue discipline."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import attrs
import trio

from foxtailcourse.sharing import QueuedRequest, Refusal, RequestQueue

EXPIRED_RETRY_AFTER_MS = 500


class RefusedError(Exception):
    """The queue refused a request; it did not run."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.code)
        self.refusal = refusal


@attrs.define
class Slot:
    """A started request.

    Parameters
    ----------
    generated_tokens : int
        Tokens generated so far, for the queue's accounts.
    on_first_token : callable or None
        Called with the first token.
    """

    generated_tokens: int = 0
    on_first_token: Callable[[], None] | None = None

    def generated(self, tokens: int) -> None:
        """Note the tokens generated so far."""
        if not self.generated_tokens and self.on_first_token is not None:
            self.on_first_token()
        self.generated_tokens = tokens


@attrs.define
class _Waiter:
    woken: trio.Event = attrs.field(factory=trio.Event)
    refused: bool = False


class Scheduler:
    """Starts waiting tasks as the queue says.

    Parameters
    ----------
    queue : RequestQueue
        The queue discipline.
    clock : callable
        Returns the time on the clock of the requests' deadlines.
    first_token : callable or None
        Told the attempt and time of a first token, if the queue uses it.
    """

    def __init__(
        self,
        queue: RequestQueue,
        clock: Callable[[], float],
        first_token: Callable[[str, float], None] | None = None,
    ) -> None:
        self.queue = queue
        self._first_token = first_token
        self._clock = clock
        self._waiters: dict[str, _Waiter] = {}
        self._paused = 0
        self._idle = trio.Event()

    @asynccontextmanager
    async def start(self, request: QueuedRequest) -> AsyncIterator[Slot]:
        """Wait for the turn of a request and hold its slot.

        Raises
        ------
        RefusedError
            If the queue refuses the request or its deadline passes while it waits.
        """
        decision = self.queue.offer(request, self._clock())
        if isinstance(decision, Refusal):
            raise RefusedError(decision)
        waiter = self._waiters[request.attempt_id] = _Waiter()
        slot = Slot(on_first_token=lambda: self._note_first_token(request.attempt_id))
        try:
            self._pump()
            await self._wait(waiter, request.deadline)
            yield slot
        finally:
            del self._waiters[request.attempt_id]
            self._end(request, waiter, slot)

    def _note_first_token(self, attempt_id: str) -> None:
        if self._first_token is not None:
            self._first_token(attempt_id, self._clock())

    async def _wait(self, waiter: _Waiter, deadline: float) -> None:
        while not waiter.woken.is_set():
            with trio.move_on_after(max(0.0, deadline - self._clock())):
                await waiter.woken.wait()
            if not waiter.woken.is_set():
                self._pump()
                # A queue that keeps a request past its deadline is asked again.
                with trio.move_on_after(0.01):
                    await waiter.woken.wait()
        if waiter.refused:
            raise RefusedError(
                Refusal(code="deadline", retry_after_ms=EXPIRED_RETRY_AFTER_MS)
            )

    def _end(self, request: QueuedRequest, waiter: _Waiter, slot: Slot) -> None:
        now = self._clock()
        if not waiter.woken.is_set():
            self.queue.withdraw(request.attempt_id, now)
        elif not waiter.refused:
            self.queue.finish(request.attempt_id, slot.generated_tokens, now)
        if not self.queue.running:
            self._idle.set()
            self._idle = trio.Event()
        self._pump()

    def _pump(self) -> None:
        now = self._clock()
        for expired in self.queue.expire(now):
            self._wake(expired, refused=True)
        while not self._paused:
            request = self.queue.take(now)
            if request is None:
                break
            self._wake(request, refused=False)

    def _wake(self, request: QueuedRequest, refused: bool) -> None:
        waiter = self._waiters[request.attempt_id]
        waiter.refused = refused
        waiter.woken.set()

    @asynccontextmanager
    async def quiet(self) -> AsyncIterator[None]:
        """Start no request, and enter once the started ones have ended."""
        self._paused += 1
        try:
            while self.queue.running:
                await self._idle.wait()
            yield
        finally:
            self._paused -= 1
            self._pump()
