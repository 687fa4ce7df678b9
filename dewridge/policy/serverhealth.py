"""Which backend servers to spare, judged by this host's and all hosts' attempts."""

from collections.abc import Iterable
from dataclasses import dataclass, field

MIN_COOLDOWN = 0.5
"""Seconds that a server rests after its first failure in a row: some twenty plain
answers, long enough for a busy moment to pass."""
MAX_COOLDOWN = 4.0
"""Seconds that a failing server rests at the longest; a restart takes about that."""
COOLDOWN_FAILURES = 2
"""Failures in a row before a server rests: one may be the request's own fault."""
OUTCOME_WEIGHT = 0.15
"""Weight of the newest outcome in the failure share: about the last dozen count."""
MAX_EXCESS_FAILURE_SHARE = 0.25
"""How far a server's failure share may lie above the median of its service. Some
services fail a part of their requests by nature; a grey server stands out."""
OUTCOME_HALF_LIFE = 2.0
"""Seconds after which an attempt counts half: a server that came back is tried again
after some three of them, and one that fails part of its requests is still seen."""
MIN_ATTEMPTS = 4.0
"""Recent attempts by all hosts from which their share of failures is believed. Below,
one request's own fault would shed a server."""


@dataclass
class OutcomeMeter:
    """Recent attempts at one server; the older ones count less."""

    attempts: float = 0.0
    failures: float = 0.0
    updated_at: float = 0.0

    def add(self, now: float, *, has_failed: bool) -> None:
        """Count an attempt."""
        self.attempts, self.failures = self.read(now)
        self.updated_at = now
        self.attempts += 1
        self.failures += has_failed

    def read(self, now: float) -> tuple[float, float]:
        """Return what the attempts and their failures count now."""
        part = 0.5 ** (max(0.0, now - self.updated_at) / OUTCOME_HALF_LIFE)
        return self.attempts * part, self.failures * part


def find_failure_share(attempts: float, failures: float) -> float | None:
    """Return the share of failed attempts; None where there are too few."""
    return failures / attempts if attempts >= MIN_ATTEMPTS else None


def find_median(shares: Iterable[float]) -> float:
    """Return the median of shares; 0 of none."""
    known = sorted(shares)
    return known[len(known) // 2] if known else 0.0


@dataclass
class ServerHealth:
    """What own attempts saw of one server.

    Attributes:
        consecutive_failures: failures in a row.
        failure_share: smoothed share of failed attempts.
        cooldown_until: steady time until which it gets no work if others can.
        full_until: steady time until which it counts as full.
        recent: recent attempts, as the other hosts are told.
    """

    consecutive_failures: int = 0
    failure_share: float = 0.0
    cooldown_until: float = float("-inf")
    full_until: float = float("-inf")
    recent: OutcomeMeter = field(default_factory=OutcomeMeter)

    def record_success(self, now: float) -> None:
        """Note a good answer."""
        self.recent.add(now, has_failed=False)
        self.consecutive_failures = 0
        self.failure_share *= 1 - OUTCOME_WEIGHT

    def record_failure(self, now: float, *, is_hard: bool) -> None:
        """Note a failed attempt; hard ones say that the server may be gone."""
        self.recent.add(now, has_failed=True)
        self.failure_share += (1 - self.failure_share) * OUTCOME_WEIGHT
        self.consecutive_failures += 1
        if is_hard or self.consecutive_failures >= COOLDOWN_FAILURES:
            doublings = min(self.consecutive_failures - 1, 4)
            rest = min(MAX_COOLDOWN, MIN_COOLDOWN * 2.0**doublings)
            self.cooldown_until = now + rest

    def is_usable(
        self, now: float, fleet_share: float | None, median_share: float
    ) -> bool:
        """Whether the server may get work while others can take it too.

        Made for a server that fails a part of its requests while its health check
        passes: it answers failures fast, looks idle, and least-loaded placement
        would send it ever more. With many hosts each one's own attempts at a server
        are seconds apart, so that a failing one is known by all hosts' attempts
        together long before any host knows it alone.

        Args:
            now: steady time.
            fleet_share: share of all hosts' recent attempts that failed; None if
                there were too few to tell.
            median_share: median of the service's servers.
        """
        if now < self.cooldown_until or now < self.full_until:
            return False
        share = self.failure_share if fleet_share is None else fleet_share
        return share <= median_share + MAX_EXCESS_FAILURE_SHARE
