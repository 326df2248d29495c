"""Settings of the placement policy."""

from foxtailcourse.settings import section, setting


@section("routing")
class PlacementSettings:
    """How a placement policy weighs waiting against recomputation."""

    recompute_weight: float = setting(
        float,
        2.0,
        minimum=0.0,
        description="Weight of predicted recomputation against wait, short requests.",
    )
    long_recompute_weight: float = setting(
        float,
        96.0,
        minimum=0.0,
        description="Weight of predicted recomputation against wait, long requests.",
    )
    prefill_tokens_per_s: float = setting(
        float,
        8000.0,
        minimum=1.0,
        description="Prompt tokens that a backend server computes per second.",
        unit="tokens/s",
    )
    block_tokens: int = setting(
        int,
        64,
        minimum=1,
        description="Tokens in each block of the engines' prefix cache.",
        unit="tokens",
    )
    hot_requests_per_s: float = setting(
        float,
        2.0,
        minimum=0.01,
        description="Own requests of one prefix that widen its home by a server.",
        unit="requests/s",
    )
    tracked_prefixes: int = setting(
        int,
        20_000,
        minimum=16,
        description="Prefixes whose holders and heat are remembered.",
    )
    tracked_attempts: int = setting(
        int,
        10_000,
        minimum=16,
        description="Open attempts that are remembered.",
    )
