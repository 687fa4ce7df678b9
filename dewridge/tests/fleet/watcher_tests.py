"""Servers and their leaving are learned once and known everywhere."""

from dataclasses import replace

import pytest

from dewridge.codes import ResultCode
from dewridge.fleet.model import BackendServer, ServerState
from dewridge.fleet.table import ServerTable
from dewridge.fleet.watcher import ABSENT_SECONDS, HOLDERS, FleetWatcher
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
    """Host list and cloud in memory."""

    def __init__(self) -> None:
        self.listing: list[ListedServer] | Failure = [make_listed()]
        self.notices: list[ReclaimNotice] = []
        self.calls = 0

    async def fetch(self) -> list[ListedServer] | Failure:
        self.calls += 1
        return self.listing

    async def fetch_notices(self) -> list[ReclaimNotice] | Failure:
        return self.notices


class Clock:
    """Time that a test steps."""

    now = 1_000_000.0

    def __call__(self) -> float:
        return self.now


class Fleet:
    """Eight hosts that hear each other's rumors."""

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
        self.own_notices: list[tuple[int, float]] = []
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
            on_own_notice=lambda at: self.own_notices.append((index, at)),
            clock=self.clock,
        )

    async def step(self) -> None:
        for watcher in self.watchers:
            if watcher.must_poll():
                await watcher.poll()
        self.clock.now += SETTINGS.poll_period

    def states(self) -> set[ServerState | None]:
        found = [table.find(ENGINE) for table in self.tables]
        return {server.state if server else None for server in found}


@pytest.fixture
def fleet() -> Fleet:
    return Fleet()


async def test_calls_do_not_grow_with_the_hosts(fleet: Fleet) -> None:
    for _ in range(40):
        await fleet.step()
    assert fleet.states() == {ServerState.LIVE}
    # The very first step may find every host without any word of a listing.
    assert fleet.platform.calls <= 40 * HOLDERS + len(fleet.tables)


async def test_a_notice_reaches_all_and_an_older_list_does_not_undo_it(
    fleet: Fleet,
) -> None:
    # The cloud announces a reclaim while the host list lags and still shows
    # the server as live. Work sent to it would be cut off.
    await fleet.step()
    fleet.platform.notices = [ReclaimNotice(ENGINE, fleet.clock.now + 3)]
    for _ in range(4):
        await fleet.step()
    assert fleet.states() == {ServerState.LEAVING}
    fleet.platform.notices = []
    fleet.platform.listing = [replace(make_listed(), price=2.0)]
    await fleet.step()
    assert fleet.states() == {ServerState.LEAVING}
    assert [s.listed.price for s in fleet.tables[3].servers(FINDINGS)] == [2.0]


async def test_a_refusal_seen_by_one_host_reaches_all(fleet: Fleet) -> None:
    # The engine itself refuses new work before any notice. The other hosts
    # would each have to run into it.
    await fleet.step()
    heard: list[BackendServer] = []
    fleet.tables[7].subscribe(heard.append)
    fleet.tables[2].handle_leaving(ENGINE, None, "refusal")
    assert fleet.states() == {ServerState.LEAVING}
    assert [server.state for server in heard] == [ServerState.LEAVING]
    assert heard[0].leaving_at is not None


async def test_a_broken_list_takes_no_server_out_of_use(fleet: Fleet) -> None:
    # The host list restarts empty, or fails, for longer than a server may be
    # missing. Callers would be refused though every server is alive.
    await fleet.step()
    empty: list[ListedServer] = []
    for broken in (empty, Failure(ResultCode.PLATFORM_DOWN, "down")):
        fleet.platform.listing = broken
        for _ in range(int(ABSENT_SECONDS / SETTINGS.poll_period) + 2):
            await fleet.step()
        assert fleet.states() == {ServerState.LIVE}


async def test_a_server_that_left_the_list_is_gone_and_may_come_back(
    fleet: Fleet,
) -> None:
    await fleet.step()
    fleet.platform.listing = [make_listed("engine-2")]
    await fleet.step()
    assert fleet.states() == {ServerState.LIVE}
    for _ in range(int(ABSENT_SECONDS / SETTINGS.poll_period) + 2):
        await fleet.step()
    assert fleet.states() == {ServerState.GONE}
    fleet.platform.listing = [make_listed(), make_listed("engine-2")]
    await fleet.step()
    assert fleet.states() == {ServerState.LIVE}


async def test_a_host_that_hears_nothing_polls_by_itself(fleet: Fleet) -> None:
    # A host is cut off from its peers. Without this it would send work to
    # servers that have long gone.
    await fleet.step()
    lonely = next(n for n in range(8) if not fleet.watchers[n].must_poll())
    for view in fleet.views:
        view.linked_fakes = []
    for _ in range(30):
        fleet.clock.now += SETTINGS.poll_period
    assert fleet.watchers[lonely].must_poll()


async def test_a_host_hears_of_its_own_reclaim(fleet: Fleet) -> None:
    # The hosts that poll are others than the one that the cloud takes back.
    await fleet.step()
    at = fleet.clock.now + 5
    fleet.platform.notices = [ReclaimNotice("host-5", at)]
    for _ in range(3):
        await fleet.step()
    assert fleet.own_notices == [(5, at)]
