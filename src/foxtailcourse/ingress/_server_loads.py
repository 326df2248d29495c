"""Load and health of backend servers."""

import copy

import attrs
import trio

# Suspension of an unreachable server; it doubles with each failure in a row.
INITIAL_SUSPENSION_S = 0.4
MAX_SUSPENSION_S = 3.0
# Weight of the latest outcome in the moving average of the failure rate.
FAILURE_WEIGHT = 0.2
# The failure rate halves in this time without outcomes, so that the server gets new
# requests again.
FAILURE_HALF_LIFE_S = 3.0
# A server that sent any byte to this entry within this time is busy, not unresponsive.
SERVER_ALIVE_S = 0.6
# Loads published by another entry expire after this time.
REMOTE_VALID_S = 1.5


@attrs.frozen(kw_only=True)
class HeldRequest:
    """Memory that a request in progress takes at its server.

    Parameters
    ----------
    shared : tuple of tuple
        Key and tokens of each part that requests in progress may share.
    own_tokens : int
        Tokens of the rest of the prompt and of the expected output.
    """

    shared: tuple[tuple[str, int], ...] = ()
    own_tokens: int = 0


@attrs.frozen(kw_only=True)
class RemoteLoad:
    """Load of a backend server by the requests of another entry.

    Parameters
    ----------
    prefill_tokens : float
        Prompt tokens still to prefill.
    in_flight : int
        Requests sent and not finished.
    short_prompts : int
        Short prompts among them.
    received_at : float
        When the load was received, in seconds since boot.
    held_tokens : int
        Tokens of the prompts and expected outputs in progress.
    """

    prefill_tokens: float
    in_flight: int
    short_prompts: int
    received_at: float
    held_tokens: int = 0


@attrs.frozen(kw_only=True)
class TotalLoad:
    """Load of a backend server by the requests of all known entries.

    Parameters
    ----------
    prefill_tokens : float
        Prompt tokens still to prefill.
    in_flight : int
        Requests sent and not finished.
    short_prompts : int
        Short prompts among them.
    held_tokens : int
        Tokens of the prompts and expected outputs in progress.
    others_age_s : float
        Mean age of what is known of the requests of other entries, in seconds.
    """

    prefill_tokens: float
    in_flight: int
    short_prompts: int
    held_tokens: int = 0
    others_age_s: float = 0.0


@attrs.define
class ServerLoad:
    """Load and health of one backend server, from the requests of this entry.

    Parameters
    ----------
    in_flight : int
        Requests sent and not finished.
    short_prompts : int
        Short prompts among them.
    prefill_tokens : float
        Prompt tokens still to prefill for them.
    suspended_until : float
        Time until which the server gets requests only if all others are suspended, in
        seconds since boot.
    refused_until : float
        Time until which the server asked for no requests, in seconds since boot.
    last_progress_at : float
        When the server last sent any byte, in seconds since boot.
    held_tokens : int
        Tokens of the prompts and expected outputs in progress. A part that several
        requests share counts once.
    answered_sent_at : float
        When the latest request that the server has answered was sent, in seconds since
        boot.
    """

    in_flight: int = 0
    short_prompts: int = 0
    prefill_tokens: float = 0.0
    suspended_until: float = 0.0
    refused_until: float = 0.0
    last_progress_at: float = float("-inf")
    held_tokens: int = 0
    answered_sent_at: float = float("-inf")
    # Requests in progress with each shared part, and its tokens.
    _held_parts: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    _consecutive_failures: int = 0
    _failure_rate: float = 0.0
    _failure_rate_at: float = 0.0

    def failure_rate(self, now: float) -> float:
        """Return the moving average of failed requests, from 0 to 1."""
        return self._failure_rate * 0.5 ** (
            (now - self._failure_rate_at) / FAILURE_HALF_LIFE_S
        )

    def added_tokens(self, request: HeldRequest) -> int:
        """Return by how much a request would raise the held tokens."""
        missing = (n for key, n in request.shared if key not in self._held_parts)
        return request.own_tokens + sum(missing)

    def hold(self, request: HeldRequest) -> None:
        """Add a request in progress to the held tokens."""
        self.held_tokens += self.added_tokens(request)
        for key, tokens in request.shared:
            count, counted_tokens = self._held_parts.get(key, (0, tokens))
            self._held_parts[key] = (count + 1, counted_tokens)

    def release(self, request: HeldRequest) -> None:
        """Remove a request that was added before."""
        self.held_tokens -= request.own_tokens
        for key, _ in request.shared:
            count, tokens = self._held_parts.pop(key)
            if count > 1:
                self._held_parts[key] = (count - 1, tokens)
            else:
                self.held_tokens -= tokens

    def is_silent(self, now: float) -> bool:
        """Whether the server has requests of this entry and sends nothing."""
        return self.in_flight > 0 and now - self.last_progress_at >= SERVER_ALIVE_S

    def record_answered(self, sent_at: float) -> None:
        """Record the head of a response to a request that was sent at a time."""
        self.answered_sent_at = max(self.answered_sent_at, sent_at)

    def record_success(self, now: float) -> None:
        """Record a response."""
        self._update_failure_rate(now, 0.0)
        self._consecutive_failures = 0
        self.suspended_until = 0.0

    def record_failure(self, now: float) -> None:
        """Record a request that the server aborted or answered with an error."""
        self._update_failure_rate(now, 1.0)

    def record_unreachable(self, now: float) -> None:
        """Record a failed connection, or a request without any response."""
        self._update_failure_rate(now, 1.0)
        suspension_s = INITIAL_SUSPENSION_S * 2**self._consecutive_failures
        self.suspended_until = now + min(suspension_s, MAX_SUSPENSION_S)
        self._consecutive_failures = min(self._consecutive_failures + 1, 8)

    def record_refusal(self, now: float, suspension_s: float) -> None:
        """Record that the server refused a request; suspend it for ``suspension_s``."""
        self.suspended_until = max(self.suspended_until, now + suspension_s)

    def record_retry_after(self, now: float, retry_after_s: float) -> None:
        """Record that the server asked for no requests for a time, in seconds."""
        self.refused_until = max(self.refused_until, now + retry_after_s)

    def _update_failure_rate(self, now: float, outcome: float) -> None:
        """Add an outcome, 1.0 for a failure and 0.0 for a success."""
        previous = self.failure_rate(now) * (1 - FAILURE_WEIGHT)
        self._failure_rate = previous + FAILURE_WEIGHT * outcome
        self._failure_rate_at = now


@attrs.define
class _RemoteLoads:
    """Loads that other entries published for one server, and their sums.

    The sums are maintained incrementally, so that a selection among many servers does
    not add up the loads of many entries for each of them.
    """

    by_vm: dict[str, RemoteLoad] = attrs.field(factory=dict)
    prefill_tokens: float = 0.0
    in_flight: int = 0
    short_prompts: int = 0
    held_tokens: int = 0
    # Sum of the times at which the requests in flight were received.
    received_sum: float = 0.0
    # Lower bound of the times at which the loads were received.
    oldest_at: float = float("inf")

    def update(self, vm: str, load: RemoteLoad) -> None:
        """Replace the load of an entry."""
        previous = self.by_vm.get(vm)
        if previous is not None:
            self._add(previous, -1)
        self.by_vm[vm] = load
        self._add(load, 1)
        self.oldest_at = min(self.oldest_at, load.received_at)

    def expire(self, now: float) -> None:
        """Remove loads that were not published again in time."""
        if now - self.oldest_at < REMOTE_VALID_S:
            return
        self.by_vm = {
            vm: load
            for vm, load in self.by_vm.items()
            if now - load.received_at < REMOTE_VALID_S
        }
        self.prefill_tokens, self.in_flight, self.short_prompts = 0.0, 0, 0
        self.held_tokens = 0
        self.received_sum = 0.0
        for load in self.by_vm.values():
            self._add(load, 1)
        times = (load.received_at for load in self.by_vm.values())
        self.oldest_at = min(times, default=float("inf"))

    def _add(self, load: RemoteLoad, sign: int) -> None:
        self.prefill_tokens += sign * load.prefill_tokens
        self.in_flight += sign * load.in_flight
        self.short_prompts += sign * load.short_prompts
        self.held_tokens += sign * load.held_tokens
        self.received_sum += sign * load.in_flight * load.received_at

    def age_s(self, now: float) -> float:
        """Return the mean age of the requests in flight, in seconds."""
        if self.in_flight <= 0:
            return 0.0
        return max(0.0, now - self.received_sum / self.in_flight)


class ServerLoads:
    """Loads of all backend servers.

    Each run of a server has a load of its own. The start time ``started_ms`` tells the
    runs of a server with the same identifier apart.

    Attributes
    ----------
    changed : trio.Event
        Set when the load by this entry's requests changes.
    """

    def __init__(self) -> None:
        self._loads: dict[tuple[str, int], ServerLoad] = {}
        self._remote: dict[str, _RemoteLoads] = {}
        self.changed = trio.Event()

    def for_server(self, server_id: str, started_ms: int) -> ServerLoad:
        """Return this entry's load on one run of a backend server."""
        return self._loads.setdefault((server_id, started_ms), ServerLoad())

    def own_rows(self) -> list[tuple[str, int, int, int, int]]:
        """Return this entry's loads as rows of a :class:`LoadRelay`."""
        return [
            (
                server_id,
                int(load.prefill_tokens),
                load.in_flight,
                load.short_prompts,
                load.held_tokens,
            )
            for (server_id, _), load in self._loads.items()
            if load.in_flight
        ]

    def update_remote(self, vm: str, server_id: str, load: RemoteLoad) -> None:
        """Replace the load that another entry published for a server."""
        self._remote.setdefault(server_id, _RemoteLoads()).update(vm, load)

    def total(self, server_id: str, started_ms: int, now: float) -> TotalLoad:
        """Return the load by this entry and by unexpired updates of other entries."""
        own = self.for_server(server_id, started_ms)
        others = self._remote.get(server_id)
        if others is None:
            return TotalLoad(
                prefill_tokens=own.prefill_tokens,
                in_flight=own.in_flight,
                short_prompts=own.short_prompts,
                held_tokens=own.held_tokens,
            )
        others.expire(now)
        return TotalLoad(
            prefill_tokens=own.prefill_tokens + others.prefill_tokens,
            in_flight=own.in_flight + others.in_flight,
            short_prompts=own.short_prompts + others.short_prompts,
            held_tokens=own.held_tokens + others.held_tokens,
            others_age_s=others.age_s(now),
        )

    def published_age_s(self, server_id: str, now: float) -> float | None:
        """Return the age of the oldest load that another entry published for a server.

        It is in seconds, and None if there is none.
        """
        others = self._remote.get(server_id)
        times = [e.received_at for e in others.by_vm.values()] if others else []
        return now - min(times) if times else None

    def snapshot(self) -> "ServerLoads":
        """Return a copy on which decisions can be evaluated without a request."""
        result = ServerLoads()
        result._loads = dict(self._loads)
        result._remote = {k: copy.copy(each) for k, each in self._remote.items()}
        return result

    def discard_unregistered(self, registered: set[tuple[str, int]]) -> None:
        """Discard the loads of idle servers that are no longer registered.

        Parameters
        ----------
        registered : set of tuple
            Identifier and start time in milliseconds of each registered server.
        """
        unregistered = [
            key
            for key, load in self._loads.items()
            if key not in registered and load.in_flight == 0
        ]
        for key in unregistered:
            del self._loads[key]
        server_ids = {server_id for server_id, _ in registered}
        for server_id in self._remote.keys() - server_ids:
            del self._remote[server_id]
