"""Shared base classes of the tests."""

import functools
from collections.abc import Awaitable, Callable

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

    async def fails(self, kind: type, call: Callable, *args: object) -> Exception:
        """Return the error of the given type that a call must raise."""
        try:
            await call(*args)
        except kind as exc:
            return exc
        self.fail(f"expected {kind}")


def run_with(method: str) -> Callable[[Callable[..., Awaitable[None]]], Callable]:
    """Turn a coroutine test into a test that a method of its class runs.

    The method takes a coroutine function and passes it what the test works on.
    """

    def decorate(test: Callable[..., Awaitable[None]]) -> Callable:
        @functools.wraps(test)
        def run(self: testtools.TestCase) -> None:
            getattr(self, method)(functools.partial(test, self))

        return run

    return decorate
