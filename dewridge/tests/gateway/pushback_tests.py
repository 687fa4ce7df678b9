"""Tests of gateways whose backend servers name limits."""

import re
from contextlib import AsyncExitStack
from dataclasses import replace
from pathlib import Path

import pytest
import trio

from dewridge import gateway
from dewridge.gateway.limitsharing import (
    decode_notice,
    encode_notice,
    merge_cell_limits,
)
from dewridge.gateway.reports import Report, Totals
from dewridge.gateway.sharing import SharedReports
from dewridge.ids import BackendServerId, HostId
from dewridge.policy.requestlimits import LimitNotice
from dewridge.tests.gateway.pushback import (
    WINDOW,
    Arrivals,
    open_fleet,
    open_single_host,
    register_hosts,
    send_together,
)
from dewridge.tests.gateway.world import (
    Script,
    ServerExchange,
    World,
    make_configuration,
    make_state,
)


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


def list_files_with(pattern: str) -> dict[str, str]:
    """Return the contents of the gateway's modules that match, by file name."""
    folder = Path(gateway.__file__).parent
    texts = {path.name: path.read_text() for path in folder.rglob("*.py")}
    return {name: text for name, text in texts.items() if re.search(pattern, text)}


def test_every_request_to_a_server_asks_the_table_of_pushback() -> None:
    """Guards against a new way of sending that bypasses the limits of servers."""
    # Load probes take no slot and are no requests; documents go between hosts only.
    exchanges = list_files_with(r"\.receive_head\(") | list_files_with(
        "ServiceClient\\("
    )
    assert exchanges.keys() - {"reports.py", "passing.py", "composition.py"} == {
        "forwarding.py",
        "control.py",
        "peers.py",
        "relay.py",
    }
    assert "if not hooks.may_send():" in exchanges["forwarding.py"]
    senders = list_files_with(r"(?<!def )\b(make_hooks|stop_and_move|free_memory)\(")
    assert senders.keys() == {"sending.py", "relay.py", "moves.py"}
    for text in senders.values():
        assert "pushback.acquire" in text
    assert list_files_with(r"\bSendingHooks\(").keys() == {"sending.py"}
    relayed = list_files_with(r"(?<!def )\bcall_by_relay\(").keys()
    assert relayed == {"sending.py", "control.py"}
    assert list_files_with(r"(?<!def )\bcall_engine\b[^(]").keys() == {"moves.py"}


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
