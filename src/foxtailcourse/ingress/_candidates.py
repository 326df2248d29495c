"""Selects the backend servers that are eligible for an attempt, regardless of cost.

Servers that are leaving (take no new work), suspended after failures or loading weights
get no requests while another server can take them. Weights that have been outdated for
too long are not used at all.
"""

import hashlib
import secrets
from collections.abc import Collection

import attrs

from foxtailcourse.fleet import Account, BackendServer, FleetView
from foxtailcourse.ingress._cache_index import CacheIndex
from foxtailcourse.ingress._fleet_sums import FleetSums
from foxtailcourse.ingress._placement_types import Candidate
from foxtailcourse.ingress._server_limits import ServerLimits
from foxtailcourse.ingress._server_loads import ServerLoads
from foxtailcourse.ingress._server_memory import ServerMemory, held_request
from foxtailcourse.ingress._server_speeds import ServerSpeed, ServerSpeeds
from foxtailcourse.platform import IngressRequest

# Outdated weights are no longer used this long before the platform's limit.
OUTDATED_WEIGHTS_MARGIN_S = 2.0
# Price of a request to a server in another failure domain, in seconds: two messages
# of 1.4 ms each, and as much for the bytes.
OTHER_DOMAIN_DELAY_S = 0.005
# Time until a request reaches its server, and is the next one there.
TRANSIT_S = 0.5
# Fraction of a server's connection limit that all entries use together.
USED_CONNECTIONS_FRACTION = 0.85
# Number of entries that is assumed while none is registered.
ASSUMED_ENTRIES = 8
# Multiple of an even split of these that one entry may use while the others use less.
# If entries do not hear of each other's loads, they use at most the whole limit.
FAIR_SHARE_MULTIPLE = 1.15
DIGEST_SECRET_BYTES = 16


@attrs.frozen(kw_only=True)
class Selection:
    """Eligible servers of one attempt, or the reason why there are none.

    Parameters
    ----------
    candidates : tuple of Candidate
        The eligible servers.
    reason : str
        Short code for logs and metrics; empty if there are candidates.
    available_in_s : float or None
        Time until a server accepts requests again, in seconds, if that is why there are
        none.
    """

    candidates: tuple[Candidate, ...]
    reason: str = ""
    available_in_s: float | None = None


@attrs.define
class CandidateFilter:
    """Selects the backend servers that are eligible for an attempt.

    Parameters
    ----------
    view : FleetView
        Last known state of the fleet.
    loads : ServerLoads
        Loads of the backend servers.
    cache_indexes : dict of str to CacheIndex
        Cache indexes by identifier of the backend server or address of the KV-cache
        store.
    weights_limit_s : float
        Time in seconds after which outdated weights must not be used.
    limits : ServerLimits
        Rate limits that servers name.
    memory : ServerMemory
        Limits the tokens of the requests in progress at each server.
    speeds : ServerSpeeds
        Learned speeds of the servers.
    failure_domain : str
        Name of this entry's failure domain, empty if unknown.
    """

    view: FleetView
    loads: ServerLoads
    cache_indexes: dict[str, CacheIndex]
    weights_limit_s: float
    limits: ServerLimits
    memory: ServerMemory = attrs.field(factory=ServerMemory)
    speeds: ServerSpeeds = attrs.field(factory=lambda: ServerSpeeds(FleetSums()))
    failure_domain: str = ""
    # Servers get a digest of a key that this entry cannot attribute, and not the key.
    _digest_secret: bytes = attrs.field(
        factory=lambda: secrets.token_bytes(DIGEST_SECRET_BYTES), init=False
    )

    def select(
        self,
        service: str,
        model: str,
        account: Account | None,
        tried: Collection[str],
        now: float,
        *,
        version: int | None = None,
        software_version: str | None = None,
        request: IngressRequest | None = None,
    ) -> Selection:
        """Return the servers that are eligible for the next attempt.

        Parameters
        ----------
        service : str
            Service of the request.
        model : str
            Model of the request; empty if the request has none.
        account : Account or None
            Client account of the request.
        tried : collection of str
            Identifiers of the backend servers that this request tried before.
        now : float
            Present time in seconds since boot.
        version : int or None
            The only version of the weights that may resume a stream.
        software_version : str or None
            The only version of the servers' software that may resume a stream.
        request : IngressRequest or None
            The request, of which the memory at the servers is checked.
        """
        serving = [
            each
            for each in self.view.accepting_servers(service)
            if not model or model in each.weights
        ]
        if not serving:
            return Selection(candidates=(), reason="no_server")
        if software_version is not None:
            serving = [e for e in serving if e.software_version == software_version]
            if not serving:
                return Selection(candidates=(), reason="other_software")
        usable = [each for each in serving if self._weights_usable(each, model, now)]
        if not usable:
            return Selection(candidates=(), reason="old_weights")
        if version is not None:
            usable = [e for e in usable if e.weights.get(model) == version]
            if not usable:
                return Selection(candidates=(), reason="other_weights")
        untried = [each for each in usable if each.id not in tried]
        if not untried:
            return Selection(candidates=(), reason="all_tried")
        accepting = [each for each in untried if self._refused_until(each) <= now]
        if not accepting:
            available_at = min(self._refused_until(each) for each in untried)
            return Selection(
                candidates=(),
                reason="servers_refuse",
                available_in_s=available_at - now,
            )
        within_limits = [e for e in accepting if self._limit_wait_s(e, now) == 0]
        if not within_limits:
            waits_s = [self._limit_wait_s(each, now) for each in accepting]
            return Selection(
                candidates=(),
                reason="server_limits",
                available_in_s=min((w for w in waits_s if w is not None), default=None),
            )
        entries = len(self.limits.shares.members(now)) or ASSUMED_ENTRIES
        with_capacity = [
            each for each in within_limits if self._has_capacity(each, entries, now)
        ]
        if not with_capacity:
            return Selection(candidates=(), reason="connection_limit")
        missing = [
            self._missing_tokens(each, model, account, request, entries, now)
            for each in with_capacity
        ]
        with_memory = [
            each
            for each, (tokens, _) in zip(with_capacity, missing, strict=True)
            if not tokens
        ]
        if not with_memory:
            return Selection(
                candidates=(),
                reason="server_memory",
                available_in_s=min(self.memory.retry_after_s(*e) for e in missing),
            )
        not_loading = [each for each in with_memory if each.id not in self.view.loading]
        if not not_loading:
            return Selection(candidates=(), reason="loading_weights")
        healthy = [
            each
            for each in not_loading
            if self.loads.for_server(each.id, each.started_ms).suspended_until <= now
        ]
        speeds = self.speeds.speeds(serving, now)
        candidates = tuple(
            self._candidate(each, model, account, request, now, speeds.get(each.run))
            for each in healthy or not_loading
        )
        return Selection(candidates=candidates)

    def select_responsive(self, selection: Selection, now: float) -> Selection:
        """Return a selection without the suspended and the silent servers."""
        responsive = tuple(
            each
            for each in selection.candidates
            if each.own_load.suspended_until <= now and not each.own_load.is_silent(now)
        )
        reason = "" if responsive else selection.reason or "unresponsive"
        return Selection(candidates=responsive, reason=reason)

    def _refused_until(self, server: BackendServer) -> float:
        """Return until when a server asked for no requests."""
        return self.loads.for_server(server.id, server.started_ms).refused_until

    def _limit_wait_s(self, server: BackendServer, now: float) -> float | None:
        """Return when the limit that a server names allows a request, in seconds.

        It is None if this entry has no share of the limit.
        """
        return self.limits.available_in_s(server.run, now)

    def outdated_s(self, server: BackendServer, model: str, now: float) -> float | None:
        """Return for how long a server's weights have been outdated, in seconds.

        It is None if they are the desired ones.
        """
        desired = self.view.desired_weights.get(model)
        if desired is None:
            return None
        since = desired.outdated_since(server.weights.get(model, 0))
        return None if since is None else now - since

    def _weights_usable(self, server: BackendServer, model: str, now: float) -> bool:
        """Whether weights are the desired ones, or not outdated for too long."""
        desired = self.view.desired_weights.get(model)
        version = server.weights.get(model, 0)
        newer = desired.next_named(version) if desired else None
        if newer is None:
            return True
        limit_s = self.weights_limit_s - self._weights_margin_s(server, now)
        if now - newer.since < limit_s:
            return True
        # What the store has cannot make them younger than their time here.
        return now - newer.read_at < limit_s and self.view.are_weights_recent(
            model, version + 1, now
        )

    def _weights_margin_s(self, server: BackendServer, now: float) -> float:
        """Return how long before the limit a server with outdated weights is left out.

        A request begins once the server has prefilled the prompts before it.
        """
        queued = self.loads.total(server.id, server.started_ms, now).prefill_tokens
        tokens_per_s = self.speeds.tokens_per_s(server)
        return max(OUTDATED_WEIGHTS_MARGIN_S, queued / tokens_per_s + TRANSIT_S)

    def _has_capacity(self, server: BackendServer, entries: int, now: float) -> bool:
        """Whether the connection limit of a server allows another request."""
        configuration = self.view.configuration
        service = configuration.services.get(server.service) if configuration else None
        if service is None or service.connection_limit <= 0:
            return True
        limit = USED_CONNECTIONS_FRACTION * service.connection_limit
        total = self.loads.total(server.id, server.started_ms, now)
        if total.in_flight >= limit:
            return False
        own = self.loads.for_server(server.id, server.started_ms).in_flight
        # Loads of other entries may be missing, so each entry also limits itself.
        return own + 1 <= max(1.0, FAIR_SHARE_MULTIPLE * limit / entries)

    def _missing_tokens(
        self,
        server: BackendServer,
        model: str,
        account: Account | None,
        request: IngressRequest | None,
        entries: int,
        now: float,
    ) -> tuple[int, int]:
        """Return by how many tokens a request exceeds a server, and what it holds."""
        if request is None or not model or not self.memory.enabled:
            return 0, 0
        version = server.weights.get(model, 0)
        salt = self._salt(version, account, request.account_key)
        total = self.loads.total(server.id, server.started_ms, now)
        tokens = self.memory.missing_tokens(
            held_request(request, salt),
            self.loads.for_server(server.id, server.started_ms),
            total,
            self.cache_tokens(server.service),
            entries,
        )
        return tokens, total.held_tokens

    def _salt(
        self, version: int, account: Account | None, account_key: str = ""
    ) -> str:
        """Return the cache salt of a request for a version of the weights."""
        configuration = self.view.configuration
        if account is None and account_key:
            # The key may be that of an account which a newer configuration isolates.
            key = account_key.encode("utf-8", "surrogateescape")
            digest = hashlib.blake2b(key, digest_size=8, key=self._digest_secret)
            return f"{version}?{digest.hexdigest()}"
        if configuration is None:
            return cache_salt(version, account)
        if account is not None and account.name in configuration.isolated:
            # It may have been isolated since the request was authorized.
            account = attrs.evolve(account, isolated=True)
        return cache_salt(version, account, configuration.isolation)

    def cache_tokens(self, service_name: str) -> int:
        """Return the memory of each server of a service in tokens, 0 if unknown."""
        configuration = self.view.configuration
        service = configuration.services.get(service_name) if configuration else None
        return service.cache_tokens if service else 0

    def _candidate(
        self,
        server: BackendServer,
        model: str,
        account: Account | None,
        request: IngressRequest | None,
        now: float,
        speed: ServerSpeed | None,
    ) -> Candidate:
        desired = self.view.desired_weights.get(model)
        version = server.weights.get(model, 0)
        account_key = request.account_key if request is not None else ""
        candidate = Candidate(
            server=server,
            own_load=self.loads.for_server(server.id, server.started_ms),
            total_load=self.loads.total(server.id, server.started_ms, now),
            entry_count=len(self.view.entries) or ASSUMED_ENTRIES,
            cache_index=self.cache_indexes.setdefault(server.id, CacheIndex()),
            salt=self._salt(version, account, account_key) if model else "",
            outdated_weights=desired is not None and version < desired.version,
            transfer_token_s=self._transfer_token_s(server.service),
        )
        return with_speed(candidate, speed, self.failure_domain)

    def _transfer_token_s(self, service_name: str) -> float:
        configuration = self.view.configuration
        service = configuration.services.get(service_name) if configuration else None
        return service.transfer_token_s if service else 0.0


def with_speed(
    candidate: Candidate, speed: ServerSpeed | None, failure_domain: str
) -> Candidate:
    """Return a candidate with the speed of its server.

    Parameters
    ----------
    candidate : Candidate
        The candidate.
    speed : ServerSpeed or None
        Speed of the server; None if the servers of its service count as equal.
    failure_domain : str
        Name of this entry's failure domain, empty if unknown.
    """
    if speed is None:
        return candidate
    is_near = failure_domain in ("", candidate.server.failure_domain)
    return attrs.evolve(
        candidate,
        has_speed=True,
        speed=speed.speed,
        tokens_per_s=speed.per_s,
        latency_s=speed.latency_s,
        delay_s=speed.delay_s + (0.0 if is_near else OTHER_DOMAIN_DELAY_S),
    )


def cache_salt(version: int, account: Account | None, isolation: str = "") -> str:
    """Return the cache salt, which separates weights versions and isolated accounts.

    The salt that other accounts share changes with ``isolation``, as an account may
    have cached parts under it before it was isolated.

    Parameters
    ----------
    version : int
        Version of the weights.
    account : Account or None
        The client account, if it is known.
    isolation : str
        Which accounts are isolated, see ``Configuration``.
    """
    if account is not None and account.isolated:
        return f"{version}/{account.name}"
    return f"{version}.{isolation}" if isolation else str(version)
