"""The ratios that the policies are expected to reach, and what was measured."""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from statistics import mean

from dewridge.bench.cases import (
    BALANCED,
    BASELINES,
    COST_AWARE,
    RESTARTING,
    ROUND_ROBIN,
    SATURATED,
    Contender,
    Result,
)
from dewridge.bench.decisions import DecisionTime
from dewridge.bench.deployments import DEPLOYMENTS, Deployment

TARGET_SHARE = 0.95
"""Part in target from which a baseline counts as meeting the target."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """One expectation against its measurement.

    Attributes:
        gap: by how much it was missed.
    """

    expected: str
    deployment: str
    measured: str
    is_reached: bool
    gap: str = ""


def judge(
    results: Sequence[Result], decisions: Sequence[DecisionTime]
) -> list[Verdict]:
    """Compare all expectations with the runs."""
    verdicts = []
    for deployment in DEPLOYMENTS:
        own = [
            result
            for result in results
            if result.case.deployment.name == deployment.name and result.case.scale == 1
        ]
        verdicts += [
            *_judge_saturation(deployment, own),
            *_judge_collapse(deployment, own),
            _judge_small_accounts(deployment, own),
            _judge_slow_server(deployment, own),
            _judge_cost(deployment, own),
            _judge_recomputed(deployment, own),
        ]
    verdicts += [_judge_decisions(decisions, c) for c in (COST_AWARE, BALANCED)]
    return verdicts


def _select(results: Sequence[Result], kind: str, contender: Contender) -> list[Result]:
    return [
        result
        for result in results
        if result.case.kind == kind and result.case.contender == contender
    ]


def _average(
    results: Sequence[Result],
    kind: str,
    contender: Contender,
    read: Callable[[Result], float],
) -> float:
    return mean(read(result) for result in _select(results, kind, contender))


def _read_work(service: str) -> Callable[[Result], float]:
    return lambda result: result.work_share[service]


def _read_in_target(service: str) -> Callable[[Result], float]:
    return lambda result: result.services[service].in_target


def _judge_saturation(
    deployment: Deployment, results: Sequence[Result]
) -> list[Verdict]:
    verdicts = []
    for shape in deployment.services:
        place = f"{deployment.name}, {shape.name}"
        read = _read_in_target(shape.name)
        part = _average(results, "saturated", COST_AWARE, read)
        answers = part * SATURATED
        work = _average(results, "saturated", COST_AWARE, _read_work(shape.name))
        verdicts += [
            Verdict(
                "at twice capacity, answers within target at least 0.9 of what "
                "capacity allows of the mix",
                place,
                f"{answers:.3f}",
                answers >= 0.9,
                f"{0.9 - answers:.3f} short",
            ),
            Verdict(
                "the same counted by work, which favours no short answers",
                place,
                f"{work:.3f}",
                work >= 0.9,
                f"{0.9 - work:.3f} short",
            ),
        ]
    return verdicts


def _judge_collapse(deployment: Deployment, results: Sequence[Result]) -> list[Verdict]:
    verdicts = []
    for shape in deployment.services:
        share = _average(results, "saturated", ROUND_ROBIN, _read_work(shape.name))
        verdicts.append(
            Verdict(
                "unbounded first in, first out collapses there",
                f"{deployment.name}, {shape.name}",
                f"{share:.3f}",
                share < 0.5,
                "it does not",
            )
        )
    return verdicts


def _judge_small_accounts(deployment: Deployment, results: Sequence[Result]) -> Verdict:
    crowded = _select(results, "saturated", COST_AWARE)
    alone = _select(results, "alone", COST_AWARE)
    ratios = {}
    for place in alone[0].accounts:
        with_large = mean(r.accounts.get(place, math.inf) for r in crowded)
        without = mean(r.accounts.get(place, math.inf) for r in alone)
        ratios[place] = with_large / without
    account, operation = max(ratios, key=lambda place: ratios[place])
    worst = ratios[account, operation]
    within = sum(ratio <= 1.2 for ratio in ratios.values())
    return Verdict(
        "a small account's 95th percentile at most 1.2 times that without the "
        "large ones",
        deployment.name,
        f"worst {worst:.2f} ({account}, {operation}); {within} of {len(ratios)} "
        f"within 1.2; median {sorted(ratios.values())[len(ratios) // 2]:.2f}",
        worst <= 1.2,
        f"{worst / 1.2:.2f} times the bound",
    )


def _judge_slow_server(deployment: Deployment, results: Sequence[Result]) -> Verdict:
    service = deployment.services[0].name

    read = _read_in_target(service)
    healthy = _average(results, "normal", COST_AWARE, read)
    slow = _average(results, "slow", COST_AWARE, read)
    lost = 1 - slow / healthy
    return Verdict(
        "one server ten times slower costs at most 5% of answers within target",
        f"{deployment.name}, {service}",
        f"{lost:.1%}",
        lost <= 0.05,
        f"{lost - 0.05:.1%} more",
    )


def _judge_cost(deployment: Deployment, results: Sequence[Result]) -> Verdict:
    costs = {}
    for contender in BASELINES:
        shares = [
            _average(results, "normal", contender, _read_in_target(n))
            for n in (shape.name for shape in deployment.services)
        ]
        if min(shares) >= TARGET_SHARE:
            costs[contender.name] = _average(
                results, "normal", contender, lambda r: r.overall.cost
            )
    own = _average(results, "normal", COST_AWARE, lambda r: r.overall.cost)
    if not costs:
        return Verdict("cost", deployment.name, "no baseline meets the target", True)
    best = min(costs, key=lambda name: costs[name])
    saved = 1 - own / costs[best]
    return Verdict(
        "cost an answer within target at least 20% below the best baseline that "
        "meets the target",
        deployment.name,
        f"{saved:.1%} below {best}",
        saved >= 0.2,
        f"{0.2 - saved:.1%} short",
    )


def _judge_recomputed(deployment: Deployment, results: Sequence[Result]) -> Verdict:
    def read(result: Result) -> float:
        return result.overall.recomputed

    own = _average(results, "reclaim", COST_AWARE, read)
    restarted = _average(results, "reclaim", RESTARTING, read)
    ratio = own / max(1.0, restarted)
    return Verdict(
        "tokens recomputed after a domain's reclaim at most a tenth of restart "
        "from zero",
        deployment.name,
        f"{own:,.0f} against {restarted:,.0f}: {ratio:.3f}",
        ratio <= 0.1,
        f"{ratio - 0.1:.3f} more",
    )


def _judge_decisions(
    decisions: Sequence[DecisionTime], contender: Contender
) -> Verdict:
    rows = [row for row in decisions if row.contender == contender.name]
    first, last = rows[0], rows[-1]
    allowed = math.log(last.servers) / math.log(first.servers)
    grown = last.median / first.median
    return Verdict(
        "a decision's cost grows no faster than the logarithm of the fleet",
        f"{contender.name}, {first.servers} to {last.servers} servers",
        f"{first.median:.0f} to {last.median:.0f} µs: {grown:.2f} times "
        f"(logarithm: {allowed:.2f})",
        grown <= allowed,
        f"{grown / allowed:.2f} times as fast",
    )
