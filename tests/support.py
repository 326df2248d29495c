"""Shared base classes of the tests."""

import functools
import time
from collections.abc import Awaitable, Callable

import testtools
import trio

from foxtailcourse.observe import EventLog, HybridClock, Metrics
from foxtailcourse.process import TaskSupervisor

TEST_TIMEOUT_S = 60.0


class AsyncTestCase(testtools.TestCase):
    """A test case that runs coroutines under trio.

    It fails if background work fails, which daemons contain, unless the test sets
    ``expects_task_failures``.
    """

    expects_task_failures = False

    def run_async(self, main: Callable[[], Awaitable[None]], **options: object) -> None:
        """Run a coroutine function; raises TooSlowError if it hangs.

        The options are passed to trio.
        """

        async def run_with_timeout() -> None:
            with trio.fail_after(TEST_TIMEOUT_S):
                await main()

        failures: list[BaseException] = []
        record = TaskSupervisor.record_failure

        def collect(
            supervisor: TaskSupervisor, task: str, exc: BaseException, now: float
        ) -> float:
            failures.append(exc)
            return record(supervisor, task, exc, now)

        self.patch(TaskSupervisor, "record_failure", collect)
        trio.run(run_with_timeout, **options)
        if failures and not self.expects_task_failures:
            raise BaseExceptionGroup("background work failed", failures)

    async def catch_error(
        self, error_type: type, call: Callable, *args: object
    ) -> Exception:
        """Return the exception of the given type that a call must raise."""
        try:
            await call(*args)
        except error_type as exc:
            return exc
        self.fail(f"expected {error_type}")


def make_supervisor(clock: Callable[[], float] = time.monotonic) -> TaskSupervisor:
    """Return a supervisor with a log and metrics of its own."""
    return TaskSupervisor(EventLog("test", HybridClock(time.time)), Metrics(), clock)


AsyncTest = Callable[..., Awaitable[None]]


def run_with(
    method: str, *args: object, **options: object
) -> Callable[[AsyncTest], Callable]:
    """Return a decorator that runs a coroutine test through a method of its class.

    The method gets the test as a coroutine function and the further arguments. It
    calls the coroutine function with the objects under test.
    """

    def decorate(test: AsyncTest) -> Callable:
        @functools.wraps(test)
        def run(self: testtools.TestCase) -> None:
            getattr(self, method)(functools.partial(test, self), *args, **options)

        return run

    return decorate


def with_server(*args: object, **options: object) -> Callable[[AsyncTest], Callable]:
    """Return a decorator that runs a coroutine test through ``self.serve``."""
    return run_with("serve", *args, **options)


def run_trio(test: AsyncTest) -> Callable:
    """Run a coroutine test under trio."""
    return run_with("run_async")(test)
