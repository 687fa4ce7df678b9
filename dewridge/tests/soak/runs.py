"""One run of the soak from a seed, and its line."""

import json
import random
import time
from dataclasses import dataclass, field
from pathlib import Path

import trio

from dewridge.tests.soak.callers import Caller
from dewridge.tests.soak.checks import RECOVERY, check_all, count_outcomes
from dewridge.tests.soak.crashing import CrashingCaller
from dewridge.tests.soak.faults import draw_faults, play
from dewridge.tests.soak.records import Kind
from dewridge.tests.soak.stage import QUOTAS, Stage

SETTLE = 4.0
"""Seconds from the start of the processes until callers begin."""
CALM_TAIL = RECOVERY + 6.0
"""Seconds of calm after the last fault, in which nearly all must be served."""
PAUSE = 0.15
"""Seconds between a caller's requests, on average."""


@dataclass(frozen=True)
class Size:
    """How large a run is."""

    hosts: int = 4
    servers: int = 6
    callers: int = 12
    seconds: float = 20.0
    crashing: int = 0
    """Requests that end each server that begins to run them."""


@dataclass
class Result:
    """What came of a run."""

    seed: int
    broken: list[str]
    faults: list[str] = field(default_factory=list)
    outcomes: dict[str, int] = field(default_factory=dict)
    stalls: list[float] = field(default_factory=list)
    """Seconds of each stall of the soak's own process."""

    def format_line(self) -> str:
        """Return the line that a run prints."""
        verdict = "broken" if self.broken else "kept"
        return json.dumps(
            {
                "seed": self.seed,
                "promises": verdict,
                "outcomes": self.outcomes,
                "own_stalls": self.stalls,
                "faults": self.faults,
                "broken": self.broken[:10],
            }
        )


async def run_soak(seed: int, size: Size, folder: Path) -> Result:
    """Play one seed.

    Args:
        seed: draws the faults, the callers' choices and all victims.
        size: how large.
        folder: where settings and logs go; it exists.
    """
    rng = random.Random(seed)
    faults = draw_faults(rng, size.seconds)
    async with trio.open_nursery() as nursery:
        stage = Stage(rng, folder, nursery)
        try:
            await stage.open(size.hosts, size.servers)
            await trio.sleep(SETTLE)
            start_callers(stage, size)
            start_crashing(stage, size, random.Random(f"crashing {seed}"))
            await play(stage, faults)
            await trio.sleep(CALM_TAIL)
            stage.history.end = time.monotonic()
            await trio.sleep(0.5)
        finally:
            await stage.close()
            nursery.cancel_scope.cancel()
    history = stage.history
    return Result(
        seed=seed,
        broken=check_all(history, QUOTAS),
        faults=[f"{one.at:.1f} {one.name} {one.seconds:.1f}" for one in faults],
        outcomes=count_outcomes(history),
        stalls=stage.stalls,
    )


def start_callers(stage: Stage, size: Size) -> None:
    """Let callers begin."""
    hosts = {one.callers: one.name for one in stage.gateways}
    keys = [key for own in stage.keys.values() for key in own]
    for number in range(size.callers):
        caller = Caller(
            name=f"c{number}",
            history=stage.history,
            find_directories=lambda: [one.directory for one in stage.gateways],
            find_host=hosts.__getitem__,
            rng=random.Random(stage.rng.random()),
            keys=keys,
            pause=PAUSE,
        )
        stage.nursery.start_soon(caller.run)


def start_crashing(stage: Stage, size: Size, rng: random.Random) -> None:
    """Let callers with crashing requests begin.

    They draw from a generator of their own, so that a seed plays the same faults with
    and without them.
    """
    for number in range(size.crashing):
        caller = CrashingCaller(
            name=f"x{number}",
            kind=rng.choice([Kind.CHAT, Kind.READ, Kind.DRAFT]),
            key=rng.choice([own[0] for own in stage.keys.values()]),
            history=stage.history,
            gateways=stage.gateways,
            rng=random.Random(rng.random()),
        )
        stage.nursery.start_soon(caller.run)
