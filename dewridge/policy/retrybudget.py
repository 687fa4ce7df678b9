"""Budget for sending requests to a second server, split among all hosts."""

from collections import deque
from dataclasses import dataclass, field

BURST_SHARE = 0.5
"""Share of a window's allowance that a host can save up for a burst, such as retries of
the streams of a server that crashes."""
REFILL_SHARE = 0.45
"""Share of a window's allowance that is earned within a window. Together with the burst
it stays below the whole: requests arrive a little later than they are counted, and
streams that return to their source may overdraw a budget."""
MAX_REFILL_WINDOWS = 2
"""Windows without a request for which slack is earned; the bucket is full by then."""


@dataclass
class RetryBudget:
    """A token bucket of the retries of one service, which starts empty.

    When a service begins to fail, a retry of each failed request would double the load
    just when capacity is lowest, and the retries alone would keep the service down.
    Each host earns retries by its own first attempts, so that the total stays within
    the ratio without coordination; the fixed slack is split evenly.

    No host has to know what others, or its own earlier process, used before: in any
    window all hosts together use at most what their buckets held at its begin and what
    was earned in it. A host that starts has earned nothing, however often it starts.

    Attributes:
        ratio: retries per first attempt, over all hosts.
        slack: additional retries in a window, over all hosts.
        window: length of the window in seconds.
        filled_at: monotonic time up to which the slack was earned, at first that of the
            process's start.
        level: retries that may be used now.
    """

    ratio: float
    slack: float
    window: float
    filled_at: float = 0.0
    level: float = 0.0
    _first_attempts: deque[float] = field(default_factory=deque)
    _retries: deque[float] = field(default_factory=deque)

    def record_first_attempt(self, now: float, host_count: int | None) -> None:
        """Count a first attempt; see `acquire` for the arguments."""
        self._first_attempts.append(now)
        self.level += REFILL_SHARE * self.ratio
        self._refill(now, host_count)

    def acquire(
        self, now: float, host_count: int | None, remainder: float = 0.0
    ) -> bool:
        """Use one retry of the budget; returns False if none is left.

        Args:
            now: monotonic time.
            host_count: number of hosts that share the slack, among them those that left
                within the window; None if it is not known, which leaves no slack.
            remainder: retries that have to be left afterwards; a negative number lets
                the request overdraw the budget.
        """
        self._refill(now, host_count)
        if self.level - 1 < remainder:
            return False
        self.level -= 1
        self._retries.append(now)
        return True

    def count_first_attempts(self, now: float) -> int:
        """Return the first attempts in the latest window."""
        self._prune(now)
        return len(self._first_attempts)

    def count_retries(self, now: float) -> int:
        """Return the retries in the latest window."""
        self._prune(now)
        return len(self._retries)

    def _refill(self, now: float, host_count: int | None) -> None:
        share = self.slack / host_count if host_count else 0.0
        elapsed = min(now - self.filled_at, MAX_REFILL_WINDOWS * self.window)
        self.filled_at = now
        earned = REFILL_SHARE * share * elapsed / self.window
        first_attempts = self.count_first_attempts(now)
        capacity = BURST_SHARE * (self.ratio * first_attempts + share)
        self.level = min(self.level + earned, capacity)

    def _prune(self, now: float) -> None:
        oldest = now - self.window
        for times in (self._first_attempts, self._retries):
            while times and times[0] < oldest:
                times.popleft()
