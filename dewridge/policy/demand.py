"""Rate of arriving work, used to decide how many servers to order."""

from collections import deque
from dataclasses import dataclass, field

BUCKET_SECONDS = 1.0
"""Length of a bucket in seconds."""
RATE_BUCKETS = 8
"""Number of buckets over which the rate is averaged: twice the start time of a new
server. With four, a few long prompts double the rate by chance under steady load."""
PEAK_SECONDS = 30.0
"""Seconds for which the highest rate counts: most of the period of usual load waves, so
that servers are not released in each trough and ordered again at each peak."""


@dataclass
class DemandMeter:
    """Measures the prompt tokens that arrive for one service at all hosts."""

    first_arrival_at: float | None = None
    """Time of the first arrival; None before it."""
    _buckets: deque[tuple[int, float]] = field(default_factory=deque)
    _rates: deque[tuple[float, float]] = field(default_factory=deque)

    def add(self, tokens: float, now: float) -> None:
        """Record arrived prompt tokens."""
        if self.first_arrival_at is None:
            self.first_arrival_at = now
        bucket = int(now / BUCKET_SECONDS)
        if self._buckets and self._buckets[-1][0] == bucket:
            self._buckets[-1] = bucket, self._buckets[-1][1] + tokens
        else:
            self._buckets.append((bucket, tokens))

    def compute_peak_rate(self, now: float) -> float:
        """Return the highest rate within PEAK_SECONDS, in tokens per second."""
        newest = int(now / BUCKET_SECONDS) - 1
        while self._buckets and self._buckets[0][0] <= newest - RATE_BUCKETS:
            self._buckets.popleft()
        recent = sum(count for bucket, count in self._buckets if bucket <= newest)
        self._rates.append((now, recent / (RATE_BUCKETS * BUCKET_SECONDS)))
        while self._rates and self._rates[0][0] < now - PEAK_SECONDS:
            self._rates.popleft()
        return max(rate for _, rate in self._rates)
