from unittest import mock

import trio
from test_agent_entry import ListedAgent
from testtools.matchers import Equals, GreaterThan

from entry_support import running_entry
from foxtailcourse.agent._context import AgentContext
from standins import make_agent, make_record, start_agent, start_engine
from support import AsyncTestCase

SERVERS = 3
REQUESTS = 30
LEAVING = "palermo-0"


class TestLeavingAgent(AsyncTestCase):
    """Guards against new requests on a leaving backend server (invariant 7).

    Only the agents have the record; the entry still sends requests to the leaving
    backend server, whose agent must refuse them.
    """

    async def count_new_requests(self, nursery):
        """Return the completions of the leaving server, and the response statuses."""
        engines, listed = {}, []
        for number in range(SERVERS):
            vm = f"palermo-{number}"
            engines[vm], backend = await start_engine(nursery)
            agent = make_agent(backend, vm=vm, serves="guide")
            await start_agent(nursery, agent)
            record = make_record(f"backends/{LEAVING}", leaving=True)
            agent.context.store.merge([record])
            listed.append(ListedAgent(agent, "guide"))
        async with running_entry(listed) as entry:
            statuses = set()
            for number in range(REQUESTS):
                content = f"question {number}"
                value = {
                    "model": "guide",
                    "messages": [{"role": "user", "content": content}],
                    "max_tokens": 2,
                }
                status, _, _ = await entry.call("POST", "/v1/chat/completions", value)
                statuses.add(status)
        return engines[LEAVING].completed, statuses

    def check_completions(self, check):
        async def main():
            async with trio.open_nursery() as nursery:
                completed, statuses = await self.count_new_requests(nursery)
                self.assertThat(statuses, Equals({200}))
                check(completed)
                nursery.cancel_scope.cancel()

        self.run_async(main)

    def test_leaving_server_runs_no_new_request(self):
        self.check_completions(lambda completed: self.assertThat(completed, Equals(0)))

    def test_without_the_agents_refusal_it_runs_new_requests(self):
        """Control: an agent that does not refuse runs new requests."""
        with mock.patch.object(AgentContext, "leaving", False):
            self.check_completions(
                lambda completed: self.assertThat(completed, GreaterThan(0))
            )
