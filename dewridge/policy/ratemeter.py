"""Mean rate of an amount over a sliding window."""

from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class RateMeter:
    """Mean rate of an amount per second over the last `window` seconds."""

    window: float
    _amounts: deque[tuple[float, float]] = field(default_factory=deque)
    _sum: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Count an amount."""
        self._drop_expired(now)
        self._amounts.append((now, amount))
        self._sum += amount

    def compute_rate(self, now: float) -> float:
        """Return the amount per second."""
        self._drop_expired(now)
        return max(0.0, self._sum) / self.window

    def _drop_expired(self, now: float) -> None:
        while self._amounts and self._amounts[0][0] < now - self.window:
            self._sum -= self._amounts.popleft()[1]
        if not self._amounts:
            self._sum = 0.0
