"""Health of backend servers, by the recent attempts of this host and of all hosts."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

MIN_COOLDOWN = 0.5
"""Seconds of cooldown after a first failure, doubled for each further one in a row:
about the time of twenty plain answers, long enough for a short overload to pass."""
MAX_COOLDOWN = 4.0
"""Longest cooldown of a failing server in seconds; a restart takes about as long."""
COOLDOWN_FAILURES = 2
"""Failures in a row that start a cooldown; a single one may be the request's fault."""
OUTCOME_WEIGHT = 0.15
"""Weight of the newest outcome in the failure share: about the last dozen count."""
MAX_EXCESS_FAILURE_SHARE = 0.25
"""How far a server's failure share may exceed the median of its service. Some services
regularly fail part of their requests; a partially failing server stands out."""
OUTCOME_HALF_LIFE = 2.0
"""Seconds after which an attempt counts half. A server that recovered is tried again
after about three half-lives, and one that fails part of its requests is still found."""
MIN_ATTEMPTS = 4.0
"""Recent attempts by all hosts from which their failure share is used. With fewer, a
failure that a single request caused would exclude a server."""


@dataclass
class OutcomeMeter:
    """Recent attempts at one server and their failures, with exponential decay."""

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
        """Return the attempts and the failures, decayed up to now."""
        decay = 0.5 ** (max(0.0, now - self.updated_at) / OUTCOME_HALF_LIFE)
        return self.attempts * decay, self.failures * decay


def compute_attempt_rate(attempts: float) -> float:
    """Return the attempts per second that decayed counts amount to."""
    return attempts * math.log(2) / OUTCOME_HALF_LIFE


def compute_failure_share(attempts: float, failures: float) -> float | None:
    """Return the share of failed attempts, or None if there were too few attempts."""
    return failures / attempts if attempts >= MIN_ATTEMPTS else None


def compute_median(shares: Iterable[float]) -> float:
    """Return the median of the shares, or 0 if there are none."""
    ordered = sorted(shares)
    return ordered[len(ordered) // 2] if ordered else 0.0


@dataclass
class ServerHealth:
    """Results of this host's own attempts at one server.

    Attributes:
        consecutive_failures: failures since the last success.
        failure_share: smoothed share of failed attempts.
        cooldown_until: monotonic time until which it gets no work if others can take
            it.
        full_until: monotonic time until which it counts as full.
        silent_at: monotonic time of the last silence that counted as a failure.
        recent: recent attempts, as reported to the other hosts.
    """

    consecutive_failures: int = 0
    failure_share: float = 0.0
    cooldown_until: float = float("-inf")
    full_until: float = float("-inf")
    silent_at: float = float("-inf")
    recent: OutcomeMeter = field(default_factory=OutcomeMeter)

    def record_success(self, now: float) -> None:
        """Record a successful attempt."""
        self.recent.add(now, has_failed=False)
        self.consecutive_failures = 0
        self.failure_share *= 1 - OUTCOME_WEIGHT

    def record_silence(self, now: float, sent_at: float, *, is_hard: bool) -> None:
        """Record an attempt that the server left without an answer.

        A sound server may stand still for a second. The attempts that this affects end
        at about the same time, and count as one failure: taken for failures in a row,
        they would keep work from the server for seconds after it goes on.

        Args:
            now: monotonic time.
            sent_at: monotonic time at which the attempt was sent.
            is_hard: as in `record_failure`.
        """
        if sent_at >= self.silent_at:
            self.silent_at = now
            self.record_failure(now, is_hard=is_hard)

    def record_failure(self, now: float, *, is_hard: bool) -> None:
        """Record a failed attempt.

        Args:
            now: monotonic time.
            is_hard: whether the failure suggests that the server has crashed or left;
                it then starts a cooldown by itself.
        """
        self.recent.add(now, has_failed=True)
        self.failure_share += (1 - self.failure_share) * OUTCOME_WEIGHT
        self.consecutive_failures += 1
        if is_hard or self.consecutive_failures >= COOLDOWN_FAILURES:
            doublings = min(self.consecutive_failures - 1, 4)
            cooldown = min(MAX_COOLDOWN, MIN_COOLDOWN * 2.0**doublings)
            self.cooldown_until = now + cooldown

    def is_usable(
        self, now: float, fleet_share: float | None, median_share: float
    ) -> bool:
        """Whether the server may get work while other servers can take it too.

        A server that fails part of its requests may still pass its health check. It
        fails fast and looks idle, so that least-loaded placement would send it more and
        more. In a large fleet the attempts of one host at a server are seconds apart:
        the attempts of all hosts together reveal a failing server long before those of
        any single host.

        Args:
            now: monotonic time.
            fleet_share: share of all hosts' recent attempts that failed; None if there
                were too few.
            median_share: median failure share of the service's servers.
        """
        if now < self.cooldown_until or now < self.full_until:
            return False
        share = self.failure_share if fleet_share is None else fleet_share
        return share <= median_share + MAX_EXCESS_FAILURE_SHARE
