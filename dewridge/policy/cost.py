"""Money: what an answer costs, and the limits of a profile."""

from dewridge.configuration.model import CostLimits
from dewridge.policy.model import ServerView, Work

HOUR = 3600.0

PROMPT_WEIGHT = 0.05
"""Cost of a prompt token against a generated one. An engine computes hundreds of
prompt tokens in the step that it needs for one token of each answer; counted at
par, a long dossier would use up an account's share that it hardly took."""

BURST = 0.1
"""Part of an hour's money that may be spent at once. Smaller, and an ordinary
burst would be refused though the hour stays within its limit; larger, and a
runaway caller spends it before anyone looks."""


def measure_cost(work: Work) -> float:
    """Return the work in units of generated tokens, as shares are counted."""
    remaining = max(1, work.expected_tokens - work.tokens_done)
    return remaining + PROMPT_WEIGHT * (work.prompt_tokens + work.tokens_done)


def find_slot_price(server: ServerView) -> float:
    """Return money a second for one of the requests that run side by side."""
    return server.price / HOUR / max(1, server.capacity)


class CostBudget:
    """Money spent on this host against the profile's limit an hour."""

    def __init__(self, limits: CostLimits) -> None:
        self._limits = limits
        self._level = 0.0
        self._at = 0.0

    def set_limits(self, limits: CostLimits) -> None:
        """Change the limits; what was spent stays spent."""
        self._limits = limits

    def charge(self, amount: float, now: float) -> None:
        """Record money spent."""
        self._settle(now)
        self._level += amount

    def find_wait(self, expected: float, now: float) -> float:
        """Return seconds until an answer of the expected cost may start.

        Made for a profile whose callers send more than its owner pays for: the
        level drains at the hour's pace, so that spending is cut to it smoothly
        in place of stopping for the rest of the hour.
        """
        if self._limits.per_hour <= 0:
            return 0.0
        self._settle(now)
        excess = self._level + expected - self._limits.per_hour * BURST
        return max(0.0, excess * HOUR / self._limits.per_hour)

    def exceeds_answer_limit(self, expected: float) -> bool:
        """Whether one answer would cost more than the profile allows."""
        limit = self._limits.per_answer
        return 0 < limit < expected

    def _settle(self, now: float) -> None:
        if now > self._at:
            drained = (now - self._at) * self._limits.per_hour / HOUR
            self._level = max(0.0, self._level - drained)
            self._at = now
