"""The soak's own checks, on histories made by hand with one promise broken each."""

from collections.abc import Callable

import pytest

from dewridge.tests.soak.checks import check_all
from dewridge.tests.soak.records import (
    Crash,
    Disturbance,
    DutyCall,
    History,
    Kind,
    Run,
    Sent,
)

QUOTAS = {"account-a": 500.0}


def make_history() -> History:
    """Return a history in which all promises are kept."""
    history = History(end=100.0)
    for number, kind in enumerate(Kind):
        name = f"r-{number}"
        sent = Sent(name, kind, "host-1", "key-1", 50, sent_at=10.0, ended_at=10.5)
        sent.status = 200
        sent.is_signed = sent.is_whole = True
        sent.body = name.encode()
        if kind.is_stream:
            sent.events = [(n, name, n == 3) for n in (1, 2, 3)]
        history.sent[name] = sent
        history.runs.append(Run(name, "s-1", "account-a", 10.1))
    history.calls = [
        DutyCall("host-1", 5, "usage 1", "a", 10.0),
        DutyCall("host-1", 5, "usage 1", "a", 11.0),
        DutyCall("host-2", 9, "usage 2", "b", 16.0),
    ]
    return history


def find(history: History, kind: Kind) -> Sent:
    """Return the request of a kind."""
    return next(sent for sent in history.sent.values() if sent.kind is kind)


def forge_success(history: History) -> None:
    find(history, Kind.READ).is_signed = False


def swap_answers(history: History) -> None:
    find(history, Kind.READ).body = b"r-9"


def lose_an_event(history: History) -> None:
    del find(history, Kind.CHAT).events[1]


def end_early(history: History) -> None:
    del find(history, Kind.DRAFT).events[2]


def run_twice(history: History) -> None:
    history.runs.append(Run(find(history, Kind.WRITE).id, "s-2", "account-a", 10.2))


def refuse_what_ran(history: History) -> None:
    find(history, Kind.WRITE).status = 503


def invent_a_request(history: History) -> None:
    history.runs.append(Run("r-99", "s-2", "account-a", 10.2))


def serve_a_revoked_key(history: History) -> None:
    history.revoked["key-1"] = 4.0


def send_to_a_server_that_left(history: History) -> None:
    history.left["s-1"] = 5.0


def cut_in_calm(history: History) -> None:
    sent = find(history, Kind.DRAFT)
    sent.is_whole = False
    history.disturbances.append(Disturbance("host-1", 9.0, 17.0, is_planned=True))


def report_another_sum(history: History) -> None:
    history.calls.append(DutyCall("host-2", 9, "usage 2", "c", 17.0))


def use_a_number_twice(history: History) -> None:
    history.calls.append(DutyCall("host-3", 9, "usage 3", "c", 30.0))


def act_with_an_old_number(history: History) -> None:
    history.calls.append(DutyCall("host-1", 5, "usage 3", "c", 30.0))


def act_by_turns(history: History) -> None:
    history.calls.append(DutyCall("host-1", 10, "usage 3", "c", 16.5))
    history.calls.append(DutyCall("host-2", 11, "usage 3", "c", 17.0))


def exceed_a_quota(history: History) -> None:
    for sent in history.sent.values():
        sent.tokens = 200


def stay_down(history: History) -> None:
    history.final_fault_end = 20.0
    for number in range(30):
        name = f"late-{number}"
        history.sent[name] = Sent(name, Kind.READ, "host-1", "key-1", 1, 40.0, 41.0)
        history.sent[name].status = 503


def send_a_crashing_request_on(history: History) -> None:
    for number in range(4):
        name = f"crash-{number}"
        sent = Sent(name, Kind.READ, "host-1", "key-1", 1, 20.0, content="crash")
        history.sent[name] = sent
        history.crashes.append(Crash("crash", f"s-{number}", 10.0))
        history.arrivals.append(Run(name, "s-9", "account-a", 13.1))


FAULTS = (
    forge_success,
    swap_answers,
    lose_an_event,
    end_early,
    run_twice,
    refuse_what_ran,
    invent_a_request,
    serve_a_revoked_key,
    send_to_a_server_that_left,
    cut_in_calm,
    report_another_sum,
    use_a_number_twice,
    act_with_an_old_number,
    act_by_turns,
    exceed_a_quota,
    stay_down,
    send_a_crashing_request_on,
)


def test_a_history_in_order_breaks_nothing() -> None:
    assert check_all(make_history(), QUOTAS) == []


@pytest.mark.parametrize("spoil", FAULTS)
def test_a_broken_promise_is_found(spoil: Callable[[History], None]) -> None:
    history = make_history()
    spoil(history)
    assert check_all(history, QUOTAS) != []


def test_a_cut_beside_a_kill_is_no_broken_promise() -> None:
    history = make_history()
    find(history, Kind.DRAFT).is_whole = False
    history.disturbances.append(Disturbance("host-1", 9.0, 11.0))
    assert check_all(history, QUOTAS) == []


def test_few_sendings_that_were_on_their_way_break_nothing() -> None:
    history = make_history()
    send_a_crashing_request_on(history)
    history.arrivals.pop()
    for run in history.arrivals:
        history.runs.append(run)
    assert check_all(history, QUOTAS) == []
