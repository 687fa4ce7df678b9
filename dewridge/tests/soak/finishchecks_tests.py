"""Tests of the checks of streams that ended by themselves or were lost."""

from collections.abc import Callable

import pytest

from dewridge.tests.soak.checks import check_all
from dewridge.tests.soak.finishchecks import MAX_REPEATS
from dewridge.tests.soak.records import (
    LOW_RETRY_SLACK,
    Disturbance,
    Execution,
    History,
    Partition,
    RequestKind,
    Restart,
    SentRequest,
    ServerRun,
    Signal,
    SignalAnswer,
    StopRecord,
)

DRAFT, CHAT = "d-1", "c-1"
"""Ids of a stream whose run ended by itself, and of one that may be resumed."""
Change = Callable[[History], None]


def add_stream(
    history: History, request_id: str, kind: RequestKind, *, is_cut: bool
) -> ServerRun:
    """Add a stream with one run, and return the run."""
    request = SentRequest(request_id, kind, "host-1", "key-1", 10, 10.0, 14.0, 200)
    request.is_signed, request.is_complete = True, not is_cut
    request.timeout = 10.0
    numbers = (1, 2) if is_cut else (1, 2, 3, 4)
    request.events = [(number, request_id, number == 4) for number in numbers]
    history.requests[request_id] = request
    history.executions.append(Execution(request_id, "s-1", "account-a", 10.1))
    run = ServerRun(request_id, "s-1", 10.1, 13.9, is_unframed=True)
    history.runs.append(run)
    return run


def make_history() -> History:
    """Return a history of one stream whose run has ended by itself."""
    history = History(end=100.0)
    add_stream(history, DRAFT, RequestKind.DRAFT, is_cut=False).has_finished = True
    return history


def cut(history: History) -> None:
    """Cut the stream whose run has ended by itself."""
    history.requests[DRAFT].is_complete = False
    history.requests[DRAFT].events = history.requests[DRAFT].events[:2]


def refuse_order(history: History) -> None:
    history.stop_records.append(
        StopRecord(DRAFT, "s-1", 12.0, "no run", is_usable=True)
    )


def lose_order(history: History) -> None:
    history.stop_records += [
        StopRecord(DRAFT, "s-1", 12.0, "lost", is_usable=False),
        StopRecord(DRAFT, "s-1", 12.1, "no run", is_usable=False),
    ]


def send_in_chunks(history: History) -> None:
    history.runs[0].is_unframed = False


def restart_engine(history: History) -> None:
    history.restarts.append(Restart("s-1", 13.8, 14.2))


def restart_other_engine(history: History) -> None:
    history.restarts.append(Restart("s-2", 13.8, 14.2))


def restart_engine_later(history: History) -> None:
    history.restarts.append(Restart("s-1", 15.0, 15.2))


def disturb_host(history: History) -> None:
    history.disturbances.append(Disturbance("host-1", 13.0, 13.5))


def partition_host(history: History) -> None:
    history.partitions.append(Partition(frozenset({"host-1"}), 9.0, 12.0))


def run_out_of_time(history: History) -> None:
    history.requests[DRAFT].timeout = 4.0


FINISHED_CUT = f"{DRAFT}: cut although its run ended by itself"


def list_found(history: History) -> list[str]:
    """Return the violations that are about lost streams."""
    return [
        each
        for each in check_all(history, {})
        if "by itself" in each or "go on" in each
    ]


@pytest.mark.parametrize(
    "changes",
    [
        (),
        (refuse_order,),
        (restart_other_engine,),
        (restart_engine_later,),
        (send_in_chunks, lose_order),
        (send_in_chunks, restart_engine),
    ],
)
def test_a_cut_of_a_run_that_ended_by_itself_is_detected(
    changes: tuple[Change, ...],
) -> None:
    """Guards against whole answers that are lost where it is known that they are."""
    history = make_history()
    for change in changes:
        change(history)
    assert check_all(history, {}) == []
    cut(history)
    assert list_found(history) == [FINISHED_CUT]


@pytest.mark.parametrize(
    "excuse",
    [lose_order, restart_engine, disturb_host, partition_host, run_out_of_time],
)
def test_a_cut_is_allowed_where_nothing_can_show_that_the_run_was_whole(
    excuse: Change,
) -> None:
    history = make_history()
    cut(history)
    excuse(history)
    assert list_found(history) == []


@pytest.mark.parametrize("excuse", [lose_order, restart_engine])
def test_a_part_that_looks_whole_has_no_excuse(excuse: Change) -> None:
    """Guards against an excuse for cut streams that hides a part taken for whole."""
    history = make_history()
    cut(history)
    excuse(history)
    history.runs[0].has_finished = False
    history.requests[DRAFT].is_complete = True
    assert check_all(history, {}) == [f"{DRAFT}: complete after 2 events"]


def lose_run(history: History) -> None:
    """Cut a stream that may be resumed, after its engine forgot the stopped run."""
    add_stream(history, CHAT, RequestKind.CHAT, is_cut=True)
    history.stop_records += [
        StopRecord(CHAT, "s-1", 12.0, "lost", is_usable=False),
        StopRecord(CHAT, "s-1", 12.1, "no run", is_usable=False),
    ]


def break_run_off(history: History) -> None:
    """Cut a stream that may be resumed, as its engine started again."""
    add_stream(history, CHAT, RequestKind.CHAT, is_cut=True).has_broken_off = True
    restart_engine(history)


@pytest.mark.parametrize("lose", [lose_run, break_run_off])
def test_a_resumable_stream_that_does_not_go_on_is_detected(lose: Change) -> None:
    """Guards against resumable streams that end with their engine's memory."""
    history = make_history()
    lose(history)
    assert list_found(history) == [f"{CHAT}: did not go on after its run was lost"]


def run_twice(history: History) -> None:
    history.runs.append(ServerRun(CHAT, "s-2", 12.2, 13.0, has_broken_off=True))


def use_up_retries(history: History) -> None:
    for number in range(MAX_REPEATS + 1):
        add_stream(history, f"e-{number}", RequestKind.DRAFT, is_cut=True)


def allow_few_retries(history: History) -> None:
    history.retry_slack = LOW_RETRY_SLACK


def ask_for_rest(history: History) -> None:
    history.signal_answers.append(SignalAnswer(Signal.REST, "s-2", "host-1", 1.0, 9.0))


@pytest.mark.parametrize(
    "excuse", [run_twice, use_up_retries, allow_few_retries, ask_for_rest, disturb_host]
)
def test_a_resumable_stream_without_another_attempt_may_end(excuse: Change) -> None:
    history = make_history()
    lose_run(history)
    excuse(history)
    assert list_found(history) == []
