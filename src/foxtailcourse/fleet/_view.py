"""Last known state of the fleet, and its age."""

from collections.abc import Iterable

import attrs

from foxtailcourse.fleet._types import BackendServer, Configuration
from foxtailcourse.fleet._withdrawn import WithdrawnRuns


@attrs.define
class Freshness:
    """Tracks how current the data from one source is.

    Parameters
    ----------
    as_of : float
        Time up to which every change has been applied, in seconds since boot,
        counting suspension; minus infinity before the first response.
    gapless_since : float
        Since when no change has been missed, in seconds since boot. What was written
        and removed again before the data was read in full is not known.
    """

    as_of: float = float("-inf")
    gapless_since: float = float("-inf")

    def advance(self, as_of: float) -> None:
        """Record that every change up to a time has been applied."""
        self.as_of = max(self.as_of, as_of)

    def age_s(self, now: float) -> float:
        """Return the age of the data in seconds."""
        return now - self.as_of


# Versions of a model's weights that are remembered.
MAX_NAMED_VERSIONS = 32
# Weights count as named recently only while the store's state is at most this old.
MAX_RECENT_STATE_AGE_S = 3.0


@attrs.frozen
class NamedVersion:
    """When the operators named a version of a model's weights.

    Parameters
    ----------
    version : int
        The version.
    since : float
        Earliest time at which it may have been named, in seconds since boot; minus
        infinity if it is unknown.
    read_at : float
        When this process read it, in seconds since boot.
    """

    version: int
    since: float
    read_at: float


@attrs.frozen(kw_only=True)
class DesiredWeights:
    """The weights version of a model that the operators want in service.

    Parameters
    ----------
    model : str
        Name of the model.
    named : tuple of NamedVersion
        The versions that were named, the one to serve last.
    """

    model: str
    named: tuple[NamedVersion, ...]

    @property
    def version(self) -> int:
        """Version to serve."""
        return self.named[-1].version

    def next_named(self, version: int) -> NamedVersion | None:
        """Return what made a version outdated, or None if it is not.

        A version may be named before the previous one is in place everywhere, so the
        oldest one that is newer counts.
        """
        return next((each for each in self.named if each.version > version), None)

    def outdated_since(self, version: int) -> float | None:
        """Return since when newer weights than a version are desired, or None."""
        newer = self.next_named(version)
        return None if newer is None else newer.since


@attrs.define
class FleetView:
    """Last known state of the fleet, which routing and rollouts decide on.

    Parameters
    ----------
    configuration : Configuration or None
        The newest configuration.
    configuration_revision : int
        Store revision at which the configuration was written.
    configuration_era : int
        Era of the store in which it was written.
    configuration_checked : bool
        Whether the other entries were asked for newer configurations since the start.
    newest_version_in_use : int
        Newest version of the configuration that another entry uses.
    configuration_freshness, servers_freshness : Freshness
        Age of the configuration and of the registered servers.
    servers : dict of str to BackendServer
        Registered backend servers by identifier.
    desired_weights : dict of str to DesiredWeights
        Weights versions to serve, by model.
    entries : set of str
        VMs of the entries in service.
    loading : set of str
        Identifiers of the backend servers that load weights or are about to.
    withdrawn : WithdrawnRuns
        Runs of backend servers that get no new requests.
    recent_weights : set of (str, int)
        Models and versions that the store has as named recently; servers with older
        weights may be used.
    """

    configuration: Configuration | None = None
    configuration_revision: int = 0
    configuration_era: int = 0
    configuration_checked: bool = False
    newest_version_in_use: int = 0
    configuration_freshness: Freshness = attrs.field(factory=Freshness)
    servers: dict[str, BackendServer] = attrs.field(factory=dict)
    servers_freshness: Freshness = attrs.field(factory=Freshness)
    desired_weights: dict[str, DesiredWeights] = attrs.field(factory=dict)
    entries: set[str] = attrs.field(factory=set)
    loading: set[str] = attrs.field(factory=set)
    withdrawn: WithdrawnRuns = attrs.field(factory=WithdrawnRuns)
    recent_weights: set[tuple[str, int]] = attrs.field(factory=set)

    @property
    def configuration_outdated(self) -> bool:
        """Whether another entry uses a newer configuration, or may do so."""
        configuration = self.configuration
        return not self.configuration_checked or (
            configuration is not None
            and configuration.version < self.newest_version_in_use
        )

    def apply_configuration(
        self, configuration: Configuration, revision: int, era: int = 0
    ) -> bool:
        """Apply a configuration; return False if it is not newer than the current.

        Revisions are ordered within an era only. A restored store has an older
        configuration until the operators write the newest one again, so across eras
        the operators' version number decides.
        """
        if era < self.configuration_era:
            return False
        current = self.configuration
        if era == self.configuration_era:
            if revision <= self.configuration_revision:
                return False
        elif current is not None and configuration.version < current.version:
            return False
        self.configuration = configuration
        self.configuration_revision, self.configuration_era = revision, era
        return True

    def set_desired_weights(
        self, model: str, version: int, since: float, now: float | None = None
    ) -> bool:
        """Record the version to serve of a model; return whether it is newer.

        Parameters
        ----------
        model : str
            Name of the model.
        version : int
            The version.
        since : float
            Earliest time at which it may have been named, in seconds since boot.
        now : float or None
            Present time in seconds since boot; None if it was just named.
        """
        read_at = since if now is None else now
        current = self.desired_weights.get(model)
        named: tuple[NamedVersion, ...] = ()
        if current is not None:
            if current.version >= version:
                return False
            named = current.named
        if current is None or version > current.version + 1:
            # A version in between may have been named without being read.
            named = (*named, NamedVersion(version - 1, since, read_at))
        named = (*named, NamedVersion(version, since, read_at))
        self.desired_weights[model] = DesiredWeights(
            model=model, named=named[-MAX_NAMED_VERSIONS:]
        )
        return True

    def are_weights_recent(self, model: str, version: int, now: float) -> bool:
        """Whether a version was named so recently that older weights may be used."""
        return (model, version) in self.recent_weights and (
            self.servers_freshness.age_s(now) <= MAX_RECENT_STATE_AGE_S
        )

    def record_loaded_weights(
        self, server_id: str, started_ms: int, model: str, version: int
    ) -> None:
        """Record weights that a server reported loaded but has not yet registered.

        A report from before a restart of the server is ignored; ``started_ms`` tells.
        """
        server = self.servers.get(server_id)
        if server is None or server.started_ms != started_ms:
            return
        if server.weights.get(model, 0) < version:
            weights = {**server.weights, model: version}
            self.servers[server_id] = attrs.evolve(server, weights=weights)

    def accepting_servers(self, service: str) -> Iterable[BackendServer]:
        """Iterate over the servers of a service that accept new requests."""
        for server in self.servers.values():
            if (
                server.service == service
                and not server.leaving
                and server.run not in self.withdrawn
            ):
                yield server
