"""Placement on servers of unequal speeds, against an oracle and the previous policy."""

import attrs
import testtools

from foxtailcourse.emulator.ingress.deployments import GUIDING, LONG, ROSTERS, SHORT
from foxtailcourse.emulator.ingress.fleet import FleetSimulation
from foxtailcourse.emulator.ingress.policies import EqualSpeeds, Oracle, ProductPolicy
from foxtailcourse.emulator.ingress.scenario import Demand, SlowDowns

# Mean worth that the rosters are to reach over days with trouble.
ROSTERS_WORTH = 0.34
# Time in which the speeds are learned, and requests are counted afterwards.
LEARNING_S, COUNTED_S = 18.0, 8.0
# Change of a share by chance alone, at 100 requests a second.
SAMPLING_CHANGE = 0.05
# A third of the rosters, for tests of more than one run.
SMALL = attrs.evolve(
    ROSTERS,
    servers=9,
    entries=9,
    load_factor=0.36,
    duration_s=LEARNING_S + COUNTED_S,
)


class Run(FleetSimulation):
    """A run that also counts the requests sent to each server by the second."""

    def __init__(self, *args):
        super().__init__(*args)
        self.sent = []

    def _send(self, entry, attempt, prompt, choice, now):
        number = int(choice.candidate.server.id[1:])
        self.sent.append((now, number))
        super()._send(entry, attempt, prompt, choice, now)

    def uses_speeds(self):
        return [each.speeds.is_on("engines") for each in self.entries]

    def shares(self, start, end):
        """Return the fractions sent to servers of speed 0.6, 1.0 and 1.6."""
        groups = [number % 3 for at, number in self.sent if start <= at < end]
        return [groups.count(each) / len(groups) for each in range(3)]


def simulate(scenario, policy, seed=1):
    run = Run(scenario, policy(), seed)
    run.used = []
    run.scheduler.call_at(
        scenario.duration_s - 1, lambda now: run.used.extend(run.uses_speeds())
    )
    run.run()
    return run


def in_time(run, kind):
    outcome = run.result.outcomes[kind]
    return outcome.in_time / outcome.offered


def percentile_s(run, kind, percent):
    times_s = sorted(run.result.outcomes[kind].first_event_s)
    return times_s[len(times_s) * percent // 100]


def mean_change(run):
    """Return the mean change of the shares between two seconds."""
    seconds = range(int(LEARNING_S), int(run.scenario.duration_s))
    shares = [run.shares(second, second + 1.0) for second in seconds]
    changes = [
        abs(a - b)
        for earlier, later in zip(shares, shares[1:], strict=False)
        for a, b in zip(earlier, later, strict=True)
    ]
    return sum(changes) / len(changes)


class TestUnevenServers(testtools.TestCase):
    """Guards the use of fast servers at the rosters' load, and its failures."""

    def test_more_prompts_are_in_time_than_without_speeds(self):
        before, after, oracle = (
            simulate(attrs.evolve(ROSTERS, duration_s=24.0), policy)
            for policy in (EqualSpeeds, ProductPolicy, Oracle)
        )
        self.assertTrue(all(after.used), after.used)
        worth = [each.result.worth for each in (before, after, oracle)]
        self.assertTrue(worth[0] < worth[1] <= worth[2] + 0.01, worth)
        self.assertTrue(worth[1] >= ROSTERS_WORTH, worth)
        self.assertTrue(in_time(after, LONG) > in_time(before, LONG))
        self.assertTrue(
            percentile_s(after, SHORT, 95) <= percentile_s(before, SHORT, 95)
        )
        # The rosters pay for bytes between failure domains.
        crossing = [e.result.cross_domain_tokens for e in (before, after)]
        self.assertTrue(crossing[1] <= crossing[0], crossing)

    def test_equal_servers_are_served_as_before(self):
        for scenario in (
            attrs.evolve(GUIDING, duration_s=20.0),
            attrs.evolve(GUIDING, duration_s=12.0, load_factor=2.5),
            # The galleries' speeds differ by less than a factor of 1.5.
            attrs.evolve(SMALL, speeds=(1.0, 1.0, 1.3), slow_downs=SlowDowns()),
        ):
            before = simulate(scenario, EqualSpeeds)
            after = simulate(scenario, ProductPolicy)
            self.assertFalse(any(after.used), scenario.name)
            self.assertTrue(before.sent == after.sent, scenario.name)

    def test_late_and_lost_messages_and_false_loads(self):
        for changes in (
            {"report_delay_s": (0.005, 0.2), "report_loss": 0.3},
            {"idle_claims": 2},
            {"cut_off": (1, 2.0, 99.0)},
        ):
            scenario = attrs.evolve(SMALL, **changes)
            before = simulate(scenario, EqualSpeeds)
            after = simulate(scenario, ProductPolicy)
            self.assertTrue(any(after.used), changes)
            self.assertTrue(
                after.result.worth >= before.result.worth - 0.005,
                (changes, after.result.worth, before.result.worth),
            )

    def test_first_second_after_a_restart_of_all_entries_is_not_worse(self):
        def restarted(policy):
            run = Run(attrs.evolve(SMALL, duration_s=LEARNING_S + 1), policy(), 1)
            for each in run.entries:
                run.scheduler.call_at(LEARNING_S, lambda now, e=each: e.restart())
            run.run()
            second = int(LEARNING_S)
            return run._earned[second] / run._offered[second]

        before, after = restarted(EqualSpeeds), restarted(ProductPolicy)
        self.assertTrue(after >= before - 0.02, (after, before))

    def test_step_and_wave_do_not_make_the_shares_of_servers_oscillate(self):
        self.check_no_oscillation(5)

    def test_many_entries_do_not_make_the_shares_of_servers_oscillate(self):
        self.check_no_oscillation(60)

    def check_no_oscillation(self, entries):
        """Check that shares change no more between two seconds than without speeds."""
        demand = Demand(wave_ratio=0.55, step_at_s=LEARNING_S + 2, step_factor=1.5)
        scenario = attrs.evolve(
            SMALL,
            entries=entries,
            domains=1,
            report_delay_s=(0.005, 0.2),
            demand=demand,
        )
        before = simulate(scenario, EqualSpeeds)
        after = simulate(scenario, ProductPolicy)
        self.assertTrue(any(after.used), entries)
        changes = [mean_change(each) for each in (before, after)]
        self.assertTrue(changes[1] <= changes[0] + SAMPLING_CHANGE, changes)
        self.assertTrue(after.result.worth >= before.result.worth)
