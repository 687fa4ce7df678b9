"""Tests of streams at hosts whose lists of servers are outdated."""

from collections import Counter
from contextlib import AsyncExitStack
from math import sqrt

import pytest
import trio

from dewridge.digests import make_release
from dewridge.gateway.clock import read_boot_clock
from dewridge.gateway.hosts import HostEntry
from dewridge.gateway.reports import CellReport, Totals
from dewridge.gateway.sharinglink import plan_round
from dewridge.gateway.versions.freshness import ConfirmedBy, VersionView
from dewridge.gateway.versions.origins import find_only_release
from dewridge.ids import FailureDomain, HostId, StreamKey
from dewridge.policy.cells import CellName
from dewridge.policy.streamversions import (
    MAX_VIEW_AGE,
    MAX_VIEW_GAP,
    NEW_VERSION_DELAY,
    Origin,
)
from dewridge.sentinels import Failure
from dewridge.tests.gateway.memorystore import StoreData
from dewridge.tests.gateway.resuming_tests import (
    Scene,
    begin_streams,
    connect_store,
    cut_off,
    open_scene,
    resume_all,
)
from dewridge.tests.gateway.versionedengines import Stream, begin_stream
from dewridge.tests.gateway.world import ENGINE

STREAMS = 12
GOSSIP_TIME = 0.3
"""Seconds in which hosts of a small fleet hear of a version from each other."""


async def open_cut_scene(stack: AsyncExitStack, hosts: int) -> Scene:
    """Start gateways, the last one without the store, and then engines of `v2`.

    Peers confirm the configuration to that gateway, but not its list of servers.
    """
    scene = await open_scene(stack, ("v1",), hosts)
    scene.fleet.without_store.add(scene.worlds[-1].state.host)
    for number in range(2):
        await scene.engines.add(f"v2-{number}", "v2")
    return scene


async def begin_some(scene: Scene, number: int, count: int) -> list[Stream]:
    """Start streams at one gateway and read them to their end."""
    streams: list[Stream] = []

    async def begin(index: int) -> None:
        attempt = f"n-{index}"
        streams.append(await begin_stream(scene.worlds[number], attempt, 3.0))

    async with trio.open_nursery() as nursery:
        for index in range(count):
            nursery.start_soon(begin, index)
    return streams


@pytest.mark.parametrize("hosts", [2, 4, 9])
async def test_streams_go_on_at_their_version_at_a_host_without_the_store(
    hosts: int,
) -> None:
    """Guards against the only version in an outdated list of servers being believed.

    The configuration of the host is current, as peers confirm it.
    """
    async with AsyncExitStack() as stack:
        scene = await open_cut_scene(stack, hosts)
        await trio.sleep(NEW_VERSION_DELAY + GOSSIP_TIME)
        streams = await begin_streams(scene, STREAMS)
        await resume_all(scene, streams, lambda number: hosts - 1)
        age = scene.worlds[-1].state.configuration.age
    assert age < MAX_VIEW_AGE
    assert {version for stream in streams for version in stream.versions} == {
        "v1",
        "v2",
    }
    assert [stream for stream in streams if len(stream.versions) > 1] == []
    assert all(stream.is_whole for stream in streams)


async def test_streams_go_on_at_a_host_whose_peers_only_know_the_version() -> None:
    """Guards against refusing a stream because the store did not show its servers."""
    async with AsyncExitStack() as stack:
        scene = await open_cut_scene(stack, 4)
        await trio.sleep(NEW_VERSION_DELAY + GOSSIP_TIME)
        streams = await begin_streams(scene, STREAMS)
        servers = scene.worlds[-1].state.servers
        for record in servers.list_service(ENGINE):
            if record.version == "v2":
                del servers._records[record.id]
                servers.version += 1
        sent = scene.fleet.network.sent
        await resume_all(scene, streams, lambda number: 3)
        sent = scene.fleet.network.sent - sent
    assert [stream for stream in streams if len(stream.versions) > 1] == []
    assert all(stream.is_whole for stream in streams)
    assert sent < 2 * STREAMS


async def test_new_streams_go_on_at_a_host_that_knows_no_server_any_more() -> None:
    """Guards against refusing all requests until the store is reached again."""
    async with AsyncExitStack() as stack:
        scene = await open_cut_scene(stack, 4)
        scene.leave("v1", notice=2.0)
        streams = await begin_some(scene, 3, STREAMS)
    assert all(stream.is_whole for stream in streams)
    assert {version for stream in streams for version in stream.versions} == {"v2"}


async def test_a_host_that_hears_nobody_does_not_guess() -> None:
    """Guards against the only version by a list that nothing confirms."""
    async with AsyncExitStack() as stack:
        scene = await open_cut_scene(stack, 4)
        scene.fleet.network.silent.add(scene.find_address(3))
        await trio.sleep(NEW_VERSION_DELAY + GOSSIP_TIME)
        streams = await begin_streams(scene, STREAMS)
        await resume_all(scene, streams, lambda number: 3)
    assert [stream for stream in streams if len(stream.versions) > 1] == []
    assert {stream.status for stream in streams} == {503}
    assert all(b"retry-after" in stream.headers for stream in streams)


async def test_peers_confirm_that_there_is_one_version() -> None:
    """Guards against messages for each stream at a host without the store."""
    async with AsyncExitStack() as stack:
        scene = await open_scene(stack, ("v1",))
        cut_off(scene, 3)
        await trio.sleep(GOSSIP_TIME)
        streams = await begin_streams(scene, STREAMS)
        await resume_all(scene, streams, lambda number: 3)
        view = scene.worlds[3].state.versions.view
    assert view.confirmed_by is ConfirmedBy.PEER
    assert all(stream.is_whole for stream in streams)
    assert scene.fleet.network.sent == 0


async def test_a_version_that_came_and_went_is_learned_from_peers() -> None:
    """Guards against a paused host that never saw a version whose streams resume."""
    async with AsyncExitStack() as stack:
        scene = await open_cut_scene(stack, 3)
        scene.fleet.network.silent.add(scene.find_address(2))
        await trio.sleep(GOSSIP_TIME)
        scene.leave("v2", notice=0.0)
        scene.fleet.network.silent.clear()
        scene.fleet.without_store.clear()
        await trio.sleep(GOSSIP_TIME)
        only = find_only_release(scene.worlds[2].state, ENGINE)
    assert only == 0


def test_a_view_is_outdated_after_a_pause(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a host that wakes up and believes what was true before."""
    now = 100.0
    monkeypatch.setattr(
        "dewridge.gateway.versions.freshness.read_boot_clock", lambda: now
    )
    gaps = []
    view = VersionView()
    view.on_gap = lambda: gaps.append(now)
    view.confirm(now, ConfirmedBy.STORE)
    assert view.is_current
    now += MAX_VIEW_GAP + 1
    assert not view.is_current
    view.confirm(now, ConfirmedBy.PEER)
    view.confirm(now - 1, ConfirmedBy.STORE)
    assert view.is_current
    assert gaps == [now]


async def test_versions_pass_between_cells() -> None:
    """Guards against a cell without the store that hears of no new version."""
    async with AsyncExitStack() as stack:
        scene = await open_cut_scene(stack, 3)
        state = scene.worlds[0].state
        report = CellReport(
            state.host,
            state.boot,
            1,
            CellName("cell-2"),
            [state.host],
            [],
            Totals(),
            releases=state.versions.history.compute_digest(trio.current_time()),
        )
        scene.fleet.worlds = []
        receiver = scene.fleet.network.exchanges[HostId("host-2")]
        receiver.compare(report)
        receiver.compare(report)
        await trio.sleep(GOSSIP_TIME)
        seen = receiver._versions.history.list_recent(ENGINE, trio.current_time())
    assert set(seen) == {make_release(ENGINE, "v1"), make_release(ENGINE, "v2")}
    assert scene.fleet.network.sent == 2


async def test_a_view_is_as_old_as_the_peer_that_confirms_it() -> None:
    """Guards against two hosts without the store that confirm each other forever."""
    async with AsyncExitStack() as stack:
        scene = await open_scene(stack, ("v1",), 3)
        for number in range(3):
            cut_off(scene, number)
        await trio.sleep(GOSSIP_TIME)
        ages = [world.state.versions.view.age for world in scene.worlds]
        only = scene.worlds[1].state.versions.view.confirmed_at
    assert min(ages) > MAX_VIEW_AGE + 1
    assert only < read_boot_clock() - MAX_VIEW_AGE


async def test_the_store_names_no_only_version_to_a_host_that_missed_one() -> None:
    """Guards against copies in the store that are judged by an outdated list."""
    async with AsyncExitStack() as stack:
        scene = await open_scene(stack, ("v1",), 2)
        (copies, _) = connect_store(scene, StoreData())
        view = scene.worlds[0].state.versions.view
        current = await copies.find(ENGINE, StreamKey(1))
        scene.fleet.without_store.update(HostId(f"host-{n}") for n in range(2))
        view.confirmed_at = read_boot_clock() - MAX_VIEW_GAP - 1
        copies._read_at = float("-inf")
        outdated = await copies.find(ENGINE, StreamKey(1))
    assert isinstance(current, Origin)
    assert isinstance(outdated, Failure)


@pytest.mark.parametrize("hosts", [2, 9, 17, 73, 195, 440])
def test_a_version_spreads_to_all_hosts_in_few_rounds(hosts: int) -> None:
    """Guards against hosts of a large fleet that hear late of a version.

    One host reads it from the store. A host that gets a report with other versions
    exchanges them, and sends its next round at once.
    """
    entries = {
        host: HostEntry(host, 1, "", "", FailureDomain(f"d-{number % 7}"), True)
        for number in range(hosts)
        if (host := HostId(f"host-{number}"))
    }
    informed = {HostId("host-0")}
    exchanges: Counter[HostId] = Counter()
    for number in range(4):
        for sender in sorted(informed):
            others = {host: one for host, one in entries.items() if host != sender}
            plan = plan_round(others, sender, entries[sender].failure_domain, number)
            for receiver in [*plan.cell_peers, *plan.receivers]:
                if receiver.id not in informed:
                    exchanges[receiver.id] += 1
                    exchanges[sender] += 1
        informed |= set(exchanges)
        if len(informed) == hosts:
            break
    assert len(informed) == hosts
    assert number <= 2
    assert max(exchanges.values()) <= 3 * sqrt(hosts) + 16
