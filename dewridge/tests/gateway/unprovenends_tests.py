"""Tests of ends of answers that nothing tells from whole ones; see KNOWN-RED.txt."""

import pytest
import trio

from dewridge.ids import ServiceName
from dewridge.tests.gateway.absentruns_tests import RestartingServer
from dewridge.tests.gateway.stoppableengines import FIRST_START
from dewridge.tests.gateway.uploads_tests import (
    add_record,
    count_whole,
    make_answer,
    run_server,
)
from dewridge.tests.gateway.world import (
    ENGINE,
    PLAIN,
    ScriptedServer,
    ServerExchange,
    make_event,
    open_world,
)

CLOSING_SECONDS = 0.05
"""Seconds from the end of a server's connections to that of its port."""


@pytest.mark.parametrize(
    ("path", "service"), [("/draft/a", ENGINE), ("/write/a", PLAIN)]
)
async def test_a_server_that_closes_its_port_after_its_streams_has_not_answered(
    path: str, service: ServiceName
) -> None:
    """Guards against a part that looks whole as its exiting server still replies."""
    servers: list[ScriptedServer] = []

    async def answer(exchange: ServerExchange) -> None:
        await exchange.send(exchange.make_head(200))
        await exchange.send(make_event(1))
        await exchange.stream.aclose()
        await trio.sleep(CLOSING_SECONDS)
        servers[0].end()

    async with open_world() as world:
        servers.append(await world.add_server("s-1", answer, service))
        result = await world.request(path, method="POST")
    assert not (result.status == 200 and result.is_complete)


async def test_a_plain_server_that_starts_again_at_once_has_not_answered() -> None:
    """Guards against a part that looks whole as the next process accepts."""
    restarting = RestartingServer(3)
    async with open_world() as world:
        await world.add_server(
            "s-1", restarting.answer, PLAIN, started_at_ms=FIRST_START
        )
        result = await world.request("/write/a", method="POST")
    assert result.status != 200


async def test_a_server_that_has_not_read_a_request_has_not_answered() -> None:
    """Guards against a part that looks whole as only its kernel has the request."""
    answer = make_answer(b"", b"part", is_reset=False)
    with run_server(answer) as server:
        async with open_world() as world:
            add_record(world, "s-1", server.address)
            answers = [
                await world.request(
                    "/write/a", method="POST", body=bytes(1_000), request_id=f"r-{n}"
                )
                for n in range(5)
            ]
    assert count_whole(answers) == 0
