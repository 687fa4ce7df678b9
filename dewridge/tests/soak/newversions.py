"""Versions that appear while some hosts are cut off, paused or starting."""

import random
import time
from enum import Enum
from typing import TYPE_CHECKING

import trio

from dewridge.tests.soak.links import Mode
from dewridge.tests.soak.records import Disturbance

if TYPE_CHECKING:
    from dewridge.tests.soak.stage import Gateway, SoakEnvironment

MIN_SECONDS, MAX_SECONDS = 3.0, 6.0
"""Range of the time for which hosts are cut off or paused."""
MIN_DELAY, MAX_DELAY = 0.05, 0.8
"""Range of the time from its start until the first server of a version starts."""
RESTART_SECONDS = 2.0
"""Seconds until a killed gateway serves again."""
CATCH_UP_SECONDS = 1.5
"""Seconds after the outage in which callers still prefer these hosts."""
NEW_SERVERS = 4


class Outage(Enum):
    """Why hosts may not know a version."""

    CUT_OFF = "cut off"
    """They do not reach the store."""
    PAUSED = "paused"
    STARTING = "starting"


async def add_version(
    environment: "SoakEnvironment", at: float, name: str, rng: random.Random
) -> None:
    """Start servers of a new version while some hosts can't see them, in `at` seconds.

    Callers resume streams at these hosts meanwhile.
    """
    await trio.sleep(at)
    count = rng.randint(1, len(environment.gateways) - 1)
    hosts = rng.sample(environment.gateways, count)
    outage = rng.choice(list(Outage))
    seconds = rng.uniform(MIN_SECONDS, MAX_SECONDS)
    names = {gateway.name for gateway in hosts}
    environment.outdated_hosts |= names
    begin = time.monotonic()
    mode = rng.choice([Mode.SILENT, Mode.RESET, Mode.ONE_WAY])
    for gateway in hosts:
        _begin_outage(environment, gateway, outage, mode, seconds)
    await trio.sleep(rng.uniform(MIN_DELAY, MAX_DELAY))
    for _ in range(NEW_SERVERS):
        await environment.add_server("engine", name)
    await trio.sleep(max(0.0, begin + seconds - time.monotonic()))
    for gateway in hosts:
        _end_outage(gateway, outage)
    environment.history.new_versions.append(f"{name}: {count} hosts {outage.value}")
    await trio.sleep(CATCH_UP_SECONDS)
    environment.outdated_hosts -= names


def _begin_outage(
    environment: "SoakEnvironment",
    gateway: "Gateway",
    outage: Outage,
    mode: Mode,
    seconds: float,
) -> None:
    match outage:
        case Outage.CUT_OFF:
            cut = environment.record_disturbance(gateway.name, seconds)
            environment.history.store_cuts.append(cut)
            gateway.link.set_mode(mode)
        case Outage.PAUSED:
            environment.record_disturbance(gateway.name, seconds + 0.5)
            if gateway.process is not None:
                gateway.process.suspend()
        case Outage.STARTING:
            environment.record_disturbance(gateway.name, RESTART_SECONDS)
            if gateway.process is not None:
                gateway.process.kill()


def _end_outage(gateway: "Gateway", outage: Outage) -> None:
    if outage is Outage.CUT_OFF:
        gateway.link.set_mode(Mode.PASS)
    elif outage is Outage.PAUSED and gateway.process is not None:
        gateway.process.resume()


def is_only_cut_off(
    disturbances: list[Disturbance], cut: Disturbance, begin: float, end: float
) -> bool:
    """Return whether nothing but a cut from the store affects a host in a period."""
    return not any(
        disturbance is not cut
        and not disturbance.is_planned
        and disturbance.host in {"", cut.host}
        and disturbance.begin <= end
        and disturbance.end >= begin
        for disturbance in disturbances
    )
