"""Tests of what callers can make a gateway hold, and of how it refuses more."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import h11
import pytest
import trio

from dewridge.gateway.ingress import (
    CONNECTION_BYTES,
    IngressState,
    RequestHandler,
    RequestHead,
    compute_head_size,
    find_body_length,
    serve_connection,
)
from dewridge.gateway.intake.listeners import (
    Endpoint,
    ListenerName,
    accept_any_head,
    list_connection_limits,
    make_endpoint,
)
from dewridge.gateway.model import CallerRequest, Limits, RouteKind
from dewridge.gateway.reach.protocol import KEY as RELAY_KEY
from dewridge.gateway.reach.protocol import make_key_check
from dewridge.gateway.responder import Responder
from dewridge.policy.memorybudget import ConnectionPlaces, MemoryBudget
from dewridge.tests.gateway.world import (
    PLAIN,
    ServerExchange,
    World,
    answer_ok,
    make_configuration,
    make_request,
    make_route,
    make_settings,
    open_world,
    read_answer,
    reset,
)

BODY = bytes(200_000)
SMALL_BUDGET = 400_000


async def hold(exchange: ServerExchange) -> None:
    """Never answer."""
    await trio.sleep_forever()


async def send_head(world: World, length: int) -> trio.SocketStream:
    """Connect and send a head that announces a body."""
    stream = await world.connect()
    fields = f"Content-Length: {length}\r\n"
    await stream.send_all(make_request("/write/a", method="POST", extra=fields))
    return stream


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition is met; fail if it is not in time."""
    for _ in range(500):
        if condition():
            return
        await trio.sleep(0.01)
    raise AssertionError("the condition was not met in time")


async def wait_until_released(world: World) -> None:
    """Wait until no connection holds anything."""
    ingress = world.state.ingress
    await wait_until(lambda: not ingress.memory.used and not ingress.connections)


async def test_a_body_over_the_limit_is_refused_before_it_is_sent() -> None:
    """Guards against bodies that are read although they are refused anyway."""
    async with open_world() as world:
        stream = await send_head(world, Limits().body_bytes + 1)
        with trio.fail_after(1.0):
            answer = await read_answer(stream)
        assert answer.status == 413
        await stream.aclose()
        await wait_until_released(world)


async def test_a_refusal_for_memory_is_a_promise() -> None:
    """Guards against requests that are refused and run, or are refused for good."""
    async with open_world() as world:
        server = await world.add_server("s-1", answer_ok)
        world.state.ingress.memory.limit = SMALL_BUDGET
        answer = await world.request("/write/a", method="POST", body=BODY)
        small = await world.request("/write/a", method="POST", body=b"x")
    assert answer.status == 503
    assert float(answer.headers[b"retry-after"]) > 0
    assert small.status == 200
    assert [exchange.body for exchange in server.received] == [b"x"]


async def test_a_stalled_body_makes_room_for_another() -> None:
    """Guards against a few callers that stop short and keep all others out."""
    async with open_world() as world:
        await world.add_server("s-1", answer_ok)
        memory = world.state.ingress.memory
        memory.limit = 1_000_000
        stalled = await send_head(world, len(BODY))
        await stalled.send_all(BODY[:-1])
        await trio.sleep(0.7)
        answer = await world.request("/write/a", method="POST", body=BODY)
        assert answer.status == 200
        refusal = await read_answer(stalled)
        assert refusal.status == 503
        assert memory.closed == 1
        await stalled.aclose()
        await wait_until_released(world)


@pytest.mark.parametrize("chunked", [False, True])
async def test_memory_is_given_back_on_every_way_out(chunked: bool) -> None:
    """Guards against a host that refuses more and more since it loses count."""
    limits = Limits(head_timeout=0.3, idle_timeout=0.3)
    framing = "Content-Length: 200000\r\n"
    if chunked:
        framing = "Transfer-Encoding: chunked\r\n"
    first = b"186A0\r\n" + BODY[:100_000] + b"\r\n" if chunked else BODY[:100_000]
    async with open_world(make_configuration(limits=limits)) as world:
        await world.add_server("s-1", answer_ok)
        request = make_request("/write/a", method="POST", extra=framing)
        inputs = [
            b"",
            request[:20],
            request,
            request + first,
            request + first + b"zz\r\n",
            make_request("/write/a", method="POST", body=BODY),
            make_request("/nowhere/a", method="POST", body=BODY),
            make_request("/read/a") * 3,
            b"\x00" * 50,
        ]
        for closes_at_once in (True, False):
            for data in inputs:
                async with await world.connect() as stream:
                    await stream.send_all(data)
                    if not closes_at_once:
                        await trio.sleep(0.5)
        await wait_until_released(world)


async def test_a_disconnected_caller_gives_its_memory_back() -> None:
    """Guards against bodies of callers that left while a server worked for them."""
    async with open_world() as world:
        await world.add_server("s-1", hold)
        stream = await world.connect()
        await stream.send_all(make_request("/write/a", method="POST", body=BODY))
        await wait_until(lambda: world.state.ingress.memory.used >= len(BODY))
        await stream.aclose()
        await wait_until_released(world)


async def test_chunks_of_one_byte_are_counted_by_what_they_hold() -> None:
    """Guards against tiny chunks that take many times their size in memory."""
    async with open_world() as world:
        await world.add_server("s-1", hold)
        framing = "Transfer-Encoding: chunked\r\n"
        head = make_request("/write/a", method="POST", extra=framing)
        async with await world.connect() as stream:
            await stream.send_all(head + b"1\r\nx\r\n" * 50_000 + b"0\r\n\r\n")
            await wait_until(lambda: world.state.served.count_stages()["sent"])
            held = world.state.ingress.memory.used
            buffers = world.state.ingress.buffer_bytes + CONNECTION_BYTES
            assert 50_000 <= held - buffers < 60_000


async def serve_endpoint(
    endpoint: Endpoint, request: bytes
) -> tuple[int, list[CallerRequest]]:
    """Send a request to a listener; return the status and what was served."""
    served: list[CallerRequest] = []
    ingress = IngressState(Limits(), connection_limit=10)

    async def handle(received: CallerRequest, responder: Responder) -> None:
        served.append(received)
        await responder.send_complete(200, [], b"")

    async with (
        open_listener(ingress, endpoint, handle) as address,
        await trio.open_tcp_stream(*address) as stream,
    ):
        await stream.send_all(request)
        answer = await read_answer(stream)
    return answer.status, served


@asynccontextmanager
async def open_listener(
    ingress: IngressState, endpoint: Endpoint, handle: RequestHandler
) -> AsyncIterator[tuple[str, int]]:
    """Serve connections, and yield the address."""

    async def accept(stream: trio.SocketStream) -> None:
        await serve_connection(stream, ingress, handle, endpoint)

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, accept, listeners)
        yield listeners[0].socket.getsockname()
        nursery.cancel_scope.cancel()


async def test_strangers_are_refused_by_peers_before_their_body() -> None:
    """Guards against a body of a stranger that is read before its key is checked."""
    endpoint = Endpoint(ConnectionPlaces("peers", 4), check_head=make_key_check("k"))
    head = make_request("/a", method="POST", extra="Content-Length: 4000000\r\n")
    status, served = await serve_endpoint(endpoint, head)
    assert (status, served) == (401, [])
    known = make_request("/a", extra=f"{RELAY_KEY.decode()}: k\r\n")
    status, served = await serve_endpoint(endpoint, known)
    assert (status, len(served)) == (200, 1)


async def test_bodies_that_nobody_uses_are_not_kept() -> None:
    """Guards against memory for bodies at the listeners of lookups and checks."""
    endpoint = Endpoint(ConnectionPlaces("directory", 4), keeps_bodies=False)
    request = make_request("/-/readyz", method="POST", body=BODY)
    status, served = await serve_endpoint(endpoint, request)
    assert status == 200
    assert served[0].body == b""


async def test_a_crowd_of_callers_does_not_make_a_host_look_unready() -> None:
    """Guards against checks and lookups that are refused for want of memory."""
    endpoint = make_endpoint(ListenerName.READINESS, 4, accept_any_head)
    ingress = IngressState(Limits(), connection_limit=10, memory=MemoryBudget(0))

    async def answer(received: CallerRequest, responder: Responder) -> None:
        await responder.send_complete(200, [], b"")

    async with (
        open_listener(ingress, endpoint, answer) as address,
        await trio.open_tcp_stream(*address) as stream,
    ):
        await stream.send_all(make_request("/-/readyz"))
        assert (await read_answer(stream)).status == 200
    assert endpoint.memory is not None
    assert endpoint.memory.used == 0


async def test_a_full_listener_refuses_with_a_promise() -> None:
    """Guards against connections that are closed without a word."""
    async with open_world() as world:
        await world.add_server("s-1", hold)
        world.state.ingress.endpoint.places.limit = 1
        first = await world.connect()
        await first.send_all(make_request("/write/a", method="POST", body=b"x"))
        await wait_until(lambda: world.state.served.count_stages()["sent"])
        second = await world.connect()
        answer = await read_answer(second)
        assert answer.status == 503
        assert float(answer.headers[b"retry-after"]) > 0
        await second.aclose()
        await first.aclose()


async def test_answers_that_nobody_reads_are_cut_for_others() -> None:
    """Guards against large answers that fail since callers do not read others."""
    size = 6_000_000

    async def send_large(exchange: ServerExchange) -> None:
        await exchange.answer(bytes(size))

    route = make_route("read", RouteKind.IDEMPOTENT, PLAIN, timeout=10.0)
    async with open_world(make_configuration(routes=(route,))) as world:
        await world.add_server("s-1", send_large)
        buffers = world.state.answer_buffers
        buffers.limit = size + 1_000_000
        unread = await world.connect()
        await unread.send_all(make_request("/read/a", deadline_ms=20_000))
        await wait_until(lambda: buffers.unread)
        assert buffers.used == size
        await trio.sleep(2.2)
        answer = await world.request("/read/a", request_id="r-2", deadline_ms=5_000)
        assert (answer.status, len(answer.body)) == (200, size)
        assert buffers.cut == 1
        await unread.aclose()
    assert buffers.used == 0


def test_listeners_leave_descriptors_for_servers() -> None:
    """Guards against callers that leave no descriptor for their requests."""
    limits = list_connection_limits(make_settings())
    callers, peers = limits[ListenerName.CALLERS], limits[ListenerName.PEERS]
    others = sum(limits.values()) - callers - peers
    assert others < 300
    assert 2 * (callers + peers) <= 1_024 - 300 + 1


def test_a_head_counts_no_more_than_its_bytes() -> None:
    """Guards against heads inside the limit that are refused as too large."""
    raw = b"GET /a HTTP/1.1\r\n" + b"a:\r\n" * 100 + b"\r\n"
    state = h11.Connection(h11.SERVER)
    state.receive_data(raw.replace(b"a:\r\n", b"host:x\r\n", 1))
    event = state.next_event()
    assert isinstance(event, h11.Request)
    head = RequestHead(event.method, event.target, tuple(event.headers))
    assert compute_head_size(head) <= len(raw) + 4


def test_lengths_that_are_no_numbers_announce_nothing() -> None:
    """Guards against an error for a length that the parser refuses anyway."""
    assert find_body_length([(b"content-length", b"x")]) == 0
    assert find_body_length([(b"content-length", b"12")]) == 12


@pytest.mark.parametrize("is_leaving", [False, True])
async def test_a_reset_and_an_exit_give_memory_back(is_leaving: bool) -> None:
    """Guards against memory that is lost with a reset, or while a host leaves."""
    async with open_world() as world:
        await world.add_server("s-1", hold)
        stream = await world.connect()
        await stream.send_all(make_request("/write/a", method="POST", body=BODY))
        await wait_until(lambda: world.state.served.count_stages()["sent"])
        if is_leaving:
            world.state.ingress.is_leaving = True
            world.state.served.prepare_exit()
            assert (await read_answer(stream)).status == 502
        else:
            reset(stream)
        await wait_until_released(world)
