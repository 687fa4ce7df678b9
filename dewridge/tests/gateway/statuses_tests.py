"""Tests of answers whose status is none of HTTP, which has 100 to 599."""

import pytest

from dewridge.gateway.reach.control import call_engine
from dewridge.http1.calls import CallFailure, Response
from dewridge.tests.gateway.partition_tests import open_linked_fleet, partition
from dewridge.tests.gateway.world import (
    ENGINE,
    PLAIN,
    Script,
    ServerExchange,
    answer_ok,
    make_event,
    open_world,
)

INVALID = [b"000", b"099", b"600", b"999"]
VALID = [b"200", b"299", b"599"]
LENGTH = b"Content-Length: 4\r\n"
ROUTES = ["/write/a", "/read/a", "/draft/a", "/chat/a"]


def make_script(status: bytes) -> Script:
    """Return a script that answers with a status as it is written."""

    async def answer(exchange: ServerExchange) -> None:
        head = exchange.make_head(200, LENGTH).replace(b" 200 ", b" %s " % status, 1)
        await exchange.send(head + b"done")

    return answer


@pytest.mark.parametrize("is_relayed", [False, True])
@pytest.mark.parametrize("path", ROUTES)
@pytest.mark.parametrize("status", INVALID)
async def test_a_status_that_is_none_is_no_answer(
    status: bytes, path: str, is_relayed: bool
) -> None:
    """Guards against callers that get a status which no client has to understand."""
    service = ENGINE if path in {"/draft/a", "/chat/a"} else PLAIN
    async with open_linked_fleet(2) as linked:
        server = await linked.add_server("s-1", make_script(status), service)
        if is_relayed:
            partition(linked, [0])
        answer = await linked.fleet.worlds[0].request(path, method="POST")
    assert answer.status == 502
    assert server.received


@pytest.mark.parametrize("status", INVALID)
async def test_a_request_is_repeated_after_a_status_that_is_none(
    status: bytes,
) -> None:
    """Guards against a failure although another server answers."""
    bodies = set()
    async with open_world(retry_slack=100) as world:
        strange = await world.add_server("s-1", make_script(status))
        await world.add_server("s-2", answer_ok)
        for number in range(8):
            answer = await world.request("/read/a", request_id=f"r-{number}")
            bodies.add((answer.status, answer.body))
        assert strange.received
    assert bodies == {(200, b"done")}


@pytest.mark.parametrize("status", INVALID)
async def test_a_stream_goes_on_after_a_status_that_is_none(status: bytes) -> None:
    """Guards against a stream that fails although another engine can run it."""

    async def stream(exchange: ServerExchange) -> None:
        await exchange.begin_stream()
        await exchange.send_events(1, 2)
        await exchange.end_stream()

    async with open_world(retry_slack=100) as world:
        await world.add_server("s-1", make_script(status), ENGINE)
        await world.add_server("s-2", stream, ENGINE)
        answers = [
            await world.request("/chat/a", method="POST", request_id=f"r-{number}")
            for number in range(4)
        ]
    assert {answer.status for answer in answers} == {200}
    assert {answer.body for answer in answers} == {make_event(1) + make_event(2)}


@pytest.mark.parametrize("is_relayed", [False, True])
@pytest.mark.parametrize("status", VALID)
async def test_the_highest_statuses_reach_callers(
    status: bytes, is_relayed: bool
) -> None:
    """Guards against an answer that is refused although its status is valid."""
    async with open_linked_fleet(2) as linked:
        await linked.add_server("s-1", make_script(status))
        if is_relayed:
            partition(linked, [0])
        answer = await linked.fleet.worlds[0].request("/write/a", method="POST")
    assert (answer.status, answer.body) == (int(status), b"done")
    assert answer.is_complete


@pytest.mark.parametrize("is_relayed", [False, True])
@pytest.mark.parametrize("status", INVALID + VALID)
async def test_control_calls_take_no_status_that_is_none(
    status: bytes, is_relayed: bool
) -> None:
    """Guards against a move that is decided by a malformed reply."""
    async with open_linked_fleet(2) as linked:
        server = await linked.add_server("s-1", make_script(status))
        state = linked.fleet.worlds[0].state
        if is_relayed:
            partition(linked, [0])
            await linked.fleet.worlds[0].request("/read/a", deadline_ms=500)
        record = state.servers.find(server.id)
        assert record is not None
        result = await call_engine(state, record, "POST", "/-/kv-move", b"{}", 0.5)
    if status in VALID:
        assert isinstance(result, Response)
        assert result.status == int(status)
    else:
        assert result is CallFailure.LOST
