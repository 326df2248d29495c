"""Guards against lost or duplicated requests and against violated shares."""

import random

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from sharing_support import (
    LONG,
    SHORT,
    NaiveFair,
    backlog,
    cost_s,
    fixed_queue,
    repeat_request,
    request,
    run,
    service_s,
)
from testtools.matchers import Equals, GreaterThan, LessThan

from foxtailcourse.emulator.sharing.baselines import (
    DeficitRoundRobinQueue,
    TokenBucketQueue,
)
from foxtailcourse.sharing import FifoQueue, Refusal
from foxtailcourse.sharing._flow_queue import FlowQueue

SHARES = {"a": 1.0, "b": 2.0, "c": 5.0}
steps = st.lists(
    st.tuples(
        st.sampled_from(["offer", "offer", "take", "take", "finish", "withdraw"]),
        st.sampled_from("abc"),
        st.sampled_from([SHORT, LONG]),
        st.integers(0, 2_000),
    ),
    max_size=120,
)
with_fixed_seed = settings(derandomize=True, deadline=None, max_examples=150)


class TestAgainstNaiveModel(testtools.TestCase):
    """Guards against an order that differs from fair queueing.

    The queue keeps its order in heaps with outdated entries; the reference model
    scans all requests.
    """

    @with_fixed_seed
    @given(steps, st.integers(1, 4))
    def test_every_start_is_allowed_by_the_reference_model(self, ops, slots):
        queue = fixed_queue(
            slots=slots,
            reserved_short_slots=0,
            long_floor=0.0,
            short_burst_s=1e9,
            max_debt_s=1e9,
            max_long_prefill_tokens=10**9,
        )
        naive = NaiveFair()
        for op, account, kind, size in ops:
            if op == "offer":
                req = request(account, kind, size, size // 10, SHARES[account])
                queue.offer(req, 0.0)
                naive.offer(req)
            elif op == "take":
                self.check_take(queue.take(0.0), naive, slots)
            elif op == "finish" and naive.running:
                attempt_id = sorted(naive.running)[size % len(naive.running)]
                queue.finish(attempt_id, size // 5, 0.0)
                naive.finish(attempt_id, size // 5)
            elif op == "withdraw" and naive.waiting:
                req = naive.waiting.pop(size % len(naive.waiting))
                self.assertTrue(queue.withdraw(req.attempt_id, 0.0))
            self.assertThat(queue.waiting, Equals(len(naive.waiting)))
            self.assertThat(queue.running, Equals(len(naive.running)))

    def check_take(self, taken, naive, slots):
        if not naive.waiting or len(naive.running) >= slots:
            self.assertIsNone(taken)
            return
        kind = SHORT if naive.waiting_requests(SHORT) else LONG
        self.assertThat(taken.request_class, Equals(kind))
        tags = naive.tags[kind]
        lowest = tags[naive.next_waiting(kind).client_account]
        self.assertThat(tags[taken.client_account], LessThan(lowest + 1e-6))
        self.assertThat(
            naive.waiting_requests(kind, taken.client_account)[0], Equals(taken)
        )
        naive.start(taken)


class TestEndings(testtools.TestCase):
    """Guards against requests that are lost or end twice, and against idle slots."""

    @with_fixed_seed
    @given(steps, st.integers(0, 2))
    def test_every_request_ends_once_and_no_slot_idles(self, ops, reserved):
        queue = fixed_queue(slots=4, reserved_short_slots=reserved, max_waiting=20)
        ended, waiting, running, now = [], {}, {}, 0.0
        for op, account, kind, size in ops:
            now += size % 7 / 10
            for late in queue.expire(now):
                ended.append(waiting.pop(late.attempt_id))
            if op == "offer":
                deadline = now + size / 500
                req = request(account, kind, size, 10, deadline=deadline)
                answer = queue.offer(req, now)
                refused = isinstance(answer, Refusal)
                (
                    ended.append(req)
                    if refused
                    else waiting.update({req.attempt_id: req})
                )
                self.assertIsInstance(queue.offer(req, now), Refusal)
            elif op == "take":
                taken = queue.take(now)
                if taken is not None:
                    running[taken.attempt_id] = waiting.pop(taken.attempt_id)
                    self.assertThat(taken.deadline, GreaterThan(now - 1e-9))
            elif op == "finish" and running:
                attempt_id, req = running.popitem()
                queue.finish(attempt_id, size, now)
                queue.finish(attempt_id, size, now)
                ended.append(req)
            elif op == "withdraw" and waiting:
                attempt_id, req = waiting.popitem()
                self.assertTrue(queue.withdraw(attempt_id, now))
                self.assertFalse(queue.withdraw(attempt_id, now))
                ended.append(req)
            self.assertThat(queue.waiting, Equals(len(waiting)))
            self.assertThat(queue.running, Equals(len(running)))
            self.assertThat(queue.waiting, LessThan(21))
        while queue.waiting or queue.running:
            now += 1.0
            while (taken := queue.take(now)) is not None:
                running[taken.attempt_id] = waiting.pop(taken.attempt_id)
            for late in queue.expire(now):
                ended.append(waiting.pop(late.attempt_id))
            self.assertTrue(running or not waiting, "waiting work, but nothing runs")
            for attempt_id in list(running):
                queue.finish(attempt_id, 1, now)
                ended.append(running.pop(attempt_id))
        names = [each.attempt_id for each in ended]
        self.assertThat(len(set(names)), Equals(len(names)))

    def test_any_number_of_slots_serves_both_classes(self):
        for slots in range(1, 20):
            queue = fixed_queue(slots=slots)
            for kind in (SHORT, LONG):
                queue.offer(request("a", kind), 0.0)
                taken = queue.take(0.0)
                self.assertThat(taken.request_class, Equals(kind))
                queue.finish(taken.attempt_id, 20, 0.0)
        self.assertRaises(ValueError, fixed_queue, slots=2, reserved_short_slots=2)

    def test_one_account_cannot_fill_the_queue(self):
        queue = fixed_queue(max_waiting=10, max_waiting_per_account=4)
        answers = [queue.offer(request("a"), 0.0) for _ in range(5)]
        self.assertThat(answers[-1].code, Equals("account_queue_full"))
        for i in range(6):
            self.assertNotIsInstance(queue.offer(request("b" + str(i)), 0.0), Refusal)
        self.assertThat(queue.offer(request("c"), 0.0).code, Equals("queue_full"))


def lag_over_bound(queue, costs, kind=SHORT):
    """Return the largest lag between two busy accounts, in units of its bound.

    The bound for start-time fair queueing is the sum of the largest weighted costs.
    """
    arrivals = []
    for account, share in SHARES.items():
        sizes = costs[account]
        arrivals += [(0.0, request(account, kind, s, 5, share)) for s in sizes]
    work = dict.fromkeys(SHARES, 0.0)
    largest = {a: max(map(cost_s_of, costs[a])) / SHARES[a] for a in SHARES}
    worst = 0.0
    for _, req in arrivals:
        queue.offer(req, 0.0)
    left = {account: len(sizes) for account, sizes in costs.items()}
    while all(left.values()):
        taken = queue.take(0.0)
        queue.finish(taken.attempt_id, taken.expected_tokens, 0.0)
        left[taken.client_account] -= 1
        work[taken.client_account] += cost_s(taken) / taken.share
        for one in SHARES:
            for other in SHARES:
                if one != other:
                    lag = abs(work[one] - work[other])
                    worst = max(worst, lag / (largest[one] + largest[other]))
    return worst


def cost_s_of(uncached):
    return cost_s(request("x", SHORT, uncached, 5))


class TestShares(testtools.TestCase):
    """Guards against an account that gets less than its share of the capacity."""

    @with_fixed_seed
    @given(
        st.fixed_dictionaries(
            {a: st.lists(st.integers(0, 9_000), min_size=5, max_size=60) for a in "abc"}
        )
    )
    def test_busy_accounts_differ_by_at_most_one_request_each(self, costs):
        queue = fixed_queue(slots=1, reserved_short_slots=0)
        self.assertThat(lag_over_bound(queue, costs), LessThan(1.0 + 1e-6))

    def test_first_come_first_served_exceeds_the_bound(self):
        """Control: a queue without shares violates the bound."""
        costs = {"a": [9_000] * 20, "b": [100] * 20, "c": [100] * 20}
        self.assertThat(lag_over_bound(FifoQueue(1), costs), GreaterThan(5.0))

    def long_fraction(self, queue, long_share, short_share):
        arrivals = backlog("office", LONG, 10, long_share)
        arrivals += backlog("counter", SHORT, 40, short_share)
        outcomes = run(queue, arrivals, 320.0)
        return service_s(outcomes, 20.0, 320.0, "office") / (8 * 300)

    def test_account_with_only_long_work_gets_its_share(self):
        for long_share, short_share in ((1, 1), (1, 3), (2, 1)):
            expected = long_share / (long_share + short_share)
            fraction = self.long_fraction(fixed_queue(), long_share, short_share)
            self.assertThat(fraction, GreaterThan(expected - 0.03))
            self.assertThat(fraction, LessThan(expected + 0.03))

    def test_without_the_meter_it_gets_only_the_guaranteed_minimum(self):
        """Control: without a limit of short usage long work gets ``long_floor``."""
        queue = fixed_queue(short_burst_s=1e9)
        self.assertThat(self.long_fraction(queue, 1, 1), LessThan(0.25))

    def test_guaranteed_minimum_holds_while_all_accounts_keep_their_shares(self):
        def fraction(floor):
            arrivals = []
            for account in "abcd":
                arrivals += backlog(account, SHORT, 12) + backlog(account, LONG, 4)
            outcomes = run(fixed_queue(long_floor=floor), arrivals, 320.0)
            return service_s(outcomes, 20.0, 320.0, kind=LONG) / (8 * 300)

        self.assertThat(fraction(0.2), GreaterThan(0.19))
        self.assertThat(fraction(0.2), LessThan(0.23))
        self.assertThat(fraction(0.0), LessThan(0.05))

    def test_generated_tokens_correct_the_charge(self):
        def fraction(report):
            queue = fixed_queue(slots=1, reserved_short_slots=0)
            n_started = {"a": 0, "b": 0}
            for account in "ab" * 50:
                queue.offer(request(account, SHORT, 0, 10), 0.0)
            for _ in range(40):
                taken = queue.take(0.0)
                generates_more = taken.client_account == "a" and report
                queue.finish(taken.attempt_id, 40 if generates_more else 10, 0.0)
                n_started[taken.client_account] += 1
            return n_started["a"] / 40

        self.assertThat(fraction(report=True), LessThan(0.25))
        self.assertThat(fraction(report=False), Equals(0.5))


class TestBaselines(testtools.TestCase):
    """Guards against comparisons with a baseline that works less than it could."""

    def test_round_robin_uses_all_slots_and_buckets_only_their_own(self):
        shares = dict.fromkeys("abcdefgh", 1.0)
        used = {}
        for queue in (DeficitRoundRobinQueue(8, 5.0), TokenBucketQueue(8, shares)):
            outcomes = run(queue, backlog("a", SHORT, 400), 15.0, next_request=None)
            used[type(queue)] = service_s(outcomes, 0.0, 15.0) / (8 * 15.0)
        self.assertThat(used[DeficitRoundRobinQueue], GreaterThan(0.99))
        self.assertThat(used[TokenBucketQueue], LessThan(0.2))

    def test_round_robin_shares_by_weight(self):
        queue = DeficitRoundRobinQueue(8, 5.0)
        arrivals = backlog("a", SHORT, 20, 1.0) + backlog("b", SHORT, 20, 3.0)
        outcomes = run(queue, arrivals, 200.0)
        fraction = service_s(outcomes, 0.0, 200.0, "b") / (8 * 200.0)
        self.assertThat(abs(fraction - 0.75), LessThan(0.05))


class CreditKeepingQueue(FlowQueue):
    """Lets an account start at virtual time 0 after an idle period."""

    def add(self, item):
        saved, self.virtual_time = self.virtual_time, 0.0
        super().add(item)
        self.virtual_time = saved

    def charge(self, account, share, cost_s, max_debt_s):
        pass


class TestLending(testtools.TestCase):
    """Guards against unused shares that return late or as a burst of credit.

    Another account uses the share of an idle one. When the idle account sends
    requests again, it must get its share within seconds, but not more.
    """

    def run_night(self, queue):
        ledger = backlog("ledger", SHORT, 60)
        counter = backlog("counter", SHORT, 60, at=3_600.0)
        return run(queue, ledger + counter, 3_640.0)

    def test_unused_share_is_used_at_night_and_returned_within_seconds(self):
        outcomes = self.run_night(fixed_queue())
        used_at_night = service_s(outcomes, 100.0, 3_600.0, "ledger") / (8 * 3_500)
        self.assertThat(used_at_night, GreaterThan(0.999))
        first = next(o for o in outcomes if o.request.client_account == "counter")
        self.assertThat(first.wait_s, LessThan(0.6))
        used_after_return = service_s(outcomes, 3_602.0, 3_605.0, "counter") / (8 * 3)
        self.assertThat(used_after_return, GreaterThan(0.45))
        self.assertThat(used_after_return, LessThan(0.55))

    def test_first_come_first_served_returns_it_late(self):
        """Control: a queue without shares serves its backlog first."""
        outcomes = self.run_night(FifoQueue(8))
        first = next(o for o in outcomes if o.request.client_account == "counter")
        self.assertThat(first.wait_s, GreaterThan(3.0))

    def busy_account_fraction(self, queue):
        starts = []
        for account in ["ledger"] * 400 + ["ledger", "counter"] * 60:
            queue.offer(request(account), 0.0)
            if account == "ledger" and len(starts) < 400:
                starts.append(queue.take(0.0))
                queue.finish(starts[-1].attempt_id, 20, 0.0)
                queue.offer(request("ledger"), 0.0)
        for _ in range(60):
            starts.append(queue.take(0.0))
            queue.finish(starts[-1].attempt_id, 20, 0.0)
        return sum(each.client_account == "ledger" for each in starts[-60:]) / 60

    def test_idle_account_accumulates_no_credit(self):
        self.assertThat(self.busy_account_fraction(fixed_queue()), Equals(0.5))

    def test_accumulated_credit_would_block_the_other_account(self):
        """Control: a queue that keeps credit over idle periods."""
        queue = fixed_queue()
        queue._short = CreditKeepingQueue()
        self.assertThat(self.busy_account_fraction(queue), Equals(0.0))


class TestShortBeforeLong(testtools.TestCase):
    """Guards against short requests that wait behind long work."""

    def short_waits(self, queue):
        rng, now, arrivals = random.Random(7), 0.0, []
        while now < 200.0:
            now += rng.expovariate(4.0)
            size = rng.randint(50, 600), rng.randint(5, 30)
            account = rng.choice("abcdefgh")
            arrivals.append((now, request(account, SHORT, *size, deadline=now + 30)))
        for account in "abcdefgh":
            arrivals += [(0.0, request(account, LONG, 8_000, 400)) for _ in range(2)]

        def next_request(req, now):
            return repeat_request(req, now) if req.request_class is LONG else None

        outcomes = run(queue, arrivals, 200.0, next_request)
        waits = [o.wait_s for o in outcomes if o.request.request_class is SHORT]
        return sorted(waits)[int(len(waits) * 0.95)]

    def test_short_requests_find_a_slot_beside_long_backlogs(self):
        self.assertThat(self.short_waits(fixed_queue()), LessThan(0.5))

    def test_without_reserved_slots_and_prefill_limit_they_wait(self):
        """Control: long requests may use every slot."""
        queue = fixed_queue(
            reserved_short_slots=0,
            max_long_prefill_tokens=10**9,
            adapt_long_slots=False,
        )
        self.assertThat(self.short_waits(queue), GreaterThan(2.0))

    def test_long_work_leaves_free_the_slots_that_short_requests_need(self):
        def late_fraction(adapt):
            rng, now, arrivals = random.Random(5), 0.0, []
            arrivals += [(20.0, request("a", LONG, 500, 1_500)) for _ in range(20)]
            while now < 120.0:
                now += rng.expovariate(5.0)
                size = rng.randint(100, 1_500), rng.randint(10, 60)
                arrivals.append((now, request("a", SHORT, *size, deadline=now + 5)))
            queue = fixed_queue(adapt_long_slots=adapt)
            outcomes = run(queue, arrivals, 120.0, next_request=None)
            late = [o for o in outcomes if o.request.request_class is SHORT]
            return sum(o.wait_s > 1.5 for o in late) / len(late)

        self.assertThat(late_fraction(adapt=True), LessThan(0.05))
        self.assertThat(late_fraction(adapt=False), GreaterThan(0.2))

    @with_fixed_seed
    @given(steps)
    def test_no_long_starts_while_a_short_of_the_account_waits(self, ops):
        queue = fixed_queue(long_floor=0.0)
        shorts = 0
        for op, _, kind, size in ops:
            if op == "offer":
                queue.offer(request("a", kind, size), 0.0)
                shorts += kind is SHORT
            elif (taken := queue.take(0.0)) is not None:
                self.assertTrue(taken.request_class is SHORT or not shorts)
                shorts -= taken.request_class is SHORT
                queue.finish(taken.attempt_id, 20, 0.0)
