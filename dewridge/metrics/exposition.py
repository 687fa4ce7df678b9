"""Formats the metrics of a process in the Prometheus text format."""

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
METRIC_PREFIX = "dewridge_"
PERCENTILES = (50.0, 95.0, 99.0, 100.0)
MICROSECONDS_PER_SECOND = 1e6

Entry = TypeVar("Entry", bound=tuple[Any, ...])


def format_metrics(metrics: Metrics) -> bytes:
    """Return all metrics of a process in the Prometheus text format."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_MetricsCollector(metrics))
    return generate_latest(registry)


class _MetricsCollector(Collector):
    """Adapts `Metrics` to the collector interface of `prometheus_client`."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Yield counters, gauges and histograms, one metric family for each name."""
        for name, counters in _group_by_name(self._metrics.list_counters()):
            counter = CounterMetricFamily(METRIC_PREFIX + name, name)
            for _, labels, value in counters:
                counter.add_sample(f"{counter.name}_total", dict(labels), value)
            yield counter
        for name, gauges in _group_by_name(self._metrics.list_gauges()):
            gauge = GaugeMetricFamily(METRIC_PREFIX + name, name)
            for _, labels, value in gauges:
                gauge.add_sample(METRIC_PREFIX + name, dict(labels), value)
            yield gauge
        for name, histograms in _group_by_name(self._metrics.list_histograms()):
            summary = SummaryMetricFamily(METRIC_PREFIX + name, name)
            for _, labels, histogram in histograms:
                _add_histogram_samples(
                    summary, METRIC_PREFIX + name, dict(labels), histogram
                )
            yield summary


def _add_histogram_samples(
    summary: SummaryMetricFamily, name: str, labels: dict[str, str], histogram: Any
) -> None:
    total = histogram.get_total_count()
    seconds = (
        histogram.get_mean_value() * total / MICROSECONDS_PER_SECOND if total else 0.0
    )
    for percentile in PERCENTILES:
        value = histogram.get_value_at_percentile(percentile) / MICROSECONDS_PER_SECOND
        quantile = f"{percentile / 100:g}"
        summary.add_sample(name, {**labels, "quantile": quantile}, value)
    summary.add_sample(f"{name}_count", labels, total)
    summary.add_sample(f"{name}_sum", labels, seconds)


def _group_by_name(entries: list[Entry]) -> Iterator[tuple[str, list[Entry]]]:
    for name, group in groupby(entries, key=itemgetter(0)):
        yield name, list(group)
