"""Speeds of backend servers, learned from the first events of their responses.

For each first event an entry adds the work that the server had to do until then, and
the time that it took, to sums that all entries share. The ratio of the two is the rate
of the server. The rates are used only while the servers of a service differ clearly;
otherwise all servers count as equal, as if nothing had been learned.
"""

import copy
import math
import statistics
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

import attrs

from foxtailcourse.fleet import BackendServer, ServerRun
from foxtailcourse.ingress._fleet_sums import add_amounts
from foxtailcourse.ingress._placement_types import (
    FIRST_EVENT_LATENCY_S,
    PREFILL_TOKENS_PER_S,
    Candidate,
)
from foxtailcourse.observe import EventLog

# Decay time of the sums of a server, and their number.
DECAY_S = 4.0
ROW_LENGTH = 5
# Largest sum that is believed. The sums of squares of rates get to 1e14.
MAX_SUM = 1e18
# Least measured time that counts, in seconds.
MIN_TIME_S = 1e-3
# Time for which the prior rate counts as measured.
PRIOR_S = 0.2
# A request shows the speed of its server without the effects of load if at most so many
# tokens are ahead of it, and at most this fraction of the slots is in use. In a burst
# equal servers differ by a factor of 4 in the time that the same work takes.
MAX_IDLE_TOKENS = 1_000.0
MAX_IDLE_SLOTS = 0.5
# Shortest time of such a request that is believed, in seconds.
MIN_IDLE_S = 0.005
# Number of such requests from which a server counts as measured.
MIN_IDLE_COUNT = 4.0
# Requests by which an entry learns the latency before it adds to the sums, and the time
# after which fewer suffice.
WARM_UP_COUNT, WARM_UP_S = 10, 8.0
# Fewest servers, and fraction of the servers of a service, that must be measured before
# they may count as different.
MIN_MEASURED_SERVERS = 3
MIN_MEASURED_FRACTION = 0.5
# The 90th percentile of the rates as a multiple of the 10th from which the servers
# count as different, and below which they count as equal again.
DIFFERENT_RATIO = 1.5
EQUAL_RATIO = 1.3
# Time for which the ratio must stay on the other side of these limits, so that one
# burst or slow-down does not change it.
CONFIRM_S = 4.0
# An entry that hears within this time of its start that the servers differ uses it at
# once, as the others have confirmed it. Too little is measured so soon by new entries.
START_S = 1.0
# An entry that found the rates of the fleet to be equal adds to no sums for this time.
# So equal servers cause these messages for a few seconds a minute only.
QUIET_S = 60.0
# Rates are computed again after this time, and longer for each server, so that a large
# fleet costs no more than 2% of a core: a server takes 21 us with 10,000 of them.
REFRESH_S = 0.2
REFRESH_S_PER_SERVER = 1.1e-3
# Limits of the speed of a server relative to a typical one.
MIN_SPEED, MAX_SPEED = 0.2, 5.0
# A request is overdue after this multiple of its expected time, and at least this much
# beyond it. Then the server is in a momentary slow-down.
OVERDUE_MULTIPLE = 1.7
OVERDUE_MARGIN_S = 0.06
# Time for which a slow-down counts after it was last observed, and the delay that a
# further request is expected to have because of it.
SLOW_HOLD_S = 0.25
SLOW_DELAY_S = 0.3
# Decay time of the observations of the work until a first event, their number that the
# prior counts as, and the weight of small ones.
LATENCY_DECAY_S = 60.0
LATENCY_PRIOR_COUNT = 20.0
LATENCY_SCALE_TOKENS = 2_000.0


class Sums(Protocol):
    """Decayed sums over all entries, by key; see ``FleetSums``."""

    def add(self, key: str, amounts: Sequence[float], tau_s: float, now: float) -> None:
        """Add to this entry's sums."""

    def set_own(
        self, key: str, amounts: Sequence[float], tau_s: float, now: float
    ) -> None:
        """Replace this entry's sums."""

    def own(self, key: str, now: float) -> tuple[float, ...]:
        """Return this entry's sums; () if the key is unknown."""

    def total(self, key: str, now: float) -> tuple[float, ...]:
        """Return the sums over all entries."""


@attrs.frozen
class _CopiedSums:
    """Sums on which decisions can be evaluated; the sums themselves do not change."""

    _sums: Sums
    # Own sums that were replaced in the copy.
    _own: dict[str, tuple[float, ...]] = attrs.field(factory=dict, init=False)

    def add(self, key: str, amounts: Sequence[float], tau_s: float, now: float) -> None:
        self._own[key] = add_amounts(self.own(key, now), tuple(amounts))

    def set_own(
        self, key: str, amounts: Sequence[float], tau_s: float, now: float
    ) -> None:
        self._own[key] = tuple(amounts)

    def own(self, key: str, now: float) -> tuple[float, ...]:
        return self._own[key] if key in self._own else self._sums.own(key, now)

    def total(self, key: str, now: float) -> tuple[float, ...]:
        total = self._sums.total(key, now)
        if key not in self._own:
            return total
        replaced = tuple(-each for each in self._sums.own(key, now))
        return add_amounts(add_amounts(total, replaced), self._own[key])


@attrs.frozen(kw_only=True)
class ServerRate:
    """Measured rate of a server.

    Parameters
    ----------
    per_s : float
        Work per second: prefilled tokens, or requests for a plain service.
    measured_s : float
        Measured time behind it, in seconds; 0 if it is the prior alone.
    age_s : float
        Time since this entry's last observation, in seconds.
    """

    per_s: float
    measured_s: float
    age_s: float


@attrs.frozen(kw_only=True)
class ServerSpeed:
    """Speed of a server as placement uses it.

    Parameters
    ----------
    speed : float
        Rate relative to that of a typical server of the service.
    per_s : float
        Work per second: prefilled tokens, or requests for a plain service.
    latency_s : float
        Time from the end of the prefill to the first event, in seconds.
    delay_s : float
        Expected additional delay because of a momentary slow-down, in seconds.
    """

    speed: float = 1.0
    per_s: float = PREFILL_TOKENS_PER_S
    latency_s: float = FIRST_EVENT_LATENCY_S
    delay_s: float = 0.0


EQUAL_SPEED = ServerSpeed()


@attrs.define
class _Latency:
    """Weighted regression of the time to the first event on the work before it.

    The sums start with pairs of observations on the line of the constants of admission
    control. They decay, but not below the weight of those.
    """

    n: float = 0.0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    xy: float = 0.0
    updated_at: float = 0.0
    count: int = 0
    first_at: float = math.inf

    def __attrs_post_init__(self) -> None:
        for work in (500.0, 10_000.0):
            elapsed_s = FIRST_EVENT_LATENCY_S + work / PREFILL_TOKENS_PER_S
            weight = LATENCY_PRIOR_COUNT / 2 / (work + LATENCY_SCALE_TOKENS) ** 2
            self._add(work, elapsed_s, weight)

    def record(self, work: float, elapsed_s: float, now: float) -> None:
        """Add an observation."""
        decay = math.exp(-max(0.0, now - self.updated_at) / LATENCY_DECAY_S)
        self.updated_at, self.count = now, self.count + 1
        self.first_at = min(self.first_at, now)
        self.n, self.x, self.y = self.n * decay, self.x * decay, self.y * decay
        self.xx, self.xy = self.xx * decay, self.xy * decay
        self._add(work, elapsed_s, 1 / (work + LATENCY_SCALE_TOKENS) ** 2)

    def is_learned(self, now: float) -> bool:
        """Whether enough was observed to compare requests of different sizes."""
        return self.count >= WARM_UP_COUNT or now - self.first_at >= WARM_UP_S

    def _add(self, work: float, elapsed_s: float, weight: float) -> None:
        self.n += weight
        self.x += weight * work
        self.y += weight * elapsed_s
        self.xx += weight * work * work
        self.xy += weight * work * elapsed_s

    @property
    def tokens(self) -> float:
        """Latency as the work that a server does in that time, in tokens.

        It is at most four times that of the constants of admission control.
        """
        highest = FIRST_EVENT_LATENCY_S * PREFILL_TOKENS_PER_S
        spread = self.n * self.xx - self.x * self.x
        slope = (self.n * self.xy - self.x * self.y) / spread if spread > 0 else 0.0
        if slope <= 0:
            return highest
        intercept = (self.y - slope * self.x) / self.n
        return min(4 * highest, max(0.0, intercept / slope))


@attrs.define(eq=False)
class _Observation:
    """A request that was sent to a server and has no first event yet."""

    sent_at: float
    work: float
    expected_s: float

    def overdue_at(self) -> float:
        """Return from when on its server counts as slowed down."""
        allowed_s = max(
            OVERDUE_MULTIPLE * self.expected_s, self.expected_s + OVERDUE_MARGIN_S
        )
        return self.sent_at + allowed_s


@attrs.define
class _Run:
    """What this entry observes of one run of a server."""

    key: str
    weights: Mapping[str, int]
    open: list[_Observation] = attrs.field(factory=list)
    slow_until: float = float("-inf")
    observed_at: float = float("-inf")


@attrs.frozen
class _Measured:
    """What was measured of a server.

    Parameters
    ----------
    work, time_s : float
        Work that it did, and the time that it took, of all requests.
    idle_rate_sum, idle_rate_squares, idle_count : float
        Sum of the rates of the requests that it got while nearly idle, sum of their
        squares, and their number.
    """

    work: float = 0.0
    time_s: float = 0.0
    idle_rate_sum: float = 0.0
    idle_rate_squares: float = 0.0
    idle_count: float = 0.0

    @property
    def idle_rate(self) -> float:
        """Mean rate while nearly idle."""
        return self.idle_rate_sum / self.idle_count if self.idle_count else 0.0

    def rate(self, typical: float, typical_idle: float) -> float:
        """Return the rate, given those of a typical server under load and idle."""
        prior = typical
        if typical_idle and self.idle_count >= MIN_IDLE_COUNT:
            prior = typical * self.idle_rate / typical_idle
        rate = (self.work + prior * PRIOR_S) / (self.time_s + PRIOR_S)
        return min(MAX_SPEED * typical, max(MIN_SPEED * typical, rate))


@attrs.define
class _Service:
    """Rates of the servers of one service, as last computed."""

    started_at: float
    differ: bool = False
    # Until when this entry adds nothing to the sums of the fleet.
    quiet_until: float = float("-inf")
    # Last 90th percentile of the rates as a multiple of the 10th; 0 if unknown.
    ratio: float = 0.0
    # Since when the ratio of the rates calls for the opposite.
    opposed_since: float | None = None
    # Since when the rates of the fleet are too equal to be used, while this entry adds
    # to them.
    equal_since: float | None = None
    computed_at: float = float("-inf")
    typical_per_s: float = 0.0
    rates: dict[ServerRun, tuple[float, float]] = attrs.field(factory=dict)


class ServerSpeeds:
    """Speeds of the servers of all services, from what the entries observe.

    Parameters
    ----------
    sums : Sums
        Sums that the entries share. The key of a server contains its start time, so
        that a restart discards its rate.
    events : EventLog or None
        Receives an event when the speeds of a service begin or cease to be used.
    """

    def __init__(self, sums: Sums, events: EventLog | None = None) -> None:
        self._sums, self._events = sums, events
        self._runs: dict[ServerRun, _Run] = {}
        self._services: dict[str, _Service] = {}
        self._latency = _Latency()

    # Observations

    def record_sent(
        self,
        candidate: Candidate,
        work_tokens: float,
        now: float,
        *,
        is_plain: bool = False,
    ) -> Callable[[float | None], None]:
        """Record a request that is sent to a server.

        Parameters
        ----------
        candidate : Candidate
            The server, with its load without the request.
        work_tokens : float
            Prefill work of the request, in tokens.
        now : float
            Present time in seconds since boot.
        is_plain : bool
            Whether the request has no prompt. Its work is the number of requests that
            a slot of the server takes one after the other until its end.

        Returns
        -------
        callable
            To call once, with the time of the first event, or with None if the request
            ended without one.
        """
        server, load = candidate.server, candidate.total_load
        if is_plain and server.weights:
            # The sums of an engine are in tokens.
            return lambda first_event_at: None
        run = self._run(server, now)
        if is_plain:
            latency = 0.0
            work = max(1.0, (load.in_flight + 1) / max(1, server.slots))
        else:
            latency, work = self._latency.tokens, load.prefill_tokens + work_tokens
        is_idle = (
            load.prefill_tokens <= MAX_IDLE_TOKENS
            and load.in_flight <= MAX_IDLE_SLOTS * server.slots
        )
        speed = self._last_speed(server)
        per_s = self._rate(server)[0]
        observation = _Observation(now, work, (work + latency) / per_s)
        run.open.append(observation)

        def on_end(first_event_at: float | None) -> None:
            if observation not in run.open:
                return
            run.open.remove(observation)
            if first_event_at is None:
                return
            elapsed_s = max(1e-3, first_event_at - observation.sent_at)
            if is_idle and not is_plain:
                self._latency.record(work, elapsed_s * speed, first_event_at)
            run.observed_at = first_event_at
            amounts = (work + latency, elapsed_s, 0.0, 0.0, 0.0)
            if is_idle:
                rate = (work + latency) / max(MIN_IDLE_S, elapsed_s)
                amounts = (work + latency, elapsed_s, rate, rate * rate, 1.0)
            if self._shares(server, first_event_at) and (
                is_plain or self._latency.is_learned(first_event_at)
            ):
                self._sums.add(run.key, amounts, DECAY_S, first_event_at)
            if first_event_at >= observation.overdue_at():
                run.slow_until = first_event_at + SLOW_HOLD_S
            else:
                run.slow_until = float("-inf")

        return on_end

    def _run(self, server: BackendServer, now: float) -> _Run:
        """Return what is known of a run; changed weights discard its rate."""
        run, weights = self._runs.get(server.run), server.weights
        if run is None:
            key = f"s/{server.id}/{server.started_ms}"
            run = self._runs[server.run] = _Run(key, weights)
        elif run.weights is not weights and run.weights != weights:
            run.weights, run.open = weights, []
            run.slow_until = float("-inf")
            self._clear(run.key, now)
        return run

    def _clear(self, key: str, now: float) -> None:
        """Discard what this entry added to the sums of a server."""
        if self._sums.own(key, now):
            self._sums.set_own(key, (0.0,) * ROW_LENGTH, DECAY_S, now)

    def expire(self, registered: set[ServerRun]) -> None:
        """Forget the runs that are no longer registered and have no requests."""
        self._runs = {k: v for k, v in self._runs.items() if k in registered or v.open}

    def snapshot(self) -> "ServerSpeeds":
        """Return a copy on which decisions can be evaluated without a request."""
        result = ServerSpeeds(_CopiedSums(self._sums))
        result._runs = copy.deepcopy(self._runs)
        result._services = copy.deepcopy(self._services)
        result._latency = copy.deepcopy(self._latency)
        return result

    # Decisions

    def rate(self, server: BackendServer, now: float) -> ServerRate:
        """Return the rate of a server, with the age and weight of the data."""
        per_s, measured_s = self._rate(server)
        age_s = now - self._run(server, now).observed_at
        return ServerRate(per_s=per_s, measured_s=measured_s, age_s=age_s)

    def differ(self, servers: Sequence[BackendServer], now: float) -> bool:
        """Whether the servers of one service count as different in speed.

        Parameters
        ----------
        servers : sequence of BackendServer
            All servers of the service that take requests.
        now : float
            Present time in seconds since boot.
        """
        if not servers:
            return False
        service = self._services.get(servers[0].service)
        if service is None:
            service = self._services[servers[0].service] = _Service(started_at=now)
        refresh_s = max(REFRESH_S, REFRESH_S_PER_SERVER * len(servers))
        if now - service.computed_at >= refresh_s:
            self._compute(service, servers, now)
        return service.differ

    def speeds(
        self, servers: Sequence[BackendServer], now: float
    ) -> dict[ServerRun, ServerSpeed]:
        """Return the speeds of the servers of one service; empty if they are equal."""
        if not self.differ(servers, now):
            return {}
        service = self._services[servers[0].service]
        speeds = {}
        for each in servers:
            # A new server counts as typical until the rates are computed again.
            per_s, _ = service.rates.get(each.run, (service.typical_per_s, 0.0))
            delay_s = SLOW_DELAY_S if self._is_slowed_down(each.run, now) else 0.0
            speeds[each.run] = ServerSpeed(
                speed=per_s / service.typical_per_s,
                per_s=per_s,
                latency_s=self._latency.tokens / per_s,
                delay_s=delay_s,
            )
        return speeds

    def tokens_per_s(self, server: BackendServer) -> float:
        """Return the prefill rate of a server as last computed.

        It is that of admission control while the servers of a service count as equal.
        """
        if not self.is_on(server.service):
            return PREFILL_TOKENS_PER_S
        return self._rate(server)[0]

    def is_on(self, service: str) -> bool:
        """Whether the servers of a service count as different as last computed."""
        return service in self._services and self._services[service].differ

    def summary(self) -> dict[str, tuple[float, bool]]:
        """Return the ratio of the rates and whether they are used, by service."""
        return {k: (v.ratio, v.differ) for k, v in self._services.items()}

    def _is_slowed_down(self, run: ServerRun, now: float) -> bool:
        """Whether requests of this entry wait longer than the rate explains."""
        state = self._runs.get(run)
        if state is None:
            return False
        if now < state.slow_until:
            return True
        return any(now >= each.overdue_at() for each in state.open)

    def _shares(self, server: BackendServer, now: float) -> bool:
        """Whether this entry adds to the sums of the fleet for a server's service."""
        service = self._services.get(server.service)
        return service is not None and (service.differ or now >= service.quiet_until)

    def _measured(self, server: BackendServer, now: float) -> _Measured:
        """Return what sums contain of a server."""
        total = self._sums.total(self._run(server, now).key, now)
        row = (*total, *(0.0,) * ROW_LENGTH)[:ROW_LENGTH]
        # A malformed row of another entry must not spoil the rates.
        if not all(0 <= each < MAX_SUM for each in row):
            return _Measured()
        return _Measured(*row)

    def _compute(
        self,
        service: _Service,
        servers: Sequence[BackendServer],
        now: float,
    ) -> None:
        """Compute the rates of all servers of a service, and whether they differ."""
        measured = {each.run: self._measured(each, now) for each in servers}
        heard = [each for each in measured.values() if each.time_s >= MIN_TIME_S]
        rates = [each.work / each.time_s for each in heard]
        typical = statistics.median(rates) if heard else PREFILL_TOKENS_PER_S
        idle_rates = [e.idle_rate for e in heard if e.idle_count >= MIN_IDLE_COUNT]
        typical_idle = statistics.median(idle_rates) if idle_rates else 0.0
        service.typical_per_s = typical
        service.rates = {
            run: (each.rate(typical, typical_idle), each.time_s)
            for run, each in measured.items()
        }
        service.computed_at = now
        ratio = _rate_ratio(list(measured.values()))
        service.ratio = ratio or 0.0
        if ratio is None:
            # Without enough requests the state is kept until the sums have decayed.
            service.opposed_since = None
            if not heard:
                self._set_differ(servers[0].service, service, False)
            return
        opposed = ratio < EQUAL_RATIO if service.differ else ratio >= DIFFERENT_RATIO
        if not opposed:
            service.opposed_since = None
            if not service.differ and now >= service.quiet_until:
                service.equal_since = service.equal_since or now
                if now - service.equal_since >= DECAY_S:
                    service.quiet_until, service.equal_since = now + QUIET_S, None
                    for each in servers:
                        self._clear(self._run(each, now).key, now)
            return
        service.equal_since = None
        if service.opposed_since is None:
            service.opposed_since = now
        is_new = now - service.started_at <= START_S and not service.differ
        if is_new or now - service.opposed_since >= CONFIRM_S:
            service.opposed_since = None
            self._set_differ(servers[0].service, service, not service.differ)

    def _set_differ(self, name: str, service: _Service, differ: bool) -> None:
        """Set whether the servers of a service count as different; log a change."""
        if differ != service.differ and self._events is not None:
            self._events.emit(
                "server_speeds_used" if differ else "server_speeds_unused",
                service=name,
                ratio=round(service.ratio, 2),
                servers=len(service.rates),
                typical_per_s=round(service.typical_per_s, 1),
            )
        service.differ = differ

    def _rate(self, server: BackendServer) -> tuple[float, float]:
        """Return the rate of a server as last computed, and the measured time."""
        service = self._services.get(server.service)
        if service is None:
            return PREFILL_TOKENS_PER_S, 0.0
        prior = service.typical_per_s or PREFILL_TOKENS_PER_S
        return service.rates.get(server.run, (prior, 0.0))

    def _last_speed(self, server: BackendServer) -> float:
        """Return the speed of a server as last computed; 1 while they are equal."""
        service = self._services.get(server.service)
        if service is None or not service.differ or server.run not in service.rates:
            return 1.0
        return service.rates[server.run][0] / service.typical_per_s


def _rate_ratio(measured: Sequence[_Measured]) -> float | None:
    """Return the 90th percentile of the idle rates as a multiple of the 10th.

    Each rate is moved towards the mean by the part of the differences that the
    scatter of single requests explains, so that chance does not make servers differ.
    It is None if too few of the servers were measured.
    """
    known = [each for each in measured if each.idle_count >= MIN_IDLE_COUNT]
    if len(known) < max(MIN_MEASURED_SERVERS, MIN_MEASURED_FRACTION * len(measured)):
        return None
    mean = statistics.fmean(each.idle_rate for each in known)
    scatter = sum(
        max(0.0, e.idle_rate_squares - e.idle_count * e.idle_rate**2) for e in known
    ) / sum(each.idle_count - 1 for each in known)
    by_chance = [scatter / each.idle_count for each in known]
    between = statistics.variance(each.idle_rate for each in known)
    between = max(0.0, between - statistics.fmean(by_chance))
    if between == 0:
        return 1.0
    rates = sorted(
        mean + (each.idle_rate - mean) * between / (between + chance)
        for each, chance in zip(known, by_chance, strict=True)
    )
    return rates[len(rates) * 9 // 10] / rates[len(rates) // 10]
