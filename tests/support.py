"""Shared base classes of the tests."""

import functools
from collections.abc import Awaitable, Callable
from typing import Any

import testtools
import trio

GENEROUS_S = 60.0


class AsyncTestCase(testtools.TestCase):
    """A test case that runs coroutines under trio."""

    def run_async(self, main: Callable[[], Awaitable[None]]) -> None:
        """Run a coroutine function; a hang ends the test with an error."""

        async def bounded() -> None:
            with trio.fail_after(GENEROUS_S):
                await main()

        trio.run(bounded)


def served(*args: Any, **options: Any) -> Callable[[Any], Any]:
    """Pass an async test method to the case's ``serve`` with these arguments."""

    def decorate(method: Any) -> Any:
        @functools.wraps(method)
        def run(case: Any) -> None:
            case.serve(functools.partial(method, case), *args, **options)

        return run

    return decorate


def run_trio(method: Any) -> Any:
    """Run an async test method under trio."""

    @functools.wraps(method)
    def run(case: Any) -> None:
        case.run_async(functools.partial(method, case))

    return run
