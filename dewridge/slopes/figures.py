"""Rows, fits, table and plot of the membership measurements."""

import csv
import math
import statistics
from dataclasses import asdict, dataclass, fields
from pathlib import Path

TARGET_MEMBERS = 440
"""Planned maximum number of hosts, to which the fits are extrapolated."""


@dataclass(frozen=True)
class Row:
    """Figures of one run; costs are per member and second."""

    members: int
    processes: int
    run: int
    quiet_sent: float
    quiet_received: float
    quiet_wire_sent: float
    quiet_messages: float
    quiet_connections: float
    quiet_cpu_percent: float
    busy_sent: float
    busy_wire_sent: float
    busy_messages: float
    busy_cpu_percent: float
    resident_mb: float
    member_mb: float
    rumor_half: float
    rumor_all: float
    suspect_first: float
    dead_half: float
    dead_all: float
    false_deaths: int
    machine_load: float
    """The machine's load average of the last minute, which shows other work on it."""


def fit(rows: list[Row], column: str, growth: str) -> tuple[float, float]:
    """Fit a column by least squares to a + b * members, or to a + b * log(members).

    Args:
        rows: the runs; those without a value are left out.
        column: field of `Row`.
        growth: "log" to fit to the logarithm of the members.

    Returns:
        Intercept and slope.
    """
    rows = [row for row in rows if not math.isnan(getattr(row, column))]
    regressors = [
        math.log(r.members) if growth == "log" else float(r.members) for r in rows
    ]
    slope, intercept = statistics.linear_regression(
        regressors, [getattr(r, column) for r in rows]
    )
    return intercept, slope


PLOTTED = (
    ("busy_wire_sent", "log", "bytes/s sent, with headers", 3_000.0),
    ("busy_cpu_percent", "log", "% of a core", 4.7),
    ("resident_mb", "linear", "resident MB", 64.0),
    ("rumor_all", "log", "s until all have a rumor", 13.0),
    ("dead_all", "log", "s until all know of a death", 0.0),
)
"""Plotted columns, which have a budget or a documented time bound: name, growth by
size, label, and budget (0 for none)."""


def write_plot(rows: list[Row], path: Path) -> None:
    """Plot the columns in `PLOTTED` with their fits and budgets."""
    import matplotlib as mpl  # noqa: PLC0415  only this command needs it

    mpl.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    figure, all_axes = pyplot.subplots(1, len(PLOTTED), figsize=(4 * len(PLOTTED), 3.2))
    for axes, (column, growth, label, budget) in zip(all_axes, PLOTTED, strict=True):
        sizes = [row.members for row in rows]
        axes.scatter(sizes, [getattr(row, column) for row in rows], s=12)
        intercept, slope = fit(rows, column, growth)
        grid = list(range(min(sizes), TARGET_MEMBERS + 1, 4))
        fitted = [
            intercept + slope * (math.log(n) if growth == "log" else n) for n in grid
        ]
        axes.plot(grid, fitted, linewidth=1)
        if budget:
            axes.axhline(budget, color="red", linewidth=0.8, linestyle="--")
        axes.set_ylim(bottom=0)
        axes.set_xlabel("members")
        axes.set_title(label, fontsize=9)
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def write_rows(rows: list[Row], path: Path) -> None:
    """Write all rows to a CSV file."""
    with path.open("w", newline="") as file:
        writer = csv.DictWriter(file, [f.name for f in fields(Row)])
        writer.writeheader()
        writer.writerows(
            {k: round(v, 4) for k, v in asdict(row).items()} for row in rows
        )


def print_table(rows: list[Row]) -> None:
    """Print median and range for each size, and the fits at `TARGET_MEMBERS`."""
    columns = [f.name for f in fields(Row) if f.name not in ("members", "run")]
    sizes = sorted({row.members for row in rows})
    for column in columns:
        parts = []
        for size in sizes:
            all_values = [float(getattr(r, column)) for r in rows if r.members == size]
            values = [value for value in all_values if not math.isnan(value)] or [
                math.nan
            ]
            median = statistics.median(values)
            parts.append(f"{size}: {median:.3g} ({min(values):.3g}-{max(values):.3g})")
        print(f"{column:20} " + "  ".join(parts))
    for column, growth, label, budget in PLOTTED:
        intercept, slope = fit(rows, column, growth)
        value = intercept + slope * (
            math.log(TARGET_MEMBERS) if growth == "log" else TARGET_MEMBERS
        )
        print(
            f"at {TARGET_MEMBERS} members: {label}: {value:.3g} "
            f"(budget {budget or 'none'})"
        )
