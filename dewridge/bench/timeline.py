"""Events in order of time."""

import heapq
from collections.abc import Callable

Action = Callable[[], None]


class Timeline:
    """What happens next, and what time it is."""

    def __init__(self, delay: float) -> None:
        self.now = 0.0
        self._delay = delay
        self._events: list[tuple[float, int, Action]] = []
        self._sequence = 0

    def schedule(self, at: float, action: Action) -> None:
        """Do something at a time."""
        self._sequence += 1
        heapq.heappush(self._events, (at, self._sequence, action))

    def schedule_delayed(self, action: Action) -> None:
        """Do something after the network's delay."""
        self.schedule(self.now + self._delay, action)

    def step(self, end_at: float) -> bool:
        """Do what comes next; False if nothing does until a time."""
        if not self._events or self._events[0][0] > end_at:
            return False
        self.now, _, action = heapq.heappop(self._events)
        action()
        return True
