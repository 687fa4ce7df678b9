"""Orders to a process of measured members, and its reports, as JSON lines."""

import msgspec


class Start(msgspec.Struct, tag=True, frozen=True):
    """Orders the start of members `first` to `first + count - 1`, with their seeds."""

    first: int
    count: int
    seeds: list[str]
    seed: int


class Spread(msgspec.Struct, tag=True, frozen=True):
    """Orders the process's first member to broadcast a rumor of `size` bytes."""

    subject: str
    size: int
    routine: bool


class Measure(msgspec.Struct, tag=True, frozen=True):
    """Orders a report of the costs so far."""


Order = Start | Spread | Measure


class Started(msgspec.Struct, tag=True, frozen=True):
    """Reports that the members run; `base_bytes` is the resident memory before that."""

    addresses: list[str]
    base_bytes: int


class Heard(msgspec.Struct, tag=True, frozen=True):
    """Reports that a member received a rumor; `at` is machine-wide monotonic time."""

    member: int
    subject: str
    at: float


class Changed(msgspec.Struct, tag=True, frozen=True):
    """Reports that a member set another one to a state."""

    member: int
    host: str
    state: str
    at: float


class Costs(msgspec.Struct, tag=True, frozen=True):
    """Reports the costs of a process since its start."""

    at: float
    cpu_seconds: float
    resident_bytes: int
    counters: dict[str, float]
    knows: int
    """Smallest number of live members that any member of the process knows."""
    news: int
    """Largest number of updates that any member of the process still has to send."""


Report = Started | Heard | Changed | Costs


def encode(item: Order | Report) -> bytes:
    """Encode an order or a report as one line."""
    return msgspec.json.encode(item) + b"\n"


def decode_order(line: bytes) -> Order:
    """Decode one line from the driver."""
    return msgspec.json.decode(line, type=Order)


def decode_report(line: bytes) -> Report:
    """Decode one line from a process of members."""
    return msgspec.json.decode(line, type=Report)
