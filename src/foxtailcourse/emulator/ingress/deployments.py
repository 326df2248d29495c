"""Sizes of the deployments as their sheets give them, and days with trouble."""

import attrs

from foxtailcourse.emulator.ingress.engine import EngineSpec
from foxtailcourse.emulator.ingress.scenario import FleetScenario
from foxtailcourse.emulator.ingress.workload import RequestKind, SharedParts, Sizes

BYTES_PER_TOKEN = 35_136
LONG, SHORT = "long", "short"


def _token_s(gbit_per_s: float) -> float:
    return BYTES_PER_TOKEN * 8 / (gbit_per_s * 1e9)


COUNTER_ENGINE = EngineSpec(
    slots=64,
    step_s=6.55e-3,
    step_s_per_request=0.165e-3,
    prefill_token_s=1e-3 / 62.4,
    attention_pair_s=0.525e-9,
    first_s=0.12,
    fetch_token_s=_token_s(370.0),
    store_token_s=_token_s(64.0),
    load_s=1.9,
)
GUIDING_ENGINE = EngineSpec(
    slots=48,
    step_s=6.45e-3,
    step_s_per_request=0.0967e-3,
    prefill_token_s=1e-3 / 56.1,
    attention_pair_s=0.309e-9,
    first_s=0.093,
    fetch_token_s=_token_s(280.0),
    store_token_s=_token_s(80.0),
    load_s=2.5,
)


@attrs.frozen(kw_only=True)
class Site:
    """What is asked of a grown deployment, and what it is worth.

    Parameters
    ----------
    long_per_s, short_per_s : float
        Requests a second.
    long_parts, short_parts : int
        Shared parts of each kind.
    long_target_s, short_target_s : float
        Time to the first event of an answer in time.
    long_worth, long_late_worth, short_worth, short_late_worth : float
        Worth of an answer in time and of a late one.
    """

    long_per_s: float
    short_per_s: float
    long_parts: int
    short_parts: int
    long_target_s: float
    short_target_s: float
    long_worth: float
    long_late_worth: float
    short_worth: float
    short_late_worth: float

    def kinds(self, part: float = 1.0) -> tuple[RequestKind, RequestKind]:
        """Return long and short prompts at a part of the grown size."""
        return self._long(part), self._short(part)

    def _long(self, part: float) -> RequestKind:
        sizes = Sizes(mean=13_300, spread=0.7, largest=39_900)
        count = round(self.long_parts * part)
        return RequestKind(
            name=LONG,
            per_s=self.long_per_s * part,
            target_s=self.long_target_s,
            patience_s=4 * self.long_target_s,
            limit_s=12.0,
            worth=self.long_worth,
            late_worth=self.long_late_worth,
            rank=1,
            shared=(SharedParts(sizes=sizes, count=count, skew=0.3),),
            own=Sizes(mean=3_720, spread=1.1, largest=53_200),
            output=Sizes(mean=30, spread=1.4, largest=120),
        )

    def _short(self, part: float) -> RequestKind:
        first = Sizes(mean=55.2, spread=0.4, largest=138)
        second = Sizes(mean=36.8, spread=0.7, largest=110)
        count = round(self.short_parts * part)
        return RequestKind(
            name=SHORT,
            per_s=self.short_per_s * part,
            target_s=self.short_target_s,
            patience_s=2.4,
            limit_s=6.0,
            worth=self.short_worth,
            late_worth=self.short_late_worth,
            rank=0,
            shared=(
                SharedParts(sizes=first, count=16),
                SharedParts(sizes=second, count=count, skew=0.3),
            ),
            own=Sizes(mean=291, spread=1.4, largest=1_830),
            output=Sizes(mean=11, spread=1.0, largest=60),
        )


COUNTER_SITE = Site(
    long_per_s=35.2,
    short_per_s=377.0,
    long_parts=460,
    short_parts=2190,
    long_target_s=1.0,
    short_target_s=0.5,
    long_worth=14.0,
    long_late_worth=1.4,
    short_worth=1.9,
    short_late_worth=0.19,
)
GUIDING_SITE = Site(
    long_per_s=44.5,
    short_per_s=445.0,
    long_parts=258,
    short_parts=5819,
    long_target_s=0.8,
    short_target_s=0.4,
    long_worth=13.0,
    long_late_worth=4.0,
    short_worth=1.9,
    short_late_worth=0.56,
)
GROWN_COUNTER = FleetScenario(
    name="grown-counter-calm",
    spec=COUNTER_ENGINE,
    servers=23,
    entries=25,
    kinds=COUNTER_SITE.kinds(),
)
GROWN_GUIDING = FleetScenario(
    name="grown-guiding-calm",
    spec=GUIDING_ENGINE,
    servers=26,
    entries=28,
    kinds=GUIDING_SITE.kinds(),
)
COUNTER = FleetScenario(
    name="counter-calm",
    spec=attrs.evolve(COUNTER_ENGINE, store_token_s=_token_s(38.0)),
    servers=5,
    entries=4,
    # 5.3 of 35.2 long prompts a second.
    kinds=COUNTER_SITE.kinds(0.15),
    weights_limit_s=15.0,
)
GUIDING = FleetScenario(
    name="guiding-calm",
    spec=attrs.evolve(GUIDING_ENGINE, slots=128, store_token_s=_token_s(46.0)),
    servers=5,
    entries=5,
    # 6.3 of 44.5 long prompts a second.
    kinds=GUIDING_SITE.kinds(0.155),
)


def _dark(day: FleetScenario, factor: float) -> FleetScenario:
    """Return a day with new weights while a quarter of the servers is lost."""
    return attrs.evolve(
        day,
        name=day.name.replace("calm", "dark"),
        load_factor=factor,
        new_weights_at=(3.0,),
        dark=(0.25, 2.5, 26.5),
    )


def _renewed(day: FleetScenario) -> FleetScenario:
    """Return a day on which weights are named several times."""
    return attrs.evolve(
        day, name=day.name.replace("calm", "weights"), new_weights_at=(2.0, 12.0, 22.0)
    )


CALM_DAYS = (COUNTER, GUIDING, GROWN_COUNTER, GROWN_GUIDING)
SCENARIOS = {
    each.name: each
    for day in CALM_DAYS
    for each in (day, _dark(day, 1.1), _renewed(day))
}
