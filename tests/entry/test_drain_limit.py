import attrs
import msgspec
import trio
from testtools.matchers import Equals

from entry_support import FakeAgent, running_entry
from support import AsyncTestCase, run_trio


class TestDrainLimit(AsyncTestCase):
    """Guards requests that a stopping entry can no longer finish."""

    @run_trio
    async def test_request_without_an_answer_ends_with_an_error(self):
        async def stop(agent, exchange, attempt):
            entry.daemon.cfg = attrs.evolve(entry.daemon.cfg, drain_limit_s=0.0)
            entry.daemon.stopping.set()
            await trio.sleep_forever()

        async with running_entry([FakeAgent("w0", script=stop)]) as entry:
            status, fields, body = await entry.chat()
        code = msgspec.json.decode(body)["error"]["code"]
        self.assertThat((status, code), Equals((502, "stopping")))
        self.assertThat(fields["foxtail-verdict"], Equals("may-have-run"))
