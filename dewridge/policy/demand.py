"""How much work comes in, as far as orders of servers have to know."""

from collections import deque
from dataclasses import dataclass, field

CELL = 1.0
"""Seconds of one cell."""
RATE_CELLS = 8
"""Cells over which the rate is taken: twice as long as a new server takes to start. At
four the rate of a calm day doubles by chance, from a few long prompts."""
HELD = 30.0
"""Seconds for which the highest rate counts: most of a usual wave, so that servers are
not given up in each trough and ordered again on each crest."""


@dataclass
class DemandMeter:
    """Prompt tokens that arrived at all hosts for one service."""

    first_arrival_at: float | None = None
    """When the first work came; None before."""
    _cells: deque[tuple[int, float]] = field(default_factory=deque)
    _rates: deque[tuple[float, float]] = field(default_factory=deque)

    def add(self, tokens: float, now: float) -> None:
        """Count arrivals."""
        if self.first_arrival_at is None:
            self.first_arrival_at = now
        cell = int(now / CELL)
        if self._cells and self._cells[-1][0] == cell:
            self._cells[-1] = cell, self._cells[-1][1] + tokens
        else:
            self._cells.append((cell, tokens))

    def find_peak_rate(self, now: float) -> float:
        """Return the highest rate held, in tokens a second."""
        newest = int(now / CELL) - 1
        while self._cells and self._cells[0][0] <= newest - RATE_CELLS:
            self._cells.popleft()
        recent = sum(n for cell, n in self._cells if cell <= newest)
        self._rates.append((now, recent / (RATE_CELLS * CELL)))
        while self._rates and self._rates[0][0] < now - HELD:
            self._rates.popleft()
        return max(rate for _, rate in self._rates)
