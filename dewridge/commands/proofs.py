"""`dewridge proofs`: check the system's guarantees on real processes."""

import sys
from pathlib import Path
from typing import Annotated

import typer

from dewridge.commands.options import ExitStatus


def prove(
    seed: Annotated[int, typer.Option(help="First seed.", envvar="SEED")] = 1,
    runs: Annotated[int, typer.Option(help="Seeds for each scenario.")] = 1,
    scenario: Annotated[
        str, typer.Option(help="Only this one; all if empty.", envvar="SCENARIO")
    ] = "",
    folder: Annotated[
        Path, typer.Option(help="Where histories go, as JSON lines.")
    ] = Path("build/proofs"),
) -> None:
    """Run fault scenarios and check what callers and servers observed.

    Example: dewridge proofs --scenario reclaim-domain --seed 7
    """
    import trio  # noqa: PLC0415

    from dewridge.proofs.runs import format_table, run_scenario  # noqa: PLC0415
    from dewridge.proofs.scenarios import SCENARIOS  # noqa: PLC0415

    selected_scenarios = [item for item in SCENARIOS if scenario in ("", item.name)]
    if not selected_scenarios:
        known_names = ", ".join(item.name for item in SCENARIOS)
        typer.echo(f"no scenario {scenario!r}; known: {known_names}", err=True)
        raise typer.Exit(ExitStatus.USAGE)
    results = []
    for selected_scenario in selected_scenarios:
        for run_seed in range(seed, seed + runs):
            result = trio.run(run_scenario, selected_scenario, run_seed, folder)
            results.append(result)
            for violation in result.violations:
                typer.echo(
                    f"{selected_scenario.name} seed {run_seed}: "
                    f"promise {violation.promise}: "
                    f"{violation.subject}: {violation.reason}"
                )
            typer.echo(format_table([result]).splitlines()[-1])
            sys.stdout.flush()
    typer.echo(format_table(results))
    if any(result.violations for result in results):
        raise typer.Exit(ExitStatus.FAILED)
