"""Bounds what all clients together can make a process hold.

A crowd of clients sends heads, bodies or whole requests that each keep to the limits of
a connection, and many of them stop short of their end. Without a common bound their sum
ends the process, and with it the answers of all other callers.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

LARGE_INPUT_SHARE = 0.45
"""Share of the budget for connections that hold much."""
INPUT_SHARE = 0.7
"""Share of the budget for all input. What is above the share of large input stays free
for small requests, and the rest for answers: their requests have run already."""
SMALL_BYTES = 262_144
"""Bytes up to which a connection counts as small, with its buffers."""
PROGRESS_BYTES = 16_384
"""Bytes that count as progress. A client that sends single bytes makes none."""


class ConnectionStage(Enum):
    """What a connection is waiting for."""

    READING = "reading"
    """For the rest of a request that has begun."""
    WRITING = "writing"
    """For its client to read."""
    NEW = "new"
    """For the first byte of its first request."""
    IDLE = "idle"
    """For the first byte of a further request."""
    SERVING = "serving"
    """For the answer to a request; never closed for others."""


CLOSABLE_STAGES = (
    ConnectionStage.READING,
    ConnectionStage.WRITING,
    ConnectionStage.NEW,
    ConnectionStage.IDLE,
)
"""The stages in which a connection may be closed for another one, in this order. A
request may be on its way on an idle connection, so that these come last."""
STALL_SECONDS = {
    ConnectionStage.READING: 0.5,
    ConnectionStage.WRITING: 2.0,
    ConnectionStage.NEW: 0.5,
    ConnectionStage.IDLE: 0.5,
}
"""Seconds without progress after which a connection may be closed for others. An answer
that is cut has run, so that slow readers are given longer."""
HOLDING_STAGES = frozenset({ConnectionStage.READING, ConnectionStage.WRITING})
"""The stages in which closing a connection frees more than its own size."""


def refuse_to_close() -> bool:
    """Return that a connection can't be closed."""
    return False


@dataclass(eq=False)
class ConnectionUse:
    """What one connection makes the process hold, and how far it is.

    Attributes:
        close: gives the connection up, and its buffers at once; returns False if input
            shows that it is about to go on. Must not wait.
        size: bytes that are counted for it.
        stage: what it is waiting for.
        advanced_at: monotonic time of its last progress.
    """

    close: Callable[[], bool] = refuse_to_close
    size: int = 0
    stage: ConnectionStage = ConnectionStage.NEW
    advanced_at: float = 0.0
    _unmarked_bytes: int = 0

    def enter(self, stage: ConnectionStage, now: float) -> None:
        """Record that the connection waits for something else."""
        self.stage = stage
        self.advanced_at = now
        self._unmarked_bytes = 0

    def advance(self, size: int, now: float) -> None:
        """Record bytes that were received or sent."""
        self._unmarked_bytes += size
        if self._unmarked_bytes >= PROGRESS_BYTES:
            self._unmarked_bytes = 0
            self.advanced_at = now

    @property
    def stalls_at(self) -> float:
        """When it counts as stalled unless it makes progress."""
        return self.find_stall_time(1.0)

    def find_stall_time(self, patience: float) -> float:
        """Return when it counts as stalled, with a multiple of the usual time."""
        return self.advanced_at + patience * STALL_SECONDS.get(self.stage, math.inf)

    def is_stalled(self, now: float) -> bool:
        """Whether it has made no progress for long."""
        return now >= self.stalls_at


class StallSearch:
    """Searches for connections to close, and not again before one may have stalled.

    A full process would otherwise look through all connections at each read.
    """

    def __init__(self, patience: float = 1.0) -> None:
        self._patience = patience
        self._pauses_until = -math.inf

    def list_stalled(
        self,
        uses: Iterable[ConnectionUse],
        stages: Iterable[ConnectionStage],
        now: float,
    ) -> list[ConnectionUse]:
        """Return the connections in some stages that have stalled."""
        if now < self._pauses_until:
            return []
        candidates = [use for use in uses if use.stage in stages]
        times = [use.find_stall_time(self._patience) for use in candidates]
        stalled = [use for use, at in zip(candidates, times, strict=True) if now >= at]
        if not stalled:
            shortest = self._patience * min(STALL_SECONDS.values())
            self._pauses_until = min((now + shortest, *times))
        return stalled


class MemoryBudget:
    """The bytes that all connections of a process may make it hold.

    Attributes:
        limit: the bytes.
        used: bytes that are held.
        closed: number of connections that were closed for others.
        refused: number of reservations that were refused.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0
        self.closed = 0
        self.refused = 0
        self._uses: set[ConnectionUse] = set()
        self._search = StallSearch()

    @property
    def answer_limit(self) -> int:
        """Bytes that answers may take."""
        return round(self.limit * (1 - INPUT_SHARE))

    def reserve(self, use: ConnectionUse, size: int, now: float) -> bool:
        """Count bytes of input before they are read; return whether they may be.

        If there is no room, the connections that hold most and move least are closed.
        """
        if not self.has_room(use, size, now):
            self.refused += 1
            return False
        self._uses.add(use)
        use.size += size
        self.used += size
        return True

    def has_room(self, use: ConnectionUse, size: int, now: float) -> bool:
        """Return whether a connection may hold more, and make room for it."""
        is_small = use.size + size <= SMALL_BYTES
        limit = self.limit * (INPUT_SHARE if is_small else LARGE_INPUT_SHARE)
        return self.used + size <= limit or self._make_room(use, size, limit, now)

    def release(self, use: ConnectionUse, size: int) -> None:
        """Record that a connection holds fewer bytes of input."""
        released = min(size, use.size)
        use.size -= released
        self.used -= released

    def remove(self, use: ConnectionUse) -> None:
        """Record that a connection holds nothing any more."""
        self.release(use, use.size)
        self._uses.discard(use)

    def _make_room(
        self, use: ConnectionUse, size: int, limit: float, now: float
    ) -> bool:
        stalled = self._search.list_stalled(self._uses, HOLDING_STAGES, now)
        stalled.sort(key=lambda other: other.size * (now - other.advanced_at))
        while stalled and self.used + size > limit:
            worst = stalled.pop()
            if worst is not use:
                self._close(worst)
        return self.used + size <= limit

    def _close(self, use: ConnectionUse) -> None:
        if use.close():
            self.remove(use)
            self.closed += 1


class Room(Enum):
    """Whether a listener has room for another connection."""

    FREE = "free"
    SOON = "soon"
    """Connections without a request may soon be closed for it."""
    FULL = "full"
    """All connections have requests."""


class ConnectionPlaces:
    """The connections that one listener may have open at once.

    Listeners have places of their own: a crowd at one of them does not keep the clients
    of the others out.

    Attributes:
        name: of the listener, for logs and metrics.
        limit: number of connections.
        closed: number of connections that were closed for others.
        refused: number of connections that were refused.
    """

    def __init__(self, name: str, limit: int, patience: float = 1.0) -> None:
        """Create a listener's places.

        Args:
            name: of the listener.
            limit: number of connections.
            patience: multiple of the usual time after which connections have stalled.
        """
        self.name = name
        self.limit = limit
        self.closed = 0
        self.refused = 0
        self._uses: set[ConnectionUse] = set()
        self._search = StallSearch(patience)

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._uses)

    def add(self, use: ConnectionUse) -> None:
        """Count an open connection."""
        self._uses.add(use)

    def remove(self, use: ConnectionUse) -> None:
        """Record that a connection is closed, or will be at once."""
        self._uses.discard(use)

    def make_room(self, now: float) -> Room:
        """Return whether there is room for a connection; close a stalled one for it.

        Connections with unfinished input come first, the longest without progress
        before others.
        """
        if len(self._uses) < self.limit:
            return Room.FREE
        stalled = self._search.list_stalled(self._uses, CLOSABLE_STAGES, now)
        stalled.sort(
            key=lambda use: (CLOSABLE_STAGES.index(use.stage), use.advanced_at)
        )
        for use in stalled:
            if use.close():
                self.remove(use)
                self.closed += 1
                return Room.FREE
            use.advanced_at = now
        if any(use.stage in CLOSABLE_STAGES for use in self._uses):
            return Room.SOON
        return Room.FULL
