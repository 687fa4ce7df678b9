"""Tests of answers without a length or chunks, which end with their connection."""

import pytest
import trio

from dewridge.gateway.model import ServerRecord
from dewridge.gateway.reach import relay
from dewridge.ids import ServiceName
from dewridge.policy.losses import ConnectResult
from dewridge.policy.shutdown import schedule_shutdown
from dewridge.tests.gateway.partition_tests import open_linked_fleet, partition
from dewridge.tests.gateway.partitions import NewConnections, OpenConnections
from dewridge.tests.gateway.world import (
    ENGINE,
    PLAIN,
    REPORT,
    REPORT_TARGET,
    CallerAnswer,
    ScriptedServer,
    ServerExchange,
    World,
    make_event,
    make_request,
    open_world,
)

any_service = pytest.mark.parametrize(
    ("path", "service"), [("/draft/a", ENGINE), ("/write/a", PLAIN)]
)


async def begin_unframed(exchange: ServerExchange) -> None:
    """Send the head of an answer that ends with its connection."""
    await exchange.send(exchange.make_head(200))


async def close(exchange: ServerExchange) -> None:
    """Close the connection without a reset."""
    await exchange.stream.aclose()


async def add_crashing(
    world: World, events: int, service: ServiceName = ENGINE
) -> ScriptedServer:
    """Add a server that ends between two events, or before the first one."""
    servers: list[ScriptedServer] = []

    async def crash(exchange: ServerExchange) -> None:
        await begin_unframed(exchange)
        for number in range(1, events + 1):
            await exchange.send(make_event(number))
        await trio.sleep(0.05)
        await end_in_order(servers[0], exchange)

    servers.append(await world.add_server("crashing", crash, service))
    return servers[0]


async def end_in_order(server: ScriptedServer, exchange: ServerExchange) -> None:
    """End a server; its connection is closed without a reset."""
    server._scope.cancel()
    server.has_crashed = True
    await close(exchange)


async def test_a_whole_unframed_stream_is_complete() -> None:
    async def answer(exchange: ServerExchange) -> None:
        await begin_unframed(exchange)
        for number in (1, 2, 3):
            await exchange.send(make_event(number))
        await close(exchange)

    async with open_world() as world:
        await world.add_server("s-1", answer, ENGINE)
        result = await world.request("/draft/a", method="POST")
    assert (result.status, result.is_complete) == (200, True)
    assert result.body == b"".join(map(make_event, (1, 2, 3)))


async def test_an_unframed_stream_that_breaks_off_does_not_look_complete() -> None:
    """Guards against a success for a stream that ended early."""

    async def break_within_event(exchange: ServerExchange) -> None:
        await begin_unframed(exchange)
        await exchange.send(make_event(1) + make_event(2)[:-3])
        await close(exchange)

    async def reset(exchange: ServerExchange) -> None:
        await begin_unframed(exchange)
        await exchange.send(make_event(1))
        await trio.sleep(0.05)
        exchange.reset()

    async def send_nothing(exchange: ServerExchange) -> None:
        await begin_unframed(exchange)
        await close(exchange)

    for answer in (break_within_event, reset, send_nothing):
        async with open_world() as world:
            await world.add_server("s-1", answer, ENGINE)
            result = await world.request("/draft/a", method="POST")
        assert not (result.status == 200 and result.is_complete)


async def test_a_server_that_ends_between_events_has_not_answered() -> None:
    """Guards against a part of a stream that is taken for the whole.

    The connection of a process that ends is closed like that of a complete answer; the
    port then refuses new connections.
    """
    for events in (0, 2):
        async with open_world() as world:
            await add_crashing(world, events)
            result = await world.request("/draft/a", method="POST")
            assert not (result.status == 200 and result.is_complete)
            suspects = world.state.suspects.list_all()
            assert len(suspects) == 1
            assert not suspects[0].cleared


async def test_a_stream_goes_on_after_an_unframed_part() -> None:
    """Guards against a stream that ends early although it may be resumed."""

    async def continue_stream(exchange: ServerExchange) -> None:
        await begin_unframed(exchange)
        after = int(exchange.headers.get(b"last-event-id", b"0"))
        for number in range(after + 1, 5):
            await exchange.send(make_event(number))
        await close(exchange)

    async with open_world(retry_slack=100) as world:
        crashing = await add_crashing(world, 2)
        results = []

        async def ask() -> None:
            results.append(await world.request("/chat/a", method="POST"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            while not crashing.received:  # noqa: ASYNC110
                await trio.sleep(0.001)
            await world.add_server("sound", continue_stream, ENGINE)
    result = results[0]
    assert result.is_complete
    assert result.body == b"".join(map(make_event, (1, 2, 3, 4)))


async def test_a_plain_unframed_answer_is_whole_unless_it_is_reset() -> None:
    async def answer(exchange: ServerExchange) -> None:
        await begin_unframed(exchange)
        await exchange.send(b"whole")
        await close(exchange)

    async def reset(exchange: ServerExchange) -> None:
        await begin_unframed(exchange)
        await exchange.send(b"part")
        await trio.sleep(0.05)
        exchange.reset()

    async with open_world() as world:
        await world.add_server("s-1", answer, PLAIN)
        whole = await world.request("/write/a", method="POST")
    assert (whole.status, whole.body, whole.is_complete) == (200, b"whole", True)
    async with open_world() as world:
        await world.add_server("s-1", reset, PLAIN)
        broken = await world.request("/write/a", method="POST")
    assert broken.status != 200


async def test_a_part_of_a_plain_answer_is_no_success_if_its_server_ends() -> None:
    """Guards against a part of a body that its caller takes for the whole."""
    for pieces in (0, 2):
        async with open_world() as world:
            server = await add_crashing(world, pieces, PLAIN)
            result = await world.request("/write/a", method="POST")
            suspects = world.state.suspects.list_all()
        assert result.status == 502
        assert len(server.received) == 1
        assert len(suspects) == 1


async def test_a_plain_request_is_repeated_if_its_server_ends_in_its_answer() -> None:
    """Guards against a failure although another server can answer."""

    async def answer(exchange: ServerExchange) -> None:
        await begin_unframed(exchange)
        await exchange.send(b"whole")
        await close(exchange)

    async with open_world(retry_slack=100) as world:
        crashing = await add_crashing(world, 2, PLAIN)
        results = []

        async def ask() -> None:
            results.append(await world.request("/read/a"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            while not crashing.received:  # noqa: ASYNC110
                await trio.sleep(0.001)
            await world.add_server("sound", answer, PLAIN)
    assert (results[0].status, results[0].body) == (200, b"whole")


@pytest.mark.parametrize(("method", "status"), [("POST", 204), ("HEAD", 200)])
async def test_an_answer_without_a_body_is_whole_though_its_server_ends(
    method: str, status: int
) -> None:
    """Guards against the loss of an answer whose end is that of its head."""
    servers: list[ScriptedServer] = []

    async def answer(exchange: ServerExchange) -> None:
        await exchange.send(exchange.make_head(status))
        await end_in_order(servers[0], exchange)

    async with open_world() as world:
        servers.append(await world.add_server("s-1", answer, PLAIN))
        stream = await world.connect()
        async with stream:
            await stream.send_all(make_request("/write/a", method=method))
            head = await stream.receive_some(1000)
    assert head.startswith(b"HTTP/1.1 %d " % status)


@pytest.mark.parametrize(
    ("path", "service"), [("/draft/a", ENGINE), ("/write/a", PLAIN)]
)
async def test_a_server_is_asked_after_the_end_of_each_answer(
    path: str, service: ServiceName
) -> None:
    """Guards against an end that is judged by an answer of the server from before."""
    servers: list[ScriptedServer] = []

    async def answer(exchange: ServerExchange) -> None:
        await begin_unframed(exchange)
        await exchange.send(make_event(1))
        if len(servers[0].received) > 1:
            await end_in_order(servers[0], exchange)
        else:
            await close(exchange)

    async with open_world() as world:
        servers.append(await world.add_server("s-1", answer, service))
        whole = await world.request(path, method="POST", request_id="r-1")
        part = await world.request(path, method="POST", request_id="r-2")
    assert (whole.status, whole.is_complete) == (200, True)
    assert not (part.status == 200 and part.is_complete)


async def test_answers_that_end_together_share_probes() -> None:
    """Guards against a connection to the server for each answer without a length."""
    count = 20
    go = trio.Event()

    async def answer(exchange: ServerExchange) -> None:
        await begin_unframed(exchange)
        await exchange.send(b"whole")
        await go.wait()
        await close(exchange)

    async with open_world() as world:
        servers = [await world.add_server("s-1", answer, PLAIN)]
        results: list[int] = []

        async def ask(number: int) -> None:
            result = await world.request("/read/a", request_id=f"r-{number}")
            results.append(result.status)

        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(ask, number)
            while len(servers[0].received) < count:  # noqa: ASYNC110
                await trio.sleep(0.001)
            go.set()
        probes = world.state.pool.opened - count
    assert results == [200] * count
    assert 1 <= probes <= 3


@pytest.mark.parametrize(
    ("path", "service"), [("/draft/a", ENGINE), ("/write/a", PLAIN)]
)
@pytest.mark.parametrize("ends", [False, True])
async def test_an_answer_of_a_leaving_server_is_whole_unless_the_server_ends(
    path: str, service: ServiceName, ends: bool
) -> None:
    """Guards against a part that looks whole as its server exits when it had said."""
    servers: list[ScriptedServer] = []

    async def answer(exchange: ServerExchange) -> None:
        await exchange.send(exchange.make_head(200, b"Server-Leaving: 1\r\n"))
        await exchange.send(make_event(1))
        await trio.sleep(0.05)
        if ends:
            await end_in_order(servers[0], exchange)
        else:
            await close(exchange)

    async with open_world() as world:
        servers.append(await world.add_server("s-1", answer, service))
        result = await world.request(path, method="POST")
        assert world.state.servers.find_departure(servers[0].id) is not None
    assert (result.status == 200 and result.is_complete) is not ends


@pytest.mark.parametrize(
    ("path", "service"), [("/draft/a", ENGINE), ("/write/a", PLAIN)]
)
async def test_a_relay_asks_a_server_after_the_end_of_an_answer(
    path: str, service: ServiceName
) -> None:
    """Guards against a part that looks whole as the relay had probed its server."""
    servers: list[ScriptedServer] = []

    async def answer(exchange: ServerExchange) -> None:
        await begin_unframed(exchange)
        await exchange.send(make_event(1))
        if exchange.headers[b"x-attempt-id"] == b"part":
            linked.cut([1], NewConnections.REFUSED, OpenConnections.LIVE)
            await end_in_order(servers[0], exchange)
        else:
            await close(exchange)

    async with open_linked_fleet(2) as linked:
        servers.append(await linked.add_server("s-1", answer, service))
        partition(linked, [0])
        world = linked.fleet.worlds[0]
        results = {
            name: await world.request(path, method="POST", request_id=name)
            for name in ("first", "whole", "part")
        }
    assert (results["whole"].status, results["whole"].is_complete) == (200, True)
    part = results["part"]
    assert part.status in {200, 502}
    assert not (part.status == 200 and part.is_complete)


@pytest.mark.parametrize("ends", [False, True])
async def test_a_relay_probes_a_server_that_left_its_table(ends: bool) -> None:
    """Guards against a part that looks whole as the relay does not know its server."""
    servers: list[ScriptedServer] = []

    async def answer(exchange: ServerExchange) -> None:
        await exchange.send(exchange.make_head(200, b"Server-Leaving: 1\r\n"))
        await exchange.send(make_event(1))
        await trio.sleep(0.05)
        if ends:
            linked.cut([1], NewConnections.REFUSED, OpenConnections.LIVE)
            await end_in_order(servers[0], exchange)
        else:
            await close(exchange)

    async with open_linked_fleet(2) as linked:
        servers.append(await linked.add_server("s-1", answer))
        partition(linked, [0])
        result = await linked.fleet.worlds[0].request("/write/a", method="POST")
        assert len(servers[0].received) == 1
    assert result.status == (502 if ends else 200)


@pytest.mark.parametrize("path", ["/draft/a", "/write/a"])
async def test_a_whole_answer_on_a_live_connection_survives_a_partition(
    path: str,
) -> None:
    """Guards against a server that counts as ended as its host can't reach it."""
    has_begun = trio.Event()

    async def answer(exchange: ServerExchange) -> None:
        await begin_unframed(exchange)
        await exchange.send(make_event(1))
        has_begun.set()
        await trio.sleep(0.1)
        await exchange.send(make_event(2))
        await close(exchange)

    results: list[CallerAnswer] = []
    async with open_linked_fleet(2) as linked:
        await linked.add_server("s-1", answer, ENGINE if "draft" in path else PLAIN)
        world = linked.fleet.worlds[0]

        async def ask() -> None:
            results.append(await world.request(path, method="POST"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await has_begun.wait()
            partition(linked, [0], opened=OpenConnections.LIVE)
    assert (results[0].status, results[0].is_complete) == (200, True)
    assert results[0].body == make_event(1) + make_event(2)


@pytest.mark.parametrize("path", ["/draft/a", "/write/a"])
async def test_an_unframed_answer_by_a_relay_is_whole_unless_it_is_reset(
    path: str,
) -> None:
    """Guards against a relay that hides how an answer ended."""

    async def answer(exchange: ServerExchange) -> None:
        await begin_unframed(exchange)
        await exchange.send(make_event(1))
        if exchange.headers[b"x-attempt-id"] == b"whole":
            await close(exchange)
        await trio.sleep(0.05)
        exchange.reset()

    async with open_linked_fleet(2) as linked:
        await linked.add_server("s-1", answer, ENGINE if "draft" in path else PLAIN)
        partition(linked, [0])
        results = [
            await linked.fleet.worlds[0].request(path, method="POST", request_id=name)
            for name in ("whole", "part")
        ]
    assert [each.status == 200 and each.is_complete for each in results] == [
        True,
        False,
    ]


async def test_a_server_gets_requests_while_the_end_of_its_answer_is_checked() -> None:
    """Guards against sound servers that count as full after each such answer."""

    async def answer(exchange: ServerExchange) -> None:
        await begin_unframed(exchange)
        await close(exchange)

    async with open_world() as world:
        await world.add_server("s-1", answer, PLAIN)
        probe = world.state.pool.probe
        usable: list[bool] = []

        async def observe(server: ServerRecord) -> ConnectResult:
            health = world.state.get_health(server.id)
            usable.append(health.is_usable(trio.current_time(), None, 0.0))
            return await probe(server)

        world.state.pool.probe = observe  # type: ignore[method-assign]
        result = await world.request("/write/a", method="POST")
    assert (result.status, usable) == (200, [True])


@pytest.mark.parametrize(
    ("path", "service"), [("/draft/a", ENGINE), ("/write/a", PLAIN)]
)
@pytest.mark.parametrize("silent_probes", [1, 1000])
async def test_an_answer_is_not_whole_while_its_server_does_not_respond(
    path: str, service: ServiceName, silent_probes: int
) -> None:
    """Guards against a part that looks whole as its server may have ended."""
    probes: list[ConnectResult] = []

    async def answer(exchange: ServerExchange) -> None:
        if exchange.target == REPORT_TARGET:
            if len(probes) < silent_probes:
                await trio.sleep_forever()
            await exchange.answer(REPORT % 1)
            return
        await begin_unframed(exchange)
        await exchange.send(make_event(1))
        await close(exchange)

    async with open_world() as world:
        server = await world.add_server("s-1", answer, service)
        server.answers_reports = False

        async def probe(server: ServerRecord) -> ConnectResult:
            is_silent = len(probes) < silent_probes
            probes.append(ConnectResult.SILENT if is_silent else ConnectResult.ACCEPTED)
            return probes[-1]

        world.state.pool.probe = probe  # type: ignore[method-assign]
        result = await world.request(path, method="POST")
    is_whole = result.status == 200 and result.is_complete
    assert is_whole is (silent_probes == 1)


@any_service
async def test_a_relay_under_load_probes_the_server_of_an_ended_answer(
    path: str, service: ServiceName, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against whole answers that count as cut as their relay is busy."""
    has_begun = trio.Event()

    async def answer(exchange: ServerExchange) -> None:
        await begin_unframed(exchange)
        await exchange.send(make_event(1))
        has_begun.set()
        await trio.sleep(0.1)
        await close(exchange)

    async with open_linked_fleet(2) as linked:
        await linked.add_server("s-1", answer, service)
        partition(linked, [0])
        results: list[CallerAnswer] = []

        async def ask() -> None:
            world = linked.fleet.worlds[0]
            results.append(await world.request(path, method="POST"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await has_begun.wait()
            monkeypatch.setattr(relay, "MAX_RELAYED", 0)
    assert (results[0].status, results[0].body) == (200, make_event(1))


@pytest.mark.parametrize("is_leaving", [False, True])
@pytest.mark.parametrize("unusable", [1, 2])
@any_service
async def test_a_whole_answer_outlasts_a_relay_that_can_not_probe(
    path: str, service: ServiceName, unusable: int, is_leaving: bool
) -> None:
    """Guards against whole answers that count as cut as their relay can't say more."""
    has_begun = trio.Event()

    async def answer(exchange: ServerExchange) -> None:
        await begin_unframed(exchange)
        await exchange.send(make_event(1))
        has_begun.set()
        await trio.sleep(0.2)
        await close(exchange)

    async with open_linked_fleet(3) as linked:
        await linked.add_server("s-1", answer, service)
        partition(linked, [0])
        results: list[CallerAnswer] = []

        async def ask() -> None:
            world = linked.fleet.worlds[0]
            results.append(await world.request(path, method="POST"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await has_begun.wait()
            if is_leaving:
                now = trio.current_time()
                for world in linked.fleet.worlds[1:]:
                    world.state.shutdown = schedule_shutdown(now - 7.2, 8.0)
            else:
                linked.cut([unusable], NewConnections.SILENT, OpenConnections.LIVE)
    assert (results[0].status, results[0].body) == (200, make_event(1))


@any_service
async def test_an_answer_that_its_server_ends_at_its_deadline_is_not_whole(
    path: str, service: ServiceName
) -> None:
    """Guards against a part that looks whole as its server stopped work in time."""

    async def answer(exchange: ServerExchange) -> None:
        seconds = int(exchange.headers[b"x-deadline-ms"]) / 1000
        ends_at = trio.current_time() + seconds
        await begin_unframed(exchange)
        await exchange.send(make_event(1))
        await trio.sleep_until(ends_at)
        await close(exchange)

    async with open_world() as world:
        await world.add_server("s-1", answer, service)
        for number in range(5):
            result = await world.request(
                path, method="POST", request_id=f"r-{number}", deadline_ms=300
            )
            assert not (result.status == 200 and result.is_complete)


async def test_an_answer_counts_against_the_buffers_until_it_is_judged() -> None:
    """Guards against large answers that use memory which is not counted."""
    size = 1_000_000
    used: list[int] = []

    async def answer(exchange: ServerExchange) -> None:
        await begin_unframed(exchange)
        await exchange.send(bytes(size))
        await close(exchange)

    async with open_world() as world:
        await world.add_server("s-1", answer, PLAIN)
        probe = world.state.pool.probe

        async def observe(server: ServerRecord) -> ConnectResult:
            used.append(world.state.answer_buffers.used)
            return await probe(server)

        world.state.pool.probe = observe  # type: ignore[method-assign]
        result = await world.request("/write/a", method="POST")
        assert world.state.answer_buffers.used == 0
    assert len(result.body) == size
    assert used == [size]
