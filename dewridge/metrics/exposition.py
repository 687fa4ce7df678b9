"""The counters in the text format that monitoring systems read."""

from collections.abc import Iterator

from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
    SummaryMetricFamily,
)
from prometheus_client.exposition import CONTENT_TYPE_PLAIN_0_0_4, generate_latest
from prometheus_client.registry import Collector, CollectorRegistry

from dewridge.metrics.registry import Labels, Metrics

CONTENT_TYPE = CONTENT_TYPE_PLAIN_0_0_4
PREFIX = "dewridge_"
QUANTILES = (50.0, 95.0, 99.0, 100.0)


def expose(metrics: Metrics) -> bytes:
    """Return all that a process has counted, in the text format."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Collector(metrics))
    return generate_latest(registry)


class _Collector(Collector):
    """Offers the counters to the library's writer."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Yield every counter, gauge and histogram."""
        for name, labels, value in self._metrics.list_counters():
            counter = CounterMetricFamily(PREFIX + name, name, labels=_names(labels))
            counter.add_metric(_values(labels), value)
            yield counter
        for name, labels, value in self._metrics.list_gauges():
            gauge = GaugeMetricFamily(PREFIX + name, name, labels=_names(labels))
            gauge.add_metric(_values(labels), value)
            yield gauge
        yield from self._collect_histograms()

    def _collect_histograms(self) -> Iterator[Metric]:
        for name, labels, histogram in self._metrics.list_histograms():
            family = SummaryMetricFamily(PREFIX + name, name, labels=_names(labels))
            total = histogram.get_total_count()
            seconds = histogram.get_mean_value() * total / 1e6 if total else 0.0
            family.add_metric(_values(labels), total, seconds)
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(quantile) / 1e6
                shown = {**dict(labels), "quantile": f"{quantile / 100:g}"}
                family.add_sample(PREFIX + name, shown, value)
            yield family


def _names(labels: Labels) -> list[str]:
    return [name for name, _ in labels]


def _values(labels: Labels) -> list[str]:
    return [value for _, value in labels]
