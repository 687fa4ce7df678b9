"""Tests of the configuration, servers and hosts while the store fails or lags."""

import json
import random

import msgspec
import pytest
import trio
import trio.testing

from dewridge.gateway import clock, configuration, hosts
from dewridge.gateway.configuration import ConfigurationState
from dewridge.gateway.documents import following, polling
from dewridge.gateway.documents.following import StoreRole
from dewridge.gateway.model import ServerRecord
from dewridge.gateway.servers import ServerTable
from dewridge.gateway.state import WorkInFlight
from dewridge.gateway.watching import StoreWatcher
from dewridge.ids import BackendServerId, HostId, ServerName, make_server_id
from dewridge.tests.gateway.memorystore import MemoryStore
from dewridge.tests.gateway.world import DOMAIN, PLAIN, make_configuration


def make_record(
    name: str, *, is_draining: bool = False, born: int | None = None
) -> ServerRecord:
    """Return a server's record."""
    server = ServerName(name)
    return ServerRecord(
        make_server_id(server, born),
        server,
        PLAIN,
        "127.0.0.1:9",
        DOMAIN,
        6,
        is_draining,
        started_at_ms=born or 0,
    )


def list_names(table: ServerTable) -> list[str]:
    """Return the ids of the servers that may get requests."""
    return sorted(record.id for record in table.list_all())


def test_an_older_version_is_not_applied() -> None:
    """Guards against applying an older version from a read that is answered late.

    A revoked key would work again.
    """
    state = ConfigurationState(trust_period=4.0)
    assert state.apply(make_configuration(7))
    assert not state.apply(make_configuration(5))
    assert state.version == 7


def test_trust_ends_while_the_host_is_suspended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against trusting an outdated configuration after a suspension.

    The monotonic clock stops meanwhile. Keys may have been revoked in that time, and
    the host must not serve them when it resumes.
    """
    now = 100.0
    monkeypatch.setattr(configuration, "read_boot_clock", lambda: now)
    state = ConfigurationState(trust_period=4.0)
    state.apply(make_configuration())
    state.confirm(now)
    assert state.is_trusted
    now = 106.0
    assert not state.is_trusted
    assert clock.read_boot_clock() > 0


def test_a_drained_server_is_not_listed_again() -> None:
    """Guards against a stale read that still lists a leaving server as ready.

    Requests sent there would be aborted when the server stops.
    """
    table = ServerTable()
    table.update(make_record("s-1"), 0.0)
    table.update(make_record("s-1", is_draining=True), 1.0)
    table.apply_full_list([make_record("s-1")], 2.0)
    assert list_names(table) == []


def test_servers_are_retained_while_their_records_lapse_in_an_outage() -> None:
    """Guards against dropping live servers whose records lapse during a store outage.

    Every request would be refused until they are listed again. Servers that are not
    listed again in time have ended.
    """
    table = ServerTable()
    table.apply_full_list([make_record("s-1"), make_record("s-2")], 0.0)
    table.record_restore(5.0)
    table.apply_full_list([], 5.1)
    assert list_names(table) == ["s-1", "s-2"]
    table.apply_full_list([make_record("s-2")], 7.5)
    assert list_names(table) == ["s-2"]


def test_a_lagging_list_drops_no_server() -> None:
    """Guards against dropping a new server because a lagging list lacks it.

    It would never get requests again. A server that remains missing is looked up in a
    current list, since this host may have missed that it left.
    """
    table = ServerTable()
    table.apply_full_list([make_record("s-1"), make_record("s-2")], 0.0)
    assert not table.merge_stale_list([make_record("s-1")], 1.0)
    assert not table.merge_stale_list([make_record("s-1"), make_record("s-2")], 2.0)
    assert not table.merge_stale_list([make_record("s-1"), make_record("s-3")], 3.0)
    assert list_names(table) == ["s-1", "s-2", "s-3"]
    assert table.merge_stale_list([make_record("s-1"), make_record("s-3")], 6.5)
    table.apply_full_list([make_record("s-1"), make_record("s-3")], 6.6)
    assert list_names(table) == ["s-1", "s-3"]


def test_a_late_list_drops_no_server_that_joined_meanwhile() -> None:
    """Guards against dropping a server for good that a slow answer of the store lacks.

    Peers or a watch may show a server between the request and its answer.
    """
    table = ServerTable()
    table.apply_full_list([make_record("s-1")], 0.0)
    table.update(make_record("s-2"), 1.5)
    table.apply_full_list([], 2.0, requested_at=1.0)
    assert list_names(table) == ["s-2"]
    table.apply_full_list([], 3.0, requested_at=2.5)
    assert list_names(table) == []


def test_a_server_that_leaves_during_an_outage_is_dropped() -> None:
    table = ServerTable()
    table.apply_full_list([make_record("s-1")], 0.0)
    table.record_restore(5.0)
    table.apply_full_list([make_record("s-1", is_draining=True)], 5.1)
    assert list_names(table) == []


def write_configuration(store: MemoryStore, version: int) -> None:
    """Write a version as the operator does."""
    store.write("op/config", json.dumps({"version": version}).encode())


def write_server(store: MemoryStore, name: str, state: str = "ready") -> None:
    """Write a server's record as the server does."""
    record: dict[str, object] = {"service": "plain", "address": "127.0.0.1:9"}
    record |= {"state": state, "slots": 6}
    store.write(f"servers/{name}", json.dumps(record).encode())


class WatchingHost:
    """A host with a store watcher whose two stores can fail independently."""

    def __init__(
        self,
        role: StoreRole = StoreRole.ALL,
        live_peers: int = 0,
        seed: str = "1",
    ) -> None:
        self.store = MemoryStore()
        self.watch_store = MemoryStore(self.store.data)
        self.configuration = ConfigurationState(trust_period=4.0)
        self.servers = ServerTable()
        self.watcher = StoreWatcher(
            self.store,
            self.watch_store,
            self.configuration,
            self.servers,
            lambda: 7,
            2000.0,
            random.Random(seed),
            lambda: role,
            lambda: live_peers,
        )

    def start(self, nursery: trio.Nursery) -> None:
        """Start all loops."""
        nursery.start_soon(self.watcher.configuration.poll)
        nursery.start_soon(self.watcher.poll_servers)
        nursery.start_soon(self.watcher.configuration.watch)
        nursery.start_soon(self.watcher.watch_servers)


async def test_watches_apply_changes_at_once(
    autojump_clock: trio.testing.MockClock,
) -> None:
    host = WatchingHost()
    write_configuration(host.store, 1)
    write_server(host.store, "s-1")
    async with trio.open_nursery() as nursery:
        host.start(nursery)
        await trio.sleep(1.0)
        write_configuration(host.store, 2)
        write_server(host.store, "s-1", "draining")
        await trio.sleep(0.1)
        assert host.configuration.version == 2
        assert list_names(host.servers) == []
        nursery.cancel_scope.cancel()


async def test_polls_find_changes_that_silent_watches_miss(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against missed changes when watch connections hang without a reset.

    The host must detect a new version and a draining server within two seconds.
    """
    host = WatchingHost()
    write_configuration(host.store, 1)
    write_server(host.store, "s-1")
    async with trio.open_nursery() as nursery:
        host.start(nursery)
        await trio.sleep(1.0)
        host.watch_store.data = MemoryStore().data
        write_configuration(host.store, 2)
        write_server(host.store, "s-1", "draining")
        await trio.sleep(1.9)
        assert host.configuration.version == 2
        assert list_names(host.servers) == []
        nursery.cancel_scope.cancel()


async def test_a_newer_version_of_a_peer_is_read_at_once(
    autojump_clock: trio.testing.MockClock,
) -> None:
    host = WatchingHost()
    write_configuration(host.store, 1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(host.watcher.configuration.poll)
        await trio.sleep(0.5)
        write_configuration(host.store, 2)
        host.watcher.configuration.receive_version(2)
        await trio.sleep(0.05)
        assert host.configuration.version == 2
        nursery.cancel_scope.cancel()


async def test_an_outage_retains_servers_and_ends_trust(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against dropped servers and a confirmed version during a long outage."""
    host = WatchingHost()
    write_configuration(host.store, 1)
    write_server(host.store, "s-1")
    async with trio.open_nursery() as nursery:
        host.start(nursery)
        await trio.sleep(1.0)
        host.store.is_down = host.watch_store.is_down = True
        confirmed_at = host.configuration.confirmed_at
        await trio.sleep(6.0)
        assert host.configuration.confirmed_at <= confirmed_at + 1.0
        assert list_names(host.servers) == ["s-1"]
        host.store.is_down = host.watch_store.is_down = False
        host.store.remove("servers/s-1")
        await trio.sleep(0.5)
        assert list_names(host.servers) == ["s-1"]
        await trio.sleep(4.0)
        assert list_names(host.servers) == []
        nursery.cancel_scope.cancel()


async def test_a_listener_of_a_large_fleet_confirms_by_empty_watches(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the cost of polls in a large fleet, and against refused keys.

    Eighty hosts that poll like a small fleet would cost more than their requests are
    worth. One watch every three seconds must be enough to keep the version trusted.
    """
    monkeypatch.setattr(configuration, "read_boot_clock", trio.current_time)
    monkeypatch.setattr(following, "read_boot_clock", trio.current_time)
    host = WatchingHost(StoreRole.LISTENER)
    write_configuration(host.store, 1)
    write_server(host.store, "s-1")
    async with trio.open_nursery() as nursery:
        host.start(nursery)
        await trio.sleep(2.0)
        calls_before = host.store.calls + host.watch_store.calls
        for _ in range(300):
            await trio.sleep(0.1)
            assert host.configuration.is_trusted
        assert host.store.calls + host.watch_store.calls - calls_before <= 30
        write_configuration(host.store, 2)
        await trio.sleep(0.1)
        assert host.configuration.version == 2
        nursery.cancel_scope.cancel()


async def test_a_suspended_host_does_not_treat_an_old_watch_answer_as_recent(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a confirmation dated by when the answer of a watch is read.

    The host is suspended before it reads the answer, and a key is revoked meanwhile.
    The key would work for several more seconds.
    """
    now = 100.0
    monkeypatch.setattr(configuration, "read_boot_clock", lambda: now)
    monkeypatch.setattr(following, "read_boot_clock", lambda: now)
    host = WatchingHost(StoreRole.LISTENER)
    host.configuration.apply(make_configuration())
    now = 109.0
    host.watcher.configuration.confirm(100.0, 3.0)
    assert not host.configuration.is_trusted
    host.watcher.configuration.confirm(107.0, 3.0)
    assert host.configuration.confirmed_at == 107.0


async def test_a_listener_with_a_failed_watch_reads_in_time(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(configuration, "read_boot_clock", trio.current_time)
    monkeypatch.setattr(following, "read_boot_clock", trio.current_time)
    host = WatchingHost(StoreRole.LISTENER)
    write_configuration(host.store, 1)
    async with trio.open_nursery() as nursery:
        host.start(nursery)
        await trio.sleep(1.0)
        host.watch_store.is_down = True
        for _ in range(60):
            await trio.sleep(0.1)
            assert host.configuration.is_trusted
        nursery.cancel_scope.cancel()


def test_processed_prompts_do_not_count_as_load_of_a_busy_server() -> None:
    """Guards against counting the prompts of completed requests as load.

    The server is never idle: each request completes only after the next one has begun.
    Its load would seem to grow without limit, and other servers would process its
    prefixes again.
    """
    work = WorkInFlight()
    server = BackendServerId("s-1")
    work.add(server, 5_000)
    for _ in range(50):
        work.add(server, 5_000)
        work.record_prompt_processed(server, 5_000)
        work.remove(server)
    assert work.requests[server] == 1
    assert work.tokens[server] == 5_000


async def test_polls_of_a_large_fleet_stay_within_the_stores_rate() -> None:
    host = WatchingHost()
    for count in (7, 100, 440):
        watcher = StoreWatcher(
            host.store,
            host.watch_store,
            host.configuration,
            host.servers,
            lambda count=count: count,  # type: ignore[misc]
            2000.0,
            random.Random(1),
        )
        assert count * 3 / watcher.pacing.compute_interval() <= 0.31 * 2000


async def test_a_start_that_is_not_ready_retains_the_earlier_entry(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an empty list of addresses after a power loss of all hosts.

    The entries of the earlier host incarnations still exist. If entries that are not
    ready yet replaced them, callers would get no address although all hosts are ready
    soon.
    """
    monkeypatch.setattr(hosts, "read_boot_clock", trio.current_time)
    store = MemoryStore()
    entry = hosts.HostEntry(
        HostId("host-1"), 2, "127.0.0.1:1", "127.0.0.1:2", DOMAIN, False
    )
    registration = hosts.Registration(store, entry, random.Random(1))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(registration.run)
        await trio.sleep(2.0)
        assert registration.key not in store.data.items
        registration.set_ready(True)
        await trio.sleep(0.1)
        assert registration.key in store.data.items
        registration.set_ready(False)
        await trio.sleep(0.1)
        assert b'"is_ready":false' in store.data.items[registration.key].value
        nursery.cancel_scope.cancel()


def test_the_entry_of_an_earlier_start_is_superseded() -> None:
    """Guards against listing a restarted host by its earlier, not yet lapsed entry."""
    table = hosts.HostTable(HostId("host-1"))
    store = MemoryStore()
    for boot in (1, 2):
        entry = hosts.HostEntry(
            HostId("host-2"), boot, f"127.0.0.1:{boot}", "127.0.0.1:9", DOMAIN, True
        )
        key = f"{hosts.HOSTS_PREFIX}host-2/{boot}"
        store.write(key, msgspec.json.encode(entry))
    for item in store.data.items.values():
        table.update(item)
    assert [entry.frontend for entry in table.list_hosts()] == ["127.0.0.1:2"]
    assert table.count() == 2


def test_live_peers_share_the_polls() -> None:
    """Guards against late detection of changes while the watches of all hosts hang.

    The first host that polls reports to the other hosts. A host without live peers has
    only its own polls, and operators rely on two seconds.
    """
    rng = random.Random(5)
    alone = StoreWatcher(
        MemoryStore(),
        MemoryStore(),
        ConfigurationState(4.0),
        ServerTable(),
        int,
        2e3,
        rng,
    )
    assert alone.pacing.compute_interval() == polling.POLL_INTERVAL
    for live_peers in range(1, 16):
        watcher = WatchingHost(live_peers=live_peers).watcher
        period = watcher.pacing.compute_interval()
        late_count = 0
        for _ in range(2_000):
            first_poll = min(
                rng.uniform(0, 1.1 * period) for _ in range(live_peers + 1)
            )
            late_count += first_poll > 1.7
        assert late_count <= 40
    assert period <= 3.7


POLL_REPLAY_TIME = 40.0
"""Seconds of a replay of polls."""
POLL_REPLAY_SEEDS = range(8)


async def replay_polls(seed: int) -> tuple[list[float], int]:
    """Run nine hosts that start together and only poll the configuration.

    Each host draws from its own generator, as each process does.

    Returns:
        The age of the newest confirmation every 0.1 s, and the number of calls of all
        hosts to the store.
    """
    data = MemoryStore().data
    fleet = [WatchingHost(live_peers=8, seed=f"{seed}/{n}") for n in range(9)]
    for host in fleet:
        host.store.data = host.watch_store.data = data
    write_configuration(fleet[0].store, 1)
    ages = []
    async with trio.open_nursery() as nursery:
        for host in fleet:
            nursery.start_soon(host.watcher.configuration.poll)
        for _ in range(round(POLL_REPLAY_TIME * 10)):
            await trio.sleep(0.1)
            newest = max(host.configuration.confirmed_at for host in fleet)
            for host in fleet:
                host.configuration.confirm_by_peer(1, newest - 0.2)
            ages.append(min(host.configuration.age for host in fleet))
        nursery.cancel_scope.cancel()
    return ages, sum(host.store.calls for host in fleet)


@pytest.mark.parametrize("seed", POLL_REPLAY_SEEDS)
async def test_hosts_that_started_together_do_not_poll_together(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against simultaneous polls of hosts that were started at the same time.

    If all hosts polled together, the last confirmation could be old when an outage of
    the store begins, and callers would be refused after only two seconds of it: keys
    are trusted for four. Ages are read every 0.1 s, so an age below 1.9 s leaves two
    seconds. Hosts without live peers make twice the calls that are allowed here.
    """
    for module in (configuration, following):
        monkeypatch.setattr(module, "read_boot_clock", trio.current_time)
    ages, calls = await replay_polls(seed)
    assert max(ages) < 1.9
    assert calls < POLL_REPLAY_TIME / polling.POLL_INTERVAL * 9 / 2
