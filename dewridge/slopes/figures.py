"""The membership's figures: rows, a fit to the aim, a table and a plot."""

import csv
import math
import statistics
from dataclasses import asdict, dataclass, fields
from pathlib import Path

AIM = 440
"""Nodes that the system has to carry in the end."""


@dataclass(frozen=True)
class Row:
    """One run at one number of members; costs are for one member and second."""

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
    """The machine's load average of the last minute: what else ran meanwhile."""


def fit(rows: list[Row], column: str, grow: str) -> tuple[float, float]:
    """Fit a column by least squares to a + b * members, or to their logarithm."""
    rows = [row for row in rows if not math.isnan(getattr(row, column))]
    xs = [math.log(r.members) if grow == "log" else float(r.members) for r in rows]
    slope, base = statistics.linear_regression(xs, [getattr(r, column) for r in rows])
    return base, slope


PLOTTED = (
    ("busy_wire_sent", "log", "bytes/s sent, with headers", 3_000.0),
    ("busy_cpu_percent", "log", "% of a core", 4.7),
    ("resident_mb", "linear", "resident MB", 64.0),
    ("rumor_all", "log", "s until all have a rumor", 13.0),
    ("dead_all", "log", "s until all know of a death", 0.0),
)


def write_plot(rows: list[Row], path: Path) -> None:
    """Plot the columns that a budget or a promise speaks of."""
    import matplotlib as mpl  # noqa: PLC0415  only this command needs it

    mpl.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    figure, places = pyplot.subplots(1, len(PLOTTED), figsize=(4 * len(PLOTTED), 3.2))
    for axes, (column, grow, label, budget) in zip(places, PLOTTED, strict=True):
        sizes = [row.members for row in rows]
        axes.scatter(sizes, [getattr(row, column) for row in rows], s=12)
        base, slope = fit(rows, column, grow)
        grid = list(range(min(sizes), AIM + 1, 4))
        line = [base + slope * (math.log(n) if grow == "log" else n) for n in grid]
        axes.plot(grid, line, linewidth=1)
        if budget:
            axes.axhline(budget, color="red", linewidth=0.8, linestyle="--")
        axes.set_ylim(bottom=0)
        axes.set_xlabel("members")
        axes.set_title(label, fontsize=9)
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def write_rows(rows: list[Row], path: Path) -> None:
    """Write all rows so far."""
    with path.open("w", newline="") as file:
        writer = csv.DictWriter(file, [f.name for f in fields(Row)])
        writer.writeheader()
        writer.writerows(
            {k: round(v, 4) for k, v in asdict(row).items()} for row in rows
        )


def print_table(rows: list[Row]) -> None:
    """Print each size's median with the least and greatest, and the fit at the aim."""
    columns = [f.name for f in fields(Row) if f.name not in ("members", "run")]
    sizes = sorted({row.members for row in rows})
    for column in columns:
        parts = []
        for size in sizes:
            found = [float(getattr(r, column)) for r in rows if r.members == size]
            values = [value for value in found if not math.isnan(value)] or [math.nan]
            middle = statistics.median(values)
            parts.append(f"{size}: {middle:.3g} ({min(values):.3g}-{max(values):.3g})")
        print(f"{column:20} " + "  ".join(parts))
    for column, grow, label, budget in PLOTTED:
        base, slope = fit(rows, column, grow)
        value = base + slope * (math.log(AIM) if grow == "log" else AIM)
        print(f"at {AIM} members: {label}: {value:.3g} (budget {budget or 'none'})")
