"""Clock that continues while the host is suspended, and detection of stalls."""

import time
from collections.abc import Callable


def read_boot_clock() -> float:
    """Return seconds since the host's boot, suspension included.

    The monotonic clock stops while a host is suspended. Measured by it, a lease or
    a confirmed configuration would still look valid seconds after it expired.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class StallDetector:
    """Notices when the process did not run for a while, as in a pause of its machine.

    What arrived meanwhile is as old as the stall, although it is read just now.
    """

    def __init__(self, limit: float) -> None:
        """Create a detector.

        Args:
            limit: seconds between two checks from which the process has stalled.
        """
        self._limit = limit
        self._checked_at = read_boot_clock()
        self._monotonic_at = time.monotonic()
        self.on_stall: Callable[[float], None] = lambda suspended: None

    @property
    def seconds_since_check(self) -> float:
        """Seconds since the last check, during which the process may have stalled."""
        return read_boot_clock() - self._checked_at

    def check(self) -> None:
        """Call `on_stall` if the process has stalled since the last check.

        Its argument is the seconds of the stall that the monotonic clock lacks, since
        it stops while the machine is suspended.
        """
        now, monotonic = read_boot_clock(), time.monotonic()
        elapsed, ran = now - self._checked_at, monotonic - self._monotonic_at
        self._checked_at, self._monotonic_at = now, monotonic
        if elapsed > self._limit:
            self.on_stall(max(0.0, elapsed - ran))
