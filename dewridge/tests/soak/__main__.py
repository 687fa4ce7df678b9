"""`python -m dewridge.tests.soak`: runs the soak test with given or random seeds."""

import random
import sys
from pathlib import Path
from typing import Annotated

import trio
import typer

from dewridge.tests.soak.runs import SoakSize, run_soak
from dewridge.tests.soak.seeds import KEPT


def soak(
    seed: Annotated[int, typer.Option(help="First seed; 0: a fresh one.")] = 0,
    runs: Annotated[int, typer.Option(help="How many seeds.")] = 1,
    seconds: Annotated[float, typer.Option(help="Seconds of faults.")] = 20.0,
    hosts: Annotated[int, typer.Option(help="Entry hosts.")] = 4,
    servers: Annotated[int, typer.Option(help="Backend servers.")] = 12,
    callers: Annotated[int, typer.Option(help="Callers.")] = 12,
    crashing: Annotated[
        int, typer.Option(help="Requests that end servers, sent again and again.")
    ] = 1,
    signals: Annotated[
        int, typer.Option(help="Times that a server asks for fewer requests.")
    ] = 4,
    partitions: Annotated[
        int, typer.Option(help="Times that hosts are partitioned from all servers.")
    ] = 2,
    brittle: Annotated[
        int, typer.Option(help="Times that the servers of a service are brittle.")
    ] = 1,
    versions: Annotated[
        int, typer.Option(help="Software versions of the servers of streams.")
    ] = 3,
    resuming: Annotated[
        int, typer.Option(help="Callers that resume streams at other hosts.")
    ] = 4,
    new_versions: Annotated[
        int,
        typer.Option(
            help="Versions that appear while hosts are cut off, paused or starting."
        ),
    ] = 2,
    departures: Annotated[
        int,
        typer.Option(help="Times that servers leave right after a trouble of hosts."),
    ] = 3,
    rejecting: Annotated[
        int,
        typer.Option(
            help="Times that a service rejects most requests while hosts start again."
        ),
    ] = 1,
    leaving: Annotated[
        int,
        typer.Option(
            help="Times that hosts leave while callers use them until they have ended."
        ),
    ] = 2,
    bad_parts: Annotated[
        int, typer.Option(help="Callers with a prompt part that ends servers.")
    ] = 1,
    routes: Annotated[
        int, typer.Option(help="Routes of the configuration that no caller uses.")
    ] = 2_000,
    store_rate: Annotated[
        float, typer.Option(help="Bytes per second of each host's link to the store.")
    ] = 1_250_000.0,
    unframed: Annotated[
        int, typer.Option(help="Percentage of answers without a length or chunks.")
    ] = 30,
    moves: Annotated[
        int,
        typer.Option(help="Times that engines leave whose runs are stopped and moved."),
    ] = 2,
    losing: Annotated[
        int,
        typer.Option(help="Percentage of runs that engines don't have after an order."),
    ] = 30,
    restarts: Annotated[
        int,
        typer.Option(help="Times that engines start again under their names."),
    ] = 1,
    uploads: Annotated[
        int, typer.Option(help="Callers of uploads that servers may answer early.")
    ] = 1,
    closing: Annotated[
        int,
        typer.Option(
            help="Percentage of uploads that are answered in part, and closed on."
        ),
    ] = 30,
    odd_entries: Annotated[
        int,
        typer.Option(help="Times that another writer leaves odd entries."),
    ] = 4,
    lapses: Annotated[
        int, typer.Option(help="Times that records of servers lapse for a while.")
    ] = 2,
    restores: Annotated[
        int, typer.Option(help="Times that the store comes back from an older copy.")
    ] = 1,
    kept: Annotated[bool, typer.Option(help="The seeds that once failed.")] = False,
    folder: Annotated[Path, typer.Option(help="For logs.")] = Path("build/soak"),
) -> None:
    """Run seeds one after the other; exit with status 1 if a check failed."""
    first = seed or random.SystemRandom().randrange(1, 1_000_000)
    size = SoakSize(
        hosts=hosts,
        servers=servers,
        callers=callers,
        seconds=seconds,
        signals=signals,
        partitions=partitions,
        brittle=brittle,
        crashing=crashing,
        versions=versions,
        resuming=resuming,
        new_versions=new_versions,
        departures=departures,
        rejecting=rejecting,
        leaving=leaving,
        bad_parts=bad_parts,
        routes=routes,
        store_rate=store_rate,
        unframed=unframed,
        moves=moves,
        losing=losing,
        restarts=restarts,
        uploads=uploads,
        closing=closing,
        odd_entries=odd_entries,
        lapses=lapses,
        restores=restores,
    )
    planned_runs = [(run_seed, size) for run_seed in range(first, first + runs)]
    if kept:
        planned_runs = [(kept_seed.seed, kept_seed.size) for kept_seed in KEPT]
    has_violation = False
    for run_seed, run_size in planned_runs:
        run_folder = folder / str(run_seed)
        run_folder.mkdir(parents=True, exist_ok=True)
        result = trio.run(run_soak, run_seed, run_size, run_folder)
        print(result.format_line(), flush=True)
        has_violation |= bool(result.violations)
    sys.exit(int(has_violation))


if __name__ == "__main__":
    typer.run(soak)
