"""Faults and planned operations, drawn from a seed; several may overlap."""

import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from dewridge.tests.soak.links import Link, Mode
from dewridge.tests.soak.servers import Mood
from dewridge.tests.soak.stage import Gateway, SoakEnvironment

SHUTDOWN_GRACE = 8.0
"""Seconds between asking a gateway to shut down and killing it."""
RESTART_SECONDS = 2.0
"""Seconds until a killed gateway serves again."""


@dataclass(frozen=True)
class Fault:
    """One fault or planned operation of a run.

    Attributes:
        name: key in `FAULTS`.
        at: seconds from the start of the fault injection.
        seconds: duration, for faults that last.
    """

    name: str
    at: float
    seconds: float


async def kill_some(environment: SoakEnvironment, seconds: float) -> None:
    """Kill one, two or all gateways at the same moment."""
    count = environment.rng.choice([1, 1, 2, len(environment.gateways)])
    kill_gateways(environment, environment.rng.sample(environment.gateways, count))


def kill_gateways(environment: SoakEnvironment, gateways: list[Gateway]) -> None:
    """Kill gateways at the same moment."""
    for gateway in gateways:
        environment.record_disturbance(gateway.name, RESTART_SECONDS)
        if gateway.process is not None:
            gateway.process.kill()


async def freeze(environment: SoakEnvironment, seconds: float) -> None:
    """Pause a gateway and resume it, so that it continues with outdated state."""
    gateway = environment.rng.choice(environment.gateways)
    process = gateway.process
    environment.record_disturbance(gateway.name, seconds + 0.5)
    if process is not None:
        process.suspend()
        await trio.sleep(seconds)
        process.resume()


async def roll(environment: SoakEnvironment, seconds: float) -> None:
    """Stop two gateways gracefully, one after the other; they are restarted."""
    for gateway in environment.rng.sample(environment.gateways, 2):
        await stop_gateway(environment, gateway)


async def stop_gateway(environment: SoakEnvironment, gateway: Gateway) -> None:
    """Ask a gateway to shut down, and kill it after `SHUTDOWN_GRACE`."""
    process = gateway.process
    if process is None:
        return
    environment.record_disturbance(gateway.name, SHUTDOWN_GRACE, is_planned=True)
    environment.send_signal(gateway, signal.SIGTERM)
    await process.wait_for_exit(SHUTDOWN_GRACE)


async def reload_all(environment: SoakEnvironment, seconds: float) -> None:
    """Make all gateways reload their settings."""
    for gateway in environment.gateways:
        environment.send_signal(gateway, signal.SIGHUP)


async def disturb_store(environment: SoakEnvironment, seconds: float) -> None:
    """Disturb the links of all gateways to the store in the same way."""
    mode = environment.rng.choice([Mode.SILENT, Mode.RESET, Mode.SLOW, Mode.LOST_OPEN])
    environment.record_disturbance("", seconds, affects_store_only=True)
    await _disturb_links(
        [gateway.link for gateway in environment.gateways], mode, seconds
    )


async def cut_off(environment: SoakEnvironment, seconds: float) -> None:
    """Partition one gateway from the store."""
    gateway = environment.rng.choice(environment.gateways)
    mode = environment.rng.choice([Mode.SILENT, Mode.RESET, Mode.ONE_WAY])
    environment.record_disturbance(gateway.name, seconds)
    await _disturb_links([gateway.link], mode, seconds)


async def lose_answers(environment: SoakEnvironment, seconds: float) -> None:
    """Make the store execute changes without responding to them."""
    environment.record_disturbance("", seconds, affects_store_only=True)
    environment.store.drops_responses = True
    await trio.sleep(seconds)
    environment.store.drops_responses = False


async def compact(environment: SoakEnvironment, seconds: float) -> None:
    """Compact the history of the store right after a configuration change."""
    environment.record_disturbance("", 0.5, affects_store_only=True)
    environment.write_configuration()
    environment.store.compact()


async def disturb_server(environment: SoakEnvironment, seconds: float) -> None:
    """Disturb the link to one server."""
    server = environment.rng.choice(environment.servers)
    mode = environment.rng.choice(list(Mode))
    environment.record_disturbance("", seconds)
    await _disturb_links([server.link], mode, seconds)


async def spoil_server(environment: SoakEnvironment, seconds: float) -> None:
    """Make one server misbehave while its record still says that it is ready."""
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
    """Replace a server gracefully."""
    healthy_servers = environment.list_servers()
    if healthy_servers:
        await environment.replace_server(environment.rng.choice(healthy_servers))


async def change_configuration(environment: SoakEnvironment, seconds: float) -> None:
    """Write several configuration versions in quick succession."""
    for _ in range(environment.rng.randint(1, 5)):
        environment.write_configuration()
        await trio.sleep(0.2)


async def revoke(environment: SoakEnvironment, seconds: float) -> None:
    """Revoke an account key that callers are using."""
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
    """Draw about one fault per two seconds; some come in series of three.

    Args:
        rng: generator seeded for the run.
        seconds: duration of the fault injection.

    Returns:
        The faults in the order of their start times; they may overlap.
    """
    drawn: list[Fault] = []
    while len(drawn) < seconds / 2:
        name = rng.choice(list(FAULTS))
        at = rng.uniform(0, seconds)
        for repetition in range(rng.choice([1, 1, 1, 3])):
            begin = at + repetition * rng.uniform(0.3, 2.0)
            drawn.append(Fault(name, begin, rng.uniform(0.5, 5.0)))
    return sorted(drawn, key=lambda fault: fault.at)


async def inject_faults(environment: SoakEnvironment, faults: list[Fault]) -> None:
    """Start each fault at its time; faults run concurrently."""
    begin = trio.current_time()
    async with trio.open_nursery() as nursery:
        for fault in faults:
            await trio.sleep_until(begin + fault.at)
            nursery.start_soon(FAULTS[fault.name], environment, fault.seconds)
