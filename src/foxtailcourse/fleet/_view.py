"""What a process believes about the fleet, and how old each belief is."""

from collections.abc import Iterable

import attrs

from foxtailcourse.fleet._types import BackendServer, Configuration


@attrs.define
class Freshness:
    """Age of one source of news.

    Parameters
    ----------
    as_of : float
        Time before which every change is known, in seconds since boot, counting
        suspension; minus infinity before the first answer.
    """

    as_of: float = float("-inf")

    def advance(self, as_of: float) -> None:
        """Note that everything up to a time is known."""
        self.as_of = max(self.as_of, as_of)

    def age_s(self, now: float) -> float:
        """Return the age in seconds."""
        return now - self.as_of


@attrs.frozen(kw_only=True)
class DesiredWeights:
    """The version of a model's weights that operators want in service."""

    model: str
    version: int
    desired_since: float


@attrs.define
class FleetView:
    """The state that decisions read; changed by the followers of the platform.

    Parameters
    ----------
    configuration : Configuration or None
        The newest configuration.
    configuration_revision : int
        Revision of the store at which it was written.
    """

    configuration: Configuration | None = None
    configuration_revision: int = 0
    configuration_freshness: Freshness = attrs.field(factory=Freshness)
    servers: dict[str, BackendServer] = attrs.field(factory=dict)
    servers_freshness: Freshness = attrs.field(factory=Freshness)
    desired_weights: dict[str, DesiredWeights] = attrs.field(factory=dict)
    entries: set[str] = attrs.field(factory=set)
    loading: set[str] = attrs.field(factory=set)

    def apply_configuration(self, configuration: Configuration, revision: int) -> bool:
        """Take a configuration unless a newer one is held; return whether it was."""
        if revision <= self.configuration_revision:
            return False
        self.configuration = configuration
        self.configuration_revision = revision
        return True

    def set_desired_weights(self, model: str, version: int, now: float) -> bool:
        """Note the version wanted of a model; return whether it is a newer one."""
        known = self.desired_weights.get(model)
        if known is not None and known.version >= version:
            return False
        self.desired_weights[model] = DesiredWeights(
            model=model, version=version, desired_since=now
        )
        return True

    def record_loaded_weights(
        self, server_id: str, started_ms: int, model: str, version: int
    ) -> None:
        """Note weights that a server reported before it registered them."""
        server = self.servers.get(server_id)
        if server is None or server.started_ms != started_ms:
            return
        if server.weights.get(model, 0) < version:
            weights = {**server.weights, model: version}
            self.servers[server_id] = attrs.evolve(server, weights=weights)

    def accepting_servers(self, service: str) -> Iterable[BackendServer]:
        """Iterate over the servers of a service that take new work."""
        for server in self.servers.values():
            if server.service == service and not server.leaving:
                yield server
