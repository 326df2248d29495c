"""Clock of the ingress."""

import time


def boot_seconds() -> float:
    """Return seconds since boot, including the time that the VM was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
