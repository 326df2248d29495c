"""Guards against wrong refusals and against estimates that become useless."""

import random

import testtools
from sharing_support import (
    LONG,
    SHORT,
    backlog,
    cost_s,
    fixed_queue,
    repeat_request,
    request,
    run,
)
from testtools.matchers import Equals, GreaterThan, LessThan

from foxtailcourse.emulator.sharing.backend_server import BackendSimulation
from foxtailcourse.sharing import (
    Admission,
    FairQueue,
    QueueLimits,
    ServiceRates,
)


class TestEarlyRefusal(testtools.TestCase):
    """Guards against requests that wait although they cannot meet their deadline.

    A request is refused at once when its predicted first token is too late; wrong
    predictions must neither refuse all work nor start expired requests.
    """

    def test_refused_at_once_and_accepted_at_the_retry_after_time(self):
        queue = fixed_queue(slots=1, reserved_short_slots=0)
        for _ in range(10):
            self.assertIsInstance(queue.offer(request("a"), 0.0), Admission)
        running, now, service_time_s = queue.take(0.0), 0.0, cost_s(request("a"))
        refusal = queue.offer(request("a", deadline=2.0), 0.0)
        self.assertThat(refusal.code, Equals("deadline"))
        retry_after_s = refusal.retry_after_ms / 1000
        self.assertThat(retry_after_s, GreaterThan(1.0))
        while now + service_time_s <= retry_after_s + 0.01:
            now += service_time_s
            queue.finish(running.attempt_id, 20, now)
            running = queue.take(now)
        answer = queue.offer(
            request("a", deadline=retry_after_s + 2.2), retry_after_s + 0.01
        )
        self.assertIsInstance(answer, Admission)

    def test_expired_request_is_returned_and_never_started(self):
        queue = fixed_queue(slots=1, reserved_short_slots=0)
        queue.offer(request("a"), 0.0)
        queue.take(0.0)
        expired = request("a", deadline=1.0)
        queue.offer(expired, 0.0)
        self.assertThat(queue.next_event(0.0), LessThan(1.0))
        queue.finish("unknown", 1, 1.1)
        self.assertIsNone(queue.take(1.1))
        self.assertThat(queue.expire(1.1), Equals([expired]))
        self.assertThat(queue.expire(1.1), Equals([]))

    def test_idle_server_accepts_work_despite_a_slow_estimate(self):
        queue = FairQueue(rates=ServiceRates(prefill_tokens_per_s=0.01))
        self.assertIsInstance(queue.offer(request("a", deadline=5.0), 0.0), Admission)
        self.assertIsNotNone(queue.take(0.0))

    def test_overload_is_refused_early_and_started_work_is_in_time(self):
        rng, now, arrivals = random.Random(2), 0.0, []
        while now < 100.0:
            now += rng.expovariate(16.0)
            account = "a" if rng.random() < 0.7 else "b"
            size = rng.randint(50, 600), rng.randint(20, 60)
            arrivals.append((now, request(account, SHORT, *size, deadline=now + 5)))
        outcomes = run(fixed_queue(), arrivals, 120.0, next_request=None)
        started = [o for o in outcomes if o.started is not None]
        errors = [o.started - o.predicted_start for o in started]
        expired = sum(o.expired is not None for o in outcomes)
        refused = sum(o.refusal is not None for o in outcomes)
        self.assertThat(max(o.wait_s for o in started), LessThan(5.0))
        self.assertThat(abs(sum(errors) / len(errors)), LessThan(0.5))
        self.assertThat(refused, GreaterThan(3 * expired))

    def test_long_prompts_are_prefilled_one_after_the_other(self):
        limits = QueueLimits(max_long_prefill_tokens=10_000)
        queue = FairQueue(limits, ServiceRates(learn=False))
        for _ in range(3):
            queue.offer(request("a", LONG, 8_000, 100), 0.0)
        first = queue.take(0.0)
        self.assertIsNone(queue.take(0.0))
        queue.first_token(first.attempt_id, 1.0)
        self.assertIsNotNone(queue.take(1.0))
        self.assertIsNone(queue.take(1.0))
        self.assertIsNotNone(queue.take(queue.next_event(1.0)))


class TestServiceRates(testtools.TestCase):
    """Guards against estimates distorted by an outlier or a clock that stands still."""

    def test_one_outlier_changes_little_and_a_stopped_clock_nothing(self):
        rates = ServiceRates()
        before = rates.cost_s(1_000, 100)
        rates.observe(1_000, 100, 1e6)
        self.assertThat(rates.cost_s(1_000, 100) / before, LessThan(1.08))
        after = rates.cost_s(1_000, 100)
        for service_time_s in (0.0, -1.0, float("nan"), float("inf")):
            rates.observe(1_000, 100, service_time_s)
        self.assertThat(rates.cost_s(1_000, 100), Equals(after))

    def test_estimates_adapt_to_a_server_that_is_five_times_slower(self):
        rng = random.Random(3)
        rates, actual = (
            ServiceRates(),
            ServiceRates(
                request_s=0.005, prefill_tokens_per_s=800.0, decode_tokens_per_s=10.0
            ),
        )
        for _ in range(300):
            size = rng.randint(10, 5_000), rng.randint(5, 400)
            noise = rng.uniform(0.8, 1.25)
            first_s = actual.cost_s(size[0], 0) * noise
            rates.observe(*size, actual.cost_s(*size) * noise, first_s)
        for size in ((4_000, 0), (0, 300)):
            ratio = rates.cost_s(*size) / actual.cost_s(*size)
            self.assertThat(abs(ratio - 1.0), LessThan(0.15))

    def test_adapted_rates_refuse_what_initial_values_would_accept(self):
        def count_expired(rates):
            queue = FairQueue(QueueLimits(), rates)
            arrivals = backlog("a", SHORT, 30)
            for step in range(400):
                at = 20.0 + step / 5
                arrivals.append((at, request("b", SHORT, 400, 20, deadline=at + 2)))

            def next_request(req, now):
                return repeat_request(req, now) if req.client_account == "a" else None

            slow = ServiceRates(
                request_s=0.005, prefill_tokens_per_s=800.0, decode_tokens_per_s=10.0
            )

            def service_time_s(req):
                return slow.cost_s(req.uncached_tokens, req.expected_tokens)

            outcomes = BackendSimulation(queue, service_time_s, next_request).run(
                arrivals, 120.0
            )
            return sum(o.expired is not None for o in outcomes)

        fixed, adapted = (
            count_expired(ServiceRates(learn=False)),
            count_expired(ServiceRates()),
        )
        self.assertThat(adapted * 2, LessThan(fixed + 1))
