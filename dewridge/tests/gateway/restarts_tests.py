"""Tests of backend servers that restart under the same name."""

from dataclasses import replace

import trio

from dewridge.gateway.model import ServerRecord
from dewridge.gateway.servers import ServerTable
from dewridge.ids import ServerName, make_server_id
from dewridge.tests.gateway.world import (
    DOMAIN,
    ENGINE,
    PLAIN,
    ServerExchange,
    World,
    answer_ok,
    make_event,
    open_world,
)

FIRST_START = 1_700_000_000_000
REPORT_TARGET = b"/-/report"
"""Target of the call by which a host with an old list asks a server for its start."""
SECOND_START = FIRST_START + 5_000


def make_record(born: int, *, is_draining: bool = False) -> ServerRecord:
    """Return the record of one process of the server `s-1`."""
    name = ServerName("s-1")
    return ServerRecord(
        make_server_id(name, born),
        name,
        PLAIN,
        "127.0.0.1:9",
        DOMAIN,
        6,
        is_draining,
        started_at_ms=born,
    )


def list_starts(table: ServerTable) -> list[int]:
    """Return the start times of the servers that may get requests."""
    return [record.started_at_ms for record in table.list_all()]


def start_again(world: World) -> None:
    """List the server `s-1` of a world as restarted."""
    first = next(
        record for record in world.state.servers.list_all() if record.name == "s-1"
    )
    later = replace(
        first, id=make_server_id(first.name, SECOND_START), started_at_ms=SECOND_START
    )
    world.state.servers.update(later, trio.current_time())


def test_a_server_that_drained_gets_requests_after_a_restart() -> None:
    """Guards against excluding a restarted server because its previous process drained.

    It would stay idle while callers are refused.
    """
    table = ServerTable()
    table.update(make_record(FIRST_START), 0.0)
    table.update(make_record(FIRST_START, is_draining=True), 1.0)
    table.update(make_record(SECOND_START), 2.0)
    assert list_starts(table) == [SECOND_START]


def test_a_late_record_of_an_earlier_start_does_not_affect_the_next_one() -> None:
    """Guards against applying outdated records of the previous process of a server.

    A lagging read returns the previous process as draining or ready. If it were
    applied, the restarted server would never get requests, or requests would be counted
    for a process that has ended.
    """
    table = ServerTable()
    table.update(make_record(SECOND_START), 0.0)
    table.merge_stale_list([make_record(FIRST_START, is_draining=True)], 1.0)
    table.update(make_record(FIRST_START), 1.0)
    table.drop(make_server_id(ServerName("s-1"), FIRST_START), 1.0, "told", 0.0)
    assert list_starts(table) == [SECOND_START]


def test_a_crash_is_detected_by_the_next_start() -> None:
    """Guards against a missed crash of a server that restarts before its record lapses.

    Its requests are lost and their callers must be informed, although no record was
    ever missing.
    """
    table = ServerTable()
    ended = []
    table.on_left = lambda record, stops_at, is_reported_by_peer: ended.append(
        (record.started_at_ms, stops_at)
    )
    table.update(make_record(FIRST_START), 0.0)
    table.update(make_record(SECOND_START), 3.0)
    assert ended == [(FIRST_START, 3.0)]
    assert list_starts(table) == [SECOND_START]
    assert list(table.list_recently_left(3.1)) == [make_record(FIRST_START).id]


async def test_a_stream_continues_at_the_next_start_of_its_only_server() -> None:
    """Guards against lost or repeated events after a server crash during a stream.

    The server restarts under its name. The request must count once in the sums of
    usage.
    """
    connections = 0

    async def crash_once(exchange: ServerExchange) -> None:
        nonlocal connections
        if exchange.target == REPORT_TARGET:
            await exchange.answer(b"", 404)
            return
        connections += 1
        await exchange.begin_stream()
        if connections == 1:
            await exchange.send_events(1, 2)
            start_again(world)
            exchange.reset()
            return
        after = int(exchange.headers[b"last-event-id"])
        await exchange.send_events(after + 1, 4)
        await exchange.end_stream()

    async with open_world() as world:
        server = await world.add_server("s-1", crash_once, ENGINE)
        server.answers_reports = False
        answer = await world.request("/chat/a", method="POST", body=b"x")
        counted = [sum(counts.values()) for counts in world.state.usage_counts.values()]
        seen = [
            exchange for exchange in server.received if exchange.target != REPORT_TARGET
        ]
    assert answer.is_complete
    assert answer.body == b"".join(make_event(number) for number in range(1, 5))
    assert [exchange.headers[b"x-expect-instance"] for exchange in seen] == [
        b"s-1",
        b"s-1",
    ]
    assert sum(counted) == 1


async def test_an_idle_connection_to_an_earlier_start_is_not_reused() -> None:
    """Guards against reusing an idle connection after the server has restarted.

    The connection only appears open, and a request sent on it would be lost.
    """
    async with open_world() as world:
        server = await world.add_server("s-1", answer_ok)
        await world.request("/read/a", request_id="r-1")
        start_again(world)
        await world.request("/read/a", request_id="r-2")
        opened, reused = world.state.pool.opened, world.state.pool.reused
    assert len(server.received) == 2
    assert (opened, reused) == (2, 0)


async def test_failures_of_an_earlier_start_cause_no_cooldown_of_the_next() -> None:
    async with open_world() as world:
        await world.add_server("s-1", answer_ok)
        first = world.state.servers.list_all()[0]
        for _ in range(5):
            health = world.state.get_health(first.id)
            health.record_failure(trio.current_time(), is_hard=True)
        start_again(world)
        second = world.state.servers.list_all()[0]
        now = trio.current_time()
        assert not world.state.get_health(first.id).is_usable(now, None, 0.0)
        assert world.state.get_health(second.id).is_usable(now, None, 0.0)
