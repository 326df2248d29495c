"""Clock of the ingress."""

import time


def boot_seconds() -> float:
    """Return seconds since boot, including the time that the VM was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def suspended_seconds() -> float:
    """Return for how long the VM was suspended since boot, in seconds."""
    return boot_seconds() - time.clock_gettime(time.CLOCK_MONOTONIC)
