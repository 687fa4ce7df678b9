"""Measurements of a run: histograms by operation, and their report."""

from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

MIN_MICROSECONDS = 1
MAX_MICROSECONDS = 3_600_000_000
SIGNIFICANT_FIGURES = 3
PERCENTILES = (50.0, 95.0, 99.0)

ANSWERED = "answered"


@dataclass(slots=True)
class Sample:
    """A call as its caller sees it.

    Attributes:
        intended_at: when the call was scheduled. Latencies count from here, so that
            they include delays that the measured system causes in the generator.
        outcome: ANSWERED, or the name of the failure.
        completed_at: when the answer was complete.
        token_times: arrival time and number of the tokens of each chunk.
    """

    operation: str
    intended_at: float
    outcome: str = ""
    completed_at: float = 0.0
    token_times: list[tuple[float, int]] = field(default_factory=list)


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of durations in microseconds."""
    return HdrHistogram(MIN_MICROSECONDS, MAX_MICROSECONDS, SIGNIFICANT_FIGURES)


class OperationReport:
    """Figures of one operation, or of all operations."""

    def __init__(self) -> None:
        self.outcomes: dict[str, int] = {}
        self.tokens = 0
        self._complete_answer = make_histogram()
        self._first_token = make_histogram()
        self._between_tokens = make_histogram()

    def add(self, sample: Sample) -> None:
        """Add a call to the figures."""
        self.outcomes[sample.outcome] = self.outcomes.get(sample.outcome, 0) + 1
        if sample.outcome == ANSWERED:
            record_duration(
                self._complete_answer, sample.completed_at - sample.intended_at
            )
        previous_at = None
        for at, count in sample.token_times:
            self.tokens += count
            if previous_at is None:
                record_duration(self._first_token, at - sample.intended_at)
            else:
                record_duration(self._between_tokens, at - previous_at)
            # The other tokens of the chunk arrive without a gap.
            self._between_tokens.record_value(MIN_MICROSECONDS, count - 1)
            previous_at = at

    def describe(self, seconds: float) -> dict[str, Any]:
        """Return the figures for a run of some seconds; latencies in milliseconds."""
        answered = self.outcomes.get(ANSWERED, 0)
        return {
            "calls": sum(self.outcomes.values()),
            "answered_per_second": round(answered / seconds, 2),
            "tokens_per_second": round(self.tokens / seconds, 1),
            "outcomes": dict(sorted(self.outcomes.items())),
            "whole_answer_ms": read_percentiles(self._complete_answer),
            "first_token_ms": read_percentiles(self._first_token),
            "between_tokens_ms": read_percentiles(self._between_tokens),
        }


def record_duration(histogram: HdrHistogram, seconds: float) -> None:
    """Record a duration, at least `MIN_MICROSECONDS`."""
    histogram.record_value(max(MIN_MICROSECONDS, round(seconds * 1e6)))


def read_percentiles(histogram: HdrHistogram) -> dict[str, float]:
    """Return percentiles and maximum in milliseconds; an empty dict without values."""
    if histogram.get_total_count() == 0:
        return {}
    percentiles = {
        f"p{percentile:g}": round(
            histogram.get_value_at_percentile(percentile) / 1000, 2
        )
        for percentile in PERCENTILES
    }
    return percentiles | {"max": round(histogram.get_max_value() / 1000, 2)}


class RunReport:
    """Figures of a run, by operation and in total."""

    def __init__(self) -> None:
        self._operations: dict[str, OperationReport] = {}
        self._total = OperationReport()

    def add(self, sample: Sample) -> None:
        """Add a call to the figures."""
        self._operations.setdefault(sample.operation, OperationReport()).add(sample)
        self._total.add(sample)

    @property
    def outcomes(self) -> dict[str, int]:
        """Number of calls by outcome."""
        return self._total.outcomes

    def describe(self, seconds: float) -> dict[str, Any]:
        """Return all figures for a run of some seconds."""
        operations = sorted(self._operations.items())
        return {
            "seconds": round(seconds, 2),
            "total": self._total.describe(seconds),
            "operations": {
                name: figures.describe(seconds) for name, figures in operations
            },
        }


def format_report(report: dict[str, Any]) -> str:
    """Format the result of `RunReport.describe` as a table."""
    lines = [
        f"{'operation':<22}{'calls':>7}{'answers/s':>11}{'tokens/s':>10}"
        f"{'answer ms p50/p95/p99':>28}{'first token ms':>26}{'between tokens ms':>24}"
    ]
    rows = [*report["operations"].items(), ("total", report["total"])]
    for name, figures in rows:
        lines.append(
            f"{name:<22}{figures['calls']:>7}{figures['answered_per_second']:>11}"
            f"{figures['tokens_per_second']:>10}"
            f"{format_percentiles(figures['whole_answer_ms']):>28}"
            f"{format_percentiles(figures['first_token_ms']):>26}"
            f"{format_percentiles(figures['between_tokens_ms']):>24}"
        )
    outcomes = report["total"]["outcomes"]
    lines.append(
        "outcomes: "
        + ", ".join(f"{outcome} {count}" for outcome, count in outcomes.items())
    )
    lines.append(f"generator busy: {report['generator_busy']:.0%} of one core")
    return "\n".join(lines)


def format_percentiles(percentiles: dict[str, float]) -> str:
    """Format percentiles as one cell of a table."""
    return (
        " / ".join(f"{percentiles[f'p{percentile:g}']:g}" for percentile in PERCENTILES)
        if percentiles
        else "-"
    )
