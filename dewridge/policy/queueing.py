"""Work queues: fair among client accounts, or first in, first out."""

import heapq
from collections.abc import Mapping
from dataclasses import dataclass, field
from itertools import count
from typing import Protocol

from dewridge.ids import BackendServerId, ClientAccount, RequestId
from dewridge.policy.model import AttemptOutcome, Work, WorkClass

MAX_OWED_MULTIPLE = 4.0
"""Upper bound of the background work owed, as a multiple of the cost of the first
queued background entry. It bounds the burst of background work after a long time of
interactive work."""

BURST_REQUESTS = 8.0
"""Requests of an account that may be served in a burst after it was idle."""

SHARE_SAMPLE = 5.0
"""Number of requests whose served cost counts as much as the configured weight in the
estimate of an account's share."""
SHARE_HALVING_MULTIPLE = 20.0
"""Multiple of that sample after which the served cost is halved in the estimate."""

MAX_ACCOUNTS = 1024
"""Number of accounts above which idle accounts are dropped. A dropped account may send
one more burst than its share allows."""

MAX_EXTRA_REMOVED = 32
"""Removed entries that a heap may hold in addition to the number of live ones."""


@dataclass(slots=True, eq=False)
class QueueEntry:
    """A request that is queued, delayed or running.

    Attributes:
        cost: cost in units of generated tokens.
        sequence: order of arrival, to break ties.
        due: when the answer should be complete, at the latest at the deadline.
        ticket: identifies the current position in a queue; 0 if not queued.
        has_started: whether an attempt may have run, so that the request can't be
            reported as not run.
        failed_attempts: number of failed attempts.
        unstarted_attempts: number of attempts that certainly did not start.
        avoided_server: server of the last failed attempt.
        latest_start: the latest start time that can meet the deadline.
    """

    work: Work
    cost: float
    sequence: int
    due: float
    ticket: int = 0
    has_started: bool = False
    failed_attempts: int = 0
    unstarted_attempts: int = 0
    avoided_server: BackendServerId | None = None
    latest_start: float = float("inf")

    @property
    def sort_key(self) -> tuple[bool, float, int]:
        """Sort key within an account.

        Requests that may have run come first, because their callers may have received
        tokens.
        """
        return not self.has_started, self.due, self.sequence

    def record_failure(self, server: BackendServerId, outcome: AttemptOutcome) -> None:
        """Record an attempt that did not complete."""
        self.unstarted_attempts += outcome is AttemptOutcome.NOT_STARTED
        self.failed_attempts += outcome is AttemptOutcome.LOST
        self.has_started |= outcome is not AttemptOutcome.NOT_STARTED
        self.avoided_server = server


class WorkQueue(Protocol):
    """Queue of entries that the scheduler dispatches from."""

    def push(self, entry: QueueEntry, is_charged: bool) -> None:
        """Add an entry.

        Args:
            entry: the entry.
            is_charged: whether its cost counts for its account's share; False for
                retries, which were charged before.
        """

    def list_heads(self) -> list[QueueEntry]:
        """Return the entries that may be dispatched next, the preferred one first."""

    def dequeue(self, entry: QueueEntry) -> None:
        """Remove one of the heads for dispatch."""

    def remove(self, entry: QueueEntry) -> None:
        """Remove an entry that is not dispatched."""

    def entries(self) -> list[QueueEntry]:
        """Return all entries."""

    def has_work(self, work_class: WorkClass) -> bool:
        """Return whether work of a class is queued."""

    def get_cost(self, work_class: WorkClass) -> float:
        """Return the queued cost of a class."""

    def get_account_cost(self, work_class: WorkClass, account: ClientAccount) -> float:
        """Return the queued cost of a class for an account."""

    def estimate_share(self, work_class: WorkClass, account: ClientAccount) -> float:
        """Return an account's share of the dispatch rate of a class, from 0 to 1."""


_HeapItem = tuple[tuple[bool, float, int], int, QueueEntry]
"""Sort key, ticket and entry. An entry that is removed and added again gets a new
ticket, which invalidates its old item in the heap."""


def _is_live(item: _HeapItem) -> bool:
    return item[1] == item[2].ticket


@dataclass(slots=True)
class _AccountQueue:
    """Queue of one account within a work class.

    Attributes:
        weight: weight of the account.
        tag: virtual start time of the next entry.
        cost: queued cost.
        served: cost served for the account since `since`.
        since: cost served for all accounts when this one became active.
        size: number of queued entries.
        heap: queued entries by sort key, with removed ones.
        charged: queued requests that count for the account's share.
    """

    weight: float
    tag: float = 0.0
    cost: float = 0.0
    served: float = 0.0
    since: float = 0.0
    size: int = 0
    heap: list[_HeapItem] = field(default_factory=list)
    charged: set[RequestId] = field(default_factory=set)


class _ClassQueue:
    """Start-time fair queueing among accounts by cost, by due time within an account.

    The tag of an account advances by the cost of each served request divided by the
    account's weight; the account with the lowest tag is next. A large account therefore
    delays a small one by one request and not by its whole backlog.
    """

    def __init__(self) -> None:
        self.cost = 0.0
        self.size = 0
        self.active_weight = 0.0
        self._virtual_time = 0.0
        self._accounts: dict[ClientAccount, _AccountQueue] = {}
        self._turns: list[tuple[float, int, ClientAccount]] = []
        self._tickets = count(1)
        self._served = 0.0

    def push(self, entry: QueueEntry, weight: float, is_charged: bool) -> None:
        queue = self._accounts.get(entry.work.account)
        if queue is None:
            queue = self._accounts[entry.work.account] = _AccountQueue(weight)
        if queue.size == 0:
            # An account that was idle gets credit for a small part of the service
            # that it missed, so that two or three requests at once don't each wait
            # for a round of all accounts. With credit for all of it, the account
            # would starve the other accounts until it had caught up.
            queue.weight = weight
            queue.since = self._served
            queue.served = 0.0
            burst_credit = BURST_REQUESTS * entry.cost / weight
            queue.tag = max(queue.tag, self._virtual_time - burst_credit)
            self.active_weight += weight
            self._add_turn(queue.tag, entry)
        entry.ticket = next(self._tickets)
        heapq.heappush(queue.heap, (entry.sort_key, entry.ticket, entry))
        if is_charged:
            queue.charged.add(entry.work.request)
        queue.size += 1
        queue.cost += entry.cost
        self.size += 1
        self.cost += entry.cost

    def find_head(self) -> QueueEntry | None:
        while self._turns:
            tag, _, account = self._turns[0]
            queue = self._accounts.get(account)
            if queue is None or queue.size == 0 or queue.tag != tag:
                heapq.heappop(self._turns)
                continue
            while not _is_live(queue.heap[0]):
                heapq.heappop(queue.heap)
            return queue.heap[0][2]
        return None

    def dequeue(self, entry: QueueEntry) -> None:
        queue = self._accounts[entry.work.account]
        self._virtual_time = max(self._virtual_time, queue.tag)
        if entry.work.request in queue.charged:
            queue.tag += entry.cost / queue.weight
        self._served += entry.cost
        queue.served += entry.cost
        self.remove(entry)
        if queue.size:
            self._add_turn(queue.tag, entry)

    def remove(self, entry: QueueEntry) -> None:
        queue = self._accounts[entry.work.account]
        entry.ticket = 0
        queue.charged.discard(entry.work.request)
        queue.size -= 1
        queue.cost -= entry.cost
        self.size -= 1
        self.cost -= entry.cost
        if queue.size == 0:
            queue.cost = 0.0
            queue.heap.clear()
            self.active_weight -= queue.weight
            if len(self._accounts) > MAX_ACCOUNTS:
                del self._accounts[entry.work.account]
        elif len(queue.heap) > 2 * queue.size + MAX_EXTRA_REMOVED:
            queue.heap = [item for item in queue.heap if _is_live(item)]
            heapq.heapify(queue.heap)
        if self.size == 0:
            self._reset()

    def get_account_cost(self, account: ClientAccount) -> float:
        queue = self._accounts.get(account)
        return queue.cost if queue else 0.0

    def estimate_share(self, account: ClientAccount, weight: float) -> float:
        """Return an account's share of the dispatch rate.

        The share starts at the account's share of the active weights and approaches the
        measured share of the served cost. The weights alone overestimate the share of a
        large account, because small accounts that are only active for a short time are
        served before it without a backlog.
        """
        queue = self._accounts.get(account)
        if queue is None or queue.size == 0:
            return weight / (self.active_weight + weight)
        by_weight = queue.weight / self.active_weight
        prior_cost = SHARE_SAMPLE * queue.cost / queue.size
        total = self._served - queue.since
        if total > SHARE_HALVING_MULTIPLE * prior_cost:
            queue.served /= 2
            queue.since += total / 2
            total /= 2
        return (by_weight * prior_cost + queue.served) / (prior_cost + total)

    def entries(self) -> list[QueueEntry]:
        queues = self._accounts.values()
        return [item[2] for queue in queues for item in queue.heap if _is_live(item)]

    def _add_turn(self, tag: float, entry: QueueEntry) -> None:
        heapq.heappush(self._turns, (tag, entry.sequence, entry.work.account))

    def _reset(self) -> None:
        # With an empty queue, no account is behind another one: all tags are reset.
        self._accounts.clear()
        self._virtual_time = 0.0
        self.cost = 0.0
        self.active_weight = 0.0
        self._turns.clear()


class FairQueue:
    """Serves interactive before background work, and accounts fairly within each class.

    Strict priority would starve background work for as long as interactive work
    arrives. While both are queued, background work is therefore owed a share of the
    served cost, and its head goes first once its whole cost is owed.
    """

    def __init__(self, weights: Mapping[str, float], background_share: float) -> None:
        self._weights = weights
        self._share = background_share
        self._owed = 0.0
        self._classes = {work_class: _ClassQueue() for work_class in WorkClass}

    def push(self, entry: QueueEntry, is_charged: bool) -> None:
        """Add an entry; retries are not charged again."""
        weight = self._get_weight(entry.work.account)
        self._classes[entry.work.work_class].push(entry, weight, is_charged)

    def list_heads(self) -> list[QueueEntry]:
        """Return the head of each class, the one to dispatch first at the front."""
        interactive = self._classes[WorkClass.INTERACTIVE].find_head()
        background = self._classes[WorkClass.BACKGROUND].find_head()
        if interactive is None or background is None:
            return [entry for entry in (interactive, background) if entry]
        if self._owed >= background.cost:
            return [background, interactive]
        return [interactive, background]

    def dequeue(self, entry: QueueEntry) -> None:
        """Remove one of the heads for dispatch."""
        background = self._classes[WorkClass.BACKGROUND]
        if entry.work.work_class is WorkClass.BACKGROUND:
            self._owed = max(0.0, self._owed - entry.cost)
        elif background.size:
            head = background.find_head()
            limit = MAX_OWED_MULTIPLE * (head.cost if head else 0.0)
            owed = self._owed + entry.cost * self._share / (1 - self._share)
            self._owed = min(limit, owed)
        self._classes[entry.work.work_class].dequeue(entry)

    def remove(self, entry: QueueEntry) -> None:
        """Remove an entry that is not dispatched."""
        self._classes[entry.work.work_class].remove(entry)

    def entries(self) -> list[QueueEntry]:
        """Return all entries."""
        return [entry for queue in self._classes.values() for entry in queue.entries()]

    def has_work(self, work_class: WorkClass) -> bool:
        """Return whether work of a class is queued."""
        return self._classes[work_class].size > 0

    def get_cost(self, work_class: WorkClass) -> float:
        """Return the queued cost of a class."""
        return self._classes[work_class].cost

    def get_account_cost(self, work_class: WorkClass, account: ClientAccount) -> float:
        """Return the queued cost of a class for an account."""
        return self._classes[work_class].get_account_cost(account)

    def estimate_share(self, work_class: WorkClass, account: ClientAccount) -> float:
        """Return an account's share of the dispatch rate of a class, from 0 to 1."""
        weight = self._get_weight(account)
        return self._classes[work_class].estimate_share(account, weight)

    def _get_weight(self, account: ClientAccount) -> float:
        return max(1e-6, self._weights.get(account, 1.0))


class FifoQueue:
    """Baseline queue: all requests in the order of arrival."""

    def __init__(self) -> None:
        self._entries: dict[RequestId, QueueEntry] = {}
        self._costs = dict.fromkeys(WorkClass, 0.0)
        self._sizes = dict.fromkeys(WorkClass, 0)

    def push(self, entry: QueueEntry, is_charged: bool) -> None:
        """Add an entry at the end."""
        entry.ticket = 1
        self._entries[entry.work.request] = entry
        self._costs[entry.work.work_class] += entry.cost
        self._sizes[entry.work.work_class] += 1

    def list_heads(self) -> list[QueueEntry]:
        """Return the oldest entry."""
        return [next(iter(self._entries.values()))] if self._entries else []

    def dequeue(self, entry: QueueEntry) -> None:
        """Remove the head for dispatch."""
        self.remove(entry)

    def remove(self, entry: QueueEntry) -> None:
        """Remove an entry that is not dispatched."""
        entry.ticket = 0
        del self._entries[entry.work.request]
        self._costs[entry.work.work_class] -= entry.cost
        self._sizes[entry.work.work_class] -= 1

    def entries(self) -> list[QueueEntry]:
        """Return all entries."""
        return list(self._entries.values())

    def has_work(self, work_class: WorkClass) -> bool:
        """Return whether work of a class is queued."""
        return self._sizes[work_class] > 0

    def get_cost(self, work_class: WorkClass) -> float:
        """Return the queued cost of a class."""
        return self._costs[work_class]

    def get_account_cost(self, work_class: WorkClass, account: ClientAccount) -> float:
        """Return the queued cost of the class; accounts are not distinguished."""
        return self._costs[work_class]

    def estimate_share(self, work_class: WorkClass, account: ClientAccount) -> float:
        """Return 1; accounts are not distinguished."""
        return 1.0
