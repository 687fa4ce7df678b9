"""Tests of streams while servers of several software versions serve side by side."""

import time
from contextlib import AsyncExitStack
from dataclasses import replace

import pytest
import trio

from dewridge.gateway import streams
from dewridge.gateway.model import ServerVersion
from dewridge.gateway.reports import RolloutProgress
from dewridge.gateway.weighing import make_choice
from dewridge.policy.choice import Placement
from dewridge.policy.rollouts import Stage
from dewridge.tests.gateway.crashing_tests import make_job
from dewridge.tests.gateway.moving_tests import connect_departures
from dewridge.tests.gateway.pushback import open_fleet
from dewridge.tests.gateway.versionedengines import (
    EVENT_SECONDS,
    Stream,
    VersionedEngines,
    begin_stream,
    resume_stream,
)
from dewridge.tests.gateway.world import (
    ENGINE,
    PLAIN,
    ServerExchange,
    World,
    answer_ok,
    open_world,
)

STREAMS = 16
ROLLOUT_SECONDS = 30.0
VERSIONS = ("v1", "v1.1")


def make_progress(stage: Stage) -> RolloutProgress:
    """Return the progress of a rollout of the second version."""
    target = ServerVersion(VERSIONS[1])
    return RolloutProgress(
        ENGINE, target, 1, stage, 0.5, ordered_at=time.time(), duration=ROLLOUT_SECONDS
    )


async def add_engines(world: World) -> VersionedEngines:
    """Start two engines of each version that one gateway knows."""
    engines = VersionedEngines(world.add_server)
    for version in VERSIONS:
        for number in range(2):
            server = await engines.add(f"{version}-{number}", version)
            record = world.state.servers.find(server.id)
            assert record is not None
            engines.record_address(record.address, version)
    return engines


async def run_streams(world: World, path: str = "/chat/a") -> list[Stream]:
    """Run streams side by side to their end."""
    results: list[Stream] = []

    async def run(number: int) -> None:
        results.append(await begin_stream(world, f"a-{number}", 3.0, path))

    async with trio.open_nursery() as nursery:
        for number in range(STREAMS):
            nursery.start_soon(run, number)
    return results


async def test_a_stream_is_retried_at_the_version_that_began_it() -> None:
    """Guards against joining events of two versions when a server crashes."""
    async with open_world(retry_slack=100) as world:
        engines = await add_engines(world)

        async def crash() -> None:
            await engines.wait_for_streams(STREAMS)
            await trio.sleep(4 * EVENT_SECONDS)
            for version in VERSIONS:
                engines.crash(version)

        world.nursery.start_soon(crash)
        results = await run_streams(world)
    assert all(len(stream.events) > 5 for stream in results)
    assert [stream for stream in results if len(stream.versions) > 1] == []


async def test_a_stream_is_moved_to_the_version_that_began_it() -> None:
    """Guards against moving engine memory to a server of another version."""
    async with open_world(retry_slack=100) as world:
        connect_departures(world)
        engines = await add_engines(world)

        async def reclaim() -> None:
            await engines.wait_for_streams(STREAMS)
            await trio.sleep(3 * EVENT_SECONDS)
            now = trio.current_time()
            for version in VERSIONS:
                leaving = engines.servers[version][0]
                notice = streams.MOVE_LEAD_TIME + 0.05
                world.state.servers.drop(leaving.id, now, "it drains", notice)

        world.nursery.start_soon(reclaim)
        results = await run_streams(world, "/draft/a")
    assert len(engines.moves) > 2
    assert [move for move in engines.moves if move[0] != move[1]] == []
    assert [stream for stream in results if len(stream.versions) > 1] == []


async def test_a_stream_goes_on_at_its_version_while_a_rollout_moves_on() -> None:
    """Guards against streams that change their version when a rollout completes."""
    async with open_world(retry_slack=100) as world:
        engines = await add_engines(world)

        async def complete_and_crash() -> None:
            await engines.wait_for_streams(STREAMS)
            await trio.sleep(4 * EVENT_SECONDS)
            world.state.rollouts.apply_progress(make_progress(Stage.COMPLETED))
            engines.crash("v1")

        world.nursery.start_soon(complete_and_crash)
        results = await run_streams(world)
    assert all(stream.is_whole for stream in results)
    assert [stream for stream in results if len(stream.versions) > 1] == []
    assert {min(stream.versions) for stream in results} == set(VERSIONS)


async def test_streams_of_a_reverted_version_are_not_sent_to_it_again() -> None:
    """Guards against requests at a bad version, and against joining it to another."""
    async with open_world(retry_slack=100) as world:
        engines = await add_engines(world)

        async def revert_and_crash() -> None:
            await engines.wait_for_streams(STREAMS)
            await trio.sleep(4 * EVENT_SECONDS)
            world.state.rollouts.apply_progress(make_progress(Stage.REVERTED))
            engines.crash("v1.1")

        world.nursery.start_soon(revert_and_crash)
        results = await run_streams(world)
    cut = [stream for stream in results if not stream.is_whole]
    assert cut
    assert {version for stream in cut for version in stream.versions} == {"v1.1"}
    assert [stream for stream in results if len(stream.versions) > 1] == []


async def test_a_record_that_changes_its_version_moves_no_stream() -> None:
    """Guards against a stream that follows the record of its server to a version."""
    async with open_world(retry_slack=100) as world:
        engines = await add_engines(world)

        async def change_and_crash() -> None:
            await engines.wait_for_streams(STREAMS)
            await trio.sleep(4 * EVENT_SECONDS)
            for server in engines.servers["v1"]:
                record = world.state.servers.find(server.id)
                assert record is not None
                changed = replace(record, version=ServerVersion("v9"))
                world.state.servers.update(changed, trio.current_time())
            engines.crash("v1")

        world.nursery.start_soon(change_and_crash)
        results = await run_streams(world)
    assert [stream for stream in results if len(stream.versions) > 1] == []
    assert any(not stream.is_whole for stream in results)


async def test_requests_that_are_no_resumable_streams_go_to_any_version() -> None:
    """Guards against refusing requests that a version has no meaning for."""

    async def fail(exchange: ServerExchange) -> None:
        await exchange.answer(b"failed", 500)

    async with open_world(retry_slack=100) as world:
        await world.add_server("p-1", fail, PLAIN, "v1")
        await world.add_server("p-2", answer_ok, PLAIN, "v2")
        extra = "Resumes: a-0\r\nLast-Event-Id: 3\r\n"
        plain = [await world.request("/read/a", extra=extra) for _ in range(8)]
        engines = await add_engines(world)
        draft = await world.request("/draft/a", extra=extra)
        received = [
            exchange.headers.get(b"resumes")
            for servers in engines.servers.values()
            for server in servers
            for exchange in server.received
        ]
    assert [answer.status for answer in plain] == [200] * 8
    assert draft.status == 200
    assert received == [b"a-0"]


async def test_a_server_that_started_again_gets_no_stream_of_its_old_version() -> None:
    """Guards against a server that is back under its name with another version."""
    async with open_world(retry_slack=100) as world:
        engines = await add_engines(world)
        for record in world.state.servers.list_service(ENGINE):
            known = replace(record, started_at_ms=1)
            world.state.servers.update(known, trio.current_time())
        restarted = engines.servers["v1"][0]
        engines.started_at_ms = 2
        world.state.versions.doubtful_servers.add(restarted.id)
        results = await run_streams(world)
        runs = [one for one in restarted.received if b"/chat/" in one.target]
        left = world.state.servers.find(restarted.id)
    assert runs == []
    assert left is None
    assert all(stream.is_whole for stream in results)


@pytest.mark.parametrize("version", VERSIONS)
async def test_prefixes_are_copied_from_servers_of_the_same_version(
    version: str,
) -> None:
    """Guards against an engine that reads the cache of another version."""
    async with open_world() as world:
        await add_engines(world)
        now = trio.current_time()
        records = world.state.servers.list_service(ENGINE)
        holders = {record.id: record for record in records}
        others = {id: one for id, one in holders.items() if one.version != version}
        addresses = {one.address for one in records if one.version == version}
        job = make_job(world, b"")
        copied_from = set()
        for record in records:
            if record.version != version:
                continue
            placement = Placement(record.id, 100)
            choice = make_choice(world.state, job, placement, others, now)
            assert choice is not None and choice.cache_holder is None
            choice = make_choice(world.state, job, placement, holders, now)
            assert choice is not None
            copied_from.add(choice.cache_holder)
    assert copied_from - {None}
    assert copied_from - {None} <= addresses


async def test_a_stream_is_resumed_at_any_host_at_the_version_that_began_it() -> None:
    """Guards against joining events of two versions over a caller's attempts."""
    async with AsyncExitStack() as stack:
        fleet = await open_fleet(stack, 3)
        engines = VersionedEngines(fleet.add_server)
        for version in VERSIONS:
            for number in range(2):
                await engines.add(f"{version}-{number}", version)
        results: list[Stream] = []

        async def run(number: int) -> None:
            first, second = fleet.worlds[number % 3], fleet.worlds[(number + 1) % 3]
            stream = await begin_stream(first, f"a-{number}", 6 * EVENT_SECONDS)
            results.append(stream)
            await resume_stream(second, stream, f"b-{number}")

        async with trio.open_nursery() as nursery:
            for number in range(STREAMS):
                nursery.start_soon(run, number)
    assert [stream for stream in results if len(stream.versions) > 1] == []
    assert all(stream.is_whole for stream in results)
