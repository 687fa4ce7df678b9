"""Tests of servers that send bytes without end in place of an answer."""

import tracemalloc
from collections.abc import Awaitable, Callable

import pytest
import trio

from dewridge.gateway import events
from dewridge.gateway.events import EventSplitter, EventTooLongError, parse_event_id
from dewridge.gateway.model import RouteKind
from dewridge.tests.gateway.world import (
    ENGINE,
    CallerAnswer,
    ServerExchange,
    World,
    make_configuration,
    make_event,
    make_request,
    make_route,
    open_world,
    read_answer,
)

PIECE = b"x" * 16_384
MEGABYTE = 1_000_000
MAX_SECONDS = 4.0
ROUTES = (make_route("chat", RouteKind.STREAM, ENGINE, is_resumable=True, timeout=8.0),)
"""A resumable route with time for a silence and for another server."""

Send = Callable[[ServerExchange], Awaitable[None]]


async def flood(exchange: ServerExchange) -> None:
    """Send bytes of a chunked body until the gateway closes the connection."""
    chunk = b"%x\r\n%s\r\n" % (len(PIECE), PIECE)
    while True:
        await exchange.send(chunk)


async def trickle(exchange: ServerExchange) -> None:
    """Send a byte of a chunked body now and then until the connection is closed."""
    while True:
        await exchange.send(b"1\r\nx\r\n")
        await trio.sleep(0.02)


async def request_stream(world: World, path: str = "/chat/a") -> CallerAnswer:
    """Request a stream and read the answer to its end."""
    connection = await world.connect()
    async with connection:
        await connection.send_all(make_request(path, deadline_ms=8000))
        return await read_answer(connection)


@pytest.mark.parametrize("send", [flood, trickle])
async def test_a_stream_goes_on_elsewhere_if_an_event_has_no_end(send: Send) -> None:
    """Guards against a stream whose events stop while bytes arrive without end."""

    async def answer(exchange: ServerExchange) -> None:
        first = int(exchange.headers.get(b"last-event-id", b"0")) + 1
        await exchange.begin_stream()
        if first == 1:
            await exchange.send_events(1, 2)
            await send(exchange)
        await exchange.send_events(first, 4)
        await exchange.end_stream()

    async with open_world(make_configuration(routes=ROUTES)) as world:
        servers = [await world.add_server(f"s-{n}", answer, ENGINE) for n in range(2)]
        tracemalloc.start()
        with trio.fail_after(MAX_SECONDS):
            result = await request_stream(world)
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        await trio.sleep(0.1)
        closed = sum(server.closed_connections for server in servers)
    assert (result.status, result.is_complete) == (200, True)
    assert result.body == b"".join(map(make_event, (1, 2, 3, 4)))
    assert peak < 8 * MEGABYTE
    assert closed >= 1


async def test_a_stream_that_may_not_be_resumed_ends_visibly_incomplete() -> None:
    """Guards against a caller that waits for an event without end, or trusts it."""

    async def answer(exchange: ServerExchange) -> None:
        await exchange.begin_stream()
        await exchange.send_events(1, 2)
        await flood(exchange)

    async with open_world() as world:
        server = await world.add_server("s-1", answer, ENGINE)
        with trio.fail_after(MAX_SECONDS):
            result = await request_stream(world, "/draft/a")
        await trio.sleep(0.1)
        closed = server.closed_connections
    assert (result.status, result.is_complete) == (200, False)
    assert result.body == b"".join(map(make_event, (1, 2)))
    assert closed >= 1


def test_an_event_without_end_is_not_buffered() -> None:
    """Guards against memory that grows with the bytes of an event."""
    splitter = EventSplitter()
    assert splitter.push(make_event(1) + b"id: 2") != []
    with pytest.raises(EventTooLongError):
        for _ in range(events.MAX_EVENT_BYTES // len(PIECE) + 1):
            splitter.push(PIECE)
    assert splitter.remainder == b""


def test_an_id_of_many_digits_is_none() -> None:
    """Guards against an id that is too long to be converted."""
    assert parse_event_id(b"id: " + b"9" * 5_000) is None
    assert parse_event_id(b"id: 900") == 900
