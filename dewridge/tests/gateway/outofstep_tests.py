"""Tests of hosts that were out of step while servers of a new version came."""

import random
from collections.abc import Callable, Iterator
from contextlib import AsyncExitStack, contextmanager
from dataclasses import dataclass, field, replace
from enum import Enum

import msgspec
import pytest
import trio
import trio.testing

from dewridge.digests import make_release, make_stream_key
from dewridge.gateway.clock import read_boot_clock
from dewridge.gateway.hosts import HostEntry
from dewridge.gateway.reports import (
    StreamVersionAnswer,
    StreamVersionMessage,
    StreamVersionQuery,
)
from dewridge.gateway.state import GatewayState
from dewridge.gateway.versions.copies import StoredStreams, StreamCopies
from dewridge.gateway.versions.freshness import ConfirmedBy
from dewridge.gateway.versions.link import VersionLink
from dewridge.gateway.versions.origins import find_only_release, search_origin
from dewridge.gateway.versions.records import StreamVersions
from dewridge.gateway.watching import StoreWatcher
from dewridge.ids import FailureDomain, HostId, Release, ServiceName, StreamKey
from dewridge.platform.names import SERVERS_PREFIX
from dewridge.platform.store import Listing
from dewridge.policy.streamversions import (
    MAX_VIEW_AGE,
    NEW_VERSION_DELAY,
    Origin,
    OriginSource,
    ReleaseHistory,
    StreamLedger,
)
from dewridge.sentinels import Failure
from dewridge.tests.gateway.crashing_tests import make_job
from dewridge.tests.gateway.memorystore import COMPACTED, MemoryStore, StoreData
from dewridge.tests.gateway.resuming_tests import (
    begin_streams,
    open_scene,
    resume_all,
)
from dewridge.tests.gateway.versionedengines import resume_stream
from dewridge.tests.gateway.world import (
    ACCOUNT,
    ENGINE,
    ServerExchange,
    make_configuration,
    make_state,
    open_world,
)

OLD, NEW = "v1", "v2"
JOINED_AFTER = 0.1
"""Seconds after the host lost touch at which the first server of the new version
registers."""
STREAMS = 12
ANSWER_TIME = 0.01
"""Half of the seconds that the answer of the store takes to arrive."""
SAMPLE_PERIOD = 0.002
OBSERVED = 6.0
"""Seconds after the return of the host for which it is observed."""


class Fate(Enum):
    """What becomes of the servers of the new version before the host is back."""

    STAYS = "stays"
    DRAINS = "drains"
    LEAVES = "leaves"
    RETURNS_OLD = "comes back under its name with the old version"


class Absence(Enum):
    """How the host is out of step."""

    CUT = "cut off from the store"
    STILL = "stands still"
    SUSPENDED = "stands still, and the monotonic clock with it"


class HistoryStore(MemoryStore):
    """A client whose store may have lost its history.

    Attributes:
        is_compacted: whether watches are answered that the history is gone.
    """

    is_compacted = False

    async def watch(
        self,
        prefix: str,
        after: int,
        wait: float,
        on_begin: Callable[[int | None], None] | None = None,
    ) -> Listing | Failure:
        """Wait for changes."""
        if self.is_compacted:
            return COMPACTED
        return await super().watch(prefix, after, wait, on_begin)


@dataclass
class BootClock:
    """The boot clock of a host whose monotonic clock may have stopped.

    Attributes:
        suspended: seconds for which the monotonic clock stopped.
    """

    suspended: float = 0.0

    def read(self) -> float:
        """Return the seconds since the boot."""
        return trio.current_time() + self.suspended


@contextmanager
def replace_boot_clock() -> Iterator[BootClock]:
    """Have the boot clock follow the test's clock."""
    clock = BootClock()
    with pytest.MonkeyPatch.context() as patch:
        for module in ("watching", "versions.freshness", "versions.copies"):
            name = f"dewridge.gateway.{module}.read_boot_clock"
            patch.setattr(name, clock.read, raising=False)
        yield clock


@dataclass
class FollowingHost:
    """A host that follows the servers of the store.

    Attributes:
        data: the store.
        state: the state of the host, which has seen all versions since the first start.
        clients: the clients of the store for reads and for watches.
        named: samples in which the host named the old version as the only one.
    """

    data: StoreData = field(default_factory=StoreData)
    state: GatewayState = field(init=False)
    clients: list[HistoryStore] = field(init=False)
    named: int = 0

    def __post_init__(self) -> None:
        """Create the state of the host."""
        self.clients = [HistoryStore(self.data), HistoryStore(self.data)]
        state = make_state(make_configuration(), started_at=trio.current_time())
        state.versions.history.complete_since = float("-inf")
        self.follow(state)

    def follow(self, state: GatewayState) -> None:
        """Create the watcher of a state as the composition root does."""
        self.state = state
        self.watcher = StoreWatcher(
            self.clients[0],
            self.clients[1],
            state.configuration,
            state.servers,
            lambda: 4,
            400.0,
            random.Random(1),
            version_view=state.versions.view,
        )

    def write(
        self,
        name: str,
        version: str,
        state: str = "ready",
        born: int | None = None,
        address: str = "127.0.0.1:9",
    ) -> None:
        """Write a server's record."""
        record = {
            "service": ENGINE,
            "address": address,
            "slots": 8,
            "state": state,
            "version": version,
            "born": born,
        }
        self.clients[0].write(f"{SERVERS_PREFIX}{name}", msgspec.json.encode(record))

    def end_new_version(self, fate: Fate) -> None:
        """Have the server of the new version end as a release that is taken back."""
        match fate:
            case Fate.DRAINS:
                self.write("s-2", NEW, "draining", born=2)
            case Fate.LEAVES:
                self.clients[0].remove(f"{SERVERS_PREFIX}s-2")
            case Fate.RETURNS_OLD:
                self.clients[0].remove(f"{SERVERS_PREFIX}s-2")
                self.write("s-2", OLD, born=3)

    def set_down(self, *, is_down: bool) -> None:
        """Cut the host off from the store, or have it reach the store again."""
        for client in self.clients:
            client.is_down = is_down

    def names_old(self) -> bool:
        """Return whether an unknown stream would be sent to the old version."""
        if not self.state.versions.view.is_current:
            return False
        return find_only_release(self.state, ENGINE) == make_release(ENGINE, OLD)

    async def wait_until_current(self) -> None:
        """Wait until the host has read the list of servers, 3 s at most."""
        for _ in range(300):
            if self.state.versions.view.is_current:
                return
            await trio.sleep(0.01)

    async def observe(self, seconds: float) -> None:
        """Count the samples in which the host names the old version."""
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            await trio.sleep(SAMPLE_PERIOD)
            self.named += self.names_old()


@pytest.mark.parametrize("fate", Fate)
@pytest.mark.parametrize("is_compacted", [False, True])
@pytest.mark.parametrize("absence", Absence)
@pytest.mark.parametrize("seconds", [1.5, 2.0, 3.5, 5.0, 8.0])
async def test_a_host_names_no_only_version_after_it_missed_one(
    autojump_clock: trio.testing.MockClock,
    fate: Fate,
    absence: Absence,
    seconds: float,
    is_compacted: bool,
) -> None:
    """Guards against a current list of servers that does not show a recent version.

    Streams of the new version began at other hosts 1 s after it came. All servers of
    the old version are there all the time.
    """
    with replace_boot_clock() as boot_clock:
        host = FollowingHost()
        host.write("s-0", OLD)
        host.write("s-1", OLD)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(host.watcher.poll_servers)
            nursery.start_soon(host.watcher.watch_servers)
            await host.observe(10.0)
            named_before = host.named
            if absence is Absence.CUT:
                host.set_down(is_down=True)
                await trio.sleep(JOINED_AFTER)
                host.write("s-2", NEW, born=2)
                await host.observe(0.8 * (seconds - JOINED_AFTER))
                host.named = 0
                host.end_new_version(fate)
                await host.observe(0.2 * (seconds - JOINED_AFTER))
                host.set_down(is_down=False)
            else:
                host.write("s-2", NEW, born=2)
                host.end_new_version(fate)
                if absence is Absence.STILL:
                    autojump_clock.jump(seconds)
                else:
                    boot_clock.suspended += seconds
                host.named = int(host.names_old())
            for client in host.clients:
                client.is_compacted = is_compacted
            await host.observe(OBSERVED)
            nursery.cancel_scope.cancel()
    assert named_before > 0
    assert seconds > NEW_VERSION_DELAY
    assert host.named == 0


async def test_streams_of_a_version_that_left_again_are_not_joined() -> None:
    """Guards against a host that missed a version and takes its streams for old ones.

    The host is cut off from the store for more than 1 s, and from its peer for longer.
    """
    async with AsyncExitStack() as stack:
        scene = await open_scene(stack, (OLD,), 2)
        scene.fleet.without_store.add(scene.worlds[1].state.host)
        host = FollowingHost()
        host.follow(scene.worlds[1].state)
        for record in scene.worlds[0].state.servers.list_service(ENGINE):
            host.write(record.name, OLD, address=record.address)
        scene.worlds[1].nursery.start_soon(host.watcher.poll_servers)
        scene.worlds[1].nursery.start_soon(host.watcher.watch_servers)
        await trio.sleep(0.2)
        scene.fleet.network.silent.add(scene.find_address(1))
        host.set_down(is_down=True)
        joined = await scene.engines.add("n-0", NEW)
        host.write(joined.id, NEW)
        await trio.sleep(NEW_VERSION_DELAY + 0.1)
        streams = await begin_streams(scene, STREAMS)
        begun = {version for stream in streams for version in stream.versions}
        now = trio.current_time()
        scene.worlds[0].state.servers.drop(joined.id, now, "it left", 0.0)
        host.clients[0].remove(f"{SERVERS_PREFIX}{joined.id}")
        host.set_down(is_down=False)
        await host.wait_until_current()
        await resume_all(scene, streams, lambda number: 1)
        joined_streams = [one for one in streams if len(one.versions) > 1]
        scene.fleet.network.silent.clear()
        rest = [stream for stream in streams if not stream.is_whole]
        await resume_all(scene, rest, lambda number: 1)
    assert begun == {OLD, NEW}
    assert joined_streams == []
    assert {stream.is_whole for stream in streams if OLD in stream.versions} == {True}
    assert [stream for stream in streams if len(stream.versions) > 1] == []


class SlowStore(MemoryStore):
    """A client whose answers to lists take some time to arrive."""

    async def list_items(
        self,
        prefix: str,
        *,
        allow_stale: bool = False,
        on_begin: Callable[[int | None], None] | None = None,
    ) -> Listing | Failure:
        """Read all keys under a prefix."""
        listing = await super().list_items(prefix, allow_stale=allow_stale)
        await trio.sleep(2 * ANSWER_TIME)
        return listing


@dataclass
class Copies:
    """The copies in the store as one host reads them.

    Attributes:
        store: the store, without a copy that names several versions.
        versions: what the host knows: one version, confirmed just now.
        copies: the copies.
    """

    store: SlowStore = field(default_factory=SlowStore)
    versions: StreamVersions = field(init=False)
    copies: StreamCopies = field(init=False)

    def __post_init__(self) -> None:
        """Create a host that has just started."""
        now = trio.current_time()
        self.versions = StreamVersions(ReleaseHistory(complete_since=now))
        self.versions.history.record(ENGINE, OLD, now)
        self.versions.view.confirm(now, ConfirmedBy.STORE)
        self.copies = StreamCopies(
            self.versions, self.store, "streams/host-1/1", lambda: 4, 400.0
        )

    def write_mixed(self) -> None:
        """Write the copy of a host that knows both versions."""
        releases = [make_release(ENGINE, version) for version in (OLD, NEW)]
        value = msgspec.json.encode(StoredStreams({}, {ENGINE: releases}))
        self.store.write("streams/host-2/1", value)


@pytest.mark.parametrize("seconds", [1.0, 2.0, 3.5])
@pytest.mark.parametrize("is_read_pending", [False, True])
@pytest.mark.parametrize("absence", [Absence.STILL, Absence.SUSPENDED])
async def test_copies_read_before_a_pause_name_no_only_version(
    autojump_clock: trio.testing.MockClock,
    absence: Absence,
    seconds: float,
    *,
    is_read_pending: bool,
) -> None:
    """Guards against copies that are dated by when the host woke up.

    The second version comes while the host stands still, and a resumed stream of it
    waits when the host wakes.
    """
    with replace_boot_clock() as boot_clock:
        host = Copies()
        answers = []

        async def find() -> None:
            answers.append(await host.copies.find(ENGINE, StreamKey(1)))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(find)
            await trio.sleep(ANSWER_TIME if is_read_pending else 0.1)
            if absence is Absence.STILL:
                autojump_clock.jump(seconds)
            else:
                boot_clock.suspended += seconds
            host.write_mixed()
            if is_read_pending:
                await trio.sleep(2 * ANSWER_TIME)
            found = await host.copies.find(ENGINE, StreamKey(2))
    assert isinstance(answers[0], Origin) or is_read_pending
    assert not isinstance(found, Origin)


async def test_the_only_version_by_copies_of_the_store_without_a_pause(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against refusing streams, or a read for each, after a start in calm."""
    with replace_boot_clock():
        host = Copies()
        found = [await host.copies.find(ENGINE, StreamKey(number)) for number in (1, 2)]
    assert all(isinstance(origin, Origin) for origin in found)
    assert host.store.calls == 1


OLD_RELEASE = make_release(ENGINE, OLD)
NEW_RELEASE = make_release(ENGINE, NEW)


@pytest.mark.parametrize("known", [None, NEW_RELEASE])
@pytest.mark.parametrize(
    ("answers", "silent"),
    [([Release(0)], 0), ([Release(0), None], 0), ([Release(0), OLD_RELEASE], 1)],
)
async def test_peers_that_know_several_versions_outweigh_the_copies(
    answers: list[Release | None], silent: int, known: Release | None
) -> None:
    """Guards against a store without copies that names a version peers contradict.

    The host has just started and has seen servers of the old version only, and a
    restore of the store lost the copies. A copy that has the stream itself counts.
    """
    hosts = [HostId(f"host-{number}") for number in range(len(answers) + silent)]
    async with open_world() as world:
        state = world.state
        state.versions.history = ReleaseHistory(complete_since=trio.current_time())
        state.versions.history.record(ENGINE, OLD, trio.current_time())
        state.versions.view.confirm(read_boot_clock(), ConfirmedBy.STORE)
        job = make_job(world, b"a-1")
        link = VersionLink(
            None,  # type: ignore[arg-type]
            state.versions,
            state.host,
            state.failure_domain,
            lambda: [make_host(host) for host in hosts],
            list,
            lambda service: None,
        )

        async def answer(number: int, query: int) -> None:
            only = answers[number]
            link.receive_answer(StreamVersionAnswer(hosts[number], query, {}, only))

        def send(address: str, message: StreamVersionMessage) -> None:
            assert isinstance(message, StreamVersionQuery)
            if int(address) < len(answers):
                world.nursery.start_soon(answer, int(address), message.number)

        async def find_stored(
            service: ServiceName, stream: StreamKey
        ) -> Origin | Failure | None:
            if known is not None:
                state.versions.ledger.record(stream, known, trio.current_time())
            return Origin(known or OLD_RELEASE, OriginSource.STORE)

        link.send = send  # type: ignore[method-assign]
        world.nursery.start_soon(link.run)
        await trio.testing.wait_all_tasks_blocked()
        state.ask_peers_for_origin = link.ask
        state.find_stored_origin = find_stored
        origin, doubts = await search_origin(state, job)
    assert (origin.release if origin else None) == known
    assert bool(doubts) == (silent > 0 and known is None)


def make_host(host: HostId) -> HostEntry:
    """Return a registered host whose address is its number."""
    number = host.removeprefix("host-")
    return HostEntry(host, 1, "", number, FailureDomain("d-1"), is_ready=True)


@pytest.mark.parametrize("is_known", [True, False])
@pytest.mark.parametrize("age", [MAX_VIEW_AGE + 0.5, 5.0, 8.0])
async def test_a_server_that_came_back_as_another_version_gets_no_old_stream(
    age: float, *, is_known: bool
) -> None:
    """Guards against streams that go on at a server that was replaced unnoticed.

    The host is cut off from the store and its peer while its servers start again under
    their names and addresses. It had no request there that could have failed.
    """
    running = [OLD]
    async with AsyncExitStack() as stack:
        scene = await open_scene(stack, (), 2)
        engines = scene.engines

        async def answer(exchange: ServerExchange) -> None:
            await engines._answer(exchange, running[-1])

        for number in range(2):
            server = await scene.fleet.add_server(f"s-{number}", answer, ENGINE, OLD)
            server.answers_reports = False
        for world in scene.worlds:
            for record in world.state.servers.list_service(ENGINE):
                dated = replace(record, started_at_ms=1)
                world.state.servers.update(dated, trio.current_time())
        streams = await begin_streams(scene, STREAMS)
        scene.fleet.network.silent.add(scene.find_address(1))
        cut = scene.worlds.pop()
        versions = cut.state.versions
        if is_known:
            for stream in streams:
                key = make_stream_key(ACCOUNT, stream.first_attempt.encode())
                versions.ledger.record(key, OLD_RELEASE, trio.current_time())
        versions.view.confirmed_at = read_boot_clock() - age
        running.append(NEW)
        engines.started_at_ms = 2
        async with trio.open_nursery() as nursery:
            for number, stream in enumerate(streams):
                nursery.start_soon(resume_stream, cut, stream, f"b-{number}")
    assert [stream for stream in streams if len(stream.versions) > 1] == []
    assert {stream.status for stream in streams} == {503}


async def test_servers_are_not_asked_for_each_stream_of_a_host_in_touch() -> None:
    """Guards against a message for each stream that is resumed in calm."""
    async with AsyncExitStack() as stack:
        scene = await open_scene(stack, (OLD,), 2)
        for world in scene.worlds:
            for record in world.state.servers.list_service(ENGINE):
                dated = replace(record, started_at_ms=1)
                world.state.servers.update(dated, trio.current_time())
        streams = await begin_streams(scene, STREAMS)
        # A stall of the test's process does not put the host out of touch.
        view = scene.worlds[1].state.versions.view
        view.confirm(read_boot_clock() + 60.0, ConfirmedBy.STORE)
        await resume_all(scene, streams, lambda number: 1)
        targets = [
            exchange.target
            for server in scene.engines.servers[OLD]
            for exchange in server.received
        ]
    assert all(stream.is_whole for stream in streams)
    assert b"/-/report" not in targets


class Beginning(Enum):
    """Why a host begins streams at a version that came just now."""

    OLD_LEAVES = "all servers of the old version are leaving"
    OLD_FULL = "the servers of the old version take no more requests"
    STARTED = "the host has just started"


@pytest.mark.parametrize("beginning", Beginning)
async def test_streams_begun_at_once_at_a_new_version_are_not_joined(
    beginning: Beginning,
) -> None:
    """Guards against streams of a version that a host out of step can't know yet.

    The host lost touch shortly before the version came. Its list of servers is less
    than a second old when the streams are resumed there.
    """
    async with AsyncExitStack() as stack:
        scene = await open_scene(stack, (OLD,), 3)
        state = scene.worlds[0].state
        scene.fleet.network.silent.add(scene.find_address(2))
        await trio.sleep(0.2)
        cut = scene.worlds.pop()
        for number in range(2):
            await scene.engines.add(f"n-{number}", NEW)
        now = trio.current_time()
        for record in state.servers.list_service(ENGINE):
            if record.version == OLD and beginning is Beginning.OLD_LEAVES:
                state.servers.drop(record.id, now, "it drains", 2.0)
            if record.version == OLD and beginning is Beginning.OLD_FULL:
                state.pushback.record_answer(record.id, 503, [(b"retry-after", b"2")])
            if beginning is Beginning.STARTED:
                is_old = record.version == OLD
                dated = replace(record, started_at_ms=1 if is_old else 2)
                state.servers.update(dated, now)
        if beginning is Beginning.STARTED:
            scene.forget(0)
        streams = await begin_streams(scene, STREAMS)
        async with trio.open_nursery() as nursery:
            for number, stream in enumerate(streams):
                nursery.start_soon(resume_stream, cut, stream, f"b-{number}")
    assert [stream for stream in streams if len(stream.versions) > 1] == []
    assert all(stream.events for stream in streams)


class Trouble(Enum):
    """What a host went through while a version came that stays."""

    PEERS = "cut off from its peers only"
    ALL = "cut off from the store and from its peers"
    WAKES = "wakes up, and resumed streams wait in its socket"
    STARTED = "has just started"
    UNINFORMED = "got no message with the versions of streams"


@pytest.mark.parametrize("seconds", [1.5, 4.0, 8.0])
@pytest.mark.parametrize("trouble", Trouble)
async def test_streams_stay_at_their_version_at_a_host_out_of_step(
    trouble: Trouble, seconds: float
) -> None:
    """Guards against a guess of the version, and against refusing what peers know."""
    async with AsyncExitStack() as stack:
        scene = await open_scene(stack, (OLD,), 4)
        host = scene.worlds[3]
        versions = host.state.versions
        address = scene.find_address(3)
        if trouble is not Trouble.PEERS:
            scene.fleet.without_store.add(host.state.host)
        if trouble in {Trouble.PEERS, Trouble.ALL, Trouble.WAKES}:
            scene.fleet.network.silent.add(address)
        for number in range(2):
            await scene.engines.add(f"n-{number}", NEW)
        await trio.sleep(NEW_VERSION_DELAY + 0.1)
        streams = await begin_streams(scene, STREAMS)
        if trouble in {Trouble.ALL, Trouble.WAKES}:
            scene.worlds.remove(host)
            versions.history = ReleaseHistory(complete_since=float("-inf"))
            versions.history.record(ENGINE, OLD, trio.current_time())
            versions.view.confirmed_at = read_boot_clock() - seconds
        if trouble is Trouble.WAKES:
            scene.fleet.network.silent.clear()
        if trouble is Trouble.STARTED:
            scene.forget(3)
        for world in {Trouble.UNINFORMED: scene.worlds[1:]}.get(trouble, []):
            world.state.versions.ledger = StreamLedger()
        async with trio.open_nursery() as nursery:
            for number, stream in enumerate(streams):
                nursery.start_soon(resume_stream, host, stream, f"b-{number}")
    assert {stream.events[0][1] for stream in streams} == {OLD, NEW}
    assert [stream for stream in streams if len(stream.versions) > 1] == []
    if trouble in {Trouble.PEERS, Trouble.ALL}:
        assert {stream.status for stream in streams} == {503}
        assert all(b"retry-after" in stream.headers for stream in streams)
    else:
        assert all(stream.is_whole for stream in streams)
