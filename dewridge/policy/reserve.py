"""Credits that background work leaves free for interactive work."""

import math

MEMORY = 30.0
"""Seconds over which the demand is averaged: long enough to span the pauses of a
handful of technicians, short enough to give the credits back within a minute."""

HEADROOM = 1.0
"""Standard deviations of a Poisson demand kept free above its mean. What goes
beyond waits for one of the questions to end, a second at most; kept free for it,
the credits of a small host would stand idle nearly all of the time."""


class Reserve:
    """Follows how many credits interactive work uses side by side.

    Made for long drafts beside short questions: a draft holds its credit for
    many seconds, and a question that finds none free waits for one to end. A
    fixed part kept free would stand idle at a service that has no questions.
    """

    def __init__(self) -> None:
        self._demand = 0.0
        self._at = 0.0

    def record_offer(self, duration: float) -> None:
        """Record interactive work offered, by the seconds that it takes."""
        self._demand += duration / MEMORY

    def decay(self, now: float) -> None:
        """Let the demand of earlier times fade."""
        if now > self._at:
            self._demand *= math.exp((self._at - now) / MEMORY)
            self._at = now

    def find_credits(self, limit: float) -> float:
        """Return the credits to keep free, at most `limit`."""
        return min(limit, self._demand + HEADROOM * math.sqrt(self._demand))
