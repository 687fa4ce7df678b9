"""Tests of gateways whose backend servers ask for fewer requests."""

import re
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field, replace
from functools import partial
from pathlib import Path

import msgspec
import pytest
import trio

from dewridge import gateway
from dewridge.gateway.clock import read_boot_clock
from dewridge.gateway.hosts import HOSTS_PREFIX, HostEntry
from dewridge.gateway.limitsharing import (
    apply_reported_limits,
    decode_notice,
    encode_notice,
    list_limit_updates,
    merge_cell_limits,
)
from dewridge.gateway.reports import Report, Totals
from dewridge.gateway.sharing import SharedReports
from dewridge.ids import BackendServerId, HostId
from dewridge.platform.store import Item, Listing
from dewridge.policy.requestlimits import LimitNotice
from dewridge.tests.gateway.world import (
    DOMAIN,
    ENGINE,
    PLAIN,
    CallerAnswer,
    Script,
    ScriptedServer,
    ServerExchange,
    World,
    answer_ok,
    make_configuration,
    make_state,
    open_world,
)

WINDOW = 4.0
"""Seconds over which the requests at a server are counted."""
TOLD_AFTER = 0.5
"""Seconds after a host's first answer with a limit from which its requests count."""
REPORT_PERIOD = 0.1


@dataclass
class Arrivals:
    """Times at which requests reached a server, by the host that sent them."""

    times: list[tuple[float, HostId]] = field(default_factory=list)
    told_at: dict[HostId, float] = field(default_factory=dict)

    def record(self, exchange: ServerExchange) -> HostId:
        """Record a request; its id begins with the name of the host that sent it."""
        host = HostId(exchange.headers[b"x-attempt-id"].decode().split("/")[0])
        self.times.append((trio.current_time(), host))
        return host

    def count_max(self, after: float = 0.0) -> int:
        """Return the most requests of informed hosts in any window."""
        counted = sorted(
            at
            for at, host in self.times
            if at >= max(after, self.told_at.get(host, at) + TOLD_AFTER)
        )
        return max(
            (sum(begin <= at < begin + WINDOW for at in counted) for begin in counted),
            default=0,
        )


@dataclass
class Fleet:
    """Gateways that know each other and the same servers."""

    worlds: list[World]
    _number: int = 0

    async def add_server(self, name: str, script: Script) -> ScriptedServer:
        """Start a server of the plain service that all gateways know."""
        server = await self.worlds[0].add_server(name, script)
        record = self.worlds[0].state.servers.find(server.id)
        assert record is not None
        for world in self.worlds[1:]:
            world.state.servers.update(record, trio.current_time())
        return server

    async def exchange_reports(self) -> None:
        """Deliver the reports of all gateways to each other forever.

        The configuration is confirmed as well, as it is by reads of the store.
        """
        number = 0
        while True:
            number += 1
            reports = [world.state.make_report(number) for world in self.worlds]
            for world in self.worlds:
                world.state.configuration.confirm(read_boot_clock())
                for report in reports:
                    copy = msgspec.convert(msgspec.to_builtins(report), type(report))
                    world.state.sharing.apply_report(copy, trio.current_time())
            await trio.sleep(REPORT_PERIOD)

    async def send(self, world: World, seconds: float, rate: float) -> list[int]:
        """Send requests to one gateway; return the status codes of the answers."""
        statuses: list[int] = []

        async def send_one(request_id: str) -> None:
            answer = await world.request("/read/a", request_id=request_id)
            statuses.append(answer.status)

        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                self._number += 1
                nursery.start_soon(send_one, f"{world.state.host}/{self._number}")
                await trio.sleep(1 / rate)
        return statuses


def register_hosts(worlds: list[World]) -> None:
    """Enter all gateways in the table of hosts of each."""
    items = []
    for world in worlds:
        host = world.state.host
        entry = HostEntry(host, 1, "127.0.0.1:1", "127.0.0.1:2", DOMAIN, is_ready=True)
        items.append(Item(f"{HOSTS_PREFIX}{host}/1", msgspec.json.encode(entry), 1))
    for world in worlds:
        world.state.hosts.replace(Listing(tuple(items), revision=1))


async def open_fleet(stack: AsyncExitStack, count: int) -> Fleet:
    """Start gateways that exchange reports."""
    worlds = [
        await stack.enter_async_context(open_world(host=HostId(f"host-{number}")))
        for number in range(count)
    ]
    register_hosts(worlds)
    for world in worlds:
        world.state.list_limits = partial(list_limit_updates, world.state)
        world.state.sharing.on_report = partial(apply_reported_limits, world.state)
    fleet = Fleet(worlds)
    worlds[0].nursery.start_soon(fleet.exchange_reports)
    return fleet


async def test_hosts_together_exceed_no_limit_that_a_server_names() -> None:
    """Guards against a server in need that each of many hosts keeps sending to."""
    limit, host_count = 1.7, 9
    arrivals = Arrivals()

    async def name_limit(exchange: ServerExchange) -> None:
        host = arrivals.record(exchange)
        arrivals.told_at.setdefault(host, trio.current_time())
        await exchange.answer(extra=b"Server-Limit: %g\r\n" % limit)

    async def answer(exchange: ServerExchange) -> None:
        await exchange.answer()

    statuses: list[int] = []
    async with AsyncExitStack() as stack:
        fleet = await open_fleet(stack, host_count)
        await fleet.add_server("s-limited", name_limit)
        await fleet.add_server("s-free", answer)

        async def send(world: World) -> None:
            statuses.extend(await fleet.send(world, seconds=9.0, rate=4.0))

        async with trio.open_nursery() as nursery:
            for world in fleet.worlds:
                nursery.start_soon(send, world)
    assert arrivals.count_max() <= 1.5 * limit * WINDOW + 5
    assert len(arrivals.times) > limit * 9.0 / 2
    assert set(statuses) == {200}


async def send_together(world: World, count: int, path: str) -> list[CallerAnswer]:
    """Send requests at the same time and return the answers."""
    answers: list[CallerAnswer] = []

    async def send(number: int) -> None:
        answers.append(await world.request(path, request_id=f"r-{number}"))

    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(send, number)
    return answers


@asynccontextmanager
async def open_single_host(retry_slack: float = 0.0) -> AsyncIterator[World]:
    """Start a gateway that knows that it is the only one."""
    async with open_world(host=HostId("host-0"), retry_slack=retry_slack) as world:
        register_hosts([world])
        yield world


def name_limit(limit: bytes) -> Script:
    """Return a script that names a limit in each answer."""

    async def answer(exchange: ServerExchange) -> None:
        await exchange.answer(extra=b"Server-Limit: %s\r\n" % limit)

    return answer


async def test_callers_beyond_the_limits_of_all_servers_are_refused_at_once() -> None:
    """Guards against requests that wait in vain, and against false refusals."""
    async with open_single_host() as world:
        server = await world.add_server("s-1", name_limit(b"20"))
        await world.request("/read/a", request_id="first")
        begin = trio.current_time()
        answers = await send_together(world, 20, "/read/a")
        seconds = trio.current_time() - begin
    refused = [answer for answer in answers if answer.status == 503]
    assert len(server.received) == 1 + len(answers) - len(refused)
    assert 1 <= len(refused) < len(answers)
    assert seconds < 0.5
    assert all(0 <= float(answer.headers[b"retry-after"]) < 3 for answer in refused)
    assert all(b"s-1: limit 20/s" in answer.body for answer in refused)


async def test_a_second_attempt_is_withheld_from_a_limited_server() -> None:
    """Guards against retries that bypass the limit of a server."""

    async def fail(exchange: ServerExchange) -> None:
        await exchange.answer(status=500)

    async with open_single_host(retry_slack=100) as world:
        limited = await world.add_server("s-limited", name_limit(b"0.3"))
        while not limited.received:
            await world.request("/read/a", request_id="first")
        await world.add_server("s-failing", fail)
        await send_together(world, 20, "/read/a")
    assert len(limited.received) <= 2


async def test_answer_of_another_server_at_an_address_names_no_limit() -> None:
    """Guards against taking the limit of one server for that of another."""

    async def misdirect(exchange: ServerExchange) -> None:
        await exchange.answer(b"", 421, b"Server-Limit: 1\r\n")

    async with open_single_host() as world:
        server = await world.add_server("s-1", misdirect)
        await world.request("/read/a")
        assert not world.state.pushback.is_withheld(server.id, trio.current_time())


@pytest.mark.parametrize("status", [200, 404, 500, 503])
async def test_any_answer_may_name_a_limit(status: int) -> None:
    async def answer(exchange: ServerExchange) -> None:
        await exchange.answer(status=status, extra=b"Server-Limit: 2\r\n")

    async with open_single_host() as world:
        server = await world.add_server("s-1", answer)
        await world.request("/write/a", method="POST", body=b"x")
        limits = world.state.pushback.list_limits(trio.current_time())
    assert limits == {server.id: 2.0}


async def test_an_unreadable_limit_does_not_end_the_one_before() -> None:
    values = [b"2", b"-1", b"many"]

    async def answer(exchange: ServerExchange) -> None:
        value = values.pop(0)
        await exchange.answer(extra=b"Server-Limit: %s\r\n" % value)

    async with open_single_host() as world:
        server = await world.add_server("s-1", answer)
        for number in range(3):
            await world.request("/read/a", request_id=f"r-{number}")
            await trio.sleep(0.6)
        limits = world.state.pushback.list_limits(trio.current_time())
    assert limits == {server.id: 2.0}


async def test_a_restarted_server_has_no_limit() -> None:
    """Guards against keeping the limit of a process that has ended."""
    async with open_single_host() as world:
        server = await world.add_server("s-1", name_limit(b"1"))
        await world.request("/read/a")
        record = world.state.servers.find(server.id)
        assert record is not None
        restarted = replace(
            record, id=BackendServerId("s-1@2"), started_at_ms=record.started_at_ms + 1
        )
        world.state.servers.update(restarted, trio.current_time())
        world.state.drop_expired()
        now = trio.current_time()
        assert not world.state.pushback.is_withheld(restarted.id, now)
        assert world.state.pushback.list_limits(now) == {}


def test_reported_limits_do_not_become_newer_on_their_way() -> None:
    """Guards against hosts that refresh an old notice by repeating it to each other."""
    sharing = SharedReports(HostId("host-0"), lambda *_: None)
    notice = LimitNotice(1.7, observed_at=10.0)
    update = encode_notice(BackendServerId("s-1"), notice, now=12.0)
    report = Report(HostId("host-1"), 1, 1, True, 0.0, Totals(), limits=[update])
    sharing.apply_report(report, 12.1)
    (merged,) = merge_cell_limits([], sharing, 1, now=15.1)
    assert decode_notice(merged, 15.1).observed_at == pytest.approx(10.1)
    assert merge_cell_limits([], sharing, 1, now=30.0) == []


def test_every_request_to_a_server_asks_the_table_of_pushback() -> None:
    """Guards against a new way of sending that bypasses the limits of servers."""
    folder = Path(gateway.__file__).parent
    senders = {
        path.name
        for path in folder.glob("*.py")
        if re.search(
            r"(?<!def )\b(_exchange\(connection|stop_and_move\()", path.read_text()
        )
    }
    assert senders == {"forwarding.py", "moves.py"}
    for name in senders:
        assert "pushback.acquire(" in (folder / name).read_text()


def ask_for_rest(value: bytes, arrivals: list[float]) -> Script:
    """Return a script that turns all requests away and asks for rest."""

    async def answer(exchange: ServerExchange) -> None:
        arrivals.append(trio.current_time())
        extra = b"X-Not-Executed: 1\r\nRetry-After: %s\r\n" % value
        await exchange.answer(b"", 503, extra)

    return answer


def count_during_rest(arrivals: list[float], seconds: float) -> int:
    """Return the most requests that came in any rest, but for its first half second."""
    return max(
        sum(begin + TOLD_AFTER <= at < begin + seconds for at in arrivals)
        for begin in arrivals
    )


async def test_a_resting_server_gets_no_requests_while_others_have_room() -> None:
    """Guards against servers that turn requests away, look idle and get still more."""
    resting: list[list[float]] = [[], [], []]
    async with AsyncExitStack() as stack:
        fleet = await open_fleet(stack, 1)
        for number, arrivals in enumerate(resting):
            await fleet.add_server(f"s-{number}", ask_for_rest(b"3", arrivals))
        for number in range(3):
            await fleet.add_server(f"s-free-{number}", answer_ok)
        fleet.worlds[0].state.get_budget(PLAIN).slack = 100
        statuses = await fleet.send(fleet.worlds[0], seconds=3.0, rate=20.0)
    assert all(arrivals for arrivals in resting)
    assert max(count_during_rest(arrivals, 3.0) for arrivals in resting) <= 2
    assert set(statuses) == {200}


async def test_callers_of_resting_servers_are_refused_without_trying_each() -> None:
    """Guards against a request that goes round all servers that asked for rest."""
    resting: list[list[float]] = [[], [], []]
    async with open_single_host(retry_slack=100) as world:
        for number, arrivals in enumerate(resting):
            await world.add_server(f"s-{number}", ask_for_rest(b"2", arrivals))
        first = await world.request("/write/a", method="POST", body=b"x")
        begin = trio.current_time()
        answers = await send_together(world, 10, "/read/a")
        seconds = trio.current_time() - begin
    assert first.status == 503
    assert [len(arrivals) for arrivals in resting] == [1, 1, 1]
    assert {answer.status for answer in answers} == {503}
    assert all(b"asked this host for rest" in answer.body for answer in answers)
    waits = [float(answer.headers[b"retry-after"]) for answer in answers]
    assert min(waits) > 1.5
    assert max(waits) - min(waits) > 0.2
    assert seconds < 0.5


async def test_a_server_is_used_again_after_its_rest() -> None:
    """Guards against a server that is given up because it asked for rest."""
    arrivals: list[float] = []
    async with open_single_host() as world:
        server = await world.add_server("s-1", ask_for_rest(b"0.4", arrivals))
        await world.request("/read/a")
        server.script = answer_ok
        await trio.sleep(0.45)
        answer = await world.request("/read/a", request_id="r-2")
        health = world.state.get_health(server.id)
    assert answer.status == 200
    assert health.consecutive_failures == 0


async def test_a_moved_stream_is_not_started_anew_when_its_servers_rest() -> None:
    """Guards against running a stream twice because its source asks for rest."""
    runs: list[bytes] = []
    is_running, is_stopped = trio.Event(), trio.Event()

    async def run_or_reject(exchange: ServerExchange) -> None:
        if exchange.target == b"/-/kv-move":
            is_stopped.set()
            await exchange.answer(b'{"handle":"h-1"}')
            return
        memory = exchange.headers.get(b"kv-from", b"")
        runs.append(memory)
        if memory:
            extra = b"X-Not-Executed: 1\r\nRetry-After: 5\r\n"
            await exchange.answer(b"", 503, extra)
            return
        await exchange.begin_stream()
        await exchange.send_events(1, 2)
        is_running.set()
        await is_stopped.wait()
        exchange.reset()

    async with open_single_host(retry_slack=100) as world:
        for name in ("s-1", "s-2", "s-3"):
            await world.add_server(name, run_or_reject, ENGINE)
        answers: list[CallerAnswer] = []

        async def send() -> None:
            answers.append(await world.request("/draft/a", deadline_ms=4000))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await is_running.wait()
            (source,) = world.state.work_in_flight.requests
            state = world.state
            state.servers.drop(source, trio.current_time(), "it drains", 0.6)
            departure = state.servers.find_departure(source)
            assert departure is not None
            state.streams.schedule_moves(source, departure.stops_at)
    assert [memory for memory in runs if not memory] == [b""]
    assert len(runs) <= 3
    assert not answers[0].is_complete


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


def test_late_report_does_not_bring_back_a_limit_that_has_ended() -> None:
    """Guards against a limit that comes back with the report of a slow host."""
    state = make_state(make_configuration(), host=HostId("host-0"))
    register_hosts([World(state, None)])  # type: ignore[arg-type]
    server, peer = BackendServerId("s-1"), HostId("host-1")
    ended = LimitNotice(2.0, observed_at=100.0, has_ended=True)
    state.pushback.merge_notice(server, ended, peer)
    state.pushback.drop_expired({server}, 107.0)
    state.pushback.merge_notice(server, LimitNotice(2.0, observed_at=99.5), peer)
    assert not state.pushback.is_withheld(server, 107.0)
    state.pushback.drop_expired({server}, 120.0)
    assert state.pushback.is_empty


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
