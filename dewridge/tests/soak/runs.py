"""One run of the soak test from a seed, and the line that it prints."""

import json
import random
import time
from dataclasses import dataclass, field
from pathlib import Path

import trio

from dewridge.tests.soak.badparts import BadPartCaller
from dewridge.tests.soak.callers import Caller
from dewridge.tests.soak.checks import RECOVERY_SECONDS, check_all, count_outcomes
from dewridge.tests.soak.crashing import CrashingCaller
from dewridge.tests.soak.departures import make_servers_leave
from dewridge.tests.soak.documents import LargeDocuments, probe_versions
from dewridge.tests.soak.engineruns import EndDraws
from dewridge.tests.soak.faults import Fault, draw_faults, inject_faults
from dewridge.tests.soak.lapses import lapse_records
from dewridge.tests.soak.leaving import make_hosts_leave
from dewridge.tests.soak.leavingengines import make_engines_leave, restart_engines
from dewridge.tests.soak.newversions import add_version
from dewridge.tests.soak.oddentries import leave_odd_entries
from dewridge.tests.soak.partitions import partition_hosts
from dewridge.tests.soak.records import LOW_RETRY_SLACK, RequestKind
from dewridge.tests.soak.rejections import reject_requests
from dewridge.tests.soak.restores import restore_store
from dewridge.tests.soak.resuming import ResumingCaller
from dewridge.tests.soak.signals import BRITTLE_SLOTS, make_brittle, send_signals
from dewridge.tests.soak.stage import QUOTAS, SoakEnvironment
from dewridge.tests.soak.uploads import UploadingCaller

WARM_UP_SECONDS = 4.0
"""Seconds from the start of the gateways until callers start."""
FAULT_FREE_SECONDS = RECOVERY_SECONDS + 6.0
"""Seconds without faults at the end, in which most requests must succeed again."""
MEAN_PAUSE = 0.15
"""Average seconds between two requests of a caller."""


@dataclass(frozen=True)
class SoakSize:
    """Size of a run; `seconds` is the duration of the fault injection."""

    hosts: int = 4
    servers: int = 6
    callers: int = 12
    seconds: float = 20.0
    signals: int = 0
    """Number of times that a server asks for fewer requests."""
    partitions: int = 0
    """Number of times that hosts are partitioned from all servers."""
    brittle: int = 0
    """Number of times that the servers of a service are brittle."""
    crashing: int = 0
    """Number of requests that crash each server that begins to execute them."""
    versions: int = 0
    """Number of software versions of the servers of streams."""
    resuming: int = 0
    """Number of callers that resume streams at other hosts."""
    new_versions: int = 0
    """Number of versions that appear while hosts are cut off, paused or starting."""
    departures: int = 0
    """Number of times that servers leave right after a trouble of all hosts."""
    rejecting: int = 0
    """Number of times that a service rejects most requests while hosts start again."""
    leaving: int = 0
    """Number of times that hosts leave while callers use them until they have ended."""
    bad_parts: int = 0
    """Number of callers whose requests partly hold a part that crashes servers."""
    routes: int = 0
    """Number of unused routes of the configuration."""
    store_rate: float = 0.0
    """Bytes per second of each host's link to the store; 0 for no limit."""
    unframed: int = 0
    """Percentage of the answers without a length or chunks."""
    moves: int = 0
    """Number of times that engines leave whose runs can be stopped and moved."""
    losing: int = 0
    """Percentage of the runs that their engine does not have after an order."""
    restarts: int = 0
    """Number of times that engines start again under their names."""
    uploads: int = 0
    """Number of callers of uploads, some of which are answered before their end."""
    closing: int = 0
    """Percentage of the uploads that servers answer in part, and then close on."""
    odd_entries: int = 0
    """Number of times that another writer leaves odd entries in the store."""
    lapses: int = 0
    """Number of times that records of servers lapse and are written again."""
    restores: int = 0
    """Number of times that the store comes back from an older copy."""
    calm_seconds: float = FAULT_FREE_SECONDS
    """Seconds without faults at the end; the check of recovery needs most of them."""


@dataclass
class SoakResult:
    """Result of a run."""

    seed: int
    violations: list[str]
    faults: list[str] = field(default_factory=list)
    outcomes: dict[str, int] = field(default_factory=dict)
    stalls: list[float] = field(default_factory=list)
    """Seconds of each stall of the process of the soak test."""

    def format_line(self) -> str:
        """Return the JSON line that a run prints."""
        verdict = "broken" if self.violations else "kept"
        return json.dumps(
            {
                "seed": self.seed,
                "promises": verdict,
                "outcomes": self.outcomes,
                "own_stalls": self.stalls,
                "faults": self.faults,
                "broken": self.violations[:10],
            }
        )


async def run_soak(seed: int, size: SoakSize, folder: Path) -> SoakResult:
    """Run the soak test with one seed.

    Args:
        seed: seeds the choice of faults, of their targets and of requests.
        size: size of the run.
        folder: existing folder for settings and logs.
    """
    rng = random.Random(seed)
    faults = draw_faults(rng, size.seconds)
    async with trio.open_nursery() as nursery:
        environment = SoakEnvironment(rng, folder, nursery)
        if size.brittle:
            environment.slots = BRITTLE_SLOTS
        environment.draws = EndDraws(
            random.Random(f"ends {seed}"),
            size.unframed / 100,
            size.losing / 100,
            random.Random(f"losing {seed}"),
            size.closing / 100,
            random.Random(f"closing {seed}"),
        )
        environment.has_moves = size.moves > 0
        if size.rejecting:
            environment.history.retry_slack = LOW_RETRY_SLACK
        if size.versions:
            environment.versions = tuple(f"v{n}" for n in range(size.versions))
        has_probes = size.routes > 0 or size.odd_entries > 0
        if has_probes:
            environment.make_routes = LargeDocuments(size.routes).list_routes
        if size.routes:
            environment.store_rate = size.store_rate
        try:
            await environment.start(size.hosts, size.servers)
            await trio.sleep(WARM_UP_SECONDS)
            start_callers(environment, size)
            start_crashing_callers(environment, size, random.Random(f"crashing {seed}"))
            start_bad_part_callers(environment, size, random.Random(f"parts {seed}"))
            start_resuming_callers(environment, size, random.Random(f"resume {seed}"))
            start_uploading_callers(environment, size, random.Random(f"uploads {seed}"))
            if has_probes:
                nursery.start_soon(probe_versions, environment)
            await inject_all(environment, faults, size, seed)
            await trio.sleep(size.calm_seconds)
            environment.history.end = time.monotonic()
            await trio.sleep(0.5)
        finally:
            await environment.close()
            nursery.cancel_scope.cancel()
    history = environment.history
    return SoakResult(
        seed=seed,
        violations=check_all(history, QUOTAS),
        faults=[
            *(f"{fault.at:.1f} {fault.name} {fault.seconds:.1f}" for fault in faults),
            *history.new_versions,
        ],
        outcomes=count_outcomes(history),
        stalls=environment.stalls,
    )


async def inject_all(
    environment: SoakEnvironment,
    faults: list[Fault],
    size: SoakSize,
    seed: int,
) -> None:
    """Inject the faults, and beside them the signals of servers and partitions.

    These use separate random generators, so that a seed gives the same faults with and
    without them.
    """
    rng = random.Random(f"signals {seed}")
    partition_rng = random.Random(f"partitions {seed}")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(inject_faults, environment, faults)
        brittle_rng = random.Random(f"brittle {seed}")
        for _ in range(size.brittle):
            at = brittle_rng.uniform(0, size.seconds)
            drawn_rng = random.Random(brittle_rng.random())
            nursery.start_soon(make_brittle, environment, at, drawn_rng)
        for _ in range(size.partitions):
            at = partition_rng.uniform(0, size.seconds)
            drawn_rng = random.Random(partition_rng.random())
            nursery.start_soon(partition_hosts, environment, at, drawn_rng)
        version_rng = random.Random(f"new versions {seed}")
        for number in range(size.new_versions):
            at = version_rng.uniform(0, size.seconds)
            drawn_rng = random.Random(version_rng.random())
            nursery.start_soon(add_version, environment, at, f"n{number}", drawn_rng)
        rejecting_rng = random.Random(f"rejecting {seed}")
        for _ in range(size.rejecting):
            at = rejecting_rng.uniform(0, size.seconds)
            drawn_rng = random.Random(rejecting_rng.random())
            nursery.start_soon(reject_requests, environment, at, drawn_rng)
        departure_rng = random.Random(f"departures {seed}")
        for _ in range(size.departures):
            at = departure_rng.uniform(0, size.seconds)
            drawn_rng = random.Random(departure_rng.random())
            nursery.start_soon(make_servers_leave, environment, at, drawn_rng)
        leaving_rng = random.Random(f"leaving {seed}")
        for number in range(size.leaving):
            at = leaving_rng.uniform(0, size.seconds)
            drawn_rng = random.Random(leaving_rng.random())
            name = f"l{number}"
            nursery.start_soon(make_hosts_leave, environment, at, name, drawn_rng)
        moves_rng = random.Random(f"moves {seed}")
        for number in range(size.moves):
            at = moves_rng.uniform(0, size.seconds)
            drawn_rng = random.Random(moves_rng.random())
            name = f"m{number}"
            nursery.start_soon(make_engines_leave, environment, at, name, drawn_rng)
        restarts_rng = random.Random(f"restarts {seed}")
        for number in range(size.restarts):
            at = restarts_rng.uniform(0, size.seconds)
            drawn_rng = random.Random(restarts_rng.random())
            name = f"r{number}"
            nursery.start_soon(restart_engines, environment, at, name, drawn_rng)
        odd_rng = random.Random(f"odd entries {seed}")
        for number in range(size.odd_entries):
            at = odd_rng.uniform(0, size.seconds)
            drawn_rng = random.Random(odd_rng.random())
            name = f"o{number}"
            nursery.start_soon(leave_odd_entries, environment, at, name, drawn_rng)
        lapse_rng = random.Random(f"lapses {seed}")
        for _ in range(size.lapses):
            at = lapse_rng.uniform(0, size.seconds)
            drawn_rng = random.Random(lapse_rng.random())
            nursery.start_soon(lapse_records, environment, at, drawn_rng)
        restore_rng = random.Random(f"restores {seed}")
        for _ in range(size.restores):
            at = restore_rng.uniform(0, size.seconds)
            drawn_rng = random.Random(restore_rng.random())
            nursery.start_soon(restore_store, environment, at, drawn_rng)
        for _ in range(size.signals):
            at = rng.uniform(0, size.seconds)
            nursery.start_soon(
                send_signals, environment, at, random.Random(rng.random())
            )


def start_callers(environment: SoakEnvironment, size: SoakSize) -> None:
    """Start the callers."""
    host_by_address = {
        gateway.caller_address: gateway.name for gateway in environment.gateways
    }
    keys = [key for account_keys in environment.keys.values() for key in account_keys]
    for number in range(size.callers):
        caller = Caller(
            name=f"c{number}",
            history=environment.history,
            list_directory_addresses=lambda: [
                gateway.directory_address for gateway in environment.gateways
            ],
            get_host_name=host_by_address.__getitem__,
            rng=random.Random(environment.rng.random()),
            keys=keys,
            mean_pause=MEAN_PAUSE,
        )
        environment.nursery.start_soon(caller.run)


def start_crashing_callers(
    environment: SoakEnvironment, size: SoakSize, rng: random.Random
) -> None:
    """Start the callers that send crashing requests.

    They use a separate random generator, so that a seed gives the same faults with and
    without them.
    """
    for number in range(size.crashing):
        caller = CrashingCaller(
            name=f"x{number}",
            kind=rng.choice([RequestKind.CHAT, RequestKind.READ, RequestKind.DRAFT]),
            key=rng.choice(
                [account_keys[0] for account_keys in environment.keys.values()]
            ),
            history=environment.history,
            gateways=environment.gateways,
            rng=random.Random(rng.random()),
        )
        environment.nursery.start_soon(caller.run)


def start_bad_part_callers(
    environment: SoakEnvironment, size: SoakSize, rng: random.Random
) -> None:
    """Start the callers whose requests hold a part that crashes servers."""
    for number in range(size.bad_parts):
        caller = BadPartCaller(
            name=f"p{number}",
            key=rng.choice(
                [account_keys[0] for account_keys in environment.keys.values()]
            ),
            history=environment.history,
            gateways=environment.gateways,
            rng=random.Random(rng.random()),
        )
        environment.nursery.start_soon(caller.run)


def start_resuming_callers(
    environment: SoakEnvironment, size: SoakSize, rng: random.Random
) -> None:
    """Start the callers that resume streams, with a random generator of their own."""
    for number in range(size.resuming):
        caller = ResumingCaller(
            name=f"s{number}",
            key=rng.choice(
                [account_keys[0] for account_keys in environment.keys.values()]
            ),
            history=environment.history,
            gateways=environment.gateways,
            rng=random.Random(rng.random()),
            outdated_hosts=environment.outdated_hosts,
        )
        environment.nursery.start_soon(caller.run)


def start_uploading_callers(
    environment: SoakEnvironment, size: SoakSize, rng: random.Random
) -> None:
    """Start the callers of uploads, with a random generator of their own."""
    for number in range(size.uploads):
        caller = UploadingCaller(
            name=f"u{number}",
            key=rng.choice(
                [account_keys[0] for account_keys in environment.keys.values()]
            ),
            history=environment.history,
            gateways=environment.gateways,
            rng=random.Random(rng.random()),
        )
        environment.nursery.start_soon(caller.run)
