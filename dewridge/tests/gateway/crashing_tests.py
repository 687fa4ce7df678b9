"""Requests that end each backend server that begins to run them."""

import trio

from dewridge.tests.gateway.world import (
    ENGINE,
    CallerAnswer,
    ScriptedServer,
    ServerExchange,
    World,
    open_world,
)

CRASH = b"crash"
SERVERS = 8
SENDINGS = 8


async def add_crashing_servers(world: World) -> list[ScriptedServer]:
    """Start servers that end when they begin to run a marked request."""
    servers: list[ScriptedServer] = []

    async def answer_or_end(exchange: ServerExchange) -> None:
        await exchange.begin_stream()
        if exchange.body == CRASH:
            next(one for one in servers if one.id == exchange.server).end()
            return
        await exchange.send_events(1, 3)
        await exchange.end_stream()

    for number in range(SERVERS):
        name = f"s-{number}"
        servers.append(await world.add_server(name, answer_or_end, ENGINE))
    return servers


async def send_crashing(world: World, request_id: str) -> CallerAnswer:
    """Send the request that ends servers."""
    return await world.ask("/chat/a", method="POST", body=CRASH, request_id=request_id)


async def test_a_request_that_ends_servers_is_set_aside() -> None:
    """Guards against servers lost one after the other to repeats of one request."""
    async with open_world(retry_slack=100) as world:
        servers = await add_crashing_servers(world)
        for number in range(SENDINGS):
            answer = await send_crashing(world, f"r-{number}")
            await trio.sleep(0.01)
        ended = sum(one.has_ended for one in servers)
        beside = await world.ask("/chat/a", method="POST", body=b"x", request_id="o")
    assert ended == 3
    assert answer.status == 503
    assert float(answer.headers[b"retry-after"]) > 60
    assert beside.status == 200
