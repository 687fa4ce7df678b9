"""Tests of streams while servers of several software versions serve side by side."""

from contextlib import AsyncExitStack

import trio

from dewridge.gateway import streams
from dewridge.tests.gateway.moving_tests import connect_departures
from dewridge.tests.gateway.pushback import open_fleet
from dewridge.tests.gateway.versionedengines import (
    EVENT_SECONDS,
    Stream,
    VersionedEngines,
    begin_stream,
    resume_stream,
)
from dewridge.tests.gateway.world import World, open_world

STREAMS = 16
VERSIONS = ("v1", "v1.1")


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
