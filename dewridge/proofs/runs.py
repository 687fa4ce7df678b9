"""Runs scenarios, checks their histories, and tables the results."""

from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

import trio

from dewridge.proofs.checks import (
    ALWAYS,
    Violation,
    check_exercised,
    check_history,
    list_delays,
    list_late_dispatches,
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

RUN_LIMIT = 300.0
"""Seconds for one run; over that something hangs, which is a finding itself."""


@dataclass(frozen=True)
class Result:
    """What one run of a scenario showed.

    Attributes:
        operations: requests that clients sent.
        unknown: requests that ended with an unknown outcome.
        refused: requests that ended as not run.
        late_dispatches: seconds after the announcement of each dispatch to a
            server that was announced to leave.
        changes: changes of the configuration that were accepted.
        delays: seconds until each of them was seen at each host.
    """

    scenario: str
    fault: str
    seed: int
    promises: tuple[int, ...]
    operations: int
    accepted: int
    done: int
    unknown: int
    refused: int
    failed: int
    violations: tuple[Violation, ...]
    late_dispatches: tuple[float, ...]
    changes: int
    delays: tuple[float, ...]
    platform_calls: dict[str, int]


async def run_scenario(scenario: Scenario, seed: int, folder: Path | None) -> Result:
    """Run a scenario once and check what was seen."""
    history = History()
    with trio.fail_after(RUN_LIMIT):
        async with open_deployment(SELLO_VERDE, scenario.options) as deployment:
            await _carry_out(scenario, seed, deployment, history)
            _record_log(history, await deployment.read_execution_logs())
            calls = await deployment.read_platform_calls()
    if folder is not None:
        history.write(folder / f"{scenario.name}-{seed}.jsonl")
    return _judge(scenario, seed, history, calls)


async def _carry_out(
    scenario: Scenario, seed: int, deployment: Deployment, history: History
) -> None:
    actors = [make(deployment, history, seed) for make in scenario.actors]
    run = Run(deployment, history, Random(f"{scenario.name}/{seed}"))
    async with trio.open_nursery() as nursery:
        for actor in actors:
            nursery.start_soon(actor.run)
        await trio.sleep(scenario.before)
        await scenario.strike(run)
        await trio.sleep(scenario.after)
        for actor in actors:
            actor.stop()


def _record_log(history: History, lines: list[dict[str, Any]]) -> None:
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


def _judge(
    scenario: Scenario, seed: int, history: History, calls: dict[str, int]
) -> Result:
    ends = [e for e in history.events if isinstance(e, Concluded)]
    verdicts = [end.verdict for end in ends]
    violations = [
        *check_history(history, scenario.promises),
        *check_exercised(history),
    ]
    return Result(
        scenario.name,
        scenario.fault,
        seed,
        tuple(sorted({*scenario.promises, *ALWAYS})),
        len(ends),
        sum(isinstance(event, Acknowledged) for event in history.events),
        verdicts.count("done"),
        verdicts.count("unknown"),
        verdicts.count("not_run"),
        verdicts.count("failed"),
        tuple(violations),
        tuple(delay for _, delay in list_late_dispatches(history)),
        sum(isinstance(e, ChangeAnswered) and e.revision > 0 for e in history.events),
        tuple(delay for _, _, delay in list_delays(history)),
        calls,
    )


def format_table(results: list[Result]) -> str:
    """Return the results as a table for the terminal and the docs."""
    head = (
        "| scenario | fault | promises | seed | operations | accepted | done | "
        "not run | unknown | failed | violations | last dispatch when leaving | "
        "changes | in force, last |"
    )
    rows = [head, "|" + " --- |" * 14]
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
            result.refused,
            result.unknown,
            result.failed,
            len(result.violations),
            f"{latest:.2f} s" if result.late_dispatches else "",
            result.changes or "",
            f"{max(result.delays):.2f} s" if result.delays else "",
        )
        rows.append("| " + " | ".join(map(str, cells)) + " |")
    return "\n".join(rows)
