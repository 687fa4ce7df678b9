"""Compares the measured figures with the ratios expected of the policies."""

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
    SATURATED_LOAD,
    Contender,
    Result,
)
from dewridge.bench.decisions import DecisionTime
from dewridge.bench.deployments import DEPLOYMENTS, Deployment

MIN_IN_TARGET = 0.95
"""Smallest share within target with which a baseline counts as meeting the target."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """An expectation with the measured value.

    Attributes:
        gap: by how much the expectation was missed; only shown if it was.
    """

    expected: str
    deployment: str
    measured: str
    is_met: bool
    gap: str = ""


def evaluate_expectations(
    results: Sequence[Result], decisions: Sequence[DecisionTime]
) -> list[Verdict]:
    """Compare the results with all expectations."""
    verdicts = []
    for deployment in DEPLOYMENTS:
        deployment_results = [
            result
            for result in results
            if result.case.deployment.name == deployment.name and result.case.scale == 1
        ]
        verdicts += [
            *_evaluate_saturation(deployment, deployment_results),
            *_evaluate_collapse(deployment, deployment_results),
            _evaluate_small_accounts(deployment, deployment_results),
            _evaluate_slow_server(deployment, deployment_results),
            _evaluate_cost(deployment, deployment_results),
            _evaluate_recomputed_tokens(deployment, deployment_results),
        ]
    verdicts += [
        _evaluate_decision_times(decisions, contender)
        for contender in (COST_AWARE, BALANCED)
    ]
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
    get_value: Callable[[Result], float],
) -> float:
    return mean(get_value(result) for result in _select(results, kind, contender))


def _get_work_share(service: str) -> Callable[[Result], float]:
    return lambda result: result.work_share[service]


def _get_in_target(service: str) -> Callable[[Result], float]:
    return lambda result: result.services[service].in_target


def _evaluate_saturation(
    deployment: Deployment, results: Sequence[Result]
) -> list[Verdict]:
    verdicts = []
    for spec in deployment.services:
        label = f"{deployment.name}, {spec.name}"
        get_value = _get_in_target(spec.name)
        in_target = _average(results, "saturated", COST_AWARE, get_value)
        answers = in_target * SATURATED_LOAD
        work = _average(results, "saturated", COST_AWARE, _get_work_share(spec.name))
        verdicts += [
            Verdict(
                "at twice capacity, answers within target at least 0.9 of what "
                "capacity allows of the mix",
                label,
                f"{answers:.3f}",
                answers >= 0.9,
                f"{0.9 - answers:.3f} short",
            ),
            Verdict(
                "the same counted by work, which favours no short answers",
                label,
                f"{work:.3f}",
                work >= 0.9,
                f"{0.9 - work:.3f} short",
            ),
        ]
    return verdicts


def _evaluate_collapse(
    deployment: Deployment, results: Sequence[Result]
) -> list[Verdict]:
    verdicts = []
    for spec in deployment.services:
        share = _average(results, "saturated", ROUND_ROBIN, _get_work_share(spec.name))
        verdicts.append(
            Verdict(
                "unbounded first in, first out collapses there",
                f"{deployment.name}, {spec.name}",
                f"{share:.3f}",
                share < 0.5,
                "it does not",
            )
        )
    return verdicts


def _evaluate_small_accounts(
    deployment: Deployment, results: Sequence[Result]
) -> Verdict:
    shared_results = _select(results, "saturated", COST_AWARE)
    alone_results = _select(results, "alone", COST_AWARE)
    ratios = {}
    for key in alone_results[0].accounts:
        with_large = mean(
            result.accounts.get(key, math.inf) for result in shared_results
        )
        without = mean(result.accounts.get(key, math.inf) for result in alone_results)
        ratios[key] = with_large / without
    account, operation = max(ratios, key=lambda key: ratios[key])
    worst = ratios[account, operation]
    met = sum(ratio <= 1.2 for ratio in ratios.values())
    return Verdict(
        "a small account's 95th percentile at most 1.2 times that without the "
        "large ones",
        deployment.name,
        f"worst {worst:.2f} ({account}, {operation}); {met} of {len(ratios)} "
        f"within 1.2; median {sorted(ratios.values())[len(ratios) // 2]:.2f}",
        worst <= 1.2,
        f"{worst / 1.2:.2f} times the bound",
    )


def _evaluate_slow_server(deployment: Deployment, results: Sequence[Result]) -> Verdict:
    service = deployment.services[0].name

    get_value = _get_in_target(service)
    healthy = _average(results, "normal", COST_AWARE, get_value)
    slow = _average(results, "slow", COST_AWARE, get_value)
    lost_share = 1 - slow / healthy
    return Verdict(
        "one server ten times slower costs at most 5% of answers within target",
        f"{deployment.name}, {service}",
        f"{lost_share:.1%}",
        lost_share <= 0.05,
        f"{lost_share - 0.05:.1%} more",
    )


def _evaluate_cost(deployment: Deployment, results: Sequence[Result]) -> Verdict:
    costs = {}
    for contender in BASELINES:
        shares = [
            _average(results, "normal", contender, _get_in_target(name))
            for name in (spec.name for spec in deployment.services)
        ]
        if min(shares) >= MIN_IN_TARGET:
            costs[contender.name] = _average(
                results, "normal", contender, lambda result: result.overall.cost
            )
    cost = _average(results, "normal", COST_AWARE, lambda result: result.overall.cost)
    if not costs:
        return Verdict("cost", deployment.name, "no baseline meets the target", True)
    cheapest = min(costs, key=lambda name: costs[name])
    saved_share = 1 - cost / costs[cheapest]
    return Verdict(
        "cost an answer within target at least 20% below the best baseline that "
        "meets the target",
        deployment.name,
        f"{saved_share:.1%} below {cheapest}",
        saved_share >= 0.2,
        f"{0.2 - saved_share:.1%} short",
    )


def _evaluate_recomputed_tokens(
    deployment: Deployment, results: Sequence[Result]
) -> Verdict:
    def get_value(result: Result) -> float:
        return result.overall.recomputed_tokens

    resumed = _average(results, "reclaim", COST_AWARE, get_value)
    restarted = _average(results, "reclaim", RESTARTING, get_value)
    ratio = resumed / max(1.0, restarted)
    return Verdict(
        "tokens recomputed after a domain's reclaim at most a tenth of restart "
        "from zero",
        deployment.name,
        f"{resumed:,.0f} against {restarted:,.0f}: {ratio:.3f}",
        ratio <= 0.1,
        f"{ratio - 0.1:.3f} more",
    )


def _evaluate_decision_times(
    decisions: Sequence[DecisionTime], contender: Contender
) -> Verdict:
    rows = [row for row in decisions if row.contender == contender.name]
    first, last = rows[0], rows[-1]
    allowed_growth = math.log(last.servers) / math.log(first.servers)
    growth = last.median / first.median
    return Verdict(
        "a decision's cost grows no faster than the logarithm of the fleet",
        f"{contender.name}, {first.servers} to {last.servers} servers",
        f"{first.median:.0f} to {last.median:.0f} µs: {growth:.2f} times "
        f"(logarithm: {allowed_growth:.2f})",
        growth <= allowed_growth,
        f"{growth / allowed_growth:.2f} times as fast",
    )
