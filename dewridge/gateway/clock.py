"""Clock that continues while the host is suspended."""

import time


def read_boot_clock() -> float:
    """Return seconds since the host's boot, suspension included.

    The monotonic clock stops while a host is suspended. Measured by it, a lease or
    a confirmed configuration would still look valid seconds after it expired.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
