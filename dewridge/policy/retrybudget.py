"""Budget for sending requests to a second server, split among all hosts."""

from collections import deque
from dataclasses import dataclass, field

USABLE_SHARE = 0.8
"""Share of its allowance that a host uses. The windows of different hosts, and those by
which servers count, are not aligned to the second."""


@dataclass
class RetryBudget:
    """Counts first attempts and retries of one service over a sliding window.

    When a service begins to fail, a retry of each failed request would double the load
    just when capacity is lowest, and the retries alone would keep the service down.
    Each host earns retries by its own first attempts, so that the total stays within
    the ratio without coordination; the fixed slack is split evenly.

    Attributes:
        ratio: retries per first attempt, over all hosts.
        slack: additional retries in a window, over all hosts.
        window: length of the window in seconds.
    """

    ratio: float
    slack: float
    window: float
    _first_attempts: deque[float] = field(default_factory=deque)
    _retries: deque[float] = field(default_factory=deque)

    def record_first_attempt(self, now: float) -> None:
        """Count a first attempt."""
        self._first_attempts.append(now)
        self._prune(now)

    def acquire(self, now: float, host_count: int | None) -> bool:
        """Use one retry of the budget; returns False if none is left.

        Args:
            now: monotonic time.
            host_count: number of hosts that share the slack, among them those that left
                within the window; None if it is not known, which leaves no slack.
        """
        if self.count_retries(now) + 1 > self.compute_allowed(now, host_count):
            return False
        self._retries.append(now)
        return True

    def compute_allowed(self, now: float, host_count: int | None) -> float:
        """Return the retries that this host may use in a window."""
        share = self.slack / host_count if host_count else 0.0
        return USABLE_SHARE * (self.ratio * self.count_first_attempts(now) + share)

    def count_first_attempts(self, now: float) -> int:
        """Return the first attempts in the latest window."""
        self._prune(now)
        return len(self._first_attempts)

    def count_retries(self, now: float) -> int:
        """Return the retries in the latest window."""
        self._prune(now)
        return len(self._retries)

    def _prune(self, now: float) -> None:
        oldest = now - self.window
        for times in (self._first_attempts, self._retries):
            while times and times[0] < oldest:
                times.popleft()
