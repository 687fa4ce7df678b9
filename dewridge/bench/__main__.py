"""Runs the policy benchmark: `python -m dewridge.bench`."""

import argparse
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from dewridge.bench.cases import CONTENDERS, Case, Result, list_cases, run_case
from dewridge.bench.decisions import FLEET_SIZES, time_decisions
from dewridge.bench.expectations import evaluate_expectations
from dewridge.bench.notes import NOTES
from dewridge.bench.report import draw_plot, format_results, write_report


def main() -> int:
    """Run the selected cases and report the results.

    A full run writes the report page and the plot; a run of selected cases only
    prints its tables.

    Returns:
        The exit status: always 0.
    """
    parser = argparse.ArgumentParser(prog="dewridge.bench", description=__doc__)
    parser.add_argument("--seeds", type=int, default=2, help="seeds of each run")
    parser.add_argument("--processes", type=int, default=3, help="runs side by side")
    parser.add_argument("--kind", default="", help="only runs of this kind")
    parser.add_argument("--policies", default="", help="only of this contender")
    parser.add_argument("--scale", type=int, default=0, help="only at this scale")
    parser.add_argument("--output", type=Path, default=Path("docs"))
    options = parser.parse_args()
    started = time.monotonic()
    decisions = [
        time_decisions(contender, servers, hosts)
        for contender in CONTENDERS
        for servers, hosts in FLEET_SIZES
    ]
    cases = list_cases(range(1, options.seeds + 1))
    selected = [case for case in cases if _is_selected(case, options)]
    results = _run_cases(selected, options.processes)
    if len(selected) < len(cases):
        print(format_results(results))
        return 0
    verdicts = evaluate_expectations(results, decisions)
    write_report(options.output / "bench.md", results, decisions, verdicts, NOTES)
    draw_plot(options.output / "figures" / "bench.png", results)
    for verdict in verdicts:
        mark = "reached" if verdict.is_met else f"MISSED by {verdict.gap}"
        print(f"{verdict.deployment}: {verdict.expected}: {verdict.measured}: {mark}")
    print(f"{len(cases)} runs in {time.monotonic() - started:.0f} s")
    return 0


def _is_selected(case: Case, options: argparse.Namespace) -> bool:
    return (
        options.kind in ("", case.kind)
        and options.policies in ("", case.contender.name)
        and options.scale in (0, case.scale)
    )


def _run_cases(cases: list[Case], processes: int) -> list[Result]:
    results = []
    with ProcessPoolExecutor(processes) as pool:
        for done, result in enumerate(pool.map(run_case, cases), 1):
            results.append(result)
            case = result.case
            print(
                f"{done}/{len(cases)} {case.deployment.name} x{case.scale} {case.kind} "
                f"{case.contender.name}: {result.overall.in_target:.3f} in target",
                flush=True,
            )
    return results


if __name__ == "__main__":
    sys.exit(main())
