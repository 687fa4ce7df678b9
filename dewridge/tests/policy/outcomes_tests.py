"""Simulated outcomes for callers under load and faults."""

from dataclasses import replace
from functools import cache

from dewridge.bench.cases import COST_AWARE, ROUND_ROBIN, Case, Contender, run_case
from dewridge.bench.deployments import KAROO, SELLO_VERDE
from dewridge.bench.simulation import Reclaim, Slowdown

FINDINGS = Case(
    "test", SELLO_VERDE, COST_AWARE, 0.6, 7, seconds=30.0, is_model_only=True
)
DRAFTING = replace(FINDINGS, deployment=KAROO)
QUEUE_FILL_SECONDS = 60.0
"""Seconds until the queue reaches its full length at twice the capacity."""

run = cache(run_case)


def find_in_target(case: Case) -> float:
    return run(case).overall.in_target


def test_bursts_are_answered_within_target() -> None:
    # In every fifth second, 2.5 times the usual number of requests arrive. Answers
    # have to stay within the target, nearly without refusals.
    burst = replace(DRAFTING, burst=2.5)
    assert find_in_target(burst) >= 0.95
    assert run(burst).overall.refused <= 0.01


def test_overload_of_twice_the_capacity_is_half_answered_and_half_refused() -> None:
    # For a minute, twice as many requests arrive as the servers can answer. The excess
    # is refused at once with a retry-after time and the rest is answered in time; with
    # FIFO queues, nearly all answers are late.
    case = replace(
        FINDINGS, load=2.0, seconds=QUEUE_FILL_SECONDS + 20, warm_up=QUEUE_FILL_SECONDS
    )
    result = run(case)
    assert result.work_share["findings"] >= 0.9
    assert result.overall.refused >= 0.4
    assert result.overall.time_to_rejection < 0.1
    plain = run(replace(case, contender=ROUND_ROBIN))
    assert plain.work_share["findings"] < 0.1


def test_a_large_account_does_not_starve_a_small_one() -> None:
    # Two accounts send more than the servers can answer. Small accounts that use less
    # than their equal share are answered as without overload.
    case = replace(
        FINDINGS, load=2.0, seconds=QUEUE_FILL_SECONDS + 20, warm_up=QUEUE_FILL_SECONDS
    )
    assert run(case).fairness >= 0.75
    latencies = run(case).accounts
    assert (
        latencies["farm", "draft_finding"] <= 0.5 * latencies["coop", "draft_finding"]
    )


def test_interactive_work_does_not_wait_for_long_background_work() -> None:
    # Background requests of ten seconds use most slots of the engines. Interactive
    # answers still have to start within the target.
    case = replace(DRAFTING, load=0.8, seconds=45.0)
    assert run(case).overall.first_token["interactive"] <= 0.41


def test_a_slow_server_makes_few_answers_late() -> None:
    # One engine becomes slow without failing. Its requests move to other servers, and
    # new requests avoid it, except for occasional probes.
    slow = replace(FINDINGS, slowdown=Slowdown(at=22.0), seconds=40.0)
    healthy = replace(slow, slowdown=None)
    assert find_in_target(slow) >= 0.95 * find_in_target(healthy)


def test_no_accepted_request_is_lost_when_half_of_the_servers_are_reclaimed() -> None:
    # Half of the servers are reclaimed with four seconds of notice. Every accepted
    # request has to be answered, continuing after the tokens already received.
    reclaimed = replace(FINDINGS, load=0.4, reclaims=(Reclaim(22.0),))
    result = run(reclaimed)
    assert result.overall.failed == 0
    assert result.overall.in_target + result.overall.refused >= 0.99
    restarting = Contender("restart", "cost_aware", "fair", "restart")
    restarted = run(replace(reclaimed, contender=restarting))
    assert restarted.overall.recomputed_tokens > 0
    assert result.overall.recomputed_tokens <= 0.1 * restarted.overall.recomputed_tokens
