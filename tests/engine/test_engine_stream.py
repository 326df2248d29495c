import json

import testtools
import trio
from testtools.matchers import Equals

from foxtailcourse.engine import EngineError
from foxtailcourse.engine._http import HttpEngineStream
from foxtailcourse.http import Framing


def chunk(text):
    """Return one chunk of an engine's stream as a server-sent event."""
    value = {"choices": [{"delta": {"content": text}, "finish_reason": None}]}
    return b"data: " + json.dumps(value).encode() + b"\n\n"


class FakeResponse:
    """An HTTP response whose body arrives in the given reads."""

    headers = {}
    framing = Framing.CHUNKED

    def __init__(self, reads):
        self._reads = reads

    async def iter_chunks(self):
        for data in self._reads:
            yield data


async def read(reads):
    """Return the texts of each batch, and the error that ended the stream."""
    texts = []
    try:
        async for batch in HttpEngineStream(FakeResponse(reads)).batches():
            texts.append([each.text for each in batch])
    except EngineError as exc:
        return texts, exc
    return texts, None


class TestHttpEngineStream(testtools.TestCase):
    """Guards chunks received in the same read as a malformed one or the end.

    An error found while parsing a read must not drop the valid chunks before it.
    """

    def test_chunks_of_one_read_are_one_batch(self):
        data = chunk("a") + chunk("b") + b"data: [DONE]\n\n"
        texts, error = trio.run(read, [data])
        self.assertThat((texts, error), Equals(([["a", "b"]], None)))

    def test_valid_chunks_before_a_malformed_one_are_delivered(self):
        done = b"data: [DONE]\n\n"
        nested = b'data: {"choices":[{"delta":{"content":' + b"[" * 10_000 + b"\n\n"
        for malformed in (
            b"data: {\n\n",
            b"data: \xff\n\n",
            nested,
            done + chunk("late"),
            b"",
        ):
            texts, error = trio.run(read, [chunk("a") + chunk("b") + malformed])
            self.assertThat(texts, Equals([["a", "b"]]))
            self.assertThat(isinstance(error, EngineError), Equals(True))

    def test_chunks_do_not_depend_on_read_boundaries(self):
        data = chunk("a") + chunk("b") + chunk("c") + b"data: [DONE]\n\n"
        for split in range(len(data)):
            texts, error = trio.run(read, [data[:split], data[split:]])
            self.assertThat(sum(texts, []), Equals(["a", "b", "c"]))
            self.assertThat(error, Equals(None))
