"""Restores of the store from an older copy, beside hosts that start again."""

import random

import trio

from dewridge.tests.soak.faults import kill_gateways
from dewridge.tests.soak.links import Mode
from dewridge.tests.soak.stage import Gateway, SoakEnvironment

MIN_AGE, MAX_AGE = 0.5, 4.0
"""Range of the age of the copy in seconds."""
MIN_AWAY, MAX_AWAY = 0.3, 1.0
"""Range of the seconds for which the store is away."""
MAX_WRITING_DELAY = 1.5
"""Seconds after the restore until the operator and the servers have written again."""
MIN_KILL_DELAY, MAX_KILL_DELAY = 1.0, 3.0
"""Range of the seconds after the restore until the hosts that saw the lost writes are
killed. By then the others are back and know their counts."""
EXPIRY_SECONDS = 2.5
"""Seconds after the restore until the records of servers that have left expire."""


async def restore_store(
    environment: SoakEnvironment, at: float, rng: random.Random
) -> None:
    """Restore the store in `at` seconds from a copy, and kill hosts around it.

    Some hosts start only after the restore, and at times those that ran before it are
    killed once these are back, so that no host has seen what was lost.
    """
    await trio.sleep(at)
    data = environment.store.memory_store.data
    copy = data.take_snapshot()
    age, away = rng.uniform(MIN_AGE, MAX_AGE), rng.uniform(MIN_AWAY, MAX_AWAY)
    seconds = away + MAX_WRITING_DELAY
    count = len(environment.gateways)
    early = rng.sample(environment.gateways, rng.randint(0, count - 1))
    late = [each for each in environment.gateways if each not in early]
    early_delay = rng.uniform(0, age)
    late_delay = away + rng.uniform(MIN_KILL_DELAY, MAX_KILL_DELAY)
    if rng.random() < 0.5:
        late = []
    await trio.sleep(early_delay)
    kill_gateways(environment, early)
    await trio.sleep(age - early_delay)
    environment.record_disturbance("", seconds)
    links = [gateway.link for gateway in environment.gateways]
    mode = rng.choice([Mode.RESET, Mode.SILENT])
    for link in links:
        link.set_mode(mode)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_kill, environment, late_delay, late)
        await trio.sleep(away)
        environment.store.restore(copy)
        for link in links:
            link.set_mode(Mode.PASS)
        environment.history.restores += 1
        for server in environment.servers:
            delay = rng.uniform(0, MAX_WRITING_DELAY)
            nursery.start_soon(_write_record, environment, server.id, delay)
        await trio.sleep(rng.uniform(0, MAX_WRITING_DELAY))
        environment.rewrite_configuration()
    await trio.sleep(EXPIRY_SECONDS - MAX_WRITING_DELAY)
    environment.remove_expired_records()


async def _kill(
    environment: SoakEnvironment, delay: float, killed: list[Gateway]
) -> None:
    await trio.sleep(delay)
    kill_gateways(environment, killed)


async def _write_record(environment: SoakEnvironment, name: str, delay: float) -> None:
    await trio.sleep(delay)
    for server in environment.servers:
        if server.id == name and name not in environment.lapsed_servers:
            server.write_record(environment.store.memory_store)
