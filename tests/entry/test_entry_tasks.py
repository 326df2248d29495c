from testtools.matchers import Equals

from cluster import wait_until
from entry_support import FakeAgent, running_entry, serve_complete
from foxtailcourse.entry import _demand_exchange
from foxtailcourse.entry._app import EntryApp
from foxtailcourse.entry._crash_exchange import CrashExchange
from foxtailcourse.entry._demand_exchange import DemandExchange
from foxtailcourse.http import ClientError, HttpServer
from support import AsyncTestCase


def fail_first(function):
    """Return a coroutine function whose first call raises an error."""
    failed = []

    async def call(*args):
        if not failed:
            failed.append(args)
            raise LookupError("unexpected")
        return await function(*args)

    return call


class TestContainedFailures(AsyncTestCase):
    """Guards against errors that nobody expects and that end the process."""

    expects_task_failures = True

    def run_entry(self, check):
        async def main():
            agents = [FakeAgent("w1", script=serve_complete)]
            async with running_entry(agents) as entry:
                await check(entry)

        self.run_async(main)

    def failed_tasks(self, entry):
        events = entry.daemon.events.recent()
        return {e.fields["task"] for e in events if e.name == "task_failed"}

    def test_entry_serves_after_each_of_its_tasks_has_failed(self):
        owners = (EntryApp, "_follow_config"), (DemandExchange, "run")
        for owner, name in (*owners, (CrashExchange, "run")):
            self.patch(owner, name, fail_first(getattr(owner, name)))

        async def check(entry):
            await wait_until(lambda: len(self.failed_tasks(entry)) == 3)
            exchanged = []
            send = entry.app._demand_exchange.encode_summary
            entry.app._demand_exchange.encode_summary = lambda: (
                exchanged.append(True) or send()
            )
            status, _, _ = await entry.chat()
            self.assertThat(status, Equals(200))
            await wait_until(lambda: exchanged)

        self.patch(_demand_exchange, "EXCHANGE_INTERVAL_S", 0.05)
        self.run_entry(check)

    def test_connection_that_fails_ends_alone(self):
        async def check(entry):
            serve = HttpServer._serve_requests
            self.patch(HttpServer, "_serve_requests", fail_first(serve))
            await self.catch_error(ClientError, entry.chat)
            self.assertThat(self.failed_tasks(entry), Equals({"serve_connection"}))
            status, _, _ = await entry.chat()
            self.assertThat(status, Equals(200))

        self.run_entry(check)
