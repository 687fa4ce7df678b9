"""Credits that are reserved for interactive work."""

import math

AVERAGING_SECONDS = 30.0
"""Time constant of the average demand: long enough to span the pauses of a few users,
short enough to release the credits within a minute."""

HEADROOM_DEVIATIONS = 1.0
"""Standard deviations of a Poisson demand that are reserved above its mean. Requests
beyond that wait at most a second for a short interactive request to complete; credits
reserved for them would be idle nearly all of the time on a small host."""


class Reserve:
    """Estimates how many credits interactive work uses concurrently.

    A long background request holds its credit for many seconds, and a short interactive
    request that finds no free credit has to wait for it to complete. A fixed reserve
    would be idle in services without interactive work.
    """

    def __init__(self) -> None:
        self._demand = 0.0
        self._decayed_at = 0.0

    def record_offer(self, duration: float) -> None:
        """Record an interactive request and the seconds that it is expected to take."""
        self._demand += duration / AVERAGING_SECONDS

    def decay(self, now: float) -> None:
        """Apply the exponential decay of the demand up to now."""
        if now > self._decayed_at:
            self._demand *= math.exp((self._decayed_at - now) / AVERAGING_SECONDS)
            self._decayed_at = now

    def compute_credits(self, limit: float) -> float:
        """Return the number of credits to reserve, at most `limit`."""
        return min(limit, self._demand + HEADROOM_DEVIATIONS * math.sqrt(self._demand))
