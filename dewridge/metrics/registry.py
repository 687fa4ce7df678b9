"""Counters, gauges and latency histograms of one process."""

from collections import defaultdict

from hdrh.histogram import HdrHistogram

MIN_MICROSECONDS = 1
MAX_MICROSECONDS = 3_600_000_000
SIGNIFICANT_FIGURES = 2

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """Counters, gauges and latency histograms since the start of a process."""

    def __init__(self) -> None:
        self._counters: dict[tuple[str, Labels], float] = defaultdict(float)
        self._gauges: dict[tuple[str, Labels], float] = {}
        self._histograms: dict[tuple[str, Labels], HdrHistogram] = {}

    def add(self, name: str, amount: float = 1, **labels: str) -> None:
        """Increase a counter."""
        series = tuple(sorted(labels.items())) if labels else ()
        self._counters[name, series] += amount

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Set the current value of a gauge."""
        self._gauges[name, tuple(sorted(labels.items()))] = value

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration in seconds to a histogram."""
        series = name, tuple(sorted(labels.items()))
        histogram = self._histograms.get(series)
        if histogram is None:
            histogram = HdrHistogram(
                MIN_MICROSECONDS, MAX_MICROSECONDS, SIGNIFICANT_FIGURES
            )
            self._histograms[series] = histogram
        histogram.record_value(max(MIN_MICROSECONDS, round(seconds * 1e6)))

    def remove_histogram(self, name: str, **labels: str) -> None:
        """Remove a histogram; call when the object that its labels name was removed."""
        self._histograms.pop((name, tuple(sorted(labels.items()))), None)

    def read(self, name: str, **labels: str) -> float:
        """Return a counter's value; 0 if it was never increased."""
        return self._counters.get((name, tuple(sorted(labels.items()))), 0.0)

    def list_counters(self) -> list[tuple[str, Labels, float]]:
        """Return name, labels and value of the counters, sorted by name and labels."""
        return [(*series, value) for series, value in sorted(self._counters.items())]

    def list_gauges(self) -> list[tuple[str, Labels, float]]:
        """Return name, labels and value of the gauges, sorted by name and labels."""
        return [(*series, value) for series, value in sorted(self._gauges.items())]

    def list_histograms(self) -> list[tuple[str, Labels, HdrHistogram]]:
        """Return name, labels and histogram, sorted by name and labels."""
        histograms = sorted(self._histograms.items(), key=lambda item: item[0])
        return [(*series, histogram) for series, histogram in histograms]
