"""Minimal HTTP/1.1 server and client on asyncio, for the stand-ins of the cases."""

import asyncio
import contextlib
import json
from urllib.parse import parse_qs, urlsplit

MAX_HEAD_BYTES = 256 * 1024


class Request:
    """A request that a server received, and the methods that answer it.

    Header names are in lower case.
    """

    def __init__(self, method, target, headers, body, writer):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        split = urlsplit(target)
        self.path = split.path
        self.query = {k: v[-1] for k, v in parse_qs(split.query).items()}
        self.writer = writer
        self.closes = False

    def json(self):
        """Return the decoded body."""
        return json.loads(self.body or b"{}")

    async def respond(self, status, body=b"", headers=None):
        """Send a whole answer."""
        fields = {"content-length": str(len(body))} | (headers or {})
        self.writer.write(_head(f"HTTP/1.1 {status} -", fields) + body)
        await self.writer.drain()

    async def respond_json(self, status, value, headers=None):
        """Send a whole answer with a JSON body."""
        fields = {"content-type": "application/json"} | (headers or {})
        await self.respond(status, json.dumps(value).encode(), fields)

    async def start_chunked(self, status, headers):
        """Send the head of an answer in chunks."""
        fields = {"transfer-encoding": "chunked"} | headers
        self.writer.write(_head(f"HTTP/1.1 {status} -", fields))
        await self.writer.drain()

    async def send_chunk(self, data):
        """Send one chunk."""
        self.writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        await self.writer.drain()

    async def end_chunks(self):
        """Send the end of an answer in chunks."""
        self.writer.write(b"0\r\n\r\n")
        await self.writer.drain()

    def abort(self):
        """Close the connection without an answer."""
        self.closes = True


def _head(first_line, headers):
    lines = [first_line, *(f"{k}: {v}" for k, v in headers.items())]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"


async def _read_head(reader):
    """Return the first line and the headers, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader):
    """Yield the chunks of a body; raises IncompleteReadError if its end is missing."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = (await reader.readexactly(size + 2))[:-2]
        if not size:
            return
        yield data


async def _read_body(reader, headers):
    if headers.get("transfer-encoding") == "chunked":
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Server:
    """Serves a handler on a free loopback port.

    The handler of a request is cancelled when its caller closes the connection.
    """

    def __init__(self, handler):
        self._handler = handler
        self._writers = set()
        self._server = None
        self.host, self.port = "127.0.0.1", 0

    @property
    def address(self):
        """Address as IP:PORT."""
        return f"{self.host}:{self.port}"

    async def start(self):
        """Open the listener, on the same port as before if there was one."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=MAX_HEAD_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def stop(self):
        """Close the listener and reset all connections, as a crash does."""
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        head = await _read_head(reader)
        if head is None:
            return False
        (method, target, _), headers = head[0].split(" "), head[1]
        request = Request(
            method, target, headers, await _read_body(reader, headers), writer
        )
        # Callers here don't send a request before the last one is answered.
        closed = asyncio.ensure_future(reader.read(1))
        work = asyncio.ensure_future(self._handler(request))
        await asyncio.wait({closed, work}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
            await asyncio.wait({closed, work})
            # A reset is a close as well.
            closed.exception()
            return False
        error = work.exception()
        if not closed.done():
            closed.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await closed
        elif closed.exception() is None and closed.result():
            return False
        if error is not None:
            raise error
        return not request.closes


class Answer:
    """What a client got: ``status`` is 0 if the connection ended without an answer.

    ``events`` are the identifiers of the whole events of a stream, and ``complete``
    whether the answer came to its end.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.complete = False
        self.error = ""

    @property
    def events(self):
        """Identifiers of the whole events of a stream."""
        *events, _ = self.body.split(b"\n\n")
        return [
            int(line[3:])
            for event in events
            for line in event.split(b"\n")
            if line.startswith(b"id:")
        ]


async def send(address, method, target, headers, body=b"", timeout_s=10.0, answer=None):
    """Send one request on a new connection and return its Answer.

    Pass an ``answer`` to see what has arrived while the request is in progress.
    """
    answer = answer or Answer()
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=MAX_HEAD_BYTES
            )
            fields = {"content-length": str(len(body)), **headers}
            writer.write(_head(f"{method} {target} HTTP/1.1", fields) + body)
            await writer.drain()
            await _receive(reader, answer)
    except (OSError, EOFError, TimeoutError, ValueError) as exc:
        answer.error = repr(exc)
    finally:
        if writer is not None:
            writer.close()
    return answer


class KeptConnection:
    """A client's connection that is kept for several requests."""

    def __init__(self, address):
        self.address = address
        self.answered = 0
        self._reader = self._writer = None

    async def send(self, method, target, headers, body=b"", timeout_s=10.0):
        """Send a request and return its Answer; the first one opens the connection."""
        answer = Answer()
        try:
            async with asyncio.timeout(timeout_s):
                if self._writer is None:
                    host, _, port = self.address.rpartition(":")
                    self._reader, self._writer = await asyncio.open_connection(
                        host, int(port), limit=MAX_HEAD_BYTES
                    )
                fields = {"content-length": str(len(body)), **headers}
                head = _head(f"{method} {target} HTTP/1.1", fields)
                self._writer.write(head + body)
                await self._writer.drain()
                await _receive(self._reader, answer)
        except (OSError, EOFError, TimeoutError, ValueError) as exc:
            answer.error = repr(exc)
        self.answered += answer.complete
        return answer

    @property
    def is_usable(self):
        """Whether the connection can be used again after the last answer."""
        return self._writer is None or not self._reader.at_eof()

    def close(self):
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()


async def _receive(reader, answer):
    head = await _read_head(reader)
    if head is None:
        raise EOFError("closed without an answer")
    answer.status = int(head[0].split(" ")[1])
    answer.headers = head[1]
    if answer.headers.get("transfer-encoding") == "chunked":
        async for chunk in read_chunks(reader):
            answer.body += chunk
    else:
        length = int(answer.headers.get("content-length", "0"))
        answer.body = await reader.readexactly(length)
    answer.complete = True
