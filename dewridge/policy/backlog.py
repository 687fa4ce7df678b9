"""Work that waits on this host: queued, or delayed until a retry."""

import heapq
from collections.abc import Mapping

from dewridge.ids import RequestId
from dewridge.policy.model import WorkClass
from dewridge.policy.pace import DispatchRateMeter
from dewridge.policy.queueing import FairQueue, FifoQueue, QueueEntry, WorkQueue

_Timer = tuple[float, int, QueueEntry]


class Backlog:
    """Holds the queue, the timers for retries and expiries, and the dispatch rates."""

    def __init__(self) -> None:
        self.queue: WorkQueue = FifoQueue()
        self._rates = {work_class: DispatchRateMeter() for work_class in WorkClass}
        self._total_rate = DispatchRateMeter()
        self._queued: dict[RequestId, QueueEntry] = {}
        self._delayed: dict[RequestId, QueueEntry] = {}
        self._delays: list[_Timer] = []
        self._expiries: list[_Timer] = []
        self._expired: dict[RequestId, QueueEntry] = {}
        self._sequence = 0
        self._credits = 1.0

    def set_credits(self, credits: float) -> None:
        """Set the number of credits of this host, which dispatch rates are based on."""
        self._credits = max(1.0, credits)

    def configure(
        self, weights: Mapping[str, float], background_share: float | None
    ) -> None:
        """Replace the queue, keeping its entries.

        Args:
            weights: weights of client accounts in a fair queue.
            background_share: share of background work while interactive work waits;
                None selects a FIFO queue.
        """
        waiting = sorted(self.queue.entries(), key=lambda entry: entry.sequence)
        if background_share is None:
            self.queue = FifoQueue()
        else:
            self.queue = FairQueue(weights, background_share)
        for entry in waiting:
            self.queue.push(entry, True)

    def add(self, entry: QueueEntry, is_charged: bool, now: float) -> None:
        """Queue an entry, and start a timer for the latest time that it may start."""
        self.queue.push(entry, is_charged)
        self._queued[entry.work.request] = entry
        if entry.latest_start < float("inf"):
            self._push_timer(self._expiries, entry.latest_start, entry)
        self._record_backlog(now)

    def delay(self, entry: QueueEntry, due: float) -> None:
        """Keep an entry out of the queue until a time."""
        self._delayed[entry.work.request] = entry
        self._push_timer(self._delays, due, entry)

    def pop_due(self, now: float) -> list[QueueEntry]:
        """Remove and return the delayed entries that are due."""
        due = []
        while self._delays and self._delays[0][0] <= now:
            _, _, entry = heapq.heappop(self._delays)
            if self._delayed.get(entry.work.request) is entry:
                del self._delayed[entry.work.request]
                due.append(entry)
        return due

    def dequeue(self, entry: QueueEntry, now: float) -> None:
        """Remove a head of the queue for dispatch."""
        self.queue.dequeue(entry)
        del self._queued[entry.work.request]
        self._rates[entry.work.work_class].record_dispatch(entry.cost)
        self._total_rate.record_dispatch(entry.cost)
        self._record_backlog(now)

    def withdraw(self, request: RequestId, now: float) -> None:
        """Remove a request if it is queued, delayed or expired."""
        self._delayed.pop(request, None)
        self._expired.pop(request, None)
        entry = self._queued.pop(request, None)
        if entry is not None:
            self.queue.remove(entry)
            self._record_backlog(now)

    def find_heads(self, now: float) -> list[QueueEntry]:
        """Return the entries that may be dispatched next, the preferred one first.

        Heads that have expired since `pop_expired` was called are taken out of the
        queue, so that they neither run in vain nor block the entries behind them.
        """
        while True:
            heads = self.queue.list_heads()
            late = [head for head in heads if head.latest_start < now]
            if not late:
                return heads
            for entry in late:
                self._mark_expired(entry, now)

    def pop_expired(self, now: float) -> list[QueueEntry]:
        """Remove and return the entries that can no longer start in time."""
        while self._expiries and self._expiries[0][0] <= now:
            _, _, entry = heapq.heappop(self._expiries)
            if self._is_queued(entry) and entry.latest_start <= now:
                self._mark_expired(entry, now)
        expired = list(self._expired.values())
        self._expired.clear()
        return expired

    def find_next_time(self, now: float) -> float | None:
        """Return when the next entry becomes due or expires; None if none does."""
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

    def compute_cost(self) -> float:
        """Return the cost of all queued work."""
        return sum(self.queue.get_cost(work_class) for work_class in WorkClass)

    def estimate_rate(self, work_class: WorkClass | None, prior_rate: float) -> float:
        """Return the cost dispatched per second.

        Args:
            work_class: the class to measure; None for all classes.
            prior_rate: expected rate of one credit, used while there are few
                measurements.
        """
        meter = self._rates[work_class] if work_class else self._total_rate
        return max(1e-9, meter.estimate_rate(self._credits, prior_rate))

    @property
    def queued(self) -> int:
        """Number of queued requests."""
        return len(self._queued)

    @property
    def delayed(self) -> int:
        """Number of requests that wait for a retry."""
        return len(self._delayed)

    def _push_timer(self, timers: list[_Timer], at: float, entry: QueueEntry) -> None:
        self._sequence += 1
        heapq.heappush(timers, (at, self._sequence, entry))

    def _is_queued(self, entry: QueueEntry) -> bool:
        return self._queued.get(entry.work.request) is entry

    def _is_delayed(self, entry: QueueEntry) -> bool:
        return self._delayed.get(entry.work.request) is entry

    def _mark_expired(self, entry: QueueEntry, now: float) -> None:
        del self._queued[entry.work.request]
        self.queue.remove(entry)
        self._expired[entry.work.request] = entry
        self._record_backlog(now)

    def _record_backlog(self, now: float) -> None:
        for work_class, meter in self._rates.items():
            meter.record_backlog(self.queue.has_work(work_class), self._credits, now)
        self._total_rate.record_backlog(bool(self._queued), self._credits, now)
