"""Settings of the entry."""

from foxtailcourse.http import HttpLimits
from foxtailcourse.settings import Address, section, setting


@section("entry")
class EntrySettings:
    """Listener, bounds on callers, and how attempts are made."""

    listen: Address = setting(Address, description="Address for callers' requests.")
    max_connections: int = setting(
        int, 2000, description="Callers' connections served at once.", minimum=1
    )
    max_body_bytes: int = setting(
        int,
        8 * 1024 * 1024,
        description="Largest request body; a contract may set a lower bound.",
        unit="bytes",
        minimum=1,
    )
    receive_timeout_s: float = setting(
        float,
        20.0,
        description="Longest time to receive a whole request.",
        unit="seconds",
        minimum=0.01,
    )
    keep_alive_s: float = setting(
        float,
        75.0,
        description="Longest wait for the next request on a kept connection.",
        unit="seconds",
        minimum=0.01,
    )
    send_timeout_s: float = setting(
        float,
        30.0,
        description="Longest wait for a caller to take a piece of its answer.",
        unit="seconds",
        minimum=0.01,
    )
    connect_timeout_s: float = setting(
        float,
        1.0,
        description="Longest time to connect to an agent.",
        unit="seconds",
        minimum=0.01,
    )
    stream_idle_timeout_s: float = setting(
        float,
        10.0,
        description="Longest gap between two pieces of an agent's answer.",
        unit="seconds",
        minimum=0.01,
    )
    answer_timeout_s: float = setting(
        float,
        300.0,
        description="Longest wait for an answer that is not streamed.",
        unit="seconds",
        minimum=0.01,
    )
    probe_after_s: float = setting(
        float,
        1.0,
        description="Wait for an answer after which the agent is asked whether it "
        "is alive.",
        unit="seconds",
        minimum=0.01,
    )
    probe_timeout_s: float = setting(
        float,
        1.0,
        description="Longest wait for an agent to say that it is alive.",
        unit="seconds",
        minimum=0.01,
    )
    max_attempts: int = setting(
        int, 4, description="Most attempts for one request.", minimum=1
    )
    default_max_tokens: int = setting(
        int,
        256,
        description="Most tokens to generate when the request does not say.",
        unit="tokens",
        minimum=1,
    )

    def http_limits(self) -> HttpLimits:
        """Return the bounds of the callers' listener."""
        return HttpLimits(
            max_connections=self.max_connections,
            max_body_bytes=self.max_body_bytes,
            receive_timeout_s=self.receive_timeout_s,
            idle_timeout_s=self.keep_alive_s,
            send_timeout_s=self.send_timeout_s,
        )
