import random

import attrs
import testtools
from decision_case import NOW, make_limits, server
from ingress_case import configuration
from testtools.matchers import Equals

from foxtailcourse.fleet import (
    Account,
    Configuration,
    FleetView,
    Service,
)
from foxtailcourse.ingress._candidates import CandidateFilter, cache_salt
from foxtailcourse.ingress._rollout import plan_weight_loads
from foxtailcourse.ingress._server_loads import RemoteLoad, ServerLoad, ServerLoads
from foxtailcourse.platform._records import decode_configuration


class TestServerLoads(testtools.TestCase):
    """Guards the loads that entries count for themselves and for each other."""

    def test_loads_of_other_entries_expire(self):
        loads = ServerLoads()
        load = RemoteLoad(
            prefill_tokens=500, in_flight=2, short_prompts=1, received_at=NOW
        )
        loads.update_remote("e2", "s1", load)
        loads.for_server("s1", 0).in_flight = 1
        self.assertThat(loads.total("s1", 0, NOW).in_flight, Equals(3))
        self.assertThat(loads.total("s1", 0, NOW + 5).in_flight, Equals(1))

    def test_totals_equal_the_sum_over_all_entries(self):
        """Applies random updates; the totals equal the sums of the unexpired ones."""
        rng = random.Random(4)
        loads, newest, now = ServerLoads(), {}, NOW
        for _ in range(2_000):
            now += rng.expovariate(20)
            vm = f"e{rng.randrange(12)}"
            load = RemoteLoad(
                prefill_tokens=rng.randrange(9_000),
                in_flight=rng.randrange(9),
                short_prompts=rng.randrange(5),
                received_at=now,
            )
            newest[vm] = load
            loads.update_remote(vm, "s1", load)
            valid = [e for e in newest.values() if now - e.received_at < 1.5]
            total = loads.total("s1", 0, now)
            self.assertThat(total.in_flight, Equals(sum(e.in_flight for e in valid)))
            self.assertThat(
                total.short_prompts, Equals(sum(e.short_prompts for e in valid))
            )
            tokens = sum(e.prefill_tokens for e in valid)
            self.assertTrue(abs(total.prefill_tokens - tokens) < 1e-6)

    def test_suspension_grows_and_ends_with_a_response(self):
        load = ServerLoad()
        load.record_unreachable(NOW)
        first = load.suspended_until - NOW
        load.record_unreachable(NOW)
        self.assertTrue(load.suspended_until - NOW > first)
        for _ in range(20):
            load.record_unreachable(NOW)
        self.assertTrue(load.suspended_until - NOW <= 3.0)
        load.record_success(NOW)
        self.assertThat(load.suspended_until, Equals(0.0))


class TestCandidates(testtools.TestCase):
    """Guards which servers are eligible for a request."""

    def make_filter(self, *servers, **changes):
        view = FleetView()
        view.servers = {each.id: each for each in servers}
        view.entries = {"e1", "e2"}
        services = {"llm": Service(name="llm", connection_limit=10)}
        view.configuration = Configuration(
            version=1, routes={}, services=services, accounts={}, keys_required=False
        )
        limits = make_limits("e1", view.entries)
        return CandidateFilter(view, ServerLoads(), {}, 15.0, limits)

    def eligible_names(self, candidate_filter, now=NOW, tried=()):
        """Return the names of the eligible servers, and why there are none."""
        selection = candidate_filter.select("llm", "guide", None, tried, now)
        return [each.server.id for each in selection.candidates], selection.reason

    def test_outdated_weights_are_used_only_within_their_time_limit(self):
        candidate_filter = self.make_filter(server("a", version=1))
        candidate_filter.view.set_desired_weights("guide", 2, NOW)
        self.assertThat(
            self.eligible_names(candidate_filter, NOW + 5), Equals((["a"], ""))
        )
        self.assertThat(
            self.eligible_names(candidate_filter, NOW + 13.5),
            Equals(([], "old_weights")),
        )

    def test_time_limit_of_weights_starts_with_the_oldest_newer_version(self):
        candidate_filter = self.make_filter(server("a", version=2))
        view = candidate_filter.view
        for version, at in ((2, NOW - 4), (3, NOW), (4, NOW + 4), (5, NOW + 8)):
            view.set_desired_weights("guide", version, at)
        self.assertThat(
            self.eligible_names(candidate_filter, NOW + 12), Equals((["a"], ""))
        )
        self.assertThat(
            self.eligible_names(candidate_filter, NOW + 13.5),
            Equals(([], "old_weights")),
        )

    def test_leaving_loading_tried_and_suspended_servers_are_left_out(self):
        candidate_filter = self.make_filter(
            server("a"), server("b"), server("c", leaving=True)
        )
        self.assertThat(
            self.eligible_names(candidate_filter, tried=["a"]), Equals((["b"], ""))
        )
        candidate_filter.view.loading = {"a"}
        self.assertThat(self.eligible_names(candidate_filter), Equals((["b"], "")))
        candidate_filter.view.loading = {"a", "b"}
        self.assertThat(
            self.eligible_names(candidate_filter), Equals(([], "loading_weights"))
        )
        candidate_filter.view.loading = set()
        candidate_filter.loads.for_server("a", 0).record_unreachable(NOW)
        self.assertThat(self.eligible_names(candidate_filter), Equals((["b"], "")))
        candidate_filter.loads.for_server("b", 0).record_unreachable(NOW)
        self.assertThat(self.eligible_names(candidate_filter), Equals((["a", "b"], "")))

    def test_entries_that_hear_of_no_loads_keep_the_connection_limit(self):
        for entries, limit in ((2, 10), (5, 110), (28, 420), (68, 540)):
            candidate_filter = self.make_filter(server("a"))
            view = candidate_filter.view
            view.entries.update(f"e{n}" for n in range(1, entries + 1))
            view.configuration = attrs.evolve(
                view.configuration,
                services={"llm": Service(name="llm", connection_limit=limit)},
            )
            load = candidate_filter.loads.for_server("a", 0)
            while self.eligible_names(candidate_filter)[0]:
                load.in_flight += 1
            self.assertTrue(entries * load.in_flight <= limit, (entries, load))

    def test_entry_that_disappeared_keeps_its_share_of_the_connections(self):
        candidate_filter = self.make_filter(server("a"))
        self.eligible_names(candidate_filter)
        candidate_filter.view.entries.remove("e2")
        load = candidate_filter.loads.for_server("a", 0)
        load.in_flight = 5
        self.assertThat(
            self.eligible_names(candidate_filter), Equals(([], "connection_limit"))
        )
        self.assertThat(
            self.eligible_names(candidate_filter, NOW + 60), Equals((["a"], ""))
        )

    def test_connection_limit_counts_all_entries(self):
        candidate_filter = self.make_filter(server("a"))
        load = RemoteLoad(
            prefill_tokens=0, in_flight=8, short_prompts=0, received_at=NOW
        )
        candidate_filter.loads.update_remote("e2", "a", load)
        self.assertThat(self.eligible_names(candidate_filter), Equals((["a"], "")))
        candidate_filter.loads.for_server("a", 0).in_flight = 1
        self.assertThat(
            self.eligible_names(candidate_filter), Equals(([], "connection_limit"))
        )

    def test_salts_separate_versions_and_isolated_accounts(self):
        isolated = Account(name="w", priority=0, isolated=True)
        other = Account(name="v", priority=0, isolated=True)
        shared = Account(name="t", priority=0, isolated=False)
        salts = [cache_salt(v, a) for v in (1, 2) for a in (None, isolated, other)]
        self.assertThat(len(set(salts)), Equals(6))
        self.assertThat(cache_salt(1, shared), Equals(cache_salt(1, None)))

    def test_what_an_account_cached_before_it_was_isolated_is_not_shared(self):
        shared = Account(name="t", priority=0, isolated=False)
        salts = {}
        for isolated in ((), ("w",), ("v",), ("v", "w")):
            tenants = [
                # An account without keys has cached parts all the same.
                {"name": name, "apiKeys": [], "isolated": name in isolated}
                for name in ("w", "v", "t")
            ]
            for order in (tenants, tenants[::-1]):
                decoded = decode_configuration(configuration(accounts=order))
                salt = cache_salt(1, shared, decoded.isolation)
                salts.setdefault(isolated, set()).add(salt)
        self.assertThat(salts[()], Equals({cache_salt(1, None)}))
        self.assertThat({len(each) for each in salts.values()}, Equals({1}))
        self.assertThat(len(set.union(*salts.values())), Equals(len(salts)))
        own = Account(name="w", priority=0, isolated=True)
        self.assertThat(cache_salt(1, own, "x"), Equals(cache_salt(1, own, "y")))


class TestRolloutPlan(testtools.TestCase):
    """Guards how many servers load weights concurrently."""

    def test_a_bounded_fraction_loads_and_leaving_servers_do_not(self):
        for total, expected in ((1, 1), (5, 2), (23, 9), (26, 10)):
            view = FleetView()
            view.servers = {f"s{n}": server(f"s{n}") for n in range(total)}
            view.servers["gone"] = server("gone", leaving=True)
            view.set_desired_weights("guide", 2, NOW)
            loads = plan_weight_loads(view, set(), ServerLoads(), NOW, 15.0)
            self.assertThat(len(loads), Equals(expected))
            self.assertNotIn("gone", [each.server.id for each in loads])
            busy = {each.server.id for each in loads}
            self.assertThat(
                plan_weight_loads(view, busy, ServerLoads(), NOW, 15.0), Equals([])
            )

    def test_servers_that_are_outdated_longest_load_first(self):
        """The busiest server must not be left behind by one version after another."""
        view = FleetView()
        view.servers = {f"s{n}": server(f"s{n}", version=3) for n in range(5)}
        view.servers["s4"] = server("s4", version=2)
        for version, at in ((3, NOW), (4, NOW + 4)):
            view.set_desired_weights("guide", version, at)
        loads = ServerLoads()
        loads.for_server("s4", 0).in_flight = 50
        planned = plan_weight_loads(view, set(), loads, NOW + 5, 15.0)
        self.assertThat(planned[0].server.id, Equals("s4"))
        self.assertThat({each.version for each in planned}, Equals({4}))

    def test_fewer_servers_load_concurrently_during_overload(self):
        view = FleetView()
        view.servers = {f"s{n}": server(f"s{n}") for n in range(5)}
        view.set_desired_weights("guide", 2, NOW)
        loads = ServerLoads()
        for name in view.servers:
            loads.for_server(name, 0).prefill_tokens = 40_000.0

        def count(now):
            return len(plan_weight_loads(view, set(), loads, now, 15.0))

        # One load at a time would exceed the time limit, so two servers load at once.
        self.assertThat(count(NOW), Equals(2))
        view.desired_weights.clear()
        view.set_desired_weights("guide", 3, NOW + 100)
        for each in ("s0", "s1", "s2"):
            view.record_loaded_weights(each, 0, "guide", 3)
        self.assertThat(count(NOW + 101), Equals(1))
        self.assertThat(count(NOW + 113), Equals(2))
