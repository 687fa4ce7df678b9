"""Odd entries in the store that another writer leaves for a while."""

import random
from typing import Any

import trio

from dewridge.tests.entries.values import (
    COUNTS_ENTRY,
    HOST_ENTRY,
    NEEDED_ENTRY,
    PROGRESS_ENTRY,
    ROLLOUT_ENTRY,
    SERVER_ENTRY,
    STREAMS_ENTRY,
    SUSPECT_ENTRY,
    make_odd_values,
)
from dewridge.tests.soak.stage import SoakEnvironment

PREFIXES: tuple[tuple[str, dict[str, Any]], ...] = (
    ("dewridge/hosts/", HOST_ENTRY),
    ("dewridge/suspects/", SUSPECT_ENTRY),
    ("dewridge/rollouts/", PROGRESS_ENTRY),
    ("dewridge/usage/", COUNTS_ENTRY),
    ("servers/", SERVER_ENTRY),
    ("op/rollout/", ROLLOUT_ENTRY),
    ("streams/", STREAMS_ENTRY),
)
"""Prefixes of keys under which odd entries are left, and a sound entry there."""
KEYS: tuple[tuple[str, dict[str, Any]], ...] = (
    ("dewridge/holder", {"host": "odd"}),
    ("dewridge-needed", NEEDED_ENTRY),
)
"""Keys that the hosts themselves write."""
MIN_ENTRIES, MAX_ENTRIES = 40, 160
"""Range of the number of entries that are left at a time under one prefix."""
MIN_SECONDS, MAX_SECONDS = 0.2, 3.0
"""Range of the time until they are removed."""


async def leave_odd_entries(
    environment: SoakEnvironment, at: float, name: str, rng: random.Random
) -> None:
    """Write odd entries in `at` seconds, and remove them again.

    A version of the configuration is written between them, which hosts must follow.

    Args:
        environment: the run.
        at: seconds until they are written.
        name: part of their keys.
        rng: generator from which everything is drawn.
    """
    await trio.sleep(at)
    place, entry = rng.choice([*PREFIXES, *KEYS])
    count = rng.randint(MIN_ENTRIES, MAX_ENTRIES)
    values = rng.choices(list(make_odd_values(entry)), k=count)
    keys = {place}
    if place.endswith("/"):
        keys = {f"{place}{name}-{number}" for number in range(count)}
    environment.history.odd_entries += count
    store = environment.store.memory_store
    for key, value in zip(sorted(keys) * count, values, strict=False):
        store.write(key, value)
        await trio.lowlevel.checkpoint()
    environment.write_configuration(rng)
    await trio.sleep(rng.uniform(MIN_SECONDS, MAX_SECONDS))
    for key in keys:
        store.remove(key)
