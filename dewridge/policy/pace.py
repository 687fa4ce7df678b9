"""How fast queued work is dispatched, learned while some waits."""

import math

MEMORY = 2.0
"""Seconds over which the pace is averaged. Shorter, and one long draft swings the
estimate and with it admissions; longer, and after a reclaim the host would go on
admitting for servers that are gone."""

GAP_LIMIT = 1.0
"""Seconds between two dispatches that count as time under a backlog at most."""


class PaceMeter:
    """Averages the work dispatched a second over the time that work waited."""

    def __init__(self) -> None:
        self._work = 0.0
        self._time = 0.0
        self._at: float | None = None

    def note_backlog(self, has_backlog: bool, now: float) -> None:
        """Record whether work waits from now on; call on each change and dispatch."""
        if self._at is not None:
            self._advance(now - self._at)
        self._at = now if has_backlog else None

    def note_dispatch(self, cost: float) -> None:
        """Record work dispatched; counts only while some waited."""
        if self._at is not None:
            self._work += cost

    def find_pace(self, guess: float) -> float:
        """Return the pace; `guess` stands in for the time not yet observed."""
        missing = max(0.0, MEMORY - self._time)
        return (self._work + guess * missing) / (self._time + missing)

    def _advance(self, elapsed: float) -> None:
        if elapsed <= 0:
            return
        decay = math.exp(-elapsed / MEMORY)
        self._work *= decay
        self._time = self._time * decay + elapsed
