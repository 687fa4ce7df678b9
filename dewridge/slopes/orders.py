"""Orders to a process of measured members, and what it reports: JSON lines."""

import msgspec


class Start(msgspec.Struct, tag=True, frozen=True):
    """Start members `first` to `first + count - 1`, joining through seeds."""

    first: int
    count: int
    seeds: list[str]
    seed: int


class Spread(msgspec.Struct, tag=True, frozen=True):
    """Let the process's first member spread a rumor."""

    subject: str
    size: int
    routine: bool


class Measure(msgspec.Struct, tag=True, frozen=True):
    """Report the costs so far."""


Order = Start | Spread | Measure


class Started(msgspec.Struct, tag=True, frozen=True):
    """The members run; `base_bytes` is the memory before they did."""

    addresses: list[str]
    base_bytes: int


class Heard(msgspec.Struct, tag=True, frozen=True):
    """A member heard a rumor, at a time of the machine's monotonic clock."""

    member: int
    subject: str
    at: float


class Changed(msgspec.Struct, tag=True, frozen=True):
    """A member holds another one for something else than before."""

    member: int
    host: str
    state: str
    at: float


class Costs(msgspec.Struct, tag=True, frozen=True):
    """What a process's members cost since its start."""

    at: float
    cpu_seconds: float
    resident_bytes: int
    counters: dict[str, float]
    knows: int
    """Members that each of them knows alive: the least over the members."""
    news: int
    """Pieces of news that one of them still tells: the most over the members."""


Report = Started | Heard | Changed | Costs


def encode(item: Order | Report) -> bytes:
    """Return one line."""
    return msgspec.json.encode(item) + b"\n"


def decode_order(line: bytes) -> Order:
    """Read one line of a driver."""
    return msgspec.json.decode(line, type=Order)


def decode_report(line: bytes) -> Report:
    """Read one line of a process of members."""
    return msgspec.json.decode(line, type=Report)
