"""Measures one entry host: what it carries, and what it adds to a direct call.

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


@dataclass(frozen=True)
class Step:
    """One rate of calls, made directly and through one entry host.

    Attributes:
        busy: processor time of each entry host over the run's time, the one
            that was called first.
    """

    rate: float
    direct: dict[str, Any]
    through: dict[str, Any]
    busy: tuple[float, ...]
    memory: int


async def measure(
    place: str, options: DeploymentOptions, load: LoadOptions, rates: list[float]
) -> list[Step]:
    """Start a deployment and make the same calls both ways at each rate."""
    async with open_deployment(DEPLOYMENT_SPECS[place], options, tell) as deployment:
        steps = []
        for rate in rates:
            tell(f"{rate:g} calls a second")
            steps.append(await measure_rate(deployment, load, rate))
        return steps


async def measure_rate(deployment: Deployment, load: LoadOptions, rate: float) -> Step:
    """Make calls at a rate, directly first."""
    load = replace(load, rate=rate)
    direct = await run_load(replace(load, direct=list_servers(deployment)))
    await trio.sleep(SETTLE_SECONDS)
    hosts = deployment.hosts
    before = [host.process.read_processor_time() for host in hosts]
    begin = trio.current_time()
    through = await run_load(
        replace(
            load,
            entry_hosts=(hosts[0].frontend,),
            only_these=True,
            tokens=deployment.tokens,
        )
    )
    taken = trio.current_time() - begin
    busy = tuple(find_busy(h, b, taken) for h, b in zip(hosts, before, strict=True))
    memory = hosts[0].process.read_resident_memory()
    return Step(rate, direct, through, busy, memory)


def list_servers(deployment: Deployment) -> dict[str, list[str]]:
    """Return the addresses of the backend servers by service."""
    found: dict[str, list[str]] = {}
    for backend in deployment.backends:
        addresses = backend.process.announcement["servers"].values()
        found.setdefault(backend.pool.service, []).extend(addresses)
    return found


def find_busy(host: EntryHost, before: float, taken: float) -> float:
    """Return the share of a core that a host used."""
    return (host.process.read_processor_time() - before) / taken


def tell(line: str) -> None:
    """Say how far the measurement is."""
    print(line, file=sys.stderr, flush=True)


def format_step(step: Step) -> str:
    """Write a step as lines of a table."""
    lines = []
    for name, figures in (("direct", step.direct), ("through", step.through)):
        total = figures["total"]
        failed = total["calls"] - total["outcomes"].get(ANSWERED, 0)
        lines.append(
            f"{step.rate:>7g} {name:<8}{total['answered_per_second']:>10}"
            f"{total['tokens_per_second']:>10}{failed:>8}"
            f"{format_percentiles(total['whole_answer_ms']):>28}"
            f"{format_percentiles(total['first_token_ms']):>26}"
            f"{format_percentiles(total['between_tokens_ms']):>24}"
            f"{figures['generator_busy']:>7.2f}"
        )
    busy = " ".join(f"{share:.2f}" for share in step.busy)
    outcomes = step.through["total"]["outcomes"]
    lines.append(
        f"{'':>8}entry hosts busy {busy}; memory {step.memory / 1e6:.0f} MB; {outcomes}"
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
    """Call servers directly and through one entry host, and compare."""
    counts: dict[str, tuple[int, ...]] = {
        plan.service: (1, 1, 1, 1) for plan in DEPLOYMENT_SPECS[place].server_pools
    }
    options = DeploymentOptions(
        hosts=hosts, counts=counts, step=step, capacity=capacity
    )
    load = LoadOptions(place, 0.0, seconds, 2.0, only=only, quiet=True)
    steps = trio.run(measure, place, options, load, rate)
    if as_json:
        print(json.dumps([step.__dict__ for step in steps]))
        return
    print(HEADER)
    for each in steps:
        print(format_step(each))


if __name__ == "__main__":
    app = typer.Typer(pretty_exceptions_enable=False, add_completion=False)
    app.command()(main)
    app()
