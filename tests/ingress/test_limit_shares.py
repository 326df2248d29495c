import math
import random

import testtools
from decision_case import make_limits
from fleet_simulation import RUN, STEP_S, SimulatedFleet
from testtools.matchers import Equals

from foxtailcourse.fleet import ServerRun
from foxtailcourse.ingress._limit_exchange import LimitExchange
from foxtailcourse.ingress._peer_messages import LimitsUpdate, decode, encode
from foxtailcourse.ingress._peers import PeerDirectory

# Bound of the platform: in any window so many times the limit, and some requests more.
WINDOW_S, EXCESS_RATIO, EXTRA_REQUESTS = 4.0, 1.5, 5


class TestSharesOfLimits(testtools.TestCase):
    """Guards limits that entries keep together while the fleet changes.

    Each entry sends as soon as its share allows it.
    """

    def test_no_window_exceeds_the_limit_while_entries_come_and_go(self):
        for seed in range(20):
            rng = random.Random(seed)
            size, limit_per_s = rng.choice([1, 5, 28, 68]), rng.choice([0.3, 2.4, 7.1])
            fleet = SimulatedFleet(rng, size, limit_per_s)
            while fleet.now < 60.0:
                fleet.step()
                self.assertTrue(fleet.used_per_s() <= limit_per_s, (seed, fleet.now))
                if rng.random() < STEP_S:
                    fleet.inject_fault()
            allowed = EXCESS_RATIO * limit_per_s * WINDOW_S + EXTRA_REQUESTS
            for start in fleet.arrivals:
                end = start + WINDOW_S
                arrived = sum(start <= at < end for at in fleet.arrivals)
                self.assertTrue(arrived <= allowed, (seed, start, arrived))

    def test_stable_fleet_uses_most_of_the_limit(self):
        for size, limit_per_s in ((1, 7.1), (5, 2.4), (28, 7.1), (68, 40.0)):
            fleet = SimulatedFleet(random.Random(1), size, limit_per_s)
            while fleet.now < 60.0:
                fleet.step()
            sent = sum(at > 20.0 for at in fleet.arrivals)
            self.assertTrue(sent >= 0.8 * limit_per_s * 40.0, (size, sent))


class TestReceivedStatements(testtools.TestCase):
    """Guards the process against statements that no server can have made."""

    def test_limits_that_are_no_number_are_left_out(self):
        limits = make_limits("e1", {"e1", "e2"})
        exchange = LimitExchange(
            limits, PeerDirectory(), None, lambda: 10.0, limits.events
        )
        for per_s in (math.nan, math.inf, -1.0, 1e300):
            message = LimitsUpdate([("s1", 5, per_s, 0), ("s2", 5, 2.0, -7)])
            exchange.handle(decode(encode(message)), "e2")
            self.assertThat(limits.available_in_s(RUN, 20.0), Equals(0.0))
        self.assertThat(limits.named(ServerRun("s2", 5)), Equals(2.0))
