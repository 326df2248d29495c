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

    async def catch_error(self, kind: type, call: Callable, *args: object) -> Exception:
        """Return the error of the given type that a call must raise."""
        try:
            await call(*args)
        except kind as exc:
            return exc
        self.fail(f"expected {kind}")


AsyncTest = Callable[..., Awaitable[None]]


def run_with(
    method: str, *args: object, **options: object
) -> Callable[[AsyncTest], Callable]:
    """Turn a coroutine test into a test that a method of its class runs.

    The method takes a coroutine function, which it passes what the test works on, and
    the further arguments.
    """

    def decorate(test: AsyncTest) -> Callable:
        @functools.wraps(test)
        def run(self: testtools.TestCase) -> None:
            getattr(self, method)(functools.partial(test, self), *args, **options)

        return run

    return decorate


def with_server(*args: object, **options: object) -> Callable[[AsyncTest], Callable]:
    """Pass a coroutine test to the case's ``serve`` with these arguments."""
    return run_with("serve", *args, **options)


def run_trio(test: AsyncTest) -> Callable:
    """Run a coroutine test under trio."""
    return run_with("run_async")(test)
