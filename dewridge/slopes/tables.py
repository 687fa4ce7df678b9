"""Slopes of the state that one host holds: records, servers, configuration, claims.

Each size is built several times in this process; memory is what the interpreter
allocated for it, time is this process's processor time.
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

RUNS = 3
INPUT_BYTES = 1_000
TOKENS = 100
FOLDER = Path("docs/figures")


@dataclass(frozen=True)
class Point:
    """One run at one size.

    Attributes:
        bytes: allocated for all of it.
        seconds: processor time to build it.
    """

    table: str
    size: int
    run: int
    bytes: int
    seconds: float


@dataclass(frozen=True)
class Table:
    """A kind of state, the sizes to build, and how."""

    name: str
    sizes: Sequence[int]
    build: Callable[[int], Any]


def build_records(size: int) -> list[Record]:
    """Return accepted requests with 1 kB of input and 100 tokens each."""
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
            TOKENS,
            True,
            ProfileName("drafting"),
            0.0,
            ballot,
            make_generation(ballot),
            number,
        )
        record.tokens = [f" token{number % 977}-{place}" for place in range(TOKENS)]
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


def build_objects(size: int) -> Any:
    """Read a configuration of so many profiles, with its head."""
    choice = PolicyChoice("balanced")
    objects = {}
    for number in range(size):
        name = f"profile/profile-{number}"
        value = Profile(ProfileName(f"profile-{number}"), choice, choice, choice)
        objects[name] = StoredObject(name, number, msgspec.json.encode(value))
    configuration, _ = build_configuration(size, objects)
    places = {name: ObjectLocation(1, name) for name in objects}
    return configuration, objects, msgspec.json.encode(Head(objects=places))


def merge_claims(size: int) -> tuple[bytes, float]:
    """Merge ten claims into a bucket of so many; its value and the time."""
    random = Random(size)
    ballot = Ballot(1, HostId("entry-1"), Incarnation(1))

    def make_intent() -> ClaimIntent:
        key = RequestKey(str(uuid7()))
        account = ClientAccount(f"account-{random.randrange(5)}")
        return ClaimIntent(make_request_id(account, key), ballot)

    bucket, _ = apply_intents(BucketValue(), [make_intent() for _ in range(size)])
    value = encode_bucket(bucket)
    fresh = [make_intent() for _ in range(10)]
    started = time.process_time()
    merged, _ = apply_intents(decode_bucket(value), fresh)
    encoded = encode_bucket(merged)
    return encoded, time.process_time() - started


TABLES = (
    Table("records", (1, 100, 1_000, 10_000, 100_000), build_records),
    Table("servers", (10, 100, 1_000, 4_900), build_servers),
    Table("configuration", (10, 100, 1_000), build_objects),
)

CLAIM_SIZES = (10, 100, 1_000, 10_000)


def measure(table: Table, size: int, run: int) -> Point:
    """Build a table once, for its memory, and once more, for its time."""
    gc.collect()
    tracemalloc.start()
    kept = table.build(size)
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    gc.collect()
    started = time.process_time()
    kept = table.build(size)
    seconds = time.process_time() - started
    del kept
    return Point(table.name, size, run, allocated, seconds)


def measure_claims(size: int, run: int) -> Point:
    """Merge claims into a bucket: bytes of its value, time of the merge."""
    value, seconds = merge_claims(size)
    return Point("claims", size, run, len(value), seconds)


def fit(points: list[Point], column: str) -> tuple[float, float, float]:
    """Return slope, least and greatest slope over the runs, by least squares."""
    slopes = []
    for run in range(RUNS):
        mine = [point for point in points if point.run == run]
        sizes = [float(point.size) for point in mine]
        values = [float(getattr(point, column)) for point in mine]
        slopes.append(statistics.linear_regression(sizes, values).slope)
    return statistics.median(slopes), min(slopes), max(slopes)


def main() -> None:
    """Measure all tables and write the points and their slopes."""
    points = [
        measure(table, size, run)
        for table in TABLES
        for size in table.sizes
        for run in range(RUNS)
    ]
    points += [measure_claims(size, run) for size in CLAIM_SIZES for run in range(RUNS)]
    FOLDER.mkdir(parents=True, exist_ok=True)
    with (FOLDER / "tables.csv").open("w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(("table", "size", "run", "bytes", "seconds"))
        for point in points:
            seconds = f"{point.seconds:.6f}"
            writer.writerow((point.table, point.size, point.run, point.bytes, seconds))
    for name in dict.fromkeys(point.table for point in points):
        mine = [point for point in points if point.table == name]
        memory, processor = fit(mine, "bytes"), fit(mine, "seconds")
        sys.stdout.write(
            f"{name}: {memory[0]:.0f} bytes each ({memory[1]:.0f} to {memory[2]:.0f}), "
            f"{processor[0] * 1e6:.2f} us each "
            f"({processor[1] * 1e6:.2f} to {processor[2] * 1e6:.2f})\n"
        )


if __name__ == "__main__":
    main()
