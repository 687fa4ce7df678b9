"""How an incarnation of an entry host comes to its end."""

import time
from dataclasses import dataclass, field
from enum import Enum

import trio
from loguru import logger as log

RECLAIM_MARGIN = 0.7
"""Seconds before the announced reclaim by which the last request must have been
handed off; what is sent later may be cut off on its way."""

ANSWER_MARGIN = 0.2
"""Seconds before the announced reclaim until which the answer to a call that was sent
is waited for; its copy takes some milliseconds to reach another host."""

SHORTEST_DRAIN = 0.2
"""Seconds for a drain even when the notice is used up; a handoff takes less."""


class ExitReason(Enum):
    """Why an incarnation ended."""

    LEFT = "left"
    FENCED = "fenced"
    """Its peers count this incarnation as dead; it starts as a new one."""
    FAILED = "failed"


@dataclass
class Lifecycle:
    """Whether this host is to leave, and when at the latest.

    Attributes:
        leaving: set once the host is to leave.
        reclaim_at: seconds since 1970 when it is taken away, if that is known.
        fenced: set once peers refuse this incarnation.
    """

    leaving: trio.Event = field(default_factory=trio.Event)
    reclaim_at: float | None = None
    fenced: trio.Event = field(default_factory=trio.Event)

    def start_leaving(self, reclaim_at: float | None = None) -> None:
        """Leave, by a time if given; the earliest of several counts."""
        if reclaim_at is not None:
            self.reclaim_at = min(reclaim_at, self.reclaim_at or reclaim_at)
        if not self.leaving.is_set():
            log.info("leaving")
            self.leaving.set()

    def compute_drain_time(self, max_seconds: float) -> float:
        """Return how many seconds are left to end or hand off requests."""
        if self.reclaim_at is None:
            return max_seconds
        left = self.reclaim_at - time.time() - RECLAIM_MARGIN
        return max(SHORTEST_DRAIN, min(max_seconds, left))

    def get_answer_grace(self) -> float:
        """Return how many seconds answers may still come after the drain's time."""
        return 0.0 if self.reclaim_at is None else RECLAIM_MARGIN - ANSWER_MARGIN

    async def wait(self) -> None:
        """Wait until this incarnation is to leave or was fenced."""
        async with trio.open_nursery() as nursery:

            async def wait_for(event: trio.Event) -> None:
                await event.wait()
                nursery.cancel_scope.cancel()

            nursery.start_soon(wait_for, self.leaving)
            nursery.start_soon(wait_for, self.fenced)
