"""Simulation of entries that place prompts on engines, in virtual time.

The decisions are those of ``foxtail-ingress`` or of a baseline. The state that entries
decide on has the same age as in operation: loads of other entries arrive with their
datagrams, cache contents with cache events. All entries share one index of the caches,
however, so that the parts one entry expects to be cached are visible to all; in
operation they are not.
"""

import itertools
import math
import random
from collections import defaultdict
from collections.abc import Callable

import attrs

from foxtailcourse.emulator._event_scheduler import EventScheduler
from foxtailcourse.emulator.ingress.engine import (
    BatchEngine,
    EngineRequest,
    EngineSpec,
)
from foxtailcourse.emulator.ingress.scenario import (
    FleetScenario,
    Outcome,
    Policy,
    Result,
    SlowDowns,
    SpeedKnowledge,
)
from foxtailcourse.emulator.ingress.workload import Arrival, LoadGenerator
from foxtailcourse.fleet import BackendServer, FleetView, ServerRun
from foxtailcourse.ingress import (
    PROMPT_OVERHEAD_TOKENS,
    AdmissionDecision,
    CacheIndex,
    CacheStore,
    Candidate,
    Choice,
    DeferredPrompts,
    FleetSums,
    Prompt,
    RemoteLoad,
    RequestTiming,
    ServerLoad,
    ServerLoads,
    ServerSpeed,
    ServerSpeeds,
    max_queue_s,
    mean_tokens_per_s,
    plan_weight_loads,
    prefill_work_tokens,
    with_speed,
)
from foxtailcourse.platform import CacheEvent, CacheEvents
from foxtailcourse.settings import Address

MODEL = "m"
STORE = Address("store", 1)
# Period at which loads are published.
LOAD_REPORT_PERIOD_S = 0.4
# Multiple of the time of a fetch between failure domains.
CROSS_DOMAIN_TRANSFER_RATIO = 2.0
# A change of a server's load by this much is published immediately.
URGENT_CHANGE_TOKENS = 1_500
# Time after the last arrival during which requests may still finish.
TAIL_S = 15.0
# Fraction of a prompt's work that counts as load from its first event to its end.
DECODE_WORK_RATIO = 0.05
# Age of a cache event when it arrives.
EVENT_AGE_S = 0.1
# Deferred prompts are reconsidered after this time or this fraction of their age.
RECHECK_S, RECHECK_AGE_RATIO = 0.015, 0.1
# Mean time after which a caller retries a refused request.
RETRY_AFTER_S = 2.0
# Length of the windows for the worst earned fraction of the worth.
WINDOW_S = 5.0
# Period at which the leader, the entry that orders weight loads, plans new ones.
WEIGHT_LOAD_CHECK_S = 0.1
# A response on weights outdated for this long loses this fraction of its worth.
OUTDATED_WEIGHTS_AFTER_S, OUTDATED_WEIGHTS_LOSS_RATIO = 1.5, 0.2


@attrs.frozen(kw_only=True, eq=False)
class _Attempt:
    """One attempt of a caller, who retries a refused request at most once.

    ``started_at`` is the virtual time of the attempt, in seconds, and ``domain`` the
    failure domain of its entry.
    """

    arrival: Arrival
    domain: str
    started_at: float
    is_retry: bool = False


class _Entry:
    """State of one entry."""

    def __init__(self, name: str, domain: str) -> None:
        self.name, self.domain = name, domain
        self.deferred = DeferredPrompts()
        self.restart()

    def restart(self) -> None:
        """Forget what was learned and heard; the own load is that of open requests."""
        self.loads = ServerLoads()
        self.sums = FleetSums()
        self.speeds = ServerSpeeds(self.sums)


@attrs.define
class _Server:
    """State of one backend server.

    Parameters
    ----------
    engine : BatchEngine
        Engine of the server.
    speed : _ServerSpeed
        Speed of the engine over time.
    description : BackendServer
        The server as entries see it.
    weights_version : int
        Version of the loaded weights.
    loading : bool
        Whether a weight load was ordered or is running.
    down : bool
        Whether the server is out of service.
    open_requests : set of int
        Numbers of the requests that were sent to the server and have not ended.
    """

    engine: BatchEngine
    description: BackendServer
    speed: "_ServerSpeed"
    weights_version: int = 1
    loading: bool = False
    down: bool = False
    open_requests: set[int] = attrs.field(factory=set)


class _ServerSpeed:
    """Speed of one server over time.

    The start of each slow-down is drawn when its cycle is first asked for, from the
    number of the cycle, so that it does not depend on the policy.
    """

    def __init__(self, speed: float, slow_downs: SlowDowns, seed: str) -> None:
        self.speed, self._slow_downs, self._seed = speed, slow_downs, seed
        self._starts: dict[int, float] = {}

    def __call__(self, now: float) -> float:
        is_slowed = self.remaining_s(now) > 0
        return self.speed / (self._slow_downs.factor if is_slowed else 1.0)

    def lost_s(self, now: float) -> float:
        """Return the time that the rest of a present slow-down costs, in seconds."""
        return self.remaining_s(now) * (1 - 1 / self._slow_downs.factor)

    def remaining_s(self, now: float) -> float:
        """Return the rest of a present slow-down, in seconds."""
        slow_downs = self._slow_downs
        if not slow_downs.fraction:
            return 0.0
        cycle_s = slow_downs.period_s / slow_downs.fraction
        cycle = int(now // cycle_s)
        if cycle not in self._starts:
            rng = random.Random(f"{self._seed}/{cycle}")
            self._starts[cycle] = rng.uniform(0, cycle_s - slow_downs.period_s)
        elapsed_s = now - cycle * cycle_s - self._starts[cycle]
        return max(0.0, slow_downs.period_s - elapsed_s) if elapsed_s >= 0 else 0.0


def _describe_server(name: str, spec: EngineSpec, domain: str) -> BackendServer:
    return BackendServer(
        id=name,
        service="engines",
        address=Address(name, 1),
        failure_domain=domain,
        slots=spec.slots,
        leaving=False,
        weights={MODEL: 1},
    )


class FleetSimulation:
    """One run of a policy on a scenario.

    Parameters
    ----------
    scenario : FleetScenario
        Fleet, load and faults.
    policy : Policy
        Placement and admission control of the entries.
    seed : int
        Seed of the load and of all other random draws.
    """

    def __init__(self, scenario: FleetScenario, policy: Policy, seed: int = 1) -> None:
        self.scenario, self.policy = scenario, policy
        self.scheduler, self.rng = EventScheduler(), random.Random(seed + 1)
        self._load_generator = LoadGenerator(scenario.kinds, seed)
        self.entries = [
            _Entry(f"e{n}", f"d{n % scenario.domains}") for n in range(scenario.entries)
        ]
        self._demand_rng = random.Random(seed + 2)
        self._message_rng = random.Random(seed + 3)
        self._shortest_target_s = min(each.target_s for each in scenario.kinds)
        self.desired_version = 1
        # Time of the last change of the desired weights.
        self._desired_since = math.inf
        self.servers: dict[str, _Server] = {}
        for number in range(scenario.servers):
            name = f"s{number}"
            speed = _ServerSpeed(
                scenario.speeds[number % len(scenario.speeds)],
                scenario.slow_downs,
                f"{seed}/{name}",
            )
            engine = BatchEngine(
                name,
                scenario.spec,
                self.scheduler,
                self._cache_change_handler(name),
                speed,
            )
            domain = f"d{number % scenario.domains}"
            description = _describe_server(name, scenario.spec, domain)
            self.servers[name] = _Server(
                engine=engine, description=description, speed=speed
            )
        # Salt and part of all parts in the KV-cache store.
        self._stored: set[tuple[str, str]] = set()
        self._cache_indexes: dict[str, CacheIndex] = {
            name: CacheIndex() for name in self.servers
        }
        self._store_index = CacheIndex()
        self.result = Result(outcomes={each.name: Outcome() for each in scenario.kinds})
        # Last published tokens to prefill, by entry and server.
        self._published: dict[tuple[str, str], float] = {}
        self._request_numbers = itertools.count()
        # Sizes from which a prompt belongs to the largest tenth of its kind, and to the
        # largest three tenths.
        self._large_tokens: dict[str, tuple[int, int]] = {}
        # Earned and offered worth, by the second of arrival.
        self._earned: dict[int, float] = defaultdict(float)
        self._offered: dict[int, float] = defaultdict(float)

    def run(self) -> Result:
        """Run the scenario and return the results."""
        scenario = self.scenario
        arrivals = self._arrivals()
        for kind in scenario.kinds:
            sizes = sorted(each.tokens for each, _ in arrivals if each.kind is kind)
            self._large_tokens[kind.name] = (
                sizes[len(sizes) * 9 // 10],
                sizes[len(sizes) * 7 // 10],
            )
        for arrival, domain in arrivals:
            self.scheduler.call_at(arrival.time, self._on_arrival, arrival, domain)
        for time in scenario.weight_changes:
            self.scheduler.call_at(time, self._change_weights)
        fraction, start, end = scenario.outage
        failing = self.rng.sample(
            sorted(self.servers), round(fraction * scenario.servers)
        )
        for name in failing:
            self.scheduler.call_at(start, self._fail_server, name)
            self.scheduler.call_at(end, self._recover_server, name)
        for entry in self.entries:
            self.scheduler.call_at(
                self.rng.uniform(0, LOAD_REPORT_PERIOD_S), self._publish_loads, entry
            )
        self.scheduler.run(scenario.duration_s + TAIL_S)
        self._compute_worth()
        return self.result

    def _arrivals(self) -> list[tuple[Arrival, str]]:
        """Return the requests, each with the failure domain that it arrives in."""
        scenario, demand = self.scenario, self.scenario.demand
        arrivals = self._load_generator.arrivals(
            scenario.duration_s, scenario.load_factor * demand.highest
        )
        chosen = []
        for arrival in arrivals:
            domain = self._demand_rng.randrange(scenario.domains)
            position = domain / max(1, scenario.domains - 1)
            accepted = demand.at(arrival.time, position) / demand.highest
            if self._demand_rng.random() < accepted:
                chosen.append((arrival, f"d{domain}"))
        return chosen

    # Requests

    def _on_arrival(self, arrival: Arrival, domain: str, now: float) -> None:
        outcome = self.result.outcomes[arrival.kind.name]
        outcome.offered += 1
        is_largest, is_second_largest = self._size_tenths(arrival)
        outcome.offered_largest += is_largest
        outcome.offered_second_largest += is_second_largest
        self._offered[int(arrival.time)] += arrival.kind.worth
        attempt = _Attempt(arrival=arrival, domain=domain, started_at=now)
        self._start_attempt(attempt, now)

    def _size_tenths(self, arrival: Arrival) -> tuple[bool, bool]:
        """Whether a prompt is in the largest tenth, and in the fifth below it."""
        largest, second_largest = self._large_tokens[arrival.kind.name]
        return arrival.tokens >= largest, second_largest <= arrival.tokens < largest

    def _start_attempt(self, attempt: _Attempt, now: float) -> None:
        entry = self.rng.choice(
            [each for each in self.entries if each.domain == attempt.domain]
        )
        arrival = attempt.arrival
        prompt = Prompt(
            parts=arrival.parts,
            tokens=arrival.tokens,
            typical_tokens=arrival.kind.mean_tokens,
        )
        self._place_or_defer(entry, attempt, prompt, now)

    def _place_or_defer(
        self, entry: _Entry, attempt: _Attempt, prompt: Prompt, now: float
    ) -> None:
        """Send, defer or refuse a prompt, unless its caller has given it up."""
        kind, age_s = attempt.arrival.kind, now - attempt.started_at
        was_deferred = entry.deferred.remove(id(attempt))
        if age_s > kind.patience_s:
            return
        candidates = self._candidates(entry, now)
        store = CacheStore(address=STORE, cache_index=self._store_index)
        decision, work_tokens = AdmissionDecision.DEFER, 0.0
        if candidates:
            choice = self.policy.choose(candidates, prompt, store, now, was_deferred)
            timing = RequestTiming(
                age_s=age_s,
                target_s=kind.target_s,
                patience_s=kind.patience_s,
                was_deferred=was_deferred,
                max_queue_s=max_queue_s(kind.target_s, self._shortest_target_s),
            )
            backlog_s = entry.deferred.backlog_s(
                len(candidates), len(self.entries), mean_tokens_per_s(candidates)
            )
            decision = self.policy.decide_admission(choice, prompt, timing, backlog_s)
            work_tokens = choice.work_tokens
        if decision is AdmissionDecision.SEND:
            self._send(entry, attempt, prompt, choice, now)
        elif decision is AdmissionDecision.REFUSE:
            self._refuse(attempt, now)
        else:
            entry.deferred.add(id(attempt), work_tokens)
            delay_s = max(RECHECK_S, RECHECK_AGE_RATIO * age_s) * self.rng.uniform(
                0.5, 1.5
            )
            self.scheduler.call_at(
                now + delay_s, self._place_or_defer, entry, attempt, prompt
            )

    def _refuse(self, attempt: _Attempt, now: float) -> None:
        """Refuse an attempt and schedule the caller's retry, if it makes one."""
        kind = attempt.arrival.kind
        outcome = self.result.outcomes[kind.name]
        outcome.refused_after_s.append(now - attempt.started_at)
        retry_at = now + RETRY_AFTER_S * self.rng.uniform(0.75, 1.25)
        if attempt.is_retry or retry_at > attempt.arrival.time + kind.retry_limit_s:
            return
        retry = attrs.evolve(attempt, started_at=retry_at, is_retry=True)
        self.scheduler.call_at(retry_at, self._start_attempt, retry)

    def _candidates(self, entry: _Entry, now: float) -> list[Candidate]:
        speeds: dict[ServerRun, ServerSpeed] = {}
        if self.policy.knowledge is SpeedKnowledge.LEARNED:
            up = [each.description for each in self.servers.values() if not each.down]
            speeds = entry.speeds.speeds(up, now)
        candidates = [
            Candidate(
                server=server.description,
                own_load=entry.loads.for_server(name, 0),
                total_load=entry.loads.total(name, 0, now),
                entry_count=len(self.entries),
                cache_index=self._cache_indexes[name],
                salt=str(server.weights_version),
                outdated_weights=server.weights_version < self.desired_version,
                transfer_token_s=self.scenario.spec.fetch_token_s,
            )
            for name, server in self.servers.items()
            if not server.down and not server.loading
        ]
        if self.policy.knowledge is SpeedKnowledge.TRUE:
            return [self._with_truth(each, entry, now) for each in candidates]
        return [
            with_speed(each, speeds.get(each.server.run), entry.domain)
            for each in candidates
        ]

    def _with_truth(self, candidate: Candidate, entry: _Entry, now: float) -> Candidate:
        """Return a candidate with the true speed and remaining work of its server."""
        server, spec = self.servers[candidate.server.id], self.scenario.spec
        work_tokens = 0.0
        for request in server.engine.unfinished():
            done = max(request.prefilled_tokens, request.fetched_tokens)
            missing = max(0, request.prompt_tokens - done)
            if missing:
                work_tokens += PROMPT_OVERHEAD_TOKENS
                work_tokens += prefill_work_tokens(missing, done)
        chunk_s = spec.step_s + spec.chunk_tokens * spec.prefill_token_s
        per_s = server.speed.speed * spec.chunk_tokens / chunk_s
        speed = ServerSpeed(
            speed=server.speed.speed,
            per_s=per_s,
            latency_s=spec.first_event_delay_s
            + spec.event_tokens * spec.step_s / server.speed.speed,
            delay_s=server.speed.lost_s(now),
        )
        total = attrs.evolve(candidate.total_load, prefill_tokens=work_tokens)
        return with_speed(
            attrs.evolve(candidate, total_load=total), speed, entry.domain
        )

    def _send(
        self,
        entry: _Entry,
        attempt: _Attempt,
        prompt: Prompt,
        choice: Choice,
        now: float,
    ) -> None:
        """Start a prompt on the selected server and follow it to its end."""
        arrival = attempt.arrival
        name = choice.candidate.server.id
        load, salt = choice.candidate.own_load, choice.candidate.salt
        work_tokens = choice.work_tokens
        observe_end = entry.speeds.record_sent(choice.candidate, work_tokens, now)
        load.in_flight += 1
        load.short_prompts += not prompt.is_long
        load.prefill_tokens += work_tokens
        self._publish_if_urgent(entry, name, now)
        choice.candidate.cache_index.add_expected(salt, prompt.parts[:-1], now)
        fetched_tokens, fetch_s = self._plan_fetch(choice, prompt, salt)
        self._count_redundant_prefill(name, prompt, salt, fetched_tokens)
        server = self.servers[name]
        number = next(self._request_numbers)
        server.open_requests.add(number)
        # "left": tokens of the request that still count as load of the server;
        # "first": whether its first event has arrived.
        progress = {"left": work_tokens, "first": False}

        outdated_weights = choice.candidate.outdated_weights
        loss_starts_at = self._desired_since + OUTDATED_WEIGHTS_AFTER_S

        def on_first_event(at: float) -> None:
            progress["first"] = True
            observe_end(at)
            load.prefill_tokens = max(
                0.0, load.prefill_tokens - (1 - DECODE_WORK_RATIO) * work_tokens
            )
            progress["left"] = DECODE_WORK_RATIO * work_tokens
            self._publish_if_urgent(entry, name, at)
            self._record_response(arrival, at, outdated_weights and at > loss_starts_at)
            if prompt.is_long:
                self._save_to_store(salt, prompt, at)

        def on_done(at: float) -> None:
            observe_end(None)
            load.in_flight -= 1
            load.short_prompts -= not prompt.is_long
            load.prefill_tokens = max(0.0, load.prefill_tokens - progress["left"])
            server.open_requests.discard(number)
            self._load_weights_if_idle(name, at)

        def cancel_if_unanswered(at: float) -> None:
            if not progress["first"] and server.engine.cancel(request):
                on_done(at)

        request = EngineRequest(
            parts=prompt.parts,
            salt=salt,
            output_tokens=arrival.output_tokens,
            priority=arrival.kind.priority,
            fetched_tokens=fetched_tokens,
            fetch_s=fetch_s,
            on_first_event=on_first_event,
            on_done=on_done,
        )
        if server.description.failure_domain == entry.domain:
            server.engine.start(request, now)
        else:
            self.result.cross_domain_tokens += prompt.tokens
            reaches_at = now + self.scenario.domain_delay_s
            self.scheduler.call_at(reaches_at, server.engine.start, request)
        self.scheduler.call_at(
            attempt.started_at + arrival.kind.patience_s, cancel_if_unanswered
        )

    def _record_response(
        self, arrival: Arrival, now: float, outdated_weights: bool
    ) -> None:
        outcome, kind = self.result.outcomes[arrival.kind.name], arrival.kind
        elapsed_s = now - arrival.time
        outcome.first_event_s.append(elapsed_s)
        in_time = elapsed_s <= kind.target_s
        outcome.in_time += in_time
        is_largest, is_second_largest = self._size_tenths(arrival)
        outcome.served_largest += is_largest
        outcome.served_second_largest += is_second_largest
        outcome.late += not in_time
        earned = kind.worth if in_time else kind.late_worth
        earned *= 1 - OUTDATED_WEIGHTS_LOSS_RATIO * outdated_weights
        self._earned[int(arrival.time)] += earned

    def _compute_worth(self) -> None:
        self.result.worth = self._earned_ratio(0.0, self.scenario.duration_s)
        starts = range(0, int(self.scenario.duration_s - WINDOW_S) + 1)
        self.result.worst_worth = min(
            self._earned_ratio(s, s + WINDOW_S) for s in starts
        )

    def _earned_ratio(self, start: float, end: float) -> float:
        earned = sum(v for s, v in self._earned.items() if start <= s < end)
        offered = sum(v for s, v in self._offered.items() if start <= s < end)
        return earned / offered if offered else math.nan

    # Caches

    def _plan_fetch(
        self, choice: Choice, prompt: Prompt, salt: str
    ) -> tuple[int, float]:
        """Return the cached tokens after a fetch, and its duration in seconds."""
        spec, source = self.scenario.spec, choice.fetch_from
        if source is None:
            return 0, 0.0
        cached = self.servers[
            choice.candidate.server.id
        ].engine.cache.cached_prefix_tokens(salt, prompt.parts[:-1])
        if source == STORE:
            available, token_s = 0, spec.store_token_s
            for part in prompt.parts[:-1]:
                if (salt, part.id) not in self._stored:
                    break
                available += part.tokens
        else:
            engine = self.servers[source.host].engine
            available = engine.cache.cached_prefix_tokens(salt, prompt.parts[:-1])
            token_s = spec.fetch_token_s
        missing = max(0, available - cached)
        if not missing:
            return 0, 0.0
        receiver = self.servers[choice.candidate.server.id].description
        if (
            source != STORE
            and self.servers[source.host].description.failure_domain
            != receiver.failure_domain
        ):
            token_s *= CROSS_DOMAIN_TRANSFER_RATIO
            self.result.cross_domain_tokens += missing
        return available, spec.fetch_setup_s + missing * token_s

    def _save_to_store(self, salt: str, prompt: Prompt, now: float) -> None:
        for part in prompt.parts[:-1]:
            if (salt, part.id) in self._stored:
                continue
            self._stored.add((salt, part.id))
            self._apply_event_later(self._store_index, salt, part.id, part.tokens, now)

    def _cache_change_handler(
        self, name: str
    ) -> Callable[[str, str, int, float], None]:
        def on_cache_change(salt: str, part: str, tokens: int, now: float) -> None:
            self._apply_event_later(self._cache_indexes[name], salt, part, tokens, now)

        return on_cache_change

    def _apply_event_later(
        self, cache_index: CacheIndex, salt: str, part: str, tokens: int, now: float
    ) -> None:
        event = CacheEvent(salt=salt, part=part, tokens=tokens)
        batch = CacheEvents(
            epoch=1, next_position=0, events_lost=False, events=(event,)
        )
        self.scheduler.call_at(
            now + EVENT_AGE_S, lambda later: cache_index.apply(batch)
        )

    def _count_redundant_prefill(
        self, name: str, prompt: Prompt, salt: str, fetched_tokens: int
    ) -> None:
        """Count the tokens that a server prefills although another one cached them."""
        caches = [each.engine.cache for each in self.servers.values()]
        available = max(
            each.cached_prefix_tokens(salt, prompt.parts[:-1]) for each in caches
        )
        cached = self.servers[name].engine.cache.cached_prefix_tokens(
            salt, prompt.parts[:-1]
        )
        self.result.redundant_prefill_tokens += max(
            0, available - max(cached, fetched_tokens)
        )

    # Publishing of loads

    def _publish_if_urgent(self, entry: _Entry, server: str, now: float) -> None:
        load = entry.loads.for_server(server, 0)
        published = self._published.get((entry.name, server), 0.0)
        if abs(load.prefill_tokens - published) >= URGENT_CHANGE_TOKENS:
            self._publish_load(entry, server, now)

    def _publish_load(self, entry: _Entry, server: str, now: float) -> None:
        load = entry.loads.for_server(server, 0)
        self._published[entry.name, server] = load.prefill_tokens
        if int(server[1:]) < self.scenario.idle_claims:
            load = ServerLoad()
        delay_s = self._message_delay_s()
        report = RemoteLoad(
            prefill_tokens=load.prefill_tokens,
            in_flight=load.in_flight,
            short_prompts=load.short_prompts,
            received_at=now + delay_s,
        )

        def deliver(later: float) -> None:
            for other in self._reached(entry, now):
                other.loads.update_remote(entry.name, server, report)

        self.scheduler.call_at(now + delay_s, deliver)

    def _message_delay_s(self) -> float:
        shortest, longest = self.scenario.report_delay_s
        if shortest == longest:
            return shortest
        return self._message_rng.uniform(shortest, longest)

    def _reached(self, entry: _Entry, now: float) -> list[_Entry]:
        """Return the entries that get a message which an entry sent."""
        count, start, end = self.scenario.cut_off
        cut_off = set(self.entries[:count]) if start <= now < end else set()
        loss = self.scenario.report_loss
        if entry in cut_off or (loss and self._message_rng.random() < loss):
            return []
        return [e for e in self.entries if e is not entry and e not in cut_off]

    def _publish_sums(self, entry: _Entry, now: float) -> None:
        if rows := entry.sums.own_rows(now):

            def deliver(later: float) -> None:
                for other in self._reached(entry, now):
                    other.sums.update_others(entry.name, rows, 1, later)

            self.scheduler.call_at(now + self._message_delay_s(), deliver)

    def _publish_loads(self, entry: _Entry, now: float) -> None:
        for server in self.servers:
            load = entry.loads.for_server(server, 0)
            if load.in_flight or self._published.get((entry.name, server)):
                self._publish_load(entry, server, now)
        if self.policy.knowledge is SpeedKnowledge.LEARNED:
            self._publish_sums(entry, now)
        if now < self.scenario.duration_s + TAIL_S - 3.0:
            self.scheduler.call_at(
                now + LOAD_REPORT_PERIOD_S, self._publish_loads, entry
            )

    # Weights and outages

    def _change_weights(self, now: float) -> None:
        self.desired_version += 1
        self._desired_since = now
        self._start_weight_loads(now)

    def _start_weight_loads(self, now: float) -> None:
        """Start the planned weight loads, with the first entry as the leader."""
        up = {name: each for name, each in self.servers.items() if not each.down}
        view = FleetView()
        view.servers = {
            name: attrs.evolve(each.description, weights={MODEL: each.weights_version})
            for name, each in up.items()
        }
        view.set_desired_weights(MODEL, self.desired_version, self._desired_since)
        busy = {name for name, each in up.items() if each.loading}
        loads = self.entries[0].loads
        for planned in plan_weight_loads(
            view, busy, loads, now, self.scenario.weights_limit_s
        ):
            self.servers[planned.server.id].loading = True
            self._load_weights_if_idle(planned.server.id, now)
        if any(each.weights_version < self.desired_version for each in up.values()):
            self.scheduler.call_at(now + WEIGHT_LOAD_CHECK_S, self._start_weight_loads)

    def _load_weights_if_idle(self, name: str, now: float) -> None:
        server = self.servers[name]
        if server.loading and not server.open_requests and not server.down:
            server.engine.clear_cache(now)
            end = now + self.scenario.spec.weight_load_s
            self.scheduler.call_at(
                end, self._finish_weight_load, name, self.desired_version
            )

    def _finish_weight_load(self, name: str, version: int, now: float) -> None:
        server = self.servers[name]
        if not server.down and server.loading:
            server.weights_version, server.loading = version, False

    def _fail_server(self, name: str, now: float) -> None:
        server = self.servers[name]
        server.down, server.loading = True, False
        server.open_requests.clear()
        server.engine.crash(now)
        for entry in self.entries:
            load = entry.loads.for_server(name, 0)
            load.in_flight = load.short_prompts = 0
            load.prefill_tokens = 0.0

    def _recover_server(self, name: str, now: float) -> None:
        server = self.servers[name]
        server.down, server.weights_version = False, self.desired_version
