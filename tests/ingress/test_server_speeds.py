"""Learned speeds of servers, and decisions by expected time."""

import math
import random

import attrs
import testtools
from decision_case import NOW, cached_index, candidate, prompt, server
from testtools.matchers import Equals

from foxtailcourse.ingress._admission import (
    AdmissionDecision,
    DeferredPrompts,
    RequestTiming,
    decide_admission,
    mean_tokens_per_s,
)
from foxtailcourse.ingress._candidates import with_speed
from foxtailcourse.ingress._fetch_sources import FetchSources
from foxtailcourse.ingress._fleet_sums import FleetSums
from foxtailcourse.ingress._placement import (
    choose_for_prompt,
    choose_without_prompt,
    reserved_for_short,
)
from foxtailcourse.ingress._placement_types import Choice
from foxtailcourse.ingress._server_loads import RemoteLoad, ServerLoad, ServerLoads
from foxtailcourse.ingress._server_speeds import DECAY_S, ServerSpeed, ServerSpeeds

UNEVEN = (0.6, 1.0, 1.6)
EQUAL = (1.0, 1.0, 1.0)


class Fleet:
    """Entries that learn from requests to servers of known speeds, without a network.

    Parameters
    ----------
    speeds : sequence of float
        Speeds of the servers relative to 50,000 tokens/s.
    entries : int
        Number of entries.
    service : str
        Service of the servers.
    """

    def __init__(self, speeds=UNEVEN, entries=3, service="llm"):
        self.true = dict(enumerate(speeds))
        self.servers = [server(f"s{n}", service=service) for n in self.true]
        self.sums = [FleetSums() for _ in range(entries)]
        self.speeds = [ServerSpeeds(each) for each in self.sums]
        self.rng, self.now = random.Random(4), NOW
        self.is_plain = service != "llm"

    def run(self, seconds, exchanging=True, work_tokens=(400.0, 2_000.0)):
        """Send a request of each entry to each server four times a second."""
        end = self.now + seconds
        while self.now < end:
            for entry in self.speeds:
                for n, each in enumerate(self.servers):
                    self.send(entry, each, n, self.rng.uniform(*work_tokens))
            if exchanging:
                self.exchange()
            self.now += 0.25

    def send(self, entry, target, number, work):
        sent = attrs.evolve(candidate(target.id), server=target)
        on_end = entry.record_sent(sent, work, self.now, is_plain=self.is_plain)
        elapsed_s = 0.045 if self.is_plain else (work + 2_000) / 50_000
        on_end(self.now + elapsed_s / self.true[number])

    def exchange(self):
        for n, each in enumerate(self.sums):
            for m, other in enumerate(self.sums):
                if n != m:
                    other.update_others(f"e{n}", each.own_rows(self.now), 1, self.now)
        for each in self.speeds:
            each.differ(self.servers, self.now)

    def differ(self):
        return [each.differ(self.servers, self.now) for each in self.speeds]

    def relative(self, entry=0):
        speeds = self.speeds[entry].speeds(self.servers, self.now)
        return [round(speeds[each.run].speed, 1) for each in self.servers]


class TestServerSpeeds(testtools.TestCase):
    """Guards against wrong speeds, which send requests where they wait.

    The load is that of the rosters: servers of speeds 0.6, 1.0 and 1.6.
    """

    def test_speeds_are_learned_and_used_only_if_they_differ(self):
        uneven, equal = Fleet(), Fleet(EQUAL)
        for fleet in (uneven, equal):
            fleet.run(8.0)
        self.assertThat(uneven.differ(), Equals([True] * 3))
        for learned, true in zip(uneven.relative(), UNEVEN, strict=True):
            self.assertTrue(0.8 * true <= learned <= 1.2 * true, uneven.relative())
        self.assertThat(equal.differ(), Equals([False] * 3))
        self.assertThat(equal.speeds[0].speeds(equal.servers, equal.now), Equals({}))

    def test_equal_servers_cause_no_messages(self):
        """Plays the cloakroom, whose servers are equal."""
        fleet = Fleet(EQUAL)
        fleet.run(8.0)
        self.assertThat([s.own_rows(fleet.now) for s in fleet.sums], Equals([[]] * 3))

    def test_speeds_that_become_equal_are_no_longer_used(self):
        fleet = Fleet()
        fleet.run(8.0)
        fleet.true = dict(enumerate((1.0, 1.0, 1.35)))
        fleet.run(12.0)
        # Between the limits of the hysteresis the state is kept.
        self.assertThat(fleet.differ(), Equals([True] * 3))
        fleet.true = dict(enumerate(EQUAL))
        fleet.run(12.0)
        self.assertThat(fleet.differ(), Equals([False] * 3))

    def test_queues_at_equal_servers_do_not_make_them_different(self):
        """Plays a burst at equal servers: one of them has all the load."""
        fleet = Fleet(EQUAL)
        for _ in range(40):
            for n, each in enumerate(fleet.servers):
                ahead = 20_000.0 * (n == 0)
                sent = attrs.evolve(candidate(each.id, ahead), server=each)
                on_end = fleet.speeds[0].record_sent(sent, 800.0, fleet.now)
                on_end(fleet.now + (0.06 if n else 1.5))
            fleet.exchange()
            fleet.now += 0.25
        self.assertFalse(any(fleet.differ()))

    def test_restart_and_changed_weights_discard_a_speed(self):
        fleet = Fleet()
        fleet.run(8.0)
        entry, slow = fleet.speeds[0], fleet.servers[0]
        self.assertTrue(entry.rate(slow, fleet.now).measured_s > 0)
        restarted = attrs.evolve(slow, started_ms=5)
        loaded = attrs.evolve(slow, weights={"guide": 2})
        for fresh in (restarted, loaded):
            fleet.servers[0] = fresh
            for each in fleet.speeds:
                each.differ(fleet.servers, fleet.now + 1)
            fleet.now += 1
            fleet.exchange()
            fleet.now += 1
            self.assertThat(fleet.relative()[0], Equals(1.0))

    def test_wrong_estimate_corrects_itself_without_requests(self):
        fleet = Fleet()
        fleet.run(8.0)
        slow = fleet.servers.pop(0)
        fleet.true = dict(enumerate(UNEVEN[1:]))
        before = fleet.speeds[0].rate(slow, fleet.now).measured_s
        fleet.now += 3 * DECAY_S
        fleet.servers.insert(0, slow)
        fleet.speeds[0].differ(fleet.servers, fleet.now)
        after = fleet.speeds[0].rate(slow, fleet.now)
        self.assertTrue(after.measured_s < 0.1 * before)
        self.assertTrue(after.age_s >= 3 * DECAY_S)

    def test_malformed_sums_of_another_entry_are_ignored(self):
        fleet = Fleet()
        fleet.run(8.0)
        key = f"s/{fleet.servers[0].id}/0"
        for row in ([math.nan] * 4, [math.inf, 1.0], [], [1e300, 0.0, 1e300, 1.0]):
            fleet.sums[0].update_others("bad", [(key, row)], 1, fleet.now)
            fleet.now += 0.3
            fleet.speeds[0].differ(fleet.servers, fleet.now)
            speeds = fleet.speeds[0].speeds(fleet.servers, fleet.now)
            for each in speeds.values():
                self.assertTrue(0 < each.speed <= 5.0 and each.per_s > 0, each)

    def test_overdue_request_shows_a_slow_down_until_one_is_in_time(self):
        fleet = Fleet()
        fleet.run(8.0)
        entry, fast = fleet.speeds[0], fleet.servers[2]

        def delay_s():
            return entry.speeds(fleet.servers, fleet.now)[fast.run].delay_s

        sent = attrs.evolve(candidate(fast.id), server=fast)
        first = entry.record_sent(sent, 1_000.0, fleet.now)
        self.assertThat(delay_s(), Equals(0.0))
        fleet.now += 0.25
        self.assertTrue(delay_s() > 0)
        first(fleet.now)
        self.assertTrue(delay_s() > 0)
        fleet.now += 0.3
        self.assertThat(delay_s(), Equals(0.0))

    def test_plain_servers_are_measured_in_requests(self):
        fleet = Fleet(service="coats")
        fleet.run(10.0)
        self.assertThat(fleet.differ(), Equals([True] * 3))
        self.assertThat(fleet.relative(), Equals([0.6, 1.0, 1.6]))


def uneven_candidates(**changes):
    """Return candidates of speeds 0.6, 1.0 and 1.6 in the domain of the entry."""
    return [
        with_speed(
            candidate(f"s{n}", **changes),
            ServerSpeed(speed=each, per_s=50_000 * each, latency_s=0.04),
            "palermo",
        )
        for n, each in enumerate(UNEVEN)
    ]


class TestDecisionsBySpeed(testtools.TestCase):
    """Guards against decisions by tokens where a token takes unequal time."""

    def test_prompt_goes_where_it_is_expected_to_complete_first(self):
        slow, typical, fast = uneven_candidates(queued_tokens=20_000.0)
        for number in range(20):
            each = prompt(part=str(number))
            choice = choose_for_prompt([slow, typical, fast], each, None, NOW)
            self.assertIs(choice.candidate, fast)

    def test_slow_down_and_other_domain_cost_time(self):
        _, typical, fast = uneven_candidates()
        slowed = attrs.evolve(fast, delay_s=1.0)
        choice = choose_for_prompt([typical, slowed], prompt(), None, NOW)
        self.assertIs(choice.candidate, typical)
        far = with_speed(candidate("s1"), ServerSpeed(speed=1.0), "catania")
        self.assertTrue(far.delay_s > 0)
        # While the servers count as equal nothing is priced.
        plain = candidate("s1")
        self.assertIs(with_speed(plain, None, "catania"), plain)

    def test_admission_uses_the_rate_of_the_server(self):
        timing = RequestTiming(age_s=0.0, target_s=0.663, patience_s=6.6)
        decisions = [
            decide_admission(
                Choice(candidate=each, work_tokens=8_000.0), prompt(), timing, 0.0
            )
            for each in uneven_candidates(queued_tokens=20_000.0)
        ]
        # 28,000 tokens take 0.93, 0.56 and 0.35 s.
        send, defer = AdmissionDecision.SEND, AdmissionDecision.DEFER
        self.assertThat(decisions, Equals([defer, send, send]))

    def test_deferred_work_is_divided_by_the_sum_of_the_rates(self):
        deferred = DeferredPrompts()
        for key in range(4):
            deferred.add(key, 40_000.0)
        candidates = uneven_candidates()
        backlog_s = deferred.backlog_s(3, 1, mean_tokens_per_s(candidates))
        self.assertTrue(abs(backlog_s - 1.0) < 1e-9, backlog_s)
        equal = [candidate(f"s{n}") for n in range(3)]
        self.assertThat(
            deferred.backlog_s(3, 1, mean_tokens_per_s(equal)),
            Equals(deferred.backlog_s(3, 1)),
        )

    def test_fetch_is_weighed_against_the_servers_own_prefill(self):
        holder = candidate("holder", index=cached_index(aa=13_000))
        gains = []
        for receiver in uneven_candidates(transfer_token_s=10e-6):
            sources = FetchSources.find([receiver, holder], prompt(), None)
            gains.append(sources.best_for(receiver, 0)[0])
        self.assertThat(gains, Equals(sorted(gains, reverse=True)))
        far = attrs.evolve(
            holder, server=attrs.evolve(holder.server, failure_domain="catania")
        )
        receiver = uneven_candidates()[1]
        near_gain, far_gain = (
            FetchSources.find([receiver, each], prompt(), None).best_for(receiver, 0)[0]
            for each in (holder, far)
        )
        self.assertTrue(far_gain < near_gain)

    def test_servers_are_reserved_by_their_speeds(self):
        slow = [
            with_speed(candidate(f"s{n}", short_prompts=8), ServerSpeed(speed=s), "")
            for n, s in enumerate((0.5,) * 12)
        ]
        equal = [candidate(f"s{n}", short_prompts=8) for n in range(12)]
        self.assertTrue(len(reserved_for_short(slow)) > len(reserved_for_short(equal)))

    def test_plain_requests_prefer_fast_and_idle_servers(self):
        rng, counts = random.Random(8), [0, 0, 0]
        candidates = uneven_candidates()
        for _ in range(300):
            chosen = choose_without_prompt(candidates, NOW, rng.random()).candidate
            counts[int(chosen.server.id[1:])] += 1
        self.assertThat(counts[0], Equals(0))
        # The fastest does not get all, as entries decide on the same stale figures.
        self.assertTrue(0 < counts[1] < counts[2], counts)

    def test_requests_of_other_entries_count_less_with_age(self):
        loads = ServerLoads()
        for vm, at in (("e1", NOW), ("e2", NOW + 0.2)):
            load = RemoteLoad(
                prefill_tokens=0.0, in_flight=4, short_prompts=0, received_at=at
            )
            loads.update_remote(vm, "s2", load)
        total = loads.total("s2", 0, NOW + 0.3)
        self.assertTrue(abs(total.others_age_s - 0.2) < 1e-6, total)

        def chosen(age_s):
            _, typical, fast = uneven_candidates()
            busy = attrs.evolve(total, in_flight=256, others_age_s=age_s)
            fast = attrs.evolve(fast, total_load=busy, own_load=ServerLoad())
            return choose_without_prompt([typical, fast], NOW, 0.5).candidate.server.id

        self.assertThat((chosen(0.0), chosen(3.0)), Equals(("s1", "s2")))
