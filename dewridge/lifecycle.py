"""Lifecycle of an entry host's incarnation: shutdown, reclaim and fencing."""

import time
from dataclasses import dataclass, field
from enum import Enum

import trio
from loguru import logger as log

RECLAIM_MARGIN = 0.7
"""Seconds before the announced reclaim by which the last request must have been
handed off; a later transfer may be interrupted."""

ANSWER_MARGIN = 0.2
"""Seconds before the announced reclaim at which waiting for answers to calls already
sent ends; the copy of an answer takes some milliseconds to reach another host."""

MIN_DRAIN_TIME = 0.2
"""Minimum seconds for a drain, even if the notice period is over. A handoff takes
less."""


class ExitReason(Enum):
    """Reason for the end of an incarnation."""

    LEFT = "left"
    FENCED = "fenced"
    """Peers consider this incarnation dead; the host starts again as a new one."""
    FAILED = "failed"


@dataclass
class Lifecycle:
    """Tracks whether this host must shut down, and by when.

    Attributes:
        leaving: set once the host must shut down.
        reclaim_at: time of the announced reclaim in seconds since 1970, if known.
        fenced: set once peers reject this incarnation.
    """

    leaving: trio.Event = field(default_factory=trio.Event)
    reclaim_at: float | None = None
    fenced: trio.Event = field(default_factory=trio.Event)

    def start_leaving(self, reclaim_at: float | None = None) -> None:
        """Start the shutdown; of several reclaim times the earliest applies."""
        if reclaim_at is not None:
            self.reclaim_at = min(reclaim_at, self.reclaim_at or reclaim_at)
        if not self.leaving.is_set():
            log.info("leaving")
            self.leaving.set()

    def compute_drain_time(self, max_seconds: float) -> float:
        """Return the seconds left to complete or hand off requests."""
        if self.reclaim_at is None:
            return max_seconds
        time_left = self.reclaim_at - time.time() - RECLAIM_MARGIN
        return max(MIN_DRAIN_TIME, min(max_seconds, time_left))

    def get_answer_grace(self) -> float:
        """Return the seconds to wait for answers after the drain time."""
        return 0.0 if self.reclaim_at is None else RECLAIM_MARGIN - ANSWER_MARGIN

    async def wait(self) -> None:
        """Wait until this incarnation must shut down or was fenced."""
        async with trio.open_nursery() as nursery:

            async def cancel_on(event: trio.Event) -> None:
                await event.wait()
                nursery.cancel_scope.cancel()

            nursery.start_soon(cancel_on, self.leaving)
            nursery.start_soon(cancel_on, self.fenced)
