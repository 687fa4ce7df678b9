"""Tests of what a host that starts asks its peers before it trusts the store."""

import random
import time
from collections.abc import Iterator

import msgspec
import pytest
import trio
import trio.testing

from dewridge.gateway import configuration
from dewridge.gateway.configuration import ConfigurationState
from dewridge.gateway.documents import following
from dewridge.gateway.documents.startcheck import (
    MAX_ANSWER_WAIT,
    MAX_WAIT,
    REWRITING_TIME,
    StartCheck,
)
from dewridge.gateway.hosts import HostEntry, HostTable
from dewridge.gateway.servers import ServerTable
from dewridge.gateway.usageeras import USAGE_ERA_KEY, UsageEra
from dewridge.gateway.watching import StoreWatcher
from dewridge.ids import FailureDomain, HostId
from dewridge.platform.store import Item, Listing
from dewridge.tests.gateway.memorystore import MemoryStore, StoreData
from dewridge.tests.gateway.state_tests import write_configuration

START_TIME = 1000.0
WINDOW_SECONDS = 5.0
PEER = HostId("host-2")


@pytest.fixture(autouse=True)
def _use_test_clock(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Replace the clocks by the test's clock."""
    monkeypatch.setattr(time, "time", lambda: START_TIME + trio.current_time())
    for module in (following, configuration):
        monkeypatch.setattr(module, "read_boot_clock", trio.current_time)
    yield


class StartingHost:
    """A host that starts, and the peers that it asks."""

    def __init__(self, era: int | None = 2) -> None:
        self.store = MemoryStore(StoreData(era=era))
        self.hosts = HostTable(HostId("host-1"))
        self.check = StartCheck(
            self.store, self.hosts, WINDOW_SECONDS, random.Random(1)
        )
        self.check.ask = self._ask
        self.asked: list[HostId] = []
        self.answers_at = float("inf")

    def _ask(self, peer: HostEntry) -> None:
        self.asked.append(peer.id)
        if trio.current_time() >= self.answers_at:
            self.check.record_answer(peer.id)

    def list_peer(self) -> None:
        """Show the host a registered peer."""
        entry = HostEntry(PEER, 1, "10.0.0.2:1", "10.0.0.2:2", FailureDomain("a"), True)
        item = Item("dewridge/hosts/host-2/1", msgspec.json.encode(entry), 5, 5)
        self.hosts.replace(Listing((item,), 5))

    def settle(self, era: int, seconds: float) -> None:
        """Store the entry of an era that began some seconds ago."""
        window = int((time.time() - seconds) // WINDOW_SECONDS)
        entry = msgspec.json.encode(UsageEra(era, window))
        self.store.write(USAGE_ERA_KEY, entry)

    async def run(self) -> float:
        """Run the check; return the seconds that it took."""
        await self.store.read("any")
        began_at = trio.current_time()
        await self.check.run()
        return trio.current_time() - began_at


@pytest.mark.parametrize("era", [2, None])
async def test_a_host_that_starts_in_an_old_era_asks_nobody(
    autojump_clock: trio.testing.MockClock, era: int | None
) -> None:
    """Guards against a later readiness where the store was not restored."""
    host = StartingHost(era)
    host.list_peer()
    if era is not None:
        host.settle(era, REWRITING_TIME + WINDOW_SECONDS)
    assert await host.run() < 0.02
    assert not host.asked


@pytest.mark.parametrize(("era", "seconds"), [(1, 100.0), (2, 2.0), (3, 100.0)])
async def test_a_host_that_starts_in_a_new_era_asks_its_peers(
    autojump_clock: trio.testing.MockClock, era: int, seconds: float
) -> None:
    """Guards against trusting a store that was restored a moment ago."""
    host = StartingHost()
    host.list_peer()
    host.settle(era, seconds)
    host.answers_at = trio.current_time() + 0.15
    assert 0.1 < await host.run() < MAX_ANSWER_WAIT
    assert set(host.asked) == {PEER}


async def test_peers_without_an_answer_delay_a_start_by_a_moment(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a fleet that waits for hosts that start as well."""
    host = StartingHost()
    host.list_peer()
    assert await host.run() < MAX_ANSWER_WAIT + 0.1
    alone = StartingHost()
    assert await alone.run() < MAX_WAIT + 0.1


async def test_a_peer_that_registers_again_after_a_restore_is_asked(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a restored store without the registrations of the peers."""
    host = StartingHost()
    host.answers_at = 0.0
    async with trio.open_nursery() as nursery:
        nursery.start_soon(host.run)
        await trio.sleep(0.8)
        host.list_peer()
    assert host.asked == [PEER]


@pytest.mark.parametrize("newest", [2, 1])
async def test_a_host_that_starts_confirms_no_version_that_peers_know_is_old(
    autojump_clock: trio.testing.MockClock, newest: int
) -> None:
    """Guards against a key that works again at a host that starts after a restore."""
    host = StartingHost()
    state = ConfigurationState(4.0)
    host.list_peer()
    write_configuration(host.store, 1)
    watcher = StoreWatcher(
        host.store,
        host.store,
        state,
        ServerTable(),
        lambda: 2,
        2000.0,
        random.Random(1),
        check_start=host.check.run,
    )

    def answer(peer: HostEntry) -> None:
        watcher.configuration.receive_version(newest)
        host.check.record_answer(peer.id)

    host.check.ask = answer
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watcher.configuration.poll)
        nursery.start_soon(watcher.configuration.watch)
        await trio.sleep(5.0)
        assert state.is_trusted is (newest == 1)
        write_configuration(host.store, 2)
        await trio.sleep(1.0)
        assert state.is_trusted
        assert state.version == 2
        nursery.cancel_scope.cancel()
