"""The counters in the text format that monitoring systems read."""

from collections.abc import Iterator
from itertools import groupby
from operator import itemgetter
from typing import Any, TypeVar

from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
    SummaryMetricFamily,
)
from prometheus_client.exposition import CONTENT_TYPE_PLAIN_0_0_4, generate_latest
from prometheus_client.registry import Collector, CollectorRegistry

from dewridge.metrics.registry import Metrics

CONTENT_TYPE = CONTENT_TYPE_PLAIN_0_0_4
PREFIX = "dewridge_"
PERCENTILES = (50.0, 95.0, 99.0, 100.0)
MICROSECONDS = 1e6

Entry = TypeVar("Entry", bound=tuple[Any, ...])


def format_metrics(metrics: Metrics) -> bytes:
    """Return all that a process has counted, in the text format."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Collector(metrics))
    return generate_latest(registry)


class _Collector(Collector):
    """Offers the counters to the library's writer."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Yield every counter, gauge and histogram, one family a name."""
        for name, counters in _group(self._metrics.list_counters()):
            counter = CounterMetricFamily(PREFIX + name, name)
            for _, labels, value in counters:
                counter.add_sample(f"{counter.name}_total", dict(labels), value)
            yield counter
        for name, gauges in _group(self._metrics.list_gauges()):
            gauge = GaugeMetricFamily(PREFIX + name, name)
            for _, labels, value in gauges:
                gauge.add_sample(PREFIX + name, dict(labels), value)
            yield gauge
        for name, histograms in _group(self._metrics.list_histograms()):
            summary = SummaryMetricFamily(PREFIX + name, name)
            for _, labels, histogram in histograms:
                _add_histogram(summary, PREFIX + name, dict(labels), histogram)
            yield summary


def _add_histogram(
    summary: SummaryMetricFamily, name: str, labels: dict[str, str], histogram: Any
) -> None:
    total = histogram.get_total_count()
    seconds = histogram.get_mean_value() * total / MICROSECONDS if total else 0.0
    for percentile in PERCENTILES:
        value = histogram.get_value_at_percentile(percentile) / MICROSECONDS
        quantile = f"{percentile / 100:g}"
        summary.add_sample(name, {**labels, "quantile": quantile}, value)
    summary.add_sample(f"{name}_count", labels, total)
    summary.add_sample(f"{name}_sum", labels, seconds)


def _group(entries: list[Entry]) -> Iterator[tuple[str, list[Entry]]]:
    for name, group in groupby(entries, key=itemgetter(0)):
        yield name, list(group)
