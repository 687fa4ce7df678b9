"""Servers that leave right after the hosts' calls to the store failed, or all ended."""

import random

import trio

from dewridge.tests.soak.faults import kill_gateways
from dewridge.tests.soak.links import Mode
from dewridge.tests.soak.stage import SoakEnvironment

FAILURE_SECONDS = 0.4
"""Seconds for which the hosts' calls to the store fail while it works."""
MIN_LEAVING_DELAY = 0.1
MAX_LEAVING_DELAY = 1.7
"""Seconds after the trouble until the replacement of a leaving server starts, half a
second before the server leaves."""


async def make_servers_leave(
    environment: SoakEnvironment, at: float, rng: random.Random
) -> None:
    """Disturb all hosts briefly, and let a server of each service leave after it."""
    await trio.sleep(at)
    trouble = rng.choice([_fail_store_calls, _fail_store_calls, _kill_all])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trouble, environment, rng)
        for service in ("engine", "plain"):
            delay = FAILURE_SECONDS + rng.uniform(MIN_LEAVING_DELAY, MAX_LEAVING_DELAY)
            nursery.start_soon(
                _leave, environment, service, delay, random.Random(rng.random())
            )


async def _fail_store_calls(environment: SoakEnvironment, rng: random.Random) -> None:
    """Reset or silence each host's link to the store; servers still reach it."""
    links = [gateway.link for gateway in environment.gateways]
    for gateway in environment.gateways:
        environment.record_disturbance(gateway.name, FAILURE_SECONDS)
    mode = rng.choice([Mode.RESET, Mode.SILENT])
    for link in links:
        link.set_mode(mode)
    await trio.sleep(FAILURE_SECONDS)
    for link in links:
        link.set_mode(Mode.PASS)


async def _kill_all(environment: SoakEnvironment, rng: random.Random) -> None:
    kill_gateways(environment, environment.gateways)


async def _leave(
    environment: SoakEnvironment, service: str, delay: float, rng: random.Random
) -> None:
    await trio.sleep(delay)
    servers = [each for each in environment.list_servers() if each.service == service]
    if len(servers) < 2:
        return
    says_so = rng.random() < 0.5
    await environment.replace_server(rng.choice(servers), says_so=says_so)
