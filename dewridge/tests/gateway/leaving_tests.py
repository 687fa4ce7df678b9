"""Tests of how a leaving host ends, on the loopback interface."""

import os
from collections.abc import Callable
from contextlib import suppress
from types import SimpleNamespace

import pytest
import trio

from dewridge.gateway.jobs import HeldMemory
from dewridge.gateway.model import RouteKind
from dewridge.gateway.shutdown.leaving import leave_fleet
from dewridge.platform.engines import CacheCopy
from dewridge.policy.shutdown import ShutdownSchedule
from dewridge.tests.gateway.world import (
    ENGINE,
    PLAIN,
    ServerExchange,
    World,
    answer_ok,
    make_configuration,
    make_request,
    make_route,
    open_world,
    read_answer,
)

ANSWER_SECONDS = 0.03
SEND_PERIOD = 0.1
"""Seconds between two requests, a sixth of the quiet period."""


class LeavingRegistration:
    """A registration that is removed at once."""

    def set_ready(self, is_ready: bool) -> None:
        """Ignore whether callers may be sent to the host."""

    seconds_since_answer = 0.0

    def __init__(self, on_exit: Callable[[], None] = lambda: None) -> None:
        self._on_exit = on_exit

    async def unregister(self) -> None:
        """Remove the registration; takes until the host ends."""
        try:
            await trio.sleep_forever()
        finally:
            self._on_exit()

    async def step_down(self) -> None:
        """End no term."""


async def leave(world: World, on_exit: Callable[[], None] = lambda: None) -> None:
    """Have a gateway leave, and call a function when it has decided to end."""
    registration = LeavingRegistration(on_exit)
    await leave_fleet(world.state, registration, registration)  # type: ignore[arg-type]


async def answer_soon(exchange: ServerExchange) -> None:
    """Answer after a short time of work."""
    await trio.sleep(ANSWER_SECONDS)
    await exchange.answer()


async def test_a_request_that_arrives_as_a_host_decides_to_end_is_answered() -> None:
    """Guards against an exit that is decided before the last requests are read."""
    async with open_world(answer_ttl=0.2) as world:
        server = await world.add_server("s-1", answer_soon)
        stream = await world.connect()
        await trio.sleep(0.05)

        def send() -> None:
            os.write(stream.socket.fileno(), make_request("/write/a"))

        await leave(world, send)
        world.nursery.cancel_scope.cancel()
        with trio.CancelScope(shield=True):
            answer = await read_answer(stream)
        assert answer.is_complete
        assert answer.status == (200 if server.received else 503)


@pytest.mark.parametrize("grace", [1.0, 8.0])
async def test_no_request_is_passed_on_and_cut_when_a_leaving_host_ends(
    grace: float,
) -> None:
    """Guards against requests that are read between the last check and the exit."""
    answered: set[str] = set()
    async with (
        trio.open_nursery() as callers,
        open_world(answer_ttl=0.05, grace=grace) as world,
    ):
        server = await world.add_server("s-1", answer_soon)

        async def send(name: int) -> None:
            for number in range(10_000):
                request_id = f"{name}-{number}"
                try:
                    stream = await world.connect()
                except OSError:
                    return
                async with stream:
                    request = make_request(
                        "/write/a", request_id=request_id, deadline_ms=100
                    )
                    with suppress(trio.BrokenResourceError):
                        await stream.send_all(request)
                    if (await read_answer(stream)).is_complete:
                        answered.add(request_id)
                await trio.sleep(0.003 * name)

        for name in range(12):
            callers.start_soon(send, name)
        await trio.sleep(0.2)
        await leave(world)
        world.nursery.cancel_scope.cancel()
    passed_on = {
        exchange.headers[b"x-attempt-id"].decode() for exchange in server.received
    }
    assert passed_on
    assert passed_on <= answered


async def test_a_leaving_host_stays_while_short_requests_arrive() -> None:
    """Guards against an exit because checks miss requests of a few milliseconds."""
    has_left = False
    outcomes: list[bool] = []

    async with open_world(answer_ttl=0.05, grace=4.0) as world:
        await world.add_server("s-1", answer_ok)

        async def send_often() -> None:
            while not has_left:
                async with await world.connect() as stream:
                    await stream.send_all(make_request("/write/a", deadline_ms=100))
                    answer = await read_answer(stream)
                outcomes.append(answer.is_complete)
                await trio.sleep(SEND_PERIOD)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_often)
            begin = trio.current_time()
            await leave(world)
            seconds = trio.current_time() - begin
            has_left = True
    assert all(outcomes)
    assert seconds > 4.0 * 5 / 6


async def test_a_silent_request_that_arrives_last_gets_a_status() -> None:
    """Guards against a request that comes as a host decides to end, and is cut."""

    async def stay_silent(exchange: ServerExchange) -> None:
        await trio.sleep_forever()

    async with open_world(answer_ttl=0.2, grace=3.0) as world:
        await world.add_server("s-1", stay_silent, ENGINE)
        stream = await world.connect()
        await trio.sleep(0.05)
        request = make_request("/draft/a", deadline_ms=20_000)
        await leave(world, lambda: _write(stream, request))
        world.nursery.cancel_scope.cancel()
        with trio.CancelScope(shield=True):
            answer = await read_answer(stream)
    assert answer.status in {502, 503}


async def test_a_pipelined_request_that_a_leaving_host_has_read_is_answered() -> None:
    """Guards against a request that is read during another answer and dropped."""
    async with open_world() as world:
        await world.add_server("s-1", answer_soon)
        async with await world.connect() as stream:
            world.state.ingress.is_leaving = True
            await stream.send_all(make_request("/write/a", request_id="a"))
            await trio.sleep(ANSWER_SECONDS / 3)
            await stream.send_all(make_request("/write/b", request_id="b"))
            answers = [await read_answer(stream), await read_answer(stream)]
            assert await stream.receive_some(1) == b""
    assert [answer.is_complete for answer in answers] == [True, True]
    closing = [answer.headers.get(b"connection") for answer in answers]
    assert closing == [None, b"close"]


def _write(stream: trio.SocketStream, data: bytes) -> None:
    os.write(stream.socket.fileno(), data)


async def test_streams_that_usually_outlast_a_leaving_host_are_refused() -> None:
    """Guards against long streams that are all cut, though other hosts serve them."""

    async def stream_slowly(exchange: ServerExchange) -> None:
        await exchange.begin_stream()
        for number in range(1, 5):
            await trio.sleep(0.3)
            await exchange.send_events(number, number)
        await exchange.end_stream()

    async with open_world() as world:
        server = await world.add_server("s-1", stream_slowly, ENGINE)
        assert (await world.request("/draft/a", deadline_ms=2000)).is_complete
        now = trio.current_time()
        world.state.shutdown = ShutdownSchedule(now, now + 0.9, now + 0.9, now + 1.0)
        long_stream = await world.request("/draft/b", deadline_ms=2000)
        other_route = await world.request("/chat/c", deadline_ms=2000)
    assert (long_stream.status, other_route.status) == (503, 200)
    assert [each.target for each in server.received] == [b"/draft/a", b"/chat/c"]


async def test_an_answer_that_its_caller_has_not_read_outlasts_the_process() -> None:
    """Guards against answers that are cut at the exit since their callers are slow."""
    event = b"id: %d\ndata: " + b"x" * 5_000 + b"\n\n"

    async def stream_at_once(exchange: ServerExchange) -> None:
        await exchange.begin_stream()
        for number in range(30):
            data = event % number
            await exchange.send(b"%x\r\n%s\r\n" % (len(data), data))
        await exchange.end_stream()

    async with open_world(answer_ttl=0.05, grace=1.0) as world:
        await world.add_server("s-1", stream_at_once, ENGINE)
        host, _, port = world.address.rpartition(":")
        socket = trio.socket.socket()
        socket.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, 4_096)
        await socket.connect((host, int(port)))
        async with trio.SocketStream(socket) as caller:
            await caller.send_all(make_request("/draft/a", deadline_ms=2000))
            await trio.sleep(0.1)
            await leave(world)
            world.nursery.cancel_scope.cancel()
            with trio.CancelScope(shield=True):
                answer = await read_answer(caller)
    assert answer.is_complete
    assert answer.body == b"".join(event % number for number in range(30))


async def test_a_request_that_is_read_after_its_deadline_is_not_passed_on() -> None:
    """Guards against servers that run what its caller does not wait for any more."""
    async with open_world() as world:
        server = await world.add_server("s-1", answer_soon)
        # The connection to the server is open, so that nothing delays the request.
        assert (await world.request("/write/a")).status == 200
        head, _, _ = make_request(
            "/write/b", method="POST", body=b"xy", deadline_ms=200
        ).partition(b"xy")
        async with await world.connect() as stream:
            await stream.send_all(head + b"x")
            await trio.sleep(0.4)
            await stream.send_all(b"y")
            answer = await read_answer(stream)
    assert answer.status == 504
    assert [each.target for each in server.received] == [b"/write/a"]


@pytest.mark.parametrize("grace", [1.0, 2.0])
async def test_a_host_that_reads_a_request_ends_before_it_is_killed(
    grace: float,
) -> None:
    """Guards against an exit that waits for uploads beyond a short grace period."""
    async with open_world(answer_ttl=0.05, grace=grace) as world:
        head = make_request("/write/a", method="POST", body=b"xy")[:-1]
        async with await world.connect() as stream:
            await stream.send_all(head)
            await trio.sleep(0.05)
            begin = trio.current_time()
            await leave(world)
            seconds = trio.current_time() - begin
    assert grace * 5 / 6 < seconds < grace * 0.96


@pytest.mark.parametrize("route", ["write", "read", "draft", "chat"])
async def test_a_request_that_has_waited_for_a_server_is_not_passed_on_late(
    route: str,
) -> None:
    """Guards against requests that wait while their host begins to leave."""

    async def answer_late(exchange: ServerExchange) -> None:
        if exchange.target.startswith(b"/draft"):
            await exchange.begin_stream()
            await exchange.send_events(1, 1)
        await trio.sleep(5.0)

    is_stream = route in {"draft", "chat"}
    kind = RouteKind.STREAM if is_stream else RouteKind.NON_IDEMPOTENT
    service = ENGINE if is_stream else PLAIN
    waiting = make_route(route, kind, service, timeout=60.0, latency_target=8.0)
    configuration = make_configuration(routes=(waiting,))
    async with open_world(configuration, grace=2.0) as world:
        server = await world.add_server("s-1", answer_late, service)
        world.state.pushback.apply_rest(server.id, 1.1, trio.current_time())
        async with await world.connect() as stream:
            await stream.send_all(make_request(f"/{route}/a", deadline_ms=60_000))
            await trio.sleep(0.1)
            await leave(world)
            world.nursery.cancel_scope.cancel()
            with trio.CancelScope(shield=True):
                answer = await read_answer(stream)
    assert (answer.status, answer.is_complete) == (503, True)
    assert server.received == []


async def test_a_leaving_host_frees_the_memory_of_ended_streams() -> None:
    """Guards against engines that hold memory for a host that is gone."""

    async def free_slowly(exchange: ServerExchange) -> None:
        await trio.sleep(0.5)
        await exchange.answer()

    async with open_world(answer_ttl=0.05, grace=8.0) as world:
        server = await world.add_server("s-1", free_slowly, ENGINE)
        record = world.state.servers.find(server.id)
        assert record is not None
        held = [
            HeldMemory(record, CacheCopy(record.address, f"m-{number}", False))
            for number in range(3)
        ]
        job = SimpleNamespace(
            request=SimpleNamespace(id="r-1"), held_memory=held, unknown_orders=[]
        )
        world.state.left_memories.add(job)  # type: ignore[arg-type]
        begin = trio.current_time()
        await leave(world)
        seconds = trio.current_time() - begin
        freed = world.state.metrics.read("memory_releases_total", effect="done")
    assert [each.method for each in server.received] == [b"DELETE"] * 3
    assert freed == 3
    assert seconds < 4.0
