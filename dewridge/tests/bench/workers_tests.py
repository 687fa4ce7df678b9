"""Tests that simulated servers follow their timing parameters, and of fair shares."""

import pytest

from dewridge.bench.cases import compute_fair_shares
from dewridge.bench.workers import EngineSpec, SimulatedAttempt, SimulatedEngine
from dewridge.tests.policy.builders import make_server, make_work

ENGINE_SPEC = EngineSpec(
    step=0.01, step_stream=0.001, prefill=100, prefill_token=0.0001
)


def run_engine(engine: SimulatedEngine) -> dict[str, float]:
    """Run all attempts, and return their completion times by request id."""
    completed = {}
    while (at := engine.find_next_report_time()) is not None:
        for report in engine.collect_reports(at):
            if report.is_done:
                completed[str(report.attempt.work.request)] = at
    return completed


def test_streams_in_a_batch_slow_each_other_down() -> None:
    engine = SimulatedEngine(make_server(0, capacity=2), ENGINE_SPEC)
    for number in range(3):
        work = make_work(number, tokens=50)
        engine.accept(SimulatedAttempt(work, 50), 0.0)
    completed = run_engine(engine)
    # Prefills of one step each, then 49 steps of 12 ms; the third waits for a slot.
    assert completed["one/0"] == pytest.approx(0.6, rel=0.1)
    assert completed["one/2"] > 1.8 * completed["one/0"]


def test_cancelled_stream_frees_its_slot_and_reports_its_tokens() -> None:
    engine = SimulatedEngine(make_server(0, capacity=1), ENGINE_SPEC)
    first = SimulatedAttempt(make_work(1, tokens=50), 50)
    second = SimulatedAttempt(make_work(2, tokens=50), 50)
    engine.accept(first, 0.0)
    engine.accept(second, 0.0)
    engine.collect_reports(0.021)
    engine.cancel(first, 0.3)
    assert 20 <= first.tokens <= 30
    assert second.started_at == 0.3
    assert "one/1" not in run_engine(engine)


def test_fair_shares_use_all_capacity_while_there_is_demand() -> None:
    shares = compute_fair_shares({"a": 1.0, "b": 5.0, "c": 9.0}, 11.0)
    assert shares == {"a": 1.0, "b": 5.0, "c": 5.0}
