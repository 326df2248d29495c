import time

import attrs
import msgspec
import trio
from testtools.matchers import Equals

from cluster import wait_until
from entry_support import KEY, FakeAgent, running_entry
from foxtailcourse.idempotency import KeyIssuer
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

    async def send_late(self, entry, method, target, body, **fields):
        """Send a head, and the body once the listeners have closed; return all."""
        head = {
            "host": "e",
            "authorization": f"Bearer {KEY}",
            "content-length": str(len(body)),
        }
        head |= {name.replace("_", "-"): text for name, text in fields.items()}
        lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in head.items())]
        address = entry.address
        async with await trio.open_tcp_stream(address.host, address.port) as conn:
            await conn.send_all("\r\n".join([*lines, "\r\n"]).encode())
            await trio.sleep(0.05)
            entry.daemon.stopping.set()
            await wait_until(lambda: entry.app._server._accept_scope.cancel_called)
            await conn.send_all(body)
            received = b""
            while data := await conn.receive_some(65536):
                received += data
        return received.lower()

    async def check_late(self, agent, method, target, body, verdict, **fields):
        """Send a late request while an entry stops; it must not reach the agent."""
        async with running_entry([agent]) as entry:
            entry.daemon.cfg = attrs.evolve(
                entry.daemon.cfg, drain_grace_s=0.2, drain_limit_s=2.0
            )
            received = await self.send_late(entry, method, target, body, **fields)
        self.assertThat(received[:13], Equals(b"http/1.1 503 "), received)
        self.assertIn(b'"stopping"', received)
        self.assertIn(b"foxtail-verdict: " + verdict, received)
        self.assertThat(agent.attempts, Equals([]))

    @run_trio
    async def test_late_stream_that_may_not_end_in_time_is_refused_before_it_runs(self):
        value = {
            "model": "guide",
            "messages": [{"role": "user", "content": "ciao"}],
            "stream": True,
            "max_tokens": 5,
        }
        await self.check_late(
            FakeAgent("w0"),
            "POST",
            "/v1/chat/completions",
            msgspec.json.encode(value),
            b"not-run",
        )

    @run_trio
    async def test_late_call_with_a_key_is_not_sent_without_the_time_to_end_it(self):
        key = KeyIssuer("c0", 60.0, 10).issue("teatro", time.monotonic())
        await self.check_late(
            FakeAgent("c0", serves="coats"),
            "POST",
            "/services/coats/return",
            b"{}",
            b"may-have-run",
            idempotency_key=key,
        )
