"""Counters, gauges and latency histograms of one process."""

from collections import defaultdict

from hdrh.histogram import HdrHistogram

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3_600_000_000
SIGNIFICANT_FIGURES = 2

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """What a process has counted and timed since its start."""

    def __init__(self) -> None:
        self._counters: dict[tuple[str, Labels], float] = defaultdict(float)
        self._gauges: dict[tuple[str, Labels], float] = {}
        self._histograms: dict[tuple[str, Labels], HdrHistogram] = {}

    def add(self, name: str, amount: float = 1, **labels: str) -> None:
        """Count something that happened."""
        self._counters[name, tuple(sorted(labels.items()))] += amount

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a level."""
        self._gauges[name, tuple(sorted(labels.items()))] = value

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration in seconds."""
        place = name, tuple(sorted(labels.items()))
        histogram = self._histograms.get(place)
        if histogram is None:
            histogram = HdrHistogram(
                LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_FIGURES
            )
            self._histograms[place] = histogram
        histogram.record_value(max(LOWEST_MICROSECONDS, round(seconds * 1e6)))

    def remove_histogram(self, name: str, **labels: str) -> None:
        """Drop a duration's record: what its labels name is gone for good."""
        self._histograms.pop((name, tuple(sorted(labels.items()))), None)

    def read_counter(self, name: str, **labels: str) -> float:
        """Return a counter's value; 0 if it never counted."""
        return self._counters.get((name, tuple(sorted(labels.items()))), 0.0)

    def list_counters(self) -> list[tuple[str, Labels, float]]:
        """Return the counters by name and labels."""
        return [(*place, value) for place, value in sorted(self._counters.items())]

    def list_gauges(self) -> list[tuple[str, Labels, float]]:
        """Return the gauges by name and labels."""
        return [(*place, value) for place, value in sorted(self._gauges.items())]

    def list_histograms(self) -> list[tuple[str, Labels, HdrHistogram]]:
        """Return the histograms by name and labels."""
        places = sorted(self._histograms.items(), key=lambda item: item[0])
        return [(*place, histogram) for place, histogram in places]
