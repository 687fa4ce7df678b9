"""Faults and planned work, drawn from a seed; several may be at work at once."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from dewridge.tests.soak.links import Link, Mode
from dewridge.tests.soak.servers import Mood
from dewridge.tests.soak.stage import Gateway, SoakEnvironment, reload

SHUTDOWN_GRACE = 8.0
"""Seconds between asking a gateway to leave and killing it."""
RESTART_SECONDS = 2.0
"""Seconds that a process needs to serve again."""


@dataclass(frozen=True)
class Fault:
    """What happens, when and for how long; times in seconds from the start."""

    name: str
    at: float
    seconds: float


async def kill_some(environment: SoakEnvironment, seconds: float) -> None:
    """Kill one to all gateways at the same moment."""
    count = environment.rng.choice([1, 1, 2, len(environment.gateways)])
    for gateway in environment.rng.sample(environment.gateways, count):
        environment.record_disturbance(gateway.name, RESTART_SECONDS)
        if gateway.process is not None:
            gateway.process.kill()


async def freeze(environment: SoakEnvironment, seconds: float) -> None:
    """Pause a gateway and let it go on with all its beliefs."""
    gateway = environment.rng.choice(environment.gateways)
    process = gateway.process
    environment.record_disturbance(gateway.name, seconds + 0.5)
    if process is not None:
        process.freeze()
        await trio.sleep(seconds)
        process.thaw()


async def roll(environment: SoakEnvironment, seconds: float) -> None:
    """Stop gateways one after the other as planned; they start again."""
    for gateway in environment.rng.sample(environment.gateways, 2):
        await stop_gateway(environment, gateway)


async def stop_gateway(environment: SoakEnvironment, gateway: Gateway) -> None:
    """Ask a gateway to leave, and kill it after the grace."""
    process = gateway.process
    if process is None:
        return
    environment.record_disturbance(gateway.name, SHUTDOWN_GRACE, is_planned=True)
    process.terminate()
    await process.wait_ended(SHUTDOWN_GRACE)


async def reload_all(environment: SoakEnvironment, seconds: float) -> None:
    """Tell all gateways that their settings changed."""
    for gateway in environment.gateways:
        reload(gateway)


async def disturb_store(environment: SoakEnvironment, seconds: float) -> None:
    """Let every gateway's way to the store misbehave alike."""
    mode = environment.rng.choice([Mode.SILENT, Mode.RESET, Mode.SLOW, Mode.LOST_OPEN])
    environment.record_disturbance("", seconds)
    await _disturb_links(
        [gateway.link for gateway in environment.gateways], mode, seconds
    )


async def cut_off(environment: SoakEnvironment, seconds: float) -> None:
    """Cut one gateway off the store."""
    gateway = environment.rng.choice(environment.gateways)
    mode = environment.rng.choice([Mode.SILENT, Mode.RESET, Mode.ONE_WAY])
    environment.record_disturbance(gateway.name, seconds)
    await _disturb_links([gateway.link], mode, seconds)


async def lose_answers(environment: SoakEnvironment, seconds: float) -> None:
    """Let the store carry changes out and answer none of them."""
    environment.record_disturbance("", seconds)
    environment.store.drops_responses = True
    await trio.sleep(seconds)
    environment.store.drops_responses = False


async def compact(environment: SoakEnvironment, seconds: float) -> None:
    """Let the store forget its history while things change."""
    environment.record_disturbance("", 0.5)
    environment.write_configuration()
    environment.store.compact()


async def disturb_server(environment: SoakEnvironment, seconds: float) -> None:
    """Let the way to one server misbehave."""
    server = environment.rng.choice(environment.servers)
    mode = environment.rng.choice(list(Mode))
    environment.record_disturbance("", seconds)
    await _disturb_links([server.link], mode, seconds)


async def spoil_server(environment: SoakEnvironment, seconds: float) -> None:
    """Let one server answer badly while it looks well."""
    healthy_servers = environment.list_servers()
    if not healthy_servers:
        return
    server = environment.rng.choice(healthy_servers)
    environment.record_disturbance("", seconds)
    server.mood = environment.rng.choice(
        [mood for mood in Mood if mood is not Mood.GOOD]
    )
    await trio.sleep(seconds)
    server.mood = Mood.GOOD


async def replace_server(environment: SoakEnvironment, seconds: float) -> None:
    """Replace a server as planned."""
    healthy_servers = environment.list_servers()
    if healthy_servers:
        await environment.replace_server(environment.rng.choice(healthy_servers))


async def change_configuration(environment: SoakEnvironment, seconds: float) -> None:
    """Write versions in quick succession."""
    for _ in range(environment.rng.randint(1, 5)):
        environment.write_configuration()
        await trio.sleep(0.2)


async def revoke(environment: SoakEnvironment, seconds: float) -> None:
    """Take a key away from connected callers."""
    environment.revoke_key()


async def _disturb_links(links: list[Link], mode: Mode, seconds: float) -> None:
    for link in links:
        link.set_mode(mode)
    await trio.sleep(seconds)
    for link in links:
        link.set_mode(Mode.PASS)


FaultAction = Callable[[SoakEnvironment, float], Awaitable[None]]
FAULTS: dict[str, FaultAction] = {
    action.__name__: action
    for action in (
        kill_some,
        freeze,
        roll,
        reload_all,
        disturb_store,
        cut_off,
        lose_answers,
        compact,
        disturb_server,
        spoil_server,
        replace_server,
        change_configuration,
        revoke,
    )
}


def draw_faults(rng: random.Random, seconds: float) -> list[Fault]:
    """Draw the faults of a run: one each two seconds, series of some, overlapping."""
    drawn: list[Fault] = []
    while len(drawn) < seconds / 2:
        name = rng.choice(list(FAULTS))
        at = rng.uniform(0, seconds)
        for repetition in range(rng.choice([1, 1, 1, 3])):
            begin = at + repetition * rng.uniform(0.3, 2.0)
            drawn.append(Fault(name, begin, rng.uniform(0.5, 5.0)))
    return sorted(drawn, key=lambda fault: fault.at)


async def inject_faults(environment: SoakEnvironment, faults: list[Fault]) -> None:
    """Let the faults happen at their times, side by side."""
    begin = trio.current_time()
    async with trio.open_nursery() as nursery:
        for fault in faults:
            await trio.sleep_until(begin + fault.at)
            nursery.start_soon(FAULTS[fault.name], environment, fault.seconds)
