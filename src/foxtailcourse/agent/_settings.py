"""Settings of ``foxtail-agent``."""

from foxtailcourse.settings import Address, section, setting


@section("agent")
class AgentSettings:
    """What the agent serves and where its backend server is."""

    listen: Address = setting(Address, description="Address for requests of entries.")
    serves: str = setting(
        str, description="Model or service route of the backend server."
    )
    kind: str = setting(
        str,
        "engine",
        description="Kind of the backend server.",
        choices=("engine", "service"),
    )
    backend: Address = setting(Address, description="Address of the backend server.")
    slots: int = setting(
        int, 8, description="Requests on the backend server at once.", minimum=1
    )
    queue_limit: int = setting(
        int, 1000, description="Most waiting requests.", minimum=1
    )
    block_tokens: int = setting(
        int, 16, description="Length of one cache block.", unit="tokens", minimum=1
    )
    index_blocks: int = setting(
        int, 4000, description="Most blocks in the block index.", minimum=1
    )
    index_stale_s: float = setting(
        float,
        15.0,
        description="Time without an answer to a poll for cache events after which "
        "the block index is not used.",
        unit="seconds",
        minimum=0.1,
    )
    prefill_s_per_token: float = setting(
        float,
        20e-6,
        description="Predicted time to compute one prompt token.",
        unit="seconds",
        minimum=1e-9,
    )
    decode_s_per_token: float = setting(
        float,
        0.002,
        description="Predicted time to generate one token.",
        unit="seconds",
        minimum=1e-9,
    )
    load_poll_s: float = setting(
        float,
        0.5,
        description="Time between two questions for the engine's state.",
        unit="seconds",
        minimum=0.01,
    )
    service_call_s: float = setting(
        float,
        0.05,
        description="Predicted time of one call of a plain service.",
        unit="seconds",
        minimum=1e-6,
    )
    key_lifetime_s: float = setting(
        float,
        600.0,
        description="Time that an issued idempotency key and its outcome are kept.",
        unit="seconds",
        minimum=0.001,
    )
    max_keys: int = setting(int, 10_000, description="Most unexpired keys.", minimum=1)
    kept_response_bytes: int = setting(
        int,
        4 * 1024 * 1024,
        description="Responses kept for repeated calls, in all.",
        unit="bytes",
        minimum=0,
    )
    token_timeout_s: float = setting(
        float,
        30.0,
        description="Longest wait for the next token of the engine.",
        unit="seconds",
        minimum=0.01,
    )
    kv_store: tuple[Address, ...] = setting(
        tuple[Address, ...],
        (),
        description="Address of the KV-cache store; empty for none.",
    )
    import_s_per_block: float = setting(
        float,
        0.0002,
        description="Predicted time to import one block from the KV-cache store.",
        unit="seconds",
        minimum=0,
    )
    import_call_s: float = setting(
        float,
        0.005,
        description="Predicted time of one question to the KV-cache store.",
        unit="seconds",
        minimum=0,
    )
    max_connections: int = setting(
        int, 2000, description="Connections of entries at once.", minimum=1
    )
