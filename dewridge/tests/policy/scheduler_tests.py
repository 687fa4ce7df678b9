"""One host's scheduler, event by event."""

from dewridge.codes import ResultCode
from dewridge.configuration.model import CostLimits
from dewridge.policy.model import Abandoned, AttemptOutcome, Retry
from dewridge.tests.policy.builders import make_profile, make_scheduler, make_work


def test_an_answer_frees_its_credit_and_is_counted() -> None:
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
    counters = scheduler.read_usage().counters
    assert counters["answered_in_target"] == 1
    assert counters["cost"] > 0


def test_a_hopeless_request_is_told_at_once_and_when_to_come_back() -> None:
    # The only server is busy until after a queued request's deadline. Its
    # caller hears so as soon as it is certain, not when the deadline passes.
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


def test_a_short_deadline_is_tried_while_nothing_is_known() -> None:
    # A host that has just started, or heard nothing for a while, can't know that
    # a deadline is too short. Refusing by a guess, it would never learn better.
    scheduler = make_scheduler(kind="plain")
    assert scheduler.offer(make_work(1, deadline=0.05, tokens=1), 0.0) is None
    picked = scheduler.pick(0.0)
    assert picked
    scheduler.record_attempt_end(
        picked.work.request, picked.server, AttemptOutcome.DONE, 1, 0.4
    )
    hopeless = make_work(2, arrival=1.0, deadline=1.05, tokens=1)
    assert scheduler.offer(hopeless, 1.0) is not None
    later = make_work(3, arrival=60.0, deadline=60.05, tokens=1)
    assert scheduler.offer(later, 60.0) is None
    assert scheduler.pick(60.0) is not None


def test_a_call_that_may_not_be_repeated_is_tried_again_only_if_it_never_ran() -> None:
    # A server refuses a letter, the next one breaks off. The first refusal
    # proves that nothing ran; after the break a second try might make a second
    # letter, and the caller hears that nobody knows.
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


def test_moved_work_resumes_with_its_tokens_on_another_server() -> None:
    # A server is reclaimed with a draft half done. The caller notices nothing:
    # the draft goes on elsewhere from the tokens kept, and the leaving server
    # gets nothing more, even when an older host list still calls it live.
    scheduler = make_scheduler(servers=2)
    views = [record.view for record in scheduler._servers.subset]
    work = make_work(1, is_interactive=False, tokens=4000, prompt=600)
    scheduler.offer(work, 0.0)
    first = scheduler.pick(0.0)
    assert first
    [move] = scheduler.handle_server_leaving(first.server, 5.0, 1.0)
    assert move.request == work.request
    assert 1.0 <= move.at < 4.0
    assert move.export_cache
    retry = scheduler.record_attempt_end(
        work.request, first.server, AttemptOutcome.LEAVING, 70, move.at
    )
    assert isinstance(retry, Retry)
    scheduler.update_servers(views, move.at)
    second = scheduler.pick(move.at)
    assert second
    assert second.server != first.server
    assert second.work.tokens_done == 70


def test_a_profile_out_of_money_refuses_until_the_hour_has_drained() -> None:
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


def test_policies_are_swapped_under_work() -> None:
    # An operator moves a service to another profile on live traffic; requests
    # that wait or run are not lost by it.
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
