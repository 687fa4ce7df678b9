"""Cost of answers, and the cost limits of a profile."""

from dewridge.configuration.model import CostLimits
from dewridge.policy.model import ServerView, Work

SECONDS_PER_HOUR = 3600.0

PROMPT_WEIGHT = 0.05
"""Cost of a prompt token relative to a generated one. In the time of one decoding step
an engine reads hundreds of prompt tokens; at equal cost, a long prompt would use up an
account's share although it takes little time."""

BURST_SHARE = 0.1
"""Share of the hourly limit that may be spent at once. With a smaller share, ordinary
bursts would be refused although the hour stays within its limit; with a larger one, a
runaway caller would spend the money before an operator notices."""


def measure_cost(work: Work) -> float:
    """Return the cost of work in units of generated tokens, as used for fair shares."""
    remaining = max(1, work.expected_tokens - work.tokens_done)
    return remaining + PROMPT_WEIGHT * (work.prompt_tokens + work.tokens_done)


def compute_slot_price(server: ServerView) -> float:
    """Return the price per second of one of the server's concurrent requests."""
    return server.price / SECONDS_PER_HOUR / max(1, server.capacity)


class CostBudget:
    """Leaky bucket of the money spent on this host, for a profile's hourly limit."""

    def __init__(self, limits: CostLimits) -> None:
        self._limits = limits
        self._spent = 0.0
        self._drained_at = 0.0

    def set_limits(self, limits: CostLimits) -> None:
        """Replace the limits; money already spent still counts."""
        self._limits = limits

    def charge(self, amount: float, now: float) -> None:
        """Record money spent."""
        self._drain(now)
        self._spent += amount

    def compute_wait(self, expected: float, now: float) -> float:
        """Return the seconds until an answer of the expected cost may start.

        The bucket drains continuously at the hourly limit. When callers send more than
        the limit pays for, spending is slowed to the limit evenly and does not stop for
        the rest of the hour.
        """
        if self._limits.per_hour <= 0:
            return 0.0
        self._drain(now)
        excess = self._spent + expected - self._limits.per_hour * BURST_SHARE
        return max(0.0, excess * SECONDS_PER_HOUR / self._limits.per_hour)

    def exceeds_answer_limit(self, expected: float) -> bool:
        """Return whether one answer would cost more than the profile allows."""
        limit = self._limits.per_answer
        return 0 < limit < expected

    def _drain(self, now: float) -> None:
        if now > self._drained_at:
            drained = (
                (now - self._drained_at) * self._limits.per_hour / SECONDS_PER_HOUR
            )
            self._spent = max(0.0, self._spent - drained)
            self._drained_at = now
