"""Tests of the soak test's checks on handmade histories with one violation each."""

from collections.abc import Callable

import pytest

from dewridge.tests.soak.checks import check_all
from dewridge.tests.soak.records import (
    Crash,
    Disturbance,
    DutyCall,
    Execution,
    History,
    RequestKind,
    SentRequest,
    ServerPeriod,
    ServerReturn,
    Signal,
    SignalAnswer,
)

QUOTAS = {"account-a": 500.0}
CUT = Disturbance("host-9", 40.0, 50.0)


def make_history() -> History:
    """Return a history without any violation."""
    history = History(end=100.0)
    for number, kind in enumerate(RequestKind):
        request_id = f"r-{number}"
        request = SentRequest(
            request_id, kind, "host-1", "key-1", 50, sent_at=10.0, ended_at=10.5
        )
        request.status = 200
        request.is_signed = request.is_complete = True
        request.body = request_id.encode()
        if kind.is_stream:
            request.events = [(n, request_id, n == 3) for n in (1, 2, 3)]
        history.requests[request_id] = request
        history.executions.append(Execution(request_id, "s-1", "account-a", 10.1))
    history.duty_calls = [
        DutyCall("host-1", 5, "usage 1", "a", 10.0),
        DutyCall("host-1", 5, "usage 1", "a", 11.0),
        DutyCall("host-2", 9, "usage 2", "b", 16.0),
    ]
    return history


def find_request(history: History, kind: RequestKind) -> SentRequest:
    """Return the first request of a kind."""
    return next(
        request for request in history.requests.values() if request.kind is kind
    )


def forge_success(history: History) -> None:
    find_request(history, RequestKind.READ).is_signed = False


def return_other_response(history: History) -> None:
    find_request(history, RequestKind.READ).body = b"r-9"


def drop_event(history: History) -> None:
    del find_request(history, RequestKind.CHAT).events[1]


def truncate_stream(history: History) -> None:
    del find_request(history, RequestKind.DRAFT).events[2]


def execute_twice(history: History) -> None:
    history.executions.append(
        Execution(find_request(history, RequestKind.WRITE).id, "s-2", "account-a", 10.2)
    )


def reject_executed_request(history: History) -> None:
    find_request(history, RequestKind.WRITE).status = 503


def execute_unknown_request(history: History) -> None:
    history.executions.append(Execution("r-99", "s-2", "account-a", 10.2))


def serve_revoked_key(history: History) -> None:
    history.key_revoked_at["key-1"] = 4.0


def send_to_departed_server(history: History) -> None:
    history.server_departing_at["s-1"] = 5.0


def interrupt_without_fault(history: History) -> None:
    request = find_request(history, RequestKind.DRAFT)
    request.is_complete = False
    history.disturbances.append(Disturbance("host-1", 9.0, 17.0, is_planned=True))


def report_different_usage(history: History) -> None:
    history.duty_calls.append(DutyCall("host-2", 9, "usage 2", "c", 17.0))


def share_fencing_token(history: History) -> None:
    history.duty_calls.append(DutyCall("host-3", 9, "usage 3", "c", 30.0))


def use_old_fencing_token(history: History) -> None:
    history.duty_calls.append(DutyCall("host-1", 5, "usage 3", "c", 30.0))


def alternate_holders(history: History) -> None:
    history.duty_calls.append(DutyCall("host-1", 10, "usage 3", "c", 16.5))
    history.duty_calls.append(DutyCall("host-2", 11, "usage 3", "c", 17.0))


def exceed_quota(history: History) -> None:
    for request in history.requests.values():
        request.tokens = 200


def fail_after_recovery(history: History) -> None:
    history.last_fault_end = 20.0
    for number in range(30):
        request_id = f"late-{number}"
        history.requests[request_id] = SentRequest(
            request_id, RequestKind.READ, "host-1", "key-1", 1, 40.0, 41.0
        )
        history.requests[request_id].status = 503


def keep_sending_crashing_request(history: History) -> None:
    for number in range(4):
        request_id = f"crash-{number}"
        request = SentRequest(
            request_id, RequestKind.READ, "host-1", "key-1", 1, 20.0, content="crash"
        )
        history.requests[request_id] = request
        history.crashes.append(Crash("crash", f"s-{number}", 10.0))
        history.arrivals.append(Execution(request_id, "s-9", "account-a", 13.1))


def add_arrivals(history: History, times: list[float]) -> None:
    """Let requests of one host reach a server at given times."""
    for number, at in enumerate(times):
        request_id = f"p-{number}"
        history.requests[request_id] = SentRequest(
            request_id, RequestKind.READ, "host-1", "key-1", 0, at, at
        )
        history.server_arrivals.append(Execution(request_id, "s-1", "", at))


def answer_with(history: History, signal: Signal, value: float, at: float) -> None:
    """Let a server send a signal to one host."""
    answer = SignalAnswer(signal, "s-1", "host-1", value, at)
    history.signal_answers.append(answer)


def exceed_server_limit(history: History) -> None:
    for at in (10.0, 30.0):
        answer_with(history, Signal.LIMIT, 1.0, at)
    add_arrivals(history, [20.0 + number * 0.3 for number in range(12)])


def send_to_resting_server(history: History) -> None:
    answer_with(history, Signal.REST, 3.0, 10.0)
    add_arrivals(history, [10.2, 10.6, 11.0, 12.9])


def send_after_goodbye(history: History) -> None:
    answer_with(history, Signal.LEAVING, 1.0, 10.0)
    add_arrivals(history, [12.1])


def add_repeats(history: History, count: int) -> None:
    """Let requests reach one service twice, during a fault."""
    history.last_fault_end = 20.0
    for number in range(count):
        request_id = f"again-{number}"
        history.requests[request_id] = SentRequest(
            request_id, RequestKind.READ, "host-1", "key-1", 0, 20.0, 20.1, 503
        )
        for at in (20.01, 20.02):
            history.all_arrivals.append(Execution(request_id, "s-1", "", at))


def repeat_too_many_requests(history: History) -> None:
    add_repeats(history, 69)


def send_late_after_a_trouble(history: History) -> None:
    history.server_departing_at["s-1"] = 10.0
    history.disturbances.append(Disturbance("host-1", 8.0, 8.4))
    add_arrivals(history, [12.5])
    history.all_arrivals += history.server_arrivals


VIOLATIONS = (
    send_late_after_a_trouble,
    repeat_too_many_requests,
    forge_success,
    return_other_response,
    drop_event,
    truncate_stream,
    execute_twice,
    reject_executed_request,
    execute_unknown_request,
    serve_revoked_key,
    send_to_departed_server,
    interrupt_without_fault,
    report_different_usage,
    share_fencing_token,
    use_old_fencing_token,
    alternate_holders,
    exceed_quota,
    fail_after_recovery,
    keep_sending_crashing_request,
    exceed_server_limit,
    send_to_resting_server,
    send_after_goodbye,
)


def test_correct_history_has_no_violations() -> None:
    assert check_all(make_history(), QUOTAS) == []


@pytest.mark.parametrize("violate", VIOLATIONS)
def test_violation_is_detected(violate: Callable[[History], None]) -> None:
    history = make_history()
    violate(history)
    assert check_all(history, QUOTAS) != []


def test_interruption_next_to_kill_is_allowed() -> None:
    history = make_history()
    find_request(history, RequestKind.DRAFT).is_complete = False
    history.disturbances.append(Disturbance("host-1", 9.0, 11.0))
    assert check_all(history, QUOTAS) == []


def test_few_late_arrivals_are_allowed() -> None:
    history = make_history()
    keep_sending_crashing_request(history)
    history.arrivals.pop()
    for execution in history.arrivals:
        history.executions.append(execution)
    assert check_all(history, QUOTAS) == []


def test_as_many_repeats_as_allowed_are_no_violation() -> None:
    history = make_history()
    add_repeats(history, 67)
    assert check_all(history, QUOTAS) == []


def test_signals_that_hosts_heed_in_time_are_no_violations() -> None:
    history = make_history()
    for at in (10.0, 30.0):
        answer_with(history, Signal.LIMIT, 1.0, at)
    answer_with(history, Signal.REST, 3.0, 40.0)
    answer_with(history, Signal.LEAVING, 1.0, 50.0)
    times = [20.0 + number * 0.4 for number in range(11)]
    add_arrivals(history, [*times, 40.3, 40.6, 42.0, 43.0, 51.9])
    assert check_all(history, QUOTAS) == []


@pytest.mark.parametrize(
    "violate", [exceed_server_limit, send_to_resting_server, send_after_goodbye]
)
def test_restarted_host_is_excused(violate: Callable[[History], None]) -> None:
    history = make_history()
    violate(history)
    history.disturbances.append(Disturbance("host-1", 11.0, 13.0, is_planned=True))
    assert check_all(history, QUOTAS) == []


def resume_without_store(history: History, *, continued: int) -> None:
    """Resume 12 streams at a host that does not reach the store."""
    history.disturbances.append(CUT)
    history.store_cuts.append(CUT)
    history.last_fault_end = CUT.end
    for name in ("s-8", "s-9"):
        history.server_periods[name] = ServerPeriod("v1", 0.0)
    for number in range(12):
        first = SentRequest(
            f"a-{number}", RequestKind.CHAT, "host-1", "key-1", 50, 35.0, 35.2
        )
        first.is_abandoned = True
        first.events, first.versions = [(1, first.id, False)], {"v1"}
        later = SentRequest(
            f"b-{number}", RequestKind.CHAT, "host-9", "key-1", 50, 45.0, 45.2
        )
        later.first_attempt, later.resumes_after = first.id, 1
        later.is_abandoned = True
        if number < continued:
            later.events, later.versions = [(2, later.id, True)], {"v1"}
        history.requests |= {first.id: first, later.id: later}


def test_streams_refused_at_hosts_without_the_store_are_a_violation() -> None:
    history = make_history()
    resume_without_store(history, continued=5)
    (violation,) = check_all(history, QUOTAS)
    assert "0.42 of 12 streams resumed at hosts cut went on" in violation


def test_streams_that_go_on_without_the_store_are_no_violation() -> None:
    history = make_history()
    resume_without_store(history, continued=6)
    assert check_all(history, QUOTAS) == []


def make_return(*, is_used: bool, until: float = float("inf")) -> History:
    """Return a history in which a server returned, and 40 requests came after it."""
    history = make_history()
    history.returns.append(ServerReturn("plain-1", "plain", 20.0, until))
    for number in range(40):
        sent_at = 23.0 + number / 10
        request = SentRequest(
            f"n-{number}", RequestKind.READ, "host-1", "key-1", 1, sent_at
        )
        request.status, request.ended_at = 200, sent_at + 0.1
        request.is_signed = request.is_complete = True
        request.body = request.id.encode()
        history.requests[request.id] = request
        server = "plain-1" if is_used and number == 0 else "plain-2"
        execution = Execution(request.id, server, "account-a", sent_at)
        history.executions.append(execution)
        history.all_arrivals.append(execution)
    return history


def test_a_returned_server_without_requests_is_a_violation() -> None:
    """Guards against a check that passes over servers that are refused for good."""
    violations = check_all(make_return(is_used=False), QUOTAS)
    assert violations == [
        "plain-1: none of 40 requests of host-1 after it had registered again"
    ]


@pytest.mark.parametrize(
    "history", [make_return(is_used=True), make_return(is_used=False, until=23.5)]
)
def test_a_returned_server_that_is_used_or_leaves_is_none(history: History) -> None:
    """Guards against a check that demands requests to a server that has left."""
    assert check_all(history, QUOTAS) == []
