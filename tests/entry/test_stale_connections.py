from testtools.matchers import Equals

from entry_support import FakeAgent, running_entry, serve_complete
from support import AsyncTestCase


class TestStaleConnections(AsyncTestCase):
    """Guards requests on reused connections that the agent is about to close."""

    def check_statuses(self, aborted, statuses):
        """Send a request for each status to an agent that aborts some attempts."""

        async def script(agent, exchange, attempt):
            if len(agent.attempts) in aborted:
                exchange.abort()
            else:
                await serve_complete(agent, exchange, attempt)

        async def main():
            for stream in (True, False):
                agents = [FakeAgent("w0", script=script)]
                async with running_entry(agents, max_attempts=1) as entry:
                    results = [await entry.chat(stream=stream) for _ in statuses]
                self.assertThat([each[0] for each in results], Equals(statuses))

        self.run_async(main)

    def test_request_on_a_closed_connection_is_repeated_on_a_new_one(self):
        self.check_statuses({2}, [200, 200])

    def test_request_is_repeated_once(self):
        self.check_statuses({2, 3}, [200, 502, 200])

    def test_request_on_a_new_connection_is_not_repeated(self):
        self.check_statuses({1}, [502, 200])
