"""Settings of the platform's ingress."""

from foxtailcourse.fleet import CallerLimits
from foxtailcourse.http import HttpLimits
from foxtailcourse.settings import Address, section, setting

# A caller that accepts no bytes of its response for this long has most likely
# disconnected.
SEND_TIMEOUT_S = 5.0
# Pause of a watch, as a fraction of the time in which changes must be applied.
WATCH_PAUSE_FRACTION = 0.25
# Bandwidth that the traffic of one core needs.
LINK_MBPS_PER_CORE = 50.0
# The smallest entries of all deployments have this memory.
SMALLEST_MEMORY_MB = 160.0
# Longest time to live of a lease that the store grants.
MAX_LEASE_MS = 600_000


@section("ingress")
class IngressSettings:
    """Listeners, the platform's store and the limits that the platform sets."""

    listen: Address = setting(Address, description="Address for callers' requests.")
    ready_listen: Address = setting(
        Address, description="Address where the load balancer asks for readiness."
    )
    exchange_listen: Address = setting(
        Address, description="Address for messages of other entries, by UDP."
    )
    store: Address = setting(Address, description="Address of the platform's store.")
    store_reads_per_s: float = setting(
        float,
        2000.0,
        description="Reads that the store serves to all entries.",
        unit="calls a second",
        minimum=1,
    )
    store_writes_per_s: float = setting(
        float,
        400.0,
        description="Writes that the store serves to all entries.",
        unit="calls a second",
        minimum=1,
    )
    cpu_share: float = setting(
        float,
        1.0,
        description="Fraction of a core that this VM may use.",
        unit="cores",
        minimum=0,
    )
    cpu_speed: float = setting(
        float,
        1.0,
        description="Speed of that core, relative to the others of the deployment.",
        minimum=0,
    )
    link_mbps: float = setting(
        float,
        1000.0,
        description="Bandwidth of this VM's link.",
        unit="Mbit/s",
        minimum=0,
    )
    revocation_ms: float = setting(
        float,
        5000,
        description="Time after which a removed key must not be served, as "
        "limited by the platform.",
        unit="ms",
        minimum=1000,
    )
    configuration_ms: float = setting(
        float,
        2000,
        description="Time after which a configuration must be in force, as "
        "limited by the platform.",
        unit="ms",
        minimum=100,
    )
    lease_ms: float = setting(
        float,
        3000,
        description="Least time between orders of two leaders, as set by the platform.",
        unit="ms",
        minimum=1,
        maximum=MAX_LEASE_MS,
    )
    store_min_lease_ms: float = setting(
        float,
        1000,
        description="Shortest time to live of a lease that the store grants.",
        unit="ms",
        minimum=1,
        maximum=MAX_LEASE_MS,
    )
    drain_ms: float = setting(
        float,
        2000,
        description="Time for which a backend server still serves requests after it "
        "registered that it leaves, as set by the platform.",
        unit="ms",
        minimum=1,
    )
    weights_ms: float = setting(
        float,
        15000,
        description="Time after which outdated weights must not be used, as limited "
        "by the platform.",
        unit="ms",
        minimum=1000,
    )
    stop_s: float = setting(
        float,
        8.0,
        description="Time between SIGTERM and SIGKILL, as set by the platform.",
        unit="seconds",
        minimum=1,
    )
    retry_ratio: float = setting(
        float,
        0.2,
        description="Retries per request of a service, over all entries, as limited "
        "by the platform.",
        minimum=0,
    )
    retry_extra: float = setting(
        float,
        50,
        description="Retries in each window in addition to the ratio, over all "
        "entries, as limited by the platform.",
        minimum=0,
    )
    retry_window_s: float = setting(
        float,
        10.0,
        description="Window of the limits on retries.",
        unit="seconds",
        minimum=1,
    )
    contracts: tuple[str, ...] = setting(
        tuple[str, ...],
        (),
        description="Names of the platform's contracts of this deployment; unknown "
        "ones are ignored.",
    )
    memory_mb: float = setting(
        float,
        SMALLEST_MEMORY_MB,
        description="Memory of this VM's process; the platform kills a larger one.",
        unit="MB",
        minimum=1,
    )
    quota_window_s: float = setting(
        float,
        0.0,
        description="Window of the platform's rule on quotas; 0 if there is none.",
        unit="seconds",
        minimum=0,
    )
    quota_overage: float = setting(
        float,
        0.0,
        description="Fraction by which an account may exceed its quota in a window.",
        minimum=0,
    )
    quota_tolerance: float = setting(
        float,
        0.0,
        description="Tokens or requests by which an account may exceed its quota in a "
        "window, in addition to the fraction.",
        minimum=0,
    )
    watch_wait_s: float = setting(
        float,
        1.5,
        description="Wait of one watch of the store; a watch without events also "
        "confirms that the known records are current.",
        unit="seconds",
        minimum=0.1,
        maximum=30,
    )
    call_timeout_s: float = setting(
        float,
        0.8,
        description="Longest wait for a response of the store beyond a watch's wait.",
        unit="seconds",
        minimum=0.05,
    )
    connect_timeout_s: float = setting(
        float,
        0.3,
        description="Longest time to connect to a backend server.",
        unit="seconds",
        minimum=0.01,
    )
    max_connections: int = setting(
        int, 3000, description="Concurrent connections of callers.", minimum=1
    )

    @property
    def capacity_cores(self) -> float:
        """What this VM can carry, in cores; a narrow link counts like a slow core."""
        return min(self.cpu_share * self.cpu_speed, self.link_mbps / LINK_MBPS_PER_CORE)

    @property
    def watch_pause_s(self) -> float:
        """Pause after a watch that returned changes, in seconds.

        It collects the changes that follow in one call, well within the times to apply
        a configuration and to stop sending requests to a server that leaves.
        """
        return WATCH_PAUSE_FRACTION * min(self.drain_ms, self.configuration_ms) / 1000

    @property
    def lease_ttl_s(self) -> float:
        """Time to live of this entry's lease, in seconds."""
        return max(self.lease_ms, self.store_min_lease_ms) / 1000

    def http_limits(self, limits: CallerLimits) -> HttpLimits:
        """Return the limits of the callers' listener.

        Parameters
        ----------
        limits : CallerLimits
            Limits of the configuration; they take precedence over the defaults.
        """
        defaults = HttpLimits()
        return HttpLimits(
            max_connections=self.max_connections,
            max_header_bytes=limits.max_header_bytes or defaults.max_header_bytes,
            max_body_bytes=limits.max_body_bytes or defaults.max_body_bytes,
            header_timeout_s=limits.header_timeout_s or defaults.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s or defaults.idle_timeout_s,
            send_timeout_s=SEND_TIMEOUT_S,
        )
