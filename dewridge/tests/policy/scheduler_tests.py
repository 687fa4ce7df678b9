"""Tests of the scheduler of one host."""

from dewridge.codes import ResultCode
from dewridge.configuration.model import CostLimits
from dewridge.policy.model import Abandoned, AttemptOutcome, Retry
from dewridge.tests.policy.builders import make_profile, make_scheduler, make_work


def test_a_complete_answer_frees_its_credit_and_is_counted() -> None:
    scheduler = make_scheduler()
    picked = []
    for number in range(6):
        assert scheduler.offer(make_work(number), 0.0) is None
        picked.append(scheduler.pick(0.0))
    assert [p is not None for p in picked] == [True] * 4 + [False] * 2
    first = picked[0]
    assert first
    request = first.work.request
    scheduler.record_first_token(request, first.server, 0.1)
    done = scheduler.record_attempt_end(
        request, first.server, AttemptOutcome.DONE, 10, 0.5
    )
    assert done is None
    assert scheduler.pick(0.5) is not None
    counters = scheduler.get_usage().counters
    assert counters["answered_in_target"] == 1
    assert counters["cost"] > 0


def test_a_request_that_cannot_start_in_time_fails_at_once_with_retry_after() -> None:
    # The only server is busy beyond the deadline of a queued request. The request has
    # to fail as soon as it can't start in time, not when the deadline passes.
    scheduler = make_scheduler()
    for number in range(4):
        scheduler.offer(make_work(number), 0.0)
        picked = scheduler.pick(0.0)
        assert picked
        scheduler.record_first_token(picked.work.request, picked.server, 0.1)
    scheduler.offer(make_work(9, deadline=5.0, tokens=100), 0.1)
    at = scheduler.find_next_time(0.1)
    assert at is not None
    assert 0 < at < 5.0
    assert scheduler.pick(at + 0.01) is None
    [abandoned] = scheduler.expire(at + 0.01)
    assert abandoned.failure.code is ResultCode.DEADLINE_PASSED
    assert abandoned.failure.is_not_run
    assert abandoned.failure.retry_after


def test_a_short_deadline_is_tried_without_recent_measurements() -> None:
    # A host that has just started, or had no answer for a while, does not know how long
    # answers take. If it refused short deadlines, it would never measure any.
    scheduler = make_scheduler(kind="plain")
    assert scheduler.offer(make_work(1, deadline=0.05, tokens=1), 0.0) is None
    picked = scheduler.pick(0.0)
    assert picked
    scheduler.record_attempt_end(
        picked.work.request, picked.server, AttemptOutcome.DONE, 1, 0.4
    )
    too_short = make_work(2, arrival=1.0, deadline=1.05, tokens=1)
    assert scheduler.offer(too_short, 1.0) is not None
    later = make_work(3, arrival=60.0, deadline=60.05, tokens=1)
    assert scheduler.offer(later, 60.0) is None
    assert scheduler.pick(60.0) is not None


def test_a_non_idempotent_request_is_retried_only_if_it_did_not_run() -> None:
    # One server refuses the request, the next attempt is lost. The refusal shows that
    # the request did not run; after the loss, a retry might run it twice, so that it
    # has to fail with an unknown outcome.
    scheduler = make_scheduler(servers=3)
    scheduler.offer(make_work(1, idempotent=False), 0.0)
    first = scheduler.pick(0.0)
    assert first
    decision = scheduler.record_attempt_end(
        first.work.request, first.server, AttemptOutcome.NOT_STARTED, 0, 0.1
    )
    assert decision == Retry(0.0)
    second = scheduler.pick(0.1)
    assert second
    assert second.server != first.server
    decision = scheduler.record_attempt_end(
        second.work.request, second.server, AttemptOutcome.LOST, 0, 0.2
    )
    assert isinstance(decision, Abandoned)
    assert decision.failure.code is ResultCode.OUTCOME_UNKNOWN
    assert scheduler.pick(0.3) is None


def test_a_moved_request_resumes_with_its_tokens_at_another_server() -> None:
    # A server is reclaimed while it runs a request. The request has to continue at
    # another server after the tokens already received, and the leaving server must not
    # get new work even if a stale server list shows it as live.
    scheduler = make_scheduler(servers=2)
    views = [record.view for record in scheduler._servers.subset]
    work = make_work(1, is_interactive=False, tokens=4000, prompt=600)
    scheduler.offer(work, 0.0)
    first = scheduler.pick(0.0)
    assert first
    [move] = scheduler.handle_server_leaving(first.server, 5.0, 1.0)
    assert move.request == work.request
    assert 1.0 <= move.stop_at < 4.0
    assert move.export_cache
    retry = scheduler.record_attempt_end(
        work.request, first.server, AttemptOutcome.LEAVING, 70, move.stop_at
    )
    assert isinstance(retry, Retry)
    scheduler.update_servers(views, move.stop_at)
    second = scheduler.pick(move.stop_at)
    assert second
    assert second.server != first.server
    assert second.work.tokens_done == 70


def test_a_reached_hourly_cost_limit_refuses_requests() -> None:
    profile = make_profile(limits=CostLimits(per_hour=0.001))
    scheduler = make_scheduler(profile=profile)
    scheduler.offer(make_work(1), 0.0)
    picked = scheduler.pick(0.0)
    assert picked
    scheduler.record_attempt_end(
        picked.work.request, picked.server, AttemptOutcome.DONE, 10, 20.0
    )
    refusal = scheduler.offer(make_work(2, arrival=20.0, deadline=30.0), 20.0)
    assert refusal is not None
    assert refusal.code is ResultCode.COST_LIMIT_REACHED
    assert refusal.retry_after


def test_a_change_of_policies_loses_no_requests() -> None:
    # An operator changes the profile of a service under live traffic; queued and
    # running requests must not be lost.
    scheduler = make_scheduler()
    service = scheduler._service
    for number in range(8):
        work = make_work(number, is_interactive=False)
        assert scheduler.offer(work, 0.0) is None
    running = [scheduler.pick(0.0) for _ in range(4)]
    scheduler.set_profile(service, make_profile("random", "fifo", "restart"), 0.1)
    for picked in running:
        assert picked
        scheduler.record_attempt_end(
            picked.work.request, picked.server, AttemptOutcome.DONE, 10, 0.2
        )
    scheduler.set_profile(service, make_profile("balanced"), 0.3)
    assert sum(scheduler.pick(0.3) is not None for _ in range(8)) == 4


def test_a_server_that_asks_for_rest_gets_nothing_until_its_end() -> None:
    """Guards against servers that turn requests away, look idle and get still more."""
    scheduler = make_scheduler(servers=2)
    scheduler.offer(make_work(1), 0.0)
    first = scheduler.pick(0.0)
    assert first
    resting = first.server
    scheduler.rest_server(resting, 3.0, 0.1)
    scheduler.rest_server(resting, 0.5, 0.1)
    scheduler.record_attempt_end(
        first.work.request, resting, AttemptOutcome.NOT_STARTED, 0, 0.1
    )
    for number in range(2, 10):
        scheduler.offer(make_work(number, arrival=0.2), 0.2)
    chosen = set()
    for step in range(2, 31):
        picked = scheduler.pick(step / 10)
        while picked is not None:
            chosen.add(picked.server)
            scheduler.record_attempt_end(
                picked.work.request, picked.server, AttemptOutcome.DONE, 1, step / 10
            )
            picked = scheduler.pick(step / 10)
    assert len(chosen) == 1
    assert resting not in chosen
    scheduler.offer(make_work(10, arrival=3.2), 3.2)
    probe = scheduler.pick(3.2)
    assert probe is not None
