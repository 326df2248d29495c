import random

import testtools
from fleet_simulation import STEP_S, SimulatedFleet

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
