"""Measures how a host's state grows: records, servers, configuration, claims.

Each size is built several times in this process. Memory is what the interpreter
allocated, and time is the processor time of this process.
"""

import csv
import gc
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

import msgspec
from uuid6 import uuid7

from dewridge.configuration.head import (
    Head,
    ObjectLocation,
    StoredObject,
    build_configuration,
)
from dewridge.configuration.model import PolicyChoice, Profile
from dewridge.fleet.table import ServerTable
from dewridge.ids import (
    BackendServerId,
    ClientAccount,
    FailureDomain,
    HostId,
    Incarnation,
    OperationName,
    ProfileName,
    RequestKey,
    ServiceName,
    make_request_id,
)
from dewridge.providers.model import HostState, ListedServer, ServerKind
from dewridge.requests.claims import (
    BucketValue,
    ClaimIntent,
    apply_intents,
    decode_bucket,
    encode_bucket,
)
from dewridge.requests.records import Ballot, Record, make_generation
from dewridge.sentinels import Failure

RUNS = 3
INPUT_BYTES = 1_000
TOKENS_PER_RECORD = 100
OUTPUT_FOLDER = Path("docs/figures")


@dataclass(frozen=True)
class Point:
    """One run at one size.

    Attributes:
        bytes: memory allocated for the state; for claims, size of the encoded bucket.
        seconds: processor time to build the state; for claims, of one merge.
    """

    table: str
    size: int
    run: int
    bytes: int
    seconds: float


@dataclass(frozen=True)
class StateKind:
    """A kind of state, the sizes to measure, and the function that builds it."""

    name: str
    sizes: Sequence[int]
    build: Callable[[int], Any]


def build_records(size: int) -> list[Record]:
    """Return records of accepted requests with 1 kB of input and 100 tokens each."""
    ballot = Ballot(1, HostId("entry-1"), Incarnation(1))
    records = []
    for number in range(size):
        key = RequestKey(str(uuid7()))
        request = make_request_id(ClientAccount("matadero"), key)
        record = Record(
            request,
            ServiceName("findings"),
            OperationName("draft_finding"),
            1,
            0.0,
            f"{number:08d}" * (INPUT_BYTES // 8),
            TOKENS_PER_RECORD,
            True,
            ProfileName("drafting"),
            0.0,
            ballot,
            make_generation(ballot),
            number,
        )
        record.tokens = [
            f" token{number % 977}-{index}" for index in range(TOKENS_PER_RECORD)
        ]
        records.append(record)
    return records


def build_servers(size: int) -> ServerTable:
    """Return a table of backend servers in seven failure domains."""
    table = ServerTable()
    for number in range(size):
        table.merge(
            ListedServer(
                BackendServerId(f"findings-{number}"),
                f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8000",
                FailureDomain(f"domain-{number % 7}"),
                ServerKind.ENGINE,
                (ServiceName("findings"),),
                "gpu-standard",
                2.0,
                number % 4 != 0,
                64,
                True,
                HostState.LIVE,
            )
        )
    return table


def build_configuration_state(size: int) -> Any:
    """Build a configuration of `size` profiles, its stored objects and its head."""
    choice = PolicyChoice("balanced")
    objects = {}
    for number in range(size):
        name = f"profile/profile-{number}"
        value = Profile(ProfileName(f"profile-{number}"), choice, choice, choice)
        objects[name] = StoredObject(name, number, msgspec.json.encode(value))
    configuration, _ = build_configuration(size, objects)
    locations = {name: ObjectLocation(1, name) for name in objects}
    return configuration, objects, msgspec.json.encode(Head(objects=locations))


def merge_claims(size: int) -> tuple[bytes, float]:
    """Merge ten claims into a bucket of `size`; return its value and the CPU time."""
    random = Random(size)
    ballot = Ballot(1, HostId("entry-1"), Incarnation(1))

    def make_intent() -> ClaimIntent:
        key = RequestKey(str(uuid7()))
        account = ClientAccount(f"account-{random.randrange(5)}")
        return ClaimIntent(make_request_id(account, key), ballot)

    bucket, _ = apply_intents(BucketValue(), [make_intent() for _ in range(size)])
    value = encode_bucket(bucket)
    new_claims = [make_intent() for _ in range(10)]
    started = time.process_time()
    decoded = decode_bucket(value)
    assert not isinstance(decoded, Failure)
    merged, _ = apply_intents(decoded, new_claims)
    encoded = encode_bucket(merged)
    return encoded, time.process_time() - started


STATE_KINDS = (
    StateKind("records", (1, 100, 1_000, 10_000, 100_000), build_records),
    StateKind("servers", (10, 100, 1_000, 4_900), build_servers),
    StateKind("configuration", (10, 100, 1_000), build_configuration_state),
)

CLAIM_SIZES = (10, 100, 1_000, 10_000)


def measure(kind: StateKind, size: int, run: int) -> Point:
    """Build a state once to measure its memory, and once more to measure its time."""
    gc.collect()
    tracemalloc.start()
    state = kind.build(size)
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del state
    gc.collect()
    started = time.process_time()
    state = kind.build(size)
    seconds = time.process_time() - started
    del state
    return Point(kind.name, size, run, allocated, seconds)


def measure_claims(size: int, run: int) -> Point:
    """Measure the size of a bucket of claims and the time of a merge into it."""
    value, seconds = merge_claims(size)
    return Point("claims", size, run, len(value), seconds)


def fit(points: list[Point], column: str) -> tuple[float, float, float]:
    """Return median, minimum and maximum over the runs of the least-squares slope."""
    slopes = []
    for run in range(RUNS):
        selected = [point for point in points if point.run == run]
        sizes = [float(point.size) for point in selected]
        values = [float(getattr(point, column)) for point in selected]
        slopes.append(statistics.linear_regression(sizes, values).slope)
    return statistics.median(slopes), min(slopes), max(slopes)


def main() -> None:
    """Measure all kinds of state, write the points and print their slopes."""
    points = [
        measure(kind, size, run)
        for kind in STATE_KINDS
        for size in kind.sizes
        for run in range(RUNS)
    ]
    points += [measure_claims(size, run) for size in CLAIM_SIZES for run in range(RUNS)]
    OUTPUT_FOLDER.mkdir(parents=True, exist_ok=True)
    with (OUTPUT_FOLDER / "tables.csv").open("w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(("table", "size", "run", "bytes", "seconds"))
        for point in points:
            seconds = f"{point.seconds:.6f}"
            writer.writerow((point.table, point.size, point.run, point.bytes, seconds))
    for name in dict.fromkeys(point.table for point in points):
        selected = [point for point in points if point.table == name]
        memory, cpu = fit(selected, "bytes"), fit(selected, "seconds")
        sys.stdout.write(
            f"{name}: {memory[0]:.0f} bytes each ({memory[1]:.0f} to {memory[2]:.0f}), "
            f"{cpu[0] * 1e6:.2f} us each "
            f"({cpu[1] * 1e6:.2f} to {cpu[2] * 1e6:.2f})\n"
        )


if __name__ == "__main__":
    main()
