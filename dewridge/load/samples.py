"""What a run measured: histograms by operation, and their report."""

from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3_600_000_000
SIGNIFICANT_FIGURES = 3
PERCENTILES = (50.0, 95.0, 99.0)

ANSWERED = "answered"


@dataclass(slots=True)
class Sample:
    """One call, as its caller saw it.

    Attributes:
        intended: when it should have been sent. All times count from here, so
            that a system which makes the generator wait does not hide the wait.
        outcome: ANSWERED, or the name of what went wrong.
        ends: when the whole answer had come.
        token_times: time and count of each arrival of tokens.
    """

    operation: str
    intended: float
    outcome: str = ""
    ends: float = 0.0
    token_times: list[tuple[float, int]] = field(default_factory=list)


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_FIGURES)


class OperationReport:
    """Figures of one operation, or of all together."""

    def __init__(self) -> None:
        self.outcomes: dict[str, int] = {}
        self.tokens = 0
        self._whole = make_histogram()
        self._first = make_histogram()
        self._between = make_histogram()

    def add(self, sample: Sample) -> None:
        """Take in a call."""
        self.outcomes[sample.outcome] = self.outcomes.get(sample.outcome, 0) + 1
        if sample.outcome == ANSWERED:
            record(self._whole, sample.ends - sample.intended)
        previous = None
        for at, count in sample.token_times:
            self.tokens += count
            if previous is None:
                record(self._first, at - sample.intended)
            else:
                record(self._between, at - previous)
            # Tokens that arrive together: all but the first are there at once.
            self._between.record_value(LOWEST_MICROSECONDS, count - 1)
            previous = at

    def describe(self, seconds: float) -> dict[str, Any]:
        """Return the figures over a time; latencies in milliseconds."""
        answered = self.outcomes.get(ANSWERED, 0)
        return {
            "calls": sum(self.outcomes.values()),
            "answered_per_second": round(answered / seconds, 2),
            "tokens_per_second": round(self.tokens / seconds, 1),
            "outcomes": dict(sorted(self.outcomes.items())),
            "whole_answer_ms": read_percentiles(self._whole),
            "first_token_ms": read_percentiles(self._first),
            "between_tokens_ms": read_percentiles(self._between),
        }


def record(histogram: HdrHistogram, seconds: float) -> None:
    """Record a duration."""
    histogram.record_value(max(LOWEST_MICROSECONDS, round(seconds * 1e6)))


def read_percentiles(histogram: HdrHistogram) -> dict[str, float]:
    """Return percentiles and the maximum in milliseconds; empty without values."""
    if histogram.get_total_count() == 0:
        return {}
    found = {
        f"p{percentile:g}": round(
            histogram.get_value_at_percentile(percentile) / 1000, 2
        )
        for percentile in PERCENTILES
    }
    return found | {"max": round(histogram.get_max_value() / 1000, 2)}


class Report:
    """Figures of a whole run."""

    def __init__(self) -> None:
        self._operations: dict[str, OperationReport] = {}
        self._total = OperationReport()

    def add(self, sample: Sample) -> None:
        """Take in a call."""
        self._operations.setdefault(sample.operation, OperationReport()).add(sample)
        self._total.add(sample)

    @property
    def outcomes(self) -> dict[str, int]:
        """How many calls ended in which way."""
        return self._total.outcomes

    def describe(self, seconds: float) -> dict[str, Any]:
        """Return all figures over a time."""
        operations = sorted(self._operations.items())
        return {
            "seconds": round(seconds, 2),
            "total": self._total.describe(seconds),
            "operations": {name: part.describe(seconds) for name, part in operations},
        }


def format_report(report: dict[str, Any]) -> str:
    """Write a described report as a table."""
    lines = [
        f"{'operation':<22}{'calls':>7}{'answers/s':>11}{'tokens/s':>10}"
        f"{'answer ms p50/p95/p99':>28}{'first token ms':>26}{'between tokens ms':>24}"
    ]
    parts = [*report["operations"].items(), ("total", report["total"])]
    for name, part in parts:
        lines.append(
            f"{name:<22}{part['calls']:>7}{part['answered_per_second']:>11}"
            f"{part['tokens_per_second']:>10}"
            f"{format_percentiles(part['whole_answer_ms']):>28}"
            f"{format_percentiles(part['first_token_ms']):>26}"
            f"{format_percentiles(part['between_tokens_ms']):>24}"
        )
    outcomes = report["total"]["outcomes"]
    lines.append("outcomes: " + ", ".join(f"{k} {v}" for k, v in outcomes.items()))
    lines.append(f"generator busy: {report['generator_busy']:.0%} of one core")
    return "\n".join(lines)


def format_percentiles(found: dict[str, float]) -> str:
    """Write percentiles in short."""
    return " / ".join(f"{found[f'p{p:g}']:g}" for p in PERCENTILES) if found else "-"
