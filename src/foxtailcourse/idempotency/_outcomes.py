"""What an agent remembers of each key until the key expires."""

import enum
import heapq
from collections import OrderedDict

import attrs

from foxtailcourse.engine import ServiceResponse


class KeyDecision(enum.Enum):
    """What to do with a call that shows a valid key.

    RUN
        The key was unused and is now running; exactly one call gets this.
    JOIN
        The key is running; wait for its outcome.
    KEPT
        The key has run and its response is kept.
    UNKNOWN
        The key may have run, or has run and its response is not kept.
    FENCED
        A call with the key was answered that it did not run; so it never will.
    MISMATCH
        The key belongs to another request.
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
        Largest response kept.
    max_kept_bytes : int
        Responses kept in all; the oldest are dropped first.
    """

    max_response_bytes: int = 64 * 1024
    max_kept_bytes: int = 16 * 1024 * 1024


class _State(enum.Enum):
    RUNNING = enum.auto()
    DONE = enum.auto()
    UNKNOWN = enum.auto()
    FENCED = enum.auto()


@attrs.define
class _Outcome:
    state: _State
    fingerprint: bytes
    expires_at: float
    response: ServiceResponse | None = None


class OutcomeTable:
    """Outcomes by key identifier.

    A key goes from absent to running at most once, and never after a call with it
    was answered "not run". No key is forgotten before it expires; their number is
    bounded by the issuer, which stops issuing. The table does no I/O; the caller runs
    the call and waits for running ones.

    Parameters
    ----------
    limits : OutcomeLimits
        Bounds.
    """

    def __init__(self, limits: OutcomeLimits) -> None:
        self._limits = limits
        self._outcomes: dict[bytes, _Outcome] = {}
        self._expiries: list[tuple[float, bytes]] = []
        self._kept: OrderedDict[bytes, int] = OrderedDict()
        self.kept_bytes = 0

    def __len__(self) -> int:
        return len(self._outcomes)

    def begin(
        self, ident: bytes, fingerprint: bytes, expires_at: float, now: float
    ) -> KeyDecision:
        """Decide about a call with a key that the issuer found valid.

        Parameters
        ----------
        ident : bytes
            Identifier of the key.
        fingerprint : bytes
            Digest of the request.
        expires_at : float
            Expiry of the key.
        now : float
            Current time on the clock of ``expires_at``.
        """
        decision = self.peek(ident, fingerprint, expires_at, now)
        if decision is KeyDecision.RUN:
            self._remember(ident, _Outcome(_State.RUNNING, fingerprint, expires_at))
        return decision

    def peek(
        self, ident: bytes, fingerprint: bytes, expires_at: float, now: float
    ) -> KeyDecision:
        """Return what ``begin`` would decide, and begin nothing."""
        self._expire(now)
        held = self._outcomes.get(ident)
        if held is None:
            # The key may have expired since the issuer checked it, and its outcome
            # was then forgotten.
            return KeyDecision.RUN if now < expires_at else KeyDecision.UNKNOWN
        if held.state is _State.FENCED:
            return KeyDecision.FENCED
        if held.fingerprint != fingerprint:
            return KeyDecision.MISMATCH
        if held.state is _State.RUNNING:
            return KeyDecision.JOIN
        kept = held.state is _State.DONE and held.response is not None
        return KeyDecision.REPLAY if kept else KeyDecision.UNKNOWN

    def response(self, ident: bytes) -> ServiceResponse | None:
        """Return the kept response of a key."""
        held = self._outcomes.get(ident)
        return held.response if held is not None else None

    def finish(self, ident: bytes, response: ServiceResponse, now: float) -> None:
        """Note the whole response of a running key."""
        held = self._running(ident)
        held.state = _State.DONE
        size = len(response.body)
        if size <= self._limits.max_response_bytes:
            held.response = response
            self._kept[ident] = size
            self.kept_bytes += size
            self._drop_responses()
        self._expire(now)

    def fail(self, ident: bytes, now: float) -> None:
        """Note that the outcome of a running key is unknown."""
        self._running(ident).state = _State.UNKNOWN
        self._expire(now)

    def fence(
        self, ident: bytes, fingerprint: bytes, expires_at: float, now: float
    ) -> None:
        """Make sure that a key never runs, so that "not run" is true for good.

        Parameters are those of ``begin``.

        Raises
        ------
        ValueError
            If the key has run or may have run.
        """
        if ident in self._outcomes:
            self._running(ident).state = _State.FENCED
        else:
            self._remember(ident, _Outcome(_State.FENCED, fingerprint, expires_at))

    def _running(self, ident: bytes) -> _Outcome:
        held = self._outcomes[ident]
        if held.state is not _State.RUNNING:
            raise ValueError(f"key is {held.state.name.lower()}, not running")
        return held

    def _remember(self, ident: bytes, outcome: _Outcome) -> None:
        self._outcomes[ident] = outcome
        heapq.heappush(self._expiries, (outcome.expires_at, ident))

    def _drop_responses(self) -> None:
        while self.kept_bytes > self._limits.max_kept_bytes:
            ident, size = self._kept.popitem(last=False)
            self.kept_bytes -= size
            self._outcomes[ident].response = None

    def _expire(self, now: float) -> None:
        """Forget expired keys; a running one is kept until it ends."""
        running = []
        while self._expiries and self._expiries[0][0] <= now:
            expires_at, ident = heapq.heappop(self._expiries)
            if self._outcomes[ident].state is _State.RUNNING:
                running.append((expires_at, ident))
                continue
            del self._outcomes[ident]
            self.kept_bytes -= self._kept.pop(ident, 0)
        for each in running:
            heapq.heappush(self._expiries, each)
