"""Engine memory that ended jobs left behind, until it is freed."""

from dataclasses import dataclass

import trio

from dewridge.gateway.jobs import Job, StopOrder
from dewridge.gateway.model import AttemptKey, ServerRecord
from dewridge.platform.engines import CacheCopy

MAX_LEFT = 256
"""Memory of runs that waits to be freed. Engines free the rest after a time."""


@dataclass(frozen=True, slots=True)
class LeftMemory:
    """Memory of a run that will not go on.

    Attributes:
        attempt: the caller's id of the attempt that ran.
        source: the server that ran it.
        memory: the memory; None if it is unknown whether the run was stopped.
        order: the order whose outcome is unknown; None if the memory is known.
    """

    attempt: AttemptKey
    source: ServerRecord
    memory: CacheCopy | None = None
    order: StopOrder | None = None


class LeftMemories:
    """Queue of the memory to free.

    Attributes:
        dropped: number of entries for which there was no room.
        unfinished: number of entries that wait or are being freed.
    """

    def __init__(self) -> None:
        self._send, self._receive = trio.open_memory_channel[LeftMemory](MAX_LEFT)
        self.dropped = 0
        self.unfinished = 0

    def add(self, job: Job) -> None:
        """Add what an ended job left behind."""
        attempt = job.request.id
        held = [
            LeftMemory(attempt, each.source, each.memory) for each in job.held_memory
        ]
        unknown = [
            LeftMemory(attempt, order.source, order=order)
            for order in job.unknown_orders
        ]
        for left in [*held, *unknown]:
            try:
                self._send.send_nowait(left)
            except trio.WouldBlock:
                self.dropped += 1
            else:
                self.unfinished += 1

    async def wait(self) -> LeftMemory:
        """Wait for memory to free; `finish` has to be called after it was tried."""
        return await self._receive.receive()

    def finish(self) -> None:
        """Record that the freeing of one entry was tried."""
        self.unfinished -= 1
