"""Contains unexpected errors in the background tasks of a daemon.

A task that fails is logged, counted and started again; the other tasks, and requests
in progress, go on.
"""

import traceback
from collections.abc import Awaitable, Callable, Iterator

import attrs
import trio

from foxtailcourse.observe import EventLog, Metrics

MIN_RESTART_PAUSE_S = 0.1
MAX_RESTART_PAUSE_S = 5.0
# After this time without a failure, a task is started again as after its first one.
STABLE_AFTER_S = 30.0
# Failures of a task within this time of a logged one are counted in the next line.
LOG_SPACING_S = 1.0
# Innermost calls of the traceback that are logged.
LOGGED_FRAMES = 4


@attrs.define
class _History:
    """Recent failures of one task.

    Parameters
    ----------
    pause_s : float
        Latest pause before a restart, in seconds.
    failed_at, logged_at : float
        Times of the latest failure and of the latest one that was logged.
    unlogged : int
        Failures since then.
    """

    pause_s: float = 0.0
    failed_at: float = float("-inf")
    logged_at: float = float("-inf")
    unlogged: int = 0


@attrs.define
class TaskSupervisor:
    """Runs tasks of a daemon, and reports those that fail.

    Parameters
    ----------
    events : EventLog
        Receives ``task_failed`` for each exception, at most one per task in
        LOG_SPACING_S.
    metrics : Metrics
        Counts all exceptions by task.
    clock : callable
        Returns seconds since boot.
    """

    events: EventLog
    metrics: Metrics
    clock: Callable[[], float]
    _histories: dict[str, _History] = attrs.field(factory=dict, init=False)

    async def keep_running(
        self, task: str, run: Callable[..., Awaitable[None]], *args: object
    ) -> None:
        """Run a coroutine function until it returns or is cancelled.

        It is called again after each exception, so a call must not depend on how far
        the one before it came. Tasks with the same name share its pauses.

        Parameters
        ----------
        task : str
            Name of the task in the log and the metrics.
        run : coroutine function
            Called with ``args``.
        """
        while await self.run_contained(task, run, *args):
            pass

    async def run_contained(
        self, task: str, run: Callable[..., Awaitable[None]], *args: object
    ) -> bool:
        """Call a coroutine function once; return whether it failed.

        After a failure it returns only once the pause before a restart is over.
        """
        pause_s = None
        try:
            await run(*args)
        # A cancellation in the same group is raised again after this block.
        except* Exception as group:
            pause_s = self.record_failure(task, group, self.clock())
        if pause_s is None:
            return False
        await trio.sleep(pause_s)
        return True

    def record_failure(self, task: str, exc: BaseException, now: float) -> float:
        """Count and log a failure; return the pause before a restart in seconds."""
        history = self._histories.setdefault(task, _History())
        is_stable = now - history.failed_at >= STABLE_AFTER_S
        history.failed_at = now
        history.pause_s = (
            MIN_RESTART_PAUSE_S
            if is_stable
            else min(MAX_RESTART_PAUSE_S, 2 * history.pause_s)
        )
        self.metrics.count("foxtail_task_failures_total", task=task)
        if now - history.logged_at < LOG_SPACING_S:
            history.unlogged += 1
            return history.pause_s
        for each in _leaves(exc):
            self.events.emit(
                "task_failed",
                task=task,
                error=repr(each),
                where=_describe_frames(each),
                pause_ms=int(history.pause_s * 1000),
                unlogged=history.unlogged or None,
            )
        history.logged_at, history.unlogged = now, 0
        return history.pause_s


def _leaves(exc: BaseException) -> Iterator[BaseException]:
    """Yield the exceptions in a group, or the exception itself."""
    if isinstance(exc, BaseExceptionGroup):
        for each in exc.exceptions:
            yield from _leaves(each)
    else:
        yield exc


def _describe_frames(exc: BaseException) -> str:
    """Return file, line and function of the innermost calls, innermost first."""
    frames = traceback.extract_tb(exc.__traceback__)[-LOGGED_FRAMES:]
    return ",".join(
        f"{each.filename.rpartition('/')[2]}:{each.lineno}({each.name})"
        for each in reversed(frames)
    )
