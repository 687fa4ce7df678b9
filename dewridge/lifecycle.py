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


class Ending(Enum):
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
        leave_by: seconds since 1970 when it is taken away, if that is known.
        fenced: set once peers refuse this incarnation.
    """

    leaving: trio.Event = field(default_factory=trio.Event)
    leave_by: float | None = None
    fenced: trio.Event = field(default_factory=trio.Event)

    def start_leaving(self, leave_by: float | None = None) -> None:
        """Leave, by a time if given; the earliest of several counts."""
        if leave_by is not None:
            self.leave_by = min(leave_by, self.leave_by or leave_by)
        if not self.leaving.is_set():
            log.info("leaving")
            self.leaving.set()

    def find_drain_time(self, longest: float) -> float:
        """Return how many seconds are left to end or hand off requests."""
        if self.leave_by is None:
            return longest
        left = self.leave_by - time.time() - RECLAIM_MARGIN
        return max(SHORTEST_DRAIN, min(longest, left))

    def find_patience(self) -> float:
        """Return how many seconds answers may still come after the drain's time."""
        return 0.0 if self.leave_by is None else RECLAIM_MARGIN - ANSWER_MARGIN

    async def wait(self) -> None:
        """Wait until this incarnation is to leave or was fenced."""
        async with trio.open_nursery() as nursery:

            async def wait_for(event: trio.Event) -> None:
                await event.wait()
                nursery.cancel_scope.cancel()

            nursery.start_soon(wait_for, self.leaving)
            nursery.start_soon(wait_for, self.fenced)
