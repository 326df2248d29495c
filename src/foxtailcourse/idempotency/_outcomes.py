"""Outcome of each idempotency key, stored by the agent until the key expires."""

import enum
import heapq
from collections import OrderedDict

import attrs

from foxtailcourse.engine import ServiceResponse


class KeyDecision(enum.Enum):
    """How to handle a call with a valid key.

    RUN
        The key was unused. Run the call; exactly one call per key gets this decision.
    JOIN
        A call with the key is running. Wait for its outcome.
    REPLAY
        A call with the key has run. Return its stored response.
    UNKNOWN
        A call with the key may have run, or it has run and its response is not
        stored.
    FENCED
        A call with the key was refused as "not run", so no call with it may ever run.
    MISMATCH
        The key was used for another request.
    """

    RUN = "run"
    JOIN = "join"
    REPLAY = "kept"
    UNKNOWN = "unknown"
    FENCED = "fenced"
    MISMATCH = "mismatch"


@attrs.frozen(kw_only=True)
class OutcomeLimits:
    """Bounds of an outcome table.

    Parameters
    ----------
    max_response_bytes : int
        Maximum size of one stored response, in bytes.
    max_stored_bytes : int
        Maximum total size of the stored responses, in bytes; the oldest are evicted
        first.
    """

    max_response_bytes: int = 64 * 1024
    max_stored_bytes: int = 16 * 1024 * 1024


class _State(enum.Enum):
    RUNNING = enum.auto()
    DONE = enum.auto()
    UNKNOWN = enum.auto()
    FENCED = enum.auto()


@attrs.define
class _Outcome:
    """State of a key; the response is None unless it is complete and stored."""

    state: _State
    fingerprint: bytes
    expires_at: float
    response: ServiceResponse | None = None


class OutcomeTable:
    """Table of the outcomes of calls by key identifier; ensures at-most-once execution.

    ``now`` and ``expires_at`` are in seconds on the clock of the key's issuer.

    A key changes from absent to running at most once, and never after a call with it
    was refused as "not run". No key is removed before it expires; the issuer bounds
    the number of keys by refusing to issue more. The table does no I/O: its user
    executes the calls and waits for running ones.

    Parameters
    ----------
    limits : OutcomeLimits
        Bounds of the table.
    """

    def __init__(self, limits: OutcomeLimits) -> None:
        self._limits = limits
        self._outcomes: dict[bytes, _Outcome] = {}
        self._expiries: list[tuple[float, bytes]] = []
        self._response_sizes: OrderedDict[bytes, int] = OrderedDict()
        self.stored_bytes = 0

    def __len__(self) -> int:
        return len(self._outcomes)

    def begin(
        self, ident: bytes, fingerprint: bytes, expires_at: float, now: float
    ) -> KeyDecision:
        """Decide how to handle a call with a valid key, and mark a new key running.

        Parameters
        ----------
        ident : bytes
            Identifier of the key.
        fingerprint : bytes
            Digest of the request.
        expires_at : float
            Expiry time of the key, in seconds.
        now : float
            Present time in seconds, on the clock of ``expires_at``.
        """
        decision = self.peek(ident, fingerprint, expires_at, now)
        if decision is KeyDecision.RUN:
            self._insert(ident, _Outcome(_State.RUNNING, fingerprint, expires_at))
        return decision

    def peek(
        self, ident: bytes, fingerprint: bytes, expires_at: float, now: float
    ) -> KeyDecision:
        """Return the decision of ``begin`` without marking the key as running."""
        self._expire(now)
        outcome = self._outcomes.get(ident)
        if outcome is None:
            # The key may have expired after the issuer checked it, and its outcome
            # may have been removed since.
            return KeyDecision.RUN if now < expires_at else KeyDecision.UNKNOWN
        if outcome.state is _State.FENCED:
            return KeyDecision.FENCED
        if outcome.fingerprint != fingerprint:
            return KeyDecision.MISMATCH
        if outcome.state is _State.RUNNING:
            return KeyDecision.JOIN
        stored = outcome.state is _State.DONE and outcome.response is not None
        return KeyDecision.REPLAY if stored else KeyDecision.UNKNOWN

    def response(self, ident: bytes) -> ServiceResponse | None:
        """Return the stored response of a key, or None."""
        outcome = self._outcomes.get(ident)
        return outcome.response if outcome is not None else None

    def finish(self, ident: bytes, response: ServiceResponse, now: float) -> None:
        """Record the complete response of a running key."""
        outcome = self._running_outcome(ident)
        outcome.state = _State.DONE
        size = len(response.body)
        if size <= self._limits.max_response_bytes:
            outcome.response = response
            self._response_sizes[ident] = size
            self.stored_bytes += size
            self._evict_responses()
        self._expire(now)

    def fail(self, ident: bytes, now: float) -> None:
        """Record that the outcome of a running key is unknown."""
        self._running_outcome(ident).state = _State.UNKNOWN
        self._expire(now)

    def fence(
        self, ident: bytes, fingerprint: bytes, expires_at: float, now: float
    ) -> None:
        """Prevent a key from ever running, so that a "not run" response stays true.

        The parameters are those of ``begin``.

        Raises
        ------
        ValueError
            If a call with the key has run or may have run.
        """
        if ident in self._outcomes:
            self._running_outcome(ident).state = _State.FENCED
        else:
            self._insert(ident, _Outcome(_State.FENCED, fingerprint, expires_at))

    def _running_outcome(self, ident: bytes) -> _Outcome:
        outcome = self._outcomes[ident]
        if outcome.state is not _State.RUNNING:
            raise ValueError(f"key is {outcome.state.name.lower()}, not running")
        return outcome

    def _insert(self, ident: bytes, outcome: _Outcome) -> None:
        self._outcomes[ident] = outcome
        heapq.heappush(self._expiries, (outcome.expires_at, ident))

    def _evict_responses(self) -> None:
        while self.stored_bytes > self._limits.max_stored_bytes:
            ident, size = self._response_sizes.popitem(last=False)
            self.stored_bytes -= size
            self._outcomes[ident].response = None

    def _expire(self, now: float) -> None:
        """Remove expired keys; a running key stays until its call ends."""
        running = []
        while self._expiries and self._expiries[0][0] <= now:
            expires_at, ident = heapq.heappop(self._expiries)
            if self._outcomes[ident].state is _State.RUNNING:
                running.append((expires_at, ident))
                continue
            del self._outcomes[ident]
            self.stored_bytes -= self._response_sizes.pop(ident, 0)
        for each in running:
            heapq.heappush(self._expiries, each)
