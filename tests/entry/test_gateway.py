from functools import partial

import msgspec
from testtools.matchers import Contains, Equals, Not

from entry_support import FakeAgent, record, running_entry, serve_complete
from support import AsyncTestCase

CHAT = "/v1/chat/completions"
HELLO = [{"role": "user", "content": "ciao"}]


class TestGateway(AsyncTestCase):
    """Guards against unclear errors and against requests that run after a refusal."""

    def test_streamed_and_complete_responses_reach_the_caller(self):
        async def main():
            async with running_entry([FakeAgent("w1"), FakeAgent("w2")]) as entry:
                status, fields, body = await entry.chat(max_tokens=3)
                self.assertThat(status, Equals(200))
                self.assertThat(fields["foxtail-server"][:1], Equals("w"))
                self.assertThat(body.count(b"id: "), Equals(3))
                self.assertThat(body[-14:], Equals(b"data: [DONE]\n\n"))
                status, _, body = await entry.chat(stream=False)
                self.assertThat((status, b"ciao" in body), Equals((200, True)))

        self.run_async(main)

    def test_each_bad_request_is_refused_without_running(self):
        good = {"model": "guide", "messages": HELLO}
        cases = [
            (401, "invalid_api_key", CHAT, good, {"key": "wrong"}),
            (401, "invalid_api_key", CHAT, good, {"key": ""}),
            (404, "unknown_model", CHAT, good | {"model": "x"}, {}),
            (404, "unknown_model", CHAT, good | {"model": "absent"}, {}),
            (403, "forbidden_model", CHAT, good | {"model": "other"}, {}),
            (400, "invalid_request", CHAT, good | {"messages": []}, {}),
            (400, "invalid_request", CHAT, good | {"max_tokens": 0}, {}),
            (400, "invalid_request", CHAT, good | {"stream": "yes"}, {}),
            (400, "invalid_request", CHAT, [], {}),
            (400, "malformed_json", CHAT, None, {"body": b"{"}),
            (413, "body_too_large", CHAT, None, {"body": b" " * 30_000}),
            (404, "unknown_route", "/services/x/y", {}, {}),
            (400, "malformed_target", "/services/seats/%2e%2e/coats", {}, {}),
            (404, "unknown_path", "/v1/other", {}, {}),
        ]

        async def main():
            agent = FakeAgent("w1")
            async with running_entry([agent]) as entry:
                other = {"model": "other", "weights_version": "v1"}
                entry.store.merge([record("models/other", other)])
                for status, code, target, value, options in cases:
                    response = await entry.call("POST", target, value, **options)
                    error = msgspec.json.decode(response[2])["error"]
                    self.assertThat(
                        (response[0], error["code"]), Equals((status, code))
                    )
                    self.assertThat(response[1]["foxtail-verdict"], Equals("not-run"))
                    self.assertThat(response[1], Contains("foxtail-request-id"))
            self.assertThat(agent.attempts, Equals([]))

        self.run_async(main)

    def test_models_are_those_of_the_contract(self):
        async def main():
            async with running_entry([]) as entry:
                _, _, body = await entry.call("GET", "/v1/models")
                models = [each["id"] for each in msgspec.json.decode(body)["data"]]
                self.assertThat(models, Equals(["guide"]))

        self.run_async(main)

    def test_credentials_are_not_sent_to_backend_servers(self):
        async def main():
            agent = FakeAgent("c1", serves="seats")
            async with running_entry([agent]) as entry:
                await entry.call("GET", "/services/seats/9", cookie="c", x_date="5")
            sent = agent.headers[0]
            self.assertThat(sent.get("authorization"), Equals(None))
            self.assertThat(sent.get("cookie"), Equals(None))
            self.assertThat(sent["x-date"], Equals("5"))

        self.run_async(main)

    def test_unframed_reply_of_an_agent_is_not_taken_for_a_whole_one(self):
        async def close_early(agent, exchange, attempt):
            exchange.end_with_connection()
            fields = agent.reply_fields(attempt) | {"content-type": "text/plain"}
            await exchange.start_stream(200, fields, b"half of")
            await exchange.end_stream()

        async def main():
            agent = FakeAgent("c1", serves="seats", script=close_early)
            async with running_entry([agent]) as entry:
                status, _, body = await entry.call("GET", "/services/seats/9")
            self.assertThat(status, Equals(502))
            self.assertThat(body, Not(Contains(b"half of")))

        self.run_async(main)

    def test_higher_revision_in_a_reply_is_passed_to_the_follower(self):
        async def reply_with_higher_revision(agent, exchange, attempt):
            fields = agent.reply_fields(attempt, config_revision=7)
            await exchange.respond_json(200, {}, fields)

        async def main():
            async with running_entry(
                [FakeAgent("w1", script=reply_with_higher_revision)]
            ) as entry:
                await entry.chat(stream=False)
                self.assertThat(entry.config.peer_revisions, Equals([(7, "w1")]))

        self.run_async(main)

    def test_entry_without_configuration_refuses_without_running(self):
        async def main():
            agent = FakeAgent("w1")
            async with running_entry([agent]) as entry:
                entry.config.ready = False
                status, fields, _ = await entry.chat()
                self.assertThat(status, Equals(503))
                self.assertThat(fields["foxtail-verdict"], Equals("not-run"))
                self.assertThat(fields["retry-after"], Equals("1"))
                self.assertFalse(entry.app.readiness().ready)
            self.assertThat(agent.attempts, Equals([]))

        self.run_async(main)


async def refuse_loading(agent, exchange, attempt):
    await agent.refuse(exchange, attempt, "loading", 503)


async def refuse_other_version(agent, exchange, attempt):
    if attempt.weights_version not in ("", agent.version):
        await agent.refuse(exchange, attempt, "weights_version", 503)
        return
    await serve_complete(agent, exchange, attempt)


class TestWeightsChange(AsyncTestCase):
    """Guards against a refusal while a server with outdated weights is in service."""

    def test_server_in_service_is_tried_after_a_loading_one(self):
        """With swapped names, the loading server is ranked first in one of the runs."""

        async def main(loading, serving):
            agents = [
                FakeAgent(loading, script=refuse_loading),
                FakeAgent(serving, script=refuse_other_version),
            ]
            async with running_entry(agents) as entry:
                body = {"model": "guide", "weights_version": "v2"}
                entry.store.merge([record("models/guide", body, 2)])
                status, _, _ = await entry.chat()
                self.assertThat(status, Equals(200))

        for names in (("a", "b"), ("b", "a")):
            self.run_async(partial(main, *names))
