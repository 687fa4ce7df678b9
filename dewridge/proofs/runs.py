"""Runs scenarios, checks their histories and formats the results as a table."""

from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

import trio

from dewridge.proofs.checks import (
    UNIVERSAL_PROMISES,
    Violation,
    check_fault_coverage,
    check_history,
    list_late_dispatches,
    list_propagation_delays,
)
from dewridge.proofs.history import (
    Acknowledged,
    ChangeAnswered,
    Concluded,
    Executed,
    History,
)
from dewridge.proofs.scenarios import Run, Scenario
from dewridge.testbed.deployment import Deployment, open_deployment
from dewridge.testbed.places import SELLO_VERDE

RUN_TIMEOUT = 300.0
"""Seconds after which a run fails: something hangs, which is a fault in itself."""


@dataclass(frozen=True)
class ScenarioResult:
    """The result of one run of a scenario.

    Attributes:
        operations: number of submissions that have an outcome.
        unknown: number of submissions whose outcome is unknown.
        not_run: number of submissions reported as not run.
        late_dispatches: seconds between the announced departure of a server and
            each dispatch to it after that.
        accepted_changes: number of accepted changes of the configuration.
        propagation_delays: seconds from acceptance until each of them was observed at
            each host.
        platform_calls: number of calls to the platform, by service and kind.
    """

    scenario: str
    fault: str
    seed: int
    promises: tuple[int, ...]
    operations: int
    accepted: int
    done: int
    unknown: int
    not_run: int
    failed: int
    violations: tuple[Violation, ...]
    late_dispatches: tuple[float, ...]
    accepted_changes: int
    propagation_delays: tuple[float, ...]
    platform_calls: dict[str, int]


async def run_scenario(
    scenario: Scenario, seed: int, folder: Path | None
) -> ScenarioResult:
    """Run a scenario once and check its history.

    Args:
        scenario: the scenario to run.
        seed: seed of all random choices of the faults and the load.
        folder: where the history is written; None writes none.
    """
    history = History()
    with trio.fail_after(RUN_TIMEOUT):
        async with open_deployment(SELLO_VERDE, scenario.options) as deployment:
            await _run_actors(scenario, seed, deployment, history)
            _record_executions(history, await deployment.read_execution_logs())
            calls = await deployment.read_platform_calls()
    if folder is not None:
        history.write(folder / f"{scenario.name}-{seed}.jsonl")
    return _summarize(scenario, seed, history, calls)


async def _run_actors(
    scenario: Scenario, seed: int, deployment: Deployment, history: History
) -> None:
    actors = [make(deployment, history, seed) for make in scenario.actors]
    run = Run(deployment, history, Random(f"{scenario.name}/{seed}"))
    async with trio.open_nursery() as nursery:
        for actor in actors:
            nursery.start_soon(actor.run)
        await trio.sleep(scenario.before)
        await scenario.inject_faults(run)
        await trio.sleep(scenario.after)
        for actor in actors:
            actor.stop()


def _record_executions(history: History, lines: list[dict[str, Any]]) -> None:
    for line in lines:
        event = Executed(
            line["at"],
            line["server"],
            line["key"],
            line["attempt"],
            line["operation"],
            line["tokens_done"],
            line["tokens"],
            line["state"],
            line["serial"],
        )
        history.add(event)


def _summarize(
    scenario: Scenario, seed: int, history: History, calls: dict[str, int]
) -> ScenarioResult:
    conclusions = [e for e in history.events if isinstance(e, Concluded)]
    verdicts = [conclusion.verdict for conclusion in conclusions]
    violations = [
        *check_history(history, scenario.promises),
        *check_fault_coverage(history),
    ]
    return ScenarioResult(
        scenario.name,
        scenario.fault,
        seed,
        tuple(sorted({*scenario.promises, *UNIVERSAL_PROMISES})),
        len(conclusions),
        sum(isinstance(event, Acknowledged) for event in history.events),
        verdicts.count("done"),
        verdicts.count("unknown"),
        verdicts.count("not_run"),
        verdicts.count("failed"),
        tuple(violations),
        tuple(delay for _, delay in list_late_dispatches(history)),
        sum(isinstance(e, ChangeAnswered) and e.revision > 0 for e in history.events),
        tuple(delay for _, _, delay in list_propagation_delays(history)),
        calls,
    )


def format_table(results: list[ScenarioResult]) -> str:
    """Return the results as a Markdown table for the terminal and the docs."""
    header = (
        "| scenario | fault | promises | seed | operations | accepted | done | "
        "not run | unknown | failed | violations | last dispatch when leaving | "
        "changes | in force, last |"
    )
    rows = [header, "|" + " --- |" * 14]
    for result in results:
        latest = max(result.late_dispatches, default=0.0)
        cells = (
            result.scenario,
            result.fault,
            ", ".join(map(str, result.promises)),
            result.seed,
            result.operations,
            result.accepted,
            result.done,
            result.not_run,
            result.unknown,
            result.failed,
            len(result.violations),
            f"{latest:.2f} s" if result.late_dispatches else "",
            result.accepted_changes or "",
            f"{max(result.propagation_delays):.2f} s"
            if result.propagation_delays
            else "",
        )
        rows.append("| " + " | ".join(map(str, cells)) + " |")
    return "\n".join(rows)
