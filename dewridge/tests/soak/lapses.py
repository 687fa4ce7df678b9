"""Servers whose record lapses while they serve, and that register again."""

import random
import time

import trio

from dewridge.tests.soak.records import ServerReturn
from dewridge.tests.soak.servers import SoakServer
from dewridge.tests.soak.stage import SoakEnvironment

MIN_ABSENCE, MAX_ABSENCE = 0.2, 3.0
"""Range of the seconds from the removal of a record until it is written again."""
MAX_LAPSES = 2
"""Times that a server lapses in a row, at most."""
MIN_PRESENCE, MAX_PRESENCE = 0.1, 1.0
"""Range of the seconds between two lapses of a server."""
PAUSE_SHARE = 0.3
"""Share of the lapses during which a host is paused."""


async def lapse_records(
    environment: SoakEnvironment, at: float, rng: random.Random
) -> None:
    """Remove the records of some servers in `at` seconds, and write them again."""
    await trio.sleep(at)
    service = rng.choice(["engine", "plain"])
    servers = [each for each in environment.list_servers() if each.service == service]
    if not servers:
        return
    chosen = rng.sample(servers, rng.randint(1, len(servers)))
    async with trio.open_nursery() as nursery:
        for server in chosen:
            drawn_rng = random.Random(rng.random())
            nursery.start_soon(_lapse, environment, server, drawn_rng)
        if rng.random() < PAUSE_SHARE:
            nursery.start_soon(_pause_host, environment, rng)


async def _lapse(
    environment: SoakEnvironment, server: SoakServer, rng: random.Random
) -> None:
    for _ in range(rng.randint(1, MAX_LAPSES)):
        absence = rng.uniform(MIN_ABSENCE, MAX_ABSENCE)
        environment.record_disturbance("", absence, affects_servers_only=True)
        environment.lapsed_servers.add(server.id)
        environment.history.end_returns(server.id)
        environment.store.memory_store.remove(f"servers/{server.id}")
        await trio.sleep(absence)
        environment.lapsed_servers.discard(server.id)
        if server not in environment.list_servers():
            return
        server.write_record(environment.store.memory_store)
        environment.history.returns.append(
            ServerReturn(server.id, server.service, time.monotonic())
        )
        await trio.sleep(rng.uniform(MIN_PRESENCE, MAX_PRESENCE))


async def _pause_host(environment: SoakEnvironment, rng: random.Random) -> None:
    gateway = rng.choice(environment.gateways)
    process = gateway.process
    if process is None:
        return
    seconds = rng.uniform(0.5, MAX_ABSENCE)
    environment.record_disturbance(gateway.name, seconds)
    process.suspend()
    await trio.sleep(seconds)
    process.resume()
