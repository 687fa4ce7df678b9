"""Tests of a gateway's log lines, counters, dumps, and explanations of requests."""

import json
import os
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
import trio
from loguru import logger as log

from dewridge.explaining import explain_request, read_lines
from dewridge.gateway.ingress import serve_connection
from dewridge.gateway.logs import MAX_BACKLOG_BYTES, LineWriter
from dewridge.gateway.measures import update_gauges
from dewridge.gateway.operations import Operations, describe_state
from dewridge.metrics.exposition import format_metrics
from dewridge.tests.gateway.world import (
    KEY,
    ScriptedServer,
    ServerExchange,
    World,
    answer_ok,
    make_configuration,
    open_world,
)


@pytest.fixture
def lines(tmp_path: Path) -> Iterator[Path]:
    """Write the log to a file in the way a gateway writes it to standard output."""
    path = tmp_path / "log"
    descriptor = os.open(path, os.O_CREAT | os.O_WRONLY)
    handler = log.add(LineWriter(descriptor).write, format="{message}")
    yield path
    log.remove(handler)
    os.close(descriptor)


def read_events(path: Path, event: str) -> list[dict[str, object]]:
    """Return the fields of all log lines of an event."""
    entries = [json.loads(line) for line in path.read_text().splitlines()]
    return [fields for fields in entries if fields["event"] == event]


async def test_each_request_is_logged_with_the_reason_of_its_outcome(
    lines: Path,
) -> None:
    async def refuse(exchange: ServerExchange) -> None:
        await exchange.answer(b"", 503, b"X-Not-Executed: 1\r\n")

    async with open_world(retry_slack=40) as world:
        await world.add_server("s-1", refuse)
        await world.request("/read/a", request_id="refused")
        await world.request("/read/a", request_id="denied", key="wrong")
    requests = {str(fields["id"]): fields for fields in read_events(lines, "request")}
    assert requests["refused"]["code"] == "QUEUE_FULL"
    assert requests["refused"]["servers"] == "s-1,s-1,s-1"
    assert requests["refused"]["version"] == 1
    assert requests["denied"]["code"] == "UNAUTHENTICATED"
    lost = read_events(lines, "attempt lost")
    assert {str(fields["loss"]) for fields in lost} == {"REJECTED"}


async def test_a_refusal_by_quota_logs_its_inputs(lines: Path) -> None:
    async with open_world(make_configuration(rate=20.0)) as world:
        await world.add_server("s-1", answer_ok)
        for number in range(3):
            await world.request("/read/a", request_id=f"r-{number}")
    last = read_events(lines, "request")[-1]
    assert "asks 100" in str(last["reason"])
    assert "1 hosts, 0 silent" in str(last["reason"])


async def test_no_log_line_contains_an_api_key(lines: Path) -> None:
    async with open_world() as world:
        await world.add_server("s-1", answer_ok)
        await world.request("/read/a")
        await world.request("/read/a", key="wrong-and-secret")
        assert KEY not in json.dumps(describe_state(world.state))
    text = await trio.Path(lines).read_text()
    assert KEY not in text
    assert "wrong-and-secret" not in text


def test_log_volume_is_bounded_and_refusals_have_priority(lines: Path) -> None:
    """Thousands of requests arrive per second, and most of them are served.

    Logging all of them would take processor time from the requests. The refusals are
    logged, because operators look for those.
    """
    for number in range(5000):
        log.bind(id=f"ok-{number}", code="").info("request")
        if number % 10 == 0:
            log.bind(id=f"bad-{number}", code="QUEUE_FULL").info("request")
    logged = read_events(lines, "request")
    refused = [fields for fields in logged if fields["code"]]
    assert len(logged) - len(refused) < 1200
    assert len(refused) == 500
    assert sum(int(str(fields.get("lines_left_out", 0))) for fields in logged) > 3000


def test_error_answers_of_servers_have_priority_too(lines: Path) -> None:
    """A service answers some requests of a burst with 500; callers get these answers.

    Callers complain about them, and their log lines must not be dropped like those of
    other requests.
    """
    for number in range(3000):
        log.bind(id=f"ok-{number}", code="", status=200).info("request")
        if number % 10 == 0:
            log.bind(id=f"bad-{number}", code="", status=500).info("request")
    logged = read_events(lines, "request")
    assert sum(fields["status"] == 500 for fields in logged) == 300


def test_a_blocked_log_reader_does_not_block_logging() -> None:
    """The pipe of a process's standard output is full, and nothing reads it.

    A blocking write would stop every request on the host.
    """
    reader, writer = os.pipe()
    handler = log.add(LineWriter(writer).write, format="{message}")
    started_at = time.monotonic()
    for number in range(3000):
        log.bind(id=str(number), code="X", pad="x" * 200).info("request")
    elapsed = time.monotonic() - started_at
    log.remove(handler)
    os.close(reader)
    os.close(writer)
    assert elapsed < 3.0
    assert MAX_BACKLOG_BYTES < 1_000_000


async def test_metrics_and_dump_are_served() -> None:
    async with open_world() as world:
        await world.add_server("s-1", answer_ok)
        await world.request("/read/a")
        operations = Operations(world.state)
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")

        async def handle(stream: trio.SocketStream) -> None:
            await serve_connection(stream, world.state.ingress, operations.serve)

        world.nursery.start_soon(trio.serve_listeners, handle, listeners)
        port = listeners[0].socket.getsockname()[1]
        world.address = f"127.0.0.1:{port}"
        metrics = (await world.request("/metrics")).body.decode()
        dump = json.loads((await world.request("/dump")).body)
    assert (
        'dewridge_requests_total{code="",kind="idempotent",outcome="2xx"} 1' in metrics
    )
    assert "dewridge_request_seconds" in metrics
    assert 'dewridge_server_answer_seconds_count{server="s-1"} 1' in metrics
    assert dump["configuration"]["version"] == 1
    assert dump["servers"][0]["id"] == "s-1"


async def test_a_crashing_request_is_explained_and_released_from_quarantine(
    lines: Path,
) -> None:
    """Servers crash repeatedly, and the request at fault must be identified."""
    async with open_world(retry_slack=40) as world:
        servers: list[ScriptedServer] = []

        async def crash(exchange: ServerExchange) -> None:
            next(server for server in servers if server.id == exchange.server).crash()

        for number in range(4):
            servers.append(await world.add_server(f"s-{number}", crash))
        for number in range(3):
            await world.request("/read/a", request_id=f"r-{number}")
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        operations = Operations(world.state)

        async def handle(stream: trio.SocketStream) -> None:
            await serve_connection(stream, world.state.ingress, operations.serve)

        world.nursery.start_soon(trio.serve_listeners, handle, listeners)
        port = listeners[0].socket.getsockname()[1]
        world.address = f"127.0.0.1:{port}"
        suspect = json.loads((await world.request("/dump")).body)["suspects"][0]
        metrics = (await world.request("/metrics")).body.decode()
        path = f"/suspects/{suspect['digest']}"
        statuses = [
            (await world.request(path, method="DELETE")).status for _ in range(2)
        ]
        quarantined = world.state.suspects.list_quarantined(trio.current_time())
    explanation = "\n".join(explain_request(read_lines(lines.open()), "r-2"))
    assert suspect["account"] == "account-1"
    assert suspect["ends_counted"] == 3
    assert "dewridge_servers_ended_under_requests_total" in metrics
    assert "dewridge_requests_set_aside 1" in metrics
    assert statuses == [200, 404]
    assert quarantined == []
    assert "request set aside" in explanation
    assert "code=REQUEST_SET_ASIDE" in explanation
    assert suspect["digest"] in explanation


def make_line(at: float, host: str, event: str, **fields: object) -> str:
    """Return a log line in the format of a gateway."""
    return json.dumps({"time": at, "host": host, "event": event, **fields})


def test_an_explanation_spans_hosts_and_attempts() -> None:
    """One request was attempted at two hosts."""
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
    explanation = explain_request(read_lines(lines), "r-1")
    text = "\n".join(explanation)
    assert [line[0] for line in explanation] == [" ", "*", "*", "*"]
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
        await world.request("/read/a", request_id="r-1")
    explanation = "\n".join(explain_request(read_lines(lines.open()), "r-1"))
    assert explanation.count("loss=REJECTED") == 3
    assert "code=QUEUE_FULL" in explanation


async def test_a_failure_after_a_server_left_is_explained(lines: Path) -> None:
    """A server crashes while it runs a request that may not be repeated."""

    async def reset(exchange: ServerExchange) -> None:
        exchange.reset()

    async with open_world() as world:
        server = await world.add_server("s-1", reset)
        await world.request("/write/a", method="POST", body=b"x", request_id="r-1")
        world.state.servers.drop(server.id, trio.current_time(), "its record is gone")
    explanation = "\n".join(explain_request(read_lines(lines.open()), "r-1"))
    assert "loss=CUT_OFF" in explanation
    assert "code=OUTCOME_UNKNOWN" in explanation
    assert "its record is gone" in explanation


async def test_a_refusal_during_an_outage_is_explained_by_staleness(
    lines: Path,
) -> None:
    """A host can't reach the store and refuses API keys that it can't verify."""
    async with open_world() as world:
        world.state.configuration.confirmed_at -= 5.0
        await world.request("/read/a", request_id="r-1")
    explanation = "\n".join(explain_request(read_lines(lines.open()), "r-1"))
    assert "code=CONFIGURATION_STALE" in explanation
    assert "the store is out of reach" in explanation
    assert "age=5." in explanation


async def test_a_refusal_is_explained_by_the_rest_that_a_server_asked_for(
    lines: Path,
) -> None:
    """A caller is refused without an attempt, so that no line names the server."""

    async def ask_for_rest(exchange: ServerExchange) -> None:
        await exchange.answer(b"", 503, b"X-Not-Executed: 1\r\nRetry-After: 3\r\n")

    async with open_world(retry_slack=40) as world:
        server = await world.add_server("s-1", ask_for_rest)
        await world.request("/read/a", request_id="r-1")
        await world.request("/read/a", request_id="r-2")
        metrics = format_metrics_of(world)
        dump = describe_state(world.state)
    explanation = "\n".join(explain_request(read_lines(lines.open()), "r-2"))
    assert len(server.received) == 1
    assert "server rests  server=s-1" in explanation
    assert "asked this host for rest" in explanation
    assert "asked this host for rest" in dump["servers"][0]["pushback"]
    assert 'dewridge_server_rest_seconds{server="s-1"}' in metrics
    assert 'signal="rest"' in metrics


def format_metrics_of(world: World) -> str:
    """Return the metrics that a gateway serves."""
    update_gauges(world.state)
    return format_metrics(world.state.metrics).decode()
