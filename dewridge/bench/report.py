"""Writes the benchmark's report page and its plot."""

from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from statistics import mean

from dewridge.bench.cases import CONTENDERS, COST_AWARE, Result
from dewridge.bench.decisions import DecisionTime
from dewridge.bench.deployments import DEPLOYMENTS
from dewridge.bench.expectations import Verdict
from dewridge.bench.outcomes import Summary

KINDS = {
    "normal": "Ordinary load, 0.6 of capacity",
    "saturated": "Twice the capacity",
    "burst": "Bursts: every fifth second 2.5 times the ordinary load",
    "slow": "One server of each service ten times slower, ordinary load",
    "reclaim": "The cheapest failure domain reclaimed, ordinary load",
    "half": "Half of the servers reclaimed at once, ordinary load",
}

INTRODUCTION = """# What the policies cost and lose

Written by `make bench`; do not edit. The runs drive the code of
`dewridge/policy` itself in a small event loop with models of batching engines
and plain services. All contenders get the same arrivals of the same seeds. The
baselines take everything in the order of arrival (`fifo`), start again from
zero after a failure (`restart`), and leave the queueing to the engines, which
put interactive work first for all contenders alike. The first 20 s, above
capacity the first 60 s, are not counted. Figures are means over seeds {seeds}.

Columns: *in target*, part of the arrivals answered within target; *work*, the
work of these answers as a part of what the machines can do; *cost*, money for
a million answers within target, by the time that a slot is held, lost attempts
included; *recomputed*, thousands of tokens computed more than once; *first
token*, 95th percentile in seconds for interactive and background work (of a
plain service, the whole answer); *fairness*, the least part of its max-min
fair share that an account got; *refused*, part of the arrivals refused or given
up, with the 95th percentile of the seconds until the caller was told; *failed*,
part that ended with an unknown outcome or without an answer.

"""


def write_report(
    path: Path,
    results: Sequence[Result],
    decisions: Sequence[DecisionTime],
    verdicts: Sequence[Verdict],
    notes: str,
) -> None:
    """Write the report page with all tables."""
    seeds = sorted({result.case.seed for result in results})
    text = INTRODUCTION.format(seeds=", ".join(map(str, seeds)))
    text += _format_verdicts(verdicts) + notes
    text += "![Answers within target against the load](figures/bench.png)\n\n"
    text += format_results(results)
    text += _format_decisions(decisions)
    path.write_text(text.rstrip() + "\n")


def format_results(results: Sequence[Result]) -> str:
    """Return the tables of all runs."""
    text = ""
    for deployment in DEPLOYMENTS:
        for scale in (1, 10):
            matching = [
                result
                for result in results
                if result.case.deployment.name == deployment.name
                and result.case.scale == scale
            ]
            text += _format_deployment(deployment.name, scale, matching)
    return text


def _format_verdicts(verdicts: Sequence[Verdict]) -> str:
    text = "## Expected and measured\n\n"
    text += (
        "| expected | deployment | measured | reached |\n| --- | --- | --- | --- |\n"
    )
    for verdict in verdicts:
        reached = "yes" if verdict.is_met else f"no, {verdict.gap}"
        text += (
            f"| {verdict.expected} | {verdict.deployment} "
            f"| {verdict.measured} | {reached} |\n"
        )
    return text + "\n"


def _format_deployment(name: str, scale: int, results: Sequence[Result]) -> str:
    size = "today's fleet" if scale == 1 else "ten times today's fleet, one seed"
    text = ""
    for kind, title in KINDS.items():
        matching = [result for result in results if result.case.kind == kind]
        if matching:
            text += f"## {name}, {size}: {title[0].lower()}{title[1:]}\n\n"
            text += _format_table(matching)
    return text


def _format_table(results: Sequence[Result]) -> str:
    text = (
        "| service | policies | in target | work | cost | recomputed | first token "
        "| fairness | refused | failed |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
    )
    services = list(results[0].services)
    names = list(dict.fromkeys(result.case.contender.name for result in results))
    for service in services:
        for name in names:
            matching = [r for r in results if r.case.contender.name == name]
            text += _format_row(service, name, matching)
    return text + "\n"


def _format_row(service: str, name: str, results: Sequence[Result]) -> str:
    rows = [result.services[service] for result in results]

    def average(get_value: Callable[[Summary], float]) -> float:
        return mean(get_value(row) for row in rows)

    work = mean(result.work_share[service] for result in results)
    fairness = mean(result.fairness for result in results)
    cost = average(lambda row: row.cost) * 1e6
    first_token = _format_latencies(rows)
    refused = average(lambda row: row.refused)
    time_to_rejection = average(lambda row: row.time_to_rejection)
    return (
        f"| {service} | {name} | {average(lambda row: row.in_target):.3f} "
        f"| {work:.3f} | {cost:,.2f} "
        f"| {average(lambda row: row.recomputed_tokens) / 1000:.1f} | {first_token} "
        f"| {fairness:.2f} | {refused:.3f} ({time_to_rejection:.2f}) "
        f"| {average(lambda row: row.failed):.4f} |\n"
    )


def _format_latencies(rows: Sequence[Summary]) -> str:
    parts = []
    for work_class in ("interactive", "background"):
        values = [
            result.first_token[work_class]
            for result in rows
            if work_class in result.first_token
        ]
        parts.append(f"{mean(values):.2f}" if values else "-")
    return " / ".join(parts)


def _format_decisions(decisions: Iterable[DecisionTime]) -> str:
    text = (
        "## Time of a decision\n\n"
        "Admission, queueing and placement of one request on one entry host, in "
        "microseconds, and the time to take in a new list of the whole fleet.\n\n"
        "| policies | servers | median | 99th percentile | decisions a second "
        "| new list |\n| --- | --- | --- | --- | --- | --- |\n"
    )
    for row in decisions:
        text += (
            f"| {row.contender} | {row.servers} "
            f"| {row.median:.0f} | {row.percentile_99:.0f} "
            f"| {1e6 / row.median:,.0f} | {row.list_update:,.0f} |\n"
        )
    return text + "\n"


def draw_plot(path: Path, results: Sequence[Result]) -> None:
    """Plot the work answered within target by load."""
    import matplotlib as mpl  # noqa: PLC0415  # large, and only needed here

    mpl.use("Agg")
    from matplotlib import pyplot as plt  # noqa: PLC0415

    figure, axes = plt.subplots(figsize=(8, 5))
    for deployment, line in zip(DEPLOYMENTS, ("-", "--"), strict=True):
        service = deployment.services[0].name
        for index, contender in enumerate(CONTENDERS):
            points = _collect_points(results, deployment.name, contender.name, service)
            axes.plot(
                [load for load, _ in points],
                [share for _, share in points],
                line,
                color=f"C{index}",
                marker="o",
                linewidth=2.5 if contender is COST_AWARE else 1.2,
                label=f"{deployment.name}, {contender.name}",
            )
    axes.set_xlabel("arrivals, as a multiple of capacity")
    axes.set_ylabel("work answered within target, as a part of capacity")
    axes.set_ylim(0, 1.1)
    axes.grid(alpha=0.3)
    axes.legend(fontsize=7)
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=110)


def _collect_points(
    results: Sequence[Result], deployment: str, contender: str, service: str
) -> list[tuple[float, float]]:
    by_load: dict[float, list[float]] = {}
    for result in results:
        case = result.case
        is_wanted = (
            case.kind in ("normal", "sweep", "saturated")
            and case.deployment.name == deployment
            and case.contender.name == contender
            and case.scale == 1
        )
        if is_wanted:
            by_load.setdefault(case.load, []).append(result.work_share[service])
    return sorted((load, mean(values)) for load, values in by_load.items())
