"""Types between an agent and the backend server beside it."""

from collections.abc import AsyncGenerator, Mapping, Sequence
from contextlib import AbstractAsyncContextManager
from typing import Any, Protocol

import attrs


class EngineError(Exception):
    """The engine's answer is malformed, cut or an error.

    Parameters
    ----------
    message : str
        What failed.
    status : int
        HTTP status of the engine's answer, 0 without one.
    """

    def __init__(self, message: str, status: int = 0) -> None:
        super().__init__(message)
        self.status = status


@attrs.frozen(kw_only=True)
class EngineRequest:
    """One chat completion for an engine.

    Parameters
    ----------
    request_id : str
        Identifier for ``cancel``.
    body : dict
        Chat request in the OpenAI format.
    cache_salt : str
        Root of the key chain; separates the caches of client accounts.
    block_keys : tuple of bytes, shape (n_blocks,)
        Chained keys of the prompt's full blocks.
    priority : int
        A lower number goes first.
    resume_from : int
        Position of the first token to generate.
    """

    request_id: str
    body: Mapping[str, Any]
    cache_salt: str = ""
    block_keys: tuple[bytes, ...] = ()
    priority: int = 0
    resume_from: int = 0


@attrs.frozen(kw_only=True)
class EngineToken:
    """One chunk of a stream.

    Parameters
    ----------
    data : str
        The chunk as JSON text.
    text : str
        The generated text in it.
    finish_reason : str
        Why the generation ended; empty before the last chunk.
    weights_version : str
        Version that generated it; empty if the engine does not say.
    """

    data: str
    text: str
    finish_reason: str
    weights_version: str


class EngineStream(Protocol):
    """A running completion."""

    incarnation: str
    weights_version: str
    cached_tokens: int

    def batches(self) -> AsyncGenerator[list[EngineToken], None]:
        """Yield the chunks in groups that arrived together, never an empty one.

        Raises
        ------
        EngineError
            After the last good chunk, unless the end is a clean one.
        """


@attrs.frozen(kw_only=True)
class BlockEvent:
    """Blocks were stored in or evicted from the engine's cache.

    Parameters
    ----------
    seq : int
        Number of the event, from 1 in each incarnation, without gaps.
    incarnation : str
        Incarnation that published it.
    stored : bool
        Whether the blocks were stored, else evicted.
    keys : tuple of bytes
        Block keys.
    """

    seq: int
    incarnation: str
    stored: bool
    keys: tuple[bytes, ...]


@attrs.frozen(kw_only=True)
class EventBatch:
    """Answer to a poll for cache events.

    Parameters
    ----------
    incarnation : str
        Incarnation that answered.
    events : tuple of BlockEvent
        In order of publication; late ones of an old incarnation come first.
    last : int
        Number of the last event published so far, 0 if the engine does not say.
    """

    incarnation: str
    events: tuple[BlockEvent, ...]
    last: int = 0


@attrs.frozen(kw_only=True)
class EngineState:
    """What an engine reports about itself; the load lags.

    Parameters
    ----------
    incarnation, weights_version, model, role : str
        Current values.
    adapters : tuple of str
        Loaded adapters.
    running, waiting : int
        Requests in the batch and in the engine's own queue.
    """

    incarnation: str
    weights_version: str
    model: str = ""
    role: str = ""
    adapters: tuple[str, ...] = ()
    running: int = 0
    waiting: int = 0


@attrs.frozen(kw_only=True)
class Order:
    """An order to change an engine's state.

    Parameters
    ----------
    kind : str
        ``load``, ``role``, ``export`` or ``import``.
    fencing : int or None
        Number of the lease that permits the order.
    arguments : dict
        ``version`` and ``adapter`` of a load, ``role``, or ``salt`` and ``keys`` (hex)
        of an export or import.
    """

    kind: str
    fencing: int | None = None
    arguments: Mapping[str, Any] = attrs.field(factory=dict)


class EngineClient(Protocol):
    """Adapter to one model engine."""

    def chat(self, request: EngineRequest) -> AbstractAsyncContextManager[EngineStream]:
        """Start a completion; raises EngineError or ClientError."""

    async def cancel(self, request_id: str) -> None:
        """End a completion that nobody reads any more."""

    async def events(self, after: int, incarnation: str, wait_s: float) -> EventBatch:
        """Return the cache events after a number, waiting for the first."""

    async def state(self) -> EngineState:
        """Return what the engine reports about itself."""

    async def send_order(self, order: Order) -> Mapping[str, Any]:
        """Send an order; raises EngineError if it is rejected."""


@attrs.frozen(kw_only=True)
class ServiceRequest:
    """One call of a plain service.

    Parameters
    ----------
    method, target : str
        Request line.
    headers : dict of str to str
        Header fields for the service.
    body : bytes
        Body of the call.
    timeout_s : float
        Longest wait for the answer.
    """

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    timeout_s: float


@attrs.frozen(kw_only=True)
class ServiceResponse:
    """The whole answer of a plain service.

    Parameters
    ----------
    status : int
        HTTP status.
    content_type : str
        Type of the body.
    body : bytes
        The whole body.
    """

    status: int
    content_type: str
    body: bytes


class ServiceClient(Protocol):
    """Adapter to one plain service."""

    async def call(self, request: ServiceRequest) -> ServiceResponse:
        """Make one call; raises ClientError with its verdict."""


class KvStoreClient(Protocol):
    """Adapter to a KV-cache store."""

    async def held(self, salt: str, keys: Sequence[bytes]) -> int:
        """Return the number of leading blocks that the store holds."""
