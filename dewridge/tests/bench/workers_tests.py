"""The models of backend servers keep the time that they are given."""

import pytest

from dewridge.bench.cases import find_fair_shares
from dewridge.bench.workers import EngineShape, SimulatedAttempt, SimulatedEngine
from dewridge.tests.policy.builders import make_server, make_work

SHAPE = EngineShape(step=0.01, step_stream=0.001, prefill=100, prefill_token=0.0001)


def run_engine(engine: SimulatedEngine) -> dict[str, float]:
    """Return when each attempt was done."""
    done = {}
    while (at := engine.find_next_time()) is not None:
        for report in engine.collect(at):
            if report.is_done:
                done[str(report.attempt.work.request)] = at
    return done


def test_streams_in_a_batch_slow_each_other_a_little() -> None:
    engine = SimulatedEngine(make_server(0, capacity=2), SHAPE)
    for number in range(3):
        work = make_work(number, tokens=50)
        engine.accept(SimulatedAttempt(work, 50), 0.0)
    done = run_engine(engine)
    # Prefills of one step each, then 49 steps of 12 ms; the third waits for a place.
    assert done["one/0"] == pytest.approx(0.6, rel=0.1)
    assert done["one/2"] > 1.8 * done["one/0"]


def test_a_cancelled_stream_frees_its_place_and_tells_its_tokens() -> None:
    engine = SimulatedEngine(make_server(0, capacity=1), SHAPE)
    first = SimulatedAttempt(make_work(1, tokens=50), 50)
    second = SimulatedAttempt(make_work(2, tokens=50), 50)
    engine.accept(first, 0.0)
    engine.accept(second, 0.0)
    engine.collect(0.021)
    engine.cancel(first, 0.3)
    assert 20 <= first.tokens <= 30
    assert second.running_at == 0.3
    assert "one/1" not in run_engine(engine)


def test_fair_shares_leave_nothing_over_while_someone_wants_it() -> None:
    shares = find_fair_shares({"a": 1.0, "b": 5.0, "c": 9.0}, 11.0)
    assert shares == {"a": 1.0, "b": 5.0, "c": 5.0}
