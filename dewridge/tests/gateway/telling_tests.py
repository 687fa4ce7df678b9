"""What a gateway tells: log lines within bounds, counters, dumps, and stories."""

import json
import os
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
import trio
from loguru import logger as log

from dewridge.explaining import explain_request, read_lines
from dewridge.gateway.ingress import handle_caller
from dewridge.gateway.logs import MAX_BACKLOG_BYTES, LineWriter
from dewridge.gateway.operations import Operations, describe
from dewridge.tests.gateway.world import (
    KEY,
    ScriptedServer,
    ServerExchange,
    answer_plainly,
    make_configuration,
    open_world,
)


@pytest.fixture
def lines(tmp_path: Path) -> Iterator[Path]:
    """Send the log to a file as a gateway does to standard output."""
    path = tmp_path / "log"
    descriptor = os.open(path, os.O_CREAT | os.O_WRONLY)
    handler = log.add(LineWriter(descriptor).write, format="{message}")
    yield path
    log.remove(handler)
    os.close(descriptor)


def read_events(path: Path, event: str) -> list[dict[str, object]]:
    """Return the fields of all lines that tell of an event."""
    told = [json.loads(line) for line in path.read_text().splitlines()]
    return [fields for fields in told if fields["event"] == event]


async def test_each_request_is_told_with_what_decided_it(lines: Path) -> None:
    async def refuse(exchange: ServerExchange) -> None:
        await exchange.answer(b"", 503, b"X-Not-Executed: 1\r\n")

    async with open_world(retry_slack=40) as world:
        await world.add_server("s-1", refuse)
        await world.ask("/read/a", request_id="refused")
        await world.ask("/read/a", request_id="denied", key="wrong")
    told = {str(fields["id"]): fields for fields in read_events(lines, "request")}
    assert told["refused"]["code"] == "QUEUE_FULL"
    assert told["refused"]["servers"] == "s-1,s-1,s-1"
    assert told["refused"]["version"] == 1
    assert told["denied"]["code"] == "UNAUTHENTICATED"
    lost = read_events(lines, "attempt lost")
    assert {str(fields["loss"]) for fields in lost} == {"REJECTED"}


async def test_a_quotas_refusal_tells_its_inputs(lines: Path) -> None:
    async with open_world(make_configuration(rate=20.0)) as world:
        await world.add_server("s-1", answer_plainly)
        for number in range(3):
            await world.ask("/read/a", request_id=f"r-{number}")
    last = read_events(lines, "request")[-1]
    assert "asks 100" in str(last["reason"])
    assert "1 hosts, 0 silent" in str(last["reason"])


async def test_no_line_holds_a_key(lines: Path) -> None:
    async with open_world() as world:
        await world.add_server("s-1", answer_plainly)
        await world.ask("/read/a")
        await world.ask("/read/a", key="wrong-and-secret")
        assert KEY not in json.dumps(describe(world.state))
    text = await trio.Path(lines).read_text()
    assert KEY not in text
    assert "wrong-and-secret" not in text


def test_lines_stay_within_bounds_and_refusals_win(lines: Path) -> None:
    """A burst brings thousands of requests a second, most of them served.

    Lines for all would take the processor from the requests; the refusals are what
    somebody will look for.
    """
    for number in range(5000):
        log.bind(id=f"ok-{number}", code="").info("request")
        if number % 10 == 0:
            log.bind(id=f"bad-{number}", code="QUEUE_FULL").info("request")
    told = read_events(lines, "request")
    refused = [fields for fields in told if fields["code"]]
    assert len(told) - len(refused) < 1200
    assert len(refused) == 500
    assert sum(int(str(fields.get("lines_left_out", 0))) for fields in told) > 3000


def test_a_servers_own_failures_win_too(lines: Path) -> None:
    """A service answers 500 in a burst of traffic, and the answers are passed on.

    They are what the callers complain about; as ordinary lines they would be lost.
    """
    for number in range(3000):
        log.bind(id=f"ok-{number}", code="", status=200).info("request")
        if number % 10 == 0:
            log.bind(id=f"bad-{number}", code="", status=500).info("request")
    told = read_events(lines, "request")
    assert sum(fields["status"] == 500 for fields in told) == 300


def test_a_blocked_reader_holds_nothing_up() -> None:
    """Nobody reads the process's standard output any more, and its pipe is full.

    A write that waits would stop every request on the host.
    """
    reader, writer = os.pipe()
    handler = log.add(LineWriter(writer).write, format="{message}")
    began = time.monotonic()
    for number in range(3000):
        log.bind(id=str(number), code="X", pad="x" * 200).info("request")
    taken = time.monotonic() - began
    log.remove(handler)
    os.close(reader)
    os.close(writer)
    assert taken < 3.0
    assert MAX_BACKLOG_BYTES < 1_000_000


async def test_counters_and_a_dump_are_served() -> None:
    async with open_world() as world:
        await world.add_server("s-1", answer_plainly)
        await world.ask("/read/a")
        operations = Operations(world.state)
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")

        async def handle(stream: trio.SocketStream) -> None:
            await handle_caller(stream, world.state.ingress, operations.serve)

        world.nursery.start_soon(trio.serve_listeners, handle, listeners)
        port = listeners[0].socket.getsockname()[1]
        world.address = f"127.0.0.1:{port}"
        metrics = (await world.ask("/metrics")).body.decode()
        dump = json.loads((await world.ask("/dump")).body)
    assert (
        'dewridge_requests_total{code="",kind="idempotent",outcome="2xx"} 1' in metrics
    )
    assert "dewridge_request_seconds" in metrics
    assert 'dewridge_server_answer_seconds_count{server="s-1"} 1' in metrics
    assert dump["configuration"]["version"] == 1
    assert dump["servers"][0]["id"] == "s-1"


async def test_a_request_that_ends_servers_is_explained_and_let_through(
    lines: Path,
) -> None:
    """Guards against servers that keep ending with no word on the request at fault."""
    async with open_world(retry_slack=40) as world:
        servers: list[ScriptedServer] = []

        async def end(exchange: ServerExchange) -> None:
            next(one for one in servers if one.id == exchange.server).end()

        for number in range(4):
            servers.append(await world.add_server(f"s-{number}", end))
        for number in range(3):
            await world.ask("/read/a", request_id=f"r-{number}")
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        operations = Operations(world.state)

        async def handle(stream: trio.SocketStream) -> None:
            await handle_caller(stream, world.state.ingress, operations.serve)

        world.nursery.start_soon(trio.serve_listeners, handle, listeners)
        port = listeners[0].socket.getsockname()[1]
        world.address = f"127.0.0.1:{port}"
        suspect = json.loads((await world.ask("/dump")).body)["suspects"][0]
        metrics = (await world.ask("/metrics")).body.decode()
        path = f"/suspects/{suspect['digest']}"
        statuses = [(await world.ask(path, method="DELETE")).status for _ in range(2)]
        held = world.state.suspects.list_quarantined(trio.current_time())
    story = "\n".join(explain_request(read_lines(lines.open()), "r-2"))
    assert suspect["account"] == "account-1"
    assert suspect["ends_counted"] == 3
    assert "dewridge_servers_ended_under_requests_total" in metrics
    assert "dewridge_requests_set_aside 1" in metrics
    assert statuses == [200, 404]
    assert held == []
    assert "request set aside" in story
    assert "code=REQUEST_SET_ASIDE" in story
    assert suspect["digest"] in story


def make_line(at: float, host: str, event: str, **fields: object) -> str:
    """Return a log line as a gateway writes it."""
    return json.dumps({"time": at, "host": host, "event": event, **fields})


def test_a_story_spans_hosts_and_attempts() -> None:
    """A caller complains about one request that was tried at two hosts."""
    lines = [
        "some other program's line",
        make_line(10.0, "host-1", "server left", server="s-1", reason="it drains"),
        make_line(10.1, "host-1", "server left", server="s-9", reason="it drains"),
        make_line(12.0, "host-2", "request", id="r-1", status=200, ms=40),
        make_line(11.0, "host-1", "attempt lost", id="r-1", server="s-1", loss="CUT"),
        make_line(11.1, "host-1", "request", id="r-1", code="OUTCOME_UNKNOWN", ms=900),
        make_line(11.2, "host-1", "request", id="r-2", status=200, ms=5),
        make_line(11.3, "host-3", "dependency", dependency="store", up=False),
    ]
    story = explain_request(read_lines(lines), "r-1")
    text = "\n".join(story)
    assert [line[0] for line in story] == [" ", "*", "*", "*"]
    assert (
        text.index("server=s-1") < text.index("OUTCOME_UNKNOWN") < text.index("host-2")
    )
    assert "s-9" not in text
    assert explain_request(read_lines(lines), "r-3") == []


async def test_a_refusal_under_load_is_explained_by_its_servers(lines: Path) -> None:
    """A caller is refused while all servers of its service are full."""

    async def refuse(exchange: ServerExchange) -> None:
        await exchange.answer(b"", 503, b"X-Not-Executed: 1\r\n")

    async with open_world(retry_slack=40) as world:
        await world.add_server("s-1", refuse)
        await world.add_server("s-2", refuse)
        await world.ask("/read/a", request_id="r-1")
    story = "\n".join(explain_request(read_lines(lines.open()), "r-1"))
    assert story.count("loss=REJECTED") == 3
    assert "code=QUEUE_FULL" in story


async def test_a_failure_after_a_server_went_is_explained(lines: Path) -> None:
    """A server goes while it runs a call that may not be repeated."""

    async def go(exchange: ServerExchange) -> None:
        exchange.reset()

    async with open_world() as world:
        server = await world.add_server("s-1", go)
        await world.ask("/write/a", method="POST", body=b"x", request_id="r-1")
        world.state.servers.drop(server.id, trio.current_time(), "its record is gone")
    story = "\n".join(explain_request(read_lines(lines.open()), "r-1"))
    assert "loss=CUT_OFF" in story
    assert "code=OUTCOME_UNKNOWN" in story
    assert "its record is gone" in story


async def test_a_refusal_around_an_outage_is_explained_by_its_age(lines: Path) -> None:
    """A host can't reach the store and refuses keys that it can't judge any more."""
    async with open_world() as world:
        world.state.configuration.confirmed_at -= 5.0
        await world.ask("/read/a", request_id="r-1")
    story = "\n".join(explain_request(read_lines(lines.open()), "r-1"))
    assert "code=CONFIGURATION_STALE" in story
    assert "the store is out of reach" in story
    assert "age=5." in story
