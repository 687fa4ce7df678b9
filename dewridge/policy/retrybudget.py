"""The budget for sending a request to a second server, shared by all hosts."""

from collections import deque
from dataclasses import dataclass, field

OWN_PART = 0.8
"""Part of this host's allowance that it uses: windows of different hosts and servers'
counts don't line up to the second."""


@dataclass
class RetryBudget:
    """Counts first sendings and repeats of one service over a sliding window.

    Made for the moment when a service begins to fail: each failed request sent once
    more doubles the load just when capacity is least, and the service stays down
    through its retries alone. Each host earns repeats by its own first sendings, so
    that the sum keeps to the ratio without a word between hosts; the fixed slack is
    split evenly.

    Attributes:
        ratio: repeats for each first sending, over all hosts.
        slack: repeats beyond that in a window, over all hosts.
        window: seconds of the window.
    """

    ratio: float
    slack: float
    window: float
    _first: deque[float] = field(default_factory=deque)
    _repeats: deque[float] = field(default_factory=deque)

    def record_first_attempt(self, now: float) -> None:
        """Count a first sending."""
        self._first.append(now)
        self._prune(now)

    def acquire(self, now: float, hosts: int) -> bool:
        """Take one repeat out of the budget if it has one."""
        self._prune(now)
        share = self.slack / max(1, hosts)
        allowed = OWN_PART * (self.ratio * len(self._first) + share)
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now)
        return True

    def _prune(self, now: float) -> None:
        oldest = now - self.window
        for times in (self._first, self._repeats):
            while times and times[0] < oldest:
                times.popleft()
