"""Rests that backend servers ask of one entry host."""

import math
from dataclasses import dataclass

MAX_REST = 3600.0
"""Longest rest in seconds that is kept; a longer one is most likely a mistake."""
ESSENTIAL_SENDS = 1
"""Requests during a rest without which a running stream would be lost. Operators
tolerate two, and one may be late on its way."""


@dataclass
class RestTimer:
    """The rest that one server asked of this host.

    Attributes:
        begun_at: monotonic time at which the rest began.
        until: monotonic time until which the server wants no requests.
        essential_sent: requests sent since the rest began.
    """

    begun_at: float = -math.inf
    until: float = -math.inf
    essential_sent: int = 0

    def extend(self, seconds: float, now: float) -> bool:
        """Apply an answer that asks for rest.

        Several answers may be on their way at once. A later one with a shorter time
        does not shorten the rest, as the server asked for each of them.

        Returns:
            Whether a rest began.
        """
        begins = not self.is_resting(now)
        if begins:
            self.begun_at = now
            self.essential_sent = 0
        self.until = max(self.until, now + min(seconds, MAX_REST))
        return begins and self.is_resting(now)

    def is_resting(self, now: float) -> bool:
        """Whether the server wants no requests now."""
        return now < self.until

    def acquire(self, now: float, *, is_essential: bool) -> bool:
        """Return whether a request may be sent now, and count it if so."""
        if not self.is_resting(now):
            return True
        if not is_essential or self.essential_sent >= ESSENTIAL_SENDS:
            return False
        self.essential_sent += 1
        return True
