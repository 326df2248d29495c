"""Applies what the store and the backend servers say to the state of the fleet."""

import math
from collections.abc import Callable

from foxtailcourse.fleet import (
    BackendServer,
    CallerLimits,
    Configuration,
    FleetView,
    ServerRun,
)
from foxtailcourse.ingress._membership import MEMBERSHIP_PREFIX, Membership
from foxtailcourse.ingress._part_records import (
    BLOCKED_PARTS_PREFIX,
    CRASHES_PREFIX,
)
from foxtailcourse.ingress._recent_weights import (
    RECENT_WEIGHTS_PREFIX,
    parse_recent_weights_key,
)
from foxtailcourse.ingress._software_records import (
    SOFTWARE_PREFIX,
    SoftwareRecordError,
)
from foxtailcourse.ingress._store_watcher import ApplyChange, StoreState
from foxtailcourse.ingress._stream_origins import SoftwareHistory
from foxtailcourse.observe import EventLog, Metrics
from foxtailcourse.platform import RecordDispatcher
from foxtailcourse.process import TaskSupervisor


class FleetUpdates:
    """Applies changes of the store's records, and servers' statements that they leave.

    Parameters
    ----------
    view : FleetView
        Last known state of the fleet.
    software : SoftwareHistory
        Recent software versions of each service.
    membership : Membership
        Registered entries and leader.
    publish_leaving : callable
        Tells the other entries that a run of a server leaves.
    apply_limits : callable
        Applies limits on callers.
    clock : callable
        Returns seconds since boot.
    events : EventLog
        Receives an event for each change.
    metrics : Metrics
        Counts unreadable records.
    supervisor : TaskSupervisor
        Reports a record that cannot be applied for an unexpected reason.

    Attributes
    ----------
    state : StoreState
        Which state of the store the changes belong to.
    on_parts_record : callable
        Called with the key and the value of a changed record of a crash or a block.
    on_software_record : callable
        Called with the key, the value and the revision of a changed record of software
        versions; raises SoftwareRecordError.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        software: SoftwareHistory,
        membership: Membership,
        publish_leaving: Callable[[ServerRun], None],
        apply_limits: Callable[[CallerLimits], None],
        clock: Callable[[], float],
        events: EventLog,
        metrics: Metrics,
        supervisor: TaskSupervisor,
    ) -> None:
        self._view = view
        self._software = software
        self._membership = membership
        self._publish_leaving = publish_leaving
        self._apply_limits = apply_limits
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._supervisor = supervisor
        self.state = StoreState()
        self.on_parts_record: Callable[[str, bytes | None], None] = lambda k, v: None
        self.on_software_record: ApplyChange = lambda key, value, revision: None
        self._records = RecordDispatcher(
            on_configuration=self._apply_configuration,
            on_weights=self._apply_weights,
            on_server=self._apply_server,
            on_unreadable=self._count_unreadable,
        )

    def apply_change(self, key: str, value: bytes | None, revision: int) -> None:
        """Apply one change of a key; the value is None once the key is deleted.

        A record that cannot be applied does not keep the others from being applied.
        """
        try:
            self._apply_record(key, value, revision)
        except Exception as exc:
            self._count_unreadable(f"{key}: {exc!r}")
            self._supervisor.record_failure("apply_record", exc, self._clock())

    def _apply_record(self, key: str, value: bytes | None, revision: int) -> None:
        if key.startswith(RECENT_WEIGHTS_PREFIX):
            self._apply_recent_weights(key, value, revision)
        elif key.startswith((BLOCKED_PARTS_PREFIX, CRASHES_PREFIX)):
            self.on_parts_record(key, value)
        elif key.startswith(SOFTWARE_PREFIX):
            try:
                self.on_software_record(key, value, revision)
            except SoftwareRecordError as exc:
                self._count_unreadable(str(exc))
        elif key.startswith(MEMBERSHIP_PREFIX):
            self._membership.apply_change(key, value, revision)
        else:
            self._records.dispatch(key, value, revision)

    def _apply_configuration(self, configuration: Configuration, revision: int) -> None:
        era = self.state.era
        previous = self._view.configuration
        if not self._view.apply_configuration(configuration, revision, era):
            if previous is not None and era != self._view.configuration_era:
                self._events.emit(
                    "configuration_kept",
                    version=previous.version,
                    era=self._view.configuration_era,
                    refused_version=configuration.version,
                    refused_era=era,
                )
            return
        self._apply_limits(configuration.limits)
        for problem in configuration.problems:
            self._events.emit("quota_unreadable", reason=problem)
        self._events.emit(
            "configuration_applied",
            version=configuration.version,
            revision=revision,
            era=era,
            routes=sum(len(each) for each in configuration.routes.values()),
            keys=len(configuration.accounts),
        )

    def _apply_weights(self, model: str, version: int) -> None:
        # It was named after the state that was last confirmed, which may be long ago.
        # Nothing is named while the store is down.
        now, since = self._clock(), self._view.configuration_freshness.as_of
        if self.state.complete:
            since = max(since, self.state.unreachable_until)
        if not self._view.set_desired_weights(model, version, since, now):
            return
        max_age_s = now - since
        self._events.emit(
            "weights_named",
            model=model,
            version=version,
            max_age_ms=None if math.isinf(max_age_s) else int(max_age_s * 1000),
        )

    def _apply_recent_weights(
        self, key: str, value: bytes | None, revision: int
    ) -> None:
        weights = parse_recent_weights_key(key)
        if weights is None:
            self._count_unreadable(key)
        elif value is not None and revision > self.state.copy_revision:
            self._view.recent_weights.add(weights)
        else:
            self._view.recent_weights.discard(weights)

    def _apply_server(
        self, server_id: str, server: BackendServer | None, revision: int
    ) -> None:
        previous = self._view.servers.get(server_id)
        self._apply_withdrawal(server, previous, revision)
        if server is not None and previous is not None:
            server = server.with_newer_weights(previous)
        if server == previous:
            return
        for each in (previous, server):
            if each is not None:
                self._software.record(each, self._clock())
        if server is None:
            del self._view.servers[server_id]
            self._events.emit("server_gone", backend_server=server_id)
            return
        self._view.servers[server_id] = server
        self._events.emit(
            "server_registered",
            backend_server=server_id,
            service=server.service,
            address=server.address,
            leaving=server.leaving,
            software=server.software_version or None,
            weights=",".join(f"{k}:{v}" for k, v in server.weights.items()) or None,
        )

    def _apply_withdrawal(
        self,
        server: BackendServer | None,
        previous: BackendServer | None,
        revision: int,
    ) -> None:
        """Withdraw a run whose server leaves, or reinstate one that registers again."""
        state, withdrawn = self.state, self._view.withdrawn
        now = self._clock()
        if server is None:
            if previous is not None:
                withdrawn.withdraw(previous.run, state.era, now)
        elif server.leaving:
            withdrawn.withdraw(server.run, state.era, now)
        elif server.run in withdrawn:
            is_copy = revision <= state.copy_revision
            reinstated = withdrawn.reinstate(
                server.run, state.era, now, is_copy=is_copy
            )
            if reinstated or previous is None:
                self._events.emit(
                    "server_reinstated" if reinstated else "server_kept_withdrawn",
                    backend_server=server.id,
                    revision=revision,
                    era=state.era,
                    is_copy=is_copy,
                )

    def announce_leaving(self, server: BackendServer, *, by_entry: str = "") -> None:
        """Withdraw a run whose server said that it leaves, to this or another entry."""
        if not self._view.withdrawn.announce(server.run, self._clock()):
            return
        self._events.emit(
            "server_leaving",
            backend_server=server.id,
            started_ms=server.started_ms,
            by_entry=by_entry or None,
        )
        if not by_entry:
            self._publish_leaving(server.run)

    def _count_unreadable(self, reason: str) -> None:
        self._metrics.count("foxtail_ingress_unreadable_records_total")
        self._events.emit("record_unreadable", reason=reason)
