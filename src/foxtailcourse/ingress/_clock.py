"""Time for the ingress."""

import time


def boot_seconds() -> float:
    """Return seconds since boot, counting the time that the VM was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
