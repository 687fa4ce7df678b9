"""Event queue of the simulation."""

import heapq
from collections.abc import Callable

Callback = Callable[[], None]


class Timeline:
    """A simulated clock with a queue of scheduled callbacks."""

    def __init__(self, delay: float) -> None:
        self.now = 0.0
        self._delay = delay
        self._events: list[tuple[float, int, Callback]] = []
        self._sequence = 0

    def schedule(self, at: float, callback: Callback) -> None:
        """Schedule a callback at a time."""
        self._sequence += 1
        heapq.heappush(self._events, (at, self._sequence, callback))

    def schedule_delayed(self, callback: Callback) -> None:
        """Schedule a callback after the network delay."""
        self.schedule(self.now + self._delay, callback)

    def run_next(self, end_at: float) -> bool:
        """Run the next callback; return False if none is due by `end_at`."""
        if not self._events or self._events[0][0] > end_at:
            return False
        self.now, _, callback = heapq.heappop(self._events)
        callback()
        return True
