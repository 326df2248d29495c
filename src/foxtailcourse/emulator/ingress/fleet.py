"""Entries that place prompts on engines, in virtual time.

The decisions are those of the product or of a baseline; what entries know is as old
as it is in operation: loads of others come with their datagrams, cache contents with
their events. All entries share one index of the caches, so what one of them expects is
known to the others, which is more than they know in operation.
"""

import itertools
import math
import random
from collections import defaultdict
from collections.abc import Callable

import attrs

from foxtailcourse.emulator._timeline import Timeline
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
)
from foxtailcourse.emulator.ingress.workload import Arrival, Load
from foxtailcourse.fleet import BackendServer, DesiredWeights, FleetView
from foxtailcourse.ingress import (
    AdmissionDecision,
    CacheIndex,
    CacheStore,
    Candidate,
    Choice,
    Prompt,
    RemoteLoad,
    RequestTiming,
    ServerLoads,
    WaitingPrompts,
    plan_weight_loads,
)
from foxtailcourse.platform import CacheEvent, CacheEvents
from foxtailcourse.settings import Address

MODEL = "m"
STORE = Address("store", 1)
# Age of another entry's load when it arrives, and the period of renewal, in seconds.
REPORT_AGE_S, RENEWAL_S = 0.015, 0.4
# A change of this much work is reported before the next renewal.
URGENT_WORK = 1_500
# Time after the last arrival in which requests still end, in seconds.
TAIL_S = 15.0
# Part of a prompt's work that counts until the end of its answer.
DECODE_SHARE = 0.05
# Age of a cache event when it arrives, in seconds.
EVENT_AGE_S = 0.1
# Held prompts look for room in this period, and in this part of their age.
HOLD_CHECK_S, HOLD_CHECK_SHARE = 0.015, 0.1
# When refused callers come back, in seconds.
RETRY_AFTER_S = 2.0
# Length of the window whose worst one is reported, in seconds.
WINDOW_S = 5.0
# Period in which the entry that gives orders looks for loads to start, in seconds.
LOAD_CHECK_S = 0.1
# An answer on weights that were replaced this long ago loses this part of its worth.
OLD_WEIGHTS_AFTER_S, OLD_WEIGHTS_LOSS = 1.5, 0.2


@attrs.frozen(kw_only=True, eq=False)
class _Attempt:
    """One attempt of a caller."""

    arrival: Arrival
    began: float
    is_repeat: bool = False


class _Entry:
    """What one entry knows."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.loads = ServerLoads()
        self.waiting = WaitingPrompts()


@attrs.define
class _Server:
    """One backend server of the simulation."""

    engine: BatchEngine
    described: BackendServer
    version: int = 1
    loading: bool = False
    dark: bool = False
    pending: set[int] = attrs.field(factory=set)


def _described(name: str, spec: EngineSpec) -> BackendServer:
    return BackendServer(
        id=name,
        service="engines",
        address=Address(name, 1),
        failure_domain="d",
        slots=spec.slots,
        leaving=False,
        weights={MODEL: 1},
    )


class FleetSimulation:
    """One run of a policy.

    Parameters
    ----------
    day : FleetScenario
        Sizes and disruptions.
    policy : Policy
        The decisions.
    seed : int
        Seed of the load and of ties.
    """

    def __init__(self, day: FleetScenario, policy: Policy, seed: int = 1) -> None:
        self.day, self.policy = day, policy
        self.timeline, self.rng = Timeline(), random.Random(seed + 1)
        self._load = Load(day.kinds, seed)
        self.entries = [_Entry(f"e{n}") for n in range(day.entries)]
        self.version = 1
        self._named_at = math.inf
        self.servers: dict[str, _Server] = {}
        for number in range(day.servers):
            name = f"s{number}"
            engine = BatchEngine(name, day.spec, self.timeline, self._cached(name))
            self.servers[name] = _Server(engine, _described(name, day.spec))
        self._stored: set[tuple[str, str]] = set()
        self._held: dict[str, CacheIndex] = {
            name: CacheIndex() for name in self.servers
        }
        self._held_by_store = CacheIndex()
        self.result = Result(outcomes={each.name: Outcome() for each in day.kinds})
        self._published: dict[tuple[str, str], float] = {}
        self._numbers = itertools.count()
        # Size from which a prompt belongs to the largest tenth of its kind.
        self._large: dict[str, int] = {}
        # Worth earned and asked for, by the second of arrival.
        self._earned: dict[int, float] = defaultdict(float)
        self._asked: dict[int, float] = defaultdict(float)

    def run(self) -> Result:
        """Play the day."""
        day = self.day
        arrivals = list(self._load.arrivals(day.length_s, day.load_factor))
        for kind in day.kinds:
            sizes = sorted(each.tokens for each in arrivals if each.kind is kind)
            self._large[kind.name] = sizes[len(sizes) * 9 // 10]
        for arrival in arrivals:
            self.timeline.at(arrival.at, self._arrive, arrival)
        for at in day.new_weights_at:
            self.timeline.at(at, self._name_weights)
        share, since, until = day.dark
        lost = self.rng.sample(sorted(self.servers), round(share * day.servers))
        for name in lost:
            self.timeline.at(since, self._lose, name)
            self.timeline.at(until, self._return, name)
        for entry in self.entries:
            self.timeline.at(self.rng.uniform(0, RENEWAL_S), self._renew, entry)
        self.timeline.run(day.length_s + TAIL_S)
        self._sum_up()
        return self.result

    # Requests

    def _arrive(self, arrival: Arrival, now: float) -> None:
        outcome = self.result.outcomes[arrival.kind.name]
        outcome.offered += 1
        outcome.offered_largest += self._is_large(arrival)
        self._asked[int(arrival.at)] += arrival.kind.worth
        self._attempt(_Attempt(arrival=arrival, began=now), now)

    def _is_large(self, arrival: Arrival) -> bool:
        return arrival.tokens >= self._large[arrival.kind.name]

    def _attempt(self, attempt: _Attempt, now: float) -> None:
        entry = self.rng.choice(self.entries)
        arrival = attempt.arrival
        prompt = Prompt(parts=arrival.parts, tokens=arrival.tokens)
        self._try(entry, attempt, prompt, now)

    def _try(
        self, entry: _Entry, attempt: _Attempt, prompt: Prompt, now: float
    ) -> None:
        kind, age_s = attempt.arrival.kind, now - attempt.began
        has_waited = entry.waiting.remove(id(attempt))
        if age_s > kind.patience_s:
            return
        candidates = self._candidates(entry, now)
        store = CacheStore(address=STORE, cache_index=self._held_by_store)
        step, work = AdmissionDecision.WAIT, 0.0
        if candidates:
            choice = self.policy.choose(candidates, prompt, store, now)
            timing = RequestTiming(
                age_s=age_s,
                target_s=kind.target_s,
                patience_s=kind.patience_s,
                has_waited=has_waited,
            )
            backlog_s = entry.waiting.backlog_s(len(candidates), len(self.entries))
            step = self.policy.decide_admission(choice, prompt, timing, backlog_s)
            work = choice.work_tokens
        if step is AdmissionDecision.SEND:
            self._send(entry, attempt, prompt, choice, now)
        elif step is AdmissionDecision.REFUSE:
            self._refuse(attempt, now)
        else:
            entry.waiting.add(id(attempt), work)
            pause_s = max(HOLD_CHECK_S, HOLD_CHECK_SHARE * age_s) * self.rng.uniform(
                0.5, 1.5
            )
            self.timeline.at(now + pause_s, self._try, entry, attempt, prompt)

    def _refuse(self, attempt: _Attempt, now: float) -> None:
        kind = attempt.arrival.kind
        outcome = self.result.outcomes[kind.name]
        outcome.refused_after_s.append(now - attempt.began)
        back = now + RETRY_AFTER_S * self.rng.uniform(0.75, 1.25)
        if attempt.is_repeat or back > attempt.arrival.at + kind.limit_s:
            return
        again = _Attempt(arrival=attempt.arrival, began=back, is_repeat=True)
        self.timeline.at(back, self._attempt, again)

    def _candidates(self, entry: _Entry, now: float) -> list[Candidate]:
        return [
            Candidate(
                server=server.described,
                own_load=entry.loads.for_server(name, 0),
                total_load=entry.loads.total(name, 0, now),
                entry_count=len(self.entries),
                cache_index=self._held[name],
                salt=str(server.version),
                outdated_weights=server.version < self.version,
            )
            for name, server in self.servers.items()
            if not server.dark and not server.loading
        ]

    def _send(
        self,
        entry: _Entry,
        attempt: _Attempt,
        prompt: Prompt,
        choice: Choice,
        now: float,
    ) -> None:
        arrival = attempt.arrival
        name = choice.candidate.server.id
        load, salt = choice.candidate.own_load, choice.candidate.salt
        left = choice.work_tokens
        load.in_flight += 1
        load.short += not prompt.is_long
        load.prefill_tokens += left
        self._publish_if_urgent(entry, name, now)
        choice.candidate.cache_index.add_expected(salt, prompt.parts[:-1], now)
        fetched, fetch_s = self._fetch(choice, prompt, salt)
        self._count_read_again(name, prompt, salt, fetched)
        server = self.servers[name]
        number = next(self._numbers)
        server.pending.add(number)
        state = {"left": left, "first": False}

        old_weights = choice.candidate.outdated_weights
        old_after = self._named_at + OLD_WEIGHTS_AFTER_S

        def first_event(at: float) -> None:
            state["first"] = True
            load.prefill_tokens = max(
                0.0, load.prefill_tokens - (1 - DECODE_SHARE) * left
            )
            state["left"] = DECODE_SHARE * left
            self._publish_if_urgent(entry, name, at)
            self._answered(arrival, at, old_weights and at > old_after)
            if prompt.is_long:
                self._save(salt, prompt, at)

        def done(at: float) -> None:
            load.in_flight -= 1
            load.short -= not prompt.is_long
            load.prefill_tokens = max(0.0, load.prefill_tokens - state["left"])
            server.pending.discard(number)
            self._load_weights_if_free(name, at)

        def leave(at: float) -> None:
            if not state["first"] and server.engine.cancel(request):
                done(at)

        request = EngineRequest(
            parts=prompt.parts,
            salt=salt,
            output_tokens=arrival.output_tokens,
            priority=arrival.kind.rank,
            fetched=fetched,
            fetch_s=fetch_s,
            first_event=first_event,
            done=done,
        )
        server.engine.start(request, now)
        self.timeline.at(attempt.began + arrival.kind.patience_s, leave)

    def _answered(self, arrival: Arrival, now: float, old: bool) -> None:
        outcome, kind = self.result.outcomes[arrival.kind.name], arrival.kind
        taken_s = now - arrival.at
        outcome.first_event_s.append(taken_s)
        in_time = taken_s <= kind.target_s
        outcome.in_time += in_time
        outcome.served_largest += self._is_large(arrival)
        outcome.late += not in_time
        earned = kind.worth if in_time else kind.late_worth
        earned *= 1 - OLD_WEIGHTS_LOSS * old
        self._earned[int(arrival.at)] += earned

    def _sum_up(self) -> None:
        self.result.worth = self._share(0.0, self.day.length_s)
        starts = range(0, int(self.day.length_s - WINDOW_S) + 1)
        self.result.worst_worth = min(self._share(s, s + WINDOW_S) for s in starts)

    def _share(self, since: float, until: float) -> float:
        earned = sum(v for s, v in self._earned.items() if since <= s < until)
        asked = sum(v for s, v in self._asked.items() if since <= s < until)
        return earned / asked if asked else math.nan

    # Cache

    def _fetch(self, choice: Choice, prompt: Prompt, salt: str) -> tuple[int, float]:
        spec, source = self.day.spec, choice.fetch_from
        if source is None:
            return 0, 0.0
        own = self.servers[choice.candidate.server.id].engine.cache.covered(
            salt, prompt.parts[:-1]
        )
        if source == STORE:
            held, token_s = 0, spec.store_token_s
            for part in prompt.parts[:-1]:
                if (salt, part.id) not in self._stored:
                    break
                held += part.tokens
        else:
            engine = self.servers[source.host].engine
            held = engine.cache.covered(salt, prompt.parts[:-1])
            token_s = spec.fetch_token_s
        missing = max(0, held - own)
        if not missing:
            return 0, 0.0
        return held, spec.fetch_setup_s + missing * token_s

    def _save(self, salt: str, prompt: Prompt, now: float) -> None:
        for part in prompt.parts[:-1]:
            if (salt, part.id) in self._stored:
                continue
            self._stored.add((salt, part.id))
            self._apply_later(self._held_by_store, salt, part.id, part.tokens, now)

    def _cached(self, name: str) -> Callable[[str, str, int, float], None]:
        def note(salt: str, part: str, tokens: int, now: float) -> None:
            self._apply_later(self._held[name], salt, part, tokens, now)

        return note

    def _apply_later(
        self, held: CacheIndex, salt: str, part: str, tokens: int, now: float
    ) -> None:
        event = CacheEvent(salt=salt, part=part, tokens=tokens)
        batch = CacheEvents(
            epoch=1, next_position=0, events_lost=False, events=(event,)
        )
        self.timeline.at(now + EVENT_AGE_S, lambda later: held.apply(batch))

    def _count_read_again(
        self, name: str, prompt: Prompt, salt: str, fetched: int
    ) -> None:
        engines = [each.engine.cache for each in self.servers.values()]
        best = max(each.covered(salt, prompt.parts[:-1]) for each in engines)
        own = self.servers[name].engine.cache.covered(salt, prompt.parts[:-1])
        self.result.read_again += max(0, best - max(own, fetched))

    # Loads of entries

    def _publish_if_urgent(self, entry: _Entry, server: str, now: float) -> None:
        load = entry.loads.for_server(server, 0)
        last = self._published.get((entry.name, server), 0.0)
        if abs(load.prefill_tokens - last) >= URGENT_WORK:
            self._publish(entry, server, now)

    def _publish(self, entry: _Entry, server: str, now: float) -> None:
        load = entry.loads.for_server(server, 0)
        self._published[entry.name, server] = load.prefill_tokens
        report = RemoteLoad(
            prefill_tokens=load.prefill_tokens,
            in_flight=load.in_flight,
            short=load.short,
            received_at=now + REPORT_AGE_S,
        )

        def arrive(later: float) -> None:
            for other in self.entries:
                if other is not entry:
                    other.loads.update_remote(entry.name, server, report)

        self.timeline.at(now + REPORT_AGE_S, arrive)

    def _renew(self, entry: _Entry, now: float) -> None:
        for server in self.servers:
            load = entry.loads.for_server(server, 0)
            if load.in_flight or self._published.get((entry.name, server)):
                self._publish(entry, server, now)
        if now < self.day.length_s + TAIL_S - 3.0:
            self.timeline.at(now + RENEWAL_S, self._renew, entry)

    # Weights and losses

    def _name_weights(self, now: float) -> None:
        self.version += 1
        self._named_at = now
        self._start_loads(now)

    def _start_loads(self, now: float) -> None:
        """Give the orders that the product would, by what the first entry knows."""
        alive = {name: each for name, each in self.servers.items() if not each.dark}
        view = FleetView()
        view.servers = {
            name: attrs.evolve(each.described, weights={MODEL: each.version})
            for name, each in alive.items()
        }
        view.desired_weights = {
            MODEL: DesiredWeights(
                model=MODEL, version=self.version, desired_since=self._named_at
            )
        }
        busy = {name for name, each in alive.items() if each.loading}
        known = self.entries[0].loads
        for load in plan_weight_loads(view, busy, known, now, self.day.weights_limit_s):
            self.servers[load.server.id].loading = True
            self._load_weights_if_free(load.server.id, now)
        if any(each.version < self.version for each in alive.values()):
            self.timeline.at(now + LOAD_CHECK_S, self._start_loads)

    def _load_weights_if_free(self, name: str, now: float) -> None:
        server = self.servers[name]
        if server.loading and not server.pending and not server.dark:
            server.engine.drop_cache(now)
            end = now + self.day.spec.load_s
            self.timeline.at(end, self._loaded, name, self.version)

    def _loaded(self, name: str, version: int, now: float) -> None:
        server = self.servers[name]
        if not server.dark and server.loading:
            server.version, server.loading = version, False

    def _lose(self, name: str, now: float) -> None:
        server = self.servers[name]
        server.dark, server.loading = True, False
        server.pending.clear()
        server.engine.lose_all(now)
        for entry in self.entries:
            load = entry.loads.for_server(name, 0)
            load.in_flight = load.short = 0
            load.prefill_tokens = 0.0

    def _return(self, name: str, now: float) -> None:
        server = self.servers[name]
        server.dark, server.version = False, self.version
