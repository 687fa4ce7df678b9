"""Tests of gateways that are partitioned from the backend servers."""

from collections.abc import AsyncIterator, Iterable
from contextlib import AsyncExitStack, asynccontextmanager
from enum import Enum

import pytest
import trio

from dewridge.gateway.directory import Directory
from dewridge.gateway.forwarding import IncomingAnswer
from dewridge.gateway.reach import relay
from dewridge.gateway.reach.control import call_engine
from dewridge.gateway.reach.protocol import LOSS, decode_loss
from dewridge.gateway.responder import Responder
from dewridge.http1.calls import CallFailure
from dewridge.policy.losses import NOT_RUN_REASONS, LossReason
from dewridge.policy.reachability import ServerPath
from dewridge.policy.shutdown import schedule_shutdown
from dewridge.tests.gateway.moving_tests import (
    LAST_EVENT,
    ScriptedEngine,
    join_events,
)
from dewridge.tests.gateway.partitions import (
    LinkedFleet,
    NewConnections,
    OpenConnections,
)
from dewridge.tests.gateway.pushback import (
    open_fleet,
    register_hosts,
    send_together,
)
from dewridge.tests.gateway.world import (
    ENGINE,
    PLAIN,
    CallerAnswer,
    ScriptedServer,
    ServerExchange,
    World,
    answer_ok,
    read_answer,
    reset,
)

CONTACT_SECONDS = 3.0
"""Seconds after the start of a partition from which callers must be served."""
MIN_RELATIVE_SHARE = 2 / 3
"""Share served by partitioned hosts, relative to the share of the others."""


@pytest.mark.parametrize("opened", list(OpenConnections))
@pytest.mark.parametrize("new", list(NewConnections))
async def test_callers_of_partitioned_hosts_are_served(
    new: NewConnections, opened: OpenConnections
) -> None:
    """Guards against hosts that refuse callers while their peers reach the servers."""
    host_count, cut_count = 9, 5
    statuses: dict[int, list[int]] = {number: [] for number in range(host_count)}
    async with AsyncExitStack() as stack:
        fleet = await open_fleet(stack, host_count)
        linked = LinkedFleet(fleet)
        for number in range(4):
            await linked.add_server(f"s-{number}", answer_ok)

        async def send(number: int, world: World, seconds: float) -> None:
            statuses[number] += await fleet.send(world, seconds, rate=5.0)

        async def send_to_all(seconds: float) -> None:
            async with trio.open_nursery() as nursery:
                for number, world in enumerate(fleet.worlds):
                    nursery.start_soon(send, number, world, seconds)

        await send_to_all(0.5)
        linked.cut(range(cut_count), new, opened)
        await send_to_all(CONTACT_SECONDS)
        for known in statuses.values():
            known.clear()
        await send_to_all(2.0)
    shares = [known.count(200) / len(known) for known in statuses.values()]
    elsewhere = sum(shares[cut_count:]) / (host_count - cut_count)
    assert elsewhere > 0.98
    assert sum(shares[:cut_count]) / cut_count >= MIN_RELATIVE_SHARE * elsewhere


@asynccontextmanager
async def open_linked_fleet(host_count: int) -> AsyncIterator[LinkedFleet]:
    """Start gateways that reach each server over links of their own."""
    async with AsyncExitStack() as stack:
        yield LinkedFleet(await open_fleet(stack, host_count))


def partition(
    linked: LinkedFleet,
    hosts: Iterable[int],
    new: NewConnections = NewConnections.REFUSED,
    opened: OpenConnections = OpenConnections.RESET,
) -> None:
    linked.cut(hosts, new, opened)


async def wait_for_path(world: World, path: ServerPath, seconds: float = 2.0) -> None:
    """Wait until a gateway reaches the plain service by a path."""
    for _ in range(round(seconds / 0.02)):
        if world.state.links.find_path(PLAIN) is path:
            return
        await trio.sleep(0.02)
    raise AssertionError(world.state.links.describe())


async def write(world: World, number: int) -> CallerAnswer:
    """Send a request that may not be repeated."""
    return await world.request(
        "/write/a", method="POST", body=b"x" * 9_000, request_id=f"w-{number}"
    )


async def test_host_serves_by_itself_soon_after_a_partition() -> None:
    """Guards against a host that goes on relaying, also after the third partition."""
    async with open_linked_fleet(2) as linked:
        await linked.add_server("s-1", answer_ok)
        world = linked.fleet.worlds[0]
        for _ in range(3):
            partition(linked, [0])
            assert (await world.request("/read/a")).status == 200
            assert world.state.links.find_path(PLAIN) is ServerPath.BY_PEER
            linked.heal([0])
            await wait_for_path(world, ServerPath.DIRECT, seconds=1.0)
            relayed = world.state.metrics.read("requests_relayed_total", outcome="sent")
            assert (await world.request("/read/a")).status == 200
            assert relayed == world.state.metrics.read(
                "requests_relayed_total", outcome="sent"
            )


async def test_relayed_requests_run_once() -> None:
    """Guards against requests that both this host and a relay send."""
    async with open_linked_fleet(3) as linked:
        servers = [await linked.add_server(f"s-{n}", answer_ok) for n in range(3)]
        partition(linked, [0, 1], NewConnections.SILENT)
        statuses = []
        for number in range(12):
            answer = await write(linked.fleet.worlds[number % 2], number)
            statuses.append(answer.status)
        received = [exchange for server in servers for exchange in server.received]
    ids = [exchange.headers[b"x-attempt-id"] for exchange in received]
    assert set(statuses) == {200}
    assert len(ids) == len(set(ids)) == 12
    assert all(len(exchange.body) == 9_000 for exchange in received)
    assert not any(
        name.startswith(b"dewridge-") for each in received for name in each.headers
    )


@pytest.mark.parametrize("new", list(NewConnections))
async def test_partitioned_fleet_refuses_at_once(new: NewConnections) -> None:
    """Guards against callers that wait in vain while no host reaches a server."""
    async with open_linked_fleet(2) as linked:
        server = await linked.add_server("s-1", answer_ok)
        partition(linked, [0, 1], new)
        world = linked.fleet.worlds[0]
        await world.request("/read/a", request_id="first")
        begin = trio.current_time()
        answer = await world.request("/read/a", request_id="second")
        seconds = trio.current_time() - begin
        assert not server.received
        assert answer.status in {502, 503}
        if new is not NewConnections.RESET:
            assert answer.status == 503
            assert 0 < float(answer.headers[b"retry-after"]) <= 1
            assert seconds < 0.1


async def test_lost_servers_are_no_partition() -> None:
    """Guards against a lost server or service that is taken for a partition."""
    async with open_linked_fleet(3) as linked:
        plain = [await linked.add_server(f"p-{n}", answer_ok) for n in range(3)]
        engine = await linked.add_server("e-1", answer_ok, ENGINE)
        world = linked.fleet.worlds[0]
        linked.cut(range(3), NewConnections.REFUSED, OpenConnections.RESET, plain[:1])
        for number in range(6):
            answer = await world.request("/read/a", request_id=f"r-{number}")
            assert answer.status == 200
        assert world.state.links.find_path(PLAIN) is ServerPath.DIRECT
        linked.cut(range(3), NewConnections.REFUSED, OpenConnections.RESET, [engine])
        await world.request("/chat/a")
        assert world.state.links.find_path(ENGINE) is ServerPath.NONE
        assert (await world.request("/read/a")).status == 200
        relayed = world.state.metrics.read("requests_relayed_total", outcome="sent")
    assert relayed == 0


async def test_partition_from_some_servers_uses_the_others() -> None:
    """Guards against relays while a host still reaches half of the servers."""
    async with open_linked_fleet(2) as linked:
        servers = [await linked.add_server(f"s-{n}", answer_ok) for n in range(4)]
        linked.cut([0], NewConnections.SILENT, OpenConnections.HANG, servers[:2])
        world = linked.fleet.worlds[0]
        for number in range(8):
            answer = await world.request("/read/a", request_id=f"r-{number}")
            assert answer.status == 200
        assert world.state.links.find_path(PLAIN) is ServerPath.DIRECT


async def test_partitioned_host_blames_no_server_and_no_request() -> None:
    """Guards against servers and requests that the whole fleet avoids in vain."""

    async def answer_late(exchange: ServerExchange) -> None:
        await trio.sleep(0.3)
        await exchange.answer()

    async with open_linked_fleet(2) as linked:
        for number in range(3):
            await linked.add_server(f"s-{number}", answer_late)
        world, peer = linked.fleet.worlds
        async with trio.open_nursery() as nursery:
            for number in range(6):
                nursery.start_soon(write, world, number)
            await trio.sleep(0.15)
            partition(linked, [0])
        assert (await world.request("/read/a")).status == 200
        totals = world.state.make_report(1_000).totals.servers.values()
        assert all(server.failures == 0 for server in totals)
        assert world.state.suspects.is_empty
        assert peer.state.suspects.is_empty


async def test_relay_that_can_not_send_is_replaced() -> None:
    """Guards against requests lost at relays that are partitioned, leaving or gone."""
    async with open_linked_fleet(5) as linked:
        await linked.add_server("s-1", answer_ok)
        world, leaving, partitioned, gone, _ = linked.fleet.worlds
        partition(linked, [0])
        assert (await world.request("/read/a")).status == 200
        asked = partitioned.state.metrics.read("requests_relayed_for_peers_total")
        partition(linked, [2])
        begin = trio.current_time() - 4.0
        leaving.state.shutdown = schedule_shutdown(begin, grace=5.0)
        gone.state.relay_key = "another"
        for number in range(12):
            answer = await write(world, number)
            assert answer.status == 200
        asked -= partitioned.state.metrics.read("requests_relayed_for_peers_total")
        assert abs(asked) <= 1


async def test_stranger_can_not_use_the_relay() -> None:
    """Guards against callers that reach servers past routes, keys and quotas."""
    async with open_linked_fleet(2) as linked:
        server = await linked.add_server("s-1", answer_ok)
        peer = linked.fleet.worlds[0].state.hosts.list_peers()[0]
        host, _, port = peer.peers.rpartition(":")
        for key in (b"", b"dewridge-key: wrong\r\n"):
            stream = await trio.open_tcp_stream(host, int(port))
            async with stream:
                await stream.send_all(
                    b"GET /read/a HTTP/1.1\r\nHost: x\r\ndewridge-sender: host-0\r\n"
                    b"dewridge-call: request\r\ndewridge-server: s-1\r\n%s\r\n" % key
                )
                answer = await read_answer(stream)
            assert answer.status == 401
        assert not server.received


async def test_caller_that_leaves_ends_the_relayed_request() -> None:
    """Guards against servers that go on working for callers of a partitioned host."""
    ended = trio.Event()

    async def hold(exchange: ServerExchange) -> None:
        assert not await exchange.stream.receive_some(1)
        ended.set()

    async with open_linked_fleet(2) as linked:
        await linked.add_server("s-1", hold)
        world = linked.fleet.worlds[0]
        partition(linked, [0])
        with trio.move_on_after(0.5):
            await world.request("/write/a", method="POST", body=b"x")
        with trio.fail_after(0.5):
            await ended.wait()


async def test_incomplete_answer_stays_incomplete_through_a_relay() -> None:
    """Guards against a truncated answer that looks complete."""

    async def cut_short(exchange: ServerExchange) -> None:
        await exchange.send(exchange.make_head(200) + b"half")
        exchange.reset()

    async with open_linked_fleet(2) as linked:
        await linked.add_server("s-1", cut_short)
        partition(linked, [0])
        answer = await write(linked.fleet.worlds[0], 1)
    assert answer.status == 502


async def test_rest_asked_of_a_relay_holds_for_relayed_requests() -> None:
    """Guards against a server that gets more than it wants by way of a relay."""

    async def ask_for_rest(exchange: ServerExchange) -> None:
        await exchange.answer(b"", 503, b"X-Not-Executed: 1\r\nRetry-After: 3\r\n")

    async with open_linked_fleet(3) as linked:
        server = await linked.add_server("s-1", ask_for_rest)
        partition(linked, [0, 1])
        for number in range(12):
            answer = await write(linked.fleet.worlds[number % 2], number)
            assert answer.status == 503
        assert len(server.received) <= 3


async def test_streams_on_hanging_connections_go_on_elsewhere() -> None:
    """Guards against streams that end without their last event."""
    async with open_linked_fleet(2) as linked:
        engines = [ScriptedEngine(f"s-{number}") for number in range(2)]
        for engine in engines:
            await linked.add_server(engine.id, engine.answer, ENGINE)
        world = linked.fleet.worlds[0]
        answers: dict[str, CallerAnswer] = {}

        async def stream(path: str) -> None:
            answers[path] = await world.request(path, deadline_ms=8000)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stream, "/draft/a")
            await trio.sleep(0.1)
            linked.cut([0], NewConnections.SILENT, OpenConnections.HANG)
            nursery.start_soon(stream, "/chat/a")
    assert answers["/draft/a"].body == join_events(1, LAST_EVENT)
    assert answers["/chat/a"].body == join_events(1, LAST_EVENT)
    assert answers["/draft/a"].is_complete


async def test_partitioned_hosts_are_not_listed() -> None:
    """Guards against callers that are sent to hosts that have to relay."""
    async with open_linked_fleet(3) as linked:
        await linked.add_server("s-1", answer_ok)
        worlds = linked.fleet.worlds
        partition(linked, [0])
        assert (await worlds[0].request("/read/a")).status == 200
        await trio.sleep(0.3)
        for world in worlds:
            listed = Directory(world.state).list_addresses()
            assert sorted(listed) == sorted(other.address for other in worlds[1:])


async def test_idle_host_finds_a_partition_by_the_silence_of_its_servers() -> None:
    """Guards against a request that waits for its timeout on a hanging connection."""
    async with open_linked_fleet(2) as linked:
        await linked.add_server("s-1", answer_ok)
        world = linked.fleet.worlds[0]
        assert (await world.request("/read/a", request_id="first")).status == 200
        linked.cut([0], NewConnections.SILENT, OpenConnections.HANG)
        begin = trio.current_time()
        answer = await world.request("/read/a", request_id="second")
        assert answer.status == 200
        assert trio.current_time() - begin < 1.5


async def test_answer_that_hangs_in_its_body_is_asked_for_again() -> None:
    """Guards against a partition in the middle of an answer that costs its deadline."""
    is_first = True

    async def pause_in_body(exchange: ServerExchange) -> None:
        nonlocal is_first
        if not is_first:
            await exchange.answer(b"complete")
            return
        is_first = False
        await exchange.send(exchange.make_head(200, b"Content-Length: 8\r\n") + b"com")
        await trio.sleep(0.2)
        await exchange.send(b"plete")

    async with open_linked_fleet(2) as linked:
        await linked.add_server("s-1", pause_in_body)
        world = linked.fleet.worlds[0]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(cut_later, linked, 0.1)
            answer = await world.request("/read/a")
        assert (answer.status, answer.body) == (200, b"complete")


async def cut_later(linked: LinkedFleet, seconds: float) -> None:
    """Cut the first host from all servers, so that its connections hang."""
    await trio.sleep(seconds)
    linked.cut([0], NewConnections.SILENT, OpenConnections.HANG)


async def test_service_that_is_down_does_not_stop_the_relay_of_another() -> None:
    """Guards against peers that count as partitioned while a service is down."""
    async with open_linked_fleet(3) as linked:
        plain = await linked.add_server("p-1", answer_ok)
        engine = await linked.add_server("e-1", answer_ok, ENGINE)
        new, opened = NewConnections.REFUSED, OpenConnections.RESET
        linked.cut(range(3), new, opened, [engine])
        for world in linked.fleet.worlds:
            await world.request("/chat/a")
            assert world.state.links.find_path(ENGINE) is ServerPath.NONE
        await trio.sleep(0.3)
        linked.cut([0], new, opened, [plain])
        assert (await linked.fleet.worlds[0].request("/read/a")).status == 200


async def test_relayed_request_has_no_more_time_than_its_caller() -> None:
    """Guards against servers that work on after the caller's deadline."""
    async with open_linked_fleet(2) as linked:
        server = await linked.add_server("s-1", answer_ok)
        linked.cut([0], NewConnections.SILENT, OpenConnections.HANG)
        begin = trio.current_time()
        answer = await linked.fleet.worlds[0].request("/read/a", deadline_ms=1500)
        spent_ms = (trio.current_time() - begin) * 1000
        assert answer.status == 200
        left_ms = int(server.received[0].headers[b"x-deadline-ms"])
        assert 1500 - spent_ms <= left_ms < 1500 - 300


async def test_leaving_host_relays_while_no_other_can() -> None:
    """Guards against a rolling restart that leaves partitioned hosts without relays."""
    async with open_linked_fleet(2) as linked:
        await linked.add_server("s-1", answer_ok)
        world, leaving = linked.fleet.worlds
        partition(linked, [0])
        assert (await world.request("/read/a")).status == 200
        leaving.state.is_ready = False
        leaving.state.ingress.is_leaving = True
        leaving.state.shutdown = schedule_shutdown(trio.current_time(), grace=8.0)
        register_hosts([world])
        await trio.sleep(0.7)
        assert (await world.request("/read/a")).status == 200


def start_leaving(world: World) -> None:
    """Have a host leave that exits before most requests have to end."""
    world.state.is_ready = False
    world.state.ingress.is_leaving = True
    world.state.shutdown = schedule_shutdown(trio.current_time(), grace=2.0)


async def test_leaving_host_relays_nothing_that_may_outlast_it() -> None:
    """Guards against streams that are cut when a host exits that only relays them."""
    async with open_linked_fleet(3) as linked:
        await linked.add_server("s-1", answer_ok)
        world, leaving, _ = linked.fleet.worlds
        partition(linked, [0])
        for number in range(8):
            assert (await write(world, number)).status == 200
        before = leaving.state.metrics.read("requests_relayed_for_peers_total")
        assert before
        start_leaving(leaving)
        for number in range(8, 16):
            assert (await write(world, number)).status == 200
        after = leaving.state.metrics.read("requests_relayed_for_peers_total")
    assert after == before


async def test_leaving_host_relays_at_once_while_no_other_can() -> None:
    """Guards against refusals until peers learn that their only relay leaves."""
    async with open_linked_fleet(2) as linked:
        await linked.add_server("s-1", answer_ok)
        world, leaving = linked.fleet.worlds
        partition(linked, [0])
        assert (await write(world, 0)).status == 200
        start_leaving(leaving)
        for number in range(1, 5):
            assert (await write(world, number)).status == 200


async def test_connections_from_before_a_partition_are_not_used_after_it() -> None:
    """Guards against requests that hang although the partition has ended."""

    async def announce_idle_time(exchange: ServerExchange) -> None:
        await exchange.answer(extra=b"Keep-Alive: timeout=20\r\n")

    async with open_linked_fleet(2) as linked:
        await linked.add_server("s-1", announce_idle_time)
        world = linked.fleet.worlds[0]
        # As learned from servers that keep idle connections open for long.
        world.state.pool._idle_times[PLAIN].limit = 10.0
        await send_together(world, 4, "/read/a")
        linked.cut([0], NewConnections.REFUSED, OpenConnections.HANG)
        await world.request("/read/a")
        await wait_for_path(world, ServerPath.BY_PEER)
        linked.heal([0])
        await wait_for_path(world, ServerPath.DIRECT)
        begin = trio.current_time()
        for number in range(4):
            assert (await write(world, number)).status == 200
        assert trio.current_time() - begin < 0.5


async def test_request_that_crashes_servers_is_found_through_a_relay() -> None:
    """Guards against a crashing request that ends one server after the other."""
    async with open_linked_fleet(2) as linked:
        servers: dict[str, ScriptedServer] = {}

        async def crash(exchange: ServerExchange) -> None:
            for link in linked.links.values():
                if link.target == targets[exchange.server]:
                    link.end()
            servers[exchange.server].crash()

        for number in range(3):
            name = f"s-{number}"
            servers[name] = await linked.add_server(name, crash)
        targets = {server: link.target for (_, server), link in linked.links.items()}
        world = linked.fleet.worlds[0]
        linked.cut([0], NewConnections.RESET, OpenConnections.RESET)
        await world.request("/read/a", request_id="first")
        digests = [suspect.digest for suspect in world.state.suspects.list_all()]
        assert len(digests) == 1
        assert world.state.suspects.count_crashes(digests[0], trio.current_time()) >= 1


@pytest.mark.parametrize("status", [500, 502, 504, 200])
@pytest.mark.parametrize("loss", ["", "A_REASON_OF_A_LATER_VERSION"])
def test_an_unreadable_reply_of_a_relay_promises_nothing(
    status: int, loss: str
) -> None:
    """Guards against a call that runs twice as its relay's reply was not understood."""
    headers = [(LOSS, loss.encode())] if loss else []
    decoded = decode_loss(status, headers)
    assert decoded is not None
    assert decoded[0] not in NOT_RUN_REASONS


@pytest.mark.parametrize("status", [401, 408, 413, 429, 503])
def test_a_relay_that_did_not_read_a_call_did_not_pass_it_on(status: int) -> None:
    decoded = decode_loss(status, [])
    assert decoded is not None
    assert decoded[0] is LossReason.NO_PATH


class RelayEnd(Enum):
    """What happens after a relay has passed a request on."""

    RELAY_BREAKS = "the relay's connection to its peer ends without a reply"
    SERVER_BREAKS = "the server resets the relay's connection"
    UNREADABLE = "the relay gives a reason that the peer does not know"
    LATE = "the server answers after the peer's caller has given up"


@pytest.mark.parametrize("end", list(RelayEnd))
async def test_a_request_that_a_relay_passed_on_is_not_sent_again(
    end: RelayEnd, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a request that runs at two servers, each by another relay."""

    async def break_off(exchange: ServerExchange) -> None:
        if end is RelayEnd.LATE:
            await trio.sleep(1.5)
        if end in {RelayEnd.LATE, RelayEnd.RELAY_BREAKS}:
            await exchange.answer()
        else:
            reset(exchange.stream)

    async def fail(answer: IncomingAnswer, responder: Responder) -> None:
        raise RuntimeError("the relay ends")

    def encode_unknown(*arguments: object) -> list[tuple[bytes, bytes]]:
        return [(LOSS, b"A_REASON_OF_A_LATER_VERSION")]

    async with open_linked_fleet(4) as linked:
        servers = [await linked.add_server(f"s-{n}", answer_ok) for n in range(3)]
        partition(linked, [0])
        world = linked.fleet.worlds[0]
        assert (await write(world, 0)).status == 200
        for server in servers:
            server.script = break_off
            server.received.clear()
        if end is RelayEnd.RELAY_BREAKS:
            monkeypatch.setattr(relay, "forward_answer", fail)
        if end is RelayEnd.UNREADABLE:
            monkeypatch.setattr(relay, "encode_loss", encode_unknown)
        deadline = 1_000 if end is RelayEnd.LATE else 4_000
        answer = await world.request(
            "/write/a", method="POST", request_id="w-1", deadline_ms=deadline
        )
        runs = sum(len(server.received) for server in servers)
    assert runs == 1
    # 503 would promise that the request has not run.
    assert answer.status in {502, 504}


@pytest.mark.parametrize("end", [RelayEnd.RELAY_BREAKS, RelayEnd.UNREADABLE])
async def test_a_control_call_that_a_relay_passed_on_counts_as_sent(
    end: RelayEnd, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an order to an engine that is taken as not carried out."""

    async def fail(answer: IncomingAnswer, responder: Responder) -> None:
        raise RuntimeError("the relay ends")

    def encode_unknown(*arguments: object) -> list[tuple[bytes, bytes]]:
        return [(LOSS, b"A_REASON_OF_A_LATER_VERSION")]

    async def break_off(exchange: ServerExchange) -> None:
        if end is RelayEnd.RELAY_BREAKS:
            await exchange.answer()
        else:
            reset(exchange.stream)

    async with open_linked_fleet(2) as linked:
        engine = await linked.add_server("e-1", break_off, ENGINE)
        world = linked.fleet.worlds[0]
        linked.cut([0], NewConnections.REFUSED, OpenConnections.RESET, [engine])
        await world.request("/chat/a")
        assert world.state.links.find_path(ENGINE) is ServerPath.BY_PEER
        monkeypatch.setattr(relay, "forward_answer", fail)
        if end is RelayEnd.UNREADABLE:
            monkeypatch.setattr(relay, "encode_loss", encode_unknown)
        engine.received.clear()
        record = world.state.servers.find(engine.id)
        assert record is not None
        reply = await call_engine(world.state, record, "POST", "/-/x", b"{}", 0.6)
        assert len(engine.received) == 1
    assert reply is CallFailure.LOST
