"""Tests that the generator measures latencies from the scheduled time of a call.

Delays of the generator itself are therefore included.
"""

from dataclasses import replace

import pytest
import trio

from dewridge.load.mixes import KAROO, MIXES, SELLO_VERDE, Arrivals, Call, draw_calls
from dewridge.load.runner import LoadRun, RunPlan
from dewridge.load.samples import ANSWERED, OperationReport, Sample
from dewridge.load.session import LoadOptions, run_load
from dewridge.standins.backend import BackendGroup, BackendPlan
from dewridge.standins.engine import EngineOptions

ACCOUNTS = ("large", "medium", "small")


def test_arrivals_follow_the_rate_and_the_mix() -> None:
    arrivals = Arrivals(100, 50, ACCOUNTS, seed=3)
    calls = list(draw_calls(SELLO_VERDE, arrivals))
    assert 4600 < len(calls) < 5400
    drafts = [call for call in calls if call.spec.operation == "draft_finding"]
    assert 0.27 < len(drafts) / len(calls) < 0.33
    large = [call for call in calls if call.account == "large"]
    assert 0.41 < len(large) / len(calls) < 0.48
    assert calls == list(draw_calls(SELLO_VERDE, arrivals))
    for mix in MIXES.values():
        assert abs(sum(spec.weight for spec in mix.calls) - 1) < 1e-9
    filtered_calls = draw_calls(
        KAROO, replace(arrivals, only_operation="answer_question")
    )
    assert {call.spec.operation for call in filtered_calls} == {"answer_question"}


async def test_stall_counts_in_the_latency_of_every_delayed_call() -> None:
    # The system stalls for half a second, and all calls that arrive in that time wait.
    # A generator that waits for each answer before its next call would record only one
    # slow call.
    stall_ends_at = trio.current_time() + 0.5

    async def send(call: Call, sample: Sample) -> None:
        await trio.sleep_until(stall_ends_at)
        sample.outcome = ANSWERED
        sample.completed_at = (
            sample.intended_at + trio.current_time() - started_at - call.at
        )

    started_at = trio.current_time()
    calls = list(draw_calls(SELLO_VERDE, Arrivals(100, 0.5, ACCOUNTS)))
    figures = await LoadRun(RunPlan(0.5), send, is_quiet=True).run(calls)
    latencies = figures["total"]["whole_answer_ms"]
    assert figures["total"]["outcomes"] == {ANSWERED: len(calls)}
    assert 150 < latencies["p50"] < 400


def test_tokens_of_one_chunk_are_counted_individually() -> None:
    report = OperationReport()
    sample = Sample("draft", 10.0, ANSWERED, 10.5, [(10.2, 1), (10.3, 3)])
    report.add(sample)
    figures = report.describe(1.0)
    assert figures["tokens_per_second"] == 4
    assert figures["first_token_ms"]["p50"] == pytest.approx(200, rel=0.001)
    assert abs(figures["between_tokens_ms"]["max"] - 100) < 1
    assert figures["between_tokens_ms"]["p50"] < 1


async def test_direct_run_checks_every_answer() -> None:
    async with trio.open_nursery() as nursery:
        plan = BackendPlan("engine", 1, ("drafting",), ("isando-1",))
        group = BackendGroup(plan, EngineOptions(step=0.001, capacity=32))
        ready = await group.start(nursery)
        options = LoadOptions(
            "karoo",
            rate=40,
            seconds=0.5,
            warmup=0,
            direct={"drafting": [ready["servers"]["engine"]]},
            only_operation="answer_question",
            quiet=True,
        )
        figures = await run_load(options)
        assert set(figures["total"]["outcomes"]) == {ANSWERED}
        assert figures["total"]["first_token_ms"]["p50"] > 0
        nursery.cancel_scope.cancel()
