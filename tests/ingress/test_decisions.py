import random

import testtools
from testtools.matchers import Equals

from foxtailcourse.fleet import (
    Account,
    BackendServer,
    Configuration,
    FleetView,
    Service,
)
from foxtailcourse.ingress._budget import RetryBudget
from foxtailcourse.ingress._cache_feed import choose_followers
from foxtailcourse.ingress._cache_index import HeldParts
from foxtailcourse.ingress._call_budget import CallBudget
from foxtailcourse.ingress._candidates import CandidateFilter, cache_salt
from foxtailcourse.ingress._events import EventSplitter
from foxtailcourse.ingress._holdback import must_wait
from foxtailcourse.ingress._loads import RemoteLoad, ServerLoad, ServerLoads, TotalLoad
from foxtailcourse.ingress._placement import (
    CacheStore,
    Candidate,
    Choice,
    Prompt,
    choose_for_prompt,
    choose_plain,
    reserved_for_short,
    store_of,
)
from foxtailcourse.ingress._rollout import next_loads
from foxtailcourse.ingress._silence import Watched
from foxtailcourse.platform import CacheEvent, CacheEvents, PromptPart
from foxtailcourse.settings import Address

NOW = 100.0
STORE = Address("10.0.0.9", 80)


def server(name, version=1, started_ms=0, leaving=False, service="llm"):
    return BackendServer(
        id=name,
        service=service,
        address=Address("10.0.0.1", 1000 + sum(name.encode())),
        failure_domain="palermo",
        slots=64,
        leaving=leaving,
        weights={"guide": version} if service == "llm" else {},
        started_ms=started_ms,
    )


def candidate(name, queued=0.0, short=0, own=0, held=None, **changes):
    total = TotalLoad(prefill_tokens=queued, in_flight=own, short=short)
    return Candidate(
        server=server(name),
        load=ServerLoad(in_flight=own),
        total=total,
        entries=4,
        held=held or HeldParts(),
        salt="1",
        **changes,
    )


def holding(**parts):
    held = HeldParts()
    events = tuple(CacheEvent(salt="1", part=k, tokens=v) for k, v in parts.items())
    held.apply(CacheEvents(epoch=1, next=1, lost=False, events=events))
    return held


def prompt(shared=13_000, own=2_000, part="aa"):
    parts = (PromptPart(id=part, tokens=shared), PromptPart(id="zz", tokens=own))
    return Prompt(parts=parts, tokens=shared + own)


class TestPlacement(testtools.TestCase):
    """Guards the weighing of caches against queues."""

    def test_holder_is_preferred_until_its_queue_costs_more(self):
        held = holding(aa=13_000)
        rest = [candidate(name) for name in ("s2", "s3", "s4", "s5")]
        fixed = [candidate("s1", held=held), *rest]
        busy = [candidate("s1", queued=60_000.0, held=held), *rest]
        self.assertThat(
            choose_for_prompt(fixed, prompt(), None, NOW).candidate.server.id,
            Equals("s1"),
        )
        choice = choose_for_prompt(busy, prompt(), None, NOW)
        self.assertTrue(choice.candidate.server.id != "s1")
        self.assertThat(choice.fetch_from, Equals(fixed[0].server.address))

    def test_store_is_asked_when_no_server_holds_the_part(self):
        candidates = [candidate(name) for name in ("s1", "s2", "s3", "s4")]
        known = CacheStore(address=STORE, held=holding(aa=13_000))
        choice = choose_for_prompt(candidates, prompt(), known, NOW)
        self.assertThat(choice.fetch_from, Equals(STORE))
        self.assertTrue(choice.tokens_to_read < 15_000)

    def test_parts_are_shared_out_over_several_stores(self):
        stores = [
            CacheStore(address=Address("10.0.0.9", port), held=HeldParts())
            for port in (1, 2, 3)
        ]
        homes = [store_of(f"part{n}", stores).address.port for n in range(300)]
        for port in (1, 2, 3):
            self.assertTrue(70 < homes.count(port) < 130)
        self.assertIs(store_of("part1", []), None)
        # A lost store moves only its own parts.
        left = [store_of(f"part{n}", stores[:2]).address.port for n in range(300)]
        moved = [a for a, b in zip(homes, left, strict=True) if a != b]
        self.assertThat(set(moved), Equals({3}))

    def test_nothing_is_fetched_across_versions(self):
        other = Candidate(
            server=server("s1", version=2),
            load=ServerLoad(),
            total=TotalLoad(prefill_tokens=90_000, in_flight=0, short=0),
            entries=4,
            held=holding(aa=13_000),
            salt="2",
        )
        choice = choose_for_prompt([other, candidate("s2")], prompt(), None, NOW)
        self.assertThat(choice.candidate.server.id, Equals("s2"))
        self.assertIs(choice.fetch_from, None)

    def test_expected_part_is_not_offered_for_a_fetch(self):
        reading = HeldParts()
        reading.expect("1", prompt().parts[:1], NOW)
        candidates = [candidate("s1", queued=90_000.0, held=reading), candidate("s2")]
        choice = choose_for_prompt(candidates, prompt(), None, NOW)
        self.assertIs(choice.fetch_from, None)

    def test_short_prompts_avoid_servers_in_a_long_prefill(self):
        rng = random.Random(5)
        for _ in range(200):
            names = [f"s{n}" for n in range(5)]
            loaded = rng.choice(names)
            candidates = [
                candidate(name, queued=27_000.0 if name == loaded else 0.0)
                for name in names
            ]
            part = str(rng.random())
            short = prompt(shared=90, own=290, part=part)
            choice = choose_for_prompt(candidates, short, None, NOW)
            self.assertTrue(choice.candidate.server.id != loaded)

    def test_long_prompts_leave_reserved_servers_free_while_others_have_room(self):
        names = [f"s{n}" for n in range(5)]
        idle = [candidate(name) for name in names]
        reserved = reserved_for_short(idle)
        self.assertThat(len(reserved), Equals(1))
        for number in range(100):
            choice = choose_for_prompt(idle, prompt(part=str(number)), None, NOW)
            self.assertNotIn(choice.candidate.server.id, reserved)
        full = [candidate(n, queued=0.0 if n in reserved else 90_000.0) for n in names]
        choice = choose_for_prompt(full, prompt(), None, NOW)
        self.assertIn(choice.candidate.server.id, reserved)

    def test_reservation_follows_the_short_prompts_in_flight(self):
        def count(short):
            found = [candidate(f"s{n}", short=short) for n in range(12)]
            return len(reserved_for_short(found))

        self.assertThat([count(0), count(3), count(50)], Equals([1, 2, 4]))
        self.assertThat(
            reserved_for_short([candidate("a"), candidate("b")]), Equals(set())
        )

    def test_plain_requests_spread_and_leave_a_failing_server(self):
        rng = random.Random(3)
        candidates = [candidate(name) for name in ("a", "b", "c")]
        for _ in range(30):
            candidates[0].load.failed(NOW)
        picked = [
            choose_plain(candidates, NOW, rng.random()).candidate.server.id
            for _ in range(300)
        ]
        self.assertThat(set(picked), Equals({"b", "c"}))
        self.assertTrue(abs(picked.count("b") - 150) < 60)

    def test_entries_with_the_same_old_news_do_not_meet_at_one_server(self):
        """Many entries choose within one renewal; their choices must spread."""
        rng = random.Random(9)
        counts = dict.fromkeys(("a", "b", "c"), 0)
        for _ in range(300):
            candidates = [candidate(name, own=0) for name in counts]
            chosen = choose_plain(candidates, NOW, rng.random())
            counts[chosen.candidate.server.id] += 1
        self.assertTrue(max(counts.values()) < 150, counts)


class TestCacheIndex(testtools.TestCase):
    """Guards against relying on parts that are gone."""

    def test_restart_gap_and_eviction_are_followed(self):
        held = holding(aa=100, bb=50)
        parts = (PromptPart(id="aa", tokens=100), PromptPart(id="bb", tokens=50))
        self.assertThat(held.covered("1", parts, NOW), Equals(150))
        self.assertThat(held.covered("2", parts, NOW), Equals(0))
        part = CacheEvent(salt="1", part="aa", tokens=64)
        held.apply(CacheEvents(epoch=1, next=2, lost=False, events=(part,)))
        self.assertThat(held.covered("1", parts, NOW), Equals(64))
        held.apply(CacheEvents(epoch=2, next=1, lost=False, events=()))
        self.assertThat(held.covered("1", parts, NOW), Equals(0))
        held = holding(aa=100)
        held.apply(CacheEvents(epoch=1, next=9, lost=True, events=()))
        self.assertThat(held.covered("1", parts, NOW), Equals(0))

    def test_expectation_lapses(self):
        held = HeldParts()
        parts = (PromptPart(id="aa", tokens=100),)
        held.expect("1", parts, NOW)
        self.assertThat(held.covered("1", parts, NOW + 0.5), Equals(100))
        self.assertThat(held.covered("1", parts, NOW + 5), Equals(0))
        self.assertThat(held.confirmed("1", parts), Equals(0))

    def test_followers_are_agreed_without_a_message(self):
        entries = {f"e{n}" for n in range(25)}
        for source in ("s1", "s2", "10.0.0.9:80"):
            found = choose_followers(source, entries)
            self.assertThat(len(found.reading), Equals(6))
            self.assertThat(found.others, Equals(entries - set(found.reading)))
            self.assertThat(sum(found.publishes(e) for e in entries), Equals(2))
        # A server that holds two event calls is read by two.
        self.assertThat(len(choose_followers("s1", entries, 2).reading), Equals(2))
        few = choose_followers("s1", {"e1", "e2"})
        self.assertThat(few.others, Equals(set()))


class TestBudget(testtools.TestCase):
    """Guards the platform's bound on repeats, over all entries and any window."""

    def test_repeats_of_all_entries_stay_within_the_bound(self):
        for seed in range(20):
            rng = random.Random(seed)
            entries = rng.choice([1, 4, 25])
            budgets = [RetryBudget(0.2, 52, 10.0) for _ in range(entries)]
            requests, repeats, now = [], [], 0.0
            while now < 60:
                now += rng.expovariate(40)
                budget = rng.choice(budgets)
                budget.note_request(now)
                requests.append(now)
                # Every request fails and wants to be repeated.
                if budget.take(now, entries):
                    repeats.append(now)
            for start in (t / 2 for t in range(0, 100)):
                window = [t for t in repeats if start <= t < start + 10]
                asked = [t for t in requests if start <= t < start + 10]
                bound = 0.2 * len(asked) + 52
                self.assertTrue(len(window) <= bound, (seed, start))

    def test_unknown_number_of_entries_is_taken_as_many(self):
        def granted(entries):
            budget = RetryBudget(0.2, 52, 10.0)
            return sum(budget.take(1.0, entries) for _ in range(100))

        self.assertTrue(granted(0) < granted(4) < granted(1))


class TestCallBudget(testtools.TestCase):
    """Guards the store's rates against all entries together."""

    def test_entries_that_retry_without_pause_stay_within_the_rate(self):
        for entries in (1, 4, 25):
            budgets = [CallBudget(400.0) for _ in range(entries)]
            calls = 0
            for budget in budgets:
                now = 0.0
                while now < 10.0:
                    now += budget.take(now, entries)
                    calls += 1
            # Half of the rate, and one burst.
            self.assertTrue(calls <= 0.5 * 400 * 11 + entries, (entries, calls))

    def test_usual_calls_do_not_wait(self):
        budget = CallBudget(400.0)
        waits = [budget.take(n * 0.4, 25) for n in range(200)]
        self.assertThat(max(waits), Equals(0.0))

    def test_unknown_number_of_entries_is_taken_as_many(self):
        def wait(entries):
            budget = CallBudget(400.0)
            return max(budget.take(0.0, entries) for _ in range(300))

        self.assertTrue(wait(0) > wait(4) > wait(1))


class TestLoads(testtools.TestCase):
    """Guards what entries count of each other."""

    def test_news_of_others_lapse_and_an_idle_server_is_told(self):
        loads = ServerLoads()
        load = RemoteLoad(prefill_tokens=500, in_flight=2, short=1, received_at=NOW)
        loads.take_remote("e2", "s1", load)
        loads.of("s1", 0).in_flight = 1
        self.assertThat(loads.total("s1", 0, NOW).in_flight, Equals(3))
        self.assertThat(loads.total("s1", 0, NOW + 5).in_flight, Equals(1))

    def test_suspension_grows_and_ends_with_an_answer(self):
        load = ServerLoad()
        load.unreachable(NOW)
        first = load.suspended_until - NOW
        load.unreachable(NOW)
        self.assertTrue(load.suspended_until - NOW > first)
        for _ in range(20):
            load.unreachable(NOW)
        self.assertTrue(load.suspended_until - NOW <= 3.0)
        load.succeeded(NOW)
        self.assertThat(load.suspended_until, Equals(0.0))


class TestCandidates(testtools.TestCase):
    """Guards which servers may take a request at all."""

    def filter(self, *servers, **changes):
        view = FleetView()
        view.servers = {each.id: each for each in servers}
        view.entries = {"e1", "e2"}
        services = {"llm": Service(name="llm", connection_limit=10)}
        view.configuration = Configuration(
            version=1, routes={}, services=services, accounts={}, keys_required=False
        )
        return CandidateFilter(view, ServerLoads(), {}, 15.0)

    def names(self, found, now=NOW, tried=()):
        selection = found.select("llm", "guide", None, tried, now)
        return [each.server.id for each in selection.candidates], selection.reason

    def test_old_weights_are_used_only_within_their_time(self):
        found = self.filter(server("a", version=1))
        found.view.name_weights("guide", 2, NOW)
        self.assertThat(self.names(found, NOW + 5), Equals((["a"], "")))
        self.assertThat(self.names(found, NOW + 13.5), Equals(([], "old_weights")))

    def test_leaving_loading_tried_and_suspended_servers_are_left_out(self):
        found = self.filter(server("a"), server("b"), server("c", leaving=True))
        self.assertThat(self.names(found, tried=["a"]), Equals((["b"], "")))
        found.view.loading = {"a"}
        self.assertThat(self.names(found), Equals((["b"], "")))
        found.view.loading = {"a", "b"}
        self.assertThat(self.names(found), Equals(([], "loading_weights")))
        found.view.loading = set()
        found.loads.of("a", 0).unreachable(NOW)
        self.assertThat(self.names(found), Equals((["b"], "")))
        found.loads.of("b", 0).unreachable(NOW)
        self.assertThat(self.names(found), Equals((["a", "b"], "")))

    def test_connection_limit_counts_all_entries(self):
        found = self.filter(server("a"))
        load = RemoteLoad(prefill_tokens=0, in_flight=8, short=0, received_at=NOW)
        found.loads.take_remote("e2", "a", load)
        self.assertThat(self.names(found), Equals((["a"], "")))
        found.loads.of("a", 0).in_flight = 1
        self.assertThat(self.names(found), Equals(([], "connection_limit")))

    def test_salts_separate_versions_and_isolated_accounts(self):
        walled = Account(name="w", priority=0, isolated=True)
        other = Account(name="v", priority=0, isolated=True)
        shared = Account(name="t", priority=0, isolated=False)
        salts = [cache_salt(v, a) for v in (1, 2) for a in (None, walled, other)]
        self.assertThat(len(set(salts)), Equals(6))
        self.assertThat(cache_salt(1, shared), Equals(cache_salt(1, None)))


class TestRolloutPlan(testtools.TestCase):
    """Guards how many servers load at once."""

    def test_a_bounded_part_loads_and_leaving_servers_do_not(self):
        for total, expected in ((1, 1), (5, 2), (23, 9), (26, 10)):
            view = FleetView()
            view.servers = {f"s{n}": server(f"s{n}") for n in range(total)}
            view.servers["gone"] = server("gone", leaving=True)
            view.name_weights("guide", 2, NOW)
            loads = next_loads(view, set(), ServerLoads(), NOW, 15.0)
            self.assertThat(len(loads), Equals(expected))
            self.assertNotIn("gone", [each.server.id for each in loads])
            busy = {each.server.id for each in loads}
            self.assertThat(
                next_loads(view, busy, ServerLoads(), NOW, 15.0), Equals([])
            )

    def test_fewer_load_at_once_while_the_others_are_crowded(self):
        view = FleetView()
        view.servers = {f"s{n}": server(f"s{n}") for n in range(5)}
        view.name_weights("guide", 2, NOW)
        loads = ServerLoads()
        for name in view.servers:
            loads.of(name, 0).prefill_tokens = 40_000.0

        def count(now):
            return len(next_loads(view, set(), loads, now, 15.0))

        # In time even one after the other would not do, so two go when time is short.
        self.assertThat(count(NOW), Equals(2))
        view.weights.clear()
        view.name_weights("guide", 3, NOW + 100)
        for each in ("s0", "s1", "s2"):
            view.note_loaded(each, 0, "guide", 3)
        self.assertThat(count(NOW + 101), Equals(1))
        self.assertThat(count(NOW + 113), Equals(2))


class TestSilence(testtools.TestCase):
    """Guards streams to slow callers."""

    def test_slow_caller_is_not_a_silent_server(self):
        watched = Watched(ServerLoad(), 1.0, NOW)
        self.assertFalse(watched.is_silent(NOW + 0.9))
        self.assertTrue(watched.is_silent(NOW + 1.1))
        with watched.pass_on(lambda: NOW + 5):
            self.assertFalse(watched.is_silent(NOW + 4))
        self.assertFalse(watched.is_silent(NOW + 5.9))
        self.assertTrue(watched.is_silent(NOW + 6.1))

    def test_requests_of_a_busy_server_are_not_repeated(self):
        """Each event takes longer than the silence, but others keep coming."""
        load = ServerLoad()
        begun = [NOW + n * 0.15 for n in range(8)]
        attempts = [Watched(load, 0.5, each) for each in begun]
        news = sorted(
            (at + after_s, number)
            for number, at in enumerate(begun)
            for after_s in (0.0, 0.9)  # the head, then the event that ends it
        )
        ended: set[int] = set()
        for at, number in news:
            running = [
                each
                for n, each in enumerate(attempts)
                if begun[n] < at and n not in ended
            ]
            self.assertFalse(any(each.is_silent(at) for each in running), at)
            attempts[number].note_progress(at)
            if at > begun[number]:
                ended.add(number)
        # Once nothing comes any more, every one of them counts as silent.
        self.assertTrue(all(each.is_silent(NOW + 30) for each in attempts))

    def test_busy_server_is_not_a_silent_one(self):
        load = ServerLoad(progress_at=NOW + 1.0)
        watched = Watched(load, 1.0, NOW)
        self.assertFalse(watched.is_silent(NOW + 1.5))
        self.assertTrue(watched.is_silent(NOW + 1.7))


class TestHoldBack(testtools.TestCase):
    """Guards short prompts against long ones that could start later."""

    def choice(self, queued):
        return Choice(candidate=candidate("s1", queued=queued))

    def test_long_prompts_wait_only_while_the_server_has_enough(self):
        self.assertFalse(must_wait(self.choice(0), prompt(), 0.0, 12.0))
        self.assertTrue(must_wait(self.choice(50_000), prompt(), 0.0, 12.0))
        self.assertTrue(must_wait(self.choice(50_000), prompt(), 0.5, 12.0))
        # The longer it has waited, the more it accepts; it never waits for good.
        self.assertFalse(must_wait(self.choice(50_000), prompt(), 1.2, 12.0))
        self.assertFalse(must_wait(self.choice(10**9), prompt(), 3.0, 12.0))
        short = prompt(shared=90, own=290)
        self.assertFalse(must_wait(self.choice(10**9), short, 0.0, 6.0))

    def test_burst_of_long_prompts_delays_no_short_one_beyond_its_target(self):
        """Plays 3 s of 1.5 times the capacity against one server that reads in turn."""

        def play(hold):
            rate, now, queue, held, first = 60_000.0, 0.0, [], [], []
            arrivals = [(n * 0.011 + 0.005, 380, True) for n in range(270)]
            arrivals += [(n * 0.18, 16_000, False) for n in range(17)]
            arrivals.sort()
            while arrivals or queue or held:
                now += 0.001
                while arrivals and arrivals[0][0] <= now:
                    at, tokens, is_short = arrivals.pop(0)
                    entry = [at, tokens, is_short]
                    (queue if is_short or not hold else held).append(entry)
                for entry in list(held):
                    waiting = sum(each[1] for each in queue)
                    if not must_wait(
                        self.choice(waiting), prompt(), now - entry[0], 12.0
                    ):
                        held.remove(entry)
                        queue.append(entry)
                left = rate * 0.001
                while queue and left > 0:
                    done = min(left, queue[0][1])
                    queue[0][1] -= done
                    left -= done
                    if queue[0][1] <= 0:
                        at, _, is_short = queue.pop(0)
                        first.append((now - at, is_short))
            short = sorted(t for t, is_short in first if is_short)
            return short[int(0.95 * len(short))], now

        late, end = play(hold=False)
        held, held_end = play(hold=True)
        self.assertTrue(late > 1.1)
        self.assertTrue(held < late * 0.75, (held, late))
        # No capacity is lost by waiting.
        self.assertTrue(held_end <= end * 1.02)


class TestEventSplitter(testtools.TestCase):
    """Guards the bytes and the order of resumed streams."""

    def test_any_cut_leaves_whole_events_and_resumes_after_them(self):
        events = [f"id: {n}\ndata: t{n}\n\n".encode() for n in range(1, 6)]
        whole = b"".join(events)
        for cut in range(len(whole) + 1):
            first = EventSplitter()
            sent = first.feed(whole[: cut // 2]) + first.feed(whole[cut // 2 : cut])
            last = int(first.last_id or 0)
            self.assertThat(sent, Equals(b"".join(events[:last])))
            second = EventSplitter(first.last_id)
            # A server that repeats an event that was passed on does no harm.
            again = b"".join(events[max(0, last - 1) :])
            rest = second.feed(again) + second.end()
            self.assertThat(sent + rest, Equals(whole))
