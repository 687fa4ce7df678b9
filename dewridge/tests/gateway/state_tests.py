"""What a gateway believes of configuration and servers while the store misbehaves."""

import json
import random

import msgspec
import pytest
import trio
import trio.testing

from dewridge.gateway import clock, configuration, hosts, watching
from dewridge.gateway.configuration import ConfigurationState
from dewridge.gateway.model import ServerRecord
from dewridge.gateway.servers import ServerTable
from dewridge.gateway.state import WorkInFlight
from dewridge.gateway.watching import Part, StoreWatcher
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
    """Return the servers that may get work."""
    return sorted(record.id for record in table.list_all())


def test_an_older_version_is_not_taken_over() -> None:
    """A read is answered seconds late and brings the version before.

    Taken over, a key that was taken away would work again.
    """
    state = ConfigurationState(trusted_for=4.0)
    assert state.apply(make_configuration(7))
    assert not state.apply(make_configuration(5))
    assert state.version == 7


def test_trust_ends_while_the_host_is_suspended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A host is suspended for seconds; its steady clock stands still meanwhile.

    Keys were taken away in that time, and the host must not serve them on waking.
    """
    now = 100.0
    monkeypatch.setattr(configuration, "read_boot_clock", lambda: now)
    state = ConfigurationState(trusted_for=4.0)
    state.apply(make_configuration())
    state.confirm(now)
    assert state.is_trusted
    now = 106.0
    assert not state.is_trusted
    assert clock.read_boot_clock() > 0


def test_a_server_that_drained_never_comes_back() -> None:
    """A stale read still lists a server as ready that has said it leaves.

    Work sent there would be cut when the server goes.
    """
    table = ServerTable()
    table.update(make_record("s-1"), 0.0)
    table.update(make_record("s-1", is_draining=True), 1.0)
    table.apply_full_list([make_record("s-1")], 2.0)
    assert list_names(table) == []


def test_servers_stay_while_their_records_lapse_in_an_outage() -> None:
    """The store is away, and the records of all servers lapse meanwhile.

    The servers live. Dropped, every request would be refused until they are listed
    again; those that are not back in time are gone.
    """
    table = ServerTable()
    table.apply_full_list([make_record("s-1"), make_record("s-2")], 0.0)
    table.record_outage(5.0)
    table.apply_full_list([], 5.1)
    assert list_names(table) == ["s-1", "s-2"]
    table.apply_full_list([make_record("s-2")], 7.5)
    assert list_names(table) == ["s-2"]


def test_a_list_that_lags_drops_no_server() -> None:
    """A cheap read is seconds old and misses a server that has just started.

    Dropped for it, the server would never get work again. One that stays missing is
    looked for in a current list, since this host may have missed that it left.
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


def test_a_server_that_leaves_during_an_outage_is_dropped() -> None:
    table = ServerTable()
    table.apply_full_list([make_record("s-1")], 0.0)
    table.record_outage(5.0)
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


class Watching:
    """A watcher with stores that a test can break one by one."""

    def __init__(self, part: Part = Part.ALL, heard: int = 0) -> None:
        self.store = MemoryStore()
        self.watch_store = MemoryStore(self.store.data)
        self.configuration = ConfigurationState(trusted_for=4.0)
        self.servers = ServerTable()
        self.watcher = StoreWatcher(
            self.store,
            self.watch_store,
            self.configuration,
            self.servers,
            lambda: 7,
            2000.0,
            lambda: part,
            lambda: heard,
        )

    def start(self, nursery: trio.Nursery) -> None:
        """Start all loops."""
        nursery.start_soon(self.watcher.poll_configuration)
        nursery.start_soon(self.watcher.poll_servers)
        nursery.start_soon(self.watcher.watch_configuration)
        nursery.start_soon(self.watcher.watch_servers)


async def test_changes_are_in_force_at_once_by_watches(
    autojump_clock: trio.testing.MockClock,
) -> None:
    host = Watching()
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


async def test_polls_bring_what_silent_watches_miss(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """The watches' connections go silent without a reset.

    Nothing tells the host of a change or of a server that drains, and it has two
    seconds to know.
    """
    host = Watching()
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


async def test_another_hosts_news_is_looked_up_at_once(
    autojump_clock: trio.testing.MockClock,
) -> None:
    host = Watching()
    write_configuration(host.store, 1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(host.watcher.poll_configuration)
        await trio.sleep(0.5)
        write_configuration(host.store, 2)
        host.watcher.note_version(2)
        await trio.sleep(0.05)
        assert host.configuration.version == 2
        nursery.cancel_scope.cancel()


async def test_an_outage_leaves_servers_and_ends_trust(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """The store is down for long. Servers stay known, the configuration is not sure."""
    host = Watching()
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


async def test_a_listener_of_a_large_fleet_confirms_by_quiet_watches(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Eighty hosts that poll as few do would cost more than their requests are worth.

    One watch in three seconds has to do, without keys being refused in between.
    """
    monkeypatch.setattr(configuration, "read_boot_clock", trio.current_time)
    monkeypatch.setattr(watching, "read_boot_clock", trio.current_time)
    host = Watching(Part.LISTENER)
    write_configuration(host.store, 1)
    write_server(host.store, "s-1")
    async with trio.open_nursery() as nursery:
        host.start(nursery)
        await trio.sleep(2.0)
        began = host.store.calls + host.watch_store.calls
        for _ in range(300):
            await trio.sleep(0.1)
            assert host.configuration.is_trusted
        assert host.store.calls + host.watch_store.calls - began <= 30
        write_configuration(host.store, 2)
        await trio.sleep(0.1)
        assert host.configuration.version == 2
        nursery.cancel_scope.cancel()


async def test_a_frozen_host_does_not_take_a_quiet_watch_for_new(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A host is frozen while the answer of a watch waits for it to be read.

    A key was taken away meanwhile. Believed as of its reading, the answer would let
    the key work for seconds more.
    """
    now = 100.0
    monkeypatch.setattr(configuration, "read_boot_clock", lambda: now)
    monkeypatch.setattr(watching, "read_boot_clock", lambda: now)
    host = Watching(Part.LISTENER)
    host.configuration.apply(make_configuration())
    now = 109.0
    host.watcher._confirm(100.0, 3.0)
    assert not host.configuration.is_trusted
    host.watcher._confirm(107.0, 3.0)
    assert host.configuration.confirmed_at == 107.0


async def test_a_listener_whose_watch_is_silent_reads_in_time(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(configuration, "read_boot_clock", trio.current_time)
    monkeypatch.setattr(watching, "read_boot_clock", trio.current_time)
    host = Watching(Part.LISTENER)
    write_configuration(host.store, 1)
    async with trio.open_nursery() as nursery:
        host.start(nursery)
        await trio.sleep(1.0)
        host.watch_store.is_down = True
        for _ in range(60):
            await trio.sleep(0.1)
            assert host.configuration.is_trusted
        nursery.cancel_scope.cancel()


def test_prompts_that_were_read_do_not_weigh_on_a_busy_server() -> None:
    """A server is never idle: a request ends only after the next one has begun.

    If the prompts of ended requests still counted, it would look ever more loaded,
    and its prefixes would be read anew by other servers.
    """
    work = WorkInFlight()
    server = BackendServerId("s-1")
    work.add(server, 5_000)
    for _ in range(50):
        work.add(server, 5_000)
        work.note_read(server, 5_000)
        work.remove(server)
    assert work.requests[server] == 1
    assert work.tokens[server] == 5_000


async def test_polls_of_a_large_fleet_stay_within_the_stores_rate() -> None:
    host = Watching()
    for count in (7, 100, 440):
        watcher = StoreWatcher(
            host.store,
            host.watch_store,
            host.configuration,
            host.servers,
            lambda count=count: count,  # type: ignore[misc]
            2000.0,
        )
        assert count * 3 / watcher.find_period() <= 0.31 * 2000


async def test_a_start_that_is_not_ready_leaves_the_earlier_entry(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """All hosts lost power and start again; callers ask for addresses at once.

    The entries of the earlier starts still stand. Replaced by ones that are not ready
    yet, no host would be named, though all are back in a moment.
    """
    monkeypatch.setattr(hosts, "read_boot_clock", trio.current_time)
    store = MemoryStore()
    entry = hosts.HostEntry(HostId("host-1"), 2, "x:1", "x:2", DOMAIN, False)
    registration = hosts.Registration(store, entry)
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


def test_an_earlier_starts_entry_gives_way() -> None:
    """A host restarts while its earlier registration has not lapsed yet."""
    table = hosts.HostTable(HostId("host-1"))
    store = MemoryStore()
    for boot in (1, 2):
        entry = hosts.HostEntry(
            HostId("host-2"), boot, f"127.0.0.1:{boot}", "x", DOMAIN, True
        )
        key = f"{hosts.HOSTS_PREFIX}host-2/{boot}"
        store.write(key, msgspec.json.encode(entry))
    for item in store.data.items.values():
        table.update(item)
    assert [entry.frontend for entry in table.list_hosts()] == ["127.0.0.1:2"]
    assert table.count() == 2


def test_hosts_that_hear_each_other_share_the_polls() -> None:
    """The watches of all hosts have gone silent, and a change waits to be found.

    Whoever polls first tells the others. A host that hears nobody has only its own
    polls, and operators count on two seconds.
    """
    rng = random.Random(5)
    alone = StoreWatcher(
        MemoryStore(), MemoryStore(), ConfigurationState(4.0), ServerTable(), int, 2e3
    )
    assert alone.find_period() == watching.POLL_PERIOD
    for heard in range(1, 16):
        watcher = Watching(heard=heard).watcher
        period = watcher.find_period()
        late = 0
        for _ in range(2_000):
            first = min(rng.uniform(0, 1.1 * period) for _ in range(heard + 1))
            late += first > 1.7
        assert late <= 40
    assert period <= 3.7


async def test_hosts_that_started_together_do_not_poll_together(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """All hosts were started at the same moment, and the store goes away later.

    If all had asked together, the last confirmation is old at that moment, and callers
    are refused while the store has been away for two seconds only.
    """
    for module in (configuration, watching):
        monkeypatch.setattr(module, "read_boot_clock", trio.current_time)
    data = MemoryStore().data
    fleet = [Watching(heard=8) for _ in range(9)]
    for host in fleet:
        host.store.data = host.watch_store.data = data
    write_configuration(fleet[0].store, 1)
    ages = []
    async with trio.open_nursery() as nursery:
        for host in fleet:
            nursery.start_soon(host.watcher.poll_configuration)
        for _ in range(400):
            await trio.sleep(0.1)
            newest = max(host.configuration.confirmed_at for host in fleet)
            for host in fleet:
                host.configuration.confirm_by_peer(1, newest - 0.2)
            ages.append(min(host.configuration.age for host in fleet))
        nursery.cancel_scope.cancel()
    assert max(ages) < 1.9
    calls = sum(host.store.calls for host in fleet)
    assert calls < 40.0 / watching.POLL_PERIOD * len(fleet) / 2
