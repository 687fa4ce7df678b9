"""Tests of how soon a host stops using a server whose record was removed."""

import random
from contextlib import AsyncExitStack

import msgspec
import pytest
import trio
import trio.testing

from dewridge.gateway.clock import read_boot_clock
from dewridge.gateway.departures import MAX_REPORT_DELAY, apply_store_calls
from dewridge.gateway.hosts import (
    HOSTS_PREFIX,
    LEASE_TTL,
    HostEntry,
    HostTable,
    HostWatcher,
)
from dewridge.gateway.reports import ServerAnswer
from dewridge.gateway.servers import ServerTable
from dewridge.gateway.streams import MOVE_LEAD_TIME
from dewridge.gateway.versions.serversearch import ServerSearch
from dewridge.gateway.versions.unknownservers import UnknownServers
from dewridge.ids import FailureDomain, HostId
from dewridge.tests.gateway.memorystore import MemoryStore, StoreData
from dewridge.tests.gateway.state_tests import (
    WatchingHost,
    list_names,
    make_record,
    write_server,
)
from dewridge.tests.gateway.world import open_world

LONG_PERIOD_PEERS = 8
"""Live peers with which a host polls the servers every 3.5 s."""
NOTICE = 2.0
"""Seconds after a removal within which no request may be sent to the server."""


async def run_for(host: WatchingHost, nursery: trio.Nursery, seconds: float) -> None:
    """Start a host's loops and let them run."""
    host.start(nursery)
    await trio.sleep(seconds)


def set_down(host: WatchingHost, *, is_down: bool) -> None:
    """Have the calls of a host to the store fail, or work again."""
    host.store.is_down = host.watch_store.is_down = is_down


@pytest.mark.parametrize("delay", [0.1, 0.6, 1.2, 1.8, 2.4])
async def test_a_removal_after_failed_reads_is_acted_on_in_time(
    autojump_clock: trio.testing.MockClock, delay: float
) -> None:
    """Guards against a removal seen in a grace period that ends without a read."""
    host = WatchingHost(live_peers=LONG_PERIOD_PEERS)
    write_server(host.store, "s-1")
    write_server(host.store, "s-2")
    async with trio.open_nursery() as nursery:
        await run_for(host, nursery, 3.0)
        set_down(host, is_down=True)
        await trio.sleep(0.3)
        set_down(host, is_down=False)
        await trio.sleep(delay)
        host.store.remove("servers/s-1")
        await trio.sleep(max(NOTICE, 3.0 - delay))
        assert list_names(host.servers) == ["s-2"]
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("seed", ["1", "2", "3", "4", "5"])
async def test_a_removal_between_two_watches_is_seen(
    autojump_clock: trio.testing.MockClock, seed: str
) -> None:
    """Guards against a removal that is in no event: no watch ran when it happened."""
    host = WatchingHost(live_peers=LONG_PERIOD_PEERS, seed=seed)
    write_server(host.store, "s-1")
    write_server(host.store, "s-2")
    async with trio.open_nursery() as nursery:
        await run_for(host, nursery, 3.0)
        host.watch_store.is_down = True
        await trio.sleep(0.03)
        host.watch_store.is_down = False
        host.store.remove("servers/s-1")
        await trio.sleep(NOTICE)
        assert list_names(host.servers) == ["s-2"]
        nursery.cancel_scope.cancel()


async def test_servers_are_kept_after_an_outage_that_only_peers_saw(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against dropping live servers at a host whose polls missed the outage."""
    host = WatchingHost(live_peers=LONG_PERIOD_PEERS)
    write_server(host.store, "s-1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(host.watcher.poll_servers)
        await trio.sleep(0.5)
        for _ in range(30):
            now = trio.current_time()
            host.servers.outages.record_peer_calls(None, now, now)
            await trio.sleep(0.1)
        host.store.remove("servers/s-1")
        host.watcher.wake_servers()
        await trio.sleep(1.5)
        assert list_names(host.servers) == ["s-1"]
        write_server(host.store, "s-1")
        await trio.sleep(5.0)
        assert list_names(host.servers) == ["s-1"]
        nursery.cancel_scope.cancel()


async def test_hosts_report_their_calls_to_the_store(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against an outage that a host takes for one, although peers are served."""
    async with AsyncExitStack() as stack:
        worlds = [
            await stack.enter_async_context(open_world(None, host=HostId(f"host-{n}")))
            for n in range(2)
        ]
        sender, receiver = (world.state for world in worlds)
        await trio.sleep(5.0)
        sender.servers.outages.record_call(trio.current_time(), is_answered=True)
        await trio.sleep(0.3)
        for _ in range(8):
            receiver.servers.outages.record_call(trio.current_time(), is_answered=False)
            await trio.sleep(0.5)
            report = sender.make_report(1)
            apply_store_calls(receiver, report, read_boot_clock())
            sender.servers.outages.record_call(trio.current_time(), is_answered=True)
        now = trio.current_time()
        assert receiver.servers.outages.find_grace_end(now) < now
        late = read_boot_clock() - MAX_REPORT_DELAY - 0.1
        for _ in range(6):
            receiver.servers.outages.record_call(trio.current_time(), is_answered=False)
            await trio.sleep(0.5)
            apply_store_calls(receiver, sender.make_report(2), late)
        receiver.servers.outages.record_call(trio.current_time(), is_answered=True)
        now = trio.current_time()
        assert receiver.servers.outages.find_grace_end(now) >= now + 2.0


@pytest.mark.parametrize("is_relayed", [False, True])
async def test_no_stream_returns_to_a_server_after_its_notice(
    autojump_clock: trio.testing.MockClock, is_relayed: bool
) -> None:
    """Guards against a moved stream that is rejected and sent back too late."""
    async with AsyncExitStack() as stack:
        world = await stack.enter_async_context(open_world(None))
        servers, pushback = world.state.servers, world.state.pushback
        acquire = pushback.acquire_relayed if is_relayed else pushback.acquire
        for name, leaves_in in (("s-1", None), ("s-2", 6.0), ("s-3", 1.0)):
            servers.update(make_record(name), trio.current_time())
            server = make_record(name).id
            servers.drop(server, trio.current_time(), "it drains", leaves_in)
            last_sent = 0.0
            for step in range(30):
                now = trio.current_time()
                if acquire(server, now, is_essential=True):
                    last_sent = step * 0.1
                await trio.sleep(0.1)
            assert last_sent < min(NOTICE, leaves_in or NOTICE)
            assert last_sent > 0.5


def test_streams_move_early_enough_to_return_within_the_notice() -> None:
    """Guards against streams that are lost since they move after the last return."""
    table = ServerTable()
    table.update(make_record("s-1"), 0.0)
    table.drop(make_record("s-1").id, 0.0, "it drains", 2.5)
    departure = table.find_departure(make_record("s-1").id)
    assert departure is not None
    assert departure.notice_ends_at - MOVE_LEAD_TIME < departure.usable_until


def test_a_server_that_was_kept_stops_its_notice_after_it_was_missing() -> None:
    """Guards against streams that stay at a server that ends before they are moved."""
    table = ServerTable()
    table.apply_full_list([make_record("s-1")], 0.0)
    table.record_restore(5.0)
    table.apply_full_list([], 5.5)
    table.apply_full_list([], 7.3)
    departure = table.find_departure(make_record("s-1").id)
    assert departure is not None
    assert departure.stops_at == 5.5 + NOTICE


def test_the_list_is_read_after_a_server_was_taken_from_a_peer() -> None:
    """Guards against a peer that does not know yet that a server has left."""
    table = ServerTable()
    requested: list[bool] = []
    search = ServerSearch(
        HostId("host-1"),
        table,
        UnknownServers(table.has_known),
        list,
        lambda address, message: None,
        random.Random(1),
    )
    search.on_added = lambda: requested.append(True)
    answer = ServerAnswer(HostId("host-2"), 1, [make_record("s-1")], {}, is_last=True)
    trio.run(receive_answer, search, answer)
    assert len(requested) == 1
    trio.run(receive_answer, search, answer)
    assert len(requested) == 1


async def receive_answer(search: ServerSearch, answer: ServerAnswer) -> None:
    search.receive(answer, ("127.0.0.1", 1))


@pytest.mark.parametrize("hosts", [2, 4, 9, 16])
async def test_polls_of_all_hosts_find_a_removal_while_watches_are_silent(
    autojump_clock: trio.testing.MockClock, hosts: int
) -> None:
    """Guards against polls of all hosts at the same moment, a whole period apart."""
    fleet = [
        WatchingHost(live_peers=hosts - 1, seed=str(number)) for number in range(hosts)
    ]
    for host in fleet:
        host.store.data = fleet[0].store.data
        host.watch_store.data = MemoryStore().data
    for name in ("s-1", "s-2", "s-3", "s-4"):
        write_server(fleet[0].store, name)
    async with trio.open_nursery() as nursery:
        for host in fleet:
            nursery.start_soon(host.watcher.poll_servers)
        for name in ("s-1", "s-2", "s-3"):
            await trio.sleep(5.0)
            for host in fleet:
                host.watcher.wake_servers()
            await trio.sleep(0.1)
            fleet[0].store.remove(f"servers/{name}")
            await trio.sleep(NOTICE - 0.05)
            assert any(name not in list_names(host.servers) for host in fleet)
        nursery.cancel_scope.cancel()


async def test_a_host_that_ended_during_a_restore_is_not_kept(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a host that is kept after a restore and not looked at again."""
    store = MemoryStore(StoreData(era=1))
    table = HostTable(HostId("host-1"))
    watcher = HostWatcher(store, MemoryStore(), table, 15.0, random.Random(1))
    entry = HostEntry(
        HostId("host-2"), 1, "127.0.0.1:1", "127.0.0.1:2", FailureDomain("a"), True
    )
    store.write(f"{HOSTS_PREFIX}host-2/1", msgspec.json.encode(entry))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watcher.poll)
        await trio.sleep(1.0)
        assert len(table.list_hosts()) == 1
        store.remove(f"{HOSTS_PREFIX}host-2/1")
        table.handle_restore()
        await trio.sleep(LEASE_TTL - 0.5)
        assert len(table.list_hosts()) == 1
        await trio.sleep(1.0)
        assert len(table.list_hosts()) == 0
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("failing", ["first read", "watch"])
async def test_hosts_are_listed_again_soon_after_a_failed_call(
    autojump_clock: trio.testing.MockClock, failing: str
) -> None:
    """Guards against a host that knows no peers for seconds, and sends no reports."""
    store, watch_store = MemoryStore(), MemoryStore()
    watch_store.data = store.data
    table = HostTable(HostId("host-1"))
    watcher = HostWatcher(store, watch_store, table, 15.0, random.Random(1))
    entry = HostEntry(
        HostId("host-2"), 1, "127.0.0.1:1", "127.0.0.1:2", FailureDomain("a"), True
    )
    async with trio.open_nursery() as nursery:
        store.is_down = failing == "first read"
        nursery.start_soon(watcher.poll)
        nursery.start_soon(watcher.watch)
        await trio.sleep(0.3)
        store.is_down = False
        if failing == "watch":
            watch_store.is_down = True
            await trio.sleep(0.02)
            watch_store.is_down = False
        store.write(f"{HOSTS_PREFIX}host-2/1", msgspec.json.encode(entry))
        await trio.sleep(1.0)
        assert len(table.list_hosts()) == 1
        nursery.cancel_scope.cancel()
