"""How fast queued work is dispatched, learned while some waits."""

import math

MEMORY = 10.0
"""Seconds over which the pace is averaged. An entry host may dispatch but one
draft a second, and over less time one draft more or less would swing admission
between refusing everything and admitting too much."""


class PaceMeter:
    """Averages the work that one credit dispatched a second while work waited.

    Kept a credit and not as a total, so that the estimate follows at once when
    servers are reclaimed or suspended; a total would go on admitting for
    servers that are gone until the average had forgotten them.
    """

    def __init__(self) -> None:
        self._work = 0.0
        self._credit_seconds = 0.0
        self._time = 0.0
        self._credits = 0.0
        self._at: float | None = None

    def record_backlog(self, has_backlog: bool, credits: float, now: float) -> None:
        """Record whether work waits from now on, before how many credits."""
        if self._at is not None:
            self._advance(now - self._at)
        self._at = now if has_backlog else None
        self._credits = credits

    def record_dispatch(self, cost: float) -> None:
        """Record work dispatched; counts only while some waited."""
        if self._at is not None:
            self._work += cost

    def find_rate(self, credits: float, guess: float) -> float:
        """Return the pace with so many credits.

        `guess` is the work that a credit does in a second as far as is known
        otherwise; it stands in for the time not yet observed.
        """
        missing = max(0.0, MEMORY - self._time) / MEMORY
        observed = self._work / self._credit_seconds if self._credit_seconds else 0.0
        return credits * (guess * missing + observed * (1 - missing))

    def _advance(self, elapsed: float) -> None:
        if elapsed <= 0:
            return
        decay = math.exp(-elapsed / MEMORY)
        self._work *= decay
        self._credit_seconds *= decay
        self._credit_seconds += elapsed * max(self._credits, 1e-6)
        self._time = self._time * decay + elapsed
