"""Tests of gateways whose backend servers say that they leave."""

from dataclasses import replace

import pytest
import trio

from dewridge.ids import BackendServerId
from dewridge.tests.gateway.pushback import (
    open_single_host,
    send_together,
)
from dewridge.tests.gateway.world import (
    ENGINE,
    ServerExchange,
    answer_ok,
)


async def say_goodbye(exchange: ServerExchange) -> None:
    """Answer as a server that leaves."""
    await exchange.answer(extra=b"Server-Leaving: 1\r\n")


async def test_a_server_that_says_that_it_leaves_gets_no_new_requests() -> None:
    """Guards against new work for a server whose departure the store reports later."""
    async with open_single_host() as world:
        leaving = await world.add_server("s-leaving", say_goodbye)
        while not leaving.received:
            await world.request("/read/a", request_id="first")
        await world.add_server("s-2", answer_ok)
        answers = await send_together(world, 10, "/read/a")
        record = world.state.servers.find(leaving.id)
    assert {answer.status for answer in answers} == {200}
    assert len(leaving.received) == 1
    assert record is None


async def test_hosts_are_told_of_a_server_that_says_that_it_leaves() -> None:
    left: list[tuple[BackendServerId, bool]] = []
    async with open_single_host() as world:
        world.state.servers.on_left = lambda record, stops_at, is_reported: left.append(
            (record.id, is_reported)
        )
        server = await world.add_server("s-1", say_goodbye)
        await world.request("/read/a")
        report = world.state.make_report(1)
    assert left == [(server.id, False)]
    assert set(report.departing_servers) == {server.id}


async def test_a_request_that_waited_is_not_sent_to_a_server_that_left() -> None:
    """Guards against requests that were assigned to a server before it said so."""
    async with open_single_host() as world:
        server = await world.add_server("s-1", answer_ok)
        now = trio.current_time()
        assert world.state.pushback.acquire(server.id, now)
        world.state.servers.drop(server.id, now, "it leaves")
        assert not world.state.pushback.acquire(server.id, now)
        assert world.state.pushback.acquire(server.id, now, is_essential=True)


async def test_notice_in_the_store_replaces_the_assumed_one() -> None:
    """Guards against streams that are moved too late off a server that says it leaves.

    Its answers do not say when it stops; its record in the store does, a moment later.
    """
    async with open_single_host() as world:
        server = await world.add_server("s-1", say_goodbye, ENGINE)
        servers = world.state.servers
        record = servers.find(server.id)
        assert record is not None
        stops: list[float] = []
        servers.on_left = lambda record, stops_at, is_reported: stops.append(stops_at)
        servers.drop(server.id, 100.0, "it says so")
        for now in (100.5, 101.0):
            servers.update(replace(record, is_draining=True, leaves_in=0.8), now)
        departure = servers.find_departure(server.id)
    assert departure is not None
    assert departure.stops_at == pytest.approx(101.3)
    assert stops == pytest.approx([102.0, 101.3])


async def test_record_that_is_read_late_does_not_delay_the_moves_of_streams() -> None:
    """Guards against streams that are lost since a notice seems to begin when read.

    Another host has reported that the server stops in a second; its record, which says
    the same, is read nearly a second later.
    """
    async with open_single_host() as world:
        server = await world.add_server("s-1", answer_ok, ENGINE)
        servers = world.state.servers
        record = servers.find(server.id)
        assert record is not None
        servers.drop(server.id, 100.0, "host-2 told", 1.0, is_reported=True)
        servers.update(replace(record, is_draining=True, leaves_in=1.0), 100.9)
        departure = servers.find_departure(server.id)
    assert departure is not None
    assert departure.stops_at == pytest.approx(101.0)
