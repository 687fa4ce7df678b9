"""The hosts of a large fleet that follow the store for all others."""

import itertools

import msgspec
import trio
import trio.testing

from dewridge.gateway.configuration import ConfigurationState
from dewridge.gateway.servers import ServerTable
from dewridge.gateway.watching import Part, StoreWatcher
from dewridge.ids import ServerName, make_server_id
from dewridge.platform.names import SERVERS_PREFIX
from dewridge.tests.gateway.memorystore import MemoryStore, StoreData

READERS = 9
CHANGE_PERIOD = 0.05
"""Seconds between two changes of servers' records: ninety servers of which some start,
are still slow, or leave."""
KNOWN_WITHIN = 0.35
"""Seconds until the first reader must know of a leaving server: streams there are to be
moved within a notice of two seconds, and the news has two steps to go."""


class Reader:
    """One host that follows the servers, as one of several."""

    def __init__(self, data: StoreData, readers: int) -> None:
        self.store = MemoryStore(data)
        self.servers = ServerTable()
        part = Part.READER if readers > 1 else Part.ALL
        self.watcher = StoreWatcher(
            MemoryStore(data),
            self.store,
            ConfigurationState(trusted_for=4.0),
            self.servers,
            lambda: 60,
            6000.0,
            lambda: part,
            lambda: 0,
            lambda: readers,
        )


def make_server(number: int, state: str) -> tuple[str, bytes]:
    """Return key and value of a server's record."""
    record = {
        "service": "engine",
        "address": f"10.0.0.{number + 1}:80",
        "zone": "domain-a",
        "slots": 8,
        "state": state,
        "sequence": 1,
        "born": 1_000,
    }
    return f"{SERVERS_PREFIX}s-{number}", msgspec.json.encode(record)


async def test_readers_share_the_calls_that_changes_cost(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Servers of a large fleet come, warm up and go all the time.

    Each change woke the watch of each reader, up to ten times a second, and operators
    pay for each call.
    """
    data = StoreData()
    readers = [Reader(data, READERS) for _ in range(READERS)]
    async with trio.open_nursery() as nursery:
        for reader in readers:
            nursery.start_soon(reader.watcher.watch_servers)
        for number in itertools.islice(itertools.cycle(range(20)), 200):
            readers[0].store.write(*make_server(number, "ready"))
            await trio.sleep(CHANGE_PERIOD)
        nursery.cancel_scope.cancel()
    calls = sum(reader.store.calls for reader in readers)
    assert calls <= 200 * CHANGE_PERIOD * 20


async def test_one_of_the_readers_knows_of_a_leaving_server_in_time(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """A server is reclaimed among changes of others, fifty times over.

    Its streams must be moved before it goes: the reader that looks first tells all.
    """
    data = StoreData()
    readers = [Reader(data, READERS) for _ in range(READERS)]
    writer = readers[0].store
    waits: list[float] = []
    async with trio.open_nursery() as nursery:
        for reader in readers:
            nursery.start_soon(reader.watcher.watch_servers)
        for number in range(50):
            writer.write(*make_server(number, "ready"))
            await trio.sleep(1.5)
            server = make_server_id(ServerName(f"s-{number}"), 1_000)
            writer.write(*make_server(number, "draining"))
            drained_at = trio.current_time()
            while all(one.servers.find(server) for one in readers):
                writer.write(*make_server(99, "ready"))
                await trio.sleep(CHANGE_PERIOD)
            waits.append(trio.current_time() - drained_at)
        nursery.cancel_scope.cancel()
    assert max(waits) <= KNOWN_WITHIN


async def test_a_reader_alone_looks_as_often_as_before(
    autojump_clock: trio.testing.MockClock,
) -> None:
    data = StoreData()
    reader = Reader(data, readers=1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(reader.watcher.watch_servers)
        for number in range(200):
            reader.store.write(*make_server(number % 20, "ready"))
            await trio.sleep(CHANGE_PERIOD)
        nursery.cancel_scope.cancel()
    assert 60 <= reader.store.calls <= 110
