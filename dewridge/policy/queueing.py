"""Queues of work: fair among client accounts, or plain first in, first out."""

import heapq
from collections.abc import Mapping
from dataclasses import dataclass, field
from itertools import count
from typing import Protocol

from dewridge.ids import BackendServerId, ClientAccount, RequestId
from dewridge.policy.model import AttemptOutcome, Work, WorkClass

OWED_LIMIT = 4.0
"""Background work that may be owed, in multiples of the work at its head. It
bounds the burst of drafts after a long time of status checks only."""

BURST_REQUESTS = 8.0
"""Requests that an account may have served at once after it was idle."""

SHARE_SAMPLE = 5.0
"""Requests whose service weighs as much as the weights in an account's share."""
SHARE_MEMORY = 20.0
"""Multiple of that sample after which what was served counts half."""

ACCOUNTS_KEPT = 1024
"""Accounts whose part is remembered while others wait; one forgotten may have
one burst more."""

SLACK = 32
"""Removed entries that a heap may hold besides as many as live ones."""


@dataclass(slots=True, eq=False)
class QueueEntry:
    """A request that waits or runs.

    Attributes:
        cost: work in units of generated tokens.
        sequence: order of arrival, to settle ties.
        due: when the answer should come, the deadline or before it.
        ticket: names its present place in the queue; 0 when it has none.
        has_started: whether an attempt may have run; it can't be called not run
            any more.
        lost: attempts that failed.
        refused: attempts that provably did not start.
        avoid: server of the last failed attempt.
        latest_start: from when on its deadline can't be met.
    """

    work: Work
    cost: float
    sequence: int
    due: float
    ticket: int = 0
    has_started: bool = False
    lost: int = 0
    refused: int = 0
    avoid: BackendServerId | None = None
    latest_start: float = float("inf")

    @property
    def sort_key(self) -> tuple[bool, float, int]:
        """Place within an account: work whose caller saw tokens goes first."""
        return not self.has_started, self.due, self.sequence

    def record_failure(self, server: BackendServerId, outcome: AttemptOutcome) -> None:
        """Record an attempt that did not answer."""
        self.refused += outcome is AttemptOutcome.NOT_STARTED
        self.lost += outcome is AttemptOutcome.LOST
        self.has_started |= outcome is not AttemptOutcome.NOT_STARTED
        self.avoid = server


class WorkQueue(Protocol):
    """What the scheduler asks of a queue."""

    def push(self, entry: QueueEntry, is_charged: bool) -> None:
        """Add an entry; work that comes back is not charged again."""

    def list_heads(self) -> list[QueueEntry]:
        """Return the entries that may go next, the first choice first."""

    def dequeue(self, entry: QueueEntry) -> None:
        """Remove one of the heads, which is dispatched."""

    def remove(self, entry: QueueEntry) -> None:
        """Remove an entry that is not dispatched."""

    def entries(self) -> list[QueueEntry]:
        """Return all entries."""

    def has_work(self, work_class: WorkClass) -> bool:
        """Whether work of a class waits."""

    def find_cost(self, work_class: WorkClass) -> float:
        """Return the work of a class that waits."""

    def find_account_cost(self, work_class: WorkClass, account: ClientAccount) -> float:
        """Return the work of a class that waits for an account."""

    def find_share(self, work_class: WorkClass, account: ClientAccount) -> float:
        """Return the part of a class's pace that an account gets, within 0 to 1."""


_Place = tuple[tuple[bool, float, int], int, QueueEntry]
"""Order, ticket and entry. An entry that left and came back has a new ticket,
so that its old place, still in the heap, counts for nothing."""


def _is_live(place: _Place) -> bool:
    return place[1] == place[2].ticket


@dataclass(slots=True)
class _AccountQueue:
    weight: float
    tag: float = 0.0
    cost: float = 0.0
    served: float = 0.0
    since: float = 0.0
    size: int = 0
    heap: list[_Place] = field(default_factory=list)
    charged: set[RequestId] = field(default_factory=set)


class _ClassQueue:
    """Start-time fair queueing over accounts, by cost; deadline order inside.

    Made for a few large accounts beside several small ones: each account's tag
    advances by the cost of what it was served over its weight, and the account
    with the lowest tag is next. A large account's backlog delays a small one by
    one request, not by the backlog.
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
            # An account that was idle may claim a little of what it missed, so
            # that two or three of its requests at once do not wait a round of
            # all accounts each. Claiming all of it would starve the others
            # until it had caught up.
            queue.weight = weight
            queue.since = self._served
            queue.served = 0.0
            missed = BURST_REQUESTS * entry.cost / weight
            queue.tag = max(queue.tag, self._virtual_time - missed)
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
            if len(self._accounts) > ACCOUNTS_KEPT:
                del self._accounts[entry.work.account]
        elif len(queue.heap) > 2 * queue.size + SLACK:
            queue.heap = [place for place in queue.heap if _is_live(place)]
            heapq.heapify(queue.heap)
        if self.size == 0:
            self._reset()

    def find_account_cost(self, account: ClientAccount) -> float:
        queue = self._accounts.get(account)
        return queue.cost if queue else 0.0

    def find_share(self, account: ClientAccount, weight: float) -> float:
        """Return an account's part of the pace: its weight's, then what it got.

        The weights of those that wait say too much to a large account: small
        ones that come and go take their part ahead of it without waiting.
        """
        queue = self._accounts.get(account)
        if queue is None or queue.size == 0:
            return weight / (self.active_weight + weight)
        by_weight = queue.weight / self.active_weight
        known = SHARE_SAMPLE * queue.cost / queue.size
        total = self._served - queue.since
        if total > SHARE_MEMORY * known:
            queue.served /= 2
            queue.since += total / 2
            total /= 2
        return (by_weight * known + queue.served) / (known + total)

    def entries(self) -> list[QueueEntry]:
        queues = self._accounts.values()
        return [place[2] for q in queues for place in q.heap if _is_live(place)]

    def _add_turn(self, tag: float, entry: QueueEntry) -> None:
        heapq.heappush(self._turns, (tag, entry.sequence, entry.work.account))

    def _reset(self) -> None:
        # With nobody waiting, nobody was served at another's expense.
        self._accounts.clear()
        self._virtual_time = 0.0
        self.cost = 0.0
        self.active_weight = 0.0
        self._turns.clear()


class FairQueue:
    """Interactive before background; within each, fair among accounts.

    Strict priority would starve drafts for as long as questions keep coming, so
    background work is owed a share of what interactive work gets while both
    wait, and goes first once a whole request is owed.
    """

    def __init__(self, weights: Mapping[str, float], background_share: float) -> None:
        self._weights = weights
        self._share = background_share
        self._owed = 0.0
        self._classes = {work_class: _ClassQueue() for work_class in WorkClass}

    def push(self, entry: QueueEntry, is_charged: bool) -> None:
        """Add an entry; work that comes back is not charged again."""
        weight = self._find_weight(entry.work.account)
        self._classes[entry.work.work_class].push(entry, weight, is_charged)

    def list_heads(self) -> list[QueueEntry]:
        """Return the head of each class, the one that is due first."""
        interactive = self._classes[WorkClass.INTERACTIVE].find_head()
        background = self._classes[WorkClass.BACKGROUND].find_head()
        if interactive is None or background is None:
            return [entry for entry in (interactive, background) if entry]
        if self._owed >= background.cost:
            return [background, interactive]
        return [interactive, background]

    def dequeue(self, entry: QueueEntry) -> None:
        """Remove one of the heads, which is dispatched."""
        background = self._classes[WorkClass.BACKGROUND]
        if entry.work.work_class is WorkClass.BACKGROUND:
            self._owed = max(0.0, self._owed - entry.cost)
        elif background.size:
            head = background.find_head()
            limit = OWED_LIMIT * (head.cost if head else 0.0)
            owed = self._owed + entry.cost * self._share / (1 - self._share)
            self._owed = min(limit, owed)
        self._classes[entry.work.work_class].dequeue(entry)

    def remove(self, entry: QueueEntry) -> None:
        """Remove an entry that is not dispatched."""
        self._classes[entry.work.work_class].remove(entry)

    def entries(self) -> list[QueueEntry]:
        """Return all entries."""
        return [e for queue in self._classes.values() for e in queue.entries()]

    def has_work(self, work_class: WorkClass) -> bool:
        """Whether work of a class waits."""
        return self._classes[work_class].size > 0

    def find_cost(self, work_class: WorkClass) -> float:
        """Return the work of a class that waits."""
        return self._classes[work_class].cost

    def find_account_cost(self, work_class: WorkClass, account: ClientAccount) -> float:
        """Return the work of a class that waits for an account."""
        return self._classes[work_class].find_account_cost(account)

    def find_share(self, work_class: WorkClass, account: ClientAccount) -> float:
        """Return the part of a class's pace that an account gets, within 0 to 1."""
        weight = self._find_weight(account)
        return self._classes[work_class].find_share(account, weight)

    def _find_weight(self, account: ClientAccount) -> float:
        return max(1e-6, self._weights.get(account, 1.0))


class FifoQueue:
    """The plain baseline: one line for all, in the order of arrival."""

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
        """Remove the head, which is dispatched."""
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
        """Whether work of a class waits."""
        return self._sizes[work_class] > 0

    def find_cost(self, work_class: WorkClass) -> float:
        """Return the work of a class that waits."""
        return self._costs[work_class]

    def find_account_cost(self, work_class: WorkClass, account: ClientAccount) -> float:
        """Return the work of a class: the line does not know accounts."""
        return self._costs[work_class]

    def find_share(self, work_class: WorkClass, account: ClientAccount) -> float:
        """Return 1: the line does not know accounts."""
        return 1.0
