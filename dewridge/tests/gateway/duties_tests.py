"""Duties: one holder at a time, whatever happens to it, and one sum a window."""

import time

import pytest
import trio
import trio.testing

from dewridge.gateway import duties, hosts
from dewridge.gateway.duties import Tenancy
from dewridge.gateway.hosts import HostEntry, HostTable, HostWatcher, Registration
from dewridge.gateway.usage import UsageDuty
from dewridge.ids import ClientAccount, FailureDomain, HostId
from dewridge.platform.cloud import CallOutcome, Cloud, DutyTerm
from dewridge.tests.gateway.memorystore import MemoryStore, StoreData
from dewridge.tests.gateway.world import ACCOUNT, make_configuration, make_state


@pytest.fixture(autouse=True)
def _use_test_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the clock that counts suspension follow the test's clock."""
    monkeypatch.setattr(hosts, "read_boot_clock", trio.current_time)
    monkeypatch.setattr(duties, "read_boot_clock", trio.current_time)


class Candidate:
    """A host that may hold the duties."""

    def __init__(self, name: str, data: StoreData) -> None:
        self.store = MemoryStore(data)
        entry = HostEntry(
            HostId(name), 1, f"{name}:1", f"{name}:2", FailureDomain("a"), True
        )
        self.table = HostTable(entry.id)
        self.registration = Registration(self.store, entry)
        self.tenancy = Tenancy(
            entry.id, 1, self.store, self.registration, self.table, lease=3.0
        )
        self.watch_store = MemoryStore(data)
        self.watcher = HostWatcher(self.store, self.watch_store, self.table, 8.0)

    def start(self, nursery: trio.Nursery) -> None:
        """Start all that keeps a tenancy."""
        nursery.start_soon(self.registration.run)
        nursery.start_soon(self.watcher.poll)
        nursery.start_soon(self.watcher.watch)
        nursery.start_soon(self.tenancy.run)


async def test_only_one_of_many_hosts_holds_the_duties(
    autojump_clock: trio.testing.MockClock,
) -> None:
    data = StoreData()
    candidates = [Candidate(f"host-{n}", data) for n in range(5)]
    async with trio.open_nursery() as nursery:
        for one in candidates:
            one.start(nursery)
        for _ in range(40):
            await trio.sleep(0.25)
            holders = [one for one in candidates if one.tenancy.find_tenure()]
            assert len(holders) <= 1
        assert len(holders) == 1
        nursery.cancel_scope.cancel()


async def test_a_holder_that_is_cut_off_stops_before_the_next_one_acts(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """The holder loses its way to the store and goes on believing in its lease.

    If it acted after its successor, an order that is no longer wanted would undo a
    newer one. The successor's number must be higher.
    """
    data = StoreData()
    first, second = Candidate("host-1", data), Candidate("host-2", data)
    async with trio.open_nursery() as nursery:
        first.start(nursery)
        await trio.sleep(6.0)
        second.start(nursery)
        held = first.tenancy.find_tenure()
        assert held is not None
        first.store.is_down = True
        last_of_first = first_of_second = 0.0
        for _ in range(120):
            await trio.sleep(0.1)
            if first.tenancy.find_tenure():
                last_of_first = trio.current_time()
            if second.tenancy.find_tenure() and not first_of_second:
                first_of_second = trio.current_time()
        successor = second.tenancy.find_tenure()
        assert successor is not None
        assert successor.fencing_token > held.fencing_token
        assert last_of_first < first_of_second
        nursery.cancel_scope.cancel()


async def test_a_successor_that_never_acted_does_not_wait_a_lease(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """The holder dies while servers are being reclaimed.

    Its successor has not acted before, so that no turns can come of it. If it paused
    a whole lease all the same, no server would be ordered for that long, and callers
    would be refused.
    """
    data = StoreData()
    first, second = Candidate("host-1", data), Candidate("host-2", data)
    async with trio.open_nursery() as nursery:
        first.start(nursery)
        await trio.sleep(6.0)
        second.start(nursery)
        await trio.sleep(4.0)
        assert first.tenancy.find_tenure() is not None
        await first.tenancy.leave()
        await first.registration.leave()
        await trio.sleep(1.5)
        assert second.tenancy.find_tenure() is not None
        nursery.cancel_scope.cancel()


async def test_a_host_that_acted_waits_a_lease_before_it_acts_again(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """A holder loses its lease and gets the duties back right after another host.

    Acting at once, the two would give orders by turns within one lease.
    """
    data = StoreData()
    one = Candidate("host-1", data)
    async with trio.open_nursery() as nursery:
        one.start(nursery)
        await trio.sleep(8.0)
        assert one.tenancy.find_tenure() is not None
        last_act = trio.current_time()
        one.tenancy._end("test")
        one.tenancy._begin(10_000)
        one.registration.state.valid_until = last_act + 60.0
        await trio.sleep(2.9)
        assert one.tenancy.find_tenure() is None
        await trio.sleep(0.2)
        assert one.tenancy.find_tenure() is not None
        nursery.cancel_scope.cancel()


async def test_a_lost_answer_still_makes_one_holder(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """The store writes the holder's key and the answer is lost.

    The host must find that it holds the duties, with the number of that very write:
    else nobody would act until its lease ends, or two numbers would be in use.
    """
    data = StoreData()
    one = Candidate("host-1", data)
    async with trio.open_nursery() as nursery:
        one.store.loses_answers = True
        one.start(nursery)
        await trio.sleep(8.0)
        tenure = one.tenancy.find_tenure()
        assert tenure is not None
        assert tenure.fencing_token == data.items[duties.HOLDER_KEY].revision
        nursery.cancel_scope.cancel()


async def test_a_holder_whose_lease_lapsed_takes_a_new_number(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """All leases lapse while the store is away, the holder's too, though it lives."""
    data = StoreData()
    one = Candidate("host-1", data)
    async with trio.open_nursery() as nursery:
        one.start(nursery)
        await trio.sleep(8.0)
        before = one.tenancy.find_tenure()
        one.store.is_down = True
        await trio.sleep(5.0)
        assert one.tenancy.find_tenure() is None
        one.store.is_down = False
        await trio.sleep(8.0)
        after = one.tenancy.find_tenure()
        assert before is not None
        assert after is not None
        assert after.fencing_token > before.fencing_token
        nursery.cancel_scope.cancel()


async def test_a_leaving_holder_does_not_take_its_own_key_again(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """The holder is told to leave; its key stands until its registration ends.

    Taken for a new tenure, the host would hold the duties while it goes, and nobody
    would report or order until its lease is over.
    """
    data = StoreData()
    one, other = Candidate("host-1", data), Candidate("host-2", data)
    async with trio.open_nursery() as nursery:
        one.start(nursery)
        await trio.sleep(8.0)
        assert one.tenancy.find_tenure() is not None
        other.start(nursery)
        await one.tenancy.leave()
        await trio.sleep(1.0)
        await one.registration.leave()
        await trio.sleep(7.0)
        assert one.tenancy.find_tenure() is None
        assert other.tenancy.find_tenure() is not None
        nursery.cancel_scope.cancel()


async def test_hosts_that_start_together_discover_each_other_with_few_writes(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against hosts that treat a large fleet as a small one during startup.

    A host that does not know its peers follows all servers and repeatedly tries to take
    the duties.
    """
    data = StoreData()
    candidates = [Candidate(f"host-{n}", data) for n in range(30)]
    async with trio.open_nursery() as nursery:
        for one in candidates:
            one.start(nursery)
        await trio.sleep(2.0)
        host_counts = [one.table.count() for one in candidates]
        nursery.cancel_scope.cancel()
    assert min(host_counts) == len(candidates)
    change_calls = sum(one.store.change_calls for one in candidates)
    assert change_calls <= 2 * len(candidates)


class RecordingCloud(Cloud):
    """Keeps the reports; `fails` of them get no answer although they are accepted."""

    def __init__(self, fails: int = 0) -> None:
        self.reports: list[tuple[int, dict[ClientAccount, int]]] = []
        self._fails = fails

    async def report_usage(
        self, tenure: DutyTerm, window: int, counts: dict[ClientAccount, int]
    ) -> CallOutcome:
        """Keep a report."""
        self.reports.append((window, counts))
        if len(self.reports) <= self._fails:
            return CallOutcome.FAILED
        return CallOutcome.ACCEPTED


class AlwaysHolder(Tenancy):
    """A tenancy that a test gives to a host outright."""

    def __init__(self) -> None:
        self._given = DutyTerm(HostId("host-1"), 1)

    def find_tenure(self) -> DutyTerm | None:
        """Return the tenure."""
        return self._given


async def test_two_holders_report_the_same_sum(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A holder dies after its report was accepted, before the answer came.

    The next one counted differently. Two sums for one window would bill an account
    twice or wrongly, so that the second must repeat the first.
    """
    monkeypatch.setattr(time, "time", lambda: 1000.0 + trio.current_time())
    data = StoreData()
    cloud = RecordingCloud(fails=1)
    window = int(1000.0 // 5.0)
    async with trio.open_nursery() as nursery:
        for count in (5, 9):
            state = make_state(make_configuration())
            state.began[window][ACCOUNT] = count
            duty = UsageDuty(state, AlwaysHolder(), MemoryStore(data), cloud)
            nursery.start_soon(duty.run)
            await trio.sleep(4.0)
        await trio.sleep(3.0)
        nursery.cancel_scope.cancel()
    sums = [counts for told, counts in cloud.reports if told == window]
    assert len(sums) >= 2
    assert all(counts == sums[0] for counts in sums)
