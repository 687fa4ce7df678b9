"""Work that waits on this host: queued, or delayed until a retry."""

import heapq
from collections.abc import Mapping

from dewridge.ids import RequestId
from dewridge.policy.model import WorkClass
from dewridge.policy.pace import PaceMeter
from dewridge.policy.queueing import FairQueue, FifoQueue, QueueEntry, WorkQueue

_Timer = tuple[float, int, QueueEntry]


class Backlog:
    """Owns the queue, the delays of retries, the expiries and the pace."""

    def __init__(self) -> None:
        self.queue: WorkQueue = FifoQueue()
        self._paces = {work_class: PaceMeter() for work_class in WorkClass}
        self._total_pace = PaceMeter()
        self._queued: dict[RequestId, QueueEntry] = {}
        self._delayed: dict[RequestId, QueueEntry] = {}
        self._delays: list[_Timer] = []
        self._expiries: list[_Timer] = []
        self._expired: dict[RequestId, QueueEntry] = {}
        self._sequence = 0
        self._credits = 1.0

    def set_credits(self, credits: float) -> None:
        """Say how many credits the host has now, for the pace."""
        self._credits = max(1.0, credits)

    def configure(
        self, weights: Mapping[str, float], background_share: float | None
    ) -> None:
        """Change to a fair queue, or to a plain one without a share."""
        waiting = sorted(self.queue.entries(), key=lambda entry: entry.sequence)
        if background_share is None:
            self.queue = FifoQueue()
        else:
            self.queue = FairQueue(weights, background_share)
        for entry in waiting:
            self.queue.push(entry, True)

    def add(self, entry: QueueEntry, is_charged: bool, now: float) -> None:
        """Queue an entry, with a timer for the latest time that it may start."""
        self.queue.push(entry, is_charged)
        self._queued[entry.work.request] = entry
        if entry.latest_start < float("inf"):
            self._push_timer(self._expiries, entry.latest_start, entry)
        self._note_backlog(now)

    def delay(self, entry: QueueEntry, due: float) -> None:
        """Keep an entry out of the queue until a time."""
        self._delayed[entry.work.request] = entry
        self._push_timer(self._delays, due, entry)

    def pop_due(self, now: float) -> list[QueueEntry]:
        """Take the delayed entries that are due; the caller queues them."""
        due = []
        while self._delays and self._delays[0][0] <= now:
            _, _, entry = heapq.heappop(self._delays)
            if self._delayed.get(entry.work.request) is entry:
                del self._delayed[entry.work.request]
                due.append(entry)
        return due

    def dequeue(self, entry: QueueEntry, now: float) -> None:
        """Remove a head of the queue, which is dispatched."""
        self.queue.dequeue(entry)
        del self._queued[entry.work.request]
        self._paces[entry.work.work_class].record_dispatch(entry.cost)
        self._total_pace.record_dispatch(entry.cost)
        self._note_backlog(now)

    def withdraw(self, request: RequestId, now: float) -> None:
        """Forget a request, if it waits."""
        self._delayed.pop(request, None)
        self._expired.pop(request, None)
        entry = self._queued.pop(request, None)
        if entry is not None:
            self.queue.remove(entry)
            self._note_backlog(now)

    def find_heads(self, now: float) -> list[QueueEntry]:
        """Return the entries that may go next, the first choice first.

        A head that expired since the last look at the timers is set aside, so
        that it neither runs in vain nor blocks those behind it.
        """
        while True:
            heads = self.queue.list_heads()
            late = [head for head in heads if head.latest_start < now]
            if not late:
                return heads
            for entry in late:
                self._set_aside(entry, now)

    def pop_expired(self, now: float) -> list[QueueEntry]:
        """Take the entries that would start too late."""
        while self._expiries and self._expiries[0][0] <= now:
            _, _, entry = heapq.heappop(self._expiries)
            if self._is_queued(entry) and entry.latest_start <= now:
                self._set_aside(entry, now)
        hopeless = list(self._expired.values())
        self._expired.clear()
        return hopeless

    def find_next_time(self, now: float) -> float | None:
        """Return when an entry is due, or hopeless."""
        if self._expired:
            return now
        while self._delays and not self._is_delayed(self._delays[0][2]):
            heapq.heappop(self._delays)
        while self._expiries and not self._is_queued(self._expiries[0][2]):
            heapq.heappop(self._expiries)
        return min(
            (timers[0][0] for timers in (self._delays, self._expiries) if timers),
            default=None,
        )

    def find_cost(self) -> float:
        """Return all work in the queue."""
        return sum(self.queue.find_cost(work_class) for work_class in WorkClass)

    def find_rate(self, work_class: WorkClass | None, guess: float) -> float:
        """Return work dispatched a second, of a class or of both.

        `guess` is what one credit is reckoned to do before it was seen.
        """
        meter = self._paces[work_class] if work_class else self._total_pace
        return max(1e-9, meter.find_rate(self._credits, guess))

    @property
    def queued(self) -> int:
        """Return how many requests are queued."""
        return len(self._queued)

    @property
    def delayed(self) -> int:
        """Return how many requests wait for a retry."""
        return len(self._delayed)

    def _push_timer(self, timers: list[_Timer], at: float, entry: QueueEntry) -> None:
        self._sequence += 1
        heapq.heappush(timers, (at, self._sequence, entry))

    def _is_queued(self, entry: QueueEntry) -> bool:
        return self._queued.get(entry.work.request) is entry

    def _is_delayed(self, entry: QueueEntry) -> bool:
        return self._delayed.get(entry.work.request) is entry

    def _set_aside(self, entry: QueueEntry, now: float) -> None:
        del self._queued[entry.work.request]
        self.queue.remove(entry)
        self._expired[entry.work.request] = entry
        self._note_backlog(now)

    def _note_backlog(self, now: float) -> None:
        for work_class, meter in self._paces.items():
            meter.record_backlog(self.queue.has_work(work_class), self._credits, now)
        self._total_pace.record_backlog(bool(self._queued), self._credits, now)
