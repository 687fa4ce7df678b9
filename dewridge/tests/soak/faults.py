"""Faults and planned work, drawn from a seed; several may be at work at once."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from dewridge.tests.soak.links import Link, Mode
from dewridge.tests.soak.servers import Mood
from dewridge.tests.soak.stage import Gateway, Stage, reload

GRACE = 8.0
"""Seconds between asking a gateway to leave and killing it."""
STARTING = 2.0
"""Seconds that a process needs to serve again."""


@dataclass(frozen=True)
class Fault:
    """What happens, when and for how long; times in seconds from the start."""

    name: str
    at: float
    seconds: float


async def kill_some(stage: Stage, seconds: float) -> None:
    """Kill one to all gateways at the same moment."""
    count = stage.rng.choice([1, 1, 2, len(stage.gateways)])
    for gateway in stage.rng.sample(stage.gateways, count):
        stage.disturb(gateway.name, STARTING)
        if gateway.process is not None:
            gateway.process.kill()


async def freeze(stage: Stage, seconds: float) -> None:
    """Pause a gateway and let it go on with all its beliefs."""
    gateway = stage.rng.choice(stage.gateways)
    process = gateway.process
    stage.disturb(gateway.name, seconds + 0.5)
    if process is not None:
        process.suspend()
        await trio.sleep(seconds)
        process.resume()


async def roll(stage: Stage, seconds: float) -> None:
    """Stop gateways one after the other as planned; they start again."""
    for gateway in stage.rng.sample(stage.gateways, 2):
        await stop(stage, gateway)


async def stop(stage: Stage, gateway: Gateway) -> None:
    """Ask a gateway to leave, and kill it after the grace."""
    process = gateway.process
    if process is None:
        return
    stage.disturb(gateway.name, GRACE, is_planned=True)
    process.terminate()
    await process.wait_for_exit(GRACE)


async def reload_all(stage: Stage, seconds: float) -> None:
    """Tell all gateways that their settings changed."""
    for gateway in stage.gateways:
        reload(gateway)


async def disturb_store(stage: Stage, seconds: float) -> None:
    """Let every gateway's way to the store misbehave alike."""
    mode = stage.rng.choice([Mode.SILENT, Mode.RESET, Mode.SLOW, Mode.LOST_OPEN])
    stage.disturb("", seconds)
    await _change_links([one.link for one in stage.gateways], mode, seconds)


async def cut_off(stage: Stage, seconds: float) -> None:
    """Cut one gateway off the store."""
    gateway = stage.rng.choice(stage.gateways)
    mode = stage.rng.choice([Mode.SILENT, Mode.RESET, Mode.ONE_WAY])
    stage.disturb(gateway.name, seconds)
    await _change_links([gateway.link], mode, seconds)


async def lose_answers(stage: Stage, seconds: float) -> None:
    """Let the store carry changes out and answer none of them."""
    stage.disturb("", seconds)
    stage.store.loses_answers = True
    await trio.sleep(seconds)
    stage.store.loses_answers = False


async def compact(stage: Stage, seconds: float) -> None:
    """Let the store forget its history while things change."""
    stage.disturb("", 0.5)
    stage.write_configuration()
    stage.store.compact()


async def disturb_server(stage: Stage, seconds: float) -> None:
    """Let the way to one server misbehave."""
    server = stage.rng.choice(stage.servers)
    mode = stage.rng.choice(list(Mode))
    stage.disturb("", seconds)
    await _change_links([server.link], mode, seconds)


async def spoil_server(stage: Stage, seconds: float) -> None:
    """Let one server answer badly while it looks well."""
    good = stage.list_servers()
    if not good:
        return
    server = stage.rng.choice(good)
    stage.disturb("", seconds)
    server.mood = stage.rng.choice([mood for mood in Mood if mood is not Mood.GOOD])
    await trio.sleep(seconds)
    server.mood = Mood.GOOD


async def replace_server(stage: Stage, seconds: float) -> None:
    """Replace a server as planned."""
    good = stage.list_servers()
    if good:
        await stage.replace_server(stage.rng.choice(good))


async def change_configuration(stage: Stage, seconds: float) -> None:
    """Write versions in quick succession."""
    for _ in range(stage.rng.randint(1, 5)):
        stage.write_configuration()
        await trio.sleep(0.2)


async def revoke(stage: Stage, seconds: float) -> None:
    """Take a key away from connected callers."""
    stage.revoke()


async def _change_links(links: list[Link], mode: Mode, seconds: float) -> None:
    for link in links:
        link.change(mode)
    await trio.sleep(seconds)
    for link in links:
        link.change(Mode.PASS)


Act = Callable[[Stage, float], Awaitable[None]]
FAULTS: dict[str, Act] = {
    act.__name__: act
    for act in (
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
        for repeat in range(rng.choice([1, 1, 1, 3])):
            begin = at + repeat * rng.uniform(0.3, 2.0)
            drawn.append(Fault(name, begin, rng.uniform(0.5, 5.0)))
    return sorted(drawn, key=lambda fault: fault.at)


async def play(stage: Stage, faults: list[Fault]) -> None:
    """Let the faults happen at their times, side by side."""
    begin = trio.current_time()
    async with trio.open_nursery() as nursery:
        for fault in faults:
            await trio.sleep_until(begin + fault.at)
            nursery.start_soon(FAULTS[fault.name], stage, fault.seconds)
