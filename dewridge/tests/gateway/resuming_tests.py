"""Tests of streams that callers resume at hosts that know little of them."""

from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, replace

import trio

from dewridge.digests import make_release
from dewridge.gateway.clock import read_boot_clock
from dewridge.gateway.model import Account, AccountKey
from dewridge.gateway.versions.copies import (
    MIN_WRITE_PERIOD,
    StreamCopies,
    make_key,
)
from dewridge.gateway.versions.freshness import ConfirmedBy
from dewridge.gateway.versions.origins import find_only_release
from dewridge.ids import ClientAccount, HostId
from dewridge.policy.streamversions import (
    MAX_VIEW_AGE,
    MAX_VIEW_GAP,
    ReleaseHistory,
)
from dewridge.tests.gateway.memorystore import MemoryStore, StoreData
from dewridge.tests.gateway.pushback import Fleet, open_fleet
from dewridge.tests.gateway.versionedengines import (
    EVENT_SECONDS,
    Stream,
    VersionedEngines,
    begin_stream,
    resume_stream,
)
from dewridge.tests.gateway.world import (
    ENGINE,
    KEY,
    World,
    make_configuration,
    make_request,
    read_answer,
)

PART = 6 * EVENT_SECONDS
"""Seconds after which the callers' first connections break."""
VERSIONS = ("v1", "v1.1")
WRITES_PER_SECOND = 400.0


@dataclass
class Scene:
    """Gateways, and engines of some versions that all of them know."""

    fleet: Fleet
    engines: VersionedEngines

    @property
    def worlds(self) -> list[World]:
        """The gateways."""
        return self.fleet.worlds

    def silence(self, number: int) -> None:
        """End a gateway for all others."""
        host = self.worlds[number].state.host
        self.fleet.silent.add(host)
        self.fleet.network.silent.add(self.find_address(number))
        for world in self.worlds:
            world.state.versions.check_replicas()

    def find_address(self, number: int) -> str:
        """Return the address of a gateway for messages."""
        return list(self.fleet.network.links)[number]

    def forget(self, number: int) -> None:
        """Restart a gateway: it has no memory of streams or versions."""
        versions = self.worlds[number].state.versions
        now = trio.current_time()
        versions.ledger = type(versions.ledger)()
        versions.history = ReleaseHistory(complete_since=now)
        versions.record_servers(self.worlds[number].state.servers.list_all(), now)

    def leave(self, version: str, notice: float | None) -> None:
        """Have all engines of a version leave."""
        now = trio.current_time()
        for server in self.engines.servers[version]:
            for world in self.worlds:
                world.state.servers.drop(server.id, now, "it left", notice)


async def open_scene(
    stack: AsyncExitStack, versions: tuple[str, ...] = VERSIONS, hosts: int = 4
) -> Scene:
    """Start gateways that know each other, and two engines of each version.

    The gateways have seen all versions since the first start of the deployment.
    """
    fleet = await open_fleet(stack, hosts)
    for world in fleet.worlds:
        world.state.versions.history.complete_since = float("-inf")
    scene = Scene(fleet, VersionedEngines(fleet.add_server))
    for version in versions:
        for number in range(2):
            await scene.engines.add(f"{version}-{number}", version)
    return scene


def connect_store(scene: Scene, data: StoreData) -> list[StreamCopies]:
    """Have all gateways keep copies in a store."""
    connected = []
    for number, world in enumerate(scene.worlds):
        key = make_key(HostId(f"host-{number}"), 1)
        copies = StreamCopies(
            world.state.versions, MemoryStore(data), key, lambda: 4, WRITES_PER_SECOND
        )
        world.state.versions.on_mixed = copies.handle_mixed
        world.state.find_stored_origin = copies.find
        world.nursery.start_soon(copies.run)
        world.state.versions.record_servers(
            world.state.servers.list_all(), trio.current_time()
        )
        connected.append(copies)
    return connected


async def begin_streams(
    scene: Scene, count: int, seconds: float = PART
) -> list[Stream]:
    """Start streams at one gateway whose connections break in the middle."""
    streams: list[Stream] = []

    async def begin(number: int) -> None:
        attempt = f"a-{number}"
        streams.append(await begin_stream(scene.worlds[0], attempt, seconds))

    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(begin, number)
    return streams


async def resume_all(
    scene: Scene, streams: list[Stream], choose_host: Callable[[int], int]
) -> None:
    """Resume streams at the same time."""
    async with trio.open_nursery() as nursery:
        for number, stream in enumerate(streams):
            world = scene.worlds[choose_host(number)]
            nursery.start_soon(resume_stream, world, stream, f"b-{number}")


async def test_streams_of_a_killed_host_go_on_at_their_version() -> None:
    """Guards against losing the versions of streams with the host that ran them."""
    async with AsyncExitStack() as stack:
        scene = await open_scene(stack)
        streams = await begin_streams(scene, 12)
        scene.silence(0)
        await resume_all(scene, streams, lambda number: 1 + number % 3)
    assert all(len(stream.versions) == 1 for stream in streams)
    assert all(stream.is_whole for stream in streams)


async def test_streams_of_a_leaving_host_are_kept_by_others() -> None:
    """Guards against a host that gets no reports any more and has no replicas then."""
    async with AsyncExitStack() as stack:
        scene = await open_scene(stack)
        leaving = next(iter(scene.fleet.network.links.values()))
        leaving._list_live_hosts = list
        streams = await begin_streams(scene, 6)
        scene.silence(0)
        await resume_all(scene, streams, lambda number: 1 + number % 3)
    assert all(stream.is_whole for stream in streams)
    assert all(len(stream.versions) == 1 for stream in streams)


async def test_streams_go_on_after_their_host_and_a_replica_were_killed() -> None:
    """Guards against a single replica that ends together with the host."""
    async with AsyncExitStack() as stack:
        scene = await open_scene(stack)
        streams = await begin_streams(scene, 8)
        scene.silence(0)
        scene.silence(1)
        await resume_all(scene, streams, lambda number: 2 + number % 2)
    assert all(stream.is_whole for stream in streams)
    assert all(len(stream.versions) == 1 for stream in streams)


async def test_streams_go_on_after_all_hosts_were_killed() -> None:
    """Guards against refusing all resumed streams after the loss of all memory."""
    async with AsyncExitStack() as stack:
        scene = await open_scene(stack)
        connect_store(scene, StoreData())
        scene.engines.event_seconds = 3 * EVENT_SECONDS
        # The running streams are written once a second.
        streams = await begin_streams(scene, 8, seconds=1.25)
        for number in range(4):
            scene.forget(number)
        await resume_all(scene, streams, lambda number: number % 4)
    assert all(stream.is_whole for stream in streams)
    assert all(len(stream.versions) == 1 for stream in streams)


async def test_the_copy_is_written_again_after_the_store_was_restored() -> None:
    """Guards against a lost copy, or a host that ends, after a restore."""
    async with AsyncExitStack() as stack:
        scene = await open_scene(stack)
        data = StoreData()
        copies = connect_store(scene, data)
        await trio.sleep(0.1)
        written = set(data.items)
        data.items.clear()
        data.leases.clear()
        for copy in copies:
            copy.handle_restore()
        await trio.sleep(MIN_WRITE_PERIOD + 0.3)
    assert len(written) == 4
    assert set(data.items) == written


async def test_one_version_is_known_after_all_hosts_were_killed() -> None:
    """Guards against refusing all resumed streams although only one version served."""
    async with AsyncExitStack() as stack:
        scene = await open_scene(stack, ("v1",))
        connect_store(scene, StoreData())
        streams = await begin_streams(scene, 4)
        for number in range(4):
            scene.forget(number)
        await resume_all(scene, streams, lambda number: number % 4)
    assert all(stream.is_whole for stream in streams)


async def test_a_stream_that_nobody_knows_is_refused() -> None:
    """Guards against a guess of the version by a host that knows nothing."""
    async with AsyncExitStack() as stack:
        scene = await open_scene(stack)
        streams = await begin_streams(scene, 6)
        for number in range(4):
            scene.forget(number)
        await resume_all(scene, streams, lambda number: number % 4)
    assert [stream.status for stream in streams] == [503] * 6
    assert all(len(stream.versions) == 1 for stream in streams)


async def test_a_restarted_host_learns_from_peers_that_there_is_one_version() -> None:
    """Guards against refusing streams of a service that has always had one version."""
    async with AsyncExitStack() as stack:
        scene = await open_scene(stack, ("v1",))
        streams = await begin_streams(scene, 4)
        scene.silence(0)
        scene.forget(1)
        await resume_all(scene, streams, lambda number: 1)
    assert all(stream.is_whole for stream in streams)


async def test_a_service_with_one_version_costs_no_message() -> None:
    """Guards against messages and calls of the store for streams of one version."""
    async with AsyncExitStack() as stack:
        scene = await open_scene(stack, ("v1",))
        data = StoreData()
        connect_store(scene, data)
        streams = await begin_streams(scene, 6)
        await resume_all(scene, streams, lambda number: 1 + number % 3)
        await trio.sleep(0.1)
    assert all(stream.is_whole for stream in streams)
    assert scene.fleet.network.sent == 0
    assert not data.items


async def test_streams_from_before_the_second_version_are_known() -> None:
    """Guards against streams that began before anything was sent to other hosts."""
    async with AsyncExitStack() as stack:
        scene = await open_scene(stack, ("v1",))
        async with trio.open_nursery() as nursery:
            streams: list[Stream] = []

            async def begin(number: int) -> None:
                attempt = f"a-{number}"
                streams.append(await begin_stream(scene.worlds[0], attempt, PART))

            for number in range(6):
                nursery.start_soon(begin, number)
            await trio.sleep(2 * EVENT_SECONDS)
            for number in range(2):
                await scene.engines.add(f"v2-{number}", "v2")
        scene.silence(0)
        await resume_all(scene, streams, lambda number: 1 + number % 3)
    assert all(stream.is_whole for stream in streams)
    assert {version for stream in streams for version in stream.versions} == {"v1"}


def make_account() -> Account:
    """Return the account of the test's callers."""
    configuration = make_configuration()
    return configuration.accounts[KEY]


def ignore(requested_at: float) -> None:
    """Stand in for a confirmation that never arrives."""


def cut_off(scene: Scene, number: int) -> None:
    """Cut a gateway off from the store, some time ago."""
    state = scene.worlds[number].state
    scene.fleet.without_store.add(state.host)
    state.versions.view.confirmed_at = read_boot_clock() - MAX_VIEW_AGE - 1


async def test_a_host_with_an_old_view_asks_before_it_names_the_only_version() -> None:
    """Guards against a frozen or partitioned host that missed the second version."""
    async with AsyncExitStack() as stack:
        scene = await open_scene(stack)
        streams = await begin_streams(scene, 8)
        outdated = scene.worlds[1].state
        history = ReleaseHistory(complete_since=float("-inf"))
        history.record(ENGINE, "v1", trio.current_time())
        outdated.versions.history = history
        outdated.versions.ledger = type(outdated.versions.ledger)()
        confirmed_at = read_boot_clock() - MAX_VIEW_AGE - 1
        outdated.configuration.confirmed_at = confirmed_at
        outdated.configuration.confirm = ignore  # type: ignore[method-assign]
        cut_off(scene, 1)
        await resume_all(scene, streams, lambda number: 1)
    assert all(len(stream.versions) == 1 for stream in streams)


async def test_a_host_that_was_frozen_may_have_missed_a_version() -> None:
    """Guards against a version that came and went while a host was frozen."""
    async with AsyncExitStack() as stack:
        scene = await open_scene(stack, ("v1",))
        state = scene.worlds[1].state
        view = state.versions.view
        now = read_boot_clock()
        view.confirm(now, ConfirmedBy.STORE)
        view.confirm(now + MAX_VIEW_GAP, ConfirmedBy.STORE)
        before = find_only_release(state, ENGINE)
        view.confirm(now + 2 * MAX_VIEW_GAP + 0.1, ConfirmedBy.PEER)
        after = find_only_release(state, ENGINE)
    assert before == make_release(ENGINE, "v1")
    assert after is None


async def test_one_version_is_known_while_the_store_is_down_for_all() -> None:
    """Guards against refusing resumed streams in an outage of the store."""
    async with AsyncExitStack() as stack:
        scene = await open_scene(stack, ("v1",))
        streams = await begin_streams(scene, 4)
        scene.silence(0)
        for world in scene.worlds[1:]:
            world.state.configuration.confirm = ignore  # type: ignore[method-assign]
            confirmed_at = read_boot_clock() - MAX_VIEW_AGE - 1
            world.state.configuration.confirmed_at = confirmed_at
        for number in range(4):
            cut_off(scene, number)
        await resume_all(scene, streams, lambda number: 1 + number % 3)
    assert all(stream.is_whole for stream in streams)


async def test_callers_return_if_the_peers_that_may_know_do_not_answer() -> None:
    """Guards against a final refusal by a host that is cut off from its peers."""
    async with AsyncExitStack() as stack:
        scene = await open_scene(stack)
        streams = await begin_streams(scene, 4)
        scene.forget(3)
        scene.fleet.network.silent.add(scene.find_address(3))
        await resume_all(scene, streams, lambda number: 3)
        statuses = [stream.status for stream in streams]
        waits = [float(stream.headers[b"retry-after"]) for stream in streams]
        scene.fleet.network.silent.clear()
        await resume_all(scene, streams, lambda number: 3)
    assert statuses == [503] * 4
    assert max(waits) < 1.0
    assert all(stream.is_whole for stream in streams)
    assert all(len(stream.versions) == 1 for stream in streams)


async def test_overlapping_attempts_are_streams_of_their_own() -> None:
    """Guards against two attempts of one request that are taken for one stream."""
    async with AsyncExitStack() as stack:
        scene = await open_scene(stack)
        streams: list[Stream] = []

        async def begin(number: int) -> None:
            world = scene.worlds[number % 2]
            streams.append(await begin_stream(world, f"a-{number}", PART))

        async with trio.open_nursery() as nursery:
            for number in range(12):
                nursery.start_soon(begin, number)
        await resume_all(scene, streams, lambda number: 2 + number % 2)
    assert all(stream.is_whole for stream in streams)
    assert all(len(stream.versions) == 1 for stream in streams)
    assert {min(stream.versions) for stream in streams} == set(VERSIONS)


async def test_another_accounts_stream_looks_like_one_that_was_never_sent() -> None:
    """Guards against an account that finds out which streams another one has."""
    async with AsyncExitStack() as stack:
        scene = await open_scene(stack)
        await begin_streams(scene, 1)
        for world in scene.worlds:
            account = replace(make_account(), name=ClientAccount("account-2"))
            configuration = world.state.configuration.current
            assert configuration is not None
            accounts = {**configuration.accounts, AccountKey("key-2"): account}
            changed = replace(configuration, version=2, accounts=accounts)
            world.state.configuration.apply(changed)
        answers = []
        for attempt in ("a-0", "never-sent"):
            extra = f"Resumes: {attempt}\r\nLast-Event-Id: 2\r\n"
            connection = await scene.worlds[0].connect()
            async with connection:
                await connection.send_all(
                    make_request("/chat/a", key="key-2", extra=extra)
                )
                answers.append(await read_answer(connection))
    assert [answer.status for answer in answers] == [503, 503]
    assert answers[0].body == answers[1].body
    assert answers[0].headers.keys() == answers[1].headers.keys()


async def send(world: World, extra: str, request_id: str = "r-1") -> int:
    """Send a request to the resumable route and return the status."""
    connection = await world.connect()
    async with connection:
        request = make_request("/chat/a", request_id=request_id, extra=extra)
        await connection.send_all(request)
        return (await read_answer(connection)).status


async def test_odd_resumptions_are_refused_and_start_nothing() -> None:
    """Guards against headers that make a host guess or fail."""
    long_id = "x" * 4000
    odd = [
        "Last-Event-Id: 3\r\n",
        "Resumes: a-0\r\nResumes: a-1\r\nLast-Event-Id: 3\r\n",
        "Resumes: \r\nLast-Event-Id: 3\r\n",
        f"Resumes: {long_id}\r\nLast-Event-Id: 3\r\n",
        "Resumes: never-sent\r\nLast-Event-Id: 3\r\n",
        "Resumes: never-sent\r\n",
    ]
    async with AsyncExitStack() as stack:
        scene = await open_scene(stack)
        await begin_streams(scene, 2)
        runs = sum(
            len(server.received)
            for servers in scene.engines.servers.values()
            for server in servers
        )
        statuses = [await send(scene.worlds[1], extra) for extra in odd]
        after = sum(
            len(server.received)
            for servers in scene.engines.servers.values()
            for server in servers
        )
    assert statuses == [503] * len(odd)
    assert after == runs


async def test_callers_learn_whether_waiting_for_a_version_helps() -> None:
    """Guards against callers that come back for a version that is gone for good."""
    async with AsyncExitStack() as stack:
        scene = await open_scene(stack)
        streams = await begin_streams(scene, 10)
        scene.leave("v1", notice=2.0)
        scene.leave("v1.1", notice=None)
        await resume_all(scene, streams, lambda number: 1)
    assert {stream.status for stream in streams} == {503}
    for stream in streams:
        assert (b"retry-after" in stream.headers) == (stream.versions == {"v1.1"})
    assert {version for stream in streams for version in stream.versions} == {
        "v1",
        "v1.1",
    }


async def test_later_attempts_name_the_first_one_at_any_host() -> None:
    """Guards against a second resumption that is taken for a new stream."""
    async with AsyncExitStack() as stack:
        scene = await open_scene(stack)
        (stream,) = await begin_streams(scene, 1)
        world = scene.worlds[1]
        last = stream.events[-1][0]
        extra = f"Last-Event-Id: {last}\r\nResumes: a-0\r\n"
        connection = await world.connect()
        async with connection:
            await connection.send_all(
                make_request("/chat/a", request_id="b-0", extra=extra)
            )
            await trio.sleep(2 * EVENT_SECONDS)
        scene.silence(0)
        await resume_stream(scene.worlds[2], stream, "c-0")
    assert stream.is_whole
    assert len(stream.versions) == 1
