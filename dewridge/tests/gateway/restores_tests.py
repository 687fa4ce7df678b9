"""Tests of restores of the store from a snapshot that lacks the latest writes."""

import random
import time
from collections.abc import Iterator

import pytest
import trio
import trio.testing

from dewridge.gateway import configuration, duties, hosts
from dewridge.gateway.configuration import ConfigurationState
from dewridge.gateway.documents import following
from dewridge.gateway.documents.following import StoreRole
from dewridge.gateway.duties import HOLDER_KEY
from dewridge.gateway.model import RolloutOrder
from dewridge.gateway.servers import ServerTable
from dewridge.gateway.usage import SUM_DELAY, USAGE_PREFIX, UsageDuty
from dewridge.gateway.watching import StoreWatcher
from dewridge.ids import ClientAccount, ServerName, make_server_id
from dewridge.platform.cloud import DutyTerm
from dewridge.platform.eras import StoreEra
from dewridge.platform.names import CONFIGURATION_KEY
from dewridge.policy.rollouts import Stage
from dewridge.policy.storeoutages import REREGISTRATION_TIME
from dewridge.tests.gateway.duties_tests import (
    AlwaysHolder,
    Candidate,
    RecordingCloud,
)
from dewridge.tests.gateway.memorystore import MemoryStore, StoreData
from dewridge.tests.gateway.readers_tests import make_server
from dewridge.tests.gateway.rollouts_tests import (
    NEW,
    HolderHost,
    make_progress,
)
from dewridge.tests.gateway.world import (
    ACCOUNT,
    PLAIN,
    make_configuration,
    make_state,
)

STORE_WRITE_RATE = 1_200
"""Writes per second that the store accepts from all hosts together."""
WINDOW = 200
"""The usage window that runs at Unix time 1000."""
WINDOW_ENDS_AT = 5.0
REPORTED_AT = WINDOW_ENDS_AT + SUM_DELAY + 0.6
"""Seconds from then until the window ends, and until its sum has been reported."""


@pytest.fixture(autouse=True)
def _use_test_clock(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Replace the boot clock by the test's clock."""
    for module in (hosts, duties, following, configuration):
        monkeypatch.setattr(module, "read_boot_clock", trio.current_time)
    yield


def share_era(candidate: Candidate) -> None:
    """Share one era between a host's clients and connect its restore callbacks."""
    era = candidate.store.era
    candidate.watch_store.era = era
    era.on_restored += [
        candidate.table.handle_restore,
        candidate.registration.handle_restore,
        candidate.election.handle_restore,
    ]


def start_hosts(count: int, data: StoreData, nursery: trio.Nursery) -> list[Candidate]:
    """Start hosts that take part in the election of the holder."""
    candidates = [Candidate(f"host-{n:02}", data) for n in range(count)]
    for candidate in candidates:
        share_era(candidate)
        candidate.start(nursery)
    return candidates


async def test_fencing_tokens_increase_across_restores(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against reused or decreasing fencing tokens.

    The holder leaves, another takes over, and the restore discards the takeover.
    """
    data = StoreData(era=1)
    acts: list[tuple[str, int]] = []
    async with trio.open_nursery() as nursery:
        candidates = start_hosts(5, data, nursery)
        writer = MemoryStore(data)

        async def act() -> None:
            while True:
                for candidate in candidates:
                    term = candidate.election.find_active_term()
                    if term is not None:
                        acts.append((term.host, term.fencing_token))
                await trio.sleep(0.05)

        nursery.start_soon(act)
        for _ in range(6):
            await trio.sleep(6.0)
            snapshot = data.take_snapshot()
            for number in range(50):
                writer.write("other", b"%d" % number)
            holder = next(
                candidate
                for candidate in candidates
                if candidate.election.find_active_term()
            )
            await holder.election.step_down()
            await holder.registration.unregister()
            holder.election._has_stepped_down = False
            await trio.sleep(4.0)
            data.restore(snapshot)
        await trio.sleep(6.0)
        nursery.cancel_scope.cancel()
    tokens = [token for _, token in acts]
    assert tokens == sorted(tokens)
    assert len({holder for holder, _ in acts}) > 1
    assert len(set(acts)) == len(set(tokens))


async def test_all_hosts_are_registered_again_within_two_seconds(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against unregistered hosts and a thundering herd after a restore.

    The snapshot has the hosts' leases but none of their entries.
    """
    data = StoreData(era=1)
    async with trio.open_nursery() as nursery:
        candidates = start_hosts(60, data, nursery)
        await trio.sleep(10.0)
        snapshot = data.take_snapshot()
        snapshot.items.clear()
        snapshot.revision = 1
        before = sum(candidate.store.change_calls for candidate in candidates)
        counts: list[int] = []
        data.restore(snapshot)
        for _ in range(20):
            await trio.sleep(0.1)
            counts += [candidate.table.count() for candidate in candidates]
        listed = [key for key in data.items if key.startswith(hosts.HOSTS_PREFIX)]
        writes = sum(candidate.store.change_calls for candidate in candidates) - before
        nursery.cancel_scope.cancel()
    assert len(listed) == 60
    assert min(counts) == 60
    assert writes <= STORE_WRITE_RATE


async def test_two_hosts_do_not_share_a_lease_that_is_granted_again(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against renewing the lease that the restored store gave another host."""
    data = StoreData(era=1)
    snapshot = data.take_snapshot()
    first, second = Candidate("host-1", data), Candidate("host-2", data)
    share_era(first)
    await first.registration._ensure_registered()
    data.restore(snapshot)
    await second.registration._ensure_registered()
    for _ in range(3):
        await first.registration._ensure_registered()
        await second.registration._ensure_registered()
    leases = {data.items[host.registration.key].lease for host in (first, second)}
    states = [host.registration.lease_state.lease for host in (first, second)]
    assert len({lease and lease.id for lease in states}) == len(leases) == 2


async def test_an_entry_written_across_a_restore_has_a_lease_of_its_host(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against an entry under the lease that another host has now."""
    data = StoreData(era=1)
    snapshot = data.take_snapshot()
    first, second = Candidate("host-1", data), Candidate("host-2", data)
    share_era(first)
    await first.registration._ensure_registered()
    data.restore(snapshot)
    await second.registration._ensure_registered()
    first.registration.set_ready(False)
    await first.registration._write_entry()
    for _ in range(3):
        await first.registration._ensure_registered()
    lease = first.registration.lease_state.lease
    assert lease is not None
    assert data.items[first.registration.key].lease == lease.id
    assert data.items[second.registration.key].lease != lease.id


async def test_duties_taken_across_a_restore_are_given_up(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a holder's key that lasts as long as another host's lease."""
    data = StoreData(era=1)
    snapshot = data.take_snapshot()
    first, second = Candidate("host-1", data), Candidate("host-2", data)
    share_era(first)
    share_era(second)
    await first.registration._ensure_registered()
    lease = first.registration.lease_state.lease
    assert lease is not None
    data.restore(snapshot)
    await second.registration._ensure_registered()
    await first.election._try_to_acquire(lease.id)
    assert HOLDER_KEY not in data.items
    async with trio.open_nursery() as nursery:
        for host in (first, second):
            host.start(nursery)
        await trio.sleep(9.0)
        terms = [host.election.find_active_term() for host in (first, second)]
        nursery.cancel_scope.cancel()
    assert sum(term is not None for term in terms) == 1


async def test_a_host_that_starts_after_a_restore_is_known_to_all(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against tables that ignore revisions lower than before the restore."""
    data = StoreData(era=1)
    async with trio.open_nursery() as nursery:
        snapshot = data.take_snapshot()
        candidates = start_hosts(5, data, nursery)
        await trio.sleep(10.0)
        data.restore(snapshot)
        await trio.sleep(1.0)
        late_host = Candidate("late", data)
        share_era(late_host)
        late_host.start(nursery)
        await trio.sleep(2.0)
        counts = [candidate.table.count() for candidate in [*candidates, late_host]]
        nursery.cancel_scope.cancel()
    assert counts == [6] * 6


async def test_an_older_configuration_is_neither_applied_nor_confirmed(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against accepting removed keys after the store lost their removal."""
    data = StoreData(era=1)
    store = MemoryStore(data)
    state = ConfigurationState(trust_period=4.0)
    watcher = StoreWatcher(
        store,
        store,
        state,
        ServerTable(),
        lambda: 1,
        6000.0,
        random.Random(1),
        lambda: StoreRole.ALL,
    )
    store.write(CONFIGURATION_KEY, b'{"version":1}')
    snapshot = data.take_snapshot()
    store.write(CONFIGURATION_KEY, b'{"version":2}')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watcher.configuration.poll)
        nursery.start_soon(watcher.configuration.watch)
        await trio.sleep(5.0)
        data.restore(snapshot)
        calls = store.calls
        await trio.sleep(5.0)
        assert state.version == 2
        assert not state.is_trusted
        assert store.calls - calls < 30
        store.write(CONFIGURATION_KEY, b'{"version":2}')
        await trio.sleep(1.0)
        assert state.is_trusted
        nursery.cancel_scope.cancel()


async def test_a_host_that_starts_after_a_restore_does_not_trust_an_older_version(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against accepting a removed key on a host that read the older version."""
    data = StoreData(era=1)
    store = MemoryStore(data)
    state = ConfigurationState(trust_period=4.0)
    watcher = StoreWatcher(
        store,
        store,
        state,
        ServerTable(),
        lambda: 1,
        6000.0,
        random.Random(1),
        lambda: StoreRole.ALL,
    )
    store.write(CONFIGURATION_KEY, b'{"version":1}')
    async with trio.open_nursery() as nursery:
        watcher.configuration.receive_version(2)
        nursery.start_soon(watcher.configuration.poll)
        nursery.start_soon(watcher.configuration.watch)
        for _ in range(100):
            await trio.sleep(0.1)
            assert not state.is_trusted
        assert store.calls < 60
        store.write(CONFIGURATION_KEY, b'{"version":2}')
        await trio.sleep(1.0)
        assert state.is_trusted
        nursery.cancel_scope.cancel()


def test_a_host_with_an_older_version_does_not_confirm_a_newer_one() -> None:
    """Guards against confirmation by a host that read the restored version."""
    state = ConfigurationState(trust_period=4.0)
    state.apply(make_configuration(version=2))
    state.handle_restore()
    state.confirm_by_peer(1, 10.0)
    assert state.confirmed_at == float("-inf")
    state.confirm_by_peer(2, 10.0)
    assert state.confirmed_at == 10.0


async def test_servers_that_write_their_records_again_are_retained(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against permanently dropping servers whose records were lost."""
    data = StoreData(era=1)
    store = MemoryStore(data)
    servers = ServerTable()
    store.era.on_restored.append(lambda: servers.record_restore(trio.current_time()))
    watcher = StoreWatcher(
        store,
        store,
        ConfigurationState(4.0),
        servers,
        lambda: 1,
        6000.0,
        random.Random(1),
    )
    snapshot = data.take_snapshot()
    store.write(*make_server(1, "ready"))
    server = make_server_id(ServerName("s-1"), 1_000)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watcher.poll_servers)
        nursery.start_soon(watcher.watch_servers)
        await trio.sleep(3.0)
        data.restore(snapshot)
        await trio.sleep(REREGISTRATION_TIME - 0.5)
        assert servers.find(server) is not None
        store.write(*make_server(1, "ready"))
        await trio.sleep(5.0)
        assert servers.find(server) is not None
        nursery.cancel_scope.cancel()


async def test_a_usage_sum_lost_by_the_store_is_reported_unchanged(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against reporting different sums for the same window."""
    monkeypatch.setattr(time, "time", lambda: 1000.0 + trio.current_time())
    data = StoreData(era=1)
    snapshot = data.take_snapshot()
    cloud = RecordingCloud(fails=1)
    window = int(1000.0 // 5.0)
    async with trio.open_nursery() as nursery:
        state = make_state(make_configuration())
        state.usage_counts[window][ACCOUNT] = 5
        duty = UsageDuty(state, AlwaysHolder(), MemoryStore(data), cloud)
        nursery.start_soon(duty.run)
        await trio.sleep(window * 5.0 + 5.0 + SUM_DELAY + 0.6 - 1000.0)
        assert cloud.reports
        data.restore(snapshot)
        state.usage_counts[window][ACCOUNT] = 9
        await trio.sleep(3.0)
        nursery.cancel_scope.cancel()
    sums = [counts for reported, counts in cloud.reports if reported == window]
    assert len(sums) >= 2
    assert all(counts == sums[0] for counts in sums)


class FirstHolder(AlwaysHolder):
    """An election that this host wins until the store is restored."""

    def __init__(self) -> None:
        super().__init__()
        self.is_over = False

    def find_active_term(self) -> DutyTerm | None:
        """Return the term; None after a restore."""
        return None if self.is_over else super().find_active_term()

    def handle_restore(self) -> None:
        """End the term."""
        self.is_over = True


class UsageHost:
    """A holder of the duties that counts the same number of requests in each window."""

    def __init__(self, data: StoreData, cloud: RecordingCloud, count: int) -> None:
        state = make_state(make_configuration())
        for window in range(WINDOW, WINDOW + 20):
            state.usage_counts[window][ACCOUNT] = count
        self.store = MemoryStore(data)
        election = FirstHolder()
        self.duty = UsageDuty(state, election, self.store, cloud)
        self.store.era.on_restored += [
            self.duty.handle_restore,
            election.handle_restore,
        ]


def list_sums(cloud: RecordingCloud, window: int) -> list[dict[ClientAccount, int]]:
    """Return the sums that were reported for a window."""
    return [counts for reported, counts in cloud.reports if reported == window]


@pytest.mark.parametrize("restores", [1, 2])
@pytest.mark.parametrize("delay", [0.1, 1.0, 4.0])
async def test_a_host_that_starts_after_a_restore_reports_no_other_sum(
    autojump_clock: trio.testing.MockClock,
    monkeypatch: pytest.MonkeyPatch,
    delay: float,
    restores: int,
) -> None:
    """Guards against a second sum by a holder that never saw the lost one."""
    monkeypatch.setattr(time, "time", lambda: 1000.0 + trio.current_time())
    data = StoreData(era=1)
    cloud = RecordingCloud()
    snapshot = data.take_snapshot()
    first = UsageHost(data, cloud, 128)
    with trio.move_on_after(REPORTED_AT + delay):
        await first.duty.run()
    assert list_sums(cloud, WINDOW)
    for _ in range(restores):
        data.restore(snapshot)
    second = UsageHost(data, cloud, 57)
    with trio.move_on_after(20.0):
        await second.duty.run()
    assert {sums[ACCOUNT] for sums in list_sums(cloud, WINDOW)} == {128}
    # The window that ran at the restore, and those after it, are reported as always.
    running = int((1000.0 + REPORTED_AT + delay) // 5.0)
    assert all(list_sums(cloud, window) for window in range(running, running + 3))


async def test_windows_since_a_restore_are_reported_by_later_holders(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against leaving out windows that can't have been reported before."""
    monkeypatch.setattr(time, "time", lambda: 1000.0 + trio.current_time())
    data = StoreData(era=1)
    cloud = RecordingCloud()
    snapshot = data.take_snapshot()
    with trio.move_on_after(REPORTED_AT):
        await UsageHost(data, cloud, 128).duty.run()
    data.restore(snapshot)
    with trio.move_on_after(WINDOW_ENDS_AT + 10.0 + SUM_DELAY - 0.1 - REPORTED_AT):
        await UsageHost(data, cloud, 57).duty.run()
    assert not list_sums(cloud, WINDOW + 2)
    # The next holder starts when this window is due, and reads since when it is sound.
    with trio.move_on_after(3.0):
        await UsageHost(data, cloud, 31).duty.run()
    assert list_sums(cloud, WINDOW + 2) == [{ACCOUNT: 31}]


async def test_a_window_that_the_holder_had_not_reported_is_reported_after_a_restore(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against leaving out a window that ended just before a restore."""
    monkeypatch.setattr(time, "time", lambda: 1000.0 + trio.current_time())
    data = StoreData(era=1)
    cloud = RecordingCloud()
    snapshot = data.take_snapshot()
    first = UsageHost(data, cloud, 128)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(first.duty.run)
        await trio.sleep(WINDOW_ENDS_AT + 1.0)
        data.restore(snapshot)
        await first.store.read("any")
        # Its term has ended, but it still tells the next holder.
        await trio.sleep(0.7)
        nursery.cancel_scope.cancel()
    second = UsageHost(data, cloud, 57)
    with trio.move_on_after(5.0):
        await second.duty.run()
    assert list_sums(cloud, WINDOW) == [{ACCOUNT: 57}]


async def test_a_sum_written_after_an_unnoticed_restore_is_not_kept(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a sum in the store that contradicts one that was lost."""
    monkeypatch.setattr(time, "time", lambda: 1000.0 + trio.current_time())
    data = StoreData(era=1)
    cloud = RecordingCloud()
    late = UsageHost(data, cloud, 57)
    with trio.move_on_after(1.0):
        await late.duty.run()
    marked = data.take_snapshot()
    with trio.move_on_after(REPORTED_AT - 1.0):
        await UsageHost(data, cloud, 128).duty.run()
    assert list_sums(cloud, WINDOW) == [{ACCOUNT: 128}]
    data.restore(marked)
    # Its next call is the write, which the restored store accepts.
    with trio.move_on_after(5.0):
        await late.duty.run()
    assert f"{USAGE_PREFIX}{WINDOW}" not in data.items
    assert list_sums(cloud, WINDOW) == [{ACCOUNT: 128}]


async def test_a_closed_rollout_is_written_again(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against retrying a version that was reverted before the restore."""
    monkeypatch.setattr("time.time", trio.current_time)
    data = StoreData(era=1)
    holder = HolderHost(data)
    rollouts = holder.state.rollouts
    rollouts.apply_order(RolloutOrder(PLAIN, NEW, 12.0, 100))
    holder.store.era.on_restored += [
        holder.state.handle_restore,
        holder.duty.handle_restore,
    ]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(holder.duty.run)
        await trio.sleep(0.5)
        snapshot = data.take_snapshot()
        rollouts.apply_progress(make_progress(Stage.REVERTED))
        holder.duty.handle_restore()
        await trio.sleep(1.0)
        assert holder.read_status() == "reverted"
        data.restore(snapshot)
        assert holder.read_status() == "in_progress"
        await holder.store.read("any")
        await trio.sleep(1.0)
        assert holder.read_status() == "reverted"
        rollouts.apply_order(RolloutOrder(PLAIN, NEW, 12.0, 400))
        assert rollouts.find_stage(PLAIN) is Stage.REVERTED
        await trio.sleep(20.0)
        rollouts.apply_order(RolloutOrder(PLAIN, NEW, 12.0, 500))
        assert rollouts.find_stage(PLAIN) is Stage.WAITING
        nursery.cancel_scope.cancel()


def test_an_answer_of_an_earlier_era_is_rejected() -> None:
    """Guards against using answers from before a restore."""
    restores: list[int] = []
    era = StoreEra()
    era.on_restored.append(lambda: restores.append(era.number))
    assert era.accept(b"3")
    assert era.accept(b"4")
    assert not era.accept(b"3")
    assert restores == [4]


@pytest.mark.parametrize(
    "value", [None, b"", b"x", b"-1", b"4.0", b"9" * 5000, b"99999", "٣".encode()]
)
def test_a_missing_or_malformed_era_counts_as_the_current_one(
    value: bytes | None,
) -> None:
    """Guards against rejecting all answers of a store that sends no valid era."""
    era = StoreEra()
    assert era.accept(b"4")
    assert era.accept(value)
    assert era.number == 4
