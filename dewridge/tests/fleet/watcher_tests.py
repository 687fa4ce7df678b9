"""Tests that server changes polled by a few hosts reach the tables of all hosts."""

from dataclasses import replace

import pytest

from dewridge.codes import ResultCode
from dewridge.fleet.model import BackendServer, ServerState
from dewridge.fleet.table import ServerTable
from dewridge.fleet.watcher import ABSENT_SECONDS, DUTY_HOLDERS, FleetWatcher
from dewridge.ids import (
    BackendServerId,
    FailureDomain,
    HostId,
    Incarnation,
    ServiceName,
)
from dewridge.membership.model import Member
from dewridge.metrics.registry import Metrics
from dewridge.providers.model import HostState, ListedServer, ReclaimNotice, ServerKind
from dewridge.sentinels import Failure
from dewridge.settings.schema import PlatformSettings
from dewridge.tests.fakes import FakeMembership

ENGINE = BackendServerId("engine-1")
FINDINGS = ServiceName("findings")
SETTINGS = PlatformSettings(key_value="", host_list="", cloud="", poll_period=0.5)


def make_listed(name: str = "engine-1") -> ListedServer:
    return ListedServer(
        BackendServerId(name),
        "127.0.0.1:1",
        FailureDomain("zona-a"),
        ServerKind.ENGINE,
        (FINDINGS,),
        "standard",
        1.0,
        True,
        8,
        True,
        HostState.LIVE,
    )


class FakePlatform:
    """In-memory host list and cloud."""

    def __init__(self) -> None:
        self.listing: list[ListedServer] | Failure = [make_listed()]
        self.notices: list[ReclaimNotice] = []
        self.unreadable: frozenset[BackendServerId] = frozenset()
        self.calls = 0

    async def fetch(self) -> list[ListedServer] | Failure:
        self.calls += 1
        return self.listing

    async def fetch_notices(self) -> list[ReclaimNotice] | Failure:
        return self.notices


class Clock:
    """Clock that a test advances by hand."""

    now = 1_000_000.0

    def __call__(self) -> float:
        return self.now


class Fleet:
    """Eight hosts that receive each other's rumors."""

    def __init__(self) -> None:
        self.clock = Clock()
        members = [
            Member(HostId(f"host-{n}"), Incarnation(1), FailureDomain("zona-a"), "", "")
            for n in range(8)
        ]
        self.platform = FakePlatform()
        self.views = [FakeMembership(members, m.host) for m in members]
        for view in self.views:
            view.linked_fakes = [other for other in self.views if other is not view]
        self.reclaim_notices: list[tuple[int, float]] = []
        self.tables = [ServerTable(self.clock) for _ in members]
        self.watchers = [self.make_watcher(n) for n in range(len(members))]

    def make_watcher(self, index: int) -> FleetWatcher:
        return FleetWatcher(
            settings=SETTINGS,
            table=self.tables[index],
            host_list=self.platform,
            cloud=self.platform,
            membership=self.views[index],
            rumors=self.views[index],
            metrics=Metrics(),
            on_local_reclaim=lambda at: self.reclaim_notices.append((index, at)),
            clock=self.clock,
        )

    async def step(self) -> None:
        for watcher in self.watchers:
            if watcher.must_poll():
                await watcher.poll()
        self.clock.now += SETTINGS.poll_period

    def find_states(self) -> set[ServerState | None]:
        found = [table.find(ENGINE) for table in self.tables]
        return {server.state if server else None for server in found}


@pytest.fixture
def fleet() -> Fleet:
    return Fleet()


async def test_platform_calls_do_not_grow_with_hosts(fleet: Fleet) -> None:
    for _ in range(40):
        await fleet.step()
    assert fleet.find_states() == {ServerState.LIVE}
    # In the first step every host may poll, as none has received a heartbeat yet.
    assert fleet.platform.calls <= 40 * DUTY_HOLDERS + len(fleet.tables)


async def test_notice_reaches_all_hosts_and_a_lagging_list_does_not_revert_it(
    fleet: Fleet,
) -> None:
    # The cloud announces a reclaim while the lagging host list still shows the server
    # as live. Requests sent to it would be interrupted.
    await fleet.step()
    fleet.platform.notices = [ReclaimNotice(ENGINE, fleet.clock.now + 3)]
    for _ in range(4):
        await fleet.step()
    assert fleet.find_states() == {ServerState.LEAVING}
    fleet.platform.notices = []
    fleet.platform.listing = [replace(make_listed(), price=2.0)]
    await fleet.step()
    assert fleet.find_states() == {ServerState.LEAVING}
    assert [s.listed.price for s in fleet.tables[3].servers(FINDINGS)] == [2.0]


async def test_departure_seen_by_one_host_reaches_all(fleet: Fleet) -> None:
    # An engine that is leaving rejects new work before any notice. Unless the host
    # that sees this spreads it, every other host has to be rejected as well.
    await fleet.step()
    changes: list[BackendServer] = []
    fleet.tables[7].subscribe(changes.append)
    fleet.tables[2].handle_leaving(ENGINE, None, "refusal")
    assert fleet.find_states() == {ServerState.LEAVING}
    assert [server.state for server in changes] == [ServerState.LEAVING]
    assert changes[0].leaving_at is not None


async def test_faulty_list_removes_no_server(fleet: Fleet) -> None:
    # The host list is empty after a restart, or fails, for longer than a server may be
    # missing. If servers were removed, requests would be rejected although every
    # server is live.
    await fleet.step()
    empty: list[ListedServer] = []
    for listing in (empty, Failure(ResultCode.PLATFORM_DOWN, "down")):
        fleet.platform.listing = listing
        for _ in range(int(ABSENT_SECONDS / SETTINGS.poll_period) + 2):
            await fleet.step()
        assert fleet.find_states() == {ServerState.LIVE}


async def test_server_missing_from_the_list_is_removed_and_may_return(
    fleet: Fleet,
) -> None:
    await fleet.step()
    fleet.platform.listing = [make_listed("engine-2")]
    await fleet.step()
    assert fleet.find_states() == {ServerState.LIVE}
    for _ in range(int(ABSENT_SECONDS / SETTINGS.poll_period) + 2):
        await fleet.step()
    assert fleet.find_states() == {ServerState.GONE}
    fleet.platform.listing = [make_listed(), make_listed("engine-2")]
    await fleet.step()
    assert fleet.find_states() == {ServerState.LIVE}


async def test_server_whose_record_can_not_be_read_is_not_removed(fleet: Fleet) -> None:
    """Guards against a record that is left out as proof that its server is gone."""
    await fleet.step()
    fleet.platform.listing = [make_listed("engine-2")]
    fleet.platform.unreadable = frozenset({ENGINE})
    for _ in range(int(ABSENT_SECONDS / SETTINGS.poll_period) + 2):
        await fleet.step()
    assert fleet.find_states() == {ServerState.LIVE}


async def test_host_without_heartbeats_polls_on_its_own(fleet: Fleet) -> None:
    # A host is partitioned from its peers. If it did not poll, it would send requests
    # to servers that were removed long ago.
    await fleet.step()
    partitioned = next(n for n in range(8) if not fleet.watchers[n].must_poll())
    for view in fleet.views:
        view.linked_fakes = []
    for _ in range(30):
        fleet.clock.now += SETTINGS.poll_period
    assert fleet.watchers[partitioned].must_poll()


async def test_host_receives_its_own_reclaim_notice(fleet: Fleet) -> None:
    # The reclaimed host is not one of those that poll the cloud.
    await fleet.step()
    at = fleet.clock.now + 5
    fleet.platform.notices = [ReclaimNotice("host-5", at)]
    for _ in range(3):
        await fleet.step()
    assert fleet.reclaim_notices == [(5, at)]
