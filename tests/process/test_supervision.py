import time

import testtools
import trio
from testtools.matchers import Contains, Equals

from foxtailcourse.observe import EventLog, HybridClock, Metrics
from foxtailcourse.process import TaskSupervisor
from foxtailcourse.process._supervision import (
    LOG_SPACING_S,
    MAX_RESTART_PAUSE_S,
    MIN_RESTART_PAUSE_S,
    STABLE_AFTER_S,
)
from support import AsyncTestCase

NOW = 1000.0


def task_failed(supervisor):
    """Return the fields of the logged failures."""
    return [e.fields for e in supervisor.events.recent() if e.name == "task_failed"]


def supervise(clock=time.monotonic):
    log = EventLog("test", HybridClock(time.time))
    return TaskSupervisor(log, Metrics(), clock)


class TestRestarts(AsyncTestCase):
    """Guards against one failed task that ends the process, and against lost errors."""

    expects_task_failures = True

    def test_failed_task_is_started_again_and_others_go_on(self):
        async def main():
            supervisor, calls, ticks = supervise(), [], []

            async def fail_twice():
                calls.append(trio.current_time())
                if len(calls) < 3:
                    raise UnicodeError("label too long")

            async def tick():
                for _ in range(10):
                    ticks.append(None)
                    await trio.sleep(0.05)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(supervisor.keep_running, "poll", fail_twice)
                nursery.start_soon(supervisor.keep_running, "tick", tick)
            self.assertThat((len(calls), len(ticks)), Equals((3, 10)))
            self.assertTrue(calls[1] - calls[0] >= MIN_RESTART_PAUSE_S)
            (logged,) = task_failed(supervisor)
            self.assertThat(logged["task"], Equals("poll"))
            self.assertThat(logged["error"], Equals("UnicodeError('label too long')"))
            self.assertThat(logged["where"], Contains("fail_twice"))
            self.assertThat(
                supervisor.metrics.render()[0],
                Contains(b'foxtail_task_failures_total{task="poll"} 2'),
            )

        self.run_async(main)

    def test_cancelled_task_whose_child_fails_ends_and_is_logged(self):
        async def main():
            supervisor, calls = supervise(), []

            async def fail_at_cancellation():
                try:
                    await trio.sleep_forever()
                finally:
                    raise RuntimeError("while closing")

            async def run():
                calls.append(None)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(fail_at_cancellation)
                    await trio.sleep_forever()

            with trio.move_on_after(0.05) as scope:
                await supervisor.keep_running("closing", run)
            self.assertTrue(scope.cancelled_caught)
            self.assertThat(len(calls), Equals(1))
            self.assertThat(len(task_failed(supervisor)), Equals(1))

        self.run_async(main)

    def test_each_error_of_a_group_is_logged(self):
        async def main():
            supervisor = supervise()

            async def fail(exc):
                raise exc

            async def run():
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(fail, KeyError("a"))
                    nursery.start_soon(fail, ValueError("b"))

            self.assertTrue(await supervisor.run_contained("two", run))
            errors = {each["error"] for each in task_failed(supervisor)}
            self.assertThat(errors, Equals({"KeyError('a')", "ValueError('b')"}))

        self.run_async(main)


class TestPauses(testtools.TestCase):
    """Guards against a task that fails at once each time and fills the log."""

    def test_pause_grows_to_its_limit_and_starts_anew_once_stable(self):
        supervisor, now, pauses = supervise(), NOW, []
        for _ in range(10):
            pauses.append(supervisor.record_failure("a", ValueError(), now))
            now += pauses[-1]
        self.assertThat(pauses[0], Equals(MIN_RESTART_PAUSE_S))
        self.assertThat(pauses, Equals(sorted(pauses)))
        self.assertThat(pauses[-1], Equals(MAX_RESTART_PAUSE_S))
        other = supervisor.record_failure("b", ValueError(), now)
        self.assertThat(other, Equals(MIN_RESTART_PAUSE_S))
        later = supervisor.record_failure("a", ValueError(), now + STABLE_AFTER_S)
        self.assertThat(later, Equals(MIN_RESTART_PAUSE_S))

    def test_failures_in_quick_succession_share_a_line(self):
        supervisor = supervise()
        for number in range(100):
            now = NOW + number * LOG_SPACING_S / 50
            supervisor.record_failure("a", ValueError(), now)
        logged = task_failed(supervisor)
        self.assertThat([e.get("unlogged") for e in logged], Equals([None, "49"]))
        self.assertThat(
            supervisor.metrics.render()[0],
            Contains(b'foxtail_task_failures_total{task="a"} 100'),
        )
