"""Log lines on clients that were turned away, however many there are."""

from collections import Counter
from dataclasses import dataclass, field

import trio
from loguru import logger as log

LOG_PERIOD = 1.0
"""Seconds between two rounds of lines."""


@dataclass
class IntakeLog:
    """Counts refused and closed connections, and reports them once in a while."""

    _counts: Counter[tuple[str, str, str]] = field(default_factory=Counter)
    _written_at: float = float("-inf")

    def record(self, action: str, listener: str, reason: str) -> None:
        """Count a connection; write a line of each kind if the last is long ago."""
        self._counts[action, listener, reason] += 1
        now = trio.current_time()
        if now - self._written_at < LOG_PERIOD:
            return
        self._written_at = now
        for (counted, name, cause), count in self._counts.items():
            log.bind(
                action=counted, listener=name, reason=cause, connections=count
            ).warning("clients turned away for want of room")
        self._counts.clear()
