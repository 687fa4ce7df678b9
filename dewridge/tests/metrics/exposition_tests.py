"""The Prometheus text format of metrics."""

from prometheus_client.parser import text_string_to_metric_families

from dewridge.metrics.exposition import format_metrics
from dewridge.metrics.registry import Metrics


def test_formatted_metrics_can_be_parsed() -> None:
    metrics = Metrics()
    metrics.add("answers", 2, account="a")
    metrics.add("answers", account="b")
    metrics.add("calls_total")
    metrics.set_gauge("queue", 4)
    for seconds in (0.1, 0.1, 0.4):
        metrics.observe("wait_seconds", seconds, operation="x")
    text = format_metrics(metrics).decode()
    assert text.count("# TYPE dewridge_answers_total counter") == 1
    families = {family.name: family for family in text_string_to_metric_families(text)}
    answers = families["dewridge_answers"].samples
    assert {sample.labels["account"]: sample.value for sample in answers} == {
        "a": 2.0,
        "b": 1.0,
    }
    assert families["dewridge_calls"].samples[0].name == "dewridge_calls_total"
    assert families["dewridge_queue"].samples[0].value == 4
    waits = {
        sample.labels.get("quantile", sample.name): sample.value
        for sample in families["dewridge_wait_seconds"].samples
    }
    assert waits["dewridge_wait_seconds_count"] == 3
    assert abs(waits["0.5"] - 0.1) < 0.002
    assert abs(waits["dewridge_wait_seconds_sum"] - 0.6) < 0.01
