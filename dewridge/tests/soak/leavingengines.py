"""Engines that leave, or start again, while they run streams."""

import random

import h11
import trio

from dewridge.tests.soak.callers import STREAM_TOKENS, send_request
from dewridge.tests.soak.leaving import connect, fork
from dewridge.tests.soak.records import RequestKind, SentRequest
from dewridge.tests.soak.servers import SoakServer
from dewridge.tests.soak.stage import SoakEnvironment

MIN_STREAMS, MAX_STREAMS = 16, 30
"""Range of the number of streams that run when engines leave."""
START_SECONDS = 0.6
"""Seconds in which these streams start."""
MIN_STREAM_SECONDS, MAX_STREAM_SECONDS = 1.5, 3.5
"""Range of their length: longer than the notice of the engines."""
STREAM_BUDGET = 10.0
"""Seconds that callers give them."""
ABANDON_PROBABILITY = 0.15
"""Share of the streams whose callers leave in the middle, also while they move."""
MIN_NOTICE, MAX_NOTICE = 0.6, 1.5
"""Range of the notice that engines give. Hosts move streams half a second before."""
END_PROBABILITY = 0.25
"""Share of the engines that end some time after their notice."""
MIN_END_DELAY, MAX_END_DELAY = 0.2, 2.0


async def make_engines_leave(
    environment: SoakEnvironment, at: float, name: str, rng: random.Random
) -> None:
    """Let one or two engines leave with many streams, in `at` seconds.

    Args:
        environment: the run.
        at: seconds until the streams begin.
        name: prefix of the ids of their requests.
        rng: generator from which everything is drawn.
    """
    await trio.sleep(at)
    async with trio.open_nursery() as nursery:
        await _start_streams(environment, nursery, name, rng)
        for engine in _list_busiest(environment)[: rng.randint(1, 2)]:
            nursery.start_soon(_leave, environment, engine, fork(rng))
            await trio.sleep(rng.choice([0.0, rng.uniform(0, 1.0)]))


async def restart_engines(
    environment: SoakEnvironment, at: float, name: str, rng: random.Random
) -> None:
    """Let one or two engines start again under their names within many streams."""
    await trio.sleep(at)
    async with trio.open_nursery() as nursery:
        await _start_streams(environment, nursery, name, rng)
        for engine in _list_busiest(environment)[: rng.randint(1, 2)]:
            engine.restart()
            await trio.sleep(rng.choice([0.0, rng.uniform(0, 1.0)]))


async def _start_streams(
    environment: SoakEnvironment, nursery: trio.Nursery, name: str, rng: random.Random
) -> None:
    count = rng.randint(MIN_STREAMS, MAX_STREAMS)
    for number in range(count):
        request_id = f"{name}-{number}"
        nursery.start_soon(_run_stream, environment, request_id, fork(rng))
    await trio.sleep(START_SECONDS + rng.uniform(0.0, 0.4))


async def _run_stream(
    environment: SoakEnvironment, request_id: str, rng: random.Random
) -> None:
    await trio.sleep(rng.uniform(0, START_SECONDS))
    gateway = rng.choice(environment.gateways)
    kind = rng.choice([RequestKind.CHAT, RequestKind.DRAFT])
    keys = [keys[0] for keys in environment.keys.values()]
    request = SentRequest(
        request_id, kind, gateway.name, rng.choice(keys), STREAM_TOKENS, 0.0
    )
    request.content = request_id
    request.timeout = STREAM_BUDGET
    request.stream_seconds = rng.uniform(MIN_STREAM_SECONDS, MAX_STREAM_SECONDS)
    patience = STREAM_BUDGET + 1.0
    if rng.random() < ABANDON_PROBABILITY:
        patience = rng.uniform(1.0, MAX_STREAM_SECONDS)
    with trio.move_on_after(1.0) as connecting:
        try:
            stream = await connect(gateway.caller_address, is_slow=False)
        except OSError:
            return
    if connecting.cancelled_caught:
        return
    async with stream:
        state = h11.Connection(h11.CLIENT)
        await send_request(stream, state, request, environment.history, patience)


def _list_busiest(environment: SoakEnvironment) -> list[SoakServer]:
    """Return the engines with the most streams first."""
    engines = [each for each in environment.list_servers() if each.service == "engine"]
    running = [run.server for run in environment.history.runs if run.ended_at is None]
    return sorted(engines, key=lambda engine: -running.count(engine.id))


async def _leave(
    environment: SoakEnvironment, engine: SoakServer, rng: random.Random
) -> None:
    engine.leaves_in = rng.uniform(MIN_NOTICE, MAX_NOTICE)
    notice = environment.history.notices[engine.id] = engine.leaves_in
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_replace, environment, engine)
        if rng.random() < END_PROBABILITY:
            await trio.sleep(0.5 + notice + rng.uniform(MIN_END_DELAY, MAX_END_DELAY))
            environment.end_server(engine)


async def _replace(environment: SoakEnvironment, engine: SoakServer) -> None:
    await environment.replace_server(engine, version=engine.version)
