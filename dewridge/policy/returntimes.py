"""When a refused caller should return, and which requests are of returning callers."""

from collections import deque
from dataclasses import dataclass, field

MIN_WAIT = 0.1
"""Shortest wait in seconds: the period of the plans."""
MAX_WAIT_SHARE = 1 / 3
"""Part of their time left that callers wait at most; they ignore longer waits."""
SPREAD_SHARE = 0.5
"""Part of a wait over which callers that are refused at the same time return."""
RECENT_SECONDS = 10.0
"""Seconds within which the longest time left of a route is what is usual."""
MIN_RETURNING_GAP = 0.08
"""Seconds by which the time left of a returning caller is below the usual. A new
request loses a few milliseconds on its way; one that returns has waited `MIN_WAIT` or
more."""


@dataclass
class UsualTimeLeft:
    """The longest time left of a route's requests that arrived recently."""

    _recent: deque[tuple[float, float]] = field(default_factory=deque)

    def record(self, time_left: float, now: float) -> None:
        """Record a request that arrived."""
        while self._recent and self._recent[-1][1] <= time_left:
            self._recent.pop()
        self._recent.append((now, time_left))

    def get(self, now: float) -> float:
        """Return the longest time left in seconds; 0 without recent requests."""
        while self._recent and self._recent[0][0] < now - RECENT_SECONDS:
            self._recent.popleft()
        return self._recent[0][1] if self._recent else 0.0


def is_returning(time_left: float, usual: float) -> bool:
    """Return whether a request is probably that of a caller that was refused before."""
    return time_left < usual - MIN_RETURNING_GAP


def compute_wait(
    capacity_in: float, time_left: float, usual: float, random_number: float
) -> float:
    """Return the seconds after which a refused caller should return.

    The nearer its deadline, the sooner it returns.

    Args:
        capacity_in: seconds after which the capacity is expected to suffice.
        time_left: seconds until its deadline.
        usual: usual time left on its route.
        random_number: a random number from 0 up to 1.
    """
    position = min(1.0, max(0.0, time_left) / usual) if usual > 0 else 1.0
    wait = max(MIN_WAIT, capacity_in)
    spread = SPREAD_SHARE * position * random_number
    longest = max(0.0, time_left) * MAX_WAIT_SHARE
    return min(wait * (1 + spread), longest * (1 - SPREAD_SHARE / 2 * random_number))
