"""Tests of the checks of lost requests, on handmade histories."""

import signal
from collections.abc import Callable

import pytest

from dewridge.tests.soak.checks import check_interruptions
from dewridge.tests.soak.lostchecks import (
    check_exits,
    check_lost,
    check_own_ends,
    check_unanswered,
)
from dewridge.tests.soak.records import (
    Disturbance,
    Execution,
    History,
    HostBoot,
    HostSignal,
    Partition,
    RequestKind,
    SentRequest,
    ServerRun,
)

TERMINATED_AT = 100.0


def make_history() -> History:
    """Return a history of a host that leaves, without requests."""
    history = History(end=200.0)
    boot = HostBoot("host-1", 50.0, exited_at=TERMINATED_AT + 7.4, status=0)
    boot.signals.append(HostSignal(signal.SIGTERM, TERMINATED_AT))
    history.boots = [boot, HostBoot("host-1", 110.0), HostBoot("host-2", 50.0)]
    return history


def add_request(
    history: History,
    sent_after: float,
    cut_after: float,
    *,
    kind: RequestKind = RequestKind.DRAFT,
    host: str = "host-1",
    ran_until: float | None = None,
    has_run: bool = True,
    timeout: float = 12.0,
) -> SentRequest:
    """Add a request without a whole answer; times are counted from SIGTERM.

    Args:
        history: the history.
        sent_after: when the request was sent.
        cut_after: when its connection ended.
        kind: its kind.
        host: host that took it.
        ran_until: when its server saw the end of it; `cut_after` if None.
        has_run: whether a server began to run it.
        timeout: seconds until its deadline.
    """
    sent_at = TERMINATED_AT + sent_after
    ended_at = TERMINATED_AT + cut_after
    name = f"r-{len(history.requests)}"
    request = SentRequest(name, kind, host, "key-1", 50, sent_at, ended_at)
    request.timeout = timeout
    request.sent_by = sent_at
    history.requests[name] = request
    if has_run:
        end = cut_after if ran_until is None else ran_until
        run = ServerRun(name, "s-1", sent_at + 0.1, TERMINATED_AT + end)
        history.runs.append(run)
    return request


def test_request_cut_while_its_host_leaves_is_lost() -> None:
    history = make_history()
    add_request(history, -1.0, 4.0)
    (violation,) = check_lost(history)
    assert "lost at host-1 4.00 s after SIGTERM" in violation


@pytest.mark.parametrize(
    ("sent_after", "cut_after", "expected"),
    [(-2.0, -0.5, 0), (8.5, 8.9, 1), (8.5, 9.1, 0)],
)
def test_sigterm_counts_until_a_second_after_the_grace_period(
    sent_after: float, cut_after: float, expected: int
) -> None:
    history = make_history()
    add_request(history, sent_after, cut_after)
    assert len(check_lost(history)) == expected


def test_sigterm_of_another_host_is_no_planned_work() -> None:
    history = make_history()
    add_request(history, -1.0, 4.0, host="host-2")
    assert check_lost(history) == []


@pytest.mark.parametrize(
    ("cut_after", "is_reset", "sent_by", "expected"),
    [
        (4.25, False, 4.0, 1),
        (4.15, False, 4.0, 0),
        (4.25, True, 4.0, 0),
        (4.25, False, 0.0, 0),
        (4.35, False, 4.2, 0),
    ],
    ids=["kept", "closed at once", "not read", "not sent", "late last byte"],
)
def test_request_that_reached_no_server_is_lost_if_it_was_kept(
    cut_after: float, is_reset: bool, sent_by: float, expected: int
) -> None:
    history = make_history()
    request = add_request(history, 4.0, cut_after, has_run=False)
    request.is_reset = is_reset
    request.sent_by = TERMINATED_AT + sent_by if sent_by else 0.0
    assert len(check_lost(history)) == expected


def test_request_that_was_passed_on_is_lost_at_once() -> None:
    history = make_history()
    add_request(history, 4.0, 4.15)
    assert len(check_lost(history)) == 1


@pytest.mark.parametrize(
    ("sent_after", "cut_after", "ran_until", "expected"),
    [
        (2.9, 7.4, 7.4, 0),
        (3.1, 7.4, 7.4, 1),
        (2.9, 7.4, 6.5, 1),
        (2.9, 6.5, 6.5, 1),
        (2.9, 6.5, 7.4, 1),
    ],
    ids=["excused", "sent late", "server had ended", "cut early", "server went on"],
)
def test_exit_may_cut_early_requests_that_still_run(
    sent_after: float, cut_after: float, ran_until: float, expected: int
) -> None:
    history = make_history()
    add_request(history, sent_after, cut_after, ran_until=ran_until)
    assert len(check_lost(history)) == expected


@pytest.mark.parametrize(("ran_until", "expected"), [(7.5, 0), (6.5, 1)])
def test_exit_may_cut_what_slow_callers_read_until_later(
    ran_until: float, expected: int
) -> None:
    history = make_history()
    reload = HostSignal(signal.SIGHUP, TERMINATED_AT + 10.5)
    history.boots[1].signals.append(reload)
    add_request(history, 2.5, 12.2, ran_until=ran_until)
    assert len(check_lost(history)) == expected


def test_exit_of_an_earlier_process_excuses_nothing() -> None:
    history = make_history()
    history.boots[1].signals.append(HostSignal(signal.SIGTERM, TERMINATED_AT + 20))
    history.boots[0].started_at = TERMINATED_AT - 1.5
    add_request(history, -2.0, 7.4)
    assert len(check_lost(history)) == 1


@pytest.mark.parametrize(
    ("sent_after", "cut_after", "timeout", "expected"),
    [
        (2.9, 7.4, 12.0, 0),
        (3.1, 7.4, 12.0, 1),
        (2.9, 6.5, 12.0, 1),
        (2.0, 6.1, 4.0, 0),
        (2.0, 5.9, 4.0, 1),
    ],
    ids=["exit", "sent late", "cut early", "time over", "time left"],
)
def test_only_exits_and_budgets_may_interrupt_requests_in_planned_work(
    sent_after: float, cut_after: float, timeout: float, expected: int
) -> None:
    history = make_history()
    request = add_request(history, sent_after, cut_after, timeout=timeout)
    history.executions.append(Execution(request.id, "s-1", "", request.sent_at))
    assert len(check_interruptions(history)) == expected


def test_second_sigterm_does_not_extend_the_excuse() -> None:
    history = make_history()
    history.boots[0].signals.append(HostSignal(signal.SIGTERM, TERMINATED_AT + 2))
    add_request(history, 4.0, 7.4)
    assert len(check_lost(history)) == 1


def complete(history: History, request: SentRequest) -> None:
    request.is_complete = True


def abandon(history: History, request: SentRequest) -> None:
    request.is_abandoned = True


def outlast_run(history: History, request: SentRequest) -> None:
    history.end = TERMINATED_AT + 3.9


def break_off(history: History, request: SentRequest) -> None:
    history.runs[0].has_broken_off = True


def reach_budget(history: History, request: SentRequest) -> None:
    request.timeout = 5.0


def disturb_all(history: History, request: SentRequest) -> None:
    history.disturbances.append(Disturbance("", 50.0, 96.1))


def disturb_host(history: History, request: SentRequest) -> None:
    history.disturbances.append(Disturbance("host-1", 103.9, 105.0))


def disturb_store(history: History, request: SentRequest) -> None:
    history.disturbances.append(Disturbance("", 99.0, 105.0, affects_store_only=True))


def disturb_relays(history: History, request: SentRequest) -> None:
    history.partitions.append(Partition(frozenset({"host-1"}), 95.0, 102.0))
    history.disturbances.append(Disturbance("host-2", 101.0, 102.0))


@pytest.mark.parametrize(
    "excuse",
    [
        complete,
        abandon,
        outlast_run,
        break_off,
        reach_budget,
        disturb_all,
        disturb_host,
        disturb_store,
        disturb_relays,
    ],
)
def test_excused_request_is_not_lost(
    excuse: Callable[[History, SentRequest], None],
) -> None:
    history = make_history()
    request = add_request(history, -1.0, 4.0)
    excuse(history, request)
    assert check_lost(history) == []


def disturb_long_before(history: History, request: SentRequest) -> None:
    history.disturbances.append(Disturbance("", 50.0, 95.9))


def disturb_afterwards(history: History, request: SentRequest) -> None:
    history.disturbances.append(Disturbance("host-1", 104.1, 105.0))


def disturb_other_host(history: History, request: SentRequest) -> None:
    history.disturbances.append(Disturbance("host-2", 99.0, 105.0))


def plan_work(history: History, request: SentRequest) -> None:
    history.disturbances.append(Disturbance("host-1", 100.0, 108.0, is_planned=True))


def keep_time(history: History, request: SentRequest) -> None:
    request.timeout = 5.1


@pytest.mark.parametrize(
    "change",
    [
        disturb_long_before,
        disturb_afterwards,
        disturb_other_host,
        plan_work,
        keep_time,
    ],
)
def test_other_events_excuse_nothing(
    change: Callable[[History, SentRequest], None],
) -> None:
    history = make_history()
    request = add_request(history, -1.0, 4.0)
    change(history, request)
    assert len(check_lost(history)) == 1


def test_route_timeout_excuses_a_request_with_a_longer_budget() -> None:
    history = make_history()
    add_request(history, -9.0, 6.1, ran_until=6.1, timeout=60.0)
    assert check_lost(history) == []


def test_trouble_of_the_store_excuses_no_request_without_a_stream() -> None:
    history = make_history()
    request = add_request(history, 2.0, 4.0, kind=RequestKind.READ)
    disturb_store(history, request)
    assert len(check_lost(history)) == 1


@pytest.mark.parametrize(
    ("sent_after", "cut_after", "expected"),
    [(-5.0, 3.0, 1), (1.9, 9.0, 1), (2.1, 3.0, 0), (-5.0, -1.0, 0)],
)
def test_request_cut_after_a_reload_is_lost(
    sent_after: float, cut_after: float, expected: int
) -> None:
    history = make_history()
    sent = HostSignal(signal.SIGHUP, TERMINATED_AT)
    history.boots[2].signals.append(sent)
    add_request(history, sent_after, cut_after, host="host-2")
    assert len(check_lost(history)) == expected


@pytest.mark.parametrize(
    ("cut_after", "timeout", "expected"),
    [(2.9, 12.0, 1), (3.1, 12.0, 0), (-0.1, 12.0, 0), (2.9, 5.5, 0)],
    ids=["lost", "too late", "too early", "most time used"],
)
def test_request_cut_beside_a_configuration_is_lost(
    cut_after: float, timeout: float, expected: int
) -> None:
    history = make_history()
    history.configurations_written_at.append(TERMINATED_AT)
    add_request(history, -1.0, cut_after, host="host-2", timeout=timeout)
    assert len(check_lost(history)) == expected


@pytest.mark.parametrize(("sound", "expected"), [(2, 0), (9, 1)])
def test_configuration_counts_if_requests_are_cut_more_often_beside_it(
    sound: int, expected: int
) -> None:
    history = make_history()
    history.configurations_written_at.append(TERMINATED_AT)
    add_request(history, -1.0, 2.0, host="host-2")
    add_request(history, 4.0, 6.0, host="host-2")
    for _ in range(sound):
        add_request(history, 4.0, 6.0, host="host-2").is_complete = True
    # Half of the requests beside it are cut: 1 in 2, compared with 1 in 1 + sound.
    add_request(history, -1.0, 2.0, host="host-2").is_complete = True
    assert len(check_lost(history)) == expected


def add_unanswered(history: History, count: int) -> list[SentRequest]:
    """Add requests on kept connections that ran and got no answer, in calm."""
    requests = []
    for _ in range(count):
        request = add_request(history, 20.0, 21.0, host="host-2")
        request.is_kept = True
        requests.append(request)
    return requests


def test_four_requests_without_an_answer_on_kept_connections_are_a_violation() -> None:
    history = make_history()
    add_unanswered(history, 4)
    (violation,) = check_unanswered(history)
    assert "4 on kept connections" in violation


def test_three_requests_without_an_answer_are_no_violation() -> None:
    history = make_history()
    add_unanswered(history, 3)
    assert check_unanswered(history) == []


def send_on_new_connection(history: History, request: SentRequest) -> None:
    request.is_kept = False


def answer(history: History, request: SentRequest) -> None:
    request.status = 200


def cross_close(history: History, request: SentRequest) -> None:
    history.runs = [run for run in history.runs if run.id != request.id]


def break_off_run(history: History, request: SentRequest) -> None:
    history.runs[-1].has_broken_off = True


def disturb_before(history: History, request: SentRequest) -> None:
    history.disturbances.append(Disturbance("host-2", 116.0, 117.5))


def terminate(history: History, request: SentRequest) -> None:
    history.boots[2].signals.append(HostSignal(signal.SIGTERM, 118.0))


def start(history: History, request: SentRequest) -> None:
    history.boots.append(HostBoot("host-2", 118.0))


@pytest.mark.parametrize(
    "change",
    [
        send_on_new_connection,
        answer,
        abandon,
        cross_close,
        break_off_run,
        disturb_before,
        terminate,
        start,
    ],
)
def test_excused_request_on_a_kept_connection_does_not_count(
    change: Callable[[History, SentRequest], None],
) -> None:
    history = make_history()
    requests = add_unanswered(history, 4)
    change(history, requests[-1])
    assert check_unanswered(history) == []


@pytest.mark.parametrize(
    ("status", "is_handled", "expected"),
    [
        (0, True, 0),
        (-signal.SIGKILL, True, 0),
        (1, True, 1),
        (-signal.SIGTERM, True, 1),
        (-signal.SIGHUP, True, 1),
        (-signal.SIGTERM, False, 0),
    ],
)
def test_leaving_host_must_exit_with_status_0(
    status: int, is_handled: bool, expected: int
) -> None:
    history = make_history()
    boot = history.boots[0]
    boot.signals = [HostSignal(signal.SIGTERM, TERMINATED_AT, is_handled)]
    boot.status = status
    assert len(check_exits(history)) == expected


@pytest.mark.parametrize(
    ("status", "signals", "expected"),
    [
        (0, [], 1),
        (1, [], 1),
        (-signal.SIGSEGV, [], 1),
        (1, [HostSignal(signal.SIGHUP, 99.0)], 1),
        (1, [HostSignal(signal.SIGTERM, 99.0)], 0),
        (1, [HostSignal(signal.SIGTERM, 101.0)], 1),
        (-signal.SIGTERM, [HostSignal(signal.SIGTERM, 99.0, is_handled=False)], 0),
        (-signal.SIGHUP, [HostSignal(signal.SIGHUP, 99.0, is_handled=False)], 0),
        (-signal.SIGKILL, [], 0),
    ],
)
def test_a_process_must_not_end_by_itself(
    status: int, signals: list[HostSignal], expected: int
) -> None:
    """Guards against hosts that end over an entry in the store and start again."""
    boot = HostBoot("host-1", 50.0, signals, exited_at=100.0, status=status)
    history = History(end=200.0, boots=[boot, HostBoot("host-1", 100.3)])
    assert len(check_own_ends(history)) == expected
