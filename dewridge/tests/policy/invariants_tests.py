"""Invariants of the scheduler and its queues under any sequence of events."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from dewridge.ids import BackendServerId, RequestId
from dewridge.policy.model import Abandoned, AttemptOutcome, Work, WorkClass
from dewridge.policy.queueing import FairQueue, QueueEntry
from dewridge.policy.scheduler import Scheduler
from dewridge.policy.subsets import choose_subset, order_servers
from dewridge.tests.policy.builders import (
    make_profile,
    make_scheduler,
    make_server,
    make_work,
)

SERVERS = 5

EVENTS = st.one_of(
    st.tuples(st.just("offer"), st.integers(0, 3), st.booleans(), st.booleans()),
    st.tuples(st.just("restore"), st.integers(0, 3), st.booleans(), st.booleans()),
    st.tuples(st.just("pick")),
    st.tuples(st.just("token"), st.integers(0, 50)),
    st.tuples(st.just("end"), st.integers(0, 50), st.sampled_from(AttemptOutcome)),
    st.tuples(st.just("withdraw"), st.integers(0, 50)),
    st.tuples(st.just("leave"), st.integers(0, SERVERS - 1)),
    st.tuples(st.just("expire")),
    st.tuples(st.just("wait"), st.floats(0.001, 20.0)),
    st.tuples(st.just("swap"), st.booleans()),
)


class Driver:
    """Sends events to a scheduler and tracks where each request has to be."""

    def __init__(self) -> None:
        self.scheduler: Scheduler = make_scheduler(SERVERS)
        self.now = 0.0
        self.number = 0
        self.known: set[RequestId] = set()
        self.running: dict[RequestId, BackendServerId] = {}
        self.leaving: set[BackendServerId] = set()

    def apply(self, event: tuple[object, ...]) -> None:
        name, *arguments = event
        getattr(self, f"do_{name}")(*arguments)

    def do_offer(self, account: int, interactive: bool, idempotent: bool) -> None:
        work = self._make(account, interactive, idempotent)
        if self.scheduler.offer(work, self.now) is None:
            self.known.add(work.request)

    def do_restore(self, account: int, interactive: bool, idempotent: bool) -> None:
        work = self._make(account, interactive, idempotent)
        self.scheduler.restore(work, self.now)
        self.known.add(work.request)

    def _make(self, account: int, interactive: bool, idempotent: bool) -> Work:
        self.number += 1
        return make_work(
            self.number,
            account=f"account-{account}",
            is_interactive=interactive,
            idempotent=idempotent,
            arrival=self.now,
            deadline=self.now + 30.0,
        )

    def do_pick(self) -> None:
        assignment = self.scheduler.pick(self.now)
        if assignment is None:
            return
        assert assignment.server not in self.leaving
        assert assignment.work.request in self.known
        assert assignment.work.request not in self.running
        self.running[assignment.work.request] = assignment.server

    def _choose(self, index: int) -> RequestId | None:
        return list(self.running)[index % len(self.running)] if self.running else None

    def do_token(self, index: int) -> None:
        request = self._choose(index)
        if request is not None:
            server = self.running[request]
            self.scheduler.record_first_token(request, server, self.now)

    def do_end(self, index: int, outcome: AttemptOutcome) -> None:
        request = self._choose(index)
        if request is None:
            return
        server = self.running.pop(request)
        decision = self.scheduler.record_attempt_end(
            request, server, outcome, 1, self.now
        )
        if decision is None or isinstance(decision, Abandoned):
            self.known.discard(request)

    def do_withdraw(self, index: int) -> None:
        known = sorted(self.known)
        if known:
            request = known[index % len(known)]
            self.scheduler.withdraw(request, self.now)
            self.known.discard(request)
            self.running.pop(request, None)

    def do_leave(self, number: int) -> None:
        server = make_server(number).id
        self.leaving.add(server)
        moves = self.scheduler.handle_server_leaving(server, self.now + 3, self.now)
        assert {self.running.get(move.request) for move in moves} <= {server}

    def do_expire(self) -> None:
        for abandoned in self.scheduler.expire(self.now):
            assert abandoned.failure.retry_after is not None
            self.known.remove(abandoned.request)

    def do_wait(self, seconds: float) -> None:
        self.now += seconds

    def do_swap(self, is_fair: bool) -> None:
        profile = make_profile(admission="fair" if is_fair else "fifo")
        self.scheduler.set_profile(self.scheduler._service, profile, self.now)

    def check(self) -> None:
        state = self.scheduler.describe()
        assert state["running"] == len(self.running)
        expired = len(self.scheduler._backlog._expired)
        waiting = state["queued"] + state["delayed"] + expired
        assert waiting + state["running"] == len(self.known)
        servers = self.scheduler._servers
        by_server = Counter(self.running.values())
        for record in servers.records.values():
            assert record.in_flight == by_server[record.view.id]
            assert 0 <= record.background <= record.in_flight
            assert record.limit > 0
        assert servers.in_flight == len(self.running)
        assert 0 <= servers.background <= servers.in_flight
        assert all(cost >= -1e-6 for cost in state["queued_work"].values())


@given(st.lists(EVENTS, max_size=60))
@settings(max_examples=150, deadline=None)
def test_no_request_is_lost_and_credits_add_up(
    events: list[tuple[object, ...]],
) -> None:
    driver = Driver()
    for event in events:
        driver.apply(event)
        driver.check()


@given(st.lists(st.integers(1, 500), min_size=40, max_size=80), st.integers(1, 4))
@settings(max_examples=50, deadline=None)
def test_queued_accounts_get_their_shares(costs: list[int], weight: int) -> None:
    # One account has four times the backlog of the other. While both are queued, no
    # account may fall behind its share by more than two of the largest requests.
    queue = FairQueue({"large": float(weight)}, background_share=0.1)
    for number, cost in enumerate(costs * 4):
        account = "small" if number % 5 == 0 else "large"
        work = make_work(number, account=account, is_interactive=False)
        queue.push(QueueEntry(work, float(cost), number, work.deadline), True)
    served = {"small": 0.0, "large": 0.0}
    waiting = Counter(entry.work.account for entry in queue.entries())
    while min(waiting.values()) > 0:
        [head] = queue.list_heads()
        queue.dequeue(head)
        waiting[head.work.account] -= 1
        served[head.work.account] += head.cost
        gap = abs(served["small"] - served["large"] / weight)
        assert gap <= 2 * max(costs)


@given(st.integers(1, 120), st.integers(1, 60), st.integers(1, 16))
@settings(max_examples=100, deadline=None)
def test_server_subsets_overlap_evenly(servers: int, hosts: int, max_size: int) -> None:
    views = [make_server(number) for number in range(servers)]
    used = Counter(
        server.id
        for host in range(hosts)
        for server in choose_subset(views, host, hosts, max_size)
    )
    assert len(used) == servers
    assert max(used.values()) - min(used.values()) <= 2
    window = order_servers(views)[: min(4, servers)]
    assert len({s.failure_domain for s in window}) >= min(2, servers)


def test_background_work_gets_its_share_beside_interactive_work() -> None:
    # With strict priority, background work would starve under a constant backlog of
    # interactive work; it has to get its share of a tenth.
    queue = FairQueue({}, background_share=0.1)
    for number in range(400):
        work = make_work(number, is_interactive=number % 2 == 0)
        queue.push(QueueEntry(work, 10.0, number, work.deadline), True)
    dispatched: Counter[WorkClass] = Counter()
    for _ in range(100):
        head = queue.list_heads()[0]
        queue.dequeue(head)
        dispatched[head.work.work_class] += 1
    assert 8 <= dispatched[WorkClass.BACKGROUND] <= 12
