"""Engine specifications and scenarios of the deployments.

Sizes and speeds are those of the deployments' data sheets.
"""

import attrs

from foxtailcourse.emulator.ingress.engine import EngineSpec
from foxtailcourse.emulator.ingress.scenario import (
    Demand,
    FleetScenario,
    SlowDowns,
)
from foxtailcourse.emulator.ingress.workload import (
    RequestKind,
    SharedParts,
    SizeDistribution,
)

# Size of one token in the KV cache; that of the tile workshops' model is larger.
BYTES_PER_TOKEN = 35_136
ROSTERS_BYTES_PER_TOKEN = 327_680
TILE_BYTES_PER_TOKEN = 163_840
GALLERY_BYTES_PER_TOKEN = 18_432
LONG, SHORT = "long", "short"


def _transfer_token_s(
    gbit_per_s: float, bytes_per_token: int = BYTES_PER_TOKEN
) -> float:
    """Return the time to transfer the KV cache of one token, in seconds."""
    return bytes_per_token * 8 / (gbit_per_s * 1e9)


COUNTER_ENGINE = EngineSpec(
    slots=64,
    step_s=6.55e-3,
    step_s_per_request=0.165e-3,
    prefill_token_s=1e-3 / 62.4,
    attention_pair_s=0.525e-9,
    first_event_delay_s=0.12,
    fetch_token_s=_transfer_token_s(370.0),
    store_token_s=_transfer_token_s(64.0),
    weight_load_s=1.9,
)
GUIDING_ENGINE = EngineSpec(
    slots=48,
    step_s=6.45e-3,
    step_s_per_request=0.0967e-3,
    prefill_token_s=1e-3 / 56.1,
    attention_pair_s=0.309e-9,
    first_event_delay_s=0.093,
    fetch_token_s=_transfer_token_s(280.0),
    store_token_s=_transfer_token_s(80.0),
    weight_load_s=2.5,
)
TILE_ENGINE = EngineSpec(
    slots=64,
    step_s=3.88e-3,
    step_s_per_request=0.0276e-3,
    prefill_token_s=1e-3 / 66.2,
    attention_pair_s=0.276e-9,
    first_event_delay_s=0.012,
    cache_tokens=141_561,
    event_tokens=6,
    fetch_token_s=_transfer_token_s(180.0, TILE_BYTES_PER_TOKEN),
    store_token_s=_transfer_token_s(180.0, TILE_BYTES_PER_TOKEN),
    weight_load_s=0.43,
)
GALLERY_ENGINE = EngineSpec(
    slots=64,
    step_s=4.63e-3,
    step_s_per_request=0.153e-3,
    prefill_token_s=1e-3 / 37.9,
    attention_pair_s=0.248e-9,
    first_event_delay_s=0.019,
    chunk_tokens=2048,
    cache_tokens=154_132,
    event_tokens=5,
    fetch_token_s=_transfer_token_s(370.0, GALLERY_BYTES_PER_TOKEN),
    store_token_s=_transfer_token_s(28.0, GALLERY_BYTES_PER_TOKEN),
    weight_load_s=1.1,
)
# Its delay of the first event and the size of its events are those of the tile engine.
ROSTERS_ENGINE = EngineSpec(
    slots=16,
    step_s=3.7e-3,
    step_s_per_request=0.0193e-3,
    prefill_token_s=1e-3 / 63.9,
    attention_pair_s=0.367e-9,
    first_event_delay_s=0.012,
    chunk_tokens=2_048,
    cache_tokens=149_025,
    event_tokens=6,
    fetch_token_s=_transfer_token_s(1_100.0, ROSTERS_BYTES_PER_TOKEN),
    store_token_s=_transfer_token_s(180.0, ROSTERS_BYTES_PER_TOKEN),
    weight_load_s=1.9,
)


@attrs.frozen(kw_only=True)
class Site:
    """Load of a deployment at its full size, which the scenario names call grown.

    Parameters
    ----------
    long_per_s, short_per_s : float
        Requests per second, by kind.
    long_parts, short_parts : int
        Number of shared parts, by kind.
    long_target_s, short_target_s : float
        Target for the first event in seconds, by kind.
    long_worth, long_late_worth, short_worth, short_late_worth : float
        Worth of a response within and after the target, by kind.
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

    def kinds(self, fraction: float = 1.0) -> tuple[RequestKind, RequestKind]:
        """Return the long and the short kind at a fraction of the full size."""
        return self._long_kind(fraction), self._short_kind(fraction)

    def _long_kind(self, fraction: float) -> RequestKind:
        sizes = SizeDistribution(mean=13_300, sigma=0.7, maximum=39_900)
        count = round(self.long_parts * fraction)
        return RequestKind(
            name=LONG,
            requests_per_s=self.long_per_s * fraction,
            target_s=self.long_target_s,
            patience_s=4 * self.long_target_s,
            retry_limit_s=12.0,
            worth=self.long_worth,
            late_worth=self.long_late_worth,
            priority=1,
            shared=(SharedParts(sizes=sizes, count=count, skew=0.3),),
            unique=SizeDistribution(mean=3_720, sigma=1.1, maximum=53_200),
            output=SizeDistribution(mean=30, sigma=1.4, maximum=120),
        )

    def _short_kind(self, fraction: float) -> RequestKind:
        first = SizeDistribution(mean=55.2, sigma=0.4, maximum=138)
        second = SizeDistribution(mean=36.8, sigma=0.7, maximum=110)
        count = round(self.short_parts * fraction)
        return RequestKind(
            name=SHORT,
            requests_per_s=self.short_per_s * fraction,
            target_s=self.short_target_s,
            patience_s=2.4,
            retry_limit_s=6.0,
            worth=self.short_worth,
            late_worth=self.short_late_worth,
            priority=0,
            shared=(
                SharedParts(sizes=first, count=16),
                SharedParts(sizes=second, count=count, skew=0.3),
            ),
            unique=SizeDistribution(mean=291, sigma=1.4, maximum=1_830),
            output=SizeDistribution(mean=11, sigma=1.0, maximum=60),
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
GALLERY_SITE = Site(
    long_per_s=14.3,
    short_per_s=266.0,
    long_parts=376,
    short_parts=2_699,
    long_target_s=2.0,
    short_target_s=0.5,
    long_worth=4.7,
    long_late_worth=2.1,
    short_worth=2.4,
    short_late_worth=0.28,
)
# The load of a burst: long prompts arrive twice as often as usual.
GALLERY_BURST = FleetScenario(
    name="gallery-burst",
    spec=GALLERY_ENGINE,
    servers=21,
    entries=22,
    kinds=attrs.evolve(GALLERY_SITE, long_per_s=28.6).kinds(),
    outage=(0.25, 2.5, 21.5),
)
ROSTERS_SITE = Site(
    long_per_s=32.7,
    short_per_s=333.0,
    long_parts=460,
    short_parts=2_190,
    long_target_s=0.663,
    short_target_s=0.823,
    long_worth=9.7,
    long_late_worth=0.97,
    short_worth=1.3,
    short_late_worth=0.13,
)
# Servers of unequal speed. The long kind has the rosters' deadline and output length.
ROSTERS = FleetScenario(
    name="rosters-uneven",
    spec=ROSTERS_ENGINE,
    servers=25,
    entries=27,
    kinds=(
        attrs.evolve(
            ROSTERS_SITE.kinds()[0],
            patience_s=6.6,
            output=SizeDistribution(mean=15, sigma=1.4, maximum=60),
        ),
        attrs.evolve(
            ROSTERS_SITE.kinds()[1],
            output=SizeDistribution(mean=9, sigma=1.0, maximum=60),
        ),
    ),
    speeds=(0.6, 1.0, 1.6),
    slow_downs=SlowDowns(factor=2.5, fraction=0.15, period_s=0.6),
    domains=4,
    domain_delay_s=0.0014,
    demand=Demand(wave_ratio=0.55),
)
GROWN_TILE = FleetScenario(
    name="grown-tile-calm",
    spec=TILE_ENGINE,
    servers=28,
    entries=30,
    weights_limit_s=10.0,
    kinds=(
        RequestKind(
            name=LONG,
            requests_per_s=56.4,
            target_s=0.8,
            patience_s=3.2,
            retry_limit_s=15.0,
            worth=6.3,
            late_worth=1.9,
            priority=1,
            shared=(
                SharedParts(
                    sizes=SizeDistribution(mean=512, sigma=0.4, maximum=1_280),
                    count=1,
                ),
                SharedParts(
                    sizes=SizeDistribution(mean=4_870, sigma=0.7, maximum=14_600),
                    count=327,
                    skew=0.3,
                ),
            ),
            unique=SizeDistribution(mean=6_610, sigma=1.4, maximum=54_600),
            output=SizeDistribution(mean=64, sigma=0.44, maximum=170),
        ),
        RequestKind(
            name=SHORT,
            requests_per_s=227.0,
            target_s=0.4,
            patience_s=2.4,
            retry_limit_s=3.0,
            worth=1.9,
            late_worth=0.58,
            priority=0,
            shared=(
                SharedParts(
                    sizes=SizeDistribution(mean=341, sigma=0.4, maximum=851), count=40
                ),
                SharedParts(
                    sizes=SizeDistribution(mean=227, sigma=0.7, maximum=681),
                    count=1_315,
                    skew=0.3,
                ),
            ),
            unique=SizeDistribution(mean=1_800, sigma=1.3, maximum=6_870),
            output=SizeDistribution(mean=4, sigma=1.4, maximum=15),
        ),
    ),
)
# The largest deployment; its engines have fewer slots.
LARGE_COUNTER = FleetScenario(
    name="grown-large-calm",
    spec=attrs.evolve(COUNTER_ENGINE, slots=16, cache_tokens=159_478),
    servers=39,
    entries=68,
    kinds=attrs.evolve(
        COUNTER_SITE,
        long_per_s=35.9,
        short_per_s=240.0,
        long_parts=696,
        short_parts=2_072,
        long_target_s=0.8,
        long_worth=9.5,
        long_late_worth=0.95,
    ).kinds(),
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
    spec=attrs.evolve(COUNTER_ENGINE, store_token_s=_transfer_token_s(38.0)),
    servers=5,
    entries=4,
    # 5.3 of the 35.2 long prompts per second of the full size.
    kinds=COUNTER_SITE.kinds(0.15),
    weights_limit_s=15.0,
)
GUIDING = FleetScenario(
    name="guiding-calm",
    spec=attrs.evolve(GUIDING_ENGINE, slots=128, store_token_s=_transfer_token_s(46.0)),
    servers=5,
    entries=5,
    # 6.3 of the 44.5 long prompts per second of the full size.
    kinds=GUIDING_SITE.kinds(0.155),
)


def _with_outage(scenario: FleetScenario, load_factor: float) -> FleetScenario:
    """Return the scenario with new weights during an outage of a quarter of servers."""
    return attrs.evolve(
        scenario,
        name=scenario.name.replace("calm", "dark"),
        load_factor=load_factor,
        weight_changes=(3.0,),
        outage=(0.25, 2.5, 26.5),
    )


def _with_weight_changes(scenario: FleetScenario) -> FleetScenario:
    """Return the scenario with several changes of the weights."""
    return attrs.evolve(
        scenario,
        name=scenario.name.replace("calm", "weights"),
        weight_changes=(2.0, 12.0, 22.0),
    )


# Scenarios without an outage and without a change of the weights.
CALM_SCENARIOS = (
    COUNTER,
    GUIDING,
    GROWN_COUNTER,
    GROWN_GUIDING,
    GROWN_TILE,
    LARGE_COUNTER,
)
SCENARIOS = {
    each.name: each
    for calm in CALM_SCENARIOS
    for each in (calm, _with_outage(calm, 1.1), _with_weight_changes(calm))
}
