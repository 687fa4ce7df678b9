"""Seeds that once failed, each with its size and what was found."""

from dataclasses import dataclass

from dewridge.tests.soak.runs import Size


@dataclass(frozen=True)
class KeptSeed:
    """A seed to play again as it was."""

    seed: int
    size: Size
    cause: str


KEPT = (
    KeptSeed(
        1,
        Size(seconds=10.0),
        "requests open at the soak's own end counted as cut off in calm",
    ),
    KeptSeed(
        103,
        Size(hosts=20, callers=30, seconds=15.0),
        "the store's stand-in polled for each abandoned watch and starved",
    ),
    KeptSeed(
        307,
        Size(hosts=18, callers=14, seconds=15.0),
        "the soak's own process stood still on a busy machine: no store for any host",
    ),
)
