"""Tests of the election of the holder of the duties, and of usage reports."""

import random
import time
from typing import Any

import pytest
import trio
import trio.testing

from dewridge.gateway import duties, hosts
from dewridge.gateway.duties import HOLDER_KEY, HolderElection
from dewridge.gateway.hosts import HostEntry, HostTable, HostWatcher, Registration
from dewridge.gateway.usage import UsageDuty
from dewridge.ids import ClientAccount, FailureDomain, HostId
from dewridge.platform.cloud import CallOutcome, Cloud, DutyTerm
from dewridge.sentinels import Failure
from dewridge.tests.gateway.memorystore import MemoryStore, StoreData
from dewridge.tests.gateway.world import ACCOUNT, make_configuration, make_state


@pytest.fixture(autouse=True)
def _use_test_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Replace the boot clock by the clock of the test."""
    monkeypatch.setattr(hosts, "read_boot_clock", trio.current_time)
    monkeypatch.setattr(duties, "read_boot_clock", trio.current_time)


class Candidate:
    """A host that takes part in the election of the holder."""

    def __init__(
        self, name: str, data: StoreData, store: MemoryStore | None = None
    ) -> None:
        self.store = store or MemoryStore(data)
        entry = HostEntry(
            HostId(name), 1, "127.0.0.1:1", "127.0.0.1:2", FailureDomain("a"), True
        )
        self.table = HostTable(entry.id)
        self.registration = Registration(self.store, entry, random.Random(name))
        self.election = HolderElection(
            entry.id, 1, self.store, self.registration, self.table, lease_ttl=3.0
        )
        self.watch_store = MemoryStore(data)
        self.watcher = HostWatcher(
            self.store, self.watch_store, self.table, 8.0, random.Random(name)
        )

    def start(self, nursery: trio.Nursery) -> None:
        """Start the tasks that the election needs."""
        nursery.start_soon(self.registration.run)
        nursery.start_soon(self.watcher.poll)
        nursery.start_soon(self.watcher.watch)
        nursery.start_soon(self.election.run)


async def test_only_one_of_many_hosts_holds_the_duties(
    autojump_clock: trio.testing.MockClock,
) -> None:
    data = StoreData()
    candidates = [Candidate(f"host-{n}", data) for n in range(5)]
    async with trio.open_nursery() as nursery:
        for candidate in candidates:
            candidate.start(nursery)
        for _ in range(40):
            await trio.sleep(0.25)
            holders = [
                candidate
                for candidate in candidates
                if candidate.election.find_active_term()
            ]
            assert len(holders) <= 1
        assert len(holders) == 1
        nursery.cancel_scope.cancel()


async def test_a_partitioned_holder_stops_before_the_next_one_acts(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against two acting holders after a partition from the store.

    The holder still considers its lease valid. If it acted after its successor, an
    outdated order would undo a newer one. The successor's fencing token must be higher.
    """
    data = StoreData()
    first, second = Candidate("host-1", data), Candidate("host-2", data)
    async with trio.open_nursery() as nursery:
        first.start(nursery)
        await trio.sleep(6.0)
        second.start(nursery)
        first_term = first.election.find_active_term()
        assert first_term is not None
        first.store.is_down = True
        last_act_of_first = first_act_of_second = 0.0
        for _ in range(120):
            await trio.sleep(0.1)
            if first.election.find_active_term():
                last_act_of_first = trio.current_time()
            if second.election.find_active_term() and not first_act_of_second:
                first_act_of_second = trio.current_time()
        second_term = second.election.find_active_term()
        assert second_term is not None
        assert second_term.fencing_token > first_term.fencing_token
        assert last_act_of_first < first_act_of_second
        nursery.cancel_scope.cancel()


async def test_a_successor_that_never_acted_does_not_wait_a_lease(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a successor that needlessly waits for a lease period.

    The successor has not acted before, so the two hosts cannot alternate. If it waited
    while servers are being reclaimed, no server would be ordered for that long, and
    callers would be refused.
    """
    data = StoreData()
    first, second = Candidate("host-1", data), Candidate("host-2", data)
    async with trio.open_nursery() as nursery:
        first.start(nursery)
        await trio.sleep(6.0)
        second.start(nursery)
        await trio.sleep(4.0)
        assert first.election.find_active_term() is not None
        await first.election.step_down()
        await first.registration.unregister()
        await trio.sleep(1.5)
        assert second.election.find_active_term() is not None
        nursery.cancel_scope.cancel()


async def test_a_host_that_acted_waits_a_lease_before_it_acts_again(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against hosts that alternate as holder within one lease period.

    A holder loses its lease and is elected again right after another host. If it acted
    at once, the two could send conflicting orders in quick succession.
    """
    data = StoreData()
    candidate = Candidate("host-1", data)
    async with trio.open_nursery() as nursery:
        candidate.start(nursery)
        await trio.sleep(8.0)
        assert candidate.election.find_active_term() is not None
        last_act = trio.current_time()
        candidate.election._end_term("test")
        candidate.election._begin_term(10_000)
        candidate.registration.lease_state.valid_until = last_act + 60.0
        await trio.sleep(2.9)
        assert candidate.election.find_active_term() is None
        await trio.sleep(0.2)
        assert candidate.election.find_active_term() is not None
        nursery.cancel_scope.cancel()


async def test_a_lost_answer_to_the_holder_write_still_elects_a_holder(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a lost answer to the write of the holder's key.

    The host must detect that it holds the duties, with the fencing token of that write.
    Otherwise no host would act until its lease ends, or two tokens would be in use.
    """
    data = StoreData()
    candidate = Candidate("host-1", data)
    async with trio.open_nursery() as nursery:
        candidate.store.loses_answers = True
        candidate.start(nursery)
        await trio.sleep(8.0)
        term = candidate.election.find_active_term()
        assert term is not None
        assert term.fencing_token == data.items[duties.HOLDER_KEY].revision
        nursery.cancel_scope.cancel()


async def test_a_holder_whose_lease_lapsed_gets_a_new_fencing_token(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against reusing a fencing token after all leases lapsed in an outage."""
    data = StoreData()
    candidate = Candidate("host-1", data)
    async with trio.open_nursery() as nursery:
        candidate.start(nursery)
        await trio.sleep(8.0)
        before = candidate.election.find_active_term()
        candidate.store.is_down = True
        await trio.sleep(5.0)
        assert candidate.election.find_active_term() is None
        candidate.store.is_down = False
        await trio.sleep(8.0)
        after = candidate.election.find_active_term()
        assert before is not None
        assert after is not None
        assert after.fencing_token > before.fencing_token
        nursery.cancel_scope.cancel()


async def test_a_leaving_holder_does_not_begin_a_new_term_by_its_own_key(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a leaving host that becomes the holder again.

    Its key remains until its registration ends. If the host treated the key as a new
    term, no host would report usage or order servers until its lease ends.
    """
    data = StoreData()
    candidate, other = Candidate("host-1", data), Candidate("host-2", data)
    async with trio.open_nursery() as nursery:
        candidate.start(nursery)
        await trio.sleep(8.0)
        assert candidate.election.find_active_term() is not None
        other.start(nursery)
        await candidate.election.step_down()
        await trio.sleep(1.0)
        await candidate.registration.unregister()
        await trio.sleep(7.0)
        assert candidate.election.find_active_term() is None
        assert other.election.find_active_term() is not None
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("is_down", [False, True])
async def test_a_host_that_has_left_is_not_listed_again(
    is_down: bool, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against callers that are sent to a host which leaves.

    If the store does not answer while it leaves, its last entry says that it is ready,
    and its registration ends only with the lease.
    """
    data = StoreData()
    leaving, other = Candidate("host-1", data), Candidate("host-2", data)
    async with trio.open_nursery() as nursery:
        leaving.start(nursery)
        other.start(nursery)
        await trio.sleep(3.0)
        leaving.store.is_down = is_down
        leaving.registration.set_ready(False)
        await leaving.election.step_down()
        await trio.sleep(1.0)
        with trio.move_on_after(1.0):
            await leaving.registration.unregister()
        await trio.sleep(1.0)
        leaving.store.is_down = False
        # The entry may still be that of before until its lease has ended.
        await trio.sleep(hosts.LEASE_TTL)
        for _ in range(50):
            await trio.sleep(0.1)
            ready = [entry.id for entry in other.table.list_hosts() if entry.is_ready]
            assert ready == ["host-2"]
        nursery.cancel_scope.cancel()


class SlowStore(MemoryStore):
    """A store whose answers to changes take a while.

    Attributes:
        pending: number of changes that are applied and not answered.
    """

    pending = 0

    async def change(self, **arguments: Any) -> int | Failure:
        """Apply a change at once, and answer later."""
        result = await super().change(**arguments)
        self.pending += 1
        await trio.sleep(0.3)
        self.pending -= 1
        return result


async def test_a_leaving_host_does_not_take_the_duties_by_a_write_in_flight(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a leaving host that acts in turn with its successor."""
    data = StoreData()
    store = SlowStore(data)
    candidate = Candidate("host-1", data, store)
    async with trio.open_nursery() as nursery:
        candidate.start(nursery)
        while HOLDER_KEY not in data.items:
            await data.changed.wait()
        assert store.pending
        await candidate.election.step_down()
        for _ in range(100):
            await trio.sleep(0.1)
            assert candidate.election.find_active_term() is None
        nursery.cancel_scope.cancel()


async def test_hosts_that_start_together_discover_each_other_with_few_writes(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against hosts that treat a large fleet as a small one during startup.

    A host that does not know its peers follows all servers and repeatedly tries to
    become the holder.
    """
    data = StoreData()
    candidates = [Candidate(f"host-{n}", data) for n in range(30)]
    async with trio.open_nursery() as nursery:
        for candidate in candidates:
            candidate.start(nursery)
        await trio.sleep(2.0)
        host_counts = [candidate.table.count() for candidate in candidates]
        nursery.cancel_scope.cancel()
    assert min(host_counts) == len(candidates)
    change_calls = sum(candidate.store.change_calls for candidate in candidates)
    assert change_calls <= 2 * len(candidates)


class RecordingCloud(Cloud):
    """Records usage reports.

    The first `fails` reports are recorded but answered as failed.
    """

    def __init__(self, fails: int = 0) -> None:
        self.reports: list[tuple[int, dict[ClientAccount, int]]] = []
        self._fails = fails

    async def report_usage(
        self, term: DutyTerm, window: int, counts: dict[ClientAccount, int]
    ) -> CallOutcome:
        """Record a report."""
        self.reports.append((window, counts))
        if len(self.reports) <= self._fails:
            return CallOutcome.UNKNOWN
        return CallOutcome.ACCEPTED


class AlwaysHolder(HolderElection):
    """An election that this host always wins."""

    def __init__(self) -> None:
        self._fixed_term = DutyTerm(HostId("host-1"), 1)

    def find_active_term(self) -> DutyTerm | None:
        """Return the term."""
        return self._fixed_term


async def test_two_holders_report_the_same_usage_sum(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against different usage sums for one window.

    A holder crashes after its report was accepted but before the answer arrived, and
    the next holder counted differently. Two different sums would bill an account twice
    or wrongly, so the second holder must repeat the first sum.
    """
    monkeypatch.setattr(time, "time", lambda: 1000.0 + trio.current_time())
    data = StoreData()
    cloud = RecordingCloud(fails=1)
    window = int(1000.0 // 5.0)
    async with trio.open_nursery() as nursery:
        for count in (5, 9):
            state = make_state(make_configuration())
            state.usage_counts[window][ACCOUNT] = count
            duty = UsageDuty(state, AlwaysHolder(), MemoryStore(data), cloud)
            nursery.start_soon(duty.run)
            await trio.sleep(4.0)
        await trio.sleep(3.0)
        nursery.cancel_scope.cancel()
    sums = [counts for reported, counts in cloud.reports if reported == window]
    assert len(sums) >= 2
    assert all(counts == sums[0] for counts in sums)
