"""Measures an entry host's throughput and its latency overhead over direct calls.

`python -m dewridge.load.measure --help`
"""

import json
import sys
from dataclasses import dataclass, replace
from typing import Annotated, Any

import trio
import typer

from dewridge.load.samples import ANSWERED, format_percentiles
from dewridge.load.session import LoadOptions, run_load
from dewridge.testbed.deployment import (
    Deployment,
    DeploymentOptions,
    EntryHost,
    open_deployment,
)
from dewridge.testbed.places import DEPLOYMENT_SPECS

SETTLE_SECONDS = 1.0
"""Pause between the direct run and the run through the entry host."""


@dataclass(frozen=True)
class RateResult:
    """Results at one call rate, directly and through one entry host.

    Attributes:
        rate: calls per second.
        direct: figures of the calls to the backend servers.
        through: figures of the calls through the entry host.
        busy: processor time of each entry host as a share of the run's time; the
            first is the host that was called.
        memory: resident bytes of the host that was called.
    """

    rate: float
    direct: dict[str, Any]
    through: dict[str, Any]
    busy: tuple[float, ...]
    memory: int


async def measure(
    place: str, options: DeploymentOptions, load: LoadOptions, rates: list[float]
) -> list[RateResult]:
    """Start a deployment, and run the same calls both ways at each rate."""
    async with open_deployment(
        DEPLOYMENT_SPECS[place], options, print_progress
    ) as deployment:
        results = []
        for rate in rates:
            print_progress(f"{rate:g} calls a second")
            results.append(await measure_rate(deployment, load, rate))
        return results


async def measure_rate(
    deployment: Deployment, load: LoadOptions, rate: float
) -> RateResult:
    """Run calls at one rate: first directly, then through an entry host."""
    load = replace(load, rate=rate)
    direct = await run_load(replace(load, direct=list_servers(deployment)))
    await trio.sleep(SETTLE_SECONDS)
    hosts = deployment.hosts
    cpu_before = [host.process.read_processor_time() for host in hosts]
    started_at = trio.current_time()
    through = await run_load(
        replace(
            load,
            entry_hosts=(hosts[0].frontend,),
            only_given_hosts=True,
            tokens=deployment.tokens,
        )
    )
    elapsed = trio.current_time() - started_at
    busy = tuple(
        compute_busy_share(entry_host, cpu_before_run, elapsed)
        for entry_host, cpu_before_run in zip(hosts, cpu_before, strict=True)
    )
    memory = hosts[0].process.read_resident_memory()
    return RateResult(rate, direct, through, busy, memory)


def list_servers(deployment: Deployment) -> dict[str, list[str]]:
    """Return the addresses of the backend servers by service name."""
    addresses_by_service: dict[str, list[str]] = {}
    for backend in deployment.backends:
        addresses = backend.process.announcement["servers"].values()
        addresses_by_service.setdefault(backend.pool.service, []).extend(addresses)
    return addresses_by_service


def compute_busy_share(host: EntryHost, cpu_before: float, elapsed: float) -> float:
    """Return the share of a core that a host has used since a measurement.

    Args:
        host: the entry host.
        cpu_before: its processor time at the earlier measurement, in seconds.
        elapsed: seconds since then.
    """
    return (host.process.read_processor_time() - cpu_before) / elapsed


def print_progress(line: str) -> None:
    """Print a progress line to standard error."""
    print(line, file=sys.stderr, flush=True)


def format_rate_result(result: RateResult) -> str:
    """Format the result of one rate as table lines."""
    lines = []
    for name, figures in (("direct", result.direct), ("through", result.through)):
        total = figures["total"]
        failed = total["calls"] - total["outcomes"].get(ANSWERED, 0)
        lines.append(
            f"{result.rate:>7g} {name:<8}{total['answered_per_second']:>10}"
            f"{total['tokens_per_second']:>10}{failed:>8}"
            f"{format_percentiles(total['whole_answer_ms']):>28}"
            f"{format_percentiles(total['first_token_ms']):>26}"
            f"{format_percentiles(total['between_tokens_ms']):>24}"
            f"{figures['generator_busy']:>7.2f}"
        )
    busy = " ".join(f"{share:.2f}" for share in result.busy)
    outcomes = result.through["total"]["outcomes"]
    lines.append(
        f"{'':>8}entry hosts busy {busy}; "
        f"memory {result.memory / 1e6:.0f} MB; {outcomes}"
    )
    return "\n".join(lines)


HEADER = (
    f"{'calls/s':>7} {'way':<8}{'answers/s':>10}{'tokens/s':>10}{'failed':>8}"
    f"{'answer ms p50/p95/p99':>28}{'first token ms':>26}{'between tokens ms':>24}"
    f"{'busy':>7}"
)


def main(
    *,
    place: Annotated[str, typer.Option(help="sello-verde or karoo.")] = "sello-verde",
    rate: Annotated[list[float], typer.Option(help="Calls a second; repeatable.")],
    seconds: Annotated[float, typer.Option(help="Length of each run.")] = 10.0,
    only: Annotated[str, typer.Option(help="One operation.")] = "",
    hosts: Annotated[int, typer.Option(help="Entry hosts.")] = 3,
    step: Annotated[float, typer.Option(help="Milliseconds of a step.")] = 20.0,
    capacity: Annotated[int, typer.Option(help="Streams in a batch.")] = 32,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Compare direct calls with calls through one entry host."""
    counts: dict[str, tuple[int, ...]] = {
        plan.service: (1, 1, 1, 1) for plan in DEPLOYMENT_SPECS[place].server_pools
    }
    options = DeploymentOptions(
        hosts=hosts, counts=counts, step=step, capacity=capacity
    )
    load = LoadOptions(place, 0.0, seconds, 2.0, only_operation=only, quiet=True)
    results = trio.run(measure, place, options, load, rate)
    if as_json:
        print(json.dumps([step.__dict__ for step in results]))
        return
    print(HEADER)
    for result in results:
        print(format_rate_result(result))


if __name__ == "__main__":
    app = typer.Typer(pretty_exceptions_enable=False, add_completion=False)
    app.command()(main)
    app()
