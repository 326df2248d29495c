import json

import testtools
import trio
from testtools.matchers import Equals

from foxtailcourse.engine import EngineError
from foxtailcourse.engine._http import HttpEngineStream


def chunk(text):
    """Return one event of an engine's stream."""
    value = {"choices": [{"delta": {"content": text}, "finish_reason": None}]}
    return b"data: " + json.dumps(value).encode() + b"\n\n"


class Response:
    """A response head with a body in given pieces."""

    headers = {}

    def __init__(self, pieces):
        self._pieces = pieces

    async def iter_chunks(self):
        for piece in self._pieces:
            yield piece


async def read(pieces):
    """Return the texts of all batches and the error that ended the stream."""
    texts = []
    try:
        async for batch in HttpEngineStream(Response(pieces)).batches():
            texts.append([token.text for token in batch])
    except EngineError as exc:
        return texts, exc
    return texts, None


class TestHttpEngineStream(testtools.TestCase):
    """Guards chunks that share a piece with a fault or with the end."""

    def test_chunks_of_one_piece_are_one_batch(self):
        piece = chunk("a") + chunk("b") + b"data: [DONE]\n\n"
        texts, error = trio.run(read, [piece])
        self.assertThat((texts, error), Equals(([["a", "b"]], None)))

    def test_good_chunks_before_a_fault_are_delivered_first(self):
        done = b"data: [DONE]\n\n"
        for fault in (b"data: {\n\n", b"data: \xff\n\n", done + chunk("late"), b""):
            texts, error = trio.run(read, [chunk("a") + chunk("b") + fault])
            self.assertThat(texts, Equals([["a", "b"]]))
            self.assertThat(isinstance(error, EngineError), Equals(True))

    def test_batches_do_not_depend_on_the_byte_boundaries(self):
        data = chunk("a") + chunk("b") + chunk("c") + b"data: [DONE]\n\n"
        for cut in range(len(data)):
            texts, error = trio.run(read, [data[:cut], data[cut:]])
            self.assertThat(sum(texts, []), Equals(["a", "b", "c"]))
            self.assertThat(error, Equals(None))
