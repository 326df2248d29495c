"""Which backend servers may take an attempt, before cost is considered.

Answers leaving, crashed and loading servers: none of them gets work while another can
take it, and weights that have been replaced for too long are not used at all.
"""

from collections.abc import Collection

import attrs

from foxtailcourse.fleet import Account, BackendServer, FleetView
from foxtailcourse.ingress._cache_index import CacheIndex
from foxtailcourse.ingress._placement import Candidate
from foxtailcourse.ingress._server_loads import ServerLoads

# Old weights are no longer used this long before the platform's bound.
OUTDATED_WEIGHTS_MARGIN_S = 2.0
# Part of a server's connection limit that the entries use together.
USED_CONNECTIONS_FRACTION = 0.85
ASSUMED_ENTRIES = 8
# Even shares of a server's connections that one entry may use while others use less.
FAIR_SHARE_MULTIPLE = 1.5


@attrs.frozen(kw_only=True)
class Selection:
    """Candidates of one attempt, or why there are none."""

    candidates: tuple[Candidate, ...]
    reason: str = ""


@attrs.define
class CandidateFilter:
    """Selects candidates.

    Parameters
    ----------
    view : FleetView
        The fleet.
    loads : ServerLoads
        Loads of the backend servers.
    held : dict of str to CacheIndex
        Cache index by backend server.
    weights_limit_s : float
        Time after which old weights must not be used.
    """

    view: FleetView
    loads: ServerLoads
    cache_indexes: dict[str, CacheIndex]
    weights_limit_s: float

    def select(
        self,
        service: str,
        model: str,
        account: Account | None,
        tried: Collection[str],
        now: float,
        *,
        version: int | None = None,
    ) -> Selection:
        """Return the servers that may take the next attempt.

        Parameters
        ----------
        version : int or None
            The only version of the weights that may go on with a stream.
        """
        serving = [
            each
            for each in self.view.accepting_servers(service)
            if not model or model in each.weights
        ]
        if not serving:
            return Selection(candidates=(), reason="no_server")
        current = [each for each in serving if self._weights_usable(each, model, now)]
        if not current:
            return Selection(candidates=(), reason="old_weights")
        if version is not None:
            current = [e for e in current if e.weights.get(model) == version]
            if not current:
                return Selection(candidates=(), reason="other_weights")
        untried = [each for each in current if each.id not in tried]
        if not untried:
            return Selection(candidates=(), reason="all_tried")
        with_capacity = [each for each in untried if self._has_capacity(each, now)]
        if not with_capacity:
            return Selection(candidates=(), reason="connection_limit")
        not_loading = [
            each for each in with_capacity if each.id not in self.view.loading
        ]
        if not not_loading:
            return Selection(candidates=(), reason="loading_weights")
        healthy = [
            each
            for each in not_loading
            if self.loads.for_server(each.id, each.started_ms).suspended_until <= now
        ]
        candidates = tuple(
            self._candidate(each, model, account, now)
            for each in healthy or not_loading
        )
        return Selection(candidates=candidates)

    def _weights_usable(self, server: BackendServer, model: str, now: float) -> bool:
        desired = self.view.desired_weights.get(model)
        if desired is None or server.weights.get(model, 0) >= desired.version:
            return True
        limit_s = self.weights_limit_s - OUTDATED_WEIGHTS_MARGIN_S
        return now - desired.desired_since < limit_s

    def _has_capacity(self, server: BackendServer, now: float) -> bool:
        configuration = self.view.configuration
        service = configuration.services.get(server.service) if configuration else None
        if service is None or service.connection_limit <= 0:
            return True
        limit = USED_CONNECTIONS_FRACTION * service.connection_limit
        total = self.loads.total(server.id, server.started_ms, now)
        if total.in_flight >= limit:
            return False
        entries = len(self.view.entries) or ASSUMED_ENTRIES
        own = self.loads.for_server(server.id, server.started_ms).in_flight
        # What other entries send may not be known, so each keeps to a share as well.
        return own < max(1.0, FAIR_SHARE_MULTIPLE * limit / entries)

    def _candidate(
        self, server: BackendServer, model: str, account: Account | None, now: float
    ) -> Candidate:
        desired = self.view.desired_weights.get(model)
        version = server.weights.get(model, 0)
        return Candidate(
            server=server,
            own_load=self.loads.for_server(server.id, server.started_ms),
            total_load=self.loads.total(server.id, server.started_ms, now),
            entry_count=len(self.view.entries) or ASSUMED_ENTRIES,
            cache_index=self.cache_indexes.setdefault(server.id, CacheIndex()),
            salt=cache_salt(version, account) if model else "",
            outdated_weights=desired is not None and version < desired.version,
        )


def cache_salt(version: int, account: Account | None) -> str:
    """Return the salt that separates weights versions and isolated accounts."""
    if account is not None and account.isolated:
        return f"{version}/{account.name}"
    return str(version)
