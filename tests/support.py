"""Shared base classes of the tests."""

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
