"""Requests, responses and client protocols of an agent's backend server."""

from collections.abc import AsyncGenerator, Mapping, Sequence
from contextlib import AbstractAsyncContextManager
from typing import Any, Protocol

import attrs


class EngineError(Exception):
    """An engine's response is malformed, incomplete or an error.

    Parameters
    ----------
    message : str
        What failed.
    status : int
        HTTP status of an error response; 0 for any other failure.
    ended : bool
        Whether the engine ended the connection before the response was complete.
    """

    def __init__(self, message: str, status: int = 0, *, ended: bool = False) -> None:
        super().__init__(message)
        self.status = status
        self.ended = ended


@attrs.frozen(kw_only=True)
class EngineRequest:
    """One chat completion for an engine.

    Parameters
    ----------
    request_id : str
        Identifier under which :meth:`EngineClient.cancel` finds the completion.
    body : dict
        Chat request in the OpenAI format.
    cache_salt : str
        Root of the chain of block keys, which keeps the cache entries of client
        accounts separate.
    block_keys : tuple of bytes, shape (n_blocks,)
        Chained keys of the prompt's full blocks.
    priority : int
        Scheduling priority; lower numbers are scheduled first.
    resume_from : int
        Position of the first token to generate; earlier ones were already delivered.
    """

    request_id: str
    body: Mapping[str, Any]
    cache_salt: str = ""
    block_keys: tuple[bytes, ...] = ()
    priority: int = 0
    resume_from: int = 0


@attrs.frozen(kw_only=True)
class EngineChunk:
    """One chunk of a streamed completion.

    Parameters
    ----------
    data : str
        The chunk as JSON text.
    text : str
        Text that the chunk adds to the completion.
    finish_reason : str
        Reason why generation ended; empty in all chunks but the last.
    weights_version : str
        Weights version that generated the chunk; empty if not reported.
    """

    data: str
    text: str
    finish_reason: str
    weights_version: str


class EngineStream(Protocol):
    """A completion in progress.

    Attributes
    ----------
    incarnation : str
        Incarnation (start of the engine process) that generates the completion; empty
        if not reported.
    weights_version : str
        Weights version at the start; empty if not reported.
    cached_tokens : int
        Prompt tokens that were found in the engine's cache.
    """

    incarnation: str
    weights_version: str
    cached_tokens: int

    def batches(self) -> AsyncGenerator[list[EngineChunk], None]:
        """Yield the chunks in non-empty batches, each received in one read.

        Raises
        ------
        EngineError
            After the last valid chunk, if the stream is incomplete or malformed.
        """


@attrs.frozen(kw_only=True)
class BlockEvent:
    """Notification of blocks stored in or evicted from the engine's cache.

    Parameters
    ----------
    seq : int
        Sequence number; each incarnation counts from 1 without gaps.
    incarnation : str
        Incarnation that published the event.
    stored : bool
        True for stored blocks, False for evicted ones.
    keys : tuple of bytes
        Block keys.
    """

    seq: int
    incarnation: str
    stored: bool
    keys: tuple[bytes, ...]


@attrs.frozen(kw_only=True)
class EventBatch:
    """Response to a poll for cache events.

    Parameters
    ----------
    incarnation : str
        Incarnation that sent the response.
    events : tuple of BlockEvent
        Events in order of publication; late ones of an earlier incarnation come first.
    last_seq : int
        Sequence number of the last published event; 0 if not reported.
    """

    incarnation: str
    events: tuple[BlockEvent, ...]
    last_seq: int = 0


@attrs.frozen(kw_only=True)
class EngineState:
    """State that an engine reports; its load figures may be out of date.

    Parameters
    ----------
    incarnation, weights_version, model, role : str
        Current incarnation (start of the engine process), weights version, model and
        role (such as ``mixed``).
    adapters : tuple of str
        Adapters that are loaded.
    running, waiting : int
        Numbers of requests in the running batch and in the engine's own queue.
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
    """An instruction that changes an engine's state.

    Parameters
    ----------
    kind : str
        ``load``, ``role``, ``export`` or ``import``.
    fencing : int or None
        Fencing token of the lease under which the order is sent, which lets an engine
        reject an order sent under an older lease; None for an order without a lease.
    arguments : dict
        ``version`` and optionally ``adapter`` of a load, ``role`` of a role change,
        ``salt`` and ``keys`` (hexadecimal) of an export or import.
    """

    kind: str
    fencing: int | None = None
    arguments: Mapping[str, Any] = attrs.field(factory=dict)


class EngineClient(Protocol):
    """Client of one model engine."""

    def chat(self, request: EngineRequest) -> AbstractAsyncContextManager[EngineStream]:
        """Start a completion; raises EngineError or ClientError."""

    async def cancel(self, request_id: str) -> None:
        """Cancel a completion; raises EngineError or ClientError."""

    async def poll_events(
        self, after: int, incarnation: str, wait_s: float
    ) -> EventBatch:
        """Return the cache events after a sequence number.

        Parameters
        ----------
        after : int
            Sequence number of the last event already received.
        incarnation : str
            Incarnation that published it; empty before the first response.
        wait_s : float
            Longest wait for an event, in seconds, if there is none yet.

        Raises
        ------
        EngineError, ClientError
            If the response is an error or malformed, or the call fails.
        """

    async def state(self) -> EngineState:
        """Return the engine's reported state; raises EngineError or ClientError."""

    async def send_order(self, order: Order) -> Mapping[str, Any]:
        """Send an order and return the engine's response.

        Raises EngineError if the order is rejected, ClientError if the call fails.
        """


@attrs.frozen(kw_only=True)
class ServiceRequest:
    """One call of a plain service (a backend server without a model).

    Parameters
    ----------
    method, target : str
        Method and target of the request line.
    headers : dict of str to str
        Header fields.
    body : bytes
        Request body.
    timeout_s : float
        Longest wait for response data, in seconds.
    """

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    timeout_s: float


@attrs.frozen(kw_only=True)
class ServiceResponse:
    """The complete response of a plain service.

    Parameters
    ----------
    status : int
        HTTP status.
    content_type : str
        Media type of the body.
    body : bytes
        The complete body.
    """

    status: int
    content_type: str
    body: bytes


class ServiceClient(Protocol):
    """Client of one plain service."""

    async def call(self, request: ServiceRequest) -> ServiceResponse:
        """Make one call.

        Raises
        ------
        ClientError
            With the verdict whether the service may have run the call.
        """


class KvStoreClient(Protocol):
    """Client of a KV-cache store."""

    async def count_stored_blocks(self, salt: str, keys: Sequence[bytes]) -> int:
        """Return how many of the leading blocks are in the store.

        Parameters
        ----------
        salt : str
            Root of the chain of block keys.
        keys : sequence of bytes, shape (n_blocks,)
            Block keys in prompt order.

        Raises
        ------
        ClientError
            If the call fails.
        """
