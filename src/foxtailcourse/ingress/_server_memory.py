"""Memory of backend servers: the tokens of the requests that they hold.

A server keeps the KV cache of the prompt and of the output of each request in progress,
and crashes if that exceeds its memory. Entries publish how many tokens they hold at
each server, and send nothing that would exceed it.
"""

import math

import attrs

from foxtailcourse.fleet import ServerRun
from foxtailcourse.ingress._server_loads import HeldRequest, ServerLoad, TotalLoad
from foxtailcourse.platform import IngressRequest

# Fraction of a server's memory that all entries use together. Reports of other entries
# are late, and outputs may get longer than their callers expect.
USED_MEMORY_FRACTION = 0.9
# Multiple of an even split of it that one entry uses for more than one request, as the
# reports of other entries may be missing.
OWN_MEMORY_MULTIPLE = 4.0
# A server that had this fraction of its memory in use within NEAR_FULL_S before it
# crashed may have crashed for lack of memory.
NEAR_FULL_FRACTION = 0.75
NEAR_FULL_S = 2.0
# Time for which a request holds memory, until some have ended, and the weight of the
# latest one in the moving average.
ASSUMED_HOLD_S = 1.0
HOLD_WEIGHT = 0.05
MIN_RETRY_AFTER_S = 0.1


def held_request(request: IngressRequest, salt: str) -> HeldRequest:
    """Return what a request holds at a server.

    Its last part belongs to it alone. The output has the length that the caller
    expects, or else the largest one that it allows.

    Parameters
    ----------
    request : IngressRequest
        The request.
    salt : str
        Cache salt of the request at the server; parts with another one are not shared.
    """
    shared = tuple(
        (f"{salt}/{part.id}", part.tokens) for part in request.prompt_parts[:-1]
    )
    own_tokens = sum(part.tokens for part in request.prompt_parts[-1:])
    output_tokens = request.expected_output_tokens or request.max_output_tokens
    return HeldRequest(shared=shared, own_tokens=own_tokens + output_tokens)


@attrs.define
class ServerMemory:
    """Decides whether the memory of servers allows another request.

    Parameters
    ----------
    enabled : bool
        Whether held tokens are counted and limited in this deployment.
    """

    enabled: bool = False
    _hold_s: float = attrs.field(default=ASSUMED_HOLD_S, init=False)
    # When a run was last seen near its memory, in seconds since boot.
    _near_full_at: dict[ServerRun, float] = attrs.field(factory=dict, init=False)

    def missing_tokens(
        self,
        request: HeldRequest,
        own: ServerLoad,
        total: TotalLoad,
        cache_tokens: int,
        entries: int,
    ) -> int:
        """Return by how many tokens a request exceeds what a server has left.

        Parameters
        ----------
        request : HeldRequest
            The request.
        own, total : ServerLoad, TotalLoad
            Load of the server by this entry, and by all.
        cache_tokens : int
            Memory of the server in tokens; 0 if unknown.
        entries : int
            Number of entries that send requests to the server.

        Returns
        -------
        int
            Tokens that must be released first; 0 if the request fits.
        """
        if not self.enabled or cache_tokens <= 0:
            return 0
        added = own.added_tokens(request)
        limit = int(USED_MEMORY_FRACTION * cache_tokens)
        own_limit = limit * min(1.0, OWN_MEMORY_MULTIPLE / max(1, entries))
        missing = total.held_tokens + added - limit
        if own.held_tokens:
            missing = max(missing, math.ceil(own.held_tokens + added - own_limit))
        return max(0, missing)

    def retry_after_s(self, missing_tokens: int, held_tokens: int) -> float:
        """Return when so many of the held tokens are released, in seconds.

        Held tokens are released evenly over the time that a request holds them.
        """
        fraction = min(1.0, missing_tokens / max(1, held_tokens))
        return max(MIN_RETRY_AFTER_S, self._hold_s * fraction)

    def record_released(self, held_s: float) -> None:
        """Record for how long a request held memory, in seconds."""
        self._hold_s += HOLD_WEIGHT * (max(0.0, held_s) - self._hold_s)

    def observe(
        self, run: ServerRun, held_tokens: int, cache_tokens: int, now: float
    ) -> None:
        """Record the held tokens of a run at which something changes."""
        if cache_tokens > 0 and held_tokens >= NEAR_FULL_FRACTION * cache_tokens:
            self._near_full_at[run] = now

    def was_near_full(self, run: ServerRun, now: float) -> bool:
        """Whether a run that broke off may have had too little memory."""
        since = self._near_full_at.get(run, -math.inf)
        return self.enabled and now - since <= NEAR_FULL_S

    def expire(self, runs: set[ServerRun]) -> None:
        """Forget the runs that are not registered any more."""
        self._near_full_at = {k: v for k, v in self._near_full_at.items() if k in runs}
