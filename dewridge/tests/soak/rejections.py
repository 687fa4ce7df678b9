"""Servers that reject most requests, fail and leave while hosts start again."""

import random

import trio

from dewridge.tests.soak.faults import RESTART_SECONDS, kill_gateways, stop_gateway
from dewridge.tests.soak.servers import Mood
from dewridge.tests.soak.stage import SoakEnvironment

REJECTION_SECONDS = 10.0
"""Seconds for which servers reject most requests: a window of the check."""
MAX_DELAY = 4.0
"""Seconds within which the hosts begin to start again."""


async def reject_requests(
    environment: SoakEnvironment, at: float, rng: random.Random
) -> None:
    """Let a service reject most requests while hosts start again, from a time on."""
    await trio.sleep(at)
    service = rng.choice(["engine", "engine", "plain"])
    environment.record_disturbance("", REJECTION_SECONDS)
    environment.rejecting[service] += 1
    restart = rng.choice([_kill_all, _kill_in_series, _restart_in_turn])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.sleep, REJECTION_SECONDS)
        nursery.start_soon(_fail_and_leave, environment, service, rng)
        await trio.sleep(rng.uniform(0.5, MAX_DELAY))
        nursery.start_soon(restart, environment)
    environment.rejecting[service] -= 1


async def _fail_and_leave(
    environment: SoakEnvironment, service: str, rng: random.Random
) -> None:
    """Let one server of a service fail its requests, and another one leave."""
    servers = [each for each in environment.list_servers() if each.service == service]
    if len(servers) < 2:
        return
    failing, leaving = rng.sample(servers, 2)
    failing.mood = rng.choice([Mood.FAILING, Mood.CUTTING])
    await environment.replace_server(leaving)
    await trio.sleep(2.0)
    failing.mood = Mood.GOOD


async def _kill_all(environment: SoakEnvironment) -> None:
    kill_gateways(environment, environment.gateways)


async def _kill_in_series(environment: SoakEnvironment) -> None:
    for _ in range(3):
        kill_gateways(environment, environment.gateways)
        await trio.sleep(RESTART_SECONDS)


async def _restart_in_turn(environment: SoakEnvironment) -> None:
    async with trio.open_nursery() as nursery:
        for gateway in environment.gateways:
            nursery.start_soon(stop_gateway, environment, gateway)
            await trio.sleep(1.0)
