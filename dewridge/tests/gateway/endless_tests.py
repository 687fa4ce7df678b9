"""Tests of servers that send bytes without end in place of an answer."""

import tracemalloc
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import suppress
from typing import cast

import pytest
import trio

from dewridge.bodies import read_bounded
from dewridge.gateway import events, forwarding
from dewridge.gateway.attempts import MAX_REJECTIONS
from dewridge.gateway.documents import passing
from dewridge.gateway.documents.passing import FetchFailure
from dewridge.gateway.events import EventSplitter, EventTooLongError, parse_event_id
from dewridge.gateway.forwarding import (
    AnswerBuffers,
    CompleteAnswer,
    IncomingAnswer,
    read_complete_answer,
)
from dewridge.gateway.hosts import HostEntry
from dewridge.gateway.model import Limits, RouteKind
from dewridge.gateway.placement.probing import probe_server_load
from dewridge.gateway.reach import control
from dewridge.gateway.reach.control import call_engine
from dewridge.gateway.reach.peers import ask_peer
from dewridge.http1 import calls
from dewridge.http1.calls import CallFailure, ServiceClient
from dewridge.http1.client import ClientConnection, ResponseHead
from dewridge.ids import BackendServerId, HostId
from dewridge.platform.store import Store
from dewridge.sentinels import Failure
from dewridge.tests.gateway.partition_tests import open_linked_fleet, partition
from dewridge.tests.gateway.world import (
    DOMAIN,
    ENGINE,
    HOST,
    CallerAnswer,
    ServerExchange,
    World,
    answer_ok,
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


async def flood_head(exchange: ServerExchange) -> None:
    """Send a header without end."""
    await exchange.send(b"HTTP/1.1 200 OK\r\nX-Attempt-Id: ")
    while True:
        await exchange.send(PIECE)


async def flood_fields(exchange: ServerExchange) -> None:
    """Send headers without end."""
    await exchange.send(b"HTTP/1.1 200 OK\r\n")
    while True:
        await exchange.send(b"X-Field: value\r\n" * 1_000)


async def flood_interim(exchange: ServerExchange) -> None:
    """Send interim responses without end."""
    while True:
        await exchange.send(b"HTTP/1.1 100 Continue\r\n\r\n" * 1_000)


async def flood_chunks(exchange: ServerExchange) -> None:
    """Send the chunks of a body without end."""
    await exchange.begin_stream()
    await flood(exchange)


async def flood_unframed(exchange: ServerExchange) -> None:
    """Send a body without end that has neither a length nor chunks."""
    await exchange.send(exchange.make_head(200))
    while True:
        await exchange.send(PIECE)


async def flood_garbage(exchange: ServerExchange) -> None:
    """Send bytes without end that are no response."""
    while True:
        await exchange.send(PIECE)


async def flood_chunk_size(exchange: ServerExchange) -> None:
    """Send the size of a chunk without end."""
    await exchange.begin_stream()
    while True:
        await exchange.send(b"0" * 16_384)


async def trickle_fields(exchange: ServerExchange) -> None:
    """Send headers without end, one now and then."""
    await exchange.send(b"HTTP/1.1 200 OK\r\n")
    while True:
        await exchange.send(b"X-Field: value\r\n")
        await trio.sleep(0.02)


async def flood_chunk_extension(exchange: ServerExchange) -> None:
    """Send the extension of a chunk without end."""
    await exchange.begin_stream()
    await exchange.send(b"5;")
    while True:
        await exchange.send(PIECE)


async def flood_trailers(exchange: ServerExchange) -> None:
    """Send trailer fields without end."""
    await exchange.begin_stream()
    await exchange.send(b"0\r\n")
    while True:
        await exchange.send(b"X-Field: value\r\n" * 1_000)


async def flood_length(exchange: ServerExchange) -> None:
    """Send a body with a length beyond all limits."""
    await exchange.send(exchange.make_head(200, b"Content-Length: %d\r\n" % 10**15))
    while True:
        await exchange.send(PIECE)


async def flood_failure(exchange: ServerExchange) -> None:
    """Send the body of a failure without end."""
    await exchange.send(exchange.make_head(500))
    while True:
        await exchange.send(PIECE)


async def flood_refusal(exchange: ServerExchange) -> None:
    """Send the body of a refusal without end."""
    await exchange.send(exchange.make_head(503, b"X-Not-Executed: 1\r\n"))
    while True:
        await exchange.send(PIECE)


FLOODS = [
    flood_head,
    flood_fields,
    flood_interim,
    flood_chunks,
    flood_unframed,
    flood_garbage,
    flood_chunk_size,
    flood_chunk_extension,
    flood_trailers,
    flood_length,
    flood_failure,
    flood_refusal,
    trickle_fields,
]


@pytest.mark.parametrize("send", FLOODS)
async def test_bytes_without_end_are_no_answer(send: Send) -> None:
    """Guards against a caller that waits, and memory that grows, with a server's bytes.

    The request may not be repeated, so that its caller learns of it at once, or at the
    deadline if the bytes come slowly.
    """
    async with open_world() as world:
        server = await world.add_server("s-1", send)
        tracemalloc.start()
        with trio.fail_after(MAX_SECONDS):
            answer = await world.request("/write/a", method="POST", deadline_ms=1_000)
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        await trio.sleep(0.2)
        closed, buffered = server.closed_connections, world.state.answer_buffers.used
    # A refusal is whole with its head: the request did not run.
    assert answer.status in ({503} if send is flood_refusal else {502, 504})
    assert peak < 32 * MEGABYTE
    assert closed >= 1
    assert buffered == 0


@pytest.mark.parametrize("path", ["/draft/a", "/chat/a"])
@pytest.mark.parametrize("send", FLOODS)
async def test_bytes_without_end_are_no_stream(send: Send, path: str) -> None:
    """Guards against memory that grows with bytes that a server sends for events."""
    async with open_world() as world:
        server = await world.add_server("s-1", send, ENGINE)
        tracemalloc.start()
        with trio.fail_after(MAX_SECONDS):
            answer = await world.request(path, method="POST", deadline_ms=1_000)
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        await trio.sleep(0.2)
        closed, buffered = server.closed_connections, world.state.answer_buffers.used
    assert not (answer.status == 200 and answer.is_complete)
    assert peak < 32 * MEGABYTE
    assert closed >= 1
    assert buffered == 0


@pytest.mark.parametrize("is_relayed", [False, True])
@pytest.mark.parametrize("reads", [True, False])
@pytest.mark.parametrize("path", ["/draft/a", "/chat/a"])
async def test_events_without_end_are_not_kept(
    path: str, reads: bool, is_relayed: bool
) -> None:
    """Guards against memory that grows with the events of a stream."""

    async def send_events(exchange: ServerExchange) -> None:
        await exchange.begin_stream()
        number = 0
        while True:
            number += 1
            event = b"id: %d\ndata: %s\n\n" % (number, b"x" * 4_000)
            await exchange.send(b"%x\r\n%s\r\n" % (len(event), event))

    received = b""
    count = 0
    async with open_linked_fleet(2) as linked:
        await linked.add_server("s-1", send_events, ENGINE)
        world = linked.fleet.worlds[0]
        if is_relayed:
            partition(linked, [0])
        tracemalloc.start()
        stream = await world.connect()
        async with stream:
            request = make_request(path, method="POST", deadline_ms=1_500)
            await stream.send_all(request)
            if not reads:
                await trio.sleep(1.6)
            try:
                with trio.fail_after(MAX_SECONDS):
                    while data := await stream.receive_some(65_536):
                        received = received[-10:] + bytes(data)
                        count += len(data)
            except trio.BrokenResourceError:
                pass
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
    assert count > 100_000
    assert not received.endswith(b"\r\n0\r\n\r\n")
    assert peak < 8 * MEGABYTE


@pytest.mark.parametrize("send", FLOODS)
async def test_a_load_probe_ends_in_time(send: Send) -> None:
    """Guards against a placement that waits for an engine's bytes without end."""
    async with open_world() as world:
        server = await world.add_server("s-1", send, ENGINE)
        server.answers_reports = False
        record = world.state.servers.find(server.id)
        assert record is not None
        tracemalloc.start()
        with trio.fail_after(MAX_SECONDS):
            answer = await probe_server_load(world.state, record, 0.3)
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        await trio.sleep(0.2)
        closed = server.closed_connections
    assert answer is None
    assert peak < 8 * MEGABYTE
    assert closed >= 1


@pytest.mark.parametrize("send", FLOODS)
async def test_a_document_of_a_peer_has_an_end(
    send: Send, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a host that keeps what a peer sends for a document."""
    monkeypatch.setattr(passing, "CALL_TIMEOUT", 0.3)
    monkeypatch.setattr(calls, "MAX_TRANSFER_SECONDS", 0.5)
    async with open_world() as world:
        server = await world.add_server("peer", send)
        record = world.state.servers.find(server.id)
        assert record is not None
        peer = make_peer(record.address)
        tracemalloc.start()
        with trio.fail_after(MAX_SECONDS):
            passed = await passing.fetch_document(peer, None)
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        await trio.sleep(0.2)
        closed = server.closed_connections
    assert isinstance(passed, FetchFailure)
    assert peak < 40 * MEGABYTE
    assert closed >= 1


@pytest.mark.parametrize("send", FLOODS)
async def test_a_peer_that_is_asked_for_probes_is_given_up(send: Send) -> None:
    """Guards against a search for a relay that waits for bytes without end."""
    async with open_world() as world:
        server = await world.add_server("peer", send)
        record = world.state.servers.find(server.id)
        assert record is not None
        tracemalloc.start()
        with trio.fail_after(MAX_SECONDS):
            results = await ask_peer(HOST, make_peer(record.address), [record])
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        await trio.sleep(0.2)
        closed = server.closed_connections
    assert not results
    assert peak < 8 * MEGABYTE
    assert closed >= 1


def make_peer(address: str) -> HostEntry:
    """Return the entry of a host that listens for its peers on an address."""
    return HostEntry(HostId("host-2"), 1, "127.0.0.1:1", address, DOMAIN, True, "key")


async def test_an_answer_in_small_pieces_takes_no_more_memory_than_its_bytes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against memory for each piece: 40 bytes and more, for one or two."""
    count = 100_000
    monkeypatch.setattr(control, "MAX_ENGINE_ANSWER_BYTES", 10 * count)

    class PieceConnection:
        """Stands for a connection whose body arrives in pieces of two bytes."""

        def __init__(self) -> None:
            self.left = count

        async def receive_body(self) -> bytes | None:
            self.left -= 1
            return bytes(bytearray(2)) if self.left >= 0 else None

    def open_pieces() -> ClientConnection:
        return cast("ClientConnection", PieceConnection())

    async def iterate() -> AsyncIterator[bytes]:
        connection = PieceConnection()
        while (part := await connection.receive_body()) is not None:
            yield part

    head = ResponseHead(200, [])

    async def read_buffered() -> None:
        answer = IncomingAnswer(head, open_pieces(), lambda connection: None)
        complete = await read_complete_answer(answer, AnswerBuffers())
        assert isinstance(complete, CompleteAnswer)
        assert len(complete.body) == 2 * count

    async def read_control() -> None:
        assert len(await control._read_body(open_pieces()) or b"") == 2 * count

    async def read_call() -> None:
        with trio.CancelScope() as scope:
            progress = calls._Progress(scope, 5.0, None, 10 * count)
            connection = open_pieces()
            body = await calls._receive_body(connection, progress)
            assert len(body) == 2 * count

    async def read_own() -> None:
        assert len(await read_bounded(iterate(), 10 * count) or b"") == 2 * count

    for read in (read_buffered, read_control, read_call, read_own):
        tracemalloc.start()
        await read()
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        assert peak < 8 * count, read


@pytest.mark.parametrize("send", FLOODS)
async def test_a_request_is_served_elsewhere_if_a_server_sends_without_end(
    send: Send,
) -> None:
    """Guards against one server in trouble whose requests fail although others work."""
    count = 0

    async def answer(exchange: ServerExchange) -> None:
        nonlocal count
        count += 1
        await (send(exchange) if count == 1 else answer_ok(exchange))

    async with open_world() as world:
        for number in range(2):
            await world.add_server(f"s-{number}", answer)
        with trio.fail_after(MAX_SECONDS):
            result = await world.request("/read/a")
    assert result.status == 200


def test_large_answers_share_a_limit() -> None:
    """Guards against memory that grows with the number of endless answers."""
    buffers = AnswerBuffers()
    count = forwarding.MAX_BUFFERED_BYTES // forwarding.MAX_ANSWER_BYTES
    for _ in range(count):
        assert buffers.grow(0, forwarding.MAX_ANSWER_BYTES)
    assert not buffers.grow(0, forwarding.MAX_ANSWER_BYTES)
    assert buffers.grow(0, forwarding.SMALL_ANSWER_BYTES)
    for _ in range(count + 1):
        buffers.release(forwarding.MAX_ANSWER_BYTES)
    buffers.release(forwarding.SMALL_ANSWER_BYTES)
    assert buffers.used == 0
    assert not buffers.grow(0, forwarding.MAX_ANSWER_BYTES + 1)


@pytest.mark.parametrize("send", FLOODS)
async def test_a_relay_passes_on_no_bytes_without_end(send: Send) -> None:
    """Guards against a relay that reads on after the host that asked has ended."""
    async with open_linked_fleet(2) as linked:
        server = await linked.add_server("s-1", send)
        partition(linked, [0])
        world = linked.fleet.worlds[0]
        with trio.fail_after(MAX_SECONDS):
            answer = await world.request("/write/a", method="POST", deadline_ms=1_000)
        await trio.sleep(0.3)
        closed, received = server.closed_connections, len(server.received)
    if send is flood_refusal:
        # The request did not run, so that it is sent again up to the limit.
        assert (answer.status, received) == (503, MAX_REJECTIONS)
    else:
        assert answer.status in {502, 504}
        assert received == 1
    assert closed >= 1


@pytest.mark.parametrize("send", FLOODS)
@pytest.mark.parametrize("is_relayed", [False, True])
async def test_control_calls_end_in_time(send: Send, is_relayed: bool) -> None:
    """Guards against a move that waits for an engine's bytes without end."""
    async with open_linked_fleet(2) as linked:
        await linked.add_server("s-1", send)
        state = linked.fleet.worlds[0].state
        if is_relayed:
            partition(linked, [0])
            await linked.fleet.worlds[0].request("/read/a", deadline_ms=500)
        record = state.servers.find(BackendServerId("s-1"))
        assert record is not None
        with trio.fail_after(2.0):
            result = await call_engine(state, record, "POST", "/-/kv-move", b"{}", 0.5)
    assert isinstance(result, CallFailure)


async def test_interim_responses_without_end_are_an_error_at_once() -> None:
    """Guards against a request that waits until its deadline for a final response."""
    async with open_world() as world:
        await world.add_server("s-1", flood_interim)
        answer = await world.request("/write/a", method="POST", deadline_ms=10_000)
    assert answer.status == 502


@pytest.mark.parametrize("send", FLOODS)
async def test_answers_of_the_store_without_end_are_failures(
    send: Send, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a poll or a watch that never ends, and against its memory."""
    monkeypatch.setattr(calls, "MAX_TRANSFER_SECONDS", 0.5)
    async with open_world() as world:
        server = await world.add_server("store", send)
        record = world.state.servers.find(server.id)
        assert record is not None
        client = ServiceClient("store", record.address, 0.3)
        store = Store(client)
        tracemalloc.start()
        with trio.fail_after(MAX_SECONDS):
            listing = await store.list_items("servers/")
            changes = await store.watch("servers/", 1, 0.1)
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        await trio.sleep(0.1)
        closed = server.closed_connections
    assert isinstance(listing, Failure)
    assert isinstance(changes, Failure)
    assert peak < 40 * MEGABYTE
    assert closed >= 2


async def test_a_slow_body_of_the_store_without_end_is_given_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a call whose body makes progress for ever."""
    monkeypatch.setattr(calls, "MAX_TRANSFER_SECONDS", 0.5)

    async def send(exchange: ServerExchange) -> None:
        await exchange.begin_stream()
        while True:
            await exchange.send(b"%x\r\n%s\r\n" % (8_192, b"x" * 8_192))
            await trio.sleep(0.05)

    async with open_world() as world:
        server = await world.add_server("store", send)
        record = world.state.servers.find(server.id)
        assert record is not None
        with trio.fail_after(MAX_SECONDS):
            result = await ServiceClient("store", record.address, 0.3).call("GET", "/a")
    assert result is CallFailure.LOST


REQUEST = b"POST /write/a HTTP/1.1\r\nHost: example.test\r\nX-Api-Key: key-1\r\n"
CHUNKED_REQUEST = REQUEST + b"Transfer-Encoding: chunked\r\n\r\n"
REQUEST_FLOODS = {
    "garbage": (b"", PIECE),
    "line": (b"POST /", PIECE),
    "field": (REQUEST + b"X-Field: ", PIECE),
    "fields": (REQUEST, b"X-Field: value\r\n" * 1_000),
    "empty-lines": (b"", b"\r\n" * 8_000),
    "chunks": (CHUNKED_REQUEST, b"%x\r\n%s\r\n" % (len(PIECE), PIECE)),
    "small-chunks": (CHUNKED_REQUEST, b"1\r\nx\r\n" * 3_000),
    "chunk-size": (CHUNKED_REQUEST, b"0" * 16_384),
    "extension": (CHUNKED_REQUEST + b"5;", PIECE),
    "trailers": (CHUNKED_REQUEST + b"0\r\n", b"X-Field: value\r\n" * 1_000),
    "length": (REQUEST + b"Content-Length: 999999999999\r\n\r\n", PIECE),
    "pipelined": (b"", REQUEST + b"Content-Length: 1\r\n\r\nx"),
}
"""Beginning and repeated rest of requests that have no end."""


@pytest.mark.parametrize("to_relay", [False, True])
@pytest.mark.parametrize("name", REQUEST_FLOODS)
async def test_a_listener_keeps_no_bytes_without_end(name: str, to_relay: bool) -> None:
    """Guards against a caller, or a stranger at the port for peers, that fills memory.

    Pipelined requests are answered one by one, so that they need not end; the bytes
    that are held at a time have a limit.
    """
    begin, rest = REQUEST_FLOODS[name]
    has_ended = False
    async with open_linked_fleet(2) as linked:
        await linked.add_server("s-1", answer_ok)
        for world in linked.fleet.worlds:
            world.state.ingress.limits = Limits(idle_timeout=1.0)
            world.state.relay_ingress.limits = Limits(idle_timeout=1.0)
        address = linked.fleet.worlds[0].address
        if to_relay:
            address = linked.fleet.worlds[0].state.hosts.list_peers()[0].peers
        host, _, port = address.rpartition(":")
        stream = await trio.open_tcp_stream(host, int(port))

        async def discard() -> None:
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                while await stream.receive_some(65_536):
                    pass

        tracemalloc.start()
        async with stream, trio.open_nursery() as nursery:
            nursery.start_soon(discard)
            with trio.move_on_after(1.0 if name == "pipelined" else MAX_SECONDS):
                try:
                    await stream.send_all(begin)
                    while True:
                        await stream.send_all(rest)
                except trio.BrokenResourceError:
                    has_ended = True
            nursery.cancel_scope.cancel()
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
    assert has_ended or name == "pipelined"
    assert peak < 24 * MEGABYTE
