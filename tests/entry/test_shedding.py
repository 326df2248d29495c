import hashlib

from testtools.matchers import Equals, GreaterThan

from entry_support import CONTRACT, FakeAgent, record, running_entry
from foxtailcourse.protocol import Verdict
from support import AsyncTestCase

OTHER_KEY = "secret-museo"
RETRY_AFTER_MS = 60_000


async def refuse_for_capacity(agent, exchange, attempt):
    fields = agent.reply_fields(attempt, Verdict.NOT_RUN, retry_after_ms=RETRY_AFTER_MS)
    error = {"error": {"message": "busy", "code": "deadline"}}
    await exchange.respond_json(503, error, fields)


class TestShedding(AsyncTestCase):
    """Guards busy backend servers against requests like those they just refused."""

    def run_entry(self, check, **settings):
        async def main():
            agents = [FakeAgent(f"w{i}", script=refuse_for_capacity) for i in range(3)]
            async with running_entry(agents, **settings) as entry:
                body = CONTRACT | {
                    "client_account": "museo",
                    "key_sha256": [hashlib.sha256(OTHER_KEY.encode()).hexdigest()],
                }
                entry.store.merge([record("contracts/museo", body)])
                await check(entry, lambda: sum(len(a.attempts) for a in agents))

        self.run_async(main)

    def test_second_request_is_refused_without_an_attempt(self):
        async def check(entry, count_attempts):
            await entry.chat()
            first_count = count_attempts()
            self.assertThat(first_count, Equals(3))
            status, headers, body = await entry.chat()
            self.assertThat((status, count_attempts()), Equals((503, first_count)))
            self.assertThat(headers["foxtail-verdict"], Equals("not-run"))
            self.assertThat(int(headers["foxtail-retry-after-ms"]), GreaterThan(0))
            self.assertIn(b"no_capacity", body)

        self.run_entry(check, refusal_memory_s=RETRY_AFTER_MS / 1000)

    def test_request_of_another_account_is_sent(self):
        async def check(entry, count_attempts):
            await entry.chat()
            first_count = count_attempts()
            await entry.chat(key=OTHER_KEY)
            self.assertThat(count_attempts(), GreaterThan(first_count))

        self.run_entry(check, refusal_memory_s=RETRY_AFTER_MS / 1000)

    def test_without_recorded_refusals_each_request_is_sent(self):
        """Control: without recorded refusals, the second request is sent too."""

        async def check(entry, count_attempts):
            await entry.chat()
            first_count = count_attempts()
            await entry.chat()
            self.assertThat(count_attempts(), GreaterThan(first_count))

        self.run_entry(check, refusal_memory_s=0.0)
