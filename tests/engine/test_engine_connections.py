import trio
from testtools.matchers import Equals

from foxtailcourse.engine import EngineRequest, HttpEngineClient, Order
from foxtailcourse.settings import Address
from support import AsyncTestCase

HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: %s\r\ncontent-length: %d\r\n\r\n"


class LateCopyEngine:
    """Sends another copy of its last response when a connection is used again."""

    async def serve(self, stream):
        last = b""
        async with stream:
            while request := await stream.receive_some(65536):
                await stream.send_all(last)
                last = self.respond(request)
                await stream.send_all(last)

    def respond(self, request):
        if b"POST /orders" in request:
            body, kind = b'{"request": %d}' % request.count(b"second"), b"text/json"
        else:
            name = b"second" if b"second" in request else b"first"
            choice = b'{"delta":{"content":"%s"},"finish_reason":"stop"}' % name
            body = b'data: {"choices":[%s]}\n\ndata: [DONE]\n\n' % choice
            kind = b"text/event-stream"
        return HEAD % (kind, len(body)) + body


class TestEngineConnections(AsyncTestCase):
    """Guards callers against responses that the engine sends twice, and late."""

    def with_engine(self, check):
        async def main():
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = listeners[0].socket.getsockname()[1]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    trio.serve_listeners, LateCopyEngine().serve, listeners
                )
                client = HttpEngineClient(Address("127.0.0.1", port))
                await check(client)
                await client.aclose()
                nursery.cancel_scope.cancel()

        self.run_async(main)

    def test_completion_is_not_that_of_the_request_before(self):
        async def check(client):
            for name in ("first", "second"):
                request = EngineRequest(request_id=name, body={"n": name})
                async with client.chat(request) as stream:
                    text = [c.text async for batch in stream.batches() for c in batch]
                self.assertThat("".join(text), Equals(name))

        self.with_engine(check)

    def test_response_to_an_order_is_not_that_of_the_order_before(self):
        async def check(client):
            for number, name in enumerate(("first", "second")):
                order = Order(kind="x", arguments={"n": name})
                response = await client.send_order(order)
                self.assertThat(response["request"], Equals(number))

        self.with_engine(check)
